//! The upgrade from the first version: its records and messages, controllers that do not agree to
//! the new format yet, the activation of the format, and limits that fall without notice.
//!
//! A controller that does not agree (`new_format: false`) and announces nothing stands for the first
//! version. The frozen types below are the first version's own, and what is written before the
//! activation is compared with them.

use crate::cluster::{job, with_dependencies, Cluster, LinkFault, StateLimits, CANCEL_MS};
use crate::rolling_upgrades::FORMAT_2_BUILD;
use ciborium::value::Value;
use quartzgate_core::records::{
    checked_size, pack_placement, read_placement, EpochRecord, JobRecord, LeaderRecord,
    PlacementRecord, ProbeSet, TASKS_PER_CHUNK,
};
use quartzgate_wire::msg::{JobKind, JobStatus, MeshMessage};
use quartzgate_wire::{from_cbor, to_cbor};

/// The first version's types, as they were; nothing here follows the code.
mod frozen {
    use ciborium::value::Value;
    use quartzgate_wire::msg::{Heartbeat, JobKind, OrdersRequest, Priority};
    use serde::{de::DeserializeOwned, Deserialize, Serialize};

    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct JobSpec {
        #[serde(rename = "ref")]
        id: String,
        job_class: String,
        owner: String,
        shape: JobKind,
        rank: Priority,
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
    pub struct PlacementRecord {
        epoch: u64,
        machines: Vec<String>,
        sets: Vec<ProbeSet>,
        done: Vec<(u32, u32)>,
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        zones: Vec<String>,
    }

    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct EpochRecord {
        epoch: u64,
        leader: String,
        members: Vec<String>,
    }

    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct LeaderRecord {
        epoch: u64,
        node: String,
    }

    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Envelope {
        id: u64,
        addr: String,
        orders: OrdersRequest,
    }

    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Reply {
        id: u64,
        report: Option<Heartbeat>,
    }

    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct MailboxRecord {
        epoch: u64,
        at_ms: u64,
        orders: Vec<Envelope>,
        replies: Vec<Reply>,
        reports: Vec<Heartbeat>,
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

    /// The first version reads the value, and would write the very same.
    pub fn same<T: Serialize + DeserializeOwned>(value: &Value) -> bool {
        let read: Result<T, _> = value.deserialized();
        read.is_ok_and(|r| Value::serialized(&r).unwrap() == *value)
    }

    /// Whether a key's value is what the first version writes there.
    pub fn writes(key: &str, value: &Value) -> bool {
        match key.split('/').collect::<Vec<_>>()[..] {
            ["jobs", _] => same::<JobRecord>(value),
            ["shares", _, "0", chunk] => {
                chunk.parse::<u32>().is_ok() && same::<PlacementRecord>(value)
            }
            ["inbox", _] => same::<bool>(value),
            ["members", _] => same::<String>(value),
            ["view"] => same::<EpochRecord>(value),
            ["view", "leader"] => same::<LeaderRecord>(value),
            ["view", "keeper", _] => same::<u64>(value),
            ["view", "post", _, _] => same::<MailboxRecord>(value),
            ["mesh"] => same::<Mesh>(value),
            _ => false,
        }
    }
}

/// Keys that the first version never touches.
fn is_format_key(key: &str) -> bool {
    key.starts_with("format")
}

/// What the first version wrote and sent, by key.
fn first_version_samples() -> Vec<(String, Vec<u8>)> {
    let byte = |h: &[u8]| u8::from_str_radix(std::str::from_utf8(h).unwrap(), 16).unwrap();
    let lines = include_str!("data/format-1.txt").lines();
    let parts = lines.map(|l| l.split_once(' ').unwrap());
    parts
        .map(|(key, hex)| (key.to_string(), hex.as_bytes().chunks(2).map(byte).collect()))
        .collect()
}

/// Everything that the first version wrote and sent can be read.
#[test]
fn first_version_records_and_messages_are_readable() {
    let mut kinds = std::collections::BTreeMap::new();
    for (key, bytes) in first_version_samples() {
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
                let share = read_placement(&key, &value, 7).expect("a placement record");
                assert!(share.is_complete());
                assert_eq!(Value::serialized(&share.record).unwrap(), value, "{key}");
            }
            "view" if key == "view" => drop(value.deserialized::<EpochRecord>().unwrap()),
            "view" if key == "view/leader" => drop(value.deserialized::<LeaderRecord>().unwrap()),
            "mesh" => {
                let message: MeshMessage = from_cbor(&bytes).unwrap();
                assert_eq!(to_cbor(&message), bytes);
            }
            _ => {}
        }
    }
    assert!(["jobs", "shares", "mesh", "view", "inbox"].iter().all(|k| kinds[*k] > 1), "{kinds:?}");
}

/// A placement record that is split into pieces says the same of its tasks when they are joined in
/// any order; each piece fits its limit, and none is taken for another's.
#[test]
fn split_placement_record_round_trips() {
    use rand::{rngs::SmallRng, Rng, SeedableRng};
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let chunk = rng.random_range(0..3);
        let (first, machines) = (chunk * TASKS_PER_CHUNK, rng.random_range(1..150u32));
        let mut record = PlacementRecord { epoch: seed, ..Default::default() };
        record.machines = (0..machines).map(|n| format!("vm-{n:06}")).collect();
        for n in 0..rng.random_range(1..=TASKS_PER_CHUNK) {
            if rng.random_bool(0.2) {
                record.done.push((first + n, first + n));
            } else {
                let two = (0..2).map(|_| rng.random_range(0..machines)).collect();
                record.sets.push(ProbeSet { from: first + n, to: first + n, machines: two });
            }
            record.zones.push(["north", "south"][rng.random_range(0..2)].into());
        }
        let pieces = pack_placement(&record, chunk, 2048);
        assert!(pieces.iter().all(|p| checked_size(p) <= 2048));
        assert!(pieces.len() <= 3, "{} pieces", pieces.len());
        let key = format!("shares/wk-000001/0/{chunk}");
        let read = |n: usize| {
            let value = Value::serialized(&pieces[n]).unwrap();
            read_placement(&key, &value, 9).expect("a piece")
        };
        let mut whole = read(pieces.len() - 1);
        for n in 0..pieces.len() - 1 {
            assert!(!whole.is_complete());
            assert!(whole.add_piece(read(n)));
        }
        assert!(whole.is_complete());
        assert!(!whole.add_piece(read(0)), "a piece too many");
        let by_task = |r: &PlacementRecord| {
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

/// A cluster all of whose controllers are of the first version, with work of every kind, and
/// limits announced.
fn legacy_cluster(workers: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(3, workers, 0.0, seed);
    cluster.announced_limits =
        Some(serde_json::json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 30.0}));
    cluster.legacy_controllers = (0..3).collect();
    cluster.restart_all_controllers();
    cluster.run_for_ms(1_500);
    cluster.task_duration_ms.insert("wk-000001".into(), 20_000);
    cluster.task_duration_ms.insert("wk-000004".into(), 600_000);
    cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 150));
    let mut service = job("wk-000002", JobKind::Service, 5);
    service.spread = true;
    cluster.submit_until_accepted(&service);
    cluster.submit_until_accepted(&job("wk-000003", JobKind::Gang, 3));
    cluster.submit_until_accepted(&job("wk-000004", JobKind::Array, 2));
    cluster
}

/// Failovers between both versions: until all controllers agree, everything is written as the
/// first version writes it, and a submission with dependencies gets 503 with Retry-After at once;
/// then the format is activated, whoever leads, and stays so.
#[test]
fn format_activates_during_a_rolling_upgrade_with_failovers() {
    for case in 0..6u64 {
        let mut cluster = legacy_cluster(60, 200 + case);
        let chained = with_dependencies(job("wk-000009", JobKind::Array, 2), &["wk-000003"]);
        for n in 0..3 {
            // The next controller to be replaced may be the leader, or a new one may lead already.
            let n = (n + case as usize) % 3;
            cluster.legacy_controllers.remove(&n);
            cluster.crash_for_ms(n, 500);
            cluster.run_for_ms(2_500);
            if case % 2 == 1 {
                let leader = cluster.leader().unwrap();
                cluster.crash_for_ms(leader, 500);
                cluster.run_for_ms(3_500);
            }
            if !cluster.legacy_controllers.is_empty() {
                assert!(!cluster.format_is_activated());
                assert_eq!(cluster.metrics_of(n)["format"], 1.0);
                let request = cluster.send_request(n, "POST", "/api/jobs", to_cbor(&chained));
                cluster.run_for_ms(300);
                assert_eq!(cluster.status_code(request), 503);
                assert!(cluster.user_requests[request]
                    .answer
                    .as_ref()
                    .unwrap()
                    .retry_after_s
                    .is_some());
            }
        }
        let before: Vec<_> = cluster
            .state
            .write_log
            .iter()
            .take_while(|written| written.key != "format")
            .filter(|written| !is_format_key(&written.key))
            .collect();
        assert!(before.iter().any(|written| written.key.starts_with("shares/")));
        for written in &before {
            let key = &written.key;
            assert!(
                frozen::writes(key, &written.value),
                "{key} is not as the first version writes it"
            );
        }
        // The leader crashes near the activation.
        if case % 3 == 2 {
            cluster.run_for_ms(case * 40);
            if let Some(leader) = cluster.leader() {
                cluster.crash_for_ms(leader, 800);
            }
        }
        cluster.run_until(10_000, "the format is activated", Cluster::format_is_activated);
        cluster.state.limits =
            Some(StateLimits { max_value_bytes: 2048, max_changes: 4, changes_per_s: 30.0 });
        cluster.submit_until_accepted(&chained);
        (0..3).for_each(|n| cluster.crash_for_ms(n, 300 + 200 * n as u64));
        cluster.run_for_ms(2_500);
        assert!(cluster.format_is_activated());
        cluster.abort_until_confirmed("wk-000004");
        cluster.run_until_done("wk-000009", 60_000);
        cluster.run_until_done("wk-000001", 200_000);
        cluster.run_for_ms(CANCEL_MS);
        assert_eq!(
            (cluster.live_tasks("wk-000002").len(), cluster.live_tasks("wk-000004").len()),
            (5, 0)
        );
        cluster.check_invariants();
        // The metrics show the format of each controller.
        let leader = cluster.leader().unwrap();
        let seen = cluster.metrics_of(leader);
        assert_eq!((seen["format"], seen["format_node.n0"]), (4.0, 4.0));
    }
}

/// The format is not activated while one controller disagrees, whatever else happens.
#[test]
fn format_is_not_activated_while_one_controller_disagrees() {
    let mut cluster = Cluster::new(3, 2, 0.0, 220);
    cluster.legacy_controllers.insert(2);
    cluster.crash(2);
    cluster.start_controller(2);
    for n in [0, 1, 2, 0, 1, 2] {
        cluster.run_for_ms(3_000);
        cluster.crash_for_ms(n, 500);
    }
    cluster.cut_from_state_service(2, LinkFault::Drop);
    cluster.run_for_ms(10_000);
    assert!(!cluster.format_is_activated());
    cluster.check_invariants();
}

/// The limits fall at any moment before or after activation, while large records of the first
/// version exist: these are read, completed, rewritten smaller and deleted; no oversized write is
/// sent over and over, and nothing runs twice.
#[test]
fn large_records_are_rewritten_when_limits_fall() {
    let mut stood = 0;
    for case in 0..8u64 {
        let mut cluster = legacy_cluster(60, 230 + case);
        for n in 0..3 {
            cluster.legacy_controllers.remove(&n);
            cluster.crash_for_ms(n, 300);
            cluster.run_for_ms(1_200);
        }
        cluster.run_for_ms(case * 250);
        cluster.state.limits =
            Some(StateLimits { max_value_bytes: 2048, max_changes: 4, changes_per_s: 30.0 });
        let refused = cluster.state.refused_for_size;
        let large =
            cluster.state.keys.iter().any(|(key, stored)| {
                key.starts_with("shares/") && checked_size(&stored.value) > 2048
            });
        cluster.run_for_ms(1_500);
        if case % 2 == 0 {
            let leader = cluster.leader();
            leader.into_iter().for_each(|l| cluster.crash_for_ms(l, 1_000));
        }
        stood += u32::from(large);
        cluster.submit_until_accepted(&job("wk-000005", JobKind::Array, 100));
        cluster.abort_until_confirmed("wk-000004");
        cluster.run_until_done("wk-000005", 200_000);
        cluster.run_until_done("wk-000001", 200_000);
        cluster.run_for_ms(CANCEL_MS);
        assert_eq!(
            (cluster.live_tasks("wk-000002").len(), cluster.live_tasks("wk-000004").len()),
            (5, 0)
        );
        assert!(
            cluster.state.refused_for_size - refused < 40,
            "{} refused",
            cluster.state.refused_for_size - refused
        );
        assert!(
            cluster.state.refused_for_rate < 200,
            "{} beyond the rate",
            cluster.state.refused_for_rate
        );
        cluster.check_invariants();
    }
    assert!(stood > 3, "large records stood when the limits fell: {stood}");
}

/// One write of a batch is refused: the others are written, and the refused one is retried seldom,
/// by itself, until it is accepted.
#[test]
fn other_writes_proceed_when_one_write_of_a_batch_is_refused() {
    let mut cluster = Cluster::new(3, 20, 0.0, 250);
    (0..3).for_each(|n| cluster.replace_build(n, &FORMAT_2_BUILD, 1));
    cluster.run_until(10_000, "the format is activated", Cluster::format_is_activated);
    cluster.run_for_ms(1_500);
    cluster.state.refused_key_part = Some("shares/wk-000001".into());
    // The acceptance is refused together with its first placement.
    let one = job("wk-000001", JobKind::Array, 3);
    cluster.task_duration_ms.insert("wk-000001".into(), 4_000);
    cluster.submit(cluster.leader().unwrap(), &one);
    cluster.run_for_ms(500);
    cluster.state.refused_key_part = Some("shares/wk-000002".into());
    cluster.submit_until_accepted(&one);
    // The job waits for its dependency, and so has no placement yet.
    let two = with_dependencies(job("wk-000002", JobKind::Array, 3), &["wk-000001"]);
    cluster.submit_until_accepted(&two);
    let refused = cluster.state.refused_for_size;
    for n in 3..9 {
        cluster.submit_until_accepted(&job(&format!("wk-00000{n}"), JobKind::Array, 3));
    }
    for n in 3..9 {
        cluster.run_until_done(&format!("wk-00000{n}"), 20_000);
    }
    cluster.run_for_ms(20_000);
    let refused = cluster.state.refused_for_size - refused;
    assert!((2..12).contains(&refused), "{refused} refused");
    assert!(!cluster.task_starts.contains_key("wk-000002/0"), "its placement is not recorded");
    cluster.state.refused_key_part = None;
    cluster.run_until_done("wk-000002", 40_000);
    assert_eq!(cluster.observed_status["wk-000002"], JobStatus::Done);
    cluster.check_invariants();
}

/// From activation on, everything that is written fits the announced limits, whatever the load, so
/// that nothing depends on the moment at which they come into force.
#[test]
fn records_fit_the_announced_limits_after_activation() {
    let mut cluster = Cluster::new(3, 70, 0.0, 260);
    cluster.announced_limits =
        Some(serde_json::json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 25.0}));
    cluster.restart_all_controllers();
    cluster.run_until(10_000, "the format is activated", Cluster::format_is_activated);
    cluster.run_for_ms(1_500);
    cluster.state.limits =
        Some(StateLimits { max_value_bytes: 2048, max_changes: 4, changes_per_s: 0.0 });
    cluster.task_duration_ms.insert("wk-000001".into(), 4_000);
    cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 200));
    let mut service = job("wk-000002", JobKind::Service, 9);
    service.spread = true;
    cluster.submit_until_accepted(&service);
    for n in 10..40 {
        cluster.submit(
            n % 3,
            &with_dependencies(job(&format!("wk-0000{n}"), JobKind::Array, 2), &["wk-000002"]),
        );
        cluster.submit(
            n % 3,
            &with_dependencies(job(&format!("wk-0000{n}"), JobKind::Array, 2), &["wk-000001"]),
        );
        cluster.run_for_ms(100);
    }
    let leader = cluster.leader().unwrap();
    cluster.crash_for_ms(leader, 1_000);
    cluster.run_until_done("wk-000001", 90_000);
    cluster.run_until_done("wk-000012", 90_000);
    assert_eq!(cluster.state.refused_for_size, 0, "too large for the announced limits");
    cluster.check_invariants();
}

/// A cluster with a job of 64 tasks whose placement record is split into pieces.
fn cluster_with_split_record(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(3, 80, 0.0, seed);
    cluster.announced_limits = Some(serde_json::json!({"value_kb": 1.0, "txn_ops": 8}));
    cluster.restart_all_controllers();
    cluster.run_until(10_000, "the format is activated", Cluster::format_is_activated);
    cluster.run_for_ms(1_500);
    cluster.task_duration_ms.insert("wk-000001".into(), 25_000);
    cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 64));
    let one = cluster.submit(cluster.leader().unwrap(), &job("wk-000002", JobKind::Array, 64));
    cluster.run_until(2_000, "the job is accepted", |cluster| cluster.status_code(one) == 201);
    cluster.run_until(5_000, "the placement record is split", |cluster| {
        cluster.state.keys.contains_key("shares/wk-000001/0/0.1")
    });
    cluster
}

/// A list returns the pieces of a placement record on several pages: a new leader knows all of
/// them, starts nothing twice, and stops no running task because its placement has not been read
/// yet when its machine sends a heartbeat.
#[test]
fn split_placements_are_joined_across_list_pages() {
    for page in 1..8 {
        let mut cluster = cluster_with_split_record(270 + page as u64);
        cluster.state.max_list_keys = Some(page);
        cluster.crash_all_for_ms(500);
        cluster.run_for_ms(3_000);
        cluster.run_until_done("wk-000001", 120_000);
        cluster.run_until_done("wk-000002", 120_000);
        let again =
            cluster.task_starts.iter().filter(|(t, s)| t.starts_with("wk-000001/") && s.len() > 1);
        let again: Vec<_> = again.collect();
        assert_eq!(again.len(), 0, "running tasks ran on");
        cluster.check_invariants();
    }
}

/// A placement record that is unreadable or lacks a piece stops its job, visibly; the record is
/// left as it is, and other jobs proceed.
#[test]
fn damaged_split_placement_stops_only_its_job() {
    for case in 0..3 {
        let mut cluster = cluster_with_split_record(280 + case);
        cluster.crash_all();
        let damaged = Value::Text("?".into());
        let key = ["shares/wk-000001/0/0", "shares/wk-000001/0/0.1"][case as usize % 2];
        match case {
            2 => drop(cluster.state.keys.remove("shares/wk-000001/0/0.1")),
            _ => cluster.damage_value(key, damaged),
        }
        let before = cluster.state.keys.get(key).map(|stored| stored.revision);
        let starts: usize =
            cluster.task_starts.iter().filter(|(t, _)| t.starts_with("wk-000001/")).count();
        (0..3).for_each(|n| cluster.start_controller(n));
        cluster.submit_until_accepted(&job("wk-000003", JobKind::Array, 3));
        cluster.run_until_done("wk-000003", 120_000);
        cluster.run_until_done("wk-000002", 120_000);
        cluster.run_for_ms(CANCEL_MS);
        assert_eq!(
            cluster.state.keys.get(key).map(|stored| stored.revision),
            before,
            "left as it is"
        );
        let now: usize =
            cluster.task_starts.iter().filter(|(t, _)| t.starts_with("wk-000001/")).count();
        assert_eq!(now, starts, "no task of the damaged job starts");
        cluster.query(0, "wk-000001");
        cluster.run_for_ms(1_000);
        assert_ne!(cluster.observed_status["wk-000001"], JobStatus::Done);
        cluster.check_invariants();
    }
}
