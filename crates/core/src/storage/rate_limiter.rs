//! Budgets for what the state service and the cloud allow a second.

/// A token bucket that holds up to one second's worth.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    per_s: f64,
    level: f64,
    at_ms: u64,
    closed_until_ms: u64,
}

impl RateLimiter {
    pub fn new(per_s: f64) -> Self {
        RateLimiter { per_s, level: per_s, at_ms: 0, closed_until_ms: 0 }
    }

    /// The limit has changed.
    pub fn set_rate(&mut self, per_s: f64) {
        self.per_s = per_s;
        self.level = self.level.min(per_s);
    }

    pub fn rate(&self) -> f64 {
        self.per_s
    }

    fn refill(&mut self, now_ms: u64) {
        let passed = now_ms.saturating_sub(self.at_ms) as f64 / 1000.0;
        self.level = (self.level + passed * self.per_s).min(self.per_s);
        self.at_ms = now_ms;
    }

    /// How much may be spent now while `reserve` (a share of a second's worth)
    /// stays for what is more pressing.
    pub fn room(&mut self, now_ms: u64, reserve: f64) -> f64 {
        if now_ms < self.closed_until_ms {
            return 0.0;
        }
        self.refill(now_ms);
        (self.level - reserve * self.per_s).max(0.0)
    }

    pub fn take(&mut self, now_ms: u64, amount: f64, reserve: f64) -> bool {
        let ok = self.room(now_ms, reserve) >= amount;
        if ok {
            self.level -= amount;
        }
        ok
    }

    /// Spends what can't wait; the debt is paid back first.
    pub fn force(&mut self, now_ms: u64, amount: f64) {
        self.refill(now_ms);
        self.level -= amount;
    }

    /// The other side said 429 or 503: nothing more until then.
    pub fn close(&mut self, now_ms: u64, for_ms: u64) {
        self.closed_until_ms = self.closed_until_ms.max(now_ms + for_ms);
    }
}
