//! Input validation: malformed submissions, jobs that can never run, and invalid messages. Every
//! controller gives the same answer, and known jobs are never refused.

use crate::cluster::{job, job_id, spec_without_field, Cluster};
use ciborium::value::Value;
use quartzgate_wire::msg::{Forward, JobKind, JobSpec, JobStatus, MeshMessage};
use quartzgate_wire::to_cbor;

/// A submission as a map, with another value of one field.
fn with(spec: &JobSpec, field: &str, value: Value) -> Value {
    let Value::Map(mut map) = spec_without_field(spec, field) else {
        unreachable!("a job is a map")
    };
    map.push((field.into(), value));
    Value::Map(map)
}

/// What a field of a submission may be.
#[derive(Clone, Copy)]
enum FieldKind {
    Text,
    Count,
    Amount,
    Flag,
    /// The following kinds may be null or missing.
    MaybeAmount,
    MaybeText,
    MaybeList,
}

/// A submission with one unusual field, and the statuses that may answer it.
struct FieldCase {
    description: String,
    spec: JobSpec,
    body: Value,
    wanted: &'static [u16],
}

fn text(value: &str) -> Value {
    Value::Text(value.to_string())
}

/// Every field missing, null and with each wrong value; and an unknown field.
fn field_cases(fields: &[(&str, FieldKind)]) -> Vec<FieldCase> {
    let mut next = 0;
    let mut fresh = || {
        next += 1;
        let mut spec = job(&job_id(next), JobKind::Array, 1);
        spec.types = Some(vec!["k8".into()]);
        spec.zone = Some("a".into());
        spec.deadline_s = Some(60.0);
        spec
    };
    let mut cases = Vec::new();
    for (field, kind) in fields {
        let absent = kind.answers_to_absence();
        let spec = fresh();
        let body = spec_without_field(&spec, field);
        let description = format!("{field} missing");
        cases.push(FieldCase { description, spec, body, wanted: absent });
        let spec = fresh();
        let body = with(&spec, field, Value::Null);
        let description = format!("{field} null");
        cases.push(FieldCase { description, spec, body, wanted: absent });
        for value in kind.wrong_values() {
            let spec = fresh();
            let description = format!("{field} is {value:?}");
            let body = with(&spec, field, value);
            cases.push(FieldCase { description, spec, body, wanted: &[400] });
        }
    }
    let spec = fresh();
    let body = with(&spec, "colour", text("green"));
    let description = "an unknown field".into();
    cases.push(FieldCase { description, spec, body, wanted: &[201] });
    cases
}

impl FieldKind {
    /// Statuses that may answer a submission without the field, or with null for it.
    fn answers_to_absence(self) -> &'static [u16] {
        match self {
            FieldKind::MaybeAmount | FieldKind::MaybeText | FieldKind::MaybeList => &[201],
            _ => &[400],
        }
    }

    /// Values of another type, not finite or out of range.
    fn wrong_values(self) -> Vec<Value> {
        let mut wrong = vec![Value::Bytes(vec![1, 2]), Value::Map(Vec::new())];
        match self {
            FieldKind::Text | FieldKind::MaybeText => {
                wrong.extend([Value::from(7), text(""), text(&"x".repeat(200))])
            }
            FieldKind::Flag => wrong.extend([Value::from(1), text("true")]),
            FieldKind::Count => wrong.extend([
                Value::from(0),
                Value::from(-1),
                Value::from(100_001),
                Value::Float(1.5),
                Value::from(u64::MAX),
            ]),
            FieldKind::Amount | FieldKind::MaybeAmount => wrong.extend([
                Value::Float(-1.0),
                Value::Float(f64::NAN),
                Value::Float(f64::INFINITY),
                Value::Float(f64::NEG_INFINITY),
                Value::Float(1e300),
                text("4.0"),
            ]),
            FieldKind::MaybeList => wrong.extend([text("k8"), Value::Array(vec![Value::from(1)])]),
        }
        wrong
    }
}

/// Every field of a submission missing, null, of another type, not finite and out of range, sent
/// to the leader and to a follower, and to a controller that has just started, which may answer
/// 503 while it cannot know. Unknown fields are ignored.
#[test]
fn malformed_submission_fields_are_refused() {
    use FieldKind::*;
    let fields = [
        ("ref", Text),
        ("job_class", Text),
        ("owner", Text),
        ("shape", Text),
        ("rank", Text),
        ("pieces", Count),
        ("vcpus", Amount),
        ("gpus", Amount),
        ("ram_gb", Amount),
        ("bundle", Text),
        ("image_gb", Amount),
        ("host_types", MaybeList),
        ("hall", MaybeText),
        ("together", Flag),
        ("spread", Flag),
        ("loaners", Flag),
        ("expected_s", Amount),
        ("snapshot_every_s", Amount),
        ("snapshot_cost_s", Amount),
        ("due_s", MaybeAmount),
    ];
    let mut cluster = Cluster::activated(4, 0.0, 15_000, 1_000);
    let cases = field_cases(&fields);
    let (follower, leader) = ((cluster.leader().unwrap() + 1) % 3, cluster.leader().unwrap());
    let mut verdicts = Vec::new();
    for FieldCase { description, spec, body, wanted } in &cases {
        cluster.jobs.insert(spec.id.clone(), spec.clone());
        let requests =
            [leader, follower].map(|n| cluster.send_request(n, "POST", "/api/jobs", to_cbor(body)));
        cluster.run_for_ms(400);
        let got = requests.map(|a| cluster.status_code(a));
        // Of two controllers that are asked at once, one may have to wait for the other.
        let fits = |s: &u16| wanted.contains(s) || wanted == &[201] && matches!(s, 200 | 503);
        assert!(got.iter().all(fits), "{description}: {got:?} instead of {wanted:?}");
        assert!(got.iter().any(|s| wanted.contains(s)), "{description}: {got:?}");
        verdicts.push(got[0]);
    }
    assert!(verdicts.iter().filter(|v| **v == 400).count() > 80);
    // A controller that has just started and cannot reach the state service yet.
    cluster.state.refused_nodes.insert(follower);
    cluster.crash(follower);
    cluster.start_controller(follower);
    for FieldCase { description, body, wanted, .. } in &cases {
        let request = cluster.send_request(follower, "POST", "/api/jobs", to_cbor(body));
        cluster.run_for_ms(60);
        let got = cluster.status_code(request);
        assert!(
            wanted.contains(&got) || matches!(got, 200 | 503),
            "{description}: {got} at the beginning"
        );
    }
    // Bodies that are no map, or no CBOR at all.
    for body in [vec![0xff, 0x00], to_cbor(&7), Vec::new(), to_cbor(&"wk-000001")] {
        let request = cluster.send_request(leader, "POST", "/api/jobs", body.clone());
        cluster.run_for_ms(200);
        assert_eq!(cluster.status_code(request), 400, "{body:?}");
    }
    cluster.check_invariants();
}

/// A repeated submission of a known job that differs or lacks a field is never refused, by any
/// controller and in any state of the job, whether its record is batched or its own.
#[test]
fn malformed_repeat_of_a_known_job_is_accepted() {
    for case in 0..4u64 {
        let mut cluster = Cluster::new(3, 4, 0.0, 15_100 + case);
        cluster.restart_with_job_batches(case % 2 == 0);
        cluster.task_duration_ms =
            [("wk-000001".into(), 600_000), ("wk-000003".into(), 600_000)].into();
        for n in 1..4 {
            cluster.submit_until_accepted(&job(&format!("wk-00000{n}"), JobKind::Array, 1));
        }
        cluster.run_until_done("wk-000002", 20_000);
        cluster.abort_until_confirmed("wk-000003");
        let wanted = [JobStatus::Running, JobStatus::Done, JobStatus::Aborted];
        if case > 1 {
            // The next leader knows the jobs only from the records.
            let leader = cluster.leader().unwrap();
            cluster.crash_for_ms(leader, 200);
            cluster.run_for_ms(6_000);
        }
        for (n, status) in (1..4).zip(wanted) {
            let spec = job(&format!("wk-00000{n}"), JobKind::Array, 1);
            let mut other = spec.clone();
            (other.cpus, other.team, other.tasks) = (640.0, "nobody".into(), 9);
            let bodies = [
                to_cbor(&other),
                to_cbor(&spec_without_field(&spec, "vcpus")),
                to_cbor(&with(&spec, "pieces", Value::from(-3))),
                to_cbor(&with(&spec, "shape", Value::Text("heap".into()))),
                to_cbor(&Value::Map(vec![("ref".into(), Value::Text(spec.id.clone()))])),
            ];
            for (at, body) in bodies.into_iter().enumerate() {
                for node in 0..3 {
                    let request = cluster.send_request(node, "POST", "/api/jobs", body.clone());
                    cluster.run_for_ms(600);
                    let got = cluster.status_code(request);
                    assert_eq!(got, 200, "case {case}: repeat {at} of {} at {node}", spec.id);
                }
            }
            let observed = cluster.observed_status[&spec.id];
            assert!(observed == status || observed == JobStatus::Queued, "{observed:?}");
        }
        cluster.check_invariants();
    }
}

/// Jobs that can never run are refused with 422 by every controller: no matching team, machine
/// type or zone, a quota too low for what must run at once, and zone constraints that leave no
/// placement. Jobs that can run, be it a part at a time, are accepted and completed.
#[test]
fn unrunnable_jobs_are_refused() {
    type Change = fn(&mut JobSpec);
    let never: [(&str, Change); 12] = [
        ("an unknown team", |s| s.team = "nobody".into()),
        ("more than any machine", |s| s.cpus = 9.0),
        ("more memory than any", |s| s.memory_gb = 33.0),
        ("a GPU where there is none", |s| s.gpus = 1.0),
        ("an unknown type", |s| s.types = Some(vec!["g8".into()])),
        ("no type at all", |s| s.types = Some(Vec::new())),
        ("an unknown zone", |s| s.zone = Some("c".into())),
        ("a gang above the limit", |s| (s.shape, s.tasks) = (JobKind::Gang, 5)),
        ("a service above the limit", |s| (s.shape, s.tasks) = (JobKind::Service, 5)),
        ("a service spread in one zone", |s| {
            (s.shape, s.tasks, s.spread, s.zone) = (JobKind::Service, 3, true, Some("a".into()))
        }),
        ("a gang spread in one zone", |s| {
            (s.shape, s.tasks, s.spread, s.zone) = (JobKind::Gang, 2, true, Some("b".into()))
        }),
        ("a gang together and spread", |s| {
            (s.shape, s.tasks, s.spread, s.together) = (JobKind::Gang, 2, true, true)
        }),
    ];
    let fine: [(&str, Change); 5] = [
        ("an array of which one fits the limit", |s| s.tasks = 9),
        ("an array spread in one zone", |s| {
            (s.tasks, s.spread, s.zone) = (3, true, Some("a".into()))
        }),
        ("an array together and spread", |s| (s.tasks, s.spread, s.together) = (3, true, true)),
        ("one task, spread, in one zone", |s| (s.spread, s.zone) = (true, Some("a".into()))),
        ("a gang that is spread", |s| (s.shape, s.tasks, s.spread) = (JobKind::Gang, 4, true)),
    ];
    let mut cluster = Cluster::activated(4, 16.0, 15_200, 1_000);
    for (description, change) in never {
        for node in 0..3 {
            let request = cluster.submit_unrunnable(node, change);
            cluster.run_for_ms(500);
            assert_eq!(cluster.status_code(request), 422, "{description}, at {node}");
        }
    }
    let ids: Vec<String> = (1..=fine.len()).map(|n| format!("wk-00000{n}")).collect();
    for ((_, change), id) in fine.iter().zip(&ids) {
        let mut spec = job(id, JobKind::Array, 1);
        change(&mut spec);
        cluster.submit_until_accepted(&spec);
    }
    for ((description, _), id) in fine.iter().zip(&ids) {
        println!("{description}");
        cluster.run_until_done(id, 60_000);
    }
    cluster.assert_recovered();
}

/// Invalid heartbeats, mesh messages, mailboxes and handoff entries are refused with 400 or
/// dropped: no process ends, no running task is lost, and no task that a heartbeat invents is
/// believed.
#[test]
fn invalid_messages_are_refused_and_change_nothing() {
    let mut cluster = Cluster::activated(4, 0.0, 15_300, 1_000);
    cluster.task_duration_ms = [("wk-000001".into(), 600_000)].into();
    cluster.submit_until_accepted(&job("wk-000001", JobKind::Service, 3));
    cluster.run_until_running(20_000, "wk-000001", 3);
    let starts = cluster.task_starts.clone();
    let heartbeat = Value::serialized(&cluster.heartbeat_of("vm-000000").unwrap()).unwrap();
    assert_invalid_heartbeats_are_refused(&mut cluster, &heartbeat);
    assert_odd_heartbeats_change_nothing(&mut cluster, &heartbeat);
    (0..3).for_each(|node| assert_invalid_mesh_messages_are_refused(&mut cluster, node));
    write_foreign_values(&mut cluster);
    cluster.run_for_ms(3_000);
    // The next leader reads all of them during recovery.
    let leader = cluster.leader().unwrap();
    cluster.crash_for_ms(leader, 200);
    cluster.run_for_ms(10_000);
    assert!((0..3).all(|n| cluster.is_up(n)));
    assert_eq!(cluster.live_tasks("wk-000001").len(), 3);
    assert_eq!(cluster.task_starts, starts, "no task had to start again");
    cluster.submit_until_accepted(&job("wk-000002", JobKind::Array, 2));
    cluster.run_until_done("wk-000002", 20_000);
    cluster.assert_recovered();
}

/// A heartbeat with another value of one field, or without it.
fn heartbeat_with(heartbeat: &Value, field: &str, value: Option<Value>) -> Vec<u8> {
    let Value::Map(mut map) = heartbeat.clone() else { unreachable!("a heartbeat is a map") };
    map.retain(|(key, _)| key.as_text() != Some(field));
    map.extend(value.map(|value| (text(field), value)));
    to_cbor(&Value::Map(map))
}

/// Sends a heartbeat to all controllers; the statuses of their answers.
fn check_in_everywhere(cluster: &mut Cluster, body: &[u8]) -> [u16; 3] {
    let requests =
        [0, 1, 2].map(|node| cluster.send_request(node, "POST", "/checkin", body.to_vec()));
    cluster.run_for_ms(300);
    requests.map(|request| cluster.status_code(request))
}

fn assert_invalid_heartbeats_are_refused(cluster: &mut Cluster, heartbeat: &Value) {
    let changed = |field: &str, value: Option<Value>| heartbeat_with(heartbeat, field, value);
    let invalid = [
        vec![0xff],
        to_cbor(&7),
        changed("host", None),
        changed("host", Some(text(""))),
        changed("host", Some(text(&"x".repeat(300)))),
        changed("addr", Some(text("nowhere"))),
        changed("tenure", Some(Value::from(0))),
        changed("tenure", Some(Value::from(-1))),
        changed("tally", None),
        changed("baton", Some(text("7"))),
        changed("recall_s", Some(Value::Float(f64::NAN))),
        changed("recall_s", Some(Value::Float(-5.0))),
        changed("pieces", Some(Value::from(3))),
        changed("pieces", Some(Value::Array(vec![Value::Map(Vec::new())]))),
    ];
    for (at, body) in invalid.iter().enumerate() {
        assert_eq!(check_in_everywhere(cluster, body), [400; 3], "heartbeat {at}");
    }
}

/// Well-formed heartbeats with tasks that nobody submitted, impossible names, and duplicates.
fn assert_odd_heartbeats_change_nothing(cluster: &mut Cluster, heartbeat: &Value) {
    let task = |name: &str, attempt: u64, status: &str| {
        Value::Map(vec![
            (text("piece"), text(name)),
            (text("try"), Value::from(attempt)),
            (text("status"), text(status)),
        ])
    };
    let odd = [
        vec![task("wk-777777/0", 1, "running")],
        vec![task("nonsense", 1, "running"), task("wk-000001/", 1, "running")],
        vec![task("wk-000001/99999999999", 1, "running"), task("wk-000001/77", 1, "exited")],
        vec![task("wk-000001/0", 1, "running"), task("wk-000001/0", 2, "running")],
    ];
    for (at, tasks) in odd.into_iter().enumerate() {
        let body = heartbeat_with(heartbeat, "pieces", Some(Value::Array(tasks)));
        let got = check_in_everywhere(cluster, &body);
        assert!(got.iter().all(|s| matches!(s, 200 | 400 | 421)), "odd heartbeat {at}: {got:?}");
        cluster.run_for_ms(3_000);
        assert_eq!(cluster.live_tasks("wk-000001").len(), 3, "odd heartbeat {at}");
    }
}

/// Mesh messages that are none, of another version or an unknown sender, and orders from a
/// follower.
fn assert_invalid_mesh_messages_are_refused(cluster: &mut Cluster, node: usize) {
    let message = |from: &str, version: u32, path: Option<&str>| {
        let forward = path.map(|path| Forward {
            method: "POST".into(),
            path: path.into(),
            body: to_cbor(&"no letter"),
        });
        to_cbor(&MeshMessage {
            version,
            from: from.into(),
            epoch: 0,
            store_reachable: true,
            forward,
        })
    };
    let sibling = format!("n{}", (node + 1) % 3);
    let invalid = [
        vec![0xff, 0x01],
        to_cbor(&"hello"),
        message("n9", 1, None),
        message(&sibling, 77, None),
        message(&sibling, 1, Some("/aborted/")),
        message(&sibling, 1, Some("/aborted/wk-1/x")),
        message(&sibling, 1, Some("/orders")),
        message(&sibling, 1, Some("/checkin")),
        message(&sibling, 1, Some("/api/jobs")),
    ];
    for (at, body) in invalid.into_iter().enumerate() {
        let status = cluster.send_mesh_request(node, "/mesh", body);
        assert_eq!(status, Some(400), "mesh message {at} to n{node}");
    }
    assert_eq!(cluster.send_mesh_request(node, "/elsewhere", Vec::new()), Some(404));
}

/// Writes foreign values: mailboxes, handoff entries, claims, member keys.
fn write_foreign_values(cluster: &mut Cluster) {
    let keys = [
        "view/post/n0/n1",
        "view/post/n1/n0",
        "view/post/n2/n9",
        "view/post/",
        "inbox/x",
        "inbox/wk-5",
        "view/keeper/n9",
        "members/n7",
    ];
    for key in keys {
        for value in [text("x"), Value::Null, Value::Array(vec![Value::from(1)])] {
            cluster.overwrite_key(key, value);
            cluster.run_for_ms(200);
        }
    }
}
