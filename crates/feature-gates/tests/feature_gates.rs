//! Tests of feature gates without a controller: validation of tables, the view of one controller,
//! and activation in a small model of controllers and a key-value store.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use quartzgate_feature_gates::{
    Activation, ActivationGuard, ActivationRecord, ActivationStatus, BlockReason, CapabilityRecord,
    Feature, FeatureEntry, FeatureGates, FormatEntry, GateTable, PlannedActivation,
    StoredCapabilities, TableError, UnsupportedActivation, GATES,
};

const fn format(version: u32, name: &'static str) -> FormatEntry {
    FormatEntry { version, name, description: "" }
}

const fn feature(
    name: &'static str,
    activation: Activation,
    requires: &'static [&'static str],
) -> FeatureEntry {
    FeatureEntry { name, activation, requires, description: "" }
}

/// Formats and features of an older version.
static OLD: GateTable = GateTable {
    formats: &[format(2, "v2"), format(3, "v3")],
    features: &[feature("a", Activation::Separate { min_format: 3 }, &[])],
};
/// Formats and features of a newer version.
static NEW: GateTable = GateTable {
    formats: &[format(2, "v2"), format(3, "v3"), format(4, "v4")],
    features: &[
        feature("a", Activation::Separate { min_format: 3 }, &[]),
        feature("b", Activation::Separate { min_format: 3 }, &["a"]),
        feature("c", Activation::WithFormat(4), &[]),
    ],
};

/// The real table is valid, and every feature that code can check for has exactly one entry.
#[test]
fn the_real_table_is_valid_and_lists_every_feature() {
    assert_eq!(GATES.validate(), Ok(()));
    let listed: BTreeSet<&str> = GATES.features.iter().map(|entry| entry.name).collect();
    let checked: BTreeSet<&str> = Feature::all().map(Feature::name).collect();
    assert_eq!(listed, checked);
}

/// Step and feature names are stored, configured and shown in metrics: renaming a variant must not
/// change them.
#[test]
fn step_and_feature_names_are_stable() {
    assert_eq!(GATES.step_names(), ["format-2", "format-3", "format-4"]);
    let names: Vec<&str> = Feature::all().map(Feature::name).collect();
    assert_eq!(
        names,
        ["chains", "pieces", "service-mark", "low-limits", "inline-shares", "shared-pages"]
    );
}

/// Guards against tables that could activate a step unnoticed by some controller: with a gap
/// between formats, a duplicate name, a separate feature that older versions would not notice, or a
/// requirement that is not listed before the feature.
#[test]
fn invalid_tables_are_rejected() {
    static GAP: GateTable = GateTable { formats: &[format(3, "v3")], features: &[] };
    static DUPLICATE: GateTable = GateTable {
        formats: &[format(2, "v2")],
        features: &[feature("v2", Activation::WithFormat(2), &[])],
    };
    static TOO_EARLY: GateTable = GateTable {
        formats: &[format(2, "v2")],
        features: &[feature("a", Activation::Separate { min_format: 2 }, &[])],
    };
    static REQUIRES_LATER: GateTable = GateTable {
        formats: &[format(2, "v2")],
        features: &[
            feature("a", Activation::WithFormat(2), &["b"]),
            feature("b", Activation::WithFormat(2), &[]),
        ],
    };
    let gap = TableError::FormatOutOfOrder { expected: 2, found: 3 };
    let duplicate = TableError::DuplicateName("v2");
    let too_early = TableError::FormatNotAllowed { feature: "a", format: 2, min: 3, max: 2 };
    let requires_later = TableError::RequirementNotBefore { feature: "a", requirement: "b" };
    for (table, error, text) in [
        (&GAP, gap, "format 3"),
        (&DUPLICATE, duplicate, "twice"),
        (&TOO_EARLY, too_early, "activated with"),
        (&REQUIRES_LATER, requires_later, "requires `b`"),
    ] {
        assert!(error.to_string().contains(text), "{error}");
        assert_eq!(table.validate(), Err(error));
    }
    let unknown = GATES.check_step_names(&["format-9".to_string()]).unwrap_err();
    assert!(unknown.to_string().contains("format-2"), "{unknown}");
}

/// Guards against undoing an activation by a stale read: a status that was read before an
/// activation, or lacks an active feature, changes nothing.
#[test]
fn status_is_unchanged_by_an_older_read() {
    let mut gates = FeatureGates::new(&NEW, BTreeSet::new());
    let active = |version, names: &[&str]| {
        let features = names.iter().map(|name| name.to_string()).collect();
        ActivationStatus::Active(ActivationRecord { version, features })
    };
    assert!(gates.set_status(active(3, &["a"]), 7));
    for older in [active(2, &[]), active(3, &[]), active(4, &["b"]), ActivationStatus::Unknown] {
        assert!(!gates.set_status(older, 5));
    }
    assert!(gates.is_active("a") && gates.format_version() == 3 && gates.revision() == 7);
    assert!(gates.set_status(active(4, &["a"]), 9));
    assert!(gates.is_active("c"), "`c` is activated with format 4");
    let unsupported = UnsupportedActivation::Feature("x".into());
    assert!(gates.set_status(ActivationStatus::Unsupported(unsupported), 9));
    assert!(!gates.set_status(active(4, &["a", "b"]), 10) && !gates.is_active("a"));
}

/// Operators see which controllers block a step, for which reasons and since when. The start time
/// stays the same while the reasons change.
#[test]
fn a_blocked_step_names_controllers_reasons_and_start() {
    let mut gates = FeatureGates::new(&NEW, BTreeSet::new());
    gates.set_status(ActivationStatus::Active(ActivationRecord::initial()), 0);
    let stored = |version, withheld: &[&str], membership_revision| StoredCapabilities {
        record: CapabilityRecord {
            version,
            features: BTreeSet::new(),
            withheld: withheld.iter().map(|name| name.to_string()).collect(),
            membership_revision: Some(membership_revision),
        },
        revision: 9,
    };
    let configured: Vec<String> = ["x", "y", "z"].map(String::from).into();
    gates.set_capabilities(BTreeMap::from([
        ("x".to_string(), stored(1, &["v2"], 5)),
        ("y".to_string(), stored(4, &[], 6)),
    ]));
    let live_members = BTreeMap::from([("x".to_string(), 5), ("y".to_string(), 8)]);
    assert_eq!(gates.next_activation(1_000, &configured, &live_members), None);
    let reasons = |gates: &FeatureGates| {
        gates.blocked_steps()[0].blocked_by.values().cloned().collect::<Vec<_>>()
    };
    let expected = [BlockReason::Withheld, BlockReason::Restarted, BlockReason::NoCapabilities];
    assert_eq!(reasons(&gates), expected);
    gates.set_capabilities(BTreeMap::from([
        ("x".to_string(), stored(1, &[], 5)),
        ("y".to_string(), stored(4, &[], 6)),
    ]));
    gates.next_activation(4_000, &configured, &BTreeMap::new());
    let expected = [BlockReason::OlderFormat(1), BlockReason::Absent, BlockReason::NoCapabilities];
    assert_eq!(reasons(&gates), expected);
    assert_eq!(gates.blocked_steps()[0].since_ms, 1_000);
}

/// A controller in the model.
#[derive(Debug)]
struct Node {
    gates: FeatureGates,
    is_alive: bool,
}

/// A write of a capability record that has been sent to the store but not applied yet.
#[derive(Debug)]
struct PublicationInFlight {
    node: String,
    record: CapabilityRecord,
    /// Revision of the membership key that guards the write.
    membership_revision: u64,
}

/// A write of an activation that has been sent to the store but not applied yet.
#[derive(Debug)]
struct ActivationInFlight {
    planned: PlannedActivation,
    /// Revision of the activation record that guards the write.
    revision: u64,
}

/// A model of controllers and of a key-value store with revisions.
#[derive(Debug)]
struct Model {
    nodes: Vec<Node>,
    last_revision: u64,
    active: ActivationRecord,
    active_revision: u64,
    capabilities: BTreeMap<String, StoredCapabilities>,
    members: BTreeMap<String, u64>,
    activations: Vec<ActivationInFlight>,
    publications: Vec<PublicationInFlight>,
}

impl Model {
    fn new(node_count: usize) -> Model {
        let node = |_| Node { gates: FeatureGates::new(&OLD, BTreeSet::new()), is_alive: true };
        let mut model = Model {
            nodes: (0..node_count).map(node).collect(),
            last_revision: 1,
            active: ActivationRecord::initial(),
            active_revision: 0,
            capabilities: BTreeMap::new(),
            members: BTreeMap::new(),
            activations: Vec::new(),
            publications: Vec::new(),
        };
        (0..node_count).for_each(|node| model.start(node, &OLD));
        model
    }

    fn next_revision(&mut self) -> u64 {
        self.last_revision += 1;
        self.last_revision
    }

    /// Starts or restarts a controller with the version that has this table.
    fn start(&mut self, node: usize, table: &'static GateTable) {
        let gates = FeatureGates::new(table, BTreeSet::new());
        self.nodes[node] = Node { gates, is_alive: true };
        let revision = self.next_revision();
        self.members.insert(node.to_string(), revision);
        self.read(node);
    }

    /// Lets the controller's lease at the state service expire.
    fn expire(&mut self, node: usize) {
        self.nodes[node].is_alive = false;
        self.members.remove(&node.to_string());
    }

    /// Lets the controller read the activation record and all capabilities.
    fn read(&mut self, node: usize) {
        let gates = &mut self.nodes[node].gates;
        let status = gates.interpret(Some(self.active.clone()));
        gates.set_status(status, self.active_revision);
        gates.set_capabilities(self.capabilities.clone());
    }

    /// Lets the controller send its capabilities if they have to be published.
    fn publish(&mut self, node: usize) {
        let name = node.to_string();
        let Some(membership_revision) = self.members.get(&name).copied() else { return };
        let gates = &self.nodes[node].gates;
        if gates.must_publish_capabilities(&name, Some(membership_revision)) {
            let record = CapabilityRecord {
                membership_revision: Some(membership_revision),
                ..gates.own_capabilities()
            };
            self.publications.push(PublicationInFlight { node: name, record, membership_revision });
        }
    }

    /// Lets the controller, which is the leader or believes to be, send the next activation if
    /// there is one.
    fn activate(&mut self, node: usize) {
        let configured: Vec<String> = (0..self.nodes.len()).map(|n| n.to_string()).collect();
        let gates = &mut self.nodes[node].gates;
        let revision = gates.revision();
        if let Some(planned) = gates.next_activation(0, &configured, &self.members) {
            self.activations.push(ActivationInFlight { planned, revision });
        }
    }

    /// Applies a capability write in the store if its guard holds.
    fn apply_publication(&mut self, position: usize) {
        if position >= self.publications.len() {
            return;
        }
        let publication = self.publications.remove(position);
        if self.members.get(&publication.node) == Some(&publication.membership_revision) {
            let stored =
                StoredCapabilities { record: publication.record, revision: self.next_revision() };
            self.capabilities.insert(publication.node, stored);
        }
    }

    fn guard_holds(&self, guard: &ActivationGuard) -> bool {
        match guard {
            ActivationGuard::Membership { node, revision } => {
                self.members.get(node) == Some(revision)
            }
            ActivationGuard::Capabilities { node, revision } => {
                self.capabilities.get(node).is_some_and(|stored| stored.revision == *revision)
            }
        }
    }

    /// Applies an activation write in the store if its guards hold.
    fn apply_activation(&mut self, position: usize) {
        if position >= self.activations.len() {
            return;
        }
        let ActivationInFlight { planned, revision } = self.activations.remove(position);
        let guards_hold = planned.guards.iter().all(|guard| self.guard_holds(guard));
        if self.active_revision != revision || !guards_hold {
            return;
        }
        self.check_activation(&planned.record);
        self.active = planned.record;
        self.active_revision = self.next_revision();
    }

    /// Checks that an activation is a single step, undoes nothing, and is supported by every
    /// controller, including those that are not alive.
    fn check_activation(&self, new: &ActivationRecord) {
        let old = &self.active;
        assert!(new.includes(old) && new != old, "{old:?} -> {new:?}");
        let added_features = new.features.difference(&old.features).count() as u32;
        assert_eq!(new.version - old.version + added_features, 1, "not a single step");
        for (number, node) in self.nodes.iter().enumerate() {
            let status = node.gates.interpret(Some(new.clone()));
            let is_supported = matches!(status, ActivationStatus::Active(_));
            assert!(is_supported, "controller {number} does not support {new:?}");
        }
    }

    /// Returns whether a controller may be replaced by the older version: only while nothing is
    /// active that the older version does not support.
    fn may_roll_back(&self) -> bool {
        self.active.version <= 3 && !self.active.features.contains("b")
    }

    /// Replaces every controller by the newer version and applies all writes.
    fn finish_rollout(&mut self) {
        let nodes = 0..self.nodes.len();
        nodes.clone().for_each(|node| self.start(node, &NEW));
        for _ in 0..6 {
            for node in nodes.clone() {
                self.read(node);
                self.publish(node);
                while !self.publications.is_empty() {
                    self.apply_publication(0);
                }
            }
            nodes.clone().for_each(|node| self.read(node));
            self.activate(0);
            while !self.activations.is_empty() {
                self.apply_activation(0);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// In any order of starts, lease expiries, reads and delayed writes, `check_activation` holds
    /// for every activation, and once all controllers run the newer version everything is
    /// activated.
    #[test]
    fn no_step_is_activated_that_a_controller_does_not_support(
        operations in prop::collection::vec((0..8u8, 0..3usize, 0..4usize), 20..160),
    ) {
        let mut model = Model::new(3);
        for (operation, node, position) in operations {
            match operation {
                0 => model.start(node, &NEW),
                1 if model.may_roll_back() => model.start(node, &OLD),
                2 => model.expire(node),
                3 if model.nodes[node].is_alive => model.read(node),
                4 if model.nodes[node].is_alive => model.publish(node),
                5 if model.nodes[node].is_alive => model.activate(node),
                6 => model.apply_publication(position),
                _ => model.apply_activation(position),
            }
        }
        model.finish_rollout();
        prop_assert_eq!(model.active.version, 4);
        prop_assert_eq!(model.active.features.len(), 2);
    }
}
