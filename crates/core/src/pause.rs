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
use crate::member::Role;
use crate::RequestId;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Waking {
    Awake,
    /// Stood still, and has not heard since whether it still leads.
    Doubtful,
}

pub(crate) struct Pause {
    waking: Waking,
    /// When it last woke, and how often it has.
    pub woke_ms: u64,
    pub noticed: u64,
    held: BoundedList<HeldReport>,
}

/// A report that can't be answered before more is known: who leads, or what the records say.
struct HeldReport {
    request: RequestId,
    body: Vec<u8>,
    /// The sibling that passed it on.
    relayer: Option<usize>,
    until_ms: u64,
}

impl Pause {
    pub fn new(cfg: &Config) -> Self {
        let held = BoundedList::new(cfg.max_held_heartbeats(), cfg.max_held_bytes());
        Pause { waking: Waking::Awake, woke_ms: 0, noticed: 0, held }
    }
}

impl Controller {
    /// The one function that changes whether this controller doubts what it knows.
    fn waking_to(&mut self, waking: Waking) {
        if std::mem::replace(&mut self.pause.waking, waking) == waking {
            return;
        }
        if waking == Waking::Awake {
            self.needs_orders.extend(self.machines.indexes());
            self.retry_held();
        }
    }

    /// More time has passed between two events than ever does while this runs.
    pub(crate) fn woke(&mut self, gap_ms: u64) {
        tracing::info!(for_ms = gap_ms, "stood still while the clocks ran on");
        self.pause.woke_ms = self.now.steady_ms;
        self.pause.noticed += 1;
        self.machines.idle_later(gap_ms, self.now.steady_ms);
        self.ask_anew();
        if matches!(self.member.role, Role::Leading | Role::Restoring) {
            self.waking_to(Waking::Doubtful);
        }
    }

    pub(crate) fn in_doubt(&self) -> bool {
        self.pause.waking == Waking::Doubtful
    }

    pub(crate) fn hold_report(
        &mut self,
        request: RequestId,
        body: Vec<u8>,
        relayer: Option<usize>,
    ) {
        let until_ms = self.now.steady_ms + self.cfg.park_ms();
        let bytes = body.len();
        let held = HeldReport { request, body, relayer, until_ms };
        if !self.pause.held.push(held, bytes) {
            self.redirect(request);
        }
    }

    /// A worker that has waited for long enough looks elsewhere, while its lease still has time.
    /// While the records are read, the others are looked at as the reading gets on.
    pub(crate) fn tick_held(&mut self) {
        let now = self.now.steady_ms;
        for (report, bytes) in self.pause.held.take() {
            let request = report.request;
            if now >= report.until_ms || !self.pause.held.push(report, bytes) {
                self.redirect(request);
            }
        }
        if !self.in_doubt() && self.member.role != Role::Restoring {
            self.retry_held();
        }
    }

    /// Answers held reports that can be answered now.
    pub(crate) fn retry_held(&mut self) {
        for (report, _) in self.pause.held.take() {
            let held = self.pause.held.len();
            self.on_checkin(report.request, report.body, report.relayer);
            // It waits on for as long as it might at first.
            if let Some(again) = self.pause.held.get_mut(held) {
                again.until_ms = report.until_ms;
            }
        }
    }

    /// Ends the doubt once something sent after waking has been answered, or nothing
    /// has been for longer than an answer takes.
    pub(crate) fn settle_doubt(&mut self) {
        let woke = self.pause.woke_ms;
        let cut_off = self.now.steady_ms >= woke + 2 * self.cfg.state_timeout_ms()
            && !self.member.state_answered_since(woke);
        let leads = matches!(self.member.role, Role::Leading | Role::Restoring);
        if self.in_doubt() && (cut_off || !leads || self.member.view_known_since(woke)) {
            self.waking_to(Waking::Awake);
        }
    }
}
