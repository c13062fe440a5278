//! Input validation: malformed submissions, jobs that can never run, and invalid messages. All
//! controllers give the same answer, and submissions of known jobs are never refused.

use crate::cluster::{job, job_id, spec_without_field, Cluster};
use ciborium::value::Value;
use quartzgate_wire::msg::{Forward, JobKind, JobSpec, JobStatus, MeshMessage};
use quartzgate_wire::to_cbor;

/// Returns a submission as a CBOR map in which one field is set to another value.
fn with_field(spec: &JobSpec, field: &str, value: Value) -> Value {
    let Value::Map(mut map) = spec_without_field(spec, field) else {
        unreachable!("a job is a map")
    };
    map.push((field.into(), value));
    Value::Map(map)
}

/// The type of a submission's field.
#[derive(Clone, Copy)]
enum FieldKind {
    Text,
    Count,
    Amount,
    Flag,
    // Optional fields, which may be null or absent.
    MaybeAmount,
    MaybeText,
    MaybeList,
}

/// A submission with one unusual field, and the status codes that are valid answers to it.
struct FieldCase {
    description: String,
    spec: JobSpec,
    body: Value,
    valid_statuses: &'static [u16],
}

fn text(value: &str) -> Value {
    Value::Text(value.to_string())
}

/// Returns submissions with each field absent, null and set to each invalid value, and one with an
/// unknown field.
fn field_cases(fields: &[(&str, FieldKind)]) -> Vec<FieldCase> {
    let mut last_id = 0;
    let mut next_spec = || {
        last_id += 1;
        let mut spec = job(&job_id(last_id), JobKind::Array, 1);
        spec.types = Some(vec!["k8".into()]);
        spec.zone = Some("a".into());
        spec.deadline_s = Some(60.0);
        spec
    };
    let mut cases = Vec::new();
    for (field, kind) in fields {
        let answers_if_absent = kind.answers_if_absent();
        let spec = next_spec();
        let body = spec_without_field(&spec, field);
        let description = format!("{field} missing");
        cases.push(FieldCase { description, spec, body, valid_statuses: answers_if_absent });
        let spec = next_spec();
        let body = with_field(&spec, field, Value::Null);
        let description = format!("{field} null");
        cases.push(FieldCase { description, spec, body, valid_statuses: answers_if_absent });
        for value in kind.invalid_values() {
            let spec = next_spec();
            let description = format!("{field} is {value:?}");
            let body = with_field(&spec, field, value);
            cases.push(FieldCase { description, spec, body, valid_statuses: &[400] });
        }
    }
    let spec = next_spec();
    let body = with_field(&spec, "colour", text("green"));
    let description = "an unknown field".into();
    cases.push(FieldCase { description, spec, body, valid_statuses: &[201] });
    cases
}

impl FieldKind {
    /// Returns the valid status codes for a submission in which the field is absent or null.
    fn answers_if_absent(self) -> &'static [u16] {
        match self {
            FieldKind::MaybeAmount | FieldKind::MaybeText | FieldKind::MaybeList => &[201],
            _ => &[400],
        }
    }

    /// Returns values of another type, non-finite numbers and values out of range.
    fn invalid_values(self) -> Vec<Value> {
        let mut invalid = vec![Value::Bytes(vec![1, 2]), Value::Map(Vec::new())];
        match self {
            FieldKind::Text | FieldKind::MaybeText => {
                invalid.extend([Value::from(7), text(""), text(&"x".repeat(200))])
            }
            FieldKind::Flag => invalid.extend([Value::from(1), text("true")]),
            FieldKind::Count => invalid.extend([
                Value::from(0),
                Value::from(-1),
                Value::from(100_001),
                Value::Float(1.5),
                Value::from(u64::MAX),
            ]),
            FieldKind::Amount | FieldKind::MaybeAmount => invalid.extend([
                Value::Float(-1.0),
                Value::Float(f64::NAN),
                Value::Float(f64::INFINITY),
                Value::Float(f64::NEG_INFINITY),
                Value::Float(1e300),
                text("4.0"),
            ]),
            FieldKind::MaybeList => {
                invalid.extend([text("k8"), Value::Array(vec![Value::from(1)])])
            }
        }
        invalid
    }
}

/// Submissions in which one field is absent, null, of another type, not finite or out of range get
/// 400, unless the field is optional and absent or null. They are sent to the leader, to a follower
/// and to a controller that has just started, which may answer 503 as long as it cannot tell
/// whether the job is known. Unknown fields are ignored.
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
    let mut leader_answers = Vec::new();
    for FieldCase { description, spec, body, valid_statuses } in &cases {
        cluster.jobs.insert(spec.id.clone(), spec.clone());
        let requests =
            [leader, follower].map(|n| cluster.send_request(n, "POST", "/api/jobs", to_cbor(body)));
        cluster.run_for_ms(400);
        let got = requests.map(|request| cluster.status_code(request));
        // One of two controllers that receive the same job concurrently may have to wait for the
        // other.
        let is_valid_answer = |s: &u16| {
            valid_statuses.contains(s) || valid_statuses == &[201] && matches!(s, 200 | 503)
        };
        assert!(
            got.iter().all(is_valid_answer),
            "{description}: {got:?} instead of {valid_statuses:?}"
        );
        assert!(got.iter().any(|s| valid_statuses.contains(s)), "{description}: {got:?}");
        leader_answers.push(got[0]);
    }
    assert!(leader_answers.iter().filter(|v| **v == 400).count() > 80);
    // The follower has just started and cannot reach the state service yet.
    cluster.state.refused_nodes.insert(follower);
    cluster.crash(follower);
    cluster.start_controller(follower);
    for FieldCase { description, body, valid_statuses, .. } in &cases {
        let request = cluster.send_request(follower, "POST", "/api/jobs", to_cbor(body));
        cluster.run_for_ms(60);
        let got = cluster.status_code(request);
        assert!(
            valid_statuses.contains(&got) || matches!(got, 200 | 503),
            "{description}: {got} after the restart"
        );
    }
    // Bodies that are not a CBOR map, or not CBOR at all.
    for body in [vec![0xff, 0x00], to_cbor(&7), Vec::new(), to_cbor(&"wk-000001")] {
        let request = cluster.send_request(leader, "POST", "/api/jobs", body.clone());
        cluster.run_for_ms(200);
        assert_eq!(cluster.status_code(request), 400, "{body:?}");
    }
    cluster.assert_no_violations();
}

/// A repeated submission of a known job is accepted even if a field differs, is invalid or absent:
/// by every controller, in every state of the job, with a batch record and with its own record.
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
        let expected = [JobStatus::Running, JobStatus::Done, JobStatus::Aborted];
        if case > 1 {
            // The next leader knows the jobs only from their records.
            let leader = cluster.leader().unwrap();
            cluster.crash_for_ms(leader, 200);
            cluster.run_for_ms(6_000);
        }
        for (n, status) in (1..4).zip(expected) {
            let spec = job(&format!("wk-00000{n}"), JobKind::Array, 1);
            let mut changed = spec.clone();
            (changed.cpus, changed.team, changed.tasks) = (640.0, "nobody".into(), 9);
            let bodies = [
                to_cbor(&changed),
                to_cbor(&spec_without_field(&spec, "vcpus")),
                to_cbor(&with_field(&spec, "pieces", Value::from(-3))),
                to_cbor(&with_field(&spec, "shape", Value::Text("heap".into()))),
                to_cbor(&Value::Map(vec![("ref".into(), Value::Text(spec.id.clone()))])),
            ];
            for (index, body) in bodies.into_iter().enumerate() {
                for node in 0..3 {
                    let request = cluster.send_request(node, "POST", "/api/jobs", body.clone());
                    cluster.run_for_ms(600);
                    let got = cluster.status_code(request);
                    assert_eq!(got, 200, "case {case}: repeat {index} of {} at {node}", spec.id);
                }
            }
            let observed = cluster.observed_status[&spec.id];
            assert!(observed == status || observed == JobStatus::Queued, "{observed:?}");
        }
        cluster.assert_no_violations();
    }
}

/// Every controller refuses jobs that can never run with 422: jobs without a matching team, machine
/// type or zone, jobs whose tasks must run concurrently and exceed the quota, and zone constraints
/// that permit no placement. Jobs that can run, even if only some tasks at a time, are accepted and
/// complete.
#[test]
fn unrunnable_jobs_are_refused() {
    type Change = fn(&mut JobSpec);
    let unrunnable: [(&str, Change); 12] = [
        ("an unknown team", |s| s.team = "nobody".into()),
        ("more CPUs than any machine type has", |s| s.cpus = 9.0),
        ("more memory than any machine type has", |s| s.memory_gb = 33.0),
        ("a GPU, although no machine type has one", |s| s.gpus = 1.0),
        ("an unknown machine type", |s| s.types = Some(vec!["g8".into()])),
        ("an empty list of machine types", |s| s.types = Some(Vec::new())),
        ("an unknown zone", |s| s.zone = Some("c".into())),
        ("a gang that exceeds the quota", |s| (s.kind, s.tasks) = (JobKind::Gang, 5)),
        ("a service that exceeds the quota", |s| (s.kind, s.tasks) = (JobKind::Service, 5)),
        ("a service spread over zones but bound to one zone", |s| {
            (s.kind, s.tasks, s.spread, s.zone) = (JobKind::Service, 3, true, Some("a".into()))
        }),
        ("a gang spread over zones but bound to one zone", |s| {
            (s.kind, s.tasks, s.spread, s.zone) = (JobKind::Gang, 2, true, Some("b".into()))
        }),
        ("a gang that is both together and spread", |s| {
            (s.kind, s.tasks, s.spread, s.together) = (JobKind::Gang, 2, true, true)
        }),
    ];
    let runnable: [(&str, Change); 5] = [
        ("an array whose single tasks fit the quota", |s| s.tasks = 9),
        ("an array spread over zones but bound to one zone", |s| {
            (s.tasks, s.spread, s.zone) = (3, true, Some("a".into()))
        }),
        ("an array that is both together and spread", |s| {
            (s.tasks, s.spread, s.together) = (3, true, true)
        }),
        ("one task, spread over zones but bound to one zone", |s| {
            (s.spread, s.zone) = (true, Some("a".into()))
        }),
        ("a gang that is spread", |s| (s.kind, s.tasks, s.spread) = (JobKind::Gang, 4, true)),
    ];
    let mut cluster = Cluster::activated(4, 16.0, 15_200, 1_000);
    for (description, change) in unrunnable {
        for node in 0..3 {
            let request = cluster.submit_unrunnable(node, change);
            cluster.run_for_ms(500);
            assert_eq!(cluster.status_code(request), 422, "{description}, at {node}");
        }
    }
    let ids: Vec<String> = (1..=runnable.len()).map(|n| format!("wk-00000{n}")).collect();
    for ((_, change), id) in runnable.iter().zip(&ids) {
        let mut spec = job(id, JobKind::Array, 1);
        change(&mut spec);
        cluster.submit_until_accepted(&spec);
    }
    for ((description, _), id) in runnable.iter().zip(&ids) {
        println!("{description}");
        cluster.run_until_done(id, 60_000);
    }
    cluster.assert_recovered();
}

/// Invalid heartbeats, mesh messages, mailbox records and handoff entries are refused with 400 or
/// dropped. No controller crashes, no running task is lost, and tasks that a heartbeat reports
/// without a submitted job are ignored.
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
    // The next leader reads all foreign values during its recovery.
    let leader = cluster.leader().unwrap();
    cluster.crash_for_ms(leader, 200);
    cluster.run_for_ms(10_000);
    assert!((0..3).all(|n| cluster.is_up(n)));
    assert_eq!(cluster.live_tasks("wk-000001").len(), 3);
    assert_eq!(cluster.task_starts, starts, "a task was started again");
    cluster.submit_until_accepted(&job("wk-000002", JobKind::Array, 2));
    cluster.run_until_done("wk-000002", 20_000);
    cluster.assert_recovered();
}

/// Returns an encoded heartbeat in which one field is set to another value or absent.
fn heartbeat_with(heartbeat: &Value, field: &str, value: Option<Value>) -> Vec<u8> {
    let Value::Map(mut map) = heartbeat.clone() else { unreachable!("a heartbeat is a map") };
    map.retain(|(key, _)| key.as_text() != Some(field));
    map.extend(value.map(|value| (text(field), value)));
    to_cbor(&Value::Map(map))
}

/// Sends a heartbeat to all controllers and returns the status codes of their answers.
fn send_heartbeat_to_all(cluster: &mut Cluster, body: &[u8]) -> [u16; 3] {
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
    for (index, body) in invalid.iter().enumerate() {
        assert_eq!(send_heartbeat_to_all(cluster, body), [400; 3], "heartbeat {index}");
    }
}

/// Sends well-formed heartbeats with tasks of unknown jobs, invalid task names and duplicate tasks.
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
    for (index, tasks) in odd.into_iter().enumerate() {
        let body = heartbeat_with(heartbeat, "pieces", Some(Value::Array(tasks)));
        let got = send_heartbeat_to_all(cluster, &body);
        assert!(got.iter().all(|s| matches!(s, 200 | 400 | 421)), "odd heartbeat {index}: {got:?}");
        cluster.run_for_ms(3_000);
        assert_eq!(cluster.live_tasks("wk-000001").len(), 3, "odd heartbeat {index}");
    }
}

/// Sends malformed mesh messages, messages of another version or from an unknown sender, and
/// forwarded requests with paths that are invalid or not permitted, such as orders from a follower.
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
    for (index, body) in invalid.into_iter().enumerate() {
        let status = cluster.send_mesh_request(node, "/mesh", body);
        assert_eq!(status, Some(400), "mesh message {index} to n{node}");
    }
    assert_eq!(cluster.send_mesh_request(node, "/elsewhere", Vec::new()), Some(404));
}

/// Writes values that controllers cannot read to mailbox, handoff, lease proxy and member
/// keys.
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
