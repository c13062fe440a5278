//! The names of all metrics of `GET /metrics`.

use std::collections::BTreeMap;

use quartzgate_core::LoadState;
use serde_json::json;

use crate::cluster::Cluster;
use crate::jobs::{depending_on, job, with_fields};
use crate::journal::assert_golden;
use crate::worker::TaskRun;

fn section(title: &str, metrics: &BTreeMap<String, f64>) -> String {
    let names: Vec<String> = metrics.keys().map(|name| format!("  {name}\n")).collect();
    format!("{title}\n{}", names.concat())
}

/// Collects the metric names of a leader and a follower at several stages of a run in which one
/// controller withholds the newest format.
#[test]
fn metric_names_at_several_stages() {
    let mut cluster = Cluster::new(3, 4, json!({}));
    cluster.edit_operator(2, json!({"withhold": ["format-4"]}));
    let mut text = String::new();
    cluster.start_all();
    cluster.run(1);
    text.push_str(&section("at the very start", &cluster.metrics(0)));
    cluster.run(8_000);
    text.push_str(&section("leader without jobs", &cluster.metrics(0)));
    text.push_str(&section("follower", &cluster.metrics(1)));
    for id in ["wk-000001", "wk-000004"] {
        cluster.task_runs.insert(id.into(), TaskRun { run_ms: 10_000, cause: "done" });
    }
    let large = with_fields(job("wk-000001", "array", 8), &[("vcpus", 6.0.into())]);
    assert_eq!(cluster.submit(0, &large), 201);
    let gpus = [
        ("job_class", "render".into()),
        ("gpus", 1.0.into()),
        ("hall", "a".into()),
        ("loaners", false.into()),
    ];
    assert_eq!(cluster.submit(0, &with_fields(job("wk-000002", "gang", 2), &gpus)), 201);
    assert_eq!(cluster.submit(1, &depending_on(job("wk-000003", "array", 1), &["wk-000004"])), 422);
    let typed = [("host_types", ciborium::Value::Array(vec!["k8".into()]))];
    assert_eq!(cluster.submit(1, &with_fields(job("wk-000004", "array", 1), &typed)), 201);
    assert_eq!(cluster.submit(1, &depending_on(job("wk-000003", "array", 1), &["wk-000004"])), 201);
    cluster.run(3_000);
    text.push_str(&section("leader amid work", &cluster.metrics(0)));
    text.push_str(&section("follower amid work", &cluster.metrics(1)));
    cluster.run_until_status(0, "wk-000003", "done", 60_000);
    assert_eq!(cluster.abort(0, "wk-000002"), 200);
    cluster.run(3_000);
    cluster.report_load(0, LoadState::default(), &[("intake_ms.report.p50", 3.0)]);
    let metrics = cluster.metrics(0);
    assert_eq!(metrics["load"], 0.0);
    assert_eq!(metrics["format"], 3.0);
    assert_eq!(metrics["feature.inline-shares"], 1.0);
    assert_eq!(metrics["feature.shared-pages"], 0.0);
    text.push_str(&section("leader after work", &metrics));
    assert_golden("metrics", &text);
}
