//! quartzgate: a cluster scheduler with constraint-aware, late-binding probes.

mod conn;
mod daemon;
mod settings;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

/// A cluster scheduler with constraint-aware, late-binding probes.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    /// Settings file of the platform (JSON).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Operators' own settings (YAML); every key may be left out.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Check the settings, say which formats and features this build knows, and leave.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Err(e) = start_logging() {
        eprintln!("quartzgate: {e}");
        return ExitCode::from(2);
    }
    let config = match settings::load(&cli.config, cli.operator.as_deref()) {
        Ok(c) => c,
        Err(e) => {
            eprintln!("quartzgate: {e}");
            return ExitCode::from(2);
        }
    };
    if cli.check {
        print!("{}", settings::report(&config));
        return ExitCode::SUCCESS;
    }
    match daemon::run(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("quartzgate: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Structured logs on standard error, in the amount that LOG_LEVEL names.
fn start_logging() -> Result<(), String> {
    let word = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into());
    let level = match word.to_ascii_lowercase().as_str() {
        "error" => tracing::Level::ERROR,
        "info" | "" => tracing::Level::INFO,
        "debug" => tracing::Level::DEBUG,
        other => return Err(format!("LOG_LEVEL is error, info or debug, not `{other}`")),
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .init();
    Ok(())
}
