//! The state service: its keys, transactions, leases, watches and injected faults.

use std::collections::{BTreeMap, BTreeSet};

use super::clock::SimulationEvent;
use super::network::HeldCall;
use super::{Cluster, Endpoint, Milestone, RandomDelay, UnansweredWrite, WriteFault};
use ciborium::value::Value;
use quartzgate_core::records::{
    BATCH_PREFIX, EPOCH_KEY, FORMAT_KEY, FORMAT_NODE_PREFIX, HANDOFF_PREFIX, MAILBOX_PREFIX,
};
use quartzgate_core::{Call, CallId, Outcome};
use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{
    Change, ChangeEvent, ChangeLog, KeyValue, KeyValueList, LeaseAnswer, LeaseRequest, Transaction,
    TransactionAnswer,
};
use quartzgate_wire::{from_cbor, to_cbor};
use rand::Rng;

/// Interval at which an open watch checks for changes.
const WATCH_STEP_MS: u64 = 10;

/// The stored value of a key.
#[derive(Clone, Debug)]
pub struct StoredValue {
    pub value: Value,
    /// Revision of the transaction that set it.
    pub revision: u64,
    /// The lease that the key is attached to; the key is deleted when it expires.
    pub lease: Option<u64>,
}

/// An entry of the log of all values that were set.
#[derive(Clone, Debug)]
pub struct WrittenValue {
    pub key: String,
    pub value: Value,
}

/// Limits that the state service enforces.
#[derive(Clone, Copy, Debug)]
pub struct StateLimits {
    /// Maximum size of a value, in bytes of its JSON encoding.
    pub max_value_bytes: usize,
    /// Maximum number of changes in a transaction; four times as many conditions are allowed.
    pub max_changes: usize,
    /// Maximum number of changes per second; 0 means unlimited.
    pub changes_per_s: f64,
}

impl StateLimits {
    const NONE: StateLimits =
        StateLimits { max_value_bytes: usize::MAX, max_changes: usize::MAX, changes_per_s: 0.0 };
}

/// Answers one controller's transactions with 503 after `after_ms`, without applying them.
#[derive(Clone, Copy, Debug)]
pub struct LateRefusal {
    pub node: usize,
    pub after_ms: u64,
}

/// Answers the next transaction that sets this key with 429 after `after_ms`.
#[derive(Clone, Debug)]
pub struct ThrottledKey {
    pub key: String,
    pub after_ms: u64,
}

struct StateLease {
    expires_ms: u64,
    ttl_ms: u64,
}

/// The state service's data, faults and counters.
#[derive(Default)]
pub struct StateService {
    pub keys: BTreeMap<String, StoredValue>,
    pub revision: u64,
    change_log: Vec<ChangeEvent>,
    leases: BTreeMap<u64, StateLease>,
    next_lease: u64,
    rate_tokens: f64,
    rate_tokens_at_ms: u64,

    // Faults.
    /// All requests are answered with 503; open watches stay open.
    pub down: bool,
    /// Controllers whose requests are answered with 503; the others are served.
    pub refused_nodes: BTreeSet<usize>,
    pub late_refusal: Option<LateRefusal>,
    pub throttled_key: Option<ThrottledKey>,
    /// Number of transactions that are still to be applied without answering them.
    pub unanswered_writes: u32,
    /// Share of transactions that are applied without answering them.
    pub lost_answer_share: f64,
    /// Share and delay of transactions that get no answer and are applied later, possibly after
    /// newer ones.
    pub delayed_writes: Option<RandomDelay>,
    pub write_faults: Vec<WriteFault>,
    /// Upper bound, exclusive, of the additional latency of each request and each answer.
    pub extra_latency_ms: u64,
    /// Holds activations until links are healed.
    pub hold_activations: bool,
    /// Refuses transactions that write mailbox records.
    pub rejects_mailboxes: bool,
    /// Watches of the handoff queue receive no changes.
    pub handoff_watch_silent: bool,
    /// Transactions that set a key containing this text are refused with 400.
    pub refused_key_substring: Option<String>,
    pub limits: Option<StateLimits>,
    /// Number of revisions that the change log retains; a watch that starts earlier gets 410.
    pub retained_changes: Option<u64>,
    /// Maximum number of keys in one list answer.
    pub max_list_keys: Option<usize>,

    // Counters.
    pub writes: u64,
    pub requests: u64,
    /// Number of scans of the batch records; only the first page of each scan counts.
    pub batch_scans: u64,
    /// Number of transactions refused with 400 because of their size or a malformed key.
    pub refused_for_size: u64,
    /// Number of transactions refused with 429 because of the rate limit.
    pub refused_for_rate: u64,
    /// Log of all values that were set, in order.
    pub write_log: Vec<WrittenValue>,
}

/// Returns whether a change sets this key.
fn sets(change: &Change, key: &str) -> bool {
    matches!(change, Change::Set { set, .. } if set == key)
}

/// Returns whether a change sets a key with this prefix.
fn sets_under(change: &Change, prefix: &str) -> bool {
    matches!(change, Change::Set { set, .. } if set.starts_with(prefix))
}

/// Returns the value of a query parameter.
fn query_parameter(query: &str, name: &str) -> Option<String> {
    let prefix = format!("{name}=");
    query.split('&').find_map(|part| part.strip_prefix(&prefix[..]).map(String::from))
}

impl Cluster {
    pub(super) fn on_state_call(&mut self, from: usize, incarnation: u32, call: Call) {
        self.state.requests += 1;
        self.expire_leases();
        if self.state.down || self.state.refused_nodes.contains(&from) {
            // Watches stay open during an outage.
            if call.target.starts_with("/changes") {
                return;
            }
            let refusal = Response::new(503, Vec::new());
            return self.send_state_answer(from, incarnation, call.id, refusal);
        }
        let target = call.target.clone();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let response = if path == "/keys" {
            self.list_keys(query)
        } else if let Some(key) = path.strip_prefix("/keys/") {
            self.read_key(key)
        } else if path == "/multi" {
            return self.on_transaction(HeldCall { from, incarnation, call });
        } else if path == "/leases" {
            self.grant_lease(&call.body)
        } else if let Some(rest) = path.strip_prefix("/leases/") {
            self.renew_lease(rest.trim_end_matches("/renew").parse().unwrap())
        } else {
            return self.open_watch(from, incarnation, call.id, query);
        };
        self.send_state_answer(from, incarnation, call.id, response);
    }

    fn send_state_answer(
        &mut self,
        node: usize,
        incarnation: u32,
        call: CallId,
        response: Response,
    ) {
        self.send_answer(node, incarnation, call, response, &Endpoint::StateService);
    }

    fn list_keys(&mut self, query: &str) -> Response {
        let starts = query_parameter(query, "starts").unwrap();
        let since = query_parameter(query, "since").unwrap_or_default();
        self.state.batch_scans += u64::from(starts == BATCH_PREFIX && since.is_empty());
        let max_keys = self.state.max_list_keys.unwrap_or(usize::MAX);
        let found = |key: &String| key.starts_with(&starts) && *key > since;
        let more = self.state.keys.keys().filter(|key| found(key)).count() > max_keys;
        let pairs: Vec<KeyValue> = self
            .state
            .keys
            .iter()
            .filter(|(key, _)| found(key))
            .take(max_keys)
            .map(|(key, stored)| KeyValue {
                key: key.clone(),
                value: stored.value.clone(),
                revision: stored.revision,
                lease_id: None,
            })
            .collect();
        let list = KeyValueList { pairs, more, store_revision: self.state.revision };
        Response::new(200, to_cbor(&list))
    }

    fn read_key(&self, key: &str) -> Response {
        let Some(stored) = self.state.keys.get(key) else { return Response::new(404, Vec::new()) };
        let pair = KeyValue {
            key: key.into(),
            value: stored.value.clone(),
            revision: stored.revision,
            lease_id: stored.lease,
        };
        Response::new(200, to_cbor(&pair))
    }

    fn grant_lease(&mut self, body: &[u8]) -> Response {
        let ttl_ms = from_cbor::<LeaseRequest>(body).unwrap().ttl_ms;
        self.state.next_lease += 1;
        let lease_id = self.state.next_lease;
        let lease = StateLease { expires_ms: self.now + ttl_ms, ttl_ms };
        self.state.leases.insert(lease_id, lease);
        Response::new(200, to_cbor(&LeaseAnswer { lease_id }))
    }

    fn renew_lease(&mut self, lease_id: u64) -> Response {
        let now = self.now;
        match self.state.leases.get_mut(&lease_id) {
            Some(lease) => {
                lease.expires_ms = now + lease.ttl_ms;
                Response::new(200, Vec::new())
            }
            None => Response::new(404, Vec::new()),
        }
    }

    /// Handles a controller's transaction: first the faults that concern it, then its execution.
    fn on_transaction(&mut self, arrived: HeldCall) {
        let HeldCall { from, incarnation, call } = arrived;
        let txn: Transaction = from_cbor(&call.body).unwrap();
        let changes = || txn.apply.iter();
        // The first released version announces no formats: its write is acknowledged but not
        // applied.
        let announces = changes().any(|change| sets_under(change, FORMAT_NODE_PREFIX));
        if self.first_version_controllers.contains(&from) && announces {
            let answer =
                TransactionAnswer { store_revision: self.state.revision, failed: Vec::new() };
            let response = Response::new(200, to_cbor(&answer));
            return self.send_state_answer(from, incarnation, call.id, response);
        }
        if let Some((status, after_ms)) = self.refusal_by_fault(from, &txn) {
            let outcome = Outcome::Answer(Response::new(status, Vec::new()));
            let event =
                SimulationEvent::Outcome { node: from, incarnation, call: call.id, outcome };
            return self.schedule_after(after_ms, event);
        }
        let activates = changes().any(|change| sets(change, FORMAT_KEY));
        if self.state.hold_activations && activates {
            return self.held_calls.push(HeldCall { from, incarnation, call });
        }
        if let Some(outcome) = self.take_write_fault(&txn) {
            self.record_milestone(Milestone::WriteUnanswered);
            return match outcome {
                UnansweredWrite::AppliedAtOnce => self.apply_unanswered(from, txn),
                UnansweredWrite::AppliedAfterMs(ms) => {
                    self.schedule_after(ms, SimulationEvent::DelayedWrite { from, txn })
                }
            };
        }
        if let Some(delay) = self.state.delayed_writes {
            if self.rng.random_bool(delay.share) {
                self.record_milestone(Milestone::WriteUnanswered);
                let ms = self.rng.random_range(delay.from_ms..=delay.to_ms);
                return self.schedule_after(ms, SimulationEvent::DelayedWrite { from, txn });
            }
        }
        if activates {
            self.activation_writer = Some(from);
        }
        let response = self.apply_transaction(txn);
        if self.state.unanswered_writes > 0 {
            self.state.unanswered_writes -= 1;
            return;
        }
        self.send_state_answer(from, incarnation, call.id, response);
    }

    /// Returns the status code and delay with which a fault refuses a transaction, if any does.
    fn refusal_by_fault(&mut self, from: usize, txn: &Transaction) -> Option<(u16, u64)> {
        let changes = || txn.apply.iter();
        if let Some(late) = self.state.late_refusal.filter(|late| late.node == from) {
            return Some((503, late.after_ms));
        }
        if self.state.rejects_mailboxes
            && changes().any(|change| sets_under(change, MAILBOX_PREFIX))
        {
            return Some((503, 1));
        }
        let is_throttled =
            |throttled: &mut ThrottledKey| changes().any(|change| sets(change, &throttled.key));
        let throttled = self.state.throttled_key.take_if(is_throttled)?;
        Some((429, throttled.after_ms))
    }

    /// Sets a key unconditionally in a transaction, as another client would.
    pub fn overwrite_key(&mut self, key: &str, value: Value) {
        let set = Change::Set { set: key.into(), value, lease_id: None };
        self.apply_transaction(Transaction { guards: Vec::new(), apply: vec![set] });
    }

    /// Replaces the value of an existing key, for example by a malformed one; its revision stays.
    pub fn replace_value_keeping_revision(&mut self, key: &str, value: Value) {
        self.state.keys.get_mut(key).unwrap().value = value;
    }

    fn open_watch(&mut self, node: usize, incarnation: u32, call: CallId, query: &str) {
        let since: u64 = query_parameter(query, "since").unwrap().parse().unwrap();
        let block_ms: u64 = query_parameter(query, "block_ms").unwrap().parse().unwrap();
        if self.state.retained_changes.is_some_and(|n| since + n < self.state.revision) {
            let gone = Response::new(410, Vec::new());
            return self.send_state_answer(node, incarnation, call, gone);
        }
        let starts = query_parameter(query, "starts").unwrap();
        self.answer_watch(node, incarnation, call, starts, since, self.now + block_ms);
    }

    /// Answers a watch if there are changes or its timeout has passed; otherwise schedules the next
    /// check. While the service is unavailable, the watch stays open.
    pub(super) fn answer_watch(
        &mut self,
        node: usize,
        incarnation: u32,
        call: CallId,
        starts: String,
        since: u64,
        until: u64,
    ) {
        self.expire_leases();
        let silent = self.state.handoff_watch_silent && starts == HANDOFF_PREFIX;
        let log = if silent { Vec::new() } else { self.changes_since(&starts, since) };
        let unavailable = self.state.down || self.state.refused_nodes.contains(&node);
        if unavailable || log.is_empty() && self.now < until {
            let event = SimulationEvent::WatchEnd { node, incarnation, call, starts, since, until };
            return self.schedule_after(WATCH_STEP_MS, event);
        }
        let body = to_cbor(&ChangeLog { store_revision: self.state.revision, log });
        self.send_state_answer(node, incarnation, call, Response::new(200, body));
    }

    fn changes_since(&self, prefix: &str, since: u64) -> Vec<ChangeEvent> {
        let log = &self.state.change_log;
        log.iter()
            .skip(log.partition_point(|event| event.revision <= since))
            .filter(|event| {
                let key = event.set.as_ref().or(event.delete.as_ref()).unwrap();
                key.starts_with(prefix)
            })
            .cloned()
            .collect()
    }

    /// Applies a transaction if its conditions hold, the limits allow it and its leases exist.
    pub(super) fn apply_transaction(&mut self, txn: Transaction) -> Response {
        let failed = self.failed_conditions(&txn);
        if !failed.is_empty() {
            let answer = TransactionAnswer { store_revision: self.state.revision, failed };
            return Response::new(409, to_cbor(&answer));
        }
        if let Some(status) = self.refusal_by_limits(&txn) {
            return Response::new(status, Vec::new());
        }
        let lease_is_gone = |change: &Change| matches!(change, Change::Set { lease_id: Some(id), .. } if !self.state.leases.contains_key(id));
        if txn.apply.iter().any(lease_is_gone) {
            return Response::new(400, Vec::new());
        }
        self.check_writer_epoch(&txn);
        self.check_activation(&txn);
        if txn.apply.iter().any(|change| sets(change, EPOCH_KEY)) {
            self.record_milestone(Milestone::LeaderElected);
            self.replay_stale_heartbeats();
        }
        if !txn.apply.is_empty() {
            self.state.revision += 1;
        }
        let revision = self.state.revision;
        for change in txn.apply {
            self.state.apply_change(change, revision);
        }
        self.check_jobs_stored_once();
        let answer = TransactionAnswer { store_revision: revision, failed: Vec::new() };
        Response::new(200, to_cbor(&answer))
    }

    /// Returns the keys whose revisions differ from those that a transaction expects.
    fn failed_conditions(&self, txn: &Transaction) -> Vec<String> {
        let revision_of = |key: &String| self.state.keys.get(key).map_or(0, |s| s.revision);
        let failed = txn.guards.iter().filter(|guard| revision_of(&guard.key) != guard.revision);
        failed.map(|guard| guard.key.clone()).collect()
    }

    /// Returns the status code with which the limits refuse a transaction, if they do.
    fn refusal_by_limits(&mut self, txn: &Transaction) -> Option<u16> {
        let limits = self.state.limits.unwrap_or(StateLimits::NONE);
        let refused_key_substring = self.state.refused_key_substring.as_ref();
        let is_malformed =
            |key: &String| refused_key_substring.is_some_and(|substring| key.contains(substring));
        let size = |value: &Value| serde_json::to_string(value).unwrap().len();
        let is_refused = |change: &Change| match change {
            Change::Set { set, value, .. } => {
                is_malformed(set) || size(value) > limits.max_value_bytes
            }
            Change::Delete { .. } => false,
        };
        let max_conditions = limits.max_changes.saturating_mul(4);
        if txn.apply.iter().any(is_refused)
            || txn.apply.len() > limits.max_changes
            || txn.guards.len() > max_conditions
        {
            self.state.refused_for_size += 1;
            return Some(400);
        }
        let rate = limits.changes_per_s;
        if rate > 0.0 {
            let passed_s = (self.now - self.state.rate_tokens_at_ms) as f64 / 1e3;
            self.state.rate_tokens = (self.state.rate_tokens + passed_s * rate).min(rate);
            self.state.rate_tokens_at_ms = self.now;
            if self.state.rate_tokens < txn.apply.len() as f64 {
                self.state.refused_for_rate += 1;
                return Some(429);
            }
            self.state.rate_tokens -= txn.apply.len() as f64;
        }
        None
    }

    /// Removes expired leases and deletes the keys attached to them. No lease expires during an
    /// outage.
    pub(super) fn expire_leases(&mut self) {
        let now = self.now;
        if self.state.down {
            for lease in self.state.leases.values_mut() {
                lease.expires_ms = lease.expires_ms.max(now + lease.ttl_ms);
            }
            return;
        }
        let expired = self.state.leases.iter().filter(|(_, lease)| lease.expires_ms < now);
        let expired: Vec<u64> = expired.map(|(lease_id, _)| *lease_id).collect();
        for lease_id in expired {
            self.state.leases.remove(&lease_id);
            let keys = self.state.keys.iter().filter(|(_, stored)| stored.lease == Some(lease_id));
            let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
            for delete in keys {
                let apply = vec![Change::Delete { delete }];
                self.apply_transaction(Transaction { guards: Vec::new(), apply });
            }
        }
    }
}

impl StateService {
    /// Sets a value without a transaction, at the current revision.
    pub fn insert_value(&mut self, key: &str, value: Value) {
        self.insert_value_at(key, value, self.revision);
    }

    /// Sets a value without a transaction, as if it had been set at this revision.
    pub fn insert_value_at(&mut self, key: &str, value: Value, revision: u64) {
        self.keys.insert(key.into(), StoredValue { value, revision, lease: None });
    }

    fn apply_change(&mut self, change: Change, revision: u64) {
        if let Change::Set { set, value, .. } = &change {
            self.write_log.push(WrittenValue { key: set.clone(), value: value.clone() });
        }
        self.writes += 1;
        let event = match change {
            Change::Set { set, value, lease_id } => {
                let stored = StoredValue { value: value.clone(), revision, lease: lease_id };
                self.keys.insert(set.clone(), stored);
                ChangeEvent { set: Some(set), delete: None, value: Some(value), revision }
            }
            Change::Delete { delete } => {
                self.keys.remove(&delete);
                ChangeEvent { set: None, delete: Some(delete), value: None, revision }
            }
        };
        self.change_log.push(event);
    }
}
