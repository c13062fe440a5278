//! The life cycle of jobs without control plane faults: submission, completion, repeated
//! submissions and gang restarts.

use crate::cluster::{job, Cluster};
use quartzgate_wire::msg::{JobKind, TaskStatus};

/// An array job is accepted, started and reported done. A service keeps its replicas until it is
/// aborted. Queries and aborts of an unknown job get 404.
#[test]
fn jobs_complete_without_faults() {
    let mut cluster = Cluster::new(3, 4, 0.0, 1);
    cluster.run_for_ms(500);
    cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 6));
    cluster.submit_until_accepted(&job("wk-000002", JobKind::Service, 2));
    cluster.run_until_done("wk-000001", 20_000);
    assert_eq!(cluster.live_tasks("wk-000002").len(), 2);
    cluster.abort_until_confirmed("wk-000002");
    cluster.run_until(3_000, "the replicas of the service are stopped", |cluster| {
        cluster.live_tasks("wk-000002").is_empty()
    });
    let (query, abort) = (cluster.query(1, "wk-000009"), cluster.abort(2, "wk-000009"));
    cluster.run_for_ms(1_000);
    assert_eq!((cluster.status_code(query), cluster.status_code(abort)), (404, 404));
    cluster.assert_no_violations();
}

/// Guards against wrong answers to concurrent submissions of the same job: each gets 200, 201 or
/// 503, none is told that the job is unknown, and one job results.
#[test]
fn concurrent_submissions_create_one_job() {
    let mut cluster = Cluster::new(3, 2, 0.0, 3);
    cluster.run_for_ms(1_500);
    let leader = cluster.leader().unwrap();
    let spec = job("wk-000001", JobKind::Array, 1);
    let requests: Vec<usize> = (0..4).map(|_| cluster.submit(leader, &spec)).collect();
    cluster.run_for_ms(500);
    assert!(requests
        .iter()
        .all(|request| [200, 201, 503].contains(&cluster.status_code(*request))));
    cluster.run_until_done("wk-000001", 20_000);
    cluster.assert_no_violations();
}

/// Submission is idempotent: every controller answers a repeated submission of a known job,
/// finished or not, with 200 and the job's current state, even if the repeated specification could
/// not run.
#[test]
fn repeated_submission_returns_the_present_state() {
    let mut cluster = Cluster::new(3, 2, 0.0, 2);
    cluster.run_for_ms(500);
    let spec = job("wk-000001", JobKind::Array, 1);
    cluster.submit_until_accepted(&spec);
    cluster.run_until_done("wk-000001", 20_000);
    let mut oversized = spec.clone();
    oversized.cpus = 500.0;
    for n in 0..3 {
        let (identical, changed) = (cluster.submit(n, &spec), cluster.submit(n, &oversized));
        cluster.run_for_ms(500);
        assert_eq!((cluster.status_code(identical), cluster.status_code(changed)), (200, 200));
    }
    cluster.assert_no_violations();
}

/// Gang scheduling: either all tasks of a gang run in the same attempt or none, so that the loss of
/// one member's machine restarts the whole gang.
#[test]
fn whole_gang_restarts_when_a_member_machine_dies() {
    let mut cluster = Cluster::new(3, 4, 0.0, 1200);
    cluster.run_for_ms(500);
    cluster.task_duration_ms.insert("wk-000001".into(), 8_000);
    let mut spec = job("wk-000001", JobKind::Gang, 4);
    spec.together = true;
    cluster.submit_until_accepted(&spec);
    cluster
        .run_until(5_000, "the job runs", |cluster| running_task_count(cluster, "wk-000001") == 4);
    let lost_machine = cluster.live_tasks("wk-000001")[0].machine.clone();
    cluster.kill_machine(&lost_machine);
    cluster.add_worker();
    cluster.add_worker();
    cluster.run_until_done("wk-000001", 60_000);
    let started_at: std::collections::BTreeSet<u64> =
        cluster.task_starts["wk-000001/0"].iter().map(|start| start.at_ms).collect();
    assert!(started_at.len() >= 2);
    cluster.assert_no_violations();
}

/// Returns the number of a job's tasks that run on live machines.
fn running_task_count(cluster: &Cluster, id: &str) -> usize {
    let prefix = format!("{id}/");
    cluster
        .workers
        .values()
        .filter(|worker| !worker.dead)
        .flat_map(|worker| &worker.tasks)
        .filter(|(task, held)| task.starts_with(&prefix) && held.status == TaskStatus::Running)
        .count()
}
