//! Calls of recovery, and the routing of their outcomes.

use crate::controller::Controller;
use crate::ids::{JobIndex, MachineIndex};
use crate::{Outcome, Peer};

/// What a call is for. All of them concern the leader's memory: their outcomes count only in the
/// epoch in which they were made.
#[derive(Debug)]
pub(crate) enum RecoveryCall {
    /// A list of records of the present phase.
    RecordList { epoch: u64 },
    /// A request to a machine for a heartbeat.
    Inspect { machine: MachineIndex, epoch: u64 },
    /// A read of the placements of a recorded job.
    PlacementsRead { job: JobIndex, epoch: u64 },
}

impl RecoveryCall {
    fn epoch(&self) -> u64 {
        match *self {
            RecoveryCall::RecordList { epoch }
            | RecoveryCall::Inspect { epoch, .. }
            | RecoveryCall::PlacementsRead { epoch, .. } => epoch,
        }
    }
}

impl Controller {
    /// Sends a GET request; the outcome goes to [`Controller::on_recovery_outcome`].
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

    /// Routes the outcome of a call, unless the epoch has changed.
    pub(crate) fn on_recovery_outcome(&mut self, call: RecoveryCall, outcome: Outcome) {
        if call.epoch() != self.epoch() {
            return;
        }
        match call {
            RecoveryCall::RecordList { .. } => self.on_recovery_list(outcome),
            RecoveryCall::Inspect { machine, .. } => self.on_inspect(machine, outcome),
            RecoveryCall::PlacementsRead { job, .. } => self.on_adopt(job, outcome),
        }
    }
}
