//! Adds placement records to a flush: decides in which order they are written, and which of them
//! wait.

use std::cmp::Reverse;

use quartzgate_wire::msg::Priority;

use super::flush::{ChangeLimits, Draft, MAX_TRANSACTION_BYTES};
use super::{FlushItem, WritePurpose};
use crate::controller::Controller;
use crate::ids::JobIndex;
use crate::jobs::{Chunk, Job, JobState};

/// Fraction of one second's writes that placements of tasks that could start leave to acceptances
/// and aborts.
const START_RESERVE: f64 = 0.4;
/// Fraction of one second's writes that placements of best-effort jobs, which use only spare
/// changes, leave to more urgent writes.
pub(super) const BEST_EFFORT_RESERVE: f64 = 0.5;
/// Fraction of one second's writes that completions of tasks leave to more urgent writes once they
/// have been unrecorded for the maximum write delay.
const OVERDUE_RESERVE: f64 = 0.5;
/// Fraction of one second's writes that all other completions of tasks leave to more urgent
/// writes.
const DEFERRABLE_RESERVE: f64 = 0.75;
/// Estimated size in bytes of a placement record's keys and guards in a transaction.
const KEYS_BYTES: usize = 200;

/// Urgency of writing a placement record, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// Tasks may start once the placement is recorded.
    BlocksStarts(Reverse<Priority>),
    /// The same, for a best-effort job.
    BlocksBestEffortStarts,
    /// Completions of tasks that have been unrecorded for the maximum write delay.
    Overdue,
    /// Completions of tasks that nothing waits for. The job's terminal state will cover them.
    Deferrable,
}

impl Urgency {
    /// Returns the fraction of one second's writes that is left to more urgent changes.
    fn reserve(self) -> f64 {
        match self {
            Urgency::BlocksStarts(_) => START_RESERVE,
            Urgency::BlocksBestEffortStarts => BEST_EFFORT_RESERVE,
            Urgency::Overdue => OVERDUE_RESERVE,
            Urgency::Deferrable => DEFERRABLE_RESERVE,
        }
    }

    fn purpose(self) -> WritePurpose {
        match self {
            Urgency::BlocksStarts(_) | Urgency::BlocksBestEffortStarts => WritePurpose::Placement,
            Urgency::Overdue | Urgency::Deferrable => WritePurpose::TaskCompletions,
        }
    }
}

/// A chunk with a dirty placement record. Sorts in the order of writing: by urgency, then by
/// fairness between teams and classes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DirtyChunk {
    urgency: Urgency,
    fairness_tag: u64,
    job: JobIndex,
    chunk: u32,
}

/// How a flush treats a dirty chunk.
enum ChunkAction {
    /// The placement does not have to be written any more.
    Discard,
    /// The placement can't be written yet.
    Wait,
    /// The placement is part of the job's batch record, which is written in a transaction of its
    /// own.
    RewriteBatch { number: u64 },
    /// The job has outgrown its batch record and gets records of its own.
    MoveOutOfBatch,
    /// The placement is written in this flush.
    Write,
}

impl Controller {
    /// Returns whether the chunk has tasks that could start once its placement is recorded.
    pub(super) fn blocks_starts(&self, (job, chunk): (JobIndex, u32)) -> bool {
        self.jobs.get(job).and_then(|j| j.chunks.get(&chunk)).is_some_and(|c| c.blocks_starts)
    }

    /// Returns whether the chunk has tasks that could start once its placement is recorded, and its
    /// job is not best-effort. Placements of such jobs may use more than spare changes.
    pub(super) fn blocks_non_best_effort_starts(&self, (job, chunk): (JobIndex, u32)) -> bool {
        self.blocks_starts((job, chunk))
            && self.jobs.get(job).is_some_and(|j| !self.is_best_effort(j))
    }

    /// Adds placement records to the transaction. Returns whether placements that block task
    /// starts, other than those of best-effort jobs, are left over because the rate limit allowed
    /// too few changes.
    pub(super) fn gather_placements(&mut self, limits: ChangeLimits, draft: &mut Draft) -> bool {
        let now = self.context.now.steady_ms;
        for dirty in self.dirty_chunks_in_order() {
            let spare =
                self.record_writer.write_limiter.available(now, dirty.urgency.reserve()) as usize;
            if self.record_writer.must_send_alone(draft)
                || draft.changes() >= limits.available.min(spare)
                || draft.bytes > MAX_TRANSACTION_BYTES
            {
                return limits.is_rate_limited()
                    && self.blocks_non_best_effort_starts((dirty.job, dirty.chunk));
            }
            match self.chunk_action(dirty.job, dirty.chunk) {
                ChunkAction::Discard => {
                    self.record_writer.clear_dirty_chunk(dirty.job, dirty.chunk)
                }
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

    /// Returns all dirty chunks in the order in which to write them.
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

    fn urgency(&self, job_index: JobIndex, chunk_number: u32) -> Urgency {
        let Some(job) = self.jobs.get(job_index) else { return Urgency::Deferrable };
        let Some(chunk) = job.chunks.get(&chunk_number) else { return Urgency::Deferrable };
        let overdue =
            self.context.now.steady_ms >= chunk.dirty_ms + self.context.config.max_write_delay_ms();
        match (chunk.blocks_starts, self.is_best_effort(job)) {
            (true, false) => Urgency::BlocksStarts(Reverse(job.priority)),
            (true, true) => Urgency::BlocksBestEffortStarts,
            (false, _) if overdue => Urgency::Overdue,
            (false, _) => Urgency::Deferrable,
        }
    }

    fn chunk_action(&self, job_index: JobIndex, chunk_number: u32) -> ChunkAction {
        let Some(job) = self.jobs.get(job_index) else { return ChunkAction::Discard };
        let must_write = |chunk: &&Chunk| self.must_write_placement(job, chunk);
        let Some(chunk) = job.chunks.get(&chunk_number).filter(must_write) else {
            return ChunkAction::Discard;
        };
        // Placements wait while the job's own record is in flight: a write that folds a placement
        // away or ends the job must not be followed by one that sets the placement again.
        if chunk.busy
            || job.busy
            || matches!(job.state, JobState::Recording | JobState::Unreadable)
            || self.context.now.steady_ms < chunk.deferred_until_ms
        {
            return ChunkAction::Wait;
        }
        if let Some(number) = job.batch_number.filter(|_| !job.needs_own_record) {
            return match job.chunk_count() {
                // The job's terminal state will cover this placement.
                _ if chunk.is_complete() => ChunkAction::Discard,
                1 => ChunkAction::RewriteBatch { number },
                // A batch record holds only the first chunk of a job.
                _ => ChunkAction::MoveOutOfBatch,
            };
        }
        // The job's own record, with the placement of the first chunk, is written before the
        // placements of other chunks.
        if job.batch_number.is_some() && chunk_number > 0 {
            return ChunkAction::Wait;
        }
        ChunkAction::Write
    }

    /// Returns whether the chunk's placement has to be recorded, instead of being covered by
    /// another write.
    fn must_write_placement(&self, job: &Job, chunk: &Chunk) -> bool {
        let ended = matches!(job.state, JobState::Done | JobState::Finishing);
        // The placement of an aborted job is not written if it has no keys of its own: the job's
        // own record or its batch record already names every machine that may hold a task, nothing
        // starts any more, and the terminal state covers the rest.
        let aborted = job.state == JobState::Aborted && chunk.revision == 0;
        // A completed chunk is folded into the job's record instead.
        let folds = || chunk.revision > 0 && chunk.is_complete() && self.may_fold(job);
        chunk.dirty && !ended && !folds() && !aborted
    }

    /// Charges a placement to its team and class in the fair queue.
    fn record_placement_service(&mut self, job_index: JobIndex) {
        if let Some(job) = self.jobs.get(job_index) {
            self.record_writer.placement_queue.record_service(job.team, &job.spec.class);
        }
    }

    /// Adds a placement record to the transaction. Returns false if the record does not fit:
    /// the transaction then takes no more records, and this one goes first into the next.
    fn add_placement(
        &mut self,
        dirty: DirtyChunk,
        limits: ChangeLimits,
        draft: &mut Draft,
    ) -> bool {
        let DirtyChunk { urgency, job: job_index, chunk, .. } = dirty;
        let Some(write) = self.placement_write(job_index, chunk) else { return true };
        let id = self.jobs.get(job_index).map(|job| job.id.clone()).unwrap_or_default();
        if write.oversize || write.changes() > limits.max_per_transaction {
            tracing::error!(job = %id, chunk, bytes = write.bytes, pieces = write.location.pieces,
                "a placement record exceeds the store's limits; its write is deferred");
            self.defer_write(job_index, Some(chunk));
            return true;
        }
        let too_many_changes = draft.changes() + write.changes() > limits.max_per_transaction;
        let too_large = draft.bytes > 0 && draft.bytes + write.bytes > MAX_TRANSACTION_BYTES;
        if too_many_changes || too_large {
            if let Some(c) = self.jobs.get_mut(job_index).and_then(|j| j.chunks.get_mut(&chunk)) {
                c.blocks_starts = true;
            }
            return false;
        }
        draft.bytes += write.bytes + KEYS_BYTES;
        let location = write.location;
        self.record_writer.count_changes(urgency.purpose(), write.changes());
        write.add_to_transaction(
            &id,
            chunk,
            &mut draft.transaction.guards,
            &mut draft.transaction.apply,
        );
        self.on_placement_sent(job_index, chunk, location);
        self.record_writer.clear_dirty_chunk(job_index, chunk);
        draft.items.push(FlushItem::Chunk { job: job_index, chunk, location });
        true
    }
}
