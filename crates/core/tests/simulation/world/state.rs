//! The state service: keys, leases, watches, and what its transactions may run into.

use super::*;

impl World {
    pub(super) fn state_call(&mut self, from: usize, life: u32, call: Call) {
        self.state.requests += 1;
        self.expire_leases();
        let watch = call.target.starts_with("/changes");
        if self.state.down || self.state.refuses.contains(&from) {
            if watch {
                return;
            }
            return self.back(from, life, call.id, Response::new(503, Vec::new()), &End::State);
        }
        let ok = |body: Vec<u8>| Response::new(200, body);
        let target = call.target.clone();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let arg = |name: &str| {
            query.split('&').find_map(|p| p.strip_prefix(&format!("{name}=")[..]).map(String::from))
        };
        let now = self.now;
        let response = if path == "/keys" {
            let starts = arg("starts").unwrap();
            let since = arg("since").unwrap_or_default();
            self.state.page_reads += u64::from(starts == PAGES && since.is_empty());
            let most = self.state.page.unwrap_or(usize::MAX);
            let found = |k: &String| k.starts_with(&starts) && *k > since;
            let more = self.state.keys.keys().filter(|k| found(k)).count() > most;
            let pairs: Vec<Pair> = self
                .state
                .keys
                .iter()
                .filter(|(k, _)| found(k))
                .take(most)
                .map(|(k, (v, s, _))| Pair {
                    path: k.clone(),
                    value: v.clone(),
                    stamp: *s,
                    permit: None,
                })
                .collect();
            ok(to_cbor(&PairList { pairs, more, ledger_rev: self.state.rev }))
        } else if let Some(key) = path.strip_prefix("/keys/") {
            match self.state.keys.get(key) {
                Some((v, s, p)) => {
                    ok(to_cbor(&Pair { path: key.into(), value: v.clone(), stamp: *s, permit: *p }))
                }
                None => Response::new(404, Vec::new()),
            }
        } else if path == "/multi" {
            let txn: Transaction = from_cbor(&call.body).unwrap();
            let word =
                |c: &Change| matches!(c, Change::Set { set, .. } if set.starts_with(FORMAT_NODES));
            // The first version leaves no word of what it can do.
            if self.old.contains(&from) && txn.apply.iter().any(word) {
                let body =
                    to_cbor(&TransactionAnswer { ledger_rev: self.state.rev, failed: Vec::new() });
                return self.back(from, life, call.id, Response::new(200, body), &End::State);
            }
            let post = quartzgate_core::records::POST;
            let is_post =
                |c: &Change| matches!(c, Change::Set { set, .. } if set.starts_with(post));
            let late = self.state.refuses_late.filter(|(node, _)| *node == from);
            if late.is_some() || self.state.no_post && txn.apply.iter().any(is_post) {
                let outcome = Outcome::Answer(Response::new(503, Vec::new()));
                let ms = late.map_or(1, |(_, ms)| ms);
                return self.after(ms, Msg::Outcome { node: from, life, call: call.id, outcome });
            }
            let sets = |key: &str| {
                txn.apply.iter().any(|c| matches!(c, Change::Set { set, .. } if set == key))
            };
            if let Some((_, ms)) = self.state.busy_for.take_if(|(key, _)| sets(key)) {
                let outcome = Outcome::Answer(Response::new(429, Vec::new()));
                return self.after(ms, Msg::Outcome { node: from, life, call: call.id, outcome });
            }
            let step = |c: &Change| matches!(c, Change::Set { set, .. } if set == FORMAT);
            if self.state.hold_steps && txn.apply.iter().any(step) {
                return self.held.push((from, life, call));
            }
            if let Some(what) = self.fate_of(&txn) {
                self.edges.push((now, Edge::Unanswered));
                match what {
                    Unanswered::AtOnce => self.carry_out_late(from, txn),
                    Unanswered::Late(ms) => self.after(ms, Msg::LateWrite { from, txn }),
                }
                return;
            }
            if let Some(late) = self.state.late_writes {
                if self.rng.random_bool(late.share) {
                    self.edges.push((now, Edge::Unanswered));
                    let ms = self.rng.random_range(late.from_ms..=late.to_ms);
                    return self.after(ms, Msg::LateWrite { from, txn });
                }
            }
            if txn.apply.iter().any(step) {
                self.stepping = Some(from);
            }
            let answer = self.transact(txn);
            if self.state.swallow_answers > 0 {
                self.state.swallow_answers -= 1;
                return;
            }
            answer
        } else if path == "/leases" {
            let ttl = from_cbor::<LeaseRequest>(&call.body).unwrap().ttl_ms;
            self.state.next_lease += 1;
            let permit = self.state.next_lease;
            self.state.leases.insert(permit, (now + ttl, ttl));
            ok(to_cbor(&LeaseAnswer { permit }))
        } else if let Some(rest) = path.strip_prefix("/leases/") {
            let permit: u64 = rest.trim_end_matches("/renew").parse().unwrap();
            match self.state.leases.get_mut(&permit) {
                Some((until, ttl)) => {
                    *until = now + *ttl;
                    ok(Vec::new())
                }
                None => Response::new(404, Vec::new()),
            }
        } else {
            let since: u64 = arg("since").unwrap().parse().unwrap();
            let block: u64 = arg("block_ms").unwrap().parse().unwrap();
            if self.state.keeps_changes.is_some_and(|n| since + n < self.state.rev) {
                let gone = Response::new(410, Vec::new());
                return self.back(from, life, call.id, gone, &End::State);
            }
            return self.watch(from, life, call.id, arg("starts").unwrap(), since, now + block);
        };
        self.back(from, life, call.id, response, &End::State);
    }

    /// Somebody else sets a key.
    pub fn put(&mut self, key: &str, value: Value) {
        let set = Change::Set { set: key.into(), value, permit: None };
        self.transact(Transaction { guards: Vec::new(), apply: vec![set] });
    }

    /// Answers a watch if there is something to tell or its time is up, else comes back.
    pub(super) fn watch(
        &mut self,
        node: usize,
        life: u32,
        call: CallId,
        starts: String,
        since: u64,
        until: u64,
    ) {
        self.expire_leases();
        let log: Vec<ChangeEvent> = self
            .state
            .log
            .iter()
            .skip(self.state.log.partition_point(|e| e.stamp <= since))
            .filter(|e| {
                let key = e.set.as_ref().or(e.delete.as_ref()).unwrap();
                key.starts_with(&starts)
            })
            .cloned()
            .collect();
        // Open watches wait through an outage.
        let mute = self.state.no_inbox && starts == quartzgate_core::records::INBOX;
        let log = if mute { Vec::new() } else { log };
        let deaf = self.state.down || self.state.refuses.contains(&node);
        if deaf || log.is_empty() && self.now < until {
            return self.after(10, Msg::WatchEnd { node, life, call, starts, since, until });
        }
        let body = to_cbor(&ChangeLog { ledger_rev: self.state.rev, log });
        self.back(node, life, call, Response::new(200, body), &End::State);
    }

    pub(super) fn transact(&mut self, txn: Transaction) -> Response {
        let failed: Vec<String> = txn
            .guards
            .iter()
            .filter(|g| self.state.keys.get(&g.path).map_or(0, |k| k.1) != g.stamp)
            .map(|g| g.path.clone())
            .collect();
        if !failed.is_empty() {
            let body = to_cbor(&TransactionAnswer { ledger_rev: self.state.rev, failed });
            return Response::new(409, body);
        }
        if let Some(refusal) = self.beyond_limits(&txn) {
            return Response::new(refusal, Vec::new());
        }
        let lost = txn.apply.iter().any(|c| {
            matches!(c, Change::Set { permit: Some(p), .. } if !self.state.leases.contains_key(p))
        });
        if lost {
            return Response::new(400, Vec::new());
        }
        self.check_epochs(&txn);
        self.check_steps(&txn);
        if txn.apply.iter().any(|c| matches!(c, Change::Set { set, .. } if set == VIEW)) {
            self.edges.push((self.now, Edge::Elected));
            self.release_copies();
        }
        if !txn.apply.is_empty() {
            self.state.rev += 1;
        }
        let stamp = self.state.rev;
        for change in txn.apply {
            if let Change::Set { set, value, .. } = &change {
                self.state.journal.push((set.clone(), value.clone()));
            }
            self.state.writes += 1;
            let event = match change {
                Change::Set { set, value, permit } => {
                    self.state.keys.insert(set.clone(), (value.clone(), stamp, permit));
                    ChangeEvent { set: Some(set), delete: None, value: Some(value), stamp }
                }
                Change::Delete { delete } => {
                    self.state.keys.remove(&delete);
                    ChangeEvent { set: None, delete: Some(delete), value: None, stamp }
                }
            };
            self.state.log.push(event);
        }
        self.check_places();
        let body = to_cbor(&TransactionAnswer { ledger_rev: stamp, failed: Vec::new() });
        Response::new(200, body)
    }

    /// What the state service's limits say of a transaction whose conditions hold.
    pub(super) fn beyond_limits(&mut self, txn: &Transaction) -> Option<u16> {
        let set = |c: &Change| match c {
            Change::Set { set, value, .. } => Some((set.clone(), value.clone())),
            Change::Delete { .. } => None,
        };
        let sets: Vec<_> = txn.apply.iter().filter_map(set).collect();
        let poisoned = self.state.poison.as_ref();
        let bad = |key: &String| poisoned.is_some_and(|p| key.contains(p));
        let (most, ops, rate) = self.state.limits.unwrap_or((usize::MAX, usize::MAX, 0.0));
        let size = |v| serde_json::to_string(v).unwrap().len();
        let large = sets.iter().any(|(k, v)| bad(k) || size(v) > most);
        if large || txn.apply.len() > ops || txn.guards.len() > ops.saturating_mul(4) {
            self.state.too_large += 1;
            return Some(400);
        }
        if rate > 0.0 {
            let passed = (self.now - self.state.tokens_at) as f64 / 1e3;
            self.state.tokens = (self.state.tokens + passed * rate).min(rate);
            self.state.tokens_at = self.now;
            if self.state.tokens < txn.apply.len() as f64 {
                self.state.too_many += 1;
                return Some(429);
            }
            self.state.tokens -= txn.apply.len() as f64;
        }
        None
    }

    pub(super) fn expire_leases(&mut self) {
        let now = self.now;
        if self.state.down {
            for (until, ttl) in self.state.leases.values_mut() {
                *until = (*until).max(now + *ttl);
            }
            return;
        }
        let over: Vec<u64> =
            self.state.leases.iter().filter(|(_, (u, _))| *u < now).map(|(p, _)| *p).collect();
        for permit in over {
            self.state.leases.remove(&permit);
            let keys: Vec<String> = self
                .state
                .keys
                .iter()
                .filter(|(_, (_, _, p))| *p == Some(permit))
                .map(|(k, _)| k.clone())
                .collect();
            for key in keys {
                self.transact(Transaction {
                    guards: Vec::new(),
                    apply: vec![Change::Delete { delete: key }],
                });
            }
        }
    }
}
