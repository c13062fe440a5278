//! Mailbox: messages that a leader and a lease proxy exchange through the store while they cannot
//! reach each other. The proxy mails the heartbeats of its workers. The leader mails orders for
//! those workers; the proxy forwards the orders and mails the replies back.
//!
//! A mailbox record is one key for each ordered pair of controllers, replaced by each write. Its
//! key has the prefix of the control keys, so the watch of the control keys delivers it. Like any
//! message, a record may be late or lost. Heartbeats are therefore ordered by agent epoch and
//! sequence number, orders take effect only if their fencing token and agent epoch match, and the
//! outcome of orders without a reply is indeterminate.

mod delivery;
mod outbox;
mod records;
mod sending;

use std::collections::BTreeMap;

use quartzgate_wire::msg::{Heartbeat, OrdersRequest};

pub(crate) use records::Envelope;

use crate::context::Context;
use crate::ids::{scoped_to_epoch, MachineIndex, TaskKey};
use outbox::{is_newer, Outbox};
use records::Reply;

/// Mailed orders that wait for their reply.
struct MailedOrders {
    machine: MachineIndex,
    fencing_token: u64,
    starts: Vec<(TaskKey, u64)>,
    /// Time, in steady milliseconds, from which the outcome counts as indeterminate.
    deadline_ms: u64,
}

/// The last heartbeat of a machine that was mailed, and when.
struct MailedHeartbeat {
    heartbeat: Heartbeat,
    mailed_ms: u64,
}

/// Outgoing messages, and the mailed messages that are still tracked.
#[derive(Default)]
pub(crate) struct Mailbox {
    /// Outboxes by the peer's index in the settings.
    outboxes: BTreeMap<usize, Outbox>,
    mailed_orders: BTreeMap<u64, MailedOrders>,
    next_order: u64,
    write_in_flight: bool,
    /// Earliest time for the next write of a record.
    due_ms: u64,
    mailed_heartbeats: BTreeMap<String, MailedHeartbeat>,
}

impl Mailbox {
    /// Discards all messages, because they belong to another epoch. Order identifiers are never
    /// reused, and a write in flight is still tracked.
    fn clear(&mut self) {
        let (next_order, write_in_flight) = (self.next_order, self.write_in_flight);
        *self = Mailbox { next_order, write_in_flight, ..Default::default() };
    }

    fn next_order_id(&mut self, epoch: u64) -> u64 {
        let id = scoped_to_epoch(epoch, self.next_order);
        self.next_order += 1;
        id
    }

    fn add_orders(
        &mut self,
        peer: usize,
        id: u64,
        addr: String,
        orders: OrdersRequest,
        mailed: MailedOrders,
    ) {
        self.mailed_orders.insert(id, mailed);
        self.outboxes.entry(peer).or_default().add_orders(Envelope { id, addr, orders });
    }

    /// Removes and returns orders whose outcome has become known.
    fn finish_orders(&mut self, id: u64) -> Option<MailedOrders> {
        let mailed = self.mailed_orders.remove(&id)?;
        self.outboxes.values_mut().for_each(|outbox| outbox.remove_orders(id));
        Some(mailed)
    }

    /// Returns the identifiers of orders whose reply deadline has passed.
    fn overdue_orders(&self, now_ms: u64) -> Vec<u64> {
        let overdue = self.mailed_orders.iter().filter(|(_, orders)| now_ms >= orders.deadline_ms);
        overdue.map(|(id, _)| *id).collect()
    }

    fn add_reply(&mut self, peer: usize, reply: Reply, context: &Context) {
        self.outboxes.entry(peer).or_default().add_reply(reply, &context.config);
    }

    /// Adds a proxied worker's heartbeat if it contains anything new.
    fn add_heartbeat(&mut self, peer: usize, heartbeat: &Heartbeat, context: &Context) {
        if !self.already_mailed(heartbeat, context) {
            self.outboxes.entry(peer).or_default().add_heartbeat(heartbeat, &context.config);
        }
    }

    /// Returns whether a heartbeat contains nothing new. Because a record may be lost, unchanged
    /// content counts as new again after half a lease.
    fn already_mailed(&self, heartbeat: &Heartbeat, context: &Context) -> bool {
        let Some(mailed) = self.mailed_heartbeats.get(&heartbeat.machine) else { return false };
        let repeat_ms = context.config.lease_ms() / 2;
        let recent = mailed.mailed_ms > context.now.steady_ms.saturating_sub(repeat_ms);
        let unchanged = recent && same_content(heartbeat, &mailed.heartbeat);
        unchanged || !is_newer(heartbeat, &mailed.heartbeat)
    }

    fn note_mailed_heartbeat(&mut self, heartbeat: &Heartbeat, now_ms: u64) {
        let mailed = MailedHeartbeat { heartbeat: heartbeat.clone(), mailed_ms: now_ms };
        self.mailed_heartbeats.insert(heartbeat.machine.clone(), mailed);
    }

    /// Forgets which heartbeats were mailed, because a record may not have been written and its
    /// heartbeats must be mailed again.
    fn forget_mailed_heartbeats(&mut self) {
        self.mailed_heartbeats.clear();
    }

    /// Returns the first peer with a non-empty outbox.
    fn next_peer(&self) -> Option<usize> {
        let waiting = self.outboxes.iter().find(|(_, outbox)| !outbox.is_empty());
        waiting.map(|(peer, _)| *peer)
    }
}

/// Returns whether two heartbeats of a machine carry the same information for the leader.
fn same_content(heartbeat: &Heartbeat, other: &Heartbeat) -> bool {
    let interrupted = heartbeat.interruption_notice_s.is_some();
    heartbeat.agent_epoch == other.agent_epoch
        && heartbeat.fencing_token == other.fencing_token
        && heartbeat.tasks == other.tasks
        && interrupted == other.interruption_notice_s.is_some()
}
