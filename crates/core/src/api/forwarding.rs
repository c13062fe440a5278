//! Forwards users' requests to the leader, or to a peer that has access to the key-value store.

use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{Forward, JobAnswer, JobStatus};
use quartzgate_wire::{from_cbor, to_cbor};

use crate::controller::Controller;
use crate::in_flight::InFlight;
use crate::storage::records::RecordedStatus;
use crate::{Outcome, Peer, RequestId};

use super::UserRequest;

/// Number of forwarded requests that the peer did not decide, by the outcome of the call.
#[derive(Debug, Default)]
pub(crate) struct ForwardFailures {
    /// The peer answered without a decision.
    refused: u64,
    /// The call ended without an answer.
    lost: u64,
    not_sent: u64,
}

impl ForwardFailures {
    fn count(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::Answer(_) => self.refused += 1,
            Outcome::Lost => self.lost += 1,
            Outcome::NotSent => self.not_sent += 1,
        }
    }

    fn name(outcome: &Outcome) -> &'static str {
        match outcome {
            Outcome::Answer(_) => "refused",
            Outcome::Lost => "lost",
            Outcome::NotSent => "not_sent",
        }
    }

    /// Returns the counts that are not 0, by metric name.
    pub fn metrics(&self) -> impl Iterator<Item = (String, f64)> {
        let counts = [("refused", self.refused), ("lost", self.lost), ("not_sent", self.not_sent)];
        let occurred = counts.into_iter().filter(|(_, count)| *count > 0);
        occurred.map(|(name, count)| (format!("forward_failed.{name}"), count as f64))
    }
}

/// Returns the message part that carries a user's request to a peer.
fn forwarded_request(user_request: &UserRequest) -> Forward {
    let (method, path, body) = match user_request {
        UserRequest::Submit(_, body) | UserRequest::Malformed { body, .. } => {
            ("POST", "/api/jobs".to_string(), body.clone())
        }
        UserRequest::Poll(job) => ("GET", format!("/api/jobs/{job}"), Vec::new()),
        UserRequest::Abort(job) => ("POST", format!("/api/jobs/{job}/abort"), Vec::new()),
    };
    Forward { method: method.into(), path, body }
}

impl Controller {
    /// Forwards a request to a peer. The peer decides it, and this controller relays the answer.
    pub(super) fn forward(&mut self, id: RequestId, sibling: usize, user_request: UserRequest) {
        let mut message = self.mesh_message();
        message.forward = Some(forwarded_request(&user_request));
        let body = to_cbor(&message);
        let timeout_ms = self.context.config.forward_timeout_ms();
        let call = InFlight::Forward { request: id, sibling, user_request: Box::new(user_request) };
        self.call(Peer::Sibling(sibling), "POST", "/mesh".into(), body, timeout_ms, call);
    }

    /// Relays the answer of a peer to the user, or decides the request without the leader if the
    /// peer gave no decision.
    pub(crate) fn on_forwarded(
        &mut self,
        id: RequestId,
        sibling: usize,
        user_request: UserRequest,
        outcome: Outcome,
    ) {
        match outcome {
            Outcome::Answer(answer) if matches!(answer.status, 200 | 201 | 404 | 422) => {
                self.on_forwarded_answer(id, &user_request, answer)
            }
            // The leader has no writes left in the rate limit, so there are none without the leader
            // either.
            Outcome::Answer(answer) if answer.status == 429 => {
                let mut response = Response::new(429, answer.body);
                response.retry_after_s = answer.retry_after_s.or(Some(1));
                self.answer(id, response);
            }
            // The peer could not decide the request or was not reached; it is decided from the
            // records in the key-value store.
            undecided @ (Outcome::Answer(_) | Outcome::Lost | Outcome::NotSent) => {
                self.forward_failures.count(&undecided);
                let outcome = ForwardFailures::name(&undecided);
                tracing::debug!(sibling, outcome, "a forwarded request got no decision");
                self.decide_without_leader(id, user_request, true)
            }
        }
    }

    fn on_forwarded_answer(&mut self, id: RequestId, user_request: &UserRequest, answer: Response) {
        if let Ok(job) = from_cbor::<JobAnswer>(&answer.body) {
            self.learn_from_answer(&job);
        }
        // This controller may have learned of the job's end while the request was forwarded.
        if let Some(status) = self.terminal_jobs.get(user_request.job_id()) {
            return self.answer_terminal(id, user_request.job_id(), status);
        }
        let mut response = Response::new(answer.status, answer.body);
        response.retry_after_s = answer.retry_after_s;
        self.answer(id, response);
    }

    fn learn_from_answer(&mut self, job: &JobAnswer) {
        match job.status {
            JobStatus::Done => self.learn_terminal_state(&job.id, RecordedStatus::Done),
            // This controller may have become the leader since and read the record before the
            // abort.
            JobStatus::Aborted => {
                self.on_abort_recorded(&job.id);
                self.learn_confirmed_abort(&job.id);
            }
            _ => {}
        }
    }
}
