//! Lease proxy: a controller that does not lead answers the heartbeats of workers that can't
//! reach the leader, so that what they run goes on. It starts nothing.
//!
//! Before it renews any worker's lease its claim is recorded in the store ([`claim`]). The leader
//! takes no silent machine for empty while a claim exists, nor for a lease's time after it has
//! seen one vanish. Heartbeats are served under the conditions in [`serve`]; the leader and the
//! proxy exchange heartbeats and orders through the store ([`mailbox`]).

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

/// State of this controller as a lease proxy.
pub(crate) struct LeaseProxy {
    claim: ProxyClaim,
    jobs: ProxiedJobs,
    workers: ProxiedWorkers,
    fencing: TokenRaises,
    parked: ParkedHeartbeats,
    calls: CallTable<LeaseProxyCall>,
}

impl LeaseProxy {
    /// A proxy without a claim.
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

    /// Takes out what a call was for, if this module made it.
    pub fn take_call(&mut self, call: CallId) -> Option<LeaseProxyCall> {
        self.calls.take(call)
    }

    /// Posts a request to a worker.
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
        let id = context.call_store("POST", "/multi".into(), body);
        self.calls.insert(id, call);
    }
}

impl Controller {
    /// Tries parked heartbeats again, and keeps the claim in line with its use.
    pub(crate) fn tick_lease_proxy(&mut self) {
        self.retry_parked_heartbeats();
        self.tick_claim();
    }
}
