//! Heartbeats between controllers.
//!
//! Each controller sends every other controller a heartbeat that states whether the sender leads,
//! in which epoch, and whether the store is reachable from it. Heartbeats serve only redirects and
//! request forwarding. The store alone decides who may lead; a heartbeat can only end a leadership,
//! by showing a later epoch.

use quartzgate_wire::msg::{MeshMessage, MESH_VERSION};
use quartzgate_wire::{from_cbor, to_cbor};

use super::calls::MembershipCall;
use super::Membership;
use crate::config::Config;
use crate::context::Context;
use crate::controller::Controller;
use crate::storage::records::LeaderRecord;
use crate::{Outcome, Peer};

/// Number of heartbeat intervals without a heartbeat after which a peer counts as lost.
const LOST_AFTER_INTERVALS: u64 = 3;
/// Number of heartbeat intervals within which a peer must have been heard from for requests to be
/// sent to it.
const SERVING_WITHIN_INTERVALS: u64 = 2;

/// What is known about one other controller.
#[derive(Clone, Debug, Default)]
struct PeerState {
    last_heard_ms: Option<u64>,
    /// When the most recent heartbeat to the peer was sent.
    sent_ms: u64,
    heartbeat_in_flight: bool,
    /// Whether the peer's most recent heartbeat reported the store as reachable.
    store_reachable: bool,
    /// Whether the peer has been refused, and the refusal logged, because it uses another mesh
    /// version.
    refused: bool,
}

/// The other controllers, indexed by their position in the settings.
#[derive(Debug)]
pub(super) struct Peers {
    states: Vec<PeerState>,
    /// Leader of the latest epoch seen in a heartbeat.
    leader_hint: Option<LeaderRecord>,
}

impl Peers {
    /// Creates the state of `count` peers, none of which has been heard from yet.
    pub fn new(count: usize) -> Self {
        Peers { states: vec![PeerState::default(); count], leader_hint: None }
    }

    /// Returns the number of other controllers.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns the leader of the latest epoch seen in a heartbeat.
    pub fn leader_hint(&self) -> Option<&LeaderRecord> {
        self.leader_hint.as_ref()
    }

    /// Returns when a peer was last heard from, in steady milliseconds.
    pub fn last_heard_ms(&self, peer: usize) -> Option<u64> {
        self.states[peer].last_heard_ms
    }

    /// Returns whether a peer was heard from within [`LOST_AFTER_INTERVALS`].
    pub fn is_alive(&self, peer: usize, context: &Context) -> bool {
        self.heard_within(peer, LOST_AFTER_INTERVALS, context)
    }

    /// Returns whether a peer was heard from within [`SERVING_WITHIN_INTERVALS`] and reported the
    /// store as reachable.
    pub fn is_serving(&self, peer: usize, context: &Context) -> bool {
        self.states[peer].store_reachable
            && self.heard_within(peer, SERVING_WITHIN_INTERVALS, context)
    }

    /// Returns the first live peer that reported the store as reachable.
    pub fn first_with_store(&self, context: &Context) -> Option<usize> {
        (0..self.len())
            .find(|&peer| self.is_alive(peer, context) && self.states[peer].store_reachable)
    }

    /// Returns whether any peer is alive.
    pub fn any_alive(&self, context: &Context) -> bool {
        (0..self.len()).any(|peer| self.is_alive(peer, context))
    }

    /// Makes a heartbeat to every peer without one in flight due at once, after a stall.
    pub fn restart_heartbeats(&mut self) {
        let idle = self.states.iter_mut().filter(|state| !state.heartbeat_in_flight);
        idle.for_each(|state| state.sent_ms = 0);
    }

    fn heard_within(&self, peer: usize, intervals: u64, context: &Context) -> bool {
        let limit_ms = intervals * heartbeat_interval_ms(&context.config);
        let last_heard_ms = self.states[peer].last_heard_ms;
        last_heard_ms.is_some_and(|heard_ms| context.now.steady_ms < heard_ms + limit_ms)
    }

    fn heartbeat_due(&self, peer: usize, context: &Context) -> bool {
        let state = &self.states[peer];
        let due_ms = state.sent_ms + heartbeat_interval_ms(&context.config);
        !state.heartbeat_in_flight && context.now.steady_ms >= due_ms
    }

    fn record_heartbeat(&mut self, peer: usize, store_reachable: bool, now_ms: u64) {
        self.states[peer].last_heard_ms = Some(now_ms);
        self.states[peer].store_reachable = store_reachable;
    }

    /// Marks a peer that uses another mesh version as refused, and logs the refusal once.
    fn on_incompatible(&mut self, peer: usize, message: &MeshMessage) {
        if !std::mem::replace(&mut self.states[peer].refused, true) {
            let (peer, version) = (&message.from, message.version);
            tracing::error!(%peer, version, "peer refused: incompatible mesh version");
        }
    }

    fn observe_leader_hint(&mut self, message: &MeshMessage) {
        let known_epoch = self.leader_hint.as_ref().map_or(0, |hint| hint.epoch);
        if message.epoch > known_epoch {
            let (epoch, node) = (message.epoch, message.from.clone());
            self.leader_hint = Some(LeaderRecord { epoch, node, retakes: 0 });
        }
    }
}

/// Returns the time between two heartbeats to the same peer, in milliseconds.
pub(super) fn heartbeat_interval_ms(config: &Config) -> u64 {
    config.controller_lease_ttl_ms() / 4
}

/// Returns the index of a controller among the peers in the settings.
pub(super) fn peer_index(config: &Config, node: &str) -> Option<usize> {
    config.platform.siblings.iter().position(|sibling| sibling.node == node)
}

impl Membership {
    pub(super) fn tick_heartbeats(&mut self, context: &mut Context) {
        for peer in 0..self.peers.len() {
            if self.peers.heartbeat_due(peer, context) {
                self.send_heartbeat(context, peer);
            }
        }
    }

    /// Sends a heartbeat to every peer at once, whether or not it is due.
    pub(super) fn send_heartbeats(&mut self, context: &mut Context) {
        for peer in 0..self.peers.len() {
            self.send_heartbeat(context, peer);
        }
    }

    fn send_heartbeat(&mut self, context: &mut Context, peer: usize) {
        let state = &mut self.peers.states[peer];
        state.heartbeat_in_flight = true;
        state.sent_ms = context.now.steady_ms;
        let body = to_cbor(&self.mesh_message(context));
        let timeout_ms = context.config.mesh_timeout_ms();
        let (sent_ms, epoch) = (context.now.steady_ms, self.election.epoch());
        let call = MembershipCall::PeerHeartbeat { peer, sent_ms, epoch };
        let id = context.call(Peer::Sibling(peer), "POST", "/mesh".into(), body, timeout_ms);
        self.calls.insert(id, call);
    }

    /// Builds the heartbeat that this controller sends to its peers.
    pub(super) fn mesh_message(&self, context: &Context) -> MeshMessage {
        MeshMessage {
            version: MESH_VERSION,
            from: context.config.platform.node.clone(),
            epoch: self.election.epoch(),
            store_reachable: self.store_reachable(context),
            forward: None,
        }
    }
}

impl Controller {
    /// Handles the answer to a heartbeat, which contains the peer's own heartbeat. It grants the
    /// start lease if the heartbeat was sent as the leader of `epoch`.
    pub(super) fn on_peer_heartbeat_answered(
        &mut self,
        peer: usize,
        sent_ms: u64,
        epoch: u64,
        outcome: Outcome,
    ) {
        self.membership.peers.states[peer].heartbeat_in_flight = false;
        let Outcome::Answer(response) = outcome else { return };
        if response.status != 200 {
            return;
        }
        let Ok(message) = from_cbor::<MeshMessage>(&response.body) else { return };
        let is_known = self.observe_peer(&message);
        if is_known && epoch > 0 && epoch == self.epoch() {
            self.membership.observe_grant_of_starts(&self.context, peer, sent_ms);
        }
    }

    /// Applies a peer's heartbeat; returns false if the peer is unknown or its mesh version
    /// differs.
    pub(crate) fn observe_peer(&mut self, message: &MeshMessage) -> bool {
        let Some(peer) = peer_index(&self.context.config, &message.from) else {
            self.membership.start_lease.on_unnamed_peer();
            return false;
        };
        let peers = &mut self.membership.peers;
        if message.version != MESH_VERSION {
            peers.on_incompatible(peer, message);
            return false;
        }
        peers.record_heartbeat(peer, message.store_reachable, self.context.now.steady_ms);
        if self.membership.is_superseded_by(message.epoch) {
            let (peer, epoch) = (&message.from, message.epoch);
            tracing::info!(%peer, epoch, "superseded: a peer leads a later epoch");
            self.step_down();
        }
        self.membership.peers.observe_leader_hint(message);
        true
    }
}
