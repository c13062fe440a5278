//! Budget of reads from the key-value store: which purposes may read while reads are scarce, and
//! how many reads each purpose has made.

use crate::storage::rate_limiter::RateLimiter;

/// Fraction of all reads that is guaranteed to status queries, independent of other purposes.
const GUARANTEED_STATUS_FRACTION: f64 = 0.3;

/// Purpose of a read, which determines its reserve and by which the metrics count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadPurpose {
    /// A user's submission or abort, or a lease proxy's query about a job.
    Request,
    /// A status query of one job.
    StatusQuery,
    /// A comparison of revisions for status queries of many jobs.
    StatusComparison,
    /// Lookup of a submission whose write got no answer.
    IndeterminateSubmission,
    /// Lookup of a dependency that is not in memory.
    Dependency,
    /// Periodic read of a live job's record, to detect changes made by other controllers.
    LiveRecord,
    /// A scan of the batch records.
    BatchScan,
    /// Verification that a job has no record of its own.
    AbsenceCheck,
    /// Second read of a job's own record, after a scan.
    Reread,
}

const PURPOSE_COUNT: usize = ReadPurpose::ALL.len();

impl ReadPurpose {
    /// All purposes, in the order of their declaration.
    const ALL: [ReadPurpose; 9] = [
        ReadPurpose::Request,
        ReadPurpose::StatusQuery,
        ReadPurpose::StatusComparison,
        ReadPurpose::IndeterminateSubmission,
        ReadPurpose::Dependency,
        ReadPurpose::LiveRecord,
        ReadPurpose::BatchScan,
        ReadPurpose::AbsenceCheck,
        ReadPurpose::Reread,
    ];

    /// Returns the purpose's name in metrics, which must not change.
    fn name(self) -> &'static str {
        match self {
            ReadPurpose::Request => "request",
            ReadPurpose::StatusQuery => "status_query",
            ReadPurpose::StatusComparison => "status_comparison",
            ReadPurpose::IndeterminateSubmission => "indeterminate_submission",
            ReadPurpose::Dependency => "dependency",
            ReadPurpose::LiveRecord => "live_record",
            ReadPurpose::BatchScan => "batch_scan",
            ReadPurpose::AbsenceCheck => "absence_check",
            ReadPurpose::Reread => "reread",
        }
    }

    /// Returns the fraction of one second's reads that is left to more urgent purposes.
    fn reserve(self) -> f64 {
        match self {
            ReadPurpose::Request => 0.1,
            ReadPurpose::StatusQuery
            | ReadPurpose::StatusComparison
            | ReadPurpose::IndeterminateSubmission => 0.3,
            ReadPurpose::Dependency => 0.25,
            ReadPurpose::LiveRecord => 0.5,
            ReadPurpose::BatchScan | ReadPurpose::AbsenceCheck | ReadPurpose::Reread => 0.0,
        }
    }
}

/// Limits those reads of one controller that can be delayed.
pub(crate) struct ReadBudget {
    shared: RateLimiter,
    guaranteed_status: RateLimiter,
    reads_made: [u64; PURPOSE_COUNT],
}

impl ReadBudget {
    /// Creates a full budget of `reads_per_s` reads per second.
    pub fn new(reads_per_s: f64) -> Self {
        ReadBudget {
            shared: RateLimiter::new(reads_per_s),
            guaranteed_status: RateLimiter::new(GUARANTEED_STATUS_FRACTION * reads_per_s),
            reads_made: [0; PURPOSE_COUNT],
        }
    }

    /// Changes the rate, in reads per second.
    pub fn set_rate(&mut self, reads_per_s: f64) {
        self.shared.set_rate(reads_per_s);
        self.guaranteed_status.set_rate(GUARANTEED_STATUS_FRACTION * reads_per_s);
    }

    /// Resets to a full budget of `reads_per_s` reads per second. The counts of reads are kept.
    pub fn reset(&mut self, reads_per_s: f64) {
        *self = ReadBudget { reads_made: self.reads_made, ..ReadBudget::new(reads_per_s) };
    }

    /// Charges a read if the purpose's reserve is left afterwards, or if the read is one that is
    /// guaranteed to status queries. Returns whether the read may be made.
    pub fn take(&mut self, now_ms: u64, purpose: ReadPurpose) -> bool {
        if self.shared.take(now_ms, 1.0, purpose.reserve()) {
            self.reads_made[purpose as usize] += 1;
            return true;
        }
        let is_guaranteed =
            purpose == ReadPurpose::StatusQuery && self.take_guaranteed_status(now_ms);
        if is_guaranteed {
            self.charge(now_ms, purpose);
        }
        is_guaranteed
    }

    /// Returns whether a read that serves many status queries may be made. The read is charged by
    /// [`ReadBudget::charge`] when it is sent.
    pub fn may_read_for_status_batch(&mut self, now_ms: u64) -> bool {
        let reserve = ReadPurpose::StatusComparison.reserve();
        self.shared.available(now_ms, reserve) >= 1.0 || self.take_guaranteed_status(now_ms)
    }

    fn take_guaranteed_status(&mut self, now_ms: u64) -> bool {
        !self.shared.is_paused(now_ms) && self.guaranteed_status.take(now_ms, 1.0, 0.0)
    }

    /// Charges a read that is made in any case. If the budget is exceeded, later refills make up
    /// for the deficit before other reads are allowed.
    pub fn charge(&mut self, now_ms: u64, purpose: ReadPurpose) {
        self.reads_made[purpose as usize] += 1;
        self.shared.charge(now_ms, 1.0);
    }

    /// Allows no reads for this duration, because the store has refused a call.
    pub fn pause(&mut self, now_ms: u64, duration_ms: u64) {
        self.shared.pause(now_ms, duration_ms);
    }

    /// Returns the number of reads that may be made now.
    pub fn available(&mut self, now_ms: u64) -> f64 {
        self.shared.available(now_ms, 0.0)
    }

    /// Returns the number of reads made so far by each purpose that has made any, under its metric
    /// name.
    pub fn metrics(&self) -> impl Iterator<Item = (String, f64)> + '_ {
        ReadPurpose::ALL.into_iter().filter_map(|purpose| {
            let reads_made = self.reads_made[purpose as usize];
            (reads_made > 0).then(|| (format!("reads.{}", purpose.name()), reads_made as f64))
        })
    }
}

#[cfg(test)]
#[path = "../../tests/unit/read_budget.rs"]
mod tests;
