//! Which share of each class and team a day served, from the bench's report of it; and of each
//! class's largest jobs, from what the controllers wrote (`LOG_LEVEL=debug`).

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use comfy_table::Table;
use serde::Deserialize;

/// What a report says, as far as it is read here. Shares are of jobs, 0 to 1.
#[derive(Deserialize)]
struct Report {
    scenario: String,
    rules_broken: Broken,
    classes: BTreeMap<String, Count>,
    #[serde(default)]
    teams: BTreeMap<String, Count>,
    node_stats: Vec<Node>,
}

#[derive(Deserialize)]
struct Broken {
    total: u64,
}

#[derive(Deserialize)]
struct Count {
    jobs: u64,
    #[serde(default)]
    accepted: Option<u64>,
    started: u64,
    #[serde(default)]
    done: u64,
    #[serde(default)]
    cancelled: u64,
    #[serde(default)]
    in_deadline: Option<f64>,
}

#[derive(Deserialize)]
struct Node {
    cpu_mean: Option<f64>,
    cpu_peak: Option<f64>,
    memory_peak_mb: Option<f64>,
    panics: u64,
}

impl Count {
    /// Jobs of which a task ran, of all that came.
    fn served(&self) -> f64 {
        match self.jobs {
            0 => 1.0,
            jobs => self.started as f64 / jobs as f64,
        }
    }
}

/// What the controllers wrote of one job.
#[derive(Debug, Default)]
struct Logged {
    class: String,
    tasks: u64,
    /// The shortest that any of them says it waited: a later leader may see it begin anew.
    waited_ms: Option<u64>,
}

/// A class's largest tenth by tasks, at least one.
#[derive(Debug, PartialEq)]
struct Largest {
    class: String,
    jobs: usize,
    served: f64,
    /// The latest beginning, in seconds.
    latest_s: f64,
}

/// A field of a line as `tracing` writes it.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let at = line.find(&format!(" {name}="))? + name.len() + 2;
    line[at..].split_whitespace().next()
}

fn largest(log: &str) -> Vec<Largest> {
    let mut jobs: BTreeMap<&str, Logged> = BTreeMap::new();
    for line in log.lines() {
        let begun = line.contains(" begun job=");
        if !begun && !line.contains(" known job=") {
            continue;
        }
        let (Some(job), Some(class)) = (field(line, "job"), field(line, "class")) else { continue };
        let Some(tasks) = field(line, "tasks").and_then(|t| t.parse().ok()) else { continue };
        let known = jobs.entry(job).or_default();
        (known.class, known.tasks) = (class.to_string(), tasks);
        let waited = field(line, "waited_ms").and_then(|w| w.parse::<u64>().ok()).filter(|_| begun);
        known.waited_ms = known.waited_ms.into_iter().chain(waited).min();
    }
    let mut classes: BTreeMap<String, Vec<Logged>> = BTreeMap::new();
    for job in jobs.into_values() {
        classes.entry(job.class.clone()).or_default().push(job);
    }
    let tenth = |(class, mut jobs): (String, Vec<Logged>)| {
        jobs.sort_by_key(|j| std::cmp::Reverse(j.tasks));
        jobs.truncate(jobs.len().div_ceil(10));
        let begun: Vec<u64> = jobs.iter().filter_map(|j| j.waited_ms).collect();
        let served = begun.len() as f64 / jobs.len() as f64;
        let latest_s = begun.into_iter().max().unwrap_or(0) as f64 / 1000.0;
        Largest { class, jobs: jobs.len(), served, latest_s }
    };
    classes.into_iter().map(tenth).collect()
}

#[derive(Debug, thiserror::Error)]
pub enum ServedError {
    #[error("{0}: {1}")]
    Read(PathBuf, std::io::Error),
    #[error("{0}: no report of a day: {1}")]
    Parse(PathBuf, serde_json::Error),
    #[error("{0}: no job is named in it: is it what controllers wrote at LOG_LEVEL=debug?")]
    NoJobs(PathBuf),
    #[error("{logs} logs for {reports} reports: one each, in the same order, or none")]
    Unpaired { logs: usize, reports: usize },
    #[error("failed days: {0}")]
    Failed(String),
}

impl ServedError {
    /// A day that failed is told from a report that could not be read.
    pub fn exit_code(&self) -> u8 {
        match self {
            ServedError::Failed(_) => 1,
            _ => 2,
        }
    }
}

/// What every class, team and class's largest jobs are to reach.
#[derive(Clone, Copy, Debug, clap::Args)]
pub struct Least {
    /// The share (0 to 1) that every class, team and class's largest jobs are to reach.
    #[arg(long, default_value_t = 0.5)]
    least: f64,
    /// Seconds within which every class's largest jobs are to begin.
    #[arg(long, default_value_t = 240.0)]
    begin_within: f64,
}

fn read(path: &Path) -> Result<Report, ServedError> {
    let text = std::fs::read(path).map_err(|e| ServedError::Read(path.into(), e))?;
    serde_json::from_slice(&text).map_err(|e| ServedError::Parse(path.into(), e))
}

impl Report {
    /// Classes and teams, the least served first.
    fn shares(&self) -> Vec<(f64, String, &Count)> {
        let classes = self.classes.iter().map(|(n, c)| (c.served(), n.clone(), c));
        let teams = self.teams.iter().map(|(n, c)| (c.served(), format!("team {n}"), c));
        let mut all: Vec<_> = classes.chain(teams).filter(|(_, _, c)| c.jobs > 0).collect();
        all.sort_by(|a, b| a.0.total_cmp(&b.0));
        all
    }

    /// Why the day counts for nothing, if it does.
    fn failed(&self, bar: Least, largest: &[Largest]) -> Vec<String> {
        let least = bar.least;
        let mut why = Vec::new();
        if self.rules_broken.total > 0 {
            why.push(format!("{} rules broken", self.rules_broken.total));
        }
        if self.node_stats.iter().any(|n| n.panics > 0) {
            why.push("a controller ended by itself".into());
        }
        let below = self.shares().into_iter().filter(|(share, ..)| *share < least);
        why.extend(below.map(|(share, name, _)| format!("{name} served {share:.2}")));
        for l in largest {
            if l.served < least {
                why.push(format!("{}'s largest served {:.2}", l.class, l.served));
            }
            if l.latest_s > bar.begin_within {
                why.push(format!("{}'s largest began after {:.0} s", l.class, l.latest_s));
            }
        }
        why
    }
}

fn most(of: impl Iterator<Item = Option<f64>>) -> String {
    format!("{:.2}", of.flatten().fold(0.0, f64::max))
}

/// A table of the days; an error names those that failed.
pub fn tell(paths: &[PathBuf], logs: &[PathBuf], bar: Least, all: bool) -> Result<(), ServedError> {
    if !logs.is_empty() && logs.len() != paths.len() {
        return Err(ServedError::Unpaired { logs: logs.len(), reports: paths.len() });
    }
    let mut table = Table::new();
    table.set_header([
        "day",
        "rules",
        "class or team",
        "served",
        "done",
        "in time",
        "accepted of jobs",
        "cpu mean, peak",
        "MB",
    ]);
    let mut failed = Vec::new();
    for (at, path) in paths.iter().enumerate() {
        let report = read(path)?;
        let mut of_largest = Vec::new();
        if let Some(log) = logs.get(at) {
            let text = std::fs::read(log).map_err(|e| ServedError::Read(log.clone(), e))?;
            of_largest = largest(&String::from_utf8_lossy(&text));
            if of_largest.is_empty() {
                return Err(ServedError::NoJobs(log.clone()));
            }
        }
        let nodes = &report.node_stats;
        let cpu = [most(nodes.iter().map(|n| n.cpu_mean)), most(nodes.iter().map(|n| n.cpu_peak))];
        let shown = if all { usize::MAX } else { 1 };
        for (at, (share, name, count)) in report.shares().into_iter().take(shown).enumerate() {
            let first = |text: String| if at == 0 { text } else { String::new() };
            let settled = (count.done + count.cancelled) as f64 / count.jobs as f64;
            table.add_row([
                first(report.scenario.clone()),
                first(report.rules_broken.total.to_string()),
                name,
                format!("{share:.3}"),
                if count.done > 0 { format!("{settled:.3}") } else { String::new() },
                count.in_deadline.map_or(String::new(), |d| format!("{d:.3}")),
                count.accepted.map_or(count.jobs.to_string(), |a| format!("{a} of {}", count.jobs)),
                first(cpu.join(", ")),
                first(most(nodes.iter().map(|n| n.memory_peak_mb))),
            ]);
        }
        for l in &of_largest {
            table.add_row([
                String::new(),
                String::new(),
                format!("{}'s {} largest", l.class, l.jobs),
                format!("{:.3}", l.served),
                format!("latest {:.0} s", l.latest_s),
            ]);
        }
        let why = report.failed(bar, &of_largest);
        if !why.is_empty() {
            failed.push(format!("{} ({})", report.scenario, why.join(", ")));
        }
    }
    println!("{table}");
    match failed.is_empty() {
        true => Ok(()),
        false => Err(ServedError::Failed(failed.join("; "))),
    }
}

#[cfg(test)]
#[path = "../tests/unit/service_report.rs"]
mod tests;
