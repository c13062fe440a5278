//! Records of the election: the current epoch and its leader.

use serde::{Deserialize, Serialize};

/// The current epoch. Every write of a leader is guarded by the revision of this record, so that
/// a superseded leader can write nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// Rises with each election.
    pub epoch: u64,
    /// Node name of the leader.
    pub leader: String,
    /// Node names of the members at the election.
    pub members: Vec<String>,
}

/// The current leader, on the leader's own lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Epoch in which it leads.
    pub epoch: u64,
    /// Its node name.
    pub node: String,
    /// How often in a row the node has succeeded an earlier process of its own as leader.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub retakes: u32,
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}
