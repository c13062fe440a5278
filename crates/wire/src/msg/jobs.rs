//! Messages between users and controllers.

use serde::{Deserialize, Serialize};

use super::decode::{amount, maybe_amount, named_once};

/// How the tasks of a job relate to one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    Array,
    /// Tasks that run all at the same time or not at all.
    Gang,
    /// Replicas that run until the job is aborted.
    Service,
}

/// Priority of a job, lowest first so that the derived order is the ranking.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Yields to all other work.
    #[serde(rename = "idle")]
    Low,
    /// The priority of ordinary work.
    #[serde(rename = "normal")]
    Normal,
    /// Preempts lower priorities.
    #[serde(rename = "urgent")]
    High,
    /// Preempts lower priorities and is served first.
    #[serde(rename = "production")]
    Production,
}

/// The specification of a job as its user submits it. Amounts of resources are per task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique identifier, chosen by the user; a retry of the submission uses the same one.
    #[serde(rename = "ref")]
    pub id: String,
    /// Class of jobs that the service-level objectives name.
    #[serde(rename = "job_class")]
    pub class: String,
    /// Team whose quota applies.
    #[serde(rename = "owner")]
    pub team: String,
    /// How the tasks relate to one another.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority, set by the user.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks, from 1 to [`MAX_TASKS`].
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// Number of CPUs.
    #[serde(rename = "vcpus", deserialize_with = "amount")]
    pub cpus: f64,
    /// Number of GPUs.
    #[serde(deserialize_with = "amount")]
    pub gpus: f64,
    /// Memory, in GB.
    #[serde(rename = "ram_gb", deserialize_with = "amount")]
    pub memory_gb: f64,
    /// Name of the image that the tasks run.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image, in GB.
    #[serde(deserialize_with = "amount")]
    pub image_gb: f64,
    /// Machine types on which the tasks may run; all if `None`.
    #[serde(rename = "host_types", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only zone in which the tasks may run; any if `None`.
    #[serde(rename = "hall", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must run in one zone.
    pub together: bool,
    /// Whether the tasks are spread over the zones, with at most half of them (rounded up) in each.
    pub spread: bool,
    /// Whether the tasks may run on spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The user's estimate of the run time of a task, in seconds.
    #[serde(rename = "expected_s", deserialize_with = "amount")]
    pub estimate_s: f64,
    /// Time between two checkpoints, in seconds; 0 if the tasks take no checkpoints.
    #[serde(rename = "snapshot_every_s", deserialize_with = "amount")]
    pub checkpoint_interval_s: f64,
    /// Duration of taking a checkpoint, in seconds.
    #[serde(rename = "snapshot_cost_s", deserialize_with = "amount")]
    pub checkpoint_cost_s: f64,
    /// Deadline, in seconds after the submission; `None` if the job has none.
    #[serde(
        rename = "due_s",
        default,
        deserialize_with = "maybe_amount",
        skip_serializing_if = "Option::is_none"
    )]
    pub deadline_s: Option<f64>,
    /// Jobs that must be done before any task of this job starts, without duplicates. An absent
    /// field, null and an empty list mean the same.
    #[serde(
        rename = "prereqs",
        default,
        deserialize_with = "named_once",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub dependencies: Vec<String>,
}

/// Largest number of tasks that a job may have.
pub const MAX_TASKS: u32 = 100_000;
/// Largest amount accepted on the wire.
const MAX_AMOUNT: f64 = 1e9;
/// Longest text accepted in a submission, in bytes.
const MAX_TEXT_BYTES: usize = 128;
/// Largest number of machine types that a job may name.
const MAX_MACHINE_TYPES: usize = 64;

/// An error in a submission that does not depend on the cluster, with the field's name on the
/// wire.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {problem}")]
pub struct JobSpecError {
    /// Name of the field on the wire.
    pub field: &'static str,
    /// What is wrong with its value, and what is allowed.
    pub problem: String,
}

impl JobSpecError {
    fn new(field: &'static str, problem: impl Into<String>) -> Self {
        JobSpecError { field, problem: problem.into() }
    }
}

impl JobSpec {
    /// Checks the limits and formats that do not depend on the cluster; returns the first error.
    pub fn check(&self) -> Result<(), JobSpecError> {
        if !valid_job_id(&self.id) {
            return Err(JobSpecError::new("ref", "not of the form wk- and digits"));
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            let problem = format!("{} is not from 1 to {MAX_TASKS}", self.tasks);
            return Err(JobSpecError::new("pieces", problem));
        }
        self.check_amounts()?;
        self.check_texts()?;
        if self.types.as_ref().is_some_and(|types| types.len() > MAX_MACHINE_TYPES) {
            let problem = format!("more than {MAX_MACHINE_TYPES}");
            return Err(JobSpecError::new("host_types", problem));
        }
        if !self.dependencies.iter().all(|id| valid_job_id(id)) {
            return Err(JobSpecError::new("prereqs", "a ref is not of the form wk- and digits"));
        }
        Ok(())
    }

    fn check_amounts(&self) -> Result<(), JobSpecError> {
        let amounts = [
            ("vcpus", self.cpus),
            ("gpus", self.gpus),
            ("ram_gb", self.memory_gb),
            ("image_gb", self.image_gb),
            ("expected_s", self.estimate_s),
            ("snapshot_every_s", self.checkpoint_interval_s),
            ("snapshot_cost_s", self.checkpoint_cost_s),
            ("due_s", self.deadline_s.unwrap_or(0.0)),
        ];
        match amounts.into_iter().find(|(_, amount)| !(0.0..=MAX_AMOUNT).contains(amount)) {
            Some((field, amount)) => {
                let problem = format!("{amount} is not from 0 to {MAX_AMOUNT}");
                Err(JobSpecError::new(field, problem))
            }
            None => Ok(()),
        }
    }

    fn check_texts(&self) -> Result<(), JobSpecError> {
        let always = [("job_class", &self.class), ("owner", &self.team), ("bundle", &self.image)];
        let zone = self.zone.iter().map(|zone| ("hall", zone));
        let types = self.types.iter().flatten().map(|name| ("host_types", name));
        let mut texts = always.into_iter().chain(zone).chain(types);
        match texts.find(|(_, text)| text.is_empty() || text.len() > MAX_TEXT_BYTES) {
            Some((field, _)) => {
                let problem = format!("empty, or longer than {MAX_TEXT_BYTES}");
                Err(JobSpecError::new(field, problem))
            }
            None => Ok(()),
        }
    }
}

/// Returns whether a job identifier has the only form allowed: `wk-` and 1 to 20 digits.
pub fn valid_job_id(id: &str) -> bool {
    id.strip_prefix("wk-")
        .is_some_and(|n| (1..=20).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit()))
}

/// Status of a job, as reported to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// The job is accepted, and no task is known to be on a machine.
    #[serde(rename = "pending")]
    Queued,
    /// At least one task is on a machine.
    #[serde(rename = "running")]
    Running,
    /// All tasks have completed.
    #[serde(rename = "done")]
    Done,
    /// The job was aborted.
    #[serde(rename = "aborted")]
    Aborted,
}

/// Answer to a submission, a status query or an abort.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobAnswer {
    /// Identifier of the job.
    #[serde(rename = "ref")]
    pub id: String,
    /// Status of the job.
    pub status: JobStatus,
    /// Number of tasks that have completed; absent unless the job is live.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub done: Option<u32>,
    /// Number of tasks that are on machines; absent unless the job is live.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub running: Option<u32>,
}

/// Body of an answer with an error status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorAnswer {
    /// Description of the error, for the user.
    pub error: String,
}
