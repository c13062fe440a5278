//! A search for combinations of faults that no other test lists.
//!
//! Two or three faults are drawn from one table, at times near the deadlines of the protocol, over a
//! run with jobs, aborts and queries. All invariants are checked, and that no accepted job is lost.
//! A run that violates one is repeated with fewer faults, and the smallest set of faults that still
//! violates one is printed.
//!
//! `SEARCH_SEEDS=from..to cargo test -p quartzgate-core --test simulation search -- --nocapture`
//! simulates other seeds than the few that CI does.

use crate::cluster::{
    job, job_id, machine_name, with_dependencies, Cluster, Endpoint, InboundLoss, LinkFault,
    Milestone, RandomDelay, CANCEL_MS, LEASE_MS, REPORT_MS,
};
use std::collections::BTreeMap;

use quartzgate_wire::msg::{JobKind, JobSpec};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

const NODES: usize = 3;
const MACHINES: usize = 10;
const JOB_PREFIX: u32 = 14;
/// Interval at which faults and users act.
const STEP_MS: u64 = 10;
/// Earliest time of a fault.
const FIRST_FAULT_MS: u64 = 6_000;
/// Time by which all faults are over.
const LAST_FAULT_MS: u64 = 70_000;
/// Lease of a controller at the state service.
const MEMBER_LEASE_MS: u64 = LEASE_MS / 4;
/// How long a leader commands without its lease.
const LEASE_BOUND_MS: u64 = CANCEL_MS - LEASE_MS - 600;

/// A controller, by its distance from the one that leads when the fault is injected.
type LeaderOffset = usize;

/// What goes wrong.
#[derive(Clone, Copy, Debug)]
enum FaultKind {
    /// The state service refuses one controller, with 503 or by silence.
    Refusal {
        who: LeaderOffset,
        silent: bool,
    },
    Outage,
    SlowState {
        ms: u64,
    },
    DelayedWrites {
        share: f64,
    },
    DuplicateHeartbeats {
        share: f64,
    },
    /// A controller is partitioned from the state service, its siblings or some workers.
    CutOff {
        who: LeaderOffset,
        state: bool,
        peers: bool,
        workers: usize,
        held: bool,
    },
    /// Orders to some machines, or answers to their heartbeats, are lost.
    LostInbound {
        first: usize,
        count: usize,
        how: InboundLoss,
    },
    /// Orders to some machines are held by the network.
    HeldOrders {
        first: usize,
        count: usize,
    },
    HungMachine {
        which: usize,
    },
    Crash {
        who: LeaderOffset,
    },
    CrashAll,
    Stall {
        who: LeaderOffset,
    },
    MachineReboot {
        which: usize,
    },
    /// Transactions are applied at once, and their answers are lost.
    LostAnswers {
        share: f64,
    },
    /// Heartbeats are stored, and replayed when a new leader is elected.
    StaleHeartbeats {
        share: f64,
    },
    /// Heartbeats of some machines are lost, while orders reach them.
    LostHeartbeats {
        first: usize,
        count: usize,
    },
    /// Users query all controllers within milliseconds of what they are told.
    QueryOnChange,
    /// Jobs are aborted at the moment of their completion.
    AbortAtCompletion {
        share: f64,
    },
    /// Users repeat submissions, abort jobs that are done, and submit jobs that cannot run.
    OddRequests,
}

/// A milestone of the run and the time after it at which a fault is injected.
#[derive(Clone, Copy, Debug)]
struct Trigger {
    milestone: Milestone,
    lag_ms: u64,
}

/// A fault, its time and its duration.
#[derive(Clone, Copy, Debug)]
struct Fault {
    kind: FaultKind,
    /// It is injected no earlier.
    at_ms: u64,
    /// It waits for this, though not for ever.
    trigger: Option<Trigger>,
    for_ms: u64,
}

/// How long a fault waits for its milestone.
const MAX_MILESTONE_WAIT_MS: u64 = 8_000;

impl Fault {
    /// Whether the fault is to be injected now, in a run that began at `began`.
    fn is_due(&self, cluster: &Cluster, began: u64) -> bool {
        let from = began + self.at_ms;
        let Some(trigger) = self.trigger.filter(|_| cluster.now < from + MAX_MILESTONE_WAIT_MS)
        else {
            return cluster.now >= from;
        };
        let recent = cluster.milestones.iter().rev().take_while(|reached| reached.at_ms >= from);
        let mut reached = recent.filter(|reached| reached.milestone == trigger.milestone);
        reached.any(|reached| cluster.now >= reached.at_ms + trigger.lag_ms)
    }
}

/// A time shortly after something has changed.
fn shortly_after(rng: &mut SmallRng) -> u64 {
    let after = [0, 200, REPORT_MS, MEMBER_LEASE_MS];
    after.choose(rng).unwrap() + rng.random_range(20..700)
}

/// A time near a deadline of the protocol: leases of controllers and workers, the lease bound,
/// the time for an abort.
fn near_a_deadline(rng: &mut SmallRng) -> u64 {
    let deadlines = [MEMBER_LEASE_MS, LEASE_MS, LEASE_BOUND_MS, CANCEL_MS, CANCEL_MS + REPORT_MS];
    (deadlines.choose(rng).unwrap() + rng.random_range(0..1_200)).saturating_sub(300)
}

fn draw_fault_kind(rng: &mut SmallRng) -> FaultKind {
    let who = rng.random_range(0..NODES);
    let machine = rng.random_range(0..MACHINES);
    let some = rng.random_range(1..=MACHINES / 2);
    let (silent, peers, held) = (rng.random(), rng.random(), rng.random());
    match rng.random_range(0..24) {
        0 | 1 => FaultKind::Refusal { who: 0, silent },
        2..=4 => FaultKind::Outage,
        5 => FaultKind::SlowState { ms: rng.random_range(200..2_500) },
        6 => FaultKind::DelayedWrites { share: rng.random_range(0.2..0.9) },
        7 => FaultKind::DuplicateHeartbeats { share: 0.4 },
        8 => FaultKind::CutOff { who, state: true, peers, workers: 0, held },
        9 => FaultKind::CutOff { who, state: false, peers, workers: some, held },
        10 => {
            let directions = [(true, true), (true, false), (false, true)];
            let (answers, orders) = *directions.choose(rng).unwrap();
            FaultKind::LostInbound {
                first: machine,
                count: some,
                how: InboundLoss { answers, orders },
            }
        }
        11 => FaultKind::HeldOrders { first: machine, count: some },
        12 => FaultKind::HungMachine { which: machine },
        13 => FaultKind::Crash { who },
        16 => FaultKind::LostAnswers { share: rng.random_range(0.2..0.9) },
        17 | 18 => FaultKind::StaleHeartbeats { share: 0.6 },
        19 => FaultKind::LostHeartbeats { first: machine, count: some },
        20 => FaultKind::QueryOnChange,
        21 => FaultKind::AbortAtCompletion { share: 0.6 },
        22 => FaultKind::OddRequests,
        23 => FaultKind::Crash { who: 0 },
        14 if silent => FaultKind::CrashAll,
        14 => FaultKind::MachineReboot { which: machine },
        _ => FaultKind::Stall { who },
    }
}

/// The milestone that a fault waits for, if any. The second of two faults often comes as the next
/// leader begins.
fn draw_trigger(rng: &mut SmallRng, last: Option<&Fault>) -> Option<Trigger> {
    let ends_a_lead = |fault: &&Fault| {
        matches!(
            fault.kind,
            FaultKind::Crash { who: 0 }
                | FaultKind::Refusal { who: 0, .. }
                | FaultKind::Stall { who: 0 }
        )
    };
    let milestones = [
        Milestone::AbortConfirmed,
        Milestone::LeaderElected,
        Milestone::WriteUnanswered,
        Milestone::LastTaskEnded,
        Milestone::ExitCleared,
    ];
    let milestone = match last.filter(ends_a_lead) {
        Some(_) if rng.random_bool(0.6) => Milestone::LeaderElected,
        None if rng.random_bool(0.4) => Milestone::AbortConfirmed,
        _ => *milestones.choose(rng).unwrap(),
    };
    let lags = [0, 5, 20, 120, 500];
    let lag_ms = lags.choose(rng).unwrap() + rng.random_range(0..20);
    rng.random_bool(0.6).then_some(Trigger { milestone, lag_ms })
}

/// Two or three faults, each shortly after another has begun or ended.
fn draw_faults(rng: &mut SmallRng) -> Vec<Fault> {
    let mut at_ms = FIRST_FAULT_MS + rng.random_range(0..4_000);
    let mut faults = Vec::new();
    for _ in 0..rng.random_range(2..=3) {
        let for_ms = if rng.random_bool(0.2) { shortly_after(rng) } else { near_a_deadline(rng) };
        let for_ms = for_ms.min(LAST_FAULT_MS - at_ms);
        let trigger = draw_trigger(rng, faults.last());
        faults.push(Fault { kind: draw_fault_kind(rng), at_ms, trigger, for_ms });
        at_ms += shortly_after(rng) + if rng.random_bool(0.25) { for_ms } else { 0 };
    }
    faults
}

/// Name of a machine, counted round.
fn machine_at(n: usize) -> String {
    machine_name(n % MACHINES)
}

/// A link that is cut while a fault lasts.
struct LinkCut {
    from: Endpoint,
    to: Endpoint,
    fault: LinkFault,
}

/// The links that are cut while a fault lasts.
fn links_cut_by(fault: &Fault, who: usize) -> Vec<LinkCut> {
    let from = || Endpoint::Controller(who);
    match fault.kind {
        FaultKind::Refusal { silent: true, .. } => {
            vec![LinkCut { from: from(), to: Endpoint::StateService, fault: LinkFault::Drop }]
        }
        FaultKind::CutOff { state, peers, workers, held, .. } => {
            let fault = if held { LinkFault::Hold } else { LinkFault::Drop };
            let siblings = (0..NODES).filter(|n| peers && *n != who).map(Endpoint::Controller);
            let workers = (0..workers).map(|m| Endpoint::Worker(machine_at(m)));
            let state = state.then_some(Endpoint::StateService).into_iter();
            let peers = state.chain(siblings).chain(workers);
            peers.map(|to| LinkCut { from: from(), to, fault }).collect()
        }
        FaultKind::HeldOrders { first, count } => (first..first + count)
            .flat_map(|m| {
                (0..NODES).map(move |n| LinkCut {
                    from: Endpoint::Controller(n),
                    to: Endpoint::Worker(machine_at(m)),
                    fault: LinkFault::Hold,
                })
            })
            .collect(),
        _ => Vec::new(),
    }
}

/// A fault of a run, as it is injected and cleared.
#[derive(Clone, Copy)]
struct ScheduledFault {
    fault: Fault,
    state: FaultState,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum FaultState {
    Waiting,
    /// It concerns this controller, and lasts until then.
    Active {
        who: usize,
        until_ms: u64,
    },
    /// It concerned this controller.
    Over {
        who: usize,
    },
}

/// What a user wants and repeats until it is answered.
enum UserIntent {
    Submit(Box<JobSpec>),
    Abort(String),
}

/// An intent, and when the user begins to pursue it.
struct ScheduledIntent {
    due_ms: u64,
    intent: UserIntent,
}

/// A user's last request for an intent.
struct OpenRequest {
    request: usize,
    /// The user waits no longer for its answer.
    until_ms: u64,
}

/// One run of the search.
struct Run {
    cluster: Cluster,
    /// When the faults and the users began.
    began: u64,
    rng: SmallRng,
    faults: Vec<ScheduledFault>,
    sends_odd_requests: bool,
    intents: Vec<ScheduledIntent>,
    /// Jobs that users mean to abort.
    to_abort: Vec<String>,
    /// The last request for each intent, by the intent's index.
    open: BTreeMap<usize, OpenRequest>,
    queried_ms: u64,
}

impl Run {
    fn new(seed: u64, faults: &[Fault]) -> Run {
        let rng = SmallRng::seed_from_u64(seed ^ 0x51ed);
        let cluster = cluster_for(seed);
        let scheduled =
            |fault: &Fault| ScheduledFault { fault: *fault, state: FaultState::Waiting };
        let mut run = Run {
            began: cluster.now,
            cluster,
            rng,
            faults: faults.iter().map(scheduled).collect(),
            sends_odd_requests: false,
            intents: Vec::new(),
            to_abort: Vec::new(),
            open: BTreeMap::new(),
            queried_ms: 0,
        };
        (0..JOB_PREFIX).for_each(|n| run.draw_job(n));
        run
    }

    /// Draws when a job is submitted, how long its tasks run, and when it is aborted, if at all:
    /// jobs of a few tasks that end far apart, services, a gang and a dependency.
    fn draw_job(&mut self, n: u32) {
        let id = job_id(n);
        let shape = match n {
            0 | 5 => JobKind::Service,
            3 => JobKind::Gang,
            _ => JobKind::Array,
        };
        let mut spec = job(&id, shape, if n.is_multiple_of(4) { 2 } else { 1 + n % 3 });
        spec.spread = n == 0;
        if n == 9 {
            spec = with_dependencies(spec, &[&job_id(6)]);
        }
        for task in 0..spec.tasks {
            let long = self.rng.random_range(500..9_000) + if task == 0 { 0 } else { 18_000 };
            self.cluster.task_duration_ms.insert(format!("{id}/{task}"), long);
        }
        if n % 3 == 1 {
            self.cluster.task_duration_ms.insert(format!("{id}/0"), 90_000);
            // About when the first fault is injected.
            let first = self.faults.first().map_or(FIRST_FAULT_MS, |first| first.fault.at_ms);
            let due_ms = (first + self.rng.random_range(0..5_000)).saturating_sub(1_500);
            self.intents.push(ScheduledIntent { due_ms, intent: UserIntent::Abort(id.clone()) });
            self.to_abort.push(id);
        }
        let times = if n < 9 { 0..3_000 } else { 4_000..30_000 };
        let due_ms = self.rng.random_range(times);
        self.intents.push(ScheduledIntent { due_ms, intent: UserIntent::Submit(Box::new(spec)) });
    }

    /// Runs while faults may come; whether no invariant was violated.
    fn run_under_faults(&mut self) -> bool {
        while self.cluster.now < self.began + LAST_FAULT_MS + 1_000 {
            let at_ms = self.cluster.now - self.began;
            self.inject_and_clear_faults(at_ms);
            if self.sends_odd_requests && at_ms.is_multiple_of(100) {
                let node = self.rng.random_range(0..NODES);
                self.cluster.send_odd_request(node);
            }
            (0..self.intents.len()).for_each(|index| self.pursue_intent(index, at_ms));
            if at_ms >= self.queried_ms + 500 {
                self.queried_ms = at_ms;
                let known: Vec<String> = self.cluster.observed_status.keys().cloned().collect();
                self.query_anywhere(&known);
            }
            self.cluster.run_for_ms(STEP_MS);
            if !self.cluster.violations.is_empty() {
                return false;
            }
        }
        true
    }

    /// Queries jobs, each at any controller.
    fn query_anywhere(&mut self, ids: &[String]) {
        for id in ids {
            let node = self.rng.random_range(0..NODES);
            self.cluster.query(node, id);
        }
    }

    fn inject_and_clear_faults(&mut self, at_ms: u64) {
        for index in 0..self.faults.len() {
            let ScheduledFault { fault, state } = &self.faults[index];
            match state {
                FaultState::Waiting
                    if at_ms >= fault.at_ms && fault.is_due(&self.cluster, self.began) =>
                {
                    self.inject(index)
                }
                FaultState::Active { until_ms, .. } if self.cluster.now >= *until_ms => {
                    self.clear(index)
                }
                _ => {}
            }
        }
    }

    fn inject(&mut self, index: usize) {
        let fault = self.faults[index].fault;
        let cluster = &mut self.cluster;
        let leader = cluster.leader().unwrap_or(0);
        let offset = match fault.kind {
            FaultKind::Refusal { who, .. }
            | FaultKind::CutOff { who, .. }
            | FaultKind::Crash { who }
            | FaultKind::Stall { who } => who,
            _ => 0,
        };
        let who = (leader + offset) % NODES;
        let until_ms = cluster.now + fault.for_ms;
        self.faults[index].state = FaultState::Active { who, until_ms };
        for link in links_cut_by(&fault, who) {
            cluster.cut_link(link.from, link.to, link.fault);
        }
        // Processes and machines may be back within a moment.
        let down_ms = if fault.for_ms < MEMBER_LEASE_MS { 200 } else { fault.for_ms };
        match fault.kind {
            FaultKind::Refusal { silent: false, .. } => {
                cluster.state.refused_nodes.insert(who);
            }
            FaultKind::Outage => cluster.state.down = true,
            FaultKind::SlowState { ms } => cluster.state.extra_latency_ms = ms,
            FaultKind::DelayedWrites { share } => {
                let delay = RandomDelay { share, from_ms: 2_000, to_ms: 12_000 };
                cluster.state.delayed_writes = Some(delay);
            }
            FaultKind::DuplicateHeartbeats { share } => {
                let delay = RandomDelay { share, from_ms: 2_000, to_ms: 2 * LEASE_MS };
                cluster.duplicate_heartbeats = Some(delay);
            }
            FaultKind::LostInbound { first, count, how } => {
                cluster.inbound_loss.extend((first..first + count).map(|m| (machine_at(m), how)))
            }
            FaultKind::HungMachine { which }
                if cluster.workers.contains_key(&machine_at(which)) =>
            {
                cluster.hang_machine(&machine_at(which), fault.for_ms)
            }
            FaultKind::Crash { .. } if cluster.is_up(who) => cluster.crash_for_ms(who, down_ms),
            FaultKind::CrashAll => {
                for node in (0..NODES).filter(|n| cluster.is_up(*n)).collect::<Vec<_>>() {
                    cluster.crash_for_ms(node, if node == who { 200 } else { down_ms });
                }
            }
            FaultKind::Stall { .. } if cluster.is_up(who) => cluster.stall(who, fault.for_ms),
            FaultKind::MachineReboot { which } => {
                cluster.reboot_machine(&machine_at(which), down_ms)
            }
            FaultKind::LostAnswers { share } => cluster.state.lost_answer_share = share,
            FaultKind::StaleHeartbeats { share } => cluster.stale_heartbeat_share = share,
            FaultKind::LostHeartbeats { first, count } => {
                cluster.lost_heartbeats.extend((first..first + count).map(machine_at))
            }
            FaultKind::QueryOnChange => cluster.query_on_change = true,
            FaultKind::AbortAtCompletion { share } => cluster.abort_at_completion = share,
            FaultKind::OddRequests => self.sends_odd_requests = true,
            _ => {}
        }
    }

    /// Clears a fault, if it was injected. At the end of a run this is done for all of them: a
    /// fault that was cleared before may have the same links as another.
    fn clear(&mut self, index: usize) {
        let ScheduledFault { fault, state } = self.faults[index];
        let (FaultState::Active { who, .. } | FaultState::Over { who }) = state else { return };
        let cluster = &mut self.cluster;
        for link in links_cut_by(&fault, who) {
            cluster.heal_link(&link.from, &link.to);
        }
        match fault.kind {
            FaultKind::Refusal { silent: false, .. } => {
                cluster.state.refused_nodes.remove(&who);
            }
            FaultKind::Outage => cluster.state.down = false,
            FaultKind::SlowState { .. } => cluster.state.extra_latency_ms = 0,
            FaultKind::DelayedWrites { .. } => cluster.state.delayed_writes = None,
            FaultKind::DuplicateHeartbeats { .. } => cluster.duplicate_heartbeats = None,
            FaultKind::LostInbound { .. } => cluster.inbound_loss.clear(),
            FaultKind::LostAnswers { .. } => cluster.state.lost_answer_share = 0.0,
            FaultKind::LostHeartbeats { .. } => cluster.lost_heartbeats.clear(),
            FaultKind::QueryOnChange => cluster.query_on_change = false,
            FaultKind::AbortAtCompletion { .. } => cluster.abort_at_completion = 0.0,
            FaultKind::OddRequests => self.sends_odd_requests = false,
            _ => {}
        }
        self.faults[index].state = FaultState::Over { who };
    }

    /// Users repeat unanswered requests at any controller.
    fn pursue_intent(&mut self, index: usize, at_ms: u64) {
        let due_ms = self.intents[index].due_ms;
        if at_ms < due_ms || at_ms > due_ms + 60_000 {
            return;
        }
        let node = self.rng.random_range(0..NODES);
        if let Some(open) = self.open.get(&index) {
            let status = self.cluster.status_code(open.request);
            let is_answered = matches!(status, 200 | 201);
            let still_waits = status == 0 && at_ms < open.until_ms;
            if is_answered || still_waits || at_ms < open.until_ms - 3_500 {
                return;
            }
        }
        let request = match &self.intents[index].intent {
            UserIntent::Submit(spec) => self.cluster.submit(node, spec),
            UserIntent::Abort(id) if self.cluster.observed_status.contains_key(id) => {
                self.cluster.abort(node, id)
            }
            UserIntent::Abort(_) => return,
        };
        self.open.insert(index, OpenRequest { request, until_ms: at_ms + 5_000 });
    }

    /// Ends all faults and runs until everything that was accepted and not aborted runs or is
    /// done; whether no invariant was violated.
    fn run_without_faults(&mut self) -> bool {
        (0..self.faults.len()).for_each(|index| self.clear(index));
        self.cluster.clear_all_faults();
        self.cluster.query_on_change = false;
        self.cluster.scale_out_disabled = false;
        let until_ms = self.cluster.now + 150_000;
        let accepted = self.cluster.observed_status.keys();
        let wanted: Vec<String> = accepted
            .filter(|id| !self.to_abort.contains(id) && !self.cluster.abort_was_requested(id))
            .cloned()
            .collect();
        while self.cluster.now < until_ms && !wanted.iter().all(|id| self.cluster.is_served(id)) {
            self.query_anywhere(&wanted);
            self.cluster.run_for_ms(1_000);
            if !self.cluster.violations.is_empty() {
                return false;
            }
        }
        let idle: Vec<&String> = wanted.iter().filter(|id| !self.cluster.is_served(id)).collect();
        if !idle.is_empty() {
            let violation = format!("accepted and not running: {idle:?}");
            self.cluster.violations.push(violation);
        }
        self.cluster.violations.is_empty()
    }
}

/// A cluster whose settings and faults in the cloud depend on the seed.
fn cluster_for(seed: u64) -> Cluster {
    let team_cpu_limit = if seed.is_multiple_of(3) { 48.0 } else { 0.0 };
    let mut cluster = Cluster::new(NODES, MACHINES, team_cpu_limit, seed);
    cluster.batch_small_jobs = seed.is_multiple_of(4);
    cluster.scale_out_disabled = seed.is_multiple_of(5);
    cluster.scale_in_disabled = seed.is_multiple_of(2);
    cluster.keep_idle_machines = true;
    cluster.redirect_delay_ms = seed.is_multiple_of(7).then_some(100);
    if seed.is_multiple_of(3) {
        (cluster.boot_ms, cluster.list_lag_ms) = (0..=2_000, 3_000);
    }
    cluster.fetch_gb_per_s = seed.is_multiple_of(8).then_some(0.5);
    if cluster.batch_small_jobs {
        cluster.restart_all_controllers();
    }
    cluster.run_until_fully_activated();
    // With some seeds, recovery takes a leader many reads.
    cluster.state.max_list_keys = (seed % 4 == 1).then_some(2);
    cluster
}

/// Simulates a run; returns the violations.
fn simulate(seed: u64, faults: &[Fault]) -> Vec<String> {
    let mut run = Run::new(seed, faults);
    if run.run_under_faults() && run.run_without_faults() {
        run.cluster.assert_recovered();
    }
    run.cluster.violations.clone()
}

/// Simulates a run; a panic is a violation as well.
fn violations_of(seed: u64, faults: &[Fault]) -> Vec<String> {
    let played = std::panic::catch_unwind(|| simulate(seed, faults));
    played.unwrap_or_else(|why| {
        let text = why.downcast_ref::<String>().cloned().unwrap_or_default();
        vec![format!("panicked: {text}")]
    })
}

/// The smallest set of a run's faults that still violates an invariant.
fn minimal_faults(seed: u64, faults: &[Fault]) -> Vec<Fault> {
    let mut left = faults.to_vec();
    let mut at = 0;
    while at < left.len() {
        let mut fewer = left.clone();
        fewer.remove(at);
        match violations_of(seed, &fewer).is_empty() {
            true => at += 1,
            false => left = fewer,
        }
    }
    left
}

/// Simulates many runs in parallel; returns a description of each that violates an invariant.
fn search(seeds: std::ops::Range<u64>) -> Vec<String> {
    let next = std::sync::atomic::AtomicU64::new(seeds.start);
    let found = std::sync::Mutex::new(Vec::new());
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get());
    std::thread::scope(|s| {
        for _ in 0..threads {
            s.spawn(|| loop {
                let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                if seed >= seeds.end {
                    return;
                }
                let faults = draw_faults(&mut SmallRng::seed_from_u64(seed));
                let broken = violations_of(seed, &faults);
                if !broken.is_empty() {
                    let minimal = minimal_faults(seed, &faults);
                    let first: Vec<String> = broken.into_iter().take(3).collect();
                    let text = format!("seed {seed}: {first:?}\n  by {minimal:?}");
                    println!("{text}");
                    found.lock().unwrap().push(text);
                }
            });
        }
    });
    found.into_inner().unwrap()
}

/// A range of seeds, `from..to`, the first included and the last not.
fn parse_seeds(text: &str) -> Result<std::ops::Range<u64>, String> {
    let form = || format!("SEARCH_SEEDS is {text:?}; its form is from..to, as in 1000..2000");
    let (from, to) = text.split_once("..").ok_or_else(form)?;
    let (from, to): (u64, u64) =
        (from.parse().map_err(|_| form())?, to.parse().map_err(|_| form())?);
    if from >= to {
        return Err(form());
    }
    Ok(from..to)
}

/// The search never simulates other seeds than its caller asked for.
#[test]
fn invalid_seed_ranges_are_refused() {
    assert_eq!(parse_seeds("3..7"), Ok(3..7));
    for odd in ["", "7", "7..3", "3..3", "a..b", "1...4", "-1..4", "1..2..3"] {
        let why = parse_seeds(odd).unwrap_err();
        assert!(why.contains("from..to"), "{why}");
    }
}

/// Invariant 12: during recovery a sibling tells the leader of an abort, and the answer to an
/// earlier read, which says that the job lives, arrives later. A controller that has reported an
/// abort honors it. The seed with which the search found the fault.
#[test]
fn recovering_leader_honors_an_abort_that_it_has_reported() {
    let fault = |kind, at_ms, for_ms| Fault { kind, at_ms, trigger: None, for_ms };
    let faults = [
        fault(FaultKind::SlowState { ms: 595 }, 6_335, 15_984),
        fault(FaultKind::Refusal { who: 0, silent: true }, 6_951, 25_636),
        fault(FaultKind::QueryOnChange, 7_171, 2_397),
    ];
    let broken = violations_of(1_078, &faults);
    assert!(broken.is_empty(), "{broken:?}");
}

/// A bounded part of the search with fixed seeds; `SEARCH_SEEDS` names others.
#[test]
fn invariants_hold_under_random_fault_combinations() {
    let seeds = match std::env::var("SEARCH_SEEDS") {
        Ok(text) => parse_seeds(&text).unwrap_or_else(|why| panic!("{why}")),
        Err(_) => 200..300,
    };
    let found = search(seeds);
    assert!(found.is_empty(), "{} days broke a rule:\n{}", found.len(), found.join("\n"));
}
