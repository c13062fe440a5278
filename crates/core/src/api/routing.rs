//! Parses users' requests and selects how they are decided: by this controller as the leader, by
//! the leader to which they are forwarded, or by this controller from the key-value store alone.

use quartzgate_feature_gates::Feature;
use quartzgate_wire::from_cbor;
use quartzgate_wire::http::{Request, Response};
use quartzgate_wire::msg::{valid_job_id, JobSpec};

use crate::api::refusal::RefusalReason;
use crate::controller::Controller;
use crate::in_flight::InFlight;
use crate::latency::LatencySpan;
use crate::RequestId;

/// Path prefix of all requests about jobs.
const JOBS_PATH: &str = "/api/jobs";

/// A parsed request of a user.
#[derive(Clone, Debug)]
pub(crate) enum UserRequest {
    /// A submission: the parsed job and the unchanged body, which is sent on when forwarding.
    Submit(Box<JobSpec>, Vec<u8>),
    /// An invalid submission that contains a valid job id. It is rejected unless the job is known.
    Malformed {
        job: String,
        /// Text of the reason in the response body.
        reason: String,
        /// The unchanged body, which is sent on when forwarding.
        body: Vec<u8>,
    },
    /// A status query for the job of this id.
    Poll(String),
    /// A request to abort the job of this id.
    Abort(String),
}

impl UserRequest {
    /// Returns the id of the job that the request is about.
    pub(super) fn job_id(&self) -> &str {
        match self {
            UserRequest::Submit(spec, _) => &spec.id,
            UserRequest::Malformed { job, .. } => job,
            UserRequest::Poll(id) | UserRequest::Abort(id) => id,
        }
    }

    fn latency_span(&self) -> LatencySpan {
        match self {
            UserRequest::Submit(..) | UserRequest::Malformed { .. } => LatencySpan::Submit,
            UserRequest::Poll(_) => LatencySpan::Poll,
            UserRequest::Abort(_) => LatencySpan::Abort,
        }
    }

    fn has_dependencies(&self) -> bool {
        matches!(self, UserRequest::Submit(spec, _) if !spec.dependencies.is_empty())
    }
}

/// Reasons for which a request can't be parsed. The texts are part of the interface.
#[derive(Debug, thiserror::Error)]
enum InvalidRequest {
    #[error("no such path")]
    UnknownPath,
    #[error("method not allowed")]
    MethodNotAllowed,
    #[error("malformed ref")]
    MalformedJobId,
    #[error("{0}")]
    MalformedSubmission(String),
}

impl InvalidRequest {
    fn status(&self) -> u16 {
        match self {
            InvalidRequest::UnknownPath => 404,
            InvalidRequest::MethodNotAllowed => 405,
            InvalidRequest::MalformedJobId | InvalidRequest::MalformedSubmission(_) => 400,
        }
    }
}

fn parse_user_request(
    method: &str,
    path: &str,
    body: Vec<u8>,
) -> Result<UserRequest, InvalidRequest> {
    let subpath = path.strip_prefix(JOBS_PATH).ok_or(InvalidRequest::UnknownPath)?;
    let segments: Vec<&str> = subpath.split('/').skip(1).collect();
    match (method, subpath.is_empty(), segments.as_slice()) {
        ("POST", true, _) => parse_submission(body),
        (_, true, _) => Err(InvalidRequest::MethodNotAllowed),
        ("GET", _, [job]) => parse_job_id(job).map(UserRequest::Poll),
        ("POST", _, [job, "abort"]) => parse_job_id(job).map(UserRequest::Abort),
        (_, _, [_] | [_, "abort"]) => Err(InvalidRequest::MethodNotAllowed),
        _ => Err(InvalidRequest::UnknownPath),
    }
}

fn parse_job_id(job: &str) -> Result<String, InvalidRequest> {
    if valid_job_id(job) {
        Ok(job.to_string())
    } else {
        Err(InvalidRequest::MalformedJobId)
    }
}

fn parse_submission(body: Vec<u8>) -> Result<UserRequest, InvalidRequest> {
    match parse_job_spec(&body) {
        Ok(spec) => Ok(UserRequest::Submit(Box::new(spec), body)),
        Err(reason) => match extract_job_id(&body) {
            Some(job) => Ok(UserRequest::Malformed { job, reason, body }),
            None => Err(InvalidRequest::MalformedSubmission(reason)),
        },
    }
}

/// Returns the job in a submission's body, or the reason for which it is invalid.
fn parse_job_spec(body: &[u8]) -> Result<JobSpec, String> {
    let spec: JobSpec = from_cbor(body).map_err(|error| error.to_string())?;
    spec.check().map_err(|error| error.to_string())?;
    Ok(spec)
}

/// Returns the job id in a malformed submission, if there is a valid one.
fn extract_job_id(body: &[u8]) -> Option<String> {
    let map = from_cbor::<ciborium::value::Value>(body).ok()?.into_map().ok()?;
    let job_id = map.into_iter().find(|(key, _)| key.as_text() == Some("ref"))?.1;
    job_id.into_text().ok().filter(|id| valid_job_id(id))
}

impl Controller {
    /// Handles a request of a worker's agent or a user, as opposed to one of another controller.
    pub(crate) fn on_client_request(&mut self, id: RequestId, request: Request) {
        let path = request.target.split('?').next().unwrap_or("");
        match (request.method.as_str(), path) {
            ("POST", "/checkin") => self.on_heartbeat(id, request.body, None),
            ("GET", "/ready") => self.answer_readiness(id),
            (_, "/checkin" | "/ready") => self.answer_error(id, 405, "method not allowed"),
            (method, path) => {
                let (method, path) = (method.to_string(), path.to_string());
                self.on_user_request(id, &method, &path, request.body, false)
            }
        }
    }

    fn answer_readiness(&mut self, id: RequestId) {
        if self.ready() {
            self.answer(id, Response::new(200, Vec::new()))
        } else {
            self.answer_unavailable(id, RefusalReason::NotReady)
        }
    }

    /// Handles a user's request, received from the user or, if `is_forwarded`, from a peer.
    pub(crate) fn on_user_request(
        &mut self,
        id: RequestId,
        method: &str,
        path: &str,
        body: Vec<u8>,
        is_forwarded: bool,
    ) {
        let user_request = match parse_user_request(method, path, body) {
            Ok(user_request) => user_request,
            Err(error) => return self.answer_error(id, error.status(), &error.to_string()),
        };
        self.context.latencies.begin(id, user_request.latency_span(), self.context.now.steady_ms);
        // A forwarded query is tracked by the controller that received it from the user.
        if let (UserRequest::Poll(job), false) = (&user_request, is_forwarded) {
            self.query_tracker.on_query(id, job, self.context.now.steady_ms);
        }
        if let Some(status) = self.terminal_jobs.get(user_request.job_id()) {
            return self.answer_terminal(id, user_request.job_id(), status);
        }
        // The first version drops dependencies, so a job with dependencies is accepted only once no
        // controller of that version can become the leader.
        if user_request.has_dependencies() && !self.is_active(Feature::JobDependencies) {
            return self.answer_unavailable(id, RefusalReason::FeatureInactive);
        }
        if self.leads() {
            return self.decide_as_leader(id, user_request);
        }
        // A leader that has missed a heartbeat may not answer, which would keep the user waiting.
        let leader = self.live_leader_index().filter(|_| !self.leader_missed_heartbeat());
        match leader.filter(|_| !is_forwarded) {
            Some(sibling) => self.forward(id, sibling, user_request),
            None => self.decide_without_leader(id, user_request, is_forwarded),
        }
    }

    fn decide_as_leader(&mut self, id: RequestId, user_request: UserRequest) {
        match user_request {
            UserRequest::Submit(spec, _) => self.submit_to_leader(id, *spec),
            UserRequest::Malformed { job, reason, .. } => {
                if !self.answer_if_submitted(id, &job) {
                    self.reject_unless_known(id, job, 400, &reason)
                }
            }
            UserRequest::Poll(job) => self.query_status(id, job),
            UserRequest::Abort(job) => match self.jobs.find(&job) {
                Some(job_index) => self.abort_job(id, job_index),
                None => self.read_job_to_abort(id, job),
            },
        }
    }

    /// Decides a request from the key-value store alone. If this controller can't reach the store,
    /// forwards the request to a peer that can, unless it was forwarded before (`is_forwarded`).
    pub(super) fn decide_without_leader(
        &mut self,
        id: RequestId,
        user_request: UserRequest,
        is_forwarded: bool,
    ) {
        if !self.store_reachable() {
            if let (false, Some(sibling)) = (is_forwarded, self.peer_with_store()) {
                return self.forward(id, sibling, user_request);
            }
            return self.answer_unavailable(id, RefusalReason::StoreUnreachable);
        }
        // Records that a later version may have written are neither read nor changed: the active
        // format must be known and supported.
        if !self.knows_format() {
            return self.answer_unavailable(id, RefusalReason::FeatureInactive);
        }
        match user_request {
            UserRequest::Submit(spec, _) => self.submit_unknown_job(id, *spec),
            UserRequest::Malformed { job, reason, .. } => {
                self.reject_unless_known(id, job, 400, &reason)
            }
            UserRequest::Poll(job) => self.query_status(id, job),
            UserRequest::Abort(job) => self.read_job_to_abort(id, job),
        }
    }

    fn read_job_to_abort(&mut self, id: RequestId, job: String) {
        self.read_job(id, &job, InFlight::AbortRead { request: id, id: job.clone() })
    }
}
