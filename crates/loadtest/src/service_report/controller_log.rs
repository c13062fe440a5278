//! How the largest jobs of each class were served, from the controllers' debug logs.

use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Messages of the log that name a job when it enters a leader's memory: today's, and that of
/// earlier versions, whose logs can be read as well.
const JOB_ENTERED: [&str; 2] = [" job entered job=", " known job="];
/// Message of the log when the first task of a job starts.
const JOB_STARTED: &str = " begun job=";

/// The largest jobs are a class's first tenth by number of tasks, at least one.
const LARGEST_DIVISOR: usize = 10;

/// What the controllers logged of one job.
#[derive(Debug, Default)]
struct LoggedJob {
    class: String,
    tasks: u64,
    /// The shortest wait that any controller logged: a later leader may count from anew.
    wait_ms: Option<u64>,
}

/// How a class's largest jobs were served.
#[derive(Debug, PartialEq)]
pub struct LargestJobs {
    /// Name of the class.
    pub class: String,
    /// Number of jobs that count as the largest.
    pub jobs: usize,
    /// Part of them that started.
    pub served_fraction: f64,
    /// The longest wait of those that started.
    pub max_wait_s: f64,
}

/// Reads the largest jobs of each class from a log.
pub fn largest_jobs(log: &str) -> Vec<LargestJobs> {
    let mut by_class: BTreeMap<String, Vec<LoggedJob>> = BTreeMap::new();
    for job in logged_jobs(log).into_values() {
        by_class.entry(job.class.clone()).or_default().push(job);
    }
    by_class.into_iter().map(|(class, jobs)| largest_of(class, jobs)).collect()
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

/// A line of the log that names a job.
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
    let wait_ms = field(line, "waited_ms").and_then(|wait| wait.parse().ok());
    Some(LogEntry {
        job: field(line, "job")?,
        class: field(line, "class")?,
        tasks: field(line, "tasks")?.parse().ok()?,
        wait_ms: wait_ms.filter(|_| started),
    })
}

/// A field of a line as `tracing` writes it.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let start = line.find(&format!(" {name}="))? + name.len() + 2;
    line[start..].split_whitespace().next()
}

fn largest_of(class: String, mut jobs: Vec<LoggedJob>) -> LargestJobs {
    jobs.sort_by_key(|job| Reverse(job.tasks));
    jobs.truncate(jobs.len().div_ceil(LARGEST_DIVISOR));
    let waits_ms: Vec<u64> = jobs.iter().filter_map(|job| job.wait_ms).collect();
    let served_fraction = waits_ms.len() as f64 / jobs.len() as f64;
    let max_wait_s = waits_ms.into_iter().max().unwrap_or(0) as f64 / 1000.0;
    LargestJobs { class, jobs: jobs.len(), served_fraction, max_wait_s }
}
