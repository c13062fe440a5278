//! The record of a job under its own key.

use quartzgate_wire::msg::{JobKind, JobSpec};
use serde::{Deserialize, Serialize};

use super::encoding::checked_size;
use super::placement::PlacementPiece;

/// State of a job as recorded. `Done` and `Aborted` are terminal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RecordedStatus {
    /// Accepted, and not in a terminal state.
    Live,
    /// All tasks have completed.
    Done,
    /// The abort of the job is recorded.
    Aborted,
}

/// A job's own record. It takes precedence over the job's entry in a batch record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// State of the job as of this record.
    pub status: RecordedStatus,
    /// Description of the job; retained until no task can be on a machine any more.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// Wall-clock time of the job's acceptance, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Inclusive ranges of chunks whose tasks have all completed and whose placement records are
    /// deleted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done_chunks: Vec<(u32, u32)>,
    /// The job was a service, on which no other job may depend. While the description is retained,
    /// the description says so; afterwards this field does.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub service: bool,
    /// Placement of a job of one chunk, unless the placement has keys of its own. Present since
    /// format 3.
    #[serde(rename = "share", default, skip_serializing_if = "Option::is_none")]
    pub placement: Option<PlacementPiece>,
}

impl JobRecord {
    /// Returns whether the job is or was a service.
    pub fn is_service(&self) -> bool {
        self.service || self.spec.as_ref().is_some_and(|s| s.kind == JobKind::Service)
    }

    /// Shrinks the record of an ending job if it exceeds `max_bytes`. The description is retained
    /// while tasks may be on machines, but without the fields that are needed only to start tasks.
    pub fn shrink_to_fit(&mut self, max_bytes: usize) {
        if checked_size(self) > max_bytes {
            if let Some(spec) = &mut self.spec {
                spec.types = None;
                spec.dependencies.clear();
            }
        }
    }
}
