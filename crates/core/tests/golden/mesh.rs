//! What controllers tell one another, directly and by way of the key-value store.

use serde_json::json;

use crate::cbor::{encode, raw, Value};
use crate::cluster::{Cluster, End};
use crate::jobs::{job, needing, with};
use crate::journal::Channel;
use crate::worker::Run;

const MESH: [Channel; 2] = [Channel::ToControllers, Channel::AnswersToControllers];
const LONG: Run = Run { run_ms: 60_000, cause: "done" };

/// Three controllers, of which the first leads, with every format on.
fn three(workers: u32) -> Cluster {
    let mut c = Cluster::new(3, workers, json!({}));
    c.start_all();
    c.run(6_000);
    assert_eq!(c.metrics(0)["leads"], 1.0);
    assert_eq!(c.metrics(0)["format"], 4.0);
    c
}

/// Heartbeats, and requests of users and workers that are passed on to the leader.
#[test]
fn requests_passed_on_to_the_leader() {
    let mut c = three(6);
    c.runs.insert("wk-000002".into(), LONG);
    for node in 0..3 {
        assert_eq!(c.submit(node, &job(&format!("wk-00000{node}"), "array", 2)), 201);
        assert_eq!(c.poll(node, "wk-000999"), "404");
    }
    let never = with(job("wk-000010", "array", 1), &[("vcpus", 5_000.0.into())]);
    assert_eq!(c.submit(1, &never), 422);
    let malformed = with(job("wk-000011", "array", 1), &[("pieces", 0.into())]);
    assert_eq!(c.submit(1, &malformed), 400);
    assert_eq!(c.submit(2, &needing(job("wk-000003", "array", 1), &["wk-000000"])), 201);
    c.run_until(20_000, "it runs", |c| c.running("wk-000002") == 2);
    assert_eq!(c.poll(1, "wk-000002"), "running");
    assert_eq!(c.submit(1, &job("wk-000002", "array", 2)), 200);
    assert_eq!(c.abort(1, "wk-000002"), 200);
    c.until_status(2, "wk-000003", "done", 20_000);
    c.journal.assert_golden("mesh-passed-on", &MESH);
    let users = [Channel::AnswersToUsers, Channel::AnswersToWorkers, Channel::ToWorkers];
    c.journal.assert_golden("mesh-passed-on-users-and-workers", &users);
}

/// Workers that the leader can't reach: their reports and its orders go by a sibling.
#[test]
fn orders_relayed_by_a_sibling() {
    let mut c = three(4);
    for name in ["vm-000001", "vm-000003"] {
        c.cut(End::Node(0), End::Worker(name.into()));
    }
    c.runs.insert("wk-000001".into(), LONG);
    c.run(3_000);
    let bound = with(job("wk-000001", "array", 4), &[("hall", "b".into())]);
    assert_eq!(c.submit(0, &bound), 201);
    c.run_until(30_000, "its tasks run", |c| c.running("wk-000001") == 4);
    // One that hangs does not answer the sibling either.
    let runs = |w: &&mut crate::worker::Worker| w.running().next().is_some();
    c.workers.values_mut().find(runs).expect("one runs the tasks").hangs = true;
    assert_eq!(c.abort(0, "wk-000001"), 200);
    c.run(10_000);
    let channels = [MESH[0], MESH[1], Channel::ToWorkers];
    c.journal.assert_golden("mesh-relayed-orders", &channels);
}

/// A zone that is cut off from the leader while the store is reached from everywhere: a sibling
/// renews its workers' leases, and orders, answers and reports go by the store. What users ask
/// there is decided past the leader.
#[test]
fn a_zone_cut_off_from_the_leader() {
    let mut c = three(4);
    for id in ["wk-000001", "wk-000002", "wk-000003", "wk-000004"] {
        c.runs.insert(id.into(), LONG);
    }
    let bound = with(job("wk-000001", "array", 2), &[("hall", "b".into())]);
    assert_eq!(c.submit(0, &bound), 201);
    assert_eq!(c.submit(0, &with(job("wk-000004", "array", 2), &[("hall", "b".into())])), 201);
    c.run_until(20_000, "they run", |c| c.running("wk-000001") + c.running("wk-000004") == 4);
    c.cut(End::Node(0), End::Node(1));
    c.cut(End::Node(2), End::Node(1));
    for name in ["vm-000001", "vm-000003"] {
        c.cut(End::Node(0), End::Worker(name.into()));
        c.cut(End::Node(2), End::Worker(name.into()));
    }
    c.run(6_000);
    let kept = |c: &mut Cluster, key: &str| c.store.keys.contains_key(key);
    assert!(kept(&mut c, "view/keeper/n1") && kept(&mut c, "view/post/n0/n1"));
    // The leader's orders for the zone.
    let more = with(job("wk-000002", "array", 2), &[("hall", "b".into())]);
    assert_eq!(c.submit(0, &more), 201);
    c.run_until(20_000, "a task is started by the store", |c| c.running("wk-000002") == 2);
    assert!(kept(&mut c, "view/post/n1/n0"));
    // Past the leader.
    assert_eq!(c.submit(1, &job("wk-000003", "array", 1)), 201);
    assert!(c.journal.text(&[Channel::ToStore]).contains("\"set\": \"inbox/wk-000003\""));
    assert_eq!(c.poll(1, "wk-000001"), "running");
    assert_eq!(c.abort(1, "wk-000001"), 200);
    c.run(6_000);
    assert_eq!(c.running("wk-000001"), 0);
    c.heal();
    c.run(20_000);
    assert!(!kept(&mut c, "view/keeper/n1"));
    let channels = [MESH[0], MESH[1], Channel::ToStore, Channel::AnswersToWorkers];
    c.journal.assert_golden("mesh-zone-cut-off", &channels);
}

/// A controller that the store does not answer passes requests on to one that it does.
#[test]
fn a_controller_without_the_store() {
    let mut c = three(2);
    c.store.refuses.insert(1);
    c.run(6_000);
    assert_eq!(c.submit(1, &job("wk-000001", "array", 1)), 201);
    assert_eq!(c.poll(1, "wk-000999"), "404");
    c.until_status(1, "wk-000001", "done", 20_000);
    c.stop(0);
    c.run(20_000);
    assert_eq!(c.metrics(2)["leads"], 1.0);
    assert_eq!(c.submit(1, &job("wk-000002", "array", 1)), 201);
    c.run(5_000);
    // Nobody has the store.
    c.store.refuses.insert(2);
    c.run(10_000);
    assert_eq!(c.submit(1, &job("wk-000003", "array", 1)), 503);
    let channels = [MESH[0], MESH[1], Channel::AnswersToUsers];
    c.journal.assert_golden("mesh-without-the-store", &channels);
}

/// Workers are sent to a controller of their zone, and back to the leader after a while.
#[test]
fn redirected_workers() {
    let mut c = three(4);
    c.workers.get_mut("vm-000001").expect("it is there").node = 0;
    c.workers.get_mut("vm-000002").expect("it is there").node = 1;
    c.run(40_000);
    c.journal.assert_golden("mesh-redirected-workers", &[Channel::AnswersToWorkers]);
}

/// The store no longer has the changes that are asked for, and lists its keys a few at a time.
#[test]
fn lists_instead_of_changes() {
    let mut c = three(2);
    c.runs.insert("wk-000001".into(), LONG);
    for id in ["wk-000001", "wk-000002", "wk-000003"] {
        assert_eq!(c.submit(0, &job(id, "array", 70)), 201);
    }
    c.store.listed_at_once = 2;
    c.store.compacted_to = u64::MAX;
    c.store.put("inbox/wk-000009", Value::Bool(false));
    c.run(5_000);
    c.store.compacted_to = 0;
    c.run(2_000);
    c.stop(0);
    c.run(10_000);
    assert_eq!(c.poll(1, "wk-000001"), c.poll(2, "wk-000001"));
    c.journal.assert_golden("mesh-lists-instead-of-changes", &[Channel::ToStore]);
}

/// A message of the second controller.
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

/// Messages as another build might send them, and such as nobody should send.
#[test]
fn messages_from_outside() {
    let mut c = three(2);
    let mut say = |body: &Value| c.ask_mesh(0, "POST", "/mesh", &encode(body)).status;
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
        (200, with(message(Value::Null), &[("unheard_of", 1.into())])),
        (400, with(message(Value::Null), &[("version", 2.into())])),
        (400, with(message(Value::Null), &[("from", "n9".into())])),
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
        assert_eq!(say(&body), wanted, "{body:?}");
    }
    for (wanted, method, target, body) in [
        (400, "POST", "/mesh", &b"\xff\x00"[..]),
        (405, "GET", "/mesh", b""),
        (405, "POST", "/metrics", b""),
        (404, "GET", "/elsewhere", b""),
        (200, "GET", "/metrics?pretty", b""),
    ] {
        assert_eq!(c.ask_mesh(0, method, target, body).status, wanted, "{method} {target}");
    }
    // The leader's own orders, told to a follower.
    let leader = with(message(forward("POST", "/orders", &orders)), &[("from", "n0".into())]);
    assert_eq!(c.ask_mesh(1, "POST", "/mesh", &encode(&leader)).status, 409);
    let malformed = message(forward("POST", "/orders", &raw!({"id" => 0})));
    let malformed = with(malformed, &[("from", "n0".into())]);
    assert_eq!(c.ask_mesh(1, "POST", "/mesh", &encode(&malformed)).status, 400);
    c.journal.assert_golden("mesh-messages-from-outside", &[Channel::AnswersToUsers]);
}

/// Who leads next: after the end of the leader, and when it is back within its lease, again and
/// again, until it gives the lead up.
#[test]
fn changes_of_the_leader() {
    let mut c = three(4);
    c.runs.insert("wk-000001".into(), LONG);
    assert_eq!(c.submit(0, &job("wk-000001", "array", 3)), 201);
    c.run_until(20_000, "its tasks run", |c| c.running("wk-000001") == 3);
    c.stop(0);
    c.run(12_000);
    let leader = if c.metrics(1)["leads"] == 1.0 { 1 } else { 2 };
    assert_eq!(c.running("wk-000001"), 3);
    c.start(0);
    c.run(4_000);
    for _ in 0..3 {
        c.stop(leader);
        c.run(300);
        c.start(leader);
        c.run(1_500);
    }
    c.run(10_000);
    assert_eq!(c.poll(0, "wk-000001"), "running");
    let channels = [MESH[0], MESH[1], Channel::ToStore, Channel::ToWorkers];
    c.journal.assert_golden("mesh-changes-of-the-leader", &channels);
}
