//! The names of all figures of `GET /metrics`.

use std::collections::BTreeMap;

use quartzgate_core::LoadState;
use serde_json::json;

use crate::cluster::Cluster;
use crate::jobs::{job, needing, with};
use crate::journal::assert_golden;
use crate::worker::Run;

fn section(title: &str, figures: &BTreeMap<String, f64>) -> String {
    let names: Vec<String> = figures.keys().map(|name| format!("  {name}\n")).collect();
    format!("{title}\n{}", names.concat())
}

/// A leader and a follower at several moments; one controller withholds the newest format.
#[test]
fn names_of_figures() {
    let mut c = Cluster::new(3, 4, json!({}));
    c.edit_operator(2, json!({"withhold": ["format-4"]}));
    let mut text = String::new();
    c.start_all();
    c.run(1);
    text.push_str(&section("at the very start", &c.metrics(0)));
    c.run(8_000);
    text.push_str(&section("leader without jobs", &c.metrics(0)));
    text.push_str(&section("follower", &c.metrics(1)));
    for id in ["wk-000001", "wk-000004"] {
        c.runs.insert(id.into(), Run { run_ms: 10_000, cause: "done" });
    }
    let large = with(job("wk-000001", "array", 8), &[("vcpus", 6.0.into())]);
    assert_eq!(c.submit(0, &large), 201);
    let gpus = [
        ("job_class", "render".into()),
        ("gpus", 1.0.into()),
        ("hall", "a".into()),
        ("loaners", false.into()),
    ];
    assert_eq!(c.submit(0, &with(job("wk-000002", "gang", 2), &gpus)), 201);
    assert_eq!(c.submit(1, &needing(job("wk-000003", "array", 1), &["wk-000004"])), 422);
    let typed = [("host_types", ciborium::Value::Array(vec!["k8".into()]))];
    assert_eq!(c.submit(1, &with(job("wk-000004", "array", 1), &typed)), 201);
    assert_eq!(c.submit(1, &needing(job("wk-000003", "array", 1), &["wk-000004"])), 201);
    c.run(3_000);
    text.push_str(&section("leader amid work", &c.metrics(0)));
    text.push_str(&section("follower amid work", &c.metrics(1)));
    c.until_status(0, "wk-000003", "done", 60_000);
    assert_eq!(c.abort(0, "wk-000002"), 200);
    c.run(3_000);
    c.tell_load(0, LoadState::default(), &[("intake_ms.report.p50", 3.0)]);
    let after = c.metrics(0);
    assert_eq!(after["load"], 0.0);
    assert_eq!(after["format"], 3.0);
    assert_eq!(after["feature.inline-shares"], 1.0);
    assert_eq!(after["feature.shared-pages"], 0.0);
    text.push_str(&section("leader after work", &after));
    assert_golden("metrics", &text);
}
