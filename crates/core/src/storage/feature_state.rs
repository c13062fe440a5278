//! Which record formats and features are active, and the activation of new ones while controllers
//! of older versions are still running.
//!
//! This module reads and writes the feature gates' keys. What may be activated, and what blocks
//! it, is decided in `quartzgate-feature-gates`.
//!
//! Each controller publishes its capabilities. The leader activates a step with a transaction that
//! is guarded by the epoch, by the active formats, and by every controller's capabilities or
//! membership: it fails if any of them has changed since it was read.

use std::collections::BTreeMap;

use enumset::EnumSet;
use quartzgate_feature_gates::{
    ActivationGuard, ActivationRecord, ActivationStatus, BlockedStep, CapabilityRecord, Feature,
    FeatureGates, PlannedActivation, StoredCapabilities,
};
use quartzgate_wire::msg::{Change, Guard, KeyValue, KeyValueList, Transaction, TransactionAnswer};
use quartzgate_wire::settings::StateLimits;
use quartzgate_wire::{from_cbor, to_cbor};

use crate::config::Config;
use crate::controller::Controller;
use crate::storage::calls::StorageCall;
use crate::storage::records::{
    decode, encode, member_key, EPOCH_KEY, FORMAT_KEY, FORMAT_NODE_PREFIX, MEMBER_PREFIX,
};
use crate::Outcome;

/// What is known about formats and features, and the calls that keep it up to date.
pub(crate) struct FeatureState {
    /// Decides what may be activated.
    pub gates: FeatureGates,
    /// Features that are known to be active.
    active: EnumSet<Feature>,
    /// A read, or the write of a step, is in flight. There is at most one.
    call_in_flight: bool,
    next_read_ms: u64,
}

impl FeatureState {
    /// The state of a controller that has read nothing yet.
    pub fn new(cfg: &Config) -> Self {
        let gates = FeatureGates::new(cfg.table, cfg.operator.withheld());
        FeatureState { gates, active: EnumSet::empty(), call_in_flight: false, next_read_ms: 0 }
    }

    /// Takes over a status that was read or written; false if it was known already.
    fn set_status(&mut self, status: ActivationStatus, revision: u64) -> bool {
        if !self.gates.set_status(status, revision) {
            return false;
        }
        let gates = &self.gates;
        self.active = Feature::all().filter(|f| gates.is_active(f.name())).collect();
        true
    }

    fn log_status(&self) {
        match self.gates.status() {
            ActivationStatus::Active(record) => {
                let features = record.features.iter().cloned().collect::<Vec<_>>().join(" ");
                let (version, complete) = (record.version, self.gates.is_complete());
                tracing::info!(version, features, complete, "formats in use");
            }
            ActivationStatus::Unsupported(unsupported) => tracing::error!(
                %unsupported,
                "a format or feature is active that this version does not support; it neither leads nor serves"
            ),
            ActivationStatus::Unknown => {}
        }
    }

    /// Whether to read the keys now: until all steps that this version supports are active and
    /// this controller's capabilities are published.
    fn is_read_due(&self, node: &str, now_ms: u64) -> bool {
        let settled = self.gates.is_complete() && !self.gates.must_publish_capabilities(node, None);
        !settled && !self.call_in_flight && now_ms >= self.next_read_ms
    }
}

/// Key of a controller's capability record.
fn capability_key(node: &str) -> String {
    format!("{FORMAT_NODE_PREFIX}{node}")
}

/// Node and capabilities of a capability record's key. What can't be decoded says nothing about
/// its controller.
fn stored_capabilities(pair: &KeyValue) -> Option<(String, StoredCapabilities)> {
    let node = pair.path.strip_prefix(FORMAT_NODE_PREFIX)?;
    let record = decode::<CapabilityRecord>(&pair.value)?;
    Some((node.to_string(), StoredCapabilities { record, revision: pair.revision }))
}

/// Node and revision of a membership key.
fn membership_revision(pair: &KeyValue) -> Option<(String, u64)> {
    Some((pair.path.strip_prefix(MEMBER_PREFIX)?.to_string(), pair.revision))
}

impl Controller {
    /// Whether a feature is known to be active.
    pub(crate) fn is_active(&self, feature: Feature) -> bool {
        self.feature_state.active.contains(feature)
    }

    /// Whether something is active that this version does not support: it must not touch records.
    pub(crate) fn has_unsupported_format(&self) -> bool {
        self.feature_state.gates.is_unsupported()
    }

    /// Whether it is known in which formats records are written.
    pub(crate) fn knows_format(&self) -> bool {
        matches!(self.feature_state.gates.status(), ActivationStatus::Active(_))
    }

    /// Limits of the store to observe: the lowest announced ones once all controllers observe
    /// them, since the limits change without notice.
    pub(crate) fn limits(&self) -> &StateLimits {
        match self.is_active(Feature::AnnouncedLimits) {
            true => &self.context.config.lowest,
            false => &self.context.config.platform.params.state,
        }
    }

    /// Largest value in bytes that may be written, as
    /// [`checked_size`](crate::storage::records::checked_size) counts them.
    pub(crate) fn max_value_bytes(&self) -> usize {
        (self.limits().value_kb * 1024.0) as usize
    }

    /// Takes over what is known to be active now.
    fn set_activation_status(&mut self, status: ActivationStatus, revision: u64) {
        if self.feature_state.set_status(status, revision) {
            self.feature_state.log_status();
            self.fit_rate_limits();
        }
    }

    /// Reads the keys when that is due: less often while nothing can be activated, only to show
    /// operators who else blocks a step.
    pub(crate) fn tick_format(&mut self) {
        let now = self.context.now.steady_ms;
        if !self.feature_state.is_read_due(&self.context.config.platform.node, now) {
            return;
        }
        let interval_ms = match self.feature_state.gates.has_consented_step() {
            true => self.context.config.lease_renewal_ms(),
            false => self.context.config.lease_ms(),
        };
        self.feature_state.call_in_flight = true;
        self.feature_state.next_read_ms = now + interval_ms;
        let target = format!("/keys?starts={FORMAT_KEY}");
        self.call_from_storage("GET", target, Vec::new(), StorageCall::FormatKeysRead);
    }

    /// The formats' keys have been read; the membership keys are read after them, because
    /// capabilities count for the run of a controller in which they were published.
    pub(super) fn on_format_read(&mut self, outcome: Outcome) {
        self.feature_state.call_in_flight = false;
        let Some(list) = self.listed(outcome) else { return };
        self.see_format(&list.pairs);
        // No settings name more controllers than one answer holds.
        if list.more || self.has_unsupported_format() {
            return;
        }
        let capabilities = list.pairs.iter().filter_map(stored_capabilities).collect();
        let gates = &mut self.feature_state.gates;
        gates.set_capabilities(capabilities);
        let node = &self.context.config.platform.node;
        if gates.must_publish_capabilities(node, None) || !gates.is_complete() {
            self.feature_state.call_in_flight = true;
            let target = format!("/keys?starts={MEMBER_PREFIX}");
            self.call_from_storage("GET", target, Vec::new(), StorageCall::MembersRead);
        }
    }

    /// The membership keys have been read: publishes this controller's capabilities, or its
    /// membership if its write was refused or lost; the leader activates a step if it can.
    pub(super) fn on_members_read(&mut self, outcome: Outcome) {
        self.feature_state.call_in_flight = false;
        let Some(list) = self.listed(outcome) else { return };
        let members: BTreeMap<String, u64> =
            list.pairs.iter().filter_map(membership_revision).collect();
        let node = self.context.config.platform.node.clone();
        match members.get(&node).copied() {
            Some(revision) => {
                let gates = &self.feature_state.gates;
                if gates.must_publish_capabilities(&node, Some(revision)) {
                    self.publish_capabilities(&node, revision);
                }
            }
            None => self.write_member_key(),
        }
        if self.leads() {
            self.activate_next_step(&members);
        }
    }

    fn listed(&mut self, outcome: Outcome) -> Option<KeyValueList> {
        let Outcome::Answer(response) = outcome else { return None };
        let list = from_cbor::<KeyValueList>(&response.body).ok();
        let list = list.filter(|_| response.status == 200)?;
        self.note_store_answer();
        Some(list)
    }

    /// Takes over the activation record from a list of the formats' keys.
    pub(crate) fn see_format(&mut self, pairs: &[KeyValue]) {
        let gates = &self.feature_state.gates;
        let (status, revision) = match pairs.iter().find(|pair| pair.path == FORMAT_KEY) {
            Some(pair) => (gates.interpret(decode(&pair.value)), pair.revision),
            None => (gates.interpret(Some(ActivationRecord::initial())), 0),
        };
        self.set_activation_status(status, revision);
    }

    /// Publishes for good what this controller supports, and in which run of it.
    fn publish_capabilities(&mut self, node: &str, membership_revision: u64) {
        let record = CapabilityRecord {
            membership_revision: Some(membership_revision),
            ..self.feature_state.gates.own_capabilities()
        };
        let set = Change::Set { set: capability_key(node), value: encode(&record), lease_id: None };
        // A late write of an earlier run must not replace that of this one.
        let guards = vec![Guard { path: member_key(node), revision: membership_revision }];
        // The next read shows whether it was written, and repeats it if not.
        self.write_format_keys(
            Transaction { guards, apply: vec![set] },
            StorageCall::CapabilitiesWrite,
        );
    }

    fn write_format_keys(&mut self, transaction: Transaction, call: StorageCall) {
        self.record_writer.writes.force(self.context.now.steady_ms, 1.0);
        self.call_from_storage("POST", "/multi".into(), to_cbor(&transaction), call);
    }

    /// Activates the next step if every controller supports it; otherwise logs what blocks it.
    fn activate_next_step(&mut self, members: &BTreeMap<String, u64>) {
        let platform = &self.context.config.platform;
        let siblings = platform.siblings.iter().map(|sibling| sibling.node.clone());
        let configured: Vec<String> = siblings.chain([platform.node.clone()]).collect();
        let now = self.context.now.steady_ms;
        let blocked_before = self.feature_state.gates.blocked_steps().to_vec();
        let planned = self.feature_state.gates.next_activation(now, &configured, members);
        self.log_blocked_steps(&blocked_before);
        if let Some(planned) = planned {
            self.activate(planned);
        }
    }

    /// Logs the steps that are blocked by others than before.
    fn log_blocked_steps(&self, before: &[BlockedStep]) {
        let now = self.context.now.steady_ms;
        for blocked in self.feature_state.gates.blocked_steps() {
            let unchanged =
                |b: &BlockedStep| b.step == blocked.step && b.blocked_by == blocked.blocked_by;
            if before.iter().any(unchanged) {
                continue;
            }
            let reasons = blocked.blocked_by.iter().map(|(node, why)| format!("{node} {why}"));
            let blocked_by = reasons.collect::<Vec<_>>().join("; ");
            let for_s = (now - blocked.since_ms) / 1000;
            tracing::info!(step = %blocked.step, for_s, blocked_by, "a step is blocked");
        }
    }

    /// Writes the activation of a step, guarded by everything that the decision relies on.
    fn activate(&mut self, planned: PlannedActivation) {
        let mut guards = vec![
            Guard { path: FORMAT_KEY.into(), revision: self.feature_state.gates.revision() },
            Guard { path: EPOCH_KEY.into(), revision: self.membership.epoch_revision() },
        ];
        guards.extend(planned.guards.into_iter().map(|guard| match guard {
            ActivationGuard::Membership { node, revision } => {
                Guard { path: member_key(&node), revision }
            }
            ActivationGuard::Capabilities { node, revision } => {
                Guard { path: capability_key(&node), revision }
            }
        }));
        let value = encode(&planned.record);
        let apply = vec![Change::Set { set: FORMAT_KEY.into(), value, lease_id: None }];
        tracing::info!(step = %planned.step, "all controllers support this step: activating it");
        let call = StorageCall::StepWrite { record: planned.record, epoch: self.epoch() };
        self.feature_state.call_in_flight = true;
        self.write_format_keys(Transaction { guards, apply }, call);
    }

    /// The write of a step has ended; `record` is `None` if the epoch has changed since. Outcomes
    /// other than success show in the next read, which follows at once.
    pub(super) fn on_step(&mut self, record: Option<ActivationRecord>, outcome: Outcome) {
        self.feature_state.call_in_flight = false;
        self.feature_state.next_read_ms = 0;
        let (Outcome::Answer(response), Some(record)) = (outcome, record) else { return };
        let answer = from_cbor::<TransactionAnswer>(&response.body);
        if let (200, Ok(answer)) = (response.status, answer) {
            self.note_store_answer();
            self.set_activation_status(ActivationStatus::Active(record), answer.store_revision);
        }
    }
}
