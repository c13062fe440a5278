//! Elections: how this controller asks the store for the leadership of an epoch.
//!
//! One transaction sets the leader key, attached to this controller's lease, and the epoch
//! record, both guarded by the revisions that were seen; so of several candidates one wins at
//! most, and epochs only grow. While the outcome is unknown this controller decides nothing: it
//! reads the control keys again.

use quartzgate_feature_gates::Feature;
use quartzgate_wire::msg::{Change, Guard, Transaction, TransactionAnswer};
use quartzgate_wire::{from_cbor, to_cbor};

use super::calls::MembershipCall;
use super::role::Role;
use super::watch::Revisioned;
use crate::controller::Controller;
use crate::storage::records::{encode, EpochRecord, LeaderRecord, EPOCH_KEY, LEADER_KEY};
use crate::Outcome;

/// Times in a row that a restarted controller takes the leadership again from its previous
/// incarnation. After that another one may lead: a controller that crashes whenever it leads
/// would otherwise keep all others from it.
const MAX_RETAKES: u32 = 2;

/// When this controller may campaign, and the epoch that it has won.
#[derive(Debug, Default)]
pub(super) struct Election {
    /// Earliest moment for the next attempt.
    due_ms: u64,
    /// When the leadership was last asked for.
    sent_ms: u64,
    /// Epoch in which this controller leads; 0 if it does not.
    epoch: u64,
    /// The store's revision of that epoch's record.
    epoch_revision: u64,
}

impl Election {
    /// Epoch in which this controller leads; 0 if it does not.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The store's revision of that epoch's record.
    pub fn epoch_revision(&self) -> u64 {
        self.epoch_revision
    }

    /// No attempt before this moment, nor before any that was set earlier.
    pub fn postpone_until(&mut self, due_ms: u64) {
        self.due_ms = self.due_ms.max(due_ms);
    }

    /// This controller leads no longer.
    pub fn clear_epoch(&mut self) {
        self.epoch = 0;
    }

    fn win(&mut self, epoch: u64, revision: u64) {
        self.epoch = epoch;
        self.epoch_revision = revision;
    }
}

/// What to ask the store for.
#[derive(Clone, Copy, Debug)]
struct Candidacy {
    /// Revision of the leader key that is replaced; 0 if there must be none.
    leader_revision: u64,
    /// The epoch that goes on; a new one begins if there is none.
    continued_epoch: Option<u64>,
    retakes: u32,
}

#[derive(Clone, Copy, Debug)]
enum ElectionStep {
    Wait,
    Campaign(Candidacy),
    /// Deletes the leader key of the previous incarnation, so that another may lead.
    YieldLeadership {
        leader_revision: u64,
    },
}

impl Controller {
    /// Campaigns if there is no leader and that is due.
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
            // The key vanished with a lease, but nobody has led since: the epoch goes on.
            (None, Role::Leader | Role::Recovering) => ElectionStep::Campaign(Candidacy {
                leader_revision: 0,
                continued_epoch: Some(election.epoch),
                retakes: 0,
            }),
        }
    }

    /// The leader key is of this controller's previous incarnation: there is no need to wait
    /// until its lease expires. Whether retakes may be counted depends on the record format.
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
            Guard { path: LEADER_KEY.into(), revision: candidacy.leader_revision },
            Guard { path: EPOCH_KEY.into(), revision: epoch_revision },
        ];
        self.record_writer.writes.force(now, apply.len() as f64);
        let renewal_ms = self.context.config.lease_renewal_ms();
        // No second attempt before the outcome of this one is known.
        self.membership.election.due_ms = now + renewal_ms;
        if candidacy.continued_epoch.is_none() {
            self.set_role(Role::Candidate { epoch });
        } else {
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
    /// when nobody else has for a while.
    fn yield_leadership(&mut self, leader_revision: u64) {
        let now = self.context.now.steady_ms;
        tracing::info!("leadership retaken too often after crashes: yielding it");
        let config = &self.context.config;
        self.membership.epoch_watch.clear_leader();
        self.membership.election.due_ms = now + config.controller_lease_ttl_ms() / 2;
        self.membership.epoch_watch.invalidate_until(now + config.lease_renewal_ms() / 2);
        self.record_writer.writes.force(now, 1.0);
        let body = to_cbor(&Transaction {
            guards: vec![Guard { path: LEADER_KEY.into(), revision: leader_revision }],
            apply: vec![Change::Delete { delete: LEADER_KEY.into() }],
        });
        self.membership.write_unconfirmed(&mut self.context, body);
    }

    /// Takes in how the store has answered a candidacy.
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
                // The store doesn't know the lease.
                if response.status == 400 {
                    self.membership.lease.discard();
                }
                self.set_role(Role::Follower)
            }
            // Indeterminate: the keys are read again, and if this controller leads by them, it
            // begins a new epoch over the one that it may have won.
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
