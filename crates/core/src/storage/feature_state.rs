//! Tracks which record formats and features are active, and activates new ones while controllers of
//! older versions may still be running.
//!
//! This module reads and writes the feature gates' keys. `quartzgate-feature-gates` decides what
//! may be activated and what blocks it.
//!
//! Each controller publishes its capabilities. The leader activates a step with a transaction that
//! is guarded by the epoch, by the active formats, and by every controller's capabilities or
//! membership, so that the transaction fails if any of them has changed since it was read.

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

/// Known state of formats and features, and of the calls that keep it up to date.
pub(crate) struct FeatureState {
    /// Decides which steps may be activated.
    pub gates: FeatureGates,
    /// Features that are known to be active.
    active: EnumSet<Feature>,
    /// A read of the keys, or the write of a step, is in flight. At most one is in flight at a
    /// time.
    call_in_flight: bool,
    next_read_ms: u64,
}

impl FeatureState {
    /// Creates the state of a controller that has not read the keys yet.
    pub fn new(cfg: &Config) -> Self {
        let gates = FeatureGates::new(cfg.table, cfg.operator.withheld());
        FeatureState { gates, active: EnumSet::empty(), call_in_flight: false, next_read_ms: 0 }
    }

    /// Sets the activation status that was read or written. Returns false if the status was known
    /// already.
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

    /// Returns whether to read the keys now. They are read until all steps that this version
    /// supports are active and this controller's capabilities are published.
    fn is_read_due(&self, node: &str, now_ms: u64) -> bool {
        let up_to_date =
            self.gates.is_complete() && !self.gates.must_publish_capabilities(node, None);
        !up_to_date && !self.call_in_flight && now_ms >= self.next_read_ms
    }
}

fn capability_key(node: &str) -> String {
    format!("{FORMAT_NODE_PREFIX}{node}")
}

/// Returns the node and the capabilities of a capability record; `None` for a record that can't be
/// decoded, which is treated as if it were absent.
fn stored_capabilities(pair: &KeyValue) -> Option<(String, StoredCapabilities)> {
    let node = pair.key.strip_prefix(FORMAT_NODE_PREFIX)?;
    let record = decode::<CapabilityRecord>(&pair.value)?;
    Some((node.to_string(), StoredCapabilities { record, revision: pair.revision }))
}

/// Returns the node and the revision of a membership key.
fn membership_revision(pair: &KeyValue) -> Option<(String, u64)> {
    Some((pair.key.strip_prefix(MEMBER_PREFIX)?.to_string(), pair.revision))
}

impl Controller {
    /// Returns whether a feature is known to be active.
    pub(crate) fn is_active(&self, feature: Feature) -> bool {
        self.feature_state.active.contains(feature)
    }

    /// Returns whether a format or feature is active that this version does not support. Such a
    /// controller must not touch any record.
    pub(crate) fn has_unsupported_format(&self) -> bool {
        self.feature_state.gates.is_unsupported()
    }

    /// Returns whether it is known in which formats records are written.
    pub(crate) fn knows_format(&self) -> bool {
        matches!(self.feature_state.gates.status(), ActivationStatus::Active(_))
    }

    /// Returns the store's limits that this controller observes. Because announced limits take
    /// effect without notice, these are the lower of the present and the announced limits once
    /// [`Feature::AnnouncedLimits`] is active; before, they are the present limits.
    pub(crate) fn store_limits(&self) -> &StateLimits {
        match self.is_active(Feature::AnnouncedLimits) {
            true => &self.context.config.lowest,
            false => &self.context.config.platform.params.state,
        }
    }

    /// Returns the size in bytes of the largest value that may be written, as counted by
    /// [`checked_size`](crate::storage::records::checked_size).
    pub(crate) fn max_value_bytes(&self) -> usize {
        (self.store_limits().value_kb * 1024.0) as usize
    }

    /// Updates the activation status, and adjusts the rate limits if it has changed.
    fn set_activation_status(&mut self, status: ActivationStatus, revision: u64) {
        if self.feature_state.set_status(status, revision) {
            self.feature_state.log_status();
            self.apply_rate_limits();
        }
    }

    /// Reads the keys when a read is due. Reads are less frequent while this controller consents to
    /// no further step; they then only show operators which other controllers block a step.
    pub(crate) fn read_format_keys_if_due(&mut self) {
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

    /// Handles the outcome of reading the format keys. The membership keys are read after them,
    /// because capabilities count only for the process run of the controller in which they were
    /// published.
    pub(super) fn on_format_keys_read(&mut self, outcome: Outcome) {
        self.feature_state.call_in_flight = false;
        let Some(list) = self.list_outcome(outcome) else { return };
        self.update_activation_status(&list.pairs);
        // The settings can't name more controllers than one answer can list.
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

    /// Handles the outcome of reading the membership keys. Publishes this controller's capabilities
    /// if necessary. If this controller's membership key is missing, because the write of the key
    /// was refused or lost, writes the key again. The leader also activates the next step if
    /// possible.
    pub(super) fn on_members_read(&mut self, outcome: Outcome) {
        self.feature_state.call_in_flight = false;
        let Some(list) = self.list_outcome(outcome) else { return };
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

    fn list_outcome(&mut self, outcome: Outcome) -> Option<KeyValueList> {
        let Outcome::Answer(response) = outcome else { return None };
        let list = from_cbor::<KeyValueList>(&response.body).ok();
        let list = list.filter(|_| response.status == 200)?;
        self.note_store_answer();
        Some(list)
    }

    /// Updates the activation status from a list of the format keys.
    pub(crate) fn update_activation_status(&mut self, pairs: &[KeyValue]) {
        let gates = &self.feature_state.gates;
        let (status, revision) = match pairs.iter().find(|pair| pair.key == FORMAT_KEY) {
            Some(pair) => (gates.interpret(decode(&pair.value)), pair.revision),
            None => (gates.interpret(Some(ActivationRecord::initial())), 0),
        };
        self.set_activation_status(status, revision);
    }

    /// Publishes what this controller supports, and the process run to which that applies, under a
    /// key without a lease, which outlives the process.
    fn publish_capabilities(&mut self, node: &str, membership_revision: u64) {
        let record = CapabilityRecord {
            membership_revision: Some(membership_revision),
            ..self.feature_state.gates.own_capabilities()
        };
        let set = Change::Set { set: capability_key(node), value: encode(&record), lease_id: None };
        // A late write of an earlier process run must not replace the capabilities of this run.
        let guards = vec![Guard { key: member_key(node), revision: membership_revision }];
        // The next read shows whether the capabilities were written; if not, they are published
        // again.
        self.write_format_keys(
            Transaction { guards, apply: vec![set] },
            StorageCall::CapabilitiesWrite,
        );
    }

    fn write_format_keys(&mut self, transaction: Transaction, call: StorageCall) {
        self.record_writer.write_limiter.charge(self.context.now.steady_ms, 1.0);
        self.call_from_storage("POST", "/multi".into(), to_cbor(&transaction), call);
    }

    /// Activates the next step if every controller supports it; otherwise logs the controllers that
    /// block it.
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

    /// Logs the steps that are newly blocked, or blocked by other controllers or for other reasons
    /// than before.
    fn log_blocked_steps(&self, before: &[BlockedStep]) {
        let now = self.context.now.steady_ms;
        for blocked in self.feature_state.gates.blocked_steps() {
            let unchanged =
                |b: &BlockedStep| b.step == blocked.step && b.blocked_by == blocked.blocked_by;
            if before.iter().any(unchanged) {
                continue;
            }
            let reasons =
                blocked.blocked_by.iter().map(|(node, reason)| format!("{node} {reason}"));
            let blocked_by = reasons.collect::<Vec<_>>().join("; ");
            let for_s = (now - blocked.since_ms) / 1000;
            tracing::info!(step = %blocked.step, for_s, blocked_by, "a step is blocked");
        }
    }

    /// Writes the activation of a step, guarded by everything that the decision depends on.
    fn activate(&mut self, planned: PlannedActivation) {
        let mut guards = vec![
            Guard { key: FORMAT_KEY.into(), revision: self.feature_state.gates.revision() },
            Guard { key: EPOCH_KEY.into(), revision: self.membership.epoch_revision() },
        ];
        guards.extend(planned.guards.into_iter().map(|guard| match guard {
            ActivationGuard::Membership { node, revision } => {
                Guard { key: member_key(&node), revision }
            }
            ActivationGuard::Capabilities { node, revision } => {
                Guard { key: capability_key(&node), revision }
            }
        }));
        let value = encode(&planned.record);
        let apply = vec![Change::Set { set: FORMAT_KEY.into(), value, lease_id: None }];
        tracing::info!(step = %planned.step, "all controllers support this step: activating it");
        let call = StorageCall::StepWrite { record: planned.record, epoch: self.epoch() };
        self.feature_state.call_in_flight = true;
        self.write_format_keys(Transaction { guards, apply }, call);
    }

    /// Handles the outcome of activating a step; `record` is `None` if the epoch has changed since.
    /// The next read, which follows immediately, shows any other outcome than success.
    pub(super) fn on_step_written(&mut self, record: Option<ActivationRecord>, outcome: Outcome) {
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
