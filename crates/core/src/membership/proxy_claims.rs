//! Claims of lease proxies, as the control keys show them.
//!
//! While a claim exists, and until the last lease that its proxy may have renewed has expired,
//! the leader must not take a silent machine for empty.

use std::collections::BTreeMap;

use crate::config::Config;

/// The claims that are known to exist, by controller.
#[derive(Debug, Default)]
pub(super) struct ProxyClaims {
    revisions: BTreeMap<String, u64>,
    /// When a claim was last seen to appear or vanish; 0 if never.
    changed_ms: u64,
}

impl ProxyClaims {
    /// Whether no claim is known to exist.
    pub fn is_empty(&self) -> bool {
        self.revisions.is_empty()
    }

    /// Whether a controller's claim is known to exist.
    pub fn contains(&self, node: &str) -> bool {
        self.revisions.contains_key(node)
    }

    /// The store's revision of a controller's claim.
    pub fn revision(&self, node: &str) -> Option<u64> {
        self.revisions.get(node).copied()
    }

    /// Controllers with a claim, in the order of their names.
    pub fn nodes(&self) -> Vec<String> {
        self.revisions.keys().cloned().collect()
    }

    /// Claims may have appeared and vanished unseen before a full read: that counts as if one
    /// had just vanished.
    pub fn on_reread(&mut self, now_ms: u64) {
        self.changed_ms = now_ms;
    }

    /// Takes in that a claim exists with this revision, or that it is gone. True if that is new.
    pub fn observe(&mut self, node: &str, revision: Option<u64>, now_ms: u64) -> bool {
        self.changed_ms = now_ms;
        let existed = self.contains(node);
        match revision {
            Some(revision) => self.revisions.insert(node.to_string(), revision),
            None => self.revisions.remove(node),
        };
        existed != revision.is_some()
    }

    /// The latest moment up to which it is proven that no proxy renewed a worker's lease, given
    /// that the claims are known up to `known_ms`; 0 while that is not certain.
    pub fn unproxied_until_ms(&self, known_ms: u64, config: &Config) -> u64 {
        let recent = self.changed_ms > 0 && known_ms < self.changed_ms + config.lease_expiry_ms();
        if !self.is_empty() || recent {
            return 0;
        }
        known_ms
    }
}
