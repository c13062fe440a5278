//! Latency histograms for operators, exported in the metrics.

use std::collections::HashMap;

use hdrhistogram::Histogram;

use crate::RequestId;

/// Interval whose duration is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LatencySpan {
    /// From a user's submission to its answer.
    Submit,
    /// From a status query to its answer.
    Poll,
    /// From an abort to its answer.
    Abort,
    /// From when a task's job became runnable until the task is on a machine, whether or not the
    /// task was started before.
    Start,
    /// As [`LatencySpan::Start`], but only for the first task of a job with dependencies.
    ChainStart,
    /// From sending a write of records to its answer.
    Write,
}

/// All spans with their names in the metrics.
const SPANS: [(LatencySpan, &str); 6] = [
    (LatencySpan::Submit, "submit"),
    (LatencySpan::Poll, "poll"),
    (LatencySpan::Abort, "abort"),
    (LatencySpan::Start, "start"),
    (LatencySpan::ChainStart, "chain_start"),
    (LatencySpan::Write, "write"),
];
/// Largest latency that the histograms distinguish from larger ones: one hour.
const MAX_LATENCY_MS: u64 = 3_600_000;

/// Histograms of all spans, and the start times of requests that are being measured.
pub(crate) struct Latencies {
    spans: Vec<Histogram<u32>>,
    in_progress: HashMap<RequestId, (LatencySpan, u64)>,
    max_timed_requests: usize,
}

impl Latencies {
    pub fn new(max_timed_requests: usize) -> Self {
        let new_histogram = || {
            Histogram::new_with_max(MAX_LATENCY_MS, 1).expect("an hour and one digit are in range")
        };
        let spans = SPANS.iter().map(|_| new_histogram()).collect();
        Latencies { spans, in_progress: HashMap::new(), max_timed_requests }
    }

    /// Records a latency in milliseconds.
    pub fn record(&mut self, span: LatencySpan, ms: u64) {
        self.spans[span as usize].saturating_record(ms);
    }

    /// Starts measuring a request, unless too many requests are being measured already.
    pub fn begin(&mut self, id: RequestId, span: LatencySpan, now_ms: u64) {
        if self.in_progress.len() < self.max_timed_requests {
            self.in_progress.entry(id).or_insert((span, now_ms));
        }
    }

    /// Returns how long the oldest unanswered user request has waited, in milliseconds.
    pub fn oldest_wait_ms(&self, now_ms: u64) -> u64 {
        let oldest = self.in_progress.values().map(|(_, started_ms)| *started_ms).min();
        oldest.map_or(0, |started_ms| now_ms.saturating_sub(started_ms))
    }

    /// Records the latency of a request that has been answered, if it was being measured.
    pub fn end(&mut self, id: RequestId, now_ms: u64) {
        if let Some((span, started_ms)) = self.in_progress.remove(&id) {
            self.record(span, now_ms.saturating_sub(started_ms));
        }
    }

    /// Returns the quantiles, in milliseconds, and the maximum and count of each span, by metric
    /// name.
    pub fn metrics(&self) -> Vec<(String, f64)> {
        let mut metrics = Vec::new();
        for (span, name) in SPANS {
            let histogram = &self.spans[span as usize];
            if histogram.is_empty() {
                continue;
            }
            for (part, value) in [
                ("p50", histogram.value_at_quantile(0.5)),
                ("p95", histogram.value_at_quantile(0.95)),
                ("p99", histogram.value_at_quantile(0.99)),
                ("max", histogram.max()),
                ("count", histogram.len()),
            ] {
                metrics.push((format!("latency_ms.{name}.{part}"), value as f64));
            }
        }
        metrics
    }
}
