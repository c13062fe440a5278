//! Tasks, their states, and their probes.

use quartzgate_wire::msg::TaskStatus;

use crate::ids::MachineIndex;

/// The state of a task as this leader knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TaskState {
    /// Not placed: no placement record names the task, and it is on no machine.
    Unplaced,
    /// Placed and provably on no machine: one of the probed machines may bind the task.
    Waiting,
    /// Possibly on a machine, because an earlier leader may have started the task there.
    Unproven,
    /// Bound to a machine: the start command has been sent or is about to be sent.
    Starting { machine: MachineIndex, attempt: u64 },
    /// Reported by its machine; `since_ms` is the monotonic time of the first report of this
    /// status.
    On { machine: MachineIndex, attempt: u64, status: TaskStatus, since_ms: u64 },
    /// Being stopped, still on its machine; `grace` is set if it may save a checkpoint first.
    Stopping { machine: MachineIndex, attempt: u64, grace: bool },
    /// Completed; the completion is durable once the chunk's stored record has reached `version`.
    Done { version: u32 },
    /// The job was aborted and the task is provably on no machine.
    Dropped,
}

impl TaskState {
    /// Returns the machine that the task occupies, as far as this leader knows, and the attempt
    /// number.
    pub fn machine_and_attempt(&self) -> Option<(MachineIndex, u64)> {
        match *self {
            TaskState::Starting { machine, attempt }
            | TaskState::On { machine, attempt, .. }
            | TaskState::Stopping { machine, attempt, .. } => Some((machine, attempt)),
            _ => None,
        }
    }

    /// Returns whether the task counts towards the team's limit: it is placed and not provably
    /// ended.
    pub fn holds_reservation(&self) -> bool {
        !matches!(self, TaskState::Unplaced | TaskState::Done { .. } | TaskState::Dropped)
    }

    pub(super) fn is_waiting(&self) -> bool {
        matches!(self, TaskState::Waiting)
    }

    pub(super) fn is_unproven(&self) -> bool {
        matches!(self, TaskState::Unproven)
    }

    /// Returns whether a heartbeat has confirmed the task on a machine and the task is not yet
    /// known to have left it.
    pub(super) fn is_confirmed_on_machine(&self) -> bool {
        matches!(self, TaskState::On { .. } | TaskState::Stopping { .. })
    }

    pub(super) fn is_done(&self) -> bool {
        matches!(self, TaskState::Done { .. })
    }
}

/// A machine that a task may be bound to once the record that names it is durable.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    /// The probed machine; the task is in its queue while the task waits.
    pub machine: MachineIndex,
    /// The first version of the chunk's record that names this machine for the task.
    pub version: u32,
    /// Whether an earlier leader may have started the task on this machine.
    pub unproven: bool,
}

/// One task of a job.
#[derive(Clone, Debug)]
pub struct Task {
    /// State of the task; only `set_task_state` changes it.
    pub state: TaskState,
    /// Probes on the machines whose queues hold the task while it waits.
    pub probes: Vec<Probe>,
    /// Zone that placement has chosen; set only for jobs with a zone rule.
    pub zone: Option<u16>,
    /// How many times a later task was bound before this one from a queue; reset when this task is
    /// bound.
    pub times_passed_over: u32,
    /// Sequence number of the task's arrival, increasing over all jobs.
    pub arrived: u64,
    /// Monotonic time of the latest change to another kind of state.
    pub since_ms: u64,
    /// Number of attempts that have failed.
    pub failures: u32,
    /// Monotonic time before which the task is not started again (retry backoff).
    pub not_before_ms: u64,
}
