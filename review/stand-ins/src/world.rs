//! The platform outside the controllers: machines with their workers and tasks, the cloud, and the
//! record of all that was sent, answered and run.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use quartzgate_wire::http::{Request, Response};
use quartzgate_wire::msg::{
    CloudStatus, ExitCause, Heartbeat, HeartbeatAnswer, HeartbeatTask, JobKind, JobSpec,
    ListedMachine, MachineList, MachineNames, MachineType, MachineTypes, Order, OrdersRequest,
    ProvisionRequest, Redirect, TaskStatus,
};
use quartzgate_wire::{from_cbor, to_cbor};

use crate::net::{serve, Client};

/// A worker waits this long for the answer to its report.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
const NEXT_NODE_PAUSE_MS: u64 = 1_000;
const MIN_REPORT_GAP_MS: u64 = 500;
const STEP: Duration = Duration::from_millis(20);
/// A machine that stopped is listed as running for about this long.
const DEAD_LISTED_MS: i64 = 30_000;

/// The figures of a deployment that the stand-ins need.
#[derive(Clone)]
pub struct Site {
    pub zones: [&'static str; 2],
    pub report_ms: u64,
    pub lease_ms: u64,
    pub gang_wait_ms: u64,
    pub gang_peer_ms: u64,
    pub list_lag_ms: i64,
    pub types: Vec<MachineType>,
    /// Time from a rental to the moment at which the machine is up.
    pub boot_ms: u64,
}

struct Held {
    status: TaskStatus,
    cause: Option<ExitCause>,
    cpus: f64,
    memory_gb: f64,
    image: String,
    /// When the image is there, when the task completes, and since when it is in its place.
    ready_ms: u64,
    ends_ms: u64,
    since_ms: u64,
    /// Since when a running gang task lacks another task of its gang.
    lacks_peer_ms: Option<u64>,
}

impl Held {
    fn live(&self) -> bool {
        self.status != TaskStatus::Exited
    }

    fn on_machine(&self) -> bool {
        self.live() && self.status != TaskStatus::Fetching
    }
}

pub struct Machine {
    addr: SocketAddr,
    kind: String,
    pub zone: String,
    hired_ms: i64,
    up_ms: u64,
    stopped_ms: Option<u64>,
    returned_ms: Option<u64>,
    tenure: u64,
    tally: u64,
    pub baton: u64,
    node: usize,
    lease_start_ms: u64,
    tasks: BTreeMap<(String, u64), Held>,
    images: BTreeSet<String>,
    changed: bool,
    /// The last `/orders` body that held a start, by task, as it arrived.
    pub started_by: BTreeMap<String, Vec<u8>>,
    /// Whether the next report follows a redirect at once.
    redirected: bool,
}

impl Machine {
    fn gone(&self) -> bool {
        self.stopped_ms.is_some() || self.returned_ms.is_some()
    }

    fn free(&self, capacity: (f64, f64)) -> (f64, f64) {
        let live = self.tasks.values().filter(|held| held.live());
        live.fold(capacity, |(cpus, gb), held| (cpus - held.cpus, gb - held.memory_gb))
    }
}

/// A start of a task: the moment from which it is on its machine.
#[derive(Clone, Debug)]
pub struct Start {
    pub at_ms: u64,
    pub task: String,
}

pub struct World {
    began: Instant,
    record: File,
    pub site: Site,
    pub jobs: BTreeMap<String, JobSpec>,
    /// Run time of a job's tasks in seconds.
    pub run_s: BTreeMap<String, f64>,
    done: BTreeSet<String>,
    pub machines: BTreeMap<String, Machine>,
    created: u32,
    hires: BTreeMap<String, Vec<String>>,
    pub starts: Vec<Start>,
    /// Rules that were broken, as seen by the workers.
    pub broken: Vec<String>,
    pub nodes: Vec<SocketAddr>,
    seed: u64,
}

pub type Shared = Arc<Mutex<World>>;

pub fn lock(world: &Shared) -> MutexGuard<'_, World> {
    world.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl World {
    pub fn new(site: Site, record: &Path, nodes: Vec<SocketAddr>) -> Shared {
        let record = File::create(record).expect("the record can be written");
        let world = Arc::new(Mutex::new(World {
            began: Instant::now(),
            record,
            site,
            jobs: BTreeMap::new(),
            run_s: BTreeMap::new(),
            done: BTreeSet::new(),
            machines: BTreeMap::new(),
            created: 0,
            hires: BTreeMap::new(),
            starts: Vec::new(),
            broken: Vec::new(),
            nodes,
            seed: 1,
        }));
        let stepper = world.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(STEP);
            lock(&stepper).step();
        });
        world
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Writes a line of the record, with the seconds since the start.
    pub fn note(&mut self, text: impl AsRef<str>) {
        let seconds = self.now_ms() as f64 / 1e3;
        let _ = writeln!(self.record, "{seconds:8.3} {}", text.as_ref());
    }

    pub fn break_rule(&mut self, text: String) {
        self.note(format!("RULE BROKEN: {text}"));
        self.broken.push(text);
    }

    fn capacity(&self, kind: &str) -> (f64, f64) {
        let found = self.site.types.iter().find(|t| t.name == kind);
        found.map_or((0.0, 0.0), |t| (t.cpus, t.memory_gb))
    }

    /// CPUs and memory that no task uses on a machine that is up; nothing for any other machine.
    pub fn free_on(&self, name: &str) -> (f64, f64) {
        match self.machines.get(name) {
            Some(machine) if !machine.gone() && self.now_ms() >= machine.up_ms => {
                machine.free(self.capacity(&machine.kind))
            }
            _ => (0.0, 0.0),
        }
    }

    /// Machines on which a task of this name is now.
    pub fn machines_with(&self, task: &str) -> Vec<String> {
        let has = |machine: &Machine| {
            machine.tasks.iter().any(|((held, _), state)| held == task && state.on_machine())
        };
        let with = self.machines.iter().filter(|(_, machine)| !machine.gone() && has(machine));
        with.map(|(name, _)| name.clone()).collect()
    }

    /// Names of the machines that run.
    pub fn running_machines(&self) -> Vec<String> {
        let now = self.now_ms();
        let up = self.machines.iter().filter(|(_, m)| !m.gone() && now >= m.up_ms);
        up.map(|(name, _)| name.clone()).collect()
    }

    /// Stops a machine with all that is on it. Connections to it hang from now on.
    pub fn stop_machine(&mut self, name: &str) {
        let now = self.now_ms();
        if let Some(machine) = self.machines.get_mut(name) {
            machine.stopped_ms = Some(now);
            machine.tasks.clear();
        }
        self.note(format!("DISRUPTION: {name} stops with all that is on it"));
    }

    /// Makes a running task complete after `ms`.
    pub fn finish_in(&mut self, task: &str, ms: u64) {
        let at_ms = self.now_ms() + ms;
        let held = self.machines.values_mut().flat_map(|machine| &mut machine.tasks);
        for (_, held) in held.filter(|((name, _), held)| name == task && held.live()) {
            held.ends_ms = at_ms;
        }
    }

    fn next_report(&mut self, name: &str) -> Option<Heartbeat> {
        let machine = self.machines.get_mut(name)?;
        machine.tally += 1;
        let tasks = machine.tasks.iter().map(|((task, attempt), held)| HeartbeatTask {
            task: task.clone(),
            attempt: *attempt,
            status: held.status,
            cause: held.cause,
            checkpointed: None,
        });
        Some(Heartbeat {
            machine: name.to_string(),
            addr: machine.addr.to_string(),
            machine_type: machine.kind.clone(),
            zone: machine.zone.clone(),
            spot: false,
            agent_epoch: machine.tenure,
            seq: machine.tally,
            fencing_token: machine.baton,
            interruption_notice_s: None,
            tasks: tasks.collect(),
        })
    }

    fn step(&mut self) {
        let now = self.now_ms();
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in &names {
            self.expire_lease(name, now);
        }
        for name in &names {
            self.step_tasks(name, now);
        }
    }

    fn expire_lease(&mut self, name: &str, now: u64) {
        let lease_ms = self.site.lease_ms;
        let Some(machine) = self.machines.get_mut(name) else { return };
        if machine.gone() || now < machine.up_ms || now <= machine.lease_start_ms + lease_ms {
            return;
        }
        machine.tenure += 1;
        machine.lease_start_ms = now;
        machine.changed = true;
        let lost = machine.tasks.len();
        machine.tasks.clear();
        self.note(format!("{name}: its lease is over, {lost} tasks are killed and forgotten"));
    }

    fn step_tasks(&mut self, name: &str, now: u64) {
        let Some(machine) = self.machines.get(name) else { return };
        if machine.gone() || now < machine.up_ms {
            return;
        }
        let keys: Vec<(String, u64)> = machine.tasks.keys().cloned().collect();
        for (task, attempt) in keys {
            self.step_task(name, &task, attempt, now);
        }
    }

    fn step_task(&mut self, name: &str, task: &str, attempt: u64, now: u64) {
        let job = job_of(task).to_string();
        let Some(spec) = self.jobs.get(&job).cloned() else { return };
        let (gang, run_ms) = (spec.kind == JobKind::Gang, self.run_ms(&spec));
        let complete = gang && self.gang_members(&spec, attempt) == spec.tasks;
        let is_done = self.done.contains(task);
        let (wait_ms, peer_ms) = (self.site.gang_wait_ms, self.site.gang_peer_ms);
        let Some(held) =
            self.machines.get_mut(name).and_then(|m| m.tasks.get_mut(&(task.into(), attempt)))
        else {
            return;
        };
        let mut exit = None;
        let mut began = false;
        match held.status {
            TaskStatus::Fetching if now >= held.ready_ms => {
                began = true;
                held.since_ms = now;
                if is_done {
                    exit = Some(ExitCause::Done);
                } else if gang {
                    held.status = TaskStatus::Waiting;
                } else {
                    held.status = TaskStatus::Running;
                    held.ends_ms = now.saturating_add(run_ms);
                }
            }
            TaskStatus::Waiting if complete => {
                held.status = TaskStatus::Running;
                held.ends_ms = now.saturating_add(run_ms);
            }
            TaskStatus::Waiting if now >= held.since_ms + wait_ms => exit = Some(ExitCause::Alone),
            TaskStatus::Running if now >= held.ends_ms => exit = Some(ExitCause::Done),
            // The others notice within `gang_peer_s`; here after half of it.
            TaskStatus::Running if gang && !complete => {
                let since_ms = *held.lacks_peer_ms.get_or_insert(now);
                if now < since_ms + peer_ms / 2 {
                    return;
                }
                exit = Some(ExitCause::Peers);
            }
            _ => return,
        }
        let image = held.image.clone();
        if began {
            self.on_start(name, task, attempt, &image);
        }
        if let Some(cause) = exit {
            self.exit_task(name, task, attempt, cause);
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.changed = true;
        }
    }

    fn run_ms(&self, spec: &JobSpec) -> u64 {
        match (spec.kind, self.run_s.get(&spec.id)) {
            (JobKind::Service, _) => u64::MAX / 4,
            (_, Some(seconds)) => (seconds * 1e3) as u64,
            _ => (spec.estimate_s * 1e3) as u64,
        }
    }

    fn gang_members(&self, spec: &JobSpec, attempt: u64) -> u32 {
        let members = self
            .machines
            .values()
            .filter(|machine| !machine.gone())
            .flat_map(|machine| &machine.tasks);
        let counts = members.filter(|((task, held), state)| {
            job_of(task) == spec.id
                && *held == attempt
                && (state.on_machine() || state.cause == Some(ExitCause::Done))
        });
        counts.count() as u32
    }

    fn exit_task(&mut self, name: &str, task: &str, attempt: u64, cause: ExitCause) {
        if cause == ExitCause::Done {
            self.done.insert(task.to_string());
        }
        if let Some(held) =
            self.machines.get_mut(name).and_then(|m| m.tasks.get_mut(&(task.into(), attempt)))
        {
            held.status = TaskStatus::Exited;
            held.cause = Some(cause);
        }
        self.note(format!("{name}: {task} attempt {attempt} exits: {cause:?}"));
    }

    /// A task has its image: from now on it is on its machine.
    fn on_start(&mut self, name: &str, task: &str, attempt: u64, image: &str) {
        let now = self.now_ms();
        let others: Vec<String> =
            self.machines_with(task).into_iter().filter(|other| other != name).collect();
        if let Some(machine) = self.machines.get_mut(name) {
            machine.images.insert(image.to_string());
        }
        self.note(format!("{name}: {task} attempt {attempt} starts"));
        self.starts.push(Start { at_ms: now, task: task.into() });
        if !others.is_empty() {
            self.break_rule(format!(
                "ran_twice: {task} starts on {name} while it is on {others:?}"
            ));
        }
    }

    fn execute(&mut self, name: &str, orders: Vec<Order>) {
        for order in orders {
            match order {
                Order::Start { task, attempt } => self.execute_run(name, task, attempt),
                Order::Stop { task, attempt, grace_s } => {
                    let Some(machine) = self.machines.get_mut(name) else { continue };
                    machine.changed = true;
                    let held = machine.tasks.get(&(task.clone(), attempt));
                    // No job of the cases saves: every task that is told to stop exits at once.
                    if held.is_some_and(Held::live) {
                        self.note(format!(
                            "{name}: kill {task} attempt {attempt} wind_down_s {grace_s}"
                        ));
                        self.exit_task(name, &task, attempt, ExitCause::Stopped);
                    }
                }
                Order::Forget { task, attempt } => {
                    let Some(machine) = self.machines.get_mut(name) else { continue };
                    let key = (task.clone(), attempt);
                    if machine.tasks.get(&key).is_some_and(|held| !held.live()) {
                        machine.tasks.remove(&key);
                        machine.changed = true;
                        self.note(format!("{name}: clear {task} attempt {attempt}"));
                    }
                }
            }
        }
    }

    fn execute_run(&mut self, name: &str, task: String, attempt: u64) {
        let now = self.now_ms();
        let spec = self.jobs.get(job_of(&task)).cloned();
        let index: Option<u32> = task.rsplit_once('/').and_then(|(_, n)| n.parse().ok());
        let Some(machine) = self.machines.get(name) else { return };
        if machine.tasks.contains_key(&(task.clone(), attempt)) {
            return self.note(format!("{name}: run {task} attempt {attempt}: held already"));
        }
        let (free_cpus, free_gb) = machine.free(self.capacity(&machine.kind));
        let other_attempt =
            machine.tasks.iter().any(|((held, _), state)| *held == task && state.live());
        let refused = match &spec {
            None => Some(ExitCause::Unknown),
            Some(spec) if index.is_none_or(|index| index >= spec.tasks) => Some(ExitCause::Unknown),
            Some(_) if other_attempt => Some(ExitCause::Busy),
            Some(spec) if free_cpus + 1e-6 < spec.cpus || free_gb + 1e-6 < spec.memory_gb => {
                Some(ExitCause::InsufficientResources)
            }
            Some(_) => None,
        };
        let (cpus, memory_gb, image, fetch_ms) =
            spec.map_or((0.0, 0.0, String::new(), 0), |spec| {
                let rate = self
                    .site
                    .types
                    .iter()
                    .find(|t| t.name == machine.kind)
                    .map_or(1.0, |t| t.fetch_gb_per_s);
                let cached = machine.images.contains(&spec.image);
                let fetch_ms = if cached { 0 } else { (spec.image_gb / rate * 1e3) as u64 };
                (spec.cpus, spec.memory_gb, spec.image.clone(), fetch_ms)
            });
        let status = if refused.is_some() { TaskStatus::Exited } else { TaskStatus::Fetching };
        let held = Held {
            status,
            cause: refused,
            cpus,
            memory_gb,
            image,
            ready_ms: now + fetch_ms,
            ends_ms: u64::MAX,
            since_ms: now,
            lacks_peer_ms: None,
        };
        self.note(format!(
            "{name}: run {task} attempt {attempt}: {}",
            refused.map_or("taken".into(), |cause| format!("refused, {cause:?}"))
        ));
        if let Some(machine) = self.machines.get_mut(name) {
            machine.tasks.insert((task, attempt), held);
            machine.changed = true;
        }
        self.step_tasks(name, now);
    }

    /// Executes an `/orders` request as a worker does: the token may not be lower than the highest
    /// one seen, and the session must match.
    pub fn on_orders(&mut self, name: &str, body: &[u8], how: &str) -> Response {
        let Ok(request) = from_cbor::<OrdersRequest>(body) else {
            return Response::new(400, Vec::new());
        };
        let now = self.now_ms();
        self.expire_lease(name, now);
        let Some(machine) = self.machines.get_mut(name) else {
            return Response::new(404, Vec::new());
        };
        let matches =
            request.fencing_token >= machine.baton && request.agent_epoch == machine.tenure;
        let (seen, tenure) = (machine.baton, machine.tenure);
        if matches {
            if request.fencing_token > machine.baton {
                machine.changed = true;
            }
            machine.baton = request.fencing_token;
            for order in &request.orders {
                if let Order::Start { task, .. } = order {
                    machine.started_by.insert(task.clone(), body.to_vec());
                }
            }
        }
        let status = if matches { 200 } else { 409 };
        self.note(format!(
            "{name}: POST /orders{how} baton {} tenure {} (seen {seen}, session {tenure}) -> {status} {:?}",
            request.fencing_token, request.agent_epoch, request.orders
        ));
        if matches {
            self.execute(name, request.orders);
        }
        let report = self.next_report(name);
        Response::new(status, report.map(|report| to_cbor(&report)).unwrap_or_default())
    }
}

pub fn job_of(task: &str) -> &str {
    task.rsplit_once('/').map_or("", |(job, _)| job)
}

/// Adds a machine that is up at `up_ms` and starts its worker. Returns its name.
pub fn add_machine(world: &Shared, kind: &str, zone: &str, hired_ms: i64, up_ms: u64) -> String {
    let node = {
        let world = lock(world);
        (world.created as usize + 1) % world.nodes.len()
    };
    add_machine_at(world, node, kind, zone, hired_ms, up_ms)
}

/// Adds a machine whose worker makes its first report to the controller `node`.
pub fn add_machine_at(
    world: &Shared,
    node: usize,
    kind: &str,
    zone: &str,
    hired_ms: i64,
    up_ms: u64,
) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let addr = listener.local_addr().expect("a bound address");
    let name = {
        let mut world = lock(world);
        world.created += 1;
        let name = format!("vm-{:06}", world.created);
        let machine = Machine {
            addr,
            kind: kind.into(),
            zone: zone.into(),
            hired_ms,
            up_ms,
            stopped_ms: None,
            returned_ms: None,
            tenure: 1,
            tally: 0,
            baton: 0,
            node,
            lease_start_ms: up_ms,
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            changed: false,
            started_by: BTreeMap::new(),
            redirected: false,
        };
        world.machines.insert(name.clone(), machine);
        world.note(format!("{name}: {kind} in {zone}, up at {:.1} s", up_ms as f64 / 1e3));
        name
    };
    let (handler_world, handler_name) = (world.clone(), name.clone());
    serve(listener, move |request| on_worker_request(&handler_world, &handler_name, request));
    let (report_world, report_name) = (world.clone(), name.clone());
    std::thread::spawn(move || report(report_world, report_name));
    name
}

fn on_worker_request(world: &Shared, name: &str, request: Request) -> Option<Response> {
    let mut world = lock(world);
    let now = world.now_ms();
    let machine = world.machines.get(name)?;
    if machine.gone() || now < machine.up_ms {
        return None;
    }
    match (request.method.as_str(), request.target.as_str()) {
        ("POST", "/orders") => Some(world.on_orders(name, &request.body, "")),
        ("GET", "/inspect") => {
            let report = world.next_report(name)?;
            Some(Response::new(200, to_cbor(&report)))
        }
        _ => Some(Response::new(404, Vec::new())),
    }
}

/// The reports of one worker, one in flight at a time.
fn report(world: Shared, name: String) {
    let (mut client, mut next_ms, mut last_ms) = (Client::default(), 0, 0);
    loop {
        std::thread::sleep(STEP);
        let (addr, body, sent_ms, tenure) = {
            let mut world = lock(&world);
            let now = world.now_ms();
            let Some(machine) = world.machines.get_mut(&name) else { return };
            if machine.gone() {
                return;
            }
            let due = now >= next_ms || machine.changed && now >= last_ms + MIN_REPORT_GAP_MS;
            if now < machine.up_ms || !due {
                continue;
            }
            machine.changed = false;
            let (node, tenure) = (machine.node, machine.tenure);
            let Some(report) = world.next_report(&name) else { return };
            (world.nodes[node], to_cbor(&report), now, tenure)
        };
        last_ms = sent_ms;
        let answer = client.call(addr, "POST", "/checkin", &body, ANSWER_TIMEOUT);
        let mut world = lock(&world);
        let now = world.now_ms();
        let jitter = world.jitter();
        next_ms = sent_ms + (world.site.report_ms as f64 * (0.75 + 0.5 * jitter)) as u64;
        if !world.on_report_answer(&name, answer, sent_ms, tenure) {
            client.close();
            let redirected = world.follow(&name);
            next_ms = if redirected { now } else { now + NEXT_NODE_PAUSE_MS };
            last_ms = next_ms;
        }
    }
}

impl World {
    fn jitter(&mut self) -> f64 {
        self.seed = self.seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.seed >> 40) as f64 / (1u64 << 24) as f64
    }

    /// Applies the answer to a report; returns whether the worker stays with this controller.
    fn on_report_answer(
        &mut self,
        name: &str,
        answer: Option<Response>,
        sent_ms: u64,
        tenure: u64,
    ) -> bool {
        let Some(answer) = answer else {
            self.redirect(name, None);
            return false;
        };
        match answer.status {
            200 => {
                let Ok(body) = from_cbor::<HeartbeatAnswer>(&answer.body) else { return true };
                let Some(machine) = self.machines.get_mut(name) else { return false };
                if machine.gone() || body.fencing_token < machine.baton || machine.tenure != tenure
                {
                    return true;
                }
                if body.fencing_token > machine.baton {
                    machine.changed = true;
                    machine.baton = body.fencing_token;
                }
                machine.lease_start_ms = machine.lease_start_ms.max(sent_ms);
                if !body.orders.is_empty() {
                    self.note(format!(
                        "{name}: report answered, baton {} {:?}",
                        body.fencing_token, body.orders
                    ));
                    self.execute(name, body.orders);
                }
                true
            }
            421 => {
                let named =
                    from_cbor::<Redirect>(&answer.body).ok().and_then(|body| body.controller);
                self.redirect(name, named);
                false
            }
            _ => {
                self.redirect(name, None);
                false
            }
        }
    }

    /// Chooses the next controller: the one that was named, at once, if it is another known one;
    /// else the next in order, after a pause.
    fn redirect(&mut self, name: &str, named: Option<String>) {
        let nodes = self.nodes.len();
        let named = named.and_then(|node| node.strip_prefix("host-")?.parse::<usize>().ok());
        let Some(machine) = self.machines.get_mut(name) else { return };
        match named.filter(|node| *node < nodes && *node != machine.node) {
            Some(node) => {
                machine.node = node;
                machine.redirected = true;
            }
            None => machine.node = (machine.node + 1) % nodes,
        }
    }

    fn follow(&mut self, name: &str) -> bool {
        self.machines.get_mut(name).is_some_and(|machine| std::mem::take(&mut machine.redirected))
    }
}

/// Handles a request to the cloud.
pub fn on_cloud_request(world: &Shared, request: &Request) -> Option<Response> {
    let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
    Some(match (request.method.as_str(), path) {
        ("GET", "/machine_types") => {
            let types = lock(world).site.types.clone();
            Response::new(200, to_cbor(&MachineTypes { types }))
        }
        ("GET", "/machines") => Response::new(200, to_cbor(&list(&lock(world), query))),
        ("POST", "/machines") => hire(world, &request.body),
        ("POST", "/machines/return") => {
            let Ok(names) = from_cbor::<MachineNames>(&request.body) else {
                return Some(Response::new(400, Vec::new()));
            };
            let mut world = lock(world);
            let now = world.now_ms();
            world.note(format!("cloud: POST /machines/return {:?} -> 200", names.machines));
            for name in &names.machines {
                if let Some(machine) = world.machines.get_mut(name) {
                    machine.returned_ms.get_or_insert(now);
                    machine.tasks.clear();
                }
            }
            Response::new(200, Vec::new())
        }
        _ => Response::new(400, Vec::new()),
    })
}

fn list(world: &World, query: &str) -> MachineList {
    let since = query.split('&').find_map(|part| part.strip_prefix("since=")).unwrap_or("");
    // The list describes the moment one lag ago.
    let at = world.now_ms() as i64 - world.site.list_lag_ms;
    let listed = world.machines.iter().filter(|(name, machine)| {
        name.as_str() > since
            && machine.hired_ms <= at
            && machine.returned_ms.is_none_or(|returned| returned as i64 > at)
    });
    let machines = listed.map(|(name, machine)| {
        let up = machine.up_ms as i64 <= at || machine.hired_ms < 0;
        let failed =
            machine.stopped_ms.is_some_and(|stopped| stopped as i64 + DEAD_LISTED_MS <= at);
        ListedMachine {
            name: name.clone(),
            addr: if up { machine.addr.to_string() } else { String::new() },
            machine_type: machine.kind.clone(),
            zone: machine.zone.clone(),
            spot: false,
            status: match (failed, up) {
                (true, _) => CloudStatus::Failed,
                (_, true) => CloudStatus::Running,
                _ => CloudStatus::Booting,
            },
            age_s: (at - machine.hired_ms) as f64 / 1e3,
        }
    });
    MachineList { machines: machines.take(500).collect(), more: false }
}

fn hire(world: &Shared, body: &[u8]) -> Response {
    let Ok(request) = from_cbor::<ProvisionRequest>(body) else {
        return Response::new(400, Vec::new());
    };
    let (known, now, boot_ms, offered) = {
        let world = lock(world);
        let offered = world
            .site
            .types
            .iter()
            .any(|t| t.name == request.machine_type && t.zones.contains(&request.zone));
        (
            world.hires.get(&request.provision_id).cloned(),
            world.now_ms(),
            world.site.boot_ms,
            offered,
        )
    };
    if let Some(machines) = known {
        return Response::new(200, to_cbor(&MachineNames { machines }));
    }
    // The cases need no spot machines: none are available.
    if request.spot || !offered {
        let mut world = lock(world);
        world.note(format!(
            "cloud: POST /machines {} {} {} spot {} -> 503",
            request.provision_id, request.machine_type, request.zone, request.spot
        ));
        return Response::new(503, to_cbor(&serde_json::json!({ "error": "no capacity" })));
    }
    let machines: Vec<String> = (0..request.count.min(4))
        .map(|_| {
            add_machine(world, &request.machine_type, &request.zone, now as i64, now + boot_ms)
        })
        .collect();
    let mut world = lock(world);
    world.note(format!(
        "cloud: POST /machines {} {} {} x{} -> 200 {machines:?}",
        request.provision_id, request.machine_type, request.zone, request.count
    ));
    world.hires.insert(request.provision_id, machines.clone());
    Response::new(200, to_cbor(&MachineNames { machines }))
}
