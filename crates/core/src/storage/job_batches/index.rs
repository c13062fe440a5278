//! What stood in the pages at a revision of the state service, as one who does not write them
//! knows it. It is made by reading them all once and kept by what has changed since, so that a
//! look costs what has changed, not what there is.

use std::collections::{BTreeMap, BTreeSet};

use ciborium::value::Value;
use quartzgate_wire::msg::{ChangeLog, KeyValueList};
use quartzgate_wire::{from_cbor, to_cbor};

use crate::storage::records::{batch_number, decode, BatchRecord, JobRecord};

/// One page: its jobs by name, and the rest as it was read.
struct Held {
    revision: u64,
    /// `None` if the page can't be read.
    ids: Option<BTreeSet<String>>,
    value: Vec<u8>,
}

/// What the pages say of a job.
#[derive(Debug)]
pub(super) enum Found {
    Record(Box<JobRecord>),
    /// It may be in a page that can't be read, or can't be read there.
    Damaged,
    Absent,
}

#[derive(Default)]
pub(super) struct Index {
    /// The revision that it describes; 0 until all pages have been read.
    rev: u64,
    /// When it was last known to be so.
    pub at_ms: u64,
    held: BTreeMap<u64, Held>,
}

impl Index {
    /// The revision after which to ask for changes, if it is young enough for that: what
    /// changed in a long time would be more than what there is.
    pub fn rev(&self, now_ms: u64, young_ms: u64) -> Option<u64> {
        (self.rev > 0 && now_ms < self.at_ms + young_ms).then_some(self.rev)
    }

    fn set(&mut self, key: &str, value: &Value, revision: u64) {
        let Some(number) = batch_number(key) else { return };
        if self.held.get(&number).is_some_and(|h| h.revision >= revision) {
            return;
        }
        let page: Option<BatchRecord> = decode(value);
        if page.is_none() {
            tracing::error!(number, "a page can't be read; jobs in it can't be told");
        }
        let ids = page.map(|p| p.ids().cloned().collect());
        self.held.insert(number, Held { revision, ids, value: to_cbor(value) });
    }

    /// Takes in some of a list of all pages; what changed while they were read comes with
    /// the changes since the first.
    pub fn read(&mut self, list: &KeyValueList) {
        if self.rev == 0 {
            self.rev = list.store_revision;
        }
        list.pairs.iter().for_each(|p| self.set(&p.path, &p.value, p.revision));
    }

    /// Takes in what has changed.
    pub fn follow(&mut self, changes: &ChangeLog) {
        for event in &changes.log {
            match (&event.set, &event.delete, &event.value) {
                (Some(key), _, Some(value)) => self.set(key, value, event.revision),
                (_, Some(key), _) => {
                    let Some(number) = batch_number(key) else { continue };
                    if self.held.get(&number).is_some_and(|h| h.revision < event.revision) {
                        self.held.remove(&number);
                    }
                }
                _ => {}
            }
        }
        self.rev = self.rev.max(changes.store_revision);
    }

    /// The last page that was there: it is never taken away.
    pub fn last(&self) -> u64 {
        self.held.keys().next_back().copied().unwrap_or(0)
    }

    pub fn find(&self, id: &str) -> Found {
        let mut damaged = false;
        for held in self.held.values() {
            match &held.ids {
                Some(ids) if ids.contains(id) => {
                    let page: Option<BatchRecord> = from_cbor(&held.value).ok();
                    let record = page.and_then(|p| p.get(id));
                    return record.map_or(Found::Damaged, |r| Found::Record(Box::new(r)));
                }
                Some(_) => {}
                None => damaged = true,
            }
        }
        if damaged {
            Found::Damaged
        } else {
            Found::Absent
        }
    }
}
