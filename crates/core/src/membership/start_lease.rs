//! The start lease: until when the leader may start tasks, and what the other controllers promise.
//!
//! After a user has been told that a job is aborted, no task of the job may be started. An abort
//! may be recorded and confirmed by a controller that can't reach the leader. The leader therefore
//! starts tasks only while it provably knows every abort that may have been confirmed:
//!
//! - Each peer grants a start lease with its answer to a heartbeat of the leader. A controller that
//!   confirms an abort which the leader may not know stops granting, and waits until every lease
//!   that it has granted must have expired, or until the leader acknowledges the abort.
//! - A read of the handoff queue, sent while the leader key provably existed, proves all aborts
//!   recorded before it and grants the lease on behalf of every peer. A lease that has lapsed can be
//!   renewed by such a read alone, since the peer may have confirmed an abort in the meantime.
//!
//! While the store is out, nobody can record an abort, and the peers' answers keep the lease alive.
//! Lengths count from when a heartbeat or read was *sent*.

use quartzgate_wire::from_cbor;
use quartzgate_wire::msg::{ChangeLog, MeshMessage};

use super::calls::MembershipCall;
use super::Membership;
use crate::context::Context;
use crate::controller::Controller;
use crate::storage::records::HANDOFF_PREFIX;
use crate::Outcome;

/// The queue is read once less than the start lease's length divided by this is left of it.
const RENEW_BELOW_DIVISOR: u64 = 2;
/// Smallest time between two such reads, as the start lease's length divided by this.
const READ_INTERVAL_DIVISOR: u64 = 6;

/// The start lease as the leader holds it, and as this controller has granted it to others. Times
/// are steady milliseconds.
#[derive(Debug)]
pub(super) struct StartLease {
    /// Until when each peer, by its index in the settings, grants the lease to this leader.
    granted_until_ms: Vec<u64>,
    /// Until when reads of the handoff queue prove that no unknown abort is confirmed.
    proven_until_ms: u64,
    /// Whether a controller that the settings don't name has sent a message. Its grant is never
    /// received, so that reads alone renew the lease.
    has_unnamed_peer: bool,
    read_in_flight: bool,
    next_read_ms: u64,
    /// Whether the lease was held when it was last looked at.
    was_held: bool,
    /// When this controller last granted the lease to a leader, or started.
    last_granted_ms: Option<u64>,
}

impl StartLease {
    /// Creates the state of a controller with `peers` peers that holds no start lease.
    pub fn new(peers: usize) -> Self {
        StartLease {
            granted_until_ms: vec![0; peers],
            proven_until_ms: 0,
            has_unnamed_peer: false,
            read_in_flight: false,
            next_read_ms: 0,
            was_held: false,
            last_granted_ms: None,
        }
    }

    /// Records that a controller which the settings don't name takes part.
    pub fn on_unnamed_peer(&mut self) {
        self.has_unnamed_peer = true;
    }

    /// Returns when the lease ends: as soon as one peer no longer grants it.
    fn ends_ms(&self) -> u64 {
        let granted = self.granted_until_ms.iter().copied();
        let proven = self.has_unnamed_peer.then_some(self.proven_until_ms);
        granted.chain(proven).min().unwrap_or(u64::MAX)
    }

    /// Drops the lease that an earlier leadership held.
    fn reset(&mut self) {
        self.granted_until_ms.fill(0);
        self.proven_until_ms = 0;
        self.read_in_flight = false;
        self.next_read_ms = 0;
    }

    /// Extends the lease on behalf of all peers, after a read has proven all recorded aborts.
    fn on_proven(&mut self, until_ms: u64) {
        self.proven_until_ms = self.proven_until_ms.max(until_ms);
        for granted_until_ms in &mut self.granted_until_ms {
            *granted_until_ms = until_ms.max(*granted_until_ms);
        }
    }

    /// Extends a peer's grant, unless it has lapsed before this answer arrived at `now_ms`.
    fn on_granted(&mut self, peer: usize, until_ms: u64, now_ms: u64) {
        if let Some(granted_until_ms) = self.granted_until_ms.get_mut(peer) {
            if now_ms < *granted_until_ms {
                *granted_until_ms = until_ms.max(*granted_until_ms);
            }
        }
    }

    fn note_grant_given(&mut self, now_ms: u64) {
        self.last_granted_ms = Some(now_ms);
    }
}

impl Membership {
    /// Returns until when the leader key provably exists, so that no later epoch can have begun.
    fn leader_key_held_until_ms(&self, context: &Context) -> u64 {
        let lease_id = self.lease.id();
        match lease_id.is_some() && lease_id == self.election.leader_key_lease() {
            true => self.lease.certain_until_ms(&context.config),
            false => 0,
        }
    }

    /// Begins the lease of a new leadership. The records that the recovery reads from now on
    /// contain all aborts that are recorded so far.
    pub(super) fn begin_start_lease(&mut self, context: &Context) {
        self.start_lease.reset();
        self.prove_aborts_known(context, context.now.steady_ms);
    }

    /// Records that all aborts recorded before a read that was sent at `sent_ms` are known.
    pub(super) fn prove_aborts_known(&mut self, context: &Context, sent_ms: u64) {
        let held_until_ms = self.leader_key_held_until_ms(context);
        let until_ms = sent_ms + context.config.start_lease_ms();
        self.start_lease.on_proven(until_ms.min(held_until_ms));
    }

    /// Records a peer's answer to a heartbeat that this leader sent in its present epoch.
    pub(super) fn observe_grant_of_starts(&mut self, context: &Context, peer: usize, sent_ms: u64) {
        let until_ms = sent_ms + context.config.start_lease_ms();
        self.start_lease.on_granted(peer, until_ms, context.now.steady_ms);
    }

    /// Reads the handoff queue if the lease is about to end.
    fn renew_start_lease(&mut self, context: &mut Context) {
        let now = context.now.steady_ms;
        let lease_ms = context.config.start_lease_ms();
        let renew_from_ms =
            self.start_lease.ends_ms().saturating_sub(lease_ms / RENEW_BELOW_DIVISOR);
        if self.start_lease.read_in_flight
            || now < renew_from_ms
            || now < self.start_lease.next_read_ms
        {
            return;
        }
        self.start_lease.read_in_flight = true;
        self.start_lease.next_read_ms = now + lease_ms / READ_INTERVAL_DIVISOR;
        let since = self.handoff_watch.revision();
        let target = format!("/changes?starts={HANDOFF_PREFIX}&since={since}&block_ms=0");
        let call =
            MembershipCall::ReadHandoffChanges { sent_ms: now, epoch: self.election.epoch() };
        self.call_store(context, "GET", target, Vec::new(), call);
    }

    /// Returns whether this controller may grant the start lease to the sender of a heartbeat: the
    /// sender leads in the latest epoch that is known here.
    fn may_grant_starts(&self, message: &MeshMessage) -> bool {
        let known_epoch = self.latest_leader().map_or(0, |leader| leader.epoch);
        message.epoch >= known_epoch && !self.role.holds_leadership()
    }
}

impl Controller {
    /// Returns whether tasks may be started: this controller may command workers and provably knows
    /// every abort that may have been confirmed to a user.
    pub(crate) fn may_start_tasks(&self) -> bool {
        self.may_command_workers() && self.start_lease_left_ms() > 0
    }

    /// Returns for how long tasks may be started, in milliseconds.
    pub(crate) fn start_lease_left_ms(&self) -> u64 {
        self.membership.start_lease.ends_ms().saturating_sub(self.context.now.steady_ms)
    }

    /// Renews the start lease, and resumes starts that were held back while it had lapsed.
    pub(super) fn tick_start_lease(&mut self) {
        let now_ms = self.context.now.steady_ms;
        self.membership.start_lease.last_granted_ms.get_or_insert(now_ms);
        if !self.leads() {
            self.membership.start_lease.was_held = false;
            return;
        }
        self.membership.renew_start_lease(&mut self.context);
        let is_held = self.start_lease_left_ms() > 0;
        let was_held = std::mem::replace(&mut self.membership.start_lease.was_held, is_held);
        match (was_held, is_held) {
            (false, true) => self.resume_starts(),
            (true, false) => {
                tracing::info!("start lease lapsed: no task is started until it is renewed")
            }
            _ => {}
        }
    }

    fn resume_starts(&mut self) {
        tracing::info!("start lease held: tasks may be started");
        self.machines_to_command.extend(self.machines.indexes());
        self.dispatch_all_machines();
        self.placement_due = true;
    }

    /// Handles the read of the handoff queue that renews the start lease.
    pub(super) fn on_handoff_changes_read(&mut self, sent_ms: u64, outcome: Outcome) {
        self.membership.start_lease.read_in_flight = false;
        let changes = match outcome {
            Outcome::Answer(response) if response.status == 200 => {
                from_cbor::<ChangeLog>(&response.body).ok()
            }
            _ => None,
        };
        let Some(changes) = changes else { return };
        self.note_store_answer();
        // The watch delivers the same changes; an entry that is applied twice has no effect.
        self.apply_handoff_changes(changes);
        self.membership.prove_aborts_known(&self.context, sent_ms);
    }

    /// Decides whether the answer to a peer's heartbeat may grant the start lease, and records the
    /// grant. A heartbeat of a controller that doesn't lead asks for none.
    pub(super) fn grant_starts(&mut self, message: &MeshMessage) -> bool {
        if message.epoch == 0 || self.membership.role().holds_leadership() {
            return true;
        }
        if !self.membership.may_grant_starts(message) || self.has_unconfirmed_aborts() {
            return false;
        }
        self.membership.start_lease.note_grant_given(self.context.now.steady_ms);
        true
    }

    /// Returns whether every start lease that this controller has granted must have expired.
    pub(crate) fn granted_start_leases_are_over(&self) -> bool {
        let expiry_ms = self.context.config.start_lease_expiry_ms();
        let last_granted_ms = self.membership.start_lease.last_granted_ms;
        last_granted_ms.is_some_and(|at_ms| self.context.now.steady_ms >= at_ms + expiry_ms)
    }

    /// Returns whether this controller leads and no later epoch can have begun.
    pub(crate) fn leadership_is_certain(&self) -> bool {
        self.membership.role().holds_leadership()
            && self.context.now.steady_ms < self.membership.leader_key_held_until_ms(&self.context)
    }
}
