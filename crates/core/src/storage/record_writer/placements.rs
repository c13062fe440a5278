//! Placement records in a flush: in which order they are written, and which of them wait.

use std::cmp::Reverse;

use quartzgate_wire::msg::Priority;

use super::flush::{ChangeLimits, Draft, MAX_TRANSACTION_BYTES};
use super::{FlushItem, WritePurpose};
use crate::controller::Controller;
use crate::ids::JobIndex;
use crate::jobs::{Chunk, Job, JobState};

/// Fraction of a second's writes that placements of tasks that could start leave to acceptances
/// and aborts.
const START_RESERVE: f64 = 0.4;
/// The same for teams without a quota, which use spare changes only.
pub(super) const BEST_EFFORT_RESERVE: f64 = 0.5;
/// The same for completions of tasks that have been unrecorded for long.
const OVERDUE_RESERVE: f64 = 0.5;
/// The same for other completions of tasks.
const PATIENT_RESERVE: f64 = 0.75;
/// Estimated bytes of a placement record's keys and guards in a transaction.
const KEYS_BYTES: usize = 200;

/// Why a placement record is to be written, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// Tasks may start once it is recorded.
    BlocksStarts(Reverse<Priority>),
    /// The same, of a team without a quota.
    BlocksBestEffortStarts,
    /// Completions of tasks that have been unrecorded for long.
    Overdue,
    /// Completions of tasks: nothing waits for them, and the job's terminal state will cover them.
    Patient,
}

impl Urgency {
    /// Fraction of a second's writes that is left to more urgent changes.
    fn reserve(self) -> f64 {
        match self {
            Urgency::BlocksStarts(_) => START_RESERVE,
            Urgency::BlocksBestEffortStarts => BEST_EFFORT_RESERVE,
            Urgency::Overdue => OVERDUE_RESERVE,
            Urgency::Patient => PATIENT_RESERVE,
        }
    }

    fn purpose(self) -> WritePurpose {
        match self {
            Urgency::BlocksStarts(_) | Urgency::BlocksBestEffortStarts => WritePurpose::Deal,
            Urgency::Overdue | Urgency::Patient => WritePurpose::TaskCompletions,
        }
    }
}

/// A chunk whose record lags behind memory. Sorts in the order of writing: by urgency, then by
/// fairness between teams and classes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DirtyChunk {
    urgency: Urgency,
    fairness_tag: u64,
    job: JobIndex,
    chunk: u32,
}

/// What to do with a dirty chunk in this flush.
enum ChunkAction {
    /// Nothing is to be written any more.
    Discard,
    /// It can't be written before something else has happened.
    Wait,
    /// Its record is the job's batch record, which is written in a transaction of its own.
    RewriteBatch { number: u64 },
    /// Its job has outgrown the batch record and gets records of its own.
    MoveOutOfBatch,
    /// It is written now.
    Write,
}

impl Controller {
    /// Whether a chunk has tasks that could start once it is recorded.
    pub(super) fn blocks_starts(&self, (job, chunk): (JobIndex, u32)) -> bool {
        self.jobs.get(job).and_then(|j| j.chunks.get(&chunk)).is_some_and(|c| c.blocks_starts)
    }

    /// The same, of a team with a quota, whose jobs may use more than spare changes.
    pub(super) fn blocks_starts_with_quota(&self, (job, chunk): (JobIndex, u32)) -> bool {
        self.blocks_starts((job, chunk))
            && self.jobs.get(job).is_some_and(|j| !self.is_best_effort(j))
    }

    /// Adds placement records to the transaction. Returns whether some that block starts are left
    /// for lack of changes.
    pub(super) fn gather_placements(&mut self, limits: ChangeLimits, draft: &mut Draft) -> bool {
        let now = self.context.now.steady_ms;
        for dirty in self.dirty_chunks_in_order() {
            let spare = self.record_writer.writes.available(now, dirty.urgency.reserve()) as usize;
            if self.record_writer.must_send_alone(draft)
                || draft.changes() >= limits.available.min(spare)
                || draft.bytes > MAX_TRANSACTION_BYTES
            {
                return limits.is_rate_limited()
                    && self.blocks_starts_with_quota((dirty.job, dirty.chunk));
            }
            match self.chunk_action(dirty.job, dirty.chunk) {
                ChunkAction::Discard => self.record_writer.settled(dirty.job, dirty.chunk),
                ChunkAction::Wait => {}
                ChunkAction::RewriteBatch { number } => {
                    self.record_placement_service(dirty.job);
                    self.rewrite_batch(number);
                }
                ChunkAction::MoveOutOfBatch => {
                    self.record_placement_service(dirty.job);
                    self.move_out_of_batch(dirty.job);
                }
                ChunkAction::Write => {
                    self.record_placement_service(dirty.job);
                    if !self.add_placement(dirty, limits, draft) {
                        return false;
                    }
                }
            }
        }
        false
    }

    /// All dirty chunks in the order in which to write them.
    fn dirty_chunks_in_order(&self) -> Vec<DirtyChunk> {
        let mut tags = self.record_writer.placement_queue.tag_assigner();
        let mut chunks: Vec<DirtyChunk> = self
            .record_writer
            .dirty_chunks
            .iter()
            .map(|&(job, chunk)| DirtyChunk {
                urgency: self.urgency(job, chunk),
                fairness_tag: self
                    .jobs
                    .get(job)
                    .map_or(0, |j| tags.next_tag(j.team, &j.spec.class)),
                job,
                chunk,
            })
            .collect();
        chunks.sort();
        chunks
    }

    fn urgency(&self, job: JobIndex, chunk: u32) -> Urgency {
        let Some(j) = self.jobs.get(job) else { return Urgency::Patient };
        let Some(c) = j.chunks.get(&chunk) else { return Urgency::Patient };
        let overdue =
            self.context.now.steady_ms >= c.dirty_ms + self.context.config.max_write_delay_ms();
        match (c.blocks_starts, self.is_best_effort(j)) {
            (true, false) => Urgency::BlocksStarts(Reverse(j.priority)),
            (true, true) => Urgency::BlocksBestEffortStarts,
            (false, _) if overdue => Urgency::Overdue,
            (false, _) => Urgency::Patient,
        }
    }

    fn chunk_action(&self, ix: JobIndex, chunk_number: u32) -> ChunkAction {
        let Some(job) = self.jobs.get(ix) else { return ChunkAction::Discard };
        let must_write = |chunk: &&Chunk| self.must_write_placement(job, chunk);
        let Some(chunk) = job.chunks.get(&chunk_number).filter(must_write) else {
            return ChunkAction::Discard;
        };
        // While the job's own record is in flight its placements wait: a write that folds a
        // placement away or ends the job must not be followed by one that sets it anew.
        if chunk.busy
            || job.busy
            || matches!(job.state, JobState::Recording | JobState::Unreadable)
            || self.context.now.steady_ms < chunk.deferred_until_ms
        {
            return ChunkAction::Wait;
        }
        if let Some(number) = job.page.filter(|_| !job.own) {
            return match job.chunk_count() {
                // The terminal state will cover it.
                _ if chunk.whole() => ChunkAction::Discard,
                1 => ChunkAction::RewriteBatch { number },
                // A batch record has room for a job's first chunk only.
                _ => ChunkAction::MoveOutOfBatch,
            };
        }
        // The job's own record, with the first chunk's placement, is written before the others.
        if job.page.is_some() && chunk_number > 0 {
            return ChunkAction::Wait;
        }
        ChunkAction::Write
    }

    /// Whether a chunk's placement has to be recorded, rather than be covered by another write.
    fn must_write_placement(&self, job: &Job, chunk: &Chunk) -> bool {
        let ended = matches!(job.state, JobState::Done | JobState::Finishing);
        // The recorded placement names every machine that may have a task of an aborted job:
        // nothing starts any more, and the terminal state covers the rest.
        let aborted = job.state == JobState::Aborted && chunk.revision == 0;
        // A completed chunk is folded into the job's record instead.
        let folds = || chunk.revision > 0 && chunk.whole() && self.may_fold(job);
        chunk.dirty && !ended && !folds() && !aborted
    }

    /// Counts a placement for the fairness between teams and classes.
    fn record_placement_service(&mut self, ix: JobIndex) {
        if let Some(job) = self.jobs.get(ix) {
            self.record_writer.placement_queue.record_service(job.team, &job.spec.class);
        }
    }

    /// Adds a placement record to the transaction. False if it does not fit, which ends the
    /// gathering; it goes first into the next transaction.
    fn add_placement(
        &mut self,
        dirty: DirtyChunk,
        limits: ChangeLimits,
        draft: &mut Draft,
    ) -> bool {
        let DirtyChunk { urgency, job: ix, chunk, .. } = dirty;
        let Some(write) = self.placement_write(ix, chunk) else { return true };
        let id = self.jobs.get(ix).map(|job| job.id.clone()).unwrap_or_default();
        if write.oversize || write.changes() > limits.max_per_transaction {
            tracing::error!(job = %id, chunk, bytes = write.bytes, pieces = write.placed.pieces,
                "a placement record exceeds the store's limits; its write is deferred");
            self.defer_write(ix, Some(chunk));
            return true;
        }
        let too_many_changes = draft.changes() + write.changes() > limits.max_per_transaction;
        let too_large = draft.bytes > 0 && draft.bytes + write.bytes > MAX_TRANSACTION_BYTES;
        if too_many_changes || too_large {
            if let Some(c) = self.jobs.get_mut(ix).and_then(|j| j.chunks.get_mut(&chunk)) {
                c.blocks_starts = true;
            }
            return false;
        }
        draft.bytes += write.bytes + KEYS_BYTES;
        let placed = write.placed;
        self.record_writer.note(urgency.purpose(), write.changes());
        write.enter(&id, chunk, &mut draft.transaction.guards, &mut draft.transaction.apply);
        self.on_placement_sent(ix, chunk, placed);
        self.record_writer.settled(ix, chunk);
        draft.items.push(FlushItem::Chunk { job: ix, chunk, placed });
        true
    }
}
