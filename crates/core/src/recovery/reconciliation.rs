//! Reconciles the leader's in-memory state with machines that have not sent a heartbeat, by
//! requesting one from them.

use quartzgate_wire::from_cbor;
use quartzgate_wire::msg::Heartbeat;

use super::RecoveryCall;
use crate::controller::Controller;
use crate::fleet::machines::is_plausible;
use crate::ids::MachineIndex;
use crate::{Outcome, Peer};

impl Controller {
    /// Requests a heartbeat from a machine whose address is known.
    pub(crate) fn query_worker_status(&mut self, ix: MachineIndex) {
        let Some(machine) = self.machines.get_mut(ix) else { return };
        let Some(addr) = machine.addr else { return };
        machine.worker_status_queried_ms = self.context.now.steady_ms;
        let call = RecoveryCall::WorkerStatusQuery { machine: ix, epoch: self.epoch() };
        let timeout_ms = self.context.config.worker_timeout_ms();
        self.get_for_recovery(Peer::Worker(addr), "/inspect".into(), timeout_ms, call);
    }

    /// Handles the answer to a heartbeat request. Addresses are reused, so the answer counts only
    /// if it names the machine that was asked.
    pub(super) fn on_worker_status_outcome(&mut self, ix: MachineIndex, outcome: Outcome) {
        let Outcome::Answer(response) = outcome else { return };
        let Some(machine) = self.machines.get(ix) else { return };
        let Ok(heartbeat) = from_cbor::<Heartbeat>(&response.body) else { return };
        let is_from_machine = is_plausible(&heartbeat) && heartbeat.machine == machine.name;
        if response.status == 200 && is_from_machine {
            self.on_worker_status_answer(ix, heartbeat);
            self.machines_to_command.insert(ix);
        }
    }
}
