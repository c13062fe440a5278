//! Messages that wait to be mailed to one peer.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

use quartzgate_wire::msg::Heartbeat;
use serde::Serialize;

use super::records::{Envelope, Reply};
use crate::capacity::heartbeat_bytes;
use crate::config::Config;
use crate::storage::records::checked_size;

/// The entries of an outbox that go into one mailbox record.
#[derive(Default)]
pub(super) struct OutboxBatch {
    pub orders: Vec<Envelope>,
    pub replies: Vec<Reply>,
    pub heartbeats: Vec<Heartbeat>,
}

/// Orders, replies and heartbeats for one peer. Orders are bounded by the number of machines;
/// replies and heartbeats are bounded in number and in bytes.
#[derive(Default)]
pub(super) struct Outbox {
    orders: VecDeque<Envelope>,
    replies: VecDeque<Reply>,
    /// Latest heartbeat of each machine.
    heartbeats: BTreeMap<String, Heartbeat>,
    /// Machine whose heartbeat was taken last; the machines after it are served next.
    last_machine: String,
    /// Approximate memory used by replies and heartbeats together, in bytes.
    held_bytes: usize,
}

impl Outbox {
    /// Returns whether nothing waits to be mailed.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty() && self.replies.is_empty() && self.heartbeats.is_empty()
    }

    /// Appends orders to the queue.
    pub fn add_orders(&mut self, envelope: Envelope) {
        self.orders.push_back(envelope);
    }

    /// Removes orders that must no longer be mailed.
    pub fn remove_orders(&mut self, id: u64) {
        self.orders.retain(|envelope| envelope.id != id);
    }

    /// Adds a reply if there is room for it. Without a reply, the orders time out.
    pub fn add_reply(&mut self, reply: Reply, config: &Config) {
        if self.has_room(self.replies.len(), config) {
            self.held_bytes += reply.bytes();
            self.replies.push_back(reply);
        }
    }

    /// Adds a heartbeat, replacing an older one of the same machine. A replacement always fits; the
    /// first heartbeat of a machine is dropped if there is no room.
    pub fn add_heartbeat(&mut self, heartbeat: &Heartbeat, config: &Config) {
        let waiting = self.heartbeats.get(&heartbeat.machine);
        if waiting.is_some_and(|waiting| !is_newer(heartbeat, waiting)) {
            return;
        }
        if waiting.is_none() && !self.has_room(self.heartbeats.len(), config) {
            return;
        }
        self.held_bytes += heartbeat_bytes(heartbeat);
        let replaced = self.heartbeats.insert(heartbeat.machine.clone(), heartbeat.clone());
        self.held_bytes -= replaced.as_ref().map_or(0, heartbeat_bytes);
    }

    fn has_room(&self, entries: usize, config: &Config) -> bool {
        entries < config.max_outbox_entries() && self.held_bytes < config.max_held_bytes()
    }

    /// Removes and returns the entries that fit into a record of `remaining_bytes` bytes. Orders
    /// come first, because they expire.
    pub fn take_batch(&mut self, mut remaining_bytes: usize) -> OutboxBatch {
        let batch = OutboxBatch {
            orders: take_fitting(&mut self.orders, &mut remaining_bytes),
            replies: take_fitting(&mut self.replies, &mut remaining_bytes),
            heartbeats: self.take_heartbeats(&mut remaining_bytes),
        };
        self.recount_held_bytes();
        batch
    }

    fn take_heartbeats(&mut self, remaining_bytes: &mut usize) -> Vec<Heartbeat> {
        let mut taken = Vec::new();
        while let Some((machine, heartbeat)) = self.next_heartbeat() {
            let size = serialized_size(heartbeat);
            if size > *remaining_bytes {
                break;
            }
            *remaining_bytes -= size;
            let machine = machine.clone();
            taken.extend(self.heartbeats.remove(&machine));
            self.last_machine = machine;
        }
        taken
    }

    /// Returns the next heartbeat in round-robin order, so that no machine is starved by others
    /// that send heartbeats repeatedly.
    fn next_heartbeat(&self) -> Option<(&String, &Heartbeat)> {
        let after = (Bound::Excluded(&self.last_machine), Bound::Unbounded);
        let next = self.heartbeats.range::<String, _>(after).next();
        next.or(self.heartbeats.first_key_value())
    }

    /// Drops heartbeats, and the heartbeats in replies, that are too large for any record, so that
    /// they do not block later entries. Oversize orders stay in the queue, and the caller has to
    /// remove them; their identifiers are returned.
    pub fn drop_oversize(&mut self, max_bytes: usize) -> Vec<u64> {
        for reply in self.replies.iter_mut().filter(|reply| serialized_size(*reply) > max_bytes) {
            tracing::debug!(
                id = reply.id,
                "worker reply too large for a mailbox record; its heartbeat is dropped"
            );
            reply.heartbeat = None;
        }
        self.heartbeats.retain(|machine, heartbeat| {
            let fits = serialized_size(heartbeat) <= max_bytes;
            if !fits {
                tracing::debug!(%machine, "heartbeat too large for a mailbox record; dropped");
            }
            fits
        });
        self.recount_held_bytes();
        let oversize = self.orders.iter().filter(|envelope| serialized_size(*envelope) > max_bytes);
        oversize.map(|envelope| envelope.id).collect()
    }

    fn recount_held_bytes(&mut self) {
        let heartbeats = self.heartbeats.values().map(heartbeat_bytes).sum::<usize>();
        self.held_bytes = heartbeats + self.replies.iter().map(Reply::bytes).sum::<usize>();
    }
}

/// Returns whether a heartbeat was sent after another one of the same machine.
pub(super) fn is_newer(heartbeat: &Heartbeat, other: &Heartbeat) -> bool {
    (heartbeat.agent_epoch, heartbeat.seq) > (other.agent_epoch, other.seq)
}

/// Returns the size limit's measure of an entry in a record: its size as JSON, including the comma
/// after it.
fn serialized_size<Entry: Serialize>(entry: &Entry) -> usize {
    checked_size(entry) + 1
}

/// Removes and returns entries from the front of the queue for as long as they fit.
fn take_fitting<Entry: Serialize>(
    from: &mut VecDeque<Entry>,
    remaining_bytes: &mut usize,
) -> Vec<Entry> {
    let mut taken = Vec::new();
    while let Some(first) = from.front() {
        let size = serialized_size(first);
        if size > *remaining_bytes {
            break;
        }
        *remaining_bytes -= size;
        taken.extend(from.pop_front());
    }
    taken
}
