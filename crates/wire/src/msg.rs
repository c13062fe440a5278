//! Message bodies, one struct a message.

use ciborium::value::Value;
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    Array,
    Gang,
    Service,
}

/// Priority of a job, lowest first so that the derived order is the ranking.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "idle")]
    Low,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "urgent")]
    High,
    #[serde(rename = "production")]
    Production,
}

fn no() -> bool {
    false
}

/// An amount: a decimal number; a whole one may come as an integer.
fn amount<'de, D: serde::Deserializer<'de>>(d: D) -> Result<f64, D::Error> {
    struct Amount;
    impl serde::de::Visitor<'_> for Amount {
        type Value = f64;
        fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
            f.write_str("a number")
        }
        fn visit_f64<E>(self, v: f64) -> Result<f64, E> {
            Ok(v)
        }
        fn visit_u64<E>(self, v: u64) -> Result<f64, E> {
            Ok(v as f64)
        }
        fn visit_i64<E>(self, v: i64) -> Result<f64, E> {
            Ok(v as f64)
        }
    }
    d.deserialize_any(Amount)
}

fn maybe_amount<'de, D: serde::Deserializer<'de>>(d: D) -> Result<Option<f64>, D::Error> {
    #[derive(Deserialize)]
    struct Wrapped(#[serde(deserialize_with = "amount")] f64);
    Ok(Option::<Wrapped>::deserialize(d)?.map(|w| w.0))
}

/// A job as its user submits it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "ref")]
    pub id: String,
    #[serde(rename = "job_class")]
    pub class: String,
    #[serde(rename = "owner")]
    pub team: String,
    #[serde(rename = "shape")]
    pub shape: JobKind,
    #[serde(rename = "rank")]
    pub priority: Priority,
    #[serde(rename = "pieces")]
    pub tasks: u32,
    #[serde(rename = "vcpus", deserialize_with = "amount")]
    pub cpus: f64,
    #[serde(deserialize_with = "amount")]
    pub gpus: f64,
    #[serde(rename = "ram_gb", deserialize_with = "amount")]
    pub memory_gb: f64,
    #[serde(rename = "bundle")]
    pub image: String,
    #[serde(deserialize_with = "amount")]
    pub image_gb: f64,
    #[serde(rename = "host_types", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(rename = "hall", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    pub together: bool,
    pub spread: bool,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "expected_s", deserialize_with = "amount")]
    pub estimate_s: f64,
    #[serde(rename = "snapshot_every_s", deserialize_with = "amount")]
    pub checkpoint_interval_s: f64,
    #[serde(rename = "snapshot_cost_s", deserialize_with = "amount")]
    pub checkpoint_cost_s: f64,
    #[serde(
        rename = "due_s",
        default,
        deserialize_with = "maybe_amount",
        skip_serializing_if = "Option::is_none"
    )]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts, each named once.
    /// Absent, null and an empty list are the same.
    #[serde(
        rename = "prereqs",
        default,
        deserialize_with = "named_once",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub dependencies: Vec<String>,
}

/// A list of names, or null; a name that comes again counts once.
fn named_once<'de, D: serde::Deserializer<'de>>(d: D) -> Result<Vec<String>, D::Error> {
    let mut names = Option::<Vec<String>>::deserialize(d)?.unwrap_or_default();
    let mut seen = std::collections::HashSet::new();
    names.retain(|n| seen.insert(n.clone()));
    Ok(names)
}

/// Largest number of tasks a job may have.
pub const MAX_TASKS: u32 = 100_000;
/// No amount on the wire is sensibly above this.
const MAX_AMOUNT: f64 = 1e9;
const MAX_TEXT: usize = 128;
/// Machine types that a job may name.
const MAX_TYPES: usize = 64;

impl JobSpec {
    /// Says what is wrong with a job whatever the cluster looks like, and in which field.
    pub fn check(&self) -> Result<(), String> {
        if !valid_job_id(&self.id) {
            return Err("ref: not of the form wk- and digits".into());
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(format!("pieces: {} is not from 1 to {MAX_TASKS}", self.tasks));
        }
        let amounts = [
            ("vcpus", self.cpus),
            ("gpus", self.gpus),
            ("ram_gb", self.memory_gb),
            ("image_gb", self.image_gb),
            ("expected_s", self.estimate_s),
            ("snapshot_every_s", self.checkpoint_interval_s),
            ("snapshot_cost_s", self.checkpoint_cost_s),
            ("due_s", self.deadline_s.unwrap_or(0.0)),
        ];
        if let Some((name, a)) = amounts.iter().find(|(_, a)| !(0.0..=MAX_AMOUNT).contains(a)) {
            return Err(format!("{name}: {a} is not from 0 to {MAX_AMOUNT}"));
        }
        let types = self.types.iter().flatten().map(|t| ("host_types", t));
        let texts = [("job_class", &self.class), ("owner", &self.team), ("bundle", &self.image)];
        let mut texts = texts.into_iter().chain(self.zone.iter().map(|z| ("hall", z))).chain(types);
        if let Some((name, _)) = texts.find(|(_, t)| t.is_empty() || t.len() > MAX_TEXT) {
            return Err(format!("{name}: empty, or longer than {MAX_TEXT}"));
        }
        if self.types.as_ref().is_some_and(|t| t.len() > MAX_TYPES) {
            return Err(format!("host_types: more than {MAX_TYPES}"));
        }
        if !self.dependencies.iter().all(|d| valid_job_id(d)) {
            return Err("prereqs: a ref is not of the form wk- and digits".into());
        }
        Ok(())
    }
}

/// Job ids have one form: `wk-` and digits.
pub fn valid_job_id(id: &str) -> bool {
    id.strip_prefix("wk-")
        .is_some_and(|n| (1..=20).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit()))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    #[serde(rename = "pending")]
    Queued,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "aborted")]
    Aborted,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobAnswer {
    #[serde(rename = "ref")]
    pub id: String,
    pub status: JobStatus,
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub running: Option<u32>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorAnswer {
    pub error: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskStatus {
    #[serde(rename = "pulling")]
    Fetching,
    #[serde(rename = "waiting")]
    Waiting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "flushing")]
    Checkpointing,
    #[serde(rename = "exited")]
    Exited,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitCause {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "stopped")]
    Stopped,
    #[serde(rename = "peers")]
    Peers,
    #[serde(rename = "incomplete")]
    Alone,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "full")]
    InsufficientResources,
    #[serde(rename = "in_use")]
    Busy,
    #[serde(rename = "no_such")]
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatTask {
    #[serde(rename = "piece")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    pub status: TaskStatus,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    #[serde(rename = "saved", default, skip_serializing_if = "Option::is_none")]
    pub checkpointed: Option<bool>,
}

/// A worker's report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    #[serde(rename = "host")]
    pub machine: String,
    pub addr: String,
    #[serde(rename = "host_type")]
    pub kind: String,
    #[serde(rename = "hall")]
    pub zone: String,
    #[serde(rename = "loaners", default = "no")]
    pub spot: bool,
    #[serde(rename = "tenure")]
    pub agent_epoch: u64,
    #[serde(rename = "tally")]
    pub seq: u64,
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    #[serde(rename = "recall_s", default, deserialize_with = "maybe_amount")]
    pub interruption_notice_s: Option<f64>,
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<HeartbeatTask>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Order {
    #[serde(rename = "run")]
    Start {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    #[serde(rename = "kill")]
    Stop {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    #[serde(rename = "clear")]
    Forget {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatAnswer {
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    pub orders: Vec<Order>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none", default)]
    pub leader: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrdersRequest {
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    #[serde(rename = "tenure")]
    pub agent_epoch: u64,
    pub orders: Vec<Order>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    pub name: String,
    #[serde(rename = "vcpus", deserialize_with = "amount")]
    pub cpus: f64,
    #[serde(default, deserialize_with = "amount")]
    pub gpus: f64,
    #[serde(rename = "ram_gb", deserialize_with = "amount")]
    pub memory_gb: f64,
    #[serde(rename = "local_gb", default, deserialize_with = "amount")]
    pub cache_gb: f64,
    #[serde(rename = "pull_gb_per_s", default, deserialize_with = "amount")]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "rate", deserialize_with = "amount")]
    pub price: f64,
    #[serde(default, deserialize_with = "amount")]
    pub spot_price: f64,
    #[serde(rename = "startup_s", deserialize_with = "amount")]
    pub boot_s: f64,
    #[serde(rename = "halls")]
    pub zones: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    #[serde(rename = "host_types")]
    pub types: Vec<MachineType>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisionRequest {
    #[serde(rename = "hire")]
    pub provision_id: String,
    #[serde(rename = "host_type")]
    pub kind: String,
    #[serde(rename = "hall")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "how_many")]
    pub count: u32,
}

/// Names of machines: the answer to a hire, and the body of a return.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CloudStatus {
    #[serde(rename = "starting")]
    Booting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "failed")]
    Failed,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    #[serde(rename = "ref")]
    pub name: String,
    #[serde(default)]
    pub addr: String,
    #[serde(rename = "host_type")]
    pub kind: String,
    #[serde(rename = "hall")]
    pub zone: String,
    #[serde(rename = "loaners", default = "no")]
    pub spot: bool,
    pub status: CloudStatus,
    #[serde(rename = "held_s", default, deserialize_with = "amount")]
    pub age_s: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    #[serde(default)]
    pub more: bool,
}

/// One key of the state service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyValue {
    pub path: String,
    pub value: Value,
    #[serde(rename = "stamp")]
    pub revision: u64,
    #[serde(rename = "permit", default)]
    pub lease_id: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyValueList {
    pub pairs: Vec<KeyValue>,
    #[serde(default)]
    pub more: bool,
    #[serde(rename = "ledger_rev")]
    pub store_revision: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Guard {
    pub path: String,
    #[serde(rename = "stamp")]
    pub revision: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    Set {
        set: String,
        value: Value,
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none", default)]
        lease_id: Option<u64>,
    },
    Delete {
        delete: String,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    pub guards: Vec<Guard>,
    pub apply: Vec<Change>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransactionAnswer {
    #[serde(rename = "ledger_rev")]
    pub store_revision: u64,
    #[serde(default)]
    pub failed: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    pub ttl_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    #[serde(rename = "permit")]
    pub lease_id: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeEvent {
    #[serde(default)]
    pub set: Option<String>,
    #[serde(default)]
    pub delete: Option<String>,
    #[serde(default)]
    pub value: Option<Value>,
    #[serde(rename = "stamp")]
    pub revision: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeLog {
    #[serde(rename = "ledger_rev")]
    pub store_revision: u64,
    #[serde(default)]
    pub log: Vec<ChangeEvent>,
}

/// What one controller asks of another: a user's request passed on, or a notice
/// of the present view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MeshMessage {
    /// Version of the mesh's own messages; another version is refused.
    pub version: u32,
    pub from: String,
    /// Epoch that the sender leads; 0 if it does not lead.
    pub epoch: u64,
    /// The state service answers the sender.
    #[serde(rename = "has_state")]
    pub store_reachable: bool,
    #[serde(default)]
    pub forward: Option<Forward>,
}

pub const MESH_VERSION: u32 = 1;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Forward {
    pub method: String,
    pub path: String,
    #[serde(with = "bytes")]
    pub body: Vec<u8>,
}

/// Byte strings inside mesh messages (the mesh may use binary data).
mod bytes {
    use ciborium::value::Value;
    use serde::{de::Error, Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(v: &[u8], s: S) -> Result<S::Ok, S::Error> {
        s.serialize_bytes(v)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<u8>, D::Error> {
        Value::deserialize(d)?.into_bytes().map_err(|_| D::Error::custom("not bytes"))
    }
}
