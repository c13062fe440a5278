//! Submissions: validated, then recorded by the leader or, if the leader does not answer, by any
//! controller that has access to the key-value store.
//!
//! Submissions are idempotent: a job that is already known is never rejected or recorded again,
//! and a repeated submission is answered with the job's state, whatever its other fields are.
//! Every write that accepts a job is therefore guarded by the absence of the job's record.

use quartzgate_feature_gates::Feature;
use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{
    Change, Guard, JobSpec, JobStatus, Priority, Transaction, TransactionAnswer,
};
use quartzgate_wire::{from_cbor, to_cbor};

use crate::api::refusal::RefusalReason;
use crate::controller::Controller;
use crate::ids::JobIndex;
use crate::in_flight::InFlight;
use crate::jobs::JobState;
use crate::storage::placement_records::{PlacementWrite, RecordLocation};
use crate::storage::record_writer::WritePurpose;
use crate::storage::records::{
    batch_key, checked_size, encode, handoff_key, job_key, JobRecord, RecordedStatus, EPOCH_KEY,
};
use crate::{Outcome, RequestId};

use super::admissibility::Admissibility;
use super::status::answer_without_counts;
use super::WRITES_WITHOUT_LEADER;

/// The rejection of a submission, sent only if the job turns out not to be known.
#[derive(Debug)]
pub(crate) struct Rejection {
    /// HTTP status code of the rejection.
    status: u16,
    /// Text of the reason in the response body.
    reason: String,
}

impl Controller {
    /// Decides a submission as the leader.
    pub(super) fn submit_to_leader(&mut self, id: RequestId, spec: JobSpec) {
        if !self.answer_if_submitted(id, &spec.id) {
            self.submit_unknown_job(id, spec)
        }
    }

    /// Answers a submission whose job is in memory, or has an entry in a batch record that can't be
    /// decoded. Returns false, without an answer, for any other job.
    pub(super) fn answer_if_submitted(&mut self, id: RequestId, job: &str) -> bool {
        if self.job_batches.is_unreadable(job) {
            self.answer_unavailable(id, RefusalReason::RecordUnreadable);
            return true;
        }
        let Some(known) = self.jobs.find(job).and_then(|job_index| self.jobs.get(job_index)) else {
            return false;
        };
        match known.state {
            // The outcome of the first submission is not known yet.
            JobState::Recording => self.answer_unavailable(id, RefusalReason::RecordInFlight),
            _ => self.query_status(id, job.to_string()),
        }
        true
    }

    /// Decides the submission of a job that is not in memory. If the job has dependencies, their
    /// records are read before the job is accepted.
    pub(super) fn submit_unknown_job(&mut self, id: RequestId, spec: JobSpec) {
        let Some(spec) = self.check_submission(id, spec) else { return };
        if spec.dependencies.is_empty() {
            self.submit_admitted(id, spec, false)
        } else {
            self.submit_after_dependency_check(id, spec)
        }
    }

    /// Checks a submission as far as is possible without reading the store. If a check fails or
    /// can't be made yet, returns `None` and reads the job's record: a job that is known is
    /// answered with its state instead.
    fn check_submission(&mut self, id: RequestId, spec: JobSpec) -> Option<JobSpec> {
        match self.admissibility(&spec) {
            Admissibility::Admissible => {}
            Admissibility::Inadmissible(reason) => {
                self.reject_unless_known(id, spec.id, 422, reason);
                return None;
            }
            Admissibility::Unknown => {
                self.read_submitted_job(id, spec.id, None);
                return None;
            }
        }
        if spec.dependencies.contains(&spec.id) {
            self.reject_unless_known(id, spec.id, 422, "a job can't need itself");
            return None;
        }
        let record = self.job_record(spec);
        let fits_record = checked_size(&record) <= self.max_value_bytes();
        let spec = record.spec?;
        if !fits_record {
            self.reject_unless_known(
                id,
                spec.id,
                400,
                "too large to be kept: fewer prereqs or shorter names",
            );
            return None;
        }
        Some(spec)
    }

    /// Rejects a submission, unless a read of the job's record shows that the job is known.
    pub(crate) fn reject_unless_known(
        &mut self,
        id: RequestId,
        job: String,
        status: u16,
        reason: &str,
    ) {
        let rejection = Rejection { status, reason: reason.to_string() };
        self.read_submitted_job(id, job, Some(rejection));
    }

    /// Reads the record of a job whose submission is to be rejected with `rejection` or, if that is
    /// `None`, can't be decided yet.
    fn read_submitted_job(&mut self, id: RequestId, job: String, rejection: Option<Rejection>) {
        let call = InFlight::SubmittedJobRead { request: id, job: job.clone(), rejection };
        self.read_job(id, &job, call);
    }

    /// Handles the outcome of reading the record of a job whose submission is to be rejected, or
    /// can't be decided yet.
    pub(crate) fn on_submitted_job_read(
        &mut self,
        id: RequestId,
        job: String,
        rejection: Option<Rejection>,
        outcome: Outcome,
    ) {
        match self.read_outcome(outcome) {
            // The job may have been accepted while its record was being read.
            Ok(None) if self.jobs.find(&job).is_some() => {
                self.answer_unavailable(id, RefusalReason::RecordInFlight)
            }
            Ok(None) => match (self.terminal_jobs.get(&job), rejection) {
                (Some(status), _) => self.answer_terminal(id, &job, status),
                (None, Some(Rejection { status, reason })) => {
                    tracing::info!(job = %job, why = reason, "submission rejected");
                    self.answer_error(id, status, &reason)
                }
                (None, None) => self.answer_unavailable(id, RefusalReason::AdmissibilityUnknown),
            },
            Ok(Some(pair)) => self.answer_record(id, &job, pair),
            Err(()) => self.answer_unavailable(id, RefusalReason::StoreFailed),
        }
    }

    /// Returns the record of a job that is accepted at the current time.
    pub(crate) fn job_record(&self, spec: JobSpec) -> JobRecord {
        JobRecord {
            status: RecordedStatus::Live,
            spec: Some(spec),
            at_ms: self.context.now.wall_ms,
            done_chunks: Vec::new(),
            service: false,
            placement: None,
        }
    }

    /// Records the submission of a job whose dependencies were all accepted. `dependency_aborted`
    /// means that a dependency was aborted, which aborts the job as well.
    pub(crate) fn submit_admitted(
        &mut self,
        id: RequestId,
        spec: JobSpec,
        dependency_aborted: bool,
    ) {
        if !self.leads() {
            return self.submit_without_leader(id, spec, dependency_aborted);
        }
        if self.answer_if_submitted(id, &spec.id) {
            return;
        }
        let Some(team) = self.context.config.team(&spec.team) else {
            return self.answer_unavailable(id, RefusalReason::AdmissibilityUnknown);
        };
        if !dependency_aborted && self.belongs_in_batch(&spec) {
            if !self.add_to_intake(id, spec, team) {
                self.reject_overloaded(id);
            }
            return;
        }
        if !self.try_take_acceptance_write(spec.priority) {
            return self.reject_overloaded(id);
        }
        self.record_submission(id, spec, team);
    }

    /// Writes the record of an accepted job as the leader, together with the job's first placement
    /// if the job can be placed now.
    fn record_submission(&mut self, id: RequestId, spec: JobSpec, team: usize) {
        self.record_writer.count_changes(WritePurpose::Accept, 1);
        let record = self.job_record(spec.clone());
        let job_id = spec.id.clone();
        let priority = spec.priority;
        let is_done = |job: &String| self.terminal_jobs.get(job) == Some(RecordedStatus::Done);
        let is_ready = spec.dependencies.iter().all(is_done);
        let job = self.new_job(spec, team, JobState::Recording, 0, record.at_ms);
        let job_index = self.jobs.insert(job);
        let placement = if is_ready { self.first_placement(job_index, priority) } else { None };
        let location = placement.as_ref().map_or(RecordLocation::default(), |write| write.location);
        let (mut guards, mut apply) = (vec![self.epoch_guard()], Vec::new());
        if !location.sets_own_record {
            let key = job_key(&job_id);
            let value = encode(&record);
            apply.push(Change::Set { set: key.clone(), value, lease_id: None });
            guards.push(Guard { key, revision: 0 });
        }
        if let Some(placement) = placement {
            placement.add_to_transaction(&job_id, 0, &mut guards, &mut apply);
            self.on_placement_sent(job_index, 0, location);
        }
        if let Some(job) = self.jobs.get_mut(job_index) {
            job.busy = true;
        }
        let body = to_cbor(&Transaction { guards, apply });
        let call =
            InFlight::AcceptWrite { request: id, job: job_index, location, epoch: self.epoch() };
        self.call_store("POST", "/multi".into(), body, call);
    }

    /// Places a job that is about to be accepted. The placement is written in the transaction that
    /// accepts the job: as a part of the job's own record if it fits there, otherwise as further
    /// changes if the rate limit allows them.
    fn first_placement(
        &mut self,
        job_index: JobIndex,
        priority: Priority,
    ) -> Option<PlacementWrite> {
        let is_inline = self.may_inline_placement(job_index);
        if !is_inline && !self.try_take_placement_write(priority) {
            return None;
        }
        let changes_charged = if is_inline { 0.0 } else { 1.0 };
        let placement = self.place_before_acceptance(job_index, priority, is_inline);
        let changes_made = match &placement {
            Some(write) if !write.location.inline => write.changes() as f64,
            _ => 0.0,
        };
        self.record_writer
            .write_limiter
            .charge(self.context.now.steady_ms, changes_made - changes_charged);
        self.record_writer.count_changes(WritePurpose::Placement, changes_made as usize);
        placement
    }

    /// Returns the placement of a job if the job can be placed now and the placement fits the
    /// transaction that accepts the job.
    fn place_before_acceptance(
        &mut self,
        job_index: JobIndex,
        priority: Priority,
        is_inline: bool,
    ) -> Option<PlacementWrite> {
        if self.backlog().is_full(priority) || !self.place_job(job_index) {
            return None;
        }
        let max_changes = self.store_limits().txn_ops - 1;
        let fits = |write: &PlacementWrite| {
            write.location.inline || !is_inline && write.changes() <= max_changes
        };
        let placement = self.placement_write(job_index, 0).filter(fits);
        if placement.is_none() {
            // A placement that does not fit this transaction is written by a later one.
            self.mark_blocking_starts(job_index, 0);
        }
        placement
    }

    /// Handles the outcome of the write by which the leader accepts a job.
    pub(crate) fn on_accept(
        &mut self,
        id: RequestId,
        job_index: JobIndex,
        location: RecordLocation,
        outcome: Outcome,
    ) {
        if let Outcome::Answer(answer) = &outcome {
            if let (200, Ok(applied)) = (answer.status, from_cbor(&answer.body)) {
                return self.on_accepted(id, job_index, location, applied);
            }
        }
        // The job is not known to be recorded, so it is removed from memory. If the write is
        // applied later, the job is found by its next status query or submission, or by the reads
        // that follow an indeterminate submission.
        let job_id = self.jobs.get(job_index).map(|job| job.id.clone()).unwrap_or_default();
        self.drop_job(job_index);
        match outcome {
            Outcome::Answer(answer) if answer.status == 409 => {
                self.note_store_answer();
                if failed_guard_keys(&answer)
                    .is_some_and(|failed| failed.iter().any(|key| key == EPOCH_KEY))
                {
                    self.step_down();
                    return self.answer_unavailable(id, RefusalReason::EpochChanged);
                }
                self.query_status(id, job_id)
            }
            Outcome::Answer(answer) => {
                self.on_store_throttled(answer.status);
                self.answer_unavailable(id, RefusalReason::StoreFailed)
            }
            Outcome::NotSent => self.answer_unavailable(id, RefusalReason::StoreFailed),
            Outcome::Lost => {
                self.track_indeterminate_submission(job_id);
                self.answer_unavailable(id, RefusalReason::StoreFailed)
            }
        }
    }

    /// Handles the successful write of a job's record: the job is live, and its tasks may start.
    fn on_accepted(
        &mut self,
        id: RequestId,
        job_index: JobIndex,
        location: RecordLocation,
        answer: TransactionAnswer,
    ) {
        self.note_store_answer();
        let Some(job) = self.jobs.get_mut(job_index) else {
            return self.answer_unavailable(id, RefusalReason::EpochChanged);
        };
        job.revision = answer.store_revision;
        job.busy = false;
        let job_id = job.id.clone();
        if location != RecordLocation::default() {
            self.on_placement_recorded(job_index, 0, location, answer.store_revision);
        }
        self.add_to_dependency_graph(job_index);
        self.set_job_state(job_index, JobState::Live);
        // The job is aborted already if it depends on an aborted job.
        let status = match self.terminal_jobs.get(&job_id) {
            Some(RecordedStatus::Aborted) => JobStatus::Aborted,
            _ => JobStatus::Queued,
        };
        let answer = answer_without_counts(&job_id, status);
        self.answer(id, Response::new(201, to_cbor(&answer)));
        self.dispatch_probed_machines(job_index);
        self.placement_due = true;
        self.preempt_due = true;
    }

    /// Records a submission without the leader, after looking up whether a batch record holds the
    /// job.
    fn submit_without_leader(&mut self, id: RequestId, spec: JobSpec, dependency_aborted: bool) {
        if !self.is_active(Feature::BatchRecords) {
            return self.record_without_leader(id, spec, dependency_aborted, None);
        }
        // The lookup would be wasted if the rate limit did not allow the job to be recorded.
        let now_ms = self.context.now.steady_ms;
        if self.record_writer.write_limiter.available(now_ms, 0.0) < WRITES_WITHOUT_LEADER {
            return self.answer_unavailable(id, RefusalReason::WriteLimit);
        }
        let job = spec.id.clone();
        let call = InFlight::LookupBeforeSubmission {
            request: id,
            spec: Box::new(spec),
            dependency_aborted,
        };
        self.look_up_in_batches(&job, call);
    }

    /// Handles the outcome of the batch lookup for a job that is to be recorded without the leader.
    pub(crate) fn on_lookup_before_submission(
        &mut self,
        id: RequestId,
        spec: JobSpec,
        dependency_aborted: bool,
        outcome: Outcome,
    ) {
        match self.read_outcome(outcome) {
            Ok(None) => {
                // No batch up to the last one checked holds the job. The write is guarded by the
                // absence of the next batch, so that it fails if one has been recorded since.
                let next_batch = self.job_batches.last_batch_checked() + 1;
                self.record_without_leader(id, spec, dependency_aborted, Some(next_batch))
            }
            Ok(Some(pair)) => self.answer_record(id, &spec.id, pair),
            Err(()) => self.answer_unavailable(id, RefusalReason::StoreFailed),
        }
    }

    /// Writes a job's record and its handoff entry, on the condition that neither a record of the
    /// job nor the batch `absent_batch` exists.
    fn record_without_leader(
        &mut self,
        id: RequestId,
        spec: JobSpec,
        dependency_aborted: bool,
        absent_batch: Option<u64>,
    ) {
        let now_ms = self.context.now.steady_ms;
        if !self.record_writer.write_limiter.take(now_ms, WRITES_WITHOUT_LEADER, 0.0) {
            return self.answer_unavailable(id, RefusalReason::WriteLimit);
        }
        let job = spec.id.clone();
        let record = self.job_record(spec);
        let mut guards = vec![Guard { key: job_key(&job), revision: 0 }];
        guards.extend(absent_batch.map(|number| Guard { key: batch_key(number), revision: 0 }));
        let body = to_cbor(&Transaction {
            guards,
            apply: vec![
                Change::Set { set: job_key(&job), value: encode(&record), lease_id: None },
                Change::Set { set: handoff_key(&job), value: encode(&false), lease_id: None },
            ],
        });
        let call = InFlight::AcceptWithoutLeader { request: id, id: job, dependency_aborted };
        self.call_store("POST", "/multi".into(), body, call);
    }

    /// Handles the outcome of the write that accepts a job without the leader.
    pub(crate) fn on_accept_without_leader(
        &mut self,
        id: RequestId,
        job: String,
        dependency_aborted: bool,
        outcome: Outcome,
    ) {
        match outcome {
            Outcome::Answer(answer) if answer.status == 200 => {
                self.note_store_answer();
                self.on_accepted_without_leader(id, job, dependency_aborted);
            }
            Outcome::Answer(answer) if answer.status == 409 => {
                self.note_store_answer();
                // If the job has no record of its own, a batch has been recorded in the meantime,
                // which may or may not hold this job.
                if !failed_guard_keys(&answer).is_some_and(|failed| failed.contains(&job_key(&job)))
                {
                    return self.answer_unavailable(id, RefusalReason::RecordChanged);
                }
                self.read_status(id, job);
            }
            Outcome::Answer(answer) => {
                self.on_store_throttled(answer.status);
                self.answer_unavailable(id, RefusalReason::StoreFailed)
            }
            Outcome::Lost | Outcome::NotSent => {
                self.answer_unavailable(id, RefusalReason::StoreFailed)
            }
        }
    }

    fn on_accepted_without_leader(&mut self, id: RequestId, job: String, dependency_aborted: bool) {
        tracing::info!(job = %job, "accepted without the leader");
        if dependency_aborted {
            self.learn_terminal_state(&job, RecordedStatus::Aborted);
        }
        let status = if dependency_aborted { JobStatus::Aborted } else { JobStatus::Queued };
        let answer = answer_without_counts(&job, status);
        self.answer(id, Response::new(201, to_cbor(&answer)));
    }
}

/// Returns the keys of the guards that failed in a transaction, if the answer can be decoded.
fn failed_guard_keys(answer: &Response) -> Option<Vec<String>> {
    from_cbor::<TransactionAnswer>(&answer.body).ok().map(|answer| answer.failed)
}
