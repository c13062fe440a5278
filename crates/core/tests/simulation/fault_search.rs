//! A randomized search for combinations of faults that no other test covers.
//!
//! Each run draws two or three faults from one table and injects them at times near the deadlines
//! of the protocol, while users submit, abort and query jobs. All invariants are checked, and that
//! no accepted job is lost. A run that violates an invariant is repeated with fewer faults, and the
//! smallest set of faults that still violates one is printed.
//!
//! `SEARCH_SEEDS=from..to cargo test -p quartzgate-core --test simulation search -- --nocapture`
//! simulates other seeds than the few that CI runs.

use crate::cluster::{
    job, job_id, machine_name, with_dependencies, Cluster, Endpoint, InboundLoss, LinkFault,
    Milestone, RandomDelay, ABORT_DEADLINE_MS, HEARTBEAT_INTERVAL_MS, WORKER_LEASE_MS,
};
use std::collections::BTreeMap;

use quartzgate_wire::msg::{JobKind, JobSpec};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

const NODES: usize = 3;
const MACHINES: usize = 10;
const JOB_COUNT: u32 = 14;
/// Interval at which faults are injected and cleared and users send requests.
const STEP_MS: u64 = 10;
/// Earliest time of a fault, counted from the start of the run.
const FIRST_FAULT_MS: u64 = 6_000;
/// Time from the start of the run by which the drawn faults are to be over.
const LAST_FAULT_MS: u64 = 70_000;
/// Share of the runs in which commands are delivered a second time.
const DUPLICATE_COMMANDS_SHARE: f64 = 0.4;
/// Length of a controller's lease in the state service.
const MEMBER_LEASE_MS: u64 = WORKER_LEASE_MS / 4;
/// How long a leader may issue orders without its lease.
const LEASE_BOUND_MS: u64 = ABORT_DEADLINE_MS - WORKER_LEASE_MS - 600;

/// A controller, given as its offset from the one that leads when the fault is injected, modulo
/// the number of controllers.
type LeaderOffset = usize;

#[derive(Clone, Copy, Debug)]
enum FaultKind {
    /// The state service answers one controller with 503, or not at all if `silent`.
    Refusal {
        leader_offset: LeaderOffset,
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
    /// A controller is partitioned from the state service, the other controllers or some workers.
    /// If `held`, its requests are held until the fault ends, otherwise they are lost.
    CutOff {
        leader_offset: LeaderOffset,
        state: bool,
        peers: bool,
        workers: usize,
        held: bool,
    },
    /// Orders to some machines, answers to their heartbeats, or both are lost.
    LostInbound {
        first: usize,
        count: usize,
        loss: InboundLoss,
    },
    /// Orders to some machines are held by the network until the fault ends.
    HeldOrders {
        first: usize,
        count: usize,
    },
    HungMachine {
        machine: usize,
    },
    Crash {
        leader_offset: LeaderOffset,
    },
    CrashAll,
    Stall {
        leader_offset: LeaderOffset,
    },
    MachineReboot {
        machine: usize,
    },
    /// Transactions are applied without delay, and their answers are lost.
    LostAnswers {
        share: f64,
    },
    /// A share of the heartbeats is stored and replayed when a new leader is elected.
    StaleHeartbeats {
        share: f64,
    },
    /// Heartbeats of some machines are lost, while orders still reach these machines.
    LostHeartbeats {
        first: usize,
        count: usize,
    },
    /// Users query all controllers within milliseconds of each status change that they observe.
    QueryOnChange,
    /// Jobs are aborted at the moment of their completion.
    AbortAtCompletion {
        share: f64,
    },
    /// Users repeat submissions, abort completed jobs, and submit jobs that cannot run.
    RepeatedOrInvalidRequests,
    /// A share of the commands to workers is delivered a second time.
    DuplicateCommands {
        share: f64,
    },
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
    /// Earliest time of injection, counted from the start of the run.
    at_ms: u64,
    /// Delays the injection until a milestone, for at most `MAX_MILESTONE_WAIT_MS`.
    trigger: Option<Trigger>,
    for_ms: u64,
}

/// Longest time that a fault waits for its milestone.
const MAX_MILESTONE_WAIT_MS: u64 = 8_000;

impl Fault {
    /// Returns whether the fault is to be injected now, in a run that began at `run_start_ms`.
    fn is_due(&self, cluster: &Cluster, run_start_ms: u64) -> bool {
        let earliest_ms = run_start_ms + self.at_ms;
        let Some(trigger) =
            self.trigger.filter(|_| cluster.now < earliest_ms + MAX_MILESTONE_WAIT_MS)
        else {
            return cluster.now >= earliest_ms;
        };
        let recent =
            cluster.milestones.iter().rev().take_while(|reached| reached.at_ms >= earliest_ms);
        let mut reached = recent.filter(|reached| reached.milestone == trigger.milestone);
        reached.any(|reached| cluster.now >= reached.at_ms + trigger.lag_ms)
    }
}

/// Draws the interval from a change to a fault shortly after it: 20 to 700 ms more than 0 ms,
/// 200 ms, a heartbeat interval or a controller's lease.
fn shortly_after(rng: &mut SmallRng) -> u64 {
    let intervals = [0, 200, HEARTBEAT_INTERVAL_MS, MEMBER_LEASE_MS];
    intervals.choose(rng).unwrap() + rng.random_range(20..700)
}

/// Draws a duration near a deadline of the protocol: the leases of controllers and workers, the
/// lease bound, and the time by which an abort takes effect.
fn near_a_deadline(rng: &mut SmallRng) -> u64 {
    let deadlines = [
        MEMBER_LEASE_MS,
        WORKER_LEASE_MS,
        LEASE_BOUND_MS,
        ABORT_DEADLINE_MS,
        ABORT_DEADLINE_MS + HEARTBEAT_INTERVAL_MS,
    ];
    (deadlines.choose(rng).unwrap() + rng.random_range(0..1_200)).saturating_sub(300)
}

fn draw_fault_kind(rng: &mut SmallRng) -> FaultKind {
    let leader_offset = rng.random_range(0..NODES);
    let machine = rng.random_range(0..MACHINES);
    let machine_count = rng.random_range(1..=MACHINES / 2);
    let (silent, peers, held) = (rng.random(), rng.random(), rng.random());
    match rng.random_range(0..24) {
        0 | 1 => FaultKind::Refusal { leader_offset: 0, silent },
        2..=4 => FaultKind::Outage,
        5 => FaultKind::SlowState { ms: rng.random_range(200..2_500) },
        6 => FaultKind::DelayedWrites { share: rng.random_range(0.2..0.9) },
        7 => FaultKind::DuplicateHeartbeats { share: 0.4 },
        8 => FaultKind::CutOff { leader_offset, state: true, peers, workers: 0, held },
        9 => FaultKind::CutOff { leader_offset, state: false, peers, workers: machine_count, held },
        10 => {
            let directions = [(true, true), (true, false), (false, true)];
            let (answers, orders) = *directions.choose(rng).unwrap();
            FaultKind::LostInbound {
                first: machine,
                count: machine_count,
                loss: InboundLoss { answers, orders },
            }
        }
        11 => FaultKind::HeldOrders { first: machine, count: machine_count },
        12 => FaultKind::HungMachine { machine },
        13 => FaultKind::Crash { leader_offset },
        16 => FaultKind::LostAnswers { share: rng.random_range(0.2..0.9) },
        17 | 18 => FaultKind::StaleHeartbeats { share: 0.6 },
        19 => FaultKind::LostHeartbeats { first: machine, count: machine_count },
        20 => FaultKind::QueryOnChange,
        21 => FaultKind::AbortAtCompletion { share: 0.6 },
        22 => FaultKind::RepeatedOrInvalidRequests,
        23 => FaultKind::Crash { leader_offset: 0 },
        14 if silent => FaultKind::CrashAll,
        14 => FaultKind::MachineReboot { machine },
        _ => FaultKind::Stall { leader_offset },
    }
}

/// Draws the milestone that a fault waits for, if any. After a fault that may depose the leader,
/// the next one is often injected when the new leader is elected.
fn draw_trigger(rng: &mut SmallRng, previous: Option<&Fault>) -> Option<Trigger> {
    let ends_leadership = |fault: &&Fault| {
        matches!(
            fault.kind,
            FaultKind::Crash { leader_offset: 0 }
                | FaultKind::Refusal { leader_offset: 0, .. }
                | FaultKind::Stall { leader_offset: 0 }
        )
    };
    let milestones = [
        Milestone::AbortConfirmed,
        Milestone::LeaderElected,
        Milestone::WriteUnanswered,
        Milestone::LastTaskEnded,
        Milestone::ExitedTaskForgotten,
    ];
    let milestone = match previous.filter(ends_leadership) {
        Some(_) if rng.random_bool(0.6) => Milestone::LeaderElected,
        None if rng.random_bool(0.4) => Milestone::AbortConfirmed,
        _ => *milestones.choose(rng).unwrap(),
    };
    let lags = [0, 5, 20, 120, 500];
    let lag_ms = lags.choose(rng).unwrap() + rng.random_range(0..20);
    rng.random_bool(0.6).then_some(Trigger { milestone, lag_ms })
}

/// Draws two or three faults, each shortly after the start or the end of the one before.
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
    // Drawn last, so that the other faults of a seed don't depend on it.
    if rng.random_bool(DUPLICATE_COMMANDS_SHARE) {
        let kind = FaultKind::DuplicateCommands { share: rng.random_range(0.2..0.9) };
        faults.push(Fault { kind, at_ms: FIRST_FAULT_MS, trigger: None, for_ms: LAST_FAULT_MS });
    }
    faults
}

/// Returns the name of the `n`-th machine, modulo the number of machines.
fn machine_at(n: usize) -> String {
    machine_name(n % MACHINES)
}

struct LinkCut {
    from: Endpoint,
    to: Endpoint,
    fault: LinkFault,
}

/// Returns the links that a fault cuts while it is active. `node` is the controller it concerns.
fn links_cut_by(fault: &Fault, node: usize) -> Vec<LinkCut> {
    let from = || Endpoint::Controller(node);
    match fault.kind {
        FaultKind::Refusal { silent: true, .. } => {
            vec![LinkCut { from: from(), to: Endpoint::StateService, fault: LinkFault::Drop }]
        }
        FaultKind::CutOff { state, peers, workers, held, .. } => {
            let fault = if held { LinkFault::Hold } else { LinkFault::Drop };
            let siblings = (0..NODES).filter(|n| peers && *n != node).map(Endpoint::Controller);
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

/// A fault of a run, and whether it has been injected and cleared.
#[derive(Clone, Copy)]
struct ScheduledFault {
    fault: Fault,
    state: FaultState,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum FaultState {
    Waiting,
    /// The fault affects controller `target` until `until_ms`.
    Active {
        target: usize,
        until_ms: u64,
    },
    /// The fault affected controller `target` and has been cleared.
    Cleared {
        target: usize,
    },
}

/// What a user requests, again and again until it is answered.
enum UserIntent {
    Submit(Box<JobSpec>),
    Abort(String),
}

/// An intent and the time, counted from the start of the run, of its first request.
struct ScheduledIntent {
    due_ms: u64,
    intent: UserIntent,
}

/// A user's last request for an intent.
struct OpenRequest {
    request: usize,
    /// Time, counted from the start of the run, at which the user stops waiting for its answer.
    until_ms: u64,
}

/// One run of the search.
struct Run {
    cluster: Cluster,
    /// Time at which faults and requests may begin, after the setup of the cluster.
    start_ms: u64,
    rng: SmallRng,
    faults: Vec<ScheduledFault>,
    sends_repeated_or_invalid_requests: bool,
    intents: Vec<ScheduledIntent>,
    /// Jobs that users intend to abort.
    to_abort: Vec<String>,
    /// The last request for each intent, by the intent's index.
    open_requests: BTreeMap<usize, OpenRequest>,
    /// Time of the last queries, counted from the start of the run.
    last_query_ms: u64,
}

impl Run {
    fn new(seed: u64, faults: &[Fault]) -> Run {
        let rng = SmallRng::seed_from_u64(seed ^ 0x51ed);
        let cluster = cluster_for(seed);
        let scheduled =
            |fault: &Fault| ScheduledFault { fault: *fault, state: FaultState::Waiting };
        let mut run = Run {
            start_ms: cluster.now,
            cluster,
            rng,
            faults: faults.iter().map(scheduled).collect(),
            sends_repeated_or_invalid_requests: false,
            intents: Vec::new(),
            to_abort: Vec::new(),
            open_requests: BTreeMap::new(),
            last_query_ms: 0,
        };
        (0..JOB_COUNT).for_each(|n| run.draw_job(n));
        run
    }

    /// Draws the `n`-th job: when it is submitted, how long its tasks run, and when it is aborted,
    /// if at all. The jobs have a few tasks that end far apart; they include services, a gang and a
    /// job with a dependency.
    fn draw_job(&mut self, n: u32) {
        let id = job_id(n);
        let kind = match n {
            0 | 5 => JobKind::Service,
            3 => JobKind::Gang,
            _ => JobKind::Array,
        };
        let mut spec = job(&id, kind, if n.is_multiple_of(4) { 2 } else { 1 + n % 3 });
        spec.spread = n == 0;
        if n == 9 {
            spec = with_dependencies(spec, &[&job_id(6)]);
        }
        for task in 0..spec.tasks {
            let duration_ms =
                self.rng.random_range(500..9_000) + if task == 0 { 0 } else { 18_000 };
            self.cluster.task_duration_ms.insert(format!("{id}/{task}"), duration_ms);
        }
        if n % 3 == 1 {
            self.cluster.task_duration_ms.insert(format!("{id}/0"), 90_000);
            // Around the time of the first fault.
            let first_fault_ms =
                self.faults.first().map_or(FIRST_FAULT_MS, |first| first.fault.at_ms);
            let due_ms = (first_fault_ms + self.rng.random_range(0..5_000)).saturating_sub(1_500);
            self.intents.push(ScheduledIntent { due_ms, intent: UserIntent::Abort(id.clone()) });
            self.to_abort.push(id);
        }
        let submit_range_ms = if n < 9 { 0..3_000 } else { 4_000..30_000 };
        let due_ms = self.rng.random_range(submit_range_ms);
        self.intents.push(ScheduledIntent { due_ms, intent: UserIntent::Submit(Box::new(spec)) });
    }

    /// Runs the phase in which faults are injected. Returns whether no invariant was violated.
    fn run_under_faults(&mut self) -> bool {
        while self.cluster.now < self.start_ms + LAST_FAULT_MS + 1_000 {
            let at_ms = self.cluster.now - self.start_ms;
            self.inject_and_clear_faults(at_ms);
            if self.sends_repeated_or_invalid_requests && at_ms.is_multiple_of(100) {
                let node = self.rng.random_range(0..NODES);
                self.cluster.send_repeated_or_invalid_request(node);
            }
            (0..self.intents.len()).for_each(|index| self.send_request_if_due(index, at_ms));
            if at_ms >= self.last_query_ms + 500 {
                self.last_query_ms = at_ms;
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

    /// Queries each job at a random controller.
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
                    if at_ms >= fault.at_ms && fault.is_due(&self.cluster, self.start_ms) =>
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
        let leader_offset = match fault.kind {
            FaultKind::Refusal { leader_offset, .. }
            | FaultKind::CutOff { leader_offset, .. }
            | FaultKind::Crash { leader_offset }
            | FaultKind::Stall { leader_offset } => leader_offset,
            _ => 0,
        };
        let target = (leader + leader_offset) % NODES;
        let until_ms = cluster.now + fault.for_ms;
        self.faults[index].state = FaultState::Active { target, until_ms };
        for link in links_cut_by(&fault, target) {
            cluster.cut_link(link.from, link.to, link.fault);
        }
        // A short fault restarts processes and machines almost at once.
        let down_ms = if fault.for_ms < MEMBER_LEASE_MS { 200 } else { fault.for_ms };
        match fault.kind {
            FaultKind::Refusal { silent: false, .. } => {
                cluster.state.refused_nodes.insert(target);
            }
            FaultKind::Outage => cluster.state.down = true,
            FaultKind::SlowState { ms } => cluster.state.extra_latency_ms = ms,
            FaultKind::DelayedWrites { share } => {
                let delay = RandomDelay { share, from_ms: 2_000, to_ms: 12_000 };
                cluster.state.delayed_writes = Some(delay);
            }
            FaultKind::DuplicateHeartbeats { share } => {
                let delay = RandomDelay { share, from_ms: 2_000, to_ms: 2 * WORKER_LEASE_MS };
                cluster.duplicate_heartbeats = Some(delay);
            }
            FaultKind::LostInbound { first, count, loss } => {
                cluster.inbound_loss.extend((first..first + count).map(|m| (machine_at(m), loss)))
            }
            FaultKind::HungMachine { machine }
                if cluster.workers.contains_key(&machine_at(machine)) =>
            {
                cluster.hang_machine(&machine_at(machine), fault.for_ms)
            }
            FaultKind::Crash { .. } if cluster.is_up(target) => {
                cluster.crash_for_ms(target, down_ms)
            }
            FaultKind::CrashAll => {
                for node in (0..NODES).filter(|n| cluster.is_up(*n)).collect::<Vec<_>>() {
                    cluster.crash_for_ms(node, if node == target { 200 } else { down_ms });
                }
            }
            FaultKind::Stall { .. } if cluster.is_up(target) => cluster.stall(target, fault.for_ms),
            FaultKind::MachineReboot { machine } => {
                cluster.reboot_machine(&machine_at(machine), down_ms)
            }
            FaultKind::DuplicateCommands { share } => {
                let delay = RandomDelay { share, from_ms: 2_000, to_ms: 16_000 };
                cluster.duplicate_commands = Some(delay);
            }
            FaultKind::LostAnswers { share } => cluster.state.lost_answer_share = share,
            FaultKind::StaleHeartbeats { share } => cluster.stale_heartbeat_share = share,
            FaultKind::LostHeartbeats { first, count } => {
                cluster.lost_heartbeats.extend((first..first + count).map(machine_at))
            }
            FaultKind::QueryOnChange => cluster.query_on_change = true,
            FaultKind::AbortAtCompletion { share } => cluster.abort_at_completion = share,
            FaultKind::RepeatedOrInvalidRequests => self.sends_repeated_or_invalid_requests = true,
            _ => {}
        }
    }

    /// Clears a fault, if it was injected. At the end of a run this is repeated for all faults,
    /// also cleared ones, because two faults may have cut the same links.
    fn clear(&mut self, index: usize) {
        let ScheduledFault { fault, state } = self.faults[index];
        let (FaultState::Active { target, .. } | FaultState::Cleared { target }) = state else {
            return;
        };
        let cluster = &mut self.cluster;
        for link in links_cut_by(&fault, target) {
            cluster.heal_link(&link.from, &link.to);
        }
        match fault.kind {
            FaultKind::Refusal { silent: false, .. } => {
                cluster.state.refused_nodes.remove(&target);
            }
            FaultKind::Outage => cluster.state.down = false,
            FaultKind::SlowState { .. } => cluster.state.extra_latency_ms = 0,
            FaultKind::DelayedWrites { .. } => cluster.state.delayed_writes = None,
            FaultKind::DuplicateHeartbeats { .. } => cluster.duplicate_heartbeats = None,
            FaultKind::DuplicateCommands { .. } => cluster.duplicate_commands = None,
            FaultKind::LostInbound { .. } => cluster.inbound_loss.clear(),
            FaultKind::LostAnswers { .. } => cluster.state.lost_answer_share = 0.0,
            FaultKind::LostHeartbeats { .. } => cluster.lost_heartbeats.clear(),
            FaultKind::QueryOnChange => cluster.query_on_change = false,
            FaultKind::AbortAtCompletion { .. } => cluster.abort_at_completion = 0.0,
            FaultKind::RepeatedOrInvalidRequests => self.sends_repeated_or_invalid_requests = false,
            _ => {}
        }
        self.faults[index].state = FaultState::Cleared { target };
    }

    /// Sends a user's request when it is due, and repeats it at a random controller while it is
    /// unanswered.
    fn send_request_if_due(&mut self, index: usize, at_ms: u64) {
        let due_ms = self.intents[index].due_ms;
        if at_ms < due_ms || at_ms > due_ms + 60_000 {
            return;
        }
        let node = self.rng.random_range(0..NODES);
        if let Some(open) = self.open_requests.get(&index) {
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
        self.open_requests.insert(index, OpenRequest { request, until_ms: at_ms + 5_000 });
    }

    /// Clears all faults and runs until every accepted job that was not aborted is done or, if it
    /// is a service, running. Returns whether no invariant was violated.
    fn run_without_faults(&mut self) -> bool {
        (0..self.faults.len()).for_each(|index| self.clear(index));
        self.cluster.clear_all_faults();
        self.cluster.query_on_change = false;
        self.cluster.scale_out_disabled = false;
        let until_ms = self.cluster.now + 150_000;
        let accepted = self.cluster.observed_status.keys();
        let expected: Vec<String> = accepted
            .filter(|id| !self.to_abort.contains(id) && !self.cluster.abort_was_requested(id))
            .cloned()
            .collect();
        while self.cluster.now < until_ms
            && !expected.iter().all(|id| self.cluster.is_done_or_running(id))
        {
            self.query_anywhere(&expected);
            self.cluster.run_for_ms(1_000);
            if !self.cluster.violations.is_empty() {
                return false;
            }
        }
        let unserved: Vec<&String> =
            expected.iter().filter(|id| !self.cluster.is_done_or_running(id)).collect();
        if !unserved.is_empty() {
            let violation = format!("accepted, but neither done nor running: {unserved:?}");
            self.cluster.violations.push(violation);
        }
        self.cluster.violations.is_empty()
    }
}

/// Returns a cluster whose settings, boot times and list lag of the cloud depend on the seed.
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
    // With some seeds, a new leader needs many reads for its recovery.
    cluster.state.max_list_keys = (seed % 4 == 1).then_some(2);
    cluster
}

/// Simulates a run and returns its violations.
fn simulate(seed: u64, faults: &[Fault]) -> Vec<String> {
    let mut run = Run::new(seed, faults);
    if run.run_under_faults() && run.run_without_faults() {
        run.cluster.assert_recovered();
    }
    run.cluster.violations.clone()
}

/// Simulates a run and returns its violations; a panic counts as one.
fn violations_of(seed: u64, faults: &[Fault]) -> Vec<String> {
    let outcome = std::panic::catch_unwind(|| simulate(seed, faults));
    outcome.unwrap_or_else(|payload| {
        let text = payload.downcast_ref::<String>().cloned().unwrap_or_default();
        vec![format!("panicked: {text}")]
    })
}

/// Removes faults one at a time as long as the run still violates an invariant, and returns the
/// faults that are left.
fn minimal_faults(seed: u64, faults: &[Fault]) -> Vec<Fault> {
    let mut remaining = faults.to_vec();
    let mut index = 0;
    while index < remaining.len() {
        let mut reduced = remaining.clone();
        reduced.remove(index);
        match violations_of(seed, &reduced).is_empty() {
            true => index += 1,
            false => remaining = reduced,
        }
    }
    remaining
}

/// Simulates a run with each seed, in parallel. Returns what `simulate` describes of the runs that
/// violate an invariant.
pub fn violations_in(
    seeds: std::ops::Range<u64>,
    simulate: impl Fn(u64) -> Option<String> + Sync,
) -> Vec<String> {
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
                if let Some(text) = simulate(seed) {
                    println!("{text}");
                    found.lock().unwrap().push(text);
                }
            });
        }
    });
    found.into_inner().unwrap()
}

/// Draws and simulates a run; describes it if it violates an invariant.
fn search(seed: u64) -> Option<String> {
    let faults = draw_faults(&mut SmallRng::seed_from_u64(seed));
    let violations = violations_of(seed, &faults);
    if violations.is_empty() {
        return None;
    }
    let minimal = minimal_faults(seed, &faults);
    let first_violations: Vec<String> = violations.into_iter().take(3).collect();
    Some(format!("seed {seed}: {first_violations:?}\n  with faults {minimal:?}"))
}

/// Returns the seeds of `SEARCH_SEEDS`, or `default` if it is not set.
pub fn search_seeds(default: std::ops::Range<u64>) -> std::ops::Range<u64> {
    match std::env::var("SEARCH_SEEDS") {
        Ok(text) => parse_seeds(&text).unwrap_or_else(|error| panic!("{error}")),
        Err(_) => default,
    }
}

/// Parses a range of seeds `from..to`, whose end is exclusive.
fn parse_seeds(text: &str) -> Result<std::ops::Range<u64>, String> {
    let format_error =
        || format!("SEARCH_SEEDS is {text:?}, but must have the form from..to, such as 1000..2000");
    let (from, to) = text.split_once("..").ok_or_else(format_error)?;
    let (from, to): (u64, u64) =
        (from.parse().map_err(|_| format_error())?, to.parse().map_err(|_| format_error())?);
    if from >= to {
        return Err(format_error());
    }
    Ok(from..to)
}

/// Guards against simulating other seeds than those asked for: an invalid range is an error.
#[test]
fn invalid_seed_ranges_are_refused() {
    assert_eq!(parse_seeds("3..7"), Ok(3..7));
    for invalid in ["", "7", "7..3", "3..3", "a..b", "1...4", "-1..4", "1..2..3"] {
        let error = parse_seeds(invalid).unwrap_err();
        assert!(error.contains("from..to"), "{error}");
    }
}

/// Invariant 12: a controller that has reported an abort honors it. During recovery, another
/// controller notifies the leader of an abort, and afterwards the answer to an earlier read arrives
/// that still shows the job as live. The seed is the one with which the search found the fault.
#[test]
fn recovering_leader_honors_an_abort_that_it_has_reported() {
    let fault = |kind, at_ms, for_ms| Fault { kind, at_ms, trigger: None, for_ms };
    let faults = [
        fault(FaultKind::SlowState { ms: 595 }, 6_335, 15_984),
        fault(FaultKind::Refusal { leader_offset: 0, silent: true }, 6_951, 25_636),
        fault(FaultKind::QueryOnChange, 7_171, 2_397),
    ];
    let violations = violations_of(1_078, &faults);
    assert!(violations.is_empty(), "{violations:?}");
}

/// Runs the search with a fixed range of seeds, or with those of `SEARCH_SEEDS`.
#[test]
fn invariants_hold_under_random_fault_combinations() {
    let found = violations_in(search_seeds(200..300), search);
    assert!(found.is_empty(), "{} runs violated an invariant:\n{}", found.len(), found.join("\n"));
}
