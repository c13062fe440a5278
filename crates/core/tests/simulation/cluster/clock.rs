//! The simulated clock: events in the order of their time, and of their scheduling.

use std::cmp::Ordering;

use super::network::HeldCall;
use super::Cluster;
use quartzgate_core::{Call, CallId, Event, Outcome};
use quartzgate_wire::msg::Transaction;

/// What happens at a point of simulated time.
pub(super) enum SimulationEvent {
    /// A duplicate of a heartbeat arrives; nobody waits for its answer.
    DuplicateHeartbeat { node: usize, body: Vec<u8> },
    /// A machine is back after a reboot.
    MachineRebooted { machine: String },
    /// A controller's timer fires.
    Tick { node: usize, incarnation: u32 },
    /// A controller's call arrives at its peer.
    Call { from: usize, incarnation: u32, call: Call },
    /// The outcome of a controller's call arrives.
    Outcome { node: usize, incarnation: u32, call: CallId, outcome: Outcome },
    /// A watch of the state service looks again whether there is something to tell.
    WatchEnd { node: usize, incarnation: u32, call: CallId, starts: String, since: u64, until: u64 },
    /// A worker sends its next heartbeat.
    HeartbeatDue { machine: String },
    /// A worker's heartbeat arrives.
    HeartbeatArrives { machine: String, node: usize, sent_ms: u64, body: Vec<u8> },
    /// The answer to a heartbeat arrives, or the worker stops waiting for it.
    HeartbeatAnswer { machine: String, sent_ms: u64, status: u16, body: Vec<u8> },
    /// A worker's agent looks after its tasks and leases.
    WorkerStep { machine: String },
    /// A user's request arrives.
    UserRequestArrives { node: usize, request_index: u64 },
    /// A provisioned machine is up.
    MachineUp { machine: String, zone: String },
    /// A crashed controller is started again.
    ControllerRestart { node: usize },
    /// A stalled controller runs on.
    StallEnds { node: usize, incarnation: u32 },
    /// A transaction that got no answer is applied.
    DelayedWrite { from: usize, txn: Transaction },
    /// The tasks of an aborted job must be gone.
    AbortDeadline { job: String },
}

/// An event in the queue. The earliest is the greatest, as `BinaryHeap` returns the greatest.
pub(super) struct ScheduledEvent {
    at_ms: u64,
    sequence: u64,
    event: SimulationEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at_ms, self.sequence) == (other.at_ms, other.sequence)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at_ms, other.sequence).cmp(&(self.at_ms, self.sequence))
    }
}

impl Cluster {
    pub(super) fn schedule_after(&mut self, ms: u64, event: SimulationEvent) {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.queue.push(ScheduledEvent { at_ms: self.now + ms, sequence, event });
    }

    /// Runs the simulation for so long.
    pub fn run_for_ms(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some(next) = self.queue.peek() {
            if next.at_ms > end {
                break;
            }
            let next = self.queue.pop().unwrap();
            self.now = next.at_ms.max(self.now);
            self.dispatch(next.event);
        }
        self.now = end;
    }

    fn dispatch(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Tick { node, incarnation } => self.on_tick(node, incarnation),
            SimulationEvent::StallEnds { node, incarnation } => {
                self.on_stall_end(node, incarnation)
            }
            SimulationEvent::ControllerRestart { node } => {
                if !self.is_up(node) {
                    self.start_controller(node);
                }
            }
            SimulationEvent::Call { from, incarnation, call } => {
                self.deliver_call(HeldCall { from, incarnation, call })
            }
            SimulationEvent::Outcome { node, incarnation, call, outcome } => {
                if self.take_open_call(node, incarnation, call) {
                    self.handle_event(node, Event::Outcome { call, outcome });
                }
            }
            SimulationEvent::WatchEnd { node, incarnation, call, starts, since, until } => {
                self.answer_watch(node, incarnation, call, starts, since, until)
            }
            SimulationEvent::HeartbeatDue { machine } => self.send_heartbeat(&machine),
            SimulationEvent::HeartbeatArrives { machine, node, sent_ms, body } => {
                self.deliver_heartbeat(machine, node, sent_ms, body)
            }
            SimulationEvent::HeartbeatAnswer { machine, sent_ms, status, body } => {
                self.on_heartbeat_answer(&machine, sent_ms, status, &body)
            }
            SimulationEvent::WorkerStep { machine } => self.worker_step(&machine),
            SimulationEvent::UserRequestArrives { node, request_index } => {
                self.deliver_user_request(node, request_index)
            }
            SimulationEvent::DuplicateHeartbeat { node, body } => {
                self.deliver_duplicate_heartbeat(node, body)
            }
            SimulationEvent::MachineRebooted { machine } => self.on_machine_rebooted(machine),
            SimulationEvent::MachineUp { machine, zone } => self.boot(&machine, &zone, false),
            SimulationEvent::DelayedWrite { from, txn } => {
                if self.state.down {
                    return self.schedule_after(100, SimulationEvent::DelayedWrite { from, txn });
                }
                self.apply_unanswered(from, txn);
            }
            SimulationEvent::AbortDeadline { job } => self.check_aborted_job_is_gone(&job),
        }
    }
}
