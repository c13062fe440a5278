//! Placement records: on which machines the tasks of a chunk may be.
//!
//! Invariant: a task runs only on a machine that its placement record names, because it is written
//! before the task starts. A new leader relies on this to find every machine that may have it.

use serde::{Deserialize, Serialize};

/// Tasks of a job that share one placement record.
pub const TASKS_PER_CHUNK: u32 = 64;

/// Tasks `from..=to` may be on these machines, and on no others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeSet {
    /// First task, counted from the job's first.
    pub from: u32,
    /// Last task.
    pub to: u32,
    /// Indexes into [`PlacementRecord::machines`].
    pub machines: Vec<u32>,
}

/// The placement of a chunk, as memory has it and as format 1 stores it. Tasks are counted from the
/// job's first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRecord {
    /// Epoch of the leader that wrote it.
    pub epoch: u64,
    /// Names of the machines to which `sets` refers.
    pub machines: Vec<String>,
    /// Where tasks that have not completed may be.
    pub sets: Vec<ProbeSet>,
    /// Inclusive ranges of completed tasks.
    pub done: Vec<(u32, u32)>,
    /// Zone of each task from the chunk's first on, for jobs with a zone rule.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<String>,
}

/// The value of one key of a placement since format 2. Tasks are counted from the chunk's first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementPiece {
    /// Format of the piece itself; distinguishes it from a [`PlacementRecord`].
    pub format: u32,
    /// Epoch of the leader that wrote it.
    pub epoch: u64,
    /// Number of keys over which the placement is split; they are always written together.
    pub of: u32,
    /// Names of the machines to which `sets` refers.
    pub machines: Vec<String>,
    /// First task, last task, then indexes into `machines`.
    pub sets: Vec<Vec<u32>>,
    /// Inclusive ranges of completed tasks.
    pub done: Vec<(u32, u32)>,
    /// Zones of tasks, for jobs with a zone rule.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<ZoneRange>,
}

/// Tasks `first..=last` are bound to a zone. Stored as an array of three.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, String)", into = "(u32, u32, String)")]
pub struct ZoneRange {
    /// First task, counted from the chunk's first.
    pub first: u32,
    /// Last task.
    pub last: u32,
    /// Name of the zone.
    pub zone: String,
}

impl From<(u32, u32, String)> for ZoneRange {
    fn from((first, last, zone): (u32, u32, String)) -> Self {
        ZoneRange { first, last, zone }
    }
}

impl From<ZoneRange> for (u32, u32, String) {
    fn from(range: ZoneRange) -> Self {
        (range.first, range.last, range.zone)
    }
}
