//! Aborts of jobs, recorded by the leader or, if the leader does not answer, by any controller that
//! has access to the key-value store.
//!
//! An abort takes effect once it is recorded, and is final from then on. While the outcome of the
//! leader's write is unknown, the job is neither started nor resumed until its record has been
//! read.

use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{
    valid_job_id, Change, Forward, Guard, KeyValue, Transaction, TransactionAnswer,
};
use quartzgate_wire::{from_cbor, to_cbor};

use crate::api::refusal::RefusalReason;
use crate::controller::Controller;
use crate::ids::JobIndex;
use crate::in_flight::InFlight;
use crate::jobs::JobState;
use crate::storage::placement_records::RecordLocation;
use crate::storage::record_writer::{FlushItem, WritePurpose};
use crate::storage::records::{decode, encode, handoff_key, job_key, JobRecord, RecordedStatus};
use crate::{Outcome, Peer, RequestId};

use super::status::log_unreadable_record;
use super::WRITES_WITHOUT_LEADER;

/// Path prefix of the messages by which controllers notify one another of recorded aborts.
pub(crate) const ABORTED_PATH: &str = "/aborted/";

impl Controller {
    /// Aborts a job in memory as the leader.
    pub(super) fn abort_job(&mut self, id: RequestId, job: JobIndex) {
        // An abort can't be decided while the job's record is being written or read.
        let is_decidable = self.jobs.get(job).is_some_and(|job| {
            !job.busy && matches!(job.state, JobState::Live | JobState::Waiting)
        });
        if !is_decidable {
            self.answer_unavailable(id, RefusalReason::RecordInFlight)
        } else if !self.record_abort(Some(id), job) {
            self.answer_unavailable(id, RefusalReason::WriteLimit)
        }
    }

    /// Writes the abort of a job as the leader. Returns false if the job is not in memory or the
    /// store's rate limit allows no write now.
    pub(crate) fn record_abort(&mut self, request: Option<RequestId>, job_index: JobIndex) -> bool {
        let now_ms = self.context.now.steady_ms;
        let Some(job) = self.jobs.get(job_index) else { return false };
        let has_inline_placement = job.chunks.get(&0).is_some_and(|chunk| chunk.inline);
        if !self.record_writer.write_limiter.take(now_ms, 1.0, 0.0) {
            return false;
        }
        self.record_writer.count_changes(WritePurpose::Abort, 1);
        if job.state != JobState::AbortIndeterminate {
            self.set_job_state(job_index, JobState::Aborting);
        }
        let Some(job) = self.jobs.get(job_index) else { return false };
        let (revision, job_id) = (job.revision, job.id.clone());
        let record = self.own_record(job);
        let (mut guards, mut apply) = (vec![self.epoch_guard()], Vec::new());
        // If the record contains the placement, which says where tasks may be running, the aborted
        // record contains it as well.
        let placement =
            if has_inline_placement { self.placement_write(job_index, 0) } else { None };
        let location = placement.as_ref().map_or(RecordLocation::default(), |write| write.location);
        match placement {
            Some(placement) => {
                placement.add_to_transaction(&job_id, 0, &mut guards, &mut apply);
                self.on_placement_sent(job_index, 0, location);
            }
            None => {
                let key = job_key(&job_id);
                guards.push(Guard { key: key.clone(), revision });
                apply.push(Change::Set { set: key, value: encode(&record), lease_id: None });
            }
        }
        if let Some(job) = self.jobs.get_mut(job_index) {
            job.busy = true;
        }
        let body = to_cbor(&Transaction { guards, apply });
        let call = InFlight::AbortWrite { request, job: job_index, location, epoch: self.epoch() };
        self.call_store("POST", "/multi".into(), body, call);
        true
    }

    /// Handles the outcome of the write by which the leader aborts a job.
    pub(crate) fn on_abort_write(
        &mut self,
        request: Option<RequestId>,
        job_index: JobIndex,
        location: RecordLocation,
        outcome: Outcome,
    ) {
        let was_indeterminate =
            self.jobs.get(job_index).is_some_and(|job| job.state == JobState::AbortIndeterminate);
        let is_conflict = match &outcome {
            Outcome::Answer(answer) => {
                if let (200, Ok(applied)) = (answer.status, from_cbor(&answer.body)) {
                    return self.on_abort_applied(request, job_index, location, applied);
                }
                if answer.status != 409 && !was_indeterminate {
                    return self.on_abort_refused(request, job_index, location, answer.status);
                }
                answer.status == 409
            }
            Outcome::Lost | Outcome::NotSent => false,
        };
        // Either the abort may be recorded or the record has changed, so the record is read before
        // the job is started or resumed.
        let reason =
            if is_conflict { RefusalReason::RecordChanged } else { RefusalReason::StoreFailed };
        self.refuse_abort(request, reason);
        if !is_conflict {
            self.set_job_state(job_index, JobState::AbortIndeterminate);
        }
        match location.sets_own_record {
            true => self.reread_record(FlushItem::Chunk { job: job_index, chunk: 0, location }),
            false => self.reread_job(job_index),
        }
    }

    /// Handles the successful write of an abort, which is final from now on.
    fn on_abort_applied(
        &mut self,
        request: Option<RequestId>,
        job_index: JobIndex,
        location: RecordLocation,
        answer: TransactionAnswer,
    ) {
        self.note_store_answer();
        let Some(job) = self.jobs.get_mut(job_index) else {
            return self.refuse_abort(request, RefusalReason::RecordChanged);
        };
        job.busy = false;
        job.revision = answer.store_revision;
        let job_id = job.id.clone();
        if location.sets_own_record {
            self.on_placement_recorded(job_index, 0, location, answer.store_revision);
        }
        self.set_job_state(job_index, JobState::Aborted);
        self.record_writer.mark_job_dirty(job_index);
        if let Some(id) = request {
            self.answer_terminal(id, &job_id, RecordedStatus::Aborted);
        }
    }

    /// Handles a rejected write of an abort. The write was certainly not applied, so the job
    /// continues and the user has to retry.
    fn on_abort_refused(
        &mut self,
        request: Option<RequestId>,
        job_index: JobIndex,
        location: RecordLocation,
        status: u16,
    ) {
        if status != 503 && status != 429 {
            tracing::error!(status, "the store rejected the write of an abort");
        }
        self.on_store_throttled(status);
        if let Some(job) = self.jobs.get_mut(job_index) {
            job.busy = false;
        }
        self.set_job_state(job_index, JobState::Live);
        if location.sets_own_record {
            self.requeue_write(FlushItem::Chunk { job: job_index, chunk: 0, location });
        }
        self.refuse_abort(request, RefusalReason::StoreFailed);
    }

    fn refuse_abort(&mut self, request: Option<RequestId>, reason: RefusalReason) {
        if let Some(id) = request {
            self.answer_unavailable(id, reason)
        }
    }

    /// Handles the outcome of reading the record of a job that is to be aborted and is not in the
    /// leader's memory, or is to be aborted without the leader.
    pub(crate) fn on_abort_read(&mut self, id: RequestId, job: String, outcome: Outcome) {
        let pair = match self.read_outcome(outcome) {
            Ok(Some(pair)) => pair,
            // The job was never accepted, and an abort does not create a record.
            Ok(None) => return self.answer_error(id, 404, "no such job"),
            Err(()) => return self.answer_unavailable(id, RefusalReason::StoreFailed),
        };
        let Some(record) = decode::<JobRecord>(&pair.value) else {
            log_unreadable_record(&job);
            return self.answer_unavailable(id, RefusalReason::RecordUnreadable);
        };
        if record.status != RecordedStatus::Live {
            return self.answer_record(id, &job, pair);
        }
        if !self.leads() {
            return self.abort_without_leader(id, job, record, &pair);
        }
        match self.add_recorded_job(&job, record, pair.revision) {
            Some(job_index) => self.abort_job(id, job_index),
            None => self.answer_unavailable(id, RefusalReason::RecordChanged),
        }
    }

    /// Writes the abort of a job whose record was read as live, together with a handoff entry that
    /// tells the leader of the abort.
    fn abort_without_leader(
        &mut self,
        id: RequestId,
        job: String,
        mut record: JobRecord,
        read: &KeyValue,
    ) {
        let now_ms = self.context.now.steady_ms;
        if !self.record_writer.write_limiter.take(now_ms, WRITES_WITHOUT_LEADER, 0.0) {
            return self.answer_unavailable(id, RefusalReason::WriteLimit);
        }
        record.status = RecordedStatus::Aborted;
        record.shrink_to_fit(self.max_value_bytes());
        let body = to_cbor(&Transaction {
            guards: vec![Guard { key: job_key(&job), revision: read.revision }],
            apply: vec![
                Change::Set { set: job_key(&job), value: encode(&record), lease_id: None },
                Change::Set { set: handoff_key(&job), value: encode(&true), lease_id: None },
            ],
        });
        let call = InFlight::AbortWithoutLeader { request: id, id: job };
        self.call_store("POST", "/multi".into(), body, call);
    }

    /// Handles the outcome of the write that aborts a job without the leader.
    pub(crate) fn on_abort_without_leader(&mut self, id: RequestId, job: String, outcome: Outcome) {
        match outcome {
            Outcome::Answer(answer) if answer.status == 200 => {
                self.note_store_answer();
                tracing::info!(job = %job, "aborted without the leader");
                self.on_abort_recorded(&job);
                self.answer_terminal(id, &job, RecordedStatus::Aborted);
                self.notify_other_followers(&job);
            }
            Outcome::Answer(answer) if answer.status != 409 => {
                self.on_store_throttled(answer.status);
                self.answer_unavailable(id, RefusalReason::StoreFailed)
            }
            _ => self.answer_unavailable(id, RefusalReason::RecordChanged),
        }
    }

    /// Notifies the other controllers, except the leader, of a recorded abort. The messages are
    /// best effort, for promptness alone.
    fn notify_other_followers(&mut self, job: &str) {
        let leader = self.leader_index();
        let siblings = 0..self.context.config.platform.siblings.len();
        for sibling in siblings.filter(|sibling| Some(*sibling) != leader) {
            self.send_abort_notice(sibling, job);
        }
    }

    /// Notifies another controller of a recorded abort. Even a leader without access to the store
    /// then stops the job's tasks at once.
    pub(super) fn send_abort_notice(&mut self, sibling: usize, job: &str) {
        let mut message = self.mesh_message();
        message.forward = Some(Forward {
            method: "POST".to_string(),
            path: format!("{ABORTED_PATH}{job}"),
            body: Vec::new(),
        });
        let timeout_ms = self.context.config.mesh_timeout_ms();
        let (peer, body) = (Peer::Sibling(sibling), to_cbor(&message));
        let call = InFlight::AbortNotice { job: job.to_string() };
        self.call(peer, "POST", "/mesh".into(), body, timeout_ms, call);
    }

    /// Handles a peer's notice of a recorded abort. A delayed notice is valid as well, since an
    /// abort is final. A leader answers with status 200 if it acknowledges the abort, so that the
    /// peer may confirm it, and with 202 if the peer has to wait.
    pub(crate) fn on_abort_notice(&mut self, id: RequestId, job: &str) {
        if !valid_job_id(job) {
            return self.answer_error(id, 400, "malformed ref");
        }
        self.on_abort_for_proxy(job);
        self.on_abort_recorded(job);
        let is_leader = self.membership.role().holds_leadership();
        let status = if is_leader && !self.may_acknowledge_abort(job) { 202 } else { 200 };
        let body = to_cbor(&self.mesh_message());
        self.answer(id, Response::new(status, body));
    }

    /// Applies an abort that another controller recorded. If the job is in memory and not aborted
    /// there, its record is read again, since its revision has changed.
    pub(crate) fn on_abort_recorded(&mut self, job: &str) {
        if let Some(job_index) = self.jobs.find(job) {
            if self.jobs.get(job_index).is_some_and(|job| job.state != JobState::Aborted) {
                self.set_job_state(job_index, JobState::Aborted);
                self.reread_job(job_index);
            }
        }
        self.learn_terminal_state(job, RecordedStatus::Aborted);
    }
}
