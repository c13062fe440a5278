//! Answers to users: every path, status and body.

use serde_json::json;

use crate::cbor::{encode, raw, Value};
use crate::cluster::Cluster;
use crate::jobs::{job, needing, with};
use crate::journal::Channel;
use crate::worker::Run;

const LONG: Run = Run { run_ms: 60_000, cause: "done" };

fn one(workers: u32, operator: serde_json::Value) -> Cluster {
    let mut c = Cluster::new(1, workers, operator);
    c.start_all();
    c.run(6_000);
    c
}

#[test]
fn before_anything_is_known() {
    let mut c = Cluster::new(1, 0, json!({}));
    c.start_all();
    c.run(1);
    c.store.refuses.insert(0);
    assert_eq!(c.ask_user(0, "GET", "/ready", &[]).status, 503);
    assert_eq!(c.submit(0, &job("wk-000001", "array", 1)), 503);
    assert_eq!(c.poll(0, "wk-000001"), "503");
    assert_eq!(c.abort(0, "wk-000001"), 503);
    c.store.refuses.clear();
    c.run(6_000);
    assert_eq!(c.ask_user(0, "GET", "/ready", &[]).status, 200);
    c.journal.assert_golden("users-before-anything-is-known", &[Channel::AnswersToUsers]);
}

/// A job's life as its user sees it.
#[test]
fn answers_about_jobs() {
    let mut c = one(4, json!({}));
    c.runs.insert("wk-000002".into(), LONG);
    assert_eq!(c.submit(0, &job("wk-000001", "array", 2)), 201);
    assert_eq!(c.submit(0, &job("wk-000001", "array", 2)), 200);
    assert_eq!(c.submit(0, &job("wk-000002", "service", 2)), 201);
    assert_eq!(c.submit(0, &needing(job("wk-000003", "array", 1), &["wk-000002"])), 422);
    assert_eq!(c.submit(0, &needing(job("wk-000003", "array", 1), &["wk-000777"])), 422);
    assert_eq!(c.submit(0, &needing(job("wk-000003", "array", 1), &["wk-000003"])), 422);
    assert_eq!(c.submit(0, &needing(job("wk-000004", "array", 1), &["wk-000001"])), 201);
    assert_eq!(c.poll(0, "wk-000004"), "pending");
    c.run_until(20_000, "it runs", |c| c.running("wk-000002") == 2);
    assert_eq!(c.poll(0, "wk-000002"), "running");
    assert_eq!(c.abort(0, "wk-000002"), 200);
    assert_eq!(c.abort(0, "wk-000002"), 200);
    assert_eq!(c.poll(0, "wk-000002"), "aborted");
    assert_eq!(c.submit(0, &job("wk-000002", "service", 2)), 200);
    c.until_status(0, "wk-000001", "done", 20_000);
    assert_eq!(c.abort(0, "wk-000001"), 200);
    assert_eq!(c.submit(0, &job("wk-000001", "array", 2)), 200);
    assert_eq!(c.abort(0, "wk-000999"), 404);
    assert_eq!(c.poll(0, "wk-000999"), "404");
    c.journal.assert_golden("users-answers-about-jobs", &[Channel::AnswersToUsers]);
}

#[test]
fn requests_that_are_refused() {
    let mut c = one(2, json!({}));
    let good = || job("wk-000005", "array", 1);
    let many = |n: usize| Value::Array((0..n).map(|n| format!("t{n}").into()).collect());
    let long = || Value::from("x".repeat(200));
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
        (400, "owner", long()),
        (400, "bundle", long()),
        (400, "hall", long()),
        (400, "host_types", many(65)),
        (400, "together", 1.into()),
        (400, "prereqs", Value::Array(vec!["nonsense".into()])),
        (422, "owner", "nobody".into()),
        (422, "vcpus", 100.0.into()),
        (422, "gpus", 9.0.into()),
        (422, "ram_gb", 1_000.0.into()),
        (422, "hall", "z".into()),
        (422, "host_types", many(1)),
    ] {
        let refused = with(good(), &[(name, value)]);
        assert_eq!(c.submit(0, &refused), wanted, "{name}");
    }
    let gang = job("wk-000006", "gang", 300);
    assert_eq!(c.submit(0, &gang), 422);
    let parted = [("spread", true.into()), ("together", true.into())];
    assert_eq!(c.submit(0, &with(job("wk-000007", "gang", 2), &parted)), 422);
    for missing in ["ref", "job_class", "owner", "shape", "rank", "pieces", "vcpus", "gpus"]
        .into_iter()
        .chain(["ram_gb", "bundle", "image_gb", "together", "spread", "loaners", "expected_s"])
        .chain(["snapshot_every_s", "snapshot_cost_s"])
    {
        let mut fields = good().into_map().expect("a map");
        fields.retain(|(k, _)| k.as_text() != Some(missing));
        assert_eq!(c.submit(0, &Value::Map(fields)), 400, "{missing}");
    }
    assert_eq!(c.submit(0, &raw!([])), 400);
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
        assert_eq!(c.ask_user(0, method, target, body).status, wanted, "{method} {target}");
    }
    // Fields that may be left out, are null, or are unknown; whole numbers for amounts.
    let odd = [
        ("host_types", Value::Null),
        ("hall", Value::Null),
        ("due_s", Value::Null),
        ("prereqs", Value::Null),
        ("vcpus", 1.into()),
        ("unheard_of", "ignored".into()),
    ];
    assert_eq!(c.submit(0, &with(good(), &odd)), 201);
    c.journal.assert_golden("users-refused", &[Channel::AnswersToUsers]);
}

/// More submissions than the store takes changes: some are told when to come back.
#[test]
fn submissions_beyond_the_rate() {
    let mut c = one(2, json!({"share_pages_below": 0.0}));
    let asked: Vec<usize> = (0..60)
        .map(|n| {
            let body = encode(&job(&format!("wk-{n:06}"), "array", 1));
            c.user(0, "POST", "/api/jobs", body)
        })
        .collect();
    let told: Vec<u16> = asked.into_iter().map(|number| c.wait_for(number).status).collect();
    assert!(told.contains(&201) && told.contains(&429), "{told:?}");
    // The store says itself that it is too much, or that it can't.
    c.run(10_000);
    c.store.refuse_next = Some(("jobs/", 429, 1));
    assert_eq!(c.submit(0, &job("wk-000100", "array", 1)), 503);
    c.run(3_000);
    c.store.refuse_next = Some(("jobs/", 503, 1));
    assert_eq!(c.submit(0, &job("wk-000101", "array", 1)), 503);
    c.run(3_000);
    c.store.refuse_next = Some(("jobs/", 400, 1));
    assert_eq!(c.submit(0, &job("wk-000102", "array", 1)), 503);
    c.journal.assert_golden("users-beyond-the-rate", &[Channel::AnswersToUsers]);
}
