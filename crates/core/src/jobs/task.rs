//! Tasks and their states.

use quartzgate_wire::msg::TaskStatus;

use crate::ids::MachineIndex;

/// The state of a task, as far as this leader knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TaskState {
    /// Not placed: in no placement record, on no machine.
    Unplaced,
    /// Placed and provably on no machine: may be bound to one of its probes.
    Waiting,
    /// Possibly on a machine where an earlier leader could have started it.
    Unproven,
    /// Bound: the command to start it has been sent, or is about to be.
    Starting { machine: MachineIndex, attempt: u64 },
    /// Reported by its machine, since this moment of the steady clock.
    On { machine: MachineIndex, attempt: u64, status: TaskStatus, since_ms: u64 },
    /// Commanded to stop, still on its machine; `grace` if it may save a checkpoint first.
    Stopping { machine: MachineIndex, attempt: u64, grace: bool },
    /// Completed; this is durable once the record of its chunk has reached this version.
    Done { version: u32 },
    /// Its job was aborted and it is provably on no machine.
    Dropped,
}

impl TaskState {
    /// The machine that the task occupies, as far as this leader knows, and the attempt.
    pub fn machine(&self) -> Option<(MachineIndex, u64)> {
        match *self {
            TaskState::Starting { machine, attempt }
            | TaskState::On { machine, attempt, .. }
            | TaskState::Stopping { machine, attempt, .. } => Some((machine, attempt)),
            _ => None,
        }
    }

    /// Whether it counts against the team's limit: placed, and not provably ended.
    pub fn reserved(&self) -> bool {
        !matches!(self, TaskState::Unplaced | TaskState::Done { .. } | TaskState::Dropped)
    }

    pub(super) fn is_waiting(&self) -> bool {
        matches!(self, TaskState::Waiting)
    }

    pub(super) fn is_unproven(&self) -> bool {
        matches!(self, TaskState::Unproven)
    }

    /// Confirmed on a machine by a heartbeat, and not yet known to have left it.
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
    /// The machine.
    pub machine: MachineIndex,
    /// The first version of the chunk's record that names this machine.
    pub version: u32,
    /// An earlier leader may have started the task here.
    pub unproven: bool,
}

/// One task of a job.
#[derive(Clone, Debug)]
pub struct Task {
    /// Changed by `set_task_state` alone.
    pub state: TaskState,
    /// The machines whose queues it is in, or will be once it waits.
    pub probes: Vec<Probe>,
    /// Zone that placement has chosen, for jobs with a zone rule.
    pub zone: Option<u16>,
    /// How often another task was bound before this one in a queue.
    pub slack: u32,
    /// Sequence number of its arrival, growing over all jobs.
    pub arrived: u64,
    /// Steady clock at its latest change of state.
    pub since_ms: u64,
    /// Attempts that have failed.
    pub failures: u32,
    /// Steady clock before which it is not started again (back-off).
    pub not_before_ms: u64,
}
