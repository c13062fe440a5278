//! Removal of a job from the leader's memory once its terminal state is recorded, or when it was
//! never accepted.

use crate::controller::Controller;
use crate::ids::{JobIndex, TaskKey};
use crate::jobs::TaskState;

impl Controller {
    /// Forgets a job, and releases its tasks' reservations against the quota.
    pub(crate) fn drop_job(&mut self, ix: JobIndex) {
        let Some(job) = self.jobs.get(ix) else { return };
        let reserved = job.tasks().filter(|(_, task)| task.state.reserved());
        for task in reserved.map(|(number, _)| number).collect::<Vec<u32>>() {
            self.set_task_state(TaskKey { job: ix, task }, TaskState::Dropped);
        }
        self.remove_from_dependency_graph(ix);
        let batch = self.jobs.remove(ix).and_then(|job| job.page);
        if let Some(batch) = batch {
            self.remove_from_batch(ix, batch);
        }
        self.record_writer.forget_job(ix);
    }
}
