//! Confirmations of aborts to users.
//!
//! Once a user has been told that a job is aborted, none of its tasks may be started. A recorded
//! abort is therefore confirmed only when no leader that doesn't know it can start a task any more:
//!
//! - The leader confirms at once, unless a start of the job is being sent, or an earlier leader may
//!   still hold a start lease that this controller has granted.
//! - Any other controller notifies the leader and waits for its acknowledgement. Without one, it
//!   waits until every start lease that it has granted must have expired. Meanwhile it grants none.
//!
//! This applies to every answer that shows the abort, not only to the answer to the user who asked
//! for it.

use std::collections::BTreeMap;

use quartzgate_wire::from_cbor;
use quartzgate_wire::msg::MeshMessage;

use crate::api::refusal::RefusalReason;
use crate::controller::Controller;
use crate::ids::JobIndex;
use crate::jobs::TaskState;
use crate::storage::records::RecordedStatus;
use crate::{Outcome, RequestId};

/// Number of notices to a leader that doesn't acknowledge an abort, within a start lease.
const NOTICES_PER_START_LEASE: u64 = 6;

/// An abort that can't be confirmed yet, and the requests that its confirmation would answer.
#[derive(Debug)]
struct UnconfirmedAbort {
    requests: Vec<RequestId>,
    /// When the first of these requests was held back. No start lease has been granted since.
    since_ms: u64,
    /// When the leader was last notified; `None` before the first notice.
    notified_ms: Option<u64>,
    /// Whether the leader has acknowledged the abort.
    is_acknowledged: bool,
}

/// All aborts that can't be confirmed yet, by job.
#[derive(Debug, Default)]
pub(crate) struct AbortConfirmations {
    unconfirmed: BTreeMap<String, UnconfirmedAbort>,
    /// Number of answers that have been held back.
    held_back: u64,
}

impl AbortConfirmations {
    /// Returns the number of answers that have been held back, by metric name, unless it is 0.
    pub fn metrics(&self) -> Option<(String, f64)> {
        (self.held_back > 0)
            .then(|| ("abort_confirmations_held".to_string(), self.held_back as f64))
    }

    fn request_count(&self) -> usize {
        self.unconfirmed.values().map(|abort| abort.requests.len()).sum()
    }

    fn hold(&mut self, request: RequestId, job: &str, now_ms: u64) {
        self.held_back += 1;
        let abort = self.unconfirmed.entry(job.to_string()).or_insert(UnconfirmedAbort {
            requests: Vec::new(),
            since_ms: now_ms,
            notified_ms: None,
            is_acknowledged: false,
        });
        abort.requests.push(request);
    }
}

impl Controller {
    /// Answers that a job is aborted, now or as soon as the abort can be confirmed.
    pub(super) fn confirm_abort(&mut self, id: RequestId, job: &str) {
        if self.is_confirmable(job) {
            return self.answer_aborted(id, job);
        }
        if self.abort_confirmations.request_count()
            >= self.context.config.max_waiting_status_queries()
        {
            return self.answer_unavailable(id, RefusalReason::AbortUnconfirmed);
        }
        self.abort_confirmations.hold(id, job, self.context.now.steady_ms);
        self.notify_leader_of_unconfirmed();
    }

    /// Returns whether this controller withholds the confirmation of an abort that the leader may
    /// not know.
    pub(crate) fn has_unconfirmed_aborts(&self) -> bool {
        !self.abort_confirmations.unconfirmed.is_empty()
    }

    /// Returns whether an abort was confirmed before, or can be confirmed by this leader now.
    fn is_confirmable(&self, job: &str) -> bool {
        self.terminal_jobs.is_confirmed(job) || self.leads() && self.leader_may_confirm(job)
    }

    /// Returns whether no leader can start a task of an aborted job any more, given that this leader
    /// knows of the abort.
    fn leader_may_confirm(&self, job: &str) -> bool {
        let job_index = self.jobs.find(job);
        let is_being_started = job_index.is_some_and(|index| self.has_start_in_flight(index));
        !is_being_started && self.granted_start_leases_are_over()
    }

    /// Returns whether a command that starts a task of the job awaits its outcome: it may not have
    /// left this controller yet.
    fn has_start_in_flight(&self, job_index: JobIndex) -> bool {
        let Some(job) = self.jobs.get(job_index) else { return false };
        let is_in_flight = |state: TaskState| match state {
            TaskState::Starting { machine, .. } => self.awaits_command_outcome(machine),
            _ => false,
        };
        job.tasks().any(|(_, task)| is_in_flight(task.state))
    }

    /// Answers the held requests of each abort that can be confirmed now, and notifies the leader
    /// of the others.
    pub(crate) fn tick_abort_confirmations(&mut self) {
        if !self.has_unconfirmed_aborts() {
            return;
        }
        let confirmable: Vec<String> = self
            .abort_confirmations
            .unconfirmed
            .iter()
            .filter(|(job, abort)| self.may_confirm(job, abort))
            .map(|(job, _)| job.clone())
            .collect();
        for job in confirmable {
            let abort = self.abort_confirmations.unconfirmed.remove(&job);
            let requests = abort.map_or(Vec::new(), |abort| abort.requests);
            requests.into_iter().for_each(|id| self.answer_aborted(id, &job));
        }
        self.notify_leader_of_unconfirmed();
    }

    fn may_confirm(&self, job: &str, abort: &UnconfirmedAbort) -> bool {
        if self.leads() {
            return self.leader_may_confirm(job);
        }
        let expiry_ms = abort.since_ms + self.context.config.start_lease_expiry_ms();
        abort.is_acknowledged || self.context.now.steady_ms >= expiry_ms
    }

    /// Notifies the leader of unconfirmed aborts, again at intervals until it acknowledges them.
    fn notify_leader_of_unconfirmed(&mut self) {
        let Some(leader) = self.leader_index().filter(|_| !self.leads()) else { return };
        let now_ms = self.context.now.steady_ms;
        let interval_ms = self.context.config.start_lease_ms() / NOTICES_PER_START_LEASE;
        let mut due = Vec::new();
        for (job, abort) in &mut self.abort_confirmations.unconfirmed {
            if abort.notified_ms.is_none_or(|at_ms| now_ms >= at_ms + interval_ms) {
                abort.notified_ms = Some(now_ms);
                due.push(job.clone());
            }
        }
        due.iter().for_each(|job| self.send_abort_notice(leader, job));
    }

    /// Handles the outcome of a notice. Only a leader that has applied the abort, and certainly still
    /// led then, answers with status 200 and its epoch.
    pub(crate) fn on_abort_notice_outcome(&mut self, job: &str, outcome: Outcome) {
        let Outcome::Answer(response) = outcome else { return };
        let answer = from_cbor::<MeshMessage>(&response.body);
        let is_acknowledged = response.status == 200 && answer.is_ok_and(|peer| peer.epoch > 0);
        if let Some(abort) = self.abort_confirmations.unconfirmed.get_mut(job) {
            abort.is_acknowledged |= is_acknowledged;
        }
        self.tick_abort_confirmations();
    }

    /// Returns whether this controller's answer to a notice may acknowledge the abort.
    pub(super) fn may_acknowledge_abort(&self, job: &str) -> bool {
        self.leadership_is_certain() && self.leader_may_confirm(job)
    }

    fn answer_aborted(&mut self, id: RequestId, job: &str) {
        self.learn_confirmed_abort(job);
        self.answer_with_terminal_state(id, job, RecordedStatus::Aborted);
    }
}
