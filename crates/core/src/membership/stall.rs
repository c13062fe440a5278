//! Process stalls: periods in which this process did not run although its clocks advanced.
//!
//! After a stall, all that this controller knows may be out of date: its lease may have expired,
//! another controller may lead, and the silence that it seems to observe in others may be its own.
//! A leader is therefore unverified after a stall until the store has answered a read or watch of
//! the control keys that was sent after the stall. An unverified leader commands no worker and
//! answers no heartbeat. If the store answers nothing at all, the leader continues like any leader
//! that is partitioned from the store: until the lease bound has elapsed, on which safety depends.

use crate::context::Context;
use crate::controller::Controller;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum StallState {
    #[default]
    Verified,
    /// This controller held the leadership at the last stall and does not know whether it still
    /// does.
    Unverified,
}

/// Process stalls, and whether the leadership has been verified since the last one.
#[derive(Debug, Default)]
pub(crate) struct ProcessStall {
    state: StallState,
    resumed_ms: u64,
    count: u64,
}

impl ProcessStall {
    /// Returns when the process last resumed after a stall, in steady milliseconds, or 0 if it
    /// never stalled.
    pub fn resumed_ms(&self) -> u64 {
        self.resumed_ms
    }

    /// Returns the number of stalls since the process started.
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

    /// Returns the time by which the store, if reachable, should have answered a request sent after
    /// the stall.
    fn answer_due_ms(&self, context: &Context) -> u64 {
        self.resumed_ms + 2 * context.config.store_timeout_ms()
    }
}

impl Controller {
    /// Changes whether this controller's leadership counts as verified. No other function does.
    fn set_stall_state(&mut self, state: StallState) {
        if std::mem::replace(&mut self.stall.state, state) == state {
            return;
        }
        if state == StallState::Verified {
            self.machines_to_command.extend(self.machines.indexes());
            self.retry_held_heartbeats();
        }
    }

    /// Handles a stall: more time has passed between two events than ever does while the process
    /// runs.
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

    /// Returns whether it is unknown, since the last stall, if this controller still leads.
    pub(crate) fn leadership_unverified(&self) -> bool {
        self.stall.is_unverified()
    }

    /// Marks the leadership as verified once the control keys are known as of the end of the stall
    /// or later, once the store has answered nothing since the stall for longer than an answer
    /// takes, or if this controller no longer holds the leadership.
    pub(crate) fn verify_leadership(&mut self) {
        let resumed_ms = self.stall.resumed_ms;
        let overdue = self.context.now.steady_ms >= self.stall.answer_due_ms(&self.context);
        let store_unreachable = overdue && !self.membership.store_answered_since(resumed_ms);
        let holds_leadership = self.membership.role().holds_leadership();
        if self.leadership_unverified()
            && (store_unreachable
                || !holds_leadership
                || self.membership.epoch_known_since(resumed_ms))
        {
            self.set_stall_state(StallState::Verified);
        }
    }
}
