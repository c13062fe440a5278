//! Reports which fraction of the jobs of each class and team was served in a scenario, from the
//! bench's report; and how well the largest jobs of each class were served, from the controllers'
//! logs.

mod bench_report;
mod controller_log;
mod table;
mod unanswered;

use std::path::{Path, PathBuf};

use bench_report::ScenarioReport;
use controller_log::{largest_jobs, LargestJobs};
use table::ServiceTable;
use unanswered::{longest_unanswered, UnansweredJob};

/// Exit code if all inputs were read and a scenario missed its objectives.
const EXIT_OBJECTIVES_MISSED: u8 = 1;
/// Exit code if an input is missing, truncated or of another format.
const EXIT_INVALID_INPUT: u8 = 2;

/// The reason why no report can be made, or the objectives that the report found missed.
#[derive(Debug, thiserror::Error)]
pub enum ServiceReportError {
    /// A file can't be read.
    #[error("{path}: {source}", path = path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A file is truncated, or not a report of the bench.
    #[error("{path}: not a report of a scenario: {source}", path = path.display())]
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// Error of the parser, with the position in the file.
        source: serde_json::Error,
    },
    /// A log has no line that names a job.
    #[error(
        "{path}: the log names no job; allowed is what controllers write at LOG_LEVEL=debug",
        path = path.display()
    )]
    NoJobs {
        /// The log.
        path: PathBuf,
    },
    /// A log has no line of a status query.
    #[error(
        "{path}: the log shows no status query; allowed is what the bench prints at --log debug, \
         each line with its second",
        path = path.display()
    )]
    NoQueries {
        /// The log.
        path: PathBuf,
    },
    /// Unanswered jobs are to be reported, but there are no logs to find them in.
    #[error("--faults-over: requires --logs, from which unanswered jobs are read")]
    NoLogs,
    /// There are logs, but not exactly one for each report.
    #[error("--logs: {logs} logs for {reports} reports; allowed is one for each, or none")]
    LogCountMismatch {
        /// Number of logs given.
        logs: usize,
        /// Number of reports given.
        reports: usize,
    },
    /// Scenarios missed their objectives; names them, with the objectives missed.
    #[error("failed scenarios: {0}")]
    ObjectivesMissed(String),
}

impl ServiceReportError {
    /// Returns the exit code, which tells missed objectives from invalid inputs.
    pub fn exit_code(&self) -> u8 {
        match self {
            ServiceReportError::ObjectivesMissed(_) => EXIT_OBJECTIVES_MISSED,
            _ => EXIT_INVALID_INPUT,
        }
    }
}

/// Objectives for every class, every team and the largest jobs of every class.
#[derive(Clone, Copy, Debug, clap::Args)]
pub struct ServiceObjectives {
    /// Fraction of the jobs (0 to 1) that must have started, for every class, every team and the
    /// largest jobs of every class.
    #[arg(long, default_value_t = 0.5)]
    min_served: f64,
    /// Seconds within which the largest jobs of every class must start.
    #[arg(long, default_value_t = 240.0)]
    max_start_wait: f64,
    /// Second of the scenario at which all faults are over. From then on, the controllers' logs
    /// must not show an accepted job unanswered for more than 75 s.
    #[arg(long)]
    faults_over: Option<f64>,
}

/// Prints a table of the scenarios; the error names the scenarios that missed their objectives.
pub fn print_service_report(
    report_paths: &[PathBuf],
    log_paths: &[PathBuf],
    objectives: ServiceObjectives,
    show_all: bool,
) -> Result<(), ServiceReportError> {
    if !log_paths.is_empty() && log_paths.len() != report_paths.len() {
        let (logs, reports) = (log_paths.len(), report_paths.len());
        return Err(ServiceReportError::LogCountMismatch { logs, reports });
    }
    if objectives.faults_over.is_some() && log_paths.is_empty() {
        return Err(ServiceReportError::NoLogs);
    }
    let mut table = ServiceTable::new(show_all);
    let mut failed = Vec::new();
    for (index, path) in report_paths.iter().enumerate() {
        let report = read_report(path)?;
        let largest = match log_paths.get(index) {
            Some(log) => read_largest_jobs(log)?,
            None => Vec::new(),
        };
        let unanswered = match (log_paths.get(index), objectives.faults_over) {
            (Some(log), Some(from_s)) => Some(read_longest_unanswered(log, from_s)?),
            _ => None,
        };
        table.add(&report, &largest, unanswered.as_ref());
        let mut failures = report.failures(objectives, &largest);
        failures.extend(unanswered.and_then(|job| job.failure()));
        if !failures.is_empty() {
            failed.push(format!("{} ({})", report.scenario, failures.join(", ")));
        }
    }
    table.print();
    match failed.is_empty() {
        true => Ok(()),
        false => Err(ServiceReportError::ObjectivesMissed(failed.join("; "))),
    }
}

fn read(path: &Path) -> Result<Vec<u8>, ServiceReportError> {
    std::fs::read(path).map_err(|source| ServiceReportError::Read { path: path.into(), source })
}

fn read_report(path: &Path) -> Result<ScenarioReport, ServiceReportError> {
    serde_json::from_slice(&read(path)?)
        .map_err(|source| ServiceReportError::Parse { path: path.into(), source })
}

fn read_largest_jobs(path: &Path) -> Result<Vec<LargestJobs>, ServiceReportError> {
    let log = read(path)?;
    let largest = largest_jobs(&String::from_utf8_lossy(&log));
    match largest.is_empty() {
        true => Err(ServiceReportError::NoJobs { path: path.into() }),
        false => Ok(largest),
    }
}

fn read_longest_unanswered(path: &Path, from_s: f64) -> Result<UnansweredJob, ServiceReportError> {
    let log = read(path)?;
    let longest = longest_unanswered(&String::from_utf8_lossy(&log), from_s);
    longest.ok_or_else(|| ServiceReportError::NoQueries { path: path.into() })
}

impl ScenarioReport {
    /// Returns a description of each objective that the scenario missed.
    fn failures(&self, objectives: ServiceObjectives, largest: &[LargestJobs]) -> Vec<String> {
        let mut failures = Vec::new();
        if self.violations.total > 0 {
            failures.push(format!("{} invariants violated", self.violations.total));
        }
        if self.controllers.iter().any(|controller| controller.panics > 0) {
            failures.push("a controller crashed without an injected fault".into());
        }
        let groups = self.served_groups().into_iter();
        let underserved = groups.filter(|group| group.served_fraction < objectives.min_served);
        failures.extend(
            underserved.map(|group| format!("{} served {:.2}", group.name, group.served_fraction)),
        );
        failures.extend(largest.iter().flat_map(|jobs| jobs.failures(objectives)));
        failures
    }
}

impl LargestJobs {
    fn failures(&self, objectives: ServiceObjectives) -> Vec<String> {
        let mut failures = Vec::new();
        if self.served_fraction < objectives.min_served {
            failures.push(format!("{}'s largest served {:.2}", self.class, self.served_fraction));
        }
        if self.max_wait_s > objectives.max_start_wait {
            failures
                .push(format!("{}'s largest started after {:.0} s", self.class, self.max_wait_s));
        }
        failures
    }
}

#[cfg(test)]
#[path = "../../tests/unit/service_report.rs"]
mod tests;
