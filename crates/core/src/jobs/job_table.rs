//! The table of all jobs in the leader's memory.

use std::collections::{BTreeMap, HashMap};

use crate::ids::{JobIndex, TaskKey};
use crate::jobs::{Job, Task};

/// All jobs in memory, by index and by identifier. Indexes increase and are never reused.
#[derive(Default)]
pub struct Jobs {
    table: BTreeMap<JobIndex, Job>,
    by_id: HashMap<String, JobIndex>,
    next_index: u32,
}

impl Jobs {
    /// Returns a job by its index, or `None` if the job has left memory.
    pub fn get(&self, index: JobIndex) -> Option<&Job> {
        self.table.get(&index)
    }

    /// Returns a job by its index for modification, or `None` if the job has left memory.
    pub fn get_mut(&mut self, index: JobIndex) -> Option<&mut Job> {
        self.table.get_mut(&index)
    }

    /// Returns the index of the job with this identifier, if it is in memory.
    pub fn find(&self, id: &str) -> Option<JobIndex> {
        self.by_id.get(id).copied()
    }

    /// Iterates over all jobs in the order of their indexes, i.e. in which they were inserted.
    pub fn iter(&self) -> impl Iterator<Item = (JobIndex, &Job)> {
        self.table.iter().map(|(index, job)| (*index, job))
    }

    /// Returns the indexes of all jobs in ascending order, so that jobs can be changed in a loop.
    pub fn indexes(&self) -> Vec<JobIndex> {
        self.table.keys().copied().collect()
    }

    /// Returns the number of jobs in memory.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Inserts a job and returns its index.
    pub fn insert(&mut self, job: Job) -> JobIndex {
        let index = JobIndex(self.next_index);
        self.next_index += 1;
        self.by_id.insert(job.id.clone(), index);
        self.table.insert(index, job);
        index
    }

    /// Removes a job from memory and returns it; its index is not reused.
    pub fn remove(&mut self, index: JobIndex) -> Option<Job> {
        let job = self.table.remove(&index)?;
        self.by_id.remove(&job.id);
        Some(job)
    }

    /// Returns a task by its key, if its chunk is in memory.
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        self.get(key.job)?.task(key.task)
    }

    /// Returns a task by its key for modification, if its chunk is in memory.
    pub fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        self.get_mut(key.job)?.task_mut(key.task)
    }
}
