//! The rate limit of looks at machines, so that placement leaves processor time for heartbeats.

use crate::storage::rate_limiter::RateLimiter;
use crate::LoadState;

/// Machines that one core can look at in a second, roughly.
const LOOKS_PER_CORE_S: f64 = 3e6;
/// Part of the processor that placement may use for looking at machines.
const PLACEMENT_CPU_FRACTION: f64 = 0.25;
/// Part of that under moderate load.
const PRESSED_FRACTION: f64 = 0.5;
/// Part of that while requests are shed.
const SHEDDING_FRACTION: f64 = 0.2;

/// Rate limit of looks at machines, in proportion to the processor.
pub(crate) struct SearchBudget {
    looks: RateLimiter,
    /// Looks a second that the whole processor would allow.
    max_looks_per_s: f64,
}

impl SearchBudget {
    /// A budget for this many cores.
    pub fn new(cpu_share: f64) -> Self {
        let max_looks_per_s = cpu_share.max(0.01) * LOOKS_PER_CORE_S;
        let looks = RateLimiter::new(max_looks_per_s * PLACEMENT_CPU_FRACTION);
        SearchBudget { looks, max_looks_per_s }
    }

    /// Adapts the budget to the load of the process: heartbeats go before placement.
    pub fn adapt_to_load(&mut self, state: LoadState) {
        let fraction = match state {
            LoadState::Normal => 1.0,
            LoadState::Pressed => PRESSED_FRACTION,
            LoadState::Shedding => SHEDDING_FRACTION,
        };
        self.looks.set_rate(self.max_looks_per_s * PLACEMENT_CPU_FRACTION * fraction);
    }

    /// Whether machines may be looked at now. One look at the whole fleet is allowed as soon as the
    /// last is paid for, however large the fleet is.
    pub fn left(&mut self, now_ms: u64) -> bool {
        self.looks.available(now_ms, 0.0) > 0.0
    }

    /// Counts looks at so many machines.
    pub fn spend(&mut self, now_ms: u64, machines: usize) {
        self.looks.force(now_ms, machines as f64);
    }
}
