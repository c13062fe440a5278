//! Watches the control keys: the epoch record, the leader key, the claims of lease proxies and the
//! mailboxes.
//!
//! All control keys share one prefix, so a single watch delivers every change in revision order.
//! The watch also proves up to which time the control keys are known: no later epoch can have begun
//! before `known_until_ms` without having been seen here. An answer proves only the state at the
//! time its request was *sent*. Answers to requests sent before a stall are dropped.

use quartzgate_wire::from_cbor;
use quartzgate_wire::msg::{ChangeEvent, ChangeLog, KeyValueList};
use rand::Rng;

use super::calls::MembershipCall;
use super::proxy_claims::ProxyClaims;
use super::watch::{Revisioned, WatchState};
use super::Membership;
use crate::config::Config;
use crate::context::Context;
use crate::controller::Controller;
use crate::storage::records::{
    decode, EpochRecord, LeaderRecord, EPOCH_KEY, LEADER_KEY, LEASE_PROXY_PREFIX,
};
use crate::Outcome;

/// The controllers' campaigns are staggered by a controller lease's time to live divided by this
/// number.
const ELECTION_STAGGER_DIVISOR: u64 = 50;

/// Progress of the watch, and the control records seen so far.
#[derive(Debug, Default)]
pub(super) struct EpochWatch {
    state: WatchState,
    /// Earliest time at which the keys are next read or watched.
    due_ms: u64,
    /// Store revision up to which changes have been applied.
    revision: u64,
    /// When the most recent read or watch was sent; 0 after a stall.
    sent_ms: u64,
    /// Latest time up to which the control keys are proven to be known.
    known_until_ms: u64,
    epoch: Option<Revisioned<EpochRecord>>,
    leader: Option<Revisioned<LeaderRecord>>,
    /// When the present leader was first seen to lead.
    leader_since_ms: u64,
    claims: ProxyClaims,
}

impl EpochWatch {
    /// Returns the latest time, in steady milliseconds, up to which the control keys are proven to
    /// be known.
    pub fn known_until_ms(&self) -> u64 {
        self.known_until_ms
    }

    /// Returns the record of the latest epoch, if one has been seen.
    pub fn epoch(&self) -> Option<&Revisioned<EpochRecord>> {
        self.epoch.as_ref()
    }

    /// Returns the leader key, if it exists.
    pub fn leader(&self) -> Option<&Revisioned<LeaderRecord>> {
        self.leader.as_ref()
    }

    /// Returns when the present leader was first seen to lead, in steady milliseconds.
    pub fn leader_since_ms(&self) -> u64 {
        self.leader_since_ms
    }

    /// Returns the lease proxy claims that are known to exist.
    pub fn claims(&self) -> &ProxyClaims {
        &self.claims
    }

    /// Returns whether the keys have been read and no change since then can be missed.
    pub fn is_read(&self) -> bool {
        matches!(self.state, WatchState::Idle | WatchState::Watching)
    }

    /// Marks the keys as unread, so that they are read again.
    pub fn invalidate(&mut self) {
        self.state = WatchState::Unread;
    }

    /// Marks the keys as unread and delays the next read until `due_ms`.
    pub fn invalidate_until(&mut self, due_ms: u64) {
        self.invalidate();
        self.due_ms = due_ms;
    }

    /// Restarts after a stall: the keys are read at once, and answers to earlier requests are
    /// dropped.
    pub fn restart(&mut self, now_ms: u64) {
        self.invalidate_until(now_ms);
        self.sent_ms = 0;
    }

    /// Stores the records of an election that this controller has won.
    pub fn on_elected(&mut self, leader: LeaderRecord, epoch: EpochRecord, revision: u64) {
        self.leader = Some(Revisioned { record: leader, revision });
        self.epoch = Some(Revisioned { record: epoch, revision });
    }

    /// Forgets the leader key, because this controller deletes it.
    pub fn clear_leader(&mut self) {
        self.leader = None;
    }

    /// Records that changes up to `revision` have been received, for the caller to apply; the watch
    /// can continue from there without delay.
    fn advance(&mut self, revision: u64, sent_ms: u64) {
        self.revision = revision;
        self.known_until_ms = self.known_until_ms.max(sent_ms);
        self.state = WatchState::Idle;
        self.due_ms = 0;
    }
}

/// A lease proxy claim as read from the control keys.
struct ProxyClaimKey {
    node: String,
    revision: u64,
}

/// The control keys as of one store revision.
#[derive(Default)]
struct ControlSnapshot {
    epoch: Option<Revisioned<EpochRecord>>,
    leader: Option<Revisioned<LeaderRecord>>,
    claims: Vec<ProxyClaimKey>,
}

impl ControlSnapshot {
    /// Parses a list of control keys. Returns `None` if the epoch record cannot be decoded, because
    /// it is then unknown who may lead.
    fn parse(list: &KeyValueList) -> Option<Self> {
        let mut snapshot = ControlSnapshot::default();
        for pair in &list.pairs {
            let revision = pair.revision;
            match pair.key.as_str() {
                LEADER_KEY => {
                    let record = decode::<LeaderRecord>(&pair.value);
                    snapshot.leader = record.map(|record| Revisioned { record, revision });
                }
                EPOCH_KEY => match decode::<EpochRecord>(&pair.value) {
                    Some(record) => snapshot.epoch = Some(Revisioned { record, revision }),
                    None => {
                        tracing::error!("epoch record unreadable; not leading");
                        return None;
                    }
                },
                key => {
                    let node = key.strip_prefix(LEASE_PROXY_PREFIX);
                    let claim = node.map(|node| ProxyClaimKey { node: node.to_string(), revision });
                    snapshot.claims.extend(claim);
                }
            }
        }
        Some(snapshot)
    }

    fn has_claim(&self, node: &str) -> bool {
        self.claims.iter().any(|claim| claim.node == node)
    }
}

impl Membership {
    /// Reads or watches the control keys if that is due.
    pub(super) fn tick_epoch_watch(&mut self, context: &mut Context) {
        if context.now.steady_ms < self.epoch_watch.due_ms {
            return;
        }
        match self.epoch_watch.state {
            WatchState::Unread => self.read_control_keys(context),
            WatchState::Idle => self.watch_control_keys(context),
            WatchState::Reading | WatchState::Watching => {}
        }
    }

    fn read_control_keys(&mut self, context: &mut Context) {
        let now = context.now.steady_ms;
        self.epoch_watch.state = WatchState::Reading;
        self.epoch_watch.sent_ms = now;
        let target = format!("/keys?starts={EPOCH_KEY}");
        let call = MembershipCall::ReadControlKeys { sent_ms: now };
        self.call_store(context, "GET", target, Vec::new(), call);
    }

    fn watch_control_keys(&mut self, context: &mut Context) {
        let now = context.now.steady_ms;
        self.epoch_watch.state = WatchState::Watching;
        self.epoch_watch.sent_ms = now;
        let call = MembershipCall::WatchControlKeys { sent_ms: now };
        self.watch_store(context, EPOCH_KEY, self.epoch_watch.revision, call);
    }

    /// Applies the proxy claims of a full read. The epoch and leader records are returned for the
    /// controller to apply.
    fn observe_control_keys(
        &mut self,
        context: &Context,
        sent_ms: u64,
        outcome: Outcome,
    ) -> Option<ControlSnapshot> {
        let now = context.now.steady_ms;
        // After this read was sent, the process stalled and the watch was restarted.
        if self.epoch_watch.sent_ms != sent_ms {
            return None;
        }
        self.epoch_watch.invalidate_until(retry_ms(&context.config, now));
        let Outcome::Answer(response) = outcome else { return None };
        if response.status != 200 {
            return None;
        }
        let list = from_cbor::<KeyValueList>(&response.body).ok()?;
        self.note_store_answer(now);
        let snapshot = ControlSnapshot::parse(&list)?;
        self.replace_proxy_claims(&snapshot, now);
        self.epoch_watch.advance(list.store_revision, sent_ms);
        Some(snapshot)
    }

    fn replace_proxy_claims(&mut self, snapshot: &ControlSnapshot, now_ms: u64) {
        self.epoch_watch.claims.on_reread(now_ms);
        for node in self.epoch_watch.claims.nodes() {
            if !snapshot.has_claim(&node) {
                self.observe_proxy_claim(&node, None, now_ms);
            }
        }
        for claim in &snapshot.claims {
            self.observe_proxy_claim(&claim.node, Some(claim.revision), now_ms);
        }
    }

    fn observe_proxy_claim(&mut self, node: &str, revision: Option<u64>, now_ms: u64) {
        let changed = self.epoch_watch.claims.observe(node, revision, now_ms);
        if changed && self.is_leader() {
            let claimed = revision.is_some();
            tracing::info!(node, claimed, "lease proxy claim changed");
        }
    }

    /// Handles the outcome of a watch and returns the changes that it delivered.
    fn observe_control_changes(
        &mut self,
        context: &Context,
        sent_ms: u64,
        outcome: Outcome,
    ) -> Option<ChangeLog> {
        let now = context.now.steady_ms;
        let restarted = self.epoch_watch.sent_ms != sent_ms;
        if self.epoch_watch.state != WatchState::Watching || restarted {
            return None;
        }
        // The watch resumes from its previous revision, so that no change is missed.
        self.epoch_watch.state = WatchState::Idle;
        self.epoch_watch.due_ms = now.max(sent_ms + context.config.lease_renewal_ms());
        let Outcome::Answer(response) = outcome else { return None };
        match response.status {
            200 => {}
            // The store no longer has the changes since that revision.
            410 => {
                self.note_store_answer(now);
                self.epoch_watch.invalidate();
                return None;
            }
            _ => {
                self.epoch_watch.due_ms = retry_ms(&context.config, now);
                return None;
            }
        }
        let changes = from_cbor::<ChangeLog>(&response.body).ok()?;
        self.note_store_answer(now);
        self.epoch_watch.advance(changes.store_revision, sent_ms);
        self.advance_proven_contact();
        Some(changes)
    }

    fn observe_leader(&mut self, context: &mut Context, leader: Option<Revisioned<LeaderRecord>>) {
        let now = context.now.steady_ms;
        if !same_leadership(leader.as_ref(), self.epoch_watch.leader()) {
            self.epoch_watch.leader_since_ms = now;
            match &leader {
                Some(Revisioned { record, .. }) => {
                    tracing::info!(leader = %record.node, epoch = record.epoch, "leader observed")
                }
                None => tracing::info!("leader key absent"),
            }
        }
        if leader.is_none() {
            let delay_ms = election_delay_ms(context);
            self.election.postpone_until(now + delay_ms);
        }
        self.epoch_watch.leader = leader;
    }
}

/// Returns when to retry a failed read or watch.
fn retry_ms(config: &Config, now_ms: u64) -> u64 {
    now_ms + config.lease_renewal_ms() / 2
}

fn same_leadership(
    left: Option<&Revisioned<LeaderRecord>>,
    right: Option<&Revisioned<LeaderRecord>>,
) -> bool {
    let identity = |leader: &Revisioned<LeaderRecord>| {
        let record = &leader.record;
        (record.node.clone(), record.epoch)
    };
    left.map(identity) == right.map(identity)
}

/// Returns how long this controller waits before it campaigns. Controllers are staggered by the
/// order of their names, so that two of them rarely campaign at the same time.
fn election_delay_ms(context: &mut Context) -> u64 {
    let platform = &context.config.platform;
    let preceding = platform.siblings.iter().filter(|sibling| sibling.node < platform.node);
    let position = preceding.count() as u64;
    let step_ms = context.config.controller_lease_ttl_ms() / ELECTION_STAGGER_DIVISOR;
    position * step_ms + context.rng.random_range(0..step_ms.max(1))
}

impl Controller {
    /// Handles a full read of the control keys, and starts a watch from its revision.
    pub(super) fn on_control_keys_read(&mut self, sent_ms: u64, outcome: Outcome) {
        let snapshot = self.membership.observe_control_keys(&self.context, sent_ms, outcome);
        let Some(snapshot) = snapshot else { return };
        self.observe_epoch(snapshot.epoch);
        self.observe_own_leader_key(snapshot.leader.as_ref(), sent_ms);
        self.membership.observe_leader(&mut self.context, snapshot.leader);
        self.verify_leadership();
        self.membership.watch_control_keys(&mut self.context);
    }

    /// Records whether this leader's key is attached to its present lease, as a read that was sent
    /// at `sent_ms` shows it: a key of an earlier lease has disappeared with that lease.
    fn observe_own_leader_key(&mut self, leader: Option<&Revisioned<LeaderRecord>>, sent_ms: u64) {
        let membership = &mut self.membership;
        let epoch = membership.election.epoch();
        let is_own = leader.is_some_and(|leader| leader.record.epoch == epoch);
        let lease_id = membership.lease.id_granted_before(sent_ms).filter(|_| is_own);
        if epoch > 0 {
            membership.election.set_leader_key_lease(lease_id);
        }
    }

    /// Applies the changes delivered by a watch in revision order, and continues the watch.
    pub(super) fn on_control_keys_changed(&mut self, sent_ms: u64, outcome: Outcome) {
        let changes = self.membership.observe_control_changes(&self.context, sent_ms, outcome);
        let Some(changes) = changes else { return };
        for change in changes.log {
            self.observe_control_change(change);
        }
        self.membership.watch_control_keys(&mut self.context);
    }

    fn observe_control_change(&mut self, change: ChangeEvent) {
        let now = self.context.now.steady_ms;
        if let Some(key) = &change.set {
            let Some(value) = &change.value else { return };
            self.observe_control_record(key, value, change.revision);
            return;
        }
        let Some(key) = &change.delete else { return };
        if key == LEADER_KEY {
            self.membership.observe_leader(&mut self.context, None);
        } else if let Some(node) = key.strip_prefix(LEASE_PROXY_PREFIX) {
            self.membership.observe_proxy_claim(node, None, now);
        }
    }

    fn observe_control_record(&mut self, key: &str, value: &ciborium::value::Value, revision: u64) {
        let now = self.context.now.steady_ms;
        if key == LEADER_KEY {
            let record = decode::<LeaderRecord>(value);
            let leader = record.map(|record| Revisioned { record, revision });
            self.membership.observe_leader(&mut self.context, leader);
        } else if key == EPOCH_KEY {
            if let Some(record) = decode::<EpochRecord>(value) {
                self.observe_epoch(Some(Revisioned { record, revision }));
            }
        } else if let Some(node) = key.strip_prefix(LEASE_PROXY_PREFIX) {
            self.membership.observe_proxy_claim(node, Some(revision), now);
        } else {
            self.on_mailbox_record(key, value);
        }
    }

    fn observe_epoch(&mut self, epoch: Option<Revisioned<EpochRecord>>) {
        if let Some(Revisioned { record, .. }) = &epoch {
            if self.membership.is_superseded_by(record.epoch) {
                let epoch = record.epoch;
                tracing::info!(epoch, leader = %record.leader, "superseded: later epoch recorded");
                self.step_down();
            }
        }
        self.membership.epoch_watch.epoch = epoch;
    }
}
