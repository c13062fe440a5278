//! Workers' heartbeats that can't be answered before more is known: who leads, or what the
//! records say of the jobs in them.
//!
//! They are bounded in number and in bytes, and none is held for longer than its worker can wait.

use crate::capacity::BoundedList;
use crate::config::Config;
use crate::controller::Controller;
use crate::membership::Role;
use crate::RequestId;

/// A heartbeat that waits.
struct HeldHeartbeat {
    request: RequestId,
    body: Vec<u8>,
    /// The peer that forwarded it, by its place in the settings.
    relayed_by: Option<usize>,
    /// When its worker has to be redirected at the latest, in steady milliseconds.
    deadline_ms: u64,
}

/// The heartbeats that wait, in the order in which they came.
pub(super) struct HeldHeartbeats {
    held: BoundedList<HeldHeartbeat>,
}

impl HeldHeartbeats {
    /// An empty list, with the bounds that follow from the settings.
    pub fn new(config: &Config) -> Self {
        let held = BoundedList::new(config.max_held_heartbeats(), config.max_held_bytes());
        HeldHeartbeats { held }
    }

    /// False if it does not fit.
    fn push(&mut self, heartbeat: HeldHeartbeat) -> bool {
        let bytes = heartbeat.body.len();
        self.held.push(heartbeat, bytes)
    }

    fn take(&mut self) -> Vec<HeldHeartbeat> {
        self.held.take().into_iter().map(|(heartbeat, _)| heartbeat).collect()
    }

    /// Takes out those whose deadline has come.
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

    /// Sets the deadline of the heartbeat at this place, if there is one.
    fn restore_deadline(&mut self, place: usize, deadline_ms: u64) {
        if let Some(heartbeat) = self.held.get_mut(place) {
            heartbeat.deadline_ms = deadline_ms;
        }
    }
}

impl Controller {
    /// Holds a heartbeat until more is known; redirects its worker if there is no room.
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

    /// Redirects workers that have waited for too long, while their leases still have time, and
    /// tries the others again. During a recovery these are tried as it proceeds instead.
    pub(crate) fn tick_held_heartbeats(&mut self) {
        let now = self.context.now.steady_ms;
        for request in self.membership.held_heartbeats.take_expired(now) {
            self.redirect(request);
        }
        if !self.leadership_unverified() && self.membership.role() != Role::Recovering {
            self.retry_held_heartbeats();
        }
    }

    /// Answers the held heartbeats that can be answered now. Those that are held once more keep
    /// their deadlines.
    pub(crate) fn retry_held_heartbeats(&mut self) {
        for heartbeat in self.membership.held_heartbeats.take() {
            let place = self.membership.held_heartbeats.held.len();
            self.on_heartbeat(heartbeat.request, heartbeat.body, heartbeat.relayed_by);
            self.membership.held_heartbeats.restore_deadline(place, heartbeat.deadline_ms);
        }
    }
}
