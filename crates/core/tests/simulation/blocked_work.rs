//! Work that can't go on now, because no machine can take it, beside work that can: the former must
//! not hold back the latter, whatever tells them apart. And the limit of a team holds although more
//! of its tasks are placed than the limit allows to start.

use crate::cluster::{
    job, job_id, machine_name, Cluster, LinkFault, RandomDelay, MACHINE_TYPE, SECOND_MACHINE_TYPE,
    WORKER_LEASE_MS,
};
use quartzgate_wire::msg::{JobKind, JobSpec, Priority};

/// Time within which a job that fits a machine with free capacity has to run.
const MAX_START_MS: u64 = 30_000;
/// Time within which a job has to run that waits for no period in which capacity is released.
const SOON_MS: u64 = 8_000;
/// Number of machines of the cluster; half of them differ from the others.
const MACHINES: usize = 6;

/// What the blocked job needs and the free machines lack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lacking {
    Zone,
    MachineType,
    OnDemand,
    Gpus,
    Memory,
    Cpus,
}

const ALL: [Lacking; 6] = [
    Lacking::Zone,
    Lacking::MachineType,
    Lacking::OnDemand,
    Lacking::Gpus,
    Lacking::Memory,
    Lacking::Cpus,
];

impl Lacking {
    /// Returns whether the blocked job waits because its machines were lost; otherwise it waits
    /// because the resource is used up.
    fn by_lost_machines(self) -> bool {
        matches!(self, Lacking::Zone | Lacking::MachineType | Lacking::OnDemand)
    }

    /// Returns the specification of an array that uses all machines it can, and more.
    fn blocked_job(self) -> JobSpec {
        let mut spec = job(&job_id(1), JobKind::Array, 2 * MACHINES as u32);
        match self {
            Lacking::Zone => spec.zone = Some("b".into()),
            Lacking::MachineType => spec.types = Some(vec![SECOND_MACHINE_TYPE.into()]),
            Lacking::OnDemand => spec.spot = false,
            Lacking::Gpus => (spec.cpus, spec.gpus, spec.tasks) = (2.0, 1.0, 24),
            Lacking::Memory => (spec.cpus, spec.memory_gb, spec.tasks) = (3.0, 15.0, 24),
            Lacking::Cpus => (spec.cpus, spec.priority) = (5.0, Priority::High),
        }
        spec
    }

    /// Returns a limit of the team's CPUs that the blocked job reserves whole and does not use up.
    fn cpu_limit(self) -> f64 {
        match self {
            Lacking::Gpus => 24.0,
            Lacking::Memory => 48.0,
            Lacking::Cpus => 40.0,
            _ => 24.0,
        }
    }

    /// Returns the number of tasks of the blocked job that run until it is blocked.
    fn running_at_first(self) -> usize {
        match self {
            Lacking::Gpus | Lacking::Cpus => MACHINES,
            Lacking::Memory => 2 * MACHINES,
            _ => MACHINES,
        }
    }
}

/// Returns a cluster in which the machines with odd numbers are in another zone than the others, of
/// another type, or the only ones that are not spot instances.
fn mixed_cluster(lacking: Lacking, cpu_limit: f64, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(3, MACHINES, cpu_limit, seed);
    cluster.keep_idle_machines = true;
    cluster.offers_second_machine_type = lacking == Lacking::MachineType;
    cluster.machine_gpus = if lacking == Lacking::Gpus { 1.0 } else { 0.0 };
    for number in 0..MACHINES {
        let worker = cluster.workers.get_mut(&machine_name(number)).unwrap();
        match lacking {
            Lacking::MachineType if number % 2 == 1 => worker.kind = SECOND_MACHINE_TYPE.into(),
            Lacking::OnDemand => worker.spot = number % 2 == 0,
            _ => {}
        }
    }
    cluster.restart_all_controllers();
    cluster.run_until_fully_activated();
    cluster.run_for_ms(1_000);
    cluster
}

fn kill_odd_machines(cluster: &mut Cluster) {
    for number in (0..MACHINES).filter(|number| number % 2 == 1) {
        cluster.kill_machine(&machine_name(number));
    }
}

/// Runs until the blocked job waits for what it lacks.
fn run_until_blocked(cluster: &mut Cluster, lacking: Lacking) {
    let blocked = lacking.blocked_job();
    cluster.task_duration_ms.insert(blocked.id.clone(), 600_000);
    cluster.submit_until_accepted(&blocked);
    cluster.run_until_running(20_000, &blocked.id, lacking.running_at_first());
    if lacking.by_lost_machines() {
        kill_odd_machines(cluster);
        cluster.run_for_ms(2 * WORKER_LEASE_MS);
    }
}

/// Returns a job of one small task that may run anywhere.
fn small_job(n: u32) -> JobSpec {
    let mut spec = job(&job_id(n), JobKind::Array, 1);
    (spec.cpus, spec.memory_gb) = (1.0, 1.0);
    spec
}

/// Guards against a backlog that counts waiting tasks which can't use the free machines: a job that
/// can use them was not placed at all, for as long as the others waited (review, case 5). Also after
/// a failover, which restores the waiting tasks from the records.
#[test]
fn blocked_tasks_do_not_fill_the_backlog_of_other_machines() {
    for (case, lacking) in (0..).zip(ALL.into_iter().flat_map(|lacking| [lacking; 4])) {
        let mut cluster = mixed_cluster(lacking, 0.0, 64_000 + case);
        run_until_blocked(&mut cluster, lacking);
        if case % 4 >= 2 {
            let leader = cluster.leader().unwrap();
            cluster.crash_for_ms(leader, [200, 4_000][case as usize % 2]);
            cluster.run_for_ms(WORKER_LEASE_MS);
        }
        let mut small = small_job(2);
        if lacking == Lacking::Cpus {
            small.priority = Priority::Low;
        }
        cluster.submit_until_accepted(&small);
        cluster.run_until_done(&small.id, MAX_START_MS);
        cluster.assert_no_violations();
    }
}

/// Guards against tasks that wait for machines and hold their team's limit, so that the team starts
/// nothing else (review, case 8). Also after a failover.
#[test]
fn blocked_tasks_do_not_use_up_the_limit_of_their_team() {
    for (case, lacking) in (0..).zip(ALL.into_iter().flat_map(|lacking| [lacking; 4])) {
        let mut cluster = mixed_cluster(lacking, lacking.cpu_limit(), 64_100 + case);
        run_until_blocked(&mut cluster, lacking);
        if case % 4 >= 2 {
            let leader = cluster.leader().unwrap();
            cluster.crash_for_ms(leader, [200, 4_000][case as usize % 2]);
            cluster.run_for_ms(WORKER_LEASE_MS);
        }
        let mut small = small_job(2);
        if case % 2 == 1 {
            (small.kind, small.tasks) = (JobKind::Gang, 2);
        }
        cluster.submit_until_accepted(&small);
        cluster.run_until_done(&small.id, MAX_START_MS);
        cluster.assert_no_violations();
    }
}

/// What disturbs a team at its limit.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    None,
    /// The state service applies writes late, after newer ones.
    LateWrites,
    /// The state service applies writes at once, and their answers are lost.
    LostAnswers,
    /// The leader reaches only some machines.
    CutMachines,
    /// The leader is refused by the state service, and another one takes over.
    RefusedLeader,
    /// All controllers crash.
    CrashOfAll,
    /// One controller supports no format after the first, and leads for a while.
    FirstVersion,
}

const DISTURBANCES: [Disturbance; 7] = [
    Disturbance::None,
    Disturbance::LateWrites,
    Disturbance::LostAnswers,
    Disturbance::CutMachines,
    Disturbance::RefusedLeader,
    Disturbance::CrashOfAll,
    Disturbance::FirstVersion,
];

impl Disturbance {
    fn begin(self, cluster: &mut Cluster) {
        let leader = cluster.leader().unwrap_or(0);
        match self {
            Disturbance::None => {}
            Disturbance::LateWrites => {
                let delay = RandomDelay { share: 0.4, from_ms: 2_000, to_ms: 12_000 };
                cluster.state.delayed_writes = Some(delay);
            }
            Disturbance::LostAnswers => cluster.state.lost_answer_share = 0.4,
            Disturbance::CutMachines => {
                for number in 0..GROUPS * MACHINES_BY_GROUP / 2 {
                    let first = GROUPS * MACHINES_BY_GROUP;
                    let machine = machine_name((first + number) as usize);
                    cluster.cut_controller_from_worker(leader, machine, LinkFault::Hold);
                }
            }
            Disturbance::RefusedLeader => {
                cluster.state.refused_nodes.insert(leader);
            }
            Disturbance::CrashOfAll => cluster.crash_all_for_ms(1_500),
            Disturbance::FirstVersion => cluster.crash_for_ms(leader, 5_000),
        }
    }
}

/// Number of groups of machines that differ in zone or type.
const GROUPS: u32 = 4;
/// Number of machines in each group.
const MACHINES_BY_GROUP: u32 = 2;

fn group_zone(group: u32) -> String {
    ["a", "b"][group as usize % 2].into()
}

fn group_type(group: u32) -> String {
    [MACHINE_TYPE, SECOND_MACHINE_TYPE][group as usize / 2].into()
}

/// Adds the machines of all groups; the machine with number `n` is in group `n % GROUPS`.
fn add_machine_groups(cluster: &mut Cluster) {
    for n in 0..GROUPS * MACHINES_BY_GROUP {
        let name = cluster.add_worker();
        let worker = cluster.workers.get_mut(&name).unwrap();
        assert_eq!(worker.zone, group_zone(n));
        worker.kind = group_type(n % GROUPS);
    }
}

/// Guards against a team that uses more than its limit although more of its tasks are placed than
/// the limit allows: all machines become free at once, while writes are late or their outcomes
/// unknown, machines are cut off, or the leader changes, also to one of an old version.
#[test]
fn team_limit_holds_when_all_machines_become_free_at_once() {
    const LIMIT: f64 = 12.0;
    let cases = DISTURBANCES.into_iter().flat_map(|disturbance| [disturbance; 6]);
    for (case, disturbance) in (0..).zip(cases) {
        let mut cluster = Cluster::new(3, 0, LIMIT, 64_200 + case);
        cluster.keep_idle_machines = true;
        cluster.offers_second_machine_type = true;
        if matches!(disturbance, Disturbance::FirstVersion) {
            cluster.first_version_controllers = [1, 2].into();
        }
        cluster.restart_all_controllers();
        add_machine_groups(&mut cluster);
        cluster.run_for_ms(4_000);
        // Each job uses the whole limit, on machines that no other job may use and that are lost.
        for n in 0..GROUPS {
            let mut spec = job(&job_id(n), [JobKind::Array, JobKind::Gang][n as usize % 2], 3);
            (spec.zone, spec.types) = (Some(group_zone(n)), Some(vec![group_type(n)]));
            cluster.task_duration_ms.insert(spec.id.clone(), 15_000);
            cluster.submit_until_accepted(&spec);
            cluster.run_until_running(20_000, &spec.id, 3);
            for number in (0..MACHINES_BY_GROUP).map(|index| n + GROUPS * index) {
                cluster.kill_machine(&machine_name(number as usize));
            }
            cluster.run_for_ms(2 * WORKER_LEASE_MS);
        }
        add_machine_groups(&mut cluster);
        disturbance.begin(&mut cluster);
        cluster.run_for_ms(2_000 + case * 211 % 3_000);
        if case % 3 == 0 {
            let leader = cluster.leader().unwrap_or(0);
            cluster.crash_for_ms(leader, [200, 3_000][case as usize % 2]);
        }
        cluster.run_for_ms(2 * WORKER_LEASE_MS);
        cluster.clear_all_faults();
        (0..GROUPS).for_each(|n| cluster.run_until_done(&job_id(n), 200_000));
        cluster.assert_recovered();
    }
}

/// Submits a job of one small task each `interval_ms` and runs, until `done` holds.
fn run_under_small_jobs(
    cluster: &mut Cluster,
    interval_ms: u64,
    within_ms: u64,
    done: impl Fn(&Cluster) -> bool,
) {
    let (until_ms, mut n) = (cluster.now + within_ms, 100 + cluster.jobs.len() as u32);
    while !done(cluster) {
        assert!(cluster.now < until_ms, "seed {}: not within {within_ms} ms", cluster.seed);
        let mut spec = small_job(n);
        spec.zone = Some("a".into());
        cluster.task_duration_ms.insert(spec.id.clone(), 15_000);
        let node = n as usize % 3;
        cluster.submit(node, &spec);
        cluster.run_for_ms(interval_ms);
        n += 1;
    }
}

/// Guards against a job that waits for ever because smaller tasks of its team use up the limit: the
/// job that only the limit keeps waiting, and has waited longest, gets its turn. The job was placed
/// before its machines were lost, or never; it is a gang or a single large task.
#[test]
fn oldest_job_of_a_team_starts_under_a_stream_of_small_ones() {
    const LIMIT: f64 = 8.0;
    for case in 0..8u64 {
        let mut cluster = Cluster::new(3, 2, LIMIT, 64_300 + case);
        cluster.keep_idle_machines = true;
        cluster.restart_all_controllers();
        cluster.run_until_fully_activated();
        cluster.run_for_ms(1_000);
        let mut large = job(&job_id(1), JobKind::Array, 1);
        if case % 2 == 1 {
            (large.kind, large.tasks) = (JobKind::Gang, 2);
        }
        large.cpus = LIMIT / f64::from(large.tasks);
        large.zone = Some("b".into());
        cluster.task_duration_ms.insert(large.id.clone(), 20_000);
        if case % 4 < 2 {
            cluster.submit_until_accepted(&large);
            cluster.run_until_running(10_000, &large.id, large.tasks as usize);
        }
        cluster.kill_machine(&machine_name(1));
        cluster.run_for_ms(2 * WORKER_LEASE_MS);
        cluster.submit_until_accepted(&large);
        let later_ms = cluster.now + 40_000;
        run_under_small_jobs(&mut cluster, 1_000, 60_000, |cluster| cluster.now > later_ms);
        // One machine in each zone.
        cluster.add_worker();
        cluster.add_worker();
        run_under_small_jobs(&mut cluster, 1_000, 120_000, |cluster| {
            cluster.live_tasks(&job_id(1)).len() == large.tasks as usize
        });
        cluster.assert_no_violations();
    }
}

/// Guards against a limit that is held for ever for a job that can't start, because long tasks use
/// the limit: a small job that fits beside them runs.
#[test]
fn small_job_runs_beside_long_tasks_while_an_older_one_needs_the_whole_limit() {
    const LIMIT: f64 = 8.0;
    for case in 0..6u64 {
        let mut cluster = Cluster::activated(3, LIMIT, 64_400 + case, 1_000);
        cluster.task_duration_ms = [(job_id(1), 600_000), (job_id(2), 600_000)].into();
        cluster.submit_until_accepted(&job(&job_id(1), JobKind::Array, 1));
        cluster.run_until_running(10_000, &job_id(1), 1);
        let kind = [JobKind::Array, JobKind::Gang][case as usize % 2];
        let mut large = job(&job_id(2), kind, 1);
        large.cpus = LIMIT;
        cluster.submit_until_accepted(&large);
        cluster.run_for_ms(case * 10_000);
        cluster.submit_until_accepted(&small_job(3));
        cluster.run_until_done(&job_id(3), 75_000);
        cluster.assert_no_violations();
    }
}

/// Guards against a small job that waits for ever beside free capacity, which several gangs that
/// can't start hold for themselves in turns.
#[test]
fn small_job_starts_beside_capacity_that_waiting_gangs_hold() {
    for case in 0..6u64 {
        let mut cluster = Cluster::activated(2, 0.0, 64_500 + case, 1_000);
        let filler = |n: u32, zone: &str| {
            let mut spec = job(&job_id(n), JobKind::Array, 1);
            (spec.cpus, spec.zone) = (3.0, Some(zone.into()));
            spec
        };
        cluster.task_duration_ms = [(job_id(1), 600_000), (job_id(2), 600_000)].into();
        cluster.submit_until_accepted(&filler(1, "a"));
        cluster.submit_until_accepted(&filler(2, "b"));
        cluster.run_for_ms(5_000);
        // Only one of the gang's two tasks fits: 5 CPUs are free on each machine.
        for n in 3..6 {
            let mut gang = job(&job_id(n), JobKind::Gang, 3);
            gang.cpus = 5.0;
            cluster.submit_until_accepted(&gang);
            cluster.run_for_ms(11_000 + case * 900);
        }
        cluster.run_for_ms(10_000);
        let mut small = small_job(6);
        small.cpus = 4.0;
        cluster.submit_until_accepted(&small);
        cluster.run_until_done(&small.id, 60_000);
        cluster.assert_no_violations();
    }
}

/// Guards against resources that are reserved, while GPUs are scarce, for GPU tasks that may not run
/// on the machine.
#[test]
fn gpu_tasks_of_a_lost_zone_reserve_nothing_in_the_other() {
    for case in 0..6u64 {
        let mut cluster = mixed_cluster(Lacking::Gpus, 0.0, 64_600 + case);
        let mut blocked = job(&job_id(1), JobKind::Array, 12);
        (blocked.cpus, blocked.gpus, blocked.zone) = (7.0, 1.0, Some("b".into()));
        cluster.task_duration_ms.insert(blocked.id.clone(), 600_000);
        cluster.submit_until_accepted(&blocked);
        cluster.run_until_running(20_000, &blocked.id, MACHINES / 2);
        kill_odd_machines(&mut cluster);
        cluster.run_for_ms(2 * WORKER_LEASE_MS);
        let mut large = small_job(2);
        large.cpus = 6.0;
        cluster.submit_until_accepted(&large);
        cluster.run_until_done(&large.id, SOON_MS);
        cluster.assert_no_violations();
    }
}

/// Guards against jobs that no machine can take and that use up the search for machines, pass after
/// pass, so that a later job is not placed once a machine for it has come.
#[test]
fn jobs_without_a_machine_do_not_use_up_the_search_budget() {
    const FLEET: usize = 80;
    const BLOCKED: u32 = 600;
    let mut cluster = Cluster::new(3, FLEET, 0.0, 64_700);
    cluster.keep_idle_machines = true;
    cluster.batch_small_jobs = true;
    cluster.offers_second_machine_type = true;
    for number in (0..FLEET).filter(|number| number % 2 == 1) {
        cluster.kill_machine(&machine_name(number));
    }
    cluster.restart_all_controllers();
    cluster.run_until_fully_activated();
    for n in 0..BLOCKED {
        let mut blocked = job(&job_id(100 + n), JobKind::Array, 1);
        (blocked.zone, blocked.priority) = (Some("b".into()), Priority::High);
        cluster.submit_until_accepted(&blocked);
    }
    let mut small = small_job(1);
    small.types = Some(vec![SECOND_MACHINE_TYPE.into()]);
    cluster.submit_until_accepted(&small);
    cluster.run_for_ms(5_000);
    let machine = cluster.add_worker();
    cluster.workers.get_mut(&machine).unwrap().kind = SECOND_MACHINE_TYPE.into();
    cluster.run_until_done(&small.id, MAX_START_MS);
    cluster.assert_no_violations();
}

/// Guards against provisioning that keeps a team's whole limit for a job for which the cloud has no
/// machines, so that the team gets none for its other jobs.
#[test]
fn machines_are_provisioned_beside_a_job_that_can_get_none() {
    const LIMIT: f64 = 16.0;
    for case in 0..6u64 {
        let mut cluster = Cluster::activated(0, LIMIT, 64_800 + case, 1_000);
        cluster.scale_out_disabled = false;
        cluster.zones_without_machines = ["b".to_string()].into();
        let mut blocked = job(&job_id(1), JobKind::Array, 4);
        (blocked.zone, blocked.priority) = (Some("b".into()), Priority::High);
        cluster.submit_until_accepted(&blocked);
        cluster.run_for_ms(2_000 + case * 500);
        cluster.submit_until_accepted(&job(&job_id(2), JobKind::Array, 2));
        cluster.run_until_done(&job_id(2), MAX_START_MS);
        cluster.assert_no_violations();
    }
}
