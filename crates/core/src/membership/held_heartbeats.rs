//! Workers' heartbeats that cannot be answered until more is known: either which controller leads,
//! or what the records contain about the jobs in the heartbeats.
//!
//! The held heartbeats are bounded in number and in bytes, and each is held for less time than its
//! worker waits for an answer.

use crate::capacity::BoundedList;
use crate::config::Config;
use crate::controller::Controller;
use crate::membership::Role;
use crate::RequestId;

/// A worker's heartbeat whose request has not been answered yet.
struct HeldHeartbeat {
    request: RequestId,
    body: Vec<u8>,
    /// Index of the peer that forwarded the heartbeat; `None` if the worker sent it directly.
    relayed_by: Option<usize>,
    /// Latest time, in steady milliseconds, at which the worker has to be redirected.
    deadline_ms: u64,
}

/// Held heartbeats in order of arrival.
pub(super) struct HeldHeartbeats {
    held: BoundedList<HeldHeartbeat>,
}

impl HeldHeartbeats {
    /// Creates an empty list with the limits derived from the settings.
    pub fn new(config: &Config) -> Self {
        let held = BoundedList::new(config.max_held_heartbeats(), config.max_held_bytes());
        HeldHeartbeats { held }
    }

    /// Adds a heartbeat; returns false if it does not fit.
    fn push(&mut self, heartbeat: HeldHeartbeat) -> bool {
        let bytes = heartbeat.body.len();
        self.held.push(heartbeat, bytes)
    }

    fn take(&mut self) -> Vec<HeldHeartbeat> {
        self.held.take().into_iter().map(|(heartbeat, _)| heartbeat).collect()
    }

    /// Removes the heartbeats whose deadline has passed and returns their requests.
    fn take_expired(&mut self, now_ms: u64) -> Vec<RequestId> {
        let mut expired = Vec::new();
        for heartbeat in self.take() {
            let request = heartbeat.request;
            if now_ms >= heartbeat.deadline_ms || !self.push(heartbeat) {
                expired.push(request);
            }
        }
        expired
    }

    /// Sets the deadline of the heartbeat at `index`, if there is one.
    fn restore_deadline(&mut self, index: usize, deadline_ms: u64) {
        if let Some(heartbeat) = self.held.get_mut(index) {
            heartbeat.deadline_ms = deadline_ms;
        }
    }
}

impl Controller {
    /// Holds a heartbeat until it can be answered; redirects its worker if there is no room.
    pub(crate) fn hold_heartbeat(
        &mut self,
        request: RequestId,
        body: Vec<u8>,
        relayed_by: Option<usize>,
    ) {
        let deadline_ms = self.context.now.steady_ms + self.context.config.max_heartbeat_hold_ms();
        let heartbeat = HeldHeartbeat { request, body, relayed_by, deadline_ms };
        if !self.membership.held_heartbeats.push(heartbeat) {
            self.redirect(request);
        }
    }

    /// Redirects the workers whose heartbeats have reached their deadline, while their leases still
    /// have time left, and retries the other held heartbeats. During a recovery, heartbeats are
    /// instead retried as the recovery proceeds; while the leadership is unverified after a stall,
    /// they are retried once it is verified.
    pub(crate) fn tick_held_heartbeats(&mut self) {
        let now = self.context.now.steady_ms;
        for request in self.membership.held_heartbeats.take_expired(now) {
            self.redirect(request);
        }
        if !self.leadership_unverified() && self.membership.role() != Role::Recovering {
            self.retry_held_heartbeats();
        }
    }

    /// Answers the held heartbeats that can be answered now. Heartbeats that are held again keep
    /// their deadlines.
    pub(crate) fn retry_held_heartbeats(&mut self) {
        for heartbeat in self.membership.held_heartbeats.take() {
            let index = self.membership.held_heartbeats.held.len();
            self.on_heartbeat(heartbeat.request, heartbeat.body, heartbeat.relayed_by);
            self.membership.held_heartbeats.restore_deadline(index, heartbeat.deadline_ms);
        }
    }
}
