//! A bounded cache, on every controller, of jobs that are known to have ended.

use std::collections::{HashMap, VecDeque};

use crate::storage::records::RecordedStatus;

/// The terminal state of a job.
struct TerminalJob {
    status: RecordedStatus,
    /// Whether users may be told.
    is_confirmed: bool,
}

/// Terminal states of jobs, which never change again. The cache is bounded: evicted jobs are read
/// from the store again.
pub(crate) struct TerminalJobs {
    jobs: HashMap<String, TerminalJob>,
    insertion_order: VecDeque<String>,
    max_terminal_jobs: usize,
}

impl TerminalJobs {
    /// Creates an empty cache for at most `max_terminal_jobs` jobs.
    pub fn new(max_terminal_jobs: usize) -> Self {
        TerminalJobs { jobs: HashMap::new(), insertion_order: VecDeque::new(), max_terminal_jobs }
    }

    /// Adds a job and evicts the oldest one if there are too many.
    pub fn insert(&mut self, id: String, status: RecordedStatus) {
        if let Some(known) = self.jobs.get_mut(&id) {
            known.status = status;
            return;
        }
        self.jobs.insert(id.clone(), TerminalJob { status, is_confirmed: false });
        self.insertion_order.push_back(id);
        if self.insertion_order.len() > self.max_terminal_jobs {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.jobs.remove(&oldest);
            }
        }
    }

    /// Records that users may be told a job's terminal state.
    pub fn mark_confirmed(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.is_confirmed = true;
        }
    }

    /// Returns whether users may be told a job's terminal state.
    pub fn is_confirmed(&self, id: &str) -> bool {
        self.jobs.get(id).is_some_and(|job| job.is_confirmed)
    }

    /// Returns the terminal state of a job if it is cached.
    pub fn get(&self, id: &str) -> Option<RecordedStatus> {
        self.jobs.get(id).map(|job| job.status)
    }
}
