//! Copies of start commands that were carried out and answered, which arrive again and again while a
//! controller, a worker or a machine is back within a second, for a task that is still there, done,
//! moved or cancelled. No copy may make a task run twice or run after its cancellation.
//!
//! Copies arrive every few milliseconds, so that they meet each moment: before the worker has been
//! told to forget the attempt, and after it.

use crate::cluster::{
    job, job_id, machine_name, Cluster, Endpoint, LinkFault, ABORT_DEADLINE_MS,
    HEARTBEAT_INTERVAL_MS, WORKER_LEASE_MS,
};
use quartzgate_wire::msg::{JobKind, JobSpec, Priority};

/// Interval between two copies of a command.
const COPY_INTERVAL_MS: u64 = 50;
/// Age from which on a command has been carried out and answered.
const ANSWERED_MS: u64 = 400;
/// Number of runs of each combination; the variable `LATE_COPY_RUNS` sets another.
const RUNS: u64 = 4;
/// The job whose starts are copied.
const JOB: u32 = 1;
/// The job that preempts it.
const PREEMPTOR: u32 = 2;

/// The way of the copied command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Route {
    Direct,
    Relay,
    Mailbox,
}

/// What is back within a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Returning {
    Controller,
    AllControllers,
    /// A worker that did not run for a moment, and has kept its tasks.
    Worker,
    /// A machine that has lost its tasks, in its next agent epoch.
    MachineInNextEpoch,
    /// A machine that has lost its tasks, in the same agent epoch, since its lease has not expired.
    MachineInSameEpoch,
}

/// What has become of the task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    StillThere,
    Done,
    Moved,
    Cancelled,
}

const ROUTES: [Route; 3] = [Route::Direct, Route::Relay, Route::Mailbox];
const FATES: [Fate; 4] = [Fate::StillThere, Fate::Done, Fate::Moved, Fate::Cancelled];

impl Route {
    /// Cuts links so that the leader's commands take this route.
    fn establish(self, cluster: &mut Cluster) {
        let leader = cluster.leader().unwrap();
        if self == Route::Direct {
            return;
        }
        for machine in 0..2 {
            cluster.cut_controller_from_worker(leader, machine_name(machine), LinkFault::Drop);
        }
        if self == Route::Mailbox {
            cluster.cut_controllers(leader, (leader + 1) % 3, LinkFault::Drop);
            for machine in 0..2 {
                let other = Endpoint::Controller((leader + 2) % 3);
                let machine = Endpoint::Worker(machine_name(machine));
                cluster.cut_link(other, machine, LinkFault::Drop);
            }
        }
        cluster.run_for_ms(2 * WORKER_LEASE_MS);
    }
}

impl Returning {
    fn begin(self, cluster: &mut Cluster, machine: &str, down_ms: u64) {
        match self {
            Returning::Controller => {
                let leader = cluster.leader().unwrap_or(0);
                cluster.crash_for_ms(leader, down_ms);
            }
            Returning::AllControllers => cluster.crash_all_for_ms(down_ms),
            Returning::Worker => cluster.hang_machine(machine, down_ms),
            Returning::MachineInNextEpoch => cluster.reboot_machine(machine, down_ms),
            Returning::MachineInSameEpoch => {
                cluster.restart_machine_in_same_epoch(machine, down_ms)
            }
        }
    }
}

impl Fate {
    /// Asks for the fate, except for a completion, which comes by itself.
    fn begin(self, cluster: &mut Cluster, preemptor: &JobSpec) {
        let leader = cluster.leader().unwrap_or(0);
        match self {
            Fate::StillThere | Fate::Done => {}
            Fate::Moved => {
                cluster.submit(leader, preemptor);
            }
            Fate::Cancelled => {
                cluster.abort(leader, &job_id(JOB));
            }
        }
    }

    /// Repeats the request until it is answered.
    fn ensure(self, cluster: &mut Cluster, preemptor: &JobSpec) {
        match self {
            Fate::StillThere | Fate::Done => {}
            Fate::Moved => cluster.submit_until_accepted(preemptor),
            Fate::Cancelled => cluster.abort_until_confirmed(&job_id(JOB)),
        }
    }
}

/// When copies met the first machine, by what it held of the task then.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct CopiesSeen {
    live: u32,
    before_clear: u32,
    after_clear: u32,
}

impl CopiesSeen {
    fn count(&mut self, cluster: &Cluster, machine: &str) {
        let task = format!("{}/0", job_id(JOB));
        match cluster.workers.get(machine).and_then(|worker| worker.tasks.get(&task)) {
            Some(held) if held.is_live() => self.live += 1,
            Some(_) => self.before_clear += 1,
            None => self.after_clear += 1,
        }
    }
}

/// Runs one combination and returns when copies met the machine. The time between the fate's
/// beginning and the return depends on the seed.
fn run(route: Route, returning: Returning, fate: Fate, seed: u64) -> CopiesSeen {
    let mut cluster = Cluster::activated(2, 0.0, seed, 1_000);
    cluster.scale_in_disabled = true;
    route.establish(&mut cluster);
    cluster.captures_starts = true;
    let duration_ms = if fate == Fate::Done { 3_000 } else { 600_000 };
    cluster.task_duration_ms = [(job_id(JOB), duration_ms), (job_id(PREEMPTOR), 5_000)].into();
    cluster.submit_until_accepted(&job(&job_id(JOB), JobKind::Array, 1));
    cluster.run_until_running(20_000, &job_id(JOB), 1);
    let machine = cluster.live_tasks(&job_id(JOB))[0].machine.clone();
    cluster.run_for_ms(2 * ANSWERED_MS);
    let mut seen = CopiesSeen::default();
    let deliver_copies = |cluster: &mut Cluster, seen: &mut CopiesSeen, for_ms: u64| {
        for _ in 0..for_ms / COPY_INTERVAL_MS {
            seen.count(cluster, &machine);
            cluster.deliver_copies_of_starts(ANSWERED_MS);
            cluster.run_for_ms(COPY_INTERVAL_MS);
        }
    };
    let mut preemptor = job(&job_id(PREEMPTOR), JobKind::Array, 1);
    (preemptor.cpus, preemptor.priority) = (8.0, Priority::High);
    preemptor.zone = Some(cluster.workers[&machine].zone.clone());
    fate.begin(&mut cluster, &preemptor);
    deliver_copies(&mut cluster, &mut seen, seed % 7 * 300);
    returning.begin(&mut cluster, &machine, 200 + seed % 5 * 190);
    deliver_copies(&mut cluster, &mut seen, WORKER_LEASE_MS);
    fate.ensure(&mut cluster, &preemptor);
    deliver_copies(&mut cluster, &mut seen, ABORT_DEADLINE_MS + WORKER_LEASE_MS);
    cluster.captures_starts = false;
    cluster.clear_all_faults();
    // Machines that were silent for long may be returned to the cloud now.
    cluster.scale_out_disabled = false;
    cluster.run_for_ms(4 * HEARTBEAT_INTERVAL_MS);
    let context = format!("{route:?}, {returning:?}, {fate:?}, seed {seed}");
    assert!(cluster.violations.is_empty(), "{context}: {:#?}", cluster.violations);
    match fate {
        Fate::StillThere => cluster.run_until_running(60_000, &job_id(JOB), 1),
        Fate::Moved => {
            cluster.run_until_done(&job_id(PREEMPTOR), 60_000);
            cluster.run_until_running(60_000, &job_id(JOB), 1);
        }
        Fate::Done => cluster.run_until_done(&job_id(JOB), 60_000),
        Fate::Cancelled => assert!(cluster.live_tasks(&job_id(JOB)).is_empty(), "{context}"),
    }
    seen
}

/// Runs all combinations with one kind of return and prints when copies met the machine.
fn assert_copies_have_no_effect(returning: Returning) {
    for route in ROUTES {
        for fate in FATES {
            let runs = std::env::var("LATE_COPY_RUNS").map_or(RUNS, |text| text.parse().unwrap());
            let mut total = CopiesSeen::default();
            for seed in 65_000..65_000 + runs {
                let seen = run(route, returning, fate, seed);
                total.live += seen.live;
                total.before_clear += seen.before_clear;
                total.after_clear += seen.after_clear;
            }
            println!("{route:?} | {returning:?} | {fate:?} | {total:?}");
            if fate != Fate::StillThere {
                assert!(total.after_clear > 0, "no copy arrived after the task was cleared");
            }
        }
    }
}

/// Guards against a copy of a start that takes effect after the leader has crashed and is back.
#[test]
fn copies_of_starts_have_no_effect_when_a_controller_is_back() {
    assert_copies_have_no_effect(Returning::Controller);
}

/// Guards against a copy of a start that takes effect after all controllers are back.
#[test]
fn copies_of_starts_have_no_effect_when_all_controllers_are_back() {
    assert_copies_have_no_effect(Returning::AllControllers);
}

/// Guards against a copy of a start that takes effect after the worker did not run for a moment.
#[test]
fn copies_of_starts_have_no_effect_when_a_worker_is_back() {
    assert_copies_have_no_effect(Returning::Worker);
}

/// Guards against a copy of a start that takes effect on a machine that is back without its tasks.
#[test]
fn copies_of_starts_have_no_effect_when_a_machine_is_back_in_its_next_epoch() {
    assert_copies_have_no_effect(Returning::MachineInNextEpoch);
}

/// Guards against a copy of a start on a machine that is back without its tasks in the same agent
/// epoch: the task ran again there while it already ran on another machine, or was cancelled.
#[test]
fn copies_of_starts_have_no_effect_when_a_machine_is_back_in_the_same_epoch() {
    assert_copies_have_no_effect(Returning::MachineInSameEpoch);
}
