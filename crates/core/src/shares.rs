//! Shares as they are written and taken away: in one key or several, which always change
//! together, and folded into their job's record once they are done.

use ciborium::value::Value;
use quartzgate_feature_gates::Feature;
use quartzgate_wire::msg::{Change, Guard, Transaction};

use crate::controller::Controller;
use crate::ids::JobIx;
use crate::jobs::{Job, JobState};
use crate::records::{
    checked_size, encode, inline_piece, job_key, json_size, pack_share, piece_key, piece_keys,
    JobRecord, RecordedStatus,
};

/// Where a chunk's record stands once a write of it is executed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Placed {
    /// Keys over which it is spread.
    pub pieces: u32,
    /// It stands within the job's own record.
    pub inline: bool,
    /// The write sets the job's own record.
    pub own: bool,
}

/// A chunk's record, ready to be written over what stands of it.
pub(crate) struct ShareWrite {
    pub placed: Placed,
    /// Keys that stand, and their stamp.
    old: u32,
    stamp: u64,
    values: Vec<Value>,
    /// The job's own record, if it has to change as well, and its stamp.
    own: Option<(Value, u64)>,
    pub bytes: usize,
    /// Some value is too large for any write.
    pub oversize: bool,
}

impl ShareWrite {
    pub fn changes(&self) -> usize {
        self.placed.pieces.max(self.old) as usize + usize::from(self.placed.own)
    }

    /// Adds it to a transaction: all pieces, old and new, and the job's own record change
    /// together.
    pub fn enter(self, id: &str, chunk: u32, guards: &mut Vec<Guard>, apply: &mut Vec<Change>) {
        let (pieces, old, stamp) = (self.placed.pieces, self.old, self.stamp);
        if let Some((value, stamp)) = self.own {
            guards.push(Guard { path: job_key(id), stamp });
            apply.push(Change::Set { set: job_key(id), value, permit: None });
        }
        for n in 0..pieces.max(old) {
            let stamp = if n < old { stamp } else { 0 };
            guards.push(Guard { path: piece_key(id, chunk, n), stamp });
        }
        for (n, value) in (0..).zip(self.values) {
            apply.push(Change::Set { set: piece_key(id, chunk, n), value, permit: None });
        }
        apply.extend((pieces..old).map(|n| Change::Delete { delete: piece_key(id, chunk, n) }));
    }
}

/// What is left free in a record that holds its share: a follower that records an abort
/// writes what it read, and a word more.
const SPARE_BYTES: usize = 64;

impl Controller {
    /// Removes shares of a job.
    pub(crate) fn gather_shares(&self, ix: JobIx, chunks: &[u32], txn: &mut Transaction) {
        let Some(job) = self.jobs.get(ix) else { return };
        for c in chunks {
            let stands = &job.chunks[c];
            for path in piece_keys(&job.id, *c, stands.pieces) {
                txn.guards.push(Guard { path: path.clone(), stamp: stands.stamp });
                txn.apply.push(Change::Delete { delete: path });
            }
        }
    }

    /// The record of a job some of whose chunks are folded.
    pub(crate) fn folded_record(&self, job: &Job, chunks: &[u32]) -> JobRecord {
        JobRecord {
            status: RecordedStatus::Live,
            spec: Some(job.spec.clone()),
            at_ms: job.at_ms,
            done_chunks: job.done_chunks_with(chunks),
            service: false,
            share: None,
        }
    }

    /// Large jobs are folded, if what is folded still has room in the job's record.
    pub(crate) fn may_fold(&self, job: &Job) -> bool {
        job.chunk_count() > 1 && {
            let whole: Vec<u32> =
                job.chunks.iter().filter(|(_, c)| c.whole()).map(|(n, _)| *n).collect();
            whole.is_empty() || checked_size(&self.folded_record(job, &whole)) <= self.value_most()
        }
    }

    /// A job's own record as memory has it, without its share.
    pub(crate) fn own_record(&self, job: &Job) -> JobRecord {
        let mut record = self.folded_record(job, &[]);
        if matches!(job.state, JobState::Aborted | JobState::Aborting | JobState::Doubtful) {
            record.status = RecordedStatus::Aborted;
            record.end_within(self.value_most());
        }
        record
    }

    /// Whether the share of a job is to stand in the job's own record, if it fits.
    pub(crate) fn inlines(&self, ix: JobIx) -> bool {
        self.has(Feature::InlinePlacements)
            && self.jobs.get(ix).is_some_and(|j| {
                j.chunk_count() == 1 && j.chunks.get(&0).is_none_or(|c| c.pieces == 0)
            })
    }

    /// A chunk's record as memory stands now, ready to be written.
    pub(crate) fn share_write(&mut self, ix: JobIx, chunk: u32) -> Option<ShareWrite> {
        let record = self.share_record(ix, chunk)?;
        let most = self.value_most();
        let job = self.jobs.get(ix)?;
        let c = job.chunks.get(&chunk)?;
        let (old, stamp) = (c.pieces, c.stamp);
        if !self.has(Feature::SplitPlacementRecords) {
            let bytes = json_size(&record);
            let (values, oversize) = (vec![encode(&record)], bytes > most);
            let placed = Placed { pieces: 1, ..Placed::default() };
            return Some(ShareWrite { placed, old, stamp, values, own: None, bytes, oversize });
        }
        let mut own = None;
        if self.inlines(ix) {
            let mut record_of_job = self.own_record(job);
            record_of_job.share = Some(inline_piece(&record));
            let bytes = checked_size(&record_of_job);
            if bytes + SPARE_BYTES <= most {
                let own = Some((encode(&record_of_job), job.stamp));
                let placed = Placed { pieces: 0, inline: true, own: true };
                let (values, oversize) = (Vec::new(), false);
                return Some(ShareWrite { placed, old, stamp, values, own, bytes, oversize });
            }
            // It has outgrown the job's record, which must not say any more what it said.
            if c.inline {
                record_of_job.share = None;
                own = Some((encode(&record_of_job), job.stamp));
            }
        }
        // It leaves its page, and has no record of its own yet.
        if job.own && job.page.is_some() {
            own = Some((encode(&self.own_record(job)), job.stamp));
        }
        let pieces = pack_share(&record, chunk, most);
        let oversize = pieces.iter().any(|p| checked_size(p) > most);
        let bytes =
            pieces.iter().map(json_size).sum::<usize>() + if own.is_some() { most } else { 0 };
        let values: Vec<Value> = pieces.iter().map(encode).collect();
        let placed = Placed { pieces: values.len() as u32, inline: false, own: own.is_some() };
        Some(ShareWrite { placed, old, stamp, values, own, bytes, oversize })
    }

    /// A chunk's record is on its way, perhaps with the job's own.
    pub(crate) fn chunk_sent(&mut self, ix: JobIx, chunk: u32, placed: Placed) {
        let Some(j) = self.jobs.get_mut(ix) else { return };
        j.busy |= placed.own;
        if let Some(c) = j.chunks.get_mut(&chunk) {
            (c.dirty, c.busy) = (false, true);
        }
    }

    /// A chunk's record stands as it was sent.
    pub(crate) fn chunk_stands(&mut self, ix: JobIx, chunk: u32, placed: Placed, rev: u64) {
        let Some(j) = self.jobs.get_mut(ix) else { return };
        if placed.own {
            (j.busy, j.stamp) = (false, rev);
        }
        if let Some(c) = j.chunks.get_mut(&chunk) {
            (c.busy, c.acked) = (false, c.version);
            (c.pieces, c.inline) = (placed.pieces, placed.inline);
            c.stamp = if placed.inline { 0 } else { rev };
        }
    }
}
