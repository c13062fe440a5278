//! Rereads records whose revision is uncertain, because a write of them was indeterminate or
//! conflicted with a changed record, before they are written again.
//!
//! Invariant: while a reread is in flight, its chunk or job is marked busy, so that no write can
//! overwrite a record whose contents are not known in memory.

use quartzgate_wire::msg::KeyValue;

use super::FlushItem;
use crate::controller::Controller;
use crate::ids::JobIndex;
use crate::jobs::JobState;
use crate::storage::calls::StorageCall;
use crate::storage::placement_records::RecordLocation;
use crate::storage::records::{
    decode, job_key, placement_key, read_placement, JobRecord, RecordedStatus,
};
use crate::Outcome;

impl Controller {
    /// Rereads the record of an item whose revision is uncertain.
    pub(crate) fn reread_record(&mut self, item: FlushItem) {
        match &item {
            FlushItem::Deletion { key, revision } => {
                return self.record_writer.schedule_deletion_at(key.clone(), *revision)
            }
            // The placements that the write deletes may or may not exist any more.
            FlushItem::Terminal { job, chunks } | FlushItem::Fold { job, chunks } => {
                for &chunk in chunks {
                    let location = RecordLocation::default();
                    self.reread_record(FlushItem::Chunk { job: *job, chunk, location });
                }
            }
            FlushItem::Chunk { job, chunk, location } => {
                if let Some(c) = self.jobs.get_mut(*job).and_then(|j| j.chunks.get_mut(chunk)) {
                    c.busy = true;
                }
                if location.sets_own_record {
                    self.reread_job(*job);
                }
            }
        }
        self.request_record(item);
    }

    /// Rereads a job's own record because it may have changed.
    pub(crate) fn reread_job(&mut self, job_index: JobIndex) {
        if let Some(job) = self.jobs.get_mut(job_index) {
            job.busy = true;
            self.reread_record(FlushItem::Terminal { job: job_index, chunks: Vec::new() });
        }
    }

    /// Sends a read of the record that an item would write, if its job is still in memory.
    fn request_record(&mut self, item: FlushItem) {
        let path = match &item {
            FlushItem::Chunk { job, chunk, .. } => {
                self.jobs.get(*job).map(|job| placement_key(&job.id, *chunk))
            }
            FlushItem::Terminal { job, .. } | FlushItem::Fold { job, .. } => {
                self.jobs.get(*job).map(|job| job_key(&job.id))
            }
            FlushItem::Deletion { .. } => None,
        };
        let Some(path) = path else { return };
        let call = StorageCall::RecordReread { item, epoch: self.epoch() };
        self.call_from_storage("GET", format!("/keys/{path}"), Vec::new(), call);
    }

    /// Handles the outcome of a reread. A failed reread is retried with the next periodic work.
    pub(in crate::storage) fn on_record_reread(&mut self, item: FlushItem, outcome: Outcome) {
        let Ok(pair) = self.read_outcome(outcome) else {
            return self.record_writer.reads_to_retry.push(item);
        };
        match item {
            FlushItem::Chunk { job, chunk, .. } => self.on_placement_reread(job, chunk, pair),
            FlushItem::Terminal { job, .. } | FlushItem::Fold { job, .. } => {
                self.on_job_reread(job, pair)
            }
            FlushItem::Deletion { .. } => {}
        }
    }

    /// Retries the rereads that have failed.
    pub(crate) fn retry_record_reads(&mut self) {
        for item in std::mem::take(&mut self.record_writer.reads_to_retry) {
            self.request_record(item);
        }
    }

    /// Updates a chunk with the revision of its placement record. All pieces of a placement are
    /// written together, so that the first piece tells how many there are.
    fn on_placement_reread(&mut self, job_index: JobIndex, chunk: u32, pair: Option<KeyValue>) {
        let (revision, pieces) = match pair {
            Some(pair) => match read_placement(&pair.key, &pair.value, pair.revision) {
                Some(placement) => (placement.revision, placement.piece_count),
                None => return self.mark_unreadable(job_index),
            },
            None => (0, 0),
        };
        if let Some(c) = self.jobs.get_mut(job_index).and_then(|job| job.chunks.get_mut(&chunk)) {
            (c.busy, c.revision, c.pieces) = (false, revision, pieces);
            c.blocks_starts = true;
        }
        self.mark_dirty(job_index, chunk);
    }

    /// Updates a job from its own record.
    fn on_job_reread(&mut self, job_index: JobIndex, pair: Option<KeyValue>) {
        let Some(pair) = pair else { return self.on_own_record_missing(job_index) };
        let Some(record) = decode::<JobRecord>(&pair.value) else {
            return self.mark_unreadable(job_index);
        };
        let status = record.status;
        self.update_from_own_record(job_index, record, pair.revision);
        match status {
            RecordedStatus::Done => {
                self.set_job_state(job_index, JobState::Done);
                self.remove_leftover_placements(job_index);
            }
            RecordedStatus::Aborted => {
                self.set_job_state(job_index, JobState::Aborted);
                self.record_writer.mark_job_dirty(job_index);
            }
            RecordedStatus::Live => self.on_live_reread(job_index),
        }
    }

    /// Handles the absence of a job's own record. Such a job must belong to a batch record, which
    /// implies that it is live.
    fn on_own_record_missing(&mut self, job_index: JobIndex) {
        let in_batch = self.jobs.get(job_index).is_some_and(|job| job.batch_number.is_some());
        if !in_batch {
            return self.mark_unreadable(job_index);
        }
        if let Some(job) = self.jobs.get_mut(job_index) {
            (job.busy, job.revision) = (false, 0);
        }
        self.on_live_reread(job_index);
    }

    fn update_from_own_record(&mut self, job_index: JobIndex, record: JobRecord, revision: u64) {
        let Some(job) = self.jobs.get_mut(job_index) else { return };
        (job.busy, job.revision) = (false, revision);
        if let Some(chunk) = job.chunks.get_mut(&0) {
            chunk.inline = record.placement.is_some();
        }
        job.done_chunks = record.done_chunks;
        // A fold whose outcome was lost has deleted the placement records of these chunks.
        for (first, last) in &job.done_chunks {
            (*first..=*last).for_each(|number| drop(job.chunks.remove(&number)));
        }
    }

    /// Handles a reread that shows the job as live. If the write of the job's abort is
    /// indeterminate, the abort is written once more: only one of the two writes can succeed,
    /// whichever is executed first.
    fn on_live_reread(&mut self, job_index: JobIndex) {
        if self.jobs.get(job_index).is_some_and(|job| job.state == JobState::AbortIndeterminate) {
            if !self.record_abort(None, job_index) {
                if let Some(job) = self.jobs.get_mut(job_index) {
                    job.busy = true;
                }
                let item = FlushItem::Terminal { job: job_index, chunks: Vec::new() };
                self.record_writer.reads_to_retry.push(item);
            }
            return;
        }
        if let Some(job) = self.jobs.get_mut(job_index) {
            job.must_reread_record = false;
        }
        self.set_job_state(job_index, JobState::Live);
        self.record_writer.mark_job_dirty(job_index);
        self.dispatch_probed_machines(job_index);
    }

    /// Stops a job one of whose records can't be decoded, and logs an error. The records are never
    /// overwritten.
    fn mark_unreadable(&mut self, job_index: JobIndex) {
        if let Some(job) = self.jobs.get(job_index) {
            tracing::error!(job = %job.id, "a record of this job can't be decoded; the job stops and its records stay as they are");
        }
        self.set_job_state(job_index, JobState::Unreadable);
    }
}
