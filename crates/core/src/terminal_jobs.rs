//! A bounded cache, on every controller, of jobs that are known to have ended.

use std::collections::{HashMap, VecDeque};

use crate::storage::records::RecordedStatus;

/// Terminal states of jobs, which never change again. The cache is bounded: evicted jobs are read
/// from the store again.
pub(crate) struct TerminalJobs {
    statuses: HashMap<String, RecordedStatus>,
    insertion_order: VecDeque<String>,
    max_terminal_jobs: usize,
}

impl TerminalJobs {
    /// Creates an empty cache for at most `max_terminal_jobs` jobs.
    pub fn new(max_terminal_jobs: usize) -> Self {
        TerminalJobs {
            statuses: HashMap::new(),
            insertion_order: VecDeque::new(),
            max_terminal_jobs,
        }
    }

    /// Adds a job and evicts the oldest one if there are too many.
    pub fn insert(&mut self, id: String, status: RecordedStatus) {
        if self.statuses.insert(id.clone(), status).is_none() {
            self.insertion_order.push_back(id);
            if self.insertion_order.len() > self.max_terminal_jobs {
                if let Some(oldest) = self.insertion_order.pop_front() {
                    self.statuses.remove(&oldest);
                }
            }
        }
    }

    /// Returns the terminal state of a job if it is cached.
    pub fn get(&self, id: &str) -> Option<RecordedStatus> {
        self.statuses.get(id).copied()
    }
}
