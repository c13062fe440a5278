//! History of a run as the stand-ins and users observe it, and checks of the scheduler's
//! invariants.
//!
//! Times are in milliseconds since the run began. Each violation is recorded with its time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use quartzgate_wire::msg::{JobSpec, JobStatus};

use crate::settings::{CANCEL_MS, LEASE_MS, TEAM_CPUS};

/// Longest time for which one controller may leave status queries for an accepted job unanswered
/// once the faults are over.
pub const MAX_UNANSWERED_MS: u64 = 75_000;
/// Longest time for which a job may wait despite free capacity once the faults are over.
pub const MAX_WAIT_MS: u64 = 90_000;
/// Longest time after a confirmed cancellation for which a controller that cannot know of the
/// cancellation may still start a task: until the controller's own lease bound has passed.
const MAX_START_AFTER_CANCEL_MS: u64 = CANCEL_MS - LEASE_MS;
/// Longest time by which a record of a stand-in may lag behind the events that it describes.
const RECORD_LAG_MS: u64 = 300;
/// Maximum number of violations kept for the report; later ones are dropped.
const MAX_VIOLATIONS: usize = 20;

/// A job that a user has submitted, and the observations of the job so far.
#[derive(Debug)]
pub struct JobHistory {
    /// The job specification as submitted.
    pub spec: JobSpec,
    /// When a user first learned that the job is accepted.
    pub accepted_ms: Option<u64>,
    /// Whether a user has requested cancellation.
    pub cancel_requested: bool,
    /// When a user first learned that the job is cancelled.
    pub cancelled_ms: Option<u64>,
    /// When a user first learned that the job is done.
    pub done_ms: Option<u64>,
    /// Tasks that have run to completion.
    pub completed: BTreeSet<String>,
    waiting_since_ms: Option<u64>,
}

impl JobHistory {
    /// Returns whether the scheduler still has to run the job: it is accepted, and its user neither
    /// requested cancellation nor learned that it is done.
    pub fn is_open(&self) -> bool {
        self.accepted_ms.is_some() && !self.cancel_requested && self.done_ms.is_none()
    }

    /// Returns whether users still query the job: it is accepted and not known to have ended.
    pub fn is_polled(&self) -> bool {
        self.accepted_ms.is_some() && self.cancelled_ms.is_none() && self.done_ms.is_none()
    }
}

/// The outcome of a status query.
#[derive(Clone, Copy, Debug)]
pub struct QueryOutcome {
    /// The controller that received the query.
    pub node: usize,
    /// When the user sent the query.
    pub sent_ms: u64,
    /// When the answer arrived or the query timed out.
    pub ended_ms: u64,
    /// The state in the answer; `None` without an answer or if the answer states none.
    pub reported: Option<ReportedState>,
}

/// The state of a job according to an answer to a user.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    /// The job is accepted and has this status.
    Status(JobStatus),
    /// The job was never accepted.
    Unknown,
}

/// A start of an attempt by a machine's agent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptStart {
    /// Name of the machine.
    pub machine: String,
    /// Incarnation of the machine's agent.
    pub agent_epoch: u64,
    /// Name of the task.
    pub task: String,
    /// Attempt number of the task.
    pub attempt: u64,
}

/// The history of a run.
#[derive(Default)]
pub struct History {
    /// All submitted jobs by id.
    pub jobs: BTreeMap<String, JobHistory>,
    /// The tasks that are running, by name.
    live_tasks: BTreeMap<String, LiveTask>,
    /// All attempts that agents have started.
    started_attempts: BTreeSet<AttemptStart>,
    /// When the last fault was over; `None` until then.
    pub faults_over_ms: Option<u64>,
    /// For each job and controller, when the first of the queries that are unanswered was sent.
    unanswered_since: BTreeMap<(String, usize), u64>,
    /// Longest time for which one controller left a job's queries unanswered after the faults.
    pub longest_unanswered_ms: u64,
    /// Number of status queries that were answered with a job's state.
    pub answers: u64,
    /// Number of task starts.
    pub starts: u64,
    /// Number of task starts after the job's cancellation was confirmed, including allowed ones.
    pub starts_after_cancel: u64,
    /// Descriptions of violated invariants.
    pub violations: Vec<String>,
}

#[derive(Debug)]
struct LiveTask {
    machine: String,
    cpus: f64,
    /// Whether it has been reported that the task outlived its job's cancellation.
    overdue_reported: bool,
}

impl History {
    /// Records a violation, unless [`MAX_VIOLATIONS`] are recorded already.
    pub fn record_violation(&mut self, now_ms: u64, description: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(format!("{:.1} s: {description}", now_ms as f64 / 1e3));
        }
    }

    /// Records that a user submits a job.
    pub fn on_submitted(&mut self, spec: JobSpec) {
        let job = JobHistory {
            spec: spec.clone(),
            accepted_ms: None,
            cancel_requested: false,
            cancelled_ms: None,
            done_ms: None,
            completed: BTreeSet::new(),
            waiting_since_ms: None,
        };
        self.jobs.insert(spec.id, job);
    }

    /// Records that a user requests cancellation of a job.
    pub fn on_cancel_requested(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.cancel_requested = true;
        }
    }

    /// Records the outcome of a status query.
    pub fn on_query_ended(&mut self, id: &str, outcome: QueryOutcome) {
        match outcome.reported {
            Some(reported) => {
                self.answers += 1;
                self.on_state_reported(id, outcome.sent_ms, outcome.ended_ms, reported);
                self.end_unanswered(id, outcome);
            }
            None => {
                let key = (id.to_string(), outcome.node);
                self.unanswered_since.entry(key).or_insert(outcome.sent_ms);
            }
        }
    }

    fn end_unanswered(&mut self, id: &str, outcome: QueryOutcome) {
        if let Some(since_ms) = self.unanswered_since.remove(&(id.to_string(), outcome.node)) {
            self.check_unanswered(id, outcome.node, since_ms, outcome.ended_ms);
        }
    }

    fn check_unanswered(&mut self, id: &str, node: usize, since_ms: u64, until_ms: u64) {
        let Some(faults_over_ms) = self.faults_over_ms else { return };
        let unanswered_ms = until_ms.saturating_sub(since_ms.max(faults_over_ms));
        self.longest_unanswered_ms = self.longest_unanswered_ms.max(unanswered_ms);
        if unanswered_ms > MAX_UNANSWERED_MS {
            let description = format!(
                "forgotten: queries for {id} unanswered for {unanswered_ms} ms by host-{node}"
            );
            self.record_violation(until_ms, description);
        }
    }

    /// Checks the jobs whose queries are still unanswered at the end of the run.
    pub fn end_run(&mut self, now_ms: u64) {
        for ((id, node), since_ms) in std::mem::take(&mut self.unanswered_since) {
            if self.jobs.get(&id).is_some_and(JobHistory::is_polled) {
                self.check_unanswered(&id, node, since_ms, now_ms);
            }
        }
    }

    /// Records the state that a user learned at `now_ms` from the answer to a request sent at
    /// `sent_ms`, and checks it against the states that users had learned before `sent_ms`.
    pub fn on_state_reported(
        &mut self,
        id: &str,
        sent_ms: u64,
        now_ms: u64,
        reported: ReportedState,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            if reported != ReportedState::Unknown {
                self.record_violation(
                    now_ms,
                    format!("invented: {id} was never submitted but is reported as {reported:?}"),
                );
            }
            return;
        };
        let known_before = |at_ms: Option<u64>| at_ms.is_some_and(|at_ms| at_ms < sent_ms);
        let (accepted, cancelled, done) = (
            known_before(job.accepted_ms),
            known_before(job.cancelled_ms),
            known_before(job.done_ms),
        );
        let mut found = None;
        match reported {
            ReportedState::Unknown if accepted => {
                found = Some(format!("forgotten: {id} was accepted and is reported unknown"))
            }
            ReportedState::Unknown => {}
            ReportedState::Status(JobStatus::Done) => {
                job.accepted_ms.get_or_insert(now_ms);
                job.done_ms.get_or_insert(now_ms);
                if job.completed.len() < job.spec.tasks as usize {
                    found = Some(format!("not_done: {id} is reported done with tasks incomplete"));
                } else if cancelled {
                    found = Some(format!("went_back: {id} was cancelled and is reported done"));
                }
            }
            ReportedState::Status(JobStatus::Aborted) => {
                job.accepted_ms.get_or_insert(now_ms);
                job.cancelled_ms.get_or_insert(now_ms);
                if !job.cancel_requested {
                    found = Some(format!(
                        "went_back: nobody cancelled {id}, which is reported cancelled"
                    ));
                } else if done {
                    found = Some(format!("went_back: {id} was done and is reported cancelled"));
                }
            }
            ReportedState::Status(_) => {
                job.accepted_ms.get_or_insert(now_ms);
                if done || cancelled {
                    found = Some(format!("went_back: {id} had ended and is reported live"));
                }
            }
        }
        if let Some(description) = found {
            self.record_violation(now_ms, description);
        }
    }

    /// Records that a submission was refused as malformed or inadmissible, which is a violation if
    /// the job was known to be accepted when the submission was sent.
    pub fn on_submission_refused(&mut self, id: &str, sent_ms: u64, now_ms: u64, status: u16) {
        let accepted_ms = self.jobs.get(id).and_then(|job| job.accepted_ms);
        if accepted_ms.is_some_and(|at_ms| at_ms < sent_ms) {
            self.record_violation(
                now_ms,
                format!("forgotten: a repeated submission of {id} was refused with {status}"),
            );
        }
    }

    /// Records a task start and checks that the task runs nowhere else, that its job exists and is
    /// not cancelled for too long, and that the team stays within its CPU limit.
    pub fn on_task_started(&mut self, now_ms: u64, machine: &str, task: &str) {
        self.starts += 1;
        if let Some(other) = self.live_tasks.get(task) {
            let description =
                format!("ran_twice: {task} starts on {machine} while running on {}", other.machine);
            self.record_violation(now_ms, description);
        }
        let id = job_of(task);
        let Some(job) = self.jobs.get(id) else {
            return self.record_violation(
                now_ms,
                format!("invented: {task} starts but belongs to no submitted job"),
            );
        };
        let (cpus, cancelled_ms) = (job.spec.cpus, job.cancelled_ms);
        if let Some(cancelled_ms) = cancelled_ms {
            self.starts_after_cancel += 1;
            let after_ms = now_ms.saturating_sub(cancelled_ms);
            if after_ms > MAX_START_AFTER_CANCEL_MS {
                let description =
                    format!("ran_cancelled: {task} starts {after_ms} ms after cancellation");
                self.record_violation(now_ms, description);
            }
        }
        let used: f64 = self.live_tasks.values().map(|live| live.cpus).sum();
        if used + cpus > TEAM_CPUS {
            self.record_violation(
                now_ms,
                format!("quota: start of {task} raises the team to {} CPUs", used + cpus),
            );
        }
        let live = LiveTask { machine: machine.to_string(), cpus, overdue_reported: false };
        self.live_tasks.insert(task.to_string(), live);
    }

    /// Records that an agent starts an attempt, which it must do only once.
    pub fn on_attempt_started(&mut self, now_ms: u64, start: AttemptStart) {
        let AttemptStart { machine, task, attempt, .. } = &start;
        let description = format!("restarted: {machine} starts attempt {attempt} of {task} again");
        if !self.started_attempts.insert(start) {
            self.record_violation(now_ms, description);
        }
    }

    /// Returns the open jobs of which no task runs or has completed, in the order in which they are
    /// placed: by priority, then by age.
    pub fn waiting_jobs(&self) -> Vec<String> {
        let has_started = |id: &str, job: &JobHistory| {
            let prefix = format!("{id}/");
            let live = self.live_tasks.range(prefix.clone()..).next();
            !job.completed.is_empty() || live.is_some_and(|(task, _)| task.starts_with(&prefix))
        };
        let is_waiting =
            |(id, job): &(&String, &JobHistory)| job.is_open() && !has_started(id, job);
        let mut waiting: Vec<(&String, &JobHistory)> =
            self.jobs.iter().filter(is_waiting).collect();
        waiting.sort_by_key(|(id, job)| (Reverse(job.spec.priority), *id));
        waiting.into_iter().map(|(id, _)| id.clone()).collect()
    }

    /// Checks a start command that an agent received directly from a leader: none may leave a leader
    /// once a user has learned that the job is cancelled.
    pub fn on_start_received(&mut self, received_ms: u64, task: &str) {
        let cancelled_ms = self.jobs.get(job_of(task)).and_then(|job| job.cancelled_ms);
        if let Some(at_ms) = cancelled_ms.filter(|at_ms| received_ms > at_ms + RECORD_LAG_MS) {
            let after_ms = received_ms - at_ms;
            let description =
                format!("start after cancellation: {task} is sent {after_ms} ms after it");
            self.record_violation(received_ms, description);
        }
    }

    /// Records that a task no longer runs on a machine.
    pub fn on_task_removed(&mut self, machine: &str, task: &str) {
        if self.live_tasks.get(task).is_some_and(|live| live.machine == machine) {
            self.live_tasks.remove(task);
        }
    }

    /// Records that a task has run to completion.
    pub fn on_task_completed(&mut self, machine: &str, task: &str) {
        self.on_task_removed(machine, task);
        if let Some(job) = self.jobs.get_mut(job_of(task)) {
            job.completed.insert(task.to_string());
        }
    }

    /// Reports tasks that still run when the time allowed after their job's cancellation is over.
    pub fn check_cancelled_tasks(&mut self, now_ms: u64) {
        let mut found = Vec::new();
        for (task, live) in &mut self.live_tasks {
            let cancelled_ms = self.jobs.get(job_of(task)).and_then(|job| job.cancelled_ms);
            let due_ms = cancelled_ms.map(|at_ms| at_ms + CANCEL_MS + RECORD_LAG_MS);
            if due_ms.is_some_and(|due_ms| now_ms > due_ms) && !live.overdue_reported {
                live.overdue_reported = true;
                found.push(format!("ran_cancelled: {task} still runs on {}", live.machine));
            }
        }
        found.into_iter().for_each(|description| self.record_violation(now_ms, description));
    }

    /// Reports jobs that wait for too long although a machine has room for one of their tasks.
    /// `free_cpus` is the largest number of free CPUs on one machine. Call this only once the
    /// faults are over.
    pub fn check_waiting_jobs(&mut self, now_ms: u64, free_cpus: f64) {
        let used: f64 = self.live_tasks.values().map(|live| live.cpus).sum();
        let live_tasks = &self.live_tasks;
        let mut found = Vec::new();
        for (id, job) in &mut self.jobs {
            let prefix = format!("{id}/");
            let running = live_tasks
                .range(prefix.clone()..)
                .take_while(|(task, _)| task.starts_with(&prefix));
            let placed = running.count() + job.completed.len();
            let has_room = job.spec.cpus <= free_cpus && used + job.spec.cpus <= TEAM_CPUS;
            if !job.is_open() || placed >= job.spec.tasks as usize || !has_room {
                job.waiting_since_ms = None;
                continue;
            }
            let since_ms = *job.waiting_since_ms.get_or_insert(now_ms);
            if now_ms - since_ms > MAX_WAIT_MS {
                job.waiting_since_ms = Some(now_ms);
                found
                    .push(format!("{id} waits for {} ms despite free capacity", now_ms - since_ms));
            }
        }
        found.into_iter().for_each(|description| self.record_violation(now_ms, description));
    }
}

/// Returns the id of the job that a task belongs to; empty if the task name has no job part.
pub fn job_of(task: &str) -> &str {
    task.rsplit_once('/').map_or("", |(job, _)| job)
}

#[cfg(test)]
#[path = "../tests/unit/checks.rs"]
mod tests;
