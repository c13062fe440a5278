//! New work is taken only as fast as it can be recorded.
//!
//! Every accepted job needs more changes at the state service after the one that accepts
//! it: those that name its tasks' machines, and its end. If acceptances took all changes,
//! what is accepted would never start, and waiting users would ask again on top. So while
//! changes that tasks wait for are left behind for lack of budget, acceptances get a part
//! of it, and whoever is turned away is told at once when to come back: the later, the
//! more there are, and each at another moment.

use quartzgate_overload::RetryAdvisor;
use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{ErrorAnswer, Rank};
use quartzgate_wire::to_cbor;

use crate::budget::Budget;
use crate::controller::Controller;
use crate::RequestId;

/// How the state service's changes stand to what there is to write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Supply {
    Ample,
    /// Changes that tasks wait for have been left behind since then.
    Tight {
        since_ms: u64,
    },
    /// They have been for longer than a moment; the last time was then.
    Short {
        left_ms: u64,
    },
}

/// Part of the changes that acceptances get while they are short.
const ACCEPT_SHARE: f64 = 0.5;

pub(crate) struct Admission {
    pub supply: Supply,
    accepts: Budget,
    pub retry_advisor: RetryAdvisor,
}

impl Admission {
    pub fn new(write_rate: f64) -> Self {
        Admission {
            supply: Supply::Ample,
            accepts: Budget::new(write_rate * ACCEPT_SHARE),
            retry_advisor: RetryAdvisor::default(),
        }
    }

    pub fn set_rate(&mut self, write_rate: f64) {
        self.accepts.set_rate(write_rate * ACCEPT_SHARE);
    }

    pub fn short(&self) -> bool {
        matches!(self.supply, Supply::Short { .. })
    }
}

impl Controller {
    /// The one function that changes how changes are thought to suffice.
    fn supply_to(&mut self, supply: Supply) {
        let old = std::mem::replace(&mut self.admission.supply, supply);
        match (old, supply) {
            (Supply::Short { .. }, Supply::Ample) => {
                tracing::info!("writes suffice again: all submissions are taken");
            }
            (Supply::Tight { since_ms }, Supply::Short { .. }) => {
                let behind_ms = self.now.steady_ms - since_ms;
                let records = self.store.behind();
                tracing::info!(behind_ms, records, "writes are short: submissions are held back");
            }
            _ => {}
        }
    }

    /// Whether, at a look at what there is to write, changes that tasks wait for had to
    /// be left behind.
    pub(crate) fn weigh_supply(&mut self, left: bool) {
        let (now, moment) = (self.now.steady_ms, 2 * self.cfg.batch_ms());
        let next = match (self.admission.supply, left) {
            (Supply::Ample, true) => Supply::Tight { since_ms: now },
            (Supply::Tight { since_ms }, true) if now >= since_ms + moment => {
                Supply::Short { left_ms: now }
            }
            (Supply::Tight { .. }, false) => Supply::Ample,
            (Supply::Short { .. }, true) => Supply::Short { left_ms: now },
            (Supply::Short { left_ms }, false) if now >= left_ms + moment => Supply::Ample,
            (same, _) => same,
        };
        self.supply_to(next);
    }

    /// Takes the change that accepts a job, if one is to be had. While they are short,
    /// what is urgent is taken as it comes, and all else from acceptances' part.
    pub(crate) fn may_accept(&mut self, rank: Rank) -> bool {
        let now = self.now.steady_ms;
        let held = self.admission.short() && rank < Rank::High;
        if held && self.admission.accepts.room(now, 0.0) < 1.0 {
            return false;
        }
        let taken = self.store.writes.take(now, 1.0, 0.0);
        if taken {
            self.admission.accepts.force(now, 1.0);
        }
        taken
    }

    /// Whether a job's first deal goes with its acceptance: while changes are short it
    /// would go ahead of what has waited for longer.
    pub(crate) fn may_deal_at_once(&mut self, rank: Rank) -> bool {
        let now = self.now.steady_ms;
        (!self.admission.short() || rank >= Rank::High) && self.store.writes.take(now, 1.0, 0.0)
    }

    /// Turns a submission away, with the time after which it may be taken.
    pub(crate) fn turn_away(&mut self, id: RequestId) {
        let (now, rate) = (self.now.steady_ms, self.admission.accepts.rate());
        let later = self.admission.retry_advisor.reject(now, rate, &mut self.rng);
        let error = "the state service takes no more writes at present".to_string();
        let mut response = Response::new(429, to_cbor(&ErrorAnswer { error }));
        response.retry_after_s = Some(later);
        self.answer(id, response);
    }
}
