//! Records whose revision is uncertain, because a write of them was indeterminate or met a changed
//! record, are read again before they are written.
//!
//! Invariant: while such a read is in flight the chunk or job is busy, so that nothing is written
//! over a record that memory does not know.

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
    /// Reads a record again whose revision is uncertain.
    pub(crate) fn reread_record(&mut self, item: FlushItem) {
        match &item {
            FlushItem::Deletion { path, revision } => {
                return self.record_writer.schedule_deletion_at(path.clone(), *revision)
            }
            // The placements that the write deletes may or may not be there.
            FlushItem::Terminal { job, chunks } | FlushItem::Fold { job, chunks } => {
                for &chunk in chunks {
                    let placed = RecordLocation::default();
                    self.reread_record(FlushItem::Chunk { job: *job, chunk, placed });
                }
            }
            FlushItem::Chunk { job, chunk, placed } => {
                if let Some(c) = self.jobs.get_mut(*job).and_then(|j| j.chunks.get_mut(chunk)) {
                    c.busy = true;
                }
                if placed.own {
                    self.reread_job(*job);
                }
            }
        }
        self.request_record(item);
    }

    /// Reads a job's own record again because it may have changed.
    pub(crate) fn reread_job(&mut self, ix: JobIndex) {
        if let Some(job) = self.jobs.get_mut(ix) {
            job.busy = true;
            self.reread_record(FlushItem::Terminal { job: ix, chunks: Vec::new() });
        }
    }

    /// Requests the record that an item would write, if its job is still in memory.
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

    /// A reread has ended. If it failed, it is retried with the next periodic work.
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

    /// Retries the rereads that failed.
    pub(crate) fn retry_record_reads(&mut self) {
        for item in std::mem::take(&mut self.record_writer.reads_to_retry) {
            self.request_record(item);
        }
    }

    /// Takes over the revision of a placement record. All its pieces are written together, so that
    /// the first tells how many there are.
    fn on_placement_reread(&mut self, ix: JobIndex, chunk: u32, pair: Option<KeyValue>) {
        let (revision, pieces) = match pair {
            Some(pair) => match read_placement(&pair.path, &pair.value, pair.revision) {
                Some(placement) => (placement.revision, placement.piece_count),
                None => return self.unreadable(ix),
            },
            None => (0, 0),
        };
        if let Some(c) = self.jobs.get_mut(ix).and_then(|job| job.chunks.get_mut(&chunk)) {
            (c.busy, c.revision, c.pieces) = (false, revision, pieces);
            c.blocks_starts = true;
        }
        self.mark_dirty(ix, chunk);
    }

    /// Takes over what a job's own record says.
    fn on_job_reread(&mut self, ix: JobIndex, pair: Option<KeyValue>) {
        let Some(pair) = pair else { return self.on_own_record_missing(ix) };
        let Some(record) = decode::<JobRecord>(&pair.value) else {
            return self.unreadable(ix);
        };
        let status = record.status;
        self.update_from_own_record(ix, record, pair.revision);
        match status {
            RecordedStatus::Done => {
                self.set_job_state(ix, JobState::Done);
                self.remove_leftover_placements(ix);
            }
            RecordedStatus::Aborted => {
                self.set_job_state(ix, JobState::Aborted);
                self.record_writer.mark_job_dirty(ix);
            }
            RecordedStatus::Live => self.on_live_reread(ix),
        }
    }

    /// Without a record of its own a job must be part of a batch record, which says that it is
    /// live.
    fn on_own_record_missing(&mut self, ix: JobIndex) {
        let in_batch = self.jobs.get(ix).is_some_and(|job| job.page.is_some());
        if !in_batch {
            return self.unreadable(ix);
        }
        if let Some(job) = self.jobs.get_mut(ix) {
            (job.busy, job.revision) = (false, 0);
        }
        self.on_live_reread(ix);
    }

    fn update_from_own_record(&mut self, ix: JobIndex, record: JobRecord, revision: u64) {
        let Some(job) = self.jobs.get_mut(ix) else { return };
        (job.busy, job.revision) = (false, revision);
        if let Some(chunk) = job.chunks.get_mut(&0) {
            chunk.inline = record.share.is_some();
        }
        job.done_chunks = record.done_chunks;
        // A fold whose outcome was lost has deleted these chunks' placement records.
        for (first, last) in &job.done_chunks {
            (*first..=*last).for_each(|number| drop(job.chunks.remove(&number)));
        }
    }

    /// The record says that the job is live. If the write of its abort is indeterminate, the abort
    /// is recorded once more: whichever write is executed first, the other one fails.
    fn on_live_reread(&mut self, ix: JobIndex) {
        if self.jobs.get(ix).is_some_and(|job| job.state == JobState::AbortIndeterminate) {
            if !self.record_abort(None, ix) {
                if let Some(job) = self.jobs.get_mut(ix) {
                    job.busy = true;
                }
                let item = FlushItem::Terminal { job: ix, chunks: Vec::new() };
                self.record_writer.reads_to_retry.push(item);
            }
            return;
        }
        if let Some(job) = self.jobs.get_mut(ix) {
            job.must_reread_record = false;
        }
        self.set_job_state(ix, JobState::Live);
        self.record_writer.mark_job_dirty(ix);
        self.dispatch_probed_machines(ix);
    }

    /// A record of the job can't be decoded. The job stops, with an error in the log, and its
    /// records are never overwritten.
    fn unreadable(&mut self, ix: JobIndex) {
        if let Some(job) = self.jobs.get(ix) {
            tracing::error!(job = %job.id, "a record of this job can't be decoded; the job stops and its records stay as they are");
        }
        self.set_job_state(ix, JobState::Unreadable);
    }
}
