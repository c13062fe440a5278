//! Records of formats and features in the key-value store.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// Format of the records while no activation record exists.
pub(crate) const INITIAL_FORMAT: u32 = 1;

/// The formats and features that are active for all controllers. Activations are permanent. The
/// record does not exist before the second format is activated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActivationRecord {
    /// Active format of the stored records.
    pub version: u32,
    /// Names of the active features that have an activation step of their own.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub features: BTreeSet<String>,
}

impl ActivationRecord {
    /// Returns the state before the first activation: the initial format without features.
    pub fn initial() -> Self {
        ActivationRecord { version: INITIAL_FORMAT, features: BTreeSet::new() }
    }

    /// Returns whether everything that is active in `other` is active in `self` as well.
    pub fn includes(&self, other: &ActivationRecord) -> bool {
        self.version >= other.version && self.features.is_superset(&other.features)
    }
}

/// The formats and features that one controller supports and its operators consent to activate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapabilityRecord {
    /// Newest format that the controller can read and write and its operators consent to.
    pub version: u32,
    /// Names of the features with an activation step of their own that the controller supports and
    /// its operators consent to.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub features: BTreeSet<String>,
    /// Names of the steps that the controller supports but its operators withhold.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub withheld: BTreeSet<String>,
    /// Revision of the membership key, bound to its lease, that the controller held when it
    /// published this record. It identifies one run of the process: a controller that was
    /// restarted, possibly with an older version, holds a key of another revision. It is absent in
    /// records of versions without feature gates.
    #[serde(rename = "life", default, skip_serializing_if = "Option::is_none")]
    pub membership_revision: Option<u64>,
}

impl CapabilityRecord {
    /// Returns whether both records state the same capabilities, regardless of the run in which
    /// each was published.
    pub fn has_same_capabilities(&self, other: &CapabilityRecord) -> bool {
        self.version == other.version
            && self.features == other.features
            && self.withheld == other.withheld
    }
}

/// A capability record as it was read from the key-value store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredCapabilities {
    /// The capabilities as the controller published them.
    pub record: CapabilityRecord,
    /// Revision of the key under which they are stored.
    pub revision: u64,
}
