//! How loaded a controller is, by how long requests wait before they are looked at.

/// Named states, worst last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadState {
    /// Requests are looked at as they come.
    #[default]
    Normal,
    /// There is a standing queue: what can wait gets less of the processor.
    Pressed,
    /// Workers' reports wait too long: users are refused unseen, but for cancellations.
    Shedding,
}

impl LoadState {
    pub fn name(self) -> &'static str {
        match self {
            LoadState::Normal => "normal",
            LoadState::Pressed => "pressed",
            LoadState::Shedding => "shedding",
        }
    }
}

/// Watches the shortest wait of each moment: one that is long shows a standing queue,
/// where the longest would only show a burst.
#[derive(Clone, Debug)]
pub struct Load {
    state: LoadState,
    /// Waits of any request, and of reports, that make the state worse.
    pressed_ms: u64,
    shedding_ms: u64,
    window_ms: u64,
    began_ms: u64,
    /// The least age of the oldest waiting request, and the least wait of a report.
    least_oldest: u64,
    least_report: Option<u64>,
    /// Windows in a row that would allow a better state.
    calm: u32,
}

/// Parts of a worker's patience: a standing queue, and one that endangers leases.
const PRESSED_PART: u64 = 40;
const SHEDDING_PART: u64 = 8;
/// Windows in the time that a worker waits for its answer.
const WINDOWS: u64 = 16;
/// Calm windows before the state gets better, one step at a time.
const CALM_WINDOWS: u32 = 4;

impl Load {
    /// `patience_ms`: the time that a worker waits for the answer to its report.
    pub fn new(patience_ms: u64) -> Self {
        Load {
            state: LoadState::Normal,
            pressed_ms: patience_ms / PRESSED_PART,
            shedding_ms: patience_ms / SHEDDING_PART,
            window_ms: patience_ms / WINDOWS,
            began_ms: 0,
            least_oldest: 0,
            least_report: None,
            calm: 0,
        }
    }

    pub fn state(&self) -> LoadState {
        self.state
    }

    /// Longest time in which it gets back to normal once nothing waits any more.
    pub fn recovery_ms(&self) -> u64 {
        2 * (u64::from(CALM_WINDOWS) + 1) * self.window_ms
    }

    /// A worker's report has waited so long until it was looked at.
    pub fn note_report(&mut self, waited_ms: u64) {
        self.least_report = Some(self.least_report.map_or(waited_ms, |s| s.min(waited_ms)));
    }

    /// Time has passed, and the oldest request that waits now came so long ago. Gives the
    /// state before and after if it has changed.
    pub fn tick(&mut self, now_ms: u64, oldest_ms: u64) -> Option<(LoadState, LoadState)> {
        self.least_oldest = self.least_oldest.min(oldest_ms);
        if now_ms < self.began_ms + self.window_ms {
            return None;
        }
        self.began_ms = now_ms;
        let any = std::mem::replace(&mut self.least_oldest, u64::MAX);
        let report = self.least_report.take().unwrap_or(0);
        let wanted = |part: u64| {
            if report >= self.shedding_ms / part {
                LoadState::Shedding
            } else if any >= self.pressed_ms / part {
                LoadState::Pressed
            } else {
                LoadState::Normal
            }
        };
        // Half of what led into a state has to be left before it is.
        let (up, down) = (wanted(1), wanted(2));
        if up > self.state {
            return self.to(up);
        }
        self.calm = if down < self.state { self.calm + 1 } else { 0 };
        if self.calm < CALM_WINDOWS {
            return None;
        }
        let better = match self.state {
            LoadState::Shedding => LoadState::Pressed,
            _ => LoadState::Normal,
        };
        self.to(better)
    }

    /// The one function that changes the state.
    fn to(&mut self, state: LoadState) -> Option<(LoadState, LoadState)> {
        self.calm = 0;
        let old = std::mem::replace(&mut self.state, state);
        (old != state).then_some((old, state))
    }
}
