//! Format 4: several small jobs are stored together in one batch record.

use crate::cluster::{
    job, job_id, Cluster, LateRefusal, LinkFault, StateLimits, ThrottledKey, ABORT_DEADLINE_MS,
};
use crate::random_faults::inject_random_fault;
use ciborium::value::Value;
use quartzgate_core::records::{BatchRecord, BATCH_PREFIX};
use quartzgate_wire::msg::{JobKind, JobStatus, Priority};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Returns a cluster with format 4 activated that stores all small jobs in batch records.
fn batching_cluster(workers: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(3, workers, 0.0, seed);
    cluster.batch_small_jobs = true;
    cluster.restart_all_controllers();
    cluster.run_until_fully_activated();
    cluster.run_for_ms(1_500);
    cluster
}

/// Submits several jobs of `tasks` tasks each to one controller at once; returns the requests.
fn submit_many(
    cluster: &mut Cluster,
    node: usize,
    ids: std::ops::Range<u32>,
    tasks: u32,
) -> Vec<usize> {
    ids.map(|n| cluster.submit(node, &job(&job_id(n), JobKind::Array, tasks))).collect()
}

fn batch_records(cluster: &Cluster) -> Vec<BatchRecord> {
    let keys = cluster.state.keys.iter().filter(|(key, _)| key.starts_with(BATCH_PREFIX));
    keys.map(|(_, stored)| stored.value.deserialized().unwrap()).collect()
}

/// Returns the ids of the jobs that are in a batch record and have no record of their own.
fn batched_jobs(cluster: &Cluster) -> Vec<String> {
    let all = batch_records(cluster).into_iter().flat_map(|p| p.ids().cloned().collect::<Vec<_>>());
    all.filter(|id| !cluster.state.keys.contains_key(&format!("jobs/{id}"))).collect()
}

/// Forty small jobs are accepted and placed with at most four writes. With their completions, which
/// take one write each, they cost at most eight writes more than there are jobs. Only the last
/// batch record remains.
#[test]
fn forty_jobs_cost_a_few_writes() {
    let mut cluster = batching_cluster(40, 600);
    let leader = cluster.leader().unwrap();
    let writes_before = cluster.state.writes;
    let requests = submit_many(&mut cluster, leader, 0..40, 1);
    cluster.run_for_ms(800);
    assert!(requests.iter().all(|request| cluster.status_code(*request) == 201));
    assert!(
        cluster.state.writes - writes_before <= 4,
        "{} writes",
        cluster.state.writes - writes_before
    );
    assert_eq!(batched_jobs(&cluster).len(), 40);
    cluster.run_for_ms(1_500);
    assert!(cluster.task_starts.len() > 30, "{} tasks started", cluster.task_starts.len());
    cluster.run_for_ms(30_000);
    for n in 0..40 {
        cluster.query(leader, &job_id(n));
    }
    cluster.run_for_ms(1_000);
    assert!((0..40).all(|n| cluster.observed_status[&job_id(n)] == JobStatus::Done));
    assert_eq!((batched_jobs(&cluster).len(), batch_records(&cluster).len()), (0, 1));
    let total_writes = cluster.state.writes - writes_before;
    assert!(total_writes <= 40 + 8, "{total_writes} writes for forty jobs");
    cluster.assert_no_violations();
}

/// Small jobs arrive at three times the write rate of the state service. At least 97% of them are
/// accepted, at least 97% of the accepted ones complete, and a service that is submitted during the
/// flood starts.
#[test]
fn small_jobs_are_accepted_under_a_flood() {
    let mut cluster = Cluster::activated(30, 0.0, 605, 1_500);
    cluster.state.limits =
        Some(StateLimits { max_value_bytes: usize::MAX, max_changes: 12, changes_per_s: 40.0 });
    let leader = cluster.leader().unwrap();
    let mut requests = Vec::new();
    for tenth in 0..60 {
        let ids = tenth * 12..(tenth + 1) * 12;
        cluster.task_duration_ms.extend(ids.clone().map(|n| (job_id(n), 300)));
        requests.extend(submit_many(&mut cluster, leader, ids, 1));
        if tenth == 30 {
            cluster.submit(leader, &job("wk-900000", JobKind::Service, 2));
        }
        cluster.run_for_ms(100);
    }
    cluster.run_for_ms(1_500);
    let accepted = requests.iter().filter(|request| cluster.status_code(**request) == 201).count();
    assert!(accepted * 100 >= requests.len() * 97, "{accepted} of {}", requests.len());
    assert_eq!(cluster.live_tasks("wk-900000").len(), 2);
    cluster.run_for_ms(20_000);
    let done = cluster.completed_tasks.values().filter(|d| !d.is_empty()).count();
    assert!(done * 100 >= accepted * 97, "{done} of {accepted} are done");
    cluster.assert_no_violations();
}

/// Guards against a new leader that starts a task twice or stops a running one. It recovers the
/// machines of all tasks from the batch records, or from the jobs' own records where jobs have left
/// their batch by then.
#[test]
fn batch_records_are_recovered_after_failover() {
    for case in 0..10u64 {
        let mut cluster = batching_cluster(30, 610 + case);
        for n in 0..20 {
            cluster.task_duration_ms.insert(job_id(n), 3_000 + 2_500 * u64::from(n % 10));
        }
        let leader = cluster.leader().unwrap();
        submit_many(&mut cluster, leader, 0..12, 2);
        cluster.run_for_ms(700);
        submit_many(&mut cluster, leader, 12..20, 1);
        cluster.run_for_ms(100 + case * 700);
        cluster.abort(leader, &job_id(3));
        cluster.run_for_ms(60 * case);
        cluster.state.max_list_keys = Some(1 + case as usize % 4);
        cluster.crash_all_for_ms(400);
        cluster.run_for_ms(3_000);
        for n in 0..20 {
            cluster.submit_until_accepted(&job(
                &job_id(n),
                JobKind::Array,
                if n < 12 { 2 } else { 1 },
            ));
            if cluster.observed_status[&job_id(n)] != JobStatus::Aborted {
                cluster.run_until_done(&job_id(n), 120_000);
            }
        }
        let restarted =
            cluster.task_starts.iter().filter(|(t, s)| !t.starts_with("wk-000003") && s.len() > 1);
        assert_eq!(restarted.count(), 0, "running tasks were started again");
        cluster.run_for_ms(ABORT_DEADLINE_MS);
        assert_eq!((batched_jobs(&cluster).len(), cluster.live_tasks(&job_id(3)).len()), (0, 0));
        cluster.assert_no_violations();
    }
}

/// A follower that is partitioned from the other controllers reports batched jobs, jobs that have
/// left their batch and unknown jobs correctly, and recognizes a repeated submission of a batched
/// job. Concurrent queries share a few scans of the batch records.
#[test]
fn partitioned_follower_answers_from_batch_records() {
    let mut cluster = batching_cluster(20, 630);
    let leader = cluster.leader().unwrap();
    let follower = (leader + 1) % 3;
    cluster.task_duration_ms =
        (0..20).map(|n| (job_id(n), if n < 10 { 2_000 } else { 90_000 })).collect();
    submit_many(&mut cluster, leader, 0..20, 1);
    cluster.run_until(30_000, "half of the jobs are done", |cluster| {
        batched_jobs(cluster).len() == 10
    });
    for n in 0..3 {
        cluster.cut_controllers(follower, n, LinkFault::Drop);
    }
    cluster.run_for_ms(2_000);
    let requests_before = cluster.state.requests;
    let requests: Vec<usize> = (0..20).map(|n| cluster.query(follower, &job_id(n))).collect();
    let unknown = cluster.query(follower, "wk-777777");
    let repeated = cluster.submit(follower, &job(&job_id(15), JobKind::Array, 1));
    cluster.run_for_ms(1_500);
    let request_count = cluster.state.requests - requests_before;
    assert!(requests.iter().all(|request| cluster.status_code(*request) == 200));
    assert_eq!((cluster.status_code(unknown), cluster.status_code(repeated)), (404, 200));
    assert!((0..10).all(|n| cluster.observed_status[&job_id(n)] == JobStatus::Done));
    // Each request costs one read, each job without its own record one more; there are a few
    // shared scans.
    assert!(request_count < 22 + 12 + 30, "{request_count} requests");
    // The follower aborts a batched job; the other jobs of the batch keep running.
    cluster.retry_until(20_000, |cluster, _| cluster.abort(follower, &job_id(16)), |s| s == 200);
    // The follower accepts a new job exactly once.
    cluster.retry_until(
        20_000,
        |cluster, _| cluster.submit(follower, &job("wk-000099", JobKind::Array, 1)),
        |s| s < 300,
    );
    cluster.heal_links();
    cluster.run_for_ms(ABORT_DEADLINE_MS);
    assert_eq!(cluster.live_tasks(&job_id(16)).len(), 0);
    cluster.run_until_done(&job_id(17), 120_000);
    cluster.run_until_done("wk-000099", 60_000);
    cluster.assert_no_violations();
}

/// A follower updates its copy of the batch records from the changes since its last scan (records
/// created, rewritten and deleted) instead of scanning all of them again. It reports known and
/// unknown jobs correctly. The leader needs no scan to report a job as unknown.
#[test]
fn batch_scans_read_only_what_has_changed() {
    let mut cluster = batching_cluster(20, 650);
    let leader = cluster.leader().unwrap();
    let follower = (leader + 1) % 3;
    cluster.task_duration_ms =
        (0..200).map(|n| (job_id(n), if n % 3 == 0 { 2_500 } else { 120_000 })).collect();
    submit_many(&mut cluster, leader, 0..30, 1);
    cluster.run_for_ms(600);
    for n in 0..3 {
        cluster.cut_controllers(follower, n, LinkFault::Drop);
    }
    cluster.run_for_ms(3_000);
    for round in 1..6u32 {
        let submitted = round * 30;
        let sampled = (0..submitted).rev().step_by(4 * round as usize);
        let requests: Vec<usize> = sampled.map(|n| cluster.query(follower, &job_id(n))).collect();
        let unknown = cluster.query(follower, "wk-777777");
        cluster.run_for_ms(900);
        let answers: Vec<u16> =
            requests.iter().map(|request| cluster.status_code(*request)).collect();
        assert!(answers.iter().all(|s| *s == 200), "round {round}: {answers:?}");
        assert_eq!(cluster.status_code(unknown), 404);
        submit_many(&mut cluster, leader, submitted..submitted + 30, 1);
        cluster.run_for_ms(500);
    }
    let scans = cluster.state.batch_scans;
    assert!((1..=2).contains(&scans), "all batch records were scanned {scans} times");
    // The leader knows all batch records.
    let unknown = cluster.query(leader, "wk-777778");
    cluster.run_for_ms(300);
    assert_eq!((cluster.status_code(unknown), cluster.state.batch_scans), (404, scans));
    cluster.heal_links();
    cluster.assert_no_violations();
}

/// Status queries use up a follower's read rate limit. Submissions through it are still accepted,
/// because they need no read of their own, only a shared scan.
#[test]
fn follower_accepts_submissions_under_a_query_storm() {
    let mut cluster = batching_cluster(20, 652);
    let leader = cluster.leader().unwrap();
    let follower = (leader + 1) % 3;
    submit_many(&mut cluster, leader, 0..20, 1);
    cluster.task_duration_ms = (0..40).map(|n| (job_id(n), 30_000)).collect();
    for n in 0..3 {
        cluster.cut_controllers(follower, n, LinkFault::Drop);
    }
    cluster.run_for_ms(3_000);
    let mut requests = Vec::new();
    for n in 0..60 {
        for k in 0..12 {
            cluster.query(follower, &job_id((n + k) % 20));
        }
        if n % 6 == 0 {
            requests.push(cluster.submit(follower, &job(&job_id(20 + n / 6), JobKind::Array, 1)));
        }
        cluster.run_for_ms(50);
    }
    cluster.run_for_ms(900);
    let answers: Vec<u16> = requests.iter().map(|request| cluster.status_code(*request)).collect();
    assert!(answers.iter().all(|s| *s == 201), "{answers:?}");
    cluster.heal_links();
    cluster.assert_no_violations();
}

/// Submits 250 one-task jobs of the given priority and one job class, whose completions exceed the
/// write rate limit. Returns the number of jobs whose completion is not recorded yet.
fn flood_with_completions(cluster: &mut Cluster, priority: Priority) -> usize {
    cluster.state.limits =
        Some(StateLimits { max_value_bytes: usize::MAX, max_changes: 12, changes_per_s: 10.0 });
    cluster.announced_limits = Some(serde_json::json!({"write_rps": 10.0}));
    cluster.restart_all_controllers();
    cluster.run_for_ms(4_000);
    let leader = cluster.leader().unwrap();
    cluster.task_duration_ms = (0..250).map(|n| (job_id(n), 500)).collect();
    for n in 0..250 {
        let mut spec = job(&job_id(n), JobKind::Array, 1);
        (spec.priority, spec.class) = (priority, "flood".into());
        cluster.submit(leader, &spec);
        if n % 10 == 9 {
            cluster.run_for_ms(100);
        }
    }
    cluster.run_for_ms(2_000);
    let unrecorded = batched_jobs(cluster).len();
    assert!(unrecorded > 100, "{unrecorded} completions are not recorded yet");
    unrecorded
}

/// A flood of low-priority jobs, or of normal-priority jobs of one job class, leaves more
/// completions to record than the write rate permits. Jobs of another class are still accepted, run
/// and reported done within 6 s, and all completions of the flood are recorded in the end.
#[test]
fn other_classes_are_served_while_completions_of_a_flood_wait() {
    for priority in [Priority::Low, Priority::Normal] {
        let mut cluster = batching_cluster(30, 655);
        let unrecorded = flood_with_completions(&mut cluster, priority);
        for n in 900_000..900_003 {
            cluster.task_duration_ms.insert(job_id(n), 1_000);
            cluster.submit_until_accepted(&job(&job_id(n), JobKind::Array, 40));
            cluster.run_until_done(&job_id(n), 6_000);
        }
        assert!(
            batched_jobs(&cluster).len() > unrecorded / 3,
            "too few completions of the flood are left to be recorded"
        );
        for n in 0..250 {
            if cluster.observed_status.contains_key(&job_id(n)) {
                cluster.run_until_done(&job_id(n), 120_000);
            }
        }
        cluster.assert_no_violations();
    }
}

/// Guards against accepting a job twice: it is submitted to the leader, which stores it in a batch
/// record, and through a partitioned follower, at varying intervals.
#[test]
fn job_is_accepted_once_when_leader_and_follower_race() {
    let mut accepted_by_follower = 0;
    for case in 0..40u64 {
        let mut cluster = batching_cluster(10, 640 + case);
        let leader = cluster.leader().unwrap();
        let follower = (leader + 1) % 3;
        for n in 0..3 {
            cluster.cut_controllers(follower, n, LinkFault::Drop);
        }
        cluster.run_for_ms(2_500);
        if case % 2 == 0 {
            cluster.submit(leader, &job("wk-000002", JobKind::Array, 1));
            cluster.run_for_ms(case * 2);
        }
        cluster.submit(follower, &job("wk-000001", JobKind::Array, 2));
        cluster.run_for_ms(case);
        cluster.submit(leader, &job("wk-000001", JobKind::Array, 2));
        cluster.run_for_ms(1_500);
        accepted_by_follower += usize::from(
            cluster.state.write_log.iter().any(|written| written.key.starts_with("inbox/")),
        );
        let batch_count = batched_jobs(&cluster).iter().filter(|id| *id == "wk-000001").count();
        let has_own_record = cluster.state.keys.contains_key("jobs/wk-000001");
        assert!(
            batch_count + usize::from(has_own_record) <= 1,
            "in {batch_count} batch records, has its own record: {has_own_record}"
        );
        cluster.heal_links();
        cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 2));
        cluster.run_until_done("wk-000001", 60_000);
        assert!(cluster.task_starts.values().all(|s| s.len() == 1));
        cluster.assert_no_violations();
    }
    assert!(accepted_by_follower > 3, "accepted by a follower: {accepted_by_follower}");
}

/// The write that creates or rewrites a batch record is lost, delayed or refused, with and without
/// a failover. No job may be lost or accepted twice, and no batch number skipped or used twice.
#[test]
fn no_job_is_lost_when_a_batch_write_is_late_or_lost() {
    for case in 0..30u64 {
        let mut cluster = batching_cluster(6, 700 + case);
        let leader = cluster.leader().unwrap();
        cluster.task_duration_ms = (0..8).map(|n| (job_id(n), 4_000)).collect();
        let delay_ms = [0, 40, 130, 280, 400][case as usize % 5];
        submit_many(&mut cluster, leader, 0..4, 2);
        cluster.run_for_ms(delay_ms);
        match case % 6 {
            0 => cluster.state.unanswered_writes = 1 + case as u32 % 3,
            1 | 2 => {
                cluster.cut_controller_from_state_service(leader, LinkFault::Hold);
                cluster.run_for_ms(if case % 6 == 1 { 900 } else { 9_000 });
                cluster.heal_links();
            }
            3 => {
                cluster.state.down = true;
                cluster.run_for_ms(1_200);
                cluster.state.down = false;
            }
            4 => cluster.state.late_refusal = Some(LateRefusal { node: leader, after_ms: 80 }),
            _ => {
                cluster.state.unanswered_writes = 2;
                cluster.run_for_ms(100);
                cluster.crash_for_ms(leader, 500);
            }
        }
        submit_many(&mut cluster, (leader + 1) % 3, 4..8, 2);
        cluster.run_for_ms(900);
        cluster.state.late_refusal = None;
        for n in 0..8 {
            cluster.submit_until_accepted(&job(&job_id(n), JobKind::Array, 2));
        }
        for n in 0..8 {
            cluster.run_until_done(&job_id(n), 120_000);
        }
        cluster.run_for_ms(3_000);
        assert_eq!(batched_jobs(&cluster).len(), 0);
        let batch_writes =
            cluster.state.write_log.iter().filter(|written| written.key.starts_with(BATCH_PREFIX));
        let mut numbers: Vec<u64> = batch_writes
            .map(|written| written.key[BATCH_PREFIX.len()..].parse().unwrap())
            .collect();
        numbers.sort_unstable();
        numbers.dedup();
        assert_eq!(
            numbers,
            (1..=numbers.len() as u64).collect::<Vec<_>>(),
            "a batch number was skipped or used twice"
        );
        cluster.assert_no_accepted_job_is_lost();
    }
}

/// A batch write is refused by the write rate limit (429) while more jobs arrive. Later jobs must
/// wait for that answer. Otherwise they would overwrite an existing batch record, and accepted jobs
/// would be stored nowhere.
#[test]
fn no_batch_is_overwritten_when_its_write_is_throttled() {
    for case in 0..12u64 {
        let mut cluster = batching_cluster(12, 720 + case);
        let leader = cluster.leader().unwrap();
        cluster.task_duration_ms = (0..16).map(|n| (job_id(n), 9_000)).collect();
        let key = format!("{BATCH_PREFIX}{:012}", 1);
        cluster.state.throttled_key = Some(ThrottledKey { key, after_ms: 150 + 60 * case });
        for n in 0..4 {
            submit_many(&mut cluster, leader, 4 * n..4 * n + 4, 1);
            cluster.run_for_ms(130);
        }
        cluster.run_for_ms(1_000);
        assert!(cluster.state.throttled_key.is_none());
        (0..16).for_each(|n| cluster.submit_until_accepted(&job(&job_id(n), JobKind::Array, 1)));
        cluster.assert_no_violations();
        cluster.crash_all_for_ms(200);
        for n in 0..16 {
            cluster.submit_until_accepted(&job(&job_id(n), JobKind::Array, 1));
            cluster.run_until_done(&job_id(n), 60_000);
        }
        cluster.assert_no_violations();
    }
}

/// A damaged entry in a batch record blocks that job alone, a damaged batch record all jobs in it.
/// The record is left unchanged, queries for a blocked job get 503 instead of 404, a blocked job is
/// not accepted again, and all other jobs proceed.
#[test]
fn damaged_batch_record_stops_only_its_jobs() {
    for case in 0..2 {
        let mut cluster = batching_cluster(20, 740 + case);
        let leader = cluster.leader().unwrap();
        cluster.task_duration_ms = (0..6).map(|n| (job_id(n), 6_000)).collect();
        submit_many(&mut cluster, leader, 0..3, 1);
        cluster.run_for_ms(900);
        submit_many(&mut cluster, leader, 3..6, 1);
        cluster.run_for_ms(900);
        cluster.crash_all();
        let key = format!("{BATCH_PREFIX}{:012}", 1);
        let value = &mut cluster.state.keys.get_mut(&key).unwrap().value;
        match case {
            0 => {
                let mut map = value.clone().into_map().unwrap();
                let jobs = map.iter_mut().find(|(k, _)| k.as_text() == Some("jobs")).unwrap();
                let mut entries = jobs.1.clone().into_map().unwrap();
                entries[1].1 = Value::Text("?".into());
                jobs.1 = Value::Map(entries);
                *value = Value::Map(map);
            }
            _ => *value = Value::Text("?".into()),
        }
        let damaged = value.clone();
        (0..3).for_each(|n| cluster.start_controller(n));
        cluster.run_for_ms(8_000);
        for n in (if case == 0 { 2 } else { 3 })..6 {
            cluster.run_until_done(&job_id(n), 60_000);
        }
        cluster.submit_until_accepted(&job("wk-000050", JobKind::Array, 2));
        cluster.run_until_done("wk-000050", 60_000);
        assert_eq!(cluster.state.keys[&key].value, damaged, "the damaged record was changed");
        let query = cluster.query(0, &job_id(1));
        cluster.run_for_ms(1_000);
        assert_eq!(cluster.status_code(query), 503);
        if case == 0 {
            let repeated =
                cluster.submit(cluster.leader().unwrap(), &job(&job_id(1), JobKind::Array, 1));
            cluster.run_for_ms(1_000);
            assert_eq!(cluster.status_code(repeated), 503, "the job was accepted again");
        }
        cluster.assert_no_violations();
    }
}

/// Jobs that outgrow their batch record are moved to records of their own, and no task starts
/// before its placement is recorded.
#[test]
fn jobs_get_their_own_record_when_they_outgrow_their_batch() {
    for case in 0..4u64 {
        let mut cluster = Cluster::new(3, 40, 0.0, 760 + case);
        cluster.batch_small_jobs = true;
        cluster.announced_limits = Some(serde_json::json!({"value_kb": 1.6 + case as f64 / 5.0}));
        cluster.restart_all_controllers();
        cluster.run_until_fully_activated();
        cluster.run_for_ms(1_500);
        let leader = cluster.leader().unwrap();
        submit_many(&mut cluster, leader, 0..6, 4);
        submit_many(&mut cluster, leader, 6..12, 1);
        cluster.run_for_ms(700 + 300 * case);
        cluster.crash_all_for_ms(400);
        for n in 0..12 {
            cluster.submit_until_accepted(&job(
                &job_id(n),
                JobKind::Array,
                if n < 6 { 4 } else { 1 },
            ));
        }
        for n in 0..12 {
            cluster.run_until_done(&job_id(n), 120_000);
        }
        assert_eq!(cluster.state.refused_for_size, 0);
        cluster.assert_no_accepted_job_is_lost();
    }
}

/// Injects random crashes, partitions, outages, stalls and aborts over a lossy network, with jobs
/// in batch records. To run more seeds: `STORMS=500 cargo test -p quartzgate-core --test simulation
/// batched_jobs_complete_under_random_faults`.
#[test]
fn batched_jobs_complete_under_random_faults() {
    let seed_count = std::env::var("STORMS").ok().and_then(|n| n.parse().ok()).unwrap_or(40u64);
    for seed in 0..seed_count {
        let mut cluster = batching_cluster(6, 8_000 + seed);
        let mut rng = SmallRng::seed_from_u64(seed);
        (cluster.message_loss, cluster.max_delay_ms, cluster.scale_out_disabled) =
            (0.01, 60, false);
        let (mut specs, mut next_id) = (Vec::new(), 1);
        for _ in 0..12 {
            let node = rng.random_range(0..3);
            for _ in 0..rng.random_range(1..5) {
                let spec = job(&job_id(next_id), JobKind::Array, rng.random_range(1..4));
                next_id += 1;
                cluster.task_duration_ms.insert(spec.id.clone(), rng.random_range(500..12_000));
                cluster.submit(node, &spec);
                if rng.random_bool(0.2) {
                    cluster.submit((node + 1) % 3, &spec);
                }
                specs.push(spec);
            }
            cluster.run_for_ms(rng.random_range(0..900));
            let node = inject_random_fault(&mut cluster, &mut rng);
            if rng.random_bool(0.3) {
                let id = specs[rng.random_range(0..specs.len())].id.clone();
                cluster.abort(node, &id);
            }
            cluster.run_for_ms(rng.random_range(500..6_000));
            cluster.assert_no_violations();
        }
        cluster.heal_links();
        cluster.state.refused_nodes.clear();
        cluster.state.down = false;
        cluster.crash_all_for_ms(1_000);
        cluster.run_for_ms(2_000);
        for spec in &specs {
            cluster.submit_until_accepted(spec);
            if cluster.observed_status.get(&spec.id) != Some(&JobStatus::Aborted) {
                cluster.run_until_done(&spec.id, 300_000);
            }
        }
        cluster.run_for_ms(ABORT_DEADLINE_MS);
        assert_eq!(batched_jobs(&cluster).len(), 0, "seed {seed}");
        cluster.assert_no_accepted_job_is_lost();
    }
}

/// A batch record cannot hold a job of more than one chunk. Where the state service permits large
/// values, a job of 80 tasks is small compared with that limit and used to be batched: its second
/// chunk was recorded nowhere, and its batch record was rewritten until no other write was
/// possible. A job that an earlier build has batched gets its own record under the next leader,
/// also when that leader crashes.
#[test]
fn job_of_two_chunks_is_never_batched() {
    for case in 0..8u64 {
        let mut cluster = Cluster::new(3, 30, 0.0, 650 + case);
        (cluster.batch_small_jobs, cluster.max_value_kb) = (true, Some(64.0));
        cluster.restart_all_controllers();
        cluster.run_until_fully_activated();
        cluster.run_for_ms(1_500);
        let leader = cluster.leader().unwrap();
        submit_many(&mut cluster, leader, 0..3, 5);
        cluster.run_for_ms(800);
        assert_eq!(batched_jobs(&cluster).len(), 3);
        // In the last four cases an earlier build has left a batch record with such a job.
        let large = job(&job_id(50), JobKind::Array, 80);
        if case < 4 {
            submit_many(&mut cluster, leader, 50..51, 80);
        } else {
            let mut record = BatchRecord::default();
            record.add(&job(&job_id(51), JobKind::Array, 2), 1_000_000, None);
            record.add(&large, 1_000_000, None);
            for spec in [job(&job_id(51), JobKind::Array, 2), large] {
                cluster.jobs.insert(spec.id.clone(), spec.clone());
                cluster.observed_status.insert(spec.id, JobStatus::Queued);
            }
            cluster.crash(leader);
            cluster.state.revision += 1;
            let last_batch_key =
                cluster.state.keys.keys().rfind(|k| k.starts_with(BATCH_PREFIX)).unwrap();
            let number: u64 = last_batch_key[BATCH_PREFIX.len()..].parse().unwrap();
            let key = format!("{BATCH_PREFIX}{:012}", number + 1);
            cluster.state.insert_value(&key, Value::serialized(&record).unwrap());
            cluster.run_for_ms(4_000);
            cluster.start_controller(leader);
            if case % 2 == 1 {
                cluster.run_for_ms(3_000);
                let new_leader = cluster.leader().unwrap();
                cluster.crash_for_ms(new_leader, 200);
            }
        }
        let writes_before = cluster.state.writes;
        cluster.run_until_done(&job_id(50), 90_000);
        assert!(
            cluster.state.writes - writes_before < 120,
            "{} writes",
            cluster.state.writes - writes_before
        );
        for n in (0..3).chain((case >= 4).then_some(51)) {
            cluster.run_until_done(&job_id(n), 60_000);
        }
        cluster.assert_no_accepted_job_is_lost();
    }
}
