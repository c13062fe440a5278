//! The workers: their heartbeats and leases, the orders that they execute and the progress of
//! their tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::clock::SimulationEvent;
use super::cloud::MACHINE_TYPE;
use super::network::{HeldCall, Requester};
use super::{
    job_of, machine_name, Cluster, Endpoint, Milestone, HEARTBEAT_INTERVAL_MS, WORKER_LEASE_MS,
};
use quartzgate_core::{CallId, Event};
use quartzgate_wire::http::{Request, Response};
use quartzgate_wire::msg::{
    ExitCause, Heartbeat, HeartbeatAnswer, HeartbeatTask, JobKind, JobSpec, Order, OrdersRequest,
    Redirect, TaskStatus,
};
use quartzgate_wire::{from_cbor, to_cbor};
use rand::Rng;

/// Timeout of a worker for the answer to a heartbeat.
const ANSWER_TIMEOUT_MS: u64 = 4_000;
/// Interval at which a worker's agent updates its lease and tasks.
const WORKER_STEP_MS: u64 = 50;
/// Run time of a task for which a test sets no other.
const DEFAULT_TASK_MS: u64 = 2_000;
/// Pseudo status code for a heartbeat that got no answer.
const NO_ANSWER: u16 = 0;
/// Pseudo status code for a heartbeat whose controller is down.
const CONNECTION_REFUSED: u16 = 1;
/// Number of machines per subnet of the simulated addresses.
const MACHINES_PER_NETWORK: u32 = 250;

/// The messages that are lost on the way to a machine whose heartbeats arrive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InboundLoss {
    pub answers: bool,
    pub orders: bool,
}

/// A task as held by its machine.
#[derive(Clone, Debug)]
pub struct HeldTask {
    pub attempt: u64,
    pub status: TaskStatus,
    pub cause: Option<ExitCause>,
    pub ends_ms: u64,
}

impl HeldTask {
    /// Returns whether the task has not exited.
    pub fn is_live(&self) -> bool {
        self.status != TaskStatus::Exited
    }
}

/// A live task and the machine that holds it.
#[derive(Clone, Debug)]
pub struct LiveTask {
    #[allow(dead_code, reason = "shown by assertions that fail")]
    pub task: String,
    pub machine: String,
}

/// The time and machine of a start of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskStart {
    pub machine: String,
    pub at_ms: u64,
}

/// An attempt of a task that a worker has started.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct StartedAttempt {
    task: String,
    attempt: u64,
}

/// Makes a machine hang for `for_ms` in the middle of its next call with more than `after_orders`
/// orders, after it has executed that many.
#[derive(Clone, Copy, Debug)]
pub struct MidCallHang {
    pub after_orders: usize,
    pub for_ms: u64,
}

/// The caller that waits for the answer to a call, with the status of that answer.
#[derive(Clone, Copy)]
struct PendingAnswer {
    node: usize,
    incarnation: u32,
    call: CallId,
    status: u16,
}

/// The remaining orders of a call in which a machine hung, the agent epoch at that time, and the
/// call itself unless it was the answer to a heartbeat. The call is answered after the last order.
#[derive(Default)]
struct InterruptedOrders {
    agent_epoch: u64,
    orders: Vec<Order>,
    answer: Option<PendingAnswer>,
}

/// A machine and its agent.
pub struct Worker {
    pub zone: String,
    pub kind: String,
    pub cpus: f64,
    pub spot: bool,
    pub agent_epoch: u64,
    pub sequence: u64,
    pub fencing_token: u64,
    /// The controller that the worker sends its heartbeats to.
    pub controller: usize,
    pub lease_start_ms: u64,
    /// Duration of the lease in simulated time; longer if the worker's clock runs slow.
    pub lease_ms: u64,
    pub tasks: BTreeMap<String, HeldTask>,
    /// Attempts that were started in the present agent epoch.
    started_attempts: BTreeSet<StartedAttempt>,
    pub dead: bool,
    pub hung_until_ms: u64,
    /// All tasks that the machine starts fail.
    pub fails_all_tasks: bool,
    awaits_answer: bool,
    pub hang_mid_call: Option<MidCallHang>,
    interrupted: InterruptedOrders,
    /// Calls that arrived while the machine hung.
    queued_calls: Vec<HeldCall>,
    pub(super) booted_at_ms: u64,
    images: BTreeSet<String>,
    /// Images that are being fetched, with the number of GB that remain.
    fetching_gb: BTreeMap<String, f64>,
    fetched_at_ms: u64,
}

impl Worker {
    /// Returns whether the machine still holds its tasks: it is not dead and its lease has not
    /// expired.
    pub(super) fn holds_tasks(&self, now: u64) -> bool {
        !self.dead && now <= self.lease_start_ms + self.lease_ms
    }

    pub(super) fn live_tasks(&self) -> impl Iterator<Item = (&String, &HeldTask)> {
        self.tasks.iter().filter(|(_, held)| held.is_live())
    }

    fn start_fetch_if_missing(&mut self, spec: &JobSpec, images_are_fetched: bool) -> bool {
        let is_missing = images_are_fetched && !self.images.contains(&spec.image);
        if is_missing {
            self.fetching_gb.entry(spec.image.clone()).or_insert(spec.image_gb);
        }
        is_missing
    }
}

impl Cluster {
    /// Adds a machine; zones alternate.
    pub fn add_worker(&mut self) -> String {
        let n = self.next_machine;
        self.next_machine += 1;
        let name = machine_name(n as usize);
        let zone = ["a", "b"][n as usize % 2];
        self.boot(&name, zone, false);
        name
    }

    pub(super) fn boot(&mut self, name: &str, zone: &str, spot: bool) {
        let worker = Worker {
            zone: zone.into(),
            kind: MACHINE_TYPE.into(),
            cpus: 8.0,
            spot,
            agent_epoch: 1,
            sequence: 0,
            fencing_token: 0,
            controller: 0,
            lease_start_ms: self.now,
            lease_ms: WORKER_LEASE_MS + self.clock_skew * WORKER_LEASE_MS / 2_000,
            tasks: BTreeMap::new(),
            started_attempts: BTreeSet::new(),
            dead: false,
            hung_until_ms: 0,
            fails_all_tasks: false,
            awaits_answer: false,
            hang_mid_call: None,
            interrupted: InterruptedOrders::default(),
            queued_calls: Vec::new(),
            booted_at_ms: self.now,
            images: BTreeSet::new(),
            fetching_gb: BTreeMap::new(),
            fetched_at_ms: self.now,
        };
        self.workers.insert(name.into(), worker);
        self.schedule_after(10, SimulationEvent::HeartbeatDue { machine: name.into() });
        self.schedule_after(WORKER_STEP_MS, SimulationEvent::WorkerStep { machine: name.into() });
    }

    /// Reboots a machine: it loses all its tasks and returns after `ms` with the same name and
    /// address, in a new agent epoch.
    pub fn reboot_machine(&mut self, name: &str, ms: u64) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.dead = true;
        worker.tasks.clear();
        worker.started_attempts.clear();
        worker.agent_epoch += 1;
        self.schedule_after(ms, SimulationEvent::MachineRebooted { machine: name.into() });
    }

    /// Restarts a machine within the lease: it loses all its tasks and returns after `ms` in the same
    /// agent epoch, with the fencing token that it has seen.
    pub fn restart_machine_in_same_epoch(&mut self, name: &str, ms: u64) {
        self.reboot_machine(name, ms);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.agent_epoch -= 1;
        }
    }

    pub(super) fn on_machine_rebooted(&mut self, machine: String) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&machine) else { return };
        worker.dead = false;
        worker.awaits_answer = false;
        worker.lease_start_ms = now;
        self.schedule_after(1, SimulationEvent::HeartbeatDue { machine: machine.clone() });
        self.schedule_after(2, SimulationEvent::WorkerStep { machine });
    }

    /// Makes a machine hang for `ms`.
    pub fn hang_machine(&mut self, name: &str, ms: u64) {
        let until_ms = self.now + ms;
        self.workers.get_mut(name).unwrap().hung_until_ms = until_ms;
    }

    /// Kills a machine permanently.
    pub fn kill_machine(&mut self, name: &str) {
        self.workers.get_mut(name).unwrap().dead = true;
    }

    /// Returns the live tasks of a job on machines that are not dead.
    pub fn live_tasks(&self, job: &str) -> Vec<LiveTask> {
        let prefix = format!("{job}/");
        let mut live = Vec::new();
        for (machine, worker) in self.workers.iter().filter(|(_, worker)| !worker.dead) {
            for (task, _) in worker.live_tasks().filter(|(task, _)| task.starts_with(&prefix)) {
                live.push(LiveTask { task: task.clone(), machine: machine.clone() });
            }
        }
        live
    }

    /// Builds a worker's next heartbeat, which advances its sequence number.
    pub fn heartbeat_of(&mut self, name: &str) -> Option<Heartbeat> {
        let worker = self.workers.get_mut(name)?;
        worker.sequence += 1;
        let tasks = worker.tasks.iter().map(|(task, held)| HeartbeatTask {
            task: task.clone(),
            attempt: held.attempt,
            status: held.status,
            cause: held.cause,
            checkpointed: None,
        });
        Some(Heartbeat {
            machine: name.into(),
            addr: addr_of(name),
            machine_type: worker.kind.clone(),
            zone: worker.zone.clone(),
            spot: worker.spot,
            agent_epoch: worker.agent_epoch,
            seq: worker.sequence,
            fencing_token: worker.fencing_token,
            interruption_notice_s: None,
            tasks: tasks.collect(),
        })
    }

    /// Sends a worker's heartbeat and schedules the next one.
    pub(super) fn send_heartbeat(&mut self, name: &str) {
        let jitter_ms = self.rng.random_range(0..HEARTBEAT_INTERVAL_MS / 2);
        let now = self.now;
        let Some(worker) = self.workers.get(name) else { return };
        if worker.dead {
            return;
        }
        let next = SimulationEvent::HeartbeatDue { machine: name.into() };
        self.schedule_after(HEARTBEAT_INTERVAL_MS * 3 / 4 + jitter_ms, next);
        let worker = self.workers.get_mut(name).unwrap();
        if now < worker.hung_until_ms || worker.awaits_answer {
            return;
        }
        worker.awaits_answer = true;
        let node = worker.controller;
        let body = to_cbor(&self.heartbeat_of(name).unwrap());
        self.duplicate_heartbeat(&body);
        self.schedule_pseudo_answer(name, ANSWER_TIMEOUT_MS, NO_ANSWER);
        if self.lost_heartbeats.contains(name) {
            return;
        }
        if !self.is_up(node) {
            return self.schedule_pseudo_answer(name, 1, CONNECTION_REFUSED);
        }
        let (worker, controller) = (Endpoint::Worker(name.into()), Endpoint::Controller(node));
        if self.link_fault(&worker, &controller).is_none()
            && !self.rng.random_bool(self.message_loss)
        {
            let delay_ms = self.random_delay_ms();
            let machine = name.to_string();
            let event = SimulationEvent::HeartbeatArrives { machine, node, sent_ms: now, body };
            self.schedule_after(delay_ms, event);
        }
    }

    /// Schedules a pseudo answer, without a body, to the heartbeat that a worker sends now.
    fn schedule_pseudo_answer(&mut self, name: &str, ms: u64, status: u16) {
        let (machine, sent_ms) = (name.to_string(), self.now);
        let event = SimulationEvent::HeartbeatAnswer { machine, sent_ms, status, body: Vec::new() };
        self.schedule_after(ms, event);
    }

    /// Delivers a heartbeat to a controller.
    pub(super) fn deliver_heartbeat(
        &mut self,
        machine: String,
        node: usize,
        sent_ms: u64,
        body: Vec<u8>,
    ) {
        let worker = Endpoint::Worker(machine.clone());
        if !self.is_up(node) || self.link_fault(&worker, &Endpoint::Controller(node)).is_some() {
            return;
        }
        self.request_checkin(node, Requester::Worker { machine, sent_ms }, body);
    }

    pub(super) fn deliver_duplicate_heartbeat(&mut self, node: usize, body: Vec<u8>) {
        if self.is_up(node) {
            self.request_checkin(node, Requester::Discard, body);
        }
    }

    fn request_checkin(&mut self, node: usize, requester: Requester, body: Vec<u8>) {
        let id = self.register_request(node, requester);
        let (method, target) = ("POST".into(), "/checkin".into());
        let request = Request { method, target, body, close: false };
        self.handle_event(node, Event::Client { id, request });
    }

    /// Handles the answer to a heartbeat, or its timeout.
    pub(super) fn on_heartbeat_answer(
        &mut self,
        name: &str,
        sent_ms: u64,
        status: u16,
        body: &[u8],
    ) {
        let now = self.now;
        let timeout_ms = sent_ms + ANSWER_TIMEOUT_MS;
        let lost = self.inbound_loss.get(name).is_some_and(|loss| loss.answers)
            && status > CONNECTION_REFUSED;
        let Some(worker) = self.workers.get_mut(name).filter(|_| !lost) else { return };
        if worker.dead || !worker.awaits_answer || now > timeout_ms || now < worker.hung_until_ms {
            if now >= timeout_ms && status == NO_ANSWER {
                worker.awaits_answer = false;
            }
            return;
        }
        if status == NO_ANSWER && now < timeout_ms {
            return;
        }
        worker.awaits_answer = false;
        match status {
            200 => {
                let Ok(answer) = from_cbor::<HeartbeatAnswer>(body) else { return };
                if answer.fencing_token < worker.fencing_token {
                    return;
                }
                worker.fencing_token = answer.fencing_token;
                worker.lease_start_ms = worker.lease_start_ms.max(sent_ms);
                self.execute_orders(name, answer.orders);
            }
            421 => self.follow_redirect(name, body),
            _ => self.try_next_controller(name),
        }
    }

    fn follow_redirect(&mut self, name: &str, body: &[u8]) {
        self.redirects += 1;
        let controller = from_cbor::<Redirect>(body).ok().and_then(|redirect| redirect.controller);
        let controller =
            controller.and_then(|node| node.trim_start_matches('n').parse::<usize>().ok());
        let worker = self.workers.get_mut(name).unwrap();
        match controller {
            Some(node) if node != worker.controller => {
                worker.controller = node;
                self.schedule_after(100, SimulationEvent::HeartbeatDue { machine: name.into() });
            }
            _ => {
                self.try_next_controller(name);
                if let Some(ms) = self.redirect_delay_ms {
                    self.schedule_after(ms, SimulationEvent::HeartbeatDue { machine: name.into() });
                }
            }
        }
    }

    fn try_next_controller(&mut self, name: &str) {
        let nodes = self.nodes.len();
        let worker = self.workers.get_mut(name).unwrap();
        worker.controller = (worker.controller + 1) % nodes;
    }

    /// Handles a controller's call at a worker.
    pub(super) fn on_worker_call(&mut self, name: &str, arrived: HeldCall) {
        if self.inbound_loss.get(name).is_some_and(|loss| loss.orders) {
            return self.count_lost_starts(name, &arrived);
        }
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.dead {
            return;
        }
        if now < worker.hung_until_ms {
            worker.queued_calls.push(arrived);
            return;
        }
        self.expire_worker_lease(name);
        let HeldCall { from, incarnation, call } = arrived;
        let mut status = 200;
        if call.target == "/orders" {
            let request: OrdersRequest = from_cbor(&call.body).unwrap();
            self.empty_commands += u64::from(request.orders.is_empty());
            let worker = self.workers.get_mut(name).unwrap();
            if request.fencing_token < worker.fencing_token
                || request.agent_epoch != worker.agent_epoch
            {
                status = 409;
            } else {
                worker.fencing_token = request.fencing_token;
                self.execute_orders(name, request.orders);
            }
        }
        let answer = PendingAnswer { node: from, incarnation, call: call.id, status };
        let worker = self.workers.get_mut(name).unwrap();
        match worker.interrupted.orders.is_empty() {
            true => self.answer_with_heartbeat(name, answer),
            false => worker.interrupted.answer = Some(answer),
        }
    }

    /// Answers a call with the machine's status after all orders of the call.
    fn answer_with_heartbeat(&mut self, name: &str, answer: PendingAnswer) {
        let PendingAnswer { node, incarnation, call, status } = answer;
        let body = to_cbor(&self.heartbeat_of(name).unwrap());
        let response = Response::new(status, body);
        self.send_answer(node, incarnation, call, response, &Endpoint::Worker(name.into()));
    }

    fn count_lost_starts(&mut self, name: &str, lost: &HeldCall) {
        let request = from_cbor::<OrdersRequest>(&lost.call.body);
        let orders = request.map_or(Vec::new(), |request| request.orders);
        let starts = orders.iter().filter(|order| matches!(order, Order::Start { .. })).count();
        *self.lost_starts.entry(name.to_string()).or_default() += starts as u32;
    }

    fn execute_orders(&mut self, name: &str, mut orders: Vec<Order>) {
        let now = self.now;
        let worker = self.workers.get_mut(name).unwrap();
        let hangs = |hang: &mut MidCallHang| orders.len() > hang.after_orders;
        if let Some(hang) = worker.hang_mid_call.take_if(hangs) {
            let agent_epoch = worker.agent_epoch;
            let orders = orders.split_off(hang.after_orders);
            worker.interrupted = InterruptedOrders { agent_epoch, orders, answer: None };
            worker.hung_until_ms = now + hang.for_ms;
        }
        for order in orders {
            match order {
                Order::Start { task, attempt } => self.start_task(name, task, attempt),
                Order::Stop { task, attempt, .. } => self.stop_task(name, &task, attempt),
                Order::Forget { task, attempt } => self.forget_task(name, &task, attempt),
            }
        }
    }

    fn stop_task(&mut self, name: &str, task: &str, attempt: u64) {
        let worker = self.workers.get_mut(name).unwrap();
        if let Some(held) = worker.tasks.get_mut(task) {
            if held.attempt == attempt && held.is_live() {
                held.status = TaskStatus::Exited;
                held.cause = Some(ExitCause::Stopped);
            }
        }
    }

    fn forget_task(&mut self, name: &str, task: &str, attempt: u64) {
        let worker = self.workers.get_mut(name).unwrap();
        let exited = |held: &HeldTask| held.attempt == attempt && !held.is_live();
        if worker.tasks.get(task).is_some_and(exited) {
            worker.tasks.remove(task);
            self.record_milestone(Milestone::ExitedTaskForgotten);
        }
    }

    fn start_task(&mut self, name: &str, task: String, attempt: u64) {
        let now = self.now;
        let Some(spec) = self.jobs.get(job_of(&task)).cloned() else { return };
        if let Some(held) = self.workers[name].tasks.get(&task) {
            if held.attempt == attempt || held.is_live() {
                return;
            }
        }
        self.check_attempt_starts_once(name, &task, attempt);
        self.check_start(name, &task, &spec);
        let ends_ms = now + self.remaining_ms(&spec, &task);
        let job_fails = self.failing_jobs.get_mut(&spec.id).map(|failed| *failed += 1).is_some();
        let images_are_fetched = self.fetch_gb_per_s.is_some();
        let jobs = &self.jobs;
        let worker = self.workers.get_mut(name).unwrap();
        let used: f64 = worker
            .live_tasks()
            .filter_map(|(task, _)| jobs.get(job_of(task)))
            .map(|job| job.cpus)
            .sum();
        let (status, cause) = if used + spec.cpus > worker.cpus + 1e-6 {
            (TaskStatus::Exited, Some(ExitCause::InsufficientResources))
        } else if worker.fails_all_tasks || job_fails {
            (TaskStatus::Exited, Some(ExitCause::Error))
        } else if worker.start_fetch_if_missing(&spec, images_are_fetched) {
            (TaskStatus::Fetching, None)
        } else if spec.kind == JobKind::Gang {
            (TaskStatus::Waiting, None)
        } else {
            (TaskStatus::Running, None)
        };
        worker.tasks.insert(task.clone(), HeldTask { attempt, status, cause, ends_ms });
        if status != TaskStatus::Exited {
            let start = TaskStart { machine: name.into(), at_ms: now };
            self.task_starts.entry(task).or_default().push(start);
        }
    }

    /// Checks that a worker starts no attempt again after it was told to forget it.
    fn check_attempt_starts_once(&mut self, name: &str, task: &str, attempt: u64) {
        let started = StartedAttempt { task: task.to_string(), attempt };
        let is_first = self.workers.get_mut(name).unwrap().started_attempts.insert(started);
        if !is_first {
            let now = self.now;
            self.violation(format!("attempt {attempt} of {task} starts again on {name} at {now}"));
        }
    }

    /// Returns the time that a task runs once its image is available: a task that has completed
    /// before exits immediately, and a service replica runs indefinitely.
    fn remaining_ms(&self, spec: &JobSpec, task: &str) -> u64 {
        let index = task.rsplit_once('/').and_then(|(_, n)| n.parse::<u32>().ok());
        let completed = self.completed_tasks.get(&spec.id);
        let is_completed = index.is_some_and(|n| completed.is_some_and(|all| all.contains(&n)));
        match (is_completed, spec.kind) {
            (true, _) => 0,
            (_, JobKind::Service) => u64::MAX / 2,
            _ => self.full_duration_ms(task),
        }
    }

    /// Returns the full run time of a task.
    fn full_duration_ms(&self, task: &str) -> u64 {
        let durations = &self.task_duration_ms;
        let duration = durations.get(task).or(durations.get(job_of(task)));
        duration.copied().unwrap_or(DEFAULT_TASK_MS)
    }

    /// Drops a worker's tasks and begins a new agent epoch if the worker's lease has expired.
    fn expire_worker_lease(&mut self, name: &str) {
        let now = self.now;
        let worker = self.workers.get_mut(name).unwrap();
        if now > worker.lease_start_ms + worker.lease_ms {
            worker.tasks.clear();
            worker.started_attempts.clear();
            worker.agent_epoch += 1;
            worker.lease_start_ms = now;
        }
    }

    /// Runs one step of a worker's agent: updates its lease, queued calls, images and tasks, and
    /// sends a heartbeat soon if a task has changed its status.
    pub(super) fn step_worker(&mut self, name: &str) {
        let now = self.now;
        let Some(worker) = self.workers.get(name) else { return };
        if worker.dead {
            return;
        }
        self.schedule_after(WORKER_STEP_MS, SimulationEvent::WorkerStep { machine: name.into() });
        if now < self.workers[name].hung_until_ms {
            return;
        }
        self.expire_worker_lease(name);
        self.resume_after_hang(name);
        let mut changed = self.fetch_images(name);
        let tasks: Vec<String> = self.workers[name].tasks.keys().cloned().collect();
        for task in tasks {
            changed |= self.advance_task(name, &task);
        }
        if changed && !self.workers[name].awaits_answer {
            self.schedule_after(10, SimulationEvent::HeartbeatDue { machine: name.into() });
        }
    }

    /// Executes the remaining orders of an interrupted call, if they are for the current agent
    /// epoch, answers that call, and handles the calls that arrived while the machine hung.
    fn resume_after_hang(&mut self, name: &str) {
        let worker = self.workers.get_mut(name).unwrap();
        let interrupted = std::mem::take(&mut worker.interrupted);
        if interrupted.agent_epoch == worker.agent_epoch {
            self.execute_orders(name, interrupted.orders);
        }
        if let Some(answer) = interrupted.answer {
            self.answer_with_heartbeat(name, answer);
        }
        let queued = std::mem::take(&mut self.workers.get_mut(name).unwrap().queued_calls);
        for call in queued {
            self.on_worker_call(name, call);
        }
    }

    /// Advances a task; returns whether its status has changed.
    fn advance_task(&mut self, name: &str, task: &str) -> bool {
        let now = self.now;
        let held = self.workers[name].tasks[task].clone();
        let spec = self.jobs[job_of(task)].clone();
        self.check_not_aborted(name, task, &held);
        let mut next = held.clone();
        if spec.kind == JobKind::Gang && held.is_live() {
            let is_complete = self.responsive_gang_tasks(&spec, held.attempt) == spec.tasks;
            if held.status == TaskStatus::Waiting && is_complete {
                next.status = TaskStatus::Running;
                next.ends_ms = now + self.full_duration_ms(task);
            } else if held.status == TaskStatus::Running && !is_complete {
                next.status = TaskStatus::Exited;
                next.cause = Some(ExitCause::Peers);
            }
        }
        if next.status == TaskStatus::Running && now >= next.ends_ms {
            next.status = TaskStatus::Exited;
            next.cause = Some(ExitCause::Done);
            self.complete_task(&spec, task);
        }
        let changed = next.status != held.status;
        if changed {
            self.workers.get_mut(name).unwrap().tasks.insert(task.into(), next);
        }
        changed
    }

    /// Counts the tasks of a gang's attempt that are live or done as its other tasks observe them:
    /// tasks on a hung machine do not count, like those on a dead one.
    fn responsive_gang_tasks(&self, spec: &JobSpec, attempt: u64) -> u32 {
        let responsive = |worker: &&super::Worker| !worker.dead && worker.hung_until_ms <= self.now;
        let tasks = self.workers.values().filter(responsive).flat_map(|worker| &worker.tasks);
        let counts = |(task, held): &(&String, &HeldTask)| {
            job_of(task) == spec.id
                && held.attempt == attempt
                && (held.is_live() || held.cause == Some(ExitCause::Done))
        };
        tasks.filter(counts).count() as u32
    }

    /// Records the completion of a task; the first completion completes a whole gang.
    fn complete_task(&mut self, spec: &JobSpec, task: &str) {
        let index: u32 = task.rsplit_once('/').unwrap().1.parse().unwrap();
        self.completed_tasks.entry(spec.id.clone()).or_default().insert(index);
        if spec.kind == JobKind::Gang {
            self.completed_tasks.insert(spec.id.clone(), (0..spec.tasks).collect());
        }
        if self.completed_tasks[&spec.id].len() == spec.tasks as usize {
            self.on_last_task_ended(&spec.id);
        }
    }

    /// Advances the fetches of a machine's images; returns whether a task that was waiting for its
    /// image can run now.
    fn fetch_images(&mut self, name: &str) -> bool {
        let (now, rate) = (self.now, self.fetch_gb_per_s.unwrap_or(f64::INFINITY));
        let jobs = &self.jobs;
        let Some(worker) = self.workers.get_mut(name) else { return false };
        let image_of = |task: &str| &jobs[job_of(task)].image;
        let is_wanted = |image: &String| {
            let waits = |(task, held): (&String, &HeldTask)| {
                held.status == TaskStatus::Fetching && image_of(task) == image
            };
            worker.tasks.iter().any(waits)
        };
        // A fetch is abandoned as soon as no task waits for its image.
        let open: Vec<String> =
            worker.fetching_gb.keys().filter(|image| is_wanted(image)).cloned().collect();
        worker.fetching_gb.retain(|image, _| open.contains(image));
        let passed_s = (now - std::mem::replace(&mut worker.fetched_at_ms, now)) as f64 / 1e3;
        let fetched_gb = passed_s * rate / open.len().max(1) as f64;
        for image in open {
            let Some(left_gb) = worker.fetching_gb.get_mut(&image) else { continue };
            *left_gb -= fetched_gb;
            if *left_gb <= 0.0 {
                worker.fetching_gb.remove(&image);
                worker.images.insert(image);
            }
        }
        let is_ready = |(task, held): &(&String, &HeldTask)| {
            held.status == TaskStatus::Fetching && worker.images.contains(image_of(task))
        };
        let ready = worker.tasks.iter().filter(is_ready);
        let ready: Vec<String> = ready.map(|(task, _)| task.clone()).collect();
        for task in &ready {
            self.start_after_fetch(name, task);
        }
        !ready.is_empty()
    }

    fn start_after_fetch(&mut self, name: &str, task: &str) {
        let spec = &self.jobs[job_of(task)];
        let ends_ms = self.now + self.remaining_ms(spec, task);
        let status = match spec.kind {
            JobKind::Gang => TaskStatus::Waiting,
            _ => TaskStatus::Running,
        };
        let worker = self.workers.get_mut(name);
        if let Some(held) = worker.and_then(|worker| worker.tasks.get_mut(task)) {
            (held.status, held.ends_ms) = (status, ends_ms);
        }
    }
}

/// Returns the address of a machine's agent.
pub(super) fn addr_of(name: &str) -> String {
    let n: u32 = name.trim_start_matches("vm-").parse().unwrap();
    format!("10.2.{}.{}:9000", n / MACHINES_PER_NETWORK, n % MACHINES_PER_NETWORK + 1)
}

/// Returns the name of the machine at an address.
pub(super) fn machine_of_addr(addr: &SocketAddr) -> String {
    let ip = addr.ip().to_string();
    let parts: Vec<u32> = ip.split('.').map(|part| part.parse().unwrap()).collect();
    machine_name((parts[2] * MACHINES_PER_NETWORK + parts[3] - 1) as usize)
}
