//! The clocks of this process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use quartzgate_core::Now;

/// A steady clock in milliseconds since the process began, with the time of day beside it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Self {
        Clock { started: Instant::now() }
    }

    /// The steady clock; never 0, which stands for "never" in places.
    pub fn steady_ms(self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    /// Both clocks, as the core wants them.
    pub fn now(self) -> Now {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Now { steady_ms: self.steady_ms(), wall_ms: wall.as_millis() as u64 }
    }
}
