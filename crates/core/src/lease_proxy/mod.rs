//! Lease proxy: a controller that does not lead answers the heartbeats of workers that cannot reach
//! the leader, so that their running tasks continue. A lease proxy starts no tasks.
//!
//! A proxy records a claim in the store before it renews any worker's lease ([`claim`]). The leader
//! does not assume that a silent machine runs no tasks while a claim exists, nor until a lease's
//! time has elapsed since it saw a claim disappear. [`serve`] defines the conditions under which
//! heartbeats are answered. The leader and the proxy exchange heartbeats and orders through the
//! store ([`mailbox`]).

mod calls;
mod claim;
mod fencing;
pub(crate) mod mailbox;
mod parked_heartbeats;
mod proxied_jobs;
mod proxied_workers;
mod serve;

pub(crate) use calls::LeaseProxyCall;

use crate::config::Config;
use crate::context::{CallTable, Context};
use crate::controller::Controller;
use crate::{CallId, Peer};
use claim::ProxyClaim;
use fencing::TokenRaises;
use parked_heartbeats::ParkedHeartbeats;
use proxied_jobs::ProxiedJobs;
use proxied_workers::ProxiedWorkers;

/// Lease proxy state of this controller.
pub(crate) struct LeaseProxy {
    claim: ProxyClaim,
    jobs: ProxiedJobs,
    workers: ProxiedWorkers,
    fencing: TokenRaises,
    parked: ParkedHeartbeats,
    calls: CallTable<LeaseProxyCall>,
}

impl LeaseProxy {
    /// Creates the state of a proxy without a claim.
    pub fn new(config: &Config) -> Self {
        LeaseProxy {
            claim: ProxyClaim::default(),
            jobs: ProxiedJobs::default(),
            workers: ProxiedWorkers::default(),
            fencing: TokenRaises::default(),
            parked: ParkedHeartbeats::new(config),
            calls: CallTable::default(),
        }
    }

    /// Removes and returns the purpose of a call, or `None` if this module did not make the call.
    pub fn take_call(&mut self, call: CallId) -> Option<LeaseProxyCall> {
        self.calls.take(call)
    }

    /// Sends a POST request to a worker.
    fn call(
        &mut self,
        context: &mut Context,
        worker: Peer,
        target: &str,
        body: Vec<u8>,
        timeout_ms: u64,
        call: LeaseProxyCall,
    ) {
        let id = context.call(worker, "POST", target.into(), body, timeout_ms);
        self.calls.insert(id, call);
    }

    /// Sends a transaction to the store.
    fn write_store(&mut self, context: &mut Context, body: Vec<u8>, call: LeaseProxyCall) {
        self.write_store_within(context, body, u64::MAX, call);
    }

    /// Sends a transaction to the store, which must leave this controller within `send_within_ms`.
    fn write_store_within(
        &mut self,
        context: &mut Context,
        body: Vec<u8>,
        send_within_ms: u64,
        call: LeaseProxyCall,
    ) {
        let timeout_ms = context.config.store_timeout_ms();
        let target = "/multi".to_string();
        let id = context.call_within(Peer::State, "POST", target, body, timeout_ms, send_within_ms);
        self.calls.insert(id, call);
    }
}

impl Controller {
    /// Retries parked heartbeats, and ends or deletes claims that are no longer needed.
    pub(crate) fn tick_lease_proxy(&mut self) {
        self.retry_parked_heartbeats();
        self.tick_claim();
    }
}
