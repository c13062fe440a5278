//! The load state of a controller, derived from the time that requests wait to be served.

/// Load states of a controller, in order of increasing load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadState {
    /// Requests are served as they arrive.
    #[default]
    Normal,
    /// There is a standing queue: work that can be deferred gets less CPU time.
    Elevated,
    /// Workers' heartbeats wait for too long: users' requests, except aborts, are rejected without
    /// being queued.
    Shedding,
}

impl LoadState {
    /// Returns the state's name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            LoadState::Normal => "normal",
            LoadState::Elevated => "pressed",
            LoadState::Shedding => "shedding",
        }
    }

    /// Returns the state that is entered when the load has fallen.
    fn next_lower(self) -> LoadState {
        match self {
            LoadState::Shedding => LoadState::Elevated,
            LoadState::Elevated | LoadState::Normal => LoadState::Normal,
        }
    }
}

/// A change of the load state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadTransition {
    /// State before the change.
    pub from: LoadState,
    /// State after the change.
    pub to: LoadState,
}

/// Divisor of a worker's heartbeat timeout. If the oldest request has always waited for at least
/// this fraction of the timeout during a window, there is a standing queue.
const ELEVATED_DIVISOR: u64 = 40;
/// Divisor of a worker's heartbeat timeout. If all heartbeats in a window wait for at least this
/// fraction of the timeout, leases may expire.
const SHEDDING_DIVISOR: u64 = 8;
/// Number of measuring windows in a worker's heartbeat timeout.
const WINDOWS_PER_TIMEOUT: u64 = 16;
/// Number of consecutive windows with a lower load that must pass before a lower state is entered.
const WINDOWS_TO_RECOVER: u32 = 4;
/// Divisor of the thresholds for entering a state. A state is left only when the waits are below
/// the divided thresholds.
const RECOVERY_DIVISOR: u64 = 2;

/// Derives the load state from the *shortest* wait in each window. A long shortest wait shows a
/// standing queue, whereas a long longest wait may only show a burst.
#[derive(Clone, Debug)]
pub struct LoadMonitor {
    state: LoadState,
    /// Shortest wait of the oldest request that leads to [`LoadState::Elevated`].
    elevated_wait_ms: u64,
    /// Shortest wait of heartbeats that leads to [`LoadState::Shedding`].
    shedding_wait_ms: u64,
    window_ms: u64,
    window_start_ms: u64,
    /// Shortest wait in this window of the request that was the oldest in the queue at the time.
    min_oldest_wait_ms: u64,
    /// Shortest wait of a heartbeat served in this window; `None` if there was none.
    min_heartbeat_wait_ms: Option<u64>,
    /// Number of consecutive windows whose waits would allow a lower state.
    recovery_windows: u32,
}

impl LoadMonitor {
    /// Creates a monitor in [`LoadState::Normal`]; `worker_timeout_ms` is the time for which a
    /// worker waits for the answer to its heartbeat.
    pub fn new(worker_timeout_ms: u64) -> Self {
        LoadMonitor {
            state: LoadState::Normal,
            elevated_wait_ms: worker_timeout_ms / ELEVATED_DIVISOR,
            shedding_wait_ms: worker_timeout_ms / SHEDDING_DIVISOR,
            window_ms: worker_timeout_ms / WINDOWS_PER_TIMEOUT,
            window_start_ms: 0,
            min_oldest_wait_ms: 0,
            min_heartbeat_wait_ms: None,
            recovery_windows: 0,
        }
    }

    /// Returns the current load state.
    pub fn state(&self) -> LoadState {
        self.state
    }

    /// Returns the longest time until the state is normal again once no request waits any more.
    pub fn max_recovery_ms(&self) -> u64 {
        let windows_per_step = u64::from(WINDOWS_TO_RECOVER) + 1;
        2 * windows_per_step * self.window_ms
    }

    /// Records how long a worker's heartbeat waited before it was served.
    pub fn record_heartbeat_wait(&mut self, waited_ms: u64) {
        let shortest_ms = self.min_heartbeat_wait_ms.map_or(waited_ms, |ms| ms.min(waited_ms));
        self.min_heartbeat_wait_ms = Some(shortest_ms);
    }

    /// Records how long the oldest waiting request has waited so far. Returns the transition if the
    /// state changes, which happens at most once per window.
    pub fn tick(&mut self, now_ms: u64, oldest_wait_ms: u64) -> Option<LoadTransition> {
        self.min_oldest_wait_ms = self.min_oldest_wait_ms.min(oldest_wait_ms);
        if now_ms < self.window_start_ms + self.window_ms {
            return None;
        }
        self.window_start_ms = now_ms;
        let min_oldest_wait_ms = std::mem::replace(&mut self.min_oldest_wait_ms, u64::MAX);
        let min_heartbeat_wait_ms = self.min_heartbeat_wait_ms.take().unwrap_or(0);
        let required = self.state_for(min_oldest_wait_ms, min_heartbeat_wait_ms, 1);
        if required > self.state {
            return self.transition_to(required);
        }
        let allowed = self.state_for(min_oldest_wait_ms, min_heartbeat_wait_ms, RECOVERY_DIVISOR);
        self.recovery_windows = if allowed < self.state { self.recovery_windows + 1 } else { 0 };
        if self.recovery_windows < WINDOWS_TO_RECOVER {
            return None;
        }
        self.transition_to(self.state.next_lower())
    }

    /// Returns the state for these shortest waits, with the thresholds divided by `divisor`.
    fn state_for(
        &self,
        min_oldest_wait_ms: u64,
        min_heartbeat_wait_ms: u64,
        divisor: u64,
    ) -> LoadState {
        if min_heartbeat_wait_ms >= self.shedding_wait_ms / divisor {
            LoadState::Shedding
        } else if min_oldest_wait_ms >= self.elevated_wait_ms / divisor {
            LoadState::Elevated
        } else {
            LoadState::Normal
        }
    }

    /// Changes the state; no other function does. Returns `None` if `to` is the current state.
    fn transition_to(&mut self, to: LoadState) -> Option<LoadTransition> {
        self.recovery_windows = 0;
        let from = std::mem::replace(&mut self.state, to);
        (from != to).then_some(LoadTransition { from, to })
    }
}
