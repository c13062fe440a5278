//! Removal of a job from the leader's memory once its terminal state is recorded, or if the job was
//! never accepted.

use crate::controller::Controller;
use crate::ids::{JobIndex, TaskKey};
use crate::jobs::TaskState;

impl Controller {
    /// Removes a job from memory, and releases its tasks' reservations against the quota.
    pub(crate) fn drop_job(&mut self, job_index: JobIndex) {
        let Some(job) = self.jobs.get(job_index) else { return };
        let reserved = job.tasks().filter(|(_, task)| task.state.holds_reservation());
        for task in reserved.map(|(number, _)| number).collect::<Vec<u32>>() {
            self.set_task_state(TaskKey { job: job_index, task }, TaskState::Dropped);
        }
        self.remove_from_dependency_graph(job_index);
        let batch = self.jobs.remove(job_index).and_then(|job| job.batch_number);
        if let Some(batch) = batch {
            self.remove_from_batch(job_index, batch);
        }
        self.record_writer.clear_dirty_job(job_index);
    }
}
