//! This controller's own lease in the key-value store.
//!
//! The member key, the leader key and the lease proxy claim are attached to the lease and disappear
//! with it. The lease counts as held until the store reports its expiry. How long it is certain to
//! last is computed from when the latest successful renewal was *sent*, never from when its answer
//! arrived.

use quartzgate_wire::msg::{Change, LeaseAnswer, LeaseRequest, Transaction};
use quartzgate_wire::{from_cbor, to_cbor};

use super::calls::MembershipCall;
use super::Membership;
use crate::config::Config;
use crate::context::Context;
use crate::controller::Controller;
use crate::storage::records::{encode, member_key};
use crate::Outcome;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LeaseState {
    #[default]
    None,
    Requested,
    Held {
        lease_id: u64,
    },
}

/// State of the lease, and when it is next requested or renewed.
#[derive(Debug, Default)]
pub(super) struct ControllerLease {
    state: LeaseState,
    /// When the next grant or renewal is requested.
    due_ms: u64,
    renewal_in_flight: bool,
    /// When the latest grant or renewal that succeeded was sent.
    renewed_ms: u64,
    /// When the grant of the lease was received.
    granted_ms: u64,
}

/// Effect of a store answer on the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaseChange {
    Unchanged,
    Granted,
    Expired,
}

impl ControllerLease {
    /// Returns the identifier of the lease while it is held.
    pub fn id(&self) -> Option<u64> {
        match self.state {
            LeaseState::Held { lease_id } => Some(lease_id),
            LeaseState::None | LeaseState::Requested => None,
        }
    }

    /// Returns the identifier of the lease while it is held, if its grant was received by `time_ms`.
    pub fn id_granted_before(&self, time_ms: u64) -> Option<u64> {
        self.id().filter(|_| self.granted_ms <= time_ms)
    }

    /// Returns whether the lease cannot have expired yet.
    pub fn is_certainly_held(&self, config: &Config, now_ms: u64) -> bool {
        now_ms < self.certain_until_ms(config)
    }

    /// Returns until when the lease cannot expire, in steady milliseconds, with a margin of a tenth
    /// of its time to live.
    pub fn certain_until_ms(&self, config: &Config) -> u64 {
        self.renewed_ms + config.controller_lease_ttl_ms() * 9 / 10
    }

    /// Drops the lease; a new one is requested at the next tick.
    pub fn discard(&mut self) {
        self.state = LeaseState::None;
        self.due_ms = 0;
    }

    /// Makes a renewal due at once after a stall, even if an earlier renewal is still in flight.
    pub fn renew_now(&mut self, now_ms: u64) {
        self.renewal_in_flight = false;
        self.due_ms = now_ms;
    }

    fn grant(&mut self, lease_id: u64, sent_ms: u64, now_ms: u64) {
        self.state = LeaseState::Held { lease_id };
        self.renewed_ms = sent_ms;
        self.granted_ms = now_ms;
    }
}

impl Membership {
    /// Requests a lease, or renews it, if that is due.
    pub(super) fn tick_lease(&mut self, context: &mut Context) {
        let now = context.now.steady_ms;
        if now < self.lease.due_ms || self.lease.renewal_in_flight {
            return;
        }
        match self.lease.state {
            LeaseState::None => {
                self.lease.state = LeaseState::Requested;
                let ttl_ms = context.config.controller_lease_ttl_ms();
                let body = to_cbor(&LeaseRequest { ttl_ms });
                let call = MembershipCall::GrantLease { sent_ms: now };
                self.call_store(context, "POST", "/leases".into(), body, call);
            }
            LeaseState::Requested => {}
            LeaseState::Held { lease_id } => {
                self.lease.renewal_in_flight = true;
                self.lease.due_ms = now + context.config.lease_renewal_ms();
                let target = format!("/leases/{lease_id}/renew");
                let call = MembershipCall::RenewLease { sent_ms: now };
                self.call_store(context, "POST", target, Vec::new(), call);
            }
        }
    }

    fn observe_grant(&mut self, context: &Context, sent_ms: u64, outcome: Outcome) -> LeaseChange {
        let now = context.now.steady_ms;
        self.lease.state = LeaseState::None;
        self.lease.due_ms = now + context.config.lease_renewal_ms() / 2;
        let Outcome::Answer(response) = outcome else { return LeaseChange::Unchanged };
        if response.status != 200 {
            return LeaseChange::Unchanged;
        }
        let Ok(answer) = from_cbor::<LeaseAnswer>(&response.body) else {
            return LeaseChange::Unchanged;
        };
        self.note_store_answer(now);
        self.lease.grant(answer.lease_id, sent_ms, now);
        LeaseChange::Granted
    }

    fn observe_renewal(
        &mut self,
        context: &Context,
        sent_ms: u64,
        outcome: Outcome,
    ) -> LeaseChange {
        self.lease.renewal_in_flight = false;
        let Outcome::Answer(response) = outcome else { return LeaseChange::Unchanged };
        match response.status {
            200 => {
                self.note_store_answer(context.now.steady_ms);
                self.lease.renewed_ms = self.lease.renewed_ms.max(sent_ms);
                LeaseChange::Unchanged
            }
            404 => {
                self.note_store_answer(context.now.steady_ms);
                tracing::info!("controller lease expired; requesting a new one");
                self.lease.discard();
                LeaseChange::Expired
            }
            status => {
                tracing::debug!(status, "controller lease not renewed");
                LeaseChange::Unchanged
            }
        }
    }
}

impl Controller {
    /// Handles the outcome of a request for a lease.
    pub(super) fn on_lease_granted(&mut self, sent_ms: u64, outcome: Outcome) {
        let change = self.membership.observe_grant(&self.context, sent_ms, outcome);
        self.on_lease_change(change);
    }

    /// Handles the outcome of a lease renewal.
    pub(super) fn on_lease_renewed(&mut self, sent_ms: u64, outcome: Outcome) {
        let change = self.membership.observe_renewal(&self.context, sent_ms, outcome);
        self.on_lease_change(change);
    }

    /// Applies a change of the lease. A lease proxy claim attached to the previous lease has
    /// disappeared with it.
    fn on_lease_change(&mut self, change: LeaseChange) {
        match change {
            LeaseChange::Unchanged => {}
            LeaseChange::Granted => {
                self.release_claim();
                self.write_member_key();
            }
            LeaseChange::Expired => self.release_claim(),
        }
    }

    /// Writes this controller's member key, which exists for as long as its lease is held.
    pub(crate) fn write_member_key(&mut self) {
        let Some(lease_id) = self.controller_lease_id() else { return };
        let node = self.context.config.platform.node.clone();
        let set =
            Change::Set { set: member_key(&node), value: encode(&node), lease_id: Some(lease_id) };
        let body = to_cbor(&Transaction { guards: Vec::new(), apply: vec![set] });
        self.record_writer.write_limiter.charge(self.context.now.steady_ms, 1.0);
        self.membership.write_unconfirmed(&mut self.context, body);
    }
}
