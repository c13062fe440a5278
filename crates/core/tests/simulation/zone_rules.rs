//! Jobs whose tasks have to run in the same zone, or spread over zones, when zones have no machines:
//! they must run as soon as the rest of the fleet, or machines that can be provisioned, allow it,
//! and never in a wrong place.

use crate::cluster::{job, job_id, Cluster, WORKER_LEASE_MS};
use quartzgate_wire::msg::{JobKind, JobSpec};

/// Returns the spec of a small job of two tasks that have to run in the same zone.
fn together_job(kind: JobKind) -> JobSpec {
    let mut spec = job(&job_id(9), kind, 2);
    (spec.cpus, spec.together) = (2.0, true);
    spec
}

/// Returns a cluster of four machines whose first zone has less free capacity than the second.
fn cluster_with_a_fuller_zone(seed: u64) -> Cluster {
    let mut cluster = Cluster::activated(4, 0.0, seed, 1_000);
    cluster.keep_idle_machines = true;
    cluster.restart_all_controllers();
    cluster.run_until_fully_activated();
    let mut filler = job(&job_id(1), JobKind::Service, 2);
    (filler.cpus, filler.zone) = (4.0, Some("a".into()));
    cluster.submit_until_accepted(&filler);
    cluster.run_until_running(20_000, &job_id(1), 2);
    cluster
}

fn kill_zone(cluster: &mut Cluster, zone: &str) {
    let in_zone = |worker: &&crate::cluster::Worker| worker.zone == zone;
    let names: Vec<String> = cluster
        .workers
        .iter()
        .filter(|(_, worker)| in_zone(worker))
        .map(|(name, _)| name.clone())
        .collect();
    names.iter().for_each(|name| cluster.kill_machine(name));
}

fn zone_of_running(cluster: &Cluster, id: &str) -> String {
    cluster.workers[&cluster.live_tasks(id)[0].machine].zone.clone()
}

/// Guards against a job with `together` that waits for ever after its zone has lost its machines,
/// beside machines with room in the other zone; also after a failover has restored the zone from
/// the records, and for services and gangs.
#[test]
fn job_bound_to_one_zone_moves_when_its_zone_loses_its_machines() {
    for case in 0..18u64 {
        let kind = [JobKind::Array, JobKind::Service, JobKind::Gang][case as usize % 3];
        let mut cluster = cluster_with_a_fuller_zone(63_000 + case);
        cluster.task_duration_ms.insert(job_id(9), 300_000);
        cluster.submit_until_accepted(&together_job(kind));
        cluster.run_until_running(20_000, &job_id(9), 2);
        let lost_zone = zone_of_running(&cluster, &job_id(9));
        assert_eq!(lost_zone, "b", "case {case}");
        kill_zone(&mut cluster, &lost_zone);
        if case % 6 >= 3 {
            cluster.run_for_ms(case * 400);
            let leader = cluster.leader().unwrap();
            cluster.crash_for_ms(leader, 3_000);
        }
        cluster.run_for_ms(WORKER_LEASE_MS);
        cluster.run_until(60_000, "the job runs in the other zone", |cluster| {
            cluster.live_tasks(&job_id(9)).len() == 2
        });
        assert_eq!(zone_of_running(&cluster, &job_id(9)), "a", "case {case}");
        cluster.assert_recovered();
    }
}

/// Guards against provisioning that counts room in a zone in which a job with `together` can't run,
/// because one of its tasks is on a machine of the other zone.
#[test]
fn machines_are_provisioned_in_the_zone_that_a_running_task_fixes() {
    for seed in 63_100..63_108 {
        let mut cluster = Cluster::activated(2, 0.0, seed, 1_000);
        cluster.scale_out_disabled = false;
        cluster.scale_in_disabled = true;
        cluster.task_duration_ms.insert(job_id(9), 300_000);
        let mut spec = together_job(JobKind::Service);
        spec.cpus = 8.0;
        cluster.submit_until_accepted(&spec);
        cluster.run_until(60_000, "both tasks run", |cluster| {
            cluster.live_tasks(&job_id(9)).len() == 2
        });
        cluster.assert_recovered();
    }
}

/// Guards against a gang with `spread` that never begins when one zone has no machine and the other
/// has room for all its tasks.
#[test]
fn spread_gang_begins_when_one_zone_has_no_machine() {
    for seed in 63_200..63_208 {
        let mut cluster = Cluster::activated(4, 0.0, seed, 1_000);
        cluster.scale_out_disabled = false;
        kill_zone(&mut cluster, "b");
        let mut gang = job(&job_id(9), JobKind::Gang, 2);
        (gang.cpus, gang.spread) = (2.0, true);
        cluster.submit_until_accepted(&gang);
        cluster.run_until_done(&job_id(9), 60_000);
        cluster.assert_no_violations();
    }
}

/// Guards against an array that is accepted with both `together` and `spread` and starts in the
/// wrong place: at most half of its tasks may be in one zone, and all of them in the same.
#[test]
fn array_with_both_zone_rules_runs_half_of_its_tasks_at_a_time() {
    for seed in 63_300..63_308 {
        let mut cluster = Cluster::activated(4, 0.0, seed, 1_000);
        cluster.scale_out_disabled = seed % 2 == 0;
        let mut spec = job(&job_id(9), JobKind::Array, 5);
        (spec.cpus, spec.together, spec.spread) = (1.0, true, true);
        cluster.submit_until_accepted(&spec);
        cluster.run_until_done(&job_id(9), 90_000);
        cluster.assert_no_violations();
    }
}

/// Guards against jobs with zone rules that run in a wrong place or are left waiting while machines
/// of either zone are lost and return, and the leader changes.
#[test]
fn zone_rules_hold_while_zones_lose_machines_and_leaders_change() {
    for case in 0..24u64 {
        let mut cluster = Cluster::activated(6, 0.0, 63_400 + case, 1_000);
        cluster.scale_out_disabled = case % 3 == 0;
        (cluster.boot_ms, cluster.list_lag_ms) = (0..=2_000, 2_000);
        for n in 0..6u32 {
            let kind = [JobKind::Array, JobKind::Service, JobKind::Gang][n as usize % 3];
            let mut spec = job(&job_id(n), kind, 2 + n % 3);
            spec.cpus = 1.0;
            (spec.together, spec.spread) = (n % 2 == 0, n % 2 == 1 || n == 0);
            cluster.task_duration_ms.insert(job_id(n), 6_000 + u64::from(n) * 2_000);
            cluster.submit_until_accepted(&spec);
        }
        for round in 0..3u64 {
            cluster.run_for_ms(1_000 + case * 97 % 900);
            let zone = ["a", "b"][(case + round) as usize % 2];
            let names: Vec<String> = cluster
                .workers
                .iter()
                .filter(|(_, worker)| worker.zone == zone && !worker.dead)
                .map(|(name, _)| name.clone())
                .collect();
            for (index, name) in names.iter().enumerate() {
                cluster.reboot_machine(name, 3_000 + case * 311 % 9_000 + index as u64 * 200);
            }
            if (case + round) % 3 == 0 {
                let leader = cluster.leader().unwrap_or(0);
                cluster.crash_for_ms(leader, [200, 3_000][round as usize % 2]);
            }
            cluster.run_for_ms(WORKER_LEASE_MS / 2);
        }
        cluster.run_for_ms(WORKER_LEASE_MS);
        cluster.clear_all_faults();
        cluster.assert_recovered();
    }
}
