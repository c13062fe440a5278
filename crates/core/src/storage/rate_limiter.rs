//! Rate limiter for calls to the key-value store and the cloud.

/// Token bucket that holds up to one second's worth of tokens. Times are in milliseconds of the
/// monotonic clock.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    tokens_per_s: f64,
    /// Negative while tokens taken by [`RateLimiter::charge`] have not been replenished.
    tokens: f64,
    refilled_ms: u64,
    paused_until_ms: u64,
}

impl RateLimiter {
    /// Creates a full bucket.
    pub fn new(tokens_per_s: f64) -> Self {
        RateLimiter { tokens_per_s, tokens: tokens_per_s, refilled_ms: 0, paused_until_ms: 0 }
    }

    /// Changes the rate. Tokens beyond the bucket's new capacity are dropped.
    pub fn set_rate(&mut self, tokens_per_s: f64) {
        self.tokens_per_s = tokens_per_s;
        self.tokens = self.tokens.min(tokens_per_s);
    }

    /// Returns the rate in tokens per second.
    pub fn rate(&self) -> f64 {
        self.tokens_per_s
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.refilled_ms) as f64 / 1000.0;
        self.tokens = (self.tokens + elapsed_s * self.tokens_per_s).min(self.tokens_per_s);
        self.refilled_ms = now_ms;
    }

    /// Returns the number of tokens that may be taken now while `reserve`, a fraction of one
    /// second's worth, is left for more urgent uses.
    pub fn available(&mut self, now_ms: u64, reserve: f64) -> f64 {
        if self.is_paused(now_ms) {
            return 0.0;
        }
        self.refill(now_ms);
        (self.tokens - reserve * self.tokens_per_s).max(0.0)
    }

    /// Takes `amount` tokens if the reserve is left afterwards; otherwise takes none and returns
    /// false.
    pub fn take(&mut self, now_ms: u64, amount: f64, reserve: f64) -> bool {
        let allowed = self.available(now_ms, reserve) >= amount;
        if allowed {
            self.tokens -= amount;
        }
        allowed
    }

    /// Takes tokens for a call that can't wait, even if too few are left. Later refills make up for
    /// the deficit before tokens are available again.
    pub fn charge(&mut self, now_ms: u64, amount: f64) {
        self.refill(now_ms);
        self.tokens -= amount;
    }

    /// Returns whether no tokens are available because the service has refused a call.
    pub fn is_paused(&self, now_ms: u64) -> bool {
        now_ms < self.paused_until_ms
    }

    /// Makes tokens unavailable for this duration, after the service has refused a call with 429 or
    /// 503.
    pub fn pause(&mut self, now_ms: u64, duration_ms: u64) {
        self.paused_until_ms = self.paused_until_ms.max(now_ms + duration_ms);
    }
}
