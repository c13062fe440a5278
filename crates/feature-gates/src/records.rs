//! The records that the state service keeps about formats and features.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// Format that is in use while no activation record exists.
pub(crate) const INITIAL_FORMAT: u32 = 1;

/// What is active for all controllers, permanently. The record does not exist before the
/// second format is activated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActivationRecord {
    /// Active format of the stored records.
    pub version: u32,
    /// Names of the active features that have an activation step of their own.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub features: BTreeSet<String>,
}

impl ActivationRecord {
    /// The state before anything was activated.
    pub fn initial() -> Self {
        ActivationRecord { version: INITIAL_FORMAT, features: BTreeSet::new() }
    }

    /// Whether everything that is active in `other` is active here as well.
    pub fn includes(&self, other: &ActivationRecord) -> bool {
        self.version >= other.version && self.features.is_superset(&other.features)
    }
}

/// What one controller supports and consents to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapabilityRecord {
    /// Newest format that the controller reads and writes, as far as its operators consent.
    pub version: u32,
    /// Names of the features with an activation step of their own that it supports and its
    /// operators consent to.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub features: BTreeSet<String>,
    /// Names of the steps that it supports and its operators withhold.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub withheld: BTreeSet<String>,
    /// Revision of the membership key that the controller held on its lease when it published
    /// this record. It ties the record to one run of the process: a controller that was
    /// restarted, perhaps with an older version, holds a key of another revision. Versions
    /// without feature gates publish none.
    #[serde(rename = "life", default, skip_serializing_if = "Option::is_none")]
    pub membership_revision: Option<u64>,
}

impl CapabilityRecord {
    /// Whether both records state the same capabilities, whichever run they were published in.
    pub fn has_same_capabilities(&self, other: &CapabilityRecord) -> bool {
        self.version == other.version
            && self.features == other.features
            && self.withheld == other.withheld
    }
}

/// A capability record as it was read from the state service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredCapabilities {
    /// The record.
    pub record: CapabilityRecord,
    /// Revision of the record's key.
    pub revision: u64,
}
