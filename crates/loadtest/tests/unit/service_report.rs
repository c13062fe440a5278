//! Tests of what `service_report.rs` keeps to itself.

use super::*;

/// Guards against a day passing for good on which one team got less than half.
#[test]
fn a_team_below_half_fails_the_day() {
    let report = |served: u64| -> Report {
        let text = serde_json::json!({
            "scenario": "d", "rules_broken": { "total": 0 }, "node_stats": [],
            "classes": { "a": { "jobs": 100, "started": 90 } },
            "teams": { "t": { "jobs": 10, "started": served }, "u": { "jobs": 0, "started": 0 } },
        });
        serde_json::from_value(text).unwrap()
    };
    let bar = Least { least: 0.5, begin_within: 240.0 };
    assert_eq!(report(4).failed(bar, &[]), ["team t served 0.40"]);
    assert!(report(5).failed(bar, &[]).is_empty());
    let late = Largest { class: "a".into(), jobs: 2, served: 0.5, latest_s: 241.0 };
    assert_eq!(report(5).failed(bar, &[late]), ["a's largest began after 241 s"]);
}

/// Guards against largest jobs that are not counted since they never begin, are told of twice
/// by two leaders, or hide among the many small ones of their class.
#[test]
fn the_largest_tenth_is_told_from_the_logs() {
    let mut log = String::from("noise\n");
    for n in 0..20 {
        let tasks = if n < 2 { 500 } else { n };
        log += &format!("1.0 n0 DEBUG known job=wk-{n} class=c tasks={tasks}\n");
        if n != 1 {
            log += &format!("9 n0 DEBUG begun job=wk-{n} class=c tasks={tasks} waited_ms=7000\n");
            log += &format!("9 n1 DEBUG begun job=wk-{n} class=c tasks={tasks} waited_ms=9000\n");
        }
    }
    let one = Largest { class: "c".into(), jobs: 2, served: 0.5, latest_s: 7.0 };
    assert_eq!(largest(&log), [one]);
    assert!(largest("nothing of ours").is_empty());
}
