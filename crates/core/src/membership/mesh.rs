//! Handles and routes requests from other controllers.
//!
//! Every mesh message is a heartbeat of its sender and may carry a forwarded request of a user or
//! worker.

use quartzgate_wire::http::{Request, Response};
use quartzgate_wire::msg::{Forward, MeshMessage};
use quartzgate_wire::{from_cbor, to_cbor};

use super::peers::peer_index;
use crate::api::refusal::RefusalReason;
use crate::api::ABORTED_PATH;
use crate::controller::Controller;
use crate::RequestId;

const MESH_PATH: &str = "/mesh";
const METRICS_PATH: &str = "/metrics";
/// Path of a forwarded worker heartbeat.
const HEARTBEAT_PATH: &str = "/checkin";
/// Path of the leader's orders for a worker that only the receiving controller can reach.
const ORDERS_PATH: &str = "/orders";

impl Controller {
    /// Handles a request received on the address for other controllers, which also serves the
    /// metrics for operators.
    pub(crate) fn on_mesh(&mut self, id: RequestId, request: Request) {
        let path = request.target.split('?').next().unwrap_or("");
        match (request.method.as_str(), path) {
            ("POST", MESH_PATH) => self.on_mesh_message(id, &request.body),
            ("GET", METRICS_PATH) => {
                let body = self.metrics();
                self.answer(id, Response::new(200, body))
            }
            (_, MESH_PATH | METRICS_PATH) => self.answer_error(id, 405, "method not allowed"),
            _ => self.answer_error(id, 404, "no such path"),
        }
    }

    fn on_mesh_message(&mut self, id: RequestId, body: &[u8]) {
        let message: MeshMessage = match from_cbor(body) {
            Ok(message) => message,
            Err(error) => {
                tracing::debug!(%error, "malformed mesh message");
                return self.answer_error(id, 400, "malformed mesh message");
            }
        };
        if !self.observe_peer(&message) {
            return self.answer_error(id, 400, "unknown sibling or mesh version");
        }
        let from = peer_index(&self.context.config, &message.from);
        match message.forward {
            Some(forward) => self.on_forwarded_request(id, from, forward),
            None => self.answer_peer_heartbeat(id, &message),
        }
    }

    /// Answers a peer's heartbeat, unless the answer would grant a start lease that this controller
    /// may not grant now.
    fn answer_peer_heartbeat(&mut self, id: RequestId, message: &MeshMessage) {
        if !self.grant_starts(message) {
            return self.answer_unavailable(id, RefusalReason::AbortUnconfirmed);
        }
        let body = to_cbor(&self.mesh_message());
        self.answer(id, Response::new(200, body));
    }

    fn on_forwarded_request(&mut self, id: RequestId, from: Option<usize>, forward: Forward) {
        match (forward.path.as_str(), from) {
            (HEARTBEAT_PATH, _) => self.on_heartbeat(id, forward.body, from),
            (ORDERS_PATH, Some(peer)) => self.relay_command(id, peer, &forward.body),
            (ORDERS_PATH, None) => self.answer_error(id, 400, "unknown sibling"),
            (path, _) if path.starts_with(ABORTED_PATH) => {
                self.on_abort_notice(id, path.trim_start_matches(ABORTED_PATH))
            }
            (path, _) => self.on_user_request(id, &forward.method, path, forward.body, true),
        }
    }
}
