//! Membership: which controllers are alive, which one leads, and in which epoch.
//!
//! Each controller holds a lease in the key-value store ([`lease`]) and watches the control keys
//! ([`epoch_watch`]). When the leader key disappears, the controllers campaign for the leadership
//! of the next epoch ([`election`]). Heartbeats between controllers ([`peers`]) serve only
//! redirects and request forwarding. The leader watches the handoff queue ([`handoff_watch`]) for
//! submissions and aborts that followers recorded without it.
//!
//! Safety invariant: a leader commands workers only until the lease bound has elapsed since the
//! latest time at which it provably knew the records ([`Membership::proven_contact_ms`]). A later
//! leader can therefore determine when an earlier one has stopped. It starts tasks only while it
//! also holds the start lease ([`start_lease`]).

mod calls;
mod election;
mod epoch_watch;
mod handoff_watch;
mod held_heartbeats;
mod lease;
mod mesh;
mod peers;
mod proxy_claims;
mod role;
pub(crate) mod stall;
mod start_lease;
mod watch;

use quartzgate_wire::msg::MeshMessage;

pub(crate) use calls::MembershipCall;
pub(crate) use role::Role;

use crate::config::Config;
use crate::context::{CallTable, Context};
use crate::controller::{follower_share, Controller};
use crate::storage::read_budget::ReadBudget;
use crate::storage::records::LeaderRecord;
use crate::{CallId, Peer};
use election::Election;
use epoch_watch::EpochWatch;
use handoff_watch::HandoffWatch;
use held_heartbeats::HeldHeartbeats;
use lease::ControllerLease;
use peers::{heartbeat_interval_ms, peer_index, Peers};
use start_lease::StartLease;

/// Membership state of this controller and its view of the other controllers.
pub(crate) struct Membership {
    role: Role,
    lease: ControllerLease,
    epoch_watch: EpochWatch,
    election: Election,
    handoff_watch: HandoffWatch,
    peers: Peers,
    held_heartbeats: HeldHeartbeats,
    start_lease: StartLease,
    /// When the store last answered a request, in steady milliseconds; `None` before the first
    /// answer.
    store_answered_ms: Option<u64>,
    /// Latest time, in steady milliseconds, as of which this controller provably knew the records
    /// while leading.
    proven_contact_ms: u64,
    /// Limits the store reads that can be deferred. The leader gets most of the allowed rate.
    store_reads: ReadBudget,
    /// Start of the present uninterrupted period of store reachability; `None` while unreachable.
    store_reachable_since_ms: Option<u64>,
    calls: CallTable<MembershipCall>,
}

impl Membership {
    /// Creates the state of a follower that has not yet heard from the store or from any peer.
    pub fn new(config: &Config) -> Self {
        let peer_count = config.platform.siblings.len();
        let read_rate = follower_share(config.platform.params.state.rps, peer_count + 1);
        Membership {
            role: Role::Follower,
            lease: ControllerLease::default(),
            epoch_watch: EpochWatch::default(),
            election: Election::default(),
            handoff_watch: HandoffWatch::default(),
            peers: Peers::new(peer_count),
            held_heartbeats: HeldHeartbeats::new(config),
            start_lease: StartLease::new(peer_count),
            store_answered_ms: None,
            proven_contact_ms: 0,
            store_reads: ReadBudget::new(read_rate),
            store_reachable_since_ms: None,
            calls: CallTable::default(),
        }
    }

    /// Removes and returns the purpose of a call, or `None` if membership did not make the call.
    pub fn take_call(&mut self, call: CallId) -> Option<MembershipCall> {
        self.calls.take(call)
    }

    /// Returns the store revision of the epoch record under which this controller leads.
    pub fn epoch_revision(&self) -> u64 {
        self.election.epoch_revision()
    }

    /// Returns the budget for store reads that can be deferred.
    pub fn store_reads(&mut self) -> &mut ReadBudget {
        &mut self.store_reads
    }

    /// Returns since when, in steady milliseconds, the store has been reachable without
    /// interruption and this process has not stalled.
    pub fn store_reachable_since_ms(&self) -> Option<u64> {
        self.store_reachable_since_ms
    }

    fn update_store_reachability(&mut self, context: &Context) {
        self.store_reachable_since_ms = match self.store_reachable(context) {
            true => self.store_reachable_since_ms.or(Some(context.now.steady_ms)),
            false => None,
        };
    }

    /// Returns whether any controller is known to hold a lease proxy claim.
    pub fn has_proxy_claims(&self) -> bool {
        !self.epoch_watch.claims().is_empty()
    }

    /// Returns whether the given controller is known to hold a lease proxy claim.
    pub fn has_proxy_claim(&self, node: &str) -> bool {
        self.epoch_watch.claims().contains(node)
    }

    /// Returns the store revision of a controller's lease proxy claim, if the claim is known to
    /// exist.
    pub fn proxy_claim_revision(&self, node: &str) -> Option<u64> {
        self.epoch_watch.claims().revision(node)
    }

    /// Returns whether the epoch record is proven to be known as of `time_ms` or later.
    pub fn epoch_known_since(&self, time_ms: u64) -> bool {
        self.epoch_watch.known_until_ms() >= time_ms
    }

    /// Returns whether the store has answered any request at `time_ms` or later.
    pub fn store_answered_since(&self, time_ms: u64) -> bool {
        self.store_answered_ms.is_some_and(|answered_ms| answered_ms >= time_ms)
    }

    fn note_store_answer(&mut self, now_ms: u64) {
        self.store_answered_ms = Some(now_ms);
    }

    /// Advances the proven contact time to the point up to which both watches are known. Other
    /// controllers change records only through the handoff queue or after a later epoch has begun,
    /// so the records are known only as far as both watches are.
    fn advance_proven_contact(&mut self) {
        let proven_ms = self.handoff_watch.known_until_ms().min(self.epoch_watch.known_until_ms());
        self.proven_contact_ms = self.proven_contact_ms.max(proven_ms);
    }

    /// Renews the lease, rereads the control keys and contacts the peers at once after a stall,
    /// because no request sent before the stall proves anything.
    fn restart_after_stall(&mut self, now_ms: u64) {
        self.store_reachable_since_ms = None;
        self.epoch_watch.restart(now_ms);
        self.lease.renew_now(now_ms);
        self.peers.restart_heartbeats();
    }

    /// Returns the number of controllers, including this one.
    fn controllers(&self) -> usize {
        self.peers.len() + 1
    }

    fn store_reachable(&self, context: &Context) -> bool {
        let config = &context.config;
        let window_ms = config.watch_block_ms() + 2 * config.store_timeout_ms();
        self.store_answered_ms
            .is_some_and(|answered_ms| context.now.steady_ms < answered_ms + window_ms)
    }

    /// Returns the leader of the latest epoch seen in the control keys or in a peer's heartbeat.
    fn latest_leader(&self) -> Option<&LeaderRecord> {
        let recorded_epoch = self.epoch_watch.epoch().map_or(0, |epoch| epoch.record.epoch);
        let hint = self.peers.leader_hint().filter(|hint| hint.epoch > recorded_epoch);
        hint.or(self.epoch_watch.leader().map(|leader| &leader.record))
    }

    /// Returns when the peer that holds the leader key was last heard from or was first seen to
    /// hold the key, whichever is later.
    fn leader_heard_ms(&self, config: &Config) -> Option<u64> {
        let leader = &self.epoch_watch.leader()?.record;
        let peer = peer_index(config, &leader.node)?;
        let heard_ms = self.peers.last_heard_ms(peer).unwrap_or(0);
        Some(heard_ms.max(self.epoch_watch.leader_since_ms()))
    }

    /// Requests the changes under a prefix since a revision. The store answers as soon as there is
    /// a change, or when the watch has blocked for `watch_block_ms`.
    fn watch_store(
        &mut self,
        context: &mut Context,
        prefix: &str,
        since: u64,
        call: MembershipCall,
    ) {
        let block_ms = context.config.watch_block_ms();
        let target = format!("/changes?starts={prefix}&since={since}&block_ms={block_ms}");
        let timeout_ms = block_ms + context.config.store_timeout_ms();
        let id = context.call(Peer::State, "GET", target, Vec::new(), timeout_ms);
        self.calls.insert(id, call);
    }

    fn call_store(
        &mut self,
        context: &mut Context,
        method: &'static str,
        target: String,
        body: Vec<u8>,
        call: MembershipCall,
    ) {
        let id = context.call_store(method, target, body);
        self.calls.insert(id, call);
    }

    /// Sends a transaction whose outcome is ignored.
    fn write_unconfirmed(&mut self, context: &mut Context, body: Vec<u8>) {
        let call = MembershipCall::UnconfirmedWrite;
        self.call_store(context, "POST", "/multi".into(), body, call);
    }
}

/// Membership queries and updates for the other modules.
impl Controller {
    /// Returns the epoch in which this controller leads, or 0 if it does not lead.
    pub(crate) fn epoch(&self) -> u64 {
        self.membership.election.epoch()
    }

    /// Returns whether this controller leads and has loaded all records.
    pub(crate) fn leads(&self) -> bool {
        self.membership.is_leader()
    }

    /// Returns whether this controller knows every job, so that a job missing from memory does not
    /// exist.
    pub(crate) fn knows_all_jobs(&self) -> bool {
        self.leads()
    }

    /// Returns whether this controller may answer heartbeats and send orders. It must lead, and its
    /// last proven contact with the store must be recent enough that every worker lease it renews
    /// expires before a later leader assumes that it has.
    pub(crate) fn may_command_workers(&self) -> bool {
        let bound_ms = self.membership.proven_contact_ms + self.context.config.lease_bound_ms();
        self.membership.role.holds_leadership()
            && self.context.now.steady_ms < bound_ms
            && !self.leadership_unverified()
    }

    /// Returns the name of the leading controller, as far as this controller knows.
    pub(crate) fn known_leader(&self) -> Option<String> {
        if self.membership.role.holds_leadership() {
            return Some(self.context.config.platform.node.clone());
        }
        self.membership.latest_leader().map(|leader| leader.node.clone())
    }

    /// Returns the index of the peer that leads, if the leader is a peer.
    pub(crate) fn leader_index(&self) -> Option<usize> {
        let leader = self.membership.latest_leader()?;
        peer_index(&self.context.config, &leader.node)
    }

    /// Returns the index of the peer that leads, if that peer is alive.
    pub(crate) fn live_leader_index(&self) -> Option<usize> {
        self.leader_index().filter(|&peer| self.peer_is_alive(peer))
    }

    /// Returns whether the peer was heard from within two heartbeat intervals and reported that the
    /// store is reachable.
    pub(crate) fn peer_can_serve(&self, peer: usize) -> bool {
        self.membership.peers.is_serving(peer, &self.context)
    }

    /// Returns whether the peer was heard from within three heartbeat intervals.
    pub(crate) fn peer_is_alive(&self, peer: usize) -> bool {
        self.membership.peers.is_alive(peer, &self.context)
    }

    /// Returns when the leader was last heard from. Time before the end of a stall does not count
    /// as silence of the leader.
    fn leader_heard_ms(&self) -> Option<u64> {
        let heard_ms = self.membership.leader_heard_ms(&self.context.config)?;
        Some(heard_ms.max(self.stall.resumed_ms()))
    }

    /// Returns whether a peer holds the leader key and nothing was heard from it for 5/4 of a
    /// heartbeat interval.
    pub(crate) fn leader_missed_heartbeat(&self) -> bool {
        let limit_ms = heartbeat_interval_ms(&self.context.config) * 5 / 4;
        self.leader_heard_ms()
            .is_some_and(|heard_ms| self.context.now.steady_ms > heard_ms + limit_ms)
    }

    /// Returns whether the leader key exists but nothing was heard from the leader for two
    /// heartbeat intervals: the leader is unreachable from this controller or has just crashed.
    pub(crate) fn leader_out_of_reach(&self) -> bool {
        let limit_ms = 2 * heartbeat_interval_ms(&self.context.config);
        self.leader_heard_ms()
            .is_some_and(|heard_ms| self.context.now.steady_ms > heard_ms + limit_ms)
    }

    /// Returns the first live peer that reports the store as reachable.
    pub(crate) fn peer_with_store(&self) -> Option<usize> {
        self.membership.peers.first_with_store(&self.context)
    }

    /// Returns whether the store has answered within the last watch period plus two request
    /// timeouts.
    pub(crate) fn store_reachable(&self) -> bool {
        self.membership.store_reachable(&self.context)
    }

    /// Returns whether users should be routed to this controller: it supports the formats, the
    /// store has answered it at least once, and it can either reach the store or forward requests
    /// to a live peer.
    pub(crate) fn ready(&self) -> bool {
        if self.membership.store_answered_ms.is_none() || self.has_unsupported_format() {
            return false;
        }
        self.store_reachable() || self.membership.peers.any_alive(&self.context)
    }

    /// Returns the latest time up to which provably no lease proxy renewed a worker's lease, or 0
    /// while this cannot be proven, because a claim exists or claims have changed recently. Once a
    /// lease's expiry time has elapsed since then, no lease renewed by a proxy is left.
    pub(crate) fn unproxied_until_ms(&self) -> u64 {
        let watch = &self.membership.epoch_watch;
        watch.claims().unproxied_until_ms(watch.known_until_ms(), &self.context.config)
    }

    /// Returns the present epoch if it was proven within the lease bound and this controller's own
    /// lease cannot have expired.
    pub(crate) fn proven_epoch(&self) -> Option<u64> {
        let now = self.context.now.steady_ms;
        let config = &self.context.config;
        let epoch_valid_until_ms =
            self.membership.epoch_watch.known_until_ms() + config.lease_bound_ms();
        if !self.membership.lease.is_certainly_held(config, now) || now >= epoch_valid_until_ms {
            return None;
        }
        self.observed_epoch()
    }

    /// Returns the identifier of this controller's lease while the lease is held.
    pub(crate) fn controller_lease_id(&self) -> Option<u64> {
        self.membership.lease.id()
    }

    /// Returns the latest epoch seen in the control keys.
    pub(crate) fn observed_epoch(&self) -> Option<u64> {
        self.membership.epoch_watch.epoch().map(|epoch| epoch.record.epoch)
    }

    /// Returns the store revision of the latest epoch record seen in the control keys.
    pub(crate) fn observed_epoch_revision(&self) -> Option<u64> {
        self.membership.epoch_watch.epoch().map(|epoch| epoch.revision)
    }

    /// Records that the store has answered a request now.
    pub(crate) fn note_store_answer(&mut self) {
        self.membership.note_store_answer(self.context.now.steady_ms);
    }

    /// Builds the heartbeat that this controller sends to its peers.
    pub(crate) fn mesh_message(&self) -> MeshMessage {
        self.membership.mesh_message(&self.context)
    }

    /// Runs the periodic work that has become due. The order of the steps determines the order in
    /// which calls are sent, so it must not change.
    pub(crate) fn tick_membership(&mut self) {
        self.membership.update_store_reachability(&self.context);
        self.membership.tick_lease(&mut self.context);
        self.membership.tick_epoch_watch(&mut self.context);
        self.tick_election();
        self.membership.tick_heartbeats(&mut self.context);
        self.membership.tick_handoff_watch(&mut self.context);
        self.tick_start_lease();
    }
}
