//! Errors of the program, with the path of the file that each concerns.

use std::path::{Path, PathBuf};

use crate::plot::PlotError;
use crate::service_report::ServiceReportError;
use crate::site::SiteError;

/// Exit code of all failures without an exit code of their own.
const EXIT_FAILURE: u8 = 1;

/// The reason why a subcommand failed.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// An input file can't be read.
    #[error("{path}: {source}", path = path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// An output file can't be written.
    #[error("{path}: {source}", path = path.display())]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A site file can't be scaled.
    #[error("{path}: {source}", path = path.display())]
    Site {
        /// Path of the site file.
        path: PathBuf,
        /// The invalid key, the value found and the values allowed.
        source: Box<SiteError>,
    },
    /// A chart can't be drawn from a table.
    #[error("{path}: {source}", path = path.display())]
    Plot {
        /// Path of the table.
        path: PathBuf,
        /// The invalid line, the value found and the values allowed.
        source: PlotError,
    },
    /// A service report can't be made, or it found scenarios that missed their objectives.
    #[error(transparent)]
    ServiceReport(#[from] ServiceReportError),
    /// Results can't be written as JSON.
    #[error("results can't be written as JSON: {0}")]
    Json(#[from] serde_json::Error),
}

impl CliError {
    /// Returns the exit code of the process for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::ServiceReport(error) => error.exit_code(),
            _ => EXIT_FAILURE,
        }
    }
}

/// Reads an input file as UTF-8; the error names the path.
pub fn read_text(path: &Path) -> Result<String, CliError> {
    std::fs::read_to_string(path).map_err(|source| CliError::Read { path: path.into(), source })
}

/// Writes an output file; the error names the path.
pub fn write_text(path: &Path, text: &str) -> Result<(), CliError> {
    std::fs::write(path, text).map_err(|source| CliError::Write { path: path.into(), source })
}
