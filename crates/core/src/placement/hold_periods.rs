//! Periods in which resources are held for work that waits for more of them, and periods in which
//! they are released to other work. All holds follow the same periods, so that different ones don't
//! keep resources idle in turns.

use crate::controller::Controller;
use crate::jobs::Job;

/// Length of the periods in which resources are held, and of those in between. Together they are
/// shorter than the longest wait of a task that fits a machine and its team's limit.
const HOLD_MS: u64 = 45_000;
const RELEASE_MS: u64 = 15_000;
/// A job that has waited this long may use resources that are reserved for GPU tasks, in the
/// periods in which they are released.
const MAX_WAIT_FOR_RESERVED_MS: u64 = 20_000;

impl Controller {
    /// Returns whether resources are held now for work that waits for more of them.
    pub(super) fn is_hold_period(&self) -> bool {
        self.context.now.steady_ms % (HOLD_MS + RELEASE_MS) < HOLD_MS
    }

    /// Returns whether a job that needs no GPUs may use resources that are reserved for GPU tasks.
    pub(super) fn may_use_reserved(&self, job: &Job) -> bool {
        let waited_ms = self.context.now.wall_ms.saturating_sub(job.ready_ms);
        waited_ms >= MAX_WAIT_FOR_RESERVED_MS && !self.is_hold_period()
    }
}
