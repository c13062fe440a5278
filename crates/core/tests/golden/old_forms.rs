//! Records as earlier versions wrote them are read, whatever the controller writes itself.

use serde_json::json;

use crate::cbor::{raw, Value};
use crate::cluster::Cluster;
use crate::jobs::job;
use crate::journal::Channel;
use crate::worker::Run;

/// Attempts are numbered by the epoch that gave them.
const ATTEMPT: u64 = (4 << 24) | 1;

fn record(status: &str, spec: Value) -> Value {
    raw!({"status" => status, "spec" => spec, "at_ms" => 1_799_999_000_000u64})
}

/// The store as a leader of the fourth epoch has left it, in the first format.
fn left_behind(workers: u32) -> Cluster {
    let mut c = Cluster::new(1, workers, json!({"withhold": ["format-2"]}));
    let view = raw!({"epoch" => 4, "leader" => "n9", "members" => ["n9"]});
    c.store.put("view", view);
    c
}

/// Starts the controller, and tells what it knows of these jobs once it has heard the workers.
fn told(c: &mut Cluster, jobs: &[&str]) -> Vec<String> {
    c.start_all();
    c.run(6_000);
    assert_eq!(c.metrics(0)["leads"], 1.0);
    jobs.iter().map(|job| c.poll(0, job)).collect()
}

/// Three tasks of which the first is done and two run, as this placement says.
fn with_three_tasks(c: &mut Cluster) {
    for (worker, task) in [("vm-000000", "wk-000001/1"), ("vm-000001", "wk-000001/2")] {
        let worker = c.workers.get_mut(worker).expect("it is there");
        worker.holds(task, ATTEMPT, 14_000);
        worker.token = 4 << 24;
    }
}

/// Runs until the job is done, and checks that no task was started anew.
fn finish(c: &mut Cluster, name: &str) {
    let answer = c.ask_user(0, "GET", "/api/jobs/wk-000001", &[]);
    let told = raw!({
        "ref" => "wk-000001", "status" => "running", "done" => 1, "running" => 2
    });
    assert_eq!(answer.body, crate::cbor::encode(&told));
    c.until_status(0, "wk-000001", "done", 30_000);
    c.run(5_000);
    c.journal.assert_golden(name, &[Channel::ToStore, Channel::ToWorkers]);
}

#[test]
fn ends_of_jobs() {
    let mut c = left_behind(0);
    c.store.put("jobs/wk-000001", raw!({"status" => "done", "at_ms" => 5}));
    c.store.put("jobs/wk-000002", raw!({"status" => "aborted", "at_ms" => 5}));
    c.store.put("jobs/wk-000003", record("aborted", job("wk-000003", "array", 1)));
    let service = raw!({"status" => "aborted", "at_ms" => 5, "service" => true});
    c.store.put("jobs/wk-000004", service);
    c.store.put("jobs/wk-000005", record("live", job("wk-000005", "array", 1)));
    let jobs = ["wk-000001", "wk-000002", "wk-000003", "wk-000004", "wk-000005"];
    let statuses = ["done", "aborted", "aborted", "aborted", "pending"];
    assert_eq!(told(&mut c, &jobs), statuses);
}

/// The placement of the first format: sets as maps, tasks counted from the job's first.
#[test]
fn placement_of_format_1() {
    let mut c = left_behind(2);
    c.store.put("jobs/wk-000001", record("live", job("wk-000001", "array", 3)));
    let placement = raw!({
        "epoch" => 4, "machines" => ["vm-000000", "vm-000001"],
        "sets" => [{"from" => 1, "to" => 1, "machines" => [0]},
                   {"from" => 2, "to" => 2, "machines" => [0, 1]}],
        "done" => [[0, 0]]
    });
    c.store.put("shares/wk-000001/0/0", placement);
    with_three_tasks(&mut c);
    assert_eq!(told(&mut c, &["wk-000001"]), ["running"]);
    finish(&mut c, "old-placement-format-1");
}

/// The placement of the second format, over two keys.
#[test]
fn placement_of_format_2() {
    let mut c = left_behind(2);
    c.edit_operator(0, json!({"withhold": ["format-3"]}));
    c.store.put("format", raw!({"version" => 2}));
    c.store.put("jobs/wk-000001", record("live", job("wk-000001", "array", 3)));
    // Both keys are of one revision, as one transaction leaves them.
    let pieces = [
        raw!({"format" => 2, "epoch" => 4, "of" => 2, "machines" => ["vm-000000"],
              "sets" => [[1, 1, 0]], "done" => [[0, 0]]}),
        raw!({"format" => 2, "epoch" => 4, "of" => 2, "machines" => ["vm-000000", "vm-000001"],
              "sets" => [[2, 2, 0, 1]], "done" => [], "zones" => [[2, 2, "b"]]}),
    ];
    let [first, second] = pieces;
    c.store.put_together(&[("shares/wk-000001/0/0", first), ("shares/wk-000001/0/0.1", second)]);
    with_three_tasks(&mut c);
    assert_eq!(told(&mut c, &["wk-000001"]), ["running"]);
    finish(&mut c, "old-placement-format-2");
}

fn packed() -> Value {
    raw!({
        "format" => 2, "epoch" => 4, "of" => 1, "machines" => ["vm-000000", "vm-000001"],
        "sets" => [[1, 1, 0], [2, 2, 0, 1]], "done" => [[0, 0]]
    })
}

/// Since the third format the placement may stand in the job's own record.
#[test]
fn placement_of_format_3() {
    let mut c = left_behind(2);
    c.edit_operator(0, json!({"withhold": ["format-4"]}));
    c.store.put("format", raw!({"version" => 3}));
    let mut live = record("live", job("wk-000001", "array", 3));
    crate::cbor::set_field(&mut live, "share", packed());
    c.store.put("jobs/wk-000001", live);
    with_three_tasks(&mut c);
    assert_eq!(told(&mut c, &["wk-000001"]), ["running"]);
    finish(&mut c, "old-placement-format-3");
}

/// Since the fourth, several jobs may share a record.
#[test]
fn batch_of_format_4() {
    let mut c = left_behind(2);
    c.edit_operator(0, json!({}));
    c.store.put("format", raw!({"version" => 4}));
    let like: Vec<Value> = job("wk-000001", "array", 3)
        .into_map()
        .expect("a map")
        .into_iter()
        .map(|(k, v)| Value::Array(vec![k, v]))
        .collect();
    let jobs = raw!({
        "wk-000001" => {"at_ms" => 1_799_999_000_000u64, "spec" => [], "share" => packed()},
        "wk-000002" => {
            "at_ms" => 1_799_999_000_000u64,
            "spec" => [["ref", "wk-000002"], ["pieces", 1], ["hall", "a"], ["due_s", 60.0]]
        }
    });
    c.store.put("pages/000000000007", raw!({"like" => like, "jobs" => jobs}));
    with_three_tasks(&mut c);
    assert_eq!(told(&mut c, &["wk-000001"]), ["running"]);
    c.until_status(0, "wk-000002", "done", 20_000);
    c.journal.assert_golden("old-batch-format-4", &[Channel::ToStore, Channel::ToWorkers]);
    c.until_status(0, "wk-000001", "done", 20_000);
}

/// Chunks that were folded away, and what was recorded past the leader.
#[test]
fn folded_chunks_and_notes() {
    let mut c = left_behind(1);
    c.runs.insert("wk-000001".into(), Run { run_ms: 10_000, cause: "done" });
    let mut large = record("live", job("wk-000001", "array", 130));
    crate::cbor::set_field(&mut large, "done_chunks", raw!([[0, 1]]));
    c.store.put("jobs/wk-000001", large);
    c.store.put("jobs/wk-000002", record("live", job("wk-000002", "array", 1)));
    c.store.put("inbox/wk-000002", Value::Bool(false));
    c.store.put("inbox/wk-000003", Value::Bool(true));
    assert_eq!(told(&mut c, &["wk-000001", "wk-000003"]), ["running", "404"]);
    c.until_status(0, "wk-000001", "done", 30_000);
    c.until_status(0, "wk-000002", "done", 30_000);
    assert!(!c.store.keys.keys().any(|k| k.starts_with("inbox/")));
    c.journal.assert_golden("old-folded-chunks-and-notes", &[Channel::ToStore]);
}

/// Words of controllers before and after features came with steps of their own.
#[test]
fn words_about_formats() {
    let mut c = Cluster::new(2, 0, json!({}));
    c.store.put("format/node/n1", raw!({"version" => 2}));
    c.start(0);
    c.run(6_000);
    // Without the word of a life, the second format comes, and no more.
    assert_eq!(c.metrics(0)["format"], 2.0);
    let node = raw!({
        "version" => 4, "features" => ["unheard-of"], "withheld" => ["format-3"], "life" => 1
    });
    c.store.put("format/node/n1", node);
    c.run(6_000);
    assert_eq!(c.metrics(0)["format"], 2.0);
    // A standing format that this build does not know: it neither leads nor serves.
    let mut c = Cluster::new(1, 0, json!({}));
    c.store.put("format", raw!({"version" => 4, "features" => ["unheard-of"]}));
    c.start_all();
    c.run(6_000);
    assert_eq!(c.metrics(0)["leads"], 0.0);
    assert_eq!(c.metrics(0)["format_foreign"], 1.0);
    assert_eq!(c.ask_user(0, "GET", "/ready", &[]).status, 503);
    let mut c = Cluster::new(1, 0, json!({}));
    c.store.put("format", raw!({"version" => 5}));
    c.start_all();
    c.run(6_000);
    assert_eq!(c.metrics(0)["format_foreign"], 1.0);
}
