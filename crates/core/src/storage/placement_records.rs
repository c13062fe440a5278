//! Composes writes of placement records: into the job's own record, one key, or several keys that
//! always change together. Also composes their deletion once completed chunks are folded into the
//! job's record.

use ciborium::value::Value;
use quartzgate_feature_gates::Feature;
use quartzgate_wire::msg::{Change, Guard, Transaction};

use crate::controller::Controller;
use crate::ids::JobIndex;
use crate::jobs::{Chunk, Job, JobState};
use crate::storage::records::{
    checked_size, encode, inline_piece, job_key, json_size, pack_placement, piece_key, piece_keys,
    JobRecord, PlacementRecord, RecordedStatus,
};

/// Bytes that are kept free in a job's own record with a placement. A follower that records an
/// abort writes the record back as it read it, with a longer status.
const ABORT_SPARE_BYTES: usize = 64;

/// Location of a chunk's placement once a write of it has been executed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RecordLocation {
    /// Number of keys over which the placement is split.
    pub pieces: u32,
    /// The placement is part of the job's own record.
    pub inline: bool,
    /// The write also sets the job's own record.
    pub sets_own_record: bool,
}

/// A value to be set, and the revision that guards the write.
struct GuardedValue {
    value: Value,
    revision: u64,
}

/// A chunk's placement, ready to replace the recorded one.
pub(crate) struct PlacementWrite {
    /// Location of the placement once the write has been executed.
    pub location: RecordLocation,
    /// Number of keys of the recorded placement.
    recorded_pieces: u32,
    recorded_revision: u64,
    /// Values of the placement's keys, in the order of the pieces.
    values: Vec<Value>,
    /// The job's own record, if the write changes it as well.
    own_record: Option<GuardedValue>,
    /// Estimated size of all values in bytes.
    pub bytes: usize,
    /// At least one value exceeds the store's limit.
    pub oversize: bool,
}

impl PlacementWrite {
    /// Returns the number of keys that the write changes.
    pub fn changes(&self) -> usize {
        let pieces = self.location.pieces.max(self.recorded_pieces);
        pieces as usize + usize::from(self.location.sets_own_record)
    }

    /// Adds the write to a transaction, in which all old and new keys of the placement and the
    /// job's own record change together.
    pub fn add_to_transaction(
        self,
        id: &str,
        chunk: u32,
        guards: &mut Vec<Guard>,
        apply: &mut Vec<Change>,
    ) {
        let (new_pieces, recorded_pieces) = (self.location.pieces, self.recorded_pieces);
        if let Some(own) = self.own_record {
            guards.push(Guard { key: job_key(id), revision: own.revision });
            apply.push(Change::Set { set: job_key(id), value: own.value, lease_id: None });
        }
        for piece in 0..new_pieces.max(recorded_pieces) {
            let revision = if piece < recorded_pieces { self.recorded_revision } else { 0 };
            guards.push(Guard { key: piece_key(id, chunk, piece), revision });
        }
        for (piece, value) in (0..).zip(self.values) {
            apply.push(Change::Set { set: piece_key(id, chunk, piece), value, lease_id: None });
        }
        let unused_keys = (new_pieces..recorded_pieces).map(|piece| piece_key(id, chunk, piece));
        apply.extend(unused_keys.map(|delete| Change::Delete { delete }));
    }
}

/// Composes a write in format 1, which has no pieces.
fn unsplit_write(record: &PlacementRecord, chunk: &Chunk, max_bytes: usize) -> PlacementWrite {
    let bytes = json_size(record);
    PlacementWrite {
        location: RecordLocation { pieces: 1, ..RecordLocation::default() },
        recorded_pieces: chunk.pieces,
        recorded_revision: chunk.revision,
        values: vec![encode(record)],
        own_record: None,
        bytes,
        oversize: bytes > max_bytes,
    }
}

impl Controller {
    /// Composes the write of a chunk's placement from memory, and raises the chunk's version.
    pub(crate) fn placement_write(
        &mut self,
        job_index: JobIndex,
        chunk: u32,
    ) -> Option<PlacementWrite> {
        let record = self.placement_record(job_index, chunk)?;
        let job = self.jobs.get(job_index)?;
        let recorded = job.chunks.get(&chunk)?;
        if !self.is_active(Feature::SplitPlacementRecords) {
            return Some(unsplit_write(&record, recorded, self.max_value_bytes()));
        }
        let inline_write = self.inline_write(job_index, job, recorded, &record);
        Some(
            inline_write
                .unwrap_or_else(|| self.split_write(job_index, job, chunk, recorded, &record)),
        )
    }

    /// Composes the write of a placement into the job's own record. Returns `None` if the placement
    /// does not belong there or does not fit.
    fn inline_write(
        &self,
        job_index: JobIndex,
        job: &Job,
        recorded: &Chunk,
        record: &PlacementRecord,
    ) -> Option<PlacementWrite> {
        if !self.may_inline_placement(job_index) {
            return None;
        }
        let mut own_record = self.own_record(job);
        own_record.placement = Some(inline_piece(record));
        let bytes = checked_size(&own_record);
        if bytes + ABORT_SPARE_BYTES > self.max_value_bytes() {
            return None;
        }
        Some(PlacementWrite {
            location: RecordLocation { pieces: 0, inline: true, sets_own_record: true },
            recorded_pieces: recorded.pieces,
            recorded_revision: recorded.revision,
            values: Vec::new(),
            own_record: Some(GuardedValue { value: encode(&own_record), revision: job.revision }),
            bytes,
            oversize: false,
        })
    }

    /// Composes the write of a placement to as many keys of its own as it needs.
    fn split_write(
        &self,
        job_index: JobIndex,
        job: &Job,
        chunk: u32,
        recorded: &Chunk,
        record: &PlacementRecord,
    ) -> PlacementWrite {
        let max_bytes = self.max_value_bytes();
        // A placement that has outgrown the job's own record must be removed from that record.
        let leaves_own_record = self.may_inline_placement(job_index) && recorded.inline;
        // A job that leaves its batch record has no record of its own yet.
        let leaves_batch = job.needs_own_record && job.batch_number.is_some();
        let own_record = (leaves_own_record || leaves_batch)
            .then(|| GuardedValue { value: encode(&self.own_record(job)), revision: job.revision });
        let pieces = pack_placement(record, chunk, max_bytes);
        let own_record_bytes = if own_record.is_some() { max_bytes } else { 0 };
        PlacementWrite {
            location: RecordLocation {
                pieces: pieces.len() as u32,
                inline: false,
                sets_own_record: own_record.is_some(),
            },
            recorded_pieces: recorded.pieces,
            recorded_revision: recorded.revision,
            values: pieces.iter().map(encode).collect(),
            own_record,
            bytes: pieces.iter().map(json_size).sum::<usize>() + own_record_bytes,
            oversize: pieces.iter().any(|piece| checked_size(piece) > max_bytes),
        }
    }

    /// Returns whether the placement of a job belongs in the job's own record, provided that it
    /// fits.
    pub(crate) fn may_inline_placement(&self, job_index: JobIndex) -> bool {
        self.is_active(Feature::InlinePlacements)
            && self.jobs.get(job_index).is_some_and(|job| {
                job.chunk_count() == 1 && job.chunks.get(&0).is_none_or(|c| c.pieces == 0)
            })
    }

    /// Returns a job's own record from memory, without its placement.
    pub(crate) fn own_record(&self, job: &Job) -> JobRecord {
        let mut record = self.folded_record(job, &[]);
        if matches!(
            job.state,
            JobState::Aborted | JobState::Aborting | JobState::AbortIndeterminate
        ) {
            record.status = RecordedStatus::Aborted;
            record.shrink_to_fit(self.max_value_bytes());
        }
        record
    }

    /// Returns the record of a live job with these chunks folded into it, in addition to those
    /// folded before.
    pub(super) fn folded_record(&self, job: &Job, chunks: &[u32]) -> JobRecord {
        JobRecord {
            status: RecordedStatus::Live,
            spec: Some(job.spec.clone()),
            at_ms: job.submitted_ms,
            done_chunks: job.done_chunks_with(chunks),
            service: false,
            placement: None,
        }
    }

    /// Returns whether completed chunks may be folded into the job's record: for jobs of several
    /// chunks, as long as the record stays within the store's limit.
    pub(super) fn may_fold(&self, job: &Job) -> bool {
        if job.chunk_count() <= 1 {
            return false;
        }
        let completed = job.chunks.iter().filter(|(_, chunk)| chunk.is_complete());
        let completed: Vec<u32> = completed.map(|(number, _)| *number).collect();
        completed.is_empty()
            || checked_size(&self.folded_record(job, &completed)) <= self.max_value_bytes()
    }

    /// Adds the deletion of these chunks' placement records to a transaction.
    pub(super) fn remove_placements(
        &self,
        job_index: JobIndex,
        chunks: &[u32],
        transaction: &mut Transaction,
    ) {
        let Some(job) = self.jobs.get(job_index) else { return };
        for number in chunks {
            let recorded = &job.chunks[number];
            for key in piece_keys(&job.id, *number, recorded.pieces) {
                transaction.guards.push(Guard { key: key.clone(), revision: recorded.revision });
                transaction.apply.push(Change::Delete { delete: key });
            }
        }
    }

    /// Updates memory after a write of a chunk's placement was sent, possibly with the job's own
    /// record.
    pub(crate) fn on_placement_sent(
        &mut self,
        job_index: JobIndex,
        chunk: u32,
        location: RecordLocation,
    ) {
        let Some(job) = self.jobs.get_mut(job_index) else { return };
        job.busy |= location.sets_own_record;
        if let Some(chunk) = job.chunks.get_mut(&chunk) {
            (chunk.dirty, chunk.busy) = (false, true);
        }
    }

    /// Updates memory after a chunk's placement was recorded as it was sent.
    pub(crate) fn on_placement_recorded(
        &mut self,
        job_index: JobIndex,
        chunk: u32,
        location: RecordLocation,
        revision: u64,
    ) {
        let Some(job) = self.jobs.get_mut(job_index) else { return };
        if location.sets_own_record {
            (job.busy, job.revision) = (false, revision);
        }
        if let Some(chunk) = job.chunks.get_mut(&chunk) {
            (chunk.busy, chunk.stored_version) = (false, chunk.version);
            (chunk.pieces, chunk.inline) = (location.pieces, location.inline);
            chunk.revision = if location.inline { 0 } else { revision };
        }
    }
}
