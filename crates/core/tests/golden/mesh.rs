//! Messages between controllers, sent directly and through the key-value store.

use serde_json::json;

use crate::cbor::{encode, raw, Value};
use crate::cluster::{Cluster, Endpoint};
use crate::jobs::{depending_on, job, with_fields};
use crate::journal::Channel;
use crate::worker::TaskRun;

const MESH_CHANNELS: [Channel; 2] = [Channel::ToControllers, Channel::AnswersToControllers];
const LONG_RUN: TaskRun = TaskRun { run_ms: 60_000, cause: "done" };

/// Starts three controllers and runs until the first one leads and all formats are activated.
fn three_controllers(workers: u32) -> Cluster {
    let mut cluster = Cluster::new(3, workers, json!({}));
    cluster.start_all();
    cluster.run(6_000);
    assert_eq!(cluster.metrics(0)["leads"], 1.0);
    assert_eq!(cluster.metrics(0)["format"], 4.0);
    cluster
}

/// Mesh heartbeats, and requests of users and workers that are forwarded to the leader.
#[test]
fn requests_passed_on_to_the_leader() {
    let mut cluster = three_controllers(6);
    cluster.task_runs.insert("wk-000002".into(), LONG_RUN);
    for node in 0..3 {
        assert_eq!(cluster.submit(node, &job(&format!("wk-00000{node}"), "array", 2)), 201);
        assert_eq!(cluster.poll(node, "wk-000999"), "404");
    }
    let unrunnable = with_fields(job("wk-000010", "array", 1), &[("vcpus", 5_000.0.into())]);
    assert_eq!(cluster.submit(1, &unrunnable), 422);
    let malformed = with_fields(job("wk-000011", "array", 1), &[("pieces", 0.into())]);
    assert_eq!(cluster.submit(1, &malformed), 400);
    assert_eq!(cluster.submit(2, &depending_on(job("wk-000003", "array", 1), &["wk-000000"])), 201);
    cluster.run_until(20_000, "the job runs", |cluster| cluster.running("wk-000002") == 2);
    assert_eq!(cluster.poll(1, "wk-000002"), "running");
    assert_eq!(cluster.submit(1, &job("wk-000002", "array", 2)), 200);
    assert_eq!(cluster.abort(1, "wk-000002"), 200);
    cluster.run_until_status(2, "wk-000003", "done", 20_000);
    cluster.journal.assert_golden("mesh-passed-on", &MESH_CHANNELS);
    let users = [Channel::AnswersToUsers, Channel::AnswersToWorkers, Channel::ToWorkers];
    cluster.journal.assert_golden("mesh-passed-on-users-and-workers", &users);
}

/// A sibling relays the heartbeats of, and the orders to, workers that the leader cannot reach.
#[test]
fn orders_relayed_by_a_sibling() {
    let mut cluster = three_controllers(4);
    for name in ["vm-000001", "vm-000003"] {
        cluster.cut(Endpoint::Node(0), Endpoint::Worker(name.into()));
    }
    cluster.task_runs.insert("wk-000001".into(), LONG_RUN);
    cluster.run(3_000);
    let zone_bound = with_fields(job("wk-000001", "array", 4), &[("hall", "b".into())]);
    assert_eq!(cluster.submit(0, &zone_bound), 201);
    cluster
        .run_until(30_000, "the tasks of the job run", |cluster| cluster.running("wk-000001") == 4);
    // A worker that hangs does not answer the sibling either.
    let runs_tasks = |w: &&mut crate::worker::Worker| w.running().next().is_some();
    cluster.workers.values_mut().find(runs_tasks).expect("a worker runs the tasks").is_hung = true;
    assert_eq!(cluster.abort(0, "wk-000001"), 200);
    cluster.run(10_000);
    let channels = [MESH_CHANNELS[0], MESH_CHANNELS[1], Channel::ToWorkers];
    cluster.journal.assert_golden("mesh-relayed-orders", &channels);
}

/// A zone is cut off from the leader while all controllers reach the store. A sibling renews the
/// leases of the zone's workers, and orders, answers and heartbeats pass through the store. The
/// sibling decides the requests of users in the zone without the leader.
#[test]
fn a_zone_cut_off_from_the_leader() {
    let mut cluster = three_controllers(4);
    for id in ["wk-000001", "wk-000002", "wk-000003", "wk-000004"] {
        cluster.task_runs.insert(id.into(), LONG_RUN);
    }
    let zone_bound = with_fields(job("wk-000001", "array", 2), &[("hall", "b".into())]);
    assert_eq!(cluster.submit(0, &zone_bound), 201);
    assert_eq!(
        cluster.submit(0, &with_fields(job("wk-000004", "array", 2), &[("hall", "b".into())])),
        201
    );
    cluster.run_until(20_000, "all tasks of both jobs run", |cluster| {
        cluster.running("wk-000001") + cluster.running("wk-000004") == 4
    });
    cluster.cut(Endpoint::Node(0), Endpoint::Node(1));
    cluster.cut(Endpoint::Node(2), Endpoint::Node(1));
    for name in ["vm-000001", "vm-000003"] {
        cluster.cut(Endpoint::Node(0), Endpoint::Worker(name.into()));
        cluster.cut(Endpoint::Node(2), Endpoint::Worker(name.into()));
    }
    cluster.run(6_000);
    let is_stored = |cluster: &mut Cluster, key: &str| cluster.store.keys.contains_key(key);
    assert!(
        is_stored(&mut cluster, "view/keeper/n1") && is_stored(&mut cluster, "view/post/n0/n1")
    );
    // The leader's orders for the cut-off zone.
    let more = with_fields(job("wk-000002", "array", 2), &[("hall", "b".into())]);
    assert_eq!(cluster.submit(0, &more), 201);
    cluster.run_until(20_000, "tasks start by orders that pass through the store", |cluster| {
        cluster.running("wk-000002") == 2
    });
    assert!(is_stored(&mut cluster, "view/post/n1/n0"));
    // Requests that the sibling decides without the leader.
    assert_eq!(cluster.submit(1, &job("wk-000003", "array", 1)), 201);
    assert!(cluster.journal.text(&[Channel::ToStore]).contains("\"set\": \"inbox/wk-000003\""));
    assert_eq!(cluster.poll(1, "wk-000001"), "running");
    assert_eq!(cluster.abort(1, "wk-000001"), 200);
    cluster.run(6_000);
    assert_eq!(cluster.running("wk-000001"), 0);
    cluster.heal();
    cluster.run(20_000);
    assert!(!is_stored(&mut cluster, "view/keeper/n1"));
    let channels =
        [MESH_CHANNELS[0], MESH_CHANNELS[1], Channel::ToStore, Channel::AnswersToWorkers];
    cluster.journal.assert_golden("mesh-zone-cut-off", &channels);
}

/// A controller that is refused by the store forwards requests to one that has access to it.
#[test]
fn a_controller_without_the_store() {
    let mut cluster = three_controllers(2);
    cluster.store.refused_nodes.insert(1);
    cluster.run(6_000);
    assert_eq!(cluster.submit(1, &job("wk-000001", "array", 1)), 201);
    assert_eq!(cluster.poll(1, "wk-000999"), "404");
    cluster.run_until_status(1, "wk-000001", "done", 20_000);
    cluster.stop(0);
    cluster.run(20_000);
    assert_eq!(cluster.metrics(2)["leads"], 1.0);
    assert_eq!(cluster.submit(1, &job("wk-000002", "array", 1)), 201);
    cluster.run(5_000);
    // No running controller has access to the store any more.
    cluster.store.refused_nodes.insert(2);
    cluster.run(10_000);
    assert_eq!(cluster.submit(1, &job("wk-000003", "array", 1)), 503);
    let channels = [MESH_CHANNELS[0], MESH_CHANNELS[1], Channel::AnswersToUsers];
    cluster.journal.assert_golden("mesh-without-the-store", &channels);
}

/// Workers are redirected to a controller of their zone and later back to the leader.
#[test]
fn redirected_workers() {
    let mut cluster = three_controllers(4);
    cluster.workers.get_mut("vm-000001").expect("the worker exists").node = 0;
    cluster.workers.get_mut("vm-000002").expect("the worker exists").node = 1;
    cluster.run(40_000);
    cluster.journal.assert_golden("mesh-redirected-workers", &[Channel::AnswersToWorkers]);
}

/// The store has compacted the requested changes and lists only a few keys per answer.
#[test]
fn lists_instead_of_changes() {
    let mut cluster = three_controllers(2);
    cluster.task_runs.insert("wk-000001".into(), LONG_RUN);
    for id in ["wk-000001", "wk-000002", "wk-000003"] {
        assert_eq!(cluster.submit(0, &job(id, "array", 70)), 201);
    }
    cluster.store.max_list_entries = 2;
    cluster.store.compacted_to = u64::MAX;
    cluster.store.put("inbox/wk-000009", Value::Bool(false));
    cluster.run(5_000);
    cluster.store.compacted_to = 0;
    cluster.run(2_000);
    cluster.stop(0);
    cluster.run(10_000);
    assert_eq!(cluster.poll(1, "wk-000001"), cluster.poll(2, "wk-000001"));
    cluster.journal.assert_golden("mesh-lists-instead-of-changes", &[Channel::ToStore]);
}

/// Returns a mesh message of the second controller that forwards a request.
fn message(forward: Value) -> Value {
    raw!({"version" => 1, "from" => "n1", "epoch" => 0, "has_state" => true, "forward" => forward})
}

fn forward(method: &str, path: &str, body: &Value) -> Value {
    let body = match body {
        Value::Null => Value::Bytes(Vec::new()),
        body => Value::Bytes(encode(body)),
    };
    Value::Map(vec![
        ("method".into(), method.into()),
        ("path".into(), path.into()),
        ("body".into(), body),
    ])
}

/// Valid messages of another build, and malformed or forbidden messages.
#[test]
fn messages_from_outside() {
    let mut cluster = three_controllers(2);
    let mut send = |body: &Value| cluster.mesh_request(0, "POST", "/mesh", &encode(body)).status;
    let orders = raw!({"id" => 0, "addr" => "10.1.0.1:9000", "orders" => {
        "baton" => 1, "tenure" => 1, "orders" => []
    }});
    let report = raw!({
        "host" => "vm-000007", "addr" => "10.1.0.8:9000", "host_type" => "k8", "hall" => "b",
        "tenure" => 1, "tally" => 1, "baton" => 0
    });
    let submission = job("wk-000001", "array", 1);
    for (wanted, body) in [
        (200, message(Value::Null)),
        (200, raw!({"version" => 1, "from" => "n1", "epoch" => 0, "has_state" => false})),
        (200, with_fields(message(Value::Null), &[("unheard_of", 1.into())])),
        (400, with_fields(message(Value::Null), &[("version", 2.into())])),
        (400, with_fields(message(Value::Null), &[("from", "n9".into())])),
        (400, raw!({"from" => "n1", "epoch" => 0, "has_state" => true})),
        (400, raw!([1, 2])),
        (400, message(forward("POST", "/orders", &orders))),
        (400, message(forward("POST", "/checkin", &raw!({"host" => "vm-000007"})))),
        (200, message(forward("POST", "/checkin", &report))),
        (200, message(forward("POST", "/aborted/wk-000099", &Value::Null))),
        (400, message(forward("POST", "/aborted/nonsense", &Value::Null))),
        (201, message(forward("POST", "/api/jobs", &submission))),
        (200, message(forward("GET", "/api/jobs/wk-000001", &Value::Null))),
        (200, message(forward("POST", "/api/jobs/wk-000001/abort", &Value::Null))),
        (404, message(forward("GET", "/elsewhere", &Value::Null))),
        (405, message(forward("DELETE", "/api/jobs/wk-000001", &Value::Null))),
    ] {
        assert_eq!(send(&body), wanted, "{body:?}");
    }
    for (wanted, method, target, body) in [
        (400, "POST", "/mesh", &b"\xff\x00"[..]),
        (405, "GET", "/mesh", b""),
        (405, "POST", "/metrics", b""),
        (404, "GET", "/elsewhere", b""),
        (200, "GET", "/metrics?pretty", b""),
    ] {
        assert_eq!(
            cluster.mesh_request(0, method, target, body).status,
            wanted,
            "{method} {target}"
        );
    }
    // Orders of the leader that arrive at a follower.
    let leader =
        with_fields(message(forward("POST", "/orders", &orders)), &[("from", "n0".into())]);
    assert_eq!(cluster.mesh_request(1, "POST", "/mesh", &encode(&leader)).status, 409);
    let malformed = message(forward("POST", "/orders", &raw!({"id" => 0})));
    let malformed = with_fields(malformed, &[("from", "n0".into())]);
    assert_eq!(cluster.mesh_request(1, "POST", "/mesh", &encode(&malformed)).status, 400);
    cluster.journal.assert_golden("mesh-messages-from-outside", &[Channel::AnswersToUsers]);
}

/// A follower is elected after the leader has stopped. The new leader is then restarted repeatedly
/// within its lease, until it gives up leadership.
#[test]
fn changes_of_the_leader() {
    let mut cluster = three_controllers(4);
    cluster.task_runs.insert("wk-000001".into(), LONG_RUN);
    assert_eq!(cluster.submit(0, &job("wk-000001", "array", 3)), 201);
    cluster
        .run_until(20_000, "the tasks of the job run", |cluster| cluster.running("wk-000001") == 3);
    cluster.stop(0);
    cluster.run(12_000);
    let leader = if cluster.metrics(1)["leads"] == 1.0 { 1 } else { 2 };
    assert_eq!(cluster.running("wk-000001"), 3);
    cluster.start(0);
    cluster.run(4_000);
    for _ in 0..3 {
        cluster.stop(leader);
        cluster.run(300);
        cluster.start(leader);
        cluster.run(1_500);
    }
    cluster.run(10_000);
    assert_eq!(cluster.poll(0, "wk-000001"), "running");
    let channels = [MESH_CHANNELS[0], MESH_CHANNELS[1], Channel::ToStore, Channel::ToWorkers];
    cluster.journal.assert_golden("mesh-changes-of-the-leader", &channels);
}
