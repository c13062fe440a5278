//! Errors of the program, with the file that each is about.

use std::path::{Path, PathBuf};

use crate::plot::PlotError;
use crate::service_report::ServiceReportError;
use crate::site::SiteError;

/// Exit code of all failures that have no code of their own.
const EXIT_FAILURE: u8 = 1;

/// Why a sub-command failed.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// An input file can't be read.
    #[error("{path}: {source}", path = path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// An output file can't be written.
    #[error("{path}: {source}", path = path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// A site file can't be scaled.
    #[error("{path}: {source}", path = path.display())]
    Site {
        /// The site file.
        path: PathBuf,
        /// The key, its value and what is allowed.
        source: Box<SiteError>,
    },
    /// A table can't be drawn.
    #[error("{path}: {source}", path = path.display())]
    Plot {
        /// The table.
        path: PathBuf,
        /// The line, its value and what is allowed.
        source: PlotError,
    },
    /// A service report can't be made, or found scenarios that missed their objectives.
    #[error(transparent)]
    ServiceReport(#[from] ServiceReportError),
    /// Results can't be written as JSON.
    #[error("results as JSON: {0}")]
    Json(#[from] serde_json::Error),
}

impl CliError {
    /// The exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::ServiceReport(error) => error.exit_code(),
            _ => EXIT_FAILURE,
        }
    }
}

/// Reads an input file.
pub fn read_text(path: &Path) -> Result<String, CliError> {
    std::fs::read_to_string(path).map_err(|source| CliError::Read { path: path.into(), source })
}

/// Writes an output file.
pub fn write_text(path: &Path, text: &str) -> Result<(), CliError> {
    std::fs::write(path, text).map_err(|source| CliError::Write { path: path.into(), source })
}
