//! Reading records in the formats of earlier versions, independent of the format that the
//! controller writes.

use serde_json::json;

use crate::cbor::{raw, Value};
use crate::cluster::Cluster;
use crate::jobs::job;
use crate::journal::Channel;
use crate::worker::TaskRun;

/// Attempt number of tasks placed in epoch 4: the epoch is in the bits above the lowest 24.
const ATTEMPT: u64 = (4 << 24) | 1;

fn record(status: &str, spec: Value) -> Value {
    raw!({"status" => status, "spec" => spec, "at_ms" => 1_799_999_000_000u64})
}

/// Creates a controller and a store with the epoch record of a former leader of epoch 4, without an
/// activated format. The controller withholds all formats after the first.
fn cluster_with_former_leader(workers: u32) -> Cluster {
    let mut cluster = Cluster::new(1, workers, json!({"withhold": ["format-2"]}));
    let view = raw!({"epoch" => 4, "leader" => "n9", "members" => ["n9"]});
    cluster.store.put("view", view);
    cluster
}

/// Starts the controller and returns the statuses of these jobs once it has received heartbeats.
fn statuses_after_start(cluster: &mut Cluster, jobs: &[&str]) -> Vec<String> {
    cluster.start_all();
    cluster.run(6_000);
    assert_eq!(cluster.metrics(0)["leads"], 1.0);
    jobs.iter().map(|job| cluster.poll(0, job)).collect()
}

/// Lets the workers run tasks 1 and 2 of `wk-000001`, as its placement records; task 0 is done.
fn add_running_tasks(cluster: &mut Cluster) {
    for (worker, task) in [("vm-000000", "wk-000001/1"), ("vm-000001", "wk-000001/2")] {
        let worker = cluster.workers.get_mut(worker).expect("the worker exists");
        worker.add_running_task(task, ATTEMPT, 14_000);
        worker.fencing_token = 4 << 24;
    }
}

/// Checks the answer about the job, runs until the job is done, and compares the messages to the
/// store and the workers with a golden file.
fn finish_and_compare(cluster: &mut Cluster, name: &str) {
    let answer = cluster.user_request(0, "GET", "/api/jobs/wk-000001", &[]);
    let expected = raw!({
        "ref" => "wk-000001", "status" => "running", "done" => 1, "running" => 2
    });
    assert_eq!(answer.body, crate::cbor::encode(&expected));
    cluster.run_until_status(0, "wk-000001", "done", 30_000);
    cluster.run(5_000);
    cluster.journal.assert_golden(name, &[Channel::ToStore, Channel::ToWorkers]);
}

#[test]
fn terminal_and_live_job_records_of_format_1() {
    let mut cluster = cluster_with_former_leader(0);
    cluster.store.put("jobs/wk-000001", raw!({"status" => "done", "at_ms" => 5}));
    cluster.store.put("jobs/wk-000002", raw!({"status" => "aborted", "at_ms" => 5}));
    cluster.store.put("jobs/wk-000003", record("aborted", job("wk-000003", "array", 1)));
    let service = raw!({"status" => "aborted", "at_ms" => 5, "service" => true});
    cluster.store.put("jobs/wk-000004", service);
    cluster.store.put("jobs/wk-000005", record("live", job("wk-000005", "array", 1)));
    let jobs = ["wk-000001", "wk-000002", "wk-000003", "wk-000004", "wk-000005"];
    let statuses = ["done", "aborted", "aborted", "aborted", "pending"];
    assert_eq!(statuses_after_start(&mut cluster, &jobs), statuses);
}

/// The placement in the first format: sets are maps, and task numbers count from the job's first
/// task.
#[test]
fn placement_of_format_1() {
    let mut cluster = cluster_with_former_leader(2);
    cluster.store.put("jobs/wk-000001", record("live", job("wk-000001", "array", 3)));
    let placement = raw!({
        "epoch" => 4, "machines" => ["vm-000000", "vm-000001"],
        "sets" => [{"from" => 1, "to" => 1, "machines" => [0]},
                   {"from" => 2, "to" => 2, "machines" => [0, 1]}],
        "done" => [[0, 0]]
    });
    cluster.store.put("shares/wk-000001/0/0", placement);
    add_running_tasks(&mut cluster);
    assert_eq!(statuses_after_start(&mut cluster, &["wk-000001"]), ["running"]);
    finish_and_compare(&mut cluster, "old-placement-format-1");
}

/// The placement in the second format, split over two keys.
#[test]
fn placement_of_format_2() {
    let mut cluster = cluster_with_former_leader(2);
    cluster.edit_operator(0, json!({"withhold": ["format-3"]}));
    cluster.store.put("format", raw!({"version" => 2}));
    cluster.store.put("jobs/wk-000001", record("live", job("wk-000001", "array", 3)));
    // Both keys have the same revision because one transaction writes both.
    let pieces = [
        raw!({"format" => 2, "epoch" => 4, "of" => 2, "machines" => ["vm-000000"],
              "sets" => [[1, 1, 0]], "done" => [[0, 0]]}),
        raw!({"format" => 2, "epoch" => 4, "of" => 2, "machines" => ["vm-000000", "vm-000001"],
              "sets" => [[2, 2, 0, 1]], "done" => [], "zones" => [[2, 2, "b"]]}),
    ];
    let [first, second] = pieces;
    cluster.store.put_all(&[("shares/wk-000001/0/0", first), ("shares/wk-000001/0/0.1", second)]);
    add_running_tasks(&mut cluster);
    assert_eq!(statuses_after_start(&mut cluster, &["wk-000001"]), ["running"]);
    finish_and_compare(&mut cluster, "old-placement-format-2");
}

fn packed_placement() -> Value {
    raw!({
        "format" => 2, "epoch" => 4, "of" => 1, "machines" => ["vm-000000", "vm-000001"],
        "sets" => [[1, 1, 0], [2, 2, 0, 1]], "done" => [[0, 0]]
    })
}

/// From the third format on, the placement may be stored inline in the job's own record.
#[test]
fn placement_of_format_3() {
    let mut cluster = cluster_with_former_leader(2);
    cluster.edit_operator(0, json!({"withhold": ["format-4"]}));
    cluster.store.put("format", raw!({"version" => 3}));
    let mut live = record("live", job("wk-000001", "array", 3));
    crate::cbor::set_field(&mut live, "share", packed_placement());
    cluster.store.put("jobs/wk-000001", live);
    add_running_tasks(&mut cluster);
    assert_eq!(statuses_after_start(&mut cluster, &["wk-000001"]), ["running"]);
    finish_and_compare(&mut cluster, "old-placement-format-3");
}

/// From the fourth format on, several jobs may share a batch record.
#[test]
fn batch_of_format_4() {
    let mut cluster = cluster_with_former_leader(2);
    cluster.edit_operator(0, json!({}));
    cluster.store.put("format", raw!({"version" => 4}));
    let like: Vec<Value> = job("wk-000001", "array", 3)
        .into_map()
        .expect("a map")
        .into_iter()
        .map(|(k, v)| Value::Array(vec![k, v]))
        .collect();
    let jobs = raw!({
        "wk-000001" => {
            "at_ms" => 1_799_999_000_000u64, "spec" => [], "share" => packed_placement()
        },
        "wk-000002" => {
            "at_ms" => 1_799_999_000_000u64,
            "spec" => [["ref", "wk-000002"], ["pieces", 1], ["hall", "a"], ["due_s", 60.0]]
        }
    });
    cluster.store.put("pages/000000000007", raw!({"like" => like, "jobs" => jobs}));
    add_running_tasks(&mut cluster);
    assert_eq!(statuses_after_start(&mut cluster, &["wk-000001"]), ["running"]);
    cluster.run_until_status(0, "wk-000002", "done", 20_000);
    cluster.journal.assert_golden("old-batch-format-4", &[Channel::ToStore, Channel::ToWorkers]);
    cluster.run_until_status(0, "wk-000001", "done", 20_000);
}

/// A job record with folded chunks, and handoff queue entries of decisions made without the leader.
#[test]
fn folded_chunks_and_notes() {
    let mut cluster = cluster_with_former_leader(1);
    cluster.task_runs.insert("wk-000001".into(), TaskRun { run_ms: 10_000, cause: "done" });
    let mut large = record("live", job("wk-000001", "array", 130));
    crate::cbor::set_field(&mut large, "done_chunks", raw!([[0, 1]]));
    cluster.store.put("jobs/wk-000001", large);
    cluster.store.put("jobs/wk-000002", record("live", job("wk-000002", "array", 1)));
    cluster.store.put("inbox/wk-000002", Value::Bool(false));
    cluster.store.put("inbox/wk-000003", Value::Bool(true));
    assert_eq!(statuses_after_start(&mut cluster, &["wk-000001", "wk-000003"]), ["running", "404"]);
    cluster.run_until_status(0, "wk-000001", "done", 30_000);
    cluster.run_until_status(0, "wk-000002", "done", 30_000);
    assert!(!cluster.store.keys.keys().any(|k| k.starts_with("inbox/")));
    cluster.journal.assert_golden("old-folded-chunks-and-notes", &[Channel::ToStore]);
}

/// Format announcements and activation records of other builds, written before and after features
/// had activation steps of their own.
#[test]
fn format_announcements_and_activations_of_other_builds() {
    let mut cluster = Cluster::new(2, 0, json!({}));
    cluster.store.put("format/node/n1", raw!({"version" => 2}));
    cluster.start(0);
    cluster.run(6_000);
    // The announcement lacks `life`: the second format is activated and no later one.
    assert_eq!(cluster.metrics(0)["format"], 2.0);
    let node = raw!({
        "version" => 4, "features" => ["unheard-of"], "withheld" => ["format-3"], "life" => 1
    });
    cluster.store.put("format/node/n1", node);
    cluster.run(6_000);
    assert_eq!(cluster.metrics(0)["format"], 2.0);
    // The activated feature is unknown to this build: it neither leads nor serves requests.
    let mut cluster = Cluster::new(1, 0, json!({}));
    cluster.store.put("format", raw!({"version" => 4, "features" => ["unheard-of"]}));
    cluster.start_all();
    cluster.run(6_000);
    assert_eq!(cluster.metrics(0)["leads"], 0.0);
    assert_eq!(cluster.metrics(0)["format_foreign"], 1.0);
    assert_eq!(cluster.user_request(0, "GET", "/ready", &[]).status, 503);
    let mut cluster = Cluster::new(1, 0, json!({}));
    cluster.store.put("format", raw!({"version" => 5}));
    cluster.start_all();
    cluster.run(6_000);
    assert_eq!(cluster.metrics(0)["format_foreign"], 1.0);
}
