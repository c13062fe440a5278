//! Periodic reads of live jobs' records, to detect aborts that were recorded without the leader.
//!
//! Every live job's record is reread several times within the lease bound. This does not depend on
//! the handoff queue, from which the leader usually learns of such aborts.

use crate::controller::Controller;
use crate::ids::JobIndex;
use crate::jobs::JobState;
use crate::storage::calls::StorageCall;
use crate::storage::read_budget::ReadPurpose;
use crate::storage::records::{decode, job_key, JobRecord, RecordedStatus};
use crate::Outcome;

/// Number of reads of each record within the lease bound.
const READS_PER_LEASE_BOUND: u64 = 3;

impl Controller {
    /// Reads the records that are due, those read least recently first, as far as the rate limit
    /// allows.
    pub(crate) fn read_live_records(&mut self) {
        let now = self.context.now.steady_ms;
        for job_index in self.live_jobs_due_for_read() {
            let Some(job_id) = self.jobs.get(job_index).map(|job| job.id.clone()) else { continue };
            if !self.may_read(ReadPurpose::LiveRecord) {
                return;
            }
            if let Some(job) = self.jobs.get_mut(job_index) {
                job.record_read_ms = now;
            }
            let target = format!("/keys/{}", job_key(&job_id));
            let call = StorageCall::LiveRecordRead { job: job_id, epoch: self.epoch() };
            self.call_from_storage("GET", target, Vec::new(), call);
        }
    }

    fn live_jobs_due_for_read(&self) -> Vec<JobIndex> {
        let now = self.context.now.steady_ms;
        let interval_ms = self.context.config.lease_bound_ms() / READS_PER_LEASE_BOUND;
        let mut due: Vec<(u64, JobIndex)> = self
            .jobs
            .iter()
            .filter(|(_, job)| {
                job.state.is_accepted() && !job.busy && now > job.record_read_ms + interval_ms
            })
            .map(|(job_index, job)| (job.record_read_ms, job_index))
            .collect();
        due.sort_unstable();
        due.into_iter().map(|(_, job_index)| job_index).collect()
    }

    /// Handles the outcome of reading a live job's record. A failed read is repeated when the job
    /// is due again.
    pub(super) fn on_live_record_read(&mut self, job_id: String, outcome: Outcome) {
        if let Ok(Some(pair)) = self.read_outcome(outcome) {
            let status = decode::<JobRecord>(&pair.value).map(|record| record.status);
            if status == Some(RecordedStatus::Aborted) {
                self.apply_recorded_abort(&job_id, pair.revision);
            }
        }
    }

    /// Marks a job as aborted after the leader has read an abort that was recorded without it.
    pub(crate) fn apply_recorded_abort(&mut self, job_id: &str, revision: u64) {
        let Some(job_index) = self.jobs.find(job_id) else { return };
        if let Some(job) = self.jobs.get_mut(job_index) {
            job.revision = revision;
        }
        if self.jobs.get(job_index).is_some_and(|job| job.state != JobState::Aborted) {
            self.set_job_state(job_index, JobState::Aborted);
            self.record_writer.mark_job_dirty(job_index);
        }
    }

    /// Requires that a live job's record is reread before any further task of the job starts, and
    /// rereads it unless a call for the record is in flight already.
    pub(crate) fn require_reread_before_starts(&mut self, job_index: JobIndex) {
        let Some(job) = self.jobs.get_mut(job_index).filter(|job| job.state == JobState::Live)
        else {
            return;
        };
        job.must_reread_record = true;
        if !job.busy {
            self.reread_job(job_index);
        }
    }

    /// Rereads the records of jobs for which a reread is required and could not be made at once,
    /// because a write or read of the record was in flight.
    pub(crate) fn read_unverified_jobs(&mut self) {
        let unverified = self
            .jobs
            .iter()
            .filter(|(_, job)| job.must_reread_record && !job.busy && job.state.is_accepted());
        for job_index in unverified.map(|(job_index, _)| job_index).collect::<Vec<_>>() {
            self.reread_job(job_index);
        }
    }
}
