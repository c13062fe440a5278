//! Writes to the key-value store in each format of the records.

use serde_json::json;

use crate::cbor::{encode, Value};
use crate::cluster::{Cluster, Endpoint};
use crate::jobs::{depending_on, job, with_fields};
use crate::journal::Channel;
use crate::worker::TaskRun;

const LONG_RUN: TaskRun = TaskRun { run_ms: 60_000, cause: "done" };

/// Runs one controller with jobs of every kind: jobs that complete, are aborted, depend on one
/// another, are larger than one chunk or are bound to a zone.
fn run_jobs_of_every_kind(withheld: &[&str]) -> Cluster {
    let mut cluster = Cluster::new(1, 8, json!({"withhold": withheld}));
    cluster.start_all();
    cluster.run(3_000);
    for id in ["wk-000004", "wk-000006"] {
        cluster.task_runs.insert(id.into(), LONG_RUN);
    }
    cluster.task_runs.insert("wk-000002".into(), TaskRun { run_ms: 300, cause: "done" });
    let optional_fields = [
        ("host_types", Value::Array(vec!["k8".into(), "g8".into()])),
        ("hall", "a".into()),
        ("due_s", 900.0.into()),
        ("rank", "urgent".into()),
        ("snapshot_every_s", 30.0.into()),
        ("snapshot_cost_s", 4.0.into()),
    ];
    assert_eq!(
        cluster.submit(0, &with_fields(job("wk-000001", "array", 3), &optional_fields)),
        201
    );
    assert_eq!(
        cluster.submit(0, &with_fields(job("wk-000002", "array", 1_000), &[("vcpus", 0.5.into())])),
        201
    );
    assert_eq!(
        cluster.submit(0, &with_fields(job("wk-000003", "gang", 2), &[("together", true.into())])),
        201
    );
    assert_eq!(cluster.submit(0, &job("wk-000004", "service", 2)), 201);
    assert_eq!(
        cluster.submit(0, &with_fields(job("wk-000005", "array", 4), &[("spread", true.into())])),
        201
    );
    assert_eq!(
        cluster.submit(0, &with_fields(job("wk-000006", "array", 2), &[("rank", "idle".into())])),
        201
    );
    let dependencies_enabled = !withheld.contains(&"format-2");
    let accepted = if dependencies_enabled { 201 } else { 503 };
    assert_eq!(
        cluster.submit(0, &depending_on(job("wk-000007", "array", 1), &["wk-000001"])),
        accepted
    );
    assert_eq!(
        cluster.submit(0, &depending_on(job("wk-000008", "array", 1), &["wk-000006"])),
        accepted
    );
    cluster.run_until(20_000, "long jobs run", |cluster| {
        cluster.running("wk-000004") == 2 && cluster.running("wk-000006") == 2
    });
    cluster.run(1_000);
    assert_eq!(cluster.abort(0, "wk-000006"), 200);
    assert_eq!(cluster.abort(0, "wk-000004"), 200);
    for id in ["wk-000001", "wk-000003", "wk-000005", "wk-000002"] {
        cluster.run_until_status(0, id, "done", 120_000);
    }
    if dependencies_enabled {
        cluster.run_until_status(0, "wk-000007", "done", 20_000);
        cluster.run_until_status(0, "wk-000008", "aborted", 20_000);
    }
    cluster.run(10_000);
    cluster
}

fn assert_records(name: &str, withheld: &[&str]) {
    run_jobs_of_every_kind(withheld).journal.assert_golden(name, &[Channel::ToStore]);
}

#[test]
fn records_of_format_1() {
    assert_records("records-format-1", &["format-2"]);
}

#[test]
fn records_of_format_2() {
    assert_records("records-format-2", &["format-3"]);
}

#[test]
fn records_of_format_3() {
    assert_records("records-format-3", &["format-4"]);
}

#[test]
fn records_of_format_4() {
    assert_records("records-format-4", &[]);
}

/// Limits values to one kilobyte, so that the placement of one chunk takes several keys.
fn run_with_small_values(withheld: &[&str]) -> Cluster {
    let mut cluster = Cluster::new(1, 70, json!({"withhold": withheld}));
    cluster.edit_settings(|settings| settings["facts"]["state"]["value_kb"] = json!(1.0));
    cluster.start_all();
    cluster.run(3_000);
    cluster.task_runs.insert("wk-000001".into(), LONG_RUN);
    assert_eq!(
        cluster.submit(0, &with_fields(job("wk-000001", "array", 66), &[("vcpus", 6.0.into())])),
        201
    );
    let long_names = ["x".repeat(120), "y".repeat(120)].map(Value::from).to_vec();
    let large =
        with_fields(job("wk-000002", "array", 1), &[("host_types", Value::Array(long_names))]);
    assert_eq!(cluster.submit(0, &large), 422);
    cluster.run_until(20_000, "the tasks of the job run", |cluster| {
        cluster.running("wk-000001") == 66
    });
    cluster.run(3_000);
    assert_eq!(cluster.abort(0, "wk-000001"), 200);
    cluster.run(20_000);
    cluster
}

#[test]
fn placement_records_over_several_keys_in_format_2() {
    let cluster = run_with_small_values(&["format-3"]);
    cluster.journal.assert_golden("records-several-keys-format-2", &[Channel::ToStore]);
}

#[test]
fn placement_records_over_several_keys_in_format_4() {
    let cluster = run_with_small_values(&[]);
    cluster.journal.assert_golden("records-several-keys-format-4", &[Channel::ToStore]);
}

/// Jobs in batch records, as a leader writes them and a follower looks them up.
#[test]
fn batch_records() {
    let mut cluster = Cluster::new(3, 8, json!({"share_pages_below": 1.0}));
    cluster.start_all();
    cluster.run(6_000);
    cluster.task_runs.insert("wk-000003".into(), LONG_RUN);
    cluster.task_runs.insert("wk-000004".into(), LONG_RUN);
    cluster.task_runs.insert("wk-000009".into(), LONG_RUN);
    let jobs = [
        job("wk-000001", "array", 1),
        with_fields(job("wk-000002", "array", 3), &[("due_s", 60.0.into()), ("hall", "b".into())]),
        with_fields(
            job("wk-000003", "array", 2),
            &[("spread", true.into()), ("rank", "idle".into())],
        ),
        with_fields(job("wk-000004", "array", 2), &[("loaners", false.into())]),
        with_fields(job("wk-000005", "array", 1), &[("owner", "guests".into())]),
    ];
    let requests: Vec<usize> = jobs
        .iter()
        .map(|job| cluster.send_user_request(0, "POST", "/api/jobs", encode(job)))
        .collect();
    for request in requests {
        assert_eq!(cluster.wait_for_answer(request).status, 201);
    }
    cluster.run_until(20_000, "long jobs run", |cluster| {
        cluster.running("wk-000003") + cluster.running("wk-000004") == 4
    });
    assert_eq!(cluster.submit(0, &job("wk-000009", "array", 1)), 201);
    // The leader aborts one job of a batch record and recognizes the repeated submission of
    // another.
    assert_eq!(cluster.abort(0, "wk-000003"), 200);
    assert_eq!(cluster.submit(0, &job("wk-000004", "array", 2)), 200);
    // A follower that cannot reach the leader scans the batch records.
    cluster.cut(Endpoint::Node(0), Endpoint::Node(1));
    cluster.run(3_000);
    assert_eq!(cluster.poll(1, "wk-000004"), "running");
    assert_eq!(cluster.poll(1, "wk-000999"), "404");
    assert_eq!(cluster.submit(1, &job("wk-000006", "array", 1)), 201);
    assert_eq!(cluster.abort(1, "wk-000004"), 200);
    cluster.heal();
    cluster.run_until_status(0, "wk-000006", "done", 20_000);
    cluster.run_until_status(1, "wk-000002", "done", 20_000);
    // A new leader reads the batch records.
    cluster.stop(0);
    cluster.run(10_000);
    assert_eq!(cluster.poll(1, "wk-000009"), "running");
    cluster.run(10_000);
    cluster.journal.assert_golden("records-batches", &[Channel::ToStore]);
}
