//! The simulated clock: events run in order of their time; events due at the same time run in the
//! order in which they were scheduled.

use std::cmp::Ordering;

use super::network::HeldCall;
use super::Cluster;
use quartzgate_core::{Call, CallId, Event, Outcome};
use quartzgate_wire::msg::Transaction;

/// An event at a point in simulated time.
pub(super) enum SimulationEvent {
    /// A duplicate of a heartbeat arrives; its answer is discarded.
    DuplicateHeartbeat { node: usize, body: Vec<u8> },
    /// A duplicate of a controller's call arrives at the called peer; its answer is discarded.
    DuplicateCall { duplicate: HeldCall },
    /// A machine has finished rebooting.
    MachineRebooted { machine: String },
    /// A controller's timer fires.
    Tick { node: usize, incarnation: u32 },
    /// A controller's call arrives at the called peer.
    Call { from: usize, incarnation: u32, call: Call },
    /// The outcome of a controller's call arrives at the controller.
    Outcome { node: usize, incarnation: u32, call: CallId, outcome: Outcome },
    /// A watch of the state service is checked again for changes.
    WatchEnd { node: usize, incarnation: u32, call: CallId, starts: String, since: u64, until: u64 },
    /// A worker's next heartbeat is due.
    HeartbeatDue { machine: String },
    /// A worker's heartbeat arrives at a controller.
    HeartbeatArrives { machine: String, node: usize, sent_ms: u64, body: Vec<u8> },
    /// The answer to a heartbeat arrives, or the worker's timeout for it expires.
    HeartbeatAnswer { machine: String, sent_ms: u64, status: u16, body: Vec<u8> },
    /// A worker's agent updates its lease, images and tasks.
    WorkerStep { machine: String },
    /// A user's request arrives at a controller.
    UserRequestArrives { node: usize, request_index: u64 },
    /// A provisioned machine has booted.
    MachineUp { machine: String, zone: String },
    /// A crashed controller is started again.
    ControllerRestart { node: usize },
    /// The stall of a controller ends.
    StallEnds { node: usize, incarnation: u32 },
    /// A transaction that got no answer is applied late.
    DelayedWrite { from: usize, txn: Transaction },
    /// The tasks of an aborted job must have ended by now.
    AbortDeadline { job: String },
}

/// An event in the queue. The ordering is reversed because `BinaryHeap` is a max-heap and the
/// earliest event must be popped first.
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

    /// Runs the simulation for the given simulated time.
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
            SimulationEvent::WorkerStep { machine } => self.step_worker(&machine),
            SimulationEvent::UserRequestArrives { node, request_index } => {
                self.deliver_user_request(node, request_index)
            }
            SimulationEvent::DuplicateHeartbeat { node, body } => {
                self.deliver_duplicate_heartbeat(node, body)
            }
            SimulationEvent::DuplicateCall { duplicate } => self.deliver_call(duplicate),
            SimulationEvent::MachineRebooted { machine } => self.on_machine_rebooted(machine),
            SimulationEvent::MachineUp { machine, zone } => self.boot(&machine, &zone, false),
            SimulationEvent::DelayedWrite { from, txn } => {
                if self.state.down {
                    return self.schedule_after(100, SimulationEvent::DelayedWrite { from, txn });
                }
                self.apply_unanswered(from, txn);
            }
            SimulationEvent::AbortDeadline { job } => self.check_aborted_job_has_ended(&job),
        }
    }
}
