//! Delivery of mailbox records that peers have written for this controller.

use ciborium::value::Value;
use quartzgate_wire::http::Response;
use quartzgate_wire::msg::Heartbeat;
use quartzgate_wire::{from_cbor, to_cbor};

use super::records::{Envelope, MailboxRecord, Reply};
use crate::controller::Controller;
use crate::fleet::machines::is_plausible;
use crate::lease_proxy::LeaseProxyCall;
use crate::membership::Role;
use crate::storage::records::{decode, MAILBOX_PREFIX};
use crate::{Outcome, Peer};

impl Controller {
    /// Processes a mailbox record if it is addressed to this controller, belongs to the present
    /// epoch and is not outdated.
    pub(crate) fn on_mailbox_record(&mut self, key: &str, value: &Value) {
        let Some(peer) = self.mailbox_sender(key) else { return };
        let Some(record) = decode::<MailboxRecord>(value) else {
            let from = &self.context.config.platform.siblings[peer].node;
            tracing::error!(from, "mailbox record unreadable: ignored");
            return;
        };
        if self.is_outdated(&record) {
            return;
        }
        if self.membership.role() == Role::Follower {
            self.forward_mailed_orders(peer, record.orders);
        } else if self.may_command_workers() && self.leads() {
            self.observe_mailed(peer, record);
        }
    }

    /// Returns the peer that wrote a record, or `None` if the record is not addressed to this
    /// controller.
    fn mailbox_sender(&self, key: &str) -> Option<usize> {
        let (to, from) = key.strip_prefix(MAILBOX_PREFIX)?.split_once('/')?;
        let platform = &self.context.config.platform;
        let peer = platform.siblings.iter().position(|sibling| sibling.node == from)?;
        (to == platform.node).then_some(peer)
    }

    fn is_outdated(&self, record: &MailboxRecord) -> bool {
        // The wall clocks of both controllers may be off in opposite directions.
        let clock_skew_ms = (2.0 * self.context.config.platform.params.clock_off_ms) as u64;
        let valid_until_ms = record.written_at_ms + self.mailbox_timeout_ms() + clock_skew_ms;
        self.context.now.wall_ms > valid_until_ms || self.observed_epoch() != Some(record.epoch)
    }

    /// Forwards the leader's orders to the workers; ignores orders from any other controller.
    fn forward_mailed_orders(&mut self, peer: usize, orders: Vec<Envelope>) {
        if self.leader_index() != Some(peer) {
            return;
        }
        for envelope in orders {
            self.forward_orders(peer, envelope);
        }
    }

    /// Applies the heartbeats and replies that a lease proxy has mailed to the leader.
    fn observe_mailed(&mut self, peer: usize, record: MailboxRecord) {
        for heartbeat in record.heartbeats.into_iter().filter(is_plausible) {
            self.observe_mailed_heartbeat(peer, heartbeat);
        }
        for reply in record.replies {
            let outcome = match reply.heartbeat {
                Some(heartbeat) => Outcome::Answer(Response::new(200, to_cbor(&heartbeat))),
                None => Outcome::Lost,
            };
            self.finish_mailed_orders(reply.id, outcome);
        }
    }

    /// Applies a heartbeat received by a lease proxy, which is responsible for the worker's lease.
    fn observe_mailed_heartbeat(&mut self, peer: usize, heartbeat: Heartbeat) {
        let index = self.find_or_add_machine(&heartbeat.machine);
        self.apply_heartbeat_status_if_newer(index, heartbeat);
        if let Some(machine) = self.machines.get_mut(index) {
            machine.lease_proxy = Some(peer);
        }
        self.machines_to_command.insert(index);
    }

    fn forward_orders(&mut self, leader: usize, envelope: Envelope) {
        let Ok(addr) = envelope.addr.parse() else { return };
        let timeout_ms = self.context.config.worker_timeout_ms();
        let body = to_cbor(&self.without_terminal_starts(envelope.orders));
        let call = LeaseProxyCall::ForwardOrders { leader, order_id: envelope.id };
        let peer = Peer::Worker(addr);
        self.lease_proxy.call(&mut self.context, peer, "/orders", body, timeout_ms, call);
    }

    /// Mails a worker's reply to forwarded orders back to the leader.
    pub(in crate::lease_proxy) fn on_orders_forwarded(
        &mut self,
        leader: usize,
        order_id: u64,
        outcome: Outcome,
    ) {
        let heartbeat = match outcome {
            Outcome::Answer(response) if matches!(response.status, 200 | 409) => {
                from_cbor::<Heartbeat>(&response.body).ok()
            }
            _ => None,
        };
        if let Some(heartbeat) = heartbeat.as_ref().filter(|heartbeat| is_plausible(heartbeat)) {
            self.mailbox.note_mailed_heartbeat(heartbeat, self.context.now.steady_ms);
        }
        self.mailbox.add_reply(leader, Reply { id: order_id, heartbeat }, &self.context);
    }
}
