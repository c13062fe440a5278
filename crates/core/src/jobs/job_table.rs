//! The table of all jobs in the leader's memory.

use std::collections::{BTreeMap, HashMap};

use crate::ids::{JobIndex, TaskKey};
use crate::jobs::{Job, Task};

/// All jobs in memory, by index and by identifier. Indexes grow and are not used again.
#[derive(Default)]
pub struct Jobs {
    table: BTreeMap<JobIndex, Job>,
    by_id: HashMap<String, JobIndex>,
    next: u32,
}

impl Jobs {
    /// A job by its index.
    pub fn get(&self, index: JobIndex) -> Option<&Job> {
        self.table.get(&index)
    }

    /// A job by its index.
    pub fn get_mut(&mut self, index: JobIndex) -> Option<&mut Job> {
        self.table.get_mut(&index)
    }

    /// The index of the job with this identifier.
    pub fn find(&self, id: &str) -> Option<JobIndex> {
        self.by_id.get(id).copied()
    }

    /// All jobs in the order of their indexes.
    pub fn iter(&self) -> impl Iterator<Item = (JobIndex, &Job)> {
        self.table.iter().map(|(index, job)| (*index, job))
    }

    /// All indexes in order.
    pub fn indexes(&self) -> Vec<JobIndex> {
        self.table.keys().copied().collect()
    }

    /// Number of jobs.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Enters a job under the next index.
    pub fn insert(&mut self, job: Job) -> JobIndex {
        let index = JobIndex(self.next);
        self.next += 1;
        self.by_id.insert(job.id.clone(), index);
        self.table.insert(index, job);
        index
    }

    /// Removes a job.
    pub fn remove(&mut self, index: JobIndex) -> Option<Job> {
        let job = self.table.remove(&index)?;
        self.by_id.remove(&job.id);
        Some(job)
    }

    /// A task by its key, if its chunk is in memory.
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        self.get(key.job)?.task(key.task)
    }

    /// A task by its key, if its chunk is in memory.
    pub fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        self.get_mut(key.job)?.task_mut(key.task)
    }
}
