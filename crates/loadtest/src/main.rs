//! `quartzgate-loadtest`: what a controller costs as its fleet grows.

mod plot;
mod scenarios;
mod service_report;
mod simulation;
mod site;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

use simulation::{LoadOptions, Simulation};

#[derive(Parser)]
#[command(version, about = "What a controller of quartzgate costs as its fleet grows")]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Puts a load on the core alone and tells what each kind of event costs.
    Core {
        /// Fleets to try, one after another.
        #[arg(long, value_delimiter = ',', default_values_t = [500, 1230, 2500, 5000, 10000])]
        sizes: Vec<u32>,
        /// A line of JSON for each fleet instead of tables.
        #[arg(long)]
        json: bool,
        #[command(flatten)]
        options: LoadOptions,
    },
    /// Writes a site file of the bench with a larger fleet.
    Multiply {
        site: PathBuf,
        #[command(flatten)]
        scaling: site::SiteScaling,
        #[arg(long)]
        out: PathBuf,
    },
    /// Tells from reports of the bench which share of each class and team was served; fails
    /// if any is below.
    Served {
        #[arg(required = true)]
        reports: Vec<PathBuf>,
        /// What the controllers wrote on each of these days, at LOG_LEVEL=debug: with it the
        /// share of each class's largest tenth is told as well.
        #[arg(long, value_delimiter = ',')]
        logs: Vec<PathBuf>,
        #[command(flatten)]
        bar: service_report::Least,
        /// All classes and teams, not the least served of each day only.
        #[arg(long)]
        all: bool,
    },
    /// Draws what is kept as the fleet grows, from lines of `machines,aim,version,kept`.
    Plot {
        table: PathBuf,
        /// The picture (SVG).
        #[arg(long)]
        out: PathBuf,
    },
}

fn run(args: Args) -> Result<(), Box<dyn std::error::Error>> {
    match args.command {
        Command::Core { sizes, json, options } => {
            for machines in sizes {
                let costs = Simulation::new(LoadOptions { machines, ..options.clone() }).run();
                match json {
                    true => println!("{}", serde_json::to_string(&costs)?),
                    false => costs.print(),
                }
            }
        }
        Command::Plot { table, out } => {
            let named = |e: String| format!("{}: {e}", table.display());
            let text = std::fs::read_to_string(&table).map_err(|e| named(e.to_string()))?;
            plot::plot(&text, &out).map_err(|e| named(e.to_string()))?;
        }
        Command::Served { reports, logs, bar, all } => {
            service_report::tell(&reports, &logs, bar, all)?
        }
        Command::Multiply { site, scaling, out } => {
            let named = |e| format!("{}: {e}", site.display());
            let text = std::fs::read_to_string(&site).map_err(|e| named(e.to_string()))?;
            let more = site::scale_site(&text, &scaling).map_err(|e| named(e.to_string()))?;
            std::fs::write(&out, more).map_err(|e| format!("{}: {e}", out.display()))?;
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("quartzgate-loadtest: {e}");
            let served = e.downcast_ref::<service_report::ServedError>();
            served.map_or(ExitCode::FAILURE, |e| e.exit_code().into())
        }
    }
}
