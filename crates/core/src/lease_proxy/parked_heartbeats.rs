//! Heartbeats of proxied workers that wait for the claim to be recorded or for a job to be read.

use quartzgate_wire::msg::Heartbeat;

use crate::capacity::{heartbeat_bytes, BoundedList};
use crate::config::Config;
use crate::RequestId;

/// A proxied worker's heartbeat whose request has not been answered yet.
pub(super) struct ParkedHeartbeat {
    pub request: RequestId,
    pub heartbeat: Heartbeat,
    /// Latest time, in steady milliseconds, at which the worker has to be redirected.
    pub deadline_ms: u64,
}

/// Parked heartbeats in order of arrival, bounded in number and in bytes.
pub(super) struct ParkedHeartbeats {
    parked: BoundedList<ParkedHeartbeat>,
}

impl ParkedHeartbeats {
    /// Creates an empty list with the limits derived from the settings.
    pub fn new(config: &Config) -> Self {
        let parked = BoundedList::new(config.max_parked_heartbeats(), config.max_held_bytes());
        ParkedHeartbeats { parked }
    }

    /// Adds a heartbeat; returns false if it does not fit.
    pub fn push(&mut self, parked: ParkedHeartbeat) -> bool {
        let bytes = heartbeat_bytes(&parked.heartbeat);
        self.parked.push(parked, bytes)
    }

    /// Removes and returns all parked heartbeats.
    pub fn take(&mut self) -> Vec<ParkedHeartbeat> {
        self.parked.take().into_iter().map(|(parked, _)| parked).collect()
    }
}
