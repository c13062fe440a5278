//! The state service: a key-value store with revisions, compare-and-swap transactions, leases and
//! a change log.

use std::collections::{BTreeMap, VecDeque};

use ciborium::value::Value;
use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{
    Change, ChangeEvent, ChangeLog, Guard, KeyValue, KeyValueList, LeaseAnswer, LeaseRequest,
    Transaction, TransactionAnswer,
};
use quartzgate_wire::{from_cbor, to_cbor};

/// Maximum number of keys in the answer to a list request without a limit.
const DEFAULT_LIST_LIMIT: usize = 1_000;
/// Maximum number of changes kept in the change log for watches.
const MAX_LOGGED_CHANGES: usize = 10_000;

/// A value with the revision of its last change.
struct StoredValue {
    value: Value,
    revision: u64,
    lease_id: Option<u64>,
}

struct Lease {
    ttl_ms: u64,
    expires_ms: u64,
}

/// How the state service responds to a request.
pub enum Reply {
    /// The answer, which is available at once.
    Answer(Response),
    /// A watch, to be answered when there are changes or when `block_ms` has passed.
    Watch {
        /// Prefix of the watched keys.
        prefix: String,
        /// Revision after which changes are reported.
        since: u64,
        /// Longest time for which the watch may block, in milliseconds.
        block_ms: u64,
    },
}

/// The state service, with all its state in memory.
#[derive(Default)]
pub struct StateService {
    entries: BTreeMap<String, StoredValue>,
    revision: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease_id: u64,
    log: VecDeque<ChangeEvent>,
}

impl StateService {
    /// Returns the number of stored keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Writes a value with the first revision, without a lease or an entry in the change log.
    pub fn preload(&mut self, key: String, value: Value) {
        self.entries.insert(key, StoredValue { value, revision: 1, lease_id: None });
    }

    /// Returns the value of a key; `None` if the key does not exist.
    pub fn value(&self, key: &str) -> Option<&Value> {
        self.entries.get(key).map(|stored| &stored.value)
    }

    /// Handles a request. Leases that it grants or renews run from `now_ms`.
    pub fn handle(&mut self, now_ms: u64, method: &str, target: &str, body: &[u8]) -> Reply {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let response = match path {
            "/changes" => return watch(query),
            "/keys" => self.list(query),
            "/multi" => self.commit(body),
            "/leases" => self.grant_lease(now_ms, body),
            _ => match (path.strip_prefix("/keys/"), path.strip_prefix("/leases/")) {
                (Some(key), _) => self.get(key),
                (_, Some(lease)) => self.handle_lease(now_ms, method, lease),
                _ => Response::new(404, Vec::new()),
            },
        };
        Reply::Answer(response)
    }

    /// Returns the answer to a watch: the changes of keys with a prefix after a revision, or 410 if
    /// the change log may no longer hold all of them; `None` while there are no changes.
    pub fn changes(&self, prefix: &str, since: u64) -> Option<Response> {
        let is_truncated = self.log.len() >= MAX_LOGGED_CHANGES;
        if is_truncated && self.log.front().is_some_and(|first| since < first.revision) {
            return Some(Response::new(410, Vec::new()));
        }
        let is_requested = |event: &&ChangeEvent| {
            let key = event.set.as_ref().or(event.delete.as_ref());
            event.revision > since && key.is_some_and(|key| key.starts_with(prefix))
        };
        let log: Vec<ChangeEvent> = self.log.iter().filter(is_requested).cloned().collect();
        (!log.is_empty()).then(|| ok(&ChangeLog { store_revision: self.revision, log }))
    }

    /// Returns the answer to a watch that ended without changes.
    pub fn no_changes(&self) -> Response {
        ok(&ChangeLog { store_revision: self.revision, log: Vec::new() })
    }

    /// Removes expired leases and the keys attached to them.
    pub fn expire_leases(&mut self, now_ms: u64) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| now_ms >= lease.expires_ms)
            .map(|(id, _)| *id)
            .collect();
        expired.into_iter().for_each(|id| self.remove_lease(id));
    }

    /// Restarts the full time to live of every lease, as after an outage of the service.
    pub fn restart_leases(&mut self, now_ms: u64) {
        for lease in self.leases.values_mut() {
            lease.expires_ms = now_ms + lease.ttl_ms;
        }
    }

    fn grant_lease(&mut self, now_ms: u64, body: &[u8]) -> Response {
        let ttl_ms = from_cbor::<LeaseRequest>(body).map_or(0, |request| request.ttl_ms);
        self.last_lease_id += 1;
        self.leases.insert(self.last_lease_id, Lease { ttl_ms, expires_ms: now_ms + ttl_ms });
        ok(&LeaseAnswer { lease_id: self.last_lease_id })
    }

    fn handle_lease(&mut self, now_ms: u64, method: &str, lease: &str) -> Response {
        let id = lease.trim_end_matches("/renew").parse().unwrap_or(0);
        if method == "DELETE" {
            self.remove_lease(id);
            return Response::new(200, Vec::new());
        }
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires_ms = now_ms + lease.ttl_ms;
                Response::new(200, Vec::new())
            }
            None => Response::new(404, Vec::new()),
        }
    }

    fn remove_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let attached = self.entries.iter().filter(|(_, stored)| stored.lease_id == Some(id));
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.into_iter().for_each(|delete| self.apply(Change::Delete { delete }));
        }
    }

    fn get(&self, key: &str) -> Response {
        match self.entries.get(key) {
            Some(stored) => ok(&key_value(key, stored)),
            None => Response::new(404, Vec::new()),
        }
    }

    /// Lists the keys with a prefix that follow `since`, the last key of the previous page.
    fn list(&self, query: &str) -> Response {
        let prefix = parameter(query, "starts=").unwrap_or_default();
        let after = parameter(query, "since=").unwrap_or_default();
        let limit = parameter(query, "most=").and_then(|limit| limit.parse().ok());
        let limit = limit.unwrap_or(DEFAULT_LIST_LIMIT);
        let first = if after > prefix { after } else { prefix };
        let found = self.entries.range(first.to_string()..).filter(|(key, _)| *key != after);
        let found = found.take_while(|(key, _)| key.starts_with(prefix));
        let mut pairs: Vec<KeyValue> =
            found.take(limit + 1).map(|(key, stored)| key_value(key, stored)).collect();
        let more = pairs.len() > limit;
        pairs.truncate(limit);
        ok(&KeyValueList { pairs, more, store_revision: self.revision })
    }

    /// Applies a transaction if all its guards hold.
    fn commit(&mut self, body: &[u8]) -> Response {
        let Ok(transaction) = from_cbor::<Transaction>(body) else {
            return Response::new(400, Vec::new());
        };
        let failed: Vec<String> = transaction
            .guards
            .iter()
            .filter(|guard| !self.holds(guard))
            .map(|guard| guard.key.clone())
            .collect();
        if !failed.is_empty() {
            let body = to_cbor(&TransactionAnswer { store_revision: self.revision, failed });
            return Response::new(409, body);
        }
        if transaction.apply.iter().any(|change| self.references_unknown_lease(change)) {
            return Response::new(400, Vec::new());
        }
        self.revision += u64::from(!transaction.apply.is_empty());
        transaction.apply.into_iter().for_each(|change| self.apply(change));
        ok(&TransactionAnswer { store_revision: self.revision, failed: Vec::new() })
    }

    /// Returns whether a key has the revision in a guard; revision 0 means that the key is absent.
    fn holds(&self, guard: &Guard) -> bool {
        self.entries.get(&guard.key).map_or(0, |stored| stored.revision) == guard.revision
    }

    fn references_unknown_lease(&self, change: &Change) -> bool {
        matches!(change, Change::Set { lease_id: Some(id), .. } if !self.leases.contains_key(id))
    }

    fn apply(&mut self, change: Change) {
        let revision = self.revision;
        let event = match change {
            Change::Set { set, value, lease_id } => {
                let stored = StoredValue { value: value.clone(), revision, lease_id };
                self.entries.insert(set.clone(), stored);
                ChangeEvent { set: Some(set), delete: None, value: Some(value), revision }
            }
            Change::Delete { delete } => {
                self.entries.remove(&delete);
                ChangeEvent { set: None, delete: Some(delete), value: None, revision }
            }
        };
        self.log.push_back(event);
        if self.log.len() > MAX_LOGGED_CHANGES {
            self.log.pop_front();
        }
    }
}

fn watch(query: &str) -> Reply {
    let number = |name| parameter(query, name).and_then(|value| value.parse().ok()).unwrap_or(0);
    Reply::Watch {
        prefix: parameter(query, "starts=").unwrap_or_default().to_string(),
        since: number("since="),
        block_ms: number("block_ms="),
    }
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|part| part.strip_prefix(name))
}

fn ok<T: serde::Serialize>(body: &T) -> Response {
    Response::new(200, to_cbor(body))
}

fn key_value(key: &str, stored: &StoredValue) -> KeyValue {
    KeyValue {
        key: key.to_string(),
        value: stored.value.clone(),
        revision: stored.revision,
        lease_id: stored.lease_id,
    }
}
