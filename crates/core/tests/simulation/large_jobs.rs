//! Wide jobs that must start while small jobs keep arriving.

use crate::cluster::{job, job_id, Cluster};
use quartzgate_wire::msg::{JobKind, JobSpec};

/// Returns a cluster that keeps its machines and gets no others.
fn settled_cluster(workers: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(3, workers, 0.0, seed);
    cluster.keep_idle_machines = true;
    cluster.restart_all_controllers();
    cluster.run_for_ms(2_500);
    cluster
}

/// Returns a job each of whose tasks takes all CPUs of a machine.
fn whole_machine_job(n: u32, kind: JobKind, tasks: u32) -> JobSpec {
    JobSpec { cpus: 8.0, estimate_s: 6.0, ..job(&job_id(n), kind, tasks) }
}

/// Submits a large job while small jobs arrive faster than they can run; returns how long the large
/// job waited until all its tasks had started, in milliseconds.
fn wait_among_small_jobs_ms(
    cluster: &mut Cluster,
    large: &JobSpec,
    small_job_kind: JobKind,
    interval_ms: u64,
) -> u64 {
    cluster.task_duration_ms = (0..2_000).map(|n| (job_id(n), 6_000)).collect();
    for n in 0..16 {
        cluster.submit(n as usize % 3, &whole_machine_job(n, small_job_kind, 1));
    }
    cluster.run_for_ms(4_000);
    cluster.submit(0, large);
    let (submitted_at_ms, mut n) = (cluster.now, 16);
    let has_started = |cluster: &Cluster| {
        (0..large.tasks).all(|n| cluster.task_starts.contains_key(&format!("{}/{n}", large.id)))
    };
    while !has_started(cluster) {
        assert!(
            cluster.now < submitted_at_ms + 240_000,
            "{} of {:?} has not started",
            large.id,
            large.kind
        );
        cluster.submit(n as usize % 3, &whole_machine_job(n, small_job_kind, 1));
        cluster.run_for_ms(interval_ms);
        n += 1;
    }
    cluster.now - submitted_at_ms
}

/// A gang that needs most machines must start although gangs of one task arrive faster than they
/// can run. The wide gang is alone or one of three, none of which may hold capacity that another
/// lacks. Planning gangs repeatedly on the same capacity must not use up the writes.
#[test]
fn wide_gang_starts_under_a_stream_of_small_gangs() {
    for case in 0..6u64 {
        let mut cluster = settled_cluster(8, 12_000 + case);
        let wide =
            |n: u32| whole_machine_job(5_000 + n, JobKind::Gang, if case % 2 == 0 { 6 } else { 8 });
        if case >= 4 {
            cluster.submit_until_accepted(&wide(1));
            cluster.submit_until_accepted(&wide(2));
        }
        let (writes, starts) = (cluster.state.writes, cluster.task_starts.len());
        let waited = wait_among_small_jobs_ms(&mut cluster, &wide(0), JobKind::Gang, 600);
        let (writes, starts) = (cluster.state.writes - writes, cluster.task_starts.len() - starts);
        assert!(waited < 120_000, "case {case}: {waited} ms");
        assert!(writes < 40 + 8 * starts as u64, "case {case}: {writes} writes, {starts} starts");
        cluster.run_until_done(&wide(0).id, 60_000);
        cluster.assert_no_accepted_job_is_lost();
    }
}

/// A wide array and a service with `spread` must start although small jobs of the same priority
/// would always finish sooner.
#[test]
fn wide_arrays_and_services_start_under_a_stream_of_small_jobs() {
    for case in 0..4u64 {
        let mut cluster = settled_cluster(8, 12_100 + case);
        let kind = [JobKind::Array, JobKind::Service][case as usize % 2];
        let mut large = whole_machine_job(5_000, kind, 8);
        large.priority = whole_machine_job(0, JobKind::Array, 1).priority;
        large.spread = kind == JobKind::Service;
        cluster.task_duration_ms.insert(large.id.clone(), 30_000);
        let waited = wait_among_small_jobs_ms(&mut cluster, &large, JobKind::Array, 700);
        assert!(waited < 120_000, "case {case}: {waited} ms");
        cluster.assert_no_accepted_job_is_lost();
    }
}
