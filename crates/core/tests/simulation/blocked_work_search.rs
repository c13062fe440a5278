//! A randomized search for work that can't go on and holds back work that can.
//!
//! Each run draws jobs of all kinds, with and without constraints, and machines of several classes,
//! some of which are lost for good. The cloud has no others. At the end no accepted job may wait
//! while a machine that fits has room and its team's tasks leave room within the limit.
//!
//! `SEARCH_SEEDS=from..to` simulates other seeds than the few that CI runs.

use crate::cluster::{
    job, job_id, machine_name, Cluster, RandomDelay, MACHINE_TYPE, SECOND_MACHINE_TYPE,
    WORKER_LEASE_MS,
};
use crate::fault_search::{search_seeds, violations_in};
use quartzgate_wire::msg::{JobKind, JobSpec, Priority};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Time of each run in which jobs are submitted and faults are injected.
const FAULT_PHASE_MS: u64 = 60_000;
/// Run time of tasks that outlast the run.
const LONG_TASK_MS: u64 = 600_000;
/// Number of the first of the jobs that are submitted after the last fault.
const FIRST_LATE_JOB: u32 = 100;

/// The machines that are lost.
#[derive(Clone, Copy, Debug)]
enum LostMachines {
    Zone,
    MachineType,
    OnDemand,
    Spot,
}

/// What is drawn for a run, apart from its jobs.
struct Draw {
    machines: usize,
    cpu_limit: f64,
    gpus: f64,
    lost: LostMachines,
    loss_at_ms: u64,
    crash_at_ms: Option<u64>,
    delayed_writes: bool,
}

impl Draw {
    fn new(rng: &mut SmallRng) -> Draw {
        let lost = [
            LostMachines::Zone,
            LostMachines::MachineType,
            LostMachines::OnDemand,
            LostMachines::Spot,
        ];
        Draw {
            machines: rng.random_range(4..=10),
            cpu_limit: *[0.0, 0.0, 16.0, 24.0, 40.0].choose(rng).unwrap(),
            gpus: f64::from(rng.random_range(0..=1)),
            lost: *lost.choose(rng).unwrap(),
            loss_at_ms: rng.random_range(8_000..25_000),
            crash_at_ms: rng.random_bool(0.5).then(|| rng.random_range(8_000..50_000)),
            delayed_writes: rng.random_bool(0.2),
        }
    }
}

/// Draws a job. Small jobs are as frequent as large ones.
fn draw_job(rng: &mut SmallRng, n: u32, gpus: f64) -> JobSpec {
    let kinds = [JobKind::Array, JobKind::Array, JobKind::Array, JobKind::Gang, JobKind::Service];
    let kind = *kinds.choose(rng).unwrap();
    let tasks = if rng.random() { rng.random_range(1..=3) } else { rng.random_range(4..=24) };
    let mut spec = job(&job_id(n), kind, if kind == JobKind::Array { tasks } else { tasks.min(4) });
    let priorities = [Priority::Low, Priority::Normal, Priority::High, Priority::Production];
    spec.priority = *priorities.choose(rng).unwrap();
    spec.cpus = *[0.5, 1.0, 2.0, 3.0, 4.0, 5.0, 8.0].choose(rng).unwrap();
    spec.memory_gb = *[1.0, 4.0, 15.0].choose(rng).unwrap();
    spec.gpus = if rng.random_bool(0.2) { gpus } else { 0.0 };
    spec.spot = rng.random_bool(0.7);
    match rng.random_range(0..6) {
        0 | 1 => spec.zone = Some(["a", "b"].choose(rng).unwrap().to_string()),
        2 => {
            let kind = [MACHINE_TYPE, SECOND_MACHINE_TYPE].choose(rng).unwrap();
            spec.types = Some(vec![kind.to_string()]);
        }
        3 => spec.together = true,
        4 => spec.spread = kind != JobKind::Gang,
        _ => {}
    }
    spec
}

/// Starts a cluster whose machines differ in zone, type and whether they are spot instances.
fn cluster_for(seed: u64, draw: &Draw, rng: &mut SmallRng) -> Cluster {
    let mut cluster = Cluster::new(3, draw.machines, draw.cpu_limit, seed);
    cluster.keep_idle_machines = true;
    cluster.offers_second_machine_type = true;
    cluster.machine_gpus = draw.gpus;
    cluster.batch_small_jobs = rng.random_bool(0.3);
    for worker in cluster.workers.values_mut() {
        worker.spot = rng.random();
        if rng.random() {
            worker.kind = SECOND_MACHINE_TYPE.into();
        }
    }
    cluster.restart_all_controllers();
    cluster.run_until_fully_activated();
    cluster
}

fn lose_machines(cluster: &mut Cluster, lost: LostMachines) {
    let numbers = 0..cluster.workers.len();
    for name in numbers.map(machine_name) {
        let Some(worker) = cluster.workers.get(&name) else { continue };
        let is_lost = match lost {
            LostMachines::Zone => worker.zone == "b",
            LostMachines::MachineType => worker.kind == SECOND_MACHINE_TYPE,
            LostMachines::OnDemand => !worker.spot,
            LostMachines::Spot => worker.spot,
        };
        if is_lost {
            cluster.kill_machine(&name);
        }
    }
}

/// Submits jobs that are due, at a random controller.
fn submit_due(cluster: &mut Cluster, rng: &mut SmallRng, jobs: &mut Vec<(u64, JobSpec)>, at: u64) {
    while jobs.last().is_some_and(|(due_ms, _)| at >= *due_ms) {
        let (_, spec) = jobs.pop().unwrap();
        let node = rng.random_range(0..3);
        cluster.submit(node, &spec);
    }
}

fn simulate(seed: u64) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let draw = Draw::new(&mut rng);
    let mut cluster = cluster_for(seed, &draw, &mut rng);
    let mut jobs: Vec<(u64, JobSpec)> = Vec::new();
    for n in 1..rng.random_range(8..18) {
        let spec = draw_job(&mut rng, n, draw.gpus);
        let duration_ms = match rng.random_bool(0.4) {
            true => LONG_TASK_MS,
            false => rng.random_range(1_000..20_000),
        };
        cluster.task_duration_ms.insert(spec.id.clone(), duration_ms);
        jobs.push((rng.random_range(0..FAULT_PHASE_MS - 10_000), spec));
    }
    jobs.sort_by_key(|(due_ms, _)| std::cmp::Reverse(*due_ms));
    let start_ms = cluster.now;
    let (mut loss_at_ms, mut crash_at_ms) = (Some(draw.loss_at_ms), draw.crash_at_ms);
    while cluster.now < start_ms + FAULT_PHASE_MS {
        let at = cluster.now - start_ms;
        submit_due(&mut cluster, &mut rng, &mut jobs, at);
        if loss_at_ms.take_if(|due_ms| at >= *due_ms).is_some() {
            lose_machines(&mut cluster, draw.lost);
            let delay = RandomDelay { share: 0.3, from_ms: 2_000, to_ms: 12_000 };
            cluster.state.delayed_writes = draw.delayed_writes.then_some(delay);
        }
        if crash_at_ms.take_if(|due_ms| at >= *due_ms).is_some() {
            let leader = cluster.leader().unwrap_or(0);
            cluster.crash_for_ms(leader, *[200, 4_000].choose(&mut rng).unwrap());
        }
        cluster.run_for_ms(100);
    }
    cluster.clear_all_faults();
    cluster.run_for_ms(WORKER_LEASE_MS);
    for n in FIRST_LATE_JOB..FIRST_LATE_JOB + 3 {
        let mut spec = draw_job(&mut rng, n, 0.0);
        (spec.kind, spec.tasks, spec.spread) = (JobKind::Array, 1, false);
        cluster.submit(n as usize % 3, &spec);
    }
    cluster.run_for_ms(2_000);
    // Users ask about their jobs until they are done.
    cluster.polls_jobs = true;
    cluster.assert_no_job_waits_beside_free_capacity();
    cluster.violations.clone()
}

/// Simulates a run and describes it if it violates an invariant; a panic counts as one.
fn search(seed: u64) -> Option<String> {
    let outcome = std::panic::catch_unwind(|| simulate(seed));
    let violations = outcome.unwrap_or_else(|payload| {
        vec![payload.downcast_ref::<String>().cloned().unwrap_or_default()]
    });
    let first: Vec<String> = violations.into_iter().take(3).collect();
    (!first.is_empty()).then(|| format!("seed {seed}: {first:?}"))
}

/// Guards against work that can't go on and holds back work that can. Runs a fixed range of seeds,
/// or those of `SEARCH_SEEDS`.
#[test]
fn no_job_waits_beside_free_capacity_when_machines_are_lost() {
    let found = violations_in(search_seeds(400..500), search);
    assert!(found.is_empty(), "{} runs violated an invariant:\n{}", found.len(), found.join("\n"));
}

/// Guards against jobs that wait beside free capacity in the runs in which a longer search has found
/// them.
#[test]
fn no_job_waits_beside_free_capacity_in_seeds_found_by_the_search() {
    let found: Vec<String> =
        [11_607, 12_292, 14_376, 15_826].into_iter().filter_map(search).collect();
    assert!(found.is_empty(), "{} runs violated an invariant:\n{}", found.len(), found.join("\n"));
}
