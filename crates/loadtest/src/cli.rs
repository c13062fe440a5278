//! The command line.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

use crate::service_report::ServiceObjectives;
use crate::simulation::LoadOptions;
use crate::site::SiteScaling;

/// Load tests of quartzgate.
#[derive(Parser)]
#[command(
    version,
    about = "Load tests of quartzgate: what a controller costs as its fleet grows, larger site \
             files, and how well jobs were served"
)]
pub struct Arguments {
    /// What to do.
    #[command(subcommand)]
    pub action: CliAction,
}

/// The sub-commands.
#[derive(Subcommand)]
pub enum CliAction {
    /// Puts a load on the core alone, on simulated time, and tells what each kind of event costs.
    SimulateCore {
        /// Sizes of fleets to try, one after another.
        #[arg(long, value_delimiter = ',', default_values_t = [500, 1230, 2500, 5000, 10000])]
        sizes: Vec<u32>,
        /// A line of JSON for each fleet instead of tables.
        #[arg(long)]
        json: bool,
        /// The load.
        #[command(flatten)]
        options: LoadOptions,
    },
    /// Writes a site file of the bench with a larger fleet.
    ScaleSite {
        /// The site file to start from.
        site: PathBuf,
        /// What changes.
        #[command(flatten)]
        scaling: SiteScaling,
        /// The site file to write.
        #[arg(long)]
        out: PathBuf,
    },
    /// Tells from reports of the bench which part of the jobs of each class and team was served;
    /// fails if any is below the objectives.
    ServiceReport {
        /// Reports of scenarios.
        #[arg(required = true)]
        reports: Vec<PathBuf>,
        /// What the controllers logged in each of these scenarios, at LOG_LEVEL=debug: with it
        /// each class's largest tenth of jobs is reported as well.
        #[arg(long, value_delimiter = ',')]
        logs: Vec<PathBuf>,
        /// What must be reached.
        #[command(flatten)]
        objectives: ServiceObjectives,
        /// All classes and teams, not only the least served of each scenario.
        #[arg(long)]
        all: bool,
    },
    /// Draws how objectives are attained as the fleet grows, from lines of
    /// `machines,objective,version,attained`.
    Plot {
        /// The table (CSV with a header).
        table: PathBuf,
        /// The picture to write (SVG).
        #[arg(long)]
        out: PathBuf,
    },
}
