//! Records of the leader election: the current epoch and its leader.

use serde::{Deserialize, Serialize};

/// The current epoch. Every write of a leader is guarded by the revision of this record, so that a
/// superseded leader can't write anything.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// Number of the epoch; increases with each election.
    pub epoch: u64,
    /// Node name of the leader.
    pub leader: String,
    /// Node names of the members at the time of the election.
    pub members: Vec<String>,
}

/// The current leader. The record is bound to the leader's own lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Epoch in which the node leads.
    pub epoch: u64,
    /// Node name of the leader.
    pub node: String,
    /// Number of consecutive times that the node has become leader after an earlier process of the
    /// same node.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub retakes: u32,
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}
