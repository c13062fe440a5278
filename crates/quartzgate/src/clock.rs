//! The monotonic clock and the wall clock of this process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use quartzgate_core::Now;

/// A monotonic clock in milliseconds since its start, which also reads the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts the monotonic clock.
    pub fn start() -> Self {
        Clock { started: Instant::now() }
    }

    /// Returns the time of the monotonic clock, in milliseconds. The result is never 0, since 0
    /// stands for "never" in some fields.
    pub fn steady_ms(self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    /// Returns the times of both clocks in the form that the core takes.
    pub fn now(self) -> Now {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Now { steady_ms: self.steady_ms(), wall_ms: wall.as_millis() as u64 }
    }
}
