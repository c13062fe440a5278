//! Questions about jobs that the leader holds in memory. Those that came in a short
//! while share one fresh read, sent after the last of them came: a transaction that
//! changes nothing and only compares the jobs' stamps with those that memory rests on.

use std::collections::{BTreeMap, BTreeSet};

use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{Guard, JobAnswer, JobStatus, Transaction, TransactionAnswer};
use quartzgate_wire::{from_cbor, to_cbor};

use crate::controller::{Controller, Pending};
use crate::ids::JobIx;
use crate::jobs::Job;
use crate::records::{job_key, JOBS};
use crate::{Outcome, RequestId};

/// Who asked about which job.
type Asked = BTreeMap<JobIx, Vec<RequestId>>;

/// A comparison of what answers rest on with what stands.
#[derive(Debug, Default)]
pub(crate) struct Compared {
    asked: Asked,
    /// Records, with the stamps that memory rests on, that are still to be compared.
    open: BTreeMap<JobIx, u64>,
    /// Those of them that are being compared.
    sent: BTreeMap<JobIx, u64>,
    /// Jobs whose records have changed.
    changed: BTreeSet<JobIx>,
}

#[derive(Default)]
pub(crate) struct Polls {
    asked: Asked,
    waiting: usize,
    sent_ms: u64,
}

/// The state service takes so many conditions for each change that it would take.
const GUARDS_PER_OP: usize = 4;

impl Controller {
    /// Answers with a job's state after a fresh read.
    pub(crate) fn poll(&mut self, id: RequestId, job: String) {
        let known = self.jobs.find(&job).filter(|_| self.leads());
        match known.filter(|ix| self.jobs.get(*ix).is_some_and(comparable)) {
            Some(_) if self.polls.waiting >= self.cfg.max_waiting_status_queries() => {
                self.answer_busy(id)
            }
            Some(ix) => {
                self.polls.asked.entry(ix).or_default().push(id);
                self.polls.waiting += 1;
            }
            None => self.read_for(id, job),
        }
    }

    fn read_for(&mut self, id: RequestId, job: String) {
        self.read_job(id, &job, Pending::Poll { request: id, id: job.clone() });
    }

    /// Sends one read for all that has been asked since the last.
    pub(crate) fn tick_polls(&mut self) {
        let now = self.now.steady_ms;
        if self.polls.asked.is_empty() || now < self.polls.sent_ms + self.cfg.batch_ms() / 4 {
            return;
        }
        self.polls.sent_ms = now;
        self.polls.waiting = 0;
        let most = GUARDS_PER_OP * self.limits().txn_ops;
        let mut batch = Compared::default();
        for (ix, ids) in std::mem::take(&mut self.polls.asked) {
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
    fn rests_on(&self, ix: JobIx) -> Option<BTreeMap<JobIx, u64>> {
        let mut all = self.before(ix)?;
        all.push(ix);
        let stamp = |j: &JobIx| self.jobs.get(*j).filter(|j| comparable(j)).map(|j| j.stamp);
        all.into_iter().map(|j| Some((j, stamp(&j)?))).collect()
    }

    fn compare(&mut self, mut compared: Compared) {
        if compared.asked.is_empty() {
            return;
        }
        if !self.may_read() {
            return compared.asked.into_values().flatten().for_each(|id| self.answer_busy(id));
        }
        let most = GUARDS_PER_OP * self.limits().txn_ops;
        let now: Vec<(JobIx, u64)> =
            compared.open.iter().take(most).map(|(j, s)| (*j, *s)).collect();
        let mut guards = Vec::with_capacity(now.len());
        for (ix, stamp) in now {
            compared.open.remove(&ix);
            match self.jobs.get(ix) {
                Some(j) => {
                    guards.push(Guard { path: job_key(&j.id), stamp });
                    compared.sent.insert(ix, stamp);
                }
                // It has ended since.
                None => drop(compared.changed.insert(ix)),
            }
        }
        let body = to_cbor(&Transaction { guards, apply: Vec::new() });
        let pending = Pending::Compare { compared, epoch: self.epoch() };
        self.state_call("POST", "/multi".into(), body, pending);
    }

    fn ask_singly(&mut self, ix: JobIx, ids: Vec<RequestId>) {
        let job = self.jobs.get(ix).map(|j| j.id.clone());
        for id in ids {
            match &job {
                Some(job) => self.read_for(id, job.clone()),
                None => self.answer_busy(id),
            }
        }
    }

    pub(crate) fn on_compare(&mut self, mut compared: Compared, epoch: u64, outcome: Outcome) {
        let failed = match &outcome {
            Outcome::Answer(r) if r.status == 200 => Some(Vec::new()),
            Outcome::Answer(r) if r.status == 409 => {
                from_cbor::<TransactionAnswer>(&r.body).ok().map(|a| a.failed)
            }
            Outcome::Answer(r) => {
                self.state_busy(r.status);
                None
            }
            _ => None,
        };
        // Another memory's keys say nothing of ours.
        let Some(failed) = failed.filter(|_| epoch == self.epoch()) else {
            return compared.asked.into_values().flatten().for_each(|id| self.answer_busy(id));
        };
        self.state_answered();
        for path in failed {
            let found = path.strip_prefix(JOBS).and_then(|id| self.jobs.find(id));
            let Some(ix) = found else { continue };
            compared.changed.insert(ix);
            // Memory is behind its record, or the record behind a late write; unless we wrote
            // it meanwhile.
            let sent = compared.sent.get(&ix).copied();
            if self.jobs.get(ix).is_some_and(|j| comparable(j) && Some(j.stamp) == sent) {
                self.restamp_job(ix);
            }
        }
        if !compared.open.is_empty() {
            return self.compare(compared);
        }
        for (ix, ids) in compared.asked {
            let changed = |j: &JobIx| compared.changed.contains(j);
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
    pub(crate) fn drop_polls(&mut self) {
        let polls = std::mem::take(&mut self.polls);
        polls.asked.into_values().flatten().for_each(|id| self.answer_busy(id));
    }
}

/// Memory rests on a record of the job whose stamp is known.
fn comparable(job: &Job) -> bool {
    job.state.lives() && !job.busy && (job.stamp > 0 || job.page.is_some())
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
