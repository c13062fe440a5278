//! Status queries that are answered by reads from the key-value store.
//!
//! Queries for one job share a read, which is sent after the last of them has arrived. Reads are
//! rate limited. The job that has gone unanswered for longest is read first, so that no job
//! starves, and a part of the limit is reserved for these reads, regardless of how many reads
//! other purposes force.
//!
//! A follower gathers the queries for jobs that it has read before:
//!
//! - For jobs with a record of their own, it remembers the revision at which each was live. One
//!   transaction that only compares revisions validates many of them, because a job is still live
//!   while its record is unchanged.
//! - Jobs that a batch record holds are all looked up by one update of the batch index.

use std::collections::BTreeMap;

use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{Guard, JobStatus, Transaction};
use quartzgate_wire::to_cbor;

use crate::api::refusal::RefusalReason;
use crate::controller::Controller;
use crate::in_flight::InFlight;
use crate::storage::read_budget::ReadPurpose;
use crate::storage::records::job_key;
use crate::{Outcome, RequestId};

use super::status::answer_without_counts;

/// Longest wait of a status query, after which it is refused without a read: half of the time for
/// which a user waits for the answer.
const MAX_WAIT_MS: u64 = 1_000;
/// Number of live jobs whose revisions are remembered, for each job that may wait in a queue.
const LIVE_JOBS_PER_WAITING: usize = 4;

/// Sort key of the reads: the job that has gone unanswered for longest comes first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReadPosition {
    unanswered_since_ms: u64,
    job: String,
}

/// Status queries for one job that wait for a read of the job's record.
#[derive(Debug)]
pub(crate) struct JobQueries {
    job: String,
    requests: Vec<RequestId>,
    /// Steady time at which the first of them began to wait.
    waiting_since_ms: u64,
}

/// Waiting queries, in the order in which their jobs are read.
#[derive(Default)]
struct ReadQueue {
    waiting: BTreeMap<ReadPosition, JobQueries>,
    positions: BTreeMap<String, ReadPosition>,
}

impl ReadQueue {
    /// Adds requests to the queries of a job that is queued already. Returns false if it is not.
    fn merge(&mut self, queries: &JobQueries) -> bool {
        let position = self.positions.get(&queries.job);
        let Some(waiting) = position.and_then(|position| self.waiting.get_mut(position)) else {
            return false;
        };
        waiting.requests.extend(&queries.requests);
        true
    }

    fn push(&mut self, unanswered_since_ms: u64, queries: JobQueries) {
        let position = ReadPosition { unanswered_since_ms, job: queries.job.clone() };
        self.positions.insert(queries.job.clone(), position.clone());
        self.waiting.insert(position, queries);
    }

    fn pop_first(&mut self) -> Option<JobQueries> {
        let (position, queries) = self.waiting.pop_first()?;
        self.positions.remove(&position.job);
        Some(queries)
    }

    /// Removes the job that has gone unanswered for the shortest time.
    fn pop_last(&mut self) -> Option<JobQueries> {
        let (position, queries) = self.waiting.pop_last()?;
        self.positions.remove(&position.job);
        Some(queries)
    }

    fn take_expired(&mut self, now_ms: u64) -> Vec<JobQueries> {
        let is_expired = |queries: &JobQueries| now_ms > queries.waiting_since_ms + MAX_WAIT_MS;
        let expired = self.waiting.iter().filter(|(_, queries)| is_expired(queries));
        let expired: Vec<ReadPosition> = expired.map(|(position, _)| position.clone()).collect();
        for position in &expired {
            self.positions.remove(&position.job);
        }
        expired.iter().filter_map(|position| self.waiting.remove(position)).collect()
    }
}

/// Status queries that wait for a read of their job's record.
pub(crate) struct StatusReads {
    /// Jobs whose records are read one by one.
    single: ReadQueue,
    /// Jobs whose records are validated or looked up together.
    gathered: ReadQueue,
    /// Largest number of jobs in each queue.
    max_waiting: usize,
    /// Revision of each live job's record when the record was last read.
    live_revisions: BTreeMap<String, u64>,
    /// Steady time of the last read for gathered queries.
    last_gathered_read_ms: u64,
}

impl StatusReads {
    /// Creates empty queues, each of which holds at most `max_waiting` jobs.
    pub fn new(max_waiting: usize) -> Self {
        StatusReads {
            single: ReadQueue::default(),
            gathered: ReadQueue::default(),
            max_waiting,
            live_revisions: BTreeMap::new(),
            last_gathered_read_ms: 0,
        }
    }

    /// Queues the queries for a job. If the queue is full, removes and returns the queries for the
    /// job that has gone unanswered for the shortest time.
    fn push(
        &mut self,
        is_gathered: bool,
        unanswered_since_ms: u64,
        queries: JobQueries,
    ) -> Option<JobQueries> {
        if self.single.merge(&queries) || self.gathered.merge(&queries) {
            return None;
        }
        let queue = if is_gathered { &mut self.gathered } else { &mut self.single };
        queue.push(unanswered_since_ms, queries);
        let is_full = queue.waiting.len() > self.max_waiting;
        if is_full {
            queue.pop_last()
        } else {
            None
        }
    }

    /// Removes and returns the queries that have waited for longer than [`MAX_WAIT_MS`].
    fn take_expired(&mut self, now_ms: u64) -> Vec<JobQueries> {
        let mut expired = self.single.take_expired(now_ms);
        expired.extend(self.gathered.take_expired(now_ms));
        expired
    }

    /// Remembers the revision at which a live job was read.
    fn record_live_revision(&mut self, job: &str, revision: u64) {
        if self.live_revisions.len() >= LIVE_JOBS_PER_WAITING * self.max_waiting {
            self.live_revisions.pop_first();
        }
        self.live_revisions.insert(job.to_string(), revision);
    }

    /// Forgets the revisions of all live jobs. A new leader reads the record of each queried job,
    /// so that a live job which it does not know is added to its memory.
    pub fn forget_live_revisions(&mut self) {
        self.live_revisions.clear();
    }
}

/// A comparison of the revisions of live jobs' records with those that were read before.
#[derive(Debug)]
pub(crate) struct LiveComparison {
    queries: Vec<JobQueries>,
}

impl Controller {
    /// Answers a status query from the key-value store, without the leader's memory.
    pub(super) fn read_status(&mut self, id: RequestId, job: String) {
        let now_ms = self.context.now.steady_ms;
        let queries = JobQueries { job, requests: vec![id], waiting_since_ms: now_ms };
        self.queue_status_read(queries);
        self.send_status_reads();
    }

    fn queue_status_read(&mut self, queries: JobQueries) {
        let since_ms = self.query_tracker.unanswered_since(&queries.job);
        let since_ms = since_ms.unwrap_or(queries.waiting_since_ms);
        let is_gathered = !self.leads()
            && (self.status_reads.live_revisions.contains_key(&queries.job)
                || self.job_batches.index_holds(&queries.job));
        if let Some(displaced) = self.status_reads.push(is_gathered, since_ms, queries) {
            self.refuse_queries(displaced, RefusalReason::TooManyWaiting);
        }
    }

    fn refuse_queries(&mut self, queries: JobQueries, reason: RefusalReason) {
        queries.requests.into_iter().for_each(|id| self.answer_unavailable(id, reason));
    }

    /// Refuses queries that have waited for too long, and sends the reads that the rate limit
    /// allows.
    pub(crate) fn tick_status_reads(&mut self) {
        let now_ms = self.context.now.steady_ms;
        for expired in self.status_reads.take_expired(now_ms) {
            self.refuse_queries(expired, RefusalReason::ReadLimit);
        }
        if now_ms >= self.status_reads.last_gathered_read_ms + self.status_gather_interval_ms() {
            self.read_gathered_jobs();
        }
        self.send_status_reads();
    }

    /// Reads records of queued jobs one by one while the rate limit allows it.
    fn send_status_reads(&mut self) {
        while !self.status_reads.single.waiting.is_empty()
            && self.may_read(ReadPurpose::StatusQuery)
        {
            if let Some(queries) = self.status_reads.single.pop_first() {
                self.read_single_job(queries);
            }
        }
    }

    fn read_single_job(&mut self, queries: JobQueries) {
        let JobQueries { job, requests, .. } = queries;
        self.look_up(&job.clone(), InFlight::StatusRead { requests, id: job });
    }

    /// Validates gathered jobs together, as many at a time as one transaction may have guards.
    fn read_gathered_jobs(&mut self) {
        let max_guards = self.max_guards();
        let mut in_batches = Vec::new();
        while !self.status_reads.gathered.waiting.is_empty()
            && self.membership.store_reads().may_read_for_status_batch(self.context.now.steady_ms)
        {
            self.status_reads.last_gathered_read_ms = self.context.now.steady_ms;
            let next = std::iter::from_fn(|| self.status_reads.gathered.pop_first());
            let next: Vec<JobQueries> = next.take(max_guards).collect();
            let live_revisions = &self.status_reads.live_revisions;
            let (live, batched): (Vec<_>, Vec<_>) =
                next.into_iter().partition(|queries| live_revisions.contains_key(&queries.job));
            self.compare_live_jobs(live);
            in_batches.extend(batched);
        }
        let lookups = in_batches.into_iter().map(|JobQueries { job, requests, .. }| {
            (job.clone(), InFlight::StatusRead { requests, id: job })
        });
        self.look_up_gathered(lookups.collect());
    }

    /// Sends one transaction that compares the records of jobs with the revisions at which they
    /// were live.
    fn compare_live_jobs(&mut self, queries: Vec<JobQueries>) {
        if queries.is_empty() {
            return;
        }
        let live_revisions = &self.status_reads.live_revisions;
        let guard = |queries: &JobQueries| {
            let revision = live_revisions.get(&queries.job).copied().unwrap_or(0);
            Guard { key: job_key(&queries.job), revision }
        };
        let guards = queries.iter().map(guard).collect();
        let body = to_cbor(&Transaction { guards, apply: Vec::new() });
        self.charge_read(ReadPurpose::StatusComparison);
        let call = InFlight::LiveJobComparison(LiveComparison { queries });
        self.call_store("POST", "/multi".into(), body, call);
    }

    /// Handles the outcome of a comparison: jobs whose records are unchanged are still live, and
    /// the records of the others are read.
    pub(crate) fn on_live_jobs_compared(&mut self, comparison: LiveComparison, outcome: Outcome) {
        let changed = self.changed_record_keys(&outcome);
        let Some(changed) = changed else {
            let refused = comparison.queries.into_iter();
            return refused
                .for_each(|queries| self.refuse_queries(queries, RefusalReason::StoreFailed));
        };
        self.note_store_answer();
        for queries in comparison.queries {
            if changed.contains(&job_key(&queries.job)) {
                self.status_reads.live_revisions.remove(&queries.job);
                self.queue_status_read(queries);
            } else {
                self.answer_live_job(queries);
            }
        }
        self.send_status_reads();
    }

    /// Answers the queries for a job whose record was just validated to be live.
    fn answer_live_job(&mut self, queries: JobQueries) {
        let JobQueries { job, requests, .. } = queries;
        // This controller may have learned of the job's end while the comparison was in flight.
        let status = self.terminal_jobs.get(&job);
        let body = to_cbor(&answer_without_counts(&job, JobStatus::Running));
        for id in requests {
            match status {
                Some(status) => self.answer_terminal(id, &job, status),
                None => self.answer(id, Response::new(200, body.clone())),
            }
        }
    }

    /// Remembers on a follower the revision of a live job whose state depends on its own record
    /// alone. Revision 0 means that the job has no record of its own.
    pub(super) fn note_live_record(&mut self, job: &str, revision: u64) {
        if !self.leads() && revision > 0 {
            self.status_reads.record_live_revision(job, revision);
        }
    }
}
