//! Tests of the objectives of a service report, and of parsing the controllers' logs.

use super::*;

/// A scenario fails if a class or a team is served below the minimum, or if the largest jobs of a
/// class start too late.
#[test]
fn low_served_share_or_late_start_fails_scenario() {
    let report_with_team_started = |started: u64| -> ScenarioReport {
        let text = serde_json::json!({
            "scenario": "d", "rules_broken": { "total": 0 }, "node_stats": [],
            "classes": { "a": { "jobs": 100, "started": 90 } },
            "teams": { "t": { "jobs": 10, "started": started }, "u": { "jobs": 0, "started": 0 } },
        });
        serde_json::from_value(text).unwrap()
    };
    let objectives =
        ServiceObjectives { min_served: 0.5, max_start_wait: 240.0, faults_over: None };
    assert_eq!(report_with_team_started(4).failures(objectives, &[]), ["team t served 0.40"]);
    assert!(report_with_team_started(5).failures(objectives, &[]).is_empty());
    let late = LargestJobs { class: "a".into(), jobs: 2, served_fraction: 0.5, max_wait_s: 241.0 };
    assert_eq!(
        report_with_team_started(5).failures(objectives, &[late]),
        ["a's largest started after 241 s"]
    );
}

/// The largest jobs of a class are counted even if they never start, only once if two leaders log
/// them, and separately from the many small jobs of their class.
#[test]
fn largest_jobs_are_read_from_controller_logs() {
    let mut log = String::from("noise\n");
    for number in 0..20 {
        let tasks = if number < 2 { 500 } else { number };
        let job = format!("job=wk-{number} class=c tasks={tasks}");
        // The message of the current version, and that of earlier versions.
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

/// The longest unanswered time includes refusals, late answers and jobs that are never answered
/// again. It excludes queries before the given second, and jobs that were never accepted.
#[test]
fn longest_unanswered_job_is_read_from_controller_logs() {
    let line = |at_s: u32, job: &str, status: u16, took_ms: u32| {
        format!(
            "  {at_s}.5 n0 2026 DEBUG status query answered job={job} status={status} \
             took_ms={took_ms}\n"
        )
    };
    let mut log = String::from("noise\n");
    log += &line(10, "wk-1", 503, 5);
    log += &line(190, "wk-1", 200, 5);
    log += &line(200, "wk-2", 200, 5);
    log += &line(210, "wk-2", 503, 5);
    log += &line(215, "wk-9", 503, 5);
    log += &line(240, "wk-2", 200, 2_500);
    log += &line(286, "wk-2", 503, 5);
    log += &line(900, "wk-9", 404, 5);
    let expected = UnansweredJob { job: "wk-2".into(), since_s: 210.5, seconds: 76.0 };
    assert_eq!(longest_unanswered(&log, 195.0), Some(expected.clone()));
    assert_eq!(expected.failure().unwrap(), "wk-2 unanswered for 76 s from 210 s on");
    assert_eq!(UnansweredJob { seconds: 75.0, ..expected }.failure(), None);
    assert_eq!(longest_unanswered(&log, 0.0).unwrap().job, "wk-1");
    assert_eq!(longest_unanswered("nothing of ours", 0.0), None);
}
