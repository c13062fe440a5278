//! Relaying of workers' heartbeats from a follower to the leader, and redirection of workers.

use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{Forward, Heartbeat, Redirect};
use quartzgate_wire::to_cbor;

use super::calls::FleetCall;
use crate::controller::Controller;
use crate::{Outcome, Peer, RequestId};

impl Controller {
    /// Returns whether a heartbeat is relayed; otherwise its worker is redirected. Heartbeats from
    /// this controller's zone are always relayed, others by the rules for out-of-zone workers.
    pub(super) fn should_relay(&mut self, heartbeat: &Heartbeat) -> bool {
        if heartbeat.zone == self.context.config.platform.zone {
            return true;
        }
        let (now_ms, lease_ms) = (self.context.now.steady_ms, self.context.config.lease_ms());
        let max_workers = self.context.config.max_out_of_zone_workers();
        self.out_of_zone_workers.should_relay(&heartbeat.machine, now_ms, lease_ms, max_workers)
    }

    /// Relays a heartbeat to the leader. Returns false if the leader can't be reached.
    pub(super) fn relay_heartbeat(
        &mut self,
        id: RequestId,
        heartbeat: &Heartbeat,
        body: Vec<u8>,
    ) -> bool {
        let Some(leader) = self.live_leader_index().filter(|_| !self.leader_missed_heartbeat())
        else {
            return false;
        };
        let mut message = self.mesh_message();
        let (method, path) = ("POST".to_string(), "/checkin".to_string());
        message.forward = Some(Forward { method, path, body });
        let timeout_ms = self.context.config.mesh_timeout_ms();
        let purpose =
            FleetCall::RelayHeartbeat { request: id, heartbeat: Box::new(heartbeat.clone()) };
        let (peer, body) = (Peer::Sibling(leader), to_cbor(&message));
        self.call_for_fleet(peer, "POST", "/mesh".into(), body, timeout_ms, purpose);
        true
    }

    /// Handles the outcome of a relayed heartbeat. If the leader answers with a status other than
    /// 200, the worker is redirected. Without an answer from the leader, this controller serves the
    /// heartbeat as a lease proxy or redirects the worker.
    pub(crate) fn on_heartbeat_relayed(
        &mut self,
        id: RequestId,
        heartbeat: Heartbeat,
        outcome: Outcome,
    ) {
        match outcome {
            Outcome::Answer(response) if response.status == 200 => {
                self.answer(id, Response::new(200, response.body));
            }
            Outcome::Answer(_) => self.redirect(id),
            _ => {
                if !self.serve_as_lease_proxy(id, &heartbeat) {
                    self.redirect(id)
                }
            }
        }
    }

    /// Redirects a worker to the leader. The answer doesn't name a leader with which this
    /// controller has no contact; the worker then tries all controllers itself.
    pub(crate) fn redirect(&mut self, id: RequestId) {
        self.redirected_heartbeats += 1;
        let leader = self.live_leader_index().and(self.known_leader());
        self.answer(id, Response::new(421, to_cbor(&Redirect { controller: leader })));
    }
}
