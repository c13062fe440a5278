//! What is written to the key-value store, in every format of the records.

use serde_json::json;

use crate::cbor::{encode, Value};
use crate::cluster::{Cluster, End};
use crate::jobs::{job, needing, with};
use crate::journal::Channel;
use crate::worker::Run;

const LONG: Run = Run { run_ms: 60_000, cause: "done" };

/// One controller and a day of jobs of every kind: accepted, placed, done, aborted, depending on
/// one another, larger than one chunk, bound to zones.
fn day(withheld: &[&str]) -> Cluster {
    let mut c = Cluster::new(1, 8, json!({"withhold": withheld}));
    c.start_all();
    c.run(3_000);
    for id in ["wk-000004", "wk-000006"] {
        c.runs.insert(id.into(), LONG);
    }
    c.runs.insert("wk-000002".into(), Run { run_ms: 300, cause: "done" });
    let full = [
        ("host_types", Value::Array(vec!["k8".into(), "g8".into()])),
        ("hall", "a".into()),
        ("due_s", 900.0.into()),
        ("rank", "urgent".into()),
        ("snapshot_every_s", 30.0.into()),
        ("snapshot_cost_s", 4.0.into()),
    ];
    assert_eq!(c.submit(0, &with(job("wk-000001", "array", 3), &full)), 201);
    assert_eq!(c.submit(0, &with(job("wk-000002", "array", 1_000), &[("vcpus", 0.5.into())])), 201);
    assert_eq!(c.submit(0, &with(job("wk-000003", "gang", 2), &[("together", true.into())])), 201);
    assert_eq!(c.submit(0, &job("wk-000004", "service", 2)), 201);
    assert_eq!(c.submit(0, &with(job("wk-000005", "array", 4), &[("spread", true.into())])), 201);
    assert_eq!(c.submit(0, &with(job("wk-000006", "array", 2), &[("rank", "idle".into())])), 201);
    let chains = !withheld.contains(&"format-2");
    let accepted = if chains { 201 } else { 503 };
    assert_eq!(c.submit(0, &needing(job("wk-000007", "array", 1), &["wk-000001"])), accepted);
    assert_eq!(c.submit(0, &needing(job("wk-000008", "array", 1), &["wk-000006"])), accepted);
    c.run_until(20_000, "long jobs run", |c| {
        c.running("wk-000004") == 2 && c.running("wk-000006") == 2
    });
    c.run(1_000);
    assert_eq!(c.abort(0, "wk-000006"), 200);
    assert_eq!(c.abort(0, "wk-000004"), 200);
    for id in ["wk-000001", "wk-000003", "wk-000005", "wk-000002"] {
        c.until_status(0, id, "done", 120_000);
    }
    if chains {
        c.until_status(0, "wk-000007", "done", 20_000);
        c.until_status(0, "wk-000008", "aborted", 20_000);
    }
    c.run(10_000);
    c
}

fn assert_day(name: &str, withheld: &[&str]) {
    day(withheld).journal.assert_golden(name, &[Channel::ToStore]);
}

#[test]
fn records_of_format_1() {
    assert_day("records-format-1", &["format-2"]);
}

#[test]
fn records_of_format_2() {
    assert_day("records-format-2", &["format-3"]);
}

#[test]
fn records_of_format_3() {
    assert_day("records-format-3", &["format-4"]);
}

#[test]
fn records_of_format_4() {
    assert_day("records-format-4", &[]);
}

/// Values of one kilobyte: a chunk's placement takes several keys.
fn small_values(withheld: &[&str]) -> Cluster {
    let mut c = Cluster::new(1, 70, json!({"withhold": withheld}));
    c.edit_settings(|s| s["facts"]["state"]["value_kb"] = json!(1.0));
    c.start_all();
    c.run(3_000);
    c.runs.insert("wk-000001".into(), LONG);
    assert_eq!(c.submit(0, &with(job("wk-000001", "array", 66), &[("vcpus", 6.0.into())])), 201);
    let long_names = ["x".repeat(120), "y".repeat(120)].map(Value::from).to_vec();
    let large = with(job("wk-000002", "array", 1), &[("host_types", Value::Array(long_names))]);
    assert_eq!(c.submit(0, &large), 422);
    c.run_until(20_000, "its tasks run", |c| c.running("wk-000001") == 66);
    c.run(3_000);
    assert_eq!(c.abort(0, "wk-000001"), 200);
    c.run(20_000);
    c
}

#[test]
fn placement_records_over_several_keys_in_format_2() {
    let c = small_values(&["format-3"]);
    c.journal.assert_golden("records-several-keys-format-2", &[Channel::ToStore]);
}

#[test]
fn placement_records_over_several_keys_in_format_4() {
    let c = small_values(&[]);
    c.journal.assert_golden("records-several-keys-format-4", &[Channel::ToStore]);
}

/// Jobs that share a record, on a leader and as a follower looks them up.
#[test]
fn batch_records() {
    let mut c = Cluster::new(3, 8, json!({"share_pages_below": 1.0}));
    c.start_all();
    c.run(6_000);
    c.runs.insert("wk-000003".into(), LONG);
    c.runs.insert("wk-000004".into(), LONG);
    c.runs.insert("wk-000009".into(), LONG);
    let jobs = [
        job("wk-000001", "array", 1),
        with(job("wk-000002", "array", 3), &[("due_s", 60.0.into()), ("hall", "b".into())]),
        with(job("wk-000003", "array", 2), &[("spread", true.into()), ("rank", "idle".into())]),
        with(job("wk-000004", "array", 2), &[("loaners", false.into())]),
        with(job("wk-000005", "array", 1), &[("owner", "guests".into())]),
    ];
    let asked: Vec<usize> =
        jobs.iter().map(|j| c.user(0, "POST", "/api/jobs", encode(j))).collect();
    for number in asked {
        assert_eq!(c.wait_for(number).status, 201);
    }
    c.run_until(20_000, "long jobs run", |c| c.running("wk-000003") + c.running("wk-000004") == 4);
    assert_eq!(c.submit(0, &job("wk-000009", "array", 1)), 201);
    // A job of a page is cancelled through the leader, and its retry is known.
    assert_eq!(c.abort(0, "wk-000003"), 200);
    assert_eq!(c.submit(0, &job("wk-000004", "array", 2)), 200);
    // A follower that can't reach the leader looks through the pages.
    c.cut(End::Node(0), End::Node(1));
    c.run(3_000);
    assert_eq!(c.poll(1, "wk-000004"), "running");
    assert_eq!(c.poll(1, "wk-000999"), "404");
    assert_eq!(c.submit(1, &job("wk-000006", "array", 1)), 201);
    assert_eq!(c.abort(1, "wk-000004"), 200);
    c.heal();
    c.until_status(0, "wk-000006", "done", 20_000);
    c.until_status(1, "wk-000002", "done", 20_000);
    // What another leader reads of them.
    c.stop(0);
    c.run(10_000);
    assert_eq!(c.poll(1, "wk-000009"), "running");
    c.run(10_000);
    c.journal.assert_golden("records-batches", &[Channel::ToStore]);
}
