//! Answers to the heartbeats of workers that cannot reach the leader.
//!
//! Answering a heartbeat renews the worker's lease. A heartbeat is therefore answered only while
//! the leader is out of reach, the present epoch is proven, the claim is recorded under that epoch,
//! and every job whose tasks the worker runs is either proven to be live or stopped by the answer.
//! No task is ever started.

use quartzgate_reachability::Freshness;
use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{Heartbeat, HeartbeatAnswer, HeartbeatTask, Order, TaskStatus};
use quartzgate_wire::to_cbor;

use super::parked_heartbeats::ParkedHeartbeat;
use super::proxied_jobs::JobLiveness;
use crate::controller::Controller;
use crate::ids::{epoch_of, parse_task};
use crate::membership::Role;
use crate::RequestId;

/// Result of handling a heartbeat on a controller that does not lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServeOutcome {
    /// The heartbeat was answered on the leader's behalf.
    Answered,
    /// The heartbeat cannot be answered yet: the leader has not been silent for long enough, the
    /// claim is not recorded, or a job has not been proven live.
    Pending,
    /// The worker must be redirected.
    Refused,
}

/// Result of checking the jobs of the tasks that a worker runs.
#[derive(Default)]
struct TaskReview {
    /// Orders that stop the tasks of terminal jobs.
    stop_orders: Vec<Order>,
    jobs_to_read: Vec<String>,
    /// Whether at least one job is neither proven live nor known to be terminal.
    unproven: bool,
}

impl Controller {
    /// Answers or parks a worker's heartbeat on the leader's behalf; returns false if the worker
    /// must be redirected.
    pub(crate) fn serve_as_lease_proxy(&mut self, id: RequestId, heartbeat: &Heartbeat) -> bool {
        // A duplicate needs no proxy: no claim is made, no heartbeat mailed and no fencing token
        // raised for it.
        let freshness = self.lease_proxy.workers.record_heartbeat(heartbeat, &self.context);
        if freshness == Freshness::Duplicate {
            self.duplicates_dropped += 1;
            return false;
        }
        match self.try_serve_as_lease_proxy(id, heartbeat) {
            ServeOutcome::Answered => true,
            // If the worker were redirected instead, its lease might expire in the meantime.
            ServeOutcome::Pending => {
                let hold_ms = self.context.config.max_heartbeat_hold_ms();
                let deadline_ms = self.context.now.steady_ms + hold_ms;
                let heartbeat = heartbeat.clone();
                self.lease_proxy.parked.push(ParkedHeartbeat {
                    request: id,
                    heartbeat,
                    deadline_ms,
                })
            }
            ServeOutcome::Refused => false,
        }
    }

    /// Retries the parked heartbeats; redirects the workers whose heartbeats are refused or have
    /// reached their deadline.
    pub(super) fn retry_parked_heartbeats(&mut self) {
        let now = self.context.now.steady_ms;
        for parked in self.lease_proxy.parked.take() {
            let request = parked.request;
            match self.try_serve_as_lease_proxy(request, &parked.heartbeat) {
                ServeOutcome::Answered => {}
                ServeOutcome::Pending
                    if now < parked.deadline_ms && self.lease_proxy.parked.push(parked) => {}
                _ => self.redirect(request),
            }
        }
    }

    fn try_serve_as_lease_proxy(&mut self, id: RequestId, heartbeat: &Heartbeat) -> ServeOutcome {
        if self.membership.role() != Role::Follower || !self.leader_missed_heartbeat() {
            return ServeOutcome::Refused;
        }
        let Some(epoch) = self.proven_epoch() else { return ServeOutcome::Refused };
        if heartbeat.fencing_token == 0 {
            self.mail_uncommanded_worker(heartbeat, epoch);
            return ServeOutcome::Refused;
        }
        // The worker was last commanded by a leader whose epoch is not known here yet.
        if epoch_of(heartbeat.fencing_token) > epoch {
            return ServeOutcome::Refused;
        }
        if !self.leader_out_of_reach() {
            return ServeOutcome::Pending;
        }
        let claimed = self.lease_proxy.claim.is_recorded(epoch);
        if !claimed {
            self.request_claim(epoch);
        }
        self.lease_proxy.claim.mark_used(self.context.now.steady_ms);
        let review = self.review_tasks(heartbeat);
        for job in review.jobs_to_read {
            self.read_proxied_job(job);
        }
        if review.unproven || !claimed {
            return ServeOutcome::Pending;
        }
        self.answer_by_proxy(id, heartbeat, epoch, review.stop_orders);
        ServeOutcome::Answered
    }

    /// Mails the heartbeat of a worker that was never commanded. The worker has no lease to renew,
    /// but the leader may register it.
    fn mail_uncommanded_worker(&mut self, heartbeat: &Heartbeat, epoch: u64) {
        if self.lease_proxy.claim.is_recorded(epoch) {
            self.mail_heartbeat(heartbeat);
        }
    }

    fn review_tasks(&self, heartbeat: &Heartbeat) -> TaskReview {
        let mut review = TaskReview::default();
        let is_running = |task: &&HeartbeatTask| task.status != TaskStatus::Exited;
        for task in heartbeat.tasks.iter().filter(is_running) {
            let Some((job, _)) = parse_task(&task.task) else { continue };
            self.add_job_to_read(job, &mut review);
            match self.lease_proxy.jobs.liveness(job, &self.context) {
                JobLiveness::Live => {}
                JobLiveness::Unproven => review.unproven = true,
                JobLiveness::Terminal => review.stop_orders.push(Order::Stop {
                    task: task.task.clone(),
                    attempt: task.attempt,
                    grace_s: 0.0,
                }),
            }
        }
        review
    }

    fn add_job_to_read(&self, job: &str, review: &mut TaskReview) {
        let already_listed = review.jobs_to_read.iter().any(|listed| listed == job);
        if !already_listed && self.lease_proxy.jobs.needs_read(job, &self.context) {
            review.jobs_to_read.push(job.to_string());
        }
    }

    fn answer_by_proxy(
        &mut self,
        id: RequestId,
        heartbeat: &Heartbeat,
        epoch: u64,
        orders: Vec<Order>,
    ) {
        let fencing_token = self.lease_proxy.fencing.token_for(heartbeat, epoch, &self.context);
        let body = to_cbor(&HeartbeatAnswer { fencing_token, orders });
        self.answer(id, Response::new(200, body));
        self.mail_heartbeat(heartbeat);
    }
}
