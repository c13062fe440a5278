//! Processor time that the core takes, by kind of event and by second of simulated time.

use hdrhistogram::Histogram;

/// The longest time of one event that a histogram tells apart, in microseconds.
const MAX_EVENT_US: u64 = 10_000_000;

/// What caused an event of the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// Time has passed.
    Tick,
    /// A worker's heartbeat.
    Heartbeat,
    /// A user's request.
    UserRequest,
    /// The outcome of commands to a worker.
    WorkerCommands,
    /// An answer of the state service.
    StateService,
    /// An answer of the cloud.
    Provisioner,
    /// The outcome of a call to another controller.
    Peer,
}

impl EventKind {
    /// All kinds, in the order of the table.
    pub const ALL: [EventKind; 7] = [
        EventKind::Tick,
        EventKind::Heartbeat,
        EventKind::UserRequest,
        EventKind::WorkerCommands,
        EventKind::StateService,
        EventKind::Provisioner,
        EventKind::Peer,
    ];

    /// Name of the kind in tables and JSON.
    pub fn name(self) -> &'static str {
        match self {
            EventKind::Tick => "tick",
            EventKind::Heartbeat => "heartbeat",
            EventKind::UserRequest => "user_request",
            EventKind::WorkerCommands => "worker_commands",
            EventKind::StateService => "state_service",
            EventKind::Provisioner => "cloud",
            EventKind::Peer => "peer",
        }
    }
}

/// Times of all events of one kind.
pub struct EventTimes {
    /// The kind of event.
    pub kind: EventKind,
    /// Distribution of the times, in microseconds.
    pub histogram: Histogram<u64>,
    /// Sum of the times.
    pub total_us: u64,
}

/// Gathers the processor time of each event.
pub struct CpuMeter {
    kinds: Vec<EventTimes>,
    us_by_second: Vec<u64>,
}

/// A histogram of two significant digits; larger values count as `max`.
pub fn histogram_up_to(max: u64) -> Histogram<u64> {
    Histogram::new_with_max(max, 2).expect("two digits are supported for every bound above one")
}

impl CpuMeter {
    /// A meter without any events.
    pub fn new() -> Self {
        let no_events =
            |kind| EventTimes { kind, histogram: histogram_up_to(MAX_EVENT_US), total_us: 0 };
        CpuMeter { kinds: EventKind::ALL.map(no_events).into(), us_by_second: Vec::new() }
    }

    /// Records the processor time of one event.
    pub fn record(&mut self, kind: EventKind, at_ms: u64, elapsed_us: u64) {
        let times = &mut self.kinds[kind as usize];
        times.histogram.saturating_record(elapsed_us);
        times.total_us += elapsed_us;
        let second = (at_ms / 1000) as usize;
        if self.us_by_second.len() <= second {
            self.us_by_second.resize(second + 1, 0);
        }
        self.us_by_second[second] += elapsed_us;
    }

    /// Processor time of all events so far.
    pub fn total_us(&self) -> u64 {
        self.kinds.iter().map(|times| times.total_us).sum()
    }

    /// The longest single event.
    pub fn longest_event_us(&self) -> u64 {
        self.kinds.iter().map(|times| times.histogram.max()).max().unwrap_or(0)
    }

    /// The kinds of which there were events.
    pub fn observed_kinds(&self) -> impl Iterator<Item = &EventTimes> {
        self.kinds.iter().filter(|times| !times.histogram.is_empty())
    }

    /// Processor time in each second of the last half of the run.
    pub fn last_half_us(&self) -> &[u64] {
        &self.us_by_second[self.us_by_second.len() / 2..]
    }
}
