//! Shares as they are written and taken away: in one key or several, which always change
//! together, and folded into their job's record once they are done.

use ciborium::value::Value;
use quartzgate_ladder::Feature;
use quartzgate_wire::msg::{Change, Guard, Transaction};

use crate::controller::Controller;
use crate::ids::JobIx;
use crate::jobs::Job;
use crate::records::{
    checked_size, encode, json_size, pack_share, piece_key, piece_keys, JobRecord, RecordedStatus,
};

/// A chunk's record, ready to be written over what stands of it.
pub(crate) struct ShareWrite {
    pub pieces: u32,
    /// Keys that stand, and their stamp.
    old: u32,
    stamp: u64,
    values: Vec<Value>,
    pub bytes: usize,
    /// Some value is too large for any write.
    pub oversize: bool,
}

impl ShareWrite {
    pub fn changes(&self) -> usize {
        self.pieces.max(self.old) as usize
    }

    /// Adds it to a transaction: all pieces, old and new, change together.
    pub fn enter(self, id: &str, chunk: u32, guards: &mut Vec<Guard>, apply: &mut Vec<Change>) {
        let (pieces, old, stamp) = (self.pieces, self.old, self.stamp);
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

    /// A chunk's record as memory stands now, ready to be written.
    pub(crate) fn share_write(&mut self, ix: JobIx, chunk: u32) -> Option<ShareWrite> {
        let record = self.share_record(ix, chunk)?;
        let most = self.value_most();
        let c = self.jobs.get(ix)?.chunks.get(&chunk)?;
        let (old, stamp) = (c.pieces, c.stamp);
        if !self.has(Feature::Pieces) {
            let bytes = json_size(&record);
            let (values, oversize) = (vec![encode(&record)], bytes > most);
            return Some(ShareWrite { pieces: 1, old, stamp, values, bytes, oversize });
        }
        let pieces = pack_share(&record, chunk, most);
        let oversize = pieces.iter().any(|p| checked_size(p) > most);
        let bytes = pieces.iter().map(json_size).sum();
        let values: Vec<Value> = pieces.iter().map(encode).collect();
        Some(ShareWrite { pieces: values.len() as u32, old, stamp, values, bytes, oversize })
    }
}
