//! Workers of other zones that send their heartbeats to this follower.
//!
//! Such a worker may send its heartbeats here because it can't reach the leader, so this follower
//! relays them at first. After two leases the worker is redirected, to try the leader again. If
//! the worker returns, its heartbeats are relayed for ten leases before the next redirect.

use std::collections::BTreeMap;

use crate::capacity::evict_oldest;

/// Number of leases for which the heartbeats of a new worker are relayed.
const RELAY_NEW_FOR_LEASES: u64 = 2;
/// Number of leases for which the heartbeats of a worker that returned after a redirect are
/// relayed.
const RELAY_RETURNED_FOR_LEASES: u64 = 10;

/// A follower's record of one worker. Times are milliseconds of the steady clock.
#[derive(Debug)]
struct OutOfZoneWorker {
    /// When the worker first sent a heartbeat here, or when it was last redirected.
    since_ms: u64,
    /// When the worker was last redirected to the leader; 0 if never.
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

/// Workers of other zones, by machine name. Beyond a limit, the records that changed longest ago
/// are evicted.
#[derive(Debug, Default)]
pub(crate) struct OutOfZoneWorkers {
    workers: BTreeMap<String, OutOfZoneWorker>,
}

impl OutOfZoneWorkers {
    /// Returns whether a worker's heartbeat is relayed. If it is not, the caller redirects the
    /// worker, and the time of the redirect is recorded.
    pub fn should_relay(
        &mut self,
        machine: &str,
        now_ms: u64,
        lease_ms: u64,
        max_workers: usize,
    ) -> bool {
        if !self.workers.contains_key(machine) {
            evict_oldest(&mut self.workers, max_workers, OutOfZoneWorker::last_change_ms);
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
