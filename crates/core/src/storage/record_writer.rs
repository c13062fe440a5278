//! Writes of records: changes are gathered into transactions, within the store's limits, and every
//! transaction is guarded, so that one that is applied late can do no harm.
//!
//! The record writer knows which records memory is ahead of. [`Controller::flush`] composes one
//! transaction at a time from them (`flush.rs`), in this order:
//!
//! 1. terminal states of jobs, and completed chunks that are folded into their job's record
//!    (`terminal_states.rs`);
//! 2. placements, the most urgent first (`placements.rs`);
//! 3. terminal states of jobs of teams without a quota;
//! 4. deletions of keys that nobody reads any more.
//!
//! `outcomes.rs` handles the transaction's outcome, `rereads.rs` reads records again whose
//! revisions are uncertain.
//!
//! Invariants: at most one flush is in flight; every record in a transaction is guarded by the
//! revision that memory knows, and the transaction by the epoch record's; a record whose write is
//! indeterminate is read before it is written again.

mod flush;
mod outcomes;
mod placements;
mod rereads;
mod terminal_states;

use std::collections::{BTreeMap, BTreeSet};

use quartzgate_overload::FairQueue;
use quartzgate_wire::from_cbor;
use quartzgate_wire::msg::TransactionAnswer;
use quartzgate_wire::settings::StateLimits;

use crate::controller::Controller;
use crate::ids::JobIndex;
use crate::jobs::JobState;
use crate::storage::placement_records::RecordLocation;
use crate::storage::rate_limiter::RateLimiter;
use crate::Outcome;

use flush::Draft;

/// Fraction of the store's write rate that one controller may use: the others write little while
/// one leads, and what exceeds the limit is refused and retried.
const WRITE_RATE_FRACTION: f64 = 0.95;

/// One record in a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FlushItem {
    /// A chunk's placement record.
    Chunk {
        job: JobIndex,
        chunk: u32,
        /// Where the record is once the write is executed.
        placed: RecordLocation,
    },
    /// The job's terminal state, together with the deletion of its placement records.
    Terminal { job: JobIndex, chunks: Vec<u32> },
    /// Completed chunks are folded into the job's record.
    Fold { job: JobIndex, chunks: Vec<u32> },
    /// Deletion of an unused key. With a revision, the key is deleted only as it was read.
    Deletion { path: String, revision: u64 },
}

/// What changes at the store are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WritePurpose {
    /// Accepting a job.
    Accept,
    /// Recording an abort.
    Abort,
    /// Placements of tasks that may start once they are recorded.
    Deal,
    /// Completions of tasks.
    TaskCompletions,
    /// Folding completed chunks into their job's record.
    Fold,
    /// Terminal states of jobs.
    TerminalState,
    /// Deletions of unused keys.
    Cleanup,
}

impl WritePurpose {
    /// All purposes, with their names in the metric keys.
    pub const ALL: [(WritePurpose, &'static str); 7] = [
        (WritePurpose::Accept, "accept"),
        (WritePurpose::Abort, "abort"),
        (WritePurpose::Deal, "deal"),
        (WritePurpose::TaskCompletions, "ends"),
        (WritePurpose::Fold, "fold"),
        (WritePurpose::TerminalState, "end"),
        (WritePurpose::Cleanup, "tidy"),
    ];
}

/// Which records memory is ahead of, and the limits on writing them.
pub(crate) struct RecordWriter {
    /// Limits the rate of changes of this controller, in changes a second.
    pub writes: RateLimiter,
    /// Changes made since the process began to lead.
    changes_by_purpose: BTreeMap<WritePurpose, u64>,
    dirty_chunks: BTreeSet<(JobIndex, u32)>,
    /// Jobs whose own record may have to be written.
    dirty_jobs: BTreeSet<JobIndex>,
    /// Unused keys, with the revision at which to delete each; 0 for those that nobody writes
    /// any more.
    deletions: BTreeMap<String, u64>,
    flush_in_flight: bool,
    /// When the oldest unwritten change was made.
    dirty_since_ms: Option<u64>,
    last_check_ms: u64,
    /// A terminal state that other jobs wait for does not wait for a batch to fill.
    expedited: bool,
    /// The last flush left out terminal states for lack of changes.
    completions_left: bool,
    /// Whether terminal states get the odd change when placements wait as well; alternates.
    odd_change_to_completions: bool,
    /// Fairness between teams and classes for terminal states.
    completion_queue: FairQueue,
    /// Fairness between teams and classes for placements.
    placement_queue: FairQueue,
    /// Transactions that take a single record each, until it is known which record the store
    /// refused as malformed or too large.
    single_record_flushes: usize,
    /// Records whose reads failed and are to be retried.
    reads_to_retry: Vec<FlushItem>,
}

/// Status and body of the answer to a write. The status is 503 if the write was not sent, and 0 if
/// its outcome is indeterminate.
pub(crate) fn write_outcome(outcome: &Outcome) -> (u16, Option<TransactionAnswer>) {
    match outcome {
        Outcome::Answer(r) => (r.status, from_cbor(&r.body).ok()),
        Outcome::NotSent => (503, None),
        Outcome::Lost => (0, None),
    }
}

impl RecordWriter {
    /// A writer that has nothing to write.
    pub fn new(limits: &StateLimits) -> Self {
        RecordWriter {
            writes: RateLimiter::new(Self::write_rate(limits)),
            changes_by_purpose: BTreeMap::new(),
            dirty_chunks: BTreeSet::new(),
            dirty_jobs: BTreeSet::new(),
            deletions: BTreeMap::new(),
            flush_in_flight: false,
            dirty_since_ms: None,
            last_check_ms: 0,
            expedited: false,
            completions_left: false,
            odd_change_to_completions: false,
            completion_queue: FairQueue::default(),
            placement_queue: FairQueue::default(),
            single_record_flushes: 0,
            reads_to_retry: Vec::new(),
        }
    }

    /// Changes a second that this controller may make.
    pub fn write_rate(limits: &StateLimits) -> f64 {
        limits.write_rps * WRITE_RATE_FRACTION
    }

    /// Counts changes for the metrics.
    pub fn note(&mut self, purpose: WritePurpose, changes: usize) {
        *self.changes_by_purpose.entry(purpose).or_default() += changes as u64;
    }

    /// Changes made for this purpose since the process began to lead.
    pub fn changes_made(&self, purpose: WritePurpose) -> u64 {
        self.changes_by_purpose.get(&purpose).copied().unwrap_or(0)
    }

    /// Placement records that memory is ahead of.
    pub fn unwritten_records(&self) -> usize {
        self.dirty_chunks.len()
    }

    /// A write of a chunk's record was sent: memory is not ahead of it any more.
    pub fn settled(&mut self, ix: JobIndex, chunk: u32) {
        self.dirty_chunks.remove(&(ix, chunk));
    }

    /// The job's own record may have to be written.
    pub fn mark_job_dirty(&mut self, ix: JobIndex) {
        self.dirty_jobs.insert(ix);
    }

    /// The next flush does not wait for a batch to fill, because other jobs wait for a terminal
    /// state.
    pub fn expedite(&mut self) {
        self.expedited = true;
    }

    /// Schedules the deletion of a key that nobody writes any more.
    pub fn remove(&mut self, path: String) {
        self.deletions.insert(path, 0);
    }

    /// Schedules the deletion of a key as it was read: a newer value in its place stays.
    pub fn schedule_deletion_at(&mut self, path: String, revision: u64) {
        let newest = self.deletions.entry(path).or_default();
        *newest = revision.max(*newest);
    }

    /// Memory has no such job any more.
    pub(super) fn forget_job(&mut self, ix: JobIndex) {
        self.dirty_jobs.remove(&ix);
    }

    fn mark_chunk_dirty(&mut self, ix: JobIndex, chunk: u32, now_ms: u64) {
        self.dirty_chunks.insert((ix, chunk));
        self.dirty_jobs.insert(ix);
        self.dirty_since_ms.get_or_insert(now_ms);
    }

    fn has_unwritten(&self) -> bool {
        !self.dirty_chunks.is_empty() || !self.dirty_jobs.is_empty() || !self.deletions.is_empty()
    }

    /// Half of the changes, for terminal states. Of an odd number they get the larger half every
    /// other time.
    fn half_for_completions(&mut self, changes: usize) -> usize {
        self.odd_change_to_completions = !self.odd_change_to_completions;
        changes / 2 + changes % 2 * usize::from(self.odd_change_to_completions)
    }

    /// Whether the transaction takes no more records, because the store refused an earlier one and
    /// each record is sent by itself until it is known which one is at fault.
    fn must_send_alone(&self, draft: &Draft) -> bool {
        self.single_record_flushes > 0 && !draft.items.is_empty()
    }
}

impl Controller {
    /// A chunk's record lags behind memory.
    pub(crate) fn mark_dirty(&mut self, job: JobIndex, chunk: u32) {
        if let Some(c) = self.jobs.get_mut(job).and_then(|j| j.chunks.get_mut(&chunk)) {
            let now = self.context.now.steady_ms;
            if !std::mem::replace(&mut c.dirty, true) {
                c.dirty_ms = now;
            }
            self.record_writer.mark_chunk_dirty(job, chunk, now);
        }
    }

    /// A chunk's record is to be written soon: tasks may start once it is recorded.
    pub(crate) fn mark_blocking_starts(&mut self, job: JobIndex, chunk: u32) {
        if let Some(c) = self.jobs.get_mut(job).and_then(|j| j.chunks.get_mut(&chunk)) {
            c.blocks_starts = true;
        }
        self.mark_dirty(job, chunk);
    }

    /// A task of an aborted job that is still on its machine after half its time: the
    /// machine can't be told, and goes back to the cloud with all that is on it.
    pub(crate) fn fence_aborted_tasks(&mut self) {
        let now = self.context.now.steady_ms;
        // A lease proxy stops aborted tasks on machines that don't reach this leader.
        if self.membership.has_proxy_claims() {
            return;
        }
        let patience = self.context.config.lease_bound_ms() / 2;
        let mut stuck = BTreeSet::new();
        for (_, job) in self.jobs.iter() {
            if job.state == JobState::Aborted && now > job.aborted_ms + patience {
                for (_, t) in job.tasks() {
                    stuck.extend(t.state.machine().map(|(m, _)| m));
                    stuck.extend(t.probes.iter().filter(|p| p.unproven).map(|p| p.machine));
                }
            }
        }
        for ix in stuck {
            if let Some(m) = self.machines.get(ix) {
                tracing::info!(machine = %m.name, "holds a cancelled task and can't be told");
            }
            self.begin_release(ix);
        }
    }
}
