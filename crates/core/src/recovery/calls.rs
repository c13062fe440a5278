//! Calls made during recovery, and the routing of their outcomes.

use crate::controller::Controller;
use crate::ids::{JobIndex, MachineIndex};
use crate::{Outcome, Peer};

/// Purpose of a recovery call. Every call concerns the leader's in-memory state, so its outcome
/// counts only in the epoch in which the call was made.
#[derive(Debug)]
pub(crate) enum RecoveryCall {
    /// Lists the records of the present recovery phase.
    RecordList { epoch: u64 },
    /// Requests a heartbeat from a machine.
    WorkerStatusQuery { machine: MachineIndex, epoch: u64 },
    /// Reads the placements of a recorded job.
    PlacementsRead { job: JobIndex, epoch: u64 },
}

impl RecoveryCall {
    fn epoch(&self) -> u64 {
        match *self {
            RecoveryCall::RecordList { epoch }
            | RecoveryCall::WorkerStatusQuery { epoch, .. }
            | RecoveryCall::PlacementsRead { epoch, .. } => epoch,
        }
    }
}

impl Controller {
    /// Sends a GET request whose outcome is passed to [`Controller::on_recovery_outcome`].
    pub(super) fn get_for_recovery(
        &mut self,
        peer: Peer,
        target: String,
        timeout_ms: u64,
        call: RecoveryCall,
    ) {
        let id = self.context.call(peer, "GET", target, Vec::new(), timeout_ms);
        self.recovery_calls.insert(id, call);
    }

    /// Routes the outcome of a recovery call, unless the epoch has changed since the call was made.
    pub(crate) fn on_recovery_outcome(&mut self, call: RecoveryCall, outcome: Outcome) {
        if call.epoch() != self.epoch() {
            return;
        }
        match call {
            RecoveryCall::RecordList { .. } => self.on_recovery_list(outcome),
            RecoveryCall::WorkerStatusQuery { machine, .. } => {
                self.on_worker_status_outcome(machine, outcome)
            }
            RecoveryCall::PlacementsRead { job, .. } => self.on_placements_read(job, outcome),
        }
    }
}
