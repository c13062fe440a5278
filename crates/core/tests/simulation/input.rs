//! What is refused, and how: one table over every field of a submission, and jobs that can never
//! run. The same verdict from every controller; what is known is never refused.

use crate::world::{job, without, World};
use ciborium::value::Value;
use quartzgate_wire::msg::{Forward, JobSpec, JobStatus, MeshMessage, Shape};
use quartzgate_wire::to_cbor;

fn with(spec: &JobSpec, field: &str, value: Value) -> Value {
    let Value::Map(mut map) = without(spec, field) else { unreachable!("a job is a map") };
    map.push((field.into(), value));
    Value::Map(map)
}

/// What a field may be, as far as the table goes.
#[derive(Clone, Copy)]
enum Kind {
    Text,
    Count,
    Amount,
    Flag,
    /// These may be null or left out.
    MaybeAmount,
    MaybeText,
    MaybeList,
}

/// Guards the answers to malformed submissions: every field missing, null, of another type, not
/// finite and out of range, from the leader and a follower, and the same from a controller that has
/// just begun, which says 503 while it can't know. Unknown fields are ignored.
#[test]
fn every_field_of_a_submission_is_looked_at() {
    use Kind::*;
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
    let text = |t: &str| Value::Text(t.to_string());
    let mut w = World::new(3, 4, 0.0, 15_000);
    w.until(20_000, "all steps are taken", |w| w.stands().version >= 4);
    w.run(1_000);
    let mut next = 0;
    let mut fresh = || {
        next += 1;
        let mut spec = job(&format!("wk-{next:06}"), Shape::Array, 1);
        (spec.types, spec.zone, spec.deadline_s) =
            (Some(vec!["k8".into()]), Some("a".into()), Some(60.0));
        spec
    };
    let mut cases: Vec<(String, JobSpec, Value, &[u16])> = Vec::new();
    for (field, kind) in fields {
        let may_be_null = matches!(kind, MaybeAmount | MaybeText | MaybeList);
        let absent: &[u16] = if may_be_null { &[201] } else { &[400] };
        let spec = fresh();
        cases.push((format!("{field} missing"), spec.clone(), without(&spec, field), absent));
        let spec = fresh();
        cases.push((
            format!("{field} null"),
            spec.clone(),
            with(&spec, field, Value::Null),
            absent,
        ));
        let mut wrong = vec![Value::Bytes(vec![1, 2]), Value::Map(Vec::new())];
        match kind {
            Text | MaybeText => wrong.extend([Value::from(7), text(""), text(&"x".repeat(200))]),
            Flag => wrong.extend([Value::from(1), text("true")]),
            Count => wrong.extend([
                Value::from(0),
                Value::from(-1),
                Value::from(100_001),
                Value::Float(1.5),
                Value::from(u64::MAX),
            ]),
            Amount | MaybeAmount => wrong.extend([
                Value::Float(-1.0),
                Value::Float(f64::NAN),
                Value::Float(f64::INFINITY),
                Value::Float(f64::NEG_INFINITY),
                Value::Float(1e300),
                text("4.0"),
            ]),
            MaybeList => wrong.extend([text("k8"), Value::Array(vec![Value::from(1)])]),
        }
        for value in wrong {
            let spec = fresh();
            let said = format!("{field} is {value:?}");
            cases.push((said, spec.clone(), with(&spec, field, value), &[400]));
        }
    }
    let spec = fresh();
    let more = with(&spec, "colour", text("green"));
    cases.push(("an unknown field".into(), spec, more, &[201]));
    let (follower, leader) = ((w.leader().unwrap() + 1) % 3, w.leader().unwrap());
    let mut verdicts = Vec::new();
    for (said, spec, body, wanted) in &cases {
        w.jobs.insert(spec.id.clone(), spec.clone());
        let asks = [leader, follower].map(|n| w.ask(n, "POST", "/api/jobs", to_cbor(body)));
        w.run(400);
        let got = asks.map(|a| w.status(a));
        // One of two that are asked at once may have to wait for the other.
        let fits = |s: &u16| wanted.contains(s) || wanted == &[201] && matches!(s, 200 | 503);
        assert!(got.iter().all(fits), "{said}: {got:?} instead of {wanted:?}");
        assert!(got.iter().any(|s| wanted.contains(s)), "{said}: {got:?}");
        verdicts.push(got[0]);
    }
    assert!(verdicts.iter().filter(|v| **v == 400).count() > 80);
    // One that has just begun, and can't reach the state service yet.
    w.state.refuses.insert(follower);
    w.kill(follower);
    w.start(follower);
    for (said, _, body, wanted) in &cases {
        let ask = w.ask(follower, "POST", "/api/jobs", to_cbor(body));
        w.run(60);
        let got = w.status(ask);
        assert!(
            wanted.contains(&got) || matches!(got, 200 | 503),
            "{said}: {got} at the beginning"
        );
    }
    // What is no map, or no CBOR at all.
    for body in [vec![0xff, 0x00], to_cbor(&7), Vec::new(), to_cbor(&"wk-000001")] {
        let ask = w.ask(leader, "POST", "/api/jobs", body.clone());
        w.run(200);
        assert_eq!(w.status(ask), 400, "{body:?}");
    }
    w.keep_rules();
}

/// Guards a job that is known against a repeat that says something else, or lacks a field: it is
/// never refused, whoever is asked, however the job stands; in a page or in a record of its own.
#[test]
fn a_repeat_of_a_known_job_is_never_refused() {
    for case in 0..4u64 {
        let mut w = World::new(3, 4, 0.0, 15_100 + case);
        w.start_paged(case % 2 == 0);
        w.run_ms = [("wk-000001".into(), 600_000), ("wk-000003".into(), 600_000)].into();
        for n in 1..4 {
            w.submit_surely(&job(&format!("wk-00000{n}"), Shape::Array, 1));
        }
        w.until_done("wk-000002", 20_000);
        w.abort_surely("wk-000003");
        let wanted = [JobStatus::Running, JobStatus::Done, JobStatus::Aborted];
        if case > 1 {
            // Whoever leads now has read the records only.
            let leader = w.leader().unwrap();
            w.kill_for(leader, 200);
            w.run(6_000);
        }
        for (n, status) in (1..4).zip(wanted) {
            let spec = job(&format!("wk-00000{n}"), Shape::Array, 1);
            let mut other = spec.clone();
            (other.cpus, other.team, other.tasks) = (640.0, "nobody".into(), 9);
            let bodies = [
                to_cbor(&other),
                to_cbor(&without(&spec, "vcpus")),
                to_cbor(&with(&spec, "pieces", Value::from(-3))),
                to_cbor(&with(&spec, "shape", Value::Text("heap".into()))),
                to_cbor(&Value::Map(vec![("ref".into(), Value::Text(spec.id.clone()))])),
            ];
            for (at, body) in bodies.into_iter().enumerate() {
                for node in 0..3 {
                    let ask = w.ask(node, "POST", "/api/jobs", body.clone());
                    w.run(600);
                    let got = w.status(ask);
                    assert_eq!(got, 200, "case {case}: repeat {at} of {} at {node}", spec.id);
                }
            }
            let told = w.told[&spec.id];
            assert!(told == status || told == JobStatus::Queued, "{told:?}");
        }
        w.keep_rules();
    }
}

/// Guards against accepting what can never run (422): no team, type or zone that fits, a limit that
/// is too low for what must run at once, and zones' rules that leave no place; the same at every
/// controller. What can run, be it a part at a time, is taken and is done.
#[test]
fn what_can_never_run_is_not_taken() {
    type Change = fn(&mut JobSpec);
    let never: [(&str, Change); 12] = [
        ("an unknown team", |s| s.team = "nobody".into()),
        ("more than any machine", |s| s.cpus = 9.0),
        ("more memory than any", |s| s.memory_gb = 33.0),
        ("a GPU where there is none", |s| s.gpus = 1.0),
        ("an unknown type", |s| s.types = Some(vec!["g8".into()])),
        ("no type at all", |s| s.types = Some(Vec::new())),
        ("an unknown zone", |s| s.zone = Some("c".into())),
        ("a gang above the limit", |s| (s.shape, s.tasks) = (Shape::Gang, 5)),
        ("a service above the limit", |s| (s.shape, s.tasks) = (Shape::Service, 5)),
        ("a service spread in one zone", |s| {
            (s.shape, s.tasks, s.spread, s.zone) = (Shape::Service, 3, true, Some("a".into()))
        }),
        ("a gang spread in one zone", |s| {
            (s.shape, s.tasks, s.spread, s.zone) = (Shape::Gang, 2, true, Some("b".into()))
        }),
        ("a gang together and spread", |s| {
            (s.shape, s.tasks, s.spread, s.together) = (Shape::Gang, 2, true, true)
        }),
    ];
    let fine: [(&str, Change); 5] = [
        ("an array of which one fits the limit", |s| s.tasks = 9),
        ("an array spread in one zone", |s| {
            (s.tasks, s.spread, s.zone) = (3, true, Some("a".into()))
        }),
        ("an array together and spread", |s| (s.tasks, s.spread, s.together) = (3, true, true)),
        ("one task, spread, in one zone", |s| (s.spread, s.zone) = (true, Some("a".into()))),
        ("a gang that is spread", |s| (s.shape, s.tasks, s.spread) = (Shape::Gang, 4, true)),
    ];
    let mut w = World::new(3, 4, 16.0, 15_200);
    w.until(20_000, "all steps are taken", |w| w.stands().version >= 4);
    w.run(1_000);
    for (said, change) in never {
        for node in 0..3 {
            let ask = w.submit_never(node, change);
            w.run(500);
            assert_eq!(w.status(ask), 422, "{said}, at {node}");
        }
    }
    let ids: Vec<String> = (1..=fine.len()).map(|n| format!("wk-00000{n}")).collect();
    for ((_, change), id) in fine.iter().zip(&ids) {
        let mut spec = job(id, Shape::Array, 1);
        change(&mut spec);
        w.submit_surely(&spec);
    }
    for ((said, _), id) in fine.iter().zip(&ids) {
        println!("{said}");
        w.until_done(id, 60_000);
    }
    w.all_is_well();
}

/// Guards the process, and what it holds for proven, against reports, mesh messages, mailboxes and
/// notes that make no sense: 400, or dropped; nobody ends, no running task is lost for it, and none
/// that a report invents is taken for real.
#[test]
fn what_makes_no_sense_is_refused_and_proves_nothing() {
    let mut w = World::new(3, 4, 0.0, 15_300);
    w.until(20_000, "all steps are taken", |w| w.stands().version >= 4);
    w.run(1_000);
    w.run_ms = [("wk-000001".into(), 600_000)].into();
    w.submit_surely(&job("wk-000001", Shape::Service, 3));
    w.until(20_000, "it runs", |w| w.on("wk-000001").len() == 3);
    let starts = w.starts.clone();
    let text = |t: &str| Value::Text(t.to_string());
    let good = Value::serialized(&w.report_of("vm-000000").unwrap()).unwrap();
    let changed = |field: &str, value: Option<Value>| {
        let Value::Map(mut map) = good.clone() else { unreachable!("a report is a map") };
        map.retain(|(k, _)| k.as_text() != Some(field));
        map.extend(value.map(|v| (text(field), v)));
        to_cbor(&Value::Map(map))
    };
    let senseless = [
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
    let ask_all = |w: &mut World, body: &[u8]| {
        let asks = [0, 1, 2].map(|n| w.ask(n, "POST", "/checkin", body.to_vec()));
        w.run(300);
        asks.map(|a| w.status(a))
    };
    for (at, body) in senseless.iter().enumerate() {
        assert_eq!(ask_all(&mut w, body), [400; 3], "report {at}");
    }
    // Well-formed, and contradictory: tasks that nobody submitted, that can't be, twice over.
    let piece = |name: &str, attempt: u64, status: &str| {
        Value::Map(vec![
            (text("piece"), text(name)),
            (text("try"), Value::from(attempt)),
            (text("status"), text(status)),
        ])
    };
    let odd = [
        vec![piece("wk-777777/0", 1, "running")],
        vec![piece("nonsense", 1, "running"), piece("wk-000001/", 1, "running")],
        vec![piece("wk-000001/99999999999", 1, "running"), piece("wk-000001/77", 1, "exited")],
        vec![piece("wk-000001/0", 1, "running"), piece("wk-000001/0", 2, "running")],
    ];
    for (at, pieces) in odd.into_iter().enumerate() {
        let body = changed("pieces", Some(Value::Array(pieces)));
        let got = ask_all(&mut w, &body);
        assert!(got.iter().all(|s| matches!(s, 200 | 400 | 421)), "odd report {at}: {got:?}");
        w.run(3_000);
        assert_eq!(w.on("wk-000001").len(), 3, "odd report {at}");
    }
    // The mesh: no message, another version, nobody we know, orders of one that does not lead.
    let message = |from: &str, version: u32, path: Option<&str>| {
        let forward = path.map(|p| Forward {
            method: "POST".into(),
            path: p.into(),
            body: to_cbor(&"no letter"),
        });
        to_cbor(&MeshMessage { version, from: from.into(), epoch: 0, has_state: true, forward })
    };
    for node in 0..3 {
        let sibling = format!("n{}", (node + 1) % 3);
        let cases = [
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
        for (at, body) in cases.into_iter().enumerate() {
            assert_eq!(w.mesh(node, "/mesh", body), Some(400), "mesh message {at} to n{node}");
        }
        assert_eq!(w.mesh(node, "/elsewhere", Vec::new()), Some(404));
    }
    // What stands in the state service and is none of ours: mailboxes, notes, words, claims.
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
            w.put(key, value);
            w.run(200);
        }
    }
    w.run(3_000);
    // Whoever leads next meets all of it at once.
    let leader = w.leader().unwrap();
    w.kill_for(leader, 200);
    w.run(10_000);
    assert!((0..3).all(|n| w.is_up(n)));
    assert_eq!(w.on("wk-000001").len(), 3);
    assert_eq!(w.starts, starts, "nothing had to be started again");
    w.submit_surely(&job("wk-000002", Shape::Array, 2));
    w.until_done("wk-000002", 20_000);
    w.all_is_well();
}
