//! Index of the contents of all batch records at one revision of the key-value store, for lookups
//! of a controller whose memory does not contain all of them.
//!
//! The index is built by listing all batch records once, and is then updated from the store's
//! change log. The cost of a lookup is therefore proportional to the changes since the previous
//! lookup, not to the number of records.

use std::collections::{BTreeMap, BTreeSet};

use ciborium::value::Value;
use quartzgate_wire::msg::{ChangeLog, KeyValueList};
use quartzgate_wire::{from_cbor, to_cbor};

use crate::storage::records::{batch_number, decode, BatchRecord, JobRecord};

/// A batch record in the index: the identifiers of its jobs, and its encoded value.
struct IndexedBatch {
    revision: u64,
    /// `None` if the record can't be decoded.
    job_ids: Option<BTreeSet<String>>,
    /// The record in CBOR. It is decoded again when one of its jobs is looked up, which is rare.
    value: Vec<u8>,
}

/// Result of searching the batch records for a job.
#[derive(Debug)]
pub(super) enum IndexedJob {
    /// A batch record holds the job. Contains the record that the job would have under a key of its
    /// own.
    Found(Box<JobRecord>),
    /// The job's entry can't be decoded, or a batch record that can't be decoded may hold the job.
    Unreadable,
    /// No batch record holds the job.
    Absent,
}

/// Index of all batch records at one revision of the store.
#[derive(Default)]
pub(super) struct BatchIndex {
    /// Revision of the store that the index describes; 0 until the first page of a listing was
    /// read.
    store_revision: u64,
    /// Steady time at which the index was last known to be current.
    verified_at_ms: u64,
    batches: BTreeMap<u64, IndexedBatch>,
}

impl BatchIndex {
    /// Returns the revision after which to ask for changes, if the index was current less than
    /// `max_age_ms` ago. For an older index, reading the changes could cost more than a new
    /// listing.
    pub fn revision_to_update_from(&self, now_ms: u64, max_age_ms: u64) -> Option<u64> {
        let recent = now_ms < self.verified_at_ms + max_age_ms;
        (self.store_revision > 0 && recent).then_some(self.store_revision)
    }

    /// Returns whether the index was last known to be current more than `max_age_ms` ago.
    pub fn older_than(&self, now_ms: u64, max_age_ms: u64) -> bool {
        now_ms > self.verified_at_ms + max_age_ms
    }

    /// Sets the steady time at which the index was known to be current.
    pub fn set_verified_at(&mut self, at_ms: u64) {
        self.verified_at_ms = at_ms;
    }

    /// Adds one page of a listing of all batch records. The index takes the revision of the first
    /// page, so that the next update includes all changes made while the other pages were read.
    pub fn add_listed(&mut self, list: &KeyValueList) {
        if self.store_revision == 0 {
            self.store_revision = list.store_revision;
        }
        for pair in &list.pairs {
            self.insert(&pair.key, &pair.value, pair.revision);
        }
    }

    /// Applies the changes since the index's revision.
    pub fn apply_changes(&mut self, changes: &ChangeLog) {
        for event in &changes.log {
            match (&event.set, &event.delete, &event.value) {
                (Some(key), _, Some(value)) => self.insert(key, value, event.revision),
                (_, Some(key), _) => self.remove(key, event.revision),
                _ => {}
            }
        }
        self.store_revision = self.store_revision.max(changes.store_revision);
    }

    /// Returns the number of the newest batch record, which is never deleted; 0 if there has been
    /// none.
    pub fn last_number(&self) -> u64 {
        self.batches.keys().next_back().copied().unwrap_or(0)
    }

    /// Returns whether a batch record holds the job, according to the index, which may be out of
    /// date.
    pub fn holds(&self, id: &str) -> bool {
        let mut records = self.batches.values();
        records.any(|batch| batch.job_ids.as_ref().is_some_and(|ids| ids.contains(id)))
    }

    /// Searches all batch records for a job.
    pub fn find_job(&self, id: &str) -> IndexedJob {
        let mut any_unreadable = false;
        for batch in self.batches.values() {
            match &batch.job_ids {
                Some(ids) if ids.contains(id) => return batch.read_job(id),
                Some(_) => {}
                None => any_unreadable = true,
            }
        }
        if any_unreadable {
            IndexedJob::Unreadable
        } else {
            IndexedJob::Absent
        }
    }

    /// Inserts a record, unless the index has the same or a newer version of it.
    fn insert(&mut self, key: &str, value: &Value, revision: u64) {
        let Some(number) = batch_number(key) else { return };
        if self.batches.get(&number).is_some_and(|known| known.revision >= revision) {
            return;
        }
        let record: Option<BatchRecord> = decode(value);
        if record.is_none() {
            tracing::error!(number, "a batch record can't be decoded; lookups of its jobs fail");
        }
        let job_ids = record.map(|record| record.ids().cloned().collect());
        self.batches.insert(number, IndexedBatch { revision, job_ids, value: to_cbor(value) });
    }

    /// Removes a record, unless the index has the same or a newer version of it.
    fn remove(&mut self, key: &str, revision: u64) {
        let Some(number) = batch_number(key) else { return };
        if self.batches.get(&number).is_some_and(|known| known.revision < revision) {
            self.batches.remove(&number);
        }
    }
}

impl IndexedBatch {
    fn read_job(&self, id: &str) -> IndexedJob {
        let batch: Option<BatchRecord> = from_cbor(&self.value).ok();
        match batch.and_then(|batch| batch.get(id)) {
            Some(record) => IndexedJob::Found(Box::new(record)),
            None => IndexedJob::Unreadable,
        }
    }
}
