//! The upgrade from the first version: reading its records and messages, controllers that do not
//! support the new format yet, the activation of the format, and state service limits that are
//! lowered without notice.
//!
//! A controller that does not agree to the new format (`new_format: false`) and announces nothing
//! represents the first version. The frozen types below are copies of the first version's types.
//! Everything that is written before the activation is compared with them.

use crate::cluster::{job, with_dependencies, Cluster, LinkFault, StateLimits, ABORT_DEADLINE_MS};
use crate::rolling_upgrades::FORMAT_2_BUILD;
use ciborium::value::Value;
use quartzgate_core::records::{
    checked_size, pack_placement, read_placement, EpochRecord, JobRecord, LeaderRecord,
    PlacementRecord, ProbeSet, TASKS_PER_CHUNK,
};
use quartzgate_wire::msg::{JobKind, JobStatus, MeshMessage};
use quartzgate_wire::{from_cbor, to_cbor};

/// The types of the first version. They must not be changed when the current types change.
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

    /// Returns whether the first version can read the value and would write it identically.
    pub fn round_trips<T: Serialize + DeserializeOwned>(value: &Value) -> bool {
        let read: Result<T, _> = value.deserialized();
        read.is_ok_and(|r| Value::serialized(&r).unwrap() == *value)
    }

    /// Returns whether the first version could have written this value to this key.
    pub fn is_valid(key: &str, value: &Value) -> bool {
        match key.split('/').collect::<Vec<_>>()[..] {
            ["jobs", _] => round_trips::<JobRecord>(value),
            ["shares", _, "0", chunk] => {
                chunk.parse::<u32>().is_ok() && round_trips::<PlacementRecord>(value)
            }
            ["inbox", _] => round_trips::<bool>(value),
            ["members", _] => round_trips::<String>(value),
            ["view"] => round_trips::<EpochRecord>(value),
            ["view", "leader"] => round_trips::<LeaderRecord>(value),
            ["view", "keeper", _] => round_trips::<u64>(value),
            ["view", "post", _, _] => round_trips::<MailboxRecord>(value),
            ["mesh"] => round_trips::<Mesh>(value),
            _ => false,
        }
    }
}

/// Returns whether a key is one that the first version neither reads nor writes.
fn is_format_key(key: &str) -> bool {
    key.starts_with("format")
}

/// Returns recorded CBOR values of the first version: its stored records by key, and its mesh
/// messages.
fn first_version_samples() -> Vec<(String, Vec<u8>)> {
    let byte =
        |digits: &[u8]| u8::from_str_radix(std::str::from_utf8(digits).unwrap(), 16).unwrap();
    let lines = include_str!("data/format-1.txt").lines();
    let samples = lines.map(|l| l.split_once(' ').unwrap());
    samples
        .map(|(key, hex)| (key.to_string(), hex.as_bytes().chunks(2).map(byte).collect()))
        .collect()
}

/// Guards against a build that cannot read the first version's records and messages. Job and
/// placement records and mesh messages are also written back unchanged.
#[test]
fn first_version_records_and_messages_are_readable() {
    let mut kinds = std::collections::BTreeMap::new();
    for (key, bytes) in first_version_samples() {
        let value: Value = from_cbor(&bytes).unwrap();
        assert!(
            frozen::is_valid(&key, &value),
            "the frozen types do not match the sample of {key}"
        );
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

/// A placement record that is split into pieces has the same content once its pieces are joined
/// again, in another order than their own. Each piece fits the size limit, and a surplus piece is
/// rejected.
#[test]
fn split_placement_record_round_trips() {
    use rand::{rngs::SmallRng, Rng, SeedableRng};
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let chunk = rng.random_range(0..3);
        let (first_task, machines) = (chunk * TASKS_PER_CHUNK, rng.random_range(1..150u32));
        let mut record = PlacementRecord { epoch: seed, ..Default::default() };
        record.machines = (0..machines).map(|n| format!("vm-{n:06}")).collect();
        for n in 0..rng.random_range(1..=TASKS_PER_CHUNK) {
            if rng.random_bool(0.2) {
                record.done.push((first_task + n, first_task + n));
            } else {
                let two_machines = (0..2).map(|_| rng.random_range(0..machines)).collect();
                record.sets.push(ProbeSet {
                    from: first_task + n,
                    to: first_task + n,
                    machines: two_machines,
                });
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
        let mut joined = read(pieces.len() - 1);
        for n in 0..pieces.len() - 1 {
            assert!(!joined.is_complete());
            assert!(joined.add_piece(read(n)));
        }
        assert!(joined.is_complete());
        assert!(!joined.add_piece(read(0)), "a surplus piece was accepted");
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
        assert_eq!(by_task(&joined.record), by_task(&record));
    }
}

/// Returns a cluster whose controllers are all of the first version, with array, service and gang
/// jobs and announced limits of the state service.
fn first_version_cluster(workers: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(3, workers, 0.0, seed);
    cluster.announced_limits =
        Some(serde_json::json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 30.0}));
    cluster.first_version_controllers = (0..3).collect();
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

/// Controllers are upgraded one by one, with failovers between both versions. Until all of them
/// agree to the new format, every record has the first version's form, and a submission with
/// dependencies immediately gets 503 with Retry-After. Then the format is activated, whichever
/// controller leads, and stays activated.
#[test]
fn format_activates_during_a_rolling_upgrade_with_failovers() {
    for case in 0..6u64 {
        let mut cluster = first_version_cluster(60, 200 + case);
        let dependent = with_dependencies(job("wk-000009", JobKind::Array, 2), &["wk-000003"]);
        for n in 0..3 {
            // The controller to be replaced may be the leader, or a follower of an upgraded leader.
            let n = (n + case as usize) % 3;
            cluster.first_version_controllers.remove(&n);
            cluster.crash_for_ms(n, 500);
            cluster.run_for_ms(2_500);
            if case % 2 == 1 {
                let leader = cluster.leader().unwrap();
                cluster.crash_for_ms(leader, 500);
                cluster.run_for_ms(3_500);
            }
            if !cluster.first_version_controllers.is_empty() {
                assert!(!cluster.format_is_activated());
                assert_eq!(cluster.metrics_of(n)["format"], 1.0);
                let request = cluster.send_request(n, "POST", "/api/jobs", to_cbor(&dependent));
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
        let writes_before_activation: Vec<_> = cluster
            .state
            .write_log
            .iter()
            .take_while(|written| written.key != "format")
            .filter(|written| !is_format_key(&written.key))
            .collect();
        assert!(writes_before_activation.iter().any(|written| written.key.starts_with("shares/")));
        for written in &writes_before_activation {
            let key = &written.key;
            assert!(
                frozen::is_valid(key, &written.value),
                "the first version could not have written the value of {key}"
            );
        }
        // In every third case the leader crashes close to the activation.
        if case % 3 == 2 {
            cluster.run_for_ms(case * 40);
            if let Some(leader) = cluster.leader() {
                cluster.crash_for_ms(leader, 800);
            }
        }
        cluster.run_until(10_000, "the format is activated", Cluster::format_is_activated);
        cluster.state.limits =
            Some(StateLimits { max_value_bytes: 2048, max_changes: 4, changes_per_s: 30.0 });
        cluster.submit_until_accepted(&dependent);
        (0..3).for_each(|n| cluster.crash_for_ms(n, 300 + 200 * n as u64));
        cluster.run_for_ms(2_500);
        assert!(cluster.format_is_activated());
        cluster.abort_until_confirmed("wk-000004");
        cluster.run_until_done("wk-000009", 60_000);
        cluster.run_until_done("wk-000001", 200_000);
        cluster.run_for_ms(ABORT_DEADLINE_MS);
        assert_eq!(
            (cluster.live_tasks("wk-000002").len(), cluster.live_tasks("wk-000004").len()),
            (5, 0)
        );
        cluster.assert_no_violations();
        // The metrics report the format that each controller supports.
        let leader = cluster.leader().unwrap();
        let metrics = cluster.metrics_of(leader);
        assert_eq!((metrics["format"], metrics["format_node.n0"]), (4.0, 4.0));
    }
}

/// One controller does not agree to the new format. The format must not be activated, whichever
/// controllers crash or are partitioned from the state service.
#[test]
fn format_is_not_activated_while_one_controller_disagrees() {
    let mut cluster = Cluster::new(3, 2, 0.0, 220);
    cluster.first_version_controllers.insert(2);
    cluster.crash(2);
    cluster.start_controller(2);
    for n in [0, 1, 2, 0, 1, 2] {
        cluster.run_for_ms(3_000);
        cluster.crash_for_ms(n, 500);
    }
    cluster.cut_controller_from_state_service(2, LinkFault::Drop);
    cluster.run_for_ms(10_000);
    assert!(!cluster.format_is_activated());
    cluster.assert_no_violations();
}

/// The state service lowers its limits at varying times around the activation, while large records
/// of the first version exist. These records are still read, completed, rewritten smaller and
/// deleted. No oversized write is retried endlessly, and no task runs twice.
#[test]
fn large_records_are_rewritten_when_limits_fall() {
    let mut cases_with_large_records = 0;
    for case in 0..8u64 {
        let mut cluster = first_version_cluster(60, 230 + case);
        for n in 0..3 {
            cluster.first_version_controllers.remove(&n);
            cluster.crash_for_ms(n, 300);
            cluster.run_for_ms(1_200);
        }
        cluster.run_for_ms(case * 250);
        cluster.state.limits =
            Some(StateLimits { max_value_bytes: 2048, max_changes: 4, changes_per_s: 30.0 });
        let refused_before = cluster.state.refused_for_size;
        let has_large_record =
            cluster.state.keys.iter().any(|(key, stored)| {
                key.starts_with("shares/") && checked_size(&stored.value) > 2048
            });
        cluster.run_for_ms(1_500);
        if case % 2 == 0 {
            let leader = cluster.leader();
            leader.into_iter().for_each(|l| cluster.crash_for_ms(l, 1_000));
        }
        cases_with_large_records += u32::from(has_large_record);
        cluster.submit_until_accepted(&job("wk-000005", JobKind::Array, 100));
        cluster.abort_until_confirmed("wk-000004");
        cluster.run_until_done("wk-000005", 200_000);
        cluster.run_until_done("wk-000001", 200_000);
        cluster.run_for_ms(ABORT_DEADLINE_MS);
        assert_eq!(
            (cluster.live_tasks("wk-000002").len(), cluster.live_tasks("wk-000004").len()),
            (5, 0)
        );
        assert!(
            cluster.state.refused_for_size - refused_before < 40,
            "{} oversized writes refused",
            cluster.state.refused_for_size - refused_before
        );
        assert!(
            cluster.state.refused_for_rate < 200,
            "{} writes refused by the rate limit",
            cluster.state.refused_for_rate
        );
        cluster.assert_no_violations();
    }
    assert!(
        cases_with_large_records > 3,
        "cases with large records when the limits were lowered: {cases_with_large_records}"
    );
}

/// The state service refuses one write of a batch. The other writes of the batch still proceed, and
/// the refused one is retried at long intervals and alone until it is accepted.
#[test]
fn other_writes_proceed_when_one_write_of_a_batch_is_refused() {
    let mut cluster = Cluster::new(3, 20, 0.0, 250);
    (0..3).for_each(|n| cluster.replace_build(n, &FORMAT_2_BUILD, 1));
    cluster.run_until(10_000, "the format is activated", Cluster::format_is_activated);
    cluster.run_for_ms(1_500);
    cluster.state.refused_key_substring = Some("shares/wk-000001".into());
    // The job's record is refused together with its first placement.
    let first_job = job("wk-000001", JobKind::Array, 3);
    cluster.task_duration_ms.insert("wk-000001".into(), 4_000);
    cluster.submit(cluster.leader().unwrap(), &first_job);
    cluster.run_for_ms(500);
    cluster.state.refused_key_substring = Some("shares/wk-000002".into());
    cluster.submit_until_accepted(&first_job);
    // The second job waits for its dependency and therefore has no placement yet.
    let second_job = with_dependencies(job("wk-000002", JobKind::Array, 3), &["wk-000001"]);
    cluster.submit_until_accepted(&second_job);
    let refused = cluster.state.refused_for_size;
    for n in 3..9 {
        cluster.submit_until_accepted(&job(&format!("wk-00000{n}"), JobKind::Array, 3));
    }
    for n in 3..9 {
        cluster.run_until_done(&format!("wk-00000{n}"), 20_000);
    }
    cluster.run_for_ms(20_000);
    let refused = cluster.state.refused_for_size - refused;
    assert!((2..12).contains(&refused), "{refused} writes refused");
    assert!(
        !cluster.task_starts.contains_key("wk-000002/0"),
        "a task started before its placement was recorded"
    );
    cluster.state.refused_key_substring = None;
    cluster.run_until_done("wk-000002", 40_000);
    assert_eq!(cluster.observed_status["wk-000002"], JobStatus::Done);
    cluster.assert_no_violations();
}

/// After the activation every write fits the announced limits under any load, so that the time at
/// which the state service begins to enforce them does not matter.
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
    assert_eq!(cluster.state.refused_for_size, 0, "writes exceeded the announced limits");
    cluster.assert_no_violations();
}

/// Returns a cluster with two jobs of 64 tasks, in which the first job's placement record is split
/// into pieces.
fn cluster_with_split_record(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(3, 80, 0.0, seed);
    cluster.announced_limits = Some(serde_json::json!({"value_kb": 1.0, "txn_ops": 8}));
    cluster.restart_all_controllers();
    cluster.run_until(10_000, "the format is activated", Cluster::format_is_activated);
    cluster.run_for_ms(1_500);
    cluster.task_duration_ms.insert("wk-000001".into(), 25_000);
    cluster.submit_until_accepted(&job("wk-000001", JobKind::Array, 64));
    let request = cluster.submit(cluster.leader().unwrap(), &job("wk-000002", JobKind::Array, 64));
    cluster.run_until(2_000, "the job is accepted", |cluster| cluster.status_code(request) == 201);
    cluster.run_until(5_000, "the placement record is split", |cluster| {
        cluster.state.keys.contains_key("shares/wk-000001/0/0.1")
    });
    cluster
}

/// The pieces of a placement record are spread over several pages of a key list. A new leader must
/// read all of them before it acts: otherwise it would start tasks twice, or stop a running task
/// whose machine sends a heartbeat before its placement has been read.
#[test]
fn split_placements_are_joined_across_list_pages() {
    for page in 1..8 {
        let mut cluster = cluster_with_split_record(270 + page as u64);
        cluster.state.max_list_keys = Some(page);
        cluster.crash_all_for_ms(500);
        cluster.run_for_ms(3_000);
        cluster.run_until_done("wk-000001", 120_000);
        cluster.run_until_done("wk-000002", 120_000);
        let restarted =
            cluster.task_starts.iter().filter(|(t, s)| t.starts_with("wk-000001/") && s.len() > 1);
        let restarted: Vec<_> = restarted.collect();
        assert_eq!(restarted.len(), 0, "running tasks were started again");
        cluster.assert_no_violations();
    }
}

/// A placement record that is unreadable or lacks a piece blocks its own job only. The record is
/// left unchanged, no task of the job starts, and other jobs proceed.
#[test]
fn damaged_split_placement_stops_only_its_job() {
    for case in 0..3 {
        let mut cluster = cluster_with_split_record(280 + case);
        cluster.crash_all();
        let damaged = Value::Text("?".into());
        let key = ["shares/wk-000001/0/0", "shares/wk-000001/0/0.1"][case as usize % 2];
        match case {
            2 => drop(cluster.state.keys.remove("shares/wk-000001/0/0.1")),
            _ => cluster.replace_value_keeping_revision(key, damaged),
        }
        let revision_before = cluster.state.keys.get(key).map(|stored| stored.revision);
        let starts_before: usize =
            cluster.task_starts.iter().filter(|(t, _)| t.starts_with("wk-000001/")).count();
        (0..3).for_each(|n| cluster.start_controller(n));
        cluster.submit_until_accepted(&job("wk-000003", JobKind::Array, 3));
        cluster.run_until_done("wk-000003", 120_000);
        cluster.run_until_done("wk-000002", 120_000);
        cluster.run_for_ms(ABORT_DEADLINE_MS);
        assert_eq!(
            cluster.state.keys.get(key).map(|stored| stored.revision),
            revision_before,
            "the damaged record was changed"
        );
        let starts_after: usize =
            cluster.task_starts.iter().filter(|(t, _)| t.starts_with("wk-000001/")).count();
        assert_eq!(starts_after, starts_before, "a task of the damaged job started");
        cluster.query(0, "wk-000001");
        cluster.run_for_ms(1_000);
        assert_ne!(cluster.observed_status["wk-000001"], JobStatus::Done);
        cluster.assert_no_violations();
    }
}
