//! Writes, reads and deletes the leader's batch records.
//!
//! Every write is guarded by the epoch record and by the batch record's revision that the leader
//! knows. A write that creates a batch record is also guarded by the absence of an own record of
//! each of its jobs. While the outcome of a write is unknown, the record is read before it is
//! written again, so that no job is accepted twice and none is lost.

use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{Change, Guard, KeyValue, Transaction};
use quartzgate_wire::to_cbor;

use crate::api::refusal::RefusalReason;
use crate::controller::Controller;
use crate::ids::JobIndex;
use crate::in_flight::InFlight;
use crate::jobs::JobState;
use crate::storage::placement_records::RecordLocation;
use crate::storage::record_writer::{write_outcome, WritePurpose};
use crate::storage::records::{
    batch_key, checked_size, decode, encode, inline_piece, job_key, BatchRecord, EPOCH_KEY,
};
use crate::Outcome;

use super::{BatchCall, BatchState, BatchSubmission};

/// The contents of a batch record as of now in memory, and the jobs that it holds.
struct BatchContents {
    record: BatchRecord,
    members: Vec<JobIndex>,
}

impl Controller {
    /// Writes the batch record of a job whose placement is to be recorded, if the record can be
    /// written now.
    pub(crate) fn rewrite_batch(&mut self, number: u64) {
        if self.job_batches.is_read_only(number) {
            // A rewrite would lose the part that can't be decoded, so the other jobs get records
            // of their own.
            for member in self.job_batches.members_of(number) {
                self.require_own_record(member);
            }
        } else if !self.job_batches.is_busy(number) {
            self.write_batch(number);
        }
    }

    /// Moves a job out of its batch: it gets a record of its own, written together with its first
    /// chunk, before any other record of it is written.
    pub(crate) fn move_out_of_batch(&mut self, job_index: JobIndex) {
        self.require_own_record(job_index);
        self.mark_blocking_starts(job_index, 0);
    }

    fn require_own_record(&mut self, job: JobIndex) {
        if let Some(job) = self.jobs.get_mut(job) {
            job.needs_own_record = true;
        }
    }

    /// Writes the contents of a batch from memory. A new batch without jobs is discarded, unless an
    /// earlier write of it may still be applied.
    pub(super) fn write_batch(&mut self, number: u64) {
        let Some(contents) = self.batch_contents(number) else { return };
        let Some(batch) = self.job_batches.batches.get(&number) else { return };
        let (is_new, revision) = (batch.is_new(), batch.revision);
        if contents.members.is_empty() && is_new && !batch.write_indeterminate {
            return self.discard_new_batch(number);
        }
        let key = batch_key(number);
        let mut guards = vec![
            Guard { key: EPOCH_KEY.into(), revision: self.membership.epoch_revision() },
            Guard { key: key.clone(), revision },
        ];
        if is_new {
            guards.extend(self.guards_against_own_records(&contents.members));
        }
        let value = encode(&contents.record);
        let apply = vec![Change::Set { set: key, value, lease_id: None }];
        for member in &contents.members {
            self.on_placement_sent(*member, 0, RecordLocation::default());
            self.record_writer.clear_dirty_chunk(*member, 0);
        }
        self.record_writer.write_limiter.charge(self.context.now.steady_ms, 1.0);
        self.record_writer
            .count_changes(if is_new { WritePurpose::Accept } else { WritePurpose::Placement }, 1);
        self.job_batches.set_batch_state(number, BatchState::Writing);
        let body = to_cbor(&Transaction { guards, apply });
        let call = BatchCall::Write { number, epoch: self.epoch() };
        self.call_store("POST", "/multi".into(), body, InFlight::Batch(call));
    }

    /// Returns guards against any of the jobs having a record of its own.
    fn guards_against_own_records(&self, members: &[JobIndex]) -> Vec<Guard> {
        let jobs = members.iter().filter_map(|member| self.jobs.get(*member));
        jobs.map(|job| Guard { key: job_key(&job.id), revision: 0 }).collect()
    }

    /// Returns the contents of a batch record to be written. If the members no longer fit in one
    /// record, the largest one is to get a record of its own. The batch is not written until then,
    /// because a job that is recorded nowhere else must not be left out. A new batch rejects its
    /// largest job instead, as that job is not accepted yet.
    fn batch_contents(&mut self, number: u64) -> Option<BatchContents> {
        let batch = self.job_batches.batches.get(&number)?;
        let is_new = batch.is_new();
        let mut members: Vec<JobIndex> = batch.members.iter().copied().collect();
        if self.any_member_leaving(&members) {
            return None;
        }
        let max_bytes = self.max_value_bytes();
        loop {
            let record = self.batch_record(&members);
            if checked_size(&record) <= max_bytes || members.is_empty() {
                return Some(BatchContents { record, members });
            }
            let largest = members.remove(self.position_of_largest(&members)?);
            if !is_new {
                self.require_own_record(largest);
                members.push(largest);
                members.iter().for_each(|member| self.mark_blocking_starts(*member, 0));
                return None;
            }
            self.reject_from_new_batch(number, largest);
        }
    }

    /// Returns whether any member is about to get a record of its own.
    fn any_member_leaving(&self, members: &[JobIndex]) -> bool {
        members.iter().any(|member| self.jobs.get(*member).is_some_and(|job| job.needs_own_record))
    }

    fn batch_record(&mut self, members: &[JobIndex]) -> BatchRecord {
        let mut record = BatchRecord::default();
        for member in members {
            let placement = self.placement_record(*member, 0);
            let Some(job) = self.jobs.get(*member) else { continue };
            record.add(&job.spec, job.submitted_ms, placement.map(|p| inline_piece(&p)));
        }
        record
    }

    /// Returns the position of the member with the most tasks; the last one if several have as
    /// many.
    fn position_of_largest(&self, members: &[JobIndex]) -> Option<usize> {
        let tasks = |member: JobIndex| self.jobs.get(member).map_or(0, |job| job.spec.tasks);
        (0..members.len()).max_by_key(|position| tasks(members[*position]))
    }

    /// Rejects a job of a batch whose record is not stored yet.
    fn reject_from_new_batch(&mut self, number: u64, job: JobIndex) {
        self.drop_job(job);
        let Some(batch) = self.job_batches.batches.get_mut(&number) else { return };
        let submissions = std::mem::take(&mut batch.submissions);
        let (rejected, others): (Vec<BatchSubmission>, Vec<BatchSubmission>) =
            submissions.into_iter().partition(|submission| submission.job == job);
        batch.submissions = others;
        self.refuse_submissions(rejected);
    }

    fn refuse_submissions(&mut self, submissions: Vec<BatchSubmission>) {
        for submission in submissions {
            self.answer_unavailable(submission.request, RefusalReason::StoreFailed);
        }
    }

    /// Handles the outcome of a write of a batch record.
    pub(super) fn on_batch_written(&mut self, number: u64, outcome: Outcome) {
        let Some(batch) = self.job_batches.batches.get(&number) else { return };
        let is_new = batch.is_new();
        let (status, answer) = write_outcome(&outcome);
        match (status, answer) {
            (200, Some(answer)) => {
                self.note_store_answer();
                self.on_batch_recorded(number, answer.store_revision);
            }
            (409, Some(answer)) => {
                self.note_store_answer();
                self.on_batch_conflict(number, &answer.failed);
            }
            (400 | 429 | 503, _) if is_new => self.on_new_batch_refused(number, status),
            (400 | 429 | 503, _) => self.on_batch_rewrite_refused(number, status),
            _ => self.read_batch(number),
        }
    }

    /// Handles a write whose guards did not hold: the revisions of these keys differ in the store.
    fn on_batch_conflict(&mut self, number: u64, failed: &[String]) {
        if failed.iter().any(|key| key == EPOCH_KEY) {
            self.step_down();
        } else if failed.contains(&batch_key(number)) {
            self.read_batch(number);
        } else {
            self.drop_jobs_with_records(number, failed);
        }
    }

    /// Handles the refusal of a write that creates a record. If an earlier write of the record may
    /// still be applied, the record is read later. Otherwise a malformed batch is discarded, and
    /// the jobs of any other batch wait for the next one.
    fn on_new_batch_refused(&mut self, number: u64, status: u16) {
        let batch = self.job_batches.batches.get(&number);
        if batch.is_some_and(|batch| batch.write_indeterminate) {
            self.on_store_throttled(status);
            self.job_batches.set_batch_state(number, BatchState::Reading);
            self.job_batches.reads_to_retry.push(number);
        } else if status == 400 {
            log_malformed_batch(number);
            self.discard_new_batch(number);
        } else {
            self.on_store_throttled(status);
            self.return_to_intake(number);
        }
    }

    /// Handles the refusal of a write that replaces a record. The stored record is unchanged.
    fn on_batch_rewrite_refused(&mut self, number: u64, status: u16) {
        let is_malformed = status == 400;
        if is_malformed {
            log_malformed_batch(number);
        }
        self.on_store_throttled(status);
        self.job_batches.set_batch_state(number, BatchState::Recorded);
        self.on_batch_not_written(number, is_malformed);
    }

    /// Handles a write of a batch record that is known to have been applied.
    fn on_batch_recorded(&mut self, number: u64, revision: u64) {
        let Some(batch) = self.job_batches.batches.get_mut(&number) else { return };
        batch.revision = revision;
        let members = self.job_batches.members_of(number);
        let submissions = self.job_batches.take_submissions(number);
        self.job_batches.set_batch_state(number, BatchState::Recorded);
        for member in members {
            self.on_member_recorded(member);
        }
        for submission in submissions {
            self.answer_accepted(submission);
        }
        self.placement_due = true;
        self.preempt_due = true;
        self.delete_empty_batch(number);
    }

    fn on_member_recorded(&mut self, member: JobIndex) {
        let Some(job) = self.jobs.get_mut(member) else { return };
        let is_accepted_now = job.state == JobState::Recording;
        let uses_batch_record = !job.needs_own_record;
        if let Some(chunk) = job.chunks.get_mut(&0).filter(|c| c.busy && uses_batch_record) {
            chunk.busy = false;
            chunk.stored_version = chunk.version;
        }
        if is_accepted_now {
            self.accept_member(member);
        }
        self.dispatch_probed_machines(member);
        self.record_writer.mark_job_dirty(member);
    }

    fn accept_member(&mut self, member: JobIndex) {
        self.add_to_dependency_graph(member);
        self.set_job_state(member, JobState::Live);
    }

    fn answer_accepted(&mut self, submission: BatchSubmission) {
        let Some(job) = self.jobs.get(submission.job) else {
            return self.answer_unavailable(submission.request, RefusalReason::StoreFailed);
        };
        let mut answer = job.answer();
        answer.done = None;
        answer.running = None;
        self.answer(submission.request, Response::new(201, to_cbor(&answer)));
    }

    /// Removes the jobs of a new batch that already have records of their own. Their submissions
    /// are answered from those records, and the other jobs are recorded without them.
    fn drop_jobs_with_records(&mut self, number: u64, failed: &[String]) {
        if !self.job_batches.batches.contains_key(&number) {
            return;
        }
        let submissions = self.job_batches.take_submissions(number);
        for member in self.job_batches.members_of(number) {
            let recorded = self.jobs.get(member).filter(|job| failed.contains(&job_key(&job.id)));
            let Some(id) = recorded.map(|job| job.id.clone()) else { continue };
            self.drop_job(member);
            for submission in submissions.iter().filter(|s| s.job == member) {
                self.query_status(submission.request, id.clone());
            }
        }
        let is_in_memory = |s: &BatchSubmission| self.jobs.get(s.job).is_some();
        let others: Vec<BatchSubmission> = submissions.into_iter().filter(is_in_memory).collect();
        let Some(batch) = self.job_batches.batches.get_mut(&number) else { return };
        batch.submissions = others;
        // An earlier write that may still be applied has to be superseded, even if only by an empty
        // record.
        if batch.members.is_empty() && !batch.write_indeterminate {
            return self.discard_new_batch(number);
        }
        self.write_batch(number);
    }

    /// Discards a new batch that was certainly not written. Its jobs are not accepted.
    fn discard_new_batch(&mut self, number: u64) {
        let Some(batch) = self.job_batches.remove_newest(number) else { return };
        for member in batch.members {
            self.drop_job(member);
        }
        self.refuse_submissions(batch.submissions);
    }

    /// Dissolves a new batch that was certainly not written because too few writes were available.
    /// Jobs whose submissions still wait go to the next batch.
    fn return_to_intake(&mut self, number: u64) {
        let Some(batch) = self.job_batches.remove_newest(number) else { return };
        for member in batch.members {
            if !batch.submissions.iter().any(|submission| submission.job == member) {
                self.drop_job(member);
                continue;
            }
            let Some(job) = self.jobs.get_mut(member) else { continue };
            job.batch_number = None;
            job.chunks.values_mut().for_each(|chunk| chunk.busy = false);
        }
        let now_ms = self.context.now.steady_ms;
        self.job_batches.intake.requeue(batch.submissions, now_ms);
    }

    /// Marks the placements of a batch as dirty again, because its record was not replaced or may
    /// be older than memory. After a malformed write, the placements wait for the duration of a
    /// lease before they are written again.
    fn on_batch_not_written(&mut self, number: u64, is_malformed: bool) {
        let retry_at_ms = self.context.now.steady_ms + self.context.config.lease_ms();
        for member in self.job_batches.members_of(number) {
            let chunk = self.jobs.get_mut(member).and_then(|job| job.chunks.get_mut(&0));
            let Some(chunk) = chunk.filter(|chunk| chunk.busy) else { continue };
            chunk.busy = false;
            if is_malformed {
                chunk.deferred_until_ms = retry_at_ms;
            }
            self.mark_blocking_starts(member, 0);
        }
    }

    /// Reads a batch record after a write that may or may not have been applied.
    fn read_batch(&mut self, number: u64) {
        self.job_batches.set_batch_state(number, BatchState::Reading);
        if let Some(batch) = self.job_batches.batches.get_mut(&number) {
            batch.write_indeterminate |= batch.is_new();
        }
        let submissions = self.job_batches.take_submissions(number);
        self.refuse_submissions(submissions);
        let call = BatchCall::Read { number, epoch: self.epoch() };
        let target = format!("/keys/{}", batch_key(number));
        self.call_store("GET", target, Vec::new(), InFlight::Batch(call));
    }

    /// Handles the outcome of reading a batch record after a write whose outcome is unknown.
    pub(super) fn on_batch_read(&mut self, number: u64, outcome: Outcome) {
        let Ok(pair) = self.read_outcome(outcome) else {
            // The read is retried once a second.
            return self.job_batches.reads_to_retry.push(number);
        };
        if !self.job_batches.batches.contains_key(&number) {
            return;
        }
        match pair {
            Some(pair) => self.on_batch_found(number, pair),
            // An earlier write may still be applied late. Writing the record again changes the
            // revision that guards the earlier write.
            None => self.write_batch(number),
        }
    }

    /// Handles a batch record that was found in the store. If the batch was new, it is unknown
    /// which of this leader's writes created the record.
    fn on_batch_found(&mut self, number: u64, pair: KeyValue) {
        let Some(batch) = self.job_batches.batches.get_mut(&number) else { return };
        let was_new = batch.is_new();
        batch.revision = pair.revision;
        self.job_batches.set_batch_state(number, BatchState::Recorded);
        if was_new {
            self.reconcile_new_batch(number, decode(&pair.value));
        }
        self.on_batch_not_written(number, false);
        self.delete_empty_batch(number);
    }

    /// Reconciles a new batch with its record, which was created by a write without an answer. The
    /// jobs in the record are accepted. Which version of their placements the record has is
    /// unknown, so that the placements are written again.
    fn reconcile_new_batch(&mut self, number: u64, recorded: Option<BatchRecord>) {
        for member in self.job_batches.members_of(number) {
            self.reconcile_member(number, member, recorded.as_ref());
        }
        // An earlier write may have held jobs that are no longer in memory. The record then stays
        // as it is, and every lookup reads it.
        let is_known = |id: &String| self.jobs.find(id).is_some();
        if !recorded.is_some_and(|record| record.ids().all(is_known)) {
            tracing::error!(
                number,
                "a batch record holds unexpected jobs or can't be decoded; it is left as it is"
            );
            self.job_batches.mark_read_only(number, None);
        }
    }

    fn reconcile_member(&mut self, number: u64, member: JobIndex, recorded: Option<&BatchRecord>) {
        let Some(job) = self.jobs.get(member) else { return };
        let (id, is_recording) = (job.id.clone(), job.state == JobState::Recording);
        match recorded {
            Some(record) if record.holds(&id) => {
                if is_recording {
                    self.accept_member(member);
                }
                self.record_writer.mark_job_dirty(member);
            }
            Some(_) => self.drop_job(member),
            None => {
                self.job_batches.mark_read_only(number, Some(id));
                self.drop_job(member);
            }
        }
    }

    /// Retries the failed reads of batch records.
    pub(crate) fn retry_batch_reads(&mut self) {
        for number in std::mem::take(&mut self.job_batches.reads_to_retry) {
            self.read_batch(number);
        }
    }

    /// Removes a job from a batch, because the job has a record of its own now or is gone.
    pub(crate) fn remove_from_batch(&mut self, job_index: JobIndex, number: u64) {
        if let Some(batch) = self.job_batches.batches.get_mut(&number) {
            batch.members.remove(&job_index);
        }
        self.delete_empty_batch(number);
    }

    /// Deletes a batch record that no job needs any more, unless it is the newest. Does the same
    /// for the preceding batch, which may have become empty while it was the newest and could not
    /// be deleted.
    pub(crate) fn delete_empty_batch(&mut self, number: u64) {
        let preceding = self.job_batches.batches.range(..number).next_back().map(|(n, _)| *n);
        for number in preceding.into_iter().chain([number]) {
            let Some(batch) = self.job_batches.batches.get(&number) else { continue };
            if batch.is_disposable() && number < self.job_batches.last_number {
                self.job_batches.batches.remove(&number);
                self.record_writer.schedule_deletion(batch_key(number));
            }
        }
    }

    /// Deletes all batch records that no job needs any more, except the newest.
    pub(crate) fn delete_empty_batches(&mut self) {
        let numbers: Vec<u64> = self.job_batches.batches.keys().copied().collect();
        numbers.into_iter().for_each(|number| self.delete_empty_batch(number));
    }
}

fn log_malformed_batch(number: u64) {
    tracing::error!(number, "the store rejected a batch record as malformed");
}
