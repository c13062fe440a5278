//! How long jobs wait from when they could run until a task of theirs is on a machine.

use crate::controller::Controller;
use crate::ids::TaskKey;
use crate::latency::LatencySpan;

impl Controller {
    /// A task was seen on the machine on which it was started.
    pub(crate) fn note_start(&mut self, key: TaskKey) {
        let Some(job) = self.jobs.get(key.job) else { return };
        let waited_ms = self.context.now.wall_ms.saturating_sub(job.ready_ms);
        let first = job.on == 1 && job.done == 0;
        if first {
            let (class, tasks) = (&job.spec.class, job.spec.tasks);
            tracing::debug!(job = %job.id, %class, tasks, waited_ms, "begun");
        }
        if first && !job.spec.dependencies.is_empty() {
            self.context.latencies.note(LatencySpan::ChainStart, waited_ms);
        }
        self.context.latencies.note(LatencySpan::Start, waited_ms);
    }
}
