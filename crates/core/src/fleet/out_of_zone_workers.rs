//! Workers of other zones that send their heartbeats to this follower.
//!
//! Such a worker may have come because it can't reach the leader, so its heartbeats are relayed
//! at first. After two leases it is redirected to the leader, to try it again; if it comes back
//! it is relayed for ten leases before the next redirect.

use std::collections::BTreeMap;

use crate::capacity::forget_oldest;

/// Leases for which a worker that is new here is relayed.
const RELAY_NEW_FOR_LEASES: u64 = 2;
/// Leases for which a worker is relayed that has come back after a redirect.
const RELAY_RETURNED_FOR_LEASES: u64 = 10;

/// What a follower knows of one worker; times are of the steady clock in milliseconds.
#[derive(Debug)]
struct OutOfZoneWorker {
    /// Since when it has sent heartbeats here, or when it was last redirected.
    since_ms: u64,
    /// When it was last redirected to the leader; 0 if it has not been.
    redirected_ms: u64,
}

impl OutOfZoneWorker {
    fn last_change_ms(&self) -> u64 {
        self.since_ms.max(self.redirected_ms)
    }

    fn is_relayed(&self, now_ms: u64, lease_ms: u64) -> bool {
        now_ms < self.since_ms + RELAY_NEW_FOR_LEASES * lease_ms
            || self.redirected_ms > 0
                && now_ms < self.redirected_ms + RELAY_RETURNED_FOR_LEASES * lease_ms
    }
}

/// Workers of other zones, by machine name; the oldest are forgotten beyond a limit.
#[derive(Debug, Default)]
pub(crate) struct OutOfZoneWorkers {
    workers: BTreeMap<String, OutOfZoneWorker>,
}

impl OutOfZoneWorkers {
    /// Whether a worker's heartbeat is relayed; if not, it is redirected and that is noted.
    pub fn should_relay(
        &mut self,
        machine: &str,
        now_ms: u64,
        lease_ms: u64,
        max_workers: usize,
    ) -> bool {
        if !self.workers.contains_key(machine) {
            forget_oldest(&mut self.workers, max_workers, OutOfZoneWorker::last_change_ms);
        }
        let worker = self
            .workers
            .entry(machine.to_string())
            .or_insert(OutOfZoneWorker { since_ms: now_ms, redirected_ms: 0 });
        let relayed = worker.is_relayed(now_ms, lease_ms);
        if !relayed {
            *worker = OutOfZoneWorker { since_ms: now_ms, redirected_ms: now_ms };
        }
        relayed
    }
}
