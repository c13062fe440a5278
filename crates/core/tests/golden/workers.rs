//! Answers to workers' reports, and what controllers send to workers and to the cloud.

use serde_json::json;

use crate::cbor::{encode, raw, Value};
use crate::cluster::Cluster;
use crate::jobs::{job, with};
use crate::journal::Channel;
use crate::worker::Run;

const TO_WORKERS: [Channel; 2] = [Channel::AnswersToWorkers, Channel::ToWorkers];

/// Tasks that end in every way, are stopped with and without time to save, and are cleared.
#[test]
fn orders() {
    let mut c = Cluster::new(1, 4, json!({}));
    c.start_all();
    c.run(6_000);
    let ends = ["done", "error", "peers", "incomplete", "full", "in_use", "no_such"];
    for (n, cause) in ends.into_iter().enumerate() {
        let id = format!("wk-00000{n}");
        c.runs.insert(id.clone(), Run { run_ms: 400, cause });
        assert_eq!(c.submit(0, &job(&id, "array", 1)), 201);
    }
    let saves = [("snapshot_every_s", 30.0.into()), ("snapshot_cost_s", 2.0.into())];
    for id in ["wk-000010", "wk-000011"] {
        c.runs.insert(id.into(), Run { run_ms: 60_000, cause: "done" });
        assert_eq!(c.submit(0, &with(job(id, "array", 2), &saves)), 201);
    }
    c.run_until(20_000, "they run", |c| c.running("wk-000010") + c.running("wk-000011") == 4);
    c.run(4_000);
    // A notice that the machine is taken away, and a cancellation.
    let on_it = |w: &&mut crate::worker::Worker| w.running().any(|t| t.starts_with("wk-000010"));
    c.workers.values_mut().find(on_it).expect("one runs it").notice_s = Some(4.0);
    c.run(4_000);
    assert_eq!(c.abort(0, "wk-000011"), 200);
    c.run(10_000);
    c.journal.assert_golden("workers-orders", &TO_WORKERS);
}

fn report(session: u64, sequence: u64) -> Value {
    raw!({
        "host" => "vm-000050", "addr" => "10.1.0.51:9000", "host_type" => "k8", "hall" => "a",
        "loaners" => true, "tenure" => session, "tally" => sequence, "baton" => 0,
        "recall_s" => null, "pieces" => []
    })
}

/// Reports of one worker, one after another, as they may come.
#[test]
fn reports_from_outside() {
    let mut c = Cluster::new(2, 0, json!({}));
    c.start_all();
    c.run(6_000);
    let held = |status: &str| {
        let task = raw!({"piece" => "wk-000001/0", "try" => 5, "status" => status});
        ("pieces", Value::Array(vec![task]))
    };
    let saved = raw!({
        "piece" => "wk-000001/0", "try" => 5, "status" => "exited", "cause" => "stopped",
        "saved" => true
    });
    let reports = [
        (200, report(1, 10)),
        // Late copies, and a new session.
        (421, report(1, 9)),
        (421, report(1, 10)),
        (200, report(2, 1)),
        (200, with(report(2, 2), &[held("pulling")])),
        (200, with(report(2, 3), &[held("waiting")])),
        (200, with(report(2, 4), &[held("running")])),
        (200, with(report(2, 5), &[held("flushing")])),
        (200, with(report(2, 6), &[("pieces", Value::Array(vec![saved]))])),
        (200, with(report(2, 7), &[("recall_s", 30.into()), ("unheard_of", 1.into())])),
        (400, with(report(2, 8), &[held("dancing")])),
        (400, with(report(2, 8), &[("addr", "nowhere".into())])),
        (400, with(report(2, 8), &[("host", "".into())])),
        (400, with(report(2, 8), &[("host_type", "".into())])),
        (400, with(report(2, 8), &[("hall", "".into())])),
        (400, with(report(2, 8), &[("recall_s", (-1.0).into())])),
        (400, report(0, 8)),
        (400, raw!({"host" => "vm-000050"})),
    ];
    for (wanted, body) in reports {
        let answer = c.ask_user(0, "POST", "/checkin", &encode(&body));
        assert_eq!(answer.status, wanted, "{body:?}");
    }
    assert_eq!(c.ask_user(0, "POST", "/checkin", &[]).status, 400);
    // Of the follower's zone, and of another, at the follower; it names the leader.
    let other = [("host", "vm-000051".into()), ("addr", "10.1.0.52:9000".into())];
    for zone in ["a", "b"] {
        let body = with(with(report(1, 1), &other), &[("hall", zone.into())]);
        let body = with(body, &[("tally", if zone == "a" { 1 } else { 2 }.into())]);
        assert_eq!(c.ask_user(1, "POST", "/checkin", &encode(&body)).status, 200);
    }
    // A worker that has seen the token of a later epoch: the leader gives up.
    let later = with(report(2, 9), &[("baton", (7u64 << 24).into())]);
    assert_eq!(c.ask_user(0, "POST", "/checkin", &encode(&later)).status, 421);
    c.journal.assert_golden("workers-reports-from-outside", &[Channel::AnswersToUsers]);
}

/// Machines are rented, listed and returned.
#[test]
fn requests_to_the_cloud() {
    let mut c = Cluster::new(1, 1, json!({}));
    c.start_all();
    c.run(6_000);
    let gpus = with(job("wk-000001", "array", 2), &[("gpus", 8.0.into()), ("vcpus", 32.0.into())]);
    assert_eq!(c.submit(0, &gpus), 201);
    c.run(2_000);
    c.no_capacity = false;
    c.listed_at_once = 2;
    let ordinary = with(job("wk-000002", "gang", 6), &[("loaners", false.into())]);
    assert_eq!(c.submit(0, &ordinary), 201);
    assert_eq!(c.submit(0, &with(job("wk-000003", "array", 9), &[("hall", "b".into())])), 201);
    for id in ["wk-000001", "wk-000002", "wk-000003"] {
        c.until_status(0, id, "done", 120_000);
    }
    c.run_until(300_000, "idle machines are returned", |c| c.workers.is_empty());
    c.journal.assert_golden("cloud", &[Channel::ToCloud]);
}
