//! The controller processes of a run: started, killed, paused and watched by their ids.

use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use rustix::process::{kill_process, Pid, Signal};
use tokio::process::{Child, Command};

use crate::settings::{self, ControllerAddresses};

/// Name of the controller program.
const PROGRAM: &str = "quartzgate";

/// Why a controller could not be started.
#[derive(Debug, thiserror::Error)]
pub enum ControllerError {
    /// There is no program.
    #[error("--controller: no program {}: build it, or name another", .0.display())]
    NoProgram(PathBuf),
    /// A file can't be written, or the program can't be started.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or program.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
}

/// The controller program: the one that is named, or that beside this program.
pub fn find_program(named: Option<&Path>) -> Result<PathBuf, ControllerError> {
    let beside = || std::env::current_exe().ok().map(|own| own.with_file_name(PROGRAM));
    let program = named.map(Path::to_path_buf).or_else(beside).unwrap_or_default();
    match program.is_file() {
        true => Ok(program),
        false => Err(ControllerError::NoProgram(program)),
    }
}

/// One controller of a run.
pub struct Controller {
    node: usize,
    program: PathBuf,
    settings_path: PathBuf,
    operator_path: PathBuf,
    log_path: PathBuf,
    child: Option<Child>,
    largest_memory_mb: f64,
}

impl Controller {
    /// Writes the settings of a controller into a folder, and starts it.
    pub fn start(
        node: usize,
        count: usize,
        addresses: &ControllerAddresses,
        program: &Path,
        folder: &Path,
        idle_ratio: f64,
    ) -> Result<Self, ControllerError> {
        let settings_path = folder.join(format!("settings-{node}.json"));
        let operator_path = folder.join("operator.yaml");
        let platform = settings::platform_settings(node, count, addresses);
        write(&settings_path, &platform.to_string())?;
        write(&operator_path, &format!("idle_ratio: {idle_ratio}\n"))?;
        let mut controller = Controller {
            node,
            program: program.to_path_buf(),
            settings_path,
            operator_path,
            log_path: folder.join(format!("host-{node}.log")),
            child: None,
            largest_memory_mb: 0.0,
        };
        controller.restart()?;
        Ok(controller)
    }

    /// Starts the process anew; its log goes on.
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

    /// Starts the process anew, unless another fault has done so already.
    pub fn restart_if_down(&mut self) -> Result<(), ControllerError> {
        match self.child {
            Some(_) => Ok(()),
            None => self.restart(),
        }
    }

    /// Kills the process and waits until it is gone.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // A process that has ended by itself is reported by `ended_by_itself`.
            let _ = child.kill().await;
        }
    }

    /// Stops the process, while its clocks run on, or lets it go on.
    pub fn set_paused(&self, paused: bool) {
        let signal = if paused { Signal::STOP } else { Signal::CONT };
        if let Some(pid) = self.pid() {
            // It may have ended a moment ago.
            let _ = kill_process(pid, signal);
        }
    }

    fn pid(&self) -> Option<Pid> {
        let id = self.child.as_ref()?.id()?;
        Pid::from_raw(i32::try_from(id).ok()?)
    }

    /// Says how the process has ended, if nobody ended it.
    pub fn ended_by_itself(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(format!("host-{} ended by itself: {status}", self.node))
    }

    /// Looks how much memory the process takes; returns the most that was seen, in MB.
    pub fn observe_memory_mb(&mut self) -> f64 {
        let status = self.pid().and_then(|pid| {
            let path = format!("/proc/{}/status", pid.as_raw_nonzero());
            std::fs::read_to_string(path).ok()
        });
        let resident_kb = status.as_deref().and_then(resident_kb).unwrap_or(0.0);
        self.largest_memory_mb = self.largest_memory_mb.max(resident_kb / 1024.0);
        self.largest_memory_mb
    }
}

/// Resident memory in a process's status as the system shows it.
fn resident_kb(status: &str) -> Option<f64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}

fn write(path: &Path, text: &str) -> Result<(), ControllerError> {
    std::fs::write(path, text)
        .map_err(|source| ControllerError::Io { path: path.to_path_buf(), source })
}
