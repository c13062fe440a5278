//! Measures how long it takes from when a job becomes runnable until each of its tasks is on a
//! machine.

use crate::controller::Controller;
use crate::ids::TaskKey;
use crate::latency::LatencySpan;

impl Controller {
    /// Records the start latency of a task that was reported by the machine on which it was
    /// started.
    pub(crate) fn record_task_start(&mut self, key: TaskKey) {
        let Some(job) = self.jobs.get(key.job) else { return };
        let waited_ms = self.context.now.wall_ms.saturating_sub(job.ready_ms);
        let first = job.confirmed_tasks == 1 && job.done == 0;
        if first {
            let (class, tasks) = (&job.spec.class, job.spec.tasks);
            tracing::debug!(job = %job.id, %class, tasks, waited_ms, "begun");
        }
        if first && !job.spec.dependencies.is_empty() {
            self.context.latencies.record(LatencySpan::ChainStart, waited_ms);
        }
        self.context.latencies.record(LatencySpan::Start, waited_ms);
    }
}
