//! Reads job records for users' requests, and answers the requests from them.

use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{JobAnswer, JobStatus, KeyValue};
use quartzgate_wire::{from_cbor, to_cbor};

use crate::api::refusal::RefusalReason;
use crate::controller::Controller;
use crate::in_flight::InFlight;
use crate::storage::read_budget::ReadPurpose;
use crate::storage::records::{decode, JobRecord, RecordedStatus};
use crate::{Outcome, RequestId};

use super::status_queries::live_answer;

impl Controller {
    /// Reads a job's record for a request, or refuses the request if the store's rate limit allows
    /// no read now.
    pub(crate) fn read_job(&mut self, id: RequestId, job: &str, pending: InFlight) {
        if !self.may_read(ReadPurpose::Request) {
            return self.answer_unavailable(id, RefusalReason::ReadLimit);
        }
        self.look_up(job, pending);
    }

    /// Interprets the outcome of reading a record: `Ok(None)` if the record does not exist, an
    /// error if the read does not show whether it does.
    pub(crate) fn read_outcome(&mut self, outcome: Outcome) -> Result<Option<KeyValue>, ()> {
        match outcome {
            Outcome::Answer(answer) if answer.status == 200 => {
                self.note_store_answer();
                from_cbor::<KeyValue>(&answer.body).map(Some).map_err(|_| ())
            }
            Outcome::Answer(answer) if answer.status == 404 => {
                self.note_store_answer();
                Ok(None)
            }
            Outcome::Answer(answer) => {
                self.on_store_throttled(answer.status);
                Err(())
            }
            Outcome::Lost | Outcome::NotSent => Err(()),
        }
    }

    /// Answers the status queries for a job from the record that was read for them.
    pub(crate) fn on_status_read(
        &mut self,
        requests: Vec<RequestId>,
        job: String,
        outcome: Outcome,
    ) {
        match self.read_outcome(outcome) {
            Ok(None) => requests.into_iter().for_each(|id| self.answer_unrecorded(id, &job)),
            Ok(Some(pair)) => {
                requests.into_iter().for_each(|id| self.answer_record(id, &job, pair.clone()))
            }
            Err(()) => {
                let refuse = |id| self.answer_unavailable(id, RefusalReason::StoreFailed);
                requests.into_iter().for_each(refuse)
            }
        }
    }

    /// Answers a status query for a job without a record. The job may have been accepted, or may
    /// have ended, while the record was being read.
    fn answer_unrecorded(&mut self, id: RequestId, job: &str) {
        match (self.terminal_jobs.get(job), self.jobs.find(job)) {
            (Some(status), _) => self.answer_terminal(id, job, status),
            (None, Some(_)) => self.answer_unavailable(id, RefusalReason::RecordInFlight),
            (None, None) => self.answer_error(id, 404, "no such job"),
        }
    }

    /// Answers with the state in a job's record and, on the leader, the task counts in memory.
    pub(super) fn answer_record(&mut self, id: RequestId, job: &str, pair: KeyValue) {
        let Some(record) = decode::<JobRecord>(&pair.value) else {
            log_unreadable_record(job);
            return self.answer_unavailable(id, RefusalReason::RecordUnreadable);
        };
        // This controller may have learned of the job's end while the read was in flight.
        if let Some(status) = self.terminal_jobs.get(job) {
            return self.answer_terminal(id, job, status);
        }
        match record.status {
            RecordedStatus::Live => self.answer_live_record(id, job, record, pair.revision),
            terminal => {
                if terminal == RecordedStatus::Aborted {
                    self.apply_recorded_abort(job, pair.revision);
                }
                self.learn_terminal_state(job, terminal);
                self.answer_terminal(id, job, terminal);
            }
        }
    }

    /// Answers for a job whose record is live. If the job has dependencies, their records are read
    /// first, because the abort of a dependency aborts the job as well.
    fn answer_live_record(&mut self, id: RequestId, job: &str, record: JobRecord, revision: u64) {
        let dependencies = record.spec.as_ref().map(|spec| spec.dependencies.clone());
        let known = self.add_recorded_job(job, record, revision);
        let answer = match known.and_then(|job_index| self.jobs.get(job_index)) {
            Some(job) => live_answer(job),
            None => answer_without_counts(job, JobStatus::Running),
        };
        match dependencies.filter(|dependencies| !dependencies.is_empty()) {
            Some(dependencies) => self.answer_after_dependency_walk(id, answer, dependencies),
            None => {
                self.note_live_record(&answer.id, revision);
                self.answer(id, Response::new(200, to_cbor(&answer)))
            }
        }
    }

    /// Answers that a job has reached the terminal state `status`, which for an abort may take until
    /// it can be confirmed.
    pub(crate) fn answer_terminal(&mut self, id: RequestId, job: &str, status: RecordedStatus) {
        match status {
            RecordedStatus::Done => self.answer_with_terminal_state(id, job, status),
            RecordedStatus::Aborted | RecordedStatus::Live => self.confirm_abort(id, job),
        }
    }

    pub(super) fn answer_with_terminal_state(
        &mut self,
        id: RequestId,
        job: &str,
        status: RecordedStatus,
    ) {
        let status = match status {
            RecordedStatus::Done => JobStatus::Done,
            RecordedStatus::Aborted | RecordedStatus::Live => JobStatus::Aborted,
        };
        let answer = answer_without_counts(job, status);
        self.answer(id, Response::new(200, to_cbor(&answer)));
    }
}

/// Returns an answer without the counts of completed and running tasks.
pub(super) fn answer_without_counts(job: &str, status: JobStatus) -> JobAnswer {
    JobAnswer { id: job.to_string(), status, done: None, running: None }
}

pub(super) fn log_unreadable_record(job: &str) {
    tracing::error!(job = %job, "the job's record can't be decoded; it stays as it is");
}
