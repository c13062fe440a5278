//! A key-value store as the protocol describes it, with raw values.

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
    /// None: the key was deleted.
    value: Option<Value>,
}

/// A watch that is open.
pub struct Watch<T> {
    prefix: String,
    since: u64,
    until_ms: u64,
    /// Who is answered.
    pub asker: T,
}

pub struct Store<T> {
    pub keys: BTreeMap<String, Entry>,
    revision: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    changes: Vec<Change>,
    watches: Vec<Watch<T>>,
    /// Controllers whose every request gets 503.
    pub refuses: BTreeSet<usize>,
    /// Watches of changes before this revision get 410.
    pub compacted_to: u64,
    /// Keys in one answer at most.
    pub listed_at_once: usize,
    /// The status of the next transactions that set a key with this prefix, which are not executed.
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
            refuses: BTreeSet::new(),
            compacted_to: 0,
            listed_at_once: 1_000,
            refuse_next: None,
        }
    }

    /// The answer to a request, unless it is a watch, which is kept.
    pub fn handle(
        &mut self,
        now_ms: u64,
        method: &str,
        target: &str,
        body: &Value,
        asker: T,
    ) -> Option<(T, Response)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.filter(|(k, _)| *k == name).map(|(_, v)| v.to_string()).next()
        };
        let number = |name: &str| parameter(name).map(|n| n.parse::<u64>().expect("a number"));
        let response = match (method, path) {
            ("GET", "/keys") => {
                let asked = number("most").unwrap_or(1_000) as usize;
                let most = asked.min(self.listed_at_once);
                let prefix = parameter("starts").expect("a prefix");
                self.list(&prefix, &parameter("since").unwrap_or_default(), most)
            }
            ("GET", "/changes") => {
                let since = number("since").expect("a revision");
                if since < self.compacted_to {
                    return Some((asker, Response::new(410, Vec::new())));
                }
                let prefix = parameter("starts").expect("a prefix");
                let until_ms = now_ms + number("block_ms").unwrap_or(0);
                self.watches.push(Watch { prefix, since, until_ms, asker });
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
                    Some(e) => {
                        let permit = e.lease.map_or(Value::Null, Value::from);
                        let value = e.value.clone();
                        let pair = raw!({
                            "path" => key, "value" => value, "stamp" => e.revision,
                            "permit" => permit
                        });
                        reply(200, &pair)
                    }
                    None => reply(404, &raw!({"ledger_rev" => self.revision})),
                }
            }
            other => panic!("the store has no {other:?}"),
        };
        Some((asker, response))
    }

    fn list(&self, prefix: &str, since: &str, most: usize) -> Response {
        let found = self.keys.iter().filter(|(k, _)| k.starts_with(prefix) && k.as_str() > since);
        let more = found.clone().count() > most;
        let pairs: Vec<Value> = found
            .take(most)
            .map(|(k, e)| {
                let value = e.value.clone();
                raw!({"path" => k.as_str(), "value" => value, "stamp" => e.revision})
            })
            .collect();
        reply(200, &raw!({"pairs" => pairs, "more" => more, "ledger_rev" => self.revision}))
    }

    /// Sets a key past all controllers.
    pub fn put(&mut self, path: &str, value: Value) {
        self.put_together(&[(path, value)]);
    }

    /// Sets some keys in one revision.
    pub fn put_together(&mut self, pairs: &[(&str, Value)]) {
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
            let sets =
                |c: &Value| field(c, "set").as_text().is_some_and(|path| path.starts_with(*prefix));
            if *left > 0 && apply.iter().any(sets) {
                *left -= 1;
                return Response::new(*status, Vec::new());
            }
        }
        let guards = items(body, "guards").into_iter();
        let failed: Vec<Value> = guards
            .map(|g| (text(&g, "path"), integer(&g, "stamp")))
            .filter(|(path, stamp)| self.keys.get(path).map_or(0, |e| e.revision) != *stamp)
            .map(|(path, _)| path.into())
            .collect();
        if !failed.is_empty() {
            return reply(409, &raw!({"failed" => failed, "ledger_rev" => self.revision}));
        }
        let lease_of = |c: &Value| field(c, "permit").as_integer().map(|_| integer(c, "permit"));
        if apply.iter().filter_map(lease_of).any(|l| !self.leases.contains_key(&l)) {
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

    /// Ends leases whose time is up, and the keys on them.
    pub fn expire(&mut self, now_ms: u64) {
        let over = self.leases.iter().filter(|(_, l)| l.until_ms < now_ms).map(|(id, _)| *id);
        for id in over.collect::<Vec<u64>>() {
            self.leases.remove(&id);
            let on_it = self.keys.iter().filter(|(_, e)| e.lease == Some(id));
            for path in on_it.map(|(path, _)| path.clone()).collect::<Vec<_>>() {
                self.revision += 1;
                self.delete(path);
            }
        }
    }

    /// Watches that have something to tell, or whose time is up.
    pub fn answered_watches(&mut self, now_ms: u64) -> Vec<(T, Response)> {
        let mut out = Vec::new();
        for watch in std::mem::take(&mut self.watches) {
            let seen = |c: &&Change| c.revision > watch.since && c.path.starts_with(&watch.prefix);
            let log: Vec<Value> = self
                .changes
                .iter()
                .filter(seen)
                .map(|c| match &c.value {
                    Some(value) => {
                        let value = value.clone();
                        raw!({"set" => c.path.as_str(), "value" => value, "stamp" => c.revision})
                    }
                    None => raw!({"delete" => c.path.as_str(), "stamp" => c.revision}),
                })
                .collect();
            if log.is_empty() && now_ms < watch.until_ms {
                self.watches.push(watch);
                continue;
            }
            let body = raw!({"ledger_rev" => self.revision, "log" => log});
            out.push((watch.asker, reply(200, &body)));
        }
        out
    }
}
