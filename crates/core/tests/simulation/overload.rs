//! Bursts of queries and submissions beyond what the state service can take.

use crate::cluster::{job, Cluster, LinkFault, StateLimits};
use quartzgate_wire::msg::{JobKind, JobStatus};

/// Under a burst of status queries the queries share fresh reads, every one is answered, and a
/// terminal state that was decided elsewhere is not missed.
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
    // An abort that the leader has not learned of is found by the very next query.
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
    cluster.check_invariants();
}

/// Submits small jobs to one controller, so many each tenth of a second.
fn submit_flood(
    cluster: &mut Cluster,
    node: usize,
    first: u32,
    tenths: u32,
    each: u32,
) -> Vec<(usize, String)> {
    let mut requests = Vec::new();
    for n in 0..tenths * each {
        let id = format!("wk-{:06}", first + n);
        cluster.task_duration_ms.insert(id.clone(), 300);
        requests.push((cluster.submit(node, &job(&id, JobKind::Array, 1)), id));
        if n % each == each - 1 {
            cluster.run_for_ms(100);
        }
    }
    cluster.run_for_ms(500);
    requests
}

/// More jobs arrive than can be recorded: accepted jobs are still started and completed, urgent
/// work is accepted at once, refused submissions are told at once when to retry, and everything
/// returns to normal after the flood.
#[test]
fn accepted_jobs_complete_under_a_submission_flood() {
    let mut cluster = Cluster::new(3, 12, 0.0, 41);
    cluster.disable_job_batches();
    cluster.state.limits =
        Some(StateLimits { max_value_bytes: usize::MAX, max_changes: 12, changes_per_s: 40.0 });
    cluster.run_for_ms(2_500);
    let leader = cluster.leader().unwrap();
    // Three times as many jobs as the state service accepts writes.
    let first = submit_flood(&mut cluster, leader, 1, 40, 12);
    let service = cluster.submit(leader, &job("wk-900000", JobKind::Service, 2));
    let more = submit_flood(&mut cluster, leader, 1_000, 20, 12);
    assert_eq!(cluster.metrics_of(leader)["writes_short"], 1.0);
    assert_eq!(cluster.status_code(service), 201, "urgent work is accepted at once");
    let requests: Vec<_> = first.into_iter().chain(more).collect();
    let of = |cluster: &Cluster, status| {
        requests.iter().filter(|(request, _)| cluster.status_code(*request) == status).count()
    };
    let (accepted, away) = (of(&cluster, 201), of(&cluster, 429));
    assert_eq!(accepted + away, requests.len(), "every request is answered at once");
    let later = |a: usize| cluster.user_requests[a].answer.as_ref().and_then(|r| r.retry_after_s);
    let told: Vec<u32> = requests.iter().filter_map(|(a, _)| later(*a)).collect();
    assert_eq!(told.len(), away);
    assert!(
        told.iter().max() >= Some(&4) && told.iter().min() == Some(&1),
        "the retry times are not spread"
    );
    let done = cluster.completed_tasks.values().filter(|d| !d.is_empty()).count();
    assert!(done * 3 > accepted, "{done} of {accepted} accepted jobs are done");
    cluster.run_for_ms(6_000);
    assert_eq!(cluster.metrics_of(leader)["writes_short"], 0.0, "writes are sufficient again");
    for (_, id) in
        requests.iter().filter(|(request, _)| cluster.status_code(*request) == 201).take(20)
    {
        assert!(
            cluster.completed_tasks.get(id).is_some_and(|d| d.len() == 1),
            "{id} was left behind"
        );
    }
    cluster.check_invariants();
}

/// What the leader refuses for lack of write capacity is not recorded by a follower instead, which
/// would cost three times as many writes.
#[test]
fn follower_respects_the_leaders_refusals_under_a_submission_flood() {
    let mut cluster = Cluster::new(3, 12, 0.0, 42);
    cluster.disable_job_batches();
    cluster.state.limits =
        Some(StateLimits { max_value_bytes: usize::MAX, max_changes: 12, changes_per_s: 40.0 });
    cluster.run_for_ms(2_500);
    let follower = (cluster.leader().unwrap() + 1) % 3;
    let requests = submit_flood(&mut cluster, follower, 1, 50, 12);
    let away = requests.iter().filter(|(request, _)| cluster.status_code(*request) == 429).count();
    assert!(away > 100, "{away} were refused");
    let entries = cluster.state.write_log.iter();
    let past = entries.filter(|written| written.key.starts_with("inbox/")).count();
    assert_eq!(past, 0, "recorded although the leader had no writes left");
    cluster.check_invariants();
}
