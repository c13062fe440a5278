//! Load test of the scheduling core alone: one leader with its workers, cloud and state service, in
//! one process and on simulated time.
//!
//! The simulation measures the processor time that the core takes for each kind of event, without
//! sockets and system calls. For a given seed, everything but that time is reproducible.

mod cloud;
mod costs;
mod cpu_meter;
mod event_queue;
mod job_source;
mod options;
mod settings;
mod worker;

use std::collections::HashMap;
use std::time::Instant;

use quartzgate_core::records::{encode, JobRecord, RecordedStatus};
use quartzgate_core::{Action, Call, CallId, Controller, Event, Now, Outcome, Peer, RequestId};
use quartzgate_stand_ins::{Reply, StateService};
use quartzgate_wire::http::{Request, Response};
use quartzgate_wire::msg::{HeartbeatAnswer, JobSpec, Order, OrdersRequest};
use quartzgate_wire::{from_cbor, to_cbor};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub use costs::LoadCosts;
use costs::{Failover, LoadCounters};
use cpu_meter::{CpuMeter, EventKind};
use event_queue::EventQueue;
use job_source::JobSource;
pub use options::LoadOptions;
use worker::Worker;

/// Interval between ticks of the core.
const TICK_INTERVAL_MS: u64 = 25;
/// Wall-clock time at the start of a run.
const WALL_CLOCK_START_MS: u64 = 1_000_000;
/// Services are submitted from this time on, evenly spread over `SERVICES_SPREAD_MS`.
const SERVICES_START_MS: u64 = 2_000;
const SERVICES_SPREAD_MS: u64 = 10_000;
/// Time at which batch jobs begin to arrive.
const ARRIVALS_START_MS: u64 = 5_000;
/// Earliest time of a worker's first heartbeat, from the start or from a failover.
const FIRST_HEARTBEAT_MS: u64 = 500;
/// Latest time of a worker's first heartbeat, from a failover.
const MAX_FAILOVER_HEARTBEAT_MS: u64 = 2_000;
/// Delay after a failover until users retry the submissions that were not answered.
const RETRY_AFTER_FAILOVER_MS: u64 = 1_000;
/// Delay until a refused submission is retried if its answer has no `Retry-After`.
const DEFAULT_RETRY_AFTER_S: u32 = 1;

/// Delay until the core learns the outcome of a call, by the peer that is called.
const STATE_SERVICE_DELAY_MS: u64 = 5;
const CLOUD_DELAY_MS: u64 = 80;
const WORKER_DELAY_MS: u64 = 2;
const PEER_DELAY_MS: u64 = 1;

/// A job, with the time at which its user first submitted it.
struct Submission {
    spec: JobSpec,
    first_sent_ms: u64,
}

/// An event of the simulation. Workers are identified by their index.
enum SimulationEvent {
    Tick,
    HeartbeatPlanned(usize),
    TasksAdvance(usize),
    Submit(Box<Submission>),
    CallOutcome { call: CallId, kind: EventKind, outcome: Outcome },
    JobArrival,
    Failover,
}

/// One run of the simulation under a given load.
pub struct Simulation {
    options: LoadOptions,
    core: Controller,
    rng: SmallRng,
    now_ms: u64,
    events: EventQueue<SimulationEvent>,
    state_service: StateService,
    workers: Vec<Worker>,
    worker_by_address: HashMap<String, usize>,
    job_source: JobSource,
    /// Jobs that the core has accepted, by id.
    accepted_jobs: HashMap<String, Submission>,
    last_request_id: RequestId,
    /// Requests that are not answered yet: workers by their heartbeat's request, and submissions.
    pending_heartbeats: HashMap<RequestId, usize>,
    pending_submissions: HashMap<RequestId, Submission>,
    meter: CpuMeter,
    counters: LoadCounters,
    failover: Failover,
}

impl Simulation {
    /// Creates the fleet and schedules its services and the first events.
    pub fn new(options: LoadOptions) -> Self {
        let core_rng = SmallRng::seed_from_u64(options.seed);
        let mut simulation = Simulation {
            core: Controller::new(settings::config(&options), core_rng),
            rng: SmallRng::seed_from_u64(options.seed + 1),
            now_ms: 1,
            events: EventQueue::new(),
            state_service: StateService::default(),
            workers: Vec::new(),
            worker_by_address: HashMap::new(),
            job_source: JobSource::new(),
            accepted_jobs: HashMap::new(),
            last_request_id: 1,
            pending_heartbeats: HashMap::new(),
            pending_submissions: HashMap::new(),
            meter: CpuMeter::new(),
            counters: LoadCounters::new(),
            failover: Failover::default(),
            options,
        };
        simulation.add_workers();
        simulation.schedule_after(1, SimulationEvent::Tick);
        simulation.schedule_services();
        simulation.schedule_after(ARRIVALS_START_MS, SimulationEvent::JobArrival);
        if let Some(second) = simulation.options.failover_at {
            simulation.schedule_after(second * 1_000, SimulationEvent::Failover);
        }
        simulation
    }

    fn add_workers(&mut self) {
        for index in 0..self.options.machines {
            let worker = Worker::new(index);
            self.worker_by_address.insert(worker.identity().addr.clone(), self.workers.len());
            self.workers.push(worker);
            let interval_ms = self.options.heartbeat_ms() as u64;
            let first_ms =
                self.rng.random_range(FIRST_HEARTBEAT_MS..FIRST_HEARTBEAT_MS + interval_ms);
            self.plan_heartbeat(index as usize, first_ms);
        }
    }

    fn schedule_services(&mut self) {
        let services = u64::from(self.options.total_services());
        for index in 0..services {
            let spec = self.job_source.service(&self.options, &mut self.rng);
            let delay_ms = SERVICES_START_MS + index * SERVICES_SPREAD_MS / services;
            let submission = Submission { spec, first_sent_ms: self.now_ms + delay_ms };
            self.schedule_after(delay_ms, SimulationEvent::Submit(Box::new(submission)));
        }
    }

    fn schedule_after(&mut self, delay_ms: u64, event: SimulationEvent) {
        self.events.schedule(self.now_ms + delay_ms, event);
    }

    /// Runs the simulation to its end and returns the results.
    pub fn run(mut self) -> LoadCosts {
        let end_ms = self.options.seconds * 1000;
        while let Some((at_ms, event)) = self.events.pop() {
            if at_ms > end_ms {
                break;
            }
            self.now_ms = at_ms;
            self.handle(event);
        }
        LoadCosts::new(&self.options, &self.meter, &self.counters, &self.failover)
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Tick => {
                self.schedule_after(TICK_INTERVAL_MS, SimulationEvent::Tick);
                self.feed_core(EventKind::Tick, Event::Tick);
            }
            SimulationEvent::HeartbeatPlanned(worker) => self.send_heartbeat(worker),
            SimulationEvent::TasksAdvance(worker) => self.advance_tasks(worker),
            SimulationEvent::Submit(submission) => self.submit(*submission),
            SimulationEvent::CallOutcome { call, kind, outcome } => {
                self.feed_core(kind, Event::Outcome { call, outcome })
            }
            SimulationEvent::JobArrival => self.handle_job_arrival(),
            SimulationEvent::Failover => self.fail_over(),
        }
    }

    /// Passes an event to the core, measures the processor time and executes the core's actions.
    fn feed_core(&mut self, kind: EventKind, event: Event) {
        let now = Now { steady_ms: self.now_ms, wall_ms: WALL_CLOCK_START_MS + self.now_ms };
        let started = Instant::now();
        let actions = self.core.handle(now, event);
        self.meter.record(kind, self.now_ms, started.elapsed().as_micros() as u64);
        for action in actions {
            match action {
                Action::Answer { id, response } => self.handle_answer(id, response),
                Action::Call(call) => self.execute_call(call),
            }
        }
    }

    /// Crashes the leader and replaces it by a controller that knows only the stored records.
    /// Outcomes of the old leader's calls are dropped, all workers send a heartbeat anew, and
    /// submissions that the old leader did not answer are retried.
    fn fail_over(&mut self) {
        let core_rng = SmallRng::seed_from_u64(self.options.seed + 2);
        self.core = Controller::new(settings::config(&self.options), core_rng);
        self.add_terminal_jobs();
        self.failover = Failover {
            at_ms: Some(self.now_ms),
            records: self.state_service.len(),
            cpu_before_us: self.meter.total_us(),
            ..Failover::default()
        };
        self.events.retain(|event| !matches!(event, SimulationEvent::CallOutcome { .. }));
        self.restart_heartbeats();
        for (_, submission) in std::mem::take(&mut self.pending_submissions) {
            let retry = SimulationEvent::Submit(Box::new(submission));
            self.schedule_after(RETRY_AFTER_FAILOVER_MS, retry);
        }
    }

    /// Stores the records of jobs that ended long before the failover.
    fn add_terminal_jobs(&mut self) {
        let record = JobRecord {
            status: RecordedStatus::Done,
            spec: None,
            at_ms: WALL_CLOCK_START_MS,
            done_chunks: Vec::new(),
            service: false,
            placement: None,
        };
        for number in 0..self.options.terminal_jobs {
            self.state_service.preload(format!("jobs/wk-9{number:08}"), encode(&record));
        }
    }

    fn restart_heartbeats(&mut self) {
        for (_, worker) in std::mem::take(&mut self.pending_heartbeats) {
            self.workers[worker].clear_awaiting_answer();
        }
        for worker in 0..self.workers.len() {
            let delay_ms = self.rng.random_range(FIRST_HEARTBEAT_MS..MAX_FAILOVER_HEARTBEAT_MS);
            self.workers[worker].cancel_planned_heartbeat();
            self.plan_heartbeat(worker, self.now_ms + delay_ms);
        }
    }
}

// Submissions of users.
impl Simulation {
    fn handle_job_arrival(&mut self) {
        let interval_ms = self.job_source.next_arrival_ms(&self.options, &mut self.rng);
        self.schedule_after(interval_ms, SimulationEvent::JobArrival);
        let spec = self.job_source.batch_job(&self.options, &mut self.rng);
        self.submit(Submission { spec, first_sent_ms: self.now_ms });
    }

    fn submit(&mut self, submission: Submission) {
        self.counters.submitted += 1;
        let id = self.next_request_id();
        let request = post_request("/api/jobs", to_cbor(&submission.spec));
        self.pending_submissions.insert(id, submission);
        self.feed_core(EventKind::UserRequest, Event::Client { id, request });
    }

    fn next_request_id(&mut self) -> RequestId {
        self.last_request_id += 1;
        self.last_request_id
    }

    fn handle_answer(&mut self, id: RequestId, response: Response) {
        if let Some(submission) = self.pending_submissions.remove(&id) {
            self.handle_submission_answer(submission, &response);
        } else if let Some(worker) = self.pending_heartbeats.remove(&id) {
            self.handle_heartbeat_answer(worker, &response);
        }
    }

    fn handle_submission_answer(&mut self, submission: Submission, response: &Response) {
        match response.status {
            200 | 201 => {
                self.counters.accepted += 1;
                self.accepted_jobs.insert(submission.spec.id.clone(), submission);
            }
            _ => {
                self.counters.refused += 1;
                let retry_after_s = response.retry_after_s.unwrap_or(DEFAULT_RETRY_AFTER_S);
                let retry = SimulationEvent::Submit(Box::new(submission));
                self.schedule_after(u64::from(retry_after_s) * 1000, retry);
            }
        }
    }
}

// Heartbeats and tasks of workers.
impl Simulation {
    /// Plans a worker's next heartbeat, unless an earlier one is already planned.
    fn plan_heartbeat(&mut self, worker: usize, at_ms: u64) {
        if self.workers[worker].plan_heartbeat(self.now_ms, at_ms) {
            let delay_ms = at_ms.saturating_sub(self.now_ms);
            self.schedule_after(delay_ms, SimulationEvent::HeartbeatPlanned(worker));
        }
    }

    /// Plans a heartbeat that reports changed tasks, at the earliest time that is allowed.
    fn plan_task_change_heartbeat(&mut self, worker: usize) {
        let at_ms = self.workers[worker].earliest_heartbeat_ms(self.now_ms);
        self.plan_heartbeat(worker, at_ms);
    }

    fn send_heartbeat(&mut self, worker: usize) {
        if !self.workers[worker].is_heartbeat_due(self.now_ms) {
            return;
        }
        self.workers[worker].note_heartbeat_sent(self.now_ms);
        let body = to_cbor(&self.workers[worker].next_heartbeat());
        let id = self.next_request_id();
        self.pending_heartbeats.insert(id, worker);
        let request = post_request("/checkin", body);
        self.feed_core(EventKind::Heartbeat, Event::Client { id, request });
    }

    fn handle_heartbeat_answer(&mut self, worker: usize, response: &Response) {
        self.workers[worker].clear_awaiting_answer();
        if let Ok(answer) = from_cbor::<HeartbeatAnswer>(&response.body) {
            self.workers[worker].observe_fencing_token(answer.fencing_token);
            self.execute_commands(worker, answer.orders);
        }
        let interval_ms = self.options.heartbeat_ms();
        let next_ms = self.rng.random_range(interval_ms * 0.75..interval_ms * 1.25) as u64;
        self.plan_heartbeat(worker, self.now_ms + next_ms);
    }

    fn execute_commands(&mut self, worker: usize, commands: Vec<Order>) {
        for command in commands {
            match command {
                Order::Start { task, attempt } => self.start_task(worker, task, attempt),
                Order::Stop { task, .. } => {
                    if self.workers[worker].stop_task(&task) {
                        self.plan_task_change_heartbeat(worker);
                    }
                }
                Order::Forget { task, .. } => self.workers[worker].forget_task(&task),
            }
        }
    }

    fn start_task(&mut self, worker: usize, task: String, attempt: u64) {
        let Some(job) = self.accepted_jobs.get(worker::job_of(&task)) else { return };
        self.counters.starts += 1;
        self.counters.start_waits.saturating_record(self.now_ms - job.first_sent_ms);
        self.failover.note_start(self.now_ms, &self.meter);
        let fetch_ms = self.workers[worker].start_task(task, attempt, &job.spec, self.now_ms);
        self.schedule_after(fetch_ms, SimulationEvent::TasksAdvance(worker));
    }

    fn advance_tasks(&mut self, worker: usize) {
        let jobs = &self.accepted_jobs;
        let find_job = |id: &str| jobs.get(id).map(|job| &job.spec);
        let progress = self.workers[worker].advance_tasks(self.now_ms, find_job);
        self.counters.tasks_done += progress.completed;
        for wake_ms in progress.wake_at_ms {
            let delay_ms = wake_ms - self.now_ms;
            self.schedule_after(delay_ms, SimulationEvent::TasksAdvance(worker));
        }
        self.plan_task_change_heartbeat(worker);
    }
}

/// The outcome of a call of the core, and the delay until the core learns it.
struct CallResult {
    kind: EventKind,
    delay_ms: u64,
    outcome: Outcome,
}

// Calls of the core.
impl Simulation {
    fn execute_call(&mut self, call: Call) {
        let result = match &call.peer {
            Peer::State => self.call_state_service(&call),
            Peer::Cloud => CallResult {
                kind: EventKind::Provisioner,
                delay_ms: CLOUD_DELAY_MS,
                outcome: Outcome::Answer(cloud::answer(&call, &self.workers)),
            },
            Peer::Worker(address) => self.call_worker(&address.to_string(), &call),
            Peer::Sibling(_) => CallResult {
                kind: EventKind::Peer,
                delay_ms: PEER_DELAY_MS,
                outcome: Outcome::Lost,
            },
        };
        let CallResult { kind, delay_ms, outcome } = result;
        let event = SimulationEvent::CallOutcome { call: call.id, kind, outcome };
        self.schedule_after(delay_ms, event);
    }

    fn call_state_service(&mut self, call: &Call) -> CallResult {
        // A watch ends without changes, before the call times out in the core.
        let reply = self.state_service.handle(self.now_ms, call.method, &call.target, &call.body);
        let (delay_ms, response) = match reply {
            Reply::Answer(response) => (STATE_SERVICE_DELAY_MS, response),
            Reply::Watch { .. } => (call.timeout_ms * 3 / 4, self.state_service.no_changes()),
        };
        CallResult { kind: EventKind::StateService, delay_ms, outcome: Outcome::Answer(response) }
    }

    /// Lets a worker execute the commands of a call and answer with a heartbeat.
    fn call_worker(&mut self, address: &str, call: &Call) -> CallResult {
        let worker = self.worker_by_address[address];
        if let Ok(request) = from_cbor::<OrdersRequest>(&call.body) {
            self.workers[worker].observe_fencing_token(request.fencing_token);
            self.execute_commands(worker, request.orders);
        }
        let body = to_cbor(&self.workers[worker].next_heartbeat());
        CallResult {
            kind: EventKind::WorkerCommands,
            delay_ms: WORKER_DELAY_MS,
            outcome: Outcome::Answer(Response::new(200, body)),
        }
    }
}

fn post_request(target: &str, body: Vec<u8>) -> Request {
    Request { method: "POST".into(), target: target.into(), body, close: false }
}
