//! The controller processes of a run. Each process is signalled and observed by its own id.

use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use rustix::process::{kill_process, Pid, Signal};
use tokio::process::{Child, Command};

use crate::settings::{self, ControllerAddresses};

/// File name of the controller program.
const PROGRAM: &str = "quartzgate";

/// Error of starting a controller.
#[derive(Debug, thiserror::Error)]
pub enum ControllerError {
    /// No file exists at the path of the controller program.
    #[error("--controller: no program {}: build it, or give another path", .0.display())]
    ProgramNotFound(PathBuf),
    /// A file could not be written, or the program could not be started.
    #[error("{}: {source}", path.display())]
    Io {
        /// Path of the file or program.
        path: PathBuf,
        /// The error that the operating system returned.
        source: io::Error,
    },
}

/// Returns the path of the controller program: `given_path`, or else the file beside this program.
pub fn find_program(given_path: Option<&Path>) -> Result<PathBuf, ControllerError> {
    let beside_this_program =
        || std::env::current_exe().ok().map(|this_program| this_program.with_file_name(PROGRAM));
    let program =
        given_path.map(Path::to_path_buf).or_else(beside_this_program).unwrap_or_default();
    match program.is_file() {
        true => Ok(program),
        false => Err(ControllerError::ProgramNotFound(program)),
    }
}

/// A controller of a run, whose process may be down at times.
pub struct Controller {
    node: usize,
    program: PathBuf,
    settings_path: PathBuf,
    operator_path: PathBuf,
    log_path: PathBuf,
    child: Option<Child>,
    peak_memory_mb: f64,
}

impl Controller {
    /// Writes the controller's settings files into `folder` and starts its process.
    pub fn start(
        node: usize,
        controller_count: usize,
        addresses: &ControllerAddresses,
        program: &Path,
        folder: &Path,
        idle_ratio: f64,
    ) -> Result<Self, ControllerError> {
        let settings_path = folder.join(format!("settings-{node}.json"));
        let operator_path = folder.join("operator.yaml");
        let platform = settings::platform_settings(node, controller_count, addresses);
        write(&settings_path, &platform.to_string())?;
        write(&operator_path, &format!("idle_ratio: {idle_ratio}\n"))?;
        let mut controller = Controller {
            node,
            program: program.to_path_buf(),
            settings_path,
            operator_path,
            log_path: folder.join(format!("host-{node}.log")),
            child: None,
            peak_memory_mb: 0.0,
        };
        controller.restart()?;
        Ok(controller)
    }

    /// Starts a new process, which appends to the existing log.
    pub fn restart(&mut self) -> Result<(), ControllerError> {
        let log = self.open_log()?;
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(&self.settings_path)
            .arg("--operator")
            .arg(&self.operator_path)
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|source| ControllerError::Io { path: self.program.clone(), source })?;
        self.child = Some(child);
        Ok(())
    }

    fn open_log(&self) -> Result<File, ControllerError> {
        let log = OpenOptions::new().create(true).append(true).open(&self.log_path);
        log.map_err(|source| ControllerError::Io { path: self.log_path.clone(), source })
    }

    /// Starts a new process, unless one is running because another fault has restarted it already.
    pub fn restart_if_down(&mut self) -> Result<(), ControllerError> {
        match self.child {
            Some(_) => Ok(()),
            None => self.restart(),
        }
    }

    /// Kills the process and waits until it has exited.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // An error means that the process has exited already, which is for `unexpected_exit` to
            // report.
            let _ = child.kill().await;
        }
    }

    /// Stops the process, while its clocks keep running, or resumes it.
    pub fn set_paused(&self, paused: bool) {
        let signal = if paused { Signal::STOP } else { Signal::CONT };
        if let Some(pid) = self.pid() {
            // An error means that the process has just exited.
            let _ = kill_process(pid, signal);
        }
    }

    fn pid(&self) -> Option<Pid> {
        let id = self.child.as_ref()?.id()?;
        Pid::from_raw(i32::try_from(id).ok()?)
    }

    /// Returns how the process has exited if the harness did not kill it.
    pub fn unexpected_exit(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(format!("host-{} exited unexpectedly: {status}", self.node))
    }

    /// Samples the resident memory of the process and returns the largest sample so far, in MB.
    pub fn sample_peak_memory_mb(&mut self) -> f64 {
        let status = self.pid().and_then(|pid| {
            let path = format!("/proc/{}/status", pid.as_raw_nonzero());
            std::fs::read_to_string(path).ok()
        });
        let resident_kb = status.as_deref().and_then(resident_kb).unwrap_or(0.0);
        self.peak_memory_mb = self.peak_memory_mb.max(resident_kb / 1024.0);
        self.peak_memory_mb
    }
}

/// Parses the resident memory, in kB, from the text of `/proc/<pid>/status`.
fn resident_kb(status: &str) -> Option<f64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}

fn write(path: &Path, text: &str) -> Result<(), ControllerError> {
    std::fs::write(path, text)
        .map_err(|source| ControllerError::Io { path: path.to_path_buf(), source })
}
