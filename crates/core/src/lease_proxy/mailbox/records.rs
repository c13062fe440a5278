//! Contents of mailbox records. The serialized names are part of the storage format.

use quartzgate_wire::msg::{Heartbeat, OrdersRequest};
use serde::{Deserialize, Serialize};

use crate::capacity::heartbeat_bytes;

/// Orders for one worker, addressed and identified.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Envelope {
    /// Unique identifier, reused neither in a later epoch nor after a restart.
    pub id: u64,
    pub addr: String,
    pub orders: OrdersRequest,
}

/// Result of orders: the worker's heartbeat, or `None` if the outcome is indeterminate or the
/// heartbeat was too large for a record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Reply {
    pub id: u64,
    #[serde(rename = "report")]
    pub heartbeat: Option<Heartbeat>,
}

impl Reply {
    /// Returns the approximate memory used by the reply, in bytes.
    pub fn bytes(&self) -> usize {
        std::mem::size_of::<Reply>() + self.heartbeat.as_ref().map_or(0, heartbeat_bytes)
    }
}

/// All messages from one controller to another. Each write replaces the previous record.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct MailboxRecord {
    pub epoch: u64,
    /// Wall-clock time of the write, in milliseconds; an outdated record is ignored.
    #[serde(rename = "at_ms")]
    pub written_at_ms: u64,
    #[serde(default)]
    pub orders: Vec<Envelope>,
    #[serde(default)]
    pub replies: Vec<Reply>,
    #[serde(rename = "reports", default)]
    pub heartbeats: Vec<Heartbeat>,
}
