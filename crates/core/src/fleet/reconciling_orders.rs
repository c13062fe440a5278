//! Orders that reconcile a machine with the leader's state: which of its reported tasks should
//! stop, and which of its exited tasks it may forget.
//!
//! Invariants: a machine is told to forget an exited task only when the exit is recorded in the
//! store or is irrelevant, and only by a message with a higher fencing token than any start that was
//! sent to the machine. The caller must therefore read the fencing token after the orders.

use quartzgate_wire::msg::{ExitCause, HeartbeatTask, Order, TaskStatus};

use crate::controller::Controller;
use crate::ids::{parse_task, MachineIndex};
use crate::jobs::{Job, JobState, TaskState};
use crate::storage::records::TASKS_PER_CHUNK;

/// The grace period of a task that saves a checkpoint before it stops, as a multiple of the
/// checkpoint's cost.
const CHECKPOINT_GRACE_FACTOR: f64 = 1.5;
/// Lower bound of the checkpoint cost that is used for the grace period, in seconds.
const MIN_CHECKPOINT_COST_S: f64 = 1.0;
/// Grace period of a task that must stop at once.
const STOP_AT_ONCE_S: f64 = 0.0;

impl Controller {
    /// Returns the stop and forget orders that follow from a machine's newest heartbeat. Advances
    /// the machine's fencing token if an attempt is to be forgotten.
    pub(super) fn reconciling_orders(&mut self, index: MachineIndex) -> Vec<Order> {
        let orders = self.orders_for_reported_tasks(index);
        if orders.iter().any(|order| matches!(order, Order::Forget { .. })) {
            let epoch = self.epoch();
            if let Some(machine) = self.machines.get_mut(index) {
                machine.fence_sent_starts(epoch);
                let fencing_token = machine.fencing_token;
                tracing::debug!(machine = %machine.name, fencing_token, "attempts to be forgotten");
            }
        }
        orders
    }

    fn orders_for_reported_tasks(&self, index: MachineIndex) -> Vec<Order> {
        let Some(machine) = self.machines.get(index) else { return Vec::new() };
        // A forget order must not be sent while a start of the same attempt may still be in
        // transit.
        let may_send_forget = !machine.command_in_flight && machine.has_acknowledged_fence();
        let mut orders = Vec::new();
        for reported in &machine.reported_tasks {
            let (task, attempt) = (reported.task.clone(), reported.attempt);
            if reported.status == TaskStatus::Exited {
                if may_send_forget && self.may_forget_task(index, reported) {
                    orders.push(Order::Forget { task, attempt });
                }
            } else if let Some(grace_s) = self.stop_grace_s(index, reported) {
                orders.push(Order::Stop { task, attempt, grace_s });
            }
        }
        orders
    }

    fn may_forget_task(&self, index: MachineIndex, reported: &HeartbeatTask) -> bool {
        let Some((job_id, number)) = parse_task(&reported.task) else { return true };
        // During recovery, the job's placement record may not have been read yet.
        if !self.knows_all_jobs() {
            return false;
        }
        // A job that is not in memory has ended, and its terminal state is recorded.
        let Some(job) = self.find_job(job_id) else { return true };
        let Some(chunk) = job.chunks.get(&(number / TASKS_PER_CHUNK)) else { return true };
        let Some(task) = job.task(number) else { return true };
        let completed = reported.cause == Some(ExitCause::Done);
        match task.state {
            TaskState::Done { version } => {
                !completed || chunk.stored_version >= version || job.state == JobState::Done
            }
            state => {
                let own_attempt = state.machine_and_attempt() == Some((index, reported.attempt));
                !own_attempt && !completed || job.state == JobState::Aborted
            }
        }
    }

    /// Returns the grace period in seconds with which a task that is alive on a machine should
    /// stop; `None` if the task should continue, or if that can't be decided yet.
    fn stop_grace_s(&self, index: MachineIndex, reported: &HeartbeatTask) -> Option<f64> {
        let Some((job_id, number)) = parse_task(&reported.task) else {
            return Some(STOP_AT_ONCE_S);
        };
        let Some(job) = self.find_job(job_id) else {
            let ended = self.knows_all_jobs() || self.terminal_jobs.get(job_id).is_some();
            return ended.then_some(STOP_AT_ONCE_S);
        };
        if matches!(job.state, JobState::Unreadable | JobState::Aborting) {
            return None;
        }
        let aborted = matches!(job.state, JobState::Aborted | JobState::AbortIndeterminate);
        // During recovery, the job's placement record may not have been read yet.
        if !self.knows_all_jobs() && !aborted {
            return None;
        }
        let Some(task) = job.task(number) else { return Some(STOP_AT_ONCE_S) };
        let own_attempt = task.state.machine_and_attempt() == Some((index, reported.attempt));
        match task.state {
            _ if aborted => Some(STOP_AT_ONCE_S),
            TaskState::Stopping { grace, .. } if own_attempt => match grace {
                true => Some(checkpoint_grace_s(job)),
                false => Some(STOP_AT_ONCE_S),
            },
            _ if own_attempt => None,
            _ => Some(STOP_AT_ONCE_S),
        }
    }

    fn find_job(&self, job_id: &str) -> Option<&Job> {
        self.jobs.find(job_id).and_then(|job| self.jobs.get(job))
    }
}

/// Returns the time that a task of this job is given to save a checkpoint, in seconds.
fn checkpoint_grace_s(job: &Job) -> f64 {
    job.spec.checkpoint_cost_s.max(MIN_CHECKPOINT_COST_S) * CHECKPOINT_GRACE_FACTOR
}
