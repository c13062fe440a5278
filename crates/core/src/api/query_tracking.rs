//! Follows status queries from their arrival to their answer, and detects jobs whose queries have
//! gone unanswered for too long.

use std::collections::HashMap;

use quartzgate_overload::UnansweredJobs;

use crate::RequestId;

/// The service's stated limit on how long queries for a job may go unanswered once all faults have
/// ended.
const MAX_UNANSWERED_MS: u64 = 75_000;

/// Status queries that wait for their answers, and jobs whose queries are not being answered.
pub(crate) struct QueryTracker {
    /// The job of each query that has not been answered yet.
    open_queries: HashMap<RequestId, String>,
    unanswered: UnansweredJobs,
    max_open: usize,
    /// Number of refused queries for jobs that had gone unanswered for longer than the limit
    /// although there was no fault.
    overdue_refusals: u64,
}

/// A job whose query was refused after more than the limit without an answer, although the
/// key-value store answers.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct OverdueJob {
    pub job: String,
    pub unanswered_ms: u64,
}

impl QueryTracker {
    /// Creates a tracker that follows at most `max_open` queries and as many jobs.
    pub fn new(max_open: usize) -> Self {
        let unanswered = UnansweredJobs::new(max_open);
        QueryTracker { open_queries: HashMap::new(), unanswered, max_open, overdue_refusals: 0 }
    }

    /// Records the arrival of a status query, unless too many are followed already.
    pub fn on_query(&mut self, id: RequestId, job: &str, now_ms: u64) {
        if self.open_queries.len() < self.max_open {
            self.unanswered.on_query(job, now_ms);
            self.open_queries.insert(id, job.to_string());
        }
    }

    /// Returns when the first query for a job arrived since the job was last answered.
    pub fn unanswered_since(&self, job: &str) -> Option<u64> {
        self.unanswered.first_query_ms(job)
    }

    /// Records that a request is answered with this status. `healthy_since_ms` is the time at which
    /// this controller and the store last became able to answer. Returns the job if it is overdue.
    pub fn on_response(
        &mut self,
        id: RequestId,
        status: u16,
        now_ms: u64,
        healthy_since_ms: Option<u64>,
    ) -> Option<OverdueJob> {
        let job = self.open_queries.remove(&id)?;
        if matches!(status, 200 | 404) {
            self.unanswered.on_answer(&job, now_ms);
            return None;
        }
        let start_ms = self.unanswered.first_query_ms(&job)?.max(healthy_since_ms?);
        let unanswered_ms = now_ms.saturating_sub(start_ms);
        if unanswered_ms < MAX_UNANSWERED_MS {
            return None;
        }
        self.overdue_refusals += 1;
        Some(OverdueJob { job, unanswered_ms })
    }

    /// Returns the number of refused queries past the limit.
    pub fn overdue_refusals(&self) -> u64 {
        self.overdue_refusals
    }
}
