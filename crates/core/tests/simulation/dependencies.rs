//! Jobs with dependencies. In all tests the cluster records a violation if a task starts before its
//! job's dependencies are recorded as done, if a job is still reported as live too long after the
//! abort of a dependency, or if a job is reported as aborted although neither it nor one of its
//! dependencies was aborted.

use crate::cluster::{
    job, with_dependencies, Cluster, LateRefusal, LinkFault, StateLimits, ABORT_DEADLINE_MS,
};
use quartzgate_core::records::RecordedStatus;
use quartzgate_wire::msg::{JobKind, JobStatus, Priority};
use quartzgate_wire::to_cbor;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Returns a cluster 1.5 s after the activation of the format.
fn activated_cluster(workers: usize, team_cpu_limit: f64, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(3, workers, team_cpu_limit, seed);
    cluster.run_until(10_000, "the format is activated", Cluster::format_is_activated);
    cluster.run_for_ms(1_500);
    cluster
}

/// A pipeline with a fan-out, submitted to different controllers, runs in dependency order. Jobs
/// that wait for dependencies are reported as queued and use no quota.
#[test]
fn pipeline_runs_in_dependency_order_without_faults() {
    let mut cluster = activated_cluster(4, 8.0, 1);
    cluster.task_duration_ms.insert("wk-000001".into(), 8_000);
    cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 1));
    for (n, dependencies) in [(2, vec!["wk-000001"]), (3, vec!["wk-000001"])] {
        let spec =
            with_dependencies(job(&format!("wk-00000{n}"), JobKind::Array, 3), &dependencies);
        let request = cluster.submit(n % 3, &spec);
        cluster.run_for_ms(300);
        assert_eq!(cluster.status_code(request), 201);
    }
    let final_stage = with_dependencies(
        job("wk-000004", JobKind::Gang, 2),
        &["wk-000002", "wk-000003", "wk-000002"],
    );
    cluster.submit_until_accepted(&final_stage);
    // Waiting jobs reserve no quota: other jobs may use all but the running task's share.
    cluster.submit_until_accepted(&job("wk-000009", JobKind::Array, 1));
    cluster.run_until(2_500, "the other job runs", |cluster| {
        cluster.task_starts.contains_key("wk-000009/0")
    });
    assert!(!cluster.completed_tasks.contains_key("wk-000001"), "the first stage ended too early");
    cluster.query(1, "wk-000004");
    cluster.run_for_ms(300);
    assert_eq!(cluster.observed_status.get("wk-000004"), Some(&JobStatus::Queued));
    cluster.run_until_done("wk-000004", 60_000);
    // The metrics show that each stage started soon after its dependencies were done.
    let leader = cluster.leader().unwrap();
    let metrics = cluster.metrics_of(leader);
    assert!(metrics["latency_ms.chain_start.count"] >= 3.0);
    assert!(metrics["latency_ms.chain_start.p50"] < 1_000.0);
    assert!(metrics["latency_ms.write.p50"] <= metrics["latency_ms.write.max"]);
    cluster.assert_no_violations();
}

/// Every controller immediately refuses dependencies on jobs that were never accepted, on services
/// (also ended ones) and on the job itself, malformed lists, and lists too long for a stored value.
/// A repeated submission of a known job is never refused because of its list.
#[test]
fn unsatisfiable_dependency_lists_are_refused() {
    let mut cluster = activated_cluster(4, 0.0, 2);
    cluster.submit_until_accepted(&job("wk-000001", JobKind::Service, 1));
    cluster.submit_until_accepted(&job("wk-000002", JobKind::Service, 1));
    cluster.submit_until_accepted(&job("wk-000003", JobKind::Array, 1));
    cluster.abort_until_confirmed("wk-000002");
    cluster.run_for_ms(6_000);
    for node in 0..3 {
        let too_many: Vec<String> = (0..800).map(|n| format!("wk-{:06}", 1_000 + n)).collect();
        let too_many: Vec<&str> = too_many.iter().map(String::as_str).collect();
        let id = format!("wk-00001{node}");
        let request = |cluster: &mut Cluster, dependencies: &[&str]| {
            let spec = with_dependencies(job(&id, JobKind::Array, 1), dependencies);
            let request = cluster.send_request(node, "POST", "/api/jobs", to_cbor(&spec));
            cluster.run_for_ms(600);
            cluster.status_code(request)
        };
        assert_eq!(request(&mut cluster, &["wk-777777"]), 422, "never accepted");
        assert_eq!(request(&mut cluster, &["wk-000001"]), 422, "a service");
        assert_eq!(request(&mut cluster, &["wk-000002"]), 422, "a service that has ended");
        assert_eq!(request(&mut cluster, &[&id]), 422, "itself");
        assert_eq!(request(&mut cluster, &["wk-x"]), 400, "a malformed id");
        assert_eq!(request(&mut cluster, &too_many), 400, "too long a list");
        // A value that is not a list is refused; null and an empty list mean no dependencies.
        for (value, status) in [("7", 400), ("{}", 400), ("null", 201), ("[]", 200)] {
            let mut map = serde_json::to_value(job(&id, JobKind::Array, 1)).unwrap();
            map["prereqs"] = serde_json::from_str(value).unwrap();
            cluster.jobs.insert(id.clone(), job(&id, JobKind::Array, 1));
            let request = cluster.send_request(node, "POST", "/api/jobs", to_cbor(&map));
            cluster.run_for_ms(600);
            assert_eq!(cluster.status_code(request), status, "prereqs: {value}");
        }
        // By now the job is known, so that the same lists are accepted.
        for dependencies in [&["wk-777777"][..], &["wk-000001"], &[&id], &too_many] {
            assert_eq!(request(&mut cluster, dependencies), 200);
        }
    }
    cluster.assert_no_violations();
}

/// Guards against starting dependents too early: all tasks of a job are done, but the leader cannot
/// record the completion and crashes. The dependents must wait until it is recorded.
#[test]
fn dependents_wait_for_the_recorded_completion_across_failover() {
    for case in 0..8 {
        let mut cluster = activated_cluster(4, 0.0, 20 + case);
        let leader = cluster.leader().unwrap();
        cluster.task_duration_ms.insert("wk-000001".into(), 3_000);
        cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 2));
        cluster.submit_until_accepted(&with_dependencies(
            job("wk-000002", JobKind::Array, 2),
            &["wk-000001"],
        ));
        cluster.run_until_running(10_000, "wk-000001", 2);
        match case % 2 {
            0 => cluster.state.late_refusal = Some(LateRefusal { node: leader, after_ms: 50 }),
            _ => cluster.state.unanswered_writes = 3,
        }
        cluster.run_until(10_000, "all tasks are done", |cluster| {
            cluster.completed_tasks.get("wk-000001").is_some_and(|d| d.len() == 2)
        });
        cluster.run_for_ms(60 * case);
        cluster.crash_for_ms(leader, 4_000);
        cluster.state.late_refusal = None;
        cluster.run_until_done("wk-000002", 60_000);
        cluster.assert_no_violations();
    }
}

/// An abort at any controller races the completion of the job's last task. If the abort is answered
/// with `done`, the dependents run; if with `aborted`, all dependents are aborted and never run.
#[test]
fn dependents_follow_the_outcome_when_an_abort_races_completion() {
    let mut outcomes = [0, 0];
    for case in 0..24u64 {
        let mut cluster = activated_cluster(4, 0.0, 40 + case);
        cluster.task_duration_ms.insert("wk-000001".into(), 2_000);
        cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 1));
        cluster.run_until(5_000, "the job runs", |cluster| {
            cluster.task_starts.contains_key("wk-000001/0")
        });
        for (id, dependency) in [("wk-000002", "wk-000001"), ("wk-000003", "wk-000002")] {
            let request =
                cluster.submit(0, &with_dependencies(job(id, JobKind::Array, 1), &[dependency]));
            cluster.run_until(2_000, "the job is accepted", |cluster| {
                cluster.status_code(request) == 201
            });
        }
        let leader = cluster.leader().unwrap();
        let running_for_ms = cluster.now - cluster.task_starts["wk-000001/0"][0].at_ms;
        cluster.run_for_ms(1_850 + case * 20 - running_for_ms.min(1_850));
        cluster.abort((leader + case as usize) % 3, "wk-000001");
        if case % 3 == 2 {
            cluster.crash_for_ms(leader, 3_000);
        }
        cluster.run_for_ms(2_000);
        cluster.abort_until_confirmed("wk-000001");
        match cluster.observed_status["wk-000001"] {
            JobStatus::Done => {
                outcomes[0] += 1;
                cluster.run_until_done("wk-000003", 60_000);
            }
            _ => {
                outcomes[1] += 1;
                cluster.run_for_ms(3_000);
                for id in ["wk-000002", "wk-000003"] {
                    cluster.retry_until(20_000, |cluster, n| cluster.query(n, id), |s| s == 200);
                    assert_eq!(cluster.observed_status.get(id), Some(&JobStatus::Aborted), "{id}");
                }
                cluster.run_for_ms(ABORT_DEADLINE_MS);
                assert!(!cluster.task_starts.contains_key("wk-000002/0"));
            }
        }
        cluster.assert_no_violations();
    }
    assert!(
        outcomes[0] > 0 && outcomes[1] > 0,
        "only one outcome of the race occurred (done, aborted): {outcomes:?}"
    );
}

/// A follower that cannot reach the leader reports a job as aborted whose indirect dependency was
/// aborted, before that abort is recorded for the job. The leader, which has not been notified,
/// must not report an older state. A dependent that is submitted afterwards is accepted, then
/// aborted.
#[test]
fn partitioned_follower_reports_transitive_aborts() {
    let mut cluster = activated_cluster(4, 0.0, 70);
    cluster.task_duration_ms.insert("wk-000001".into(), 600_000);
    cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 1));
    cluster.submit_until_accepted(&with_dependencies(
        job("wk-000002", JobKind::Array, 1),
        &["wk-000001"],
    ));
    cluster.submit_until_accepted(&with_dependencies(
        job("wk-000003", JobKind::Array, 1),
        &["wk-000002"],
    ));
    let leader = cluster.leader().unwrap();
    let (first_follower, second_follower) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.cut_controllers(leader, first_follower, LinkFault::Drop);
    cluster.cut_controllers(leader, second_follower, LinkFault::Drop);
    cluster.state.handoff_watch_silent = true;
    cluster.run_for_ms(3_000);
    let abort = cluster.abort(first_follower, "wk-000001");
    cluster.run_until(3_000, "a follower records the abort", |cluster| {
        cluster.recorded_status("wk-000001") == Some(RecordedStatus::Aborted)
    });
    let request = cluster.query(second_follower, "wk-000003");
    cluster.run_until(300, "the indirect dependent is reported", |cluster| {
        cluster.status_code(request) == 200
    });
    assert_eq!(cluster.observed_status.get("wk-000003"), Some(&JobStatus::Aborted));
    assert_eq!(
        cluster.recorded_status("wk-000003"),
        Some(RecordedStatus::Live),
        "the abort is not recorded"
    );
    // The cluster records a violation if the leader now reports another state.
    let request = cluster.query(leader, "wk-000003");
    cluster.run_for_ms(300);
    assert_eq!(cluster.status_code(request), 200);
    let late_submission = cluster.submit(
        second_follower,
        &with_dependencies(job("wk-000004", JobKind::Array, 1), &["wk-000003"]),
    );
    cluster.run_for_ms(600);
    assert_eq!(cluster.status_code(late_submission), 201);
    cluster.query(first_follower, "wk-000004");
    cluster.run_for_ms(600);
    assert_eq!(cluster.observed_status.get("wk-000004"), Some(&JobStatus::Aborted));
    assert_eq!(cluster.status_code(abort), 200);
    cluster.heal_links();
    cluster.state.handoff_watch_silent = false;
    cluster.run_for_ms(1_000);
    // The leader has not received the handoff entry and learns of the abort through this query.
    cluster.query(leader, "wk-000004");
    cluster.run_until(40_000, "the aborts are recorded", |cluster| {
        ["wk-000002", "wk-000003", "wk-000004"]
            .iter()
            .all(|id| cluster.recorded_status(id) == Some(RecordedStatus::Aborted))
    });
    cluster.assert_no_violations();
}

/// Failover at varying times while dependency chains run: from the records alone, the new leader
/// recovers which dependencies are done, aborted, live or were recorded by a follower.
#[test]
fn dependency_chains_survive_failover() {
    for case in 0..10u64 {
        let mut cluster = activated_cluster(5, 0.0, 90 + case);
        cluster.task_duration_ms.insert("wk-000001".into(), 2_500);
        cluster.task_duration_ms.insert("wk-000005".into(), 600_000);
        cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 3));
        cluster.submit_until_accepted(&job("wk-000005", JobKind::Array, 1));
        cluster.submit_until_accepted(&with_dependencies(
            job("wk-000002", JobKind::Array, 70),
            &["wk-000001"],
        ));
        cluster.submit_until_accepted(&with_dependencies(
            job("wk-000003", JobKind::Gang, 2),
            &["wk-000002", "wk-000001"],
        ));
        cluster.submit_until_accepted(&with_dependencies(
            job("wk-000006", JobKind::Array, 1),
            &["wk-000005", "wk-000001"],
        ));
        cluster.submit_until_accepted(&with_dependencies(
            job("wk-000007", JobKind::Array, 1),
            &["wk-000006"],
        ));
        cluster.run_for_ms(300 * case);
        match case % 2 {
            0 => cluster.crash_all_for_ms(1_000),
            _ => {
                let leader = cluster.leader().unwrap();
                cluster.crash_for_ms(leader, 3_000);
                cluster.abort((leader + 1) % 3, "wk-000005");
            }
        }
        cluster.run_for_ms(1_500);
        cluster.abort_until_confirmed("wk-000005");
        cluster.run_until_done("wk-000003", 200_000);
        for id in ["wk-000006", "wk-000007"] {
            cluster.retry_until(20_000, |cluster, n| cluster.query(n, id), |s| s == 200);
            assert_eq!(cluster.observed_status.get(id), Some(&JobStatus::Aborted), "{id}");
        }
        cluster.assert_no_violations();
    }
}

/// A job has more dependencies (60) than one transaction permits conditions, and heads a chain of
/// 40 jobs that is too long to be followed recursively. Queries and aborts must handle both,
/// towards the dependencies and towards the dependents.
#[test]
fn abort_propagates_through_wide_and_long_dependency_graphs() {
    let mut cluster = activated_cluster(6, 0.0, 110);
    cluster.task_duration_ms.insert("wk-000001".into(), 30_000);
    cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 1));
    let mut fan_in = Vec::new();
    for n in 0..60 {
        let id = format!("wk-0001{n:02}");
        cluster.submit(n % 3, &with_dependencies(job(&id, JobKind::Array, 1), &["wk-000001"]));
        cluster.run_for_ms(150);
        fan_in.push(id);
    }
    let fan_in_ids: Vec<&str> = fan_in.iter().map(String::as_str).collect();
    cluster.submit_until_accepted(&with_dependencies(
        job("wk-000200", JobKind::Array, 1),
        &fan_in_ids,
    ));
    let mut chain_end = "wk-000200".to_string();
    for n in 0..40 {
        let id = format!("wk-0003{n:02}");
        cluster.submit(n % 3, &with_dependencies(job(&id, JobKind::Array, 1), &[&chain_end]));
        cluster.run_for_ms(150);
        chain_end = id;
    }
    for node in 0..3 {
        let request = cluster.query(node, &chain_end);
        cluster.run_for_ms(1_500);
        assert_eq!(
            (cluster.status_code(request), cluster.observed_status[&chain_end]),
            (200, JobStatus::Queued)
        );
    }
    cluster.abort_until_confirmed("wk-000139");
    // The abort of one dependency of the fan-in aborts everything that depends on it.
    cluster.run_for_ms(ABORT_DEADLINE_MS);
    let fan_in_status = cluster.observed_status["wk-000139"];
    cluster.retry_until(20_000, |cluster, n| cluster.query(n, &chain_end), |s| s == 200);
    assert_eq!(fan_in_status, JobStatus::Aborted);
    assert_eq!(cluster.observed_status[&chain_end], JobStatus::Aborted);
    cluster.assert_no_violations();
}

/// A damaged job record within a chain blocks the jobs that depend on it, also after a failover,
/// and no other jobs.
#[test]
fn damaged_record_stops_only_its_dependents() {
    let mut cluster = activated_cluster(4, 0.0, 130);
    cluster.task_duration_ms.insert("wk-000001".into(), 600_000);
    cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 1));
    cluster.submit_until_accepted(&with_dependencies(
        job("wk-000002", JobKind::Array, 1),
        &["wk-000001"],
    ));
    cluster.state.keys.get_mut("jobs/wk-000001").unwrap().value =
        ciborium::value::Value::Text("?".into());
    cluster.crash_all_for_ms(500);
    cluster.run_for_ms(6_000);
    cluster.submit_until_accepted(&job("wk-000003", JobKind::Array, 2));
    cluster.submit_until_accepted(&with_dependencies(
        job("wk-000004", JobKind::Array, 2),
        &["wk-000003"],
    ));
    cluster.run_until_done("wk-000004", 60_000);
    let request = cluster.query(0, "wk-000002");
    cluster.run_for_ms(2_500);
    assert_eq!(cluster.status_code(request), 503, "the state of the dependency is unknown");
    assert!(cluster.live_tasks("wk-000002").is_empty());
    cluster.assert_no_violations();
}

/// A job on which a high-priority job depends starts before other jobs of its own priority. It
/// loses the inherited priority when that dependent is aborted.
#[test]
fn dependency_inherits_the_priority_of_its_dependents() {
    for abort_dependent in [false, true] {
        let mut cluster = activated_cluster(2, 8.0, 140);
        cluster.task_duration_ms.insert("wk-000009".into(), 4_000);
        // One job uses up the quota, so that two low-priority jobs have to wait.
        cluster.submit_until_accepted(&job("wk-000009", JobKind::Array, 2));
        cluster.run_until(4_000, "the quota is used up", |cluster| {
            cluster.live_tasks("wk-000009").len() == 2
        });
        for n in [1, 2] {
            cluster.task_duration_ms.insert(format!("wk-00000{n}"), 3_000);
            let mut low = job(&format!("wk-00000{n}"), JobKind::Array, 2);
            low.priority = Priority::Low;
            let request = cluster.submit(0, &low);
            cluster.run_until(2_000, "the job is accepted", |cluster| {
                cluster.status_code(request) == 201
            });
        }
        let mut high = with_dependencies(job("wk-000003", JobKind::Array, 1), &["wk-000002"]);
        high.priority = Priority::High;
        let request = cluster.submit(0, &high);
        cluster
            .run_until(2_000, "the job is accepted", |cluster| cluster.status_code(request) == 201);
        if abort_dependent {
            let request = cluster.abort(0, "wk-000003");
            cluster.run_until(2_000, "the abort is confirmed", |cluster| {
                cluster.status_code(request) == 200
            });
        }
        let first_starts = |cluster: &Cluster| {
            ["wk-000001/0", "wk-000002/0"]
                .map(|t| cluster.task_starts.get(t).map(|starts| starts[0].at_ms))
        };
        cluster.run_until(20_000, "one of the jobs starts", |cluster| {
            first_starts(cluster).iter().any(Option::is_some)
        });
        let [first_start, second_start] = first_starts(&cluster);
        assert_eq!(
            second_start.is_some_and(
                |second_start| first_start.is_none_or(|first_start| second_start < first_start)
            ),
            !abort_dependent
        );
        cluster.assert_no_violations();
    }
}

/// A follower accepted two jobs, and the leader never received the handoff entry of the first, on
/// which the second depends. The leader must read the record of the unknown dependency, so that
/// both jobs run.
#[test]
fn unknown_dependency_is_read_when_its_handoff_entry_was_lost() {
    let mut cluster = activated_cluster(4, 0.0, 150);
    let leader = cluster.leader().unwrap();
    let follower = (leader + 1) % 3;
    cluster.cut_controllers(leader, follower, LinkFault::Drop);
    cluster.run_for_ms(3_000);
    cluster.state.handoff_watch_silent = true;
    let first_request = cluster.submit(follower, &job("wk-000001", JobKind::Array, 1));
    cluster.run_until(2_000, "a follower accepts the job", |cluster| {
        cluster.status_code(first_request) == 201
    });
    cluster.run_for_ms(4_000);
    cluster.state.handoff_watch_silent = false;
    assert!(cluster.task_starts.is_empty(), "the leader received the handoff entry");
    let second_request = cluster
        .submit(follower, &with_dependencies(job("wk-000002", JobKind::Array, 1), &["wk-000001"]));
    cluster.run_until(2_000, "a follower accepts the job", |cluster| {
        cluster.status_code(second_request) == 201
    });
    cluster.run_until(20_000, "both jobs run", |cluster| {
        cluster.task_starts.contains_key("wk-000002/0")
    });
    cluster.run_until_done("wk-000002", 20_000);
    cluster.assert_no_violations();
}

/// Restarts all controllers as the first version with announced limits, submits a large job and
/// upgrades the controllers one by one.
fn upgrade_controllers(cluster: &mut Cluster, rng: &mut SmallRng) {
    cluster.announced_limits =
        Some(serde_json::json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 20.0}));
    cluster.first_version_controllers = (0..3).collect();
    cluster.crash_all_for_ms(10);
    cluster.run_for_ms(3_000);
    cluster.submit_until_accepted(&job("wk-000090", JobKind::Array, 130));
    for n in 0..3 {
        cluster.first_version_controllers.remove(&n);
        cluster.crash_for_ms(n, 500);
        cluster.run_for_ms(rng.random_range(600..4_000));
    }
}

/// Injects a random fault of a controller, a link or the state service, or heals all partitions and
/// refusals. Returns the controller that was drawn.
fn inject_random_control_plane_fault(cluster: &mut Cluster, rng: &mut SmallRng) -> usize {
    let node = rng.random_range(0..3);
    let link_fault = if rng.random_bool(0.5) { LinkFault::Hold } else { LinkFault::Drop };
    match rng.random_range(0..9) {
        0 => cluster.crash_for_ms(node, 3_000),
        1 => cluster.crash_all_for_ms(2_000),
        2 => cluster.cut_controller_from_state_service(node, link_fault),
        3 => {
            cluster.state.refused_nodes.insert(node);
        }
        4 => cluster.cut_controllers(node, (node + 1) % 3, link_fault),
        5 => cluster.stall(node, rng.random_range(1_000..12_000)),
        6 => cluster.state.unanswered_writes = 2,
        _ => {
            cluster.heal_links();
            cluster.state.refused_nodes.clear();
        }
    }
    node
}

/// Queries the job every 500 ms until it is reported as done or aborted, for at most 300 s.
fn run_until_done_or_aborted(cluster: &mut Cluster, id: &str) {
    let has_ended = |cluster: &Cluster| {
        matches!(cluster.observed_status.get(id), Some(JobStatus::Done | JobStatus::Aborted))
    };
    let end = cluster.now + 300_000;
    while !has_ended(cluster) {
        let (seed, violations) = (cluster.seed, &cluster.violations);
        assert!(cluster.now < end, "seed {seed}: {id} has not ended after 300 s; {violations:?}");
        cluster.query(0, id);
        cluster.run_for_ms(500);
    }
}

/// Injects random crashes, partitions, process stalls, lost writes and aborts while dependency
/// chains run; half of the runs also have a rolling upgrade and lowered limits.
#[test]
fn dependency_chains_complete_under_random_faults() {
    for seed in 0..24u64 {
        let mut cluster = Cluster::new(3, 6, 32.0, 3000 + seed);
        let mut rng = SmallRng::seed_from_u64(seed);
        cluster.scale_out_disabled = false;
        let upgrade = seed % 2 == 0;
        if upgrade {
            upgrade_controllers(&mut cluster, &mut rng);
        }
        cluster.run_until(30_000, "the format is activated", Cluster::format_is_activated);
        if upgrade {
            cluster.state.limits =
                Some(StateLimits { max_value_bytes: 2048, max_changes: 4, changes_per_s: 20.0 });
        }
        cluster.message_loss = 0.01;
        cluster.max_delay_ms = 60;
        let mut ids: Vec<String> = Vec::new();
        for n in 0..14 {
            let id = format!("wk-{:06}", n + 1);
            cluster.task_duration_ms.insert(id.clone(), rng.random_range(500..8_000));
            let accepted: Vec<&str> = ids
                .iter()
                .filter(|id| cluster.observed_status.contains_key(*id) && rng.random_bool(0.4))
                .map(String::as_str)
                .collect();
            let kind = if n % 5 == 3 { JobKind::Gang } else { JobKind::Array };
            let spec = with_dependencies(job(&id, kind, rng.random_range(1..5)), &accepted);
            cluster.submit(rng.random_range(0..3), &spec);
            ids.push(id);
            let node = inject_random_control_plane_fault(&mut cluster, &mut rng);
            if rng.random_bool(0.15) {
                let index = rng.random_range(0..ids.len());
                let id = ids[index].clone();
                cluster.abort(node, &id);
            }
            for _ in 0..3 {
                let index = rng.random_range(0..ids.len());
                let id = ids[index].clone();
                cluster.query(rng.random_range(0..3), &id);
                cluster.run_for_ms(rng.random_range(200..2_500));
            }
        }
        cluster.heal_links();
        cluster.state.refused_nodes.clear();
        cluster.run_for_ms(3_000);
        for id in &ids {
            let spec = cluster.jobs[id].clone();
            cluster.submit_until_accepted(&spec);
        }
        ids.iter().for_each(|id| run_until_done_or_aborted(&mut cluster, id));
        cluster.assert_no_accepted_job_is_lost();
    }
}
