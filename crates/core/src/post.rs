//! Post: what a leader and a keeper have to tell one another while they can't reach
//! each other, carried by the state service. The keeper posts what the workers that it
//! keeps report; the leader posts orders for them, which the keeper hands on.
//!
//! A post is one key, overwritten each time, under the prefix of the view, so that
//! whoever watches the view sees it. It may be late or lost like any message: reports
//! are ordered by tenure and tally, orders match by token and tenure, and an order
//! whose answer stays away is one whose fate is unknown.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

use ciborium::value::Value;
use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{Change, Guard, OrdersRequest, Report, Transaction};
use quartzgate_wire::{from_cbor, to_cbor};
use serde::{Deserialize, Serialize};

use crate::capacity::heartbeat_bytes;
use crate::controller::{Controller, Pending};
use crate::ids::{in_epoch, MachineIx, TaskKey};
use crate::machines::sane;
use crate::member::Role;
use crate::records::{checked_size, decode, encode, post_key, POST, VIEW};
use crate::{Outcome, Peer};

/// Orders for one worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Letter {
    pub id: u64,
    pub addr: String,
    pub orders: OrdersRequest,
}

/// How an order ended: the worker's report, or nothing if its fate is unknown.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Reply {
    id: u64,
    report: Option<Report>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Post {
    epoch: u64,
    /// Time of day when it was written: what is old is not acted on.
    at_ms: u64,
    #[serde(default)]
    orders: Vec<Letter>,
    #[serde(default)]
    replies: Vec<Reply>,
    #[serde(default)]
    reports: Vec<Report>,
}

/// What waits to be posted to one sibling.
#[derive(Default)]
struct Tray {
    orders: VecDeque<Letter>,
    replies: VecDeque<Reply>,
    /// Newest report of each machine.
    reports: BTreeMap<String, Report>,
    /// What replies and reports take together.
    held_bytes: usize,
    /// The machine whose report was sent last: those after it come next.
    last_machine: String,
}

impl Tray {
    fn add_report(&mut self, report: Report) {
        self.held_bytes += heartbeat_bytes(&report);
        if let Some(old) = self.reports.insert(report.machine.clone(), report) {
            self.held_bytes -= heartbeat_bytes(&old);
        }
    }

    fn add_reply(&mut self, reply: Reply) {
        self.held_bytes += reply_bytes(&reply);
        self.replies.push_back(reply);
    }

    /// The next machine in turn, so that none waits for others that report again and again.
    fn next_machine(&self) -> Option<&String> {
        let after = (Bound::Excluded(&self.last_machine), Bound::Unbounded);
        let next = self.reports.range::<String, _>(after).next();
        next.or(self.reports.first_key_value()).map(|(machine, _)| machine)
    }

    /// Counts what is held anew, after some of it was taken out.
    fn weigh(&mut self) {
        let reports = self.reports.values().map(heartbeat_bytes).sum::<usize>();
        self.held_bytes = reports + self.replies.iter().map(reply_bytes).sum::<usize>();
    }
}

fn reply_bytes(reply: &Reply) -> usize {
    std::mem::size_of::<Reply>() + reply.report.as_ref().map_or(0, heartbeat_bytes)
}

/// An order that was handed to the post.
struct Sent {
    machine: MachineIx,
    token: u64,
    starts: Vec<(TaskKey, u64)>,
    until_ms: u64,
}

#[derive(Default)]
pub(crate) struct PostBox {
    trays: BTreeMap<usize, Tray>,
    sent: BTreeMap<u64, Sent>,
    next_id: u64,
    busy: bool,
    due_ms: u64,
    /// Machines' reports as they were last posted, and when.
    posted: BTreeMap<String, (Report, u64)>,
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
    fn post_patience_ms(&self) -> u64 {
        self.cfg.park_ms()
    }

    /// The keeper through which a machine can be told, if it can't be told directly.
    pub(crate) fn post_route(&self, ix: MachineIx) -> Option<usize> {
        let m = self.machines.get(ix)?;
        let at = m.via.filter(|_| m.cut)?;
        let node = &self.cfg.platform.siblings[at].node;
        self.member.keepers.contains_key(node).then_some(at)
    }

    /// Hands orders for a machine to the post.
    pub(crate) fn post_orders(
        &mut self,
        at: usize,
        machine: MachineIx,
        addr: String,
        orders: OrdersRequest,
        starts: Vec<(TaskKey, u64)>,
    ) {
        let until_ms = self.now.steady_ms + self.post_patience_ms();
        // Never reused: not by a later epoch, nor by a later life of this process.
        let id = in_epoch(self.epoch(), self.post.next_id);
        self.post.next_id += 1;
        self.post.sent.insert(id, Sent { machine, token: orders.token, starts, until_ms });
        let tray = self.post.trays.entry(at).or_default();
        tray.orders.push_back(Letter { id, addr, orders });
    }

    /// A keeper's worker has reported: the leader should know what is new in it.
    pub(crate) fn post_report(&mut self, report: &Report) {
        let Some(at) = self.leader_place() else { return };
        let known = self.post.posted.get(&report.machine);
        // A post may be lost: what has not changed is told again in a while.
        let again = self.now.steady_ms.saturating_sub(self.cfg.lease_ms() / 2);
        let same = known.filter(|(_, at)| *at > again).is_some_and(|(k, _)| {
            (k.tenure, k.token, &k.tasks) == (report.tenure, report.token, &report.tasks)
                && k.notice_s.is_some() == report.notice_s.is_some()
        });
        let older = |k: &Report| (report.tenure, report.seq) <= (k.tenure, k.seq);
        let late = known.is_some_and(|(k, _)| older(k));
        let (most, most_bytes) = (self.cfg.max_outbox_entries(), self.cfg.max_held_bytes());
        let tray = self.post.trays.entry(at).or_default();
        let same = same || late || tray.reports.get(&report.machine).is_some_and(older);
        let room = tray.reports.len() < most && tray.held_bytes < most_bytes;
        if !same && (room || tray.reports.contains_key(&report.machine)) {
            tray.add_report(report.clone());
        }
    }

    /// Empties everything: what was known belongs to another view.
    pub(crate) fn clear_post(&mut self) {
        let (next_id, busy) = (self.post.next_id, self.post.busy);
        self.post = PostBox { next_id, busy, ..Default::default() };
    }

    /// Writes the next post; gives up on orders whose answers stay away.
    pub(crate) fn tick_post(&mut self) {
        let now = self.now.steady_ms;
        let over = self.post.sent.iter().filter(|(_, s)| now >= s.until_ms);
        for id in over.map(|(id, _)| *id).collect::<Vec<u64>>() {
            self.post_ended(id, Outcome::Lost);
        }
        if self.post.busy || now < self.post.due_ms || !self.has_state() {
            return;
        }
        let full =
            |t: &Tray| !(t.orders.is_empty() && t.replies.is_empty() && t.reports.is_empty());
        let Some(at) = self.post.trays.iter().find(|(_, t)| full(t)).map(|(at, _)| *at) else {
            return;
        };
        let (Some(permit), Some(stamp), Some(epoch)) =
            (self.lease_permit(), self.view_stamp_seen(), self.view_epoch_seen())
        else {
            return;
        };
        if !self.store.writes.take(now, 1.0, 0.0) {
            return;
        }
        let mut room = (self.value_most() as f64 * FILL) as usize;
        self.drop_oversize(at, room);
        let Some(tray) = self.post.trays.get_mut(&at) else { return };
        let orders = fill(&mut tray.orders, &mut room);
        let replies = fill(&mut tray.replies, &mut room);
        let mut reports = Vec::new();
        while let Some(machine) = tray.next_machine().cloned() {
            let size = tray.reports.get(&machine).map_or(0, checked_size) + 1;
            if size > room {
                break;
            }
            room -= size;
            let Some(report) = tray.reports.remove(&machine) else { break };
            tray.last_machine = machine.clone();
            self.post.posted.insert(machine, (report.clone(), now));
            reports.push(report);
        }
        tray.weigh();
        let ids: Vec<u64> = orders.iter().map(|l| l.id).collect();
        let post = Post { epoch, at_ms: self.now.wall_ms, orders, replies, reports };
        let to = self.cfg.platform.siblings[at].node.clone();
        let key = post_key(&to, &self.cfg.platform.node);
        let body = to_cbor(&Transaction {
            guards: vec![Guard { path: VIEW.into(), stamp }],
            apply: vec![Change::Set { set: key, value: encode(&post), permit: Some(permit) }],
        });
        self.post.busy = true;
        // Later trays have their turn; a little is gathered for each post.
        if let Some(tray) = self.post.trays.remove(&at).filter(full) {
            self.post.trays.insert(at, tray);
        }
        self.post.due_ms = now + 3 * self.cfg.batch_ms();
        self.state_call("POST", "/multi".into(), body, Pending::Post { ids });
    }

    /// What no post can hold must not stand in the way of what comes after it.
    fn drop_oversize(&mut self, at: usize, room: usize) {
        let Some(tray) = self.post.trays.get_mut(&at) else { return };
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
        tray.weigh();
        let letters = tray.orders.iter().filter(|l| large(checked_size(*l)));
        for id in letters.map(|l| l.id).collect::<Vec<u64>>() {
            tracing::info!(id, "orders are too large to be posted; they are not sent");
            self.post_ended(id, Outcome::NotSent);
        }
    }

    pub(crate) fn on_post_written(&mut self, ids: Vec<u64>, outcome: Outcome) {
        self.post.busy = false;
        let Outcome::Answer(r) = outcome else {
            // Perhaps written, perhaps later: answers or patience will tell.
            self.post.posted.clear();
            return;
        };
        if r.status == 200 {
            return self.state_answered();
        }
        // Refused, so nobody has read it.
        self.post.posted.clear();
        for id in ids {
            self.post_ended(id, Outcome::NotSent);
        }
    }

    fn post_ended(&mut self, id: u64, outcome: Outcome) {
        if let Some(s) = self.post.sent.remove(&id) {
            self.post.trays.values_mut().for_each(|t| t.orders.retain(|l| l.id != id));
            self.on_orders_outcome(s.machine, s.token, s.starts, outcome);
        }
    }

    /// A post has come to stand; acted on if it is for us, and new.
    pub(crate) fn on_post(&mut self, path: &str, value: &Value) {
        let Some((to, from)) = path.strip_prefix(POST).and_then(|p| p.split_once('/')) else {
            return;
        };
        let at = self.cfg.platform.siblings.iter().position(|s| s.node == from);
        let (Some(at), true) = (at, to == self.cfg.platform.node) else { return };
        let Some(post) = decode::<Post>(value) else {
            tracing::error!(from, "its post can't be read; it is left alone");
            return;
        };
        let off_ms = (2.0 * self.cfg.platform.params.clock_off_ms) as u64;
        let old = self.now.wall_ms > post.at_ms + self.post_patience_ms() + off_ms;
        if old || self.view_epoch_seen() != Some(post.epoch) {
            return;
        }
        if self.member.role == Role::Follower {
            let leads = self.leader_place() == Some(at);
            for letter in post.orders.into_iter().filter(|_| leads) {
                self.hand_on(at, letter);
            }
            return;
        }
        if !self.commands_workers() || !self.leads() {
            return;
        }
        for report in post.reports.into_iter().filter(sane) {
            self.observe_posted(at, report);
        }
        for reply in post.replies {
            let outcome = match reply.report {
                Some(report) => Outcome::Answer(Response::new(200, to_cbor(&report))),
                None => Outcome::Lost,
            };
            self.post_ended(reply.id, outcome);
        }
    }

    /// What a worker told a keeper; its lease is the keeper's business.
    fn observe_posted(&mut self, at: usize, report: Report) {
        let ix = self.machine(&report.machine);
        self.observe(ix, report);
        if let Some(m) = self.machines.get_mut(ix) {
            m.via = Some(at);
        }
        self.needs_orders.insert(ix);
    }

    /// Gives a worker the leader's orders.
    fn hand_on(&mut self, at: usize, letter: Letter) {
        let Ok(addr) = letter.addr.parse() else { return };
        let timeout = self.cfg.worker_timeout_ms();
        let pending = Pending::HandedOn { sibling: at, id: letter.id };
        let body = to_cbor(&letter.orders);
        self.call(Peer::Worker(addr), "POST", "/orders".into(), body, timeout, pending);
    }

    pub(crate) fn on_handed_on(&mut self, at: usize, id: u64, outcome: Outcome) {
        let report = match outcome {
            Outcome::Answer(r) if r.status == 200 || r.status == 409 => from_cbor(&r.body).ok(),
            _ => None,
        };
        if let Some(r) = report.as_ref().filter(|r| sane(r)) {
            self.post.posted.insert(r.machine.clone(), (r.clone(), self.now.steady_ms));
        }
        let (most, most_bytes) = (self.cfg.max_outbox_entries(), self.cfg.max_held_bytes());
        let tray = self.post.trays.entry(at).or_default();
        if tray.replies.len() < most && tray.held_bytes < most_bytes {
            tray.add_reply(Reply { id, report });
        }
    }
}
