//! quartzgate: a cluster scheduler with constraint-aware, late-binding probes.
//!
//! This program performs the input and output for the core (`quartzgate-core`), which makes all
//! scheduling decisions:
//!
//! - [`settings`] reads and checks the settings files;
//! - [`event_loop`] passes events to the core and executes its actions;
//! - [`listeners`], [`connections`] and [`connection`] manage the sockets;
//! - [`inbound`] queues requests for the core, and [`outbound`] executes the core's calls.

mod clock;
mod connection;
mod connections;
mod event_loop;
mod inbound;
mod listeners;
mod outbound;
mod settings;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

/// Exit code for an invalid command line, environment variable or settings file.
const EXIT_USAGE: u8 = 2;

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
    if let Err(error) = start_logging() {
        return report_error(error, ExitCode::from(EXIT_USAGE));
    }
    let config = match settings::load(&cli.config, cli.operator.as_deref()) {
        Ok(config) => config,
        Err(error) => return report_error(error, ExitCode::from(EXIT_USAGE)),
    };
    if cli.check {
        print!("{}", settings::report(&config));
        return ExitCode::SUCCESS;
    }
    match event_loop::run(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_error(error, ExitCode::FAILURE),
    }
}

/// Prints on standard error why the program ends, and returns the exit code.
fn report_error(error: impl std::error::Error, code: ExitCode) -> ExitCode {
    eprintln!("quartzgate: {error}");
    code
}

/// The environment variable `LOG_LEVEL` holds an unknown log level.
#[derive(Debug, thiserror::Error)]
#[error("LOG_LEVEL is error, info or debug, not `{0}`")]
struct UnknownLogLevel(String);

/// Starts structured logging on standard error, at the level that the environment variable
/// `LOG_LEVEL` names; the default is `info`.
fn start_logging() -> Result<(), UnknownLogLevel> {
    let name = std::env::var("LOG_LEVEL").unwrap_or_default().to_ascii_lowercase();
    let level = match name.as_str() {
        "error" => tracing::Level::ERROR,
        "info" | "" => tracing::Level::INFO,
        "debug" => tracing::Level::DEBUG,
        _ => return Err(UnknownLogLevel(name)),
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .init();
    Ok(())
}
