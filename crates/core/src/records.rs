//! What stands in the state service, and its encoding.
//!
//! | key | value |
//! | --- | --- |
//! | `members/<node>` | a controller that lives, on its lease |
//! | `view` | the present epoch and its members |
//! | `view/leader` | who leads, on its lease |
//! | `view/keeper/<node>` | a controller that keeps workers for the leader, on its lease |
//! | `view/post/<to>/<from>` | what one controller has to tell another past a cut, on its lease |
//! | `jobs/<ref>` | the spec, then how it ended |
//! | `shares/<ref>/<part>/<chunk>` | tasks dealt to a part, probes, ends |
//! | `inbox/<ref>` | a job or abort recorded past the leader, for it to look at |

use ciborium::value::Value;
use quartzgate_wire::msg::JobSpec;
use serde::{de::DeserializeOwned, Deserialize, Serialize};

pub const VIEW: &str = "view";
pub const LEADER: &str = "view/leader";
/// Claims of controllers that keep workers alive for the leader; under the prefix of
/// the view, so that whoever watches the view sees them.
pub const KEEPERS: &str = "view/keeper/";
/// What a leader and a keeper tell one another past a cut; see `post.rs`.
pub const POST: &str = "view/post/";
pub const JOBS: &str = "jobs/";
pub const SHARES: &str = "shares/";
pub const INBOX: &str = "inbox/";
/// The only part while the view holds the leader's part alone.
pub const SOLE_PART: &str = "0";

/// Tasks of a job that share one record.
pub const CHUNK: u32 = 64;

pub fn job_key(id: &str) -> String {
    format!("{JOBS}{id}")
}

pub fn inbox_key(id: &str) -> String {
    format!("{INBOX}{id}")
}

pub fn post_key(to: &str, from: &str) -> String {
    format!("{POST}{to}/{from}")
}

pub fn member_key(node: &str) -> String {
    format!("members/{node}")
}

pub fn share_key(id: &str, chunk: u32) -> String {
    format!("{SHARES}{id}/{SOLE_PART}/{chunk}")
}

/// Job id and chunk of a share's key.
pub fn parse_share_key(key: &str) -> Option<(&str, u32)> {
    let mut parts = key.strip_prefix(SHARES)?.split('/');
    let (id, _part, chunk) = (parts.next()?, parts.next()?, parts.next()?);
    Some((id, chunk.parse().ok()?))
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    pub epoch: u64,
    pub leader: String,
    pub members: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Leader {
    pub epoch: u64,
    pub node: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RecordedStatus {
    Live,
    Done,
    Aborted,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    pub status: RecordedStatus,
    /// Kept until no task can be on a machine any more.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// Time of day of the acceptance.
    pub at_ms: u64,
    /// Chunks all of whose tasks are done and whose shares are gone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done_chunks: Vec<(u32, u32)>,
}

/// Tasks `from..=to` may be on the machines named, and on no others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeSet {
    pub from: u32,
    pub to: u32,
    /// Places in [`ShareRecord::machines`].
    pub machines: Vec<u32>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRecord {
    /// Epoch of the owner that wrote it.
    pub epoch: u64,
    pub machines: Vec<String>,
    pub sets: Vec<ProbeSet>,
    pub done: Vec<(u32, u32)>,
    /// Zone fixed for each task from the chunk's first on, for jobs with a zone rule.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<String>,
}

pub fn encode<T: Serialize>(record: &T) -> Value {
    Value::serialized(record).expect("records are plain data")
}

pub fn decode<T: DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}

/// Size as the limits count it: in JSON.
pub fn json_size<T: Serialize>(record: &T) -> usize {
    serde_json::to_vec(record).map_or(usize::MAX, |v| v.len())
}

/// Numbers as inclusive ranges.
pub fn ranges(numbers: impl IntoIterator<Item = u32>) -> Vec<(u32, u32)> {
    let mut out: Vec<(u32, u32)> = Vec::new();
    for n in numbers {
        match out.last_mut() {
            Some((_, to)) if *to + 1 == n => *to = n,
            _ => out.push((n, n)),
        }
    }
    out
}
