//! `quartzgate-loadtest`: load tests of quartzgate.
//!
//! - `simulate-core` measures the processor time of the scheduling core as its fleet grows
//!   ([`simulation`]).
//! - `scale-site` writes site files with a larger fleet for the bench, optionally with generated
//!   scenarios ([`site`], [`scenarios`]).
//! - `service-report` evaluates from the bench's reports how well jobs were served
//!   ([`service_report`]).
//! - `plot` draws results as a chart for the documentation ([`mod@plot`]).

mod cli;
mod error;
mod plot;
mod scenarios;
mod service_report;
mod simulation;
mod site;

use std::path::Path;
use std::process::ExitCode;

use clap::Parser;

use cli::{Arguments, CliAction};
use error::{read_text, write_text, CliError};
use simulation::{LoadOptions, Simulation};
use site::SiteScaling;

fn main() -> ExitCode {
    match run(Arguments::parse().action) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quartzgate-loadtest: {error}");
            error.exit_code().into()
        }
    }
}

fn run(action: CliAction) -> Result<(), CliError> {
    match action {
        CliAction::SimulateCore { sizes, json, options } => simulate_core(&sizes, json, &options),
        CliAction::ScaleSite { site, scaling, out } => scale_site(&site, &scaling, &out),
        CliAction::ServiceReport { reports, logs, objectives, all } => {
            Ok(service_report::print_service_report(&reports, &logs, objectives, all)?)
        }
        CliAction::Plot { table, out } => plot_table(&table, &out),
    }
}

fn simulate_core(sizes: &[u32], json: bool, options: &LoadOptions) -> Result<(), CliError> {
    for machines in sizes {
        let costs = Simulation::new(LoadOptions { machines: *machines, ..options.clone() }).run();
        match json {
            true => println!("{}", serde_json::to_string(&costs)?),
            false => costs.print(),
        }
    }
    Ok(())
}

fn scale_site(path: &Path, scaling: &SiteScaling, out: &Path) -> Result<(), CliError> {
    let text = read_text(path)?;
    let scaled = site::scale_site(&text, scaling)
        .map_err(|source| CliError::Site { path: path.into(), source: Box::new(source) })?;
    write_text(out, &scaled)
}

fn plot_table(path: &Path, out: &Path) -> Result<(), CliError> {
    let text = read_text(path)?;
    plot::plot(&text, out).map_err(|source| CliError::Plot { path: path.into(), source })
}
