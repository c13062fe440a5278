//! Post: what a leader and a keeper have to tell one another while they can't reach
//! each other, carried by the state service. The keeper posts what the workers that it
//! keeps report; the leader posts orders for them, which the keeper hands on.
//!
//! A post is one key, overwritten each time, under the prefix of the view, so that
//! whoever watches the view sees it. It may be late or lost like any message: reports
//! are ordered by tenure and tally, orders match by token and tenure, and an order
//! whose answer stays away is one whose fate is unknown.

use std::collections::{BTreeMap, VecDeque};

use ciborium::value::Value;
use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{Change, Guard, Heartbeat, OrdersRequest, Transaction};
use quartzgate_wire::{from_cbor, to_cbor};
use serde::{Deserialize, Serialize};

use crate::capacity::heartbeat_bytes;
use crate::controller::{Controller, InFlight};
use crate::fleet::machines::is_plausible;
use crate::ids::{scoped_to_epoch, MachineIndex, TaskKey};
use crate::membership::Role;
use crate::storage::records::{
    checked_size, decode, encode, mailbox_key, EPOCH_KEY, MAILBOX_PREFIX,
};
use crate::{Outcome, Peer};

/// Orders for one worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Envelope {
    pub id: u64,
    pub addr: String,
    pub orders: OrdersRequest,
}

/// How an order ended: the worker's report, or nothing if its fate is unknown.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Reply {
    id: u64,
    report: Option<Heartbeat>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct MailboxRecord {
    epoch: u64,
    /// Time of day when it was written: what is old is not acted on.
    at_ms: u64,
    #[serde(default)]
    orders: Vec<Envelope>,
    #[serde(default)]
    replies: Vec<Reply>,
    #[serde(default)]
    reports: Vec<Heartbeat>,
}

/// What waits to be posted to one sibling.
#[derive(Default)]
struct Outbox {
    orders: VecDeque<Envelope>,
    replies: VecDeque<Reply>,
    /// Newest report of each machine.
    reports: BTreeMap<String, Heartbeat>,
    /// What replies and reports take together.
    held_bytes: usize,
}

impl Outbox {
    fn add_report(&mut self, report: Heartbeat) {
        self.held_bytes += heartbeat_bytes(&report);
        if let Some(old) = self.reports.insert(report.machine.clone(), report) {
            self.held_bytes -= heartbeat_bytes(&old);
        }
    }

    fn add_reply(&mut self, reply: Reply) {
        self.held_bytes += reply_bytes(&reply);
        self.replies.push_back(reply);
    }

    /// Counts what is held anew, after some of it was taken out.
    fn update_demand_ratios(&mut self) {
        let reports = self.reports.values().map(heartbeat_bytes).sum::<usize>();
        self.held_bytes = reports + self.replies.iter().map(reply_bytes).sum::<usize>();
    }
}

fn reply_bytes(reply: &Reply) -> usize {
    std::mem::size_of::<Reply>() + reply.report.as_ref().map_or(0, heartbeat_bytes)
}

/// An order that was handed to the post.
struct Sent {
    machine: MachineIndex,
    fencing_token: u64,
    starts: Vec<(TaskKey, u64)>,
    until_ms: u64,
}

#[derive(Default)]
pub(crate) struct Mailbox {
    trays: BTreeMap<usize, Outbox>,
    sent: BTreeMap<u64, Sent>,
    next_id: u64,
    busy: bool,
    due_ms: u64,
    /// Machines' reports as they were last posted, and when.
    posted: BTreeMap<String, (Heartbeat, u64)>,
}

/// Share of the largest value that a post may fill.
const FILL: f64 = 0.9;

/// Takes from the front what still has room.
fn fill<T: Serialize>(from: &mut VecDeque<T>, room: &mut usize) -> Vec<T> {
    let mut out = Vec::new();
    while let Some(first) = from.front() {
        let size = checked_size(first) + 1;
        if size > *room {
            break;
        }
        *room -= size;
        out.extend(from.pop_front());
    }
    out
}

impl Controller {
    /// How long the post may take to bring an order and its answer.
    fn mailbox_timeout_ms(&self) -> u64 {
        self.context.config.max_heartbeat_hold_ms()
    }

    /// The keeper through which a machine can be told, if it can't be told directly.
    pub(crate) fn mailbox_route(&self, ix: MachineIndex) -> Option<usize> {
        let m = self.machines.get(ix)?;
        let at = m.via.filter(|_| m.cut)?;
        let node = &self.context.config.platform.siblings[at].node;
        self.membership.has_proxy_claim(node).then_some(at)
    }

    /// Hands orders for a machine to the post.
    pub(crate) fn mail_orders(
        &mut self,
        at: usize,
        machine: MachineIndex,
        addr: String,
        orders: OrdersRequest,
        starts: Vec<(TaskKey, u64)>,
    ) {
        let until_ms = self.context.now.steady_ms + self.mailbox_timeout_ms();
        // Never reused: not by a later epoch, nor by a later life of this process.
        let id = scoped_to_epoch(self.epoch(), self.mailbox.next_id);
        self.mailbox.next_id += 1;
        self.mailbox
            .sent
            .insert(id, Sent { machine, fencing_token: orders.fencing_token, starts, until_ms });
        let tray = self.mailbox.trays.entry(at).or_default();
        tray.orders.push_back(Envelope { id, addr, orders });
    }

    /// A keeper's worker has reported: the leader should know what is new in it.
    pub(crate) fn mail_heartbeat(&mut self, report: &Heartbeat) {
        let Some(at) = self.leader_index() else { return };
        let known = self.mailbox.posted.get(&report.machine);
        // A post may be lost: what has not changed is told again in a while.
        let again = self.context.now.steady_ms.saturating_sub(self.context.config.lease_ms() / 2);
        let same = known.filter(|(_, at)| *at > again).is_some_and(|(k, _)| {
            (k.agent_epoch, k.fencing_token, &k.tasks)
                == (report.agent_epoch, report.fencing_token, &report.tasks)
                && k.interruption_notice_s.is_some() == report.interruption_notice_s.is_some()
        });
        let older = |k: &Heartbeat| (report.agent_epoch, report.seq) <= (k.agent_epoch, k.seq);
        let late = known.is_some_and(|(k, _)| older(k));
        let (most, most_bytes) =
            (self.context.config.max_outbox_entries(), self.context.config.max_held_bytes());
        let tray = self.mailbox.trays.entry(at).or_default();
        let same = same || late || tray.reports.get(&report.machine).is_some_and(older);
        let room = tray.reports.len() < most && tray.held_bytes < most_bytes;
        if !same && (room || tray.reports.contains_key(&report.machine)) {
            tray.add_report(report.clone());
        }
    }

    /// Empties everything: what was known belongs to another view.
    pub(crate) fn clear_mailbox(&mut self) {
        let (next_id, busy) = (self.mailbox.next_id, self.mailbox.busy);
        self.mailbox = Mailbox { next_id, busy, ..Default::default() };
    }

    /// Writes the next post; gives up on orders whose answers stay away.
    pub(crate) fn tick_mailbox(&mut self) {
        let now = self.context.now.steady_ms;
        let over = self.mailbox.sent.iter().filter(|(_, s)| now >= s.until_ms);
        for id in over.map(|(id, _)| *id).collect::<Vec<u64>>() {
            self.finish_mailed_orders(id, Outcome::Lost);
        }
        if self.mailbox.busy || now < self.mailbox.due_ms || !self.store_reachable() {
            return;
        }
        let full =
            |t: &Outbox| !(t.orders.is_empty() && t.replies.is_empty() && t.reports.is_empty());
        let Some(at) = self.mailbox.trays.iter().find(|(_, t)| full(t)).map(|(at, _)| *at) else {
            return;
        };
        let (Some(lease_id), Some(revision), Some(epoch)) =
            (self.controller_lease_id(), self.observed_epoch_revision(), self.observed_epoch())
        else {
            return;
        };
        if !self.record_writer.writes.take(now, 1.0, 0.0) {
            return;
        }
        let mut room = (self.value_most() as f64 * FILL) as usize;
        self.drop_oversize(at, room);
        let Some(tray) = self.mailbox.trays.get_mut(&at) else { return };
        let orders = fill(&mut tray.orders, &mut room);
        let replies = fill(&mut tray.replies, &mut room);
        let mut reports = Vec::new();
        while let Some(first) = tray.reports.first_entry() {
            let size = checked_size(first.get()) + 1;
            if size > room {
                break;
            }
            room -= size;
            let (machine, report) = first.remove_entry();
            self.mailbox.posted.insert(machine, (report.clone(), now));
            reports.push(report);
        }
        tray.update_demand_ratios();
        let ids: Vec<u64> = orders.iter().map(|l| l.id).collect();
        let post =
            MailboxRecord { epoch, at_ms: self.context.now.wall_ms, orders, replies, reports };
        let to = self.context.config.platform.siblings[at].node.clone();
        let key = mailbox_key(&to, &self.context.config.platform.node);
        let body = to_cbor(&Transaction {
            guards: vec![Guard { path: EPOCH_KEY.into(), revision }],
            apply: vec![Change::Set { set: key, value: encode(&post), lease_id: Some(lease_id) }],
        });
        self.mailbox.busy = true;
        // Later trays have their turn; a little is gathered for each post.
        if let Some(tray) = self.mailbox.trays.remove(&at).filter(full) {
            self.mailbox.trays.insert(at, tray);
        }
        self.mailbox.due_ms = now + 3 * self.context.config.write_batch_ms();
        self.call_store("POST", "/multi".into(), body, InFlight::MailboxRecord { ids });
    }

    /// What no post can hold must not stand in the way of what comes after it.
    fn drop_oversize(&mut self, at: usize, room: usize) {
        let Some(tray) = self.mailbox.trays.get_mut(&at) else { return };
        let large = |size: usize| size + 1 > room;
        for reply in tray.replies.iter_mut().filter(|r| large(checked_size(*r))) {
            tracing::debug!(id = reply.id, "a worker's answer is too large to be posted");
            reply.report = None;
        }
        tray.reports.retain(|machine, r| {
            let fits = !large(checked_size(r));
            if !fits {
                tracing::debug!(%machine, "its report is too large to be posted");
            }
            fits
        });
        tray.update_demand_ratios();
        let letters = tray.orders.iter().filter(|l| large(checked_size(*l)));
        for id in letters.map(|l| l.id).collect::<Vec<u64>>() {
            tracing::info!(id, "orders are too large to be posted; they are not sent");
            self.finish_mailed_orders(id, Outcome::NotSent);
        }
    }

    pub(crate) fn on_mailbox_written(&mut self, ids: Vec<u64>, outcome: Outcome) {
        self.mailbox.busy = false;
        let Outcome::Answer(r) = outcome else {
            // Perhaps written, perhaps later: answers or patience will tell.
            self.mailbox.posted.clear();
            return;
        };
        if r.status == 200 {
            return self.note_store_answer();
        }
        // Refused, so nobody has read it.
        self.mailbox.posted.clear();
        for id in ids {
            self.finish_mailed_orders(id, Outcome::NotSent);
        }
    }

    fn finish_mailed_orders(&mut self, id: u64, outcome: Outcome) {
        if let Some(s) = self.mailbox.sent.remove(&id) {
            self.mailbox.trays.values_mut().for_each(|t| t.orders.retain(|l| l.id != id));
            self.on_orders_outcome(s.machine, s.fencing_token, s.starts, outcome);
        }
    }

    /// A post has come to stand; acted on if it is for us, and new.
    pub(crate) fn on_mailbox_record(&mut self, path: &str, value: &Value) {
        let Some((to, from)) = path.strip_prefix(MAILBOX_PREFIX).and_then(|p| p.split_once('/'))
        else {
            return;
        };
        let at = self.context.config.platform.siblings.iter().position(|s| s.node == from);
        let (Some(at), true) = (at, to == self.context.config.platform.node) else { return };
        let Some(post) = decode::<MailboxRecord>(value) else {
            tracing::error!(from, "its post can't be read; it is left alone");
            return;
        };
        let off_ms = (2.0 * self.context.config.platform.params.clock_off_ms) as u64;
        let old = self.context.now.wall_ms > post.at_ms + self.mailbox_timeout_ms() + off_ms;
        if old || self.observed_epoch() != Some(post.epoch) {
            return;
        }
        if self.membership.role() == Role::Follower {
            let leads = self.leader_index() == Some(at);
            for letter in post.orders.into_iter().filter(|_| leads) {
                self.forward_orders(at, letter);
            }
            return;
        }
        if !self.may_command_workers() || !self.leads() {
            return;
        }
        for report in post.reports.into_iter().filter(is_plausible) {
            self.observe_posted(at, report);
        }
        for reply in post.replies {
            let outcome = match reply.report {
                Some(report) => Outcome::Answer(Response::new(200, to_cbor(&report))),
                None => Outcome::Lost,
            };
            self.finish_mailed_orders(reply.id, outcome);
        }
    }

    /// What a worker told a keeper; its lease is the keeper's business.
    fn observe_posted(&mut self, at: usize, report: Heartbeat) {
        let ix = self.machine(&report.machine);
        self.observe_heartbeat(ix, report);
        if let Some(m) = self.machines.get_mut(ix) {
            m.via = Some(at);
        }
        self.machines_to_command.insert(ix);
    }

    /// Gives a worker the leader's orders.
    fn forward_orders(&mut self, at: usize, letter: Envelope) {
        let Ok(addr) = letter.addr.parse() else { return };
        let timeout = self.context.config.worker_timeout_ms();
        let pending = InFlight::HandedOn { sibling: at, id: letter.id };
        let body = to_cbor(&letter.orders);
        self.call(Peer::Worker(addr), "POST", "/orders".into(), body, timeout, pending);
    }

    pub(crate) fn on_orders_forwarded(&mut self, at: usize, id: u64, outcome: Outcome) {
        let report = match outcome {
            Outcome::Answer(r) if r.status == 200 || r.status == 409 => from_cbor(&r.body).ok(),
            _ => None,
        };
        if let Some(r) = report.as_ref().filter(|r| is_plausible(r)) {
            self.mailbox.posted.insert(r.machine.clone(), (r.clone(), self.context.now.steady_ms));
        }
        let (most, most_bytes) =
            (self.context.config.max_outbox_entries(), self.context.config.max_held_bytes());
        let tray = self.mailbox.trays.entry(at).or_default();
        if tray.replies.len() < most && tray.held_bytes < most_bytes {
            tray.add_reply(Reply { id, report });
        }
    }
}
