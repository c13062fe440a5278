//! The calls that membership makes, and the routing of their outcomes.

use crate::controller::Controller;
use crate::Outcome;

/// What a call of membership was for.
#[derive(Debug)]
pub(crate) enum MembershipCall {
    /// Asks the store for a lease of this controller.
    GrantLease {
        sent_ms: u64,
    },
    RenewLease {
        sent_ms: u64,
    },
    /// A write that is not followed up: a watch, or the next attempt, shows whether it took effect.
    UnconfirmedWrite,
    ReadControlKeys {
        sent_ms: u64,
    },
    WatchControlKeys {
        sent_ms: u64,
    },
    /// Asks the store for the leadership of an epoch.
    Elect {
        epoch: u64,
    },
    WatchHandoffQueue {
        sent_ms: u64,
        epoch: u64,
    },
    /// Lists the handoff queue; from the second page on with the revision of the first.
    ListHandoffQueue {
        list_revision: Option<u64>,
        epoch: u64,
    },
    PeerHeartbeat {
        peer: usize,
    },
}

impl Controller {
    /// Routes the outcome of a call of membership. Outcomes for the handoff queue concern the
    /// leader's memory of the epoch in which they were asked for, and are dropped after it.
    pub(crate) fn on_membership_outcome(&mut self, call: MembershipCall, outcome: Outcome) {
        let current = self.epoch();
        match call {
            MembershipCall::GrantLease { sent_ms } => self.on_lease_granted(sent_ms, outcome),
            MembershipCall::RenewLease { sent_ms } => self.on_lease_renewed(sent_ms, outcome),
            MembershipCall::UnconfirmedWrite => {}
            MembershipCall::ReadControlKeys { sent_ms } => {
                self.on_control_keys_read(sent_ms, outcome)
            }
            MembershipCall::WatchControlKeys { sent_ms } => {
                self.on_control_keys_changed(sent_ms, outcome)
            }
            MembershipCall::Elect { epoch } => self.on_election_outcome(epoch, outcome),
            MembershipCall::WatchHandoffQueue { epoch, .. }
            | MembershipCall::ListHandoffQueue { epoch, .. }
                if epoch != current => {}
            MembershipCall::WatchHandoffQueue { sent_ms, .. } => {
                self.on_handoff_queue_changed(sent_ms, outcome)
            }
            MembershipCall::ListHandoffQueue { list_revision, .. } => {
                self.on_handoff_queue_listed(list_revision, outcome)
            }
            MembershipCall::PeerHeartbeat { peer } => {
                self.on_peer_heartbeat_answered(peer, outcome)
            }
        }
    }
}
