//! Faults that need more than a flag, such as unanswered writes and stale or duplicate heartbeats,
//! and the milestones of a run at which tests inject faults.

use super::clock::SimulationEvent;
use super::invariants::carries_starts;
use super::network::HeldCall;
use super::Cluster;
use quartzgate_core::records::FORMAT_KEY;
use quartzgate_core::{Call, CallId, Peer};
use quartzgate_wire::from_cbor;
use quartzgate_wire::msg::{Change, MeshMessage, Transaction};
use rand::Rng;

/// Identifier of the duplicate of a call, whose answer nobody waits for.
const DUPLICATE_CALL: CallId = CallId::MAX;
/// Maximum number of heartbeats stored for replay at the next election; the oldest are dropped.
const MAX_STALE_HEARTBEATS: usize = 120;

/// A share of messages that are delayed, each by a random time of `from_ms` to `to_ms`.
#[derive(Clone, Copy, Debug)]
pub struct RandomDelay {
    pub share: f64,
    pub from_ms: u64,
    pub to_ms: u64,
}

/// How a transaction that gets no answer is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnansweredWrite {
    /// It is applied immediately, so that others read what it wrote.
    AppliedAtOnce,
    /// It is applied after this many milliseconds, if its conditions hold at that time.
    AppliedAfterMs(u64),
}

/// Withholds the answers of the next `remaining` transactions that set or delete a key with this
/// prefix.
#[derive(Clone, Debug)]
pub struct WriteFault {
    pub key_prefix: &'static str,
    pub outcome: UnansweredWrite,
    pub remaining: u32,
}

/// An occurrence in a run after which a fault may be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Milestone {
    /// A user was told that a job is aborted.
    AbortConfirmed,
    /// A new leader has been elected and begins recovery.
    LeaderElected,
    /// A transaction got no answer.
    WriteUnanswered,
    /// The last task of a job completed.
    LastTaskEnded,
    /// A machine was ordered to forget an exited task and did so.
    ExitedTaskForgotten,
}

/// A milestone and the simulated time at which it was reached.
#[derive(Clone, Copy, Debug)]
pub struct ReachedMilestone {
    pub at_ms: u64,
    pub milestone: Milestone,
}

impl Cluster {
    /// Clears the faults of links, writes, answers, heartbeats, machine returns and aborts at
    /// completion, and starts all controllers that are down.
    pub fn clear_all_faults(&mut self) {
        self.heal_links();
        self.state.refused_nodes.clear();
        self.state.write_faults.clear();
        self.state.down = false;
        self.state.extra_latency_ms = 0;
        self.state.lost_answer_share = 0.0;
        self.state.delayed_writes = None;
        self.duplicate_heartbeats = None;
        self.duplicate_commands = None;
        self.stale_heartbeat_share = 0.0;
        self.scale_in_disabled = false;
        self.abort_at_completion = 0.0;
        self.lost_heartbeats.clear();
        self.inbound_loss.clear();
        self.start_all();
    }

    pub(super) fn record_milestone(&mut self, milestone: Milestone) {
        self.milestones.push(ReachedMilestone { at_ms: self.now, milestone });
    }

    /// Returns how to apply a transaction if a fault withholds its answer, and counts that fault.
    pub(super) fn take_write_fault(&mut self, txn: &Transaction) -> Option<UnansweredWrite> {
        let key = |change: &Change| match change {
            Change::Set { set, .. } => set.clone(),
            Change::Delete { delete } => delete.clone(),
        };
        let keys: Vec<String> = txn.apply.iter().map(key).collect();
        let touches_prefix = |prefix: &str| keys.iter().any(|key| key.starts_with(prefix));
        let mut faults = self.state.write_faults.iter_mut();
        if let Some(fault) = faults.find(|f| f.remaining > 0 && touches_prefix(f.key_prefix)) {
            fault.remaining -= 1;
            return Some(fault.outcome);
        }
        let share = if txn.apply.is_empty() { 0.0 } else { self.state.lost_answer_share };
        let lost = share > 0.0 && self.rng.random_bool(share);
        lost.then_some(UnansweredWrite::AppliedAtOnce)
    }

    /// Applies a transaction without answering it.
    pub(super) fn apply_unanswered(&mut self, from: usize, txn: Transaction) {
        self.expire_leases();
        if txn.apply.iter().any(|c| matches!(c, Change::Set { set, .. } if set == FORMAT_KEY)) {
            self.activation_writer = Some(from);
        }
        self.apply_transaction(txn);
    }

    /// Schedules a duplicate of a heartbeat and stores the heartbeat for replay, as the configured
    /// faults require.
    pub(super) fn duplicate_heartbeat(&mut self, body: &[u8]) {
        if let Some(delay) = self.duplicate_heartbeats {
            if self.rng.random_bool(delay.share) {
                let delay_ms = self.rng.random_range(delay.from_ms..=delay.to_ms);
                let node = self.rng.random_range(0..self.nodes.len());
                self.deliver_duplicate_after(body, node, delay_ms);
            }
        }
        if self.stale_heartbeat_share > 0.0 && self.rng.random_bool(self.stale_heartbeat_share) {
            if self.stale_heartbeats.len() >= MAX_STALE_HEARTBEATS {
                self.stale_heartbeats.remove(0);
            }
            self.stale_heartbeats.push(body.to_vec());
        }
    }

    /// Schedules a second delivery of a command to a worker, or of its way to a relay, as the
    /// configured fault requires.
    pub(super) fn duplicate_command(&mut self, from: usize, incarnation: u32, call: &Call) {
        let Some(delay) = self.duplicate_commands.filter(|_| carries_command(call)) else {
            return;
        };
        if self.rng.random_bool(delay.share) {
            self.duplicated_commands += 1;
            let delay_ms = self.rng.random_range(delay.from_ms..=delay.to_ms);
            let duplicate = HeldCall { from, incarnation, call: duplicate_of(call) };
            self.schedule_after(delay_ms, SimulationEvent::DuplicateCall { duplicate });
        }
    }

    /// Keeps a call that carries starts, if a test asks for that, to deliver copies of it later.
    pub(super) fn capture_starts(&mut self, from: usize, incarnation: u32, call: &Call) {
        if self.captures_starts && carries_starts(call) && carries_command(call) {
            let call = HeldCall { from, incarnation, call: duplicate_of(call) };
            self.captured_starts.push(CapturedCall { sent_ms: self.now, call });
        }
    }

    /// Delivers one more copy of each captured call that was sent at least `age_ms` ago.
    pub fn deliver_copies_of_starts(&mut self, age_ms: u64) {
        let due = self.captured_starts.iter().filter(|kept| self.now >= kept.sent_ms + age_ms);
        let copies: Vec<HeldCall> = due
            .map(|kept| HeldCall {
                from: kept.call.from,
                incarnation: kept.call.incarnation,
                call: duplicate_of(&kept.call.call),
            })
            .collect();
        for duplicate in copies {
            self.schedule_after(1, SimulationEvent::DuplicateCall { duplicate });
        }
    }

    /// Replays the stored heartbeats to every controller after an election, with delays that fall
    /// before, during and after the new leader's recovery.
    pub(super) fn replay_stale_heartbeats(&mut self) {
        for body in std::mem::take(&mut self.stale_heartbeats) {
            for node in 0..self.nodes.len() {
                let ms = [1, 12, 60, 400][self.rng.random_range(0..4usize)];
                let ms = ms + self.rng.random_range(0..=ms / 2);
                self.deliver_duplicate_after(&body, node, ms);
            }
        }
    }

    /// Delivers a duplicate of a heartbeat to a controller after `ms`.
    pub fn deliver_duplicate_after(&mut self, body: &[u8], node: usize, ms: u64) {
        let body = body.to_vec();
        self.schedule_after(ms, SimulationEvent::DuplicateHeartbeat { node, body });
    }
}

/// A command with starts, or its way to a relay, and when it was sent.
pub(super) struct CapturedCall {
    sent_ms: u64,
    call: HeldCall,
}

fn duplicate_of(call: &Call) -> Call {
    Call {
        id: DUPLICATE_CALL,
        peer: call.peer.clone(),
        method: call.method,
        target: call.target.clone(),
        body: call.body.clone(),
        timeout_ms: call.timeout_ms,
        send_within_ms: call.send_within_ms,
    }
}

/// Returns whether a call carries orders to a worker, directly or through a relay.
fn carries_command(call: &Call) -> bool {
    match call.peer {
        Peer::Worker(_) => call.target == "/orders",
        Peer::Sibling(_) => from_cbor::<MeshMessage>(&call.body)
            .is_ok_and(|message| message.forward.is_some_and(|f| f.path == "/orders")),
        Peer::State | Peer::Cloud => false,
    }
}
