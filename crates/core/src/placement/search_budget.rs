//! Rate limit on machine scans, so that placement leaves processor time for heartbeats.

use crate::storage::rate_limiter::RateLimiter;
use crate::LoadState;

/// Approximate number of machines that one core can scan in a second.
const SCANS_PER_CORE_S: f64 = 3e6;
/// Fraction of the processor that placement may use for scanning machines.
const PLACEMENT_CPU_FRACTION: f64 = 0.25;
/// Fraction of [`PLACEMENT_CPU_FRACTION`] that is allowed under moderate load.
const ELEVATED_FRACTION: f64 = 0.5;
/// Fraction of [`PLACEMENT_CPU_FRACTION`] that is allowed while requests are shed.
const SHEDDING_FRACTION: f64 = 0.2;

/// Rate limit on machine scans, in proportion to the processor share of this process.
pub(crate) struct SearchBudget {
    scan_limiter: RateLimiter,
    /// Scans per second that the whole processor share would allow.
    max_scans_per_s: f64,
}

impl SearchBudget {
    /// Creates a budget for a processor share of this many cores.
    pub fn new(cpu_share: f64) -> Self {
        let max_scans_per_s = cpu_share.max(0.01) * SCANS_PER_CORE_S;
        let scan_limiter = RateLimiter::new(max_scans_per_s * PLACEMENT_CPU_FRACTION);
        SearchBudget { scan_limiter, max_scans_per_s }
    }

    /// Adapts the budget to the load of the process, because heartbeats take precedence over
    /// placement.
    pub fn adapt_to_load(&mut self, state: LoadState) {
        let fraction = match state {
            LoadState::Normal => 1.0,
            LoadState::Elevated => ELEVATED_FRACTION,
            LoadState::Shedding => SHEDDING_FRACTION,
        };
        self.scan_limiter.set_rate(self.max_scans_per_s * PLACEMENT_CPU_FRACTION * fraction);
    }

    /// Returns whether machines may be scanned now. A scan of the whole fleet is allowed as soon as
    /// the cost of the last one is paid back, however large the fleet is.
    pub fn is_available(&mut self, now_ms: u64) -> bool {
        self.scan_limiter.available(now_ms, 0.0) > 0.0
    }

    /// Charges the budget for scanning this many machines, even if that overdraws it.
    pub fn spend(&mut self, now_ms: u64, machines: usize) {
        self.scan_limiter.charge(now_ms, machines as f64);
    }
}
