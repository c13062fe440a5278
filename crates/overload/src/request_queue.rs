//! Queue of the requests that wait to be served, by class.

use std::collections::{BTreeMap, VecDeque};

use hdrhistogram::Histogram;

use crate::load::LoadState;

/// Classes of requests, in the order in which they are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestClass {
    /// Workers' heartbeats and messages between controllers, which renew leases and report
    /// completions.
    Heartbeat,
    /// Health checks. A controller that does not answer them is taken out of service.
    HealthCheck,
    /// Users' requests to abort a job.
    Abort,
    /// Users' submissions of jobs.
    Submit,
    /// Users' queries for the status of a job.
    StatusQuery,
    /// Requests for metrics, and all other requests.
    Other,
}

const CLASS_COUNT: usize = RequestClass::ALL.len();

impl RequestClass {
    /// All classes, in the order in which they are served.
    pub const ALL: [RequestClass; 6] = [
        RequestClass::Heartbeat,
        RequestClass::HealthCheck,
        RequestClass::Abort,
        RequestClass::Submit,
        RequestClass::StatusQuery,
        RequestClass::Other,
    ];

    /// Returns the class's name in metrics. The names are stable across versions.
    pub fn metric_name(self) -> &'static str {
        match self {
            RequestClass::Heartbeat => "report",
            RequestClass::HealthCheck => "health",
            RequestClass::Abort => "abort",
            RequestClass::Submit => "submit",
            RequestClass::StatusQuery => "poll",
            RequestClass::Other => "other",
        }
    }

    /// Returns the longest time that a request of the class may wait: half of the client's timeout,
    /// so that no work is done for a client that has given up.
    fn max_wait_ms(self) -> u64 {
        match self {
            RequestClass::Heartbeat => 2_000,
            RequestClass::HealthCheck => 500,
            RequestClass::Abort | RequestClass::Submit => 2_500,
            RequestClass::StatusQuery | RequestClass::Other => 1_000,
        }
    }

    /// Returns whether requests of the class are rejected in [`LoadState::Shedding`].
    fn is_shed_under_load(self) -> bool {
        matches!(self, RequestClass::Submit | RequestClass::StatusQuery | RequestClass::Other)
    }
}

/// A request that has arrived and is to be queued.
#[derive(Debug)]
pub struct Arrival<T> {
    /// Class of the request, which determines its precedence and its longest wait.
    pub class: RequestClass,
    /// Sort key within the class: the lowest is served first, equal keys in order of arrival.
    pub order: u64,
    /// Time of arrival, in milliseconds of the monotonic clock.
    pub arrived_ms: u64,
    /// The caller's data, returned when the request leaves the queue.
    pub request: T,
}

/// A request that has left the queue.
#[derive(Debug, PartialEq, Eq)]
pub enum Dequeued<T> {
    /// The request is to be served now.
    Serve {
        /// Class under which the request was queued.
        class: RequestClass,
        /// Data passed in with the [`Arrival`].
        request: T,
        /// Time in the queue, in milliseconds.
        waited_ms: u64,
    },
    /// The request has waited for too long and is to be rejected.
    Reject {
        /// Class under which the request was queued.
        class: RequestClass,
        /// Data passed in with the [`Arrival`].
        request: T,
    },
}

/// A metric for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Metric {
    /// Full name with all parts, such as `intake_ms.report.p50`.
    pub name: String,
    /// Milliseconds or a count, depending on the metric.
    pub value: f64,
}

/// Sort key of a waiting request within its class. Arrival numbers are unique.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    order: u64,
    arrival_number: u64,
}

#[derive(Debug)]
struct Waiting<T> {
    arrived_ms: u64,
    request: T,
}

#[derive(Clone, Copy, Debug)]
struct AgeEntry {
    arrived_ms: u64,
    position: Position,
}

/// The waiting requests of one class, and the class's metrics.
#[derive(Debug)]
struct ClassQueue<T> {
    waiting: BTreeMap<Position, Waiting<T>>,
    /// Positions in order of arrival; may include requests that have left the queue already.
    by_age: VecDeque<AgeEntry>,
    /// Waits of the served requests, in milliseconds.
    waits: Histogram<u32>,
    rejected: u64,
}

/// Longest wait that the histograms can represent, in milliseconds; longer waits are recorded as
/// this one.
const MAX_MEASURED_WAIT_MS: u64 = 60_000;

impl<T> ClassQueue<T> {
    fn new() -> Self {
        let waits = Histogram::new_with_max(MAX_MEASURED_WAIT_MS, 1)
            .expect("a minute is within the range of a histogram");
        ClassQueue { waiting: BTreeMap::new(), by_age: VecDeque::new(), waits, rejected: 0 }
    }

    fn push(&mut self, position: Position, arrived_ms: u64, request: T) {
        self.by_age.push_back(AgeEntry { arrived_ms, position });
        self.waiting.insert(position, Waiting { arrived_ms, request });
    }

    /// Returns the request that has waited for longest, and discards the positions in `by_age` of
    /// older requests that have left the queue.
    fn oldest(&mut self) -> Option<AgeEntry> {
        while let Some(oldest) = self.by_age.front().copied() {
            if self.waiting.contains_key(&oldest.position) {
                return Some(oldest);
            }
            self.by_age.pop_front();
        }
        None
    }

    /// Removes and returns the oldest request if it has waited for longer than `max_wait_ms`.
    fn take_expired(&mut self, now_ms: u64, max_wait_ms: u64) -> Option<T> {
        let oldest = self.oldest().filter(|oldest| now_ms > oldest.arrived_ms + max_wait_ms)?;
        let expired = self.waiting.remove(&oldest.position)?;
        self.rejected += 1;
        Some(expired.request)
    }

    /// Removes the request that is served next, and returns it with the time that it has waited.
    fn take_next(&mut self, now_ms: u64) -> Option<(T, u64)> {
        let (_, next) = self.waiting.pop_first()?;
        let waited_ms = now_ms.saturating_sub(next.arrived_ms);
        self.waits.saturating_record(waited_ms);
        Some((next.request, waited_ms))
    }

    fn append_metrics(&self, class_name: &str, metrics: &mut Vec<Metric>) {
        if !self.waits.is_empty() {
            for (part, value) in [
                ("p50", self.waits.value_at_quantile(0.5)),
                ("p99", self.waits.value_at_quantile(0.99)),
                ("max", self.waits.max()),
                ("count", self.waits.len()),
            ] {
                let name = format!("intake_ms.{class_name}.{part}");
                metrics.push(Metric { name, value: value as f64 });
            }
        }
        if self.rejected > 0 {
            let name = format!("intake_refused.{class_name}");
            metrics.push(Metric { name, value: self.rejected as f64 });
        }
    }
}

/// Queues requests by class, with bounds on their number and on the time that each waits.
#[derive(Debug)]
pub struct RequestQueue<T> {
    /// One queue for each class, in the order of [`RequestClass::ALL`].
    queues: [ClassQueue<T>; CLASS_COUNT],
    arrivals: u64,
    max_per_class: usize,
}

impl<T> RequestQueue<T> {
    /// Creates a queue that holds at most `max_per_class` requests of each class. The bound is
    /// never reached if it is the number of sockets.
    pub fn new(max_per_class: usize) -> Self {
        RequestQueue {
            queues: std::array::from_fn(|_| ClassQueue::new()),
            arrivals: 0,
            max_per_class,
        }
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(|queue| queue.waiting.is_empty())
    }

    /// Returns the number of waiting requests of all classes.
    pub fn len(&self) -> usize {
        self.queues.iter().map(|queue| queue.waiting.len()).sum()
    }

    /// Adds a request. Returns it as an error if it is rejected, because the queue of its class is
    /// full or because requests of its class are shed under the current load.
    pub fn push(&mut self, arrival: Arrival<T>, load: LoadState) -> Result<(), T> {
        let Arrival { class, order, arrived_ms, request } = arrival;
        let queue = &mut self.queues[class as usize];
        let is_full = queue.waiting.len() >= self.max_per_class;
        let is_shed = load == LoadState::Shedding && class.is_shed_under_load();
        if is_full || is_shed {
            queue.rejected += 1;
            return Err(request);
        }
        self.arrivals += 1;
        queue.push(Position { order, arrival_number: self.arrivals }, arrived_ms, request);
        Ok(())
    }

    /// Removes and returns the next request. Requests that have waited for too long come first and
    /// are to be rejected; after them, the classes are served in their order.
    pub fn pop(&mut self, now_ms: u64) -> Option<Dequeued<T>> {
        for class in RequestClass::ALL {
            let queue = &mut self.queues[class as usize];
            if let Some(request) = queue.take_expired(now_ms, class.max_wait_ms()) {
                return Some(Dequeued::Reject { class, request });
            }
        }
        for class in RequestClass::ALL {
            if let Some((request, waited_ms)) = self.queues[class as usize].take_next(now_ms) {
                return Some(Dequeued::Serve { class, request, waited_ms });
            }
        }
        None
    }

    /// Returns how long the oldest request has waited, in milliseconds; 0 if none is waiting.
    pub fn oldest_wait_ms(&mut self, now_ms: u64) -> u64 {
        let oldest = self.queues.iter_mut().filter_map(ClassQueue::oldest);
        let arrived_ms = oldest.map(|oldest| oldest.arrived_ms).min();
        arrived_ms.map_or(0, |arrived_ms| now_ms.saturating_sub(arrived_ms))
    }

    /// Returns, by class, the distribution of waits in milliseconds and the number of rejections.
    pub fn metrics(&self) -> Vec<Metric> {
        let mut metrics = Vec::new();
        for class in RequestClass::ALL {
            self.queues[class as usize].append_metrics(class.metric_name(), &mut metrics);
        }
        metrics
    }
}
