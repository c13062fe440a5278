//! An in-memory cluster: controllers, state service, cloud and workers on one clock,
//! joined by a network that delays, loses, holds and reorders. It knows the rules
//! and notes every breach.

mod checks;
mod troubles;

pub use troubles::without;

use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};

use ciborium::value::Value;
use quartzgate_core::config::{Config, Operator};
use quartzgate_core::records::{JobRecord, PageRecord, FORMAT, FORMAT_NODES, PAGES, VIEW};
use quartzgate_core::{Action, Call, CallId, Controller, Event, Now, Outcome, Peer};
use quartzgate_ladder::{Ladder, StandingRecord, Stands, Table, TABLE};
use quartzgate_wire::http::{Request, Response};
use quartzgate_wire::msg::*;
use quartzgate_wire::settings::Platform;
use quartzgate_wire::{from_cbor, to_cbor};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const REPORT_MS: u64 = 1_000;
pub const LEASE_MS: u64 = 8_000;
pub const CANCEL_MS: u64 = 24_000;
/// Memory of each machine.
const MEMORY_GB: f64 = 32.0;

/// Who can be cut from whom.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum End {
    Node(usize),
    State,
    Cloud,
    Worker(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Messages are lost.
    Drop,
    /// Requests are held and delivered when the cut ends; answers are lost.
    Hold,
}

/// What does not reach a machine that speaks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Deaf {
    pub answers: bool,
    pub orders: bool,
}

/// Copies of reports that come late, at any controller.
#[derive(Clone, Copy, Debug)]
pub struct LateCopies {
    pub share: f64,
    pub from_ms: u64,
    pub to_ms: u64,
}

/// Transactions that get no answer and are carried out later, after newer ones.
#[derive(Clone, Copy, Debug)]
pub struct LateWrites {
    pub share: f64,
    pub from_ms: u64,
    pub to_ms: u64,
}

/// What becomes of a transaction that gets no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unanswered {
    /// It is carried out at once: others read what it wrote.
    AtOnce,
    /// It is carried out so many milliseconds later, if its conditions hold then.
    Late(u64),
}

/// The next so many transactions that set or delete a key with this prefix get no answer.
#[derive(Clone, Debug)]
pub struct Fate {
    pub prefix: &'static str,
    pub what: Unanswered,
    pub left: u32,
}

enum Msg {
    /// A copy of a report, to which nobody waits for an answer.
    Copy {
        node: usize,
        body: Vec<u8>,
    },
    Reborn {
        worker: String,
    },
    Tick {
        node: usize,
        life: u32,
    },
    Call {
        from: usize,
        life: u32,
        call: Call,
    },
    Outcome {
        node: usize,
        life: u32,
        call: CallId,
        outcome: Outcome,
    },
    WatchEnd {
        node: usize,
        life: u32,
        call: CallId,
        starts: String,
        since: u64,
        until: u64,
    },
    Report {
        worker: String,
    },
    Checkin {
        worker: String,
        node: usize,
        sent_ms: u64,
        body: Vec<u8>,
    },
    Answer {
        worker: String,
        sent_ms: u64,
        status: u16,
        body: Vec<u8>,
    },
    Work {
        worker: String,
    },
    User {
        node: usize,
        ask: u64,
    },
    Boot {
        machine: String,
        zone: String,
    },
    Restart {
        node: usize,
    },
    Wake {
        node: usize,
        life: u32,
    },
    /// A transaction that got no answer is carried out.
    LateWrite {
        from: usize,
        txn: Transaction,
    },
    /// The time of a cancelled job is up.
    CancelDue {
        job: String,
    },
}

struct Entry {
    at: u64,
    n: u64,
    msg: Msg,
}

impl PartialEq for Entry {
    fn eq(&self, o: &Self) -> bool {
        (self.at, self.n) == (o.at, o.n)
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, o: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(o))
    }
}
impl Ord for Entry {
    fn cmp(&self, o: &Self) -> std::cmp::Ordering {
        (o.at, o.n).cmp(&(self.at, self.n))
    }
}

#[derive(Default)]
pub struct StateService {
    /// Writes that switch something on are held until all cuts end.
    pub hold_steps: bool,
    pub keys: BTreeMap<String, (ciborium::value::Value, u64, Option<u64>)>,
    pub rev: u64,
    log: Vec<ChangeEvent>,
    leases: BTreeMap<u64, (u64, u64)>,
    next_lease: u64,
    pub down: bool,
    /// Nodes that it answers 503 while the others are served.
    pub refuses: BTreeSet<usize>,
    /// Transactions are executed, but the next so many answers are lost.
    pub swallow_answers: u32,
    /// Answers this node's transactions 503 without executing them, after so long.
    pub refuses_late: Option<(usize, u64)>,
    /// The next write that sets this key is answered 429, after so many milliseconds.
    pub busy_for: Option<(String, u64)>,
    /// Carries no post between controllers.
    pub no_post: bool,
    /// Watches of what is recorded past the leader hear nothing.
    pub no_inbox: bool,
    pub writes: u64,
    pub requests: u64,
    /// Times that all pages were read, by whomever.
    pub page_reads: u64,
    /// Largest value (bytes of JSON), most changes a transaction, changes a second.
    pub limits: Option<(usize, usize, f64)>,
    /// Writes that were refused for their size, and for their rate.
    pub too_large: u64,
    pub too_many: u64,
    /// So many changes are kept; who asks for earlier ones is told 410.
    pub keeps_changes: Option<u64>,
    /// Keys in one answer at most.
    pub page: Option<usize>,
    pub late_writes: Option<LateWrites>,
    /// This share of transactions is carried out at once, and the answer is lost.
    pub lost_answers: f64,
    pub fates: Vec<Fate>,
    /// Requests take up to so much longer to arrive, and their answers to come back.
    pub slow_ms: u64,
    /// Sets of keys that hold this are refused as malformed.
    pub poison: Option<String>,
    tokens: f64,
    tokens_at: u64,
    /// Every value that was set, in order, for those who want to look at them all.
    pub journal: Vec<(String, ciborium::value::Value)>,
}

#[derive(Clone, Debug)]
pub struct Held {
    pub attempt: u64,
    pub status: TaskStatus,
    pub cause: Option<Cause>,
    pub ends_ms: u64,
}

pub struct Worker {
    pub zone: String,
    pub kind: String,
    pub cpus: f64,
    pub spot: bool,
    pub tenure: u64,
    pub seq: u64,
    pub token: u64,
    pub node: usize,
    pub lease_from: u64,
    /// Its lease by a clock that may be slow.
    pub lease_ms: u64,
    pub tasks: BTreeMap<String, Held>,
    pub dead: bool,
    pub hung_until: u64,
    pub fails: bool,
    waiting: bool,
    /// It hangs after so many commands of its next call, for so long.
    pub hang_between: Option<(usize, u64)>,
    /// Commands of a call in whose midst it hung, and the session that they are for.
    rest: (u64, Vec<Order>),
    /// Orders that came while it hung.
    inbox: Vec<(usize, u32, Call)>,
    born_ms: u64,
    /// Images that it has, and what is still to be fetched of others, in GB.
    images: BTreeSet<String>,
    fetching: BTreeMap<String, f64>,
    fetched_ms: u64,
}

impl Worker {
    /// Its tasks are still on it: it lives, and its lease has not run out.
    fn holds(&self, now: u64) -> bool {
        !self.dead && now <= self.lease_from + self.lease_ms
    }
}

struct Node {
    core: Controller,
    life: u32,
    open: HashMap<CallId, ()>,
    /// It stands still until then; what comes meanwhile lies in its sockets.
    paused_until: u64,
    sockets: Vec<Event>,
    /// Stands still for so long in the middle of its next round, and what that round
    /// had decided and not done yet.
    pause_next: Option<u64>,
    undone: Vec<Action>,
}

/// What a day shows of itself, after which troubles may come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Edge {
    /// A user was told that a job is cancelled.
    Confirmed,
    /// Another leads, and begins to read.
    Elected,
    /// A transaction got no answer.
    Unanswered,
    /// A job's last task ended.
    LastEnd,
    /// A machine was told to forget what had exited.
    Cleared,
}

/// A start that was sent after its job's cancellation had been confirmed to a user.
#[derive(Clone, Debug)]
pub struct LateStart {
    pub task: String,
    pub by: usize,
    /// How long after the confirmation.
    pub after_ms: u64,
}

pub struct Ask {
    node: usize,
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    /// What the user had been told of the job before asking.
    told: Option<JobStatus>,
    sent_ms: u64,
    pub answer: Option<Response>,
}

pub struct World {
    pub now: u64,
    rng: SmallRng,
    queue: BinaryHeap<Entry>,
    count: u64,
    nodes: Vec<Option<Node>>,
    lives: Vec<u32>,
    pub state: StateService,
    pub workers: BTreeMap<String, Worker>,
    pub cuts: Vec<(End, End, Cut)>,
    held: Vec<(usize, u32, Call)>,
    pub asks: Vec<Ask>,
    requests: HashMap<(usize, u32, u64), Asker>,
    next_request: u64,
    pub jobs: BTreeMap<String, JobSpec>,
    /// How long tasks run, by the task's name or its job's.
    pub run_ms: BTreeMap<String, u64>,
    pub done: BTreeMap<String, BTreeSet<u32>>,
    pub aborted_at: BTreeMap<String, u64>,
    /// Jobs that their users wanted to cancel, whatever came of it.
    abort_asked: BTreeSet<String>,
    pub told: BTreeMap<String, JobStatus>,
    pub breaches: Vec<String>,
    pub starts: BTreeMap<String, Vec<(String, u64)>>,
    /// Jobs that were submitted with a mistake, and how often their tasks have failed.
    pub mistaken: BTreeMap<String, u32>,
    pub loss: f64,
    pub max_delay: u64,
    next_machine: u32,
    pub cloud_off: bool,
    /// Machines that the lagging list does not show yet.
    pub unlisted: BTreeSet<String>,
    /// Machines that reach no controller, while direct commands reach them.
    pub mute: BTreeSet<String>,
    /// This share of reports is kept until another leads, and reaches every controller then.
    pub kept_copies: f64,
    kept: Vec<Vec<u8>>,
    /// How long rented machines take to be up, and the list to show them after that.
    pub boot_ms: (u64, u64),
    pub list_lag_ms: u64,
    /// The answers to so many requests for machines are lost.
    pub lost_hires: u32,
    /// Images are fetched, at this rate shared by all that a machine fetches at a time.
    pub fetch_gb_per_s: Option<f64>,
    /// Users ask at all nodes, and submit again, within milliseconds of what they are told and
    /// of a job's end.
    pub close_looks: bool,
    /// Share of jobs that are called off at the moment of their last task's end.
    pub cancel_at_end: f64,
    /// Submissions that must be refused, and how.
    never: BTreeMap<String, u16>,
    pub odd_answers: BTreeMap<u16, u32>,
    /// Starts of tasks that were sent after a user had been told that their job is cancelled.
    pub late_starts: Vec<LateStart>,
    pub edges: Vec<(u64, Edge)>,
    /// Who has told a user, in which life, that which job is cancelled.
    told_at: BTreeSet<(usize, u32, String)>,
    /// Machines that speak and don't hear, and how many starts were lost on the way to each.
    pub deaf: BTreeMap<String, Deaf>,
    pub lost_starts: BTreeMap<String, u32>,
    pub copies: Option<LateCopies>,
    /// Time after which a worker that was sent away tries the next controller, if not with its
    /// next report.
    pub hop_ms: Option<u64>,
    /// Machines are kept however long they are idle.
    pub keeps_idle: bool,
    /// Largest value that the state service takes, where it is not what `platform` says.
    pub value_kb: Option<f64>,
    /// The cloud takes no machine back.
    pub returns_off: bool,
    pub hires: BTreeMap<String, Vec<String>>,
    limit_cpus: f64,
    /// Limits of the state service that the settings announce.
    pub next: Option<serde_json::Value>,
    /// Controllers that don't agree to the newest format, as the version before.
    pub old: BTreeSet<usize>,
    /// Controllers of another build, by what it knows.
    pub tables: BTreeMap<usize, &'static Table>,
    /// What a controller's operators withhold.
    pub withhold: BTreeMap<usize, Vec<String>>,
    /// How many controllers its settings name, where they differ.
    pub named: BTreeMap<usize, usize>,
    /// All small jobs share pages, not only while changes are scarce.
    pub paged: bool,
    /// Revision at which each controller was last started.
    born_rev: Vec<u64>,
    /// Who sent the step that is being applied.
    stepping: Option<usize>,
    /// 1 if the clocks of workers run slow and those of controllers apart, by 0.05%.
    pub slow_clocks: u64,
    pub seed: u64,
}

enum Asker {
    Nobody,
    User(u64),
    Worker(String, u64),
    Node(usize, u32, CallId),
}

pub fn platform(node: usize, nodes: usize, limit_cpus: f64) -> Platform {
    let siblings: Vec<_> = (0..nodes)
        .filter(|n| *n != node)
        .map(|n| serde_json::json!({"node": format!("n{n}"), "domain": "a", "addr": format!("10.0.0.{}:81", n + 1)}))
        .collect();
    serde_json::from_value(serde_json::json!({
        "node": format!("n{node}"), "domain": "a",
        "client_listen": format!("10.0.0.{}:80", node + 1),
        "mesh_addr": format!("10.0.0.{}:81", node + 1),
        "siblings": siblings,
        "outside": {"cloud": "10.1.0.1:1", "state": "10.1.0.2:1"},
        "facts": {
            "count": nodes, "zones": ["a", "b"],
            "teams": [{"name": "t", "cpus": 0.0, "cpus_max": limit_cpus, "gpus": 0.0, "gpus_max": 0.0}],
            "objectives": [],
            "workers": {"report_s": REPORT_MS as f64 / 1e3, "lease_s": LEASE_MS as f64 / 1e3,
                        "gang_wait_s": 20.0, "gang_peer_s": 3.0, "cancel_s": CANCEL_MS as f64 / 1e3},
            "state": {"rps": 200.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 12},
            "cloud": {"rps": 8.0, "list_lag_s": 2.0},
            "resources": {"cpu_share": 0.1, "mem_mb": 64.0, "max_sockets": 500},
            "clock_off_ms": 100.0
        }
    }))
    .unwrap()
}

pub fn job(id: &str, shape: Shape, tasks: u32) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "c".into(),
        team: "t".into(),
        shape,
        rank: if shape == Shape::Service { Rank::Production } else { Rank::Normal },
        tasks,
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 4.0,
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        together: false,
        spread: false,
        spot: true,
        estimate_s: 5.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// The same job, needing others.
pub fn behind(mut spec: JobSpec, needs: &[&str]) -> JobSpec {
    spec.dependencies = needs.iter().map(|n| n.to_string()).collect();
    spec
}

impl World {
    /// `nodes` controllers and `workers` machines of 8 CPUs, alternating zones.
    pub fn new(nodes: usize, workers: usize, limit_cpus: f64, seed: u64) -> World {
        let mut w = World {
            now: 1,
            rng: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            count: 0,
            nodes: Vec::new(),
            lives: vec![0; nodes],
            state: StateService::default(),
            workers: BTreeMap::new(),
            cuts: Vec::new(),
            held: Vec::new(),
            asks: Vec::new(),
            requests: HashMap::new(),
            next_request: 1,
            jobs: BTreeMap::new(),
            run_ms: BTreeMap::new(),
            done: BTreeMap::new(),
            aborted_at: BTreeMap::new(),
            abort_asked: BTreeSet::new(),
            told: BTreeMap::new(),
            breaches: Vec::new(),
            starts: BTreeMap::new(),
            mistaken: BTreeMap::new(),
            loss: 0.0,
            max_delay: 4,
            next_machine: 0,
            cloud_off: true,
            unlisted: BTreeSet::new(),
            mute: BTreeSet::new(),
            kept_copies: 0.0,
            kept: Vec::new(),
            boot_ms: (3_000, 3_000),
            list_lag_ms: 0,
            lost_hires: 0,
            fetch_gb_per_s: None,
            close_looks: false,
            cancel_at_end: 0.0,
            never: BTreeMap::new(),
            odd_answers: BTreeMap::new(),
            late_starts: Vec::new(),
            edges: Vec::new(),
            told_at: BTreeSet::new(),
            deaf: BTreeMap::new(),
            lost_starts: BTreeMap::new(),
            copies: None,
            hop_ms: None,
            keeps_idle: false,
            value_kb: None,
            returns_off: false,
            hires: BTreeMap::new(),
            limit_cpus,
            next: None,
            old: BTreeSet::new(),
            tables: BTreeMap::new(),
            withhold: BTreeMap::new(),
            named: BTreeMap::new(),
            paged: false,
            born_rev: vec![0; nodes],
            stepping: None,
            slow_clocks: seed % 2,
            seed,
        };
        for n in 0..nodes {
            w.nodes.push(None);
            w.start(n);
        }
        for _ in 0..workers {
            w.add_worker();
        }
        w
    }

    pub fn add_worker(&mut self) -> String {
        let n = self.next_machine;
        self.next_machine += 1;
        let name = format!("vm-{n:06}");
        let zone = ["a", "b"][n as usize % 2];
        self.boot(&name, zone, false);
        name
    }

    fn boot(&mut self, name: &str, zone: &str, spot: bool) {
        let worker = Worker {
            zone: zone.into(),
            kind: "k8".into(),
            cpus: 8.0,
            spot,
            tenure: 1,
            seq: 0,
            token: 0,
            node: 0,
            lease_from: self.now,
            lease_ms: LEASE_MS + self.slow_clocks * LEASE_MS / 2_000,
            tasks: BTreeMap::new(),
            dead: false,
            hung_until: 0,
            fails: false,
            waiting: false,
            hang_between: None,
            rest: (0, Vec::new()),
            inbox: Vec::new(),
            born_ms: self.now,
            images: BTreeSet::new(),
            fetching: BTreeMap::new(),
            fetched_ms: self.now,
        };
        self.workers.insert(name.into(), worker);
        self.after(10, Msg::Report { worker: name.into() });
        self.after(50, Msg::Work { worker: name.into() });
    }

    fn after(&mut self, ms: u64, msg: Msg) {
        self.count += 1;
        self.queue.push(Entry { at: self.now + ms, n: self.count, msg });
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(1..=self.max_delay)
    }

    // Faults.

    pub fn start(&mut self, n: usize) {
        let mut platform =
            platform(n, self.named.get(&n).copied().unwrap_or(self.lives.len()), self.limit_cpus);
        let next = self.next.clone().map(|n| serde_json::from_value(n).unwrap());
        platform.params.state.next = next;
        if let Some(kb) = self.value_kb {
            platform.params.state.value_kb = kb;
        }
        platform.check().unwrap();
        let withhold = self.withhold.get(&n).cloned().unwrap_or_default();
        let new_format = !self.old.contains(&n);
        let share_pages_below = if self.paged { 1.0 } else { 0.5 };
        let idle_ratio = if self.keeps_idle { 1_000.0 } else { Operator::default().idle_ratio };
        let operator =
            Operator { new_format, withhold, share_pages_below, idle_ratio, ..Operator::default() };
        let mut config = Config::new(platform, operator);
        config.table = self.table_of(n);
        self.born_rev[n] = self.state.rev;
        self.lives[n] += 1;
        let life = self.lives[n];
        let rng = SmallRng::seed_from_u64(self.seed * 100 + n as u64 * 10 + u64::from(life));
        let core = Controller::new(config, rng);
        self.nodes[n] = Some(Node {
            core,
            life,
            open: HashMap::new(),
            paused_until: 0,
            sockets: Vec::new(),
            pause_next: None,
            undone: Vec::new(),
        });
        self.after(1, Msg::Tick { node: n, life });
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n] = None;
    }

    pub fn kill_for(&mut self, n: usize, ms: u64) {
        self.kill(n);
        self.after(ms, Msg::Restart { node: n });
    }

    /// A machine ends with all that is on it and is back after so long, under its name and
    /// address, in a new session.
    pub fn reboot(&mut self, name: &str, ms: u64) {
        let Some(w) = self.workers.get_mut(name) else { return };
        w.dead = true;
        w.tasks.clear();
        w.tenure += 1;
        self.after(ms, Msg::Reborn { worker: name.into() });
    }

    /// Once all troubles are over: every job that was accepted and not cancelled is answered
    /// for within 75 s by every controller that is ready, however often it has to be asked.
    pub fn nobody_is_forgotten(&mut self) {
        let until = self.now + 75_000;
        let ready: Vec<usize> =
            (0..self.nodes.len()).filter(|n| self.nodes[*n].is_some()).collect();
        let asks: Vec<usize> =
            ready.iter().map(|n| self.ask(*n, "GET", "/ready", vec![])).collect();
        self.run(1_000);
        let ready = ready.into_iter().zip(asks).filter(|(_, a)| self.status(*a) == 200);
        let ready: Vec<usize> = ready.map(|(n, _)| n).collect();
        let kept = self.told.keys().filter(|j| !self.abort_asked.contains(*j));
        let mut open: Vec<(usize, String)> =
            kept.flat_map(|j| ready.iter().map(|n| (*n, j.clone()))).collect();
        let mut said: Vec<u16> = Vec::new();
        while !open.is_empty() && self.now < until {
            let asks: Vec<usize> = open.iter().map(|(n, j)| self.poll(*n, &j.clone())).collect();
            self.run(2_000);
            let left = open.into_iter().zip(asks).filter(|(_, a)| self.status(*a) != 200);
            (open, said) = left.map(|(o, a)| (o, self.status(a))).unzip();
        }
        assert!(
            open.is_empty(),
            "seed {}: not answered for within 75 s: {open:?}, {said:?}",
            self.seed
        );
        self.keep_rules();
    }

    /// A controller stands still while its clocks run on.
    pub fn pause(&mut self, n: usize, ms: u64) {
        let until = self.now + ms;
        if let Some(node) = self.nodes[n].as_mut() {
            node.paused_until = until;
            let life = node.life;
            self.after(ms, Msg::Wake { node: n, life });
        }
    }

    /// The same, between a round's decisions and their execution.
    pub fn pause_in_round(&mut self, n: usize, ms: u64) {
        if let Some(node) = self.nodes[n].as_mut() {
            node.pause_next = Some(ms);
        }
    }

    pub fn cut(&mut self, a: End, b: End, how: Cut) {
        self.cuts.push((a, b, how));
    }

    /// Ends all cuts; what was held arrives now.
    pub fn heal(&mut self) {
        self.cuts.clear();
        for (from, life, call) in std::mem::take(&mut self.held) {
            let d = self.delay();
            self.after(d, Msg::Call { from, life, call });
        }
    }

    /// Ends one cut; what it held arrives now.
    pub fn heal_between(&mut self, a: &End, b: &End) {
        if let Some(at) = self.cuts.iter().position(|(x, y, _)| (x, y) == (a, b)) {
            self.cuts.remove(at);
        }
        for (from, life, call) in std::mem::take(&mut self.held) {
            let open = self.target(from, &call).is_some_and(|to| {
                let node = End::Node(from);
                self.cut_between(&node, &to).is_none()
            });
            match open {
                true => {
                    let d = self.delay();
                    self.after(d, Msg::Call { from, life, call });
                }
                false => self.held.push((from, life, call)),
            }
        }
    }

    fn cut_between(&self, a: &End, b: &End) -> Option<Cut> {
        self.cuts
            .iter()
            .find(|(x, y, _)| (x, y) == (a, b) || (y, x) == (a, b))
            .map(|(_, _, how)| *how)
    }

    pub fn leader(&self) -> Option<usize> {
        let (value, _, _) = self.state.keys.get("view/leader")?;
        let leader: quartzgate_core::records::Leader = value.deserialized().ok()?;
        leader.node.trim_start_matches('n').parse().ok()
    }

    /// The revision of the view that stands: it rises with each new leader.
    pub fn view_stamp(&self) -> u64 {
        self.state.keys.get(VIEW).map_or(0, |(_, stamp, _)| *stamp)
    }

    // Users.

    pub fn ask(&mut self, node: usize, method: &'static str, path: &str, body: Vec<u8>) -> usize {
        let ask = self.asks.len();
        let mut parts = path.split('/');
        let told = match path {
            "/api/jobs" => named_in(&body),
            _ => parts.nth(3).map(String::from),
        };
        let told = told.and_then(|id| self.told.get(&id).copied());
        self.asks.push(Ask {
            node,
            method,
            path: path.into(),
            body,
            told,
            sent_ms: self.now,
            answer: None,
        });
        self.after(1, Msg::User { node, ask: ask as u64 });
        ask
    }

    pub fn submit(&mut self, node: usize, spec: &JobSpec) -> usize {
        self.jobs.insert(spec.id.clone(), spec.clone());
        self.ask(node, "POST", "/api/jobs", to_cbor(spec))
    }

    /// Jobs that a job needs, directly or through others.
    pub fn before(&self, id: &str) -> Vec<String> {
        let (mut out, mut open) = (Vec::new(), vec![id.to_string()]);
        while let Some(at) = open.pop() {
            for dep in self.jobs.get(&at).into_iter().flat_map(|j| &j.dependencies) {
                if !out.contains(dep) {
                    out.push(dep.clone());
                    open.push(dep.clone());
                }
            }
        }
        out
    }

    /// How a job stands on record.
    pub fn recorded(&self, id: &str) -> Option<quartzgate_core::records::RecordedStatus> {
        let (value, _, _) = self.state.keys.get(&format!("jobs/{id}"))?;
        value.deserialized::<quartzgate_core::records::JobRecord>().ok().map(|r| r.status)
    }

    /// What has been switched on.
    pub fn stands(&self) -> StandingRecord {
        let key = self.state.keys.get(FORMAT);
        key.map_or(StandingRecord::first(), |(v, _, _)| v.deserialized().unwrap())
    }

    /// No job shares a record: each is turned away that can't have one of its own.
    pub fn without_pages(&mut self) {
        for n in 0..self.size() {
            self.withhold.insert(n, vec!["format-4".into()]);
        }
        self.start_anew();
    }

    /// All controllers as their settings are now.
    pub fn start_anew(&mut self) {
        for n in 0..self.size() {
            self.kill(n);
            self.start(n);
        }
    }

    /// Writes that are held.
    pub fn steps_held(&self) -> usize {
        self.held.len()
    }

    /// Replaces a controller by one of another build: away for a moment, then back.
    pub fn replace(&mut self, n: usize, table: &'static Table, ms: u64) {
        self.old.remove(&n);
        self.tables.insert(n, table);
        self.kill_for(n, ms);
    }

    pub fn size(&self) -> usize {
        self.nodes.len()
    }

    pub fn is_up(&self, n: usize) -> bool {
        self.nodes[n].is_some()
    }

    /// The latch stands.
    pub fn latched(&self) -> bool {
        self.state.keys.contains_key("format")
    }

    pub fn abort(&mut self, node: usize, id: &str) -> usize {
        self.abort_asked.insert(id.to_string());
        self.ask(node, "POST", &format!("/api/jobs/{id}/abort"), Vec::new())
    }

    pub fn poll(&mut self, node: usize, id: &str) -> usize {
        self.ask(node, "GET", &format!("/api/jobs/{id}"), Vec::new())
    }

    pub fn status(&self, ask: usize) -> u16 {
        self.asks[ask].answer.as_ref().map_or(0, |r| r.status)
    }

    /// Submits until it is accepted, as a user would, on whatever node answers.
    pub fn submit_surely(&mut self, spec: &JobSpec) {
        self.insist(60_000, |w, n| w.submit(n, spec), |s| s == 200 || s == 201);
    }

    pub fn abort_surely(&mut self, id: &str) {
        self.insist(60_000, |w, n| w.abort(n, id), |s| s == 200);
    }

    /// Asks node after node until the answer is as wanted.
    pub fn insist(
        &mut self,
        within_ms: u64,
        mut ask: impl FnMut(&mut World, usize) -> usize,
        good: impl Fn(u16) -> bool,
    ) {
        let end = self.now + within_ms;
        let mut node = 0;
        while self.now < end {
            let a = ask(self, node);
            self.run(1_200);
            if good(self.status(a)) {
                return;
            }
            node = (node + 1) % self.nodes.len();
        }
        panic!("no answer as wanted within {within_ms} ms; breaches: {:?}", self.breaches);
    }

    /// Polls until the job is done.
    pub fn until_done(&mut self, id: &str, within_ms: u64) {
        let end = self.now + within_ms;
        let mut node = 0;
        while self.now < end {
            self.poll(node, id);
            self.run(500);
            if self.told.get(id) == Some(&JobStatus::Done) {
                return;
            }
            node = (node + 1) % self.nodes.len();
        }
        panic!(
            "{id} not done within {within_ms} ms; {:?}; breaches {:?}",
            self.done.get(id),
            self.breaches
        );
    }

    pub fn until(&mut self, within_ms: u64, what: &str, mut good: impl FnMut(&World) -> bool) {
        let end = self.now + within_ms;
        while self.now < end {
            if good(self) {
                return;
            }
            self.run(20);
        }
        panic!("{what}: not within {within_ms} ms; breaches: {:?}", self.breaches);
    }

    /// Tasks of a job that are on machines now.
    pub fn on(&self, id: &str) -> Vec<(String, String)> {
        let prefix = format!("{id}/");
        let mut out = Vec::new();
        for (name, w) in self.workers.iter().filter(|(_, w)| !w.dead) {
            for (t, h) in &w.tasks {
                if t.starts_with(&prefix) && h.status != TaskStatus::Exited {
                    out.push((t.clone(), name.clone()));
                }
            }
        }
        out
    }

    pub fn keep_rules(&self) {
        assert!(self.breaches.is_empty(), "seed {}: {:#?}", self.seed, self.breaches);
    }

    // The clock.

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some(e) = self.queue.peek() {
            if e.at > end {
                break;
            }
            let e = self.queue.pop().unwrap();
            self.now = e.at.max(self.now);
            self.step(e.msg);
        }
        self.now = end;
    }

    fn step(&mut self, msg: Msg) {
        match msg {
            Msg::Tick { node, life } => {
                if self.alive(node, life) {
                    self.feed(node, Event::Tick);
                    self.after(25, Msg::Tick { node, life });
                }
            }
            Msg::Wake { node, life } => {
                if !self.alive(node, life) {
                    return;
                }
                let n = self.nodes[node].as_mut().unwrap();
                if self.now < n.paused_until {
                    return;
                }
                let (undone, sockets) =
                    (std::mem::take(&mut n.undone), std::mem::take(&mut n.sockets));
                self.carry_out(node, life, undone);
                for event in sockets {
                    self.feed(node, event);
                }
            }
            Msg::Restart { node } => {
                if self.nodes[node].is_none() {
                    self.start(node);
                }
            }
            Msg::Call { from, life, call } => self.arrive(from, life, call),
            Msg::Outcome { node, life, call, outcome } => {
                if self.alive(node, life) {
                    let open = self.nodes[node].as_mut().unwrap().open.remove(&call).is_some();
                    if open {
                        self.feed(node, Event::Outcome { call, outcome });
                    }
                }
            }
            Msg::WatchEnd { node, life, call, starts, since, until } => {
                self.watch(node, life, call, starts, since, until)
            }
            Msg::Report { worker } => self.report(&worker),
            Msg::Checkin { worker, node, sent_ms, body } => {
                let end = End::Worker(worker.clone());
                if self.nodes[node].is_none() || self.cut_between(&end, &End::Node(node)).is_some()
                {
                    return;
                }
                let id = self.request(node, Asker::Worker(worker, sent_ms));
                let request = Request {
                    method: "POST".into(),
                    target: "/checkin".into(),
                    body,
                    close: false,
                };
                self.feed(node, Event::Client { id, request });
            }
            Msg::Answer { worker, sent_ms, status, body } => {
                self.worker_answer(&worker, sent_ms, status, &body)
            }
            Msg::Work { worker } => self.work(&worker),
            Msg::User { node, ask } => {
                if self.nodes[node].is_none() {
                    return;
                }
                let a = &self.asks[ask as usize];
                let request = Request {
                    method: a.method.into(),
                    target: a.path.clone(),
                    body: a.body.clone(),
                    close: false,
                };
                let id = self.request(node, Asker::User(ask));
                self.feed(node, Event::Client { id, request });
            }
            Msg::Copy { node, body } => {
                if self.nodes[node].is_some() {
                    let (method, target) = ("POST".into(), "/checkin".into());
                    let request = Request { method, target, body, close: false };
                    let id = self.request(node, Asker::Nobody);
                    self.feed(node, Event::Client { id, request });
                }
            }
            Msg::Reborn { worker } => {
                if let Some(w) = self.workers.get_mut(&worker) {
                    w.dead = false;
                    w.waiting = false;
                    w.lease_from = self.now;
                    self.after(1, Msg::Report { worker: worker.clone() });
                    self.after(2, Msg::Work { worker });
                }
            }
            Msg::Boot { machine, zone } => self.boot(&machine, &zone, false),
            Msg::LateWrite { from, txn } => {
                if self.state.down {
                    return self.after(100, Msg::LateWrite { from, txn });
                }
                self.carry_out_late(from, txn);
            }
            Msg::CancelDue { job } => {
                let now = self.now;
                for (name, w) in self.workers.iter().filter(|(_, w)| w.holds(now)) {
                    for (task, held) in &w.tasks {
                        let of = task.rsplit_once('/').is_some_and(|(j, _)| j == job);
                        if of && held.status != TaskStatus::Exited {
                            let breach = format!("ran_cancelled {task} still on {name} at {now}");
                            self.breaches.push(breach);
                        }
                    }
                }
            }
        }
    }

    fn alive(&self, node: usize, life: u32) -> bool {
        self.nodes[node].as_ref().is_some_and(|n| n.life == life)
    }

    fn request(&mut self, node: usize, asker: Asker) -> u64 {
        let id = self.next_request;
        self.next_request += 1;
        let life = self.nodes[node].as_ref().unwrap().life;
        self.requests.insert((node, life, id), asker);
        id
    }

    /// A controller's steady clock: up to 0.05% fast or slow where clocks differ.
    fn steady_ms(&self, node: usize) -> u64 {
        let off = self.slow_clocks * self.now / 2_000;
        [self.now - off, self.now, self.now + off][node % 3]
    }

    fn feed(&mut self, node: usize, event: Event) {
        let now = Now { steady_ms: self.steady_ms(node), wall_ms: 1_000_000 + self.now };
        let at = self.now;
        let Some(n) = self.nodes[node].as_mut() else { return };
        if at < n.paused_until {
            if !matches!(event, Event::Tick) {
                n.sockets.push(event);
            }
            return;
        }
        let life = n.life;
        let actions = n.core.handle(now, event);
        let busy = !actions.is_empty();
        if let Some(ms) = n.pause_next.take_if(|_| busy) {
            n.undone = actions;
            return self.pause(node, ms);
        }
        self.carry_out(node, life, actions);
    }

    fn carry_out(&mut self, node: usize, life: u32, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Answer { id, response } => self.answered(node, life, id, response),
                Action::Call(call) => self.send(node, life, call),
            }
        }
    }

    fn target(&self, from: usize, call: &Call) -> Option<End> {
        Some(match &call.peer {
            Peer::State => End::State,
            Peer::Cloud => End::Cloud,
            Peer::Sibling(at) => End::Node(if *at >= from { at + 1 } else { *at }),
            Peer::Worker(addr) => {
                let ip = addr.ip().to_string();
                let parts: Vec<u32> = ip.split('.').map(|p| p.parse().unwrap()).collect();
                End::Worker(format!("vm-{:06}", parts[2] * 250 + parts[3] - 1))
            }
        })
    }

    fn send(&mut self, from: usize, life: u32, call: Call) {
        let id = call.id;
        self.nodes[from].as_mut().unwrap().open.insert(id, ());
        let lost = Msg::Outcome { node: from, life, call: id, outcome: Outcome::Lost };
        self.after(call.timeout_ms, lost);
        let Some(to) = self.target(from, &call) else { return };
        self.note_late_starts(from, &call);
        match self.cut_between(&End::Node(from), &to) {
            Some(Cut::Drop) => return,
            Some(Cut::Hold) => {
                self.held.push((from, life, call));
                return;
            }
            None => {}
        }
        if self.rng.random_bool(self.loss) {
            return;
        }
        let d = self.delay() + self.slowness(&to);
        self.after(d, Msg::Call { from, life, call });
    }

    /// What the state service takes beyond the network's delay.
    fn slowness(&mut self, end: &End) -> u64 {
        match (end, self.state.slow_ms) {
            (End::State, ms @ 1..) => self.rng.random_range(0..ms),
            _ => 0,
        }
    }

    fn back(&mut self, node: usize, life: u32, call: CallId, response: Response, from: &End) {
        if self.cut_between(&End::Node(node), from).is_some() || self.rng.random_bool(self.loss) {
            return;
        }
        let d = self.delay() + self.slowness(from);
        let outcome = Outcome::Answer(response);
        self.after(d, Msg::Outcome { node, life, call, outcome });
    }

    fn arrive(&mut self, from: usize, life: u32, call: Call) {
        let Some(to) = self.target(from, &call) else { return };
        match &to {
            End::State => self.state_call(from, life, call),
            End::Cloud => {
                let r = self.cloud_call(&call);
                let hires = call.method == "POST" && call.target == "/machines";
                if hires && r.status == 200 && self.lost_hires > 0 {
                    self.lost_hires -= 1;
                    return;
                }
                self.back(from, life, call.id, r, &to);
            }
            End::Node(n) => {
                if self.nodes[*n].is_none() {
                    return;
                }
                let id = self.request(*n, Asker::Node(from, life, call.id));
                let request = Request {
                    method: call.method.into(),
                    target: call.target,
                    body: call.body,
                    close: false,
                };
                self.feed(*n, Event::Mesh { id, request });
            }
            End::Worker(name) => {
                let name = name.clone();
                self.worker_call(&name, from, life, call)
            }
        }
    }

    fn answered(&mut self, node: usize, life: u32, id: u64, response: Response) {
        match self.requests.remove(&(node, life, id)) {
            Some(Asker::User(ask)) => self.user_answer(ask as usize, response),
            Some(Asker::Worker(worker, sent_ms)) => {
                let end = End::Worker(worker.clone());
                if self.cut_between(&end, &End::Node(node)).is_some() {
                    return;
                }
                let d = self.delay();
                let Response { status, body, .. } = response;
                self.after(d, Msg::Answer { worker, sent_ms, status, body });
            }
            Some(Asker::Node(asker, asker_life, call)) => {
                if self.cut_between(&End::Node(asker), &End::Node(node)).is_some() {
                    return;
                }
                let d = self.delay();
                let outcome = Outcome::Answer(response);
                self.after(d, Msg::Outcome { node: asker, life: asker_life, call, outcome });
            }
            Some(Asker::Nobody) | None => {}
        }
    }

    fn user_answer(&mut self, ask: usize, response: Response) {
        let patience = if self.asks[ask].method == "GET" { 2_000 } else { 5_000 };
        if self.now > self.asks[ask].sent_ms + patience {
            return;
        }
        let id = match self.asks[ask].path.as_str() {
            "/api/jobs" => named_in(&self.asks[ask].body).unwrap_or_default(),
            path => path.split('/').nth(3).unwrap_or("").to_string(),
        };
        if response.status == 503 && response.retry_after_s.is_none() {
            self.breaches.push("a 503 without Retry-After".into());
        }
        self.check_refusal(ask, &id, response.status);
        let known = self.told.get(&id).copied();
        let asks_after = self.asks[ask].path != "/api/jobs";
        match response.status {
            200 | 201 => {
                if let Ok(a) = from_cbor::<JobAnswer>(&response.body) {
                    if !self.jobs.contains_key(&id) {
                        self.breaches.push(format!("invented {id}"));
                    }
                    let ended = |s: Option<JobStatus>| {
                        matches!(s, Some(JobStatus::Done | JobStatus::Aborted))
                    };
                    let told = self.asks[ask].told;
                    if ended(told) && told != Some(a.status) {
                        self.breaches.push(format!("went_back {id}: {told:?} then {:?}", a.status));
                    }
                    if a.status == JobStatus::Done {
                        let all = self.jobs.get(&id).map_or(0, |j| j.tasks as usize);
                        if self.done.get(&id).map_or(0, |d| d.len()) < all {
                            self.breaches.push(format!("not_done {id}"));
                        }
                    }
                    let cut_off = self
                        .before(&id)
                        .into_iter()
                        .filter_map(|p| self.aborted_at.get(&p).copied());
                    let first = cut_off.min();
                    let lives = matches!(a.status, JobStatus::Queued | JobStatus::Running);
                    if lives && first.is_some_and(|at| self.now > at + CANCEL_MS) {
                        self.breaches.push(format!("orphaned {id}: {:?}", a.status));
                    }
                    let asked = self.abort_asked.contains(&id);
                    let behind = self.before(&id).iter().any(|p| self.abort_asked.contains(p));
                    if a.status == JobStatus::Aborted && !asked && !behind {
                        self.breaches.push(format!("went_back {id}: nobody cancelled it"));
                    }
                    if a.status == JobStatus::Aborted {
                        let now = self.now;
                        let node = self.asks[ask].node;
                        self.told_at.insert((node, self.lives[node], id.clone()));
                        // To the millisecond, from the first confirmation that a user got.
                        if !self.aborted_at.contains_key(&id) {
                            self.aborted_at.insert(id.clone(), now);
                            self.edges.push((now, Edge::Confirmed));
                            self.after(CANCEL_MS + 1, Msg::CancelDue { job: id.clone() });
                        }
                    }
                    let (one, other) = (known, Some(a.status));
                    if ended(one) && ended(other) && one != other {
                        self.breaches.push(format!("went_back {id}: {one:?} and {other:?}"));
                    }
                    let news = known.is_none() || ended(one) != ended(other);
                    if !ended(known) {
                        self.told.insert(id.clone(), a.status);
                    }
                    if news && self.close_looks {
                        self.look_closely(&id);
                    }
                }
            }
            // What is sent along with the submission may be decided before it.
            404 if known.is_some() && self.asks[ask].told.is_none() && asks_after => {}
            404 | 400 | 422 if known.is_some() => {
                self.breaches.push(format!("forgotten {id}: {}", response.status))
            }
            _ => {}
        }
        self.asks[ask].answer = Some(response);
    }

    // The state service.

    fn state_call(&mut self, from: usize, life: u32, call: Call) {
        self.state.requests += 1;
        self.expire_leases();
        let watch = call.target.starts_with("/changes");
        if self.state.down || self.state.refuses.contains(&from) {
            if watch {
                return;
            }
            return self.back(from, life, call.id, Response::new(503, Vec::new()), &End::State);
        }
        let ok = |body: Vec<u8>| Response::new(200, body);
        let target = call.target.clone();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let arg = |name: &str| {
            query.split('&').find_map(|p| p.strip_prefix(&format!("{name}=")[..]).map(String::from))
        };
        let now = self.now;
        let response = if path == "/keys" {
            let starts = arg("starts").unwrap();
            let since = arg("since").unwrap_or_default();
            self.state.page_reads += u64::from(starts == PAGES && since.is_empty());
            let most = self.state.page.unwrap_or(usize::MAX);
            let found = |k: &String| k.starts_with(&starts) && *k > since;
            let more = self.state.keys.keys().filter(|k| found(k)).count() > most;
            let pairs: Vec<Pair> = self
                .state
                .keys
                .iter()
                .filter(|(k, _)| found(k))
                .take(most)
                .map(|(k, (v, s, _))| Pair {
                    path: k.clone(),
                    value: v.clone(),
                    stamp: *s,
                    permit: None,
                })
                .collect();
            ok(to_cbor(&PairList { pairs, more, ledger_rev: self.state.rev }))
        } else if let Some(key) = path.strip_prefix("/keys/") {
            match self.state.keys.get(key) {
                Some((v, s, p)) => {
                    ok(to_cbor(&Pair { path: key.into(), value: v.clone(), stamp: *s, permit: *p }))
                }
                None => Response::new(404, Vec::new()),
            }
        } else if path == "/multi" {
            let txn: Transaction = from_cbor(&call.body).unwrap();
            let word =
                |c: &Change| matches!(c, Change::Set { set, .. } if set.starts_with(FORMAT_NODES));
            // The first version leaves no word of what it can do.
            if self.old.contains(&from) && txn.apply.iter().any(word) {
                let body =
                    to_cbor(&TransactionAnswer { ledger_rev: self.state.rev, failed: Vec::new() });
                return self.back(from, life, call.id, Response::new(200, body), &End::State);
            }
            let post = quartzgate_core::records::POST;
            let is_post =
                |c: &Change| matches!(c, Change::Set { set, .. } if set.starts_with(post));
            let late = self.state.refuses_late.filter(|(node, _)| *node == from);
            if late.is_some() || self.state.no_post && txn.apply.iter().any(is_post) {
                let outcome = Outcome::Answer(Response::new(503, Vec::new()));
                let ms = late.map_or(1, |(_, ms)| ms);
                return self.after(ms, Msg::Outcome { node: from, life, call: call.id, outcome });
            }
            let sets = |key: &str| {
                txn.apply.iter().any(|c| matches!(c, Change::Set { set, .. } if set == key))
            };
            if let Some((_, ms)) = self.state.busy_for.take_if(|(key, _)| sets(key)) {
                let outcome = Outcome::Answer(Response::new(429, Vec::new()));
                return self.after(ms, Msg::Outcome { node: from, life, call: call.id, outcome });
            }
            let step = |c: &Change| matches!(c, Change::Set { set, .. } if set == FORMAT);
            if self.state.hold_steps && txn.apply.iter().any(step) {
                return self.held.push((from, life, call));
            }
            if let Some(what) = self.fate_of(&txn) {
                self.edges.push((now, Edge::Unanswered));
                match what {
                    Unanswered::AtOnce => self.carry_out_late(from, txn),
                    Unanswered::Late(ms) => self.after(ms, Msg::LateWrite { from, txn }),
                }
                return;
            }
            if let Some(late) = self.state.late_writes {
                if self.rng.random_bool(late.share) {
                    self.edges.push((now, Edge::Unanswered));
                    let ms = self.rng.random_range(late.from_ms..=late.to_ms);
                    return self.after(ms, Msg::LateWrite { from, txn });
                }
            }
            if txn.apply.iter().any(step) {
                self.stepping = Some(from);
            }
            let answer = self.transact(txn);
            if self.state.swallow_answers > 0 {
                self.state.swallow_answers -= 1;
                return;
            }
            answer
        } else if path == "/leases" {
            let ttl = from_cbor::<LeaseRequest>(&call.body).unwrap().ttl_ms;
            self.state.next_lease += 1;
            let permit = self.state.next_lease;
            self.state.leases.insert(permit, (now + ttl, ttl));
            ok(to_cbor(&LeaseAnswer { permit }))
        } else if let Some(rest) = path.strip_prefix("/leases/") {
            let permit: u64 = rest.trim_end_matches("/renew").parse().unwrap();
            match self.state.leases.get_mut(&permit) {
                Some((until, ttl)) => {
                    *until = now + *ttl;
                    ok(Vec::new())
                }
                None => Response::new(404, Vec::new()),
            }
        } else {
            let since: u64 = arg("since").unwrap().parse().unwrap();
            let block: u64 = arg("block_ms").unwrap().parse().unwrap();
            if self.state.keeps_changes.is_some_and(|n| since + n < self.state.rev) {
                let gone = Response::new(410, Vec::new());
                return self.back(from, life, call.id, gone, &End::State);
            }
            return self.watch(from, life, call.id, arg("starts").unwrap(), since, now + block);
        };
        self.back(from, life, call.id, response, &End::State);
    }

    /// Answers a watch if there is something to tell or its time is up, else comes back.
    fn watch(
        &mut self,
        node: usize,
        life: u32,
        call: CallId,
        starts: String,
        since: u64,
        until: u64,
    ) {
        self.expire_leases();
        let log: Vec<ChangeEvent> = self
            .state
            .log
            .iter()
            .skip(self.state.log.partition_point(|e| e.stamp <= since))
            .filter(|e| {
                let key = e.set.as_ref().or(e.delete.as_ref()).unwrap();
                key.starts_with(&starts)
            })
            .cloned()
            .collect();
        // Open watches wait through an outage.
        let mute = self.state.no_inbox && starts == quartzgate_core::records::INBOX;
        let log = if mute { Vec::new() } else { log };
        let deaf = self.state.down || self.state.refuses.contains(&node);
        if deaf || log.is_empty() && self.now < until {
            return self.after(10, Msg::WatchEnd { node, life, call, starts, since, until });
        }
        let body = to_cbor(&ChangeLog { ledger_rev: self.state.rev, log });
        self.back(node, life, call, Response::new(200, body), &End::State);
    }

    fn transact(&mut self, txn: Transaction) -> Response {
        let failed: Vec<String> = txn
            .guards
            .iter()
            .filter(|g| self.state.keys.get(&g.path).map_or(0, |k| k.1) != g.stamp)
            .map(|g| g.path.clone())
            .collect();
        if !failed.is_empty() {
            let body = to_cbor(&TransactionAnswer { ledger_rev: self.state.rev, failed });
            return Response::new(409, body);
        }
        if let Some(refusal) = self.beyond_limits(&txn) {
            return Response::new(refusal, Vec::new());
        }
        let lost = txn.apply.iter().any(|c| {
            matches!(c, Change::Set { permit: Some(p), .. } if !self.state.leases.contains_key(p))
        });
        if lost {
            return Response::new(400, Vec::new());
        }
        self.check_epochs(&txn);
        self.check_steps(&txn);
        if txn.apply.iter().any(|c| matches!(c, Change::Set { set, .. } if set == VIEW)) {
            self.edges.push((self.now, Edge::Elected));
            self.release_copies();
        }
        if !txn.apply.is_empty() {
            self.state.rev += 1;
        }
        let stamp = self.state.rev;
        for change in txn.apply {
            if let Change::Set { set, value, .. } = &change {
                self.state.journal.push((set.clone(), value.clone()));
            }
            self.state.writes += 1;
            let event = match change {
                Change::Set { set, value, permit } => {
                    self.state.keys.insert(set.clone(), (value.clone(), stamp, permit));
                    ChangeEvent { set: Some(set), delete: None, value: Some(value), stamp }
                }
                Change::Delete { delete } => {
                    self.state.keys.remove(&delete);
                    ChangeEvent { set: None, delete: Some(delete), value: None, stamp }
                }
            };
            self.state.log.push(event);
        }
        self.check_places();
        let body = to_cbor(&TransactionAnswer { ledger_rev: stamp, failed: Vec::new() });
        Response::new(200, body)
    }

    /// What the state service's limits say of a transaction whose conditions hold.
    fn beyond_limits(&mut self, txn: &Transaction) -> Option<u16> {
        let set = |c: &Change| match c {
            Change::Set { set, value, .. } => Some((set.clone(), value.clone())),
            Change::Delete { .. } => None,
        };
        let sets: Vec<_> = txn.apply.iter().filter_map(set).collect();
        let poisoned = self.state.poison.as_ref();
        let bad = |key: &String| poisoned.is_some_and(|p| key.contains(p));
        let (most, ops, rate) = self.state.limits.unwrap_or((usize::MAX, usize::MAX, 0.0));
        let size = |v| serde_json::to_string(v).unwrap().len();
        let large = sets.iter().any(|(k, v)| bad(k) || size(v) > most);
        if large || txn.apply.len() > ops || txn.guards.len() > ops.saturating_mul(4) {
            self.state.too_large += 1;
            return Some(400);
        }
        if rate > 0.0 {
            let passed = (self.now - self.state.tokens_at) as f64 / 1e3;
            self.state.tokens = (self.state.tokens + passed * rate).min(rate);
            self.state.tokens_at = self.now;
            if self.state.tokens < txn.apply.len() as f64 {
                self.state.too_many += 1;
                return Some(429);
            }
            self.state.tokens -= txn.apply.len() as f64;
        }
        None
    }

    /// What stands only grows, a step at a time, and no controller that lives, as far as
    /// the state service knows, lacks what is switched on.
    fn check_steps(&mut self, txn: &Transaction) {
        for change in &txn.apply {
            let Change::Set { set, value, .. } = change else { continue };
            if set != FORMAT {
                continue;
            }
            let read = |v: &Value| v.deserialized::<StandingRecord>().unwrap();
            let old = self.state.keys.get(FORMAT);
            let old = old.map_or(StandingRecord::first(), |k| read(&k.0));
            let new = read(value);
            let steps = new.version - old.version.min(new.version)
                + new.features.difference(&old.features).count() as u32;
            if self.stepping != self.leader() {
                self.breaches
                    .push(format!("{new:?} was set by {:?}, not the leader", self.stepping));
            }
            if !new.covers(&old) || steps != 1 {
                self.breaches.push(format!("{new:?} was set over {old:?}"));
            }
            for n in 0..self.nodes.len() {
                let lives = self.nodes[n].is_some()
                    && self.state.keys.contains_key(&format!("members/n{n}"))
                    && self.knew_life(n);
                let table = self.table_of(n);
                let ladder = Ladder::new(table, BTreeSet::new());
                let knows = matches!(ladder.understand(Some(new.clone())), Stands::At(_));
                if lives && (!knows || self.old.contains(&n)) {
                    self.breaches.push(format!("{new:?} was set while n{n} lives, which lacks it"));
                }
            }
        }
    }

    /// The key on a controller's lease is of its present life.
    fn knew_life(&self, n: usize) -> bool {
        let key = self.state.keys.get(&format!("members/n{n}"));
        key.is_some_and(|k| k.1 > self.born_rev[n])
    }

    fn table_of(&self, n: usize) -> &'static Table {
        self.tables.get(&n).copied().unwrap_or(&TABLE)
    }

    /// A live job that was told to be accepted stands in a page or in a record of its own,
    /// and its share in one place only.
    fn check_places(&mut self) {
        let mut paged = BTreeSet::new();
        for (_, v) in self.state.keys.iter().filter(|(k, _)| k.starts_with(PAGES)) {
            match v.0.deserialized::<PageRecord>() {
                Ok(page) => paged.extend(page.ids().cloned()),
                Err(_) => return,
            }
        }
        for id in self.told.keys() {
            let own = self.state.keys.get(&format!("jobs/{id}"));
            if own.is_none() && !paged.contains(id) {
                self.breaches.push(format!("{id} stands nowhere"));
            }
            let record = own.and_then(|k| k.0.deserialized::<JobRecord>().ok());
            let inline = record.is_some_and(|r| r.share.is_some());
            if inline && self.state.keys.contains_key(&format!("shares/{id}/0/0")) {
                self.breaches.push(format!("the share of {id} stands in two places"));
            }
        }
    }

    /// No share is ever written by an owner of an earlier view.
    fn check_epochs(&mut self, txn: &Transaction) {
        use quartzgate_core::records::{read_share, View, SHARES};
        let view = self.state.keys.get(VIEW).and_then(|(v, _, _)| v.deserialized::<View>().ok());
        let epoch = view.map_or(0, |v| v.epoch);
        for change in &txn.apply {
            let Change::Set { set, value, .. } = change else { continue };
            let share = read_share(set, value, 1).map(|s| s.record);
            if set.starts_with(SHARES) && share.is_some_and(|s| s.epoch < epoch) {
                self.breaches.push(format!("{set} written by an owner of an earlier epoch"));
            }
        }
    }

    fn expire_leases(&mut self) {
        let now = self.now;
        if self.state.down {
            for (until, ttl) in self.state.leases.values_mut() {
                *until = (*until).max(now + *ttl);
            }
            return;
        }
        let over: Vec<u64> =
            self.state.leases.iter().filter(|(_, (u, _))| *u < now).map(|(p, _)| *p).collect();
        for permit in over {
            self.state.leases.remove(&permit);
            let keys: Vec<String> = self
                .state
                .keys
                .iter()
                .filter(|(_, (_, _, p))| *p == Some(permit))
                .map(|(k, _)| k.clone())
                .collect();
            for key in keys {
                self.transact(Transaction {
                    guards: Vec::new(),
                    apply: vec![Change::Delete { delete: key }],
                });
            }
        }
    }

    // The cloud.

    fn cloud_call(&mut self, call: &Call) -> Response {
        let path = call.target.split('?').next().unwrap();
        match (call.method, path) {
            ("GET", "/machine_types") => {
                let t = MachineType {
                    name: "k8".into(),
                    cpus: 8.0,
                    gpus: 0.0,
                    memory_gb: MEMORY_GB,
                    cache_gb: 50.0,
                    fetch_gb_per_s: 1.0,
                    price: 0.4,
                    spot_price: 0.1,
                    boot_s: 3.0,
                    zones: vec!["a".into(), "b".into()],
                };
                Response::new(200, to_cbor(&MachineTypes { types: vec![t] }))
            }
            ("GET", _) => {
                let machines = self
                    .workers
                    .iter()
                    .filter(|(name, _)| !self.unlisted.contains(*name))
                    .filter(|(_, w)| self.now >= w.born_ms + self.list_lag_ms)
                    .map(|(name, w)| ListedMachine {
                        name: name.clone(),
                        addr: addr_of(name),
                        kind: w.kind.clone(),
                        zone: w.zone.clone(),
                        spot: w.spot,
                        status: CloudStatus::Running,
                        age_s: match self.list_lag_ms {
                            0 => 50.0,
                            _ => (self.now - w.born_ms) as f64 / 1e3 + 0.1,
                        },
                    })
                    .collect();
                Response::new(200, to_cbor(&MachineList { machines, more: false }))
            }
            ("POST", "/machines/return") if self.returns_off => Response::new(503, Vec::new()),
            ("POST", "/machines/return") => {
                let names: MachineNames = from_cbor(&call.body).unwrap();
                for n in names.machines {
                    self.workers.remove(&n);
                }
                Response::new(200, Vec::new())
            }
            _ => {
                let hire: HireRequest = from_cbor(&call.body).unwrap();
                if self.cloud_off {
                    return Response::new(503, Vec::new());
                }
                if let Some(known) = self.hires.get(&hire.hire) {
                    return Response::new(200, to_cbor(&MachineNames { machines: known.clone() }));
                }
                let mut machines = Vec::new();
                for _ in 0..hire.count.min(4) {
                    let name = format!("vm-{:06}", self.next_machine);
                    self.next_machine += 1;
                    let zone = hire.zone.clone();
                    let ms = self.rng.random_range(self.boot_ms.0..=self.boot_ms.1);
                    self.after(ms, Msg::Boot { machine: name.clone(), zone });
                    machines.push(name);
                }
                self.hires.insert(hire.hire, machines.clone());
                Response::new(200, to_cbor(&MachineNames { machines }))
            }
        }
    }

    // Workers.

    pub fn report_of(&mut self, name: &str) -> Option<Report> {
        let w = self.workers.get_mut(name)?;
        w.seq += 1;
        Some(Report {
            machine: name.into(),
            addr: addr_of(name),
            kind: w.kind.clone(),
            zone: w.zone.clone(),
            spot: w.spot,
            tenure: w.tenure,
            seq: w.seq,
            token: w.token,
            notice_s: None,
            tasks: w
                .tasks
                .iter()
                .map(|(t, h)| ReportTask {
                    task: t.clone(),
                    attempt: h.attempt,
                    status: h.status,
                    cause: h.cause,
                    saved: None,
                })
                .collect(),
        })
    }

    fn report(&mut self, name: &str) {
        let jitter = self.rng.random_range(0..REPORT_MS / 2);
        let now = self.now;
        let Some(w) = self.workers.get(name) else { return };
        if w.dead {
            return;
        }
        self.after(REPORT_MS * 3 / 4 + jitter, Msg::Report { worker: name.into() });
        let w = self.workers.get_mut(name).unwrap();
        if now < w.hung_until || w.waiting {
            return;
        }
        w.waiting = true;
        let node = w.node;
        let body = to_cbor(&self.report_of(name).unwrap());
        let worker = name.to_string();
        if let Some(c) = self.copies {
            if self.rng.random_bool(c.share) {
                let late = self.rng.random_range(c.from_ms..=c.to_ms);
                let node = self.rng.random_range(0..self.nodes.len());
                self.after(late, Msg::Copy { node, body: body.clone() });
            }
        }
        if self.kept_copies > 0.0 && self.rng.random_bool(self.kept_copies) {
            self.keep_copy(body.clone());
        }
        // No answer within four seconds: the next node.
        self.after(
            4_000,
            Msg::Answer { worker: worker.clone(), sent_ms: now, status: 0, body: Vec::new() },
        );
        let end = End::Worker(worker.clone());
        if self.mute.contains(&worker) {
            return;
        }
        if self.nodes[node].is_none() {
            return self
                .after(1, Msg::Answer { worker, sent_ms: now, status: 1, body: Vec::new() });
        }
        if self.cut_between(&end, &End::Node(node)).is_none() && !self.rng.random_bool(self.loss) {
            let d = self.delay();
            self.after(d, Msg::Checkin { worker, node, sent_ms: now, body });
        }
    }

    fn worker_answer(&mut self, name: &str, sent_ms: u64, status: u16, body: &[u8]) {
        let nodes = self.nodes.len();
        let now = self.now;
        let unheard = self.deaf.get(name).is_some_and(|d| d.answers) && status > 1;
        let Some(w) = self.workers.get_mut(name).filter(|_| !unheard) else { return };
        if w.dead || !w.waiting || now > sent_ms + 4_000 || now < w.hung_until {
            if now >= sent_ms + 4_000 && status == 0 {
                w.waiting = false;
            }
            return;
        }
        if status == 0 && now < sent_ms + 4_000 {
            return;
        }
        w.waiting = false;
        match status {
            200 => {
                let Ok(a) = from_cbor::<ReportAnswer>(body) else { return };
                if a.token < w.token {
                    return;
                }
                w.token = a.token;
                w.lease_from = w.lease_from.max(sent_ms);
                self.execute(name, a.orders);
            }
            421 => {
                let owner = from_cbor::<Redirect>(body).ok().and_then(|r| r.owner);
                let to = owner.and_then(|o| o.trim_start_matches('n').parse::<usize>().ok());
                match to {
                    Some(n) if n != w.node => {
                        w.node = n;
                        self.after(100, Msg::Report { worker: name.into() });
                    }
                    _ => {
                        w.node = (w.node + 1) % nodes;
                        if let Some(ms) = self.hop_ms {
                            self.after(ms, Msg::Report { worker: name.into() });
                        }
                    }
                }
            }
            _ => w.node = (w.node + 1) % nodes,
        }
    }

    fn worker_call(&mut self, name: &str, from: usize, life: u32, call: Call) {
        let now = self.now;
        if self.deaf.get(name).is_some_and(|d| d.orders) {
            let orders = from_cbor::<OrdersRequest>(&call.body).map_or(Vec::new(), |o| o.orders);
            let starts = orders.iter().filter(|o| matches!(o, Order::Start { .. })).count();
            *self.lost_starts.entry(name.to_string()).or_default() += starts as u32;
            return;
        }
        let Some(w) = self.workers.get_mut(name) else { return };
        if w.dead {
            return;
        }
        if now < w.hung_until {
            w.inbox.push((from, life, call));
            return;
        }
        self.expire_session(name);
        let end = End::Worker(name.to_string());
        let mut status = 200;
        if call.target == "/orders" {
            let o: OrdersRequest = from_cbor(&call.body).unwrap();
            let w = self.workers.get_mut(name).unwrap();
            if o.token < w.token || o.tenure != w.tenure {
                status = 409;
            } else {
                w.token = o.token;
                self.execute(name, o.orders);
            }
        }
        let body = to_cbor(&self.report_of(name).unwrap());
        self.back(from, life, call.id, Response::new(status, body), &end);
    }

    fn execute(&mut self, name: &str, mut orders: Vec<Order>) {
        let now = self.now;
        let w = self.workers.get_mut(name).unwrap();
        if let Some((after, ms)) = w.hang_between.take_if(|(after, _)| orders.len() > *after) {
            w.rest = (w.tenure, orders.split_off(after));
            w.hung_until = now + ms;
        }
        for order in orders {
            match order {
                Order::Start { task, attempt } => self.start_task(name, task, attempt),
                Order::Stop { task, attempt, .. } => {
                    let w = self.workers.get_mut(name).unwrap();
                    if let Some(h) = w.tasks.get_mut(&task) {
                        if h.attempt == attempt && h.status != TaskStatus::Exited {
                            h.status = TaskStatus::Exited;
                            h.cause = Some(Cause::Stopped);
                        }
                    }
                }
                Order::Forget { task, attempt } => {
                    let w = self.workers.get_mut(name).unwrap();
                    if w.tasks
                        .get(&task)
                        .is_some_and(|h| h.attempt == attempt && h.status == TaskStatus::Exited)
                    {
                        w.tasks.remove(&task);
                        self.edges.push((now, Edge::Cleared));
                    }
                }
            }
        }
    }

    fn start_task(&mut self, name: &str, task: String, attempt: u64) {
        let now = self.now;
        let (job_id, n) = task.rsplit_once('/').unwrap();
        let n: u32 = n.parse().unwrap();
        let Some(spec) = self.jobs.get(job_id).cloned() else { return };
        if let Some(h) = self.workers[name].tasks.get(&task) {
            if h.attempt == attempt || h.status != TaskStatus::Exited {
                return;
            }
        }
        // The rules.
        for (other, w) in &self.workers {
            let here = w.tasks.get(&task).is_some_and(|h| h.status != TaskStatus::Exited);
            if other != name && here && w.holds(now) {
                self.breaches.push(format!("ran_twice {task}: {name} while on {other} at {now}"));
            }
        }
        if self.aborted_at.get(job_id).is_some_and(|a| now > a + CANCEL_MS) {
            self.breaches.push(format!("ran_cancelled {task} at {now}"));
        }
        let used: f64 = self
            .workers
            .values()
            .filter(|w| w.holds(now))
            .flat_map(|w| &w.tasks)
            .filter(|(_, h)| h.status != TaskStatus::Exited)
            .filter_map(|(t, _)| self.jobs.get(t.rsplit_once('/').unwrap().0))
            .map(|s| s.cpus)
            .sum();
        for dep in &spec.dependencies {
            let all = self.jobs.get(dep).map_or(0, |j| j.tasks as usize);
            if self.done.get(dep).map_or(0, |d| d.len()) < all {
                self.breaches.push(format!("too_early {task}: {dep} is not done at {now}"));
            }
            use quartzgate_core::records::RecordedStatus;
            if self.recorded(dep) != Some(RecordedStatus::Done) {
                self.breaches.push(format!("{task} starts before {dep}'s end is on record"));
            }
        }
        if self.limit_cpus > 0.0 && used + spec.cpus > self.limit_cpus + 1e-6 {
            self.breaches.push(format!("quota: {} CPUs at {now}", used + spec.cpus));
        }
        if spec.spread {
            let zone = self.workers[name].zone.clone();
            let there = self
                .workers
                .values()
                .filter(|w| w.zone == zone && w.holds(now))
                .flat_map(|w| &w.tasks)
                .filter(|(t, h)| {
                    t.rsplit_once('/').unwrap().0 == job_id && h.status != TaskStatus::Exited
                })
                .count() as u32;
            if there + 1 > spec.tasks.div_ceil(2) {
                self.breaches.push(format!("wrong_place {task}: {} in {zone}", there + 1));
            }
        }
        self.check_place(name, &spec);
        let finished = self.done.get(job_id).is_some_and(|d| d.contains(&n));
        let run = match (finished, spec.shape) {
            (true, _) => 0,
            (_, Shape::Service) => u64::MAX / 2,
            _ => self.run_of(&task),
        };
        let mistaken = self.mistaken.get_mut(job_id).map(|failed| *failed += 1).is_some();
        let w = self.workers.get_mut(name).unwrap();
        let used: f64 = w
            .tasks
            .iter()
            .filter(|(_, h)| h.status != TaskStatus::Exited)
            .filter_map(|(t, _)| self.jobs.get(t.rsplit_once('/').unwrap().0))
            .map(|s| s.cpus)
            .sum();
        let (status, cause) = if used + spec.cpus > w.cpus + 1e-6 {
            (TaskStatus::Exited, Some(Cause::NoRoom))
        } else if w.fails || mistaken {
            (TaskStatus::Exited, Some(Cause::Error))
        } else if w.has_to_fetch(&spec, self.fetch_gb_per_s.is_some()) {
            (TaskStatus::Fetching, None)
        } else if spec.shape == Shape::Gang {
            (TaskStatus::Waiting, None)
        } else {
            (TaskStatus::Running, None)
        };
        w.tasks.insert(task.clone(), Held { attempt, status, cause, ends_ms: now + run });
        if status != TaskStatus::Exited {
            self.starts.entry(task).or_default().push((name.into(), now));
        }
    }

    /// Lets a node go on by itself until it asks a machine for its report, answers with
    /// this one, and returns the tokens of all orders that the node then sends.
    pub fn answer_inspect(&mut self, node: usize, report: &Report) -> Vec<u64> {
        let mut steady_ms = self.steady_ms(node);
        let core = &mut self.nodes[node].as_mut().unwrap().core;
        let mut step = |event: Event| {
            steady_ms += 25;
            core.handle(Now { steady_ms, wall_ms: 1_000_000 + steady_ms }, event)
        };
        let asked = (0..200).find_map(|_| {
            step(Event::Tick).into_iter().find_map(|a| match a {
                Action::Call(c) if c.target == "/inspect" => Some(c.id),
                _ => None,
            })
        });
        let call = asked.expect("it asks a quiet machine");
        let outcome = Outcome::Answer(Response::new(200, to_cbor(report)));
        let mut actions = step(Event::Outcome { call, outcome });
        (0..40).for_each(|_| actions.extend(step(Event::Tick)));
        let orders = actions.into_iter().filter_map(|a| match a {
            Action::Call(c) if c.target == "/orders" => from_cbor::<OrdersRequest>(&c.body).ok(),
            _ => None,
        });
        orders.map(|o| o.token).collect()
    }

    /// A node's figures, as operators see them.
    pub fn figures(&mut self, node: usize) -> BTreeMap<String, f64> {
        let now = Now { steady_ms: self.steady_ms(node), wall_ms: 1_000_000 + self.now };
        let (method, target) = ("GET".into(), "/metrics".into());
        let request = Request { method, target, body: Vec::new(), close: false };
        let n = self.nodes[node].as_mut().unwrap();
        let (life, mut told) = (n.life, None);
        for action in n.core.handle(now, Event::Mesh { id: u64::MAX, request }) {
            match action {
                Action::Answer { id: u64::MAX, response } => told = from_cbor(&response.body).ok(),
                other => self.carry_out(node, life, vec![other]),
            }
        }
        told.expect("figures")
    }

    /// What a node that has stood still does at once when the next thing that it sees is
    /// a worker's report: answers by their status, calls by their target.
    pub fn wake_to_report(&mut self, node: usize, slept_ms: u64, worker: &str) -> Vec<String> {
        let body = to_cbor(&self.report_of(worker).unwrap());
        let steady_ms = self.steady_ms(node) + slept_ms;
        let core = &mut self.nodes[node].as_mut().unwrap().core;
        let (method, target) = ("POST".into(), "/checkin".into());
        let request = Request { method, target, body, close: false };
        let now = Now { steady_ms, wall_ms: 1_000_000 + steady_ms };
        let mut actions = core.handle(now, Event::Client { id: u64::MAX, request });
        actions.extend(core.handle(now, Event::Tick));
        let told = actions.into_iter().map(|a| match a {
            Action::Answer { response, .. } => format!("answer {}", response.status),
            Action::Call(c) => c.target,
        });
        told.collect()
    }

    /// How long a task runs.
    fn run_of(&self, task: &str) -> u64 {
        let job = task.rsplit_once('/').unwrap().0;
        self.run_ms.get(task).or(self.run_ms.get(job)).copied().unwrap_or(2_000)
    }

    fn expire_session(&mut self, name: &str) {
        let now = self.now;
        let w = self.workers.get_mut(name).unwrap();
        if now > w.lease_from + w.lease_ms {
            w.tasks.clear();
            w.tenure += 1;
            w.lease_from = now;
        }
    }

    /// A worker's own life: leases, running tasks, gangs, changes to report.
    fn work(&mut self, name: &str) {
        let now = self.now;
        let Some(w) = self.workers.get(name) else { return };
        if w.dead {
            return;
        }
        self.after(50, Msg::Work { worker: name.into() });
        if now < self.workers[name].hung_until {
            return;
        }
        self.expire_session(name);
        let w = self.workers.get_mut(name).unwrap();
        let (tenure, rest) = std::mem::take(&mut w.rest);
        if tenure == w.tenure {
            self.execute(name, rest);
        }
        let inbox = std::mem::take(&mut self.workers.get_mut(name).unwrap().inbox);
        for (from, life, call) in inbox {
            self.worker_call(name, from, life, call);
        }
        let mut changed = self.fetch(name);
        let tasks: Vec<String> = self.workers[name].tasks.keys().cloned().collect();
        for t in tasks {
            let (job_id, n) = t.rsplit_once('/').unwrap();
            let held = self.workers[name].tasks[&t].clone();
            let spec = self.jobs[job_id].clone();
            if self.aborted_at.get(job_id).is_some_and(|a| now > a + CANCEL_MS)
                && held.status != TaskStatus::Exited
            {
                self.breaches.push(format!("ran_cancelled {t} still on {name} at {now}"));
            }
            let mut next = held.clone();
            if spec.shape == Shape::Gang && held.status != TaskStatus::Exited {
                let peers = self
                    .workers
                    .values()
                    // The others notice a machine that hangs as they notice one that dies.
                    .filter(|w| !w.dead && w.hung_until <= now)
                    .flat_map(|w| &w.tasks)
                    .filter(|(p, h)| {
                        p.rsplit_once('/').unwrap().0 == job_id
                            && h.attempt == held.attempt
                            && (h.status != TaskStatus::Exited || h.cause == Some(Cause::Done))
                    })
                    .count() as u32;
                let whole = peers == spec.tasks;
                if held.status == TaskStatus::Waiting && whole {
                    next.status = TaskStatus::Running;
                    next.ends_ms = now + self.run_of(&t);
                } else if held.status == TaskStatus::Running && !whole {
                    next.status = TaskStatus::Exited;
                    next.cause = Some(Cause::Peers);
                }
            }
            if next.status == TaskStatus::Running && now >= next.ends_ms {
                next.status = TaskStatus::Exited;
                next.cause = Some(Cause::Done);
                let n: u32 = n.parse().unwrap();
                self.done.entry(job_id.to_string()).or_default().insert(n);
                if spec.shape == Shape::Gang {
                    let all: BTreeSet<u32> = (0..spec.tasks).collect();
                    self.done.insert(job_id.to_string(), all);
                }
                if self.done[job_id].len() == spec.tasks as usize {
                    self.ended(job_id);
                }
            }
            if next.status != held.status {
                changed = true;
                self.workers.get_mut(name).unwrap().tasks.insert(t, next);
            }
        }
        if changed && !self.workers[name].waiting {
            self.after(10, Msg::Report { worker: name.into() });
        }
    }
}

/// The job that a submission names, be it malformed.
fn named_in(body: &[u8]) -> Option<String> {
    let map = from_cbor::<Value>(body).ok()?.into_map().ok()?;
    let named = map.into_iter().find(|(key, _)| key.as_text() == Some("ref"))?.1;
    named.into_text().ok()
}

fn addr_of(name: &str) -> String {
    let n: u32 = name.trim_start_matches("vm-").parse().unwrap();
    format!("10.2.{}.{}:9000", n / 250, n % 250 + 1)
}
