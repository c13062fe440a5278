//! Report of all runs on standard output.

use comfy_table::{presets, Table};
use hdrhistogram::Histogram;

use crate::run::RunOutcome;

/// Upper limit of the values in the histogram of unanswered times: one hour.
const MAX_TIME_MS: u64 = 3_600_000;

/// Prints a table with a row for each run, then the violations and log directories of failed runs.
pub fn print_table(outcomes: &[RunOutcome]) {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN).set_header([
        "seed",
        "shape",
        "faults",
        "jobs",
        "starts",
        "answers",
        "longest unanswered s",
        "starts after cancel",
        "memory MB",
        "outcome",
    ]);
    for outcome in outcomes {
        table.add_row([
            outcome.seed.to_string(),
            format!("{} x {}", outcome.nodes, outcome.workers),
            outcome.faults.to_string(),
            outcome.jobs.to_string(),
            outcome.starts.to_string(),
            outcome.answers.to_string(),
            format!("{:.1}", outcome.longest_unanswered_ms as f64 / 1e3),
            outcome.starts_after_cancel.to_string(),
            format!("{:.0}", outcome.memory_mb),
            match outcome.violations.len() {
                0 => "ok".to_string(),
                n => format!("{n} violations"),
            },
        ]);
    }
    println!("{table}");
    print_longest_unanswered(outcomes);
    for outcome in outcomes.iter().filter(|outcome| !outcome.violations.is_empty()) {
        println!("seed {}: logs in {}", outcome.seed, outcome.folder.display());
        outcome.violations.iter().for_each(|violation| println!("  {violation}"));
    }
    let failed = outcomes.iter().filter(|outcome| !outcome.violations.is_empty()).count();
    println!("{} runs, {failed} with violations", outcomes.len());
}

fn print_longest_unanswered(outcomes: &[RunOutcome]) {
    let Ok(mut histogram) = Histogram::<u32>::new_with_max(MAX_TIME_MS, 2) else { return };
    for outcome in outcomes {
        histogram.saturating_record(outcome.longest_unanswered_ms);
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    println!("longest unanswered, by run: p50 {:.1} s, max {:.1} s", at(0.5), at(1.0));
}
