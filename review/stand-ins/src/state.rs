//! Stand-in for the state service, as the protocol page describes it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use ciborium::value::Value;
use quartzgate_wire::http::{Request, Response};
use quartzgate_wire::msg::{
    Change, ChangeEvent, ChangeLog, KeyValue, KeyValueList, LeaseAnswer, LeaseRequest, Transaction,
    TransactionAnswer,
};
use quartzgate_wire::{from_cbor, to_cbor};

const MAX_LIST: usize = 1_000;
const MAX_LOG: usize = 10_000;

struct Stored {
    value: Value,
    stamp: u64,
    lease: Option<u64>,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct Store {
    keys: BTreeMap<String, Stored>,
    rev: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    log: VecDeque<ChangeEvent>,
}

/// The state service. Every method may be called from any thread.
#[derive(Clone, Default)]
pub struct StateService {
    shared: Arc<(Mutex<Store>, Condvar)>,
}

impl StateService {
    /// Starts a thread that ends leases: never early, and well within 100 ms of their time.
    pub fn start() -> Self {
        let service = StateService::default();
        let clone = service.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(20));
            let (store, changed) = &*clone.shared;
            let mut store = store.lock().unwrap();
            if store.end_leases(Instant::now()) {
                changed.notify_all();
            }
        });
        service
    }

    /// Returns the value of a key, for the choice of the controller to restart and for the record.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.shared.0.lock().unwrap().keys.get(key).map(|stored| stored.value.clone())
    }

    pub fn handle(&self, request: &Request) -> Option<Response> {
        // The protocol page: responses usually take under 10 ms.
        std::thread::sleep(Duration::from_millis(3));
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        if path == "/changes" {
            return Some(self.watch(query));
        }
        let (store, changed) = &*self.shared;
        let mut store = store.lock().unwrap();
        let before = store.rev;
        let response = match (request.method.as_str(), path) {
            ("GET", "/keys") => store.list(query),
            ("POST", "/multi") => store.commit(&request.body),
            ("POST", "/leases") => store.grant(&request.body),
            (method, path) => match (path.strip_prefix("/keys/"), path.strip_prefix("/leases/")) {
                (Some(key), _) if method == "GET" => store.get(key),
                (_, Some(lease)) => store.lease(method, lease),
                _ => Response::new(400, Vec::new()),
            },
        };
        if store.rev != before {
            changed.notify_all();
        }
        Some(response)
    }

    fn watch(&self, query: &str) -> Response {
        let number =
            |name| param(query, name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let prefix = param(query, "starts=").unwrap_or("").to_string();
        let (since, block_ms) = (number("since="), number("block_ms=").min(60_000));
        let until = Instant::now() + Duration::from_millis(block_ms);
        let (store, changed) = &*self.shared;
        let mut store = store.lock().unwrap();
        loop {
            if store.log.len() >= MAX_LOG
                && store.log.front().is_some_and(|e| e.revision > since + 1)
            {
                return Response::new(410, Vec::new());
            }
            let wanted = |event: &&ChangeEvent| {
                let key = event.set.as_ref().or(event.delete.as_ref());
                event.revision > since && key.is_some_and(|key| key.starts_with(&prefix))
            };
            let log: Vec<ChangeEvent> = store.log.iter().filter(wanted).cloned().collect();
            let now = Instant::now();
            if !log.is_empty() || now >= until {
                return ok(&ChangeLog { store_revision: store.rev, log });
            }
            store = changed.wait_timeout(store, until - now).unwrap().0;
        }
    }
}

impl Store {
    fn get(&self, key: &str) -> Response {
        match self.keys.get(key) {
            Some(stored) => ok(&pair(key, stored)),
            None => Response::new(404, to_cbor(&serde_json::json!({ "ledger_rev": self.rev }))),
        }
    }

    fn list(&self, query: &str) -> Response {
        let prefix = param(query, "starts=").unwrap_or("");
        let after = param(query, "since=").unwrap_or("");
        let most = param(query, "most=").and_then(|text| text.parse().ok()).unwrap_or(MAX_LIST);
        let most = most.min(MAX_LIST);
        let mut found = self.keys.iter().filter(|(key, _)| {
            key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let pairs: Vec<KeyValue> = found.by_ref().take(most).map(|(k, s)| pair(k, s)).collect();
        ok(&KeyValueList { more: found.next().is_some(), pairs, store_revision: self.rev })
    }

    fn commit(&mut self, body: &[u8]) -> Response {
        let Ok(txn) = from_cbor::<Transaction>(body) else { return Response::new(400, Vec::new()) };
        let lapsed = |change: &Change| matches!(change, Change::Set { lease_id: Some(id), .. } if !self.leases.contains_key(id));
        if txn.apply.iter().any(lapsed) {
            return Response::new(400, to_cbor(&serde_json::json!({ "error": "no such lease" })));
        }
        let stamp = |key: &str| self.keys.get(key).map_or(0, |stored| stored.stamp);
        let failed: Vec<String> = txn
            .guards
            .iter()
            .filter(|g| stamp(&g.key) != g.revision)
            .map(|g| g.key.clone())
            .collect();
        if !failed.is_empty() {
            return Response::new(
                409,
                to_cbor(&TransactionAnswer { store_revision: self.rev, failed }),
            );
        }
        if !txn.apply.is_empty() {
            self.rev += 1;
            txn.apply.into_iter().for_each(|change| self.apply(change));
        }
        ok(&TransactionAnswer { store_revision: self.rev, failed })
    }

    fn apply(&mut self, change: Change) {
        let stamp = self.rev;
        let event = match change {
            Change::Set { set, value, lease_id } => {
                self.keys
                    .insert(set.clone(), Stored { value: value.clone(), stamp, lease: lease_id });
                ChangeEvent { set: Some(set), delete: None, value: Some(value), revision: stamp }
            }
            Change::Delete { delete } => {
                if self.keys.remove(&delete).is_none() {
                    return;
                }
                ChangeEvent { set: None, delete: Some(delete), value: None, revision: stamp }
            }
        };
        self.log.push_back(event);
        if self.log.len() > MAX_LOG {
            self.log.pop_front();
        }
    }

    fn grant(&mut self, body: &[u8]) -> Response {
        let Ok(request) = from_cbor::<LeaseRequest>(body) else {
            return Response::new(400, Vec::new());
        };
        self.last_lease += 1;
        let ttl = Duration::from_millis(request.ttl_ms);
        self.leases.insert(self.last_lease, Lease { ttl, ends: Instant::now() + ttl });
        ok(&LeaseAnswer { lease_id: self.last_lease })
    }

    fn lease(&mut self, method: &str, path: &str) -> Response {
        let (id, renew) = match path.strip_suffix("/renew") {
            Some(id) => (id, true),
            None => (path, false),
        };
        let id = id.parse().unwrap_or(0);
        match (method, renew, self.leases.get_mut(&id)) {
            ("POST", true, Some(lease)) => {
                lease.ends = Instant::now() + lease.ttl;
                ok(&LeaseAnswer { lease_id: id })
            }
            ("DELETE", false, Some(_)) => {
                self.end_lease(id);
                ok(&LeaseAnswer { lease_id: id })
            }
            _ => Response::new(404, Vec::new()),
        }
    }

    fn end_leases(&mut self, now: Instant) -> bool {
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| now > lease.ends).map(|(id, _)| *id).collect();
        over.iter().for_each(|id| self.end_lease(*id));
        !over.is_empty()
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let attached = self.keys.iter().filter(|(_, stored)| stored.lease == Some(id));
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.rev += 1;
            keys.into_iter().for_each(|delete| self.apply(Change::Delete { delete }));
        }
    }
}

fn param<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|part| part.strip_prefix(name))
}

fn ok<T: serde::Serialize>(body: &T) -> Response {
    Response::new(200, to_cbor(body))
}

fn pair(key: &str, stored: &Stored) -> KeyValue {
    KeyValue {
        key: key.to_string(),
        value: stored.value.clone(),
        revision: stored.stamp,
        lease_id: stored.lease,
    }
}
