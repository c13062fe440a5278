//! Lease proxy claims as observed in the control keys.
//!
//! While a claim exists, and until the last lease that its proxy may have renewed has expired, the
//! leader must not assume that a silent machine runs no tasks.

use std::collections::BTreeMap;

use crate::config::Config;

/// Claims that are known to exist, by controller.
#[derive(Debug, Default)]
pub(super) struct ProxyClaims {
    revisions: BTreeMap<String, u64>,
    /// When a claim was last seen to appear or disappear; 0 if never.
    changed_ms: u64,
}

impl ProxyClaims {
    /// Returns whether no claim is known to exist.
    pub fn is_empty(&self) -> bool {
        self.revisions.is_empty()
    }

    /// Returns whether a controller's claim is known to exist.
    pub fn contains(&self, node: &str) -> bool {
        self.revisions.contains_key(node)
    }

    /// Returns the store revision of a controller's claim, if the claim is known to exist.
    pub fn revision(&self, node: &str) -> Option<u64> {
        self.revisions.get(node).copied()
    }

    /// Returns the controllers with a claim, in the order of their names.
    pub fn nodes(&self) -> Vec<String> {
        self.revisions.keys().cloned().collect()
    }

    /// Records a full read of the control keys. It counts as a change of the claims, because claims
    /// may have appeared and disappeared unseen before the read.
    pub fn on_reread(&mut self, now_ms: u64) {
        self.changed_ms = now_ms;
    }

    /// Records that a claim exists with the given revision, or that it does not exist. Returns
    /// whether this changes which claims are known to exist.
    pub fn observe(&mut self, node: &str, revision: Option<u64>, now_ms: u64) -> bool {
        self.changed_ms = now_ms;
        let existed = self.contains(node);
        match revision {
            Some(revision) => self.revisions.insert(node.to_string(), revision),
            None => self.revisions.remove(node),
        };
        existed != revision.is_some()
    }

    /// Returns the latest time up to which provably no proxy renewed a worker's lease, given that
    /// the claims are known up to `known_until_ms`; 0 while this cannot be proven.
    pub fn unproxied_until_ms(&self, known_until_ms: u64, config: &Config) -> u64 {
        let recent =
            self.changed_ms > 0 && known_until_ms < self.changed_ms + config.lease_expiry_ms();
        if !self.is_empty() || recent {
            return 0;
        }
        known_until_ms
    }
}
