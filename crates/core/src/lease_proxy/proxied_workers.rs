//! Workers whose heartbeats reach this controller although it does not lead, and detection of
//! duplicate heartbeats.

use std::collections::BTreeMap;

use quartzgate_reachability::{DuplicateDetector, Freshness, MessageNumber};
use quartzgate_wire::msg::Heartbeat;

use crate::capacity::evict_oldest;
use crate::context::Context;

/// Duplicate detection for one worker, and when its last heartbeat arrived.
#[derive(Clone, Copy, Debug, Default)]
struct WorkerMessages {
    duplicates: DuplicateDetector,
    last_heard_ms: u64,
}

/// Workers by machine name. The map is bounded: the workers heard from longest ago are evicted
/// first.
#[derive(Debug, Default)]
pub(super) struct ProxiedWorkers {
    messages: BTreeMap<String, WorkerMessages>,
}

impl ProxiedWorkers {
    /// Records the arrival of a heartbeat and returns whether it is new or a duplicate.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat, context: &Context) -> Freshness {
        if !self.messages.contains_key(&heartbeat.machine) {
            let max_workers = context.config.max_proxied_workers();
            evict_oldest(&mut self.messages, max_workers, |messages| messages.last_heard_ms);
        }
        let messages = self.messages.entry(heartbeat.machine.clone()).or_default();
        messages.last_heard_ms = context.now.steady_ms;
        messages.duplicates.record_heartbeat(MessageNumber {
            agent_epoch: heartbeat.agent_epoch,
            sequence: heartbeat.seq,
        })
    }
}
