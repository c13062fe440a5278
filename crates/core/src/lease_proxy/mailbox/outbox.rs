//! What waits to be mailed to one peer.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

use quartzgate_wire::msg::Heartbeat;
use serde::Serialize;

use super::records::{Envelope, Reply};
use crate::capacity::heartbeat_bytes;
use crate::config::Config;
use crate::storage::records::checked_size;

/// What of an outbox goes into one mailbox record.
#[derive(Default)]
pub(super) struct OutboxBatch {
    pub orders: Vec<Envelope>,
    pub replies: Vec<Reply>,
    pub heartbeats: Vec<Heartbeat>,
}

/// Orders, replies and heartbeats for one peer. Orders are bounded by the machines, replies and
/// heartbeats in number and in bytes.
#[derive(Default)]
pub(super) struct Outbox {
    orders: VecDeque<Envelope>,
    replies: VecDeque<Reply>,
    /// Newest heartbeat of each machine.
    heartbeats: BTreeMap<String, Heartbeat>,
    /// The machine whose heartbeat was taken last: those after it come next.
    last_machine: String,
    /// What replies and heartbeats take together.
    held_bytes: usize,
}

impl Outbox {
    /// Whether nothing waits to be mailed.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty() && self.replies.is_empty() && self.heartbeats.is_empty()
    }

    /// Adds orders behind those that wait.
    pub fn add_orders(&mut self, envelope: Envelope) {
        self.orders.push_back(envelope);
    }

    /// Removes orders that are no longer to be mailed.
    pub fn remove_orders(&mut self, id: u64) {
        self.orders.retain(|envelope| envelope.id != id);
    }

    /// Adds a reply if there is room for it; without it the orders run into their timeout.
    pub fn add_reply(&mut self, reply: Reply, config: &Config) {
        if self.has_room(self.replies.len(), config) {
            self.held_bytes += reply.bytes();
            self.replies.push_back(reply);
        }
    }

    /// Adds a heartbeat in place of an older one of its machine. There is always room for that;
    /// a heartbeat of a further machine is dropped if there is none.
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

    /// Takes out what fits into a record with this many bytes: orders first, as they expire.
    pub fn take_batch(&mut self, mut room: usize) -> OutboxBatch {
        let batch = OutboxBatch {
            orders: take_fitting(&mut self.orders, &mut room),
            replies: take_fitting(&mut self.replies, &mut room),
            heartbeats: self.take_heartbeats(&mut room),
        };
        self.recount_held_bytes();
        batch
    }

    fn take_heartbeats(&mut self, room: &mut usize) -> Vec<Heartbeat> {
        let mut taken = Vec::new();
        while let Some((machine, heartbeat)) = self.next_heartbeat() {
            let size = serialized_size(heartbeat);
            if size > *room {
                break;
            }
            *room -= size;
            let machine = machine.clone();
            taken.extend(self.heartbeats.remove(&machine));
            self.last_machine = machine;
        }
        taken
    }

    /// The next machine in turn, so that none waits for others that send heartbeats again and
    /// again.
    fn next_heartbeat(&self) -> Option<(&String, &Heartbeat)> {
        let after = (Bound::Excluded(&self.last_machine), Bound::Unbounded);
        let next = self.heartbeats.range::<String, _>(after).next();
        next.or(self.heartbeats.first_key_value())
    }

    /// Drops what no record can hold, so that it does not block what comes after it. Orders stay:
    /// their identifiers are returned.
    pub fn drop_oversize(&mut self, room: usize) -> Vec<u64> {
        for reply in self.replies.iter_mut().filter(|reply| serialized_size(*reply) > room) {
            tracing::debug!(id = reply.id, "worker's reply too large for a mailbox record");
            reply.heartbeat = None;
        }
        self.heartbeats.retain(|machine, heartbeat| {
            let fits = serialized_size(heartbeat) <= room;
            if !fits {
                tracing::debug!(%machine, "heartbeat too large for a mailbox record");
            }
            fits
        });
        self.recount_held_bytes();
        let oversize = self.orders.iter().filter(|envelope| serialized_size(*envelope) > room);
        oversize.map(|envelope| envelope.id).collect()
    }

    fn recount_held_bytes(&mut self) {
        let heartbeats = self.heartbeats.values().map(heartbeat_bytes).sum::<usize>();
        self.held_bytes = heartbeats + self.replies.iter().map(Reply::bytes).sum::<usize>();
    }
}

/// Whether a heartbeat was sent after another one of the same machine.
pub(super) fn is_newer(heartbeat: &Heartbeat, other: &Heartbeat) -> bool {
    (heartbeat.agent_epoch, heartbeat.seq) > (other.agent_epoch, other.seq)
}

/// What an entry takes in a record, with the comma after it.
fn serialized_size<Entry: Serialize>(entry: &Entry) -> usize {
    checked_size(entry) + 1
}

/// Takes entries from the front for as long as they fit.
fn take_fitting<Entry: Serialize>(from: &mut VecDeque<Entry>, room: &mut usize) -> Vec<Entry> {
    let mut taken = Vec::new();
    while let Some(first) = from.front() {
        let size = serialized_size(first);
        if size > *room {
            break;
        }
        *room -= size;
        taken.extend(from.pop_front());
    }
    taken
}
