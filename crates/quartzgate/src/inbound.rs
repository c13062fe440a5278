//! Requests of users, workers and other controllers, from the socket to the core.
//!
//! A request that was read whole is classified and queued. The queues are served in the
//! order of the classes, so that heartbeats, which keep leases alive, overtake requests
//! that can wait. Under overload, or when it has waited too long, a request is refused
//! with `Retry-After` before the core sees it.

use std::collections::HashMap;

use quartzgate_core::{Action, Event, RequestId};
use quartzgate_overload::{
    Arrival, Dequeued, LoadMonitor, LoadTransition, RequestClass, RequestQueue, RetryAdvisor,
    UnansweredJobs,
};
use quartzgate_wire::http::{HttpError, Request, Response};
use rand::rngs::SmallRng;

use crate::clock::Clock;
use crate::connection::{Direction, Endpoint, Readiness, RequestProgress};
use crate::connections::{ConnectionKey, ConnectionTable, Removed};

/// How often the core is given new metrics.
const METRICS_INTERVAL_MS: u64 = 1_000;
/// `Retry-After` of a refused heartbeat or health check, in seconds: their clients
/// retry soon in any case, and must not wait longer.
const MIN_RETRY_AFTER_S: u32 = 1;

/// How long a user waits for the answer to a status query.
const STATUS_QUERY_TIMEOUT_MS: u64 = 2_000;

/// A request that waits for the core.
struct QueuedRequest {
    id: RequestId,
    endpoint: Endpoint,
    request: Request,
}

impl QueuedRequest {
    fn into_event(self) -> Event {
        let QueuedRequest { id, endpoint, request } = self;
        match endpoint {
            Endpoint::Clients => Event::Client { id, request },
            Endpoint::Mesh => Event::Mesh { id, request },
        }
    }
}

/// A request that was read and not answered yet.
struct OpenRequest {
    connection: ConnectionKey,
    /// The job whose status it queries.
    queried_job: Option<String>,
    arrived_ms: u64,
}

/// What is to be done about the request that was queued longest in the first class.
#[derive(Debug)]
pub enum NextRequest {
    /// The core handles it.
    Handle(Event),
    /// It is refused.
    Refuse(Action),
    /// Its client has disconnected.
    Abandoned,
}

/// How many of the users' requests are served in a second.
#[derive(Default)]
struct Throughput {
    last_second: f64,
    this_second: u32,
}

impl Throughput {
    fn count_one(&mut self) {
        self.this_second += 1;
    }

    /// A second is over.
    fn roll_over(&mut self) {
        self.last_second = f64::from(std::mem::take(&mut self.this_second)).max(1.0);
    }
}

/// Requests that were read and not answered yet.
pub struct InboundRequests {
    clock: Clock,
    queue: RequestQueue<QueuedRequest>,
    load_monitor: LoadMonitor,
    retry_advisor: RetryAdvisor,
    throughput: Throughput,
    rng: SmallRng,
    open_requests: HashMap<RequestId, OpenRequest>,
    unanswered_jobs: UnansweredJobs,
    next_id: RequestId,
    /// Earliest moment at which what is read now may have reached the sockets.
    arrived_ms: u64,
    heartbeat_interval_ms: u64,
    next_metrics_ms: u64,
}

/// What the request queue needs to know of the settings.
pub struct InboundSettings {
    /// Requests that may be queued in a class; with as many as there are sockets, the bound
    /// is never reached.
    pub max_queued_per_class: usize,
    /// Interval between two heartbeats of a worker.
    pub heartbeat_interval_ms: u64,
    /// How long a worker waits for the response to its heartbeat.
    pub heartbeat_timeout_ms: u64,
}

impl InboundRequests {
    /// No requests yet. `rng` spreads the times at which refused clients retry.
    pub fn new(clock: Clock, settings: InboundSettings, rng: SmallRng) -> Self {
        InboundRequests {
            clock,
            queue: RequestQueue::new(settings.max_queued_per_class),
            load_monitor: LoadMonitor::new(settings.heartbeat_timeout_ms),
            retry_advisor: RetryAdvisor::default(),
            throughput: Throughput::default(),
            rng,
            open_requests: HashMap::new(),
            unanswered_jobs: UnansweredJobs::new(settings.max_queued_per_class),
            next_id: 1,
            arrived_ms: 0,
            heartbeat_interval_ms: settings.heartbeat_interval_ms,
            next_metrics_ms: 0,
        }
    }

    /// No request is queued.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// What is read from now on has reached the sockets at this moment at the earliest.
    pub fn set_arrival(&mut self, arrived_ms: u64) {
        self.arrived_ms = arrived_ms;
    }

    /// A connection's socket has become ready. Gives the refusal of the request that was
    /// read, if it is refused at once.
    pub fn on_ready(
        &mut self,
        connections: &mut ConnectionTable,
        key: ConnectionKey,
        ready: Readiness,
    ) -> Option<Action> {
        connections.get_mut(key)?.touch(self.clock.steady_ms());
        if connections.transfer(key, ready).is_err() {
            self.close(connections, key);
            return None;
        }
        self.read_request(connections, key)
    }

    /// Sends the response to a request; if its client has disconnected, it is dropped. Gives the
    /// refusal of the connection's next request, if it is refused at once.
    pub fn respond(
        &mut self,
        connections: &mut ConnectionTable,
        id: RequestId,
        response: Response,
    ) -> Option<Action> {
        let now_ms = self.clock.steady_ms();
        let open = self.open_requests.remove(&id)?;
        self.on_status_response(&open, response.status, now_ms);
        let key = open.connection;
        let connection = connections.get_mut(key).filter(|c| c.is_processing(id))?;
        if connection.send_response(response, now_ms).is_err() {
            self.close(connections, key);
            return None;
        }
        // The next request may be in the buffer already.
        self.read_request(connections, key)
    }

    /// Notes whether a status query was answered.
    fn on_status_response(&mut self, open: &OpenRequest, status: u16, now_ms: u64) {
        let Some(job) = &open.queried_job else { return };
        let took_ms = now_ms.saturating_sub(open.arrived_ms);
        let in_time = took_ms < STATUS_QUERY_TIMEOUT_MS;
        tracing::debug!(job = %job, status, took_ms, "status query answered");
        if in_time && matches!(status, 200 | 404) {
            self.unanswered_jobs.on_answer(job, now_ms);
        }
    }

    /// Closes a connection; its request, if it has one, is answered no more.
    pub fn close(&mut self, connections: &mut ConnectionTable, key: ConnectionKey) {
        if let Some(Removed::Inbound(Some(id))) = connections.remove(key) {
            self.open_requests.remove(&id);
        }
    }

    /// The next request by urgency.
    pub fn next(&mut self, now_ms: u64) -> Option<NextRequest> {
        Some(match self.queue.pop(now_ms)? {
            Dequeued::Reject { class, request } => {
                NextRequest::Refuse(self.refuse(class, request.id))
            }
            Dequeued::Serve { class, request, waited_ms } => {
                self.record_service(class, waited_ms);
                match self.open_requests.contains_key(&request.id) {
                    true => NextRequest::Handle(request.into_event()),
                    false => NextRequest::Abandoned,
                }
            }
        })
    }

    fn record_service(&mut self, class: RequestClass, waited_ms: u64) {
        match class {
            RequestClass::Heartbeat => self.load_monitor.record_heartbeat_wait(waited_ms),
            RequestClass::HealthCheck | RequestClass::Other => {}
            RequestClass::Abort | RequestClass::Submit | RequestClass::StatusQuery => {
                self.throughput.count_one();
            }
        }
    }

    /// Follows how loaded this process is. Gives an event for the core when the load state
    /// has changed or new metrics are due.
    pub fn update_load(&mut self, now_ms: u64, connections: &ConnectionTable) -> Option<Event> {
        let oldest_ms = self.queue.oldest_wait_ms(now_ms);
        let transition = self.load_monitor.tick(now_ms, oldest_ms);
        if let Some(transition) = transition {
            self.log_load_transition(transition, oldest_ms);
        }
        if now_ms >= self.next_metrics_ms {
            self.next_metrics_ms = now_ms + METRICS_INTERVAL_MS;
            self.throughput.roll_over();
        } else if transition.is_none() {
            return None;
        }
        Some(Event::Load {
            state: self.load_monitor.state(),
            metrics: self.metrics(now_ms, connections),
        })
    }

    fn log_load_transition(&self, transition: LoadTransition, oldest_queued_ms: u64) {
        let (from, to) = (transition.from.name(), transition.to.name());
        let queued = self.queue.len();
        tracing::info!(from, to, queued, oldest_queued_ms, "load state changed");
    }

    fn metrics(&mut self, now_ms: u64, connections: &ConnectionTable) -> Vec<(String, f64)> {
        let queue_metrics = self.queue.metrics().into_iter();
        let mut metrics: Vec<_> = queue_metrics.map(|m| (m.name, m.value)).collect();
        metrics.push(("sockets_inbound".into(), connections.inbound() as f64));
        metrics.push(("sockets_outbound".into(), connections.outbound() as f64));
        metrics.push(("intake_turned_away".into(), self.retry_advisor.total_rejections() as f64));
        let longest = self.unanswered_jobs.longest(now_ms);
        let longest_ms = longest.map_or(0, |longest| longest.age_ms);
        metrics.push(("unanswered_jobs".into(), self.unanswered_jobs.len() as f64));
        metrics.push(("unanswered_oldest_s".into(), longest_ms as f64 / 1000.0));
        metrics
    }

    /// Takes the next request off a connection, if it has come whole.
    fn read_request(
        &mut self,
        connections: &mut ConnectionTable,
        key: ConnectionKey,
    ) -> Option<Action> {
        let now_ms = self.clock.steady_ms();
        match connections.get_mut(key)?.next_request(now_ms) {
            Ok(RequestProgress::Incomplete) => None,
            Ok(RequestProgress::Complete(request)) => {
                self.enqueue(connections, key, request, now_ms)
            }
            Ok(RequestProgress::Finished) => {
                self.close(connections, key);
                None
            }
            Err(error) => {
                self.reject(connections, key, error);
                None
            }
        }
    }

    /// Queues a request for the core; the refusal if it can't be queued.
    fn enqueue(
        &mut self,
        connections: &mut ConnectionTable,
        key: ConnectionKey,
        request: Request,
        now_ms: u64,
    ) -> Option<Action> {
        let connection = connections.get_mut(key)?;
        let &Direction::Inbound(endpoint) = connection.direction() else { return None };
        let id = self.next_id;
        self.next_id += 1;
        connection.begin_processing(id, now_ms);
        let class = classify(&request, endpoint);
        if class == RequestClass::Heartbeat {
            connection.mark_worker();
        }
        let order = self.order_in_class(class, endpoint, connection.succeeded_ms());
        // A query that a sibling forwards is followed where the user asked it.
        let queried_job = match endpoint {
            Endpoint::Clients => queried_job(&request),
            Endpoint::Mesh => None,
        };
        if let Some(job) = &queried_job {
            self.unanswered_jobs.on_query(job, now_ms);
        }
        let arrived_ms = self.arrived_ms;
        self.open_requests.insert(id, OpenRequest { connection: key, queried_job, arrived_ms });
        let request = QueuedRequest { id, endpoint, request };
        let arrival = Arrival { class, order, arrived_ms, request };
        let queued = self.queue.push(arrival, self.load_monitor.state());
        queued.err().map(|refused| self.refuse(class, refused.id))
    }

    /// Order within a class, lowest first. Workers whose last heartbeat was answered longest
    /// ago go first: their leases expire first. A sibling's message ranks as a heartbeat
    /// that was last answered one interval ago.
    fn order_in_class(&self, class: RequestClass, endpoint: Endpoint, succeeded_ms: u64) -> u64 {
        match (class, endpoint) {
            (RequestClass::Heartbeat, Endpoint::Clients) => succeeded_ms,
            (RequestClass::Heartbeat, Endpoint::Mesh) => {
                self.arrived_ms.saturating_sub(self.heartbeat_interval_ms)
            }
            _ => 0,
        }
    }

    /// Refuses a request that the core has not seen, and says when to retry.
    fn refuse(&mut self, class: RequestClass, id: RequestId) -> Action {
        let mut response = Response::new(503, Vec::new());
        response.retry_after_s = Some(match class {
            RequestClass::Heartbeat | RequestClass::HealthCheck => MIN_RETRY_AFTER_S,
            _ => {
                let now_ms = self.clock.steady_ms();
                self.retry_advisor.reject(now_ms, self.throughput.last_second, &mut self.rng)
            }
        });
        Action::Answer { id, response }
    }

    /// Answers a request that can't be read.
    fn reject(&mut self, connections: &mut ConnectionTable, key: ConnectionKey, error: HttpError) {
        let now_ms = self.clock.steady_ms();
        let Some(connection) = connections.get_mut(key) else { return };
        let written = connection.send_rejection(error, now_ms);
        if !matches!(written, Ok(false)) {
            self.close(connections, key);
        }
    }
}

/// The job whose status a user's request queries.
fn queried_job(request: &Request) -> Option<String> {
    let path = request.target.split('?').next()?;
    let job = path.strip_prefix("/api/jobs/").filter(|_| request.method == "GET")?;
    Some(job.to_string())
}

/// The class of work that a request is.
fn classify(request: &Request, endpoint: Endpoint) -> RequestClass {
    let path = request.target.split('?').next().unwrap_or("");
    match (request.method.as_str(), path) {
        ("POST", "/mesh") if endpoint == Endpoint::Mesh => classify_forwarded(&request.body),
        ("POST", "/checkin") => RequestClass::Heartbeat,
        ("GET", "/ready") => RequestClass::HealthCheck,
        ("POST", "/api/jobs") => RequestClass::Submit,
        ("POST", path) if path.ends_with("/abort") => RequestClass::Abort,
        ("GET", path) if path.starts_with("/api/jobs/") => RequestClass::StatusQuery,
        _ => RequestClass::Other,
    }
}

/// The class of a sibling's message. Users' requests that it forwards keep their own class;
/// the path inside tells, without decoding the message.
fn classify_forwarded(body: &[u8]) -> RequestClass {
    let contains = |text: &str| memchr::memmem::find(body, text.as_bytes()).is_some();
    if contains("/checkin") || !contains("/api/jobs") {
        RequestClass::Heartbeat
    } else if contains("/abort") {
        RequestClass::Abort
    } else if contains("/api/jobs/") {
        RequestClass::StatusQuery
    } else {
        RequestClass::Submit
    }
}
