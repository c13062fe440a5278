//! Format 3: the placement of a job that has a single chunk is stored in the job's record.

use crate::cluster::{job, Cluster, LinkFault, StateLimits, ABORT_DEADLINE_MS};
use crate::rolling_upgrades::FORMAT_2_BUILD;
use ciborium::value::Value;
use quartzgate_core::records::{checked_size, JobRecord};
use quartzgate_wire::msg::{JobKind, JobStatus};

/// Returns a cluster on which format 3 is activated. `max_value_kb` is the largest value that the
/// state service announces.
fn format_3_cluster(workers: usize, max_value_kb: Option<f64>, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(3, workers, 0.0, seed);
    if let Some(max_value_kb) = max_value_kb {
        cluster.announced_limits = Some(serde_json::json!({"value_kb": max_value_kb}));
        cluster.restart_all_controllers();
    }
    cluster.run_until(20_000, "format 3 is activated", |cluster| {
        cluster.activated_format().version >= 3
    });
    cluster.run_for_ms(1_500);
    cluster
}

fn job_record(cluster: &Cluster, id: &str) -> JobRecord {
    cluster.state.keys[&format!("jobs/{id}")].value.deserialized().unwrap()
}

/// Returns the number of placement records that are stored outside job records.
fn separate_placement_count(cluster: &Cluster) -> usize {
    cluster.state.keys.keys().filter(|k| k.starts_with("shares/")).count()
}

/// Without faults, a job of one task is accepted and placed with one write and completed with a
/// second one. Its record always names every machine that may hold its task, and is small once the
/// job is done.
#[test]
fn one_task_job_costs_two_writes() {
    let mut cluster = format_3_cluster(6, None, 500);
    let leader = cluster.leader().unwrap();
    let writes_before = cluster.state.writes;
    for n in 0..8 {
        cluster.submit(leader, &job(&format!("wk-00000{n}"), JobKind::Array, 1));
        cluster.run_for_ms(700);
    }
    assert!(job_record(&cluster, "wk-000007").placement.is_some_and(|s| !s.sets.is_empty()));
    cluster.run_for_ms(15_000);
    for n in 0..8 {
        let id = format!("wk-00000{n}");
        cluster.query(leader, &id);
        cluster.run_for_ms(20);
        assert_eq!(cluster.observed_status[&id], JobStatus::Done);
        assert!(
            job_record(&cluster, &id).placement.is_none(),
            "the record of a finished job still contains a placement"
        );
    }
    assert_eq!((cluster.state.writes - writes_before, separate_placement_count(&cluster)), (16, 0));
    cluster.assert_no_violations();
}

/// Guards against a new leader that starts a task twice or stops a running one: it recovers the
/// machines of all tasks from the job records, also when separate placement records of format 2
/// exist as well.
#[test]
fn inline_placements_are_recovered_after_failover() {
    for case in 0..6u64 {
        let mut cluster = Cluster::new(3, 30, 0.0, 510 + case);
        for n in 0..3 {
            cluster.replace_build(n, &FORMAT_2_BUILD, 1);
        }
        cluster.run_until(20_000, "format 2 is activated", |cluster| {
            cluster.activated_format().version == 2
        });
        cluster.run_for_ms(2_500);
        cluster.task_duration_ms.insert("wk-000001".into(), 30_000);
        cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 20));
        assert_eq!(separate_placement_count(&cluster), 1);
        (0..3).for_each(|n| {
            cluster.feature_tables.remove(&n);
            cluster.crash_for_ms(n, 300)
        });
        cluster.run_until(30_000, "format 3 is activated", |cluster| {
            cluster.activated_format().version >= 3
        });
        cluster.run_for_ms(1_500);
        cluster.task_duration_ms.insert("wk-000002".into(), 30_000);
        cluster.submit_until_accepted(&job("wk-000002", JobKind::Array, 20));
        cluster.submit_until_accepted(&job("wk-000003", JobKind::Service, 4));
        let mut gang = job("wk-000004", JobKind::Gang, 4);
        gang.checkpoint_interval_s = 1.0;
        cluster.submit_until_accepted(&gang);
        cluster.run_for_ms(case * 300);
        assert!(
            separate_placement_count(&cluster) <= 1,
            "a separate placement record was written in format 3"
        );
        cluster.state.max_list_keys = Some(1 + case as usize);
        cluster.crash_all_for_ms(400);
        cluster.run_for_ms(3_000);
        for id in ["wk-000001", "wk-000002", "wk-000004"] {
            cluster.run_until_done(id, 120_000);
        }
        let restarted =
            cluster.task_starts.iter().filter(|(t, s)| t.starts_with("wk-000001/") && s.len() > 1);
        assert_eq!(restarted.count(), 0, "running tasks were started again");
        assert_eq!(cluster.live_tasks("wk-000003").len(), 4);
        cluster.assert_no_violations();
    }
}

/// A placement that outgrows its job's record is moved to a record of its own, in one transaction
/// with the job's record, also when all controllers crash or writes get no answer meanwhile.
#[test]
fn oversized_placement_moves_to_its_own_record_across_failover() {
    let mut cases_with_separate_records = 0;
    for case in 0..8u64 {
        let mut cluster = format_3_cluster(60, Some(1.2), 520 + case);
        cluster.state.limits =
            Some(StateLimits { max_value_bytes: 1228, max_changes: 12, changes_per_s: 0.0 });
        cluster.task_duration_ms.insert("wk-000001".into(), 25_000);
        // Tasks are placed as machines become free, so that the job's placement grows.
        cluster.submit(cluster.leader().unwrap(), &job("wk-000002", JobKind::Array, 64));
        cluster.run_for_ms(200);
        cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 40));
        cluster.run_for_ms(case * 400);
        cases_with_separate_records += usize::from(separate_placement_count(&cluster) > 0);
        if case % 2 == 0 {
            cluster.crash_all_for_ms(400);
        } else {
            cluster.state.unanswered_writes = 3;
        }
        cluster.run_until_done("wk-000001", 120_000);
        cluster.run_until_done("wk-000002", 120_000);
        cluster.run_for_ms(3_000);
        assert_eq!((separate_placement_count(&cluster), cluster.state.refused_for_size), (0, 0));
        cluster.assert_no_violations();
    }
    assert!(
        cases_with_separate_records > 2,
        "cases with a placement record of its own: {cases_with_separate_records}"
    );
}

/// Aborts race other writes of the same job record, through the leader during placement and
/// through a follower. No abort may be lost or leave a task running, and the record must name the
/// machines of the job's tasks until the tasks have stopped.
#[test]
fn abort_is_not_lost_when_it_races_writes_of_the_same_record() {
    for case in 0..16u64 {
        let mut cluster = format_3_cluster(8, None, 540 + case);
        let leader = cluster.leader().unwrap();
        cluster.task_duration_ms.insert("wk-000001".into(), 600_000);
        cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 30));
        cluster.run_for_ms(case * 61);
        if case % 2 == 0 {
            // A partitioned follower aborts the job through its stored record alone, while the
            // leader continues to place its tasks.
            let follower = (leader + 1) % 3;
            cluster.cut_controllers(leader, follower, LinkFault::Drop);
            cluster.run_for_ms(1_000);
            cluster.retry_until(
                20_000,
                |cluster, _| cluster.abort(follower, "wk-000001"),
                |s| s == 200,
            );
        } else {
            cluster.state.unanswered_writes = (case % 4) as u32;
            cluster.abort_until_confirmed("wk-000001");
        }
        if case % 3 == 0 {
            let aborted_record = job_record(&cluster, "wk-000001");
            let has_running_tasks = !cluster.live_tasks("wk-000001").is_empty();
            assert!(
                !has_running_tasks || aborted_record.placement.is_some(),
                "the record no longer names the machines of running tasks"
            );
            cluster.crash_all_for_ms(300);
        }
        cluster.heal_links();
        cluster.run_for_ms(ABORT_DEADLINE_MS);
        assert_eq!(cluster.live_tasks("wk-000001").len(), 0);
        cluster.submit_until_accepted(&job("wk-000002", JobKind::Array, 3));
        cluster.run_until_done("wk-000002", 60_000);
        cluster.assert_no_violations();
    }
}

/// A follower aborts a job whose record is almost as large as a value may be. The record with the
/// state `aborted` must still fit.
#[test]
fn follower_aborts_a_job_whose_record_is_full() {
    let mut cases_with_full_record = 0;
    for tasks in 20..40 {
        let mut cluster = format_3_cluster(70, Some(1.5), 560 + tasks as u64);
        cluster.state.limits =
            Some(StateLimits { max_value_bytes: 1536, max_changes: 12, changes_per_s: 0.0 });
        cluster.task_duration_ms.insert("wk-000001".into(), 600_000);
        cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, tasks));
        cluster.run_for_ms(2_000);
        let size = checked_size(&cluster.state.keys["jobs/wk-000001"].value);
        cases_with_full_record += u32::from((1380..=1536).contains(&size));
        let leader = cluster.leader().unwrap();
        cluster.cut_controller_from_state_service(leader, LinkFault::Drop);
        cluster.retry_until(20_000, |cluster, n| cluster.abort(n, "wk-000001"), |s| s == 200);
        assert_eq!(cluster.state.refused_for_size, 0);
        cluster.heal_links();
        cluster.run_for_ms(ABORT_DEADLINE_MS + 10_000);
        assert_eq!(cluster.live_tasks("wk-000001").len(), 0);
        cluster.assert_no_violations();
    }
    assert!(cases_with_full_record > 0, "no record came close to the size limit");
}

/// A damaged placement within a job record blocks its own job only. The record is left unchanged.
#[test]
fn damaged_inline_placement_stops_only_its_job() {
    for case in 0..2 {
        let mut cluster = format_3_cluster(10, None, 590 + case);
        cluster.task_duration_ms.insert("wk-000001".into(), 5_000);
        cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 3));
        cluster.submit_until_accepted(&job("wk-000002", JobKind::Array, 3));
        cluster.crash_all();
        let mut record = job_record(&cluster, "wk-000001");
        let share = record.placement.as_mut().unwrap();
        match case {
            0 => share.sets[0][1] = 1_000,
            _ => share.piece_count = 2,
        }
        let damaged = Value::serialized(&record).unwrap();
        cluster.replace_value_keeping_revision("jobs/wk-000001", damaged.clone());
        (0..3).for_each(|n| cluster.start_controller(n));
        cluster.run_until_done("wk-000002", 60_000);
        cluster.run_for_ms(ABORT_DEADLINE_MS);
        assert_eq!(
            cluster.state.keys["jobs/wk-000001"].value, damaged,
            "the damaged record was changed"
        );
        assert_ne!(cluster.observed_status["wk-000001"], JobStatus::Done);
        cluster.assert_no_violations();
    }
}
