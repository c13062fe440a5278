//! An in-memory cluster: controllers, state service, cloud and workers on one clock,
//! joined by a network that delays, loses, holds and reorders. It knows the rules
//! and notes every breach.

mod checks;
mod state;
mod troubles;
mod users;
mod workers;

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
    /// GPUs of each machine, and what the team may use of them together.
    pub gpus: f64,
    pub limit_gpus: f64,
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
            gpus: 0.0,
            limit_gpus: 0.0,
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
        platform.params.teams[0].gpus_max = self.limit_gpus;
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
