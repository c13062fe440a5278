//! Admission control: submissions are accepted only as fast as their jobs can be recorded.
//!
//! Every accepted job needs more writes to the key-value store after the one that accepts it: its
//! placements, and its end. If acceptances used up all writes, accepted jobs would never start, and
//! waiting users would query on top. While writes that tasks wait for are left behind for lack of
//! rate, acceptances therefore get a part of the writes only, and a rejected user is told at once
//! when to retry: the later, the more are rejected, and each at another moment.
//!
//! The module owns the state of the supply of writes, [`WriteSupply`].

use quartzgate_overload::RetryAdvisor;
use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{ErrorAnswer, Priority};
use quartzgate_wire::to_cbor;

use crate::controller::Controller;
use crate::storage::rate_limiter::RateLimiter;
use crate::RequestId;

/// Part of the writes that acceptances get while writes are short.
const ACCEPTANCE_FRACTION: f64 = 0.5;
/// The supply of writes changes its state after this many batch intervals of the writer.
const SETTLING_BATCHES: u64 = 2;

/// Whether the store's rate limit allows all writes that tasks wait for. Times are steady.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteSupply {
    Ample,
    /// Writes have been left behind since then, for a short time yet.
    Tight {
        since_ms: u64,
    },
    /// Writes have been left behind for longer, most recently then.
    Short {
        last_left_ms: u64,
    },
}

impl WriteSupply {
    /// The state after a flush, which has left writes behind or not.
    fn after_flush(self, writes_left: bool, now_ms: u64, settling_ms: u64) -> WriteSupply {
        match (self, writes_left) {
            (WriteSupply::Ample, true) => WriteSupply::Tight { since_ms: now_ms },
            (WriteSupply::Tight { since_ms }, true) if now_ms >= since_ms + settling_ms => {
                WriteSupply::Short { last_left_ms: now_ms }
            }
            (WriteSupply::Tight { .. }, false) => WriteSupply::Ample,
            (WriteSupply::Short { .. }, true) => WriteSupply::Short { last_left_ms: now_ms },
            (WriteSupply::Short { last_left_ms }, false)
                if now_ms >= last_left_ms + settling_ms =>
            {
                WriteSupply::Ample
            }
            (unchanged, _) => unchanged,
        }
    }
}

/// The leader's admission control.
pub(crate) struct AdmissionControl {
    supply: WriteSupply,
    /// Limits acceptances while writes are short.
    acceptances: RateLimiter,
    retry_advisor: RetryAdvisor,
}

impl AdmissionControl {
    /// `write_rate`: writes a second that this controller may make.
    pub fn new(write_rate: f64) -> Self {
        AdmissionControl {
            supply: WriteSupply::Ample,
            acceptances: RateLimiter::new(write_rate * ACCEPTANCE_FRACTION),
            retry_advisor: RetryAdvisor::default(),
        }
    }

    /// Adapts to another rate of writes a second.
    pub fn set_rate(&mut self, write_rate: f64) {
        self.acceptances.set_rate(write_rate * ACCEPTANCE_FRACTION);
    }

    /// Whether writes have been short for a while, so that acceptances are limited.
    pub fn short(&self) -> bool {
        matches!(self.supply, WriteSupply::Short { .. })
    }

    /// Number of submissions rejected for lack of writes.
    pub fn rejections(&self) -> u64 {
        self.retry_advisor.total_rejections()
    }
}

impl Controller {
    /// The one function that changes the state of the supply of writes.
    fn set_write_supply(&mut self, supply: WriteSupply) {
        let old = std::mem::replace(&mut self.admission.supply, supply);
        match (old, supply) {
            (WriteSupply::Short { .. }, WriteSupply::Ample) => {
                tracing::info!("writes suffice again: all submissions are accepted");
            }
            (WriteSupply::Tight { since_ms }, WriteSupply::Short { .. }) => {
                let behind_ms = self.context.now.steady_ms - since_ms;
                let records = self.record_writer.unwritten_records();
                tracing::info!(behind_ms, records, "writes are short: submissions are limited");
            }
            _ => {}
        }
    }

    /// Notes whether a flush had to leave writes behind that tasks wait for (`left`).
    pub(crate) fn update_write_supply(&mut self, left: bool) {
        let now_ms = self.context.now.steady_ms;
        let settling_ms = SETTLING_BATCHES * self.context.config.write_batch_ms();
        let supply = self.admission.supply.after_flush(left, now_ms, settling_ms);
        self.set_write_supply(supply);
    }

    /// Takes the write that accepts a job from the rate limit; false if there is none. While writes
    /// are short, urgent jobs have them all, and any other only the acceptances' part.
    pub(crate) fn may_accept(&mut self, priority: Priority) -> bool {
        let now_ms = self.context.now.steady_ms;
        let is_limited = self.admission.short() && priority < Priority::High;
        if is_limited && self.admission.acceptances.available(now_ms, 0.0) < 1.0 {
            return false;
        }
        let is_taken = self.record_writer.writes.take(now_ms, 1.0, 0.0);
        if is_taken {
            self.admission.acceptances.force(now_ms, 1.0);
        }
        is_taken
    }

    /// Takes a write for the first placement of a job, to be written with its acceptance; false if
    /// there is none. While writes are short, a job that is not urgent would overtake those that
    /// have waited for longer.
    pub(crate) fn may_place_immediately(&mut self, priority: Priority) -> bool {
        let now_ms = self.context.now.steady_ms;
        (!self.admission.short() || priority >= Priority::High)
            && self.record_writer.writes.take(now_ms, 1.0, 0.0)
    }

    /// Rejects a submission, with the time after which to retry it.
    pub(crate) fn reject_overloaded(&mut self, id: RequestId) {
        let (now_ms, rate) = (self.context.now.steady_ms, self.admission.acceptances.rate());
        let retry_advisor = &mut self.admission.retry_advisor;
        let retry_after_s = retry_advisor.reject(now_ms, rate, &mut self.context.rng);
        let error = "the state service takes no more writes at present".to_string();
        let mut response = Response::new(429, to_cbor(&ErrorAnswer { error }));
        response.retry_after_s = Some(retry_after_s);
        self.answer(id, response);
    }
}
