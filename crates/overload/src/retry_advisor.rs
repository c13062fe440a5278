//! When rejected clients should retry.

use rand::Rng;

/// Time constant with which the rejection rate is averaged, in milliseconds.
const RATE_WINDOW_MS: f64 = 2_000.0;
/// Longest advised wait, in seconds: clients give up after a minute (PROTOCOL).
const MAX_RETRY_AFTER_S: f64 = 10.0;
/// Shortest advised wait, in seconds.
const MIN_RETRY_AFTER_S: f64 = 1.0;
/// Lowest service rate that is reckoned with, so that the wait stays finite.
const MIN_SERVICE_RATE: f64 = 0.1;

/// Spreads the retries of rejected clients over about the time that serving them all takes.
#[derive(Clone, Debug, Default)]
pub struct RetryAdvisor {
    /// Exponentially averaged rate of rejections.
    rejections_per_s: f64,
    last_rejection_ms: u64,
    total_rejections: u64,
}

impl RetryAdvisor {
    /// Records a rejection and returns after how many whole seconds the client should retry,
    /// where `served_per_s` requests a second can be served.
    pub fn reject<R: Rng>(&mut self, now_ms: u64, served_per_s: f64, rng: &mut R) -> u32 {
        self.record_rejection(now_ms);
        let time_to_serve_s = self.rejections_per_s / served_per_s.max(MIN_SERVICE_RATE);
        let delay_s = rng.random_range(0.0..=1.0) * 2.0 * time_to_serve_s;
        MIN_RETRY_AFTER_S as u32 + delay_s.min(MAX_RETRY_AFTER_S - MIN_RETRY_AFTER_S) as u32
    }

    /// All rejections so far.
    pub fn total_rejections(&self) -> u64 {
        self.total_rejections
    }

    fn record_rejection(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.last_rejection_ms) as f64;
        let decay = (-elapsed_ms / RATE_WINDOW_MS).exp();
        self.rejections_per_s = self.rejections_per_s * decay + 1_000.0 / RATE_WINDOW_MS;
        self.last_rejection_ms = now_ms;
        self.total_rejections += 1;
    }
}
