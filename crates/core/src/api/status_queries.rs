//! Status queries for jobs that the leader has in memory.
//!
//! Queries that arrive within a short interval share one validated read, which is sent after the
//! last of them has arrived: a transaction without changes whose guards are the revisions of the
//! records from which the leader's memory was built. A query is answered from memory only if none
//! of the records behind the answer has changed.

use std::collections::{BTreeMap, BTreeSet};

use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{Guard, JobAnswer, JobStatus, Transaction, TransactionAnswer};
use quartzgate_wire::{from_cbor, to_cbor};

use crate::api::refusal::RefusalReason;
use crate::controller::Controller;
use crate::ids::JobIndex;
use crate::in_flight::InFlight;
use crate::jobs::Job;
use crate::storage::read_budget::ReadPurpose;
use crate::storage::records::{job_key, JOB_PREFIX};
use crate::{Outcome, RequestId};

/// Guards that the store accepts in a transaction, for each change that it accepts in one.
const GUARDS_PER_OP: usize = 4;
/// Number of intervals for gathering queries in one batch interval of the record writer.
const GATHER_INTERVALS_PER_BATCH: u64 = 4;

/// Status queries that wait for an answer, by job.
type QueriesByJob = BTreeMap<JobIndex, Vec<RequestId>>;

/// Revisions of the job records from which memory was built, by job.
type RevisionsByJob = BTreeMap<JobIndex, u64>;

/// A comparison of the record revisions behind a set of answers with those in the store. It may
/// take several transactions.
#[derive(Debug, Default)]
pub(crate) struct ValidatedRead {
    queries: QueriesByJob,
    /// Records that no transaction has compared yet.
    remaining: RevisionsByJob,
    /// Records whose comparison has been sent to the store, at these revisions.
    sent: RevisionsByJob,
    /// Jobs whose records are known to have changed.
    changed: BTreeSet<JobIndex>,
}

impl ValidatedRead {
    /// Returns whether one transaction can compare these records together with the remaining ones.
    fn has_capacity_for(&self, records: &RevisionsByJob, max_guards: usize) -> bool {
        let added = records.keys().filter(|job| !self.remaining.contains_key(job)).count();
        self.remaining.len() + added <= max_guards
    }

    fn add(&mut self, job: JobIndex, requests: Vec<RequestId>, records: RevisionsByJob) {
        self.queries.insert(job, requests);
        self.remaining.extend(records);
    }

    fn into_requests(self) -> impl Iterator<Item = RequestId> {
        self.queries.into_values().flatten()
    }
}

/// Status queries that wait for the next validated read.
#[derive(Default)]
pub(crate) struct StatusQueries {
    waiting: QueriesByJob,
    /// Total number of queries in `waiting`.
    waiting_count: usize,
    /// Steady time of the most recent validated read.
    last_read_ms: u64,
}

impl StatusQueries {
    fn push(&mut self, job: JobIndex, request: RequestId) {
        self.waiting.entry(job).or_default().push(request);
        self.waiting_count += 1;
    }

    /// Removes and returns all queries, for a validated read that is sent now.
    fn take(&mut self, now_ms: u64) -> QueriesByJob {
        self.last_read_ms = now_ms;
        self.waiting_count = 0;
        std::mem::take(&mut self.waiting)
    }
}

impl Controller {
    /// Answers a status query after a fresh read of the job's record, or after a validated read if
    /// memory can answer it.
    pub(crate) fn query_status(&mut self, id: RequestId, job: String) {
        let known = self.jobs.find(&job).filter(|_| self.leads());
        let validatable =
            known.filter(|job_index| self.jobs.get(*job_index).is_some_and(is_validatable));
        let Some(job_index) = validatable else { return self.read_status(id, job) };
        if self.status_queries.waiting_count >= self.context.config.max_waiting_status_queries() {
            return self.answer_unavailable(id, RefusalReason::TooManyWaiting);
        }
        self.status_queries.push(job_index, id);
    }

    fn read_statuses(&mut self, job_index: JobIndex, requests: Vec<RequestId>) {
        let job = self.jobs.get(job_index).map(|job| job.id.clone());
        for id in requests {
            match &job {
                Some(job) => self.read_status(id, job.clone()),
                None => self.answer_unavailable(id, RefusalReason::RecordChanged),
            }
        }
    }

    /// Sends a validated read for the queries that have arrived since the previous one, unless the
    /// gathering interval has not passed yet.
    pub(crate) fn tick_status_queries(&mut self) {
        let now_ms = self.context.now.steady_ms;
        let interval_ms = self.status_gather_interval_ms();
        if self.status_queries.waiting.is_empty()
            || now_ms < self.status_queries.last_read_ms + interval_ms
        {
            return;
        }
        let max_guards = self.max_guards();
        let mut read = ValidatedRead::default();
        for (job_index, requests) in self.status_queries.take(now_ms) {
            let Some(records) = self.revisions_behind_state(job_index) else {
                // One of the records is being written, or one of the jobs has ended.
                self.read_statuses(job_index, requests);
                continue;
            };
            // If the records of a single job exceed one transaction, several compare them.
            if !read.has_capacity_for(&records, max_guards) && !read.remaining.is_empty() {
                self.send_validated_read(std::mem::take(&mut read));
            }
            read.add(job_index, requests, records);
        }
        self.send_validated_read(read);
    }

    /// Returns for how long status queries are gathered before one read compares their records.
    pub(super) fn status_gather_interval_ms(&self) -> u64 {
        self.context.config.write_batch_ms() / GATHER_INTERVALS_PER_BATCH
    }

    /// Returns how many guards one transaction may have.
    pub(crate) fn max_guards(&self) -> usize {
        GUARDS_PER_OP * self.store_limits().txn_ops
    }

    /// Returns the revisions of the records that determine the state of a job in memory: the job's
    /// own and those of its direct and transitive dependencies. Returns `None` if one of them can't
    /// be validated.
    fn revisions_behind_state(&self, job_index: JobIndex) -> Option<RevisionsByJob> {
        let mut jobs = self.transitive_dependencies(job_index)?;
        jobs.push(job_index);
        let revision = |job_index: &JobIndex| {
            self.jobs.get(*job_index).filter(|job| is_validatable(job)).map(|job| job.revision)
        };
        jobs.into_iter().map(|job_index| Some((job_index, revision(&job_index)?))).collect()
    }

    /// Sends one transaction that compares as many of the remaining records as it may have guards.
    fn send_validated_read(&mut self, mut read: ValidatedRead) {
        if read.queries.is_empty() {
            return;
        }
        if !self.may_read(ReadPurpose::Request) && !self.may_read(ReadPurpose::StatusQuery) {
            return self.refuse_requests(read.into_requests(), RefusalReason::ReadLimit);
        }
        let max_guards = self.max_guards();
        let next: Vec<(JobIndex, u64)> = read
            .remaining
            .iter()
            .take(max_guards)
            .map(|(job_index, revision)| (*job_index, *revision))
            .collect();
        let mut guards = Vec::with_capacity(next.len());
        for (job_index, revision) in next {
            read.remaining.remove(&job_index);
            match self.jobs.get(job_index) {
                Some(job) => {
                    guards.push(Guard { key: job_key(&job.id), revision });
                    read.sent.insert(job_index, revision);
                }
                // The job has ended since the query was queued.
                None => drop(read.changed.insert(job_index)),
            }
        }
        let body = to_cbor(&Transaction { guards, apply: Vec::new() });
        let call = InFlight::ValidatedRead { read, epoch: self.epoch() };
        self.call_store("POST", "/multi".into(), body, call);
    }

    fn refuse_requests(
        &mut self,
        requests: impl Iterator<Item = RequestId>,
        reason: RefusalReason,
    ) {
        requests.for_each(|id| self.answer_unavailable(id, reason));
    }

    /// Handles the outcome of a validated read that was sent in `epoch`.
    pub(crate) fn on_validated_read(
        &mut self,
        mut read: ValidatedRead,
        epoch: u64,
        outcome: Outcome,
    ) {
        let failed = self.changed_record_keys(&outcome);
        let reason = match failed {
            Some(_) => RefusalReason::EpochChanged,
            None => RefusalReason::StoreFailed,
        };
        // Job indexes of an earlier epoch are not valid in the memory of the current one.
        let Some(failed) = failed.filter(|_| epoch == self.epoch()) else {
            return self.refuse_requests(read.into_requests(), reason);
        };
        self.note_store_answer();
        for key in failed {
            self.on_record_changed(&mut read, &key);
        }
        if !read.remaining.is_empty() {
            return self.send_validated_read(read);
        }
        for (job_index, requests) in read.queries {
            self.answer_validated(job_index, requests, &read.changed);
        }
    }

    /// Returns the keys of the records that have changed, or `None` if the store did not compare
    /// them.
    pub(super) fn changed_record_keys(&mut self, outcome: &Outcome) -> Option<Vec<String>> {
        match outcome {
            Outcome::Answer(answer) if answer.status == 200 => Some(Vec::new()),
            Outcome::Answer(answer) if answer.status == 409 => {
                from_cbor::<TransactionAnswer>(&answer.body).ok().map(|answer| answer.failed)
            }
            Outcome::Answer(answer) => {
                self.on_store_throttled(answer.status);
                None
            }
            Outcome::Lost | Outcome::NotSent => None,
        }
    }

    /// Records that a job's record has changed. Unless this leader has written it in the meantime,
    /// memory is older than the record or a delayed write was applied, so the record is read again.
    fn on_record_changed(&mut self, read: &mut ValidatedRead, key: &str) {
        let found = key.strip_prefix(JOB_PREFIX).and_then(|id| self.jobs.find(id));
        let Some(job_index) = found else { return };
        read.changed.insert(job_index);
        let sent = read.sent.get(&job_index).copied();
        let is_as_sent = |job: &Job| is_validatable(job) && Some(job.revision) == sent;
        if self.jobs.get(job_index).is_some_and(is_as_sent) {
            self.reread_job(job_index);
        }
    }

    /// Answers the queries for one job from memory if neither its own record nor that of a
    /// dependency has changed; otherwise reads the job's record.
    fn answer_validated(
        &mut self,
        job_index: JobIndex,
        requests: Vec<RequestId>,
        changed: &BTreeSet<JobIndex>,
    ) {
        let is_changed = |job_index: &JobIndex| changed.contains(job_index);
        let is_outdated = is_changed(&job_index)
            || self
                .transitive_dependencies(job_index)
                .is_none_or(|jobs| jobs.iter().any(is_changed));
        let is_valid = |job: &&Job| job.state.is_accepted() && !is_outdated;
        let Some(answer) = self.jobs.get(job_index).filter(is_valid).map(live_answer) else {
            return self.read_statuses(job_index, requests);
        };
        let body = to_cbor(&answer);
        for id in requests {
            self.answer(id, Response::new(200, body.clone()));
        }
    }

    /// Refuses all waiting queries because this controller is no longer the leader.
    pub(crate) fn drop_status_queries(&mut self) {
        let dropped = std::mem::take(&mut self.status_queries);
        let requests = dropped.waiting.into_values().flatten();
        self.refuse_requests(requests, RefusalReason::EpochChanged);
    }
}

/// Returns whether the job in memory was built from a record whose revision is known.
fn is_validatable(job: &Job) -> bool {
    job.state.is_accepted() && !job.busy && (job.revision > 0 || job.batch_number.is_some())
}

/// Returns the answer for a job whose record was live when it was read. A job that has ended in
/// memory is reported as running until its end is recorded.
pub(super) fn live_answer(job: &Job) -> JobAnswer {
    let answer = job.answer();
    match answer.status {
        JobStatus::Queued | JobStatus::Running => answer,
        _ => JobAnswer { status: JobStatus::Running, done: None, running: None, ..answer },
    }
}
