//! Bursts of queries and submissions beyond the capacity of the state service.

use crate::cluster::{job, Cluster, LinkFault, StateLimits};
use quartzgate_wire::msg::{JobKind, JobStatus};

/// During a burst of status queries, the queries share fresh reads, each one is answered, and a
/// terminal state that another controller has recorded is not missed.
#[test]
fn status_queries_share_reads_under_a_query_burst() {
    let mut cluster = Cluster::new(3, 4, 0.0, 1650);
    cluster.run_for_ms(500);
    let ids: Vec<String> = (1..6).map(|n| format!("wk-00000{n}")).collect();
    for id in &ids {
        cluster.task_duration_ms.insert(id.clone(), 600_000);
        cluster.submit_until_accepted(&job(id, JobKind::Array, 1));
    }
    let leader = cluster.leader().unwrap();
    let (reads, mut requests) = (cluster.state.requests, Vec::new());
    for _ in 0..200 {
        requests.extend(ids.iter().map(|id| cluster.query(leader, id)));
        cluster.run_for_ms(10);
    }
    cluster.run_for_ms(1_000);
    assert!(requests.iter().all(|request| cluster.status_code(*request) == 200));
    assert!(cluster.state.requests - reads < 300, "{} reads", cluster.state.requests - reads);
    // The very next query finds an abort that the leader has not learned of.
    cluster.cut_controllers(leader, (leader + 1) % 3, LinkFault::Drop);
    cluster.cut_controllers(leader, (leader + 2) % 3, LinkFault::Drop);
    cluster.state.handoff_watch_silent = true;
    cluster.run_for_ms(3_000);
    let abort = cluster.abort((leader + 1) % 3, &ids[0]);
    cluster.run_until(3_000, "aborted by a follower", |cluster| cluster.status_code(abort) == 200);
    let request = cluster.query(leader, &ids[0]);
    cluster.run_for_ms(200);
    assert_eq!(cluster.status_code(request), 200);
    assert_eq!(cluster.observed_status.get(&ids[0]), Some(&JobStatus::Aborted));
    cluster.assert_no_violations();
}

/// Submits `per_round` small jobs to one controller every 100 ms, in `rounds` rounds; returns the
/// requests with the names of their jobs.
fn submit_flood(
    cluster: &mut Cluster,
    node: usize,
    first_number: u32,
    rounds: u32,
    per_round: u32,
) -> Vec<(usize, String)> {
    let mut requests = Vec::new();
    for n in 0..rounds * per_round {
        let id = format!("wk-{:06}", first_number + n);
        cluster.task_duration_ms.insert(id.clone(), 300);
        requests.push((cluster.submit(node, &job(&id, JobKind::Array, 1)), id));
        if n % per_round == per_round - 1 {
            cluster.run_for_ms(100);
        }
    }
    cluster.run_for_ms(500);
    requests
}

/// More jobs arrive than can be recorded: accepted jobs are still started and completed, urgent
/// jobs are accepted at once, refused submissions receive a retry time at once, and after the flood
/// the controllers return to normal.
#[test]
fn accepted_jobs_complete_under_a_submission_flood() {
    let mut cluster = Cluster::new(3, 12, 0.0, 41);
    cluster.disable_job_batches();
    cluster.state.limits =
        Some(StateLimits { max_value_bytes: usize::MAX, max_changes: 12, changes_per_s: 40.0 });
    cluster.run_for_ms(2_500);
    let leader = cluster.leader().unwrap();
    // Submits three times as many jobs as the state service accepts writes.
    let first_requests = submit_flood(&mut cluster, leader, 1, 40, 12);
    let service = cluster.submit(leader, &job("wk-900000", JobKind::Service, 2));
    let later_requests = submit_flood(&mut cluster, leader, 1_000, 20, 12);
    assert_eq!(cluster.metrics_of(leader)["writes_short"], 1.0);
    assert_eq!(cluster.status_code(service), 201, "urgent work is accepted at once");
    let requests: Vec<_> = first_requests.into_iter().chain(later_requests).collect();
    let count_with_status = |cluster: &Cluster, status| {
        requests.iter().filter(|(request, _)| cluster.status_code(*request) == status).count()
    };
    let (accepted, refused) = (count_with_status(&cluster, 201), count_with_status(&cluster, 429));
    assert_eq!(accepted + refused, requests.len(), "every request is answered at once");
    let retry_after_s = |request: usize| {
        cluster.user_requests[request].answer.as_ref().and_then(|r| r.retry_after_s)
    };
    let retry_times_s: Vec<u32> =
        requests.iter().filter_map(|(request, _)| retry_after_s(*request)).collect();
    assert_eq!(retry_times_s.len(), refused);
    assert!(
        retry_times_s.iter().max() >= Some(&4) && retry_times_s.iter().min() == Some(&1),
        "the retry times are not spread"
    );
    let completed = cluster.completed_tasks.values().filter(|d| !d.is_empty()).count();
    assert!(completed * 3 > accepted, "{completed} of {accepted} accepted jobs have completed");
    cluster.run_for_ms(6_000);
    assert_eq!(cluster.metrics_of(leader)["writes_short"], 0.0, "writes are sufficient again");
    for (_, id) in
        requests.iter().filter(|(request, _)| cluster.status_code(*request) == 201).take(20)
    {
        assert!(
            cluster.completed_tasks.get(id).is_some_and(|d| d.len() == 1),
            "{id} has not completed"
        );
    }
    cluster.assert_no_violations();
}

/// A submission that the leader refuses for lack of write capacity must not be recorded by a
/// follower instead, which would cost three times as many writes.
#[test]
fn follower_respects_leader_refusals_under_a_submission_flood() {
    let mut cluster = Cluster::new(3, 12, 0.0, 42);
    cluster.disable_job_batches();
    cluster.state.limits =
        Some(StateLimits { max_value_bytes: usize::MAX, max_changes: 12, changes_per_s: 40.0 });
    cluster.run_for_ms(2_500);
    let follower = (cluster.leader().unwrap() + 1) % 3;
    let requests = submit_flood(&mut cluster, follower, 1, 50, 12);
    let refused =
        requests.iter().filter(|(request, _)| cluster.status_code(*request) == 429).count();
    assert!(refused > 100, "{refused} submissions were refused");
    let entries = cluster.state.write_log.iter();
    let handoff_entries = entries.filter(|written| written.key.starts_with("inbox/")).count();
    assert_eq!(
        handoff_entries, 0,
        "a follower recorded jobs although the leader had no writes left"
    );
    cluster.assert_no_violations();
}
