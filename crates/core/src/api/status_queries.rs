//! Questions about jobs that the leader holds in memory. Those that came in a short
//! while share one fresh read, sent after the last of them came: a transaction that
//! changes nothing and only compares the jobs' stamps with those that memory rests on.

use std::collections::{BTreeMap, BTreeSet};

use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{Guard, JobAnswer, JobStatus, Transaction, TransactionAnswer};
use quartzgate_wire::{from_cbor, to_cbor};

use crate::controller::{Controller, InFlight};
use crate::ids::JobIndex;
use crate::jobs::Job;
use crate::storage::records::{job_key, JOB_PREFIX};
use crate::{Outcome, RequestId};

/// Who asked about which job.
type Asked = BTreeMap<JobIndex, Vec<RequestId>>;

/// A comparison of what answers rest on with what stands.
#[derive(Debug, Default)]
pub(crate) struct ValidatedRead {
    asked: Asked,
    /// Records, with the stamps that memory rests on, that are still to be compared.
    open: BTreeMap<JobIndex, u64>,
    /// Those of them that are being compared.
    sent: BTreeMap<JobIndex, u64>,
    /// Jobs whose records have changed.
    changed: BTreeSet<JobIndex>,
}

#[derive(Default)]
pub(crate) struct StatusQueries {
    asked: Asked,
    waiting: usize,
    sent_ms: u64,
}

/// The state service takes so many conditions for each change that it would take.
const GUARDS_PER_OP: usize = 4;

impl Controller {
    /// Answers with a job's state after a fresh read.
    pub(crate) fn query_status(&mut self, id: RequestId, job: String) {
        let known = self.jobs.find(&job).filter(|_| self.leads());
        match known.filter(|ix| self.jobs.get(*ix).is_some_and(comparable)) {
            Some(_)
                if self.status_queries.waiting
                    >= self.context.config.max_waiting_status_queries() =>
            {
                self.answer_busy(id)
            }
            Some(ix) => {
                self.status_queries.asked.entry(ix).or_default().push(id);
                self.status_queries.waiting += 1;
            }
            None => self.read_for(id, job),
        }
    }

    fn read_for(&mut self, id: RequestId, job: String) {
        self.read_job(id, &job, InFlight::Poll { request: id, id: job.clone() });
    }

    /// Sends one read for all that has been asked since the last.
    pub(crate) fn tick_status_queries(&mut self) {
        let now = self.context.now.steady_ms;
        if self.status_queries.asked.is_empty()
            || now < self.status_queries.sent_ms + self.context.config.write_batch_ms() / 4
        {
            return;
        }
        self.status_queries.sent_ms = now;
        self.status_queries.waiting = 0;
        let most = GUARDS_PER_OP * self.limits().txn_ops;
        let mut batch = ValidatedRead::default();
        for (ix, ids) in std::mem::take(&mut self.status_queries.asked) {
            let Some(rests_on) = self.rests_on(ix) else {
                // A record is under way, or has ended meanwhile.
                self.ask_singly(ix, ids);
                continue;
            };
            // One job's may be more than one comparison takes: they go one after another.
            let more = rests_on.iter().filter(|(j, _)| !batch.open.contains_key(j)).count();
            if batch.open.len() + more > most && !batch.open.is_empty() {
                self.compare(std::mem::take(&mut batch));
            }
            batch.asked.insert(ix, ids);
            batch.open.extend(rests_on);
        }
        self.compare(batch);
    }

    /// The records, with their stamps, on which what memory says of a job rests: its own,
    /// and those of the jobs that it waits for, directly or through others.
    fn rests_on(&self, ix: JobIndex) -> Option<BTreeMap<JobIndex, u64>> {
        let mut all = self.before(ix)?;
        all.push(ix);
        let revision =
            |j: &JobIndex| self.jobs.get(*j).filter(|j| comparable(j)).map(|j| j.revision);
        all.into_iter().map(|j| Some((j, revision(&j)?))).collect()
    }

    fn compare(&mut self, mut compared: ValidatedRead) {
        if compared.asked.is_empty() {
            return;
        }
        if !self.may_read_for_request() {
            return compared.asked.into_values().flatten().for_each(|id| self.answer_busy(id));
        }
        let most = GUARDS_PER_OP * self.limits().txn_ops;
        let now: Vec<(JobIndex, u64)> =
            compared.open.iter().take(most).map(|(j, s)| (*j, *s)).collect();
        let mut guards = Vec::with_capacity(now.len());
        for (ix, revision) in now {
            compared.open.remove(&ix);
            match self.jobs.get(ix) {
                Some(j) => {
                    guards.push(Guard { path: job_key(&j.id), revision });
                    compared.sent.insert(ix, revision);
                }
                // It has ended since.
                None => drop(compared.changed.insert(ix)),
            }
        }
        let body = to_cbor(&Transaction { guards, apply: Vec::new() });
        let pending = InFlight::Compare { compared, epoch: self.epoch() };
        self.call_store("POST", "/multi".into(), body, pending);
    }

    fn ask_singly(&mut self, ix: JobIndex, ids: Vec<RequestId>) {
        let job = self.jobs.get(ix).map(|j| j.id.clone());
        for id in ids {
            match &job {
                Some(job) => self.read_for(id, job.clone()),
                None => self.answer_busy(id),
            }
        }
    }

    pub(crate) fn on_compare(&mut self, mut compared: ValidatedRead, epoch: u64, outcome: Outcome) {
        let failed = match &outcome {
            Outcome::Answer(r) if r.status == 200 => Some(Vec::new()),
            Outcome::Answer(r) if r.status == 409 => {
                from_cbor::<TransactionAnswer>(&r.body).ok().map(|a| a.failed)
            }
            Outcome::Answer(r) => {
                self.on_store_throttled(r.status);
                None
            }
            _ => None,
        };
        // Another memory's keys say nothing of ours.
        let Some(failed) = failed.filter(|_| epoch == self.epoch()) else {
            return compared.asked.into_values().flatten().for_each(|id| self.answer_busy(id));
        };
        self.note_store_answer();
        for path in failed {
            let found = path.strip_prefix(JOB_PREFIX).and_then(|id| self.jobs.find(id));
            let Some(ix) = found else { continue };
            compared.changed.insert(ix);
            // Memory is behind its record, or the record behind a late write; unless we wrote
            // it meanwhile.
            let sent = compared.sent.get(&ix).copied();
            if self.jobs.get(ix).is_some_and(|j| comparable(j) && Some(j.revision) == sent) {
                self.reread_job(ix);
            }
        }
        if !compared.open.is_empty() {
            return self.compare(compared);
        }
        for (ix, ids) in compared.asked {
            let changed = |j: &JobIndex| compared.changed.contains(j);
            let changed = changed(&ix) || self.before(ix).is_none_or(|b| b.iter().any(changed));
            let stands = |j: &&Job| j.state.lives() && !changed;
            match self.jobs.get(ix).filter(stands).map(live_answer) {
                Some(answer) => {
                    let body = to_cbor(&answer);
                    ids.into_iter().for_each(|id| self.answer(id, Response::new(200, body.clone())))
                }
                None => self.ask_singly(ix, ids),
            }
        }
    }

    /// What waits for an answer when this controller no longer leads.
    pub(crate) fn drop_status_queries(&mut self) {
        let polls = std::mem::take(&mut self.status_queries);
        polls.asked.into_values().flatten().for_each(|id| self.answer_busy(id));
    }
}

/// Memory rests on a record of the job whose stamp is known.
fn comparable(job: &Job) -> bool {
    job.state.lives() && !job.busy && (job.revision > 0 || job.page.is_some())
}

/// What is told of a job that had not ended at the time of a read: its end is told
/// only once it is on record.
pub(crate) fn live_answer(job: &Job) -> JobAnswer {
    let answer = job.answer();
    match answer.status {
        JobStatus::Queued | JobStatus::Running => answer,
        _ => JobAnswer { status: JobStatus::Running, done: None, running: None, ..answer },
    }
}
