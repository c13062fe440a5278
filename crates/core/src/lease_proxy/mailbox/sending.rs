//! Sending: fills the outboxes and writes the mailbox records.

use quartzgate_wire::msg::{Change, Guard, Heartbeat, OrdersRequest, Transaction};
use quartzgate_wire::to_cbor;

use super::outbox::OutboxBatch;
use super::records::{Envelope, MailboxRecord};
use super::{Mailbox, MailedOrders};
use crate::controller::Controller;
use crate::fleet::{has_starts, without_starts};
use crate::ids::{MachineIndex, TaskKey};
use crate::lease_proxy::LeaseProxyCall;
use crate::storage::records::{encode, mailbox_key, EPOCH_KEY};
use crate::Outcome;

/// Fraction of the largest allowed value that a mailbox record may fill.
const RECORD_FILL_FRACTION: f64 = 0.9;
/// Interval between two writes, as a multiple of the write batch interval, so that several messages
/// are collected in each record.
const BATCH_INTERVALS_PER_WRITE: u64 = 3;

/// Lease and epoch under which a mailbox record is written.
struct WriteConditions {
    lease_id: u64,
    epoch: u64,
    epoch_revision: u64,
}

impl Mailbox {
    /// Removes and returns the entries that fit into the next record for a peer.
    fn take_batch(&mut self, peer: usize, max_bytes: usize, now_ms: u64) -> Option<OutboxBatch> {
        let batch = self.outboxes.get_mut(&peer)?.take_batch(max_bytes);
        for heartbeat in &batch.heartbeats {
            self.note_mailed_heartbeat(heartbeat, now_ms);
        }
        if self.outboxes.get(&peer).is_some_and(|outbox| outbox.is_empty()) {
            self.outboxes.remove(&peer);
        }
        Some(batch)
    }

    fn on_write_sent(&mut self, due_ms: u64) {
        self.write_in_flight = true;
        self.due_ms = due_ms;
    }
}

impl Controller {
    /// Returns how long the mailbox may take to deliver orders and return their reply.
    pub(super) fn mailbox_timeout_ms(&self) -> u64 {
        self.context.config.max_heartbeat_hold_ms()
    }

    /// Returns the lease proxy through which a machine can be commanded if the machine cannot be
    /// reached directly.
    pub(crate) fn mailbox_route(&self, machine: MachineIndex) -> Option<usize> {
        let machine = self.machines.get(machine)?;
        let peer = machine.lease_proxy.filter(|_| machine.directly_unreachable)?;
        let node = &self.context.config.platform.siblings[peer].node;
        self.membership.has_proxy_claim(node).then_some(peer)
    }

    /// Queues orders for a machine to be mailed to its lease proxy.
    pub(crate) fn mail_orders(
        &mut self,
        peer: usize,
        machine: MachineIndex,
        addr: String,
        orders: OrdersRequest,
        starts: Vec<(TaskKey, u64)>,
    ) {
        let deadline_ms = self.context.now.steady_ms + self.mailbox_timeout_ms();
        let id = self.mailbox.next_order_id(self.epoch());
        let fencing_token = orders.fencing_token;
        let mailed = MailedOrders { machine, fencing_token, starts, deadline_ms };
        self.mailbox.add_orders(peer, id, addr, orders, mailed);
    }

    /// Queues a proxied worker's heartbeat to be mailed to the leader if it contains anything new.
    pub(crate) fn mail_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let Some(leader) = self.leader_index() else { return };
        self.mailbox.add_heartbeat(leader, heartbeat, &self.context);
    }

    /// Empties the mailbox, because its messages belong to another epoch.
    pub(crate) fn clear_mailbox(&mut self) {
        self.mailbox.clear();
    }

    /// Times out orders without a reply, and writes the next record if that is due.
    pub(crate) fn tick_mailbox(&mut self) {
        let now = self.context.now.steady_ms;
        for id in self.mailbox.overdue_orders(now) {
            self.finish_mailed_orders(id, Outcome::Lost);
        }
        if self.mailbox.write_in_flight || now < self.mailbox.due_ms || !self.store_reachable() {
            return;
        }
        let Some(peer) = self.mailbox.next_peer() else { return };
        let Some(conditions) = self.mailbox_write_conditions() else { return };
        if self.record_writer.write_limiter.take(now, 1.0, 0.0) {
            self.write_mailbox(peer, conditions);
        }
    }

    fn mailbox_write_conditions(&self) -> Option<WriteConditions> {
        Some(WriteConditions {
            lease_id: self.controller_lease_id()?,
            epoch: self.observed_epoch()?,
            epoch_revision: self.observed_epoch_revision()?,
        })
    }

    fn write_mailbox(&mut self, peer: usize, conditions: WriteConditions) {
        let now = self.context.now;
        let max_bytes = (self.max_value_bytes() as f64 * RECORD_FILL_FRACTION) as usize;
        self.drop_oversize(peer, max_bytes);
        let Some(batch) = self.mailbox.take_batch(peer, max_bytes, now.steady_ms) else { return };
        let order_ids = batch.orders.iter().map(|envelope| envelope.id).collect();
        let may_start_tasks = self.may_start_tasks();
        let drop_forbidden_starts = |envelope: Envelope| Envelope {
            orders: match may_start_tasks {
                true => self.without_terminal_starts(envelope.orders),
                false => without_starts(envelope.orders),
            },
            ..envelope
        };
        let orders: Vec<Envelope> = batch.orders.into_iter().map(drop_forbidden_starts).collect();
        let send_within_ms = match orders.iter().any(|envelope| has_starts(&envelope.orders)) {
            true => self.start_lease_left_ms(),
            false => u64::MAX,
        };
        let record = MailboxRecord {
            epoch: conditions.epoch,
            written_at_ms: now.wall_ms,
            orders,
            replies: batch.replies,
            heartbeats: batch.heartbeats,
        };
        let platform = &self.context.config.platform;
        let key = mailbox_key(&platform.siblings[peer].node, &platform.node);
        let lease_id = Some(conditions.lease_id);
        let body = to_cbor(&Transaction {
            guards: vec![Guard { key: EPOCH_KEY.into(), revision: conditions.epoch_revision }],
            apply: vec![Change::Set { set: key, value: encode(&record), lease_id }],
        });
        let pause_ms = BATCH_INTERVALS_PER_WRITE * self.context.config.write_batch_ms();
        self.mailbox.on_write_sent(now.steady_ms + pause_ms);
        let call = LeaseProxyCall::WriteMailbox { order_ids };
        self.lease_proxy.write_store_within(&mut self.context, body, send_within_ms, call);
    }

    /// Drops the contents that are too large for any record; oversize orders count as not sent.
    fn drop_oversize(&mut self, peer: usize, max_bytes: usize) {
        let Some(outbox) = self.mailbox.outboxes.get_mut(&peer) else { return };
        for id in outbox.drop_oversize(max_bytes) {
            tracing::info!(id, "orders too large for a mailbox record; not sent");
            self.finish_mailed_orders(id, Outcome::NotSent);
        }
    }

    /// Handles the outcome of the write of a mailbox record.
    pub(in crate::lease_proxy) fn on_mailbox_written(
        &mut self,
        order_ids: Vec<u64>,
        outcome: Outcome,
    ) {
        self.mailbox.write_in_flight = false;
        let Outcome::Answer(response) = outcome else {
            // The write is indeterminate: replies or the timeout decide the outcome of the orders.
            return self.mailbox.forget_mailed_heartbeats();
        };
        if response.status == 200 {
            return self.note_store_answer();
        }
        // The write was refused, so no controller has read the record.
        self.mailbox.forget_mailed_heartbeats();
        for id in order_ids {
            self.finish_mailed_orders(id, Outcome::NotSent);
        }
    }

    /// Completes mailed orders, and applies their outcome to the machine.
    pub(super) fn finish_mailed_orders(&mut self, id: u64, outcome: Outcome) {
        if let Some(mailed) = self.mailbox.finish_orders(id) {
            let MailedOrders { machine, fencing_token, starts, .. } = mailed;
            self.on_command_outcome(machine, fencing_token, starts, outcome);
        }
    }
}
