//! Faults of the state service: lost answers, outages, unreadable records.

use crate::cluster::{job, Cluster, ABORT_DEADLINE_MS};
use quartzgate_wire::msg::JobKind;

/// Writes that are applied without an answer are detected by reading: no job or task is lost,
/// repeated or reported wrongly.
#[test]
fn unanswered_writes_lose_and_duplicate_nothing() {
    for unanswered in 1..8 {
        let mut cluster = Cluster::new(3, 4, 0.0, 700 + u64::from(unanswered));
        cluster.run_for_ms(1_000);
        cluster.state.unanswered_writes = unanswered;
        cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 6));
        cluster.state.unanswered_writes = unanswered;
        cluster.run_until_done("wk-000001", 60_000);
        cluster.submit_until_accepted(&job("wk-000002", JobKind::Service, 2));
        cluster.state.unanswered_writes = 2;
        cluster.abort_until_confirmed("wk-000002");
        cluster.run_for_ms(ABORT_DEADLINE_MS);
        assert!(cluster.live_tasks("wk-000002").is_empty());
        cluster.assert_no_violations();
    }
}

/// During an outage of the state service, requests are answered at once: with 503 and Retry-After
/// where the answer is not known, and with the terminal state of finished jobs. No job is lost
/// afterwards.
#[test]
fn requests_are_answered_at_once_during_an_outage() {
    let mut cluster = Cluster::new(3, 4, 0.0, 1100);
    cluster.run_for_ms(500);
    cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 2));
    cluster.run_until_done("wk-000001", 20_000);
    cluster.submit_until_accepted(&job("wk-000002", JobKind::Service, 2));
    cluster.run_until_running(5_000, "wk-000002", 2);
    cluster.state.down = true;
    cluster.run_for_ms(6_000);
    let leader = cluster.leader().unwrap();
    let (ended_query, live_query) =
        (cluster.query(leader, "wk-000001"), cluster.query(leader, "wk-000002"));
    let submission = cluster.submit(leader, &job("wk-000003", JobKind::Array, 2));
    let ready = cluster.send_request(leader, "GET", "/ready", Vec::new());
    cluster.run_for_ms(100);
    assert_eq!(
        (
            cluster.status_code(ended_query),
            cluster.status_code(live_query),
            cluster.status_code(submission)
        ),
        (200, 503, 503)
    );
    assert_eq!(cluster.status_code(ready), 200);
    cluster.state.down = false;
    cluster.submit_until_accepted(&job("wk-000003", JobKind::Array, 2));
    cluster.run_until_done("wk-000003", 30_000);
    assert_eq!(cluster.live_tasks("wk-000002").len(), 2, "replicas survive the outage");
    cluster.assert_no_violations();
}

/// An unreadable record (invariant 15) stops only its own job and is not overwritten.
#[test]
fn unreadable_record_stops_only_its_job() {
    let mut cluster = Cluster::new(3, 2, 0.0, 1780);
    cluster.run_for_ms(500);
    cluster.task_duration_ms.insert("wk-000001".into(), 600_000);
    cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 1));
    cluster.run_until_running(5_000, "wk-000001", 1);
    let garbage = ciborium::value::Value::Text("?".into());
    cluster.replace_value_keeping_revision("shares/wk-000001/0/0", garbage.clone());
    cluster.crash_all_for_ms(500);
    cluster.run_for_ms(2_000);
    cluster.submit_until_accepted(&job("wk-000002", JobKind::Array, 2));
    cluster.run_until_done("wk-000002", 20_000);
    cluster.run_for_ms(20_000);
    assert_eq!(cluster.state.keys["shares/wk-000001/0/0"].value, garbage);
    let request = cluster.query(0, "wk-000001");
    cluster.run_for_ms(500);
    assert!([200, 503].contains(&cluster.status_code(request)));
    cluster.assert_no_violations();
}
