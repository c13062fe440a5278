//! The state service of a simulation: a key-value store with revisions and compare-and-swap.

use std::collections::BTreeMap;

use ciborium::value::Value;
use quartzgate_core::Call;
use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{
    Change, ChangeLog, Guard, KeyValue, KeyValueList, LeaseAnswer, Transaction, TransactionAnswer,
};
use quartzgate_wire::{from_cbor, to_cbor};

/// Keys in one answer to a list request that names no limit.
const DEFAULT_LIST_LIMIT: usize = 1_000;
/// The one lease that is ever granted: it does not expire.
const LEASE_ID: u64 = 1;

/// A value with the revision of its last change.
struct StoredValue {
    value: Value,
    revision: u64,
}

/// Keys and values in memory.
#[derive(Default)]
pub struct StateService {
    entries: BTreeMap<String, StoredValue>,
    revision: u64,
}

impl StateService {
    /// Number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Writes a value as if it had been there since the first revision.
    pub fn preload(&mut self, key: String, value: Value) {
        self.entries.insert(key, StoredValue { value, revision: 1 });
    }

    /// Answers a request; none for a watch, of which nothing ever comes.
    pub fn answer(&mut self, call: &Call) -> Option<Response> {
        let (path, query) = call.target.split_once('?').unwrap_or((&call.target, ""));
        let response = match path {
            "/changes" => return None,
            "/keys" => self.list(query),
            _ if path.starts_with("/leases") => ok(&LeaseAnswer { lease_id: LEASE_ID }),
            _ => match path.strip_prefix("/keys/") {
                Some(key) => self.get(key),
                None => self.commit(&call.body),
            },
        };
        Some(response)
    }

    /// The body of a watch that ended without changes.
    pub fn no_changes(&self) -> Response {
        ok(&ChangeLog { store_revision: self.revision, log: Vec::new() })
    }

    fn get(&self, key: &str) -> Response {
        match self.entries.get(key) {
            Some(stored) => ok(&pair(key, stored)),
            None => Response::new(404, Vec::new()),
        }
    }

    /// Lists the keys with a prefix, after the last key of the list before.
    fn list(&self, query: &str) -> Response {
        let parameter = |name| query.split('&').find_map(|part| part.strip_prefix(name));
        let prefix = parameter("starts=").unwrap_or_default();
        let after = parameter("since=").unwrap_or_default();
        let limit = parameter("most=").and_then(|limit| limit.parse().ok());
        let limit = limit.unwrap_or(DEFAULT_LIST_LIMIT);
        let first = if after > prefix { after } else { prefix };
        let found = self.entries.range(first.to_string()..).filter(|(key, _)| *key != after);
        let found = found.take_while(|(key, _)| key.starts_with(prefix));
        let mut pairs: Vec<KeyValue> =
            found.take(limit + 1).map(|(key, stored)| pair(key, stored)).collect();
        let more = pairs.len() > limit;
        pairs.truncate(limit);
        ok(&KeyValueList { pairs, more, store_revision: self.revision })
    }

    /// Applies a transaction if all its conditions hold.
    fn commit(&mut self, body: &[u8]) -> Response {
        let Ok(transaction) = from_cbor::<Transaction>(body) else {
            return Response::new(400, Vec::new());
        };
        let failed: Vec<String> = transaction
            .guards
            .iter()
            .filter(|guard| !self.holds(guard))
            .map(|guard| guard.path.clone())
            .collect();
        if !failed.is_empty() {
            let body = to_cbor(&TransactionAnswer { store_revision: self.revision, failed });
            return Response::new(409, body);
        }
        self.revision += u64::from(!transaction.apply.is_empty());
        transaction.apply.into_iter().for_each(|change| self.apply(change));
        ok(&TransactionAnswer { store_revision: self.revision, failed: Vec::new() })
    }

    /// Whether a key has the revision that a condition names; 0 means that it does not exist.
    fn holds(&self, guard: &Guard) -> bool {
        self.entries.get(&guard.path).map_or(0, |stored| stored.revision) == guard.revision
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Set { set, value, .. } => {
                self.entries.insert(set, StoredValue { value, revision: self.revision });
            }
            Change::Delete { delete } => {
                self.entries.remove(&delete);
            }
        }
    }
}

fn ok<T: serde::Serialize>(body: &T) -> Response {
    Response::new(200, to_cbor(body))
}

fn pair(key: &str, stored: &StoredValue) -> KeyValue {
    KeyValue {
        path: key.to_string(),
        value: stored.value.clone(),
        revision: stored.revision,
        lease_id: None,
    }
}
