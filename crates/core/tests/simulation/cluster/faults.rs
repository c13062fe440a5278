//! Faults that need more than a switch: writes without an answer, stale and duplicate heartbeats;
//! and the milestones of a run after which a fault may be injected.

use super::clock::SimulationEvent;
use super::Cluster;
use quartzgate_core::records::FORMAT_KEY;
use quartzgate_wire::msg::{Change, Transaction};
use rand::Rng;

/// Number of stale heartbeats that are stored for the next leader: the newest.
const MAX_STALE_HEARTBEATS: usize = 120;

/// A share of messages that arrive late, each after a random delay.
#[derive(Clone, Copy, Debug)]
pub struct RandomDelay {
    pub share: f64,
    pub from_ms: u64,
    pub to_ms: u64,
}

/// What becomes of a transaction that gets no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnansweredWrite {
    /// It is applied at once: others read what it wrote.
    AppliedAtOnce,
    /// It is applied so many milliseconds later, if its conditions hold then.
    AppliedAfterMs(u64),
}

/// The next `remaining` transactions that set or delete a key with this prefix get no answer.
#[derive(Clone, Debug)]
pub struct WriteFault {
    pub key_prefix: &'static str,
    pub outcome: UnansweredWrite,
    pub remaining: u32,
}

/// A point of a run after which a fault may be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Milestone {
    /// A user was told that a job is aborted.
    AbortConfirmed,
    /// A new leader has been elected and begins recovery.
    LeaderElected,
    /// A transaction got no answer.
    WriteUnanswered,
    /// A job's last task completed.
    LastTaskEnded,
    /// A machine was told to forget a task that had exited.
    ExitCleared,
}

/// A milestone, and when it was reached.
#[derive(Clone, Copy, Debug)]
pub struct ReachedMilestone {
    pub at_ms: u64,
    pub milestone: Milestone,
}

impl Cluster {
    /// Ends all faults: links are healed and controllers that are down are started.
    pub fn clear_all_faults(&mut self) {
        self.heal_links();
        self.state.refused_nodes.clear();
        self.state.write_faults.clear();
        self.state.down = false;
        self.state.extra_latency_ms = 0;
        self.state.lost_answer_share = 0.0;
        self.state.delayed_writes = None;
        self.duplicate_heartbeats = None;
        self.stale_heartbeat_share = 0.0;
        self.scale_in_disabled = false;
        self.abort_at_completion = 0.0;
        self.lost_heartbeats.clear();
        self.inbound_loss.clear();
        self.start_all();
    }

    pub(super) fn reach(&mut self, milestone: Milestone) {
        self.milestones.push(ReachedMilestone { at_ms: self.now, milestone });
    }

    /// What becomes of a transaction, if it is to get no answer.
    pub(super) fn take_write_fault(&mut self, txn: &Transaction) -> Option<UnansweredWrite> {
        let path = |change: &Change| match change {
            Change::Set { set, .. } => set.clone(),
            Change::Delete { delete } => delete.clone(),
        };
        let paths: Vec<String> = txn.apply.iter().map(path).collect();
        let concerns = |prefix: &str| paths.iter().any(|path| path.starts_with(prefix));
        let mut faults = self.state.write_faults.iter_mut();
        if let Some(fault) = faults.find(|f| f.remaining > 0 && concerns(f.key_prefix)) {
            fault.remaining -= 1;
            return Some(fault.outcome);
        }
        let share = if txn.apply.is_empty() { 0.0 } else { self.state.lost_answer_share };
        let lost = share > 0.0 && self.rng.random_bool(share);
        lost.then_some(UnansweredWrite::AppliedAtOnce)
    }

    /// Applies a transaction to which nobody gets an answer.
    pub(super) fn apply_unanswered(&mut self, from: usize, txn: Transaction) {
        self.expire_leases();
        if txn.apply.iter().any(|c| matches!(c, Change::Set { set, .. } if set == FORMAT_KEY)) {
            self.activation_writer = Some(from);
        }
        self.apply_transaction(txn);
    }

    /// Duplicates and stores a heartbeat, as the faults say.
    pub(super) fn duplicate_heartbeat(&mut self, body: &[u8]) {
        if let Some(delay) = self.duplicate_heartbeats {
            if self.rng.random_bool(delay.share) {
                let late_ms = self.rng.random_range(delay.from_ms..=delay.to_ms);
                let node = self.rng.random_range(0..self.nodes.len());
                self.deliver_duplicate_after(body, node, late_ms);
            }
        }
        if self.stale_heartbeat_share > 0.0 && self.rng.random_bool(self.stale_heartbeat_share) {
            if self.stale_heartbeats.len() >= MAX_STALE_HEARTBEATS {
                self.stale_heartbeats.remove(0);
            }
            self.stale_heartbeats.push(body.to_vec());
        }
    }

    /// A new leader has been elected: stale heartbeats reach every controller before, during and
    /// after the leader's recovery.
    pub(super) fn replay_stale_heartbeats(&mut self) {
        for body in std::mem::take(&mut self.stale_heartbeats) {
            for node in 0..self.nodes.len() {
                let ms = [1, 12, 60, 400][self.rng.random_range(0..4usize)];
                let ms = ms + self.rng.random_range(0..=ms / 2);
                self.deliver_duplicate_after(&body, node, ms);
            }
        }
    }

    /// Delivers a duplicate of a heartbeat to a controller after so long.
    pub fn deliver_duplicate_after(&mut self, body: &[u8], node: usize, ms: u64) {
        let body = body.to_vec();
        self.schedule_after(ms, SimulationEvent::DuplicateHeartbeat { node, body });
    }
}
