//! Fencing tokens of proxied workers.
//!
//! A lease proxy raises a worker's fencing token periodically. Orders of the present or an earlier
//! leader that are still in transit then no longer match the token if the network delivers them
//! late; the tasks in those orders may have been cancelled in the meantime.

use std::collections::BTreeMap;

use quartzgate_wire::msg::Heartbeat;

use crate::context::Context;
use crate::ids::{epoch_of, scoped_to_epoch};

/// Amount by which a lease proxy raises a token: more than the leader raises it in the meantime.
const TOKEN_STEP: u64 = 1 << 8;
/// Number of times that a token is raised within a lease bound.
const RAISES_PER_LEASE_BOUND: u64 = 3;

/// When the fencing token of each proxied worker was last raised.
#[derive(Debug, Default)]
pub(super) struct TokenRaises {
    raised_ms: BTreeMap<String, u64>,
}

impl TokenRaises {
    pub fn clear(&mut self) {
        self.raised_ms.clear();
    }

    /// Returns the token with which to answer a worker's heartbeat, and raises it if that is due. A
    /// token is never raised beyond its epoch.
    pub fn token_for(&mut self, heartbeat: &Heartbeat, epoch: u64, context: &Context) -> u64 {
        let now = context.now.steady_ms;
        let interval_ms = context.config.lease_bound_ms() / RAISES_PER_LEASE_BOUND;
        let token = heartbeat.fencing_token.max(scoped_to_epoch(epoch, 0));
        let last_raised_ms = self.raised_ms.get(&heartbeat.machine);
        let due = last_raised_ms.is_none_or(|raised_ms| now >= raised_ms + interval_ms);
        if !due || epoch_of(token + TOKEN_STEP) != epoch {
            return token;
        }
        self.raised_ms.insert(heartbeat.machine.clone(), now);
        token + TOKEN_STEP
    }
}
