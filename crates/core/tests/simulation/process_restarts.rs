//! Controllers that restart within a fraction of a second: the lease, keys, claims, mailbox
//! records, calls and orders of the earlier incarnation still exist, and the other processes may
//! not have noticed the restart.

use crate::cluster::{
    job, job_id, Cluster, LinkFault, ABORT_DEADLINE_MS, HEARTBEAT_INTERVAL_MS, WORKER_LEASE_MS,
};
use quartzgate_wire::msg::{JobKind, JobStatus};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// How long a controller that crashes is down.
const DOWNTIME_MS: u64 = 200;

/// Submits a one-task job to all running controllers until its task has started, and returns how
/// long that took, in milliseconds.
fn time_to_first_start_ms(cluster: &mut Cluster, id: &str) -> u64 {
    let began_ms = cluster.now;
    let (spec, task) = (job(id, JobKind::Array, 1), format!("{id}/0"));
    while !cluster.task_starts.contains_key(&task) {
        assert!(cluster.now < began_ms + 60_000, "no task is started");
        (0..cluster.controller_count())
            .filter(|n| cluster.is_up(*n))
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|n| {
                cluster.submit(n, &spec);
            });
        cluster.run_for_ms(100);
    }
    cluster.now - began_ms
}

/// Injects the fault of this kind, if there is one, during which controllers restart, and lets it
/// take effect.
fn inject_fault_before_restarts(cluster: &mut Cluster, kind: u64, leader: usize) {
    let (successor, third) = ((leader + 1) % 3, (leader + 2) % 3);
    match kind {
        // Writes and orders of the earlier incarnation are delivered when the next incarnation
        // leads.
        1 => {
            cluster.cut_controller_from_state_service(leader, LinkFault::Hold);
            for n in 8..12 {
                cluster.submit(leader, &job(&job_id(n), JobKind::Array, 2));
            }
            cluster.run_for_ms(150);
        }
        2 => cluster.state.down = true,
        3 => {
            let workers: Vec<String> = cluster.workers.keys().take(4).cloned().collect();
            for worker in workers {
                cluster.cut_controller_from_worker(leader, worker, LinkFault::Hold);
            }
            cluster.run_for_ms(2 * HEARTBEAT_INTERVAL_MS);
        }
        // Heartbeats and forwarded requests arrive from an earlier incarnation.
        4 => {
            cluster.cut_controllers(leader, successor, LinkFault::Hold);
            cluster.cut_controllers(leader, third, LinkFault::Hold);
            for n in 8..12 {
                cluster.submit(successor, &job(&job_id(n), JobKind::Array, 2));
            }
            cluster.run_for_ms(300);
        }
        // A sibling renews the leases of half of the workers, and forwards orders and heartbeats
        // through mailboxes.
        5 => {
            cluster.cut_controllers(leader, successor, LinkFault::Drop);
            let far_workers: Vec<String> = cluster.workers.keys().step_by(2).cloned().collect();
            for worker in far_workers {
                cluster.cut_controller_from_worker(leader, worker.clone(), LinkFault::Drop);
                cluster.cut_controller_from_worker(third, worker, LinkFault::Drop);
            }
            cluster.run_for_ms(5 * HEARTBEAT_INTERVAL_MS);
            for n in 8..12 {
                cluster.submit(successor, &job(&job_id(n), JobKind::Array, 2));
            }
            cluster.run_for_ms(400);
        }
        _ => {}
    }
}

/// Guards against records and messages that name a controller but do not hold for its next
/// incarnation. The leader, a follower, the leader and its successor, or all three controllers
/// restart before another process notices: once, twice and ten times within a lease; with calls,
/// orders and writes of the earlier incarnation still in flight, during an outage of the state
/// service, and with a zone whose leases a proxy renews. Tasks must keep running where they are,
/// none may run twice, and a new task must start within little more than a lease of the state
/// service.
#[test]
fn tasks_keep_running_when_controllers_restart_unnoticed() {
    let mut start_delays_ms = Vec::new();
    for case in 0..90u64 {
        let mut cluster = Cluster::activated(12, 0.0, 9_000 + case, 1_500);
        cluster.max_delay_ms = if case % 2 == 0 { 4 } else { 120 };
        cluster.task_duration_ms = (0..8).map(|n| (job_id(n), 45_000)).collect();
        (0..8).for_each(|n| cluster.submit_until_accepted(&job(&job_id(n), JobKind::Array, 1)));
        cluster.run_until(20_000, "all tasks run", |cluster| cluster.task_starts.len() == 8);
        let leader = cluster.leader().unwrap();
        let (successor, third) = ((leader + 1) % 3, (leader + 2) % 3);
        inject_fault_before_restarts(&mut cluster, case / 5 % 6, leader);
        let restarts = [1, 2, 10][case as usize % 3];
        for restart in 0..restarts {
            let nodes = match case % 5 {
                0 => vec![leader],
                1 => vec![third],
                2 => vec![leader, successor],
                3 => vec![leader, successor, third],
                _ => vec![(leader + restart) % 3],
            };
            nodes.iter().for_each(|n| cluster.crash_for_ms(*n, DOWNTIME_MS));
            cluster.run_for_ms(DOWNTIME_MS + 40 + 37 * case % 200);
        }
        cluster.state.down = false;
        cluster.heal_links();
        start_delays_ms.push(time_to_first_start_ms(&mut cluster, "wk-900000"));
        cluster.run_for_ms(ABORT_DEADLINE_MS);
        for n in 0..8 {
            cluster.run_until_done(&job_id(n), 120_000);
            let starts = &cluster.task_starts[&format!("{}/0", job_id(n))];
            // Leases may have expired where workers were partitioned or no controller led for
            // seconds.
            let leases_may_expire = matches!(case / 5 % 6, 3 | 5) || restarts > 2;
            assert!(
                starts.len() == 1 || leases_may_expire,
                "case {case}: {} was started again",
                job_id(n)
            );
        }
        cluster.assert_no_accepted_job_is_lost();
    }
    start_delays_ms.sort_unstable();
    let percentile =
        |part: f64| start_delays_ms[(part * (start_delays_ms.len() - 1) as f64) as usize];
    println!(
        "ms to the first start: p50 {}, p95 {}, max {}",
        percentile(0.5),
        percentile(0.95),
        percentile(1.0)
    );
    assert!(percentile(0.5) < 1_000 && percentile(1.0) < WORKER_LEASE_MS, "{start_delays_ms:?}");
}

/// Guards against a crash-looping controller that keeps the leadership forever. It crashes whenever
/// it has just become leader, as a process does whose memory cannot hold the records. After each
/// restart it finds the key of its earlier incarnation and could lead again without waiting; it
/// must leave the leadership to another controller.
#[test]
fn leadership_moves_when_the_leader_crash_loops() {
    for case in 0..5u64 {
        let mut cluster = Cluster::activated(10, 0.0, 9_200 + case, 1_500);
        let first_leader = cluster.leader().unwrap();
        let (began_ms, mut epoch) = (cluster.now, 0);
        while cluster.now < began_ms + 15_000 {
            cluster.run_for_ms(7);
            let own_record =
                cluster.leader_record().filter(|record| record.node == format!("n{first_leader}"));
            if let Some(record) = own_record.filter(|record| record.epoch > epoch) {
                epoch = record.epoch;
                cluster.crash_for_ms(first_leader, DOWNTIME_MS);
            }
        }
        let current = cluster.leader_record().expect("a controller leads");
        assert_ne!(current.node, format!("n{first_leader}"));
        assert!(current.epoch < 8, "leadership changed {} times", current.epoch);
        let start_delay_ms = time_to_first_start_ms(&mut cluster, "wk-900000");
        assert!(start_delay_ms < 2_000, "{start_delay_ms} ms");
        cluster.assert_no_accepted_job_is_lost();
    }
}

/// Guards against tasks that are started elsewhere when their lease proxy restarts. A zone is
/// partitioned from the leader, and the follower that renews the leases of the zone's workers
/// restarts: the follower's claim still exists under the lease of the earlier incarnation and
/// expires with that lease.
#[test]
fn proxied_tasks_keep_running_when_the_proxy_restarts() {
    for case in 0..12u64 {
        let mut cluster = Cluster::activated(12, 0.0, 9_300 + case, 1_500);
        cluster.task_duration_ms = (0..10).map(|n| (job_id(n), 60_000)).collect();
        (0..10).for_each(|n| cluster.submit_until_accepted(&job(&job_id(n), JobKind::Array, 1)));
        cluster.run_until(20_000, "all tasks run", |cluster| cluster.task_starts.len() == 10);
        let leader = cluster.leader().unwrap();
        let proxy = (leader + 1) % 3;
        let far_workers: Vec<String> = cluster.workers.keys().step_by(2).cloned().collect();
        for n in (0..3).filter(|n| *n != proxy) {
            cluster.cut_controllers(n, proxy, LinkFault::Drop);
            for worker in &far_workers {
                cluster.cut_controller_from_worker(n, worker.clone(), LinkFault::Drop);
            }
        }
        cluster.run_for_ms(6_000);
        for _ in 0..1 + case % 3 {
            cluster.crash_for_ms(proxy, DOWNTIME_MS);
            cluster.run_for_ms(DOWNTIME_MS + 300 * (case / 3));
        }
        cluster.run_for_ms(4_000 + 1_000 * case);
        cluster.assert_no_violations();
        cluster.heal_links();
        for n in 0..10 {
            cluster.run_until_done(&job_id(n), 180_000);
        }
        cluster.assert_no_accepted_job_is_lost();
    }
}

/// One controller, or a random one each time, crashes about every second. The others must accept,
/// run and report jobs all the while, and the restarts must not use up the reads and writes of the
/// state service.
#[test]
fn other_controllers_serve_during_a_crash_loop() {
    for case in 0..6u64 {
        let mut cluster = Cluster::activated(20, 0.0, 9_400 + case, 1_500);
        cluster.scale_out_disabled = false;
        let mut rng = SmallRng::seed_from_u64(case);
        let crash_looping = (cluster.leader().unwrap() + case as usize) % 3;
        cluster.task_duration_ms = (0..60).map(|n| (job_id(n), 2_000)).collect();
        let (mut crashes, requests_before) = (0, cluster.state.requests);
        for n in 0..60u32 {
            let spec = job(&job_id(n), JobKind::Array, 1);
            let node = (0..3).find(|n| cluster.is_up(*n) && *n != crash_looping).unwrap();
            cluster.submit(node, &spec);
            if n % 3 == 0 {
                let crashing = if case < 3 { crash_looping } else { rng.random_range(0..3) };
                cluster.crash_for_ms(crashing, DOWNTIME_MS);
                crashes += 1;
            }
            cluster.run_for_ms(rng.random_range(250..450));
        }
        let request_count = cluster.state.requests - requests_before;
        assert!(request_count < 60 * 80, "{request_count} requests with {crashes} crashes");
        for n in 0..60 {
            cluster.submit_until_accepted(&job(&job_id(n), JobKind::Array, 1));
            cluster.run_until_done(&job_id(n), 60_000);
        }
        assert!(cluster.observed_status.values().all(|s| *s == JobStatus::Done));
        cluster.assert_no_accepted_job_is_lost();
    }
}

/// Guards against the loss of a job that is accepted just before its controller crashes or is
/// partitioned. The job is accepted by the leader, by a follower that forwards it, or by a follower
/// that decides without the leader; in a batch record or in a record of its own; also while the
/// next leader recovers. Every controller must answer queries for the job once the faults are over,
/// and the job must run.
#[test]
fn job_accepted_just_before_a_crash_is_not_lost() {
    let mut accepted_in_all = 0;
    for case in 0..36u64 {
        let mut cluster = Cluster::new(3, 8, 0.0, 9_500 + case);
        cluster.scale_out_disabled = false;
        cluster.batch_small_jobs = case % 2 == 0;
        cluster.restart_all_controllers();
        cluster.run_until_fully_activated();
        cluster.run_for_ms(1_500);
        let leader = cluster.leader().unwrap();
        let node = (leader + case as usize % 3) % 3;
        if case / 6 % 3 == 1 {
            // The leader is unreachable, so that the controller that receives the submissions
            // decides alone.
            (0..3)
                .filter(|n| *n != leader)
                .for_each(|n| cluster.cut_controllers(leader, n, LinkFault::Drop));
            cluster.run_for_ms(2_000);
        }
        let requests: Vec<usize> = (0..10)
            .map(|n| {
                let request = cluster.submit(node, &job(&job_id(n), JobKind::Array, 1 + n % 3));
                cluster.run_for_ms(3 + 7 * (case / 6));
                request
            })
            .collect();
        match case / 6 {
            0..3 => cluster.crash_for_ms(node, DOWNTIME_MS),
            3 => (0..3).for_each(|n| cluster.crash_for_ms(n, DOWNTIME_MS)),
            4 => cluster.cut_controller_from_state_service(node, LinkFault::Hold),
            _ => {
                cluster.state.down = true;
                cluster.crash_for_ms(node, 4_000);
            }
        }
        cluster.run_for_ms(5_000);
        cluster.heal_links();
        cluster.state.down = false;
        cluster.assert_no_accepted_job_is_lost();
        let is_accepted = |cluster: &Cluster, n: &usize| cluster.status_code(requests[*n]) == 201;
        let accepted: Vec<usize> = (0..10).filter(|n| is_accepted(&cluster, n)).collect();
        accepted_in_all += accepted.len();
        for n in accepted {
            cluster.run_until_done(&job_id(n as u32), 60_000);
        }
        cluster.assert_no_accepted_job_is_lost();
    }
    assert!(accepted_in_all > 100, "{accepted_in_all} accepted");
}
