//! Advises rejected clients when to retry.

use rand::Rng;

/// Time constant of the exponential average of the rejection rate, in milliseconds.
const RATE_WINDOW_MS: f64 = 2_000.0;
/// Longest advised delay, in seconds; by the protocol, clients give up after one minute.
const MAX_RETRY_AFTER_S: f64 = 10.0;
/// Shortest advised delay, in seconds.
const MIN_RETRY_AFTER_S: f64 = 1.0;
/// Lower bound of the service rate, in requests per second, which keeps the delay finite.
const MIN_SERVICE_RATE: f64 = 0.1;

/// Spreads the retries of rejected clients, so that the mean delay is about the time that it takes
/// to serve them all.
#[derive(Clone, Debug, Default)]
pub struct RetryAdvisor {
    /// Exponentially averaged rate of rejections per second.
    rejections_per_s: f64,
    last_rejection_ms: u64,
    total_rejections: u64,
}

impl RetryAdvisor {
    /// Records a rejection and returns after how many whole seconds the client should retry.
    /// `served_per_s` is the number of requests that can be served per second.
    pub fn reject<R: Rng>(&mut self, now_ms: u64, served_per_s: f64, rng: &mut R) -> u32 {
        self.record_rejection(now_ms);
        let time_to_serve_s = self.rejections_per_s / served_per_s.max(MIN_SERVICE_RATE);
        let delay_s = rng.random_range(0.0..=1.0) * 2.0 * time_to_serve_s;
        MIN_RETRY_AFTER_S as u32 + delay_s.min(MAX_RETRY_AFTER_S - MIN_RETRY_AFTER_S) as u32
    }

    /// Returns the number of rejections since the advisor was created.
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
