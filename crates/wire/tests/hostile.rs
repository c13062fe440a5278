//! Tests with hostile input: for any bytes, the codec must return a message, "incomplete" or an
//! error. The seed of the generator is fixed, so that the result is deterministic.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use quartzgate_wire::http::{
    parse_request, parse_request_with_limit, parse_response, write_request, write_response,
    HttpError, Response, MAX_BODY_BYTES, MAX_MESH_BODY_BYTES,
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

fn job_value() -> ciborium::value::Value {
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

fn parse_job(job: &ciborium::value::Value) -> Result<JobSpec, String> {
    let spec: JobSpec = from_cbor(&to_cbor(job)).map_err(|e| e.to_string())?;
    spec.check().map_err(|e| e.to_string())?;
    Ok(spec)
}

/// A panic of a parser would end the process: no sequence of bytes may cause one.
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

/// A valid message with one changed byte must be accepted or refused without a panic, and no byte
/// past the end of the buffer may be consumed.
#[test]
fn damaged_messages_never_panic() {
    let body = to_cbor(&job_value());
    let mut valid = Vec::new();
    write_request(&mut valid, "POST", "/api/jobs", "h", &body);
    let cases = (0..valid.len(), any::<u8>());
    runner(4_000)
        .run(&cases, |(at, byte)| {
            let mut bytes = valid.clone();
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

/// A request may arrive in several parts: any part must count as incomplete, and the complete bytes
/// must give the request without the next one.
#[test]
fn requests_split_anywhere_are_parsed_when_complete() {
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

/// Too large bodies and heads and ambiguous framing must be refused; chunked bodies must be read.
#[test]
fn oversized_and_ambiguous_messages_are_refused() {
    let head = |h: &str| format!("POST / HTTP/1.1\r\n{h}\r\n\r\n").into_bytes();
    let too_long = format!("Content-Length: {}", MAX_BODY_BYTES + 1);
    assert_eq!(parse_request(&head(&too_long)), Err(HttpError::BodyTooLarge));
    let two_lengths = "Content-Length: 3\r\nContent-Length: 4";
    assert_eq!(parse_request(&head(two_lengths)), Err(HttpError::Malformed));
    let both_framings = "Content-Length: 3\r\nTransfer-Encoding: chunked";
    assert_eq!(parse_request(&head(both_framings)), Err(HttpError::Malformed));
    let huge = format!("X: {}", "a".repeat(9_000));
    assert_eq!(parse_request(&head(&huge)), Err(HttpError::HeadTooLarge));
    let mut chunked = head("Transfer-Encoding: chunked");
    chunked.extend_from_slice(b"3\r\nabc\r\n0\r\n\r\n");
    assert_eq!(parse_request(&chunked).unwrap().unwrap().0.body, b"abc");
}

/// A job must be refused if a required field is missing, a field has the wrong type, or a value is
/// out of range; unknown fields must be ignored.
#[test]
fn jobs_with_an_invalid_field_are_refused() {
    use ciborium::value::Value as V;
    let V::Map(valid) = job_value() else { unreachable!() };
    assert_eq!(parse_job(&job_value()).unwrap().kind, JobKind::Array);
    let nullable = ["host_types", "due_s", "not_of_ours"];
    for at in 0..valid.len() {
        let name = valid[at].0.as_text().unwrap().to_string();
        let mut without = valid.clone();
        without.remove(at);
        let may_be_missing = nullable.contains(&name.as_str());
        assert_eq!(parse_job(&V::Map(without)).is_ok(), may_be_missing, "without {name}");
        let mut other = valid.clone();
        other[at].1 = V::Bytes(vec![1]);
        assert_eq!(parse_job(&V::Map(other)).is_ok(), name == "not_of_ours", "{name} mistyped");
    }
    let invalid = [
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
    for (name, value) in invalid {
        let mut map = valid.clone();
        for (k, old) in map.iter_mut() {
            if k.as_text() == Some(name) {
                *old = value.clone();
            }
        }
        assert!(parse_job(&V::Map(map)).is_err(), "{name} = {value:?}");
    }
    assert!(parse_job(&V::Array(vec![])).is_err());
    let mut trailing = to_cbor(&job_value());
    trailing.push(0);
    assert!(from_cbor::<JobSpec>(&trailing).is_err(), "bytes after the end");
}

/// The largest request of a user or a worker must fit a message between controllers, together with
/// the longest fields of the sender; a larger message must be refused.
#[test]
fn largest_request_can_be_forwarded() {
    let forward = Forward {
        method: "POST".into(),
        path: format!("/api/jobs/wk-{}/abort", "9".repeat(20)),
        body: vec![0xff; MAX_BODY_BYTES],
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
    let (request, _) = parse_request_with_limit(&bytes, MAX_MESH_BODY_BYTES).unwrap().unwrap();
    assert_eq!(from_cbor::<MeshMessage>(&request.body).unwrap(), message);
    let head = format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", MAX_MESH_BODY_BYTES + 1);
    let larger = parse_request_with_limit(head.as_bytes(), MAX_MESH_BODY_BYTES);
    assert_eq!(larger, Err(HttpError::BodyTooLarge));
}

/// A list of 4,500 machines in one response, each with texts of 100 bytes, must be accepted.
#[test]
fn list_of_the_largest_fleet_is_accepted() {
    let text = "x".repeat(100);
    let machine = ListedMachine {
        name: text.clone(),
        addr: text.clone(),
        machine_type: text.clone(),
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
