//! Messages between workers and controllers.

use serde::{Deserialize, Serialize};

use super::decode::{maybe_amount, no};

/// State of a task on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskStatus {
    /// The machine is fetching the image of the task.
    #[serde(rename = "pulling")]
    Fetching,
    /// The task is a gang member and waits for the other members to be ready.
    #[serde(rename = "waiting")]
    Waiting,
    /// The task is running.
    #[serde(rename = "running")]
    Running,
    /// The task is taking a checkpoint before it stops.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// The task has exited; heartbeats report the cause until a command makes the worker forget the
    /// attempt.
    #[serde(rename = "exited")]
    Exited,
}

/// Why a task exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitCause {
    /// The task completed.
    #[serde(rename = "done")]
    Done,
    /// A command stopped the task.
    #[serde(rename = "stopped")]
    Stopped,
    /// The task is a gang member, and another member exited.
    #[serde(rename = "peers")]
    Peers,
    /// The task is a gang member, and the other members were not ready in time.
    #[serde(rename = "incomplete")]
    Alone,
    /// The task failed.
    #[serde(rename = "error")]
    Error,
    /// The free resources of the machine are too small for the task.
    #[serde(rename = "full")]
    InsufficientResources,
    /// Another attempt of the same task is already on the machine.
    #[serde(rename = "in_use")]
    Busy,
    /// The worker does not know the job.
    #[serde(rename = "no_such")]
    Unknown,
}

/// The status of one task in a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatTask {
    /// Name of the task: the job's identifier, a slash and the task's number.
    #[serde(rename = "piece")]
    pub task: String,
    /// Attempt of the task that this status is about.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the attempt.
    pub status: TaskStatus,
    /// Cause of the exit; absent unless the attempt has exited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    /// Whether the progress of the attempt is saved in a checkpoint.
    #[serde(rename = "saved", default, skip_serializing_if = "Option::is_none")]
    pub checkpointed: Option<bool>,
}

/// A worker's heartbeat, with the status of all tasks on its machine. A worker also sends it as the
/// answer to commands and to an inspection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "host")]
    pub machine: String,
    /// Address on which the worker accepts commands.
    pub addr: String,
    /// Type of the machine.
    #[serde(rename = "host_type")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Whether the machine is a spot machine.
    #[serde(rename = "loaners", default = "no")]
    pub spot: bool,
    /// Incarnation of the worker's agent; increases when its lease expires or the agent restarts.
    #[serde(rename = "tenure")]
    pub agent_epoch: u64,
    /// Sequence number of the message within the agent epoch.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Time until the cloud reclaims the machine, in seconds; absent without an interruption
    /// notice.
    #[serde(rename = "recall_s", default, deserialize_with = "maybe_amount")]
    pub interruption_notice_s: Option<f64>,
    /// Status of every task that the worker knows.
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
        /// Attempt that the command applies to.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops an attempt of a task, with time to take a checkpoint.
    #[serde(rename = "kill")]
    Stop {
        /// Name of the task.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt that the command applies to.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time that the attempt is given to stop, in seconds.
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    /// Makes the worker forget an attempt that has exited, so that heartbeats no longer report it.
    #[serde(rename = "clear")]
    Forget {
        /// Name of the task.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt that the command applies to.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Answer to a heartbeat, which renews the lease of the worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatAnswer {
    /// Fencing token with which the worker accepts commands from now on.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Commands that the worker is to execute.
    pub orders: Vec<Order>,
}

/// Answer that redirects a worker to another controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// Name of the controller to which the worker is to send its heartbeats; absent if none is known.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none", default)]
    pub controller: Option<String>,
}

/// Commands to a worker, which executes them only if the fencing token and the agent epoch match.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrdersRequest {
    /// Fencing token of the sender.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Agent epoch for which the commands are meant.
    #[serde(rename = "tenure")]
    pub agent_epoch: u64,
    /// Commands that the worker is to execute.
    pub orders: Vec<Order>,
}
