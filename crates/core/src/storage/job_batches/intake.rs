//! Gathers submissions that are to share a record, and opens batches for them.
//!
//! The leader batches only small jobs without dependencies and below high priority, and only while
//! writes are scarce. It creates one batch at a time: the next batch gets its number only after it
//! is known whether the previous number was used.

use std::collections::BTreeSet;

use quartzgate_feature_gates::Feature;
use quartzgate_wire::msg::{JobKind, JobSpec, Priority};

use crate::controller::Controller;
use crate::ids::JobIndex;
use crate::jobs::JobState;
use crate::storage::records::{checked_size, BatchRecord, TASKS_PER_CHUNK};
use crate::RequestId;

use super::{BatchState, BatchSubmission, JobBatch};

/// Limit on the jobs in batches, in seconds of writes: the end of each job takes one write. A
/// best-effort job is batched only while the writes of this many seconds can end all jobs in
/// batches, and any other job only while the writes of twice as many seconds can.
const MAX_TERMINAL_WRITES_S: f64 = 120.0;
/// Fewest jobs of a job's size that must fit in one record for the job to be batched. Each new
/// placement of a larger job would rewrite the records of all jobs that share its batch.
const MIN_JOBS_PER_RECORD: usize = 8;
/// Maximum size in bytes of a placed task in a batch record: two machine names and their positions.
const PLACED_TASK_BYTES: usize = 44;
/// Maximum size in bytes of a job's placement in a batch record, without its tasks.
const PLACEMENT_BYTES: usize = 190;

/// A submission that waits for the next batch.
struct QueuedSubmission {
    submission: BatchSubmission,
    /// Steady time at which the submission was queued.
    queued_at_ms: u64,
}

/// Submissions that wait for the next batch, oldest first.
#[derive(Default)]
pub(super) struct BatchIntake {
    queue: Vec<QueuedSubmission>,
    /// Steady time at which the newest batch was opened. Submissions that arrive shortly afterwards
    /// are batched as well.
    batch_opened_ms: Option<u64>,
}

impl BatchIntake {
    /// Returns the waiting submissions without their queue times.
    pub fn into_submissions(self) -> impl Iterator<Item = BatchSubmission> {
        self.queue.into_iter().map(|queued| queued.submission)
    }

    /// Puts submissions at the front of the queue.
    pub fn requeue(
        &mut self,
        submissions: impl IntoIterator<Item = BatchSubmission>,
        queued_at_ms: u64,
    ) {
        let queued = |submission| QueuedSubmission { submission, queued_at_ms };
        self.queue.splice(..0, submissions.into_iter().map(queued));
    }

    fn push(&mut self, submission: BatchSubmission, queued_at_ms: u64) {
        self.queue.push(QueuedSubmission { submission, queued_at_ms });
    }

    /// Removes and returns the submissions that were queued before `cutoff_ms`.
    fn take_queued_before(&mut self, cutoff_ms: u64) -> Vec<BatchSubmission> {
        let expired =
            self.queue.iter().take_while(|queued| queued.queued_at_ms < cutoff_ms).count();
        self.queue.drain(..expired).map(|queued| queued.submission).collect()
    }

    fn batch_opened_since(&self, now_ms: u64, window_ms: u64) -> bool {
        self.batch_opened_ms.is_some_and(|opened_ms| now_ms < opened_ms + window_ms)
    }
}

/// Returns whether a job of this kind may share a record at all. A job of high priority does not
/// wait for others.
fn may_be_batched(spec: &JobSpec) -> bool {
    spec.priority < Priority::High && spec.kind == JobKind::Array && spec.dependencies.is_empty()
}

impl Controller {
    /// Returns whether a submission is to share a record with others.
    pub(crate) fn belongs_in_batch(&mut self, spec: &JobSpec) -> bool {
        self.is_active(Feature::BatchRecords)
            && may_be_batched(spec)
            && self.writes_are_scarce()
            && self.is_small_enough_for_batch(spec)
    }

    fn writes_are_scarce(&mut self) -> bool {
        let now_ms = self.context.now.steady_ms;
        let window_ms = 2 * self.context.config.write_batch_ms();
        let threshold = self.context.config.operator.share_pages_below;
        let rate = self.record_writer.write_limiter.rate();
        self.admission.is_write_capacity_short()
            || !self.job_batches.intake.queue.is_empty()
            || self.job_batches.intake.batch_opened_since(now_ms, window_ms)
            || self.record_writer.write_limiter.available(now_ms, 0.0) < threshold * rate
            || threshold >= 1.0
    }

    fn is_small_enough_for_batch(&self, spec: &JobSpec) -> bool {
        // A batch record holds only the placements of first chunks.
        spec.tasks <= TASKS_PER_CHUNK
            && self.max_batched_size(spec) * MIN_JOBS_PER_RECORD <= self.max_value_bytes()
    }

    /// Returns the maximum size in bytes that a job may reach in a batch record once it is placed.
    fn max_batched_size(&self, spec: &JobSpec) -> usize {
        checked_size(spec) + PLACEMENT_BYTES + PLACED_TASK_BYTES * spec.tasks as usize
    }

    /// Queues a submission for the next batch. Returns false if batches already hold too many jobs.
    pub(crate) fn add_to_intake(&mut self, id: RequestId, spec: JobSpec, team: usize) -> bool {
        if self.batches_are_full(team, spec.priority) {
            return false;
        }
        let accepted_at_ms = self.context.now.wall_ms;
        let job = self.new_job(spec, team, JobState::Recording, 0, accepted_at_ms);
        let job = self.jobs.insert(job);
        let submission = BatchSubmission { request: id, job };
        self.job_batches.intake.push(submission, self.context.now.steady_ms);
        true
    }

    /// Returns whether no further job of a team may wait for a batch or be in one.
    fn batches_are_full(&self, team: usize, priority: Priority) -> bool {
        let factor = if self.is_best_effort_class(team, priority) { 1.0 } else { 2.0 };
        let max_jobs = self.record_writer.write_limiter.rate() * MAX_TERMINAL_WRITES_S * factor;
        let jobs = self.job_batches.member_count() + self.job_batches.intake.queue.len();
        jobs >= max_jobs as usize
    }

    /// Opens a batch for the waiting submissions, once enough have arrived or the oldest has waited
    /// long enough.
    pub(crate) fn flush_batch_intake(&mut self) {
        let now_ms = self.context.now.steady_ms;
        if !self.is_batch_due(now_ms) {
            return;
        }
        if self.job_batches.is_creating_batch()
            || self.record_writer.write_limiter.available(now_ms, 0.0) < 1.0
        {
            return self.reject_late_submissions(now_ms);
        }
        let submissions = self.take_submissions_for_batch();
        self.job_batches.intake.batch_opened_ms = Some(now_ms);
        if !submissions.is_empty() {
            self.create_batch(submissions);
        }
    }

    fn is_batch_due(&self, now_ms: u64) -> bool {
        let queue = &self.job_batches.intake.queue;
        let Some(oldest) = queue.first() else { return false };
        queue.len() >= self.max_jobs_per_batch()
            || now_ms >= oldest.queued_at_ms + self.context.config.write_batch_ms() / 2
    }

    /// Rejects submissions that can't be recorded soon, so that their clients retry later.
    fn reject_late_submissions(&mut self, now_ms: u64) {
        let cutoff_ms = now_ms.saturating_sub(2 * self.context.config.write_batch_ms());
        for submission in self.job_batches.intake.take_queued_before(cutoff_ms) {
            self.drop_job(submission.job);
            self.reject_overloaded(submission.request);
        }
    }

    /// Removes and returns as many submissions as fit in one record, oldest first.
    fn take_submissions_for_batch(&mut self) -> Vec<BatchSubmission> {
        let max_jobs = self.max_jobs_per_batch();
        let max_bytes = self.max_value_bytes();
        let mut batch_bytes = 0;
        let mut selected: Vec<BatchSubmission> = Vec::new();
        let queue = std::mem::take(&mut self.job_batches.intake.queue);
        let mut remaining = queue.into_iter().peekable();
        while let Some(next) = remaining.peek() {
            let Some(job) = self.jobs.get(next.submission.job) else {
                remaining.next();
                continue;
            };
            let saved_bytes = self.bytes_saved_by_template(&job.spec, selected.first());
            let job_bytes = self.max_batched_size(&job.spec) - saved_bytes;
            let too_large = batch_bytes + job_bytes > max_bytes && !selected.is_empty();
            if selected.len() >= max_jobs || too_large {
                break;
            }
            batch_bytes += job_bytes;
            selected.extend(remaining.next().map(|queued| queued.submission));
        }
        self.job_batches.intake.queue = remaining.collect();
        selected
    }

    /// Returns the maximum number of jobs in a batch. Each job adds a guard to the transaction that
    /// creates the record.
    fn max_jobs_per_batch(&self) -> usize {
        (4 * self.store_limits().txn_ops).saturating_sub(4).max(1)
    }

    /// Returns the number of bytes that a job's description saves in a batch record by sharing
    /// fields with the first job's.
    fn bytes_saved_by_template(&self, spec: &JobSpec, first: Option<&BatchSubmission>) -> usize {
        let Some(first) = first.and_then(|submission| self.jobs.get(submission.job)) else {
            return 0;
        };
        checked_size(spec).saturating_sub(BatchRecord::difference_size(&first.spec, spec))
    }

    /// Creates and writes the next batch, after placing its jobs unless the backlog of their
    /// priority is full.
    fn create_batch(&mut self, submissions: Vec<BatchSubmission>) {
        let number = self.job_batches.last_number + 1;
        let members: BTreeSet<JobIndex> = submissions.iter().map(|s| s.job).collect();
        let backlog = self.backlog();
        for member in &members {
            let Some(job) = self.jobs.get_mut(*member) else { continue };
            job.batch_number = Some(number);
            if !backlog.is_full(job.priority) {
                self.place_job(*member);
            }
        }
        self.job_batches.last_number = number;
        let batch = JobBatch { members, submissions, ..JobBatch::new(BatchState::Writing, 0) };
        self.job_batches.batches.insert(number, batch);
        self.write_batch(number);
    }
}
