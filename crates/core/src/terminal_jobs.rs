//! A bounded cache of jobs that are known to have ended, on every controller.

use std::collections::{HashMap, VecDeque};

use crate::storage::records::RecordedStatus;

/// Terminal states of jobs, which never change again. Bounded: the oldest are read anew.
pub(crate) struct TerminalJobs {
    known: HashMap<String, RecordedStatus>,
    order: VecDeque<String>,
    max_terminal_jobs: usize,
}

impl TerminalJobs {
    /// An empty cache for so many jobs.
    pub fn new(max_terminal_jobs: usize) -> Self {
        TerminalJobs { known: HashMap::new(), order: VecDeque::new(), max_terminal_jobs }
    }

    /// Adds a job; the oldest one is forgotten if there are too many.
    pub fn insert(&mut self, id: String, status: RecordedStatus) {
        if self.known.insert(id.clone(), status).is_none() {
            self.order.push_back(id);
            if self.order.len() > self.max_terminal_jobs {
                if let Some(old) = self.order.pop_front() {
                    self.known.remove(&old);
                }
            }
        }
    }

    /// The terminal state of a job, if it is known here.
    pub fn get(&self, id: &str) -> Option<RecordedStatus> {
        self.known.get(id).copied()
    }
}
