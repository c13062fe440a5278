//! A load on the core alone: one leader, its workers, cloud and state service, in one
//! process and on simulated time. What is measured is the processor time that the core
//! takes over each kind of event; sockets and system calls are not in it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Instant;

use ciborium::value::Value;
use hdrhistogram::Histogram;
use quartzgate_core::config::{Config, Operator};
use quartzgate_core::records::{encode, JobRecord, RecordedStatus};
use quartzgate_core::{Action, Call, CallId, Controller, Event, Now, Outcome, Peer, RequestId};
use quartzgate_wire::http::{Request, Response};
use quartzgate_wire::msg::*;
use quartzgate_wire::settings::Platform;
use quartzgate_wire::{from_cbor, to_cbor};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use serde::Serialize;

/// What is put on the core. Rates are for each thousand machines.
#[derive(Clone, Debug, clap::Args)]
pub struct Load {
    /// Machines of 16 CPUs, all up at the start.
    #[arg(long, default_value_t = 1000)]
    pub machines: u32,
    /// Seconds of simulated time.
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
    /// Jobs a second for each thousand machines.
    #[arg(long, default_value_t = 1.2)]
    pub jobs: f64,
    /// Tasks of a job: the median; the longest tail is five times that.
    #[arg(long, default_value_t = 30)]
    pub tasks: u32,
    /// Run time of a task in seconds: the median.
    #[arg(long, default_value_t = 15.0)]
    pub run_s: f64,
    /// Services of five tasks for each thousand machines, submitted at the start.
    #[arg(long, default_value_t = 200)]
    pub services: u32,
    /// Time between a worker's reports, in seconds.
    #[arg(long, default_value_t = 5.0)]
    pub report_s: f64,
    /// Changes a second that the state service takes.
    #[arg(long, default_value_t = 40.0)]
    pub writes: f64,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Second at which the leader ends and another takes over from the records.
    #[arg(long)]
    pub takeover: Option<u64>,
    /// Jobs that ended long before the takeover, and stand on record for ever.
    #[arg(long, default_value_t = 0)]
    pub ended: u64,
}

const KINDS: [&str; 7] = ["tick", "report", "user", "orders", "state", "cloud", "other"];

/// Processor time by kind of event, in microseconds.
struct Meter {
    kinds: Vec<(Histogram<u64>, u64)>,
    /// Microseconds in each second of simulated time.
    seconds: Vec<u64>,
}

#[derive(Debug, Serialize)]
pub struct KindCost {
    pub kind: &'static str,
    pub events: u64,
    pub mean_us: f64,
    pub p99_us: u64,
    pub max_us: u64,
    /// Share of one core.
    pub share: f64,
}

#[derive(Debug, Serialize)]
pub struct Costs {
    pub machines: u32,
    pub seconds: u64,
    /// Share of one core, the mean over the last half of the run and the busiest second.
    pub mean: f64,
    pub peak: f64,
    pub longest_event_us: u64,
    pub submitted: u64,
    pub accepted: u64,
    pub refused: u64,
    pub tasks_done: u64,
    pub starts: u64,
    /// From a job's first submission until a task of it is on a machine.
    pub start_p50_ms: u64,
    pub start_p99_ms: u64,
    /// Of a takeover: records read, and how long until a task was started again.
    pub records: usize,
    pub first_start_ms: Option<u64>,
    /// Processor time from the takeover to that start, in milliseconds of a whole core.
    pub takeover_cpu_ms: f64,
    pub kinds: Vec<KindCost>,
}

fn bounded(most: u64) -> Histogram<u64> {
    Histogram::new_with_max(most, 2).expect("two digits below a bound are in range")
}

impl Meter {
    fn new() -> Self {
        let one = || bounded(10_000_000);
        Meter { kinds: KINDS.iter().map(|_| (one(), 0)).collect(), seconds: Vec::new() }
    }

    fn note(&mut self, kind: usize, at_ms: u64, us: u64) {
        self.kinds[kind].0.saturating_record(us);
        self.kinds[kind].1 += us;
        let second = (at_ms / 1000) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, 0);
        }
        self.seconds[second] += us;
    }

    fn spent_us(&self) -> u64 {
        self.kinds.iter().map(|k| k.1).sum()
    }
}

struct Held {
    attempt: u64,
    status: TaskStatus,
    cause: Option<Cause>,
    at_ms: u64,
}

struct Worker {
    report: Report,
    tasks: BTreeMap<String, Held>,
    images: Vec<String>,
    reported_ms: u64,
    due_ms: u64,
    asking: bool,
}

enum Next {
    Tick,
    Report(usize),
    Wake(usize),
    Submit(Box<JobSpec>, u64),
    Outcome(CallId, usize, Outcome),
    Arrive,
    Takeover,
}

pub struct Sim {
    load: Load,
    core: Controller,
    rng: SmallRng,
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    what: HashMap<u64, Next>,
    keys: BTreeMap<String, (Value, u64)>,
    rev: u64,
    workers: Vec<Worker>,
    by_addr: HashMap<String, usize>,
    asked: HashMap<RequestId, usize>,
    users: HashMap<RequestId, (JobSpec, u64)>,
    jobs: HashMap<String, (JobSpec, u64)>,
    next_request: RequestId,
    next_job: u64,
    meter: Meter,
    starts: Histogram<u64>,
    counts: [u64; 5],
    records: usize,
    took_over_ms: Option<u64>,
    first_start_ms: Option<u64>,
    /// Processor time before the takeover, and from it to the first start, in microseconds.
    spent_before_us: u64,
    takeover_us: u64,
}

fn platform(load: &Load) -> Platform {
    let value = serde_json::json!({
        "node": "n0", "domain": "a", "client_listen": "127.0.0.1:1", "mesh_addr": "127.0.0.1:2",
        "siblings": [], "outside": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
        "facts": {
            "count": 1, "zones": ["a", "b"],
            "teams": [{"name": "night", "cpus": 0.0, "cpus_max": 0.0},
                      {"name": "web", "cpus": 0.0, "cpus_max": 0.0}],
            "objectives": [{"kind": "wait", "class": "web", "within_s": 1.0, "share": 0.9},
                           {"kind": "deadline", "class": "batch", "share": 0.95, "times": 1.0}],
            "workers": {"report_s": load.report_s, "lease_s": load.report_s * 5.0,
                        "gang_wait_s": 45.0, "gang_peer_s": 4.0, "cancel_s": load.report_s * 12.0},
            "state": {"rps": 600.0, "write_rps": load.writes, "value_kb": 8.0, "txn_ops": 12},
            "cloud": {"rps": 15.0, "list_lag_s": 6.0},
            "resources": {"cpu_share": 0.3, "mem_mb": 188.0, "max_sockets": 4000},
            "clock_off_ms": 100.0
        }
    });
    serde_json::from_value(value).expect("the settings are whole")
}

impl Sim {
    pub fn new(load: Load) -> Self {
        let config = Config::new(platform(&load), Operator::default());
        let mut sim = Sim {
            core: Controller::new(config, SmallRng::seed_from_u64(load.seed)),
            rng: SmallRng::seed_from_u64(load.seed + 1),
            now: 1,
            order: 0,
            queue: BinaryHeap::new(),
            what: HashMap::new(),
            keys: BTreeMap::new(),
            rev: 0,
            workers: Vec::new(),
            by_addr: HashMap::new(),
            asked: HashMap::new(),
            users: HashMap::new(),
            jobs: HashMap::new(),
            next_request: 1,
            next_job: 1,
            meter: Meter::new(),
            starts: bounded(3_600_000),
            counts: [0; 5],
            records: 0,
            took_over_ms: None,
            spent_before_us: 0,
            takeover_us: 0,
            first_start_ms: None,
            load,
        };
        for n in 0..sim.load.machines {
            sim.add_worker(n);
        }
        sim.after(1, Next::Tick);
        let services = sim.load.services * sim.load.machines / 1000;
        for n in 0..services {
            let spec = sim.service();
            sim.after(
                2_000 + u64::from(n) * 10_000 / u64::from(services),
                Next::Submit(Box::new(spec), 0),
            );
        }
        sim.after(5_000, Next::Arrive);
        if let Some(second) = sim.load.takeover {
            sim.after(second * 1_000, Next::Takeover);
        }
        sim
    }

    fn add_worker(&mut self, n: u32) {
        let addr = format!("10.{}.{}.{}:9000", 2 + n / 62_500, n / 250 % 250, n % 250 + 1);
        let report = Report {
            machine: format!("vm-{n:06}"),
            addr: addr.clone(),
            kind: "m16".into(),
            zone: ["a", "b"][n as usize % 2].into(),
            spot: n % 4 == 3,
            tenure: 1,
            seq: 0,
            token: 0,
            notice_s: None,
            tasks: Vec::new(),
        };
        self.by_addr.insert(addr, self.workers.len());
        self.workers.push(Worker {
            report,
            tasks: BTreeMap::new(),
            images: Vec::new(),
            reported_ms: 0,
            due_ms: 0,
            asking: false,
        });
        let round = (self.load.report_s * 1000.0) as u64;
        let first = self.rng.random_range(500..500 + round);
        self.report_at(n as usize, first);
    }

    fn after(&mut self, ms: u64, next: Next) {
        self.order += 1;
        self.queue.push(Reverse((self.now + ms, self.order)));
        self.what.insert(self.order, next);
    }

    fn service(&mut self) -> JobSpec {
        let mut spec = self.batch();
        (spec.class, spec.team, spec.shape) = ("web".into(), "web".into(), Shape::Service);
        (spec.rank, spec.tasks, spec.spread, spec.spot) = (Rank::Production, 5, true, false);
        (spec.estimate_s, spec.deadline_s) = (0.0, None);
        spec
    }

    fn batch(&mut self) -> JobSpec {
        let tail = |median: f64| LogNormal::new(median.ln(), 0.7).expect("a finite median");
        let tasks = tail(f64::from(self.load.tasks)).sample(&mut self.rng) as u32;
        let run_s = tail(self.load.run_s).sample(&mut self.rng);
        let high = self.rng.random_bool(0.4);
        let image = self.rng.random_range(0..12);
        let id = format!("wk-{:08}", self.next_job);
        self.next_job += 1;
        JobSpec {
            id,
            class: "batch".into(),
            team: "night".into(),
            shape: Shape::Array,
            rank: if high { Rank::High } else { Rank::Normal },
            tasks: tasks.clamp(1, self.load.tasks * 5),
            cpus: 4.0,
            gpus: 0.0,
            memory_gb: 13.0,
            image: format!("img-{image}"),
            image_gb: 1.0,
            types: None,
            zone: None,
            together: false,
            spread: false,
            spot: true,
            estimate_s: run_s,
            checkpoint_s: if high { 0.0 } else { 15.0 },
            save_s: if high { 0.0 } else { 2.0 },
            deadline_s: (!high).then_some(2.0 * run_s + 20.0),
            dependencies: Vec::new(),
        }
    }

    fn feed(&mut self, kind: usize, event: Event) {
        let now = Now { steady_ms: self.now, wall_ms: 1_000_000 + self.now };
        let began = Instant::now();
        let actions = self.core.handle(now, event);
        self.meter.note(kind, self.now, began.elapsed().as_micros() as u64);
        for action in actions {
            match action {
                Action::Answer { id, response } => self.answered(id, response),
                Action::Call(call) => self.call(call),
            }
        }
    }

    pub fn run(mut self) -> Costs {
        let end = self.load.seconds * 1000;
        while let Some(Reverse((at, n))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            // Answers to a controller that has ended reach nobody.
            let Some(next) = self.what.remove(&n) else { continue };
            match next {
                Next::Tick => {
                    self.after(25, Next::Tick);
                    self.feed(0, Event::Tick);
                }
                Next::Report(w) => self.report(w),
                Next::Wake(w) => self.work(w),
                Next::Submit(spec, first_ms) => self.submit(*spec, first_ms),
                Next::Outcome(call, kind, outcome) => {
                    self.feed(kind, Event::Outcome { call, outcome })
                }
                Next::Takeover => self.take_over(),
                Next::Arrive => {
                    let rate = self.load.jobs * f64::from(self.load.machines) / 1000.0;
                    let gap = Exp::new(rate.max(1e-3)).expect("a rate above 0");
                    let ms = (gap.sample(&mut self.rng) * 1000.0) as u64;
                    self.after(ms.max(1), Next::Arrive);
                    let spec = self.batch();
                    self.submit(spec, 0);
                }
            }
        }
        self.costs()
    }

    /// Another controller leads, with nothing but the records. What was asked of the old
    /// one is asked again.
    fn take_over(&mut self) {
        let config = Config::new(platform(&self.load), Operator::default());
        self.core = Controller::new(config, SmallRng::seed_from_u64(self.load.seed + 2));
        let record = JobRecord {
            status: RecordedStatus::Done,
            spec: None,
            at_ms: 1_000_000,
            done_chunks: Vec::new(),
            service: false,
            share: None,
        };
        for n in 0..self.load.ended {
            self.keys.insert(format!("jobs/wk-9{n:08}"), (encode(&record), 1));
        }
        (self.records, self.took_over_ms) = (self.keys.len(), Some(self.now));
        self.spent_before_us = self.meter.spent_us();
        let calls = |next: &Next| matches!(next, Next::Outcome(..));
        self.what.retain(|_, next| !calls(next));
        for (_, w) in std::mem::take(&mut self.asked) {
            self.workers[w].asking = false;
        }
        for w in 0..self.workers.len() {
            let within = self.rng.random_range(500..2_000);
            self.workers[w].due_ms = 0;
            self.report_at(w, self.now + within);
        }
        for (_, (spec, first_ms)) in std::mem::take(&mut self.users) {
            self.after(1_000, Next::Submit(Box::new(spec), first_ms));
        }
    }

    // Users.

    fn submit(&mut self, spec: JobSpec, first_ms: u64) {
        let first_ms = if first_ms == 0 { self.now } else { first_ms };
        self.counts[0] += 1;
        let id = self.request();
        let request = Request {
            method: "POST".into(),
            target: "/api/jobs".into(),
            body: to_cbor(&spec),
            close: false,
        };
        self.users.insert(id, (spec, first_ms));
        self.feed(2, Event::Client { id, request });
    }

    fn request(&mut self) -> RequestId {
        self.next_request += 1;
        self.next_request
    }

    fn answered(&mut self, id: RequestId, response: Response) {
        if let Some((spec, first_ms)) = self.users.remove(&id) {
            match response.status {
                200 | 201 => {
                    self.counts[1] += 1;
                    self.jobs.insert(spec.id.clone(), (spec, first_ms));
                }
                _ => {
                    self.counts[2] += 1;
                    let pause = u64::from(response.retry_after_s.unwrap_or(1)) * 1000;
                    self.after(pause, Next::Submit(Box::new(spec), first_ms));
                }
            }
        } else if let Some(w) = self.asked.remove(&id) {
            self.workers[w].asking = false;
            if let Ok(answer) = from_cbor::<ReportAnswer>(&response.body) {
                self.workers[w].report.token = self.workers[w].report.token.max(answer.token);
                self.execute(w, answer.orders);
            }
            let round = self.load.report_s * 1000.0;
            let next = self.rng.random_range(round * 0.75..round * 1.25) as u64;
            self.report_at(w, self.now + next);
        }
    }

    // Workers.

    /// The worker's next report comes at this moment, unless one is due before.
    fn report_at(&mut self, w: usize, at_ms: u64) {
        let due = self.workers[w].due_ms;
        if due <= self.now || at_ms < due {
            self.workers[w].due_ms = at_ms;
            self.after(at_ms.saturating_sub(self.now), Next::Report(w));
        }
    }

    fn changed(&mut self, w: usize) {
        let at = self.now.max(self.workers[w].reported_ms + 500);
        self.report_at(w, at);
    }

    fn as_report(&mut self, w: usize) -> Report {
        let worker = &mut self.workers[w];
        worker.report.seq += 1;
        let tasks = worker.tasks.iter().map(|(task, h)| ReportTask {
            task: task.clone(),
            attempt: h.attempt,
            status: h.status,
            cause: h.cause,
            saved: None,
        });
        Report { tasks: tasks.collect(), ..worker.report.clone() }
    }

    fn report(&mut self, w: usize) {
        // A report that was put forward leaves its later entry behind.
        if self.workers[w].due_ms != self.now || self.workers[w].asking {
            return;
        }
        (self.workers[w].reported_ms, self.workers[w].asking) = (self.now, true);
        let body = to_cbor(&self.as_report(w));
        let id = self.request();
        self.asked.insert(id, w);
        let request =
            Request { method: "POST".into(), target: "/checkin".into(), body, close: false };
        self.feed(1, Event::Client { id, request });
    }

    fn execute(&mut self, w: usize, orders: Vec<Order>) {
        for order in orders {
            match order {
                Order::Start { task, attempt } => {
                    let job = task.split('/').next().unwrap_or_default();
                    let Some((spec, first_ms)) = self.jobs.get(job) else { continue };
                    self.starts.saturating_record(self.now - first_ms);
                    self.counts[4] += 1;
                    let since = self.took_over_ms.map(|at| self.now - at);
                    if since.is_some() && self.first_start_ms.is_none() {
                        self.first_start_ms = since;
                        self.takeover_us = self.meter.spent_us() - self.spent_before_us;
                    }
                    let has = self.workers[w].images.contains(&spec.image);
                    let fetch = if has { 5 } else { (spec.image_gb * 1000.0) as u64 };
                    if !has {
                        let image = spec.image.clone();
                        self.workers[w].images.push(image);
                    }
                    let at_ms = self.now + fetch;
                    let held = Held { attempt, status: TaskStatus::Fetching, cause: None, at_ms };
                    self.workers[w].tasks.insert(task, held);
                    self.after(fetch, Next::Wake(w));
                }
                Order::Stop { task, .. } => {
                    if let Some(h) = self.workers[w].tasks.get_mut(&task) {
                        (h.status, h.cause) = (TaskStatus::Exited, Some(Cause::Stopped));
                        self.changed(w);
                    }
                }
                Order::Forget { task, .. } => drop(self.workers[w].tasks.remove(&task)),
            }
        }
    }

    fn work(&mut self, w: usize) {
        let (now, mut wake) = (self.now, Vec::new());
        for (task, h) in self.workers[w].tasks.iter_mut().filter(|(_, h)| h.at_ms <= now) {
            let job = task.split('/').next().unwrap_or_default();
            match (h.status, self.jobs.get(job)) {
                (TaskStatus::Fetching, Some((spec, _))) => {
                    h.status = TaskStatus::Running;
                    h.at_ms = match spec.shape {
                        Shape::Service => u64::MAX,
                        _ => now + (spec.estimate_s * 1000.0) as u64,
                    };
                    if h.at_ms < u64::MAX {
                        wake.push(h.at_ms);
                    }
                }
                (TaskStatus::Running, _) => {
                    (h.status, h.cause) = (TaskStatus::Exited, Some(Cause::Done));
                    self.counts[3] += 1;
                }
                _ => continue,
            }
        }
        for at in wake {
            self.after(at - now, Next::Wake(w));
        }
        self.changed(w);
    }

    // What the core calls.

    fn call(&mut self, call: Call) {
        let ok = |body: Vec<u8>| Outcome::Answer(Response::new(200, body));
        let (kind, delay, outcome) = match &call.peer {
            Peer::State => match self.state(&call) {
                Some(r) => (4, 5, Outcome::Answer(r)),
                // A watch of which nothing comes.
                None => {
                    let log = ChangeLog { ledger_rev: self.rev, log: Vec::new() };
                    (4, call.timeout_ms * 3 / 4, ok(to_cbor(&log)))
                }
            },
            Peer::Cloud => (5, 80, Outcome::Answer(self.cloud(&call))),
            Peer::Worker(addr) => {
                let w = self.by_addr[&addr.to_string()];
                if let Ok(o) = from_cbor::<OrdersRequest>(&call.body) {
                    self.workers[w].report.token = self.workers[w].report.token.max(o.token);
                    self.execute(w, o.orders);
                }
                (3, 2, ok(to_cbor(&self.as_report(w))))
            }
            Peer::Sibling(_) => (6, 1, Outcome::Lost),
        };
        self.after(delay, Next::Outcome(call.id, kind, outcome));
    }

    fn state(&mut self, call: &Call) -> Option<Response> {
        let ok = |body: Vec<u8>| Response::new(200, body);
        let (path, query) = call.target.split_once('?').unwrap_or((&call.target, ""));
        if path == "/changes" {
            return None;
        }
        if path == "/keys" {
            let arg = |name| query.split('&').find_map(|p| p.strip_prefix(name));
            let starts = arg("starts=").unwrap_or_default();
            let since = arg("since=").unwrap_or_default();
            let most: usize = arg("most=").and_then(|m| m.parse().ok()).unwrap_or(1_000);
            let stamped = |(k, (v, s)): (&String, &(Value, u64))| Pair {
                path: k.clone(),
                value: v.clone(),
                stamp: *s,
                permit: None,
            };
            let from = if since > starts { since } else { starts };
            let found = self.keys.range(from.to_string()..).filter(|(k, _)| k.as_str() != since);
            let found = found.take_while(|(k, _)| k.starts_with(starts));
            let mut pairs: Vec<Pair> = found.take(most + 1).map(stamped).collect();
            let more = pairs.len() > most;
            pairs.truncate(most);
            return Some(ok(to_cbor(&PairList { pairs, more, ledger_rev: self.rev })));
        }
        if let Some(key) = path.strip_prefix("/keys/") {
            return Some(match self.keys.get(key) {
                Some((value, stamp)) => {
                    let (path, value) = (key.to_string(), value.clone());
                    ok(to_cbor(&Pair { path, value, stamp: *stamp, permit: None }))
                }
                None => Response::new(404, Vec::new()),
            });
        }
        if path.starts_with("/leases") {
            return Some(ok(to_cbor(&LeaseAnswer { permit: 1 })));
        }
        let Ok(txn) = from_cbor::<Transaction>(&call.body) else {
            return Some(Response::new(400, Vec::new()));
        };
        let stands = |g: &&Guard| self.keys.get(&g.path).map_or(0, |(_, s)| *s) != g.stamp;
        let failed: Vec<String> =
            txn.guards.iter().filter(stands).map(|g| g.path.clone()).collect();
        if !failed.is_empty() {
            let body = to_cbor(&TransactionAnswer { ledger_rev: self.rev, failed });
            return Some(Response::new(409, body));
        }
        self.rev += u64::from(!txn.apply.is_empty());
        for change in txn.apply {
            match change {
                Change::Set { set, value, .. } => drop(self.keys.insert(set, (value, self.rev))),
                Change::Delete { delete } => drop(self.keys.remove(&delete)),
            }
        }
        Some(ok(to_cbor(&TransactionAnswer { ledger_rev: self.rev, failed: Vec::new() })))
    }

    fn cloud(&mut self, call: &Call) -> Response {
        let path = call.target.split('?').next().unwrap_or_default();
        let body = match path {
            "/machine_types" => to_cbor(&MachineTypes {
                types: vec![MachineType {
                    name: "m16".into(),
                    cpus: 16.0,
                    gpus: 0.0,
                    memory_gb: 64.0,
                    cache_gb: 100.0,
                    fetch_gb_per_s: 1.0,
                    price: 1.0,
                    spot_price: 0.3,
                    boot_s: 30.0,
                    zones: vec!["a".into(), "b".into()],
                }],
            }),
            "/machines" if call.method == "GET" => {
                let since = call.target.split("since=").nth(1).unwrap_or("");
                let rest = self.workers.iter().filter(|w| w.report.machine.as_str() > since);
                let mut machines: Vec<ListedMachine> = rest
                    .take(501)
                    .map(|w| ListedMachine {
                        name: w.report.machine.clone(),
                        addr: w.report.addr.clone(),
                        kind: w.report.kind.clone(),
                        zone: w.report.zone.clone(),
                        spot: w.report.spot,
                        status: CloudStatus::Running,
                        age_s: 600.0,
                    })
                    .collect();
                let more = machines.len() > 500;
                machines.truncate(500);
                to_cbor(&MachineList { machines, more })
            }
            // The fleet is what it is: nothing to rent, and what goes back is not missed.
            "/machines" => return Response::new(503, Vec::new()),
            _ => Vec::new(),
        };
        Response::new(200, body)
    }

    fn costs(&self) -> Costs {
        let span = self.load.seconds * 1_000_000;
        let half = self.meter.seconds.len() / 2;
        let last = &self.meter.seconds[half..];
        let share = |us: u64| us as f64 / 1e6;
        let kinds = KINDS.iter().zip(&self.meter.kinds).filter(|(_, (h, _))| !h.is_empty());
        Costs {
            machines: self.load.machines,
            seconds: self.load.seconds,
            mean: share(last.iter().sum::<u64>()) / last.len().max(1) as f64,
            peak: share(last.iter().copied().max().unwrap_or(0)),
            longest_event_us: self.meter.kinds.iter().map(|(h, _)| h.max()).max().unwrap_or(0),
            submitted: self.counts[0],
            accepted: self.counts[1],
            refused: self.counts[2],
            tasks_done: self.counts[3],
            starts: self.counts[4],
            start_p50_ms: self.starts.value_at_quantile(0.5),
            start_p99_ms: self.starts.value_at_quantile(0.99),
            records: self.records,
            first_start_ms: self.first_start_ms,
            takeover_cpu_ms: self.takeover_us as f64 / 1e3,
            kinds: kinds
                .map(|(kind, (h, us))| KindCost {
                    kind,
                    events: h.len(),
                    mean_us: *us as f64 / h.len() as f64,
                    p99_us: h.value_at_quantile(0.99),
                    max_us: h.max(),
                    share: *us as f64 / span as f64,
                })
                .collect(),
        }
    }
}
