//! Pauses: this process stood still while its clocks ran on.
//!
//! Whatever it knew may be out of date: its lease may have run out, another may lead,
//! and what it takes for silence was its own. A leader that wakes is in doubt until the
//! state service has answered something that was sent after it woke; meanwhile it
//! commands no worker and answers no report. Should the state service answer nobody, it
//! goes on as one that is cut off: within the horizon, on which all safety rests.

use crate::capacity::BoundedList;
use crate::config::Config;
use crate::controller::Controller;
use crate::membership::Role;
use crate::RequestId;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StallState {
    Awake,
    /// Stood still, and has not heard since whether it still leads.
    Doubtful,
}

pub(crate) struct ProcessStall {
    waking: StallState,
    /// When it last woke, and how often it has.
    pub resumed_ms: u64,
    pub noticed: u64,
    held: BoundedList<HeldHeartbeat>,
}

/// A report that can't be answered before more is known: who leads, or what the records say.
struct HeldHeartbeat {
    request: RequestId,
    body: Vec<u8>,
    /// The sibling that passed it on.
    relayed_by: Option<usize>,
    until_ms: u64,
}

impl ProcessStall {
    pub fn new(cfg: &Config) -> Self {
        let held = BoundedList::new(cfg.max_held_heartbeats(), cfg.max_held_bytes());
        ProcessStall { waking: StallState::Awake, resumed_ms: 0, noticed: 0, held }
    }
}

impl Controller {
    /// The one function that changes whether this controller doubts what it knows.
    fn set_stall_state(&mut self, waking: StallState) {
        if std::mem::replace(&mut self.stall.waking, waking) == waking {
            return;
        }
        if waking == StallState::Awake {
            self.machines_to_command.extend(self.machines.indexes());
            self.retry_held_heartbeats();
        }
    }

    /// More time has passed between two events than ever does while this runs.
    pub(crate) fn on_process_stall(&mut self, gap_ms: u64) {
        tracing::info!(for_ms = gap_ms, "stood still while the clocks ran on");
        self.stall.resumed_ms = self.context.now.steady_ms;
        self.stall.noticed += 1;
        self.machines.idle_later(gap_ms, self.context.now.steady_ms);
        self.restart_leases_and_watches();
        if matches!(self.membership.role, Role::Leader | Role::Recovering) {
            self.set_stall_state(StallState::Doubtful);
        }
    }

    pub(crate) fn leadership_unverified(&self) -> bool {
        self.stall.waking == StallState::Doubtful
    }

    pub(crate) fn hold_heartbeat(
        &mut self,
        request: RequestId,
        body: Vec<u8>,
        relayed_by: Option<usize>,
    ) {
        let until_ms = self.context.now.steady_ms + self.context.config.max_heartbeat_hold_ms();
        let bytes = body.len();
        let held = HeldHeartbeat { request, body, relayed_by, until_ms };
        if !self.stall.held.push(held, bytes) {
            self.redirect(request);
        }
    }

    /// A worker that has waited for long enough looks elsewhere, while its lease still has time.
    /// While the records are read, the others are looked at as the reading gets on.
    pub(crate) fn tick_held_heartbeats(&mut self) {
        let now = self.context.now.steady_ms;
        for (report, bytes) in self.stall.held.take() {
            let request = report.request;
            if now >= report.until_ms || !self.stall.held.push(report, bytes) {
                self.redirect(request);
            }
        }
        if !self.leadership_unverified() && self.membership.role != Role::Recovering {
            self.retry_held_heartbeats();
        }
    }

    /// Answers held reports that can be answered now.
    pub(crate) fn retry_held_heartbeats(&mut self) {
        for (report, _) in self.stall.held.take() {
            let held = self.stall.held.len();
            self.on_heartbeat(report.request, report.body, report.relayed_by);
            // It waits on for as long as it might at first.
            if let Some(again) = self.stall.held.get_mut(held) {
                again.until_ms = report.until_ms;
            }
        }
    }

    /// Ends the doubt once something sent after waking has been answered, or nothing
    /// has been for longer than an answer takes.
    pub(crate) fn verify_leadership(&mut self) {
        let on_process_stall = self.stall.resumed_ms;
        let cut_off = self.context.now.steady_ms
            >= on_process_stall + 2 * self.context.config.store_timeout_ms()
            && !self.membership.store_answered_since(on_process_stall);
        let leads = matches!(self.membership.role, Role::Leader | Role::Recovering);
        if self.leadership_unverified()
            && (cut_off || !leads || self.membership.epoch_known_since(on_process_stall))
        {
            self.set_stall_state(StallState::Awake);
        }
    }
}
