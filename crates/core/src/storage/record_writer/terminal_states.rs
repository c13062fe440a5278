//! Adds jobs' own records to a flush: terminal states, and completed chunks that are folded into
//! the record.

use std::cmp::Reverse;

use quartzgate_feature_gates::Feature;
use quartzgate_wire::msg::{Change, Guard, JobKind};

use super::flush::{Draft, CLEANUP_RESERVE};
use super::{FlushItem, WritePurpose};
use crate::controller::Controller;
use crate::ids::JobIndex;
use crate::jobs::{Chunk, Job, JobState};
use crate::placement::placer::MAX_OPEN_CHUNKS;
use crate::storage::records::{encode, job_key, JobRecord, RecordedStatus};

/// Fewest completed chunks that are folded in one write, unless they hold up the placement of
/// further chunks.
const MIN_FOLDED_CHUNKS: usize = 4;
/// Fraction of one second's writes that terminal states of aborted jobs leave to all other writes.
const ABORTED_RESERVE: f64 = 0.5;
/// Number of changes that must be available beyond [`CLEANUP_RESERVE`] for placement records to be
/// deleted together with the terminal state.
const MIN_CHANGES_FOR_DELETIONS: f64 = 2.0;
/// Estimated size in bytes of a terminal state in a transaction.
const TERMINAL_STATE_BYTES: usize = 300;
/// Estimated size in bytes of the deletion of a chunk's placement record.
const DELETION_BYTES: usize = 200;

/// How a flush treats a job's own record.
enum JobRecordAction {
    /// The record does not have to be written any more.
    Discard,
    /// The record can't be written yet.
    Wait,
    /// Completed chunks may be folded into the record.
    Fold,
    /// The job has ended with this terminal status.
    End(RecordedStatus),
}

/// Returns the leading chunks whose placement records have at most `max_keys` keys in total.
fn chunks_within_key_limit<'a>(
    chunks: impl Iterator<Item = (&'a u32, &'a Chunk)>,
    max_keys: usize,
) -> Vec<u32> {
    let mut left = max_keys;
    let fitting = chunks.take_while(|(_, chunk)| {
        let fits = chunk.pieces as usize <= left;
        left = left.saturating_sub(chunk.pieces as usize);
        fits
    });
    fitting.map(|(number, _)| *number).collect()
}

impl Controller {
    /// Adds terminal states and folds to the transaction: the terminal states of jobs whose tasks
    /// have all completed and of aborted jobs that no longer occupy a machine, and the folds of
    /// live jobs. `best_effort` selects either the best-effort jobs or all others. Returns whether
    /// the terminal state of a completed job is left over for lack of changes.
    pub(super) fn gather_terminal_states(
        &mut self,
        best_effort: bool,
        max_changes: usize,
        draft: &mut Draft,
    ) -> bool {
        if draft.changes() >= max_changes {
            return self.any_completion_waits(best_effort);
        }
        for job_index in self.dirty_jobs_in_order(best_effort) {
            if self.record_writer.must_send_alone(draft) {
                return false;
            }
            match self.job_record_action(job_index) {
                JobRecordAction::Discard => self.record_writer.clear_dirty_job(job_index),
                JobRecordAction::Wait => {}
                JobRecordAction::Fold => self.gather_fold(job_index, max_changes, draft),
                JobRecordAction::End(status) => {
                    if !self.add_terminal_state(job_index, status, max_changes, draft) {
                        return status == RecordedStatus::Done;
                    }
                }
            }
        }
        false
    }

    fn is_best_effort_job(&self, job_index: JobIndex) -> bool {
        self.jobs.get(job_index).is_some_and(|job| self.is_best_effort(job))
    }

    fn any_completion_waits(&self, best_effort: bool) -> bool {
        let completed = |job: &Job| job.state == JobState::Live && job.done >= job.spec.tasks;
        let mut waiting = self.record_writer.dirty_jobs.iter();
        waiting.any(|job_index| {
            self.is_best_effort_job(*job_index) == best_effort
                && self.jobs.get(*job_index).is_some_and(completed)
        })
    }

    /// Returns the jobs whose own record may have to be written. Jobs that others depend on come
    /// first and aborted jobs last; each group is ordered by priority, then by fairness between
    /// teams and classes.
    fn dirty_jobs_in_order(&self, best_effort: bool) -> Vec<JobIndex> {
        let dirty = self.record_writer.dirty_jobs.iter().copied();
        let mut jobs: Vec<JobIndex> =
            dirty.filter(|job_index| self.is_best_effort_job(*job_index) == best_effort).collect();
        let mut tags = self.record_writer.terminal_state_queue.tag_assigner();
        jobs.sort_by_cached_key(|job_index| {
            let job = self.jobs.get(*job_index);
            let rank = match job {
                Some(job) if job.state == JobState::Aborted => 2,
                Some(job) if self.dependency_graph.has_dependents(&job.id) => 0,
                _ => 1,
            };
            let fairness_tag = job.map(|job| tags.next_tag(job.team, &job.spec.class));
            (rank, Reverse(job.map(|job| job.priority)), fairness_tag)
        });
        jobs
    }

    fn job_record_action(&self, job_index: JobIndex) -> JobRecordAction {
        let Some(job) = self.jobs.get(job_index) else { return JobRecordAction::Discard };
        let now = self.context.now.steady_ms;
        if job.busy || job.chunks.values().any(|c| c.busy) || now < job.deferred_until_ms {
            return JobRecordAction::Wait;
        }
        let off_machines = || job.tasks().all(|(_, task)| !task.state.holds_reservation());
        match job.state {
            JobState::Live if job.done >= job.spec.tasks => {
                JobRecordAction::End(RecordedStatus::Done)
            }
            JobState::Aborted if off_machines() => JobRecordAction::End(RecordedStatus::Aborted),
            JobState::Live => JobRecordAction::Fold,
            JobState::Done | JobState::Finishing | JobState::Unreadable | JobState::Waiting => {
                JobRecordAction::Discard
            }
            _ => JobRecordAction::Wait,
        }
    }

    /// Adds a job's terminal state to the transaction, with the deletion of as many of its
    /// placement records as there are changes for. Returns false if the terminal state does not
    /// fit.
    fn add_terminal_state(
        &mut self,
        job_index: JobIndex,
        status: RecordedStatus,
        max_changes: usize,
        draft: &mut Draft,
    ) -> bool {
        let now = self.context.now.steady_ms;
        let writes = &mut self.record_writer.write_limiter;
        if status == RecordedStatus::Aborted && writes.available(now, ABORTED_RESERVE) < 1.0 {
            return true;
        }
        // Placement records of an ended job only occupy space in the store. While changes are
        // scarce, they are deleted later, in separate transactions.
        let delete_now = writes.available(now, CLEANUP_RESERVE) >= MIN_CHANGES_FOR_DELETIONS;
        let changes_left = max_changes.saturating_sub(draft.changes());
        if changes_left < 1 + usize::from(delete_now) && draft.changes() > 0 {
            return false;
        }
        let Some(job) = self.jobs.get(job_index) else { return true };
        let recorded = job.chunks.iter().filter(|(_, chunk)| chunk.revision > 0);
        let max_keys = if delete_now { changes_left.max(2) - 1 } else { 0 };
        let chunks = chunks_within_key_limit(recorded, max_keys);
        let record = self.terminal_record(job, status);
        let key = job_key(&job.id);
        draft.transaction.guards.push(Guard { key: key.clone(), revision: job.revision });
        draft.transaction.apply.push(Change::Set {
            set: key,
            value: encode(&record),
            lease_id: None,
        });
        let before_deletions = draft.changes();
        self.record_writer.terminal_state_queue.record_service(job.team, &job.spec.class);
        self.remove_placements(job_index, &chunks, &mut draft.transaction);
        self.record_writer.count_changes(WritePurpose::TerminalState, 1);
        self.record_writer.count_changes(WritePurpose::Cleanup, draft.changes() - before_deletions);
        draft.bytes += TERMINAL_STATE_BYTES + DELETION_BYTES * chunks.len();
        self.record_writer.clear_dirty_job(job_index);
        if let Some(job) = self.jobs.get_mut(job_index) {
            job.busy = true;
        }
        if status == RecordedStatus::Done {
            self.set_job_state(job_index, JobState::Finishing);
        }
        draft.items.push(FlushItem::Terminal { job: job_index, chunks });
        true
    }

    /// Returns the record of a job that has ended, which does not retain the job's description.
    fn terminal_record(&self, job: &Job, status: RecordedStatus) -> JobRecord {
        JobRecord {
            status,
            spec: None,
            at_ms: job.submitted_ms,
            done_chunks: Vec::new(),
            service: job.spec.kind == JobKind::Service && self.is_active(Feature::ServiceMark),
            placement: None,
        }
    }

    /// Folds completed chunks of a large job into the job's own record. Several are folded at a
    /// time, unless unfolded chunks hold up the placement of further chunks.
    fn gather_fold(&mut self, job_index: JobIndex, max_changes: usize, draft: &mut Draft) {
        let Some(job) = self.jobs.get(job_index) else { return };
        let changes_left = max_changes.saturating_sub(draft.changes());
        if !self.may_fold(job) || changes_left < 2 {
            return self.record_writer.clear_dirty_job(job_index);
        }
        let foldable = |chunk: &Chunk| !chunk.busy && chunk.revision > 0 && chunk.is_complete();
        let completed = job.chunks.iter().filter(|(_, chunk)| foldable(chunk));
        let max_keys = changes_left - 1;
        let chunks = chunks_within_key_limit(completed, max_keys);
        let few = chunks.len() < MIN_FOLDED_CHUNKS.min(max_keys);
        let may_wait = job.chunks.len() < MAX_OPEN_CHUNKS + MIN_FOLDED_CHUNKS;
        if chunks.is_empty() || few && may_wait {
            return self.record_writer.clear_dirty_job(job_index);
        }
        let record = self.folded_record(job, &chunks);
        let key = job_key(&job.id);
        let changes_before = draft.changes();
        draft.transaction.guards.push(Guard { key: key.clone(), revision: job.revision });
        draft.transaction.apply.push(Change::Set {
            set: key,
            value: encode(&record),
            lease_id: None,
        });
        self.remove_placements(job_index, &chunks, &mut draft.transaction);
        self.record_writer.count_changes(WritePurpose::Fold, draft.changes() - changes_before);
        if let Some(job) = self.jobs.get_mut(job_index) {
            job.busy = true;
        }
        draft.items.push(FlushItem::Fold { job: job_index, chunks });
    }
}
