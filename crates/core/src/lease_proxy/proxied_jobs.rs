//! Status of the jobs whose tasks proxied workers run, as read from the store.
//!
//! A lease proxy renews a worker's lease only while it is proven that none of the worker's tasks
//! belongs to a job that was terminal a lease bound ago.

use std::collections::BTreeMap;

use crate::capacity::evict_oldest;
use crate::config::Config;
use crate::context::Context;
use crate::controller::Controller;
use crate::in_flight::InFlight;
use crate::storage::read_budget::ReadPurpose;
use crate::storage::records::{decode, JobRecord, RecordedStatus};
use crate::Outcome;

/// Number of times that a job is read again within a lease bound.
const READS_PER_LEASE_BOUND: u64 = 3;

/// Status of one job and the times of its reads.
#[derive(Clone, Copy, Debug)]
struct JobStatus {
    live: bool,
    /// When the latest answered read was sent; 0 if no read has been answered.
    proven_ms: u64,
    /// When the latest read was sent.
    requested_ms: u64,
}

impl JobStatus {
    const UNREAD: JobStatus = JobStatus { live: true, proven_ms: 0, requested_ms: 0 };
}

/// What a lease proxy may assume about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JobLiveness {
    Live,
    Terminal,
    /// The job has not been proven live within the lease bound.
    Unproven,
}

/// Jobs of proxied workers. The map is bounded: the jobs whose latest read was sent longest ago are
/// evicted first.
#[derive(Debug, Default)]
pub(super) struct ProxiedJobs {
    statuses: BTreeMap<String, JobStatus>,
}

impl ProxiedJobs {
    pub fn clear(&mut self) {
        self.statuses.clear();
    }

    fn status(&self, job: &str) -> JobStatus {
        self.statuses.get(job).copied().unwrap_or(JobStatus::UNREAD)
    }

    /// Returns what is proven about a job at the present time.
    pub fn liveness(&self, job: &str, context: &Context) -> JobLiveness {
        let status = self.status(job);
        let bound_ms = context.config.lease_bound_ms();
        let proven_since_ms = context.now.steady_ms.saturating_sub(bound_ms);
        if !status.live {
            JobLiveness::Terminal
        } else if status.proven_ms > 0 && status.proven_ms >= proven_since_ms {
            JobLiveness::Live
        } else {
            JobLiveness::Unproven
        }
    }

    /// Returns whether the job must be read now so that it stays proven.
    pub fn needs_read(&self, job: &str, context: &Context) -> bool {
        let now = context.now.steady_ms;
        let status = self.status(job);
        let interval_ms = context.config.lease_bound_ms() / READS_PER_LEASE_BOUND;
        let stale = status.proven_ms < now.saturating_sub(interval_ms).max(1);
        let unanswered = now >= status.requested_ms + context.config.store_timeout_ms();
        status.live && stale && unanswered
    }

    /// Makes room for a job unless it is already tracked.
    fn reserve(&mut self, job: &str, config: &Config) {
        if !self.statuses.contains_key(job) {
            let max_jobs = config.max_proxied_jobs();
            evict_oldest(&mut self.statuses, max_jobs, |status| status.requested_ms);
        }
    }

    fn on_requested(&mut self, job: &str, now_ms: u64) {
        let status = self.statuses.entry(job.to_string()).or_insert(JobStatus::UNREAD);
        status.requested_ms = now_ms;
    }

    fn on_read(&mut self, job: &str, live: bool, sent_ms: u64) {
        if let Some(status) = self.statuses.get_mut(job) {
            status.live = live;
            status.proven_ms = status.proven_ms.max(sent_ms);
        }
    }

    fn on_aborted(&mut self, job: &str) {
        if let Some(status) = self.statuses.get_mut(job) {
            status.live = false;
        }
    }
}

impl Controller {
    /// Reads a job for a proxied worker if the read budget allows it.
    pub(super) fn read_proxied_job(&mut self, job: String) {
        let now = self.context.now.steady_ms;
        self.lease_proxy.jobs.reserve(&job, &self.context.config);
        if !self.may_read(ReadPurpose::Request) {
            return;
        }
        self.lease_proxy.jobs.on_requested(&job, now);
        let pending = InFlight::ProxiedJobRead { job: job.clone(), sent_ms: now };
        self.look_up(&job, pending);
    }

    /// Handles the read of a job for a proxied worker.
    pub(crate) fn on_proxied_job_read(&mut self, job: String, sent_ms: u64, outcome: Outcome) {
        let Ok(pair) = self.read_outcome(outcome) else { return };
        let live = match pair {
            Some(pair) => {
                decode::<JobRecord>(&pair.value).map(|record| record.status == RecordedStatus::Live)
            }
            None => Some(false),
        };
        if let Some(live) = live {
            self.lease_proxy.jobs.on_read(&job, live, sent_ms);
        }
    }

    /// Marks a job as terminal because its abort is recorded; proxied workers must stop its tasks.
    pub(crate) fn on_abort_for_proxy(&mut self, job: &str) {
        self.lease_proxy.jobs.on_aborted(job);
    }
}
