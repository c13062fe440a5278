//! Fencing tokens of proxied workers.
//!
//! A lease proxy raises a worker's token from time to time. Orders that are still on their way,
//! the leader's or an earlier leader's, then match it no longer when the network lets them
//! through: the tasks in them may have been cancelled meanwhile.

use std::collections::BTreeMap;

use quartzgate_wire::msg::Heartbeat;

use crate::context::Context;
use crate::ids::{epoch_of, scoped_to_epoch};

/// A lease proxy raises a token by more than the leader does meanwhile.
const TOKEN_STEP: u64 = 1 << 8;
/// How often a token is raised within a lease bound.
const RAISES_PER_LEASE_BOUND: u64 = 3;

/// When the token of each proxied worker was last raised.
#[derive(Debug, Default)]
pub(super) struct TokenRaises {
    raised_ms: BTreeMap<String, u64>,
}

impl TokenRaises {
    /// Forgets all workers.
    pub fn clear(&mut self) {
        self.raised_ms.clear();
    }

    /// The token that a worker's heartbeat is answered with. It never leaves the epoch.
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
