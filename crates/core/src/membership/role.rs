//! The role of this controller, and the state changes that accompany a change of role.

use super::Membership;
use crate::controller::{follower_share, leader_share, Controller};

/// Leadership role of this controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    Follower,
    /// Has campaigned for the leadership of this epoch and awaits the outcome.
    Candidate {
        epoch: u64,
    },
    /// Holds the leadership but is still reading the records, and decides nothing until that is
    /// complete.
    Recovering,
    Leader,
}

impl Role {
    /// Returns whether this controller holds the leadership, whether or not it has read all
    /// records.
    pub fn holds_leadership(self) -> bool {
        matches!(self, Role::Recovering | Role::Leader)
    }
}

impl Membership {
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns whether this controller leads and has loaded all records.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// Returns whether this controller holds the leadership although the later epoch `epoch` has
    /// begun.
    pub(super) fn is_superseded_by(&self, epoch: u64) -> bool {
        self.role.holds_leadership() && epoch > self.election.epoch()
    }
}

impl Controller {
    /// Changes this controller's role. No other function does.
    pub(crate) fn set_role(&mut self, role: Role) {
        let old = std::mem::replace(&mut self.membership.role, role);
        if old == role {
            return;
        }
        match role {
            Role::Follower => self.enter_follower(old),
            Role::Candidate { .. } => {}
            Role::Recovering => self.enter_recovering(),
            Role::Leader => self.enter_leader(),
        }
    }

    fn enter_leader(&mut self) {
        self.status_reads.forget_live_revisions();
        tracing::info!(
            epoch = self.epoch(),
            jobs = self.jobs.len(),
            took_ms = self.context.now.steady_ms - self.epoch_began_ms,
            "leader: recovery complete"
        );
    }

    fn enter_follower(&mut self, old: Role) {
        if old.holds_leadership() {
            let rate = follower_share(self.store_limits().rps, self.membership.controllers());
            self.membership.election.clear_epoch();
            self.membership.store_reads.reset(rate);
            self.clear_leader_state();
        }
        self.membership.epoch_watch.invalidate();
    }

    fn enter_recovering(&mut self) {
        let rate = leader_share(self.store_limits().rps);
        self.clear_leader_state();
        self.membership.store_reads.reset(rate);
        self.membership.handoff_watch.invalidate();
        self.membership.begin_start_lease(&self.context);
        tracing::info!(epoch = self.epoch(), "leader elected: recovery started");
        self.start_recovery();
    }
}
