//! Reads from the controllers' debug logs how well the largest jobs of each class were served.

use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Log messages that name a job when a leader loads it into memory: the current message, and that
/// of earlier versions, whose logs can be read as well.
const JOB_ENTERED: [&str; 2] = [" job entered job=", " known job="];
/// Log message that names a job when its first task starts.
const JOB_STARTED: &str = " begun job=";

/// One in this many jobs of a class, rounded up, counts as the largest by number of tasks.
const LARGEST_DIVISOR: usize = 10;

/// Data of one job from the controllers' logs.
#[derive(Debug, Default)]
struct LoggedJob {
    class: String,
    tasks: u64,
    /// Shortest wait that any controller logged; a later leader may count the wait anew.
    wait_ms: Option<u64>,
}

/// How well the largest jobs of a class were served.
#[derive(Debug, PartialEq)]
pub struct LargestJobs {
    /// Name of the class.
    pub class: String,
    /// Number of jobs that are counted as the largest.
    pub jobs: usize,
    /// Fraction of these jobs that started.
    pub served_fraction: f64,
    /// Longest wait of the jobs that started.
    pub max_wait_s: f64,
}

/// Reads from a log how well the largest jobs of each class were served.
pub fn largest_jobs(log: &str) -> Vec<LargestJobs> {
    let mut by_class: BTreeMap<String, Vec<LoggedJob>> = BTreeMap::new();
    for job in logged_jobs(log).into_values() {
        by_class.entry(job.class.clone()).or_default().push(job);
    }
    by_class.into_iter().map(|(class, jobs)| summarize_largest(class, jobs)).collect()
}

fn logged_jobs(log: &str) -> BTreeMap<&str, LoggedJob> {
    let mut jobs: BTreeMap<&str, LoggedJob> = BTreeMap::new();
    for entry in log.lines().filter_map(parse_line) {
        let job = jobs.entry(entry.job).or_default();
        job.class = entry.class.to_string();
        job.tasks = entry.tasks;
        job.wait_ms = job.wait_ms.into_iter().chain(entry.wait_ms).min();
    }
    jobs
}

/// A log line that names a job.
struct LogEntry<'a> {
    job: &'a str,
    class: &'a str,
    tasks: u64,
    wait_ms: Option<u64>,
}

fn parse_line(line: &str) -> Option<LogEntry<'_>> {
    let started = line.contains(JOB_STARTED);
    if !started && !JOB_ENTERED.iter().any(|message| line.contains(message)) {
        return None;
    }
    let wait_ms = field_value(line, "waited_ms").and_then(|wait| wait.parse().ok());
    Some(LogEntry {
        job: field_value(line, "job")?,
        class: field_value(line, "class")?,
        tasks: field_value(line, "tasks")?.parse().ok()?,
        wait_ms: wait_ms.filter(|_| started),
    })
}

/// Returns the value of a field, written as `tracing` does: ` name=value`.
fn field_value<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let start = line.find(&format!(" {name}="))? + name.len() + 2;
    line[start..].split_whitespace().next()
}

fn summarize_largest(class: String, mut jobs: Vec<LoggedJob>) -> LargestJobs {
    jobs.sort_by_key(|job| Reverse(job.tasks));
    jobs.truncate(jobs.len().div_ceil(LARGEST_DIVISOR));
    let waits_ms: Vec<u64> = jobs.iter().filter_map(|job| job.wait_ms).collect();
    let served_fraction = waits_ms.len() as f64 / jobs.len() as f64;
    let max_wait_s = waits_ms.into_iter().max().unwrap_or(0) as f64 / 1000.0;
    LargestJobs { class, jobs: jobs.len(), served_fraction, max_wait_s }
}
