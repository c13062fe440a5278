//! Format 4: small jobs share batch records.

use crate::cluster::{
    job, job_id, Cluster, LateRefusal, LinkFault, StateLimits, ThrottledKey, CANCEL_MS,
};
use crate::random_faults::inject_random_fault;
use ciborium::value::Value;
use quartzgate_core::records::{BatchRecord, BATCH_PREFIX};
use quartzgate_wire::msg::{JobKind, JobStatus, Priority};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A cluster on which batch records are activated, and all small jobs share them.
fn settled_cluster(workers: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(3, workers, 0.0, seed);
    cluster.batch_small_jobs = true;
    cluster.restart_all_controllers();
    cluster.run_until_fully_activated();
    cluster.run_for_ms(1_500);
    cluster
}

/// Submits several jobs at once to one controller.
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

/// Jobs that are stored in a batch record only.
fn batched_jobs(cluster: &Cluster) -> Vec<String> {
    let all = batch_records(cluster).into_iter().flat_map(|p| p.ids().cloned().collect::<Vec<_>>());
    all.filter(|id| !cluster.state.keys.contains_key(&format!("jobs/{id}"))).collect()
}

/// Forty jobs are accepted and placed with a few writes, each completion takes one, and one batch
/// record remains: the last.
#[test]
fn forty_jobs_cost_a_few_writes() {
    let mut cluster = settled_cluster(40, 600);
    let leader = cluster.leader().unwrap();
    let before = cluster.state.writes;
    let requests = submit_many(&mut cluster, leader, 0..40, 1);
    cluster.run_for_ms(800);
    assert!(requests.iter().all(|request| cluster.status_code(*request) == 201));
    assert!(cluster.state.writes - before <= 4, "{} writes", cluster.state.writes - before);
    assert_eq!(batched_jobs(&cluster).len(), 40);
    cluster.run_for_ms(1_500);
    assert!(cluster.task_starts.len() > 30, "{} of them started", cluster.task_starts.len());
    cluster.run_for_ms(30_000);
    for n in 0..40 {
        cluster.query(leader, &job_id(n));
    }
    cluster.run_for_ms(1_000);
    assert!((0..40).all(|n| cluster.observed_status[&job_id(n)] == JobStatus::Done));
    assert_eq!((batched_jobs(&cluster).len(), batch_records(&cluster).len()), (0, 1));
    let all = cluster.state.writes - before;
    assert!(all <= 40 + 8, "{all} writes for forty jobs");
    cluster.check_invariants();
}

/// Three times as many small jobs arrive as the state service accepts writes: hardly any is
/// refused, accepted jobs start, and other work is served as without the flood.
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
    let taken = requests.iter().filter(|request| cluster.status_code(**request) == 201).count();
    assert!(taken * 100 >= requests.len() * 97, "{taken} of {}", requests.len());
    assert_eq!(cluster.live_tasks("wk-900000").len(), 2);
    cluster.run_for_ms(20_000);
    let done = cluster.completed_tasks.values().filter(|d| !d.is_empty()).count();
    assert!(done * 100 >= taken * 97, "{done} of {taken} are done");
    cluster.check_invariants();
}

/// A new leader finds in batch records where tasks may be, starts none twice and stops none that
/// runs, wherever the jobs are stored by then.
#[test]
fn batch_records_are_recovered_after_failover() {
    for case in 0..10u64 {
        let mut cluster = settled_cluster(30, 610 + case);
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
        let again =
            cluster.task_starts.iter().filter(|(t, s)| !t.starts_with("wk-000003") && s.len() > 1);
        assert_eq!(again.count(), 0, "running tasks ran on");
        cluster.run_for_ms(CANCEL_MS);
        assert_eq!((batched_jobs(&cluster).len(), cluster.live_tasks(&job_id(3)).len()), (0, 0));
        cluster.check_invariants();
    }
}

/// Without the leader, a follower answers for a batched job, for one that has left its batch and
/// for one that nobody submitted, and a submission through it finds the batch. Any number of
/// queries share a few reads.
#[test]
fn partitioned_follower_answers_from_batch_records() {
    let mut cluster = settled_cluster(20, 630);
    let leader = cluster.leader().unwrap();
    let other = (leader + 1) % 3;
    cluster.task_duration_ms =
        (0..20).map(|n| (job_id(n), if n < 10 { 2_000 } else { 90_000 })).collect();
    submit_many(&mut cluster, leader, 0..20, 1);
    cluster.run_until(30_000, "half of the jobs are done", |cluster| {
        batched_jobs(cluster).len() == 10
    });
    for n in 0..3 {
        cluster.cut_controllers(other, n, LinkFault::Drop);
    }
    cluster.run_for_ms(2_000);
    let reads = cluster.state.requests;
    let requests: Vec<usize> = (0..20).map(|n| cluster.query(other, &job_id(n))).collect();
    let nobody = cluster.query(other, "wk-777777");
    let again = cluster.submit(other, &job(&job_id(15), JobKind::Array, 1));
    cluster.run_for_ms(1_500);
    let read_count = cluster.state.requests - reads;
    assert!(requests.iter().all(|request| cluster.status_code(*request) == 200));
    assert_eq!((cluster.status_code(nobody), cluster.status_code(again)), (404, 200));
    assert!((0..10).all(|n| cluster.observed_status[&job_id(n)] == JobStatus::Done));
    // One read for each query, one more for each job without a record, and a few shared scans.
    assert!(read_count < 22 + 12 + 30, "{read_count} requests");
    // A follower aborts a batched job; the other jobs of the batch go on.
    cluster.retry_until(20_000, |cluster, _| cluster.abort(other, &job_id(16)), |s| s == 200);
    // A follower accepts a new job, once.
    cluster.retry_until(
        20_000,
        |cluster, _| cluster.submit(other, &job("wk-000099", JobKind::Array, 1)),
        |s| s < 300,
    );
    cluster.heal_links();
    cluster.run_for_ms(CANCEL_MS);
    assert_eq!(cluster.live_tasks(&job_id(16)).len(), 0);
    cluster.run_until_done(&job_id(17), 120_000);
    cluster.run_until_done("wk-000099", 60_000);
    cluster.check_invariants();
}

/// Scans follow the changes instead of reading all batch records again: records created, rewritten
/// and deleted since the scan before. Each job is reported as it is, unknown jobs as unknown, and
/// the leader needs no scan for that.
#[test]
fn batch_scans_read_only_what_has_changed() {
    let mut cluster = settled_cluster(20, 650);
    let leader = cluster.leader().unwrap();
    let other = (leader + 1) % 3;
    cluster.task_duration_ms =
        (0..200).map(|n| (job_id(n), if n % 3 == 0 { 2_500 } else { 120_000 })).collect();
    submit_many(&mut cluster, leader, 0..30, 1);
    cluster.run_for_ms(600);
    for n in 0..3 {
        cluster.cut_controllers(other, n, LinkFault::Drop);
    }
    cluster.run_for_ms(3_000);
    for round in 1..6u32 {
        let all = round * 30;
        let some = (0..all).rev().step_by(4 * round as usize);
        let requests: Vec<usize> = some.map(|n| cluster.query(other, &job_id(n))).collect();
        let nobody = cluster.query(other, "wk-777777");
        cluster.run_for_ms(900);
        let answers: Vec<u16> =
            requests.iter().map(|request| cluster.status_code(*request)).collect();
        assert!(answers.iter().all(|s| *s == 200), "round {round}: {answers:?}");
        assert_eq!(cluster.status_code(nobody), 404);
        submit_many(&mut cluster, leader, all..all + 30, 1);
        cluster.run_for_ms(500);
    }
    let reads = cluster.state.batch_scans;
    assert!((1..=2).contains(&reads), "all batch records were scanned {reads} times");
    // The leader knows all batch records.
    let nobody = cluster.query(leader, "wk-777778");
    cluster.run_for_ms(300);
    assert_eq!((cluster.status_code(nobody), cluster.state.batch_scans), (404, reads));
    cluster.heal_links();
    cluster.check_invariants();
}

/// A storm of status queries uses up the reads; a submission through a follower needs no read of
/// its own, only a shared scan.
#[test]
fn follower_accepts_submissions_under_a_query_storm() {
    let mut cluster = settled_cluster(20, 652);
    let leader = cluster.leader().unwrap();
    let other = (leader + 1) % 3;
    submit_many(&mut cluster, leader, 0..20, 1);
    cluster.task_duration_ms = (0..40).map(|n| (job_id(n), 30_000)).collect();
    for n in 0..3 {
        cluster.cut_controllers(other, n, LinkFault::Drop);
    }
    cluster.run_for_ms(3_000);
    let mut requests = Vec::new();
    for n in 0..60 {
        for k in 0..12 {
            cluster.query(other, &job_id((n + k) % 20));
        }
        if n % 6 == 0 {
            requests.push(cluster.submit(other, &job(&job_id(20 + n / 6), JobKind::Array, 1)));
        }
        cluster.run_for_ms(50);
    }
    cluster.run_for_ms(900);
    let answers: Vec<u16> = requests.iter().map(|request| cluster.status_code(*request)).collect();
    assert!(answers.iter().all(|s| *s == 201), "{answers:?}");
    cluster.heal_links();
    cluster.check_invariants();
}

/// A flood of one-task jobs of this priority, with more completions than there are writes;
/// returns how many completions wait.
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
    let waits = batched_jobs(cluster).len();
    assert!(waits > 100, "{waits} completions wait");
    waits
}

/// A flood of best-effort jobs or of one job class leaves more completions to record than there
/// are writes: jobs of another class are accepted, run and reported done as soon as ever, and all
/// completions of the flood are recorded in the end.
#[test]
fn other_classes_are_served_while_completions_of_a_flood_wait() {
    for priority in [Priority::Low, Priority::Normal] {
        let mut cluster = settled_cluster(30, 655);
        let waits = flood_with_completions(&mut cluster, priority);
        for n in 900_000..900_003 {
            cluster.task_duration_ms.insert(job_id(n), 1_000);
            cluster.submit_until_accepted(&job(&job_id(n), JobKind::Array, 40));
            cluster.run_until_done(&job_id(n), 6_000);
        }
        assert!(
            batched_jobs(&cluster).len() > waits / 3,
            "most of the flood's completions still wait"
        );
        for n in 0..250 {
            if cluster.observed_status.contains_key(&job_id(n)) {
                cluster.run_until_done(&job_id(n), 120_000);
            }
        }
        cluster.check_invariants();
    }
}

/// The same job is submitted to the leader, for a batch, and through a follower, at any distance
/// in time: it is accepted once.
#[test]
fn job_is_accepted_once_when_leader_and_follower_race() {
    let mut past = 0;
    for case in 0..40u64 {
        let mut cluster = settled_cluster(10, 640 + case);
        let leader = cluster.leader().unwrap();
        let other = (leader + 1) % 3;
        for n in 0..3 {
            cluster.cut_controllers(other, n, LinkFault::Drop);
        }
        cluster.run_for_ms(2_500);
        if case % 2 == 0 {
            cluster.submit(leader, &job("wk-000002", JobKind::Array, 1));
            cluster.run_for_ms(case * 2);
        }
        cluster.submit(other, &job("wk-000001", JobKind::Array, 2));
        cluster.run_for_ms(case);
        cluster.submit(leader, &job("wk-000001", JobKind::Array, 2));
        cluster.run_for_ms(1_500);
        past += usize::from(
            cluster.state.write_log.iter().any(|written| written.key.starts_with("inbox/")),
        );
        let held = batched_jobs(&cluster).iter().filter(|id| *id == "wk-000001").count();
        let own = cluster.state.keys.contains_key("jobs/wk-000001");
        assert!(held + usize::from(own) <= 1, "in {held} batch records and own record {own}");
        cluster.heal_links();
        cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 2));
        cluster.run_until_done("wk-000001", 60_000);
        assert!(cluster.task_starts.values().all(|s| s.len() == 1));
        cluster.check_invariants();
    }
    assert!(past > 3, "accepted by a follower: {past}");
}

/// The write that creates or rewrites a batch record is lost, late or refused, with and without a
/// failover: no job is lost or accepted twice, and no batch number is skipped or used twice.
#[test]
fn no_job_is_lost_when_a_batch_write_is_late_or_lost() {
    for case in 0..30u64 {
        let mut cluster = settled_cluster(6, 700 + case);
        let leader = cluster.leader().unwrap();
        cluster.task_duration_ms = (0..8).map(|n| (job_id(n), 4_000)).collect();
        let wait = [0, 40, 130, 280, 400][case as usize % 5];
        submit_many(&mut cluster, leader, 0..4, 2);
        cluster.run_for_ms(wait);
        match case % 6 {
            0 => cluster.state.unanswered_writes = 1 + case as u32 % 3,
            1 | 2 => {
                cluster.cut_from_state_service(leader, LinkFault::Hold);
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
        let made =
            cluster.state.write_log.iter().filter(|written| written.key.starts_with(BATCH_PREFIX));
        let mut numbers: Vec<u64> =
            made.map(|written| written.key[BATCH_PREFIX.len()..].parse().unwrap()).collect();
        numbers.sort_unstable();
        numbers.dedup();
        assert_eq!(
            numbers,
            (1..=numbers.len() as u64).collect::<Vec<_>>(),
            "no batch number is skipped"
        );
        cluster.assert_no_accepted_job_is_lost();
    }
}

/// A batch write is refused for lack of write capacity while more jobs arrive. Later jobs wait for
/// the refusal; otherwise an existing batch record would be overwritten, and accepted jobs be
/// stored nowhere.
#[test]
fn no_batch_is_overwritten_when_its_write_is_throttled() {
    for case in 0..12u64 {
        let mut cluster = settled_cluster(12, 720 + case);
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
        cluster.check_invariants();
        cluster.crash_all_for_ms(200);
        for n in 0..16 {
            cluster.submit_until_accepted(&job(&job_id(n), JobKind::Array, 1));
            cluster.run_until_done(&job_id(n), 60_000);
        }
        cluster.check_invariants();
    }
}

/// A damaged entry in a batch record stops that job alone, a damaged record its jobs, visibly and
/// unchanged. Other jobs proceed, and no job in it is reported unknown or accepted anew.
#[test]
fn damaged_batch_record_stops_only_its_jobs() {
    for case in 0..2 {
        let mut cluster = settled_cluster(20, 740 + case);
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
        assert_eq!(cluster.state.keys[&key].value, damaged, "left as it is");
        let asked = cluster.query(0, &job_id(1));
        cluster.run_for_ms(1_000);
        assert_eq!(cluster.status_code(asked), 503);
        if case == 0 {
            let again =
                cluster.submit(cluster.leader().unwrap(), &job(&job_id(1), JobKind::Array, 1));
            cluster.run_for_ms(1_000);
            assert_eq!(cluster.status_code(again), 503, "the job is not accepted again");
        }
        cluster.check_invariants();
    }
}

/// Jobs that outgrow their batch record get records of their own, and nothing starts that is not
/// recorded.
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

/// Random crashes, partitions, outages, stalls and aborts over a lossy network, with jobs in batch
/// records. More seeds: `STORMS=500 cargo test -p quartzgate-core --test simulation
/// batched_jobs_complete_under_random_faults`.
#[test]
fn batched_jobs_complete_under_random_faults() {
    let many = std::env::var("STORMS").ok().and_then(|n| n.parse().ok()).unwrap_or(40u64);
    for seed in 0..many {
        let mut cluster = settled_cluster(6, 8_000 + seed);
        let mut rng = SmallRng::seed_from_u64(seed);
        (cluster.message_loss, cluster.max_delay_ms, cluster.scale_out_disabled) =
            (0.01, 60, false);
        let (mut ids, mut next) = (Vec::new(), 1);
        for _ in 0..12 {
            let node = rng.random_range(0..3);
            for _ in 0..rng.random_range(1..5) {
                let spec = job(&job_id(next), JobKind::Array, rng.random_range(1..4));
                next += 1;
                cluster.task_duration_ms.insert(spec.id.clone(), rng.random_range(500..12_000));
                cluster.submit(node, &spec);
                if rng.random_bool(0.2) {
                    cluster.submit((node + 1) % 3, &spec);
                }
                ids.push(spec);
            }
            cluster.run_for_ms(rng.random_range(0..900));
            let node = inject_random_fault(&mut cluster, &mut rng);
            if rng.random_bool(0.3) {
                let id = ids[rng.random_range(0..ids.len())].id.clone();
                cluster.abort(node, &id);
            }
            cluster.run_for_ms(rng.random_range(500..6_000));
            cluster.check_invariants();
        }
        cluster.heal_links();
        cluster.state.refused_nodes.clear();
        cluster.state.down = false;
        cluster.crash_all_for_ms(1_000);
        cluster.run_for_ms(2_000);
        for spec in &ids {
            cluster.submit_until_accepted(spec);
            if cluster.observed_status.get(&spec.id) != Some(&JobStatus::Aborted) {
                cluster.run_until_done(&spec.id, 300_000);
            }
        }
        cluster.run_for_ms(CANCEL_MS);
        assert_eq!(batched_jobs(&cluster).len(), 0, "seed {seed}");
        cluster.assert_no_accepted_job_is_lost();
    }
}

/// No batch record can hold a job of more than one chunk. Where values may be large, a job of 80
/// tasks is small beside one: its second chunk was recorded nowhere, and its batch was rewritten
/// until nothing else could be written. A job that an earlier build batched gets its own record
/// under the next leader, whatever happens on the way.
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
        // The batch record is as an earlier build left it.
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
            let last = cluster.state.keys.keys().rfind(|k| k.starts_with(BATCH_PREFIX)).unwrap();
            let number: u64 = last[BATCH_PREFIX.len()..].parse().unwrap();
            let key = format!("{BATCH_PREFIX}{:012}", number + 1);
            cluster.state.insert_value(&key, Value::serialized(&record).unwrap());
            cluster.run_for_ms(4_000);
            cluster.start_controller(leader);
            if case % 2 == 1 {
                cluster.run_for_ms(3_000);
                let next = cluster.leader().unwrap();
                cluster.crash_for_ms(next, 200);
            }
        }
        let before = cluster.state.writes;
        cluster.run_until_done(&job_id(50), 90_000);
        assert!(cluster.state.writes - before < 120, "{} writes", cluster.state.writes - before);
        for n in (0..3).chain((case >= 4).then_some(51)) {
            cluster.run_until_done(&job_id(n), 60_000);
        }
        cluster.assert_no_accepted_job_is_lost();
    }
}
