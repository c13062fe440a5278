//! Questions about jobs that the leader holds in memory. Those that came in a short
//! while share one fresh read, sent after the last of them came: a transaction that
//! changes nothing and only compares the jobs' stamps with those that memory rests on.

use std::collections::BTreeMap;

use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{Guard, JobAnswer, JobStatus, Transaction, TransactionAnswer};
use quartzgate_wire::{from_cbor, to_cbor};

use crate::controller::{Controller, Pending};
use crate::ids::JobIx;
use crate::jobs::{Job, JobState};
use crate::records::job_key;
use crate::{Outcome, RequestId};

/// Who asked about which job.
type Asked = BTreeMap<JobIx, Vec<RequestId>>;

#[derive(Default)]
pub(crate) struct Polls {
    asked: Asked,
    waiting: usize,
    sent_ms: u64,
}

/// Questions that may wait at a time.
const WAITING_MOST: usize = 1_000;
/// The state service takes so many conditions for each change that it would take.
const GUARDS_PER_OP: usize = 4;

impl Controller {
    /// Answers with a job's state after a fresh read.
    pub(crate) fn poll(&mut self, id: RequestId, job: String) {
        let known = self.jobs.find(&job).filter(|_| self.leads());
        match known.filter(|ix| self.jobs.get(*ix).is_some_and(comparable)) {
            Some(_) if self.polls.waiting >= WAITING_MOST => self.answer_busy(id),
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
        let mut asked = std::mem::take(&mut self.polls.asked);
        while !asked.is_empty() {
            let most = GUARDS_PER_OP * self.cfg.platform.params.state.txn_ops;
            let rest = asked.keys().nth(most).copied().map(|ix| asked.split_off(&ix));
            self.compare(asked);
            asked = rest.unwrap_or_default();
        }
    }

    fn compare(&mut self, mut asked: Asked) {
        let changed = |ix: &JobIx| !self.jobs.get(*ix).is_some_and(comparable);
        let gone: Vec<JobIx> = asked.keys().copied().filter(changed).collect();
        for ix in gone {
            // Its record is under way, or it has ended meanwhile.
            let ids = asked.remove(&ix).unwrap_or_default();
            self.ask_singly(ix, ids);
        }
        if !self.may_read() {
            return asked.into_values().flatten().for_each(|id| self.answer_busy(id));
        }
        let jobs = asked.keys().filter_map(|ix| self.jobs.get(*ix));
        let guards: Vec<Guard> =
            jobs.map(|j| Guard { path: job_key(&j.id), stamp: j.stamp }).collect();
        let body = to_cbor(&Transaction { guards, apply: Vec::new() });
        let pending = Pending::Compare { asked, epoch: self.epoch() };
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

    pub(crate) fn on_compare(&mut self, asked: Asked, epoch: u64, outcome: Outcome) {
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
            return asked.into_values().flatten().for_each(|id| self.answer_busy(id));
        };
        self.state_answered();
        for (ix, ids) in asked {
            let stands = |j: &Job| j.state == JobState::Live && !failed.contains(&job_key(&j.id));
            match self.jobs.get(ix).filter(|j| stands(j)).map(live_answer) {
                Some(answer) => {
                    let body = to_cbor(&answer);
                    ids.into_iter().for_each(|id| self.answer(id, Response::new(200, body.clone())))
                }
                None => {
                    self.ask_singly(ix, ids);
                    // Memory is behind its record, or the record behind a late write.
                    if self.jobs.get(ix).is_some_and(comparable) {
                        self.restamp_job(ix);
                    }
                }
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
    job.state == JobState::Live && !job.busy && job.stamp > 0
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
