//! Guards against checks that detect nothing: each check must report a history that violates its
//! invariant and accept one that does not.

use quartzgate_wire::msg::{JobKind, JobSpec, JobStatus, Priority};

use super::*;
use crate::settings::TEAM;

const JOB: &str = "wk-000001";
const TASK: &str = "wk-000001/0";

fn spec(id: &str, cpus: f64) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "soak".into(),
        team: TEAM.into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: 1,
        cpus,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "image".into(),
        image_gb: 0.1,
        types: None,
        zone: None,
        together: false,
        spread: false,
        spot: true,
        estimate_s: 1.0,
        checkpoint_interval_s: 0.0,
        checkpoint_cost_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// Returns a history with one job, accepted at 100 ms.
fn history_with_accepted_job() -> History {
    let mut history = History::default();
    history.on_submitted(spec(JOB, 4.0));
    history.on_state_reported(JOB, 50, 100, ReportedState::Status(JobStatus::Queued));
    history
}

fn query_outcome(node: usize, sent_ms: u64, reported: Option<ReportedState>) -> QueryOutcome {
    QueryOutcome { node, sent_ms, ended_ms: sent_ms + 10, reported }
}

#[track_caller]
fn assert_violated(history: &History, text: &str) {
    let violations = &history.violations;
    assert!(violations.iter().any(|violation| violation.contains(text)), "{violations:?}");
}

#[test]
fn valid_history_has_no_violations() {
    let mut history = history_with_accepted_job();
    history.on_task_started(200, "vm-1", TASK);
    history.on_task_completed("vm-1", TASK);
    history.on_state_reported(JOB, 300, 310, ReportedState::Status(JobStatus::Done));
    history.on_state_reported(JOB, 400, 410, ReportedState::Status(JobStatus::Done));
    history.faults_over_ms = Some(0);
    history.on_query_ended(JOB, query_outcome(0, 500, None));
    history.on_query_ended(
        JOB,
        query_outcome(0, 70_000, Some(ReportedState::Status(JobStatus::Done))),
    );
    history.end_run(200_000);
    assert_eq!(history.violations, Vec::<String>::new());
    assert_eq!(history.longest_unanswered_ms, 69_510);
}

#[test]
fn task_on_two_machines_is_reported() {
    let mut history = history_with_accepted_job();
    history.on_task_started(200, "vm-1", TASK);
    history.on_task_started(300, "vm-2", TASK);
    assert_violated(&history, "ran_twice");
}

#[test]
fn attempt_that_an_agent_starts_again_is_reported() {
    let mut history = history_with_accepted_job();
    let start = |agent_epoch, attempt| AttemptStart {
        machine: "vm-1".into(),
        agent_epoch,
        task: TASK.into(),
        attempt,
    };
    history.on_attempt_started(200, start(1, 1));
    history.on_attempt_started(300, start(1, 2));
    history.on_attempt_started(400, start(2, 1));
    assert!(history.violations.is_empty());
    history.on_attempt_started(500, start(1, 1));
    assert_violated(&history, "restarted");
}

#[test]
fn start_long_after_cancellation_is_reported() {
    let mut history = history_with_accepted_job();
    history.on_cancel_requested(JOB);
    history.on_state_reported(JOB, 200, 210, ReportedState::Status(JobStatus::Aborted));
    history.on_task_started(1_000, "vm-1", TASK);
    assert_eq!((history.violations.len(), history.starts_after_cancel), (0, 1));
    history.on_task_removed("vm-1", TASK);
    history.on_task_started(210 + MAX_START_AFTER_CANCEL_MS + 1, "vm-1", TASK);
    assert_violated(&history, "ran_cancelled");
}

#[test]
fn start_sent_after_a_cancellation_is_reported_without_allowance() {
    let mut history = history_with_accepted_job();
    history.on_start_received(150, TASK);
    history.on_cancel_requested(JOB);
    history.on_state_reported(JOB, 200, 210, ReportedState::Status(JobStatus::Aborted));
    history.on_start_received(210 + RECORD_LAG_MS, TASK);
    assert!(history.violations.is_empty());
    history.on_start_received(211 + RECORD_LAG_MS, TASK);
    assert_violated(&history, "start after cancellation");
}

#[test]
fn task_that_outlives_cancellation_is_reported_once() {
    let mut history = history_with_accepted_job();
    history.on_task_started(200, "vm-1", TASK);
    history.on_cancel_requested(JOB);
    history.on_state_reported(JOB, 200, 210, ReportedState::Status(JobStatus::Aborted));
    history.check_cancelled_tasks(210 + CANCEL_MS);
    assert!(history.violations.is_empty());
    history.check_cancelled_tasks(210 + CANCEL_MS + RECORD_LAG_MS + 1);
    history.check_cancelled_tasks(210 + CANCEL_MS + RECORD_LAG_MS + 2);
    assert_violated(&history, "ran_cancelled");
    assert_eq!(history.violations.len(), 1);
}

#[test]
fn team_above_cpu_limit_is_reported() {
    let mut history = history_with_accepted_job();
    history.on_submitted(spec("wk-000002", TEAM_CPUS - 3.0));
    history.on_task_started(200, "vm-1", TASK);
    history.on_task_started(201, "vm-2", "wk-000002/0");
    assert_violated(&history, "quota");
}

#[test]
fn answers_older_than_known_state_are_reported() {
    let mut history = history_with_accepted_job();
    history.on_state_reported(JOB, 200, 210, ReportedState::Unknown);
    assert_violated(&history, "forgotten");

    let mut history = history_with_accepted_job();
    history.on_cancel_requested(JOB);
    history.on_state_reported(JOB, 200, 210, ReportedState::Status(JobStatus::Aborted));
    history.on_state_reported(JOB, 205, 220, ReportedState::Status(JobStatus::Running));
    assert!(
        history.violations.is_empty(),
        "the query was sent before the user learned of the cancellation"
    );
    history.on_state_reported(JOB, 211, 230, ReportedState::Status(JobStatus::Running));
    assert_violated(&history, "went_back");
}

#[test]
fn false_ends_unknown_jobs_and_refused_repeats_are_reported() {
    let mut history = history_with_accepted_job();
    history.on_state_reported(JOB, 200, 210, ReportedState::Status(JobStatus::Done));
    assert_violated(&history, "not_done");

    let mut history = history_with_accepted_job();
    history.on_state_reported(JOB, 200, 210, ReportedState::Status(JobStatus::Aborted));
    assert_violated(&history, "nobody cancelled");

    let mut history = history_with_accepted_job();
    history.on_state_reported("wk-9", 200, 210, ReportedState::Status(JobStatus::Running));
    assert_violated(&history, "invented");

    let mut history = history_with_accepted_job();
    history.on_submission_refused(JOB, 200, 210, 422);
    assert_violated(&history, "a repeat");
}

#[test]
fn job_unanswered_for_too_long_is_reported() {
    for ends_with_answer in [true, false] {
        let mut history = history_with_accepted_job();
        history.faults_over_ms = Some(1_000);
        history.on_query_ended(JOB, query_outcome(1, 500, None));
        history.on_query_ended(
            JOB,
            query_outcome(0, 600, Some(ReportedState::Status(JobStatus::Running))),
        );
        let late_ms = 1_000 + MAX_UNANSWERED_MS + 1;
        match ends_with_answer {
            true => {
                let reported = Some(ReportedState::Status(JobStatus::Running));
                history.on_query_ended(JOB, query_outcome(1, late_ms, reported));
            }
            false => history.end_run(late_ms),
        }
        assert_violated(&history, "by host-1");
    }
}

#[test]
fn job_waiting_despite_free_capacity_is_reported() {
    let mut history = history_with_accepted_job();
    history.check_waiting_jobs(1_000, 4.0);
    history.check_waiting_jobs(50_000, 3.0);
    history.check_waiting_jobs(60_000, 4.0);
    history.check_waiting_jobs(60_000 + MAX_WAIT_MS, 4.0);
    assert!(history.violations.is_empty(), "the wait restarts after a time without room");
    history.check_waiting_jobs(60_001 + MAX_WAIT_MS, 4.0);
    assert_violated(&history, "waits for");
}
