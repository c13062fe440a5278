//! `quartzgate-loadtest`: what a controller costs as its fleet grows.

mod load;
mod plot;
mod scenarios;
mod service_report;
mod site;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use comfy_table::Table;

use load::{Costs, Load, Sim};

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
        load: Load,
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

fn show(costs: &Costs) {
    println!(
        "{} machines, {} s: {:.3} of a core (busiest second {:.3}), longest event {:.1} ms; \
         {} accepted, {} refused, {} starts, {} tasks done; start p50 {} ms, p99 {} ms",
        costs.machines,
        costs.seconds,
        costs.mean,
        costs.peak,
        costs.longest_event_us as f64 / 1e3,
        costs.accepted,
        costs.refused,
        costs.starts,
        costs.tasks_done,
        costs.start_p50_ms,
        costs.start_p99_ms,
    );
    if let Some(ms) = costs.first_start_ms {
        println!(
            "taken over from {} records; a task was started after {ms} ms and {:.0} ms of processor",
            costs.records, costs.takeover_cpu_ms
        );
    }
    let mut table = Table::new();
    table.set_header(["event", "times", "mean µs", "p99 µs", "longest µs", "share of a core"]);
    for k in &costs.kinds {
        table.add_row([
            k.kind.to_string(),
            k.events.to_string(),
            format!("{:.1}", k.mean_us),
            k.p99_us.to_string(),
            k.max_us.to_string(),
            format!("{:.4}", k.share),
        ]);
    }
    println!("{table}");
}

fn run(args: Args) -> Result<(), Box<dyn std::error::Error>> {
    match args.command {
        Command::Core { sizes, json, load } => {
            for machines in sizes {
                let costs = Sim::new(Load { machines, ..load.clone() }).run();
                match json {
                    true => println!("{}", serde_json::to_string(&costs)?),
                    false => show(&costs),
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
