//! Writes records to the key-value store. Changes are batched into transactions within the store's
//! limits. Every transaction is guarded, so that one that is applied late can't overwrite newer
//! data.
//!
//! The record writer tracks the dirty records: those that are older in the store than in memory.
//! [`Controller::flush`] composes one transaction at a time from them (`flush.rs`), in this order:
//!
//! 1. terminal states of jobs, and completed chunks that are folded into their job's record
//!    (`terminal_states.rs`);
//! 2. placements, most urgent first (`placements.rs`);
//! 3. terminal states of best-effort jobs, which are the jobs of lowest priority of teams without a
//!    guaranteed quota;
//! 4. deletions of unused keys.
//!
//! `outcomes.rs` handles the outcome of the transaction. `rereads.rs` rereads records whose
//! revisions are uncertain.
//!
//! Invariants: at most one flush is in flight. Every record that a transaction sets is guarded by
//! the revision known in memory, and the transaction as a whole by the revision of the epoch
//! record. A record whose last write is indeterminate is reread before it is written again.

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

/// Fraction of the store's write rate that one controller may use. While one controller leads, the
/// others write little; writes above the limit are refused and retried.
const WRITE_RATE_FRACTION: f64 = 0.95;

/// One record that a flush writes or deletes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FlushItem {
    /// A chunk's placement record.
    Chunk {
        job: JobIndex,
        chunk: u32,
        /// Location of the record once the write has been executed.
        location: RecordLocation,
    },
    /// Terminal state of a job, with the deletion of these chunks' placement records.
    Terminal { job: JobIndex, chunks: Vec<u32> },
    /// Folding of completed chunks into the job's own record.
    Fold { job: JobIndex, chunks: Vec<u32> },
    /// Deletion of an unused key. A revision other than 0 restricts the deletion to that version of
    /// the key.
    Deletion { key: String, revision: u64 },
}

/// Purpose of changes to the store, by which the metrics count them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WritePurpose {
    /// Acceptance of a job.
    Accept,
    /// Abort of a job.
    Abort,
    /// Placements of tasks that may start once the placements are recorded.
    Placement,
    /// Completions of tasks.
    TaskCompletions,
    /// Folding of completed chunks into their job's record.
    Fold,
    /// Terminal states of jobs.
    TerminalState,
    /// Deletions of unused keys.
    Cleanup,
}

impl WritePurpose {
    /// All purposes, each with its name in the metric keys.
    pub const ALL: [(WritePurpose, &'static str); 7] = [
        (WritePurpose::Accept, "accept"),
        (WritePurpose::Abort, "abort"),
        (WritePurpose::Placement, "deal"),
        (WritePurpose::TaskCompletions, "ends"),
        (WritePurpose::Fold, "fold"),
        (WritePurpose::TerminalState, "end"),
        (WritePurpose::Cleanup, "tidy"),
    ];
}

/// The dirty records, which are older in the store than in memory, and the limits on writing them.
pub(crate) struct RecordWriter {
    /// Limits this controller's changes per second.
    pub write_limiter: RateLimiter,
    /// Changes made since this process became the leader.
    changes_by_purpose: BTreeMap<WritePurpose, u64>,
    dirty_chunks: BTreeSet<(JobIndex, u32)>,
    /// Jobs whose own record may have to be written.
    dirty_jobs: BTreeSet<JobIndex>,
    /// Unused keys to be deleted, each with the revision at which to delete it; 0 for keys that no
    /// controller writes any more.
    deletions: BTreeMap<String, u64>,
    flush_in_flight: bool,
    /// Steady time at which the current batch of changes began to fill. A batch without this time
    /// counts as complete.
    batch_started_ms: Option<u64>,
    last_check_ms: u64,
    /// The next flush does not wait for a batch to fill, because other jobs wait for a terminal
    /// state.
    expedited: bool,
    /// The last flush left out terminal states because the rate limit allowed too few changes.
    terminal_states_left: bool,
    /// Whether terminal states get the larger half of an odd number of changes while placements
    /// wait too. Alternates.
    odd_change_to_terminal_states: bool,
    /// Orders terminal states fairly between teams and classes.
    terminal_state_queue: FairQueue,
    /// Orders placements fairly between teams and classes.
    placement_queue: FairQueue,
    /// Number of upcoming transactions that take a single record each, to find the record that the
    /// store rejected as malformed or too large.
    single_record_flushes_left: usize,
    /// Items whose records could not be reread; the reads are to be retried.
    reads_to_retry: Vec<FlushItem>,
}

/// Returns the status and body of the answer to a write. The status is 503 if the write was not
/// sent, and 0 if its outcome is indeterminate.
pub(crate) fn write_outcome(outcome: &Outcome) -> (u16, Option<TransactionAnswer>) {
    match outcome {
        Outcome::Answer(r) => (r.status, from_cbor(&r.body).ok()),
        Outcome::NotSent => (503, None),
        Outcome::Lost => (0, None),
    }
}

impl RecordWriter {
    /// Creates a writer without dirty records.
    pub fn new(limits: &StateLimits) -> Self {
        RecordWriter {
            write_limiter: RateLimiter::new(Self::write_rate(limits)),
            changes_by_purpose: BTreeMap::new(),
            dirty_chunks: BTreeSet::new(),
            dirty_jobs: BTreeSet::new(),
            deletions: BTreeMap::new(),
            flush_in_flight: false,
            batch_started_ms: None,
            last_check_ms: 0,
            expedited: false,
            terminal_states_left: false,
            odd_change_to_terminal_states: false,
            terminal_state_queue: FairQueue::default(),
            placement_queue: FairQueue::default(),
            single_record_flushes_left: 0,
            reads_to_retry: Vec::new(),
        }
    }

    /// Returns the number of changes per second that this controller may make.
    pub fn write_rate(limits: &StateLimits) -> f64 {
        limits.write_rps * WRITE_RATE_FRACTION
    }

    /// Adds to the number of changes made for this purpose, which the metrics report.
    pub fn count_changes(&mut self, purpose: WritePurpose, changes: usize) {
        *self.changes_by_purpose.entry(purpose).or_default() += changes as u64;
    }

    /// Returns the number of changes made for this purpose since the process became the leader.
    pub fn changes_made(&self, purpose: WritePurpose) -> u64 {
        self.changes_by_purpose.get(&purpose).copied().unwrap_or(0)
    }

    /// Returns the number of dirty placement records.
    pub fn unwritten_records(&self) -> usize {
        self.dirty_chunks.len()
    }

    /// Marks a chunk's record as clean, because a write of it was sent or none is needed any more.
    pub fn clear_dirty_chunk(&mut self, job_index: JobIndex, chunk: u32) {
        self.dirty_chunks.remove(&(job_index, chunk));
    }

    /// Marks a job whose own record may have to be written.
    pub fn mark_job_dirty(&mut self, job_index: JobIndex) {
        self.dirty_jobs.insert(job_index);
    }

    /// Lets the next flush go ahead before a batch has filled, because other jobs wait for a
    /// terminal state.
    pub fn expedite(&mut self) {
        self.expedited = true;
    }

    /// Schedules the deletion of a key that no controller writes any more.
    pub fn schedule_deletion(&mut self, key: String) {
        self.deletions.insert(key, 0);
    }

    /// Schedules the deletion of a key at the revision at which it was read. A newer value under
    /// the key is kept.
    pub fn schedule_deletion_at(&mut self, key: String, revision: u64) {
        let newest = self.deletions.entry(key).or_default();
        *newest = revision.max(*newest);
    }

    /// Removes a job from those whose own record may have to be written.
    pub(super) fn clear_dirty_job(&mut self, job_index: JobIndex) {
        self.dirty_jobs.remove(&job_index);
    }

    fn mark_chunk_dirty(&mut self, job_index: JobIndex, chunk: u32, now_ms: u64) {
        self.dirty_chunks.insert((job_index, chunk));
        self.dirty_jobs.insert(job_index);
        self.batch_started_ms.get_or_insert(now_ms);
    }

    fn has_unwritten(&self) -> bool {
        !self.dirty_chunks.is_empty() || !self.dirty_jobs.is_empty() || !self.deletions.is_empty()
    }

    /// Returns the part of the changes that terminal states get while placements wait too: half of
    /// them. Of an odd number, terminal states get the larger half every other time.
    fn half_for_terminal_states(&mut self, changes: usize) -> usize {
        self.odd_change_to_terminal_states = !self.odd_change_to_terminal_states;
        changes / 2 + changes % 2 * usize::from(self.odd_change_to_terminal_states)
    }

    /// Returns whether the transaction takes no more records. After the store has rejected a
    /// transaction, each record is sent alone until it is known which one is at fault.
    fn must_send_alone(&self, draft: &Draft) -> bool {
        self.single_record_flushes_left > 0 && !draft.items.is_empty()
    }
}

impl Controller {
    /// Marks a chunk's record as dirty: the stored record is older than the chunk in memory.
    pub(crate) fn mark_dirty(&mut self, job: JobIndex, chunk: u32) {
        if let Some(c) = self.jobs.get_mut(job).and_then(|j| j.chunks.get_mut(&chunk)) {
            let now = self.context.now.steady_ms;
            if !std::mem::replace(&mut c.dirty, true) {
                c.dirty_ms = now;
            }
            self.record_writer.mark_chunk_dirty(job, chunk, now);
        }
    }

    /// Marks a chunk's record as dirty and urgent, because tasks may start once it is recorded.
    pub(crate) fn mark_blocking_starts(&mut self, job: JobIndex, chunk: u32) {
        if let Some(c) = self.jobs.get_mut(job).and_then(|j| j.chunks.get_mut(&chunk)) {
            c.blocks_starts = true;
        }
        self.mark_dirty(job, chunk);
    }

    /// Releases the machines that still hold, or may hold, a task of an aborted job half a lease
    /// bound after the job was aborted, or after an aborted job was loaded into memory. The
    /// controller can't tell these machines to stop the task, so it returns them to the cloud with
    /// everything on them.
    pub(crate) fn fence_aborted_tasks(&mut self) {
        let now = self.context.now.steady_ms;
        // Lease proxies stop the aborted tasks on machines that can't reach this leader.
        if self.membership.has_proxy_claims() {
            return;
        }
        let grace_ms = self.context.config.lease_bound_ms() / 2;
        let mut unreachable_machines = BTreeSet::new();
        for (_, job) in self.jobs.iter() {
            if job.state == JobState::Aborted && now > job.aborted_or_loaded_ms + grace_ms {
                for (_, task) in job.tasks() {
                    unreachable_machines
                        .extend(task.state.machine_and_attempt().map(|(machine, _)| machine));
                    unreachable_machines.extend(
                        task.probes
                            .iter()
                            .filter(|probe| probe.unproven)
                            .map(|probe| probe.machine),
                    );
                }
            }
        }
        for machine_index in unreachable_machines {
            if let Some(machine) = self.machines.get(machine_index) {
                tracing::info!(
                    machine = %machine.name,
                    "holds a cancelled task and can't be told"
                );
            }
            self.begin_release(machine_index);
        }
    }
}
