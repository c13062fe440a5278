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
use quartzgate_wire::msg::{ErrorAnswer, Priority};
use quartzgate_wire::to_cbor;

use crate::controller::Controller;
use crate::storage::rate_limiter::RateLimiter;
use crate::RequestId;

/// How the state service's changes stand to what there is to write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteSupply {
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

pub(crate) struct AdmissionControl {
    pub supply: WriteSupply,
    accepts: RateLimiter,
    pub retry_advisor: RetryAdvisor,
}

impl AdmissionControl {
    pub fn new(write_rate: f64) -> Self {
        AdmissionControl {
            supply: WriteSupply::Ample,
            accepts: RateLimiter::new(write_rate * ACCEPT_SHARE),
            retry_advisor: RetryAdvisor::default(),
        }
    }

    pub fn set_rate(&mut self, write_rate: f64) {
        self.accepts.set_rate(write_rate * ACCEPT_SHARE);
    }

    pub fn short(&self) -> bool {
        matches!(self.supply, WriteSupply::Short { .. })
    }
}

impl Controller {
    /// The one function that changes how changes are thought to suffice.
    fn set_write_supply(&mut self, supply: WriteSupply) {
        let old = std::mem::replace(&mut self.admission.supply, supply);
        match (old, supply) {
            (WriteSupply::Short { .. }, WriteSupply::Ample) => {
                tracing::info!("writes suffice again: all submissions are taken");
            }
            (WriteSupply::Tight { since_ms }, WriteSupply::Short { .. }) => {
                let behind_ms = self.context.now.steady_ms - since_ms;
                let records = self.record_writer.unwritten_records();
                tracing::info!(behind_ms, records, "writes are short: submissions are held back");
            }
            _ => {}
        }
    }

    /// Whether, at a look at what there is to write, changes that tasks wait for had to
    /// be left behind.
    pub(crate) fn update_write_supply(&mut self, left: bool) {
        let (now, moment) = (self.context.now.steady_ms, 2 * self.context.config.write_batch_ms());
        let next = match (self.admission.supply, left) {
            (WriteSupply::Ample, true) => WriteSupply::Tight { since_ms: now },
            (WriteSupply::Tight { since_ms }, true) if now >= since_ms + moment => {
                WriteSupply::Short { left_ms: now }
            }
            (WriteSupply::Tight { .. }, false) => WriteSupply::Ample,
            (WriteSupply::Short { .. }, true) => WriteSupply::Short { left_ms: now },
            (WriteSupply::Short { left_ms }, false) if now >= left_ms + moment => {
                WriteSupply::Ample
            }
            (same, _) => same,
        };
        self.set_write_supply(next);
    }

    /// Takes the change that accepts a job, if one is to be had. While they are short,
    /// what is urgent is taken as it comes, and all else from acceptances' part.
    pub(crate) fn may_accept(&mut self, priority: Priority) -> bool {
        let now = self.context.now.steady_ms;
        let held = self.admission.short() && priority < Priority::High;
        if held && self.admission.accepts.room(now, 0.0) < 1.0 {
            return false;
        }
        let taken = self.record_writer.writes.take(now, 1.0, 0.0);
        if taken {
            self.admission.accepts.force(now, 1.0);
        }
        taken
    }

    /// Whether a job's first deal goes with its acceptance: while changes are short it
    /// would go ahead of what has waited for longer.
    pub(crate) fn may_place_immediately(&mut self, priority: Priority) -> bool {
        let now = self.context.now.steady_ms;
        (!self.admission.short() || priority >= Priority::High)
            && self.record_writer.writes.take(now, 1.0, 0.0)
    }

    /// Turns a submission away, with the time after which it may be taken.
    pub(crate) fn reject_overloaded(&mut self, id: RequestId) {
        let (now, rate) = (self.context.now.steady_ms, self.admission.accepts.rate());
        let later = self.admission.retry_advisor.reject(now, rate, &mut self.context.rng);
        let error = "the state service takes no more writes at present".to_string();
        let mut response = Response::new(429, to_cbor(&ErrorAnswer { error }));
        response.retry_after_s = Some(later);
        self.answer(id, response);
    }
}
