//! Handles the outcomes of flushes: updates memory, and marks records for another write or read.

use super::{write_outcome, FlushItem};
use crate::controller::Controller;
use crate::ids::JobIndex;
use crate::jobs::JobState;
use crate::storage::placement_records::RecordLocation;
use crate::storage::records::{piece_keys, EPOCH_KEY, HANDOFF_PREFIX};
use crate::Outcome;

impl Controller {
    /// Handles the outcome of a flush. If the outcome is indeterminate, the records are reread
    /// before anything else is written to them.
    pub(in crate::storage) fn on_flush(&mut self, items: Vec<FlushItem>, outcome: Outcome) {
        self.record_writer.flush_in_flight = false;
        let (status, answer) = write_outcome(&outcome);
        match (status, answer) {
            (200, Some(answer)) => {
                self.note_store_answer();
                for item in items {
                    self.on_item_written(item, answer.store_revision);
                }
            }
            (409, Some(answer)) => {
                self.note_store_answer();
                if answer.failed.iter().any(|key| key == EPOCH_KEY) {
                    tracing::info!("superseded: a write was refused because of a later epoch");
                    return self.step_down();
                }
                self.on_flush_conflict(items, &answer.failed);
            }
            (400, _) => {
                self.note_store_answer();
                self.on_flush_rejected(items);
            }
            (503 | 429, _) => {
                if status == 429 {
                    tracing::debug!("a write exceeded the store's rate limit");
                }
                self.on_store_throttled(status);
                items.into_iter().for_each(|item| self.requeue_write(item));
            }
            // The transaction may have been applied already, or may still be applied later.
            _ => items.into_iter().for_each(|item| self.reread_record(item)),
        }
    }

    /// Handles a transaction that the store rejected as malformed or too large. No part of it was
    /// executed.
    fn on_flush_rejected(&mut self, items: Vec<FlushItem>) {
        tracing::error!(
            items = items.len(),
            "the store rejected a write as too large or malformed"
        );
        if let [item] = items.as_slice() {
            let deferred = match item {
                FlushItem::Chunk { job, chunk, .. } => Some((*job, Some(*chunk))),
                FlushItem::Terminal { job, .. } | FlushItem::Fold { job, .. } => Some((*job, None)),
                // The deletion is given up: an unused key does no harm.
                FlushItem::Deletion { .. } => None,
            };
            let Some((job, chunk)) = deferred else { return };
            self.defer_write(job, chunk);
        } else {
            // Sending each record alone shows which one is at fault.
            self.record_writer.single_record_flushes_left = items.len();
        }
        items.into_iter().for_each(|item| self.requeue_write(item));
    }

    /// Handles a transaction that was not executed because the revisions of these keys have
    /// changed. The deletion of a changed entry of the handoff queue is given up: either the entry
    /// is gone already, or the watch reports its replacement.
    fn on_flush_conflict(&mut self, items: Vec<FlushItem>, failed: &[String]) {
        let (deletions, records): (Vec<_>, Vec<_>) =
            items.into_iter().partition(|item| matches!(item, FlushItem::Deletion { .. }));
        for deletion in deletions {
            let FlushItem::Deletion { key, .. } = &deletion else { continue };
            if !failed.contains(key) {
                self.requeue_write(deletion);
            }
        }
        let record_changed = failed.iter().any(|key| !key.starts_with(HANDOFF_PREFIX));
        if record_changed {
            tracing::info!(?failed, "a write conflicted with a changed record; reading it again");
        }
        for item in records {
            match record_changed {
                true => self.reread_record(item),
                false => self.requeue_write(item),
            }
        }
    }

    fn on_item_written(&mut self, item: FlushItem, revision: u64) {
        match item {
            FlushItem::Chunk { job, chunk, location } => {
                self.on_placement_written(job, chunk, location, revision)
            }
            FlushItem::Terminal { job, chunks } => {
                self.on_terminal_state_written(job, &chunks, revision)
            }
            FlushItem::Fold { job, chunks } => self.on_fold_written(job, &chunks, revision),
            FlushItem::Deletion { .. } => {}
        }
    }

    fn on_placement_written(
        &mut self,
        job_index: JobIndex,
        chunk: u32,
        location: RecordLocation,
        revision: u64,
    ) {
        self.on_placement_recorded(job_index, chunk, location, revision);
        // A job that has a record of its own no longer belongs to a batch record.
        let with_own_record = self.jobs.get_mut(job_index).filter(|_| location.sets_own_record);
        if let Some(batch) = with_own_record.and_then(|job| job.batch_number.take()) {
            self.remove_from_batch(job_index, batch);
        }
        self.dispatch_probed_machines(job_index);
        self.preempt_due = true;
        self.placement_due = true;
        self.record_writer.mark_job_dirty(job_index);
    }

    fn on_terminal_state_written(&mut self, job_index: JobIndex, deleted: &[u32], revision: u64) {
        let Some(job) = self.jobs.get_mut(job_index) else { return };
        (job.busy, job.revision) = (false, revision);
        for number in deleted {
            if let Some(chunk) = job.chunks.get_mut(number) {
                (chunk.revision, chunk.pieces) = (0, 0);
            }
        }
        let placements_left = job.chunks.values().any(|chunk| chunk.revision > 0);
        if job.state == JobState::Finishing {
            self.set_job_state(job_index, JobState::Done);
        }
        if placements_left {
            self.remove_leftover_placements(job_index);
        } else {
            self.drop_job(job_index);
        }
    }

    fn on_fold_written(&mut self, job_index: JobIndex, folded: &[u32], revision: u64) {
        let Some(job) = self.jobs.get_mut(job_index) else { return };
        (job.busy, job.revision) = (false, revision);
        job.chunks.retain(|number, _| !folded.contains(number));
        job.done_chunks = job.done_chunks_with(folded);
        self.record_writer.mark_job_dirty(job_index);
        self.placement_due = true;
    }

    /// Schedules the deletion of those placement records of an ended job that the write of its
    /// terminal state did not delete, and removes the job from memory.
    pub(super) fn remove_leftover_placements(&mut self, job_index: JobIndex) {
        let Some(job) = self.jobs.get(job_index) else { return };
        let recorded = job.chunks.iter().filter(|(_, chunk)| chunk.revision > 0);
        let keys: Vec<String> = recorded
            .flat_map(|(number, chunk)| piece_keys(&job.id, *number, chunk.pieces))
            .collect();
        for key in keys {
            self.record_writer.schedule_deletion(key);
        }
        self.drop_job(job_index);
    }

    /// Marks the record of an item as dirty again after its write was not executed.
    pub(crate) fn requeue_write(&mut self, item: FlushItem) {
        match item {
            FlushItem::Chunk { job: job_index, chunk, location } => {
                let Some(job) = self.jobs.get_mut(job_index) else { return };
                job.busy &= !location.sets_own_record;
                if let Some(chunk) = job.chunks.get_mut(&chunk) {
                    // Tasks may wait for this record before they start.
                    (chunk.busy, chunk.blocks_starts) = (false, true);
                }
                self.mark_dirty(job_index, chunk);
            }
            FlushItem::Terminal { job: job_index, .. } | FlushItem::Fold { job: job_index, .. } => {
                if let Some(job) = self.jobs.get_mut(job_index) {
                    job.busy = false;
                    if job.state == JobState::Finishing {
                        self.set_job_state(job_index, JobState::Live);
                    }
                }
                self.record_writer.mark_job_dirty(job_index);
            }
            FlushItem::Deletion { key, revision } => {
                self.record_writer.schedule_deletion_at(key, revision)
            }
        }
    }
}
