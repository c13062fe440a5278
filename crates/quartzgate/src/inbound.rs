//! Requests of users, workers and other controllers, on their way from the socket to the core.
//!
//! A complete request is classified and queued. The queues are served in the order of the
//! classes, so that heartbeats, which renew leases, overtake requests that can wait. Under
//! overload, or after too long a wait in the queue, a request is refused with `Retry-After`
//! before it reaches the core.

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

/// Interval at which the core is given new metrics.
const METRICS_INTERVAL_MS: u64 = 1_000;
/// `Retry-After` of a refused heartbeat or health check, in seconds. Their clients retry soon in
/// any case, and must not wait longer.
const MIN_RETRY_AFTER_S: u32 = 1;

/// Time for which a user waits for the answer to a status query.
const STATUS_QUERY_TIMEOUT_MS: u64 = 2_000;

/// A request that waits to be handled by the core.
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

/// A request that was read and has not been answered yet.
struct OpenRequest {
    connection: ConnectionKey,
    /// The job whose status a user queries; `None` for any other request.
    queried_job: Option<String>,
    arrived_ms: u64,
}

/// What to do with the request that was taken off the queue.
#[derive(Debug)]
pub enum NextRequest {
    /// The event passes the request to the core.
    Handle(Event),
    /// The action refuses the request.
    Refuse(Action),
    /// The client has disconnected; the request is dropped.
    Abandoned,
}

/// Number of user requests that are served per second.
#[derive(Default)]
struct Throughput {
    last_second: f64,
    this_second: u32,
}

impl Throughput {
    fn record_request(&mut self) {
        self.this_second += 1;
    }

    /// Starts a new second. The rate of the last one is at least 1.
    fn start_second(&mut self) {
        self.last_second = f64::from(std::mem::take(&mut self.this_second)).max(1.0);
    }
}

/// Requests that were read and have not been answered yet, queued by class until the core handles
/// them.
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
    /// Time at which data that is read now counts as having reached the sockets.
    arrived_ms: u64,
    heartbeat_interval_ms: u64,
    next_metrics_ms: u64,
}

/// The settings that the handling of requests depends on.
pub struct InboundSettings {
    /// Largest number of requests queued in a class. With the socket limit as the value, the
    /// requests of open connections alone never reach it.
    pub max_queued_per_class: usize,
    /// Interval between two heartbeats of a worker, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// Time for which a worker waits for the response to its heartbeat, in milliseconds.
    pub heartbeat_timeout_ms: u64,
}

impl InboundRequests {
    /// Creates an empty queue. `rng` randomizes the times at which refused clients retry.
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

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Sets the time at which data that is read from now on counts as having reached the sockets.
    pub fn set_arrival(&mut self, arrived_ms: u64) {
        self.arrived_ms = arrived_ms;
    }

    /// Handles a ready socket: transfers data and queues the next request. Returns the refusal if
    /// that request is refused at once.
    pub fn on_ready(
        &mut self,
        connections: &mut ConnectionTable,
        key: ConnectionKey,
        ready: Readiness,
    ) -> Option<Action> {
        connections.get_mut(key)?.record_activity(self.clock.steady_ms());
        if connections.transfer(key, ready).is_err() {
            self.close(connections, key);
            return None;
        }
        self.read_request(connections, key)
    }

    /// Sends the response to a request; drops the response if the client has disconnected. Returns
    /// the refusal of the connection's next request if that request is refused at once.
    pub fn respond(
        &mut self,
        connections: &mut ConnectionTable,
        id: RequestId,
        response: Response,
    ) -> Option<Action> {
        let now_ms = self.clock.steady_ms();
        let open = self.open_requests.remove(&id)?;
        self.record_status_response(&open, response.status, now_ms);
        let key = open.connection;
        let connection = connections.get_mut(key).filter(|c| c.is_processing(id))?;
        if connection.send_response(response, now_ms).is_err() {
            self.close(connections, key);
            return None;
        }
        // The next request may already be in the input buffer.
        self.read_request(connections, key)
    }

    /// Records the answer to a status query. Only an answer with status 200 or 404 within
    /// [`STATUS_QUERY_TIMEOUT_MS`] ends the time for which the job counts as unanswered.
    fn record_status_response(&mut self, open: &OpenRequest, status: u16, now_ms: u64) {
        let Some(job) = &open.queried_job else { return };
        let took_ms = now_ms.saturating_sub(open.arrived_ms);
        let in_time = took_ms < STATUS_QUERY_TIMEOUT_MS;
        tracing::debug!(job = %job, status, took_ms, "status query answered");
        if in_time && matches!(status, 200 | 404) {
            self.unanswered_jobs.on_answer(job, now_ms);
        }
    }

    /// Closes a connection; the request that is being processed on it, if any, gets no response.
    pub fn close(&mut self, connections: &mut ConnectionTable, key: ConnectionKey) {
        if let Some(Removed::Inbound(Some(id))) = connections.remove(key) {
            self.open_requests.remove(&id);
        }
    }

    /// Takes the next request off the queue, the most urgent class first.
    pub fn next(&mut self, now_ms: u64) -> Option<NextRequest> {
        Some(match self.queue.pop(now_ms)? {
            Dequeued::Reject { class, request } => {
                NextRequest::Refuse(self.refuse_with_retry(class, request.id))
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
                self.throughput.record_request();
            }
        }
    }

    /// Updates the load state of this process. Returns an event for the core when the load state
    /// has changed or new metrics are due.
    pub fn update_load(&mut self, now_ms: u64, connections: &ConnectionTable) -> Option<Event> {
        let oldest_ms = self.queue.oldest_wait_ms(now_ms);
        let transition = self.load_monitor.tick(now_ms, oldest_ms);
        if let Some(transition) = transition {
            self.log_load_transition(transition, oldest_ms);
        }
        if now_ms >= self.next_metrics_ms {
            self.next_metrics_ms = now_ms + METRICS_INTERVAL_MS;
            self.throughput.start_second();
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
        let oldest = self.unanswered_jobs.longest(now_ms);
        let oldest_ms = oldest.map_or(0, |oldest| oldest.age_ms);
        metrics.push(("unanswered_jobs".into(), self.unanswered_jobs.len() as f64));
        metrics.push(("unanswered_oldest_s".into(), oldest_ms as f64 / 1000.0));
        metrics
    }

    /// Takes the next request off a connection, if it is complete, and queues it. Returns the
    /// refusal if the request can't be queued.
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
                self.reject_malformed(connections, key, error);
                None
            }
        }
    }

    /// Queues a request for the core. Returns the refusal if the request can't be queued.
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
        let order = self.order_in_class(class, endpoint, connection.last_success_ms());
        // A forwarded query is tracked by the controller that received it from the user.
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
        queued.err().map(|refused| self.refuse_with_retry(class, refused.id))
    }

    /// Returns the order key of a request within its class; the lowest is served first. Workers
    /// whose last heartbeat was answered longest ago go first, since their leases expire first. A
    /// message of another controller is ordered like a heartbeat last answered one interval ago.
    fn order_in_class(&self, class: RequestClass, endpoint: Endpoint, last_success_ms: u64) -> u64 {
        match (class, endpoint) {
            (RequestClass::Heartbeat, Endpoint::Clients) => last_success_ms,
            (RequestClass::Heartbeat, Endpoint::Mesh) => {
                self.arrived_ms.saturating_sub(self.heartbeat_interval_ms)
            }
            _ => 0,
        }
    }

    /// Refuses a request before it reaches the core, with the time after which to retry.
    fn refuse_with_retry(&mut self, class: RequestClass, id: RequestId) -> Action {
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

    /// Answers a request that can't be parsed, and closes the connection.
    fn reject_malformed(
        &mut self,
        connections: &mut ConnectionTable,
        key: ConnectionKey,
        error: HttpError,
    ) {
        let now_ms = self.clock.steady_ms();
        let Some(connection) = connections.get_mut(key) else { return };
        let written = connection.send_rejection(error, now_ms);
        if !matches!(written, Ok(false)) {
            self.close(connections, key);
        }
    }
}

/// Returns the job whose status a user's request queries; `None` for any other request.
fn queried_job(request: &Request) -> Option<String> {
    let path = request.target.split('?').next()?;
    let job = path.strip_prefix("/api/jobs/").filter(|_| request.method == "GET")?;
    Some(job.to_string())
}

/// Returns the class of a request, which determines its priority.
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

/// Returns the class of a message from another controller. A forwarded user request keeps its own
/// class, which is recognized by the path in the message without decoding the message.
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
