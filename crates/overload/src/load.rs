//! The load state of a controller, derived from how long requests wait before they are served.

/// How loaded a controller is, in increasing order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadState {
    /// Requests are served as they arrive.
    #[default]
    Normal,
    /// There is a standing queue: work that can wait gets less processor time.
    Pressed,
    /// Workers' heartbeats wait too long: users' requests, except cancellations, are rejected
    /// without being queued.
    Shedding,
}

impl LoadState {
    /// The state's name in the log.
    pub fn name(self) -> &'static str {
        match self {
            LoadState::Normal => "normal",
            LoadState::Pressed => "pressed",
            LoadState::Shedding => "shedding",
        }
    }

    /// The state that follows when the load has fallen.
    fn next_better(self) -> LoadState {
        match self {
            LoadState::Shedding => LoadState::Pressed,
            LoadState::Pressed | LoadState::Normal => LoadState::Normal,
        }
    }
}

/// A change of the load state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadTransition {
    /// The state before.
    pub from: LoadState,
    /// The state now.
    pub to: LoadState,
}

/// Part of a worker's timeout for which any request waits in a standing queue.
const PRESSED_DIVISOR: u64 = 40;
/// Part of a worker's timeout after which the wait of heartbeats endangers leases.
const SHEDDING_DIVISOR: u64 = 8;
/// Measuring windows in a worker's timeout.
const WINDOWS_PER_TIMEOUT: u64 = 16;
/// Consecutive windows that allow a better state before it is entered.
const CALM_WINDOWS_TO_RECOVER: u32 = 4;
/// A state is left only when waits are below this part of those that led into it.
const RECOVERY_DIVISOR: u64 = 2;

/// Follows the load state by the *shortest* wait in each window: a long one shows a standing
/// queue, whereas the longest wait would only show a burst.
#[derive(Clone, Debug)]
pub struct LoadMonitor {
    state: LoadState,
    /// Wait of any request that leads to [`LoadState::Pressed`].
    pressed_wait_ms: u64,
    /// Wait of heartbeats that leads to [`LoadState::Shedding`].
    shedding_wait_ms: u64,
    window_ms: u64,
    window_began_ms: u64,
    /// Shortest wait, in this window, of the request that had waited longest at the time.
    min_oldest_wait_ms: u64,
    /// Shortest wait of a heartbeat that was served in this window.
    min_heartbeat_wait_ms: Option<u64>,
    /// Consecutive windows that would allow a better state.
    calm_windows: u32,
}

impl LoadMonitor {
    /// Creates a monitor; `worker_timeout_ms` is the time for which a worker waits for the
    /// answer to its heartbeat.
    pub fn new(worker_timeout_ms: u64) -> Self {
        LoadMonitor {
            state: LoadState::Normal,
            pressed_wait_ms: worker_timeout_ms / PRESSED_DIVISOR,
            shedding_wait_ms: worker_timeout_ms / SHEDDING_DIVISOR,
            window_ms: worker_timeout_ms / WINDOWS_PER_TIMEOUT,
            window_began_ms: 0,
            min_oldest_wait_ms: 0,
            min_heartbeat_wait_ms: None,
            calm_windows: 0,
        }
    }

    /// The present state.
    pub fn state(&self) -> LoadState {
        self.state
    }

    /// Longest time until the state is normal again once nothing waits any more.
    pub fn max_recovery_ms(&self) -> u64 {
        let windows_per_step = u64::from(CALM_WINDOWS_TO_RECOVER) + 1;
        2 * windows_per_step * self.window_ms
    }

    /// Records how long a worker's heartbeat waited until it was served.
    pub fn record_heartbeat_wait(&mut self, waited_ms: u64) {
        let shortest_ms = self.min_heartbeat_wait_ms.map_or(waited_ms, |ms| ms.min(waited_ms));
        self.min_heartbeat_wait_ms = Some(shortest_ms);
    }

    /// Records how long the oldest waiting request has waited by now; returns the transition if
    /// the state changes, which it does at most once a window.
    pub fn tick(&mut self, now_ms: u64, oldest_wait_ms: u64) -> Option<LoadTransition> {
        self.min_oldest_wait_ms = self.min_oldest_wait_ms.min(oldest_wait_ms);
        if now_ms < self.window_began_ms + self.window_ms {
            return None;
        }
        self.window_began_ms = now_ms;
        let any_wait_ms = std::mem::replace(&mut self.min_oldest_wait_ms, u64::MAX);
        let heartbeat_wait_ms = self.min_heartbeat_wait_ms.take().unwrap_or(0);
        let entered = self.state_for(any_wait_ms, heartbeat_wait_ms, 1);
        if entered > self.state {
            return self.transition_to(entered);
        }
        let allowed = self.state_for(any_wait_ms, heartbeat_wait_ms, RECOVERY_DIVISOR);
        self.calm_windows = if allowed < self.state { self.calm_windows + 1 } else { 0 };
        if self.calm_windows < CALM_WINDOWS_TO_RECOVER {
            return None;
        }
        self.transition_to(self.state.next_better())
    }

    /// The state that these waits call for, with the thresholds divided by `divisor`.
    fn state_for(&self, any_wait_ms: u64, heartbeat_wait_ms: u64, divisor: u64) -> LoadState {
        if heartbeat_wait_ms >= self.shedding_wait_ms / divisor {
            LoadState::Shedding
        } else if any_wait_ms >= self.pressed_wait_ms / divisor {
            LoadState::Pressed
        } else {
            LoadState::Normal
        }
    }

    /// The only place where the state changes.
    fn transition_to(&mut self, to: LoadState) -> Option<LoadTransition> {
        self.calm_windows = 0;
        let from = std::mem::replace(&mut self.state, to);
        (from != to).then_some(LoadTransition { from, to })
    }
}
