//! Messages between workers and controllers.

use serde::{Deserialize, Serialize};

use super::decode::{maybe_amount, no};

/// Where a task stands on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskStatus {
    /// Its image is being fetched.
    #[serde(rename = "pulling")]
    Fetching,
    /// A gang member that waits for the others to be ready.
    #[serde(rename = "waiting")]
    Waiting,
    /// It runs.
    #[serde(rename = "running")]
    Running,
    /// It takes a checkpoint before it stops.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// It has exited; the cause is told until the worker is told to forget it.
    #[serde(rename = "exited")]
    Exited,
}

/// Why a task exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitCause {
    /// It completed.
    #[serde(rename = "done")]
    Done,
    /// It was told to stop.
    #[serde(rename = "stopped")]
    Stopped,
    /// A gang member: another member exited.
    #[serde(rename = "peers")]
    Peers,
    /// A gang member: the others did not come in time.
    #[serde(rename = "incomplete")]
    Alone,
    /// It failed.
    #[serde(rename = "error")]
    Error,
    /// The machine has too little left for it.
    #[serde(rename = "full")]
    InsufficientResources,
    /// The same task runs there already, in another attempt.
    #[serde(rename = "in_use")]
    Busy,
    /// The worker does not know the job.
    #[serde(rename = "no_such")]
    Unknown,
}

/// One task in a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatTask {
    /// Name of the task: the job, a slash and its number.
    #[serde(rename = "piece")]
    pub task: String,
    /// Attempt of the task that the machine runs or ran.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Where it stands.
    pub status: TaskStatus,
    /// Why it exited, if it has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    /// Whether what it had done is in a checkpoint.
    #[serde(rename = "saved", default, skip_serializing_if = "Option::is_none")]
    pub checkpointed: Option<bool>,
}

/// A worker's heartbeat, with the status of all tasks on its machine. Also the answer to commands
/// and to an inspection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "host")]
    pub machine: String,
    /// Address at which the worker takes commands.
    pub addr: String,
    /// Machine type.
    #[serde(rename = "host_type")]
    pub kind: String,
    /// Zone that it is in.
    #[serde(rename = "hall")]
    pub zone: String,
    /// It is a spot machine.
    #[serde(rename = "loaners", default = "no")]
    pub spot: bool,
    /// Incarnation of the worker's agent: rises when its lease has expired or it was restarted.
    #[serde(rename = "tenure")]
    pub agent_epoch: u64,
    /// Sequence number of the message within the agent epoch.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Seconds until the cloud takes the machine away, once that is announced.
    #[serde(rename = "recall_s", default, deserialize_with = "maybe_amount")]
    pub interruption_notice_s: Option<f64>,
    /// All tasks that the worker knows.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<HeartbeatTask>,
}

/// One command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Order {
    /// Starts an attempt of a task.
    #[serde(rename = "run")]
    Start {
        /// Name of the task.
        #[serde(rename = "piece")]
        task: String,
        /// The attempt meant.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops an attempt of a task, with time to take a checkpoint.
    #[serde(rename = "kill")]
    Stop {
        /// Name of the task.
        #[serde(rename = "piece")]
        task: String,
        /// The attempt meant.
        #[serde(rename = "try")]
        attempt: u64,
        /// Seconds that it is given.
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    /// Forgets an attempt that has exited.
    #[serde(rename = "clear")]
    Forget {
        /// Name of the task.
        #[serde(rename = "piece")]
        task: String,
        /// The attempt meant.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Answer to a heartbeat: it renews the lease of the worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatAnswer {
    /// The fencing token to accept commands with from now on.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Commands to carry out.
    pub orders: Vec<Order>,
}

/// Answer that sends a worker to another controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// Name of the controller to turn to, if one is known.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none", default)]
    pub leader: Option<String>,
}

/// Commands to a worker, carried out only if token and agent epoch match.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrdersRequest {
    /// Fencing token of the sender.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Agent epoch for which the commands are meant.
    #[serde(rename = "tenure")]
    pub agent_epoch: u64,
    /// The commands.
    pub orders: Vec<Order>,
}
