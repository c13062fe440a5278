//! Hostile input: whatever bytes come, the codec answers with a message, with "not yet"
//! or with an error. The generator's seed is fixed, so the verdict is too.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use quartzgate_wire::http::{
    parse_request, parse_request_within, parse_response, write_request, write_response, HttpError,
    Response, MAX_BODY, MAX_MESH_BODY,
};
use quartzgate_wire::msg::{
    CloudStatus, Forward, Heartbeat, JobKind, JobSpec, ListedMachine, MachineList, MeshMessage,
    MESH_VERSION,
};
use quartzgate_wire::{from_cbor, to_cbor};

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

fn value() -> ciborium::value::Value {
    use ciborium::value::Value as V;
    let field = |k: &str, v: V| (V::Text(k.into()), v);
    V::Map(vec![
        field("ref", V::Text("wk-000412".into())),
        field("job_class", V::Text("train".into())),
        field("owner", V::Text("vision".into())),
        field("shape", V::Text("array".into())),
        field("rank", V::Text("urgent".into())),
        field("pieces", V::Integer(16.into())),
        field("vcpus", V::Float(8.0)),
        field("gpus", V::Integer(1.into())),
        field("ram_gb", V::Float(64.0)),
        field("bundle", V::Text("img-07".into())),
        field("image_gb", V::Float(6.2)),
        field("host_types", V::Null),
        field("together", V::Bool(true)),
        field("spread", V::Bool(false)),
        field("loaners", V::Bool(true)),
        field("expected_s", V::Float(240.0)),
        field("snapshot_every_s", V::Float(30.0)),
        field("snapshot_cost_s", V::Float(4.0)),
        field("due_s", V::Null),
        field("not_of_ours", V::Array(vec![])),
    ])
}

fn parse(v: &ciborium::value::Value) -> Result<JobSpec, String> {
    let spec: JobSpec = from_cbor(&to_cbor(v)).map_err(|e| e.to_string())?;
    spec.check().map_err(|e| e.to_string())?;
    Ok(spec)
}

/// Guards the process against any bytes at all.
#[test]
fn arbitrary_bytes_never_panic() {
    runner(4_000)
        .run(&prop::collection::vec(any::<u8>(), 0..300), |bytes| {
            let _ = parse_request(&bytes);
            let _ = parse_response(&bytes);
            let _ = from_cbor::<JobSpec>(&bytes);
            let _ = from_cbor::<Heartbeat>(&bytes);
            let _ = from_cbor::<MeshMessage>(&bytes);
            Ok(())
        })
        .unwrap();
}

/// Guards against damage: a byte changed anywhere in good messages is taken or refused,
/// and nothing is read past the message's end.
#[test]
fn damaged_messages_never_panic() {
    let body = to_cbor(&value());
    let mut good = Vec::new();
    write_request(&mut good, "POST", "/api/jobs", "h", &body);
    let cases = (0..good.len(), any::<u8>());
    runner(4_000)
        .run(&cases, |(at, byte)| {
            let mut bytes = good.clone();
            bytes[at] = byte;
            if let Ok(Some((request, taken))) = parse_request(&bytes) {
                prop_assert!(taken <= bytes.len());
                if let Ok(spec) = from_cbor::<JobSpec>(&request.body) {
                    let _ = spec.check();
                }
            }
            Ok(())
        })
        .unwrap();
}

/// Guards requests that come in pieces: cut anywhere, they are the same request.
#[test]
fn requests_split_anywhere_are_read_whole() {
    let mut bytes = Vec::new();
    write_request(&mut bytes, "POST", "/checkin", "h", b"body");
    let first = bytes.len();
    write_request(&mut bytes, "GET", "/ready", "h", b"");
    for cut in 0..first {
        assert_eq!(parse_request(&bytes[..cut]), Ok(None), "cut at {cut}");
    }
    let (request, taken) = parse_request(&bytes).unwrap().unwrap();
    assert_eq!((taken, request.body.as_slice()), (first, &b"body"[..]));
    let (next, _) = parse_request(&bytes[taken..]).unwrap().unwrap();
    assert_eq!(next.target, "/ready");
}

/// Guards the limits: large bodies and heads, two lengths, and odd encodings.
#[test]
fn limits_are_kept() {
    let head = |h: &str| format!("POST / HTTP/1.1\r\n{h}\r\n\r\n").into_bytes();
    let long = format!("Content-Length: {}", MAX_BODY + 1);
    assert_eq!(parse_request(&head(&long)), Err(HttpError::BodyTooLarge));
    let two = "Content-Length: 3\r\nContent-Length: 4";
    assert_eq!(parse_request(&head(two)), Err(HttpError::Malformed));
    let both = "Content-Length: 3\r\nTransfer-Encoding: chunked";
    assert_eq!(parse_request(&head(both)), Err(HttpError::Malformed));
    let huge = format!("X: {}", "a".repeat(9_000));
    assert_eq!(parse_request(&head(&huge)), Err(HttpError::HeadTooLarge));
    let mut chunked = head("Transfer-Encoding: chunked");
    chunked.extend_from_slice(b"3\r\nabc\r\n0\r\n\r\n");
    assert_eq!(parse_request(&chunked).unwrap().unwrap().0.body, b"abc");
}

/// Guards the verdict 400: every field missing or of another type, and every senseless
/// amount, is refused; unknown fields are not.
#[test]
fn jobs_are_refused_field_by_field() {
    use ciborium::value::Value as V;
    let V::Map(good) = value() else { unreachable!() };
    assert_eq!(parse(&value()).unwrap().shape, JobKind::Array);
    let nullable = ["host_types", "due_s", "not_of_ours"];
    for at in 0..good.len() {
        let name = good[at].0.as_text().unwrap().to_string();
        let mut without = good.clone();
        without.remove(at);
        let fine = nullable.contains(&name.as_str());
        assert_eq!(parse(&V::Map(without)).is_ok(), fine, "without {name}");
        let mut other = good.clone();
        other[at].1 = V::Bytes(vec![1]);
        assert_eq!(parse(&V::Map(other)).is_ok(), name == "not_of_ours", "{name} mistyped");
    }
    let bad = [
        ("pieces", V::Integer(0.into())),
        ("pieces", V::Integer(100_001.into())),
        ("pieces", V::Integer((-1).into())),
        ("pieces", V::Float(2.5)),
        ("vcpus", V::Float(f64::NAN)),
        ("vcpus", V::Float(f64::INFINITY)),
        ("vcpus", V::Float(-1.0)),
        ("due_s", V::Float(-1.0)),
        ("ref", V::Text("wk-".into())),
        ("ref", V::Text("job-000001".into())),
        ("ref", V::Text("wk-00a".into())),
        ("rank", V::Text("highest".into())),
    ];
    for (name, v) in bad {
        let mut map = good.clone();
        for (k, old) in map.iter_mut() {
            if k.as_text() == Some(name) {
                *old = v.clone();
            }
        }
        assert!(parse(&V::Map(map)).is_err(), "{name} = {v:?}");
    }
    assert!(parse(&V::Array(vec![])).is_err());
    let mut twice = to_cbor(&value());
    twice.push(0);
    assert!(from_cbor::<JobSpec>(&twice).is_err(), "bytes after the end");
}

/// A whole request of a user or a worker, as large as it may be, passes between controllers
/// with what the sender says of itself, and no request that is larger.
#[test]
fn largest_request_can_be_forwarded() {
    let forward = Forward {
        method: "POST".into(),
        path: format!("/api/jobs/wk-{}/abort", "9".repeat(20)),
        body: vec![0xff; MAX_BODY],
    };
    let message = MeshMessage {
        version: MESH_VERSION,
        from: "n".repeat(100),
        epoch: u64::MAX,
        store_reachable: true,
        forward: Some(forward),
    };
    let body = to_cbor(&message);
    let mut bytes = Vec::new();
    write_request(&mut bytes, "POST", "/mesh", "h", &body);
    let (request, _) = parse_request_within(&bytes, MAX_MESH_BODY).unwrap().unwrap();
    assert_eq!(from_cbor::<MeshMessage>(&request.body).unwrap(), message);
    let head = format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", MAX_MESH_BODY + 1);
    let larger = parse_request_within(head.as_bytes(), MAX_MESH_BODY);
    assert_eq!(larger, Err(HttpError::BodyTooLarge));
}

/// A listing of 4,500 machines in one answer, each with the longest texts, can be read.
#[test]
fn listing_of_the_largest_fleet_can_be_read() {
    let text = "x".repeat(100);
    let machine = ListedMachine {
        name: text.clone(),
        addr: text.clone(),
        kind: text.clone(),
        zone: text,
        spot: true,
        status: CloudStatus::Running,
        age_s: 1e6 + 0.1,
    };
    let list = MachineList { machines: vec![machine; 4_500], more: false };
    let mut bytes = Vec::new();
    write_response(&mut bytes, &Response::new(200, to_cbor(&list)));
    let (response, _) = parse_response(&bytes).unwrap().unwrap();
    assert_eq!(from_cbor::<MachineList>(&response.body).unwrap().machines.len(), 4_500);
}
