//! Calls made by the membership module, and the routing of their outcomes.

use crate::controller::Controller;
use crate::Outcome;

/// Purpose of a call made by the membership module.
#[derive(Debug)]
pub(crate) enum MembershipCall {
    /// Requests a lease for this controller.
    GrantLease {
        sent_ms: u64,
    },
    RenewLease {
        sent_ms: u64,
    },
    /// A write whose outcome is ignored: a watch, or the next attempt, shows whether it took
    /// effect.
    UnconfirmedWrite,
    ReadControlKeys {
        sent_ms: u64,
    },
    WatchControlKeys {
        sent_ms: u64,
    },
    /// Campaigns for the leadership of an epoch.
    Elect {
        epoch: u64,
    },
    WatchHandoffQueue {
        sent_ms: u64,
        epoch: u64,
    },
    /// Lists the handoff queue. From the second page on, the call carries the revision of the first
    /// page.
    ListHandoffQueue {
        list_revision: Option<u64>,
        epoch: u64,
    },
    /// Reads the changes of the handoff queue, to renew the start lease.
    ReadHandoffChanges {
        sent_ms: u64,
        epoch: u64,
    },
    /// A heartbeat to a peer, sent as the leader of `epoch`; 0 if this controller did not lead.
    PeerHeartbeat {
        peer: usize,
        sent_ms: u64,
        epoch: u64,
    },
}

impl Controller {
    /// Routes the outcome of a membership call. Outcomes for the handoff queue apply to the
    /// leader's in-memory state of the epoch in which the call was made, and are dropped in any
    /// other epoch.
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
            | MembershipCall::ReadHandoffChanges { epoch, .. }
                if epoch != current => {}
            MembershipCall::WatchHandoffQueue { sent_ms, .. } => {
                self.on_handoff_queue_changed(sent_ms, outcome)
            }
            MembershipCall::ListHandoffQueue { list_revision, .. } => {
                self.on_handoff_queue_listed(list_revision, outcome)
            }
            MembershipCall::ReadHandoffChanges { sent_ms, .. } => {
                self.on_handoff_changes_read(sent_ms, outcome)
            }
            MembershipCall::PeerHeartbeat { peer, sent_ms, epoch } => {
                self.on_peer_heartbeat_answered(peer, sent_ms, epoch, outcome)
            }
        }
    }
}
