//! Calls made by the lease proxy and its mailbox, and the routing of their outcomes.

use crate::controller::Controller;
use crate::Outcome;

/// Purpose of a call made by the lease proxy module.
#[derive(Debug)]
pub(crate) enum LeaseProxyCall {
    /// Records a claim attached to this lease, under this epoch.
    Claim { epoch: u64, lease_id: u64 },
    /// Deletes a claim that is no longer needed. The watch of the claims shows whether it was
    /// deleted.
    DeleteClaim,
    /// Writes a mailbox record that contains the orders with these identifiers.
    WriteMailbox { order_ids: Vec<u64> },
    /// Forwards orders from the leader's mailbox record to a worker.
    ForwardOrders { leader: usize, order_id: u64 },
}

impl Controller {
    /// Routes the outcome of a lease proxy call.
    pub(crate) fn on_lease_proxy_outcome(&mut self, call: LeaseProxyCall, outcome: Outcome) {
        match call {
            LeaseProxyCall::Claim { epoch, lease_id } => {
                self.on_claim_written(epoch, lease_id, outcome)
            }
            LeaseProxyCall::DeleteClaim => {}
            LeaseProxyCall::WriteMailbox { order_ids } => {
                self.on_mailbox_written(order_ids, outcome)
            }
            LeaseProxyCall::ForwardOrders { leader, order_id } => {
                self.on_orders_forwarded(leader, order_id, outcome)
            }
        }
    }
}
