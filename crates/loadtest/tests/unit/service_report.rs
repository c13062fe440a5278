//! Tests of the objectives of a service report, and of reading the controllers' logs.

use super::*;

/// A class or team below the minimum, or largest jobs that start too late, fail the scenario.
#[test]
fn low_served_share_or_late_start_fails_scenario() {
    let report = |started: u64| -> ScenarioReport {
        let text = serde_json::json!({
            "scenario": "d", "rules_broken": { "total": 0 }, "node_stats": [],
            "classes": { "a": { "jobs": 100, "started": 90 } },
            "teams": { "t": { "jobs": 10, "started": started }, "u": { "jobs": 0, "started": 0 } },
        });
        serde_json::from_value(text).unwrap()
    };
    let objectives = ServiceObjectives { min_served: 0.5, max_start_wait: 240.0 };
    assert_eq!(report(4).failures(objectives, &[]), ["team t served 0.40"]);
    assert!(report(5).failures(objectives, &[]).is_empty());
    let late = LargestJobs { class: "a".into(), jobs: 2, served_fraction: 0.5, max_wait_s: 241.0 };
    assert_eq!(report(5).failures(objectives, &[late]), ["a's largest started after 241 s"]);
}

/// The largest jobs of a class are counted also if they never start, once if two leaders log
/// them, and apart from the many small ones of their class.
#[test]
fn largest_jobs_are_read_from_controller_logs() {
    let mut log = String::from("noise\n");
    for number in 0..20 {
        let tasks = if number < 2 { 500 } else { number };
        let job = format!("job=wk-{number} class=c tasks={tasks}");
        // The message of this version, and that of earlier ones.
        let entered = if number % 3 == 1 { "job entered" } else { "known" };
        log += &format!("1.0 n0 DEBUG {entered} {job}\n");
        if number != 1 {
            log += &format!("9 n0 DEBUG begun {job} waited_ms=7000\n");
            log += &format!("9 n1 DEBUG begun {job} waited_ms=9000\n");
        }
    }
    let expected =
        LargestJobs { class: "c".into(), jobs: 2, served_fraction: 0.5, max_wait_s: 7.0 };
    assert_eq!(largest_jobs(&log), [expected]);
    assert!(largest_jobs("nothing of ours").is_empty());
}
