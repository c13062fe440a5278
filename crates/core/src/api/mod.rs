//! What users ask: submissions, polls, aborts, readiness; and how those are passed
//! to the leader or decided without it.
//!
//! A state that can still change is told only after a fresh read of the state
//! service; an end never changes and may be told from memory.

pub(crate) mod admission;
pub(crate) mod status_queries;

use std::collections::BTreeSet;

use quartzgate_feature_gates::Feature;
use quartzgate_wire::http::{Request, Response};
use quartzgate_wire::msg::{
    valid_job_id, Change, Forward, Guard, JobAnswer, JobKind, JobSpec, JobStatus, KeyValue,
    MachineType, MachineTypes, Transaction, TransactionAnswer,
};
use quartzgate_wire::{from_cbor, to_cbor};

use crate::api::status_queries::live_answer;
use crate::controller::{Controller, InFlight, UserRequest};
use crate::ids::JobIndex;
use crate::jobs::JobState;
use crate::latency::LatencySpan;
use crate::storage::placement_records::{PlacementWrite, RecordLocation};
use crate::storage::record_writer::{FlushItem, Purpose};
use crate::storage::records::{
    batch_key, checked_size, decode, encode, handoff_key, job_key, JobRecord, RecordedStatus,
    HANDOFF_PREFIX,
};
use crate::{Outcome, Peer, RequestId};

/// Changes past the leader: a record, and the note of it.
const ALONE_CHANGES: f64 = 2.0;

/// Why a well-formed job can never run.
pub(crate) enum Verdict {
    Fits,
    Never(&'static str),
    /// The machine types are not known yet.
    Unknown,
}

/// Where siblings tell one another of aborts that stand on record.
pub(crate) const ABORTED_PATH: &str = "/aborted/";

impl Controller {
    pub(crate) fn on_client(&mut self, id: RequestId, request: Request) {
        let path = request.target.split('?').next().unwrap_or("");
        match (request.method.as_str(), path) {
            ("POST", "/checkin") => self.on_heartbeat(id, request.body, None),
            ("GET", "/ready") => {
                if self.ready() {
                    self.answer(id, Response::new(200, Vec::new()))
                } else {
                    self.answer_busy(id)
                }
            }
            (_, "/checkin" | "/ready") => self.answer_error(id, 405, "method not allowed"),
            (method, path) => {
                let (method, path) = (method.to_string(), path.to_string());
                self.on_user(id, &method, &path, request.body, false)
            }
        }
    }

    /// A user's request, from the user or passed on by a sibling.
    pub(crate) fn on_user(
        &mut self,
        id: RequestId,
        method: &str,
        path: &str,
        body: Vec<u8>,
        passed_on: bool,
    ) {
        let Some(rest) = path.strip_prefix("/api/jobs") else {
            return self.answer_error(id, 404, "no such path");
        };
        let parts: Vec<&str> = rest.split('/').skip(1).collect();
        let work = match (method, rest.is_empty(), parts.as_slice()) {
            ("POST", true, _) => match parse_job(&body) {
                Ok(spec) => UserRequest::Submit(Box::new(spec), body),
                Err(why) => match named_job(&body) {
                    Some(job) => UserRequest::Malformed { job, why, body },
                    None => return self.answer_error(id, 400, &why),
                },
            },
            (_, true, _) => return self.answer_error(id, 405, "method not allowed"),
            ("GET", _, [job]) | ("POST", _, [job, "abort"]) => {
                if !valid_job_id(job) {
                    return self.answer_error(id, 400, "malformed ref");
                }
                match parts.len() {
                    1 => UserRequest::Poll(job.to_string()),
                    _ => UserRequest::Abort(job.to_string()),
                }
            }
            (_, _, [_] | [_, "abort"]) => return self.answer_error(id, 405, "method not allowed"),
            _ => return self.answer_error(id, 404, "no such path"),
        };
        let span = match &work {
            UserRequest::Submit(..) | UserRequest::Malformed { .. } => LatencySpan::Submit,
            UserRequest::Poll(_) => LatencySpan::Poll,
            UserRequest::Abort(_) => LatencySpan::Abort,
        };
        self.context.latencies.begin(id, span, self.context.now.steady_ms);
        if let Some(status) = self.terminal_jobs.get(work.id()) {
            return self.answer_terminal(id, work.id(), status);
        }
        // Nothing that the first version would not understand before it is gone.
        let chained = matches!(&work, UserRequest::Submit(s, _) if !s.dependencies.is_empty());
        if chained && !self.has(Feature::JobDependencies) {
            return self.answer_busy(id);
        }
        if self.leads() {
            return self.decide(id, work);
        }
        // A leader that has missed its beat would keep the user waiting.
        let leader = self.leader_sibling().filter(|_| !self.leader_missed());
        let target = if passed_on { None } else { leader };
        match target {
            Some(at) => self.pass_on(id, at, work),
            None => self.decide_alone(id, work, passed_on),
        }
    }

    fn pass_on(&mut self, id: RequestId, at: usize, work: UserRequest) {
        let mut message = self.mesh_message();
        let (method, path, body) = match &work {
            UserRequest::Submit(_, body) | UserRequest::Malformed { body, .. } => {
                ("POST", "/api/jobs".to_string(), body.clone())
            }
            UserRequest::Poll(job) => ("GET", format!("/api/jobs/{job}"), Vec::new()),
            UserRequest::Abort(job) => ("POST", format!("/api/jobs/{job}/abort"), Vec::new()),
        };
        message.forward = Some(Forward { method: method.into(), path, body });
        let body = to_cbor(&message);
        let timeout = self.context.config.forward_timeout_ms();
        let pending = InFlight::Forward { request: id, sibling: at, work: Box::new(work) };
        self.call(Peer::Sibling(at), "POST", "/mesh".into(), body, timeout, pending);
    }

    pub(crate) fn on_forwarded(
        &mut self,
        id: RequestId,
        sibling: usize,
        work: UserRequest,
        outcome: Outcome,
    ) {
        match outcome {
            Outcome::Answer(r) if matches!(r.status, 200 | 201 | 404 | 422) => {
                if let Ok(a) = from_cbor::<JobAnswer>(&r.body) {
                    match a.status {
                        JobStatus::Done => self.learn_terminal_state(&a.id, RecordedStatus::Done),
                        // It may lead by now, and have read the record before that.
                        JobStatus::Aborted => self.on_abort_recorded(&a.id),
                        _ => {}
                    }
                }
                // Its end may have been learnt while the answer was on its way.
                if let Some(status) = self.terminal_jobs.get(work.id()) {
                    return self.answer_terminal(id, work.id(), status);
                }
                let mut response = Response::new(r.status, r.body);
                response.retry_after_s = r.retry_after_s;
                self.answer(id, response);
            }
            // The leader has no writes left: none is to be had past it either.
            Outcome::Answer(r) if r.status == 429 => {
                let mut response = Response::new(429, r.body);
                response.retry_after_s = r.retry_after_s.or(Some(1));
                self.answer(id, response);
            }
            // The sibling could not decide, or was not reached: the records can.
            Outcome::Answer(_) | Outcome::Lost | Outcome::NotSent => {
                tracing::debug!(sibling, "request passed on was not answered");
                self.decide_alone(id, work, true)
            }
        }
    }

    /// Without the leader: by the state service alone.
    fn decide_alone(&mut self, id: RequestId, work: UserRequest, last: bool) {
        if !self.store_reachable() {
            // A sibling that still has the state service can do it.
            if let (false, Some(at)) = (last, self.sibling_with_store()) {
                return self.pass_on(id, at, work);
            }
            return self.answer_busy(id);
        }
        // A later version's records are not for us to read, nor to write beside.
        if !self.knows_format() {
            return self.answer_busy(id);
        }
        match work {
            UserRequest::Submit(spec, _) => self.consider(id, *spec),
            UserRequest::Malformed { job, why, .. } => self.refuse(id, job, 400, &why),
            UserRequest::Poll(job) => self.query_status(id, job),
            UserRequest::Abort(job) => {
                self.read_job(id, &job, InFlight::AbortRead { request: id, id: job.clone() })
            }
        }
    }

    /// Whether a submission can be taken, as far as can be told without reading.
    fn acceptable(&mut self, id: RequestId, spec: JobSpec) -> Option<JobSpec> {
        match self.verdict(&spec) {
            Verdict::Fits => {}
            // A known job is never refused: what stands decides.
            Verdict::Never(why) => {
                self.refuse(id, spec.id, 422, why);
                return None;
            }
            Verdict::Unknown => {
                self.read_known(id, spec.id, None);
                return None;
            }
        }
        if spec.dependencies.contains(&spec.id) {
            self.refuse(id, spec.id, 422, "a job can't need itself");
            return None;
        }
        let record = self.job_record(spec);
        let small = checked_size(&record) <= self.value_most();
        let spec = record.spec?;
        if !small {
            self.refuse(id, spec.id, 400, "too large to be kept: fewer prereqs or shorter names");
            return None;
        }
        Some(spec)
    }

    /// A submission of a job that memory does not know.
    fn consider(&mut self, id: RequestId, spec: JobSpec) {
        if let Some(spec) = self.acceptable(id, spec) {
            match spec.dependencies.is_empty() {
                true => self.submit_admitted(id, spec, false),
                false => self.admit(id, spec),
            }
        }
    }

    pub(crate) fn on_alone_read(
        &mut self,
        id: RequestId,
        spec: JobSpec,
        cancelled: bool,
        outcome: Outcome,
    ) {
        match self.read_outcome(outcome) {
            // No page that was looked through holds it; none may have come since.
            Ok(None) => self.record_alone(
                id,
                spec,
                cancelled,
                Some(self.job_batches.last_batch_checked() + 1),
            ),
            Ok(Some(pair)) => self.answer_record(id, &spec.id, pair),
            Err(()) => self.answer_busy(id),
        }
    }

    fn record_alone(
        &mut self,
        id: RequestId,
        spec: JobSpec,
        cancelled: bool,
        no_page: Option<u64>,
    ) {
        let now = self.context.now.steady_ms;
        if !self.record_writer.writes.take(now, ALONE_CHANGES, 0.0) {
            return self.answer_busy(id);
        }
        let job = spec.id.clone();
        let record = self.job_record(spec);
        let mut guards = vec![Guard { path: job_key(&job), revision: 0 }];
        guards.extend(no_page.map(|n| Guard { path: batch_key(n), revision: 0 }));
        let body = to_cbor(&Transaction {
            guards,
            apply: vec![
                Change::Set { set: job_key(&job), value: encode(&record), lease_id: None },
                Change::Set { set: handoff_key(&job), value: encode(&false), lease_id: None },
            ],
        });
        let pending = InFlight::AcceptAlone { request: id, id: job, cancelled };
        self.call_store("POST", "/multi".into(), body, pending);
    }

    /// Looks whether a job is known before it is refused.
    fn read_known(&mut self, id: RequestId, job: String, refusal: Option<(u16, String)>) {
        let pending = InFlight::Known { request: id, job: job.clone(), refusal };
        self.read_job(id, &job, pending);
    }

    /// Refuses a submission, unless its job is known: that one is told how it stands, whatever
    /// the repeat says.
    pub(crate) fn refuse(&mut self, id: RequestId, job: String, status: u16, why: &str) {
        self.read_known(id, job, Some((status, why.to_string())));
    }

    pub(crate) fn job_record(&self, spec: JobSpec) -> JobRecord {
        JobRecord {
            status: RecordedStatus::Live,
            spec: Some(spec),
            at_ms: self.context.now.wall_ms,
            done_chunks: Vec::new(),
            service: false,
            share: None,
        }
    }

    pub(crate) fn on_accept_alone(
        &mut self,
        id: RequestId,
        job: String,
        cancelled: bool,
        outcome: Outcome,
    ) {
        match outcome {
            Outcome::Answer(r) if r.status == 200 => {
                self.note_store_answer();
                tracing::info!(job = %job, "accepted past the leader");
                if cancelled {
                    self.learn_terminal_state(&job, RecordedStatus::Aborted);
                }
                let status = if cancelled { JobStatus::Aborted } else { JobStatus::Queued };
                let answer = JobAnswer { id: job, status, done: None, running: None };
                self.answer(id, Response::new(201, to_cbor(&answer)));
            }
            Outcome::Answer(r) if r.status == 409 => {
                self.note_store_answer();
                let failed = from_cbor::<TransactionAnswer>(&r.body).map(|a| a.failed);
                // A page has come meanwhile, of this job or of others.
                if !failed.is_ok_and(|f| f.contains(&job_key(&job))) {
                    return self.answer_busy(id);
                }
                self.read_job(id, &job, InFlight::Poll { request: id, id: job.clone() });
            }
            Outcome::Answer(r) => {
                self.on_store_throttled(r.status);
                self.answer_busy(id)
            }
            _ => self.answer_busy(id),
        }
    }

    /// The leader decides a user's request.
    fn decide(&mut self, id: RequestId, work: UserRequest) {
        match work {
            UserRequest::Submit(spec, _) => self.submit(id, *spec),
            UserRequest::Malformed { job, why, .. } => {
                if !self.submitted_before(id, &job) {
                    self.refuse(id, job, 400, &why)
                }
            }
            UserRequest::Poll(job) => self.query_status(id, job),
            UserRequest::Abort(job) => match self.jobs.find(&job) {
                Some(ix) => self.abort(id, ix),
                None => {
                    self.read_job(id, &job, InFlight::AbortRead { request: id, id: job.clone() })
                }
            },
        }
    }

    fn submit(&mut self, id: RequestId, spec: JobSpec) {
        if self.submitted_before(id, &spec.id) {
            return;
        }
        self.consider(id, spec)
    }

    /// A job that memory knows: what stands is told.
    fn submitted_before(&mut self, id: RequestId, job: &str) -> bool {
        if self.job_batches.unreadable(job) {
            self.answer_busy(id);
            return true;
        }
        if let Some(known) = self.jobs.find(job).and_then(|ix| self.jobs.get(ix)) {
            // While the first submission is being recorded, a second can't be told more.
            match known.state {
                JobState::Recording => self.answer_busy(id),
                _ => self.query_status(id, job.to_string()),
            }
            return true;
        }
        false
    }

    /// Takes a submission all of whose dependencies were accepted.
    pub(crate) fn submit_admitted(&mut self, id: RequestId, spec: JobSpec, cancelled: bool) {
        if !self.leads() {
            if !self.has(Feature::BatchRecords) {
                return self.record_alone(id, spec, cancelled, None);
            }
            // No look is worth it where it couldn't be recorded.
            if self.record_writer.writes.room(self.context.now.steady_ms, 0.0) < ALONE_CHANGES {
                return self.answer_busy(id);
            }
            // It may stand in a page: it is looked for first.
            let job = spec.id.clone();
            let pending = InFlight::AloneRead { request: id, spec: Box::new(spec), cancelled };
            return self.look_up_in_batches(&job, pending);
        }
        let now = self.context.now.steady_ms;
        if self.submitted_before(id, &spec.id) {
            return;
        }
        let Some(team) = self.context.config.team(&spec.team) else { return self.answer_busy(id) };
        if !cancelled && self.belongs_in_batch(&spec) {
            if !self.add_to_intake(id, spec, team) {
                self.reject_overloaded(id);
            }
            return;
        }
        if !self.may_accept(spec.priority) {
            return self.reject_overloaded(id);
        }
        self.record_writer.note(Purpose::Accept, 1);
        let record = self.job_record(spec.clone());
        let (key, job_id) = (job_key(&spec.id), spec.id.clone());
        let priority = spec.priority;
        let done = |d: &String| self.terminal_jobs.get(d) == Some(RecordedStatus::Done);
        let ready = spec.dependencies.iter().all(done);
        let job = self.new_job(spec, team, JobState::Recording, 0, record.at_ms);
        let ix = self.jobs.insert(job);
        // The first deal goes with the acceptance: within the same change if it fits, else if
        // another is left.
        let inline = self.inlines(ix);
        let mut share = None;
        if ready && (inline || self.may_place_immediately(priority)) {
            let prepaid = if inline { 0.0 } else { 1.0 };
            let mut spent = 0.0;
            if !self.backlog().full(priority) && self.place_job(ix) {
                let room = self.limits().txn_ops - 1;
                let fits = |s: &PlacementWrite| s.placed.inline || !inline && s.changes() <= room;
                share = self.placement_write(ix, 0).filter(fits);
                match &share {
                    Some(s) if !s.placed.inline => spent = s.changes() as f64,
                    Some(_) => {}
                    // A share that needs more room follows in a write of its own.
                    None => self.mark_blocking_starts(ix, 0),
                }
            }
            self.record_writer.writes.force(now, spent - prepaid);
            self.record_writer.note(Purpose::Deal, spent as usize);
        }
        let view = Guard {
            path: crate::storage::records::EPOCH_KEY.into(),
            revision: self.membership.epoch_revision(),
        };
        let (mut guards, mut apply) = (vec![view], Vec::new());
        let placed = share.as_ref().map_or(RecordLocation::default(), |s| s.placed);
        if !placed.own {
            apply.push(Change::Set { set: key.clone(), value: encode(&record), lease_id: None });
            guards.push(Guard { path: key, revision: 0 });
        }
        if let Some(share) = share {
            share.enter(&job_id, 0, &mut guards, &mut apply);
            self.chunk_sent(ix, 0, placed);
        }
        if let Some(j) = self.jobs.get_mut(ix) {
            j.busy = true;
        }
        let body = to_cbor(&Transaction { guards, apply });
        let epoch = self.epoch();
        let pending = InFlight::Accept { request: id, job: ix, placed, epoch };
        self.call_store("POST", "/multi".into(), body, pending);
    }

    pub(crate) fn on_accept(
        &mut self,
        id: RequestId,
        ix: JobIndex,
        placed: RecordLocation,
        outcome: Outcome,
    ) {
        let done = match &outcome {
            Outcome::Answer(r) if r.status == 200 => from_cbor::<TransactionAnswer>(&r.body).ok(),
            _ => None,
        };
        if let Some(done) = done {
            self.note_store_answer();
            let Some(job) = self.jobs.get_mut(ix) else { return self.answer_busy(id) };
            (job.revision, job.busy) = (done.store_revision, false);
            let job_id = job.id.clone();
            if placed != RecordLocation::default() {
                self.chunk_stands(ix, 0, placed, done.store_revision);
            }
            self.link(ix);
            self.set_job_state(ix, JobState::Live);
            // It may have been accepted behind one that is cancelled.
            let status = match self.terminal_jobs.get(&job_id) {
                Some(RecordedStatus::Aborted) => JobStatus::Aborted,
                _ => JobStatus::Queued,
            };
            let answer = JobAnswer { id: job_id, status, done: None, running: None };
            self.answer(id, Response::new(201, to_cbor(&answer)));
            self.touch_probed(ix);
            self.placement_due = true;
            self.preempt_due = true;
            return;
        }
        // Not recorded as far as we know: memory forgets it. Should the write come to
        // stand later, the job is found by its next poll or retry, or by looking for it.
        let job_id = self.jobs.get(ix).map(|j| j.id.clone()).unwrap_or_default();
        self.drop_job(ix);
        match outcome {
            Outcome::Answer(r) if r.status == 409 => {
                self.note_store_answer();
                let failed = from_cbor::<TransactionAnswer>(&r.body).map(|a| a.failed);
                if failed.is_ok_and(|f| f.iter().any(|p| p == crate::storage::records::EPOCH_KEY)) {
                    self.step_down();
                    return self.answer_busy(id);
                }
                self.query_status(id, job_id)
            }
            Outcome::Answer(r) => {
                self.on_store_throttled(r.status);
                self.answer_busy(id)
            }
            Outcome::NotSent => self.answer_busy(id),
            Outcome::Lost => {
                self.track_indeterminate_submission(job_id);
                self.answer_busy(id)
            }
        }
    }

    pub(crate) fn read_job(&mut self, id: RequestId, job: &str, pending: InFlight) {
        let may = match pending {
            InFlight::Poll { .. } => self.may_read_for_status(),
            _ => self.may_read_for_request(),
        };
        if !may {
            return self.answer_busy(id);
        }
        self.look_up(job, pending);
    }

    /// What a read of a job's record says: `Ok(None)` if there is none.
    pub(crate) fn read_outcome(&mut self, outcome: Outcome) -> Result<Option<KeyValue>, ()> {
        match outcome {
            Outcome::Answer(r) if r.status == 200 => {
                self.note_store_answer();
                from_cbor::<KeyValue>(&r.body).map(Some).map_err(|_| ())
            }
            Outcome::Answer(r) if r.status == 404 => {
                self.note_store_answer();
                Ok(None)
            }
            Outcome::Answer(r) => {
                self.on_store_throttled(r.status);
                Err(())
            }
            _ => Err(()),
        }
    }

    pub(crate) fn on_status_read(&mut self, id: RequestId, job: String, outcome: Outcome) {
        match self.read_outcome(outcome) {
            // It may have been accepted, or have ended, while the record was read.
            Ok(None) => match (self.terminal_jobs.get(&job), self.jobs.find(&job)) {
                (Some(status), _) => self.answer_terminal(id, &job, status),
                (None, Some(_)) => self.answer_busy(id),
                (None, None) => self.answer_error(id, 404, "no such job"),
            },
            Ok(Some(pair)) => self.answer_record(id, &job, pair),
            Err(()) => self.answer_busy(id),
        }
    }

    /// Tells what a job's record says, with the counts that the leader knows.
    fn answer_record(&mut self, id: RequestId, job: &str, pair: KeyValue) {
        let Some(record) = decode::<JobRecord>(&pair.value) else {
            tracing::error!(job, "the job's record can't be read; it is left as it is");
            return self.answer_busy(id);
        };
        // Its end may have been learnt while the record was on its way.
        if let Some(status) = self.terminal_jobs.get(job) {
            return self.answer_terminal(id, job, status);
        }
        match record.status {
            RecordedStatus::Live => {
                let named = record.spec.as_ref().map(|s| s.dependencies.clone());
                let known = self.adopt(job, record, pair.revision);
                let answer = known.and_then(|ix| self.jobs.get(ix)).map(live_answer);
                let answer = answer.unwrap_or_else(|| JobAnswer {
                    id: job.to_string(),
                    status: JobStatus::Running,
                    done: None,
                    running: None,
                });
                match named.filter(|n| !n.is_empty()) {
                    Some(named) => self.walk(id, answer, named),
                    None => self.answer(id, Response::new(200, to_cbor(&answer))),
                }
            }
            ended => {
                if ended == RecordedStatus::Aborted {
                    self.learn_abort(job, pair.revision);
                }
                self.learn_terminal_state(job, ended);
                self.answer_terminal(id, job, ended);
            }
        }
    }

    pub(crate) fn answer_terminal(&mut self, id: RequestId, job: &str, status: RecordedStatus) {
        let status = match status {
            RecordedStatus::Done => JobStatus::Done,
            _ => JobStatus::Aborted,
        };
        let answer = JobAnswer { id: job.to_string(), status, done: None, running: None };
        self.answer(id, Response::new(200, to_cbor(&answer)));
    }

    /// A submission that would be refused: refused only if the job is not known.
    pub(crate) fn on_known(
        &mut self,
        id: RequestId,
        job: String,
        refusal: Option<(u16, String)>,
        outcome: Outcome,
    ) {
        match self.read_outcome(outcome) {
            // It may have been accepted while the record was read.
            Ok(None) if self.jobs.find(&job).is_some() => self.answer_busy(id),
            Ok(None) => match (self.terminal_jobs.get(&job), refusal) {
                (Some(status), _) => self.answer_terminal(id, &job, status),
                (None, Some((status, why))) => {
                    tracing::info!(job = %job, why, "refused");
                    self.answer_error(id, status, &why)
                }
                (None, None) => self.answer_busy(id),
            },
            Ok(Some(pair)) => self.answer_record(id, &job, pair),
            Err(()) => self.answer_busy(id),
        }
    }

    /// The leader aborts a job that it knows.
    fn abort(&mut self, id: RequestId, ix: JobIndex) {
        let Some(job) = self.jobs.get(ix) else { return self.answer_busy(id) };
        // While its record is being written or looked at, an abort can't be decided.
        if job.busy || !matches!(job.state, JobState::Live | JobState::Waiting) {
            return self.answer_busy(id);
        }
        if !self.record_abort(Some(id), ix) {
            self.answer_busy(id)
        }
    }

    /// Records that a job is cancelled; false if that has to wait.
    pub(crate) fn record_abort(&mut self, request: Option<RequestId>, ix: JobIndex) -> bool {
        let now = self.context.now.steady_ms;
        let Some(job) = self.jobs.get(ix) else { return false };
        let inline = job.chunks.get(&0).is_some_and(|c| c.inline);
        if !self.record_writer.writes.take(now, 1.0, 0.0) {
            return false;
        }
        self.record_writer.note(Purpose::Abort, 1);
        if job.state != JobState::Doubtful {
            self.set_job_state(ix, JobState::Aborting);
        }
        let Some(job) = self.jobs.get(ix) else { return false };
        let (revision, job_id) = (job.revision, job.id.clone());
        let record = self.own_record(job);
        let view = Guard {
            path: crate::storage::records::EPOCH_KEY.into(),
            revision: self.membership.epoch_revision(),
        };
        let (mut guards, mut apply) = (vec![view], Vec::new());
        // A record that says where its tasks may be goes on saying so.
        let share = if inline { self.placement_write(ix, 0) } else { None };
        let placed = share.as_ref().map_or(RecordLocation::default(), |s| s.placed);
        match share {
            Some(share) => {
                share.enter(&job_id, 0, &mut guards, &mut apply);
                self.chunk_sent(ix, 0, placed);
            }
            None => {
                let key = job_key(&job_id);
                guards.push(Guard { path: key.clone(), revision });
                apply.push(Change::Set { set: key, value: encode(&record), lease_id: None });
            }
        }
        if let Some(j) = self.jobs.get_mut(ix) {
            j.busy = true;
        }
        let body = to_cbor(&Transaction { guards, apply });
        let epoch = self.epoch();
        let pending = InFlight::AbortWrite { request, job: ix, placed, epoch };
        self.call_store("POST", "/multi".into(), body, pending);
        true
    }

    pub(crate) fn on_abort_write(
        &mut self,
        request: Option<RequestId>,
        ix: JobIndex,
        placed: RecordLocation,
        outcome: Outcome,
    ) {
        let share = FlushItem::Chunk { job: ix, chunk: 0, placed };
        let unknown = self.jobs.get(ix).is_some_and(|j| j.state == JobState::Doubtful);
        if let Outcome::Answer(r) = &outcome {
            if let (200, Ok(done)) = (r.status, from_cbor::<TransactionAnswer>(&r.body)) {
                self.note_store_answer();
                let Some(job) = self.jobs.get_mut(ix) else { return self.not_cancelled(request) };
                (job.busy, job.revision) = (false, done.store_revision);
                let job_id = job.id.clone();
                if placed.own {
                    self.chunk_stands(ix, 0, placed, done.store_revision);
                }
                self.set_job_state(ix, JobState::Aborted);
                self.record_writer.touch_job(ix);
                if let Some(id) = request {
                    self.answer_terminal(id, &job_id, RecordedStatus::Aborted);
                }
                return;
            }
            if r.status != 409 && !unknown {
                // Not executed: the job goes on, and the user asks again.
                if r.status != 503 && r.status != 429 {
                    tracing::error!(status = r.status, "an abort was refused by the state service");
                }
                self.on_store_throttled(r.status);
                if let Some(j) = self.jobs.get_mut(ix) {
                    j.busy = false;
                }
                self.set_job_state(ix, JobState::Live);
                if placed.own {
                    self.unwritten(share);
                }
                return self.not_cancelled(request);
            }
        }
        // Perhaps executed, or the record has changed: it is read before anything else.
        self.not_cancelled(request);
        if !matches!(&outcome, Outcome::Answer(r) if r.status == 409) {
            self.set_job_state(ix, JobState::Doubtful);
        }
        match placed.own {
            true => self.reread_record(share),
            false => self.reread_job(ix),
        }
    }

    fn not_cancelled(&mut self, request: Option<RequestId>) {
        if let Some(id) = request {
            self.answer_busy(id)
        }
    }

    /// An abort of a job that the leader does not know, or without a leader.
    pub(crate) fn on_abort_read(&mut self, id: RequestId, job: String, outcome: Outcome) {
        let pair = match self.read_outcome(outcome) {
            Ok(Some(pair)) => pair,
            // Never accepted: nothing is invented for it.
            Ok(None) => return self.answer_error(id, 404, "no such job"),
            Err(()) => return self.answer_busy(id),
        };
        let Some(mut record) = decode::<JobRecord>(&pair.value) else {
            tracing::error!(job = %job, "the job's record can't be read; it is left as it is");
            return self.answer_busy(id);
        };
        if record.status != RecordedStatus::Live {
            return self.answer_record(id, &job, pair);
        }
        if self.leads() {
            return match self.adopt(&job, record, pair.revision) {
                Some(ix) => self.abort(id, ix),
                None => self.answer_busy(id),
            };
        }
        let now = self.context.now.steady_ms;
        if !self.record_writer.writes.take(now, ALONE_CHANGES, 0.0) {
            return self.answer_busy(id);
        }
        record.status = RecordedStatus::Aborted;
        record.end_within(self.value_most());
        let body = to_cbor(&Transaction {
            guards: vec![Guard { path: job_key(&job), revision: pair.revision }],
            apply: vec![
                Change::Set { set: job_key(&job), value: encode(&record), lease_id: None },
                Change::Set { set: handoff_key(&job), value: encode(&true), lease_id: None },
            ],
        });
        let pending = InFlight::AbortAlone { request: id, id: job };
        self.call_store("POST", "/multi".into(), body, pending);
    }

    pub(crate) fn on_abort_alone(&mut self, id: RequestId, job: String, outcome: Outcome) {
        match outcome {
            Outcome::Answer(r) if r.status == 200 => {
                self.note_store_answer();
                tracing::info!(job = %job, "aborted past the leader");
                self.on_abort_recorded(&job);
                self.notify_abort(&job);
                self.answer_terminal(id, &job, RecordedStatus::Aborted)
            }
            Outcome::Answer(r) if r.status != 409 => {
                self.on_store_throttled(r.status);
                self.answer_busy(id)
            }
            _ => self.answer_busy(id),
        }
    }

    /// Tells the others of an abort that stands on record, so that its tasks are stopped at once
    /// even by a leader that the state service does not answer. Nothing rests on its arrival: the
    /// note in the inbox and the horizon hold without it.
    fn notify_abort(&mut self, job: &str) {
        for at in 0..self.context.config.platform.siblings.len() {
            let mut message = self.mesh_message();
            let (method, path) = ("POST".to_string(), format!("{ABORTED_PATH}{job}"));
            message.forward = Some(Forward { method, path, body: Vec::new() });
            let (peer, timeout) = (Peer::Sibling(at), self.context.config.mesh_timeout_ms());
            let body = to_cbor(&message);
            self.call(peer, "POST", "/mesh".into(), body, timeout, InFlight::Told);
        }
    }

    /// A sibling says that a job's abort stands on record. It says so however late it comes.
    pub(crate) fn on_abort_notice(&mut self, id: RequestId, job: &str) {
        if !valid_job_id(job) {
            return self.answer_error(id, 400, "malformed ref");
        }
        self.proxy_learns_abort(job);
        self.on_abort_recorded(job);
        let body = to_cbor(&self.mesh_message());
        self.answer(id, Response::new(200, body));
    }

    /// An abort that others recorded stands; its stamp is read when needed.
    pub(crate) fn on_abort_recorded(&mut self, job: &str) {
        if let Some(ix) = self.jobs.find(job) {
            if self.jobs.get(ix).is_some_and(|j| j.state != JobState::Aborted) {
                self.set_job_state(ix, JobState::Aborted);
                self.reread_job(ix);
            }
        }
        self.learn_terminal_state(job, RecordedStatus::Aborted);
    }

    /// What was recorded past the leader.
    pub(crate) fn on_handoff_entry(
        &mut self,
        path: &str,
        value: &ciborium::value::Value,
        revision: u64,
    ) {
        let Some(job) = path.strip_prefix(HANDOFF_PREFIX).filter(|j| valid_job_id(j)) else {
            return;
        };
        let aborted = decode::<bool>(value).unwrap_or(false);
        self.record_writer.remove_note(path.to_string(), revision);
        if aborted {
            // The abort stands in the same transaction.
            self.on_abort_recorded(job);
        } else if self.jobs.find(job).is_none() {
            let pending = InFlight::InboxRead { job: job.to_string(), epoch: self.epoch() };
            self.call_store("GET", format!("/keys/{}", job_key(job)), Vec::new(), pending);
        }
    }

    pub(crate) fn tick_types(&mut self) {
        let now = self.context.now.steady_ms;
        let lag = (self.context.config.platform.params.cloud.list_lag_s * 1000.0) as u64;
        let every = match self.types_at_ms {
            None => 500,
            Some(_) if self.leads() => (lag * 5).max(10_000),
            Some(_) => (lag * 20).max(60_000),
        };
        if self.types_asked_ms == 0 || now >= self.types_asked_ms + every {
            self.types_asked_ms = now.max(1);
            let pending = InFlight::Types;
            self.call(Peer::Cloud, "GET", "/machine_types".into(), Vec::new(), 2000, pending);
        }
    }

    pub(crate) fn on_types(&mut self, outcome: Outcome) {
        let Outcome::Answer(r) = outcome else { return };
        if r.status != 200 {
            return;
        }
        let Ok(list) = from_cbor::<MachineTypes>(&r.body) else { return };
        let is_plausible = |a: f64| (0.0..1e9).contains(&a);
        if list.types.is_empty()
            || !list.types.iter().all(|t| {
                is_plausible(t.cpus)
                    && is_plausible(t.gpus)
                    && is_plausible(t.memory_gb)
                    && is_plausible(t.price)
                    && is_plausible(t.spot_price)
                    && is_plausible(t.boot_s)
                    && is_plausible(t.fetch_gb_per_s)
            })
        {
            return;
        }
        self.types = list.types;
        self.types_at_ms = Some(self.context.now.steady_ms);
        self.supply_changed = true;
    }

    /// Whether a job can ever run.
    pub(crate) fn verdict(&self, spec: &JobSpec) -> Verdict {
        let Some(team) =
            self.context.config.platform.params.teams.iter().find(|t| t.name == spec.team)
        else {
            return Verdict::Never("unknown team");
        };
        let counted = if spec.shape == JobKind::Array { 1.0 } else { spec.tasks as f64 };
        let over = |each: f64, limit: f64| limit > 0.0 && each * counted > limit + 1e-6;
        if over(spec.cpus, team.cpus_max) || over(spec.gpus, team.gpus_max) {
            return Verdict::Never("the job needs more than the team's limit");
        }
        if self.types_at_ms.is_none() {
            return Verdict::Unknown;
        }
        let fits = |t: &&MachineType| {
            spec.types.as_ref().is_none_or(|names| names.contains(&t.name))
                && t.cpus + 1e-6 >= spec.cpus
                && t.gpus + 1e-6 >= spec.gpus
                && t.memory_gb + 1e-6 >= spec.memory_gb
        };
        let allowed = |z: &&String| spec.zone.as_ref().is_none_or(|zone| zone == *z);
        let zones: BTreeSet<&String> =
            self.types.iter().filter(fits).flat_map(|t| &t.zones).filter(allowed).collect();
        if zones.is_empty() {
            return Verdict::Never("a task fits no allowed machine type");
        }
        // What runs all at once needs a second zone for the other half; an array goes on with
        // what may run.
        let at_once = spec.shape != JobKind::Array && spec.tasks > 1;
        if at_once && spec.spread && (spec.together || zones.len() < 2) {
            return Verdict::Never("its tasks may not all be in the only zone that they may be in");
        }
        Verdict::Fits
    }
}

impl UserRequest {
    fn id(&self) -> &str {
        match self {
            UserRequest::Submit(spec, _) => &spec.id,
            UserRequest::Malformed { job, .. } => job,
            UserRequest::Poll(id) | UserRequest::Abort(id) => id,
        }
    }
}

/// The job that a malformed submission names, if it names one.
fn named_job(body: &[u8]) -> Option<String> {
    let map = from_cbor::<ciborium::value::Value>(body).ok()?.into_map().ok()?;
    let named = map.into_iter().find(|(key, _)| key.as_text() == Some("ref"))?.1;
    named.into_text().ok().filter(|id| valid_job_id(id))
}

fn parse_job(body: &[u8]) -> Result<JobSpec, String> {
    let spec: JobSpec = from_cbor(body).map_err(|e| e.to_string())?;
    spec.check().map_err(|error| error.to_string())?;
    Ok(spec)
}
