//! The stand-ins of one run: state service, cloud, workers and controllers, and the record of the
//! run. All addresses are loopback addresses, all time is the real clock.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use quartzgate_stand_ins::{Reply, StateService};
use quartzgate_wire::http::{Request, Response};
use quartzgate_wire::msg::*;
use quartzgate_wire::{from_cbor, to_cbor};
use serde_json::{json, Value};

use crate::net::{serve, Client, PAGE_BODY_LIMIT};
use crate::site::Site;

/// Longest duration of a run; the processes are ended and the run counts as not made after it.
const MAX_RUN: Duration = Duration::from_secs(118);
const LARGE_BODY: usize = 16 * 1024 * 1024;

/// A job that a user has sent.
pub struct SentJob {
    pub spec: JobSpec,
    /// Real run time of a task.
    pub run_s: f64,
    /// Tasks that have completed, whose results are kept.
    pub completed: BTreeSet<u32>,
    /// Starts of tasks on machines: seconds since the start of the run, task, machine.
    pub starts: Vec<(f64, u32, String)>,
}

/// An attempt that a worker knows.
struct Held {
    attempt: u64,
    status: TaskStatus,
    cause: Option<ExitCause>,
    /// When the present phase (fetch or run) ends.
    until: Option<Instant>,
    cpus: f64,
    memory_gb: f64,
}

/// A machine and its worker.
pub struct Machine {
    pub name: String,
    pub addr: SocketAddr,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    rented: Instant,
    up: Instant,
    /// When the machine was taken away.
    gone: Option<Instant>,
    tenure: u64,
    tally: u64,
    baton: u64,
    lease_from: Instant,
    tasks: BTreeMap<String, Held>,
    images: BTreeSet<String>,
    changed: bool,
    /// Number of reports that a controller refused as too large.
    pub refused_413: u32,
    /// Number of leases that have expired while tasks were on the machine.
    pub lost_leases: u32,
    pub tasks_lost: u32,
}

pub struct Inner {
    pub store: StateService,
    state_tokens: (f64, f64, Instant),
    pub machines: BTreeMap<String, Machine>,
    /// Machines that may still be rented, by type, zone and kind.
    pub capacity: HashMap<(String, String, bool), u32>,
    rentals: HashMap<String, Vec<String>>,
    machines_made: u32,
    pub jobs: HashMap<String, SentJob>,
    record: File,
    children: Vec<Option<Child>>,
    pub controllers: Vec<SocketAddr>,
    /// Jobs that ended in the past, if the state service keeps any.
    pub history: Option<History>,
}

/// Records of jobs that ended long ago, which the state service keeps: `count` keys from
/// `jobs/wk-1000000000` on, all with the value that the service itself wrote for a job that ended.
pub struct History {
    pub count: u64,
    pub value: ciborium::value::Value,
}

const FIRST_PAST_JOB: u64 = 1_000_000_000;

impl History {
    fn key(number: u64) -> String {
        format!("jobs/wk-{}", FIRST_PAST_JOB + number)
    }

    fn record(&self, key: &str) -> Option<KeyValue> {
        let number =
            key.strip_prefix("jobs/wk-")?.parse::<u64>().ok()?.checked_sub(FIRST_PAST_JOB)?;
        let (key, value) = (key.to_string(), self.value.clone());
        (number < self.count).then_some(KeyValue { key, value, revision: 1, lease_id: None })
    }

    /// Completes a page of the records with the prefix `jobs/`. All other jobs of a run have names
    /// that sort before those of the history.
    fn complete(&self, list: &mut KeyValueList, since: &str, most: usize) {
        let since = since.strip_prefix("jobs/wk-").and_then(|n| n.parse::<u64>().ok());
        let mut next = since.map_or(0, |n| (n + 1).saturating_sub(FIRST_PAST_JOB));
        while list.pairs.len() < most && next < self.count {
            list.pairs.extend(self.record(&History::key(next)));
            next += 1;
        }
        list.more |= next < self.count;
    }
}

pub struct World {
    pub site: Site,
    pub start: Instant,
    pub root: PathBuf,
    pub folder: PathBuf,
    run_command: Vec<String>,
    inner: Mutex<Inner>,
}

pub type Shared = Arc<World>;

/// Ends the run because it could not be made.
pub fn could_not_run(world: &World, why: &str) -> ! {
    world.note(&format!("could not run: {why}"));
    world.finish(2)
}

fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    listener.local_addr().expect("a bound listener has an address")
}

/// Returns the value of a key of the deploy file.
fn deploy_value(root: &Path, key: &str) -> Option<String> {
    let text = std::fs::read_to_string(root.join("deploy/service.toml")).ok()?;
    let line = text.lines().find_map(|l| l.strip_prefix(key)?.trim().strip_prefix('='))?.trim();
    Some(line.trim_matches('"').to_string())
}

impl World {
    /// Creates the stand-ins; no controller runs yet.
    pub fn new(site: Site, root: PathBuf, case_folder: &Path) -> Shared {
        let now = Instant::now();
        let folder = std::env::temp_dir().join(format!("quartzgate-case-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let record = File::create(case_folder.join("record.txt")).expect("record.txt");
        let run = deploy_value(&root, "run").unwrap_or_default();
        let world = Arc::new(World {
            start: now,
            root,
            folder,
            run_command: run.split_whitespace().map(String::from).collect(),
            inner: Mutex::new(Inner {
                store: StateService::default(),
                state_tokens: (site.state_rps, site.state_write_rps, now),
                machines: BTreeMap::new(),
                capacity: HashMap::new(),
                rentals: HashMap::new(),
                machines_made: 0,
                jobs: HashMap::new(),
                record,
                children: Vec::new(),
                controllers: Vec::new(),
                history: None,
            }),
            site,
        });
        let watched = world.clone();
        std::thread::spawn(move || {
            std::thread::sleep(MAX_RUN);
            could_not_run(&watched, "the run took too long");
        });
        let expiring = world.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(20));
            let now_ms = expiring.now_ms();
            expiring.lock().store.expire_leases(now_ms);
        });
        world
    }

    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn now_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line to record.txt.
    pub fn note(&self, text: &str) {
        self.note_in(&mut self.lock(), text);
    }

    pub fn note_in(&self, inner: &mut Inner, text: &str) {
        let _ = writeln!(inner.record, "{:8.3} {text}", self.now_s());
    }

    /// Ends all processes, removes the temporary folder and leaves.
    pub fn finish(&self, code: i32) -> ! {
        let mut inner = self.lock();
        for child in inner.children.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let verdict = ["the rule held", "the rule was broken", "the case could not run"];
        self.note_in(&mut inner, &format!("exit {code}: {}", verdict[code as usize]));
        let _ = inner.record.flush();
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
        println!("exit {code}: {}", verdict[code as usize]);
        std::process::exit(code)
    }

    /// Waits until `done` holds; returns whether it does by the end of `limit`.
    pub fn wait_for(&self, limit: Duration, mut done: impl FnMut() -> bool) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if done() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        done()
    }
}

// State service.

impl World {
    fn on_state_request(&self, request: Request) -> Option<Response> {
        std::thread::sleep(Duration::from_millis(self.site.state_latency_ms));
        let transaction = (request.target == "/multi")
            .then(|| from_cbor::<Transaction>(&request.body).ok())
            .flatten();
        if let Some(status) = self.state_limit(transaction.as_ref()) {
            return Some(Response::new(status, Vec::new()));
        }
        let now_ms = self.now_ms();
        let (reply, past) = {
            let mut inner = self.lock();
            let reply = inner.store.handle(now_ms, &request.method, &request.target, &request.body);
            let past =
                inner.history.as_ref().and_then(|h| past_records(h, &request.target, &reply));
            (reply, past)
        };
        match reply {
            Reply::Answer(_) if past.is_some() => past,
            Reply::Answer(response) if request.target.starts_with("/keys?") => {
                Some(within_page_limit(response))
            }
            Reply::Answer(response) => Some(response),
            Reply::Watch { prefix, since, block_ms } => {
                let end = Instant::now() + Duration::from_millis(block_ms);
                loop {
                    {
                        let inner = self.lock();
                        if let Some(changes) = inner.store.changes(&prefix, since) {
                            return Some(changes);
                        }
                        if Instant::now() >= end {
                            return Some(inner.store.no_changes());
                        }
                    }
                    std::thread::sleep(Duration::from_millis(10));
                }
            }
        }
    }

    /// Returns the status with which the limits of the pages refuse a request, if they do.
    fn state_limit(&self, transaction: Option<&Transaction>) -> Option<u16> {
        let site = &self.site;
        let mut inner = self.lock();
        let (reads, writes, at) = inner.state_tokens;
        let elapsed = at.elapsed().as_secs_f64();
        let mut reads = (reads + elapsed * site.state_rps).min(site.state_rps);
        let mut writes = (writes + elapsed * site.state_write_rps).min(site.state_write_rps);
        let changes = transaction.map_or(0, |t| t.apply.len()) as f64;
        let mut status = None;
        if let Some(transaction) = transaction {
            let value_bytes = |change: &Change| match change {
                Change::Set { value, .. } => serde_json::to_vec(value).map_or(0, |json| json.len()),
                Change::Delete { .. } => 0,
            };
            if transaction.apply.len() > site.txn_ops
                || transaction.guards.len() > 4 * site.txn_ops
                || transaction.apply.iter().any(|c| value_bytes(c) as f64 > site.value_kb * 1024.0)
            {
                status = Some(400);
            }
        }
        if reads < 1.0 || writes < changes {
            status = Some(429);
        } else {
            reads -= 1.0;
            writes -= changes;
        }
        inner.state_tokens = (reads, writes, Instant::now());
        if let Some(status) = status {
            self.note_in(&mut inner, &format!("state service refuses a request: {status}"));
        }
        status
    }
}

/// Shortens a list to the 512 KiB that a response may hold.
fn within_page_limit(response: Response) -> Response {
    let Ok(mut list) = from_cbor::<KeyValueList>(&response.body) else { return response };
    let mut bytes = 0;
    let fits = |pair: &KeyValue| {
        bytes += serde_json::to_vec(pair).map_or(0, |json| json.len() + 1);
        bytes <= 512 * 1024
    };
    let count = list.pairs.iter().map(fits).take_while(|fits| *fits).count().max(1);
    if count >= list.pairs.len() {
        return response;
    }
    list.pairs.truncate(count);
    list.more = true;
    Response::new(200, to_cbor(&list))
}

/// Returns the answer to a read of records of the history, if the request is one.
fn past_records(history: &History, target: &str, reply: &Reply) -> Option<Response> {
    let Reply::Answer(answer) = reply else { return None };
    if let Some(key) = target.strip_prefix("/keys/") {
        let record = history.record(key).filter(|_| answer.status == 404)?;
        return Some(Response::new(200, to_cbor(&record)));
    }
    let query = target.strip_prefix("/keys?").filter(|q| q.contains("starts=jobs/"))?;
    let value = |name: &str| query.split('&').find_map(|p| p.strip_prefix(name));
    let most = value("most=").and_then(|m| m.parse().ok()).unwrap_or(1000).min(1000);
    let mut list = from_cbor::<KeyValueList>(&answer.body).ok()?;
    if !list.more {
        history.complete(&mut list, value("since=").unwrap_or(""), most);
    }
    Some(Response::new(200, to_cbor(&list)))
}

// Cloud.

impl World {
    fn on_cloud_request(self: &Arc<Self>, request: Request) -> Option<Response> {
        std::thread::sleep(Duration::from_millis(20));
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        Some(match (request.method.as_str(), path) {
            ("GET", "/machine_types") => {
                Response::new(200, to_cbor(&MachineTypes { types: self.site.types.clone() }))
            }
            ("GET", "/machines") => Response::new(200, to_cbor(&self.list(query))),
            ("POST", "/machines") => self.rent(&request.body),
            ("POST", "/machines/return") => self.take_back(&request.body),
            _ => Response::new(404, Vec::new()),
        })
    }

    /// The list as it was `list_lag_s` ago.
    fn list(&self, query: &str) -> MachineList {
        let since = query.split('&').find_map(|p| p.strip_prefix("since=")).unwrap_or("");
        let lag = Duration::from_secs_f64(self.site.list_lag_s);
        let inner = self.lock();
        let now = Instant::now();
        let shown = |m: &&Machine| {
            m.name.as_str() > since
                && now >= m.rented + lag
                && m.gone.is_none_or(|gone| now < gone + lag)
        };
        let machines = inner.machines.values().filter(shown).map(|m| ListedMachine {
            name: m.name.clone(),
            addr: m.addr.to_string(),
            machine_type: m.kind.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            status: if now >= m.up + lag { CloudStatus::Running } else { CloudStatus::Booting },
            age_s: m.rented.elapsed().as_secs_f64(),
        });
        MachineList { machines: machines.collect(), more: false }
    }

    fn rent(self: &Arc<Self>, body: &[u8]) -> Response {
        let Ok(request) = from_cbor::<ProvisionRequest>(body) else {
            return Response::new(400, Vec::new());
        };
        let key = (request.machine_type.clone(), request.zone.clone(), request.spot);
        let mut inner = self.lock();
        if let Some(machines) = inner.rentals.get(&request.provision_id) {
            return Response::new(200, to_cbor(&MachineNames { machines: machines.clone() }));
        }
        let free = inner.capacity.get(&key).copied().unwrap_or(0);
        let count = free.min(request.count).min(50);
        let text = format!("cloud: asked for {} {key:?}, rents {count}", request.count);
        self.note_in(&mut inner, &text);
        if count == 0 {
            let error = ErrorAnswer { error: "no capacity".into() };
            return Response::new(503, to_cbor(&error));
        }
        inner.capacity.insert(key, free - count);
        drop(inner);
        let boot = self.site.boot_s(&request.machine_type);
        let machines: Vec<String> = (0..count)
            .map(|_| self.add_machine(&request.machine_type, &request.zone, request.spot, boot))
            .collect();
        self.lock().rentals.insert(request.provision_id, machines.clone());
        Response::new(200, to_cbor(&MachineNames { machines }))
    }

    fn take_back(&self, body: &[u8]) -> Response {
        let Ok(names) = from_cbor::<MachineNames>(body) else {
            return Response::new(400, Vec::new());
        };
        for name in names.machines {
            let mut inner = self.lock();
            let returned = inner.machines.get(&name).filter(|m| m.gone.is_none());
            let Some(key) = returned.map(|m| (m.kind.clone(), m.zone.clone(), m.spot)) else {
                continue;
            };
            *inner.capacity.entry(key).or_default() += 1;
            self.note_in(&mut inner, &format!("cloud: {name} is returned"));
            drop(inner);
            self.remove_machine(&name);
        }
        Response::new(200, Vec::new())
    }
}

// Workers.

impl World {
    /// Adds a machine whose worker reports once it has booted.
    pub fn add_machine(
        self: &Arc<Self>,
        kind: &str,
        zone: &str,
        spot: bool,
        boot_s: f64,
    ) -> String {
        let name = {
            let mut inner = self.lock();
            inner.machines_made += 1;
            format!("vm-{:06}", inner.machines_made)
        };
        let (world, machine) = (self.clone(), name.clone());
        let handler = move |request: Request| world.on_worker_request(&machine, request);
        let addr = serve(Arc::new(handler), PAGE_BODY_LIMIT);
        let now = Instant::now();
        let up = now + Duration::from_secs_f64(boot_s);
        let machine = Machine {
            name: name.clone(),
            addr,
            kind: kind.to_string(),
            zone: zone.to_string(),
            spot,
            rented: now,
            up,
            gone: None,
            tenure: 1,
            tally: 0,
            baton: 0,
            lease_from: up,
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            changed: false,
            refused_413: 0,
            lost_leases: 0,
            tasks_lost: 0,
        };
        let mut inner = self.lock();
        let text = format!("machine {name}: {kind} in {zone}, loaners {spot}, at {addr}");
        self.note_in(&mut inner, &text);
        inner.machines.insert(name.clone(), machine);
        drop(inner);
        let (world, reporter) = (self.clone(), name.clone());
        std::thread::spawn(move || world.report(&reporter));
        name
    }

    /// Takes a machine away with everything on it.
    pub fn remove_machine(&self, name: &str) {
        let mut inner = self.lock();
        let Some(machine) = inner.machines.get_mut(name) else { return };
        machine.gone = Some(Instant::now());
        let lost = machine.tasks.values().filter(|t| t.status != TaskStatus::Exited).count();
        machine.tasks.clear();
        self.note_in(&mut inner, &format!("machine {name} is gone, with {lost} tasks"));
    }

    fn on_worker_request(&self, name: &str, request: Request) -> Option<Response> {
        let mut inner = self.lock();
        let machine = inner.machines.get_mut(name)?;
        if machine.gone.is_some() || Instant::now() < machine.up {
            return None;
        }
        self.advance(&mut inner, name);
        let machine = inner.machines.get_mut(name)?;
        match request.target.as_str() {
            "/inspect" => Some(Response::new(200, to_cbor(&machine.next_report()))),
            "/orders" => {
                let Ok(orders) = from_cbor::<OrdersRequest>(&request.body) else {
                    return Some(Response::new(400, Vec::new()));
                };
                let accepted =
                    orders.fencing_token >= machine.baton && orders.agent_epoch == machine.tenure;
                if accepted {
                    machine.see_baton(orders.fencing_token);
                    self.execute(&mut inner, name, orders.orders);
                }
                let machine = inner.machines.get_mut(name)?;
                let status = if accepted { 200 } else { 409 };
                Some(Response::new(status, to_cbor(&machine.next_report())))
            }
            _ => Some(Response::new(404, Vec::new())),
        }
    }

    /// Advances fetches, runs and the lease of a machine to the present.
    fn advance(&self, inner: &mut Inner, name: &str) {
        let now = Instant::now();
        let Some(machine) = inner.machines.get_mut(name) else { return };
        if now < machine.up || machine.gone.is_some() {
            return;
        }
        if now > machine.lease_from + Duration::from_secs_f64(self.site.lease_s) {
            let lost = machine.tasks.values().filter(|t| t.status != TaskStatus::Exited).count();
            machine.tenure += 1;
            machine.lease_from = now;
            machine.changed = true;
            machine.tasks.clear();
            machine.lost_leases += u32::from(lost > 0);
            machine.tasks_lost += lost as u32;
            let text = format!("worker {name}: its lease expires, {lost} tasks are killed");
            self.note_in(inner, &text);
            return;
        }
        let mut started: Vec<(String, bool)> = Vec::new();
        for (task, held) in machine.tasks.iter_mut() {
            if !held.until.is_some_and(|until| now >= until) {
                continue;
            }
            machine.changed = true;
            started.push((task.clone(), held.status == TaskStatus::Fetching));
        }
        for (task, fetched) in started {
            let Some((job, number)) = split_task(&task) else { continue };
            let Some(sent) = inner.jobs.get_mut(&job) else { continue };
            let run_s = sent.run_s;
            let is_done = sent.completed.contains(&number);
            let is_service = sent.spec.kind == JobKind::Service;
            let Some(machine) = inner.machines.get_mut(name) else { return };
            let Some(held) = machine.tasks.get_mut(&task) else { continue };
            if fetched && !is_done {
                held.status = TaskStatus::Running;
                held.until = (!is_service).then(|| now + Duration::from_secs_f64(run_s));
                machine.images.insert(sent.spec.image.clone());
                sent.starts.push((self.start.elapsed().as_secs_f64(), number, name.to_string()));
            } else {
                held.status = TaskStatus::Exited;
                held.cause = Some(ExitCause::Done);
                held.until = None;
                sent.completed.insert(number);
            }
        }
    }

    fn execute(&self, inner: &mut Inner, name: &str, orders: Vec<Order>) {
        let site = &self.site;
        for order in orders {
            match order {
                Order::Start { task, attempt } => {
                    let known = split_task(&task).and_then(|(job, number)| {
                        inner.jobs.get(&job).filter(|sent| number < sent.spec.tasks)
                    });
                    let spec = known.map(|sent| sent.spec.clone());
                    let Some(machine) = inner.machines.get_mut(name) else { return };
                    let refused = match (machine.tasks.get(&task), &spec) {
                        (Some(held), _) if held.attempt == attempt => continue,
                        (Some(held), _) if held.status != TaskStatus::Exited => continue,
                        (_, None) => Some(ExitCause::Unknown),
                        (_, Some(spec)) if !machine.fits(site, spec) => {
                            Some(ExitCause::InsufficientResources)
                        }
                        _ => None,
                    };
                    let (cpus, memory_gb) =
                        spec.as_ref().map_or((0.0, 0.0), |s| (s.cpus, s.memory_gb));
                    let fetch_s = match &spec {
                        Some(spec) if !machine.images.contains(&spec.image) => {
                            spec.image_gb / site.fetch_gb_per_s(&machine.kind)
                        }
                        _ => 0.0,
                    };
                    machine.changed = true;
                    let until = Instant::now() + Duration::from_secs_f64(fetch_s);
                    let held = match refused {
                        Some(cause) => Held {
                            attempt,
                            status: TaskStatus::Exited,
                            cause: Some(cause),
                            until: None,
                            cpus,
                            memory_gb,
                        },
                        None => Held {
                            attempt,
                            status: TaskStatus::Fetching,
                            cause: None,
                            until: Some(until),
                            cpus,
                            memory_gb,
                        },
                    };
                    machine.tasks.insert(task, held);
                }
                Order::Stop { task, attempt, .. } => {
                    let Some(machine) = inner.machines.get_mut(name) else { return };
                    let held = machine.tasks.get_mut(&task);
                    let live =
                        |h: &&mut Held| h.attempt == attempt && h.status != TaskStatus::Exited;
                    if let Some(held) = held.filter(live) {
                        (held.status, held.cause) = (TaskStatus::Exited, Some(ExitCause::Stopped));
                        held.until = None;
                        machine.changed = true;
                    }
                }
                Order::Forget { task, attempt } => {
                    let Some(machine) = inner.machines.get_mut(name) else { return };
                    let exited = |h: &Held| h.attempt == attempt && h.status == TaskStatus::Exited;
                    if machine.tasks.get(&task).is_some_and(exited) {
                        machine.tasks.remove(&task);
                    }
                }
            }
        }
        self.advance(inner, name);
    }

    /// Sends a worker's reports until its machine is gone.
    fn report(self: &Arc<Self>, name: &str) {
        let site = &self.site;
        let interval = Duration::from_secs_f64(site.report_s);
        let mut client = Client::default();
        let mut node = name.bytes().map(usize::from).sum::<usize>();
        let mut sent = Instant::now() - interval;
        let mut due = Instant::now();
        loop {
            std::thread::sleep(Duration::from_millis(20));
            let (addr, body, tenure) = {
                let mut inner = self.lock();
                self.advance(&mut inner, name);
                let nodes = inner.controllers.len();
                let Some(machine) = inner.machines.get_mut(name) else { return };
                if machine.gone.is_some() {
                    return;
                }
                let now = Instant::now();
                let early = machine.changed && now >= sent + Duration::from_millis(500);
                if now < machine.up || nodes == 0 || now < due && !(early && now >= sent) {
                    continue;
                }
                machine.changed = false;
                let body = to_cbor(&machine.next_report());
                let tenure = machine.tenure;
                node %= nodes;
                (inner.controllers[node], body, tenure)
            };
            sent = Instant::now();
            let timeout = Duration::from_secs(4);
            let response = client.call(addr, "POST", "/checkin", &body, timeout);
            let mut inner = self.lock();
            let nodes = inner.controllers.len();
            let Some(machine) = inner.machines.get_mut(name) else { return };
            if machine.gone.is_some() {
                return;
            }
            let status = response.as_ref().map_or(0, |r| r.status);
            match response {
                Some(r) if r.status == 200 => {
                    due = sent + interval;
                    let Ok(answer) = from_cbor::<HeartbeatAnswer>(&r.body) else { continue };
                    if answer.fencing_token >= machine.baton && tenure == machine.tenure {
                        machine.see_baton(answer.fencing_token);
                        machine.lease_from = sent;
                        self.execute(&mut inner, name, answer.orders);
                    }
                }
                Some(r) if r.status == 421 => {
                    let foreman = from_cbor::<Redirect>(&r.body).ok().and_then(|r| r.controller);
                    let named = foreman.and_then(|f| (0..nodes).find(|n| node_name(*n) == f));
                    match named.filter(|n| *n != node) {
                        Some(other) => (node, due) = (other, Instant::now()),
                        None => {
                            (node, due) = (node + 1, Instant::now() + Duration::from_secs(1));
                            sent = due;
                        }
                    }
                }
                _ => {
                    machine.refused_413 += u32::from(status == 413);
                    let tasks = machine.tasks.len();
                    let text = format!(
                        "worker {name}: report of {tasks} tasks, {} bytes, to {}: {}",
                        body.len(),
                        node_name(node),
                        if status == 0 { "no response".into() } else { status.to_string() }
                    );
                    self.note_in(&mut inner, &text);
                    (node, due) = (node + 1, Instant::now() + Duration::from_secs(1));
                    sent = due;
                }
            }
        }
    }
}

impl Machine {
    pub fn is_up(&self) -> bool {
        self.gone.is_none() && Instant::now() >= self.up
    }

    /// CPUs and memory that no task holds.
    pub fn free(&self, site: &Site) -> (f64, f64) {
        let kind = site.types.iter().find(|t| t.name == self.kind);
        let live = || self.tasks.values().filter(|t| t.status != TaskStatus::Exited);
        let cpus: f64 = live().map(|t| t.cpus).sum();
        let memory: f64 = live().map(|t| t.memory_gb).sum();
        kind.map_or((0.0, 0.0), |k| (k.cpus - cpus, k.memory_gb - memory))
    }

    pub fn fits(&self, site: &Site, spec: &JobSpec) -> bool {
        let (cpus, memory) = self.free(site);
        cpus + 1e-6 >= spec.cpus && memory + 1e-6 >= spec.memory_gb
    }

    pub fn live_tasks(&self) -> usize {
        self.tasks.values().filter(|t| t.status != TaskStatus::Exited).count()
    }

    pub fn running_of(&self, job: &str) -> usize {
        let of_job = |task: &str| split_task(task).is_some_and(|(j, _)| j == job);
        let running = |t: &Held| t.status == TaskStatus::Running;
        self.tasks.iter().filter(|(task, held)| of_job(task) && running(held)).count()
    }

    fn see_baton(&mut self, baton: u64) {
        if baton > self.baton {
            self.baton = baton;
            self.changed = true;
        }
    }

    fn next_report(&mut self) -> Heartbeat {
        self.tally += 1;
        let tasks = self.tasks.iter().map(|(task, held)| HeartbeatTask {
            task: task.clone(),
            attempt: held.attempt,
            status: held.status,
            cause: held.cause,
            checkpointed: None,
        });
        Heartbeat {
            machine: self.name.clone(),
            addr: self.addr.to_string(),
            machine_type: self.kind.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            agent_epoch: self.tenure,
            seq: self.tally,
            fencing_token: self.baton,
            interruption_notice_s: None,
            tasks: tasks.collect(),
        }
    }
}

fn split_task(task: &str) -> Option<(String, u32)> {
    let (job, number) = task.rsplit_once('/')?;
    Some((job.to_string(), number.parse().ok()?))
}

pub fn node_name(node: usize) -> String {
    format!("host-{node}")
}

// Controllers.

impl World {
    /// Starts the controllers and waits until all are ready.
    pub fn start_controllers(self: &Arc<Self>) {
        if self.run_command.is_empty() || !self.root.join(&self.run_command[0]).is_file() {
            could_not_run(self, "no controller program: run the build of the deploy file first");
        }
        let count = self.site.nodes.len();
        let (world, cloud_world) = (self.clone(), self.clone());
        let state = serve(Arc::new(move |r| world.on_state_request(r)), LARGE_BODY);
        let cloud = serve(Arc::new(move |r| cloud_world.on_cloud_request(r)), LARGE_BODY);
        let clients: Vec<SocketAddr> = (0..count).map(|_| free_addr()).collect();
        let meshes: Vec<SocketAddr> = (0..count).map(|_| free_addr()).collect();
        for node in 0..count {
            let siblings: Vec<Value> = (0..count)
                .filter(|other| *other != node)
                .map(|other| {
                    json!({"node": node_name(other), "domain": self.site.nodes[other],
                           "addr": meshes[other].to_string()})
                })
                .collect();
            let settings = json!({
                "node": node_name(node),
                "domain": self.site.nodes[node],
                "client_listen": clients[node].to_string(),
                "mesh_addr": meshes[node].to_string(),
                "siblings": siblings,
                "outside": {"cloud": cloud.to_string(), "state": state.to_string()},
                "facts": self.site.facts(),
            });
            let path = self.folder.join(format!("settings-{node}.json"));
            std::fs::write(path, settings.to_string()).expect("a settings file");
            self.lock().children.push(None);
            self.start_controller(node);
        }
        let ready = |addr: &SocketAddr| {
            let timeout = Duration::from_secs(1);
            let response = Client::default().call(*addr, "GET", "/ready", &[], timeout);
            response.is_some_and(|r| r.status == 200)
        };
        if !self.wait_for(Duration::from_secs(15), || clients.iter().all(ready)) {
            could_not_run(self, "the controllers did not become ready");
        }
        self.note(&format!("{count} controllers are ready"));
        self.lock().controllers = clients;
    }

    /// Starts the process of a controller.
    pub fn start_controller(&self, node: usize) {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("host-{node}.log")))
            .expect("a log file");
        // `finish` keeps this lock to the end, so that no process starts behind its back.
        let mut inner = self.lock();
        let child = Command::new(self.root.join(&self.run_command[0]))
            .args(&self.run_command[1..])
            .arg(self.folder.join(format!("settings-{node}.json")))
            .current_dir(&self.root)
            .env("LOG_LEVEL", std::env::var("LOG_LEVEL").unwrap_or("info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        let Ok(child) = child else {
            drop(inner);
            could_not_run(self, "a controller did not start")
        };
        self.note_in(&mut inner, &format!("{} starts", node_name(node)));
        inner.children[node] = Some(child);
    }

    /// Kills the process of a controller.
    pub fn kill_controller(&self, node: usize) {
        let mut inner = self.lock();
        if let Some(mut child) = inner.children[node].take() {
            let _ = child.kill();
            let _ = child.wait();
            self.note_in(&mut inner, &format!("{} is killed", node_name(node)));
        }
    }

    /// Returns the anonymous memory that each controller process holds, in MB.
    pub fn memory_mb(&self) -> Vec<f64> {
        let inner = self.lock();
        let of = |child: &Option<Child>| {
            let id = child.as_ref()?.id();
            let text = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
            let line = text.lines().find_map(|l| l.strip_prefix("RssAnon:"))?;
            line.split_whitespace().next()?.parse::<f64>().ok()
        };
        inner.children.iter().map(|c| of(c).unwrap_or(0.0) / 1024.0).collect()
    }

    /// Acts as the platform for the rest of the run: kills a controller that holds more than its
    /// memory, and starts it again as long after as the pages say. Notes each such end with its time in `ends`.
    pub fn enforce_memory(self: &Arc<Self>, ends: Arc<Mutex<Vec<f64>>>) {
        let world = self.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(200));
            for (node, held) in world.memory_mb().into_iter().enumerate() {
                if held <= world.site.mem_mb {
                    continue;
                }
                world.note(&format!(
                    "platform: {} holds {held:.1} MB, over its limit",
                    node_name(node)
                ));
                world.kill_controller(node);
                ends.lock().expect("no thread panics").push(world.now_s());
                let world = world.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_secs_f64(world.site.restart_s));
                    world.start_controller(node);
                });
            }
        });
    }

    /// Returns the first controller process that has ended by itself, if any.
    pub fn ended_by_itself(&self) -> Option<usize> {
        let mut inner = self.lock();
        let ended = |child: &mut Option<Child>| {
            child.as_mut().is_some_and(|c| c.try_wait().is_ok_and(|status| status.is_some()))
        };
        inner.children.iter_mut().position(ended)
    }

    /// Returns the controller that leads, as the state service's keys name it. Only for choosing
    /// whom a disruption hits.
    pub fn leader(&self) -> Option<usize> {
        let inner = self.lock();
        let value = inner.store.value("view/leader")?;
        let text = format!("{value:?}");
        (0..self.site.nodes.len()).find(|n| text.contains(&format!("\"{}\"", node_name(*n))))
    }
}

// Users.

impl World {
    /// Sends a submission and repeats it as the pages say, until it is accepted.
    pub fn submit(&self, spec: &JobSpec, run_s: f64) {
        if !self.try_submit(spec, run_s, 40) {
            could_not_run(self, "a submission was not accepted");
        }
    }

    /// Sends a submission up to `attempts` times; returns whether it was accepted.
    pub fn try_submit(&self, spec: &JobSpec, run_s: f64, attempts: usize) -> bool {
        let sent =
            SentJob { spec: spec.clone(), run_s, completed: BTreeSet::new(), starts: Vec::new() };
        self.lock().jobs.insert(spec.id.clone(), sent);
        let body = to_cbor(spec);
        for attempt in 0..attempts {
            let addr = {
                let inner = self.lock();
                inner.controllers[attempt % inner.controllers.len()]
            };
            let timeout = Duration::from_secs(5);
            let response = Client::default().call(addr, "POST", "/api/jobs", &body, timeout);
            let status = response.map_or(0, |r| r.status);
            self.note(&format!(
                "user: POST /api/jobs {} ({} x {} vcpus, hall {:?}): {status}",
                spec.id, spec.tasks, spec.cpus, spec.zone
            ));
            match status {
                200 | 201 => return true,
                400 | 422 => could_not_run(self, "a submission was refused"),
                _ => std::thread::sleep(Duration::from_secs(1)),
            }
        }
        false
    }

    /// Asks one controller for a job's state.
    pub fn poll(&self, node: usize, job: &str) -> (u16, Option<JobAnswer>) {
        let addr = self.lock().controllers[node];
        let target = format!("/api/jobs/{job}");
        let response = Client::default().call(addr, "GET", &target, &[], Duration::from_secs(2));
        let status = response.as_ref().map_or(0, |r| r.status);
        let answer = response.and_then(|r| from_cbor::<JobAnswer>(&r.body).ok());
        let text = match &answer {
            Some(a) => format!("{status} {:?} done {:?} running {:?}", a.status, a.done, a.running),
            None => status.to_string(),
        };
        self.note(&format!("user: GET {target} at {}: {text}", node_name(node)));
        (status, answer)
    }
}
