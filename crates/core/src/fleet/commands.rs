//! Commands to workers: when a command is sent, by which route, and how its outcome is handled.
//!
//! At most one command to a machine is in flight. Each command carries the machine's fencing
//! token, and the agent refuses a command with a lower token than it has seen. Invariants: after a
//! command whose outcome is unknown, the token is advanced before the next command is sent, so that
//! the earlier command can't take effect later. A message that makes the agent forget an attempt
//! carries a higher token than the command that started the attempt, so that no copy of that
//! command can start it again.

use std::net::SocketAddr;

use quartzgate_reachability::CommandRoute;
use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{Forward, Heartbeat, Order, OrdersRequest};
use quartzgate_wire::{from_cbor, to_cbor};

use super::calls::{CallLimits, FleetCall};
use super::heartbeats::is_plausible;
use super::machine::{Machine, MachineState};
use crate::controller::Controller;
use crate::ids::{task_name, MachineIndex, TaskKey};
use crate::jobs::{JobState, TaskState};
use crate::lease_proxy::mailbox::Envelope;
use crate::{Outcome, Peer, RequestId};

/// The path on which a command is sent to a machine.
enum Route {
    /// A call to the machine's address.
    Direct,
    /// Through the controller with this index in the settings, which relays the machine's
    /// heartbeats.
    Relay(usize),
    /// Through the key-value store and the lease proxy with this index in the settings.
    Mailbox(usize),
}

/// A command that is ready to be sent, and the starts that it contains (task and attempt number).
struct Command {
    addr: SocketAddr,
    request: OrdersRequest,
    starts: Vec<(TaskKey, u64)>,
}

impl Machine {
    /// Returns whether no command may be sent: one is in flight, the machine's lease has expired,
    /// or the machine is being released or is terminated.
    fn refuses_commands(&self) -> bool {
        self.command_in_flight
            || matches!(
                self.state,
                MachineState::LeaseExpired | MachineState::Terminated | MachineState::Releasing
            )
    }

    /// Returns whether a command without orders is due: to deliver the fencing token, or to probe
    /// whether commands reach a machine that is considered one-way unreachable.
    fn needs_empty_command(&self) -> bool {
        !self.has_acknowledged_fence() || self.reachability.is_one_way_unreachable()
    }

    /// Records whether the machine can be reached directly, after a command to it has ended.
    fn update_direct_contact(&mut self, answered: bool, now_ms: u64, lease_ms: u64) {
        // A machine that is reached only through other controllers is tried directly once per
        // lease.
        let retry_due = now_ms > self.unreachable_since_ms + lease_ms;
        let reached_indirectly = self.directly_unreachable
            && !retry_due
            && (self.lease_proxy.is_some() || self.relayed_by.is_some());
        let unreachable = !answered || reached_indirectly;
        if unreachable && (!self.directly_unreachable || retry_due) {
            self.unreachable_since_ms = now_ms;
        }
        self.directly_unreachable = unreachable;
    }
}

impl Controller {
    /// Sends a machine its pending starts and reconciling orders, if a command is due.
    pub(crate) fn send_command(&mut self, index: MachineIndex) {
        if !self.may_command_workers() {
            return;
        }
        let Some(command) = self.prepare_command(index) else { return };
        if let Some(machine) = self.machines.get_mut(index) {
            machine.command_in_flight = true;
        }
        match self.command_route(index) {
            Route::Mailbox(proxy) => {
                let addr = command.addr.to_string();
                self.mail_orders(proxy, index, addr, command.request, command.starts)
            }
            Route::Relay(sibling) => self.send_relayed(index, sibling, command),
            Route::Direct => self.send_directly(index, command),
        }
    }

    /// Builds a command from the pending starts and reconciling orders of a machine. Returns
    /// `None` if no command is due or if none may be sent at present.
    fn prepare_command(&mut self, index: MachineIndex) -> Option<Command> {
        let mut orders = self.reconciling_orders(index);
        let may_start_tasks = self.may_start_tasks();
        let now_ms = self.context.now.steady_ms;
        let machine = self.machines.get_mut(index)?;
        let addr = machine.addr?;
        if machine.refuses_commands() {
            return None;
        }
        let starts = match may_start_tasks {
            true => std::mem::take(&mut machine.pending_starts),
            false => Vec::new(),
        };
        let may_send = machine.reachability.may_send_command(now_ms) || !starts.is_empty();
        let nothing_due = starts.is_empty() && orders.is_empty() && !machine.needs_empty_command();
        if nothing_due || !may_send {
            return None;
        }
        if !starts.is_empty() {
            machine.record_starts_sent();
        }
        let (fencing_token, agent_epoch) = (machine.fencing_token, machine.agent_epoch);
        for (key, attempt) in &starts {
            orders.extend(self.start_order(index, *key, *attempt));
        }
        let request = OrdersRequest { fencing_token, agent_epoch, orders };
        Some(Command { addr, request, starts })
    }

    /// Returns the order for a pending start, unless the task has been aborted or moved since it
    /// was bound to the machine.
    fn start_order(&mut self, index: MachineIndex, key: TaskKey, attempt: u64) -> Option<Order> {
        let job = self.jobs.get(key.job)?;
        let state = job.task(key.task).map(|task| task.state);
        let starting = state == Some(TaskState::Starting { machine: index, attempt });
        if job.state == JobState::Live && starting {
            return Some(Order::Start { task: task_name(&job.id, key.task), attempt });
        }
        if state.is_some_and(|state| state.machine_and_attempt() == Some((index, attempt))) {
            self.return_to_queue(key);
        }
        None
    }

    fn send_directly(&mut self, index: MachineIndex, command: Command) {
        let timeout_ms = self.context.config.worker_timeout_ms();
        let (peer, body) = (Peer::Worker(command.addr), to_cbor(&command.request));
        let fencing_token = command.request.fencing_token;
        let send_within_ms = self.send_limit_ms(&command.starts);
        let purpose = FleetCall::Command { machine: index, fencing_token, starts: command.starts };
        let limits = CallLimits { timeout_ms, send_within_ms };
        self.call_for_fleet_within(peer, "POST", "/orders".into(), body, limits, purpose)
    }

    /// Returns whether a command to a machine awaits its outcome.
    pub(crate) fn awaits_command_outcome(&self, index: MachineIndex) -> bool {
        self.machines.get(index).is_some_and(|machine| machine.command_in_flight)
    }

    /// Returns within which time a command must leave this controller: with starts, while the start
    /// lease is held.
    pub(crate) fn send_limit_ms(&self, starts: &[(TaskKey, u64)]) -> u64 {
        match starts.is_empty() {
            true => u64::MAX,
            false => self.start_lease_left_ms(),
        }
    }

    fn send_relayed(&mut self, index: MachineIndex, sibling: usize, command: Command) {
        let fencing_token = command.request.fencing_token;
        let envelope = Envelope { id: 0, addr: command.addr.to_string(), orders: command.request };
        let mut message = self.mesh_message();
        let (method, path) = ("POST".to_string(), "/orders".to_string());
        message.forward = Some(Forward { method, path, body: to_cbor(&envelope) });
        let timeout_ms =
            self.context.config.worker_timeout_ms() + self.context.config.mesh_timeout_ms();
        let send_within_ms = self.send_limit_ms(&command.starts);
        let purpose = FleetCall::Command { machine: index, fencing_token, starts: command.starts };
        let (peer, body) = (Peer::Sibling(sibling), to_cbor(&message));
        let limits = CallLimits { timeout_ms, send_within_ms };
        self.call_for_fleet_within(peer, "POST", "/mesh".into(), body, limits, purpose)
    }

    /// Returns the route for commands to a machine. A machine that can't be reached directly is
    /// commanded through the controller that passes on its heartbeats.
    fn command_route(&self, index: MachineIndex) -> Route {
        let unreachable = self.machines.get(index).filter(|machine| machine.directly_unreachable);
        let relay = unreachable
            .and_then(|machine| machine.relayed_by)
            .filter(|sibling| self.peer_is_alive(*sibling));
        match (relay, self.mailbox_route(index)) {
            (Some(sibling), _) => Route::Relay(sibling),
            (None, Some(proxy)) => Route::Mailbox(proxy),
            (None, None) => Route::Direct,
        }
    }

    /// Relays a command from the leader to a worker that the leader can't reach directly.
    pub(crate) fn relay_command(&mut self, id: RequestId, from: usize, body: &[u8]) {
        let envelope =
            from_cbor::<Envelope>(body).ok().filter(|_| self.leader_index() == Some(from));
        let addr = envelope.as_ref().and_then(|envelope| envelope.addr.parse().ok());
        let (Some(envelope), Some(addr)) = (envelope, addr) else {
            return self.answer_error(id, 400, "no orders of the leader's");
        };
        let timeout_ms = self.context.config.worker_timeout_ms();
        let orders = self.without_terminal_starts(envelope.orders);
        let (peer, body) = (Peer::Worker(addr), to_cbor(&orders));
        let purpose = FleetCall::RelayCommand { request: id };
        self.call_for_fleet(peer, "POST", "/orders".into(), body, timeout_ms, purpose);
    }

    /// Answers the leader with the worker's answer to a relayed command, or with status 504 if the
    /// worker did not answer.
    pub(super) fn on_command_relayed(&mut self, id: RequestId, outcome: Outcome) {
        match outcome {
            Outcome::Answer(response) => {
                self.answer(id, Response::new(response.status, response.body))
            }
            _ => self.answer_error(id, 504, "no answer from the worker"),
        }
    }

    /// Handles the outcome of a command with this token and these starts, for every route.
    pub(crate) fn on_command_outcome(
        &mut self,
        index: MachineIndex,
        fencing_token: u64,
        starts: Vec<(TaskKey, u64)>,
        outcome: Outcome,
    ) {
        if !self.record_command_outcome(index, &outcome) {
            return;
        }
        match outcome {
            Outcome::Answer(response) if is_command_answer(&response) => {
                self.on_command_answer(index, fencing_token, &response)
            }
            Outcome::NotSent => self.on_command_not_sent(index, starts),
            _ => self.fence_unknown_command(index, fencing_token),
        }
        self.machines_to_dispatch.insert(index);
        let has_pending_starts =
            self.machines.get(index).is_some_and(|machine| !machine.pending_starts.is_empty());
        if has_pending_starts {
            self.machines_to_command.insert(index);
        }
    }

    /// Updates the machine's reachability from the outcome of a command. Returns false if the
    /// machine is no longer known.
    fn record_command_outcome(&mut self, index: MachineIndex, outcome: &Outcome) -> bool {
        let (now_ms, timing) = (self.context.now.steady_ms, self.reachability_timing());
        let lease_ms = self.context.config.lease_ms();
        let route = match self.mailbox_route(index) {
            Some(_) => CommandRoute::Relayed,
            None => CommandRoute::Direct,
        };
        let Some(machine) = self.machines.get_mut(index) else { return false };
        machine.command_in_flight = false;
        let was_unreachable = machine.reachability.is_one_way_unreachable();
        match outcome {
            // The answer to a call can't be a delayed duplicate, so the machine is alive now.
            Outcome::Answer(response) if is_command_answer(response) => {
                machine.record_command_answered(now_ms)
            }
            Outcome::NotSent => {}
            _ => machine.reachability.on_command_unanswered(now_ms, route, &timing),
        }
        self.on_reachability_changed(index, was_unreachable);
        let Some(machine) = self.machines.get_mut(index) else { return false };
        let answered = matches!(outcome, Outcome::Answer(_));
        machine.update_direct_contact(answered, now_ms, lease_ms);
        true
    }

    /// Applies the status in an agent's answer. An answer that can't be decoded, or that is not
    /// this machine's, is handled as an unknown outcome.
    fn on_command_answer(&mut self, index: MachineIndex, fencing_token: u64, response: &Response) {
        let Some(machine) = self.machines.get(index) else { return };
        match from_cbor::<Heartbeat>(&response.body) {
            Ok(heartbeat) if is_plausible(&heartbeat) && heartbeat.machine == machine.name => {
                self.apply_heartbeat_status_if_newer(index, heartbeat)
            }
            _ => self.fence_unknown_command(index, fencing_token),
        }
    }

    /// Requeues the starts of a command that was not sent, and pauses starts to the machine for
    /// one heartbeat interval.
    fn on_command_not_sent(&mut self, index: MachineIndex, starts: Vec<(TaskKey, u64)>) {
        for (key, attempt) in starts {
            let starting = TaskState::Starting { machine: index, attempt };
            if self.jobs.task(key).is_some_and(|task| task.state == starting) {
                self.return_to_queue(key);
            }
        }
        let interval_ms = self.context.config.heartbeat_interval_ms();
        if let Some(machine) = self.machines.get_mut(index) {
            machine.pause_starts(self.context.now.steady_ms + interval_ms);
        }
    }

    /// Fences a command with an unknown outcome, so that it can't take effect any more. Starts are
    /// paused for one heartbeat interval, in which the
    /// machine's next heartbeat is due.
    fn fence_unknown_command(&mut self, index: MachineIndex, fencing_token: u64) {
        let epoch = self.epoch();
        let interval_ms = self.context.config.heartbeat_interval_ms();
        let Some(machine) = self.machines.get_mut(index) else { return };
        machine.fence_commands(fencing_token, epoch);
        machine.pause_starts(self.context.now.steady_ms + interval_ms);
    }
}

/// Returns whether a response carries the agent's status. An agent answers 200 if it accepts the
/// command, and 409 if it refuses the fencing token or the agent epoch.
fn is_command_answer(response: &Response) -> bool {
    matches!(response.status, 200 | 409)
}
