//! Reasons for which a request gets no decision. Each answer with status 503 has one of them.

/// Why a controller can't decide a request at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalReason {
    /// The rate limit of reads from the key-value store leaves none for this request.
    ReadLimit,
    /// The rate limit of changes to the key-value store leaves none for this request.
    WriteLimit,
    /// A call to the key-value store got no answer, or one from which nothing can be decided.
    StoreFailed,
    /// The key-value store has not answered recently, and no peer is known to reach it.
    StoreUnreachable,
    /// The job's record is being written or read.
    RecordInFlight,
    /// The job's record changed while the request was being decided.
    RecordChanged,
    /// The job's record, or a batch record that may hold the job, can't be decoded.
    RecordUnreadable,
    /// This controller became the leader, or lost leadership, while the request was being decided.
    EpochChanged,
    /// The records have a format that this version does not support, or a feature that the request
    /// needs is not active yet.
    FeatureInactive,
    /// Too many requests of the same kind are waiting.
    TooManyWaiting,
    /// The job's dependencies could not be read in time.
    DependenciesUnknown,
    /// The settings or the cloud's machine types do not show yet whether the job can run.
    AdmissibilityUnknown,
    /// This controller is not ready to serve users.
    NotReady,
    /// A leader asks for a start lease, or a user for the state of an aborted job, while the abort
    /// can't be confirmed yet.
    AbortUnconfirmed,
}

const REASON_COUNT: usize = RefusalReason::ALL.len();

impl RefusalReason {
    /// All reasons, in the order of their declaration.
    const ALL: [RefusalReason; 14] = [
        RefusalReason::ReadLimit,
        RefusalReason::WriteLimit,
        RefusalReason::StoreFailed,
        RefusalReason::StoreUnreachable,
        RefusalReason::RecordInFlight,
        RefusalReason::RecordChanged,
        RefusalReason::RecordUnreadable,
        RefusalReason::EpochChanged,
        RefusalReason::FeatureInactive,
        RefusalReason::TooManyWaiting,
        RefusalReason::DependenciesUnknown,
        RefusalReason::AdmissibilityUnknown,
        RefusalReason::NotReady,
        RefusalReason::AbortUnconfirmed,
    ];

    /// Returns the reason's name in metrics and logs. The names are stable across versions.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::ReadLimit => "read_limit",
            RefusalReason::WriteLimit => "write_limit",
            RefusalReason::StoreFailed => "store_failed",
            RefusalReason::StoreUnreachable => "store_unreachable",
            RefusalReason::RecordInFlight => "record_in_flight",
            RefusalReason::RecordChanged => "record_changed",
            RefusalReason::RecordUnreadable => "record_unreadable",
            RefusalReason::EpochChanged => "epoch_changed",
            RefusalReason::FeatureInactive => "feature_inactive",
            RefusalReason::TooManyWaiting => "too_many_waiting",
            RefusalReason::DependenciesUnknown => "dependencies_unknown",
            RefusalReason::AdmissibilityUnknown => "admissibility_unknown",
            RefusalReason::NotReady => "not_ready",
            RefusalReason::AbortUnconfirmed => "abort_unconfirmed",
        }
    }
}

/// Minimum time between two log lines about refusals for the same reason.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Counts refusals by reason, and limits the rate at which they are logged.
#[derive(Debug, Default)]
pub(crate) struct Refusals {
    counts: [u64; REASON_COUNT],
    /// Steady time of the most recent log line for each reason.
    logged_ms: [Option<u64>; REASON_COUNT],
}

impl Refusals {
    /// Counts a refusal, and logs it unless one for the same reason was logged within
    /// [`LOG_INTERVAL_MS`].
    pub fn count(&mut self, request: crate::RequestId, reason: RefusalReason, now_ms: u64) {
        let index = reason as usize;
        self.counts[index] += 1;
        let logged_ms = self.logged_ms[index];
        if logged_ms.is_some_and(|logged_ms| now_ms < logged_ms + LOG_INTERVAL_MS) {
            return;
        }
        self.logged_ms[index] = Some(now_ms);
        let (reason, total) = (reason.name(), self.counts[index]);
        tracing::info!(request, reason, total, "request refused");
    }

    /// Returns the number of refusals for each reason that has occurred, by metric name.
    pub fn metrics(&self) -> impl Iterator<Item = (String, f64)> + '_ {
        RefusalReason::ALL.into_iter().filter_map(|reason| {
            let count = self.counts[reason as usize];
            (count > 0).then(|| (format!("refused.{}", reason.name()), count as f64))
        })
    }
}
