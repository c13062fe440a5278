//! The job's own record.

use quartzgate_wire::msg::{JobKind, JobSpec};
use serde::{Deserialize, Serialize};

use super::encoding::checked_size;
use super::placement::PlacementPiece;

/// What the record says of the job's state. `Done` and `Aborted` are terminal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RecordedStatus {
    /// Accepted, and not in a terminal state.
    Live,
    /// All tasks have completed.
    Done,
    /// Cancelled.
    Aborted,
}

/// A job's own record. It takes precedence over what a batch record says of the job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// State of the job.
    pub status: RecordedStatus,
    /// Retained until no task can be on a machine any more.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// Wall-clock time of the acceptance, milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Inclusive ranges of chunks all of whose tasks have completed and whose placement records
    /// are deleted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done_chunks: Vec<(u32, u32)>,
    /// The job was a service, on which no other job may depend. The description says so while it
    /// is retained; this field does afterwards.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub service: bool,
    /// Since format 3: the placement of a job of one chunk, unless it has keys of its own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<PlacementPiece>,
}

impl JobRecord {
    /// Whether the job is or was a service.
    pub fn is_service(&self) -> bool {
        self.service || self.spec.as_ref().is_some_and(|s| s.shape == JobKind::Service)
    }

    /// Shrinks the record of an ending job if it exceeds `max_bytes`: its description is retained
    /// while tasks may be on machines, but without the fields that only new starts need.
    pub fn end_within(&mut self, max_bytes: usize) {
        if checked_size(self) > max_bytes {
            if let Some(spec) = &mut self.spec {
                spec.types = None;
                spec.dependencies.clear();
            }
        }
    }
}
