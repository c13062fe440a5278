//! What mailbox records contain. The serialized names are part of the storage format.

use quartzgate_wire::msg::{Heartbeat, OrdersRequest};
use serde::{Deserialize, Serialize};

use crate::capacity::heartbeat_bytes;

/// Orders for one worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Envelope {
    /// Never used again, neither in a later epoch nor after a restart.
    pub id: u64,
    /// Address of the worker.
    pub addr: String,
    pub orders: OrdersRequest,
}

/// How orders ended: the worker's heartbeat, or nothing if their outcome is indeterminate.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Reply {
    pub id: u64,
    #[serde(rename = "report")]
    pub heartbeat: Option<Heartbeat>,
}

impl Reply {
    /// Roughly what it takes in memory.
    pub fn bytes(&self) -> usize {
        std::mem::size_of::<Reply>() + self.heartbeat.as_ref().map_or(0, heartbeat_bytes)
    }
}

/// All that one controller has for another. Each write replaces the record before it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct MailboxRecord {
    pub epoch: u64,
    /// Wall-clock time of the write, in milliseconds: an old record is not acted on.
    #[serde(rename = "at_ms")]
    pub written_at_ms: u64,
    #[serde(default)]
    pub orders: Vec<Envelope>,
    #[serde(default)]
    pub replies: Vec<Reply>,
    #[serde(rename = "reports", default)]
    pub heartbeats: Vec<Heartbeat>,
}
