//! Admission control: submissions are accepted only as fast as their jobs can be recorded.
//!
//! After the write that accepts a job, the job needs further writes to the key-value store for its
//! placements and its end. If acceptances used up the whole write rate, accepted jobs would never
//! start, and the status queries of waiting users would add to the load. While the rate limit
//! defers writes that tasks wait for, acceptances therefore get only a part of the write rate. A
//! rejected user is told at once when to retry. The advised delay grows with the number of
//! rejections and is randomized, so that retries are spread out.
//!
//! [`WriteCapacity`] states whether the write rate is sufficient.

use quartzgate_overload::RetryAdvisor;
use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{ErrorAnswer, Priority};
use quartzgate_wire::to_cbor;

use crate::controller::Controller;
use crate::storage::rate_limiter::RateLimiter;
use crate::RequestId;

/// Fraction of the write rate that acceptances get while writes are short.
const ACCEPTANCE_FRACTION: f64 = 0.5;
/// Number of batch intervals of the record writer for which writes must have been deferred, or not
/// deferred, before [`WriteCapacity::Short`] is entered or left.
const SETTLING_BATCHES: u64 = 2;

/// Whether the store's rate limit allows all writes that tasks wait for. Times are steady times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteCapacity {
    /// No flush has recently deferred a write.
    Sufficient,
    /// Writes have been deferred since `since_ms`, which is not long enough to limit acceptances.
    Tight { since_ms: u64 },
    /// Writes have been deferred for longer, most recently at `last_deferral_ms`: acceptances are
    /// limited.
    Short { last_deferral_ms: u64 },
}

impl WriteCapacity {
    /// Returns the state after a flush of the record writer. `writes_deferred` tells whether the
    /// flush had to defer writes that tasks wait for.
    fn after_flush(self, writes_deferred: bool, now_ms: u64, settling_ms: u64) -> WriteCapacity {
        match (self, writes_deferred) {
            (WriteCapacity::Sufficient, true) => WriteCapacity::Tight { since_ms: now_ms },
            (WriteCapacity::Tight { since_ms }, true) if now_ms >= since_ms + settling_ms => {
                WriteCapacity::Short { last_deferral_ms: now_ms }
            }
            (WriteCapacity::Tight { .. }, false) => WriteCapacity::Sufficient,
            (WriteCapacity::Short { .. }, true) => {
                WriteCapacity::Short { last_deferral_ms: now_ms }
            }
            (WriteCapacity::Short { last_deferral_ms }, false)
                if now_ms >= last_deferral_ms + settling_ms =>
            {
                WriteCapacity::Sufficient
            }
            (unchanged, _) => unchanged,
        }
    }
}

/// The leader's admission control.
pub(crate) struct AdmissionControl {
    write_capacity: WriteCapacity,
    /// Rate limiter of acceptances, applied while writes are short.
    acceptances: RateLimiter,
    retry_advisor: RetryAdvisor,
}

impl AdmissionControl {
    /// Creates the admission control of a controller that may make `write_rate` writes per second.
    pub fn new(write_rate: f64) -> Self {
        AdmissionControl {
            write_capacity: WriteCapacity::Sufficient,
            acceptances: RateLimiter::new(write_rate * ACCEPTANCE_FRACTION),
            retry_advisor: RetryAdvisor::default(),
        }
    }

    /// Changes the number of writes per second that this controller may make.
    pub fn set_rate(&mut self, write_rate: f64) {
        self.acceptances.set_rate(write_rate * ACCEPTANCE_FRACTION);
    }

    /// Returns whether acceptances are limited because writes have been short for some time.
    pub fn is_write_capacity_short(&self) -> bool {
        matches!(self.write_capacity, WriteCapacity::Short { .. })
    }

    /// Returns the number of submissions rejected because the write rate was used up.
    pub fn rejections(&self) -> u64 {
        self.retry_advisor.total_rejections()
    }
}

impl Controller {
    /// Changes the write capacity and logs when acceptances begin or cease to be limited. No other
    /// function changes this state.
    fn set_write_capacity(&mut self, write_capacity: WriteCapacity) {
        let old = std::mem::replace(&mut self.admission.write_capacity, write_capacity);
        match (old, write_capacity) {
            (WriteCapacity::Short { .. }, WriteCapacity::Sufficient) => {
                tracing::info!("writes suffice again: all submissions are accepted");
            }
            (WriteCapacity::Tight { since_ms }, WriteCapacity::Short { .. }) => {
                let behind_ms = self.context.now.steady_ms - since_ms;
                let records = self.record_writer.unwritten_records();
                tracing::info!(behind_ms, records, "writes are short: submissions are limited");
            }
            _ => {}
        }
    }

    /// Updates the write capacity after a flush of the record writer. `writes_deferred` tells whether
    /// the flush had to defer writes that tasks wait for.
    pub(crate) fn update_write_capacity(&mut self, writes_deferred: bool) {
        let now_ms = self.context.now.steady_ms;
        let settling_ms = SETTLING_BATCHES * self.context.config.write_batch_ms();
        let write_capacity =
            self.admission.write_capacity.after_flush(writes_deferred, now_ms, settling_ms);
        self.set_write_capacity(write_capacity);
    }

    /// Takes the write that accepts a job from the rate limit. Returns false if the limit allows
    /// none. While writes are short, jobs of high priority may use the whole write rate and all
    /// others only the fraction for acceptances.
    pub(crate) fn try_take_acceptance_write(&mut self, priority: Priority) -> bool {
        let now_ms = self.context.now.steady_ms;
        let is_limited = self.admission.is_write_capacity_short() && priority < Priority::High;
        if is_limited && self.admission.acceptances.available(now_ms, 0.0) < 1.0 {
            return false;
        }
        let is_taken = self.record_writer.write_limiter.take(now_ms, 1.0, 0.0);
        if is_taken {
            self.admission.acceptances.charge(now_ms, 1.0);
        }
        is_taken
    }

    /// Takes a write for the first placement of a job, to be written with its acceptance. Returns
    /// false if the rate limit allows none. While writes are short, also returns false for jobs
    /// below high priority, which would otherwise overtake jobs that have waited for longer.
    pub(crate) fn try_take_placement_write(&mut self, priority: Priority) -> bool {
        let now_ms = self.context.now.steady_ms;
        (!self.admission.is_write_capacity_short() || priority >= Priority::High)
            && self.record_writer.write_limiter.take(now_ms, 1.0, 0.0)
    }

    /// Rejects a submission and advises the user when to retry it.
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
