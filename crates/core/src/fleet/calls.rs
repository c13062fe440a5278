//! Outgoing calls of the fleet's modules, and the dispatch of their outcomes.

use quartzgate_wire::msg::Heartbeat;

use super::provisioning::ProvisionCall;
use crate::controller::Controller;
use crate::ids::{epoch_of, MachineIndex, TaskKey};
use crate::{Outcome, Peer, RequestId};

/// The purpose of an outgoing call, with the data that is needed to handle its outcome.
#[derive(Debug)]
pub(crate) enum FleetCall {
    /// A command to a machine, direct or relayed, and the starts that it contains (task and
    /// attempt number).
    Command { machine: MachineIndex, fencing_token: u64, starts: Vec<(TaskKey, u64)> },
    /// A command from the leader that this controller relays to a worker for this request.
    RelayCommand { request: RequestId },
    /// A worker's heartbeat that this controller relays to the leader.
    RelayHeartbeat { request: RequestId, heartbeat: Box<Heartbeat> },
    /// A page of the cloud's list of machines, starting after the name `since`.
    ListMachines { since: Option<String> },
    /// A request to the cloud to provision machines, made in the leader's epoch `epoch`.
    Provision { request: ProvisionCall, epoch: u64 },
    /// A request to the cloud to release machines, made in the leader's epoch `epoch`.
    Release { machines: Vec<MachineIndex>, epoch: u64 },
}

/// Limits of time of an outgoing call, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallLimits {
    /// Time after which the outcome is unknown.
    pub timeout_ms: u64,
    /// Time after which the call must not be sent any more.
    pub send_within_ms: u64,
}

impl Controller {
    /// Makes an outgoing call that must leave this controller within a limit, and stores its purpose
    /// until the outcome arrives.
    pub(super) fn call_for_fleet_within(
        &mut self,
        peer: Peer,
        method: &'static str,
        target: String,
        body: Vec<u8>,
        limits: CallLimits,
        purpose: FleetCall,
    ) {
        let CallLimits { timeout_ms, send_within_ms } = limits;
        let call = self.context.call_within(peer, method, target, body, timeout_ms, send_within_ms);
        self.fleet_calls.insert(call, purpose);
    }

    /// Makes an outgoing call and stores its purpose until the outcome arrives.
    pub(super) fn call_for_fleet(
        &mut self,
        peer: Peer,
        method: &'static str,
        target: String,
        body: Vec<u8>,
        timeout_ms: u64,
        purpose: FleetCall,
    ) {
        let limits = CallLimits { timeout_ms, send_within_ms: timeout_ms };
        self.call_for_fleet_within(peer, method, target, body, limits, purpose);
    }

    /// Dispatches the outcome of a call. The outcome of a command, provisioning or release is
    /// dropped if the call was made in another epoch, because the state that the outcome refers to
    /// no longer exists.
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
