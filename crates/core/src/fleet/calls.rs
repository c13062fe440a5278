//! Calls that the fleet's modules have made, and where their outcomes go.

use quartzgate_wire::msg::Heartbeat;

use super::provisioning::ProvisionCall;
use crate::controller::Controller;
use crate::ids::{epoch_of, MachineIndex, TaskKey};
use crate::{Outcome, Peer, RequestId};

/// What a call of the fleet's modules is for.
#[derive(Debug)]
pub(crate) enum FleetCall {
    /// A command to a machine, direct or relayed, and the starts that it holds (task and
    /// attempt number).
    Command { machine: MachineIndex, fencing_token: u64, starts: Vec<(TaskKey, u64)> },
    /// A command of the leader to a worker, relayed for this request.
    RelayCommand { request: RequestId },
    /// A worker's heartbeat, relayed to the leader.
    RelayHeartbeat { request: RequestId, heartbeat: Box<Heartbeat> },
    /// A page of the cloud's list, from the machine after `since` on.
    ListMachines { since: Option<String> },
    /// A request for machines.
    Provision { request: ProvisionCall, epoch: u64 },
    /// A release of machines.
    Release { machines: Vec<MachineIndex>, epoch: u64 },
}

impl Controller {
    /// Makes a call for the fleet's modules.
    pub(super) fn call_for_fleet(
        &mut self,
        peer: Peer,
        method: &'static str,
        target: String,
        body: Vec<u8>,
        timeout_ms: u64,
        purpose: FleetCall,
    ) {
        let call = self.context.call(peer, method, target, body, timeout_ms);
        self.fleet_calls.insert(call, purpose);
    }

    /// Routes the outcome of a call. What concerns the leader's memory is dropped if it was
    /// made in another epoch, as that memory is gone.
    pub(crate) fn on_fleet_outcome(&mut self, purpose: FleetCall, outcome: Outcome) {
        let current_epoch = self.epoch();
        match purpose {
            FleetCall::Command { machine, fencing_token, starts } => {
                if epoch_of(fencing_token) == current_epoch {
                    self.on_command_outcome(machine, fencing_token, starts, outcome)
                }
            }
            FleetCall::RelayCommand { request } => self.on_command_relayed(request, outcome),
            FleetCall::RelayHeartbeat { request, heartbeat } => {
                self.on_heartbeat_relayed(request, *heartbeat, outcome)
            }
            FleetCall::ListMachines { since } => self.on_list(since, outcome),
            FleetCall::Provision { request, epoch } => {
                if epoch == current_epoch {
                    self.on_provisioned(request, outcome)
                }
            }
            FleetCall::Release { machines, epoch } => {
                if epoch == current_epoch {
                    self.on_released(machines, outcome)
                }
            }
        }
    }
}
