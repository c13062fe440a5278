//! This controller's lease proxy claim.
//!
//! A claim is a key in the store, attached to this controller's lease. Its write is guarded by the
//! epoch record under which it is made. The claim is recorded before this controller renews any
//! worker's lease, so that a leader that looks for claims knows of every proxy.

use quartzgate_wire::msg::{Change, Guard, Transaction, TransactionAnswer};
use quartzgate_wire::{from_cbor, to_cbor};

use super::calls::LeaseProxyCall;
use crate::controller::Controller;
use crate::membership::Role;
use crate::storage::records::{encode, EPOCH_KEY, LEASE_PROXY_PREFIX};
use crate::Outcome;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ClaimState {
    #[default]
    None,
    Requested,
    /// The claim is recorded in the store under the record of this epoch.
    Recorded {
        epoch: u64,
    },
}

/// State of the claim, and when it is next written or deleted.
#[derive(Debug, Default)]
pub(super) struct ProxyClaim {
    state: ClaimState,
    /// Earliest time for the next write or deletion of the claim.
    retry_ms: u64,
    /// When a worker last needed the claim, in steady milliseconds.
    used_ms: u64,
}

impl ProxyClaim {
    /// Returns whether a claim is recorded under `epoch`.
    pub fn is_recorded(&self, epoch: u64) -> bool {
        self.state == ClaimState::Recorded { epoch }
    }

    /// Records that a worker needs the claim now.
    pub fn mark_used(&mut self, now_ms: u64) {
        self.used_ms = now_ms;
    }
}

impl Controller {
    fn claim_key(&self) -> String {
        format!("{LEASE_PROXY_PREFIX}{}", self.context.config.platform.node)
    }

    /// Changes the state of the claim. No other function does. The state kept for proxied workers
    /// is cleared when a recorded claim ends.
    fn set_claim(&mut self, state: ClaimState) {
        let old = std::mem::replace(&mut self.lease_proxy.claim.state, state);
        if old == state {
            return;
        }
        match (state, old) {
            (ClaimState::Recorded { epoch }, _) => {
                tracing::info!(epoch, "lease proxy started for workers that can't reach the leader")
            }
            (ClaimState::None, ClaimState::Recorded { .. }) => {
                self.lease_proxy.jobs.clear();
                self.lease_proxy.fencing.clear();
                self.clear_mailbox()
            }
            _ => {}
        }
    }

    /// Writes a claim that this controller is a lease proxy under the given epoch.
    pub(super) fn request_claim(&mut self, epoch: u64) {
        let now = self.context.now.steady_ms;
        let claim = &self.lease_proxy.claim;
        if claim.state == ClaimState::Requested || now < claim.retry_ms {
            return;
        }
        let (Some(lease_id), Some(revision)) =
            (self.controller_lease_id(), self.observed_epoch_revision())
        else {
            return;
        };
        if !self.record_writer.write_limiter.take(now, 1.0, 0.0) {
            return;
        }
        self.lease_proxy.claim.retry_ms = now + self.context.config.heartbeat_interval_ms();
        self.set_claim(ClaimState::Requested);
        let set =
            Change::Set { set: self.claim_key(), value: encode(&epoch), lease_id: Some(lease_id) };
        let guards = vec![Guard { key: EPOCH_KEY.into(), revision }];
        let body = to_cbor(&Transaction { guards, apply: vec![set] });
        let call = LeaseProxyCall::Claim { epoch, lease_id };
        self.lease_proxy.write_store(&mut self.context, body, call);
    }

    /// Handles the outcome of the write of the claim.
    pub(super) fn on_claim_written(&mut self, epoch: u64, lease_id: u64, outcome: Outcome) {
        let written = match outcome {
            Outcome::Answer(response) if response.status == 200 => {
                self.note_store_answer();
                from_cbor::<TransactionAnswer>(&response.body).is_ok()
            }
            _ => false,
        };
        // A claim disappears with the lease that it is attached to.
        let recorded = written && self.controller_lease_id() == Some(lease_id);
        self.set_claim(if recorded { ClaimState::Recorded { epoch } } else { ClaimState::None });
    }

    /// Drops the claim, because the lease that it was attached to no longer exists.
    pub(crate) fn release_claim(&mut self) {
        self.set_claim(ClaimState::None);
    }

    /// Ends a claim that is no longer needed or valid, and deletes the key of an earlier claim that
    /// is still in the store.
    pub(super) fn tick_claim(&mut self) {
        self.end_unneeded_claim();
        self.delete_leftover_claim();
    }

    fn end_unneeded_claim(&mut self) {
        let claim = &self.lease_proxy.claim;
        let ClaimState::Recorded { epoch } = claim.state else { return };
        let unused = self.context.now.steady_ms > claim.used_ms + self.context.config.lease_ms();
        let epoch_changed = self.observed_epoch() != Some(epoch);
        if unused || epoch_changed || self.membership.role() != Role::Follower {
            self.set_claim(ClaimState::None);
        }
    }

    fn delete_leftover_claim(&mut self) {
        let now = self.context.now.steady_ms;
        let own_node = &self.context.config.platform.node;
        let Some(revision) = self.membership.proxy_claim_revision(own_node) else { return };
        if self.lease_proxy.claim.state != ClaimState::None
            || now < self.lease_proxy.claim.retry_ms
            || !self.record_writer.write_limiter.take(now, 1.0, 0.0)
        {
            return;
        }
        self.lease_proxy.claim.retry_ms = now + self.context.config.heartbeat_interval_ms();
        let key = self.claim_key();
        // The guard keeps a late deletion from removing a later claim.
        let guards = vec![Guard { key: key.clone(), revision }];
        let body = to_cbor(&Transaction { guards, apply: vec![Change::Delete { delete: key }] });
        self.lease_proxy.write_store(&mut self.context, body, LeaseProxyCall::DeleteClaim);
    }
}
