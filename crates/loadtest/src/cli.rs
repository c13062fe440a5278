//! The command-line arguments.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

use crate::service_report::ServiceObjectives;
use crate::simulation::LoadOptions;
use crate::site::SiteScaling;

/// Load tests of quartzgate.
#[derive(Parser)]
#[command(
    version,
    about = "Load tests of quartzgate: processor time of a controller as its fleet grows, larger \
             site files, and how well jobs were served"
)]
pub struct Arguments {
    /// The subcommand to run.
    #[command(subcommand)]
    pub action: CliAction,
}

/// The subcommands and their arguments.
#[derive(Subcommand)]
pub enum CliAction {
    /// Runs a load on the scheduling core alone, on simulated time, and prints the processor time
    /// of each kind of event.
    SimulateCore {
        /// Numbers of machines to simulate, one fleet after another.
        #[arg(long, value_delimiter = ',', default_values_t = [500, 1230, 2500, 5000, 10000])]
        sizes: Vec<u32>,
        /// Print one line of JSON for each fleet instead of tables.
        #[arg(long)]
        json: bool,
        /// The load on the core.
        #[command(flatten)]
        options: LoadOptions,
    },
    /// Writes a copy of a site file of the bench with a larger fleet.
    ScaleSite {
        /// Site file to scale.
        site: PathBuf,
        /// The factors to scale by.
        #[command(flatten)]
        scaling: SiteScaling,
        /// Site file to write.
        #[arg(long)]
        out: PathBuf,
    },
    /// Prints, from reports of the bench, which fraction of the jobs of each class and team was
    /// served; fails if any is below the objectives.
    ServiceReport {
        /// Report files of the bench, one for each scenario.
        #[arg(required = true)]
        reports: Vec<PathBuf>,
        /// Logs of the controllers at LOG_LEVEL=debug, one for each report: adds the largest tenth
        /// of each class's jobs to the table.
        #[arg(long, value_delimiter = ',')]
        logs: Vec<PathBuf>,
        /// The objectives that each scenario must reach.
        #[command(flatten)]
        objectives: ServiceObjectives,
        /// Show all classes and teams, not only the least served one of each scenario.
        #[arg(long)]
        all: bool,
    },
    /// Draws how well objectives are attained as the fleet grows, from a table with lines of
    /// `machines,objective,version,attained`.
    Plot {
        /// Table to read (CSV with a header).
        table: PathBuf,
        /// Chart to write (SVG).
        #[arg(long)]
        out: PathBuf,
    },
}
