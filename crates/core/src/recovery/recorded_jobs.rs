//! Jobs that are recorded in the store but not in the leader's memory: accepted by another
//! controller without the leader, or by an indeterminate write of the leader itself.

use std::collections::BTreeMap;

use quartzgate_wire::from_cbor;
use quartzgate_wire::msg::KeyValueList;

use super::placements::PartialPlacements;
use super::{RecoveryCall, LIST_LIMIT};
use crate::controller::Controller;
use crate::ids::JobIndex;
use crate::in_flight::InFlight;
use crate::jobs::JobState;
use crate::storage::read_budget::ReadPurpose;
use crate::storage::records::{
    decode, job_key, parse_placement_key, placement_key, read_placement, JobRecord, RecordedStatus,
    PLACEMENT_PREFIX,
};
use crate::{Outcome, Peer};

/// Jobs whose records must be read because the jobs may have been accepted.
#[derive(Default)]
pub(crate) struct RecordedJobReads {
    /// Jobs whose reads failed.
    to_retry: Vec<String>,
    /// Submissions with indeterminate writes, and until when, by the monotonic clock, the record of
    /// each is looked for.
    indeterminate_submissions: BTreeMap<String, u64>,
}

impl Controller {
    /// Adds a job recorded as live to memory. Its placements are read before any of its tasks
    /// starts. Returns `None` if the job has ended or cannot be added.
    pub(crate) fn add_recorded_job(
        &mut self,
        id: &str,
        mut record: JobRecord,
        revision: u64,
    ) -> Option<JobIndex> {
        if !self.leads() {
            return None;
        }
        if let Some(ix) = self.jobs.find(id) {
            return Some(ix);
        }
        // The record may have been read before a terminal state that has become known since.
        if record.status != RecordedStatus::Live || self.terminal_jobs.get(id).is_some() {
            return None;
        }
        // A job without a record of its own is in a batch record, and all jobs of batch records are
        // in memory or being recorded.
        if revision == 0 {
            return None;
        }
        let inline_placement = record.placement.take();
        let ix = self.insert_recorded(record, revision)?;
        tracing::info!(job = %id, "a recorded job is added to memory");
        if let Some(job) = self.jobs.get_mut(ix) {
            (job.state, job.busy) = (JobState::Recording, true);
        }
        self.add_to_dependency_graph(ix);
        // Any placements were written by this leader, which has started none of the tasks.
        if let Some(piece) = inline_placement {
            self.load_inline(ix, &piece, revision);
        }
        self.read_placements(ix);
        Some(ix)
    }

    fn read_placements(&mut self, ix: JobIndex) {
        let Some(job) = self.jobs.get(ix) else { return };
        let target = format!("/keys?starts={PLACEMENT_PREFIX}{}/&most={LIST_LIMIT}", job.id);
        let call = RecoveryCall::PlacementsRead { job: ix, epoch: self.epoch() };
        let timeout_ms = self.context.config.store_timeout_ms();
        self.get_for_recovery(Peer::State, target, timeout_ms, call);
    }

    /// Loads the placements of an added job. If the read failed, the job is dropped from memory
    /// until its next status query or retry finds it again.
    pub(super) fn on_placements_read(&mut self, ix: JobIndex, outcome: Outcome) {
        let list = match outcome {
            Outcome::Answer(r) if r.status == 200 => from_cbor::<KeyValueList>(&r.body).ok(),
            _ => None,
        };
        let Some(list) = list else { return self.drop_job(ix) };
        self.note_store_answer();
        let mut placements = PartialPlacements::default();
        for pair in list.pairs {
            let Some((_, chunk)) = parse_placement_key(&pair.key) else { continue };
            let piece = read_placement(&pair.key, &pair.value, pair.revision);
            if !piece.is_some_and(|piece| placements.add(chunk, piece)) {
                return self.on_unreadable_placement(ix, &pair.key);
            }
        }
        let (complete, partial) = placements.split_complete();
        if let Some(chunk) = partial.into_chunks().next() {
            let key = self.jobs.get(ix).map(|job| placement_key(&job.id, chunk));
            return self.on_unreadable_placement(ix, &key.unwrap_or_default());
        }
        self.load_chunks(ix, complete);
        if let Some(job) = self.jobs.get_mut(ix) {
            job.busy = false;
        }
        self.set_job_state(ix, JobState::Live);
        self.record_writer.mark_job_dirty(ix);
        self.placement_due = true;
    }

    /// Handles the read of a job that may have been accepted without the leader's knowledge.
    pub(crate) fn on_recorded_job_read(&mut self, job: String, outcome: Outcome) {
        let Ok(pair) = self.read_outcome(outcome) else {
            return self.recorded_job_reads.to_retry.push(job);
        };
        let Some(pair) = pair else { return };
        match decode::<JobRecord>(&pair.value) {
            Some(record) => drop(self.add_recorded_job(&job, record, pair.revision)),
            None => {
                tracing::error!(job = %job, "the job's record can't be decoded; it is not run")
            }
        }
    }

    /// Keeps looking for the record of a job whose accepting write is indeterminate, until the
    /// lease bound has elapsed. If the write has been or will be executed, other controllers may
    /// answer that the job is accepted, so it has to run.
    pub(crate) fn track_indeterminate_submission(&mut self, job: String) {
        let look_until_ms = self.context.now.steady_ms + self.context.config.lease_bound_ms();
        let submissions = &mut self.recorded_job_reads.indeterminate_submissions;
        if submissions.len() < self.context.config.max_indeterminate_submissions() {
            submissions.insert(job, look_until_ms);
        }
    }

    /// Reads the records of indeterminate submissions as far as the read budget allows.
    fn read_indeterminate_submissions(&mut self) {
        let now = self.context.now.steady_ms;
        let (jobs, terminal_jobs) = (&self.jobs, &self.terminal_jobs);
        let submissions = &mut self.recorded_job_reads.indeterminate_submissions;
        submissions.retain(|job, look_until_ms| {
            now < *look_until_ms && jobs.find(job).is_none() && terminal_jobs.get(job).is_none()
        });
        for job in submissions.keys().cloned().collect::<Vec<_>>() {
            if !self.may_read(ReadPurpose::IndeterminateSubmission) {
                return;
            }
            self.read_recorded_job(job);
        }
    }

    /// Reads indeterminate submissions and retries failed reads; called periodically.
    pub(crate) fn read_recorded_jobs(&mut self) {
        self.read_indeterminate_submissions();
        for job in std::mem::take(&mut self.recorded_job_reads.to_retry) {
            self.read_recorded_job(job);
        }
    }

    fn read_recorded_job(&mut self, job: String) {
        let target = format!("/keys/{}", job_key(&job));
        let pending = InFlight::RecordedJobRead { job, epoch: self.epoch() };
        self.call_store("GET", target, Vec::new(), pending);
    }
}
