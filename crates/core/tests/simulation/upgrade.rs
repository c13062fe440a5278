//! Stories of an upgrade: the first version's records and messages, controllers that
//! don't agree to the new format yet, the latch, and limits that fall without notice.
//! Each says what it guards.
//!
//! A controller that does not agree (`new_format: false`) and leaves no word stands for the
//! first version: the frozen types below are the first version's own, and what is written
//! before the latch is held against them.

use crate::rolls::TODAY;
use crate::world::{behind, job, Cut, End, World, CANCEL_MS};
use ciborium::value::Value;
use quartzgate_core::records::{
    checked_size, pack_share, read_share, JobRecord, Leader, ProbeSet, ShareRecord, View, CHUNK,
};
use quartzgate_wire::msg::{JobStatus, MeshMessage, Shape};
use quartzgate_wire::{from_cbor, to_cbor};

/// The first version's types, as they were; nothing here follows the code.
mod frozen {
    use ciborium::value::Value;
    use quartzgate_wire::msg::{OrdersRequest, Rank, Report, Shape};
    use serde::{de::DeserializeOwned, Deserialize, Serialize};

    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct JobSpec {
        #[serde(rename = "ref")]
        id: String,
        job_class: String,
        owner: String,
        shape: Shape,
        rank: Rank,
        pieces: u32,
        vcpus: f64,
        gpus: f64,
        ram_gb: f64,
        bundle: String,
        image_gb: f64,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        host_types: Option<Vec<String>>,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        hall: Option<String>,
        together: bool,
        spread: bool,
        loaners: bool,
        expected_s: f64,
        snapshot_every_s: f64,
        snapshot_cost_s: f64,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        due_s: Option<f64>,
    }

    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Status {
        Live,
        Done,
        Aborted,
    }

    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct JobRecord {
        status: Status,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        spec: Option<JobSpec>,
        at_ms: u64,
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        done_chunks: Vec<(u32, u32)>,
    }

    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct ProbeSet {
        from: u32,
        to: u32,
        machines: Vec<u32>,
    }

    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct ShareRecord {
        epoch: u64,
        machines: Vec<String>,
        sets: Vec<ProbeSet>,
        done: Vec<(u32, u32)>,
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        zones: Vec<String>,
    }

    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct View {
        epoch: u64,
        leader: String,
        members: Vec<String>,
    }

    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Leader {
        epoch: u64,
        node: String,
    }

    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Letter {
        id: u64,
        addr: String,
        orders: OrdersRequest,
    }

    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Reply {
        id: u64,
        report: Option<Report>,
    }

    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Post {
        epoch: u64,
        at_ms: u64,
        orders: Vec<Letter>,
        replies: Vec<Reply>,
        reports: Vec<Report>,
    }

    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Mesh {
        version: u32,
        from: String,
        epoch: u64,
        has_state: bool,
        forward: Option<Value>,
    }

    /// The first version reads it, and would write the very same.
    pub fn same<T: Serialize + DeserializeOwned>(value: &Value) -> bool {
        let read: Result<T, _> = value.deserialized();
        read.is_ok_and(|r| Value::serialized(&r).unwrap() == *value)
    }

    /// Whether a key's value is what the first version writes there.
    pub fn writes(key: &str, value: &Value) -> bool {
        match key.split('/').collect::<Vec<_>>()[..] {
            ["jobs", _] => same::<JobRecord>(value),
            ["shares", _, "0", chunk] => chunk.parse::<u32>().is_ok() && same::<ShareRecord>(value),
            ["inbox", _] => same::<bool>(value),
            ["members", _] => same::<String>(value),
            ["view"] => same::<View>(value),
            ["view", "leader"] => same::<Leader>(value),
            ["view", "keeper", _] => same::<u64>(value),
            ["view", "post", _, _] => same::<Post>(value),
            ["mesh"] => same::<Mesh>(value),
            _ => false,
        }
    }
}

/// Keys that the first version never touches.
fn of_the_format(key: &str) -> bool {
    key.starts_with("format")
}

/// What the first version really wrote and said, a line a key.
fn first_versions() -> Vec<(String, Vec<u8>)> {
    let byte = |h: &[u8]| u8::from_str_radix(std::str::from_utf8(h).unwrap(), 16).unwrap();
    let lines = include_str!("data/format-1.txt").lines();
    let parts = lines.map(|l| l.split_once(' ').unwrap());
    parts
        .map(|(key, hex)| (key.to_string(), hex.as_bytes().chunks(2).map(byte).collect()))
        .collect()
}

/// Guards the reading of everything that the first version wrote and said.
#[test]
fn what_the_first_version_wrote_is_read() {
    let mut kinds = std::collections::BTreeMap::new();
    for (key, bytes) in first_versions() {
        let value: Value = from_cbor(&bytes).unwrap();
        assert!(frozen::writes(&key, &value), "the frozen types are the first version's: {key}");
        let kind = key.split('/').next().unwrap().to_string();
        *kinds.entry(kind.clone()).or_insert(0) += 1;
        match kind.as_str() {
            "jobs" => {
                let record: JobRecord = value.deserialized().unwrap();
                assert_eq!(Value::serialized(&record).unwrap(), value, "{key}");
            }
            "shares" => {
                let share = read_share(&key, &value, 7).expect("a share");
                assert!(share.whole());
                assert_eq!(Value::serialized(&share.record).unwrap(), value, "{key}");
            }
            "view" if key == "view" => drop(value.deserialized::<View>().unwrap()),
            "view" if key == "view/leader" => drop(value.deserialized::<Leader>().unwrap()),
            "mesh" => {
                let message: MeshMessage = from_cbor(&bytes).unwrap();
                assert_eq!(to_cbor(&message), bytes);
            }
            _ => {}
        }
    }
    assert!(["jobs", "shares", "mesh", "view", "inbox"].iter().all(|k| kinds[*k] > 1), "{kinds:?}");
}

/// Guards packed shares: whatever a share says of its tasks is read again from its pieces,
/// in any order; each fits; and none is taken for another's.
#[test]
fn a_share_in_pieces_says_the_same() {
    use rand::{rngs::SmallRng, Rng, SeedableRng};
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let chunk = rng.random_range(0..3);
        let (first, machines) = (chunk * CHUNK, rng.random_range(1..150u32));
        let mut record = ShareRecord { epoch: seed, ..Default::default() };
        record.machines = (0..machines).map(|n| format!("vm-{n:06}")).collect();
        for n in 0..rng.random_range(1..=CHUNK) {
            if rng.random_bool(0.2) {
                record.done.push((first + n, first + n));
            } else {
                let two = (0..2).map(|_| rng.random_range(0..machines)).collect();
                record.sets.push(ProbeSet { from: first + n, to: first + n, machines: two });
            }
            record.zones.push(["north", "south"][rng.random_range(0..2)].into());
        }
        let pieces = pack_share(&record, chunk, 2048);
        assert!(pieces.iter().all(|p| checked_size(p) <= 2048));
        assert!(pieces.len() <= 3, "{} pieces", pieces.len());
        let key = format!("shares/wk-000001/0/{chunk}");
        let read = |n: usize| {
            let value = Value::serialized(&pieces[n]).unwrap();
            read_share(&key, &value, 9).expect("a piece")
        };
        let mut whole = read(pieces.len() - 1);
        for n in 0..pieces.len() - 1 {
            assert!(!whole.whole());
            assert!(whole.join(read(n)));
        }
        assert!(whole.whole());
        assert!(!whole.join(read(0)), "a piece too many");
        let by_task = |r: &ShareRecord| {
            let mut all: Vec<(u32, Vec<String>)> = Vec::new();
            for set in &r.sets {
                let names = |m: &u32| r.machines[*m as usize].clone();
                all.extend(
                    (set.from..=set.to).map(|n| (n, set.machines.iter().map(names).collect())),
                );
            }
            all.sort();
            let mut done: Vec<u32> = r.done.iter().flat_map(|(a, b)| *a..=*b).collect();
            done.sort_unstable();
            (all, done, r.zones.clone())
        };
        assert_eq!(by_task(&whole.record), by_task(&record));
    }
}

/// A cluster all of whose controllers are of the version before, with work of every kind,
/// and limits announced.
fn old_world(workers: usize, seed: u64) -> World {
    let mut w = World::new(3, workers, 0.0, seed);
    w.next = Some(serde_json::json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 30.0}));
    w.old = (0..3).collect();
    (0..3).for_each(|n| {
        w.kill(n);
        w.start(n)
    });
    w.run(1_500);
    w.run_ms.insert("wk-000001".into(), 20_000);
    w.run_ms.insert("wk-000004".into(), 600_000);
    w.submit_surely(&job("wk-000001", Shape::Array, 150));
    let mut service = job("wk-000002", Shape::Service, 5);
    service.spread = true;
    w.submit_surely(&service);
    w.submit_surely(&job("wk-000003", Shape::Gang, 3));
    w.submit_surely(&job("wk-000004", Shape::Array, 2));
    w
}

/// Guards the upgrade with takeovers both ways: until all controllers agree, everything
/// that is written is what the first version writes, a submission that names others gets
/// 503 and when to come back, at once; then the latch falls, whoever leads, and stays.
#[test]
fn a_rolling_upgrade() {
    for case in 0..6u64 {
        let mut w = old_world(60, 200 + case);
        let chained = behind(job("wk-000009", Shape::Array, 2), &["wk-000003"]);
        for n in 0..3 {
            // The next to be replaced may lead, or one that is new already.
            let n = (n + case as usize) % 3;
            w.old.remove(&n);
            w.kill_for(n, 500);
            w.run(2_500);
            if case % 2 == 1 {
                let leader = w.leader().unwrap();
                w.kill_for(leader, 500);
                w.run(3_500);
            }
            if !w.old.is_empty() {
                assert!(!w.latched());
                assert_eq!(w.figures(n)["format"], 1.0);
                let ask = w.ask(n, "POST", "/api/jobs", to_cbor(&chained));
                w.run(300);
                assert_eq!(w.status(ask), 503);
                assert!(w.asks[ask].answer.as_ref().unwrap().retry_after_s.is_some());
            }
        }
        let before: Vec<(String, Value)> = w
            .state
            .journal
            .iter()
            .take_while(|(key, _)| key != "format")
            .filter(|(key, _)| !of_the_format(key))
            .cloned()
            .collect();
        assert!(before.iter().any(|(key, _)| key.starts_with("shares/")));
        for (key, value) in &before {
            assert!(frozen::writes(key, value), "{key} is not as the first version writes it");
        }
        // The leader dies about the moment at which the latch falls.
        if case % 3 == 2 {
            w.run(case * 40);
            if let Some(leader) = w.leader() {
                w.kill_for(leader, 800);
            }
        }
        w.until(10_000, "the latch falls", World::latched);
        w.state.limits = Some((2048, 4, 30.0));
        w.submit_surely(&chained);
        (0..3).for_each(|n| w.kill_for(n, 300 + 200 * n as u64));
        w.run(2_500);
        assert!(w.latched());
        w.abort_surely("wk-000004");
        w.until_done("wk-000009", 60_000);
        w.until_done("wk-000001", 200_000);
        w.run(CANCEL_MS);
        assert_eq!((w.on("wk-000002").len(), w.on("wk-000004").len()), (5, 0));
        w.keep_rules();
        // Operators see it, node by node.
        let leader = w.leader().unwrap();
        let seen = w.figures(leader);
        assert_eq!((seen["format"], seen["format_node.n0"]), (4.0, 4.0));
    }
}

/// Guards the latch against one controller that never agrees, whatever else happens.
#[test]
fn one_that_does_not_agree_holds_the_latch() {
    let mut w = World::new(3, 2, 0.0, 220);
    w.old.insert(2);
    w.kill(2);
    w.start(2);
    for n in [0, 1, 2, 0, 1, 2] {
        w.run(3_000);
        w.kill_for(n, 500);
    }
    w.cut(End::Node(2), End::State, Cut::Drop);
    w.run(10_000);
    assert!(!w.latched());
    w.keep_rules();
}

/// Guards large records of the first version against limits that fall at any moment,
/// before the latch or after it: they are read, ended, rewritten smaller and taken away;
/// nothing too large is asked for over and over, and nothing runs twice.
#[test]
fn limits_fall_while_large_records_stand() {
    let mut stood = 0;
    for case in 0..8u64 {
        let mut w = old_world(60, 230 + case);
        for n in 0..3 {
            w.old.remove(&n);
            w.kill_for(n, 300);
            w.run(1_200);
        }
        w.run(case * 250);
        w.state.limits = Some((2048, 4, 30.0));
        let refused = w.state.too_large;
        let large =
            w.state.keys.iter().any(|(k, v)| k.starts_with("shares/") && checked_size(&v.0) > 2048);
        w.run(1_500);
        if case % 2 == 0 {
            let leader = w.leader();
            leader.into_iter().for_each(|l| w.kill_for(l, 1_000));
        }
        stood += u32::from(large);
        w.submit_surely(&job("wk-000005", Shape::Array, 100));
        w.abort_surely("wk-000004");
        w.until_done("wk-000005", 200_000);
        w.until_done("wk-000001", 200_000);
        w.run(CANCEL_MS);
        assert_eq!((w.on("wk-000002").len(), w.on("wk-000004").len()), (5, 0));
        assert!(w.state.too_large - refused < 40, "{} refused", w.state.too_large - refused);
        assert!(w.state.too_many < 200, "{} beyond the rate", w.state.too_many);
        w.keep_rules();
    }
    assert!(stood > 3, "large records stood when the limits fell: {stood}");
}

/// Guards a batch against one write in it that is refused: the others of the batch are
/// written, and what is refused is asked for seldom, by itself, until it is taken.
#[test]
fn a_refused_write_holds_up_no_other() {
    let mut w = World::new(3, 20, 0.0, 250);
    (0..3).for_each(|n| w.replace(n, &TODAY, 1));
    w.until(10_000, "the format is latched", World::latched);
    w.run(1_500);
    w.state.poison = Some("shares/wk-000001".into());
    // Not recorded with the acceptance, which is refused with its first deal.
    let one = job("wk-000001", Shape::Array, 3);
    w.run_ms.insert("wk-000001".into(), 4_000);
    w.submit(w.leader().unwrap(), &one);
    w.run(500);
    w.state.poison = Some("shares/wk-000002".into());
    w.submit_surely(&one);
    // It waits, and so has no share yet.
    let two = behind(job("wk-000002", Shape::Array, 3), &["wk-000001"]);
    w.submit_surely(&two);
    let refused = w.state.too_large;
    for n in 3..9 {
        w.submit_surely(&job(&format!("wk-00000{n}"), Shape::Array, 3));
    }
    for n in 3..9 {
        w.until_done(&format!("wk-00000{n}"), 20_000);
    }
    w.run(20_000);
    let refused = w.state.too_large - refused;
    assert!((2..12).contains(&refused), "{refused} refused");
    assert!(!w.starts.contains_key("wk-000002/0"), "its probes are not on record");
    w.state.poison = None;
    w.until_done("wk-000002", 40_000);
    assert_eq!(w.told["wk-000002"], JobStatus::Done);
    w.keep_rules();
}

/// Guards what is written from the latch on: it fits the limits to come, whatever the
/// load, so that nothing depends on the moment at which they come.
#[test]
fn from_the_latch_on_everything_fits() {
    let mut w = World::new(3, 70, 0.0, 260);
    w.next = Some(serde_json::json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 25.0}));
    (0..3).for_each(|n| {
        w.kill(n);
        w.start(n)
    });
    w.until(10_000, "the format is latched", World::latched);
    w.run(1_500);
    w.state.limits = Some((2048, 4, 0.0));
    w.run_ms.insert("wk-000001".into(), 4_000);
    w.submit_surely(&job("wk-000001", Shape::Array, 200));
    let mut service = job("wk-000002", Shape::Service, 9);
    service.spread = true;
    w.submit_surely(&service);
    for n in 10..40 {
        w.submit(n % 3, &behind(job(&format!("wk-0000{n}"), Shape::Array, 2), &["wk-000002"]));
        w.submit(n % 3, &behind(job(&format!("wk-0000{n}"), Shape::Array, 2), &["wk-000001"]));
        w.run(100);
    }
    let leader = w.leader().unwrap();
    w.kill_for(leader, 1_000);
    w.until_done("wk-000001", 90_000);
    w.until_done("wk-000012", 90_000);
    assert_eq!(w.state.too_large, 0, "too large for the limits to come");
    w.keep_rules();
}

/// A latched cluster with a job of 64 tasks whose share takes more than one piece.
fn world_in_pieces(seed: u64) -> World {
    let mut w = World::new(3, 80, 0.0, seed);
    w.next = Some(serde_json::json!({"value_kb": 1.0, "txn_ops": 8}));
    (0..3).for_each(|n| {
        w.kill(n);
        w.start(n)
    });
    w.until(10_000, "the format is latched", World::latched);
    w.run(1_500);
    w.run_ms.insert("wk-000001".into(), 25_000);
    w.submit_surely(&job("wk-000001", Shape::Array, 64));
    let one = w.submit(w.leader().unwrap(), &job("wk-000002", Shape::Array, 64));
    w.until(2_000, "accepted", |w| w.status(one) == 201);
    w.until(5_000, "in pieces", |w| w.state.keys.contains_key("shares/wk-000001/0/0.1"));
    w
}

/// Guards shares that come in pieces over several pages of a list: a new owner knows all
/// of them, starts nothing twice, and stops nothing that runs because its share has not
/// been read yet when its machine reports.
#[test]
fn pieces_on_different_pages_are_joined() {
    for page in 1..8 {
        let mut w = world_in_pieces(270 + page as u64);
        w.state.page = Some(page);
        (0..3).for_each(|n| w.kill_for(n, 500));
        w.run(3_000);
        w.until_done("wk-000001", 120_000);
        w.until_done("wk-000002", 120_000);
        let again = w.starts.iter().filter(|(t, s)| t.starts_with("wk-000001/") && s.len() > 1);
        let again: Vec<_> = again.collect();
        assert_eq!(again.len(), 0, "what ran went on where it was");
        w.keep_rules();
    }
}

/// Guards a share that can't be read, or lacks a piece: its job is left alone, loudly, its
/// record as it is, and other jobs go on.
#[test]
fn a_damaged_share_stops_its_job_alone() {
    for case in 0..3 {
        let mut w = world_in_pieces(280 + case);
        (0..3).for_each(|n| w.kill(n));
        let damaged = Value::Text("?".into());
        let key = ["shares/wk-000001/0/0", "shares/wk-000001/0/0.1"][case as usize % 2];
        match case {
            2 => drop(w.state.keys.remove("shares/wk-000001/0/0.1")),
            _ => w.state.keys.get_mut(key).unwrap().0 = damaged,
        }
        let before = w.state.keys.get(key).map(|k| k.1);
        let starts: usize = w.starts.iter().filter(|(t, _)| t.starts_with("wk-000001/")).count();
        (0..3).for_each(|n| w.start(n));
        w.submit_surely(&job("wk-000003", Shape::Array, 3));
        w.until_done("wk-000003", 120_000);
        w.until_done("wk-000002", 120_000);
        w.run(CANCEL_MS);
        assert_eq!(w.state.keys.get(key).map(|k| k.1), before, "left as it is");
        let now: usize = w.starts.iter().filter(|(t, _)| t.starts_with("wk-000001/")).count();
        assert_eq!(now, starts, "nothing of it starts");
        w.poll(0, "wk-000001");
        w.run(1_000);
        assert_ne!(w.told["wk-000001"], JobStatus::Done);
        w.keep_rules();
    }
}
