//! Process stalls: this process did not run for a while, but its clocks did.
//!
//! Whatever it knew may be out of date: its lease may have expired, another controller may lead,
//! and what it takes for the silence of others was its own. After a stall a leader is unverified
//! until the store has answered a request that was sent after the stall; until then it commands
//! no worker and answers no heartbeat. If the store answers nothing at all, it goes on like any
//! leader that is cut off from the store: within the lease bound, on which all safety rests.

use crate::context::Context;
use crate::controller::Controller;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum StallState {
    #[default]
    Verified,
    /// Was the leader at the last stall, and does not know since whether it still is.
    Unverified,
}

/// The stalls of this process, and whether its leadership has been verified since the last one.
#[derive(Debug, Default)]
pub(crate) struct ProcessStall {
    state: StallState,
    resumed_ms: u64,
    count: u64,
}

impl ProcessStall {
    /// When the process last resumed after a stall, in steady milliseconds; 0 if it never has.
    pub fn resumed_ms(&self) -> u64 {
        self.resumed_ms
    }

    /// Stalls since the process started.
    pub fn count(&self) -> u64 {
        self.count
    }

    fn is_unverified(&self) -> bool {
        self.state == StallState::Unverified
    }

    fn on_resumed(&mut self, now_ms: u64) {
        self.resumed_ms = now_ms;
        self.count += 1;
    }

    /// When the store should have answered what was sent after the stall, if it is reachable.
    fn answer_due_ms(&self, context: &Context) -> u64 {
        self.resumed_ms + 2 * context.config.store_timeout_ms()
    }
}

impl Controller {
    /// The one function that changes whether this controller's leadership is verified.
    fn set_stall_state(&mut self, state: StallState) {
        if std::mem::replace(&mut self.stall.state, state) == state {
            return;
        }
        if state == StallState::Verified {
            self.machines_to_command.extend(self.machines.indexes());
            self.retry_held_heartbeats();
        }
    }

    /// More time has passed between two events than ever does while the process runs.
    pub(crate) fn on_process_stall(&mut self, gap_ms: u64) {
        let now = self.context.now.steady_ms;
        tracing::info!(gap_ms, "process stall detected");
        self.stall.on_resumed(now);
        self.machines.extend_idle_start(gap_ms, now);
        self.membership.restart_after_stall(now);
        if self.membership.role().holds_leadership() {
            self.set_stall_state(StallState::Unverified);
        }
    }

    /// Since the last stall it is unknown whether this controller still leads.
    pub(crate) fn leadership_unverified(&self) -> bool {
        self.stall.is_unverified()
    }

    /// Ends the doubt once the store has answered what was sent after the stall, or has answered
    /// nothing for longer than an answer takes.
    pub(crate) fn verify_leadership(&mut self) {
        let resumed_ms = self.stall.resumed_ms;
        let overdue = self.context.now.steady_ms >= self.stall.answer_due_ms(&self.context);
        let cut_off = overdue && !self.membership.store_answered_since(resumed_ms);
        let leads = self.membership.role().holds_leadership();
        if self.leadership_unverified()
            && (cut_off || !leads || self.membership.epoch_known_since(resumed_ms))
        {
            self.set_stall_state(StallState::Verified);
        }
    }
}
