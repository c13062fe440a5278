//! Answers to workers' heartbeats, and requests of controllers to workers and to the cloud.

use serde_json::json;

use crate::cbor::{encode, raw, Value};
use crate::cluster::Cluster;
use crate::jobs::{job, with_fields};
use crate::journal::Channel;
use crate::worker::TaskRun;

const TO_WORKERS: [Channel; 2] = [Channel::AnswersToWorkers, Channel::ToWorkers];

/// Tasks that exit with each cause, are stopped with and without time for a checkpoint, and are
/// cleared.
#[test]
fn orders() {
    let mut cluster = Cluster::new(1, 4, json!({}));
    cluster.start_all();
    cluster.run(6_000);
    let causes = ["done", "error", "peers", "incomplete", "full", "in_use", "no_such"];
    for (n, cause) in causes.into_iter().enumerate() {
        let id = format!("wk-00000{n}");
        cluster.task_runs.insert(id.clone(), TaskRun { run_ms: 400, cause });
        assert_eq!(cluster.submit(0, &job(&id, "array", 1)), 201);
    }
    let checkpoints = [("snapshot_every_s", 30.0.into()), ("snapshot_cost_s", 2.0.into())];
    for id in ["wk-000010", "wk-000011"] {
        cluster.task_runs.insert(id.into(), TaskRun { run_ms: 60_000, cause: "done" });
        assert_eq!(cluster.submit(0, &with_fields(job(id, "array", 2), &checkpoints)), 201);
    }
    cluster.run_until(20_000, "all tasks of both jobs run", |cluster| {
        cluster.running("wk-000010") + cluster.running("wk-000011") == 4
    });
    cluster.run(4_000);
    // An interruption notice for the machine of one job, and an abort of the other job.
    let runs_job = |w: &&mut crate::worker::Worker| w.running().any(|t| t.starts_with("wk-000010"));
    cluster
        .workers
        .values_mut()
        .find(runs_job)
        .expect("a worker runs the job")
        .interruption_notice_s = Some(4.0);
    cluster.run(4_000);
    assert_eq!(cluster.abort(0, "wk-000011"), 200);
    cluster.run(10_000);
    cluster.journal.assert_golden("workers-orders", &TO_WORKERS);
}

fn heartbeat(agent_epoch: u64, sequence: u64) -> Value {
    raw!({
        "host" => "vm-000050", "addr" => "10.1.0.51:9000", "host_type" => "k8", "hall" => "a",
        "loaners" => true, "tenure" => agent_epoch, "tally" => sequence, "baton" => 0,
        "recall_s" => null, "pieces" => []
    })
}

/// Heartbeats of one worker: in order, late, in a new agent epoch, with each task status, and
/// malformed.
#[test]
fn reports_from_outside() {
    let mut cluster = Cluster::new(2, 0, json!({}));
    cluster.start_all();
    cluster.run(6_000);
    let held = |status: &str| {
        let task = raw!({"piece" => "wk-000001/0", "try" => 5, "status" => status});
        ("pieces", Value::Array(vec![task]))
    };
    let saved = raw!({
        "piece" => "wk-000001/0", "try" => 5, "status" => "exited", "cause" => "stopped",
        "saved" => true
    });
    let heartbeats = [
        (200, heartbeat(1, 10)),
        // Late duplicates, and a new agent epoch.
        (421, heartbeat(1, 9)),
        (421, heartbeat(1, 10)),
        (200, heartbeat(2, 1)),
        (200, with_fields(heartbeat(2, 2), &[held("pulling")])),
        (200, with_fields(heartbeat(2, 3), &[held("waiting")])),
        (200, with_fields(heartbeat(2, 4), &[held("running")])),
        (200, with_fields(heartbeat(2, 5), &[held("flushing")])),
        (200, with_fields(heartbeat(2, 6), &[("pieces", Value::Array(vec![saved]))])),
        (200, with_fields(heartbeat(2, 7), &[("recall_s", 30.into()), ("unheard_of", 1.into())])),
        (400, with_fields(heartbeat(2, 8), &[held("dancing")])),
        (400, with_fields(heartbeat(2, 8), &[("addr", "nowhere".into())])),
        (400, with_fields(heartbeat(2, 8), &[("host", "".into())])),
        (400, with_fields(heartbeat(2, 8), &[("host_type", "".into())])),
        (400, with_fields(heartbeat(2, 8), &[("hall", "".into())])),
        (400, with_fields(heartbeat(2, 8), &[("recall_s", (-1.0).into())])),
        (400, heartbeat(0, 8)),
        (400, raw!({"host" => "vm-000050"})),
    ];
    for (wanted, body) in heartbeats {
        let answer = cluster.user_request(0, "POST", "/checkin", &encode(&body));
        assert_eq!(answer.status, wanted, "{body:?}");
    }
    assert_eq!(cluster.user_request(0, "POST", "/checkin", &[]).status, 400);
    // Heartbeats sent to the follower, first from another zone and then from its own zone.
    let other = [("host", "vm-000051".into()), ("addr", "10.1.0.52:9000".into())];
    for zone in ["a", "b"] {
        let body = with_fields(with_fields(heartbeat(1, 1), &other), &[("hall", zone.into())]);
        let body = with_fields(body, &[("tally", if zone == "a" { 1 } else { 2 }.into())]);
        assert_eq!(cluster.user_request(1, "POST", "/checkin", &encode(&body)).status, 200);
    }
    // A worker has seen the fencing token of a later epoch: the leader steps down.
    let later = with_fields(heartbeat(2, 9), &[("baton", (7u64 << 24).into())]);
    assert_eq!(cluster.user_request(0, "POST", "/checkin", &encode(&later)).status, 421);
    cluster.journal.assert_golden("workers-reports-from-outside", &[Channel::AnswersToUsers]);
}

/// Machines are provisioned, listed and returned.
#[test]
fn requests_to_the_cloud() {
    let mut cluster = Cluster::new(1, 1, json!({}));
    cluster.start_all();
    cluster.run(6_000);
    let gpus =
        with_fields(job("wk-000001", "array", 2), &[("gpus", 8.0.into()), ("vcpus", 32.0.into())]);
    assert_eq!(cluster.submit(0, &gpus), 201);
    cluster.run(2_000);
    cluster.no_capacity = false;
    cluster.max_list_entries = 2;
    let ordinary = with_fields(job("wk-000002", "gang", 6), &[("loaners", false.into())]);
    assert_eq!(cluster.submit(0, &ordinary), 201);
    assert_eq!(
        cluster.submit(0, &with_fields(job("wk-000003", "array", 9), &[("hall", "b".into())])),
        201
    );
    for id in ["wk-000001", "wk-000002", "wk-000003"] {
        cluster.run_until_status(0, id, "done", 120_000);
    }
    cluster.run_until(300_000, "idle machines are returned", |cluster| cluster.workers.is_empty());
    cluster.journal.assert_golden("cloud", &[Channel::ToCloud]);
}
