//! Which formats and features are on, and how a new one comes in while older versions
//! still serve: the feature gates' keys at the state service. What may be switched on, and what
//! holds it back, is decided in `quartzgate-feature-gates`.

use std::collections::BTreeMap;

use enumset::EnumSet;
use quartzgate_feature_gates::{
    ActivationGuard, ActivationRecord, ActivationStatus, CapabilityRecord, Feature, FeatureGates,
    PlannedActivation, StoredCapabilities,
};
use quartzgate_wire::msg::{Change, Guard, KeyValue, KeyValueList, Transaction, TransactionAnswer};
use quartzgate_wire::settings::StateLimits;
use quartzgate_wire::{from_cbor, to_cbor};

use crate::config::Config;
use crate::controller::{Controller, InFlight};
use crate::storage::records::{
    decode, encode, member_key, EPOCH_KEY, FORMAT_KEY, FORMAT_NODE_PREFIX, MEMBER_PREFIX,
};
use crate::Outcome;

pub(crate) struct FeatureState {
    pub gates: FeatureGates,
    /// What is known to be on.
    on: EnumSet<Feature>,
    asking: bool,
    due_ms: u64,
}

impl FeatureState {
    pub fn new(cfg: &Config) -> Self {
        let gates = FeatureGates::new(cfg.table, cfg.operator.withheld());
        FeatureState { gates, on: EnumSet::empty(), asking: false, due_ms: 0 }
    }
}

fn node_key(node: &str) -> String {
    format!("{FORMAT_NODE_PREFIX}{node}")
}

impl Controller {
    /// A feature is known to be on.
    pub(crate) fn has(&self, feature: Feature) -> bool {
        self.feature_state.on.contains(feature)
    }

    /// A later version's records are nothing to meddle with.
    pub(crate) fn foreign_format(&self) -> bool {
        self.feature_state.gates.is_unsupported()
    }

    /// It is known what the records mean.
    pub(crate) fn knows_format(&self) -> bool {
        matches!(self.feature_state.gates.status(), ActivationStatus::Active(_))
    }

    /// Limits of the state service to keep to: those to come as well once that is agreed,
    /// since they change without notice.
    pub(crate) fn limits(&self) -> &StateLimits {
        match self.has(Feature::AnnouncedLimits) {
            true => &self.context.config.lowest,
            false => &self.context.config.platform.params.state,
        }
    }

    /// Largest value that may be written, as `checked_size` counts.
    pub(crate) fn value_most(&self) -> usize {
        (self.limits().value_kb * 1024.0) as usize
    }

    /// Takes in what is known to stand now.
    fn stands(&mut self, stands: ActivationStatus, revision: u64) {
        if !self.feature_state.gates.set_status(stands, revision) {
            return;
        }
        let gates = &self.feature_state.gates;
        self.feature_state.on = Feature::all().filter(|f| gates.is_active(f.name())).collect();
        match gates.status() {
            ActivationStatus::Active(at) => {
                let (version, alone) = (at.version, at.features.iter());
                let features = alone.cloned().collect::<Vec<_>>().join(" ");
                tracing::info!(version, features, complete = gates.is_complete(), "formats in use");
            }
            ActivationStatus::Unsupported(unsupported) => {
                tracing::error!(
                    %unsupported,
                    "this is on and this version does not know it; it neither leads nor serves"
                )
            }
            ActivationStatus::Unknown => {}
        }
        self.fit_rate_limits();
    }

    /// Reads how things stand until all that this version knows is on; leaves our own key,
    /// and takes a step when its time has come.
    pub(crate) fn tick_format(&mut self) {
        let now = self.context.now.steady_ms;
        let gates = &self.feature_state.gates;
        let settled = gates.is_complete()
            && !gates.must_publish_capabilities(&self.context.config.platform.node, None);
        if settled || self.feature_state.asking || now < self.feature_state.due_ms {
            return;
        }
        self.feature_state.asking = true;
        // Without our consent nothing comes: a look now and then shows who else holds it.
        let hopeful = gates.has_consented_step();
        self.feature_state.due_ms = now
            + if hopeful {
                self.context.config.lease_renewal_ms()
            } else {
                self.context.config.lease_ms()
            };
        let target = format!("/keys?starts={FORMAT_KEY}");
        self.call_store("GET", target, Vec::new(), InFlight::FormatRead);
    }

    pub(crate) fn on_format_read(&mut self, outcome: Outcome) {
        self.feature_state.asking = false;
        let Some(list) = self.listed(outcome) else { return };
        self.see_format(&list.pairs);
        // No settings name so many controllers.
        if list.more || self.foreign_format() {
            return;
        }
        let word = |pair: &KeyValue| {
            let node = pair.path.strip_prefix(FORMAT_NODE_PREFIX)?;
            // What can't be read says nothing of what its controller can do.
            let said = decode::<CapabilityRecord>(&pair.value)?;
            Some((node.to_string(), StoredCapabilities { record: said, revision: pair.revision }))
        };
        let words = list.pairs.iter().filter_map(word).collect();
        self.feature_state.gates.set_capabilities(words);
        // What a controller can do counts for the life in which it lives now.
        let unsaid = self
            .feature_state
            .gates
            .must_publish_capabilities(&self.context.config.platform.node, None);
        if unsaid || !self.feature_state.gates.is_complete() {
            self.feature_state.asking = true;
            let target = format!("/keys?starts={MEMBER_PREFIX}");
            self.call_store("GET", target, Vec::new(), InFlight::MembersRead);
        }
    }

    /// Who lives, read after what they say.
    pub(crate) fn on_members_read(&mut self, outcome: Outcome) {
        self.feature_state.asking = false;
        let Some(list) = self.listed(outcome) else { return };
        let member =
            |p: &KeyValue| Some((p.path.strip_prefix(MEMBER_PREFIX)?.to_string(), p.revision));
        let members: BTreeMap<String, u64> = list.pairs.iter().filter_map(member).collect();
        let me = self.context.config.platform.node.clone();
        match members.get(&me).copied() {
            Some(life) if self.feature_state.gates.must_publish_capabilities(&me, Some(life)) => {
                self.leave_key(&me, life)
            }
            Some(_) => {}
            // Its write was refused, or got lost.
            None => self.write_member_key(),
        }
        if self.leads() {
            self.weigh_steps(&members);
        }
    }

    fn listed(&mut self, outcome: Outcome) -> Option<KeyValueList> {
        let Outcome::Answer(r) = outcome else { return None };
        let list = from_cbor::<KeyValueList>(&r.body).ok().filter(|_| r.status == 200)?;
        self.note_store_answer();
        Some(list)
    }

    /// Takes in what stands, as a list of the format's keys shows it.
    pub(crate) fn see_format(&mut self, pairs: &[KeyValue]) {
        let gates = &self.feature_state.gates;
        let (stands, revision) = match pairs.iter().find(|p| p.path == FORMAT_KEY) {
            Some(pair) => (gates.interpret(decode(&pair.value)), pair.revision),
            None => (gates.interpret(Some(ActivationRecord::initial())), 0),
        };
        self.stands(stands, revision);
    }

    /// Says for good what this controller can do, and in which life.
    fn leave_key(&mut self, me: &str, life: u64) {
        let record = CapabilityRecord {
            membership_revision: Some(life),
            ..self.feature_state.gates.own_capabilities()
        };
        let set = Change::Set { set: node_key(me), value: encode(&record), lease_id: None };
        // An earlier life's word that comes late must not stand for this one's.
        let guards = vec![Guard { path: member_key(me), revision: life }];
        self.record_writer.writes.force(self.context.now.steady_ms, 1.0);
        let body = to_cbor(&Transaction { guards, apply: vec![set] });
        // Looked for by the next read; written again if it is not there.
        self.call_store("POST", "/multi".into(), body, InFlight::MemberKey);
    }

    /// Takes the next step if all have it; tells operators what it waits for, when that
    /// changes.
    fn weigh_steps(&mut self, members: &BTreeMap<String, u64>) {
        let platform = &self.context.config.platform;
        let mut named: Vec<String> = platform.siblings.iter().map(|s| s.node.clone()).collect();
        named.push(platform.node.clone());
        let now = self.context.now.steady_ms;
        let before = self.feature_state.gates.blocked_steps().to_vec();
        let due = self.feature_state.gates.next_activation(now, &named, members);
        for held in self.feature_state.gates.blocked_steps() {
            if before.iter().any(|b| b.step == held.step && b.blocked_by == held.blocked_by) {
                continue;
            }
            let by: Vec<String> =
                held.blocked_by.iter().map(|(n, why)| format!("{n} {why}")).collect();
            let for_s = (now - held.since_ms) / 1000;
            tracing::info!(step = %held.step, for_s, by = by.join("; "), "a step waits");
        }
        if let Some(due) = due {
            self.take_step(due);
        }
    }

    /// Switches a step on: guarded by our view, by what stood, and by each controller's
    /// being the one that agreed.
    fn take_step(&mut self, due: PlannedActivation) {
        let mut guards = vec![
            Guard { path: FORMAT_KEY.into(), revision: self.feature_state.gates.revision() },
            Guard { path: EPOCH_KEY.into(), revision: self.membership.epoch_revision() },
        ];
        guards.extend(due.guards.into_iter().map(|g| match g {
            ActivationGuard::Membership { node, revision } => {
                Guard { path: member_key(&node), revision }
            }
            ActivationGuard::Capabilities { node, revision } => {
                Guard { path: node_key(&node), revision }
            }
        }));
        let value = encode(&due.record);
        let apply = vec![Change::Set { set: FORMAT_KEY.into(), value, lease_id: None }];
        self.record_writer.writes.force(self.context.now.steady_ms, 1.0);
        let body = to_cbor(&Transaction { guards, apply });
        tracing::info!(step = %due.step, "all controllers have it: switching it on");
        let pending = InFlight::Step { record: due.record, epoch: self.epoch() };
        self.feature_state.asking = true;
        self.call_store("POST", "/multi".into(), body, pending);
    }

    /// Whatever else came of it shows in the next read.
    pub(crate) fn on_step(&mut self, record: Option<ActivationRecord>, outcome: Outcome) {
        (self.feature_state.asking, self.feature_state.due_ms) = (false, 0);
        let (Outcome::Answer(r), Some(record)) = (outcome, record) else { return };
        if let (200, Ok(a)) = (r.status, from_cbor::<TransactionAnswer>(&r.body)) {
            self.note_store_answer();
            self.stands(ActivationStatus::Active(record), a.store_revision);
        }
    }
}
