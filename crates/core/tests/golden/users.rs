//! Answers to users: all paths, status codes and bodies.

use serde_json::json;

use crate::cbor::{encode, raw, Value};
use crate::cluster::Cluster;
use crate::jobs::{depending_on, job, with_fields};
use crate::journal::Channel;
use crate::worker::TaskRun;

const LONG_RUN: TaskRun = TaskRun { run_ms: 60_000, cause: "done" };

fn single_controller(workers: u32, operator: serde_json::Value) -> Cluster {
    let mut cluster = Cluster::new(1, workers, operator);
    cluster.start_all();
    cluster.run(6_000);
    cluster
}

#[test]
fn before_anything_is_known() {
    let mut cluster = Cluster::new(1, 0, json!({}));
    cluster.start_all();
    cluster.run(1);
    cluster.store.refused_nodes.insert(0);
    assert_eq!(cluster.user_request(0, "GET", "/ready", &[]).status, 503);
    assert_eq!(cluster.submit(0, &job("wk-000001", "array", 1)), 503);
    assert_eq!(cluster.poll(0, "wk-000001"), "503");
    assert_eq!(cluster.abort(0, "wk-000001"), 503);
    cluster.store.refused_nodes.clear();
    cluster.run(6_000);
    assert_eq!(cluster.user_request(0, "GET", "/ready", &[]).status, 200);
    cluster.journal.assert_golden("users-before-anything-is-known", &[Channel::AnswersToUsers]);
}

/// Answers about jobs from submission to a terminal state.
#[test]
fn answers_about_jobs() {
    let mut cluster = single_controller(4, json!({}));
    cluster.task_runs.insert("wk-000002".into(), LONG_RUN);
    assert_eq!(cluster.submit(0, &job("wk-000001", "array", 2)), 201);
    assert_eq!(cluster.submit(0, &job("wk-000001", "array", 2)), 200);
    assert_eq!(cluster.submit(0, &job("wk-000002", "service", 2)), 201);
    assert_eq!(cluster.submit(0, &depending_on(job("wk-000003", "array", 1), &["wk-000002"])), 422);
    assert_eq!(cluster.submit(0, &depending_on(job("wk-000003", "array", 1), &["wk-000777"])), 422);
    assert_eq!(cluster.submit(0, &depending_on(job("wk-000003", "array", 1), &["wk-000003"])), 422);
    assert_eq!(cluster.submit(0, &depending_on(job("wk-000004", "array", 1), &["wk-000001"])), 201);
    assert_eq!(cluster.poll(0, "wk-000004"), "pending");
    cluster.run_until(20_000, "the job runs", |cluster| cluster.running("wk-000002") == 2);
    assert_eq!(cluster.poll(0, "wk-000002"), "running");
    assert_eq!(cluster.abort(0, "wk-000002"), 200);
    assert_eq!(cluster.abort(0, "wk-000002"), 200);
    assert_eq!(cluster.poll(0, "wk-000002"), "aborted");
    assert_eq!(cluster.submit(0, &job("wk-000002", "service", 2)), 200);
    cluster.run_until_status(0, "wk-000001", "done", 20_000);
    assert_eq!(cluster.abort(0, "wk-000001"), 200);
    assert_eq!(cluster.submit(0, &job("wk-000001", "array", 2)), 200);
    assert_eq!(cluster.abort(0, "wk-000999"), 404);
    assert_eq!(cluster.poll(0, "wk-000999"), "404");
    cluster.journal.assert_golden("users-answers-about-jobs", &[Channel::AnswersToUsers]);
}

#[test]
fn requests_that_are_refused() {
    let mut cluster = single_controller(2, json!({}));
    let valid_job = || job("wk-000005", "array", 1);
    let many_types = |n: usize| Value::Array((0..n).map(|n| format!("t{n}").into()).collect());
    let long_name = || Value::from("x".repeat(200));
    for (wanted, name, value) in [
        (400, "ref", Value::from("nonsense")),
        (400, "shape", "circle".into()),
        (400, "rank", "highest".into()),
        (400, "pieces", 0.into()),
        (400, "pieces", 100_001.into()),
        (400, "pieces", 1.5.into()),
        (400, "vcpus", (-1.0).into()),
        (400, "gpus", (-1.0).into()),
        (400, "ram_gb", 1e10.into()),
        (400, "image_gb", f64::NAN.into()),
        (400, "expected_s", (-1.0).into()),
        (400, "snapshot_every_s", (-1.0).into()),
        (400, "snapshot_cost_s", (-1.0).into()),
        (400, "due_s", (-1.0).into()),
        (400, "job_class", "".into()),
        (400, "owner", long_name()),
        (400, "bundle", long_name()),
        (400, "hall", long_name()),
        (400, "host_types", many_types(65)),
        (400, "together", 1.into()),
        (400, "prereqs", Value::Array(vec!["nonsense".into()])),
        (422, "owner", "nobody".into()),
        (422, "vcpus", 100.0.into()),
        (422, "gpus", 9.0.into()),
        (422, "ram_gb", 1_000.0.into()),
        (422, "hall", "z".into()),
        (422, "host_types", many_types(1)),
    ] {
        let refused = with_fields(valid_job(), &[(name, value)]);
        assert_eq!(cluster.submit(0, &refused), wanted, "{name}");
    }
    let gang = job("wk-000006", "gang", 300);
    assert_eq!(cluster.submit(0, &gang), 422);
    let contradictory = [("spread", true.into()), ("together", true.into())];
    assert_eq!(cluster.submit(0, &with_fields(job("wk-000007", "gang", 2), &contradictory)), 422);
    for missing in ["ref", "job_class", "owner", "shape", "rank", "pieces", "vcpus", "gpus"]
        .into_iter()
        .chain(["ram_gb", "bundle", "image_gb", "together", "spread", "loaners", "expected_s"])
        .chain(["snapshot_every_s", "snapshot_cost_s"])
    {
        let mut fields = valid_job().into_map().expect("a map");
        fields.retain(|(k, _)| k.as_text() != Some(missing));
        assert_eq!(cluster.submit(0, &Value::Map(fields)), 400, "{missing}");
    }
    assert_eq!(cluster.submit(0, &raw!([])), 400);
    for (wanted, method, target, body) in [
        (400, "POST", "/api/jobs", &b""[..]),
        (400, "POST", "/api/jobs", b"\xa1"),
        (405, "GET", "/api/jobs", b""),
        (405, "DELETE", "/api/jobs/wk-000005", b""),
        (405, "GET", "/api/jobs/wk-000005/abort", b""),
        (400, "GET", "/api/jobs/nonsense", b""),
        (400, "POST", "/api/jobs/nonsense/abort", b""),
        (404, "GET", "/api/jobs/wk-000005/more", b""),
        (404, "GET", "/", b""),
        (404, "GET", "/metrics", b""),
        (404, "POST", "/mesh", b""),
        (405, "POST", "/ready", b""),
        (405, "GET", "/checkin", b""),
        (200, "GET", "/ready?now", b""),
    ] {
        assert_eq!(
            cluster.user_request(0, method, target, body).status,
            wanted,
            "{method} {target}"
        );
    }
    // Optional fields that are null, an unknown field, and an integer where amounts are floats.
    let unusual = [
        ("host_types", Value::Null),
        ("hall", Value::Null),
        ("due_s", Value::Null),
        ("prereqs", Value::Null),
        ("vcpus", 1.into()),
        ("unheard_of", "ignored".into()),
    ];
    assert_eq!(cluster.submit(0, &with_fields(valid_job(), &unusual)), 201);
    cluster.journal.assert_golden("users-refused", &[Channel::AnswersToUsers]);
}

/// Submissions arrive faster than the store accepts changes: some get 429 with `Retry-After`.
#[test]
fn submissions_beyond_the_rate() {
    let mut cluster = single_controller(2, json!({"share_pages_below": 0.0}));
    let requests: Vec<usize> = (0..60)
        .map(|n| {
            let body = encode(&job(&format!("wk-{n:06}"), "array", 1));
            cluster.send_user_request(0, "POST", "/api/jobs", body)
        })
        .collect();
    let statuses: Vec<u16> =
        requests.into_iter().map(|request| cluster.wait_for_answer(request).status).collect();
    assert!(statuses.contains(&201) && statuses.contains(&429), "{statuses:?}");
    // The store itself refuses writes: for their rate, as unavailable, or as malformed.
    cluster.run(10_000);
    cluster.store.refuse_next = Some(("jobs/", 429, 1));
    assert_eq!(cluster.submit(0, &job("wk-000100", "array", 1)), 503);
    cluster.run(3_000);
    cluster.store.refuse_next = Some(("jobs/", 503, 1));
    assert_eq!(cluster.submit(0, &job("wk-000101", "array", 1)), 503);
    cluster.run(3_000);
    cluster.store.refuse_next = Some(("jobs/", 400, 1));
    assert_eq!(cluster.submit(0, &job("wk-000102", "array", 1)), 503);
    cluster.journal.assert_golden("users-beyond-the-rate", &[Channel::AnswersToUsers]);
}
