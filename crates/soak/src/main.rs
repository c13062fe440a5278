//! `quartzgate-soak`: injects random faults into real controller processes over loopback.
//!
//! A run starts several processes of the real `quartzgate` program, with stand-ins for every
//! service that they call. It draws overlapping faults from a seed and checks the scheduler's
//! invariants from outside, against the records that the stand-ins keep. Simulated users submit,
//! resubmit, query and cancel jobs at all controllers before, during and after the faults.
#![warn(missing_docs)]

mod checks;
mod cloud;
mod controllers;
mod http;
mod machine;
mod mesh_proxy;
mod report;
mod run;
mod schedule;
mod seeds;
mod settings;
mod state_service;
mod users;
mod workers;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

use run::{RunError, RunOptions};
use seeds::SeedRange;

/// Exit code if a run violated an invariant.
const EXIT_VIOLATED: u8 = 1;
/// Exit code if a run could not be carried out.
const EXIT_NOT_RUN: u8 = 2;

/// Injects random faults into real controller processes over loopback and checks invariants.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Arguments {
    /// Range of seeds to run, `FIRST..LAST`, both inclusive.
    #[arg(long)]
    seeds: SeedRange,
    /// Number of concurrent runs.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=16))]
    jobs: u16,
    /// Duration of the fault phase of each run, in seconds.
    #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u32).range(5..=3600))]
    fault_s: u32,
    /// Duration of the phase without faults that follows, in seconds; the invariants that allow 75
    /// and 90 s are checked only if the phase is longer than these times.
    #[arg(long, default_value_t = 95, value_parser = clap::value_parser!(u32).range(5..=3600))]
    calm_s: u32,
    /// Path of the controller program; defaults to the program of the same build.
    #[arg(long)]
    controller: Option<PathBuf>,
    /// Directory for the logs of failed runs.
    #[arg(long, default_value = "target/soak")]
    logs: PathBuf,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match run_all(&arguments) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_VIOLATED),
        Err(error) => {
            eprintln!("quartzgate-soak: {error}");
            ExitCode::from(EXIT_NOT_RUN)
        }
    }
}

/// Carries out all runs and returns whether none of them violated an invariant.
fn run_all(arguments: &Arguments) -> Result<bool, RunError> {
    let options = RunOptions {
        controller: controllers::find_program(arguments.controller.as_deref())?,
        logs: arguments.logs.clone(),
        fault_ms: u64::from(arguments.fault_s) * 1000,
        calm_ms: u64::from(arguments.calm_s) * 1000,
    };
    let outcomes = run::run_seeds(&options, arguments.seeds, usize::from(arguments.jobs))?;
    report::print_table(&outcomes);
    Ok(outcomes.iter().all(|outcome| outcome.violations.is_empty()))
}
