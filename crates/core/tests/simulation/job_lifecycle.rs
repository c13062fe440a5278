//! Jobs without faults in the control plane: submission, completion, repeated requests, gangs.

use crate::cluster::{job, Cluster};
use quartzgate_wire::msg::{JobKind, TaskStatus};

/// The ordinary path: a job is accepted, started and reported done; a service keeps its replicas
/// until it is aborted; an unknown job is 404.
#[test]
fn jobs_complete_without_faults() {
    let mut cluster = Cluster::new(3, 4, 0.0, 1);
    cluster.run_for_ms(500);
    cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 6));
    cluster.submit_until_accepted(&job("wk-000002", JobKind::Service, 2));
    cluster.run_until_done("wk-000001", 20_000);
    assert_eq!(cluster.live_tasks("wk-000002").len(), 2);
    cluster.abort_until_confirmed("wk-000002");
    cluster.run_until(3_000, "replicas are gone", |cluster| {
        cluster.live_tasks("wk-000002").is_empty()
    });
    let (poll, abort) = (cluster.query(1, "wk-000009"), cluster.abort(2, "wk-000009"));
    cluster.run_for_ms(1_000);
    assert_eq!((cluster.status_code(poll), cluster.status_code(abort)), (404, 404));
    cluster.check_invariants();
}

/// The same job is submitted several times at once: one job results, and no answer says that the
/// job is unknown.
#[test]
fn concurrent_submissions_create_one_job() {
    let mut cluster = Cluster::new(3, 2, 0.0, 3);
    cluster.run_for_ms(1_500);
    let leader = cluster.leader().unwrap();
    let spec = job("wk-000001", JobKind::Array, 1);
    let requests: Vec<usize> = (0..4).map(|_| cluster.submit(leader, &spec)).collect();
    cluster.run_for_ms(500);
    assert!(requests.iter().all(|a| [200, 201, 503].contains(&cluster.status_code(*a))));
    cluster.run_until_done("wk-000001", 20_000);
    cluster.check_invariants();
}

/// Idempotent submission: a known job, finished or not, is answered 200 with its present state by
/// every controller, even if the repeated request could not run.
#[test]
fn repeated_submission_returns_the_present_state() {
    let mut cluster = Cluster::new(3, 2, 0.0, 2);
    cluster.run_for_ms(500);
    let spec = job("wk-000001", JobKind::Array, 1);
    cluster.submit_until_accepted(&spec);
    cluster.run_until_done("wk-000001", 20_000);
    let mut misfit = spec.clone();
    misfit.cpus = 500.0;
    for n in 0..3 {
        let (same, other) = (cluster.submit(n, &spec), cluster.submit(n, &misfit));
        cluster.run_for_ms(500);
        assert_eq!((cluster.status_code(same), cluster.status_code(other)), (200, 200));
    }
    cluster.check_invariants();
}

/// Gang scheduling: all tasks run in one attempt or none does, and the loss of one member restarts
/// the whole gang.
#[test]
fn whole_gang_restarts_when_a_member_machine_dies() {
    let mut cluster = Cluster::new(3, 4, 0.0, 1200);
    cluster.run_for_ms(500);
    cluster.task_duration_ms.insert("wk-000001".into(), 8_000);
    let mut spec = job("wk-000001", JobKind::Gang, 4);
    spec.together = true;
    cluster.submit_until_accepted(&spec);
    cluster.run_until(5_000, "the job runs", |cluster| running(cluster, "wk-000001") == 4);
    let lost = cluster.live_tasks("wk-000001")[0].machine.clone();
    cluster.kill_machine(&lost);
    cluster.add_worker();
    cluster.add_worker();
    cluster.run_until_done("wk-000001", 60_000);
    let started_at: std::collections::BTreeSet<u64> =
        cluster.task_starts["wk-000001/0"].iter().map(|start| start.at_ms).collect();
    assert!(started_at.len() >= 2);
    cluster.check_invariants();
}

/// Number of a job's running tasks.
fn running(cluster: &Cluster, id: &str) -> usize {
    let prefix = format!("{id}/");
    cluster
        .workers
        .values()
        .filter(|worker| !worker.dead)
        .flat_map(|worker| &worker.tasks)
        .filter(|(t, h)| t.starts_with(&prefix) && h.status == TaskStatus::Running)
        .count()
}
