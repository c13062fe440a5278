//! Placement records, which name the machines on which the tasks of a chunk may be.
//!
//! Invariant: a task runs only on a machine that its placement record names, because the record is
//! written before the task starts. A new leader relies on this to find every machine that may hold
//! the task.

use serde::{Deserialize, Serialize};

/// Number of tasks of a job that share one placement record.
pub const TASKS_PER_CHUNK: u32 = 64;

/// Machines on which tasks `from..=to` may be; these tasks are on no other machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeSet {
    /// First task, counted from the job's first task.
    pub from: u32,
    /// Last task (inclusive), counted like the first.
    pub to: u32,
    /// Indexes into [`PlacementRecord::machines`].
    pub machines: Vec<u32>,
}

/// The placement of a chunk, as used in memory and as stored in format 1. Tasks are counted from
/// the job's first task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRecord {
    /// Epoch of the leader that wrote the record.
    pub epoch: u64,
    /// Names of the machines to which `sets` refers.
    pub machines: Vec<String>,
    /// Machines on which tasks that have not completed may be.
    pub sets: Vec<ProbeSet>,
    /// Inclusive ranges of completed tasks.
    pub done: Vec<(u32, u32)>,
    /// Zone of each task, from the chunk's first task on; empty for jobs without a zone rule.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<String>,
}

/// The value of one key of a placement since format 2. Tasks are counted from the chunk's first
/// task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementPiece {
    /// Format of the piece itself; its presence distinguishes the piece from a [`PlacementRecord`].
    pub format: u32,
    /// Epoch of the leader that wrote the record.
    pub epoch: u64,
    /// Number of keys over which the placement is split. All of them are always written together.
    #[serde(rename = "of")]
    pub piece_count: u32,
    /// Names of the machines to which `sets` refers.
    pub machines: Vec<String>,
    /// For each set of tasks: its first task, its last task, then indexes into `machines`.
    pub sets: Vec<Vec<u32>>,
    /// Inclusive ranges of completed tasks.
    pub done: Vec<(u32, u32)>,
    /// Zones of ranges of tasks; empty for jobs without a zone rule.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<ZoneRange>,
}

/// Zone to which tasks `first..=last` are bound. Stored as an array of three elements.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, String)", into = "(u32, u32, String)")]
pub struct ZoneRange {
    /// First task, counted from the chunk's first task.
    pub first: u32,
    /// Last task (inclusive), counted like the first.
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
