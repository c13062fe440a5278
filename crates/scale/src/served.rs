//! Which share of each class and team a day served, from the bench's report of it.

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

#[derive(Debug, thiserror::Error)]
pub enum ServedError {
    #[error("{0}: {1}")]
    Read(PathBuf, std::io::Error),
    #[error("{0}: no report of a day: {1}")]
    Parse(PathBuf, serde_json::Error),
    #[error("failed days: {0}")]
    Failed(String),
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
    fn failed(&self, least: f64) -> Vec<String> {
        let mut why = Vec::new();
        if self.rules_broken.total > 0 {
            why.push(format!("{} rules broken", self.rules_broken.total));
        }
        if self.node_stats.iter().any(|n| n.panics > 0) {
            why.push("a controller ended by itself".into());
        }
        let below = self.shares().into_iter().filter(|(share, ..)| *share < least);
        why.extend(below.map(|(share, name, _)| format!("{name} served {share:.2}")));
        why
    }
}

fn most(of: impl Iterator<Item = Option<f64>>) -> String {
    format!("{:.2}", of.flatten().fold(0.0, f64::max))
}

/// A table of the days; an error names those that failed.
pub fn tell(paths: &[PathBuf], least: f64, all: bool) -> Result<(), ServedError> {
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
    for path in paths {
        let report = read(path)?;
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
        let why = report.failed(least);
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
mod tests {
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
        assert_eq!(report(4).failed(0.5), ["team t served 0.40"]);
        assert!(report(5).failed(0.5).is_empty());
    }
}
