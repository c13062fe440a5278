//! What is kept at the state service about formats and features.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// What all controllers go by, for ever. There is none before the second version of the
/// records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StandingRecord {
    /// Version of the records.
    pub version: u32,
    /// Features switched on by a step of their own, by name.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub features: BTreeSet<String>,
}

impl StandingRecord {
    /// How things stand before anything was switched on.
    pub fn first() -> Self {
        StandingRecord { version: 1, features: BTreeSet::new() }
    }

    /// Whether all that stands in the other stands in this one as well.
    pub fn covers(&self, other: &StandingRecord) -> bool {
        self.version >= other.version && self.features.is_superset(&other.features)
    }
}

/// What one controller can do and agrees to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Newest version of the records that it reads and writes, as far as its operators
    /// agree to it.
    pub version: u32,
    /// Features with a step of their own that it knows and agrees to.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub features: BTreeSet<String>,
    /// Steps that it knows and its operators withhold.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub withheld: BTreeSet<String>,
    /// Stamp of the key that the controller holds on its lease while it lives, in the life
    /// in which it said this. Builds before the ladder leave none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub life: Option<u64>,
}

impl NodeRecord {
    /// Whether it says the same, in whichever life.
    pub fn says_like(&self, other: &NodeRecord) -> bool {
        (self.version, &self.features, &self.withheld)
            == (other.version, &other.features, &other.withheld)
    }
}
