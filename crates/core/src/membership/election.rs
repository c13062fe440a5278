//! Elections: how this controller campaigns for the leadership of an epoch.
//!
//! A single transaction sets the leader key, attached to this controller's lease, and, for a new
//! epoch, the epoch record. It is guarded by the revisions of both keys last seen, so at most one
//! of several candidates wins and epochs only increase. While the outcome of a campaign for a new
//! epoch is indeterminate, this controller decides nothing and reads the control keys again.

use quartzgate_feature_gates::Feature;
use quartzgate_wire::msg::{Change, Guard, Transaction, TransactionAnswer};
use quartzgate_wire::{from_cbor, to_cbor};

use super::calls::MembershipCall;
use super::role::Role;
use super::watch::Revisioned;
use crate::controller::Controller;
use crate::storage::records::{encode, EpochRecord, LeaderRecord, EPOCH_KEY, LEADER_KEY};
use crate::Outcome;

/// Number of consecutive times a restarted controller may retake the leadership from its previous
/// incarnation before it lets another controller lead. Without this limit, a controller that
/// crashes whenever it leads would keep all others from leading.
const MAX_RETAKES: u32 = 2;

/// Timing of this controller's campaigns, and the epoch that it has won.
#[derive(Debug, Default)]
pub(super) struct Election {
    /// Earliest time for the next campaign.
    due_ms: u64,
    /// When this controller last campaigned.
    sent_ms: u64,
    /// Epoch in which this controller leads; 0 if it does not lead.
    epoch: u64,
    /// Store revision of that epoch's record.
    epoch_revision: u64,
    /// Lease that the leader key is attached to, as far as this leader knows.
    leader_key_lease: Option<u64>,
}

impl Election {
    /// Returns the epoch in which this controller leads, or 0 if it does not lead.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the store revision of that epoch's record.
    pub fn epoch_revision(&self) -> u64 {
        self.epoch_revision
    }

    /// Returns the lease that the leader key is attached to while this controller leads.
    pub fn leader_key_lease(&self) -> Option<u64> {
        self.leader_key_lease
    }

    /// Records the lease that the leader key is attached to.
    pub fn set_leader_key_lease(&mut self, lease_id: Option<u64>) {
        self.leader_key_lease = lease_id;
    }

    /// Postpones the next campaign until `due_ms`; never moves it to an earlier time.
    pub fn postpone_until(&mut self, due_ms: u64) {
        self.due_ms = self.due_ms.max(due_ms);
    }

    /// Records that this controller no longer leads.
    pub fn clear_epoch(&mut self) {
        self.epoch = 0;
    }

    fn win(&mut self, epoch: u64, revision: u64) {
        self.epoch = epoch;
        self.epoch_revision = revision;
    }
}

/// Parameters of a campaign.
#[derive(Clone, Copy, Debug)]
struct Candidacy {
    /// Revision of the leader key to replace; 0 if the key must not exist.
    leader_revision: u64,
    /// Epoch to continue; `None` starts a new epoch.
    continued_epoch: Option<u64>,
    retakes: u32,
}

#[derive(Clone, Copy, Debug)]
enum ElectionStep {
    Wait,
    Campaign(Candidacy),
    /// Deletes the leader key of the previous incarnation so that another controller can lead.
    YieldLeadership {
        leader_revision: u64,
    },
}

impl Controller {
    /// Campaigns, or yields the leadership, if that is due.
    pub(super) fn tick_election(&mut self) {
        let Some(lease_id) = self.controller_lease_id() else { return };
        if self.has_unsupported_format() || !self.membership.epoch_watch.is_read() {
            return;
        }
        match self.next_election_step() {
            ElectionStep::Wait => {}
            ElectionStep::Campaign(candidacy) => self.campaign(lease_id, candidacy),
            ElectionStep::YieldLeadership { leader_revision } => {
                self.yield_leadership(leader_revision)
            }
        }
    }

    fn next_election_step(&self) -> ElectionStep {
        let now = self.context.now.steady_ms;
        let election = &self.membership.election;
        let own_node = &self.context.config.platform.node;
        match (self.membership.epoch_watch.leader(), self.membership.role()) {
            (_, Role::Candidate { .. }) => ElectionStep::Wait,
            (Some(leader), Role::Follower) if leader.record.node == *own_node => {
                self.retake_leadership(leader)
            }
            (Some(_), _) => ElectionStep::Wait,
            (None, Role::Follower) if now < election.due_ms => ElectionStep::Wait,
            (None, Role::Follower) => ElectionStep::Campaign(Candidacy {
                leader_revision: 0,
                continued_epoch: None,
                retakes: 0,
            }),
            // The leader key disappeared with an expired lease, but no other controller has led
            // since, so the epoch continues.
            (None, Role::Leader | Role::Recovering) => ElectionStep::Campaign(Candidacy {
                leader_revision: 0,
                continued_epoch: Some(election.epoch),
                retakes: 0,
            }),
        }
    }

    /// Decides how to proceed when the leader key belongs to this controller's previous
    /// incarnation: there is no need to wait for its lease to expire. Whether retakes may be
    /// counted depends on the record format.
    fn retake_leadership(&self, leader: &Revisioned<LeaderRecord>) -> ElectionStep {
        if !self.knows_format() {
            return ElectionStep::Wait;
        }
        let leader_revision = leader.revision;
        let retakes = leader.record.retakes;
        if retakes >= MAX_RETAKES {
            return ElectionStep::YieldLeadership { leader_revision };
        }
        let counted = self.is_active(Feature::SplitPlacementRecords);
        let retakes = if counted { retakes + 1 } else { 0 };
        ElectionStep::Campaign(Candidacy { leader_revision, continued_epoch: None, retakes })
    }

    fn campaign(&mut self, lease_id: u64, candidacy: Candidacy) {
        let now = self.context.now.steady_ms;
        let observed = self.membership.epoch_watch.epoch();
        let observed_epoch = observed.map_or(0, |epoch| epoch.record.epoch);
        let epoch_revision = observed.map_or(0, |epoch| epoch.revision);
        if candidacy.continued_epoch.is_some_and(|epoch| epoch != observed_epoch) {
            return;
        }
        let epoch = candidacy.continued_epoch.unwrap_or(observed_epoch + 1);
        let apply = self.election_changes(lease_id, epoch, &candidacy);
        let guards = vec![
            Guard { key: LEADER_KEY.into(), revision: candidacy.leader_revision },
            Guard { key: EPOCH_KEY.into(), revision: epoch_revision },
        ];
        self.record_writer.write_limiter.charge(now, apply.len() as f64);
        let renewal_ms = self.context.config.lease_renewal_ms();
        // A follower that finds no leader key campaigns again a renewal interval from now at the
        // earliest.
        self.membership.election.due_ms = now + renewal_ms;
        if candidacy.continued_epoch.is_none() {
            self.membership.election.set_leader_key_lease(Some(lease_id));
            self.set_role(Role::Candidate { epoch });
        } else {
            // The control keys, which are read again, show the key's lease.
            self.membership.election.set_leader_key_lease(None);
            self.membership.epoch_watch.invalidate_until(now + renewal_ms / 2);
        }
        self.membership.election.sent_ms = now;
        let body = to_cbor(&Transaction { guards, apply });
        let call = MembershipCall::Elect { epoch };
        self.membership.call_store(&mut self.context, "POST", "/multi".into(), body, call);
    }

    fn election_changes(&self, lease_id: u64, epoch: u64, candidacy: &Candidacy) -> Vec<Change> {
        let node = self.context.config.platform.node.clone();
        let leader = LeaderRecord { epoch, node: node.clone(), retakes: candidacy.retakes };
        let mut changes = vec![Change::Set {
            set: LEADER_KEY.into(),
            value: encode(&leader),
            lease_id: Some(lease_id),
        }];
        if candidacy.continued_epoch.is_none() {
            let record = EpochRecord { epoch, leader: node.clone(), members: vec![node] };
            let value = encode(&record);
            changes.push(Change::Set { set: EPOCH_KEY.into(), value, lease_id: None });
        }
        changes
    }

    /// Deletes the leader key of the previous incarnation. This controller campaigns again only
    /// after the other controllers have had time to do so.
    fn yield_leadership(&mut self, leader_revision: u64) {
        let now = self.context.now.steady_ms;
        tracing::info!("leadership retaken too often after crashes: yielding it");
        let config = &self.context.config;
        self.membership.epoch_watch.clear_leader();
        self.membership.election.due_ms = now + config.controller_lease_ttl_ms() / 2;
        self.membership.epoch_watch.invalidate_until(now + config.lease_renewal_ms() / 2);
        self.record_writer.write_limiter.charge(now, 1.0);
        let body = to_cbor(&Transaction {
            guards: vec![Guard { key: LEADER_KEY.into(), revision: leader_revision }],
            apply: vec![Change::Delete { delete: LEADER_KEY.into() }],
        });
        self.membership.write_unconfirmed(&mut self.context, body);
    }

    /// Handles the outcome of a campaign for the new epoch `epoch`. The outcome of a campaign that
    /// continues an epoch is ignored here: the control keys, which are read again, show it.
    pub(super) fn on_election_outcome(&mut self, epoch: u64, outcome: Outcome) {
        if self.membership.role() != (Role::Candidate { epoch }) {
            return;
        }
        match outcome {
            Outcome::Answer(response) if response.status == 200 => {
                match from_cbor::<TransactionAnswer>(&response.body) {
                    Ok(answer) => self.on_elected(epoch, answer.store_revision),
                    Err(_) => self.set_role(Role::Follower),
                }
            }
            Outcome::Answer(response) => {
                // The store does not know the lease.
                if response.status == 400 {
                    self.membership.lease.discard();
                }
                self.set_role(Role::Follower)
            }
            // The outcome may be indeterminate, so the control keys are read again. If they name
            // this controller as leader, it starts a new epoch after the one that it may have won.
            Outcome::NotSent | Outcome::Lost => self.set_role(Role::Follower),
        }
    }

    fn on_elected(&mut self, epoch: u64, revision: u64) {
        let now = self.context.now.steady_ms;
        let node = self.context.config.platform.node.clone();
        let membership = &mut self.membership;
        membership.note_store_answer(now);
        membership.election.win(epoch, revision);
        membership.proven_contact_ms = membership.election.sent_ms;
        self.epoch_began_ms = now;
        let leader = LeaderRecord { epoch, node: node.clone(), retakes: 0 };
        let record = EpochRecord { epoch, leader: node.clone(), members: vec![node] };
        membership.epoch_watch.on_elected(leader, record, revision);
        self.set_role(Role::Recovering);
        self.membership.send_heartbeats(&mut self.context);
    }
}
