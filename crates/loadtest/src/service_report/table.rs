//! The table of all scenarios that the service report prints.

use comfy_table::Table;

use super::bench_report::{ControllerUsage, ScenarioReport, ServedGroup};
use super::controller_log::LargestJobs;
use super::unanswered::UnansweredJob;

const HEADER: [&str; 9] = [
    "scenario",
    "violations",
    "class or team",
    "served",
    "terminal",
    "deadlines met",
    "accepted of jobs",
    "cpu mean, peak",
    "MB",
];

/// A table to which scenarios are added one after another.
pub struct ServiceTable {
    table: Table,
    /// Whether to show all classes and teams, not only the least served one.
    show_all: bool,
}

impl ServiceTable {
    /// Creates a table that has only its header.
    pub fn new(show_all: bool) -> Self {
        let mut table = Table::new();
        table.set_header(HEADER);
        ServiceTable { table, show_all }
    }

    /// Adds the rows of a scenario: its classes and teams, largest jobs and longest unanswered job.
    pub fn add(
        &mut self,
        report: &ScenarioReport,
        largest: &[LargestJobs],
        unanswered: Option<&UnansweredJob>,
    ) {
        let max_groups = if self.show_all { usize::MAX } else { 1 };
        for (index, group) in report.served_groups().iter().take(max_groups).enumerate() {
            let mut row = group_row(group);
            if index == 0 {
                add_scenario_cells(&mut row, report);
            }
            self.table.add_row(row);
        }
        for jobs in largest {
            self.table.add_row(largest_row(jobs));
        }
        if let Some(job) = unanswered {
            self.table.add_row(unanswered_row(job));
        }
    }

    /// Prints the table to standard output.
    pub fn print(&self) {
        println!("{}", self.table);
    }
}

/// Returns a row in which the cells of a class or a team are filled in.
fn group_row(group: &ServedGroup) -> [String; HEADER.len()] {
    let counts = group.counts;
    let [scenario, violations, cpu, memory] = [const { String::new() }; 4];
    let terminal = (counts.done > 0).then(|| format!("{:.3}", counts.terminal_fraction()));
    let deadlines_met = counts.deadlines_met.map(|fraction| format!("{fraction:.3}"));
    let accepted = match counts.accepted {
        Some(accepted) => format!("{accepted} of {}", counts.jobs),
        None => counts.jobs.to_string(),
    };
    [
        scenario,
        violations,
        group.name.clone(),
        format!("{:.3}", group.served_fraction),
        terminal.unwrap_or_default(),
        deadlines_met.unwrap_or_default(),
        accepted,
        cpu,
        memory,
    ]
}

/// Fills in the cells that only the first row of a scenario has.
fn add_scenario_cells(row: &mut [String; HEADER.len()], report: &ScenarioReport) {
    let format_max = |usage_value: fn(&ControllerUsage) -> Option<f64>| {
        format!("{:.2}", report.controllers.iter().filter_map(usage_value).fold(0.0, f64::max))
    };
    let [scenario, violations, .., cpu, memory] = row;
    *scenario = report.scenario.clone();
    *violations = report.violations.total.to_string();
    *cpu =
        format!("{}, {}", format_max(|usage| usage.cpu_mean), format_max(|usage| usage.cpu_peak));
    *memory = format_max(|usage| usage.memory_peak_mb);
}

fn unanswered_row(job: &UnansweredJob) -> [String; 4] {
    let longest = format!("longest unanswered: {}", job.job);
    [String::new(), String::new(), longest, format!("{:.0} s", job.seconds)]
}

fn largest_row(jobs: &LargestJobs) -> [String; 5] {
    [
        String::new(),
        String::new(),
        format!("{}'s {} largest", jobs.class, jobs.jobs),
        format!("{:.3}", jobs.served_fraction),
        format!("latest {:.0} s", jobs.max_wait_s),
    ]
}
