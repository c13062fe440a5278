//! Heartbeats of proxied workers that wait for the claim or for a read of a job.

use quartzgate_wire::msg::Heartbeat;

use crate::capacity::{heartbeat_bytes, BoundedList};
use crate::config::Config;
use crate::RequestId;

/// A heartbeat that waits.
pub(super) struct ParkedHeartbeat {
    pub request: RequestId,
    pub heartbeat: Heartbeat,
    /// When its worker has to be redirected at the latest, in steady milliseconds.
    pub deadline_ms: u64,
}

/// The heartbeats that wait, in the order in which they came; bounded in number and in bytes.
pub(super) struct ParkedHeartbeats {
    parked: BoundedList<ParkedHeartbeat>,
}

impl ParkedHeartbeats {
    /// An empty list, with the bounds that follow from the settings.
    pub fn new(config: &Config) -> Self {
        let parked = BoundedList::new(config.max_parked_heartbeats(), config.max_held_bytes());
        ParkedHeartbeats { parked }
    }

    /// False if it does not fit.
    pub fn push(&mut self, parked: ParkedHeartbeat) -> bool {
        let bytes = heartbeat_bytes(&parked.heartbeat);
        self.parked.push(parked, bytes)
    }

    /// Takes all out.
    pub fn take(&mut self) -> Vec<ParkedHeartbeat> {
        self.parked.take().into_iter().map(|(parked, _)| parked).collect()
    }
}
