//! Draining: evicts tasks from machines that will be interrupted or are faulty, with time to save
//! checkpoints.

use quartzgate_wire::msg::TaskStatus;

use crate::controller::Controller;
use crate::ids::TaskKey;
use crate::jobs::TaskState;

/// Milliseconds reserved for saving a checkpoint per second of its expected cost: a margin of 50%.
const SAVE_MS_PER_COST_S: f64 = 1500.0;

impl Controller {
    /// Evicts tasks from machines that will be interrupted and from faulty machines that are due to
    /// be released.
    pub(crate) fn drain(&mut self) {
        let now_ms = self.context.now.steady_ms;
        let mut to_stop: Vec<TaskKey> = Vec::new();
        for (_, machine) in self.machines.iter() {
            if machine.interruption_at_ms.is_none() && !machine.is_due_for_eviction(now_ms) {
                continue;
            }
            let left_ms = machine.interruption_at_ms.map(|at_ms| at_ms.saturating_sub(now_ms));
            let due = machine.tasks.keys().filter(|key| self.is_eviction_due(**key, left_ms));
            to_stop.extend(due.copied());
        }
        for key in to_stop {
            self.stop_task(key, "draining its machine");
        }
    }

    /// Returns whether a task has to stop now on a machine that will be interrupted in `left_ms`
    /// milliseconds, or that is faulty (`left_ms` is `None`). Before an interruption, a running
    /// task with checkpoints runs until just before it must save one, and a running task without
    /// checkpoints is not stopped, since it may still finish.
    fn is_eviction_due(&self, key: TaskKey, left_ms: Option<u64>) -> bool {
        let Some(job) = self.jobs.get(key.job) else { return false };
        let Some(task) = job.task(key.task) else { return false };
        let TaskState::On { status, .. } = task.state else { return false };
        let Some(left_ms) = left_ms else { return true };
        let command_ms = 2 * self.context.config.heartbeat_interval_ms();
        let has_checkpoints = job.spec.checkpoint_interval_s > 0.0;
        let save_ms = (job.spec.checkpoint_cost_s * SAVE_MS_PER_COST_S) as u64 + command_ms;
        has_checkpoints && left_ms <= save_ms || status != TaskStatus::Running
    }
}
