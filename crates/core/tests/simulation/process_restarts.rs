//! Controllers that restart within a fraction of a second: the lease, keys, claims, mailboxes,
//! calls and orders of the earlier incarnation still exist, and nobody may have noticed the
//! restart.

use crate::cluster::{job, job_id, Cluster, LinkFault, CANCEL_MS, LEASE_MS, REPORT_MS};
use quartzgate_wire::msg::{JobKind, JobStatus};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// How long a controller that crashes is down.
const DOWN_MS: u64 = 200;

/// Milliseconds until a task of a job that is submitted now has started.
fn time_to_first_start_ms(cluster: &mut Cluster, id: &str) -> u64 {
    let began = cluster.now;
    let (spec, task) = (job(id, JobKind::Array, 1), format!("{id}/0"));
    while !cluster.task_starts.contains_key(&task) {
        assert!(cluster.now < began + 60_000, "no task is started");
        (0..cluster.controller_count())
            .filter(|n| cluster.is_up(*n))
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|n| {
                cluster.submit(n, &spec);
            });
        cluster.run_for_ms(100);
    }
    cluster.now - began
}

/// Injects one of the faults under which controllers restart, and lets it take effect.
fn inject_fault_of_earlier_incarnation(cluster: &mut Cluster, kind: u64, leader: usize) {
    let (successor, third) = ((leader + 1) % 3, (leader + 2) % 3);
    match kind {
        // Writes and orders of the earlier incarnation are delivered when the next one leads.
        1 => {
            cluster.cut_from_state_service(leader, LinkFault::Hold);
            for n in 8..12 {
                cluster.submit(leader, &job(&job_id(n), JobKind::Array, 2));
            }
            cluster.run_for_ms(150);
        }
        2 => cluster.state.down = true,
        3 => {
            let workers: Vec<String> = cluster.workers.keys().take(4).cloned().collect();
            for worker in workers {
                cluster.cut_from_worker(leader, worker, LinkFault::Hold);
            }
            cluster.run_for_ms(2 * REPORT_MS);
        }
        // Heartbeats and forwarded requests come from an earlier incarnation.
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
            let far: Vec<String> = cluster.workers.keys().step_by(2).cloned().collect();
            for worker in far {
                cluster.cut_from_worker(leader, worker.clone(), LinkFault::Drop);
                cluster.cut_from_worker(third, worker, LinkFault::Drop);
            }
            cluster.run_for_ms(5 * REPORT_MS);
            for n in 8..12 {
                cluster.submit(successor, &job(&job_id(n), JobKind::Array, 2));
            }
            cluster.run_for_ms(400);
        }
        _ => {}
    }
}

/// Every record and message that names a controller must hold for its next incarnation: the
/// leader, a follower, the leader and its successor, or all three restart before anybody notices;
/// once, twice and ten times within a lease; with calls, orders and writes of the earlier
/// incarnation still under way, during an outage, and with a zone whose leases a proxy renews.
/// Tasks run on where they were, nothing runs twice, and a new task starts within a lease of the
/// state service and a little.
#[test]
fn tasks_run_on_when_controllers_restart_unnoticed() {
    let mut gaps = Vec::new();
    for case in 0..90u64 {
        let mut cluster = Cluster::activated(12, 0.0, 9_000 + case, 1_500);
        cluster.max_delay_ms = if case % 2 == 0 { 4 } else { 120 };
        cluster.task_duration_ms = (0..8).map(|n| (job_id(n), 45_000)).collect();
        (0..8).for_each(|n| cluster.submit_until_accepted(&job(&job_id(n), JobKind::Array, 1)));
        cluster.run_until(20_000, "all tasks run", |cluster| cluster.task_starts.len() == 8);
        let leader = cluster.leader().unwrap();
        let (successor, third) = ((leader + 1) % 3, (leader + 2) % 3);
        inject_fault_of_earlier_incarnation(&mut cluster, case / 5 % 6, leader);
        let ends = [1, 2, 10][case as usize % 3];
        for end in 0..ends {
            let who = match case % 5 {
                0 => vec![leader],
                1 => vec![third],
                2 => vec![leader, successor],
                3 => vec![leader, successor, third],
                _ => vec![(leader + end) % 3],
            };
            who.iter().for_each(|n| cluster.crash_for_ms(*n, DOWN_MS));
            cluster.run_for_ms(DOWN_MS + 40 + 37 * case % 200);
        }
        cluster.state.down = false;
        cluster.heal_links();
        gaps.push(time_to_first_start_ms(&mut cluster, "wk-900000"));
        cluster.run_for_ms(CANCEL_MS);
        for n in 0..8 {
            cluster.run_until_done(&job_id(n), 120_000);
            let starts = &cluster.task_starts[&format!("{}/0", job_id(n))];
            // Where workers were partitioned, or nobody led for seconds, leases may have expired.
            let cut_off = matches!(case / 5 % 6, 3 | 5) || ends > 2;
            assert!(starts.len() == 1 || cut_off, "case {case}: {} ran on", job_id(n));
        }
        cluster.assert_no_accepted_job_is_lost();
    }
    gaps.sort_unstable();
    let at = |part: f64| gaps[(part * (gaps.len() - 1) as f64) as usize];
    println!("ms to the first start: p50 {}, p95 {}, max {}", at(0.5), at(0.95), at(1.0));
    assert!(at(0.5) < 1_000 && at(1.0) < LEASE_MS, "{gaps:?}");
}

/// A controller crashes whenever it has just become leader, as one would whose memory cannot hold
/// the records. It finds the key of its earlier incarnation, needs to wait for nothing, and would
/// hold the lead for ever; it must give way to another.
#[test]
fn crash_looping_leader_gives_up_the_lead() {
    for case in 0..5u64 {
        let mut cluster = Cluster::activated(10, 0.0, 9_200 + case, 1_500);
        let first = cluster.leader().unwrap();
        let (began, mut epoch) = (cluster.now, 0);
        while cluster.now < began + 15_000 {
            cluster.run_for_ms(7);
            let leads = cluster.leader_record().filter(|l| l.node == format!("n{first}"));
            if let Some(l) = leads.filter(|l| l.epoch > epoch) {
                epoch = l.epoch;
                cluster.crash_for_ms(first, DOWN_MS);
            }
        }
        let now = cluster.leader_record().expect("a controller leads");
        assert_ne!(now.node, format!("n{first}"));
        assert!(now.epoch < 8, "the lead changed {} times", now.epoch);
        let ms = time_to_first_start_ms(&mut cluster, "wk-900000");
        assert!(ms < 2_000, "{ms} ms");
        cluster.assert_no_accepted_job_is_lost();
    }
}

/// A zone is partitioned from the leader, and the follower that renews its workers' leases
/// restarts: its claim still stands under the lease of the earlier incarnation and expires with
/// it. No task of that zone is started elsewhere.
#[test]
fn proxied_tasks_run_on_when_the_proxy_restarts() {
    for case in 0..12u64 {
        let mut cluster = Cluster::activated(12, 0.0, 9_300 + case, 1_500);
        cluster.task_duration_ms = (0..10).map(|n| (job_id(n), 60_000)).collect();
        (0..10).for_each(|n| cluster.submit_until_accepted(&job(&job_id(n), JobKind::Array, 1)));
        cluster.run_until(20_000, "all tasks run", |cluster| cluster.task_starts.len() == 10);
        let leader = cluster.leader().unwrap();
        let proxy = (leader + 1) % 3;
        let far: Vec<String> = cluster.workers.keys().step_by(2).cloned().collect();
        for n in (0..3).filter(|n| *n != proxy) {
            cluster.cut_controllers(n, proxy, LinkFault::Drop);
            for worker in &far {
                cluster.cut_from_worker(n, worker.clone(), LinkFault::Drop);
            }
        }
        cluster.run_for_ms(6_000);
        for _ in 0..1 + case % 3 {
            cluster.crash_for_ms(proxy, DOWN_MS);
            cluster.run_for_ms(DOWN_MS + 300 * (case / 3));
        }
        cluster.run_for_ms(4_000 + 1_000 * case);
        cluster.check_invariants();
        cluster.heal_links();
        for n in 0..10 {
            cluster.run_until_done(&job_id(n), 180_000);
        }
        cluster.assert_no_accepted_job_is_lost();
    }
}

/// One controller, or all in turn, crash every second or so: the others accept, run and report
/// jobs all the while, and the restarts do not use up the reads and writes of the state service.
#[test]
fn other_controllers_serve_during_a_crash_loop() {
    for case in 0..6u64 {
        let mut cluster = Cluster::activated(20, 0.0, 9_400 + case, 1_500);
        cluster.scale_out_disabled = false;
        let mut rng = SmallRng::seed_from_u64(case);
        let looping = (cluster.leader().unwrap() + case as usize) % 3;
        cluster.task_duration_ms = (0..60).map(|n| (job_id(n), 2_000)).collect();
        let (mut ends, began) = (0, cluster.state.requests);
        for n in 0..60u32 {
            let spec = job(&job_id(n), JobKind::Array, 1);
            let node = (0..3).find(|n| cluster.is_up(*n) && *n != looping).unwrap();
            cluster.submit(node, &spec);
            if n % 3 == 0 {
                let who = if case < 3 { looping } else { rng.random_range(0..3) };
                cluster.crash_for_ms(who, DOWN_MS);
                ends += 1;
            }
            cluster.run_for_ms(rng.random_range(250..450));
        }
        let request_count = cluster.state.requests - began;
        assert!(request_count < 60 * 80, "{request_count} requests with {ends} ends");
        for n in 0..60 {
            cluster.submit_until_accepted(&job(&job_id(n), JobKind::Array, 1));
            cluster.run_until_done(&job_id(n), 60_000);
        }
        assert!(cluster.observed_status.values().all(|s| *s == JobStatus::Done));
        cluster.assert_no_accepted_job_is_lost();
    }
}

/// A job is accepted just before its controller crashes or is partitioned: by the leader, by a
/// follower that forwards it, by one that decides alone; batched and in its own record; also while
/// the next leader recovers. Every controller answers for it once the faults are over, and it
/// runs.
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
        let at = (leader + case as usize % 3) % 3;
        if case / 6 % 3 == 1 {
            // The leader is unreachable, so that the controller that is asked decides alone.
            (0..3)
                .filter(|n| *n != leader)
                .for_each(|n| cluster.cut_controllers(leader, n, LinkFault::Drop));
            cluster.run_for_ms(2_000);
        }
        let requests: Vec<usize> = (0..10)
            .map(|n| {
                let request = cluster.submit(at, &job(&job_id(n), JobKind::Array, 1 + n % 3));
                cluster.run_for_ms(3 + 7 * (case / 6));
                request
            })
            .collect();
        match case / 6 {
            0..3 => cluster.crash_for_ms(at, DOWN_MS),
            3 => (0..3).for_each(|n| cluster.crash_for_ms(n, DOWN_MS)),
            4 => cluster.cut_from_state_service(at, LinkFault::Hold),
            _ => {
                cluster.state.down = true;
                cluster.crash_for_ms(at, 4_000);
            }
        }
        cluster.run_for_ms(5_000);
        cluster.heal_links();
        cluster.state.down = false;
        cluster.assert_no_accepted_job_is_lost();
        let accepted = |cluster: &Cluster, n: &usize| cluster.status_code(requests[*n]) == 201;
        let kept: Vec<usize> = (0..10).filter(|n| accepted(&cluster, n)).collect();
        accepted_in_all += kept.len();
        for n in kept {
            cluster.run_until_done(&job_id(n as u32), 60_000);
        }
        cluster.assert_no_accepted_job_is_lost();
    }
    assert!(accepted_in_all > 100, "{accepted_in_all} accepted");
}
