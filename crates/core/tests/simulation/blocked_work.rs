//! Work that can't go on now, because no machine can take it, beside work that can: the former must
//! not hold back the latter, whatever tells them apart.

use crate::cluster::{job, job_id, machine_name, Cluster, SECOND_MACHINE_TYPE, WORKER_LEASE_MS};
use quartzgate_wire::msg::{JobKind, JobSpec, Priority};

/// Time within which a job that fits a machine with free capacity has to run.
const MAX_START_MS: u64 = 30_000;
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
        cluster.run_until_done(&large.id, MAX_START_MS);
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
