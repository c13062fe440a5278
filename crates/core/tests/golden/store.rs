//! A key-value store that implements the protocol on raw CBOR values.

use std::collections::{BTreeMap, BTreeSet};

use quartzgate_wire::http::Response;

use crate::cbor::{encode, field, integer, items, raw, text, Value};

pub struct Entry {
    pub value: Value,
    pub revision: u64,
    lease: Option<u64>,
}

struct Lease {
    until_ms: u64,
    ttl_ms: u64,
}

struct Change {
    revision: u64,
    path: String,
    /// The new value; `None` if the key was deleted.
    value: Option<Value>,
}

/// An open watch.
pub struct Watch<T> {
    prefix: String,
    since: u64,
    until_ms: u64,
    /// Recipient of the answer.
    pub requester: T,
}

pub struct Store<T> {
    pub keys: BTreeMap<String, Entry>,
    revision: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    changes: Vec<Change>,
    watches: Vec<Watch<T>>,
    /// Controllers whose requests are answered with 503; their watches get no answer.
    pub refused_nodes: BTreeSet<usize>,
    /// Watches that start before this revision are answered with 410.
    pub compacted_to: u64,
    /// Maximum number of keys in one answer.
    pub max_list_entries: usize,
    /// Key prefix, status code and count: the next transactions that set a key with this prefix are
    /// answered with this status and not executed.
    pub refuse_next: Option<(&'static str, u16, u32)>,
}

fn reply(status: u16, body: &Value) -> Response {
    Response::new(status, encode(body))
}

impl<T> Store<T> {
    pub fn new() -> Self {
        Store {
            keys: BTreeMap::new(),
            revision: 100,
            leases: BTreeMap::new(),
            last_lease: 0,
            changes: Vec::new(),
            watches: Vec::new(),
            refused_nodes: BTreeSet::new(),
            compacted_to: 0,
            max_list_entries: 1_000,
            refuse_next: None,
        }
    }

    /// Handles a request and returns the answer; a watch stays open and returns none.
    pub fn handle(
        &mut self,
        now_ms: u64,
        method: &str,
        target: &str,
        body: &Value,
        requester: T,
    ) -> Option<(T, Response)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.filter(|(k, _)| *k == name).map(|(_, v)| v.to_string()).next()
        };
        let number = |name: &str| parameter(name).map(|n| n.parse::<u64>().expect("a number"));
        let response = match (method, path) {
            ("GET", "/keys") => {
                let requested = number("most").unwrap_or(1_000) as usize;
                let max_entries = requested.min(self.max_list_entries);
                let prefix = parameter("starts").expect("a prefix");
                self.list(&prefix, &parameter("since").unwrap_or_default(), max_entries)
            }
            ("GET", "/changes") => {
                let since = number("since").expect("a revision");
                if since < self.compacted_to {
                    return Some((requester, Response::new(410, Vec::new())));
                }
                let prefix = parameter("starts").expect("a prefix");
                let until_ms = now_ms + number("block_ms").unwrap_or(0);
                self.watches.push(Watch { prefix, since, until_ms, requester });
                return None;
            }
            ("POST", "/multi") => self.transact(body),
            ("POST", "/leases") => {
                let ttl_ms = integer(body, "ttl_ms");
                self.last_lease += 1;
                self.leases.insert(self.last_lease, Lease { until_ms: now_ms + ttl_ms, ttl_ms });
                reply(200, &raw!({"permit" => self.last_lease}))
            }
            ("POST", renewal) => {
                let id = renewal.strip_prefix("/leases/").and_then(|r| r.strip_suffix("/renew"));
                let id = id.and_then(|id| id.parse::<u64>().ok()).expect("a renewal of a lease");
                match self.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.until_ms = now_ms + lease.ttl_ms;
                        Response::new(200, Vec::new())
                    }
                    None => Response::new(404, Vec::new()),
                }
            }
            ("GET", key) => {
                let key = key.strip_prefix("/keys/").expect("a key");
                match self.keys.get(key) {
                    Some(entry) => {
                        let permit = entry.lease.map_or(Value::Null, Value::from);
                        let value = entry.value.clone();
                        let pair = raw!({
                            "path" => key, "value" => value, "stamp" => entry.revision,
                            "permit" => permit
                        });
                        reply(200, &pair)
                    }
                    None => reply(404, &raw!({"ledger_rev" => self.revision})),
                }
            }
            other => panic!("the store does not implement {other:?}"),
        };
        Some((requester, response))
    }

    fn list(&self, prefix: &str, since: &str, max_entries: usize) -> Response {
        let found = self.keys.iter().filter(|(k, _)| k.starts_with(prefix) && k.as_str() > since);
        let more = found.clone().count() > max_entries;
        let pairs: Vec<Value> = found
            .take(max_entries)
            .map(|(k, e)| {
                let value = e.value.clone();
                raw!({"path" => k.as_str(), "value" => value, "stamp" => e.revision})
            })
            .collect();
        reply(200, &raw!({"pairs" => pairs, "more" => more, "ledger_rev" => self.revision}))
    }

    /// Sets a key directly, without a controller's request.
    pub fn put(&mut self, path: &str, value: Value) {
        self.put_all(&[(path, value)]);
    }

    /// Sets several keys in one revision.
    pub fn put_all(&mut self, pairs: &[(&str, Value)]) {
        self.revision += 1;
        for (path, value) in pairs {
            self.set(path.to_string(), value.clone(), None);
        }
    }

    fn set(&mut self, path: String, value: Value, lease: Option<u64>) {
        let revision = self.revision;
        self.changes.push(Change { revision, path: path.clone(), value: Some(value.clone()) });
        self.keys.insert(path, Entry { value, revision, lease });
    }

    fn delete(&mut self, path: String) {
        self.keys.remove(&path);
        self.changes.push(Change { revision: self.revision, path, value: None });
    }

    fn transact(&mut self, body: &Value) -> Response {
        let apply = items(body, "apply");
        if let Some((prefix, status, left)) = &mut self.refuse_next {
            let sets_prefix = |change: &Value| {
                field(change, "set").as_text().is_some_and(|path| path.starts_with(*prefix))
            };
            if *left > 0 && apply.iter().any(sets_prefix) {
                *left -= 1;
                return Response::new(*status, Vec::new());
            }
        }
        let guards = items(body, "guards").into_iter();
        let failed: Vec<Value> = guards
            .map(|guard| (text(&guard, "path"), integer(&guard, "stamp")))
            .filter(|(path, stamp)| self.keys.get(path).map_or(0, |e| e.revision) != *stamp)
            .map(|(path, _)| path.into())
            .collect();
        if !failed.is_empty() {
            return reply(409, &raw!({"failed" => failed, "ledger_rev" => self.revision}));
        }
        let lease_of = |change: &Value| {
            field(change, "permit").as_integer().map(|_| integer(change, "permit"))
        };
        if apply.iter().filter_map(lease_of).any(|id| !self.leases.contains_key(&id)) {
            return reply(400, &raw!({"error" => "no such lease"}));
        }
        if !apply.is_empty() {
            self.revision += 1;
        }
        for change in &apply {
            match field(change, "set") {
                Value::Null => self.delete(text(change, "delete")),
                _ => {
                    let value = field(change, "value").clone();
                    self.set(text(change, "set"), value, lease_of(change));
                }
            }
        }
        reply(200, &raw!({"ledger_rev" => self.revision}))
    }

    /// Removes expired leases and deletes the keys attached to them.
    pub fn expire(&mut self, now_ms: u64) {
        let expired = self.leases.iter().filter(|(_, l)| l.until_ms < now_ms).map(|(id, _)| *id);
        for id in expired.collect::<Vec<u64>>() {
            self.leases.remove(&id);
            let attached = self.keys.iter().filter(|(_, e)| e.lease == Some(id));
            for path in attached.map(|(path, _)| path.clone()).collect::<Vec<_>>() {
                self.revision += 1;
                self.delete(path);
            }
        }
    }

    /// Closes and answers the watches that have changes to report or whose timeout has passed.
    pub fn close_due_watches(&mut self, now_ms: u64) -> Vec<(T, Response)> {
        let mut answers = Vec::new();
        for watch in std::mem::take(&mut self.watches) {
            let matches = |change: &&Change| {
                change.revision > watch.since && change.path.starts_with(&watch.prefix)
            };
            let log: Vec<Value> = self
                .changes
                .iter()
                .filter(matches)
                .map(|change| match &change.value {
                    Some(value) => {
                        let value = value.clone();
                        raw!({
                            "set" => change.path.as_str(), "value" => value,
                            "stamp" => change.revision
                        })
                    }
                    None => raw!({"delete" => change.path.as_str(), "stamp" => change.revision}),
                })
                .collect();
            if log.is_empty() && now_ms < watch.until_ms {
                self.watches.push(watch);
                continue;
            }
            let body = raw!({"ledger_rev" => self.revision, "log" => log});
            answers.push((watch.requester, reply(200, &body)));
        }
        answers
    }
}
