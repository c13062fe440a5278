//! One controller's view of the active formats and features, and the decision on the next
//! activation.

use std::collections::{BTreeMap, BTreeSet};

use crate::activation::{
    ActivationGuard, ActivationStatus, BlockReason, BlockedStep, PlannedActivation,
    UnsupportedActivation,
};
use crate::records::{ActivationRecord, CapabilityRecord, StoredCapabilities, INITIAL_FORMAT};
use crate::table::{Activation, ActivationStep, GateTable};

/// One controller's view of the active formats and features, the capabilities of each controller,
/// and the blocked steps.
#[derive(Debug)]
pub struct FeatureGates {
    table: &'static GateTable,
    /// Names of the steps that this controller's operators withhold.
    withheld: BTreeSet<String>,
    status: ActivationStatus,
    /// Revision of the activation record's key; 0 while the key does not exist.
    revision: u64,
    /// The capabilities that each controller published last, by controller name.
    capabilities: BTreeMap<String, StoredCapabilities>,
    blocked: Vec<BlockedStep>,
}

impl FeatureGates {
    /// Creates the view of a controller that has read nothing yet. `withheld` contains the names of
    /// the steps that its operators withhold.
    pub fn new(table: &'static GateTable, withheld: BTreeSet<String>) -> Self {
        FeatureGates {
            table,
            withheld,
            status: ActivationStatus::Unknown,
            revision: 0,
            capabilities: BTreeMap::new(),
            blocked: Vec::new(),
        }
    }

    /// Returns this controller's knowledge of the activation record.
    pub fn status(&self) -> &ActivationStatus {
        &self.status
    }

    /// Returns the revision of the activation record's key, which guards the next activation; 0 if
    /// the key does not exist.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the active format of the records, or the initial format if the status is not
    /// [`ActivationStatus::Active`].
    pub fn format_version(&self) -> u32 {
        match &self.status {
            ActivationStatus::Active(active) => active.version,
            _ => INITIAL_FORMAT,
        }
    }

    /// Returns whether a format or feature is active that this version does not support.
    pub fn is_unsupported(&self) -> bool {
        matches!(self.status, ActivationStatus::Unsupported(_))
    }

    /// Returns whether the feature of this name is known to be active.
    pub fn is_active(&self, name: &str) -> bool {
        let ActivationStatus::Active(active) = &self.status else { return false };
        let entry = self.table.features.iter().find(|feature| feature.name == name);
        entry.is_some_and(|feature| match feature.activation {
            Activation::WithFormat(version) => active.version >= version,
            Activation::Separate { .. } => active.features.contains(name),
        })
    }

    /// Returns the capabilities that each controller published last, by controller name.
    pub fn capabilities(&self) -> impl Iterator<Item = (&String, &CapabilityRecord)> {
        self.capabilities.iter().map(|(node, stored)| (node, &stored.record))
    }

    /// Returns the steps that were blocked at the last call of [`FeatureGates::next_activation`],
    /// without those that have become active since.
    pub fn blocked_steps(&self) -> &[BlockedStep] {
        &self.blocked
    }

    /// Returns whether this version has no step left to activate.
    pub fn is_complete(&self) -> bool {
        match &self.status {
            ActivationStatus::Unknown => false,
            ActivationStatus::Unsupported(_) => true,
            ActivationStatus::Active(active) => self.candidate_steps(active).is_empty(),
        }
    }

    /// Returns whether a step may be left to activate that this controller's operators do not
    /// withhold.
    pub fn has_consented_step(&self) -> bool {
        match &self.status {
            ActivationStatus::Unknown => true,
            ActivationStatus::Unsupported(_) => false,
            ActivationStatus::Active(active) => {
                let steps = self.candidate_steps(active);
                steps.iter().any(|step| self.consents_to(step.name()))
            }
        }
    }

    /// Derives the status from an activation record that was read. `record` is `None` if the record
    /// could not be decoded.
    pub fn interpret(&self, record: Option<ActivationRecord>) -> ActivationStatus {
        let Some(record) = record else {
            return ActivationStatus::Unsupported(UnsupportedActivation::UnreadableRecord);
        };
        if record.version > self.table.newest_format() {
            let unsupported = UnsupportedActivation::Format(record.version);
            return ActivationStatus::Unsupported(unsupported);
        }
        if let Some(name) = record.features.iter().find(|name| !self.supports_feature(name)) {
            let unsupported = UnsupportedActivation::Feature(name.clone());
            return ActivationStatus::Unsupported(unsupported);
        }
        let version = record.version.max(INITIAL_FORMAT);
        ActivationStatus::Active(ActivationRecord { version, ..record })
    }

    /// Adopts a status that was read or written at `revision`. Returns whether anything changed.
    ///
    /// Activations are never undone, so a status with fewer of them is an older read and is
    /// ignored. No other function changes the status.
    pub fn set_status(&mut self, status: ActivationStatus, revision: u64) -> bool {
        if !self.is_progress(&status) {
            return false;
        }
        self.status = status;
        self.revision = revision;
        self.blocked.retain(|blocked| !step_is_active(&self.status, blocked.step));
        true
    }

    /// Replaces the known capabilities by those that all controllers have published.
    pub fn set_capabilities(&mut self, capabilities: BTreeMap<String, StoredCapabilities>) {
        self.capabilities = capabilities;
    }

    /// Returns the formats and features that this controller supports and its operators do not
    /// withhold, including all that are active already. The caller sets the membership revision.
    pub fn own_capabilities(&self) -> CapabilityRecord {
        let (active_version, mut features) = match &self.status {
            ActivationStatus::Active(active) => (active.version, active.features.clone()),
            _ => (INITIAL_FORMAT, BTreeSet::new()),
        };
        let names = self.table.separate_features().map(|feature| feature.entry.name);
        features.extend(names.filter(|name| self.consents_to(name)).map(str::to_string));
        CapabilityRecord {
            version: self.newest_consented_format().max(active_version),
            features,
            withheld: self.withheld.clone(),
            membership_revision: None,
        }
    }

    /// Returns whether this controller, whose name is `node`, has to publish its capabilities: if
    /// they differ from the stored ones, or if the stored ones are of an earlier run of the process
    /// and there is still a step to activate.
    pub fn must_publish_capabilities(&self, node: &str, membership_revision: Option<u64>) -> bool {
        if !matches!(self.status, ActivationStatus::Active(_)) {
            return false;
        }
        let Some(StoredCapabilities { record, .. }) = self.capabilities.get(node) else {
            return true;
        };
        let is_from_other_run = record.membership_revision != membership_revision;
        !record.has_same_capabilities(&self.own_capabilities())
            || !self.is_complete() && is_from_other_run
    }

    /// Returns the step that can be activated now, if there is one, and records which other steps
    /// are blocked.
    ///
    /// `configured` contains the controllers named in the settings. `live_members` contains those
    /// that hold a membership key, with the revision of that key, and must be read after the
    /// capabilities. The controllers of both sets must support a step, so that a live controller
    /// counts even if the settings do not name it.
    pub fn next_activation(
        &mut self,
        now_ms: u64,
        configured: &[String],
        live_members: &BTreeMap<String, u64>,
    ) -> Option<PlannedActivation> {
        let ActivationStatus::Active(active) = self.status.clone() else { return None };
        let nodes: BTreeSet<&String> = configured.iter().chain(live_members.keys()).collect();
        let (mut blocked, mut planned) = (Vec::new(), None);
        for step in self.candidate_steps(&active) {
            let blocked_by = self.blocking_nodes(&nodes, step, live_members);
            if blocked_by.is_empty() {
                planned = planned.or_else(|| Some(self.plan_activation(&active, step, &nodes)));
            } else {
                let since_ms = self.blocked_since_ms(step).unwrap_or(now_ms);
                blocked.push(BlockedStep { step, since_ms, blocked_by });
            }
        }
        self.blocked = blocked;
        planned
    }

    fn consents_to(&self, step_name: &str) -> bool {
        !self.withheld.contains(step_name)
    }

    fn supports_feature(&self, name: &str) -> bool {
        self.table.separate_features().any(|feature| feature.entry.name == name)
    }

    /// Returns the newest format up to which no format is withheld. Formats are activated in order,
    /// so a withheld format withholds all later ones as well.
    fn newest_consented_format(&self) -> u32 {
        let consented =
            self.table.formats.iter().take_while(|format| self.consents_to(format.name));
        consented.last().map_or(INITIAL_FORMAT, |format| format.version)
    }

    fn is_progress(&self, next: &ActivationStatus) -> bool {
        use ActivationStatus::{Active, Unknown, Unsupported};
        match (&self.status, next) {
            (Unsupported(_), _) | (_, Unknown) => false,
            (Unknown, _) | (_, Unsupported(_)) => true,
            (Active(old), Active(new)) => old != new && new.includes(old),
        }
    }

    /// Returns the steps of this version that are not active and whose requirements are met.
    fn candidate_steps(&self, active: &ActivationRecord) -> Vec<ActivationStep> {
        let next_format = self.table.format(active.version + 1);
        let format_step = next_format
            .map(|format| ActivationStep::Format { version: format.version, name: format.name });
        let feature_steps = self
            .table
            .separate_features()
            .filter(|feature| {
                let entry = feature.entry;
                active.version >= feature.min_format
                    && !active.features.contains(entry.name)
                    && entry.requires.iter().all(|name| self.is_active(name))
            })
            .map(|feature| ActivationStep::Feature(feature.entry.name));
        format_step.into_iter().chain(feature_steps).collect()
    }

    fn blocked_since_ms(&self, step: ActivationStep) -> Option<u64> {
        let blocked = self.blocked.iter().find(|blocked| blocked.step == step);
        blocked.map(|blocked| blocked.since_ms)
    }

    fn blocking_nodes(
        &self,
        nodes: &BTreeSet<&String>,
        step: ActivationStep,
        live_members: &BTreeMap<String, u64>,
    ) -> BTreeMap<String, BlockReason> {
        let mut blocked_by = BTreeMap::new();
        for node in nodes {
            if let Some(reason) = self.block_reason(node, step, live_members) {
                blocked_by.insert((*node).clone(), reason);
            }
        }
        blocked_by
    }

    fn block_reason(
        &self,
        node: &str,
        step: ActivationStep,
        live_members: &BTreeMap<String, u64>,
    ) -> Option<BlockReason> {
        let Some(StoredCapabilities { record, .. }) = self.capabilities.get(node) else {
            return Some(BlockReason::NoCapabilities);
        };
        if let Some(reason) = unsupported_reason(record, step) {
            return Some(reason);
        }
        // Versions without feature gates do not publish the revision of their membership key.
        let published_revision = record.membership_revision?;
        match live_members.get(node) {
            Some(revision) if *revision == published_revision => None,
            Some(_) => Some(BlockReason::Restarted),
            None => Some(BlockReason::Absent),
        }
    }

    fn plan_activation(
        &self,
        active: &ActivationRecord,
        step: ActivationStep,
        nodes: &BTreeSet<&String>,
    ) -> PlannedActivation {
        let mut record = active.clone();
        match step {
            ActivationStep::Format { version, .. } => record.version = version,
            ActivationStep::Feature(name) => {
                record.features.insert(name.to_string());
            }
        }
        let guards = nodes.iter().filter_map(|node| self.guard(node)).collect();
        PlannedActivation { step, record, guards }
    }

    fn guard(&self, node: &str) -> Option<ActivationGuard> {
        let stored = self.capabilities.get(node)?;
        let node = node.to_string();
        Some(match stored.record.membership_revision {
            Some(revision) => ActivationGuard::Membership { node, revision },
            None => ActivationGuard::Capabilities { node, revision: stored.revision },
        })
    }
}

/// Returns why a controller with these capabilities does not support a step; `None` if it does.
fn unsupported_reason(
    capabilities: &CapabilityRecord,
    step: ActivationStep,
) -> Option<BlockReason> {
    let supported = match step {
        ActivationStep::Format { version, .. } => capabilities.version >= version,
        ActivationStep::Feature(name) => capabilities.features.contains(name),
    };
    if supported {
        return None;
    }
    if capabilities.withheld.contains(step.name()) {
        return Some(BlockReason::Withheld);
    }
    Some(match step {
        ActivationStep::Format { .. } => BlockReason::OlderFormat(capabilities.version),
        ActivationStep::Feature(_) => BlockReason::UnsupportedFeature,
    })
}

fn step_is_active(status: &ActivationStatus, step: ActivationStep) -> bool {
    let ActivationStatus::Active(active) = status else { return false };
    match step {
        ActivationStep::Format { version, .. } => active.version >= version,
        ActivationStep::Feature(name) => active.features.contains(name),
    }
}
