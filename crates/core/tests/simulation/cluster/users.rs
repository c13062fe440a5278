//! The users: their requests and retries, the answers that they receive, and the invariants of
//! those answers.

use super::clock::SimulationEvent;
use super::invariants::AbortConfirmation;
use super::network::Requester;
use super::{job, Cluster, Milestone, ABORT_DEADLINE_MS};
use ciborium::value::Value;
use quartzgate_core::Event;
use quartzgate_wire::http::{Request, Response};
use quartzgate_wire::msg::{JobAnswer, JobKind, JobSpec, JobStatus};
use quartzgate_wire::{from_cbor, to_cbor};
use rand::Rng;
use std::collections::BTreeMap;

/// Path to which jobs are submitted.
const SUBMIT_PATH: &str = "/api/jobs";
/// Time after which a user ignores the answer to a query.
const QUERY_TIMEOUT_MS: u64 = 2_000;
/// Time after which a user ignores the answer to any other request.
const REQUEST_TIMEOUT_MS: u64 = 5_000;
/// Time for which a user retries a request at one controller after another.
const RETRY_DURATION_MS: u64 = 60_000;

/// A user's request and its answer.
pub struct UserRequest {
    node: usize,
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    /// Job status that users had been told when the request was sent.
    status_before: Option<JobStatus>,
    sent_ms: u64,
    pub answer: Option<Response>,
}

impl UserRequest {
    fn is_submission(&self) -> bool {
        self.path == SUBMIT_PATH
    }

    fn timeout_ms(&self) -> u64 {
        if self.method == "GET" {
            QUERY_TIMEOUT_MS
        } else {
            REQUEST_TIMEOUT_MS
        }
    }
}

/// Returns the id of the job that a request concerns, also if the submission is malformed.
fn job_in(path: &str, body: &[u8]) -> Option<String> {
    if path != SUBMIT_PATH {
        return path.split('/').nth(3).map(String::from);
    }
    let map = from_cbor::<Value>(body).ok()?.into_map().ok()?;
    let named = map.into_iter().find(|(key, _)| key.as_text() == Some("ref"))?.1;
    named.into_text().ok()
}

fn is_terminal(status: Option<JobStatus>) -> bool {
    matches!(status, Some(JobStatus::Done | JobStatus::Aborted))
}

impl Cluster {
    // Requests. Each function returns the index of its request in `user_requests`.

    pub fn send_request(
        &mut self,
        node: usize,
        method: &'static str,
        path: &str,
        body: Vec<u8>,
    ) -> usize {
        let request_index = self.user_requests.len();
        let job = job_in(path, &body);
        let status_before = job.and_then(|id| self.observed_status.get(&id).copied());
        self.user_requests.push(UserRequest {
            node,
            method,
            path: path.into(),
            body,
            status_before,
            sent_ms: self.now,
            answer: None,
        });
        let event =
            SimulationEvent::UserRequestArrives { node, request_index: request_index as u64 };
        self.schedule_after(1, event);
        request_index
    }

    pub fn submit(&mut self, node: usize, spec: &JobSpec) -> usize {
        self.jobs.insert(spec.id.clone(), spec.clone());
        self.send_request(node, "POST", SUBMIT_PATH, to_cbor(spec))
    }

    pub fn abort(&mut self, node: usize, id: &str) -> usize {
        self.abort_requested.insert(id.to_string());
        self.send_request(node, "POST", &format!("/api/jobs/{id}/abort"), Vec::new())
    }

    pub fn query(&mut self, node: usize, id: &str) -> usize {
        self.send_request(node, "GET", &format!("/api/jobs/{id}"), Vec::new())
    }

    /// Returns the status code of the answer to a request; 0 if there is no answer yet.
    pub fn status_code(&self, request_index: usize) -> u16 {
        self.user_requests[request_index].answer.as_ref().map_or(0, |answer| answer.status)
    }

    // Retries and waits.

    /// Submits a job to one controller after another until it is accepted.
    pub fn submit_until_accepted(&mut self, spec: &JobSpec) {
        let submit = |cluster: &mut Cluster, node| cluster.submit(node, spec);
        self.retry_until(RETRY_DURATION_MS, submit, |status| status == 200 || status == 201);
    }

    /// Requests the abort of a job from one controller after another until it is confirmed.
    pub fn abort_until_confirmed(&mut self, id: &str) {
        let abort = |cluster: &mut Cluster, node| cluster.abort(node, id);
        self.retry_until(RETRY_DURATION_MS, abort, |status| status == 200);
    }

    /// Sends a request to one controller after another until `is_wanted` accepts the status code.
    pub fn retry_until(
        &mut self,
        within_ms: u64,
        mut request: impl FnMut(&mut Cluster, usize) -> usize,
        is_wanted: impl Fn(u16) -> bool,
    ) {
        let end_ms = self.now + within_ms;
        let mut node = 0;
        while self.now < end_ms {
            let request_index = request(self, node);
            self.run_for_ms(1_200);
            if is_wanted(self.status_code(request_index)) {
                return;
            }
            node = (node + 1) % self.nodes.len();
        }
        panic!("no accepted answer within {within_ms} ms; violations: {:?}", self.violations);
    }

    /// Runs until `holds` returns true; panics if it does not within `within_ms`.
    pub fn run_until(
        &mut self,
        within_ms: u64,
        condition: &str,
        mut holds: impl FnMut(&Cluster) -> bool,
    ) {
        let end_ms = self.now + within_ms;
        while self.now < end_ms {
            if holds(self) {
                return;
            }
            self.run_for_ms(20);
        }
        panic!("{condition}: not within {within_ms} ms; violations: {:?}", self.violations);
    }

    /// Runs until exactly `tasks` tasks of a job are live on machines.
    pub fn run_until_running(&mut self, within_ms: u64, id: &str, tasks: usize) {
        let condition = format!("{tasks} tasks of {id} run");
        self.run_until(within_ms, &condition, |cluster| cluster.live_tasks(id).len() == tasks);
    }

    /// Runs and queries a job every half second until a user is told that it is done.
    pub fn run_until_done(&mut self, id: &str, within_ms: u64) {
        let end_ms = self.now + within_ms;
        let mut node = 0;
        while self.now < end_ms {
            self.query(node, id);
            self.run_for_ms(500);
            if self.observed_status.get(id) == Some(&JobStatus::Done) {
                return;
            }
            node = (node + 1) % self.nodes.len();
        }
        panic!(
            "{id} not done within {within_ms} ms; {:?}; violations {:?}",
            self.completed_tasks.get(id),
            self.violations
        );
    }

    // State derived from the users' requests.

    /// Returns the direct and indirect dependencies of a job.
    pub fn transitive_dependencies(&self, id: &str) -> Vec<String> {
        let (mut found, mut open) = (Vec::new(), vec![id.to_string()]);
        while let Some(next) = open.pop() {
            for dependency in self.jobs.get(&next).into_iter().flat_map(|job| &job.dependencies) {
                if !found.contains(dependency) {
                    found.push(dependency.clone());
                    open.push(dependency.clone());
                }
            }
        }
        found
    }

    /// Returns whether the abort of a job or of one of its direct or indirect dependencies was
    /// requested.
    pub fn abort_was_requested(&self, id: &str) -> bool {
        let dependencies = self.transitive_dependencies(id);
        dependencies.iter().any(|id| self.abort_requested.contains(id))
            || self.abort_requested.contains(id)
    }

    /// Returns whether an accepted job is done or, for a service, runs with all its replicas.
    pub fn is_done_or_running(&self, id: &str) -> bool {
        let spec = &self.jobs[id];
        match spec.kind {
            JobKind::Service => self.live_tasks(id).len() as u32 == spec.tasks,
            _ => self.observed_status[id] == JobStatus::Done,
        }
    }

    // Users who react immediately to changes.

    /// Queries a job and submits it again at all controllers.
    fn query_everywhere(&mut self, id: &str) {
        let spec = self.jobs.get(id).cloned();
        for node in 0..self.nodes.len() {
            self.query(node, id);
            if let Some(spec) = &spec {
                self.send_request(node, "POST", SUBMIT_PATH, to_cbor(spec));
            }
        }
    }

    /// Handles the completion of a job's last task.
    pub(super) fn on_last_task_ended(&mut self, id: &str) {
        self.record_milestone(Milestone::LastTaskEnded);
        if !self.observed_status.contains_key(id) {
            return;
        }
        if self.abort_at_completion > 0.0 && self.rng.random_bool(self.abort_at_completion) {
            let node = self.rng.random_range(0..self.nodes.len());
            self.abort(node, id);
        }
        if self.query_on_change {
            self.query_everywhere(id);
        }
    }

    // Repeated and invalid requests.

    /// Sends one of these at random: a repeated submission of a job that is not aborted, the abort
    /// of a job that is done, a job that fits no machine, or a submission that lacks a field.
    pub fn send_repeated_or_invalid_request(&mut self, node: usize) {
        let observed: Vec<(String, JobStatus)> =
            self.observed_status.iter().map(|(id, status)| (id.clone(), *status)).collect();
        let kind = self.rng.random_range(0..6u32);
        let one = (!observed.is_empty())
            .then(|| observed[self.rng.random_range(0..observed.len())].clone());
        match (kind, one) {
            (0 | 1, Some((id, status))) => {
                let mut spec = self.jobs[&id].clone();
                if kind == 1 {
                    // A submission with a known id counts as a repetition even if its other fields
                    // differ.
                    (spec.cpus, spec.team) = (1_000.0, "nobody".into());
                }
                if !matches!(status, JobStatus::Aborted) {
                    self.send_request(node, "POST", SUBMIT_PATH, to_cbor(&spec));
                }
            }
            (2, Some((id, JobStatus::Done))) => drop(self.abort(node, &id)),
            (3, _) => drop(self.submit_unrunnable(node, |spec| spec.cpus = 64.0)),
            (4, _) => drop(self.submit_unrunnable(node, |spec| spec.zone = Some("nowhere".into()))),
            _ => drop(self.submit_without_field(node, "vcpus")),
        }
    }

    fn next_refused_spec(&mut self, status: u16) -> JobSpec {
        let id = format!("wk-9{:06}", self.must_refuse.len());
        self.must_refuse.insert(id.clone(), status);
        job(&id, JobKind::Array, 1)
    }

    /// Submits a job that `change` makes impossible to run; it must be refused with 422.
    pub fn submit_unrunnable(&mut self, node: usize, change: impl Fn(&mut JobSpec)) -> usize {
        let mut spec = self.next_refused_spec(422);
        change(&mut spec);
        self.send_request(node, "POST", SUBMIT_PATH, to_cbor(&spec))
    }

    /// Submits a job without one of its fields; it must be refused with 400.
    pub fn submit_without_field(&mut self, node: usize, field: &str) -> usize {
        let spec = self.next_refused_spec(400);
        let body = to_cbor(&spec_without_field(&spec, field));
        self.send_request(node, "POST", SUBMIT_PATH, body)
    }

    // Answers.

    /// Returns whether a controller rejects a request because it sheds load: one about jobs that is
    /// not an abort.
    pub(super) fn is_shed(&self, node: usize, request: &Request) -> bool {
        let names_jobs = |text: &[u8]| text.windows(9).any(|part| part == b"/api/jobs");
        let aborts = |text: &[u8]| text.windows(6).any(|part| part == b"/abort");
        let target = request.target.as_bytes();
        self.shedding_controllers.contains(&node)
            && (names_jobs(target) || names_jobs(&request.body))
            && !aborts(target)
            && !aborts(&request.body)
    }

    /// Answers a request with 503 before the controller's core receives it.
    pub(super) fn shed_request(&mut self, node: usize, id: u64) {
        let mut response = Response::new(503, Vec::new());
        response.retry_after_s = Some(1);
        self.on_controller_answer(node, self.incarnations[node], id, response);
    }

    /// Queries each of these jobs once per `interval_ms` at a random one of these controllers;
    /// returns the longest time for which the queries of one job remained unanswered.
    pub fn longest_unanswered_ms(
        &mut self,
        ids: &[String],
        nodes: &[usize],
        interval_ms: u64,
        duration_ms: u64,
    ) -> u64 {
        let end_ms = self.now + duration_ms;
        let mut unanswered_since: BTreeMap<usize, u64> = BTreeMap::new();
        let mut longest_ms = 0;
        while self.now < end_ms {
            let mut sent = Vec::with_capacity(ids.len());
            let round_ends_ms = self.now + interval_ms;
            for (index, id) in ids.iter().enumerate() {
                let due_ms =
                    round_ends_ms - interval_ms * (ids.len() - index) as u64 / ids.len() as u64;
                self.run_for_ms(due_ms.saturating_sub(self.now));
                let node = nodes[self.rng.random_range(0..nodes.len())];
                unanswered_since.entry(index).or_insert(self.now);
                sent.push(self.query(node, id));
            }
            self.run_for_ms(QUERY_TIMEOUT_MS);
            for (index, request) in sent.into_iter().enumerate() {
                if self.status_code(request) == 200 {
                    if let Some(since_ms) = unanswered_since.remove(&index) {
                        longest_ms = longest_ms.max(self.user_requests[request].sent_ms - since_ms);
                    }
                }
            }
        }
        let open_ms = unanswered_since.into_values().map(|since_ms| self.now - since_ms).max();
        longest_ms.max(open_ms.unwrap_or(0))
    }

    /// Delivers a user's request to a controller.
    pub(super) fn deliver_user_request(&mut self, node: usize, request_index: u64) {
        if !self.is_up(node) {
            return;
        }
        let sent = &self.user_requests[request_index as usize];
        let request = Request {
            method: sent.method.into(),
            target: sent.path.clone(),
            body: sent.body.clone(),
            close: false,
        };
        let id = self.register_request(node, Requester::User(request_index));
        if self.is_shed(node, &request) {
            return self.shed_request(node, id);
        }
        self.handle_event(node, Event::Client { id, request });
    }

    /// Handles the answer to a user's request and checks its invariants.
    pub(super) fn on_user_answer(&mut self, request_index: usize, response: Response) {
        let request = &self.user_requests[request_index];
        if self.now > request.sent_ms + request.timeout_ms() {
            return;
        }
        let id = job_in(&request.path, &request.body).unwrap_or_default();
        let is_submission = request.is_submission();
        let status_before = request.status_before;
        if response.status == 503 && response.retry_after_s.is_none() {
            self.violation("a 503 without Retry-After".into());
        }
        self.check_refusal(is_submission, &id, response.status);
        let is_known = self.observed_status.contains_key(&id);
        match response.status {
            200 | 201 => {
                if let Ok(answer) = from_cbor::<JobAnswer>(&response.body) {
                    self.on_job_answer(request_index, &id, answer.status);
                }
            }
            // A request that was sent before the submission was answered may be decided before
            // the submission.
            404 if is_known && status_before.is_none() && !is_submission => {}
            404 | 400 | 422 if is_known => {
                self.violation(format!("forgotten {id}: {}", response.status))
            }
            _ => {}
        }
        self.user_requests[request_index].answer = Some(response);
    }

    /// Handles an answer that tells a user the status of a job.
    fn on_job_answer(&mut self, request_index: usize, id: &str, status: JobStatus) {
        let known = self.observed_status.get(id).copied();
        self.check_job_answer(request_index, id, status);
        if status == JobStatus::Aborted {
            self.on_abort_confirmed(self.user_requests[request_index].node, id);
        }
        if is_terminal(known) && is_terminal(Some(status)) && known != Some(status) {
            self.violation(format!("went_back {id}: {known:?} and {:?}", Some(status)));
        }
        if !is_terminal(known) {
            self.observed_status.insert(id.into(), status);
        }
        let is_news = known.is_none() || is_terminal(known) != is_terminal(Some(status));
        if is_news && self.query_on_change {
            self.query_everywhere(id);
        }
    }

    /// Checks that the status a user is told is correct and not older than the status that users
    /// had been told before the request.
    fn check_job_answer(&mut self, request_index: usize, id: &str, status: JobStatus) {
        if !self.jobs.contains_key(id) {
            self.violation(format!("invented {id}"));
        }
        let before = self.user_requests[request_index].status_before;
        if is_terminal(before) && before != Some(status) {
            self.violation(format!("went_back {id}: {before:?} then {status:?}"));
        }
        if status == JobStatus::Done {
            let all = self.jobs.get(id).map_or(0, |job| job.tasks as usize);
            if self.completed_tasks.get(id).map_or(0, |completed| completed.len()) < all {
                self.violation(format!("not_done {id}"));
            }
        }
        let dependencies = self.transitive_dependencies(id);
        let aborted = dependencies.iter().filter_map(|id| self.abort_confirmed_at.get(id)).min();
        let is_open = matches!(status, JobStatus::Queued | JobStatus::Running);
        if is_open && aborted.is_some_and(|at| self.now > at + ABORT_DEADLINE_MS) {
            self.violation(format!("orphaned {id}: {status:?}"));
        }
        if status == JobStatus::Aborted && !self.abort_was_requested(id) {
            self.violation(format!("went_back {id}: its abort was not requested"));
        }
    }

    /// Handles the confirmation of an abort. The job's tasks must have ended `cancel_s` after the
    /// first confirmation, which is checked to the millisecond.
    fn on_abort_confirmed(&mut self, node: usize, id: &str) {
        let (incarnation, job) = (self.incarnations[node], id.to_string());
        self.abort_confirmed_by.insert(AbortConfirmation { node, incarnation, job });
        if !self.abort_confirmed_at.contains_key(id) {
            self.abort_confirmed_at.insert(id.into(), self.now);
            self.record_milestone(Milestone::AbortConfirmed);
            let deadline = SimulationEvent::AbortDeadline { job: id.into() };
            self.schedule_after(ABORT_DEADLINE_MS + 1, deadline);
        }
    }

    /// Checks that a submission that cannot run (422) or is malformed (400) is never accepted and
    /// is refused with the appropriate status code; 429 and 503 are allowed at any time.
    fn check_refusal(&mut self, is_submission: bool, id: &str, status: u16) {
        let Some(wanted) = self.must_refuse.get(id).copied() else { return };
        if is_submission && status != wanted && !matches!(status, 429 | 503) {
            self.violation(format!("{id} must be refused with {wanted} but got {status}"));
        }
    }
}

/// Returns a submission as a CBOR map without one of its fields.
pub fn spec_without_field(spec: &JobSpec, field: &str) -> Value {
    let value = Value::serialized(spec).unwrap();
    let Ok(mut map) = value.into_map() else { unreachable!("a job is a map") };
    map.retain(|(key, _)| key.as_text() != Some(field));
    Value::Map(map)
}
