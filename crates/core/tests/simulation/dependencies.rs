//! Jobs that depend on others. In all tests the cluster records a violation if a task starts
//! before its job's dependencies are done and recorded so, if a job is reported alive too long
//! after the abort of a dependency, and if a job is reported aborted though neither it nor a
//! dependency was.

use crate::cluster::{
    job, with_dependencies, Cluster, LateRefusal, LinkFault, StateLimits, CANCEL_MS,
};
use quartzgate_core::records::RecordedStatus;
use quartzgate_wire::msg::{JobKind, JobStatus, Priority};
use quartzgate_wire::to_cbor;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A cluster whose format is activated.
fn activated_cluster(workers: usize, team_cpu_limit: f64, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(3, workers, team_cpu_limit, seed);
    cluster.run_until(10_000, "the format is activated", Cluster::format_is_activated);
    cluster.run_for_ms(1_500);
    cluster
}

/// A pipeline with a fan-out, submitted to different controllers, runs in order; jobs that wait
/// are reported as queued and hold no part of the quota.
#[test]
fn pipeline_runs_in_dependency_order_without_faults() {
    let mut cluster = activated_cluster(4, 8.0, 1);
    cluster.task_duration_ms.insert("wk-000001".into(), 8_000);
    cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 1));
    for (n, needs) in [(2, vec!["wk-000001"]), (3, vec!["wk-000001"])] {
        let spec = with_dependencies(job(&format!("wk-00000{n}"), JobKind::Array, 3), &needs);
        let request = cluster.submit(n % 3, &spec);
        cluster.run_for_ms(300);
        assert_eq!(cluster.status_code(request), 201);
    }
    let last = with_dependencies(
        job("wk-000004", JobKind::Gang, 2),
        &["wk-000002", "wk-000003", "wk-000002"],
    );
    cluster.submit_until_accepted(&last);
    // A waiting job reserves nothing: other work may use the whole quota but one task.
    cluster.submit_until_accepted(&job("wk-000009", JobKind::Array, 1));
    cluster.run_until(2_500, "the other job runs", |cluster| {
        cluster.task_starts.contains_key("wk-000009/0")
    });
    assert!(!cluster.completed_tasks.contains_key("wk-000001"), "the first stage is still running");
    cluster.query(1, "wk-000004");
    cluster.run_for_ms(300);
    assert_eq!(cluster.observed_status.get("wk-000004"), Some(&JobStatus::Queued));
    cluster.run_until_done("wk-000004", 60_000);
    // The metrics show that each stage began soon after the one before it.
    let leader = cluster.leader().unwrap();
    let seen = cluster.metrics_of(leader);
    assert!(seen["latency_ms.chain_start.count"] >= 3.0);
    assert!(seen["latency_ms.chain_start.p50"] < 1_000.0);
    assert!(seen["latency_ms.write.p50"] <= seen["latency_ms.write.max"]);
    cluster.check_invariants();
}

/// Refused at once: dependencies on jobs that were never accepted, on services (also finished
/// ones) and on the job itself, malformed lists, and lists too long for a stored value. Repeats of
/// known jobs are never refused, whatever their list says.
#[test]
fn unsatisfiable_dependency_lists_are_refused() {
    let mut cluster = activated_cluster(4, 0.0, 2);
    cluster.submit_until_accepted(&job("wk-000001", JobKind::Service, 1));
    cluster.submit_until_accepted(&job("wk-000002", JobKind::Service, 1));
    cluster.submit_until_accepted(&job("wk-000003", JobKind::Array, 1));
    cluster.abort_until_confirmed("wk-000002");
    cluster.run_for_ms(6_000);
    for node in 0..3 {
        let long: Vec<String> = (0..800).map(|n| format!("wk-{:06}", 1_000 + n)).collect();
        let long: Vec<&str> = long.iter().map(String::as_str).collect();
        let id = format!("wk-00001{node}");
        let request = |cluster: &mut Cluster, needs: &[&str]| {
            let spec = with_dependencies(job(&id, JobKind::Array, 1), needs);
            let request = cluster.send_request(node, "POST", "/api/jobs", to_cbor(&spec));
            cluster.run_for_ms(600);
            cluster.status_code(request)
        };
        assert_eq!(request(&mut cluster, &["wk-777777"]), 422, "never accepted");
        assert_eq!(request(&mut cluster, &["wk-000001"]), 422, "a service");
        assert_eq!(request(&mut cluster, &["wk-000002"]), 422, "a service that has ended");
        assert_eq!(request(&mut cluster, &[&id]), 422, "itself");
        assert_eq!(request(&mut cluster, &["wk-x"]), 400, "a malformed id");
        assert_eq!(request(&mut cluster, &long), 400, "too long a list");
        // Values that are no list are refused; null and an empty list mean no dependencies.
        for (value, status) in [("7", 400), ("{}", 400), ("null", 201), ("[]", 200)] {
            let mut map = serde_json::to_value(job(&id, JobKind::Array, 1)).unwrap();
            map["prereqs"] = serde_json::from_str(value).unwrap();
            cluster.jobs.insert(id.clone(), job(&id, JobKind::Array, 1));
            let request = cluster.send_request(node, "POST", "/api/jobs", to_cbor(&map));
            cluster.run_for_ms(600);
            assert_eq!(cluster.status_code(request), status, "prereqs: {value}");
        }
        // The job is known by now.
        for needs in [&["wk-777777"][..], &["wk-000001"], &[&id], &long] {
            assert_eq!(request(&mut cluster, needs), 200);
        }
    }
    cluster.check_invariants();
}

/// All tasks are done, but the leader cannot record the job's completion and crashes: dependents
/// wait for the record.
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
        cluster.check_invariants();
    }
}

/// An abort races the last completion, at any controller: if it is answered `done`, the dependents
/// run; if `aborted`, all dependents are aborted and never run.
#[test]
fn dependents_follow_the_outcome_when_an_abort_races_completion() {
    let mut ends = [0, 0];
    for case in 0..24u64 {
        let mut cluster = activated_cluster(4, 0.0, 40 + case);
        cluster.task_duration_ms.insert("wk-000001".into(), 2_000);
        cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 1));
        cluster.run_until(5_000, "the job runs", |cluster| {
            cluster.task_starts.contains_key("wk-000001/0")
        });
        for (id, needs) in [("wk-000002", "wk-000001"), ("wk-000003", "wk-000002")] {
            let request =
                cluster.submit(0, &with_dependencies(job(id, JobKind::Array, 1), &[needs]));
            cluster.run_until(2_000, "the job is accepted", |cluster| {
                cluster.status_code(request) == 201
            });
        }
        let leader = cluster.leader().unwrap();
        let ran = cluster.now - cluster.task_starts["wk-000001/0"][0].at_ms;
        cluster.run_for_ms(1_850 + case * 20 - ran.min(1_850));
        cluster.abort((leader + case as usize) % 3, "wk-000001");
        if case % 3 == 2 {
            cluster.crash_for_ms(leader, 3_000);
        }
        cluster.run_for_ms(2_000);
        cluster.abort_until_confirmed("wk-000001");
        match cluster.observed_status["wk-000001"] {
            JobStatus::Done => {
                ends[0] += 1;
                cluster.run_until_done("wk-000003", 60_000);
            }
            _ => {
                ends[1] += 1;
                cluster.run_for_ms(3_000);
                for id in ["wk-000002", "wk-000003"] {
                    cluster.retry_until(20_000, |cluster, n| cluster.query(n, id), |s| s == 200);
                    assert_eq!(cluster.observed_status.get(id), Some(&JobStatus::Aborted), "{id}");
                }
                cluster.run_for_ms(CANCEL_MS);
                assert!(!cluster.task_starts.contains_key("wk-000002/0"));
            }
        }
        cluster.check_invariants();
    }
    assert!(ends[0] > 0 && ends[1] > 0, "both outcomes of the race occur: {ends:?}");
}

/// A follower that cannot reach the leader reports a job as aborted that depends, through another,
/// on an aborted one, before anybody has recorded that; the leader, which has heard nothing of it,
/// gives no older answer; and a dependent that is submitted afterwards is accepted and aborted.
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
    let (a, b) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.cut_controllers(leader, a, LinkFault::Drop);
    cluster.cut_controllers(leader, b, LinkFault::Drop);
    cluster.state.handoff_watch_silent = true;
    cluster.run_for_ms(3_000);
    let abort = cluster.abort(a, "wk-000001");
    cluster.run_until(3_000, "aborted by a follower", |cluster| cluster.status_code(abort) == 200);
    let request = cluster.query(b, "wk-000003");
    cluster.run_for_ms(300);
    assert_eq!(cluster.status_code(request), 200);
    assert_eq!(cluster.observed_status.get("wk-000003"), Some(&JobStatus::Aborted));
    assert_eq!(
        cluster.recorded_status("wk-000003"),
        Some(RecordedStatus::Live),
        "the abort is not recorded"
    );
    // The cluster records a violation if the leader now reports anything else.
    let request = cluster.query(leader, "wk-000003");
    cluster.run_for_ms(300);
    assert_eq!(cluster.status_code(request), 200);
    let late =
        cluster.submit(b, &with_dependencies(job("wk-000004", JobKind::Array, 1), &["wk-000003"]));
    cluster.run_for_ms(600);
    assert_eq!(cluster.status_code(late), 201);
    cluster.query(a, "wk-000004");
    cluster.run_for_ms(600);
    assert_eq!(cluster.observed_status.get("wk-000004"), Some(&JobStatus::Aborted));
    cluster.heal_links();
    cluster.state.handoff_watch_silent = false;
    cluster.run_for_ms(1_000);
    // The leader has missed the handoff entry, and learns of the abort by a query.
    cluster.query(leader, "wk-000004");
    cluster.run_until(40_000, "the aborts are recorded", |cluster| {
        ["wk-000002", "wk-000003", "wk-000004"]
            .iter()
            .all(|id| cluster.recorded_status(id) == Some(RecordedStatus::Aborted))
    });
    cluster.check_invariants();
}

/// Failover with dependency chains at any moment: the new leader knows from the records which
/// dependencies were done, aborted, live or recorded by a follower.
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
        cluster.check_invariants();
    }
}

/// More dependencies than one transaction has conditions, and chains longer than recursion could
/// follow, in both directions.
#[test]
fn abort_propagates_through_wide_and_long_dependency_graphs() {
    let mut cluster = activated_cluster(6, 0.0, 110);
    cluster.task_duration_ms.insert("wk-000001".into(), 30_000);
    cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 1));
    let mut fan = Vec::new();
    for n in 0..60 {
        let id = format!("wk-0001{n:02}");
        cluster.submit(n % 3, &with_dependencies(job(&id, JobKind::Array, 1), &["wk-000001"]));
        cluster.run_for_ms(150);
        fan.push(id);
    }
    let names: Vec<&str> = fan.iter().map(String::as_str).collect();
    cluster.submit_until_accepted(&with_dependencies(job("wk-000200", JobKind::Array, 1), &names));
    let mut last = "wk-000200".to_string();
    for n in 0..40 {
        let id = format!("wk-0003{n:02}");
        cluster.submit(n % 3, &with_dependencies(job(&id, JobKind::Array, 1), &[&last]));
        cluster.run_for_ms(150);
        last = id;
    }
    for node in 0..3 {
        let request = cluster.query(node, &last);
        cluster.run_for_ms(1_500);
        assert_eq!(
            (cluster.status_code(request), cluster.observed_status[&last]),
            (200, JobStatus::Queued)
        );
    }
    cluster.abort_until_confirmed("wk-000139");
    // The whole fan is aborted with one of its jobs.
    cluster.run_for_ms(CANCEL_MS);
    let end = cluster.observed_status["wk-000139"];
    cluster.retry_until(20_000, |cluster, n| cluster.query(n, &last), |s| s == 200);
    assert_eq!(end, JobStatus::Aborted);
    assert_eq!(cluster.observed_status[&last], JobStatus::Aborted);
    cluster.check_invariants();
}

/// A damaged record within a chain stops the jobs that depend on it, before and after a failover,
/// and no others.
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
    assert_eq!(cluster.status_code(request), 503, "its state cannot be known");
    assert!(cluster.live_tasks("wk-000002").is_empty());
    cluster.check_invariants();
}

/// A job that a high-priority job depends on is started first, and loses that priority once the
/// dependent is aborted.
#[test]
fn dependency_inherits_the_priority_of_its_dependents() {
    for cancel in [false, true] {
        let mut cluster = activated_cluster(2, 8.0, 140);
        cluster.task_duration_ms.insert("wk-000009".into(), 4_000);
        // The quota is used up; two jobs of the lowest priority wait.
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
        if cancel {
            let request = cluster.abort(0, "wk-000003");
            cluster.run_until(2_000, "the abort is confirmed", |cluster| {
                cluster.status_code(request) == 200
            });
        }
        let first = |cluster: &Cluster| {
            ["wk-000001/0", "wk-000002/0"]
                .map(|t| cluster.task_starts.get(t).map(|starts| starts[0].at_ms))
        };
        cluster.run_until(20_000, "one of the jobs starts", |cluster| {
            first(cluster).iter().any(Option::is_some)
        });
        let [one, two] = first(&cluster);
        assert_eq!(two.is_some_and(|two| one.is_none_or(|one| two < one)), !cancel);
        cluster.check_invariants();
    }
}

/// Both jobs were accepted by a follower, and the leader never received the handoff entry of the
/// first: it reads the record of the unknown dependency, and both run.
#[test]
fn unknown_dependency_is_read_when_its_handoff_entry_was_lost() {
    let mut cluster = activated_cluster(4, 0.0, 150);
    let leader = cluster.leader().unwrap();
    let a = (leader + 1) % 3;
    cluster.cut_controllers(leader, a, LinkFault::Drop);
    cluster.run_for_ms(3_000);
    cluster.state.handoff_watch_silent = true;
    let one = cluster.submit(a, &job("wk-000001", JobKind::Array, 1));
    cluster.run_until(2_000, "accepted by a follower", |cluster| cluster.status_code(one) == 201);
    cluster.run_for_ms(4_000);
    cluster.state.handoff_watch_silent = false;
    assert!(cluster.task_starts.is_empty(), "the leader does not know the job");
    let two =
        cluster.submit(a, &with_dependencies(job("wk-000002", JobKind::Array, 1), &["wk-000001"]));
    cluster.run_until(2_000, "accepted by a follower", |cluster| cluster.status_code(two) == 201);
    cluster.run_until(20_000, "both jobs run", |cluster| {
        cluster.task_starts.contains_key("wk-000002/0")
    });
    cluster.run_until_done("wk-000002", 20_000);
    cluster.check_invariants();
}

/// Upgrades all controllers from the first version, with a large job, under announced limits.
fn upgrade_controllers(cluster: &mut Cluster, rng: &mut SmallRng) {
    cluster.announced_limits =
        Some(serde_json::json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 20.0}));
    cluster.legacy_controllers = (0..3).collect();
    cluster.crash_all_for_ms(10);
    cluster.run_for_ms(3_000);
    cluster.submit_until_accepted(&job("wk-000090", JobKind::Array, 130));
    for n in 0..3 {
        cluster.legacy_controllers.remove(&n);
        cluster.crash_for_ms(n, 500);
        cluster.run_for_ms(rng.random_range(600..4_000));
    }
}

/// Injects a random fault of controllers, links or the state service, or ends them; returns the
/// controller that it concerns.
fn inject_random_control_plane_fault(cluster: &mut Cluster, rng: &mut SmallRng) -> usize {
    let node = rng.random_range(0..3);
    let how = if rng.random_bool(0.5) { LinkFault::Hold } else { LinkFault::Drop };
    match rng.random_range(0..9) {
        0 => cluster.crash_for_ms(node, 3_000),
        1 => cluster.crash_all_for_ms(2_000),
        2 => cluster.cut_from_state_service(node, how),
        3 => {
            cluster.state.refused_nodes.insert(node);
        }
        4 => cluster.cut_controllers(node, (node + 1) % 3, how),
        5 => cluster.stall(node, rng.random_range(1_000..12_000)),
        6 => cluster.state.unanswered_writes = 2,
        _ => {
            cluster.heal_links();
            cluster.state.refused_nodes.clear();
        }
    }
    node
}

/// Runs, with a query each half second, until a user is told that the job is done or aborted.
fn run_until_done_or_aborted(cluster: &mut Cluster, id: &str) {
    let has_ended = |cluster: &Cluster| {
        matches!(cluster.observed_status.get(id), Some(JobStatus::Done | JobStatus::Aborted))
    };
    let end = cluster.now + 300_000;
    while !has_ended(cluster) {
        let (seed, violations) = (cluster.seed, &cluster.violations);
        assert!(cluster.now < end, "seed {seed}: {id} never ends; {violations:?}");
        cluster.query(0, id);
        cluster.run_for_ms(500);
    }
}

/// Random crashes, partitions, outages and aborts with dependency chains; in half of the runs with
/// a rolling upgrade and lower limits as well.
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
            let shape = if n % 5 == 3 { JobKind::Gang } else { JobKind::Array };
            let spec = with_dependencies(job(&id, shape, rng.random_range(1..5)), &accepted);
            cluster.submit(rng.random_range(0..3), &spec);
            ids.push(id);
            let node = inject_random_control_plane_fault(&mut cluster, &mut rng);
            if rng.random_bool(0.15) {
                let at = rng.random_range(0..ids.len());
                let id = ids[at].clone();
                cluster.abort(node, &id);
            }
            for _ in 0..3 {
                let at = rng.random_range(0..ids.len());
                let id = ids[at].clone();
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
