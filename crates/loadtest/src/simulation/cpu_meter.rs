//! Measures the processor time of the core, by kind of event and by second of simulated time.

use hdrhistogram::Histogram;

/// Upper bound of the histograms of event times, in microseconds.
const MAX_EVENT_US: u64 = 10_000_000;

/// The cause of an event that the core handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// A periodic tick.
    Tick,
    /// A worker's heartbeat.
    Heartbeat,
    /// A user's request.
    UserRequest,
    /// The outcome of commands to a worker.
    WorkerCommands,
    /// An answer of the state service.
    StateService,
    /// An answer of the cloud, which provisions machines.
    Provisioner,
    /// The outcome of a call to another controller.
    Peer,
}

impl EventKind {
    /// All kinds, in the order in which they are declared and listed in the table.
    pub const ALL: [EventKind; 7] = [
        EventKind::Tick,
        EventKind::Heartbeat,
        EventKind::UserRequest,
        EventKind::WorkerCommands,
        EventKind::StateService,
        EventKind::Provisioner,
        EventKind::Peer,
    ];

    /// Returns the name of the kind in tables and JSON.
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

/// Processor times of all events of one kind.
pub struct EventTimes {
    /// The kind of event that was timed.
    pub kind: EventKind,
    /// Distribution of the times, in microseconds.
    pub histogram: Histogram<u64>,
    /// Sum of the times, in microseconds.
    pub total_us: u64,
}

/// Collects the processor time of each event.
pub struct CpuMeter {
    times_by_kind: Vec<EventTimes>,
    us_by_second: Vec<u64>,
}

/// Creates a histogram with two significant digits; `saturating_record` counts larger values as
/// `max`.
pub fn histogram_up_to(max: u64) -> Histogram<u64> {
    Histogram::new_with_max(max, 2).expect("two digits are supported for every bound above one")
}

impl CpuMeter {
    /// Creates a meter without any events.
    pub fn new() -> Self {
        let empty_times =
            |kind| EventTimes { kind, histogram: histogram_up_to(MAX_EVENT_US), total_us: 0 };
        CpuMeter { times_by_kind: EventKind::ALL.map(empty_times).into(), us_by_second: Vec::new() }
    }

    /// Records the processor time of one event.
    pub fn record(&mut self, kind: EventKind, at_ms: u64, elapsed_us: u64) {
        let times = &mut self.times_by_kind[kind as usize];
        times.histogram.saturating_record(elapsed_us);
        times.total_us += elapsed_us;
        let second = (at_ms / 1000) as usize;
        if self.us_by_second.len() <= second {
            self.us_by_second.resize(second + 1, 0);
        }
        self.us_by_second[second] += elapsed_us;
    }

    /// Returns the processor time of all events so far, in microseconds.
    pub fn total_us(&self) -> u64 {
        self.times_by_kind.iter().map(|times| times.total_us).sum()
    }

    /// Returns the processor time of the longest single event, in microseconds.
    pub fn longest_event_us(&self) -> u64 {
        self.times_by_kind.iter().map(|times| times.histogram.max()).max().unwrap_or(0)
    }

    /// Returns the times of the kinds that had any events.
    pub fn observed_kinds(&self) -> impl Iterator<Item = &EventTimes> {
        self.times_by_kind.iter().filter(|times| !times.histogram.is_empty())
    }

    /// Returns the processor time of each second in the last half of the run, in microseconds.
    pub fn last_half_us_by_second(&self) -> &[u64] {
        &self.us_by_second[self.us_by_second.len() / 2..]
    }
}
