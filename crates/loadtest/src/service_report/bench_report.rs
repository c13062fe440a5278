//! The fields of the bench's scenario reports that a service report is made from.

use std::collections::BTreeMap;

use serde::Deserialize;

/// The bench's report of one scenario.
#[derive(Deserialize)]
pub struct ScenarioReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Invariants that did not hold.
    #[serde(rename = "rules_broken")]
    pub violations: Violations,
    /// Job counts by name of the class.
    pub classes: BTreeMap<String, JobCounts>,
    /// Job counts by name of the team; empty if the report has none.
    #[serde(default)]
    pub teams: BTreeMap<String, JobCounts>,
    /// Resource usage of each controller.
    #[serde(rename = "node_stats")]
    pub controllers: Vec<ControllerUsage>,
}

/// Violations of invariants.
#[derive(Deserialize)]
pub struct Violations {
    /// Number of violations of all invariants.
    pub total: u64,
}

/// Job counts of a class or a team.
#[derive(Deserialize)]
pub struct JobCounts {
    /// Number of jobs that arrived.
    pub jobs: u64,
    /// Jobs that were accepted; absent if the report does not say.
    #[serde(default)]
    pub accepted: Option<u64>,
    /// Jobs of which at least one task ran.
    pub started: u64,
    /// Jobs that ran to completion.
    #[serde(default)]
    pub done: u64,
    /// Jobs that their users cancelled.
    #[serde(default)]
    pub cancelled: u64,
    /// Fraction of the jobs with a deadline that met it.
    #[serde(default, rename = "in_deadline")]
    pub deadlines_met: Option<f64>,
}

/// Resource usage of one controller: processor as a fraction of its limit, memory in megabytes.
#[derive(Deserialize)]
pub struct ControllerUsage {
    /// Mean processor usage.
    pub cpu_mean: Option<f64>,
    /// Peak processor usage.
    pub cpu_peak: Option<f64>,
    /// Peak memory usage.
    pub memory_peak_mb: Option<f64>,
    /// Number of crashes that the scenario did not inject.
    pub panics: u64,
}

impl JobCounts {
    /// Returns the fraction of jobs of which at least one task ran; 1 if there were no jobs.
    pub fn served_fraction(&self) -> f64 {
        match self.jobs {
            0 => 1.0,
            jobs => self.started as f64 / jobs as f64,
        }
    }

    /// Returns the fraction of jobs that ran to completion or were cancelled.
    pub fn terminal_fraction(&self) -> f64 {
        (self.done + self.cancelled) as f64 / self.jobs as f64
    }
}

/// How well the jobs of a class or a team were served.
pub struct ServedGroup<'a> {
    /// Name of the class, or `team` and the name of the team.
    pub name: String,
    /// Fraction of the jobs of which at least one task ran.
    pub served_fraction: f64,
    /// Job counts of the class or the team.
    pub counts: &'a JobCounts,
}

impl ScenarioReport {
    /// Returns the classes and teams that had jobs, the least served first.
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
