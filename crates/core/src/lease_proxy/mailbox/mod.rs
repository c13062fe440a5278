//! Mailbox: what a leader and a lease proxy exchange through the store while they can't reach
//! each other. The proxy mails the heartbeats of its workers; the leader mails orders for them,
//! which the proxy forwards, and whose replies it mails back.
//!
//! A mailbox record is one key for each pair of controllers, replaced by each write, under the
//! prefix of the control keys, so that the watch of these shows it. Like any message it may be
//! late or lost: heartbeats are ordered by agent epoch and sequence number, orders match only
//! with their fencing token and agent epoch, and the outcome of orders without a reply is
//! indeterminate.

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

/// Orders that were mailed, and wait for their reply.
struct MailedOrders {
    machine: MachineIndex,
    fencing_token: u64,
    starts: Vec<(TaskKey, u64)>,
    /// When their outcome counts as indeterminate, in steady milliseconds.
    deadline_ms: u64,
}

/// The heartbeat of a machine that was mailed last, and when.
struct MailedHeartbeat {
    heartbeat: Heartbeat,
    mailed_ms: u64,
}

/// What waits to be mailed, and what was mailed.
#[derive(Default)]
pub(crate) struct Mailbox {
    /// By the peer's place in the settings.
    outboxes: BTreeMap<usize, Outbox>,
    mailed_orders: BTreeMap<u64, MailedOrders>,
    next_order: u64,
    write_in_flight: bool,
    /// When the next record may be written.
    due_ms: u64,
    mailed_heartbeats: BTreeMap<String, MailedHeartbeat>,
}

impl Mailbox {
    /// Forgets everything, as it belongs to another epoch; but identifiers are never reused, and
    /// a write that is in flight stays so.
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

    /// Takes out orders whose outcome is known now.
    fn finish_orders(&mut self, id: u64) -> Option<MailedOrders> {
        let mailed = self.mailed_orders.remove(&id)?;
        self.outboxes.values_mut().for_each(|outbox| outbox.remove_orders(id));
        Some(mailed)
    }

    /// Orders for whose replies it has waited long enough.
    fn overdue_orders(&self, now_ms: u64) -> Vec<u64> {
        let overdue = self.mailed_orders.iter().filter(|(_, orders)| now_ms >= orders.deadline_ms);
        overdue.map(|(id, _)| *id).collect()
    }

    fn add_reply(&mut self, peer: usize, reply: Reply, context: &Context) {
        self.outboxes.entry(peer).or_default().add_reply(reply, &context.config);
    }

    /// Adds a heartbeat of a proxied worker if there is anything new in it.
    fn add_heartbeat(&mut self, peer: usize, heartbeat: &Heartbeat, context: &Context) {
        if !self.has_mailed(heartbeat, context) {
            self.outboxes.entry(peer).or_default().add_heartbeat(heartbeat, &context.config);
        }
    }

    /// Whether there is nothing new in a heartbeat. As a record may be lost, what has not changed
    /// counts as new after half a lease.
    fn has_mailed(&self, heartbeat: &Heartbeat, context: &Context) -> bool {
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

    /// A record may not have been written: its heartbeats have to be mailed again.
    fn forget_mailed_heartbeats(&mut self) {
        self.mailed_heartbeats.clear();
    }

    /// The first peer for which something waits.
    fn next_peer(&self) -> Option<usize> {
        let waiting = self.outboxes.iter().find(|(_, outbox)| !outbox.is_empty());
        waiting.map(|(peer, _)| *peer)
    }
}

/// Whether two heartbeats of a machine tell the leader the same.
fn same_content(heartbeat: &Heartbeat, other: &Heartbeat) -> bool {
    let interrupted = heartbeat.interruption_notice_s.is_some();
    heartbeat.agent_epoch == other.agent_epoch
        && heartbeat.fencing_token == other.fencing_token
        && heartbeat.tasks == other.tasks
        && interrupted == other.interruption_notice_s.is_some()
}
