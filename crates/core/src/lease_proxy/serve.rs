//! Answers to the heartbeats of workers that can't reach the leader.
//!
//! A heartbeat is answered, which renews the worker's lease, only while the leader is out of
//! reach, the present epoch is proven, the claim is recorded under it, and every job whose tasks
//! the worker runs is proven to be live or is stopped by the answer. Nothing is ever started.

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

/// What became of a heartbeat that reached a controller that does not lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServeOutcome {
    /// Answered on the leader's behalf.
    Answered,
    /// Can be answered as soon as the store has answered what it was asked.
    Pending,
    /// The worker has to be redirected.
    Refused,
}

/// What is known of the tasks that a worker runs.
#[derive(Default)]
struct TaskReview {
    /// Stops the tasks of terminal jobs.
    stops: Vec<Order>,
    jobs_to_read: Vec<String>,
    /// A job is not proven to be live.
    unproven: bool,
}

impl Controller {
    /// Takes a worker's heartbeat on the leader's behalf; false if the worker has to be
    /// redirected.
    pub(crate) fn serve_by_proxy(&mut self, id: RequestId, heartbeat: &Heartbeat) -> bool {
        // A duplicate needs no proxy: nothing is claimed, mailed or raised for it.
        let freshness = self.lease_proxy.workers.record_heartbeat(heartbeat, &self.context);
        if freshness == Freshness::Duplicate {
            self.duplicates_dropped += 1;
            return false;
        }
        match self.try_serve_by_proxy(id, heartbeat) {
            ServeOutcome::Answered => true,
            // If it were redirected instead, its lease might expire on the way.
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

    /// Tries again what is parked; redirects what has waited for too long.
    pub(super) fn retry_parked_heartbeats(&mut self) {
        let now = self.context.now.steady_ms;
        for parked in self.lease_proxy.parked.take() {
            let request = parked.request;
            match self.try_serve_by_proxy(request, &parked.heartbeat) {
                ServeOutcome::Answered => {}
                ServeOutcome::Pending
                    if now < parked.deadline_ms && self.lease_proxy.parked.push(parked) => {}
                _ => self.redirect(request),
            }
        }
    }

    fn try_serve_by_proxy(&mut self, id: RequestId, heartbeat: &Heartbeat) -> ServeOutcome {
        if self.membership.role() != Role::Follower || !self.leader_missed() {
            return ServeOutcome::Refused;
        }
        let Some(epoch) = self.proven_epoch() else { return ServeOutcome::Refused };
        if heartbeat.fencing_token == 0 {
            self.mail_new_worker(heartbeat, epoch);
            return ServeOutcome::Refused;
        }
        // Last commanded by a leader whose epoch is not known here yet.
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
        self.lease_proxy.claim.touch(self.context.now.steady_ms);
        let review = self.review_tasks(heartbeat);
        for job in review.jobs_to_read {
            self.read_proxied_job(job);
        }
        if review.unproven || !claimed {
            return ServeOutcome::Pending;
        }
        self.answer_by_proxy(id, heartbeat, epoch, review.stops);
        ServeOutcome::Answered
    }

    /// A worker that was never commanded has no lease to renew; but the leader may take it on.
    fn mail_new_worker(&mut self, heartbeat: &Heartbeat, epoch: u64) {
        if self.lease_proxy.claim.is_recorded(epoch) {
            self.mail_heartbeat(heartbeat);
        }
    }

    fn review_tasks(&self, heartbeat: &Heartbeat) -> TaskReview {
        let mut review = TaskReview::default();
        let is_running = |task: &&HeartbeatTask| task.status != TaskStatus::Exited;
        for task in heartbeat.tasks.iter().filter(is_running) {
            let Some((job, _)) = parse_task(&task.task) else { continue };
            self.review_job(job, &mut review);
            match self.lease_proxy.jobs.liveness(job, &self.context) {
                JobLiveness::Live => {}
                JobLiveness::Unproven => review.unproven = true,
                JobLiveness::Terminal => review.stops.push(Order::Stop {
                    task: task.task.clone(),
                    attempt: task.attempt,
                    grace_s: 0.0,
                }),
            }
        }
        review
    }

    fn review_job(&self, job: &str, review: &mut TaskReview) {
        let listed = review.jobs_to_read.iter().any(|listed| listed == job);
        if !listed && self.lease_proxy.jobs.needs_read(job, &self.context) {
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
