//! The bench's report of a scenario, as far as it is read here.

use std::collections::BTreeMap;

use serde::Deserialize;

/// A report of one scenario.
#[derive(Deserialize)]
pub struct ScenarioReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Invariants that did not hold.
    #[serde(rename = "rules_broken")]
    pub violations: Violations,
    /// Jobs by class.
    pub classes: BTreeMap<String, JobCounts>,
    /// Jobs by team.
    #[serde(default)]
    pub teams: BTreeMap<String, JobCounts>,
    /// What each controller used.
    #[serde(rename = "node_stats")]
    pub controllers: Vec<ControllerUsage>,
}

/// Violations of invariants.
#[derive(Deserialize)]
pub struct Violations {
    /// Of all invariants.
    pub total: u64,
}

/// Jobs of a class or a team.
#[derive(Deserialize)]
pub struct JobCounts {
    /// All jobs that arrived.
    pub jobs: u64,
    /// Jobs that were accepted.
    #[serde(default)]
    pub accepted: Option<u64>,
    /// Jobs of which a task ran.
    pub started: u64,
    /// Jobs that ran to completion.
    #[serde(default)]
    pub done: u64,
    /// Jobs that their users cancelled.
    #[serde(default)]
    pub cancelled: u64,
    /// Part of the jobs with a deadline that met it.
    #[serde(default, rename = "in_deadline")]
    pub deadlines_met: Option<f64>,
}

/// What one controller used, each as a part of its limit or in megabytes.
#[derive(Deserialize)]
pub struct ControllerUsage {
    /// Mean use of the processor.
    pub cpu_mean: Option<f64>,
    /// Highest use of the processor.
    pub cpu_peak: Option<f64>,
    /// Highest use of memory.
    pub memory_peak_mb: Option<f64>,
    /// Crashes that no scenario injected.
    pub panics: u64,
}

impl JobCounts {
    /// Part of the jobs of which a task ran; 1 where there were no jobs.
    pub fn served_fraction(&self) -> f64 {
        match self.jobs {
            0 => 1.0,
            jobs => self.started as f64 / jobs as f64,
        }
    }

    /// Part of the jobs that reached a terminal state.
    pub fn terminal_fraction(&self) -> f64 {
        (self.done + self.cancelled) as f64 / self.jobs as f64
    }
}

/// How well a class or a team was served.
pub struct ServedGroup<'a> {
    /// Name of the class, or of the team as such.
    pub name: String,
    /// Part of the jobs of which a task ran.
    pub served_fraction: f64,
    /// The counts behind it.
    pub counts: &'a JobCounts,
}

impl ScenarioReport {
    /// Classes and teams that had jobs, the least served first.
    pub fn served_groups(&self) -> Vec<ServedGroup<'_>> {
        let classes = self.classes.iter().map(|(name, counts)| (name.clone(), counts));
        let teams = self.teams.iter().map(|(name, counts)| (format!("team {name}"), counts));
        let mut groups: Vec<ServedGroup> = classes
            .chain(teams)
            .filter(|(_, counts)| counts.jobs > 0)
            .map(|(name, counts)| ServedGroup {
                name,
                served_fraction: counts.served_fraction(),
                counts,
            })
            .collect();
        groups.sort_by(|a, b| a.served_fraction.total_cmp(&b.served_fraction));
        groups
    }
}
