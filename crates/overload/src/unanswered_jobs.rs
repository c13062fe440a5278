//! Jobs for which users have sent status queries without getting an answer.

use std::collections::HashMap;

/// Time without a query after which a job is forgotten, in milliseconds. Users who are still
/// waiting for an answer repeat their query more often.
const FORGET_AFTER_MS: u64 = 30_000;
/// Divisor of the size of a full table. This fraction of the jobs, those whose last query is the
/// oldest, is forgotten at once.
const FORGOTTEN_DIVISOR: usize = 8;

#[derive(Clone, Copy, Debug)]
struct QueriedJob {
    /// Time of the first query since the job was last answered.
    first_query_ms: u64,
    last_query_ms: u64,
}

/// A bounded table of the jobs whose status was queried and has not been answered since. Times are
/// milliseconds of a monotonic clock.
#[derive(Debug)]
pub struct UnansweredJobs {
    queried: HashMap<String, QueriedJob>,
    max_jobs: usize,
}

/// The job that has gone unanswered for longest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LongestUnanswered {
    /// Id of the job.
    pub job: String,
    /// Time since the first query after the job's last answer, in milliseconds.
    pub age_ms: u64,
}

impl UnansweredJobs {
    /// Creates an empty table that holds at most `max_jobs` jobs, but at least one.
    pub fn new(max_jobs: usize) -> Self {
        UnansweredJobs { queried: HashMap::new(), max_jobs: max_jobs.max(1) }
    }

    /// Records a query. Returns the time of the first query since the job's last answer.
    pub fn on_query(&mut self, job: &str, now_ms: u64) -> u64 {
        if let Some(queried) = self.queried.get_mut(job) {
            if now_ms > queried.last_query_ms + FORGET_AFTER_MS {
                queried.first_query_ms = now_ms;
            }
            queried.last_query_ms = now_ms;
            return queried.first_query_ms;
        }
        if self.queried.len() >= self.max_jobs {
            self.evict_oldest(now_ms);
        }
        self.queried
            .insert(job.to_string(), QueriedJob { first_query_ms: now_ms, last_query_ms: now_ms });
        now_ms
    }

    /// Returns the time of the first query since the job's last answer; `None` if no query for the
    /// job is unanswered.
    pub fn first_query_ms(&self, job: &str) -> Option<u64> {
        self.queried.get(job).map(|queried| queried.first_query_ms)
    }

    /// Records an answer. Returns for how many milliseconds the job had gone unanswered.
    pub fn on_answer(&mut self, job: &str, now_ms: u64) -> Option<u64> {
        self.queried.remove(job).map(|queried| now_ms.saturating_sub(queried.first_query_ms))
    }

    /// Returns the job that has gone unanswered for longest, after forgetting the jobs that are no
    /// longer queried.
    pub fn longest(&mut self, now_ms: u64) -> Option<LongestUnanswered> {
        self.queried.retain(|_, queried| now_ms <= queried.last_query_ms + FORGET_AFTER_MS);
        let (job, queried) =
            self.queried.iter().min_by_key(|(_, queried)| queried.first_query_ms)?;
        Some(LongestUnanswered {
            job: job.clone(),
            age_ms: now_ms.saturating_sub(queried.first_query_ms),
        })
    }

    /// Returns the number of unanswered jobs.
    pub fn len(&self) -> usize {
        self.queried.len()
    }

    /// Returns whether no job is unanswered.
    pub fn is_empty(&self) -> bool {
        self.queried.is_empty()
    }

    /// Forgets the jobs that are no longer queried and, if the table is still full, those whose
    /// last query is the oldest.
    fn evict_oldest(&mut self, now_ms: u64) {
        self.queried.retain(|_, queried| now_ms <= queried.last_query_ms + FORGET_AFTER_MS);
        if self.queried.len() < self.max_jobs {
            return;
        }
        let mut last_queries_ms: Vec<u64> =
            self.queried.values().map(|job| job.last_query_ms).collect();
        let forgotten_count = self.max_jobs / FORGOTTEN_DIVISOR;
        let (_, newest_forgotten_ms, _) = last_queries_ms.select_nth_unstable(forgotten_count);
        let newest_forgotten_ms = *newest_forgotten_ms;
        self.queried.retain(|_, queried| queried.last_query_ms > newest_forgotten_ms);
    }
}
