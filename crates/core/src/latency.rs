//! Latencies for operators: histograms in the metrics.

use std::collections::HashMap;

use hdrhistogram::Histogram;

use crate::RequestId;

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LatencySpan {
    /// From a user's submission to its answer.
    Submit,
    /// From a status query to its answer.
    Poll,
    /// From an abort to its answer.
    Abort,
    /// From when a task's job could run until the task is on a machine, again or not.
    Start,
    /// The same for the first task of a job with dependencies.
    ChainStart,
    /// From sending a write of records to its answer.
    Write,
}

/// Spans with their names in the metrics.
const SPANS: [(LatencySpan, &str); 6] = [
    (LatencySpan::Submit, "submit"),
    (LatencySpan::Poll, "poll"),
    (LatencySpan::Abort, "abort"),
    (LatencySpan::Start, "start"),
    (LatencySpan::ChainStart, "chain_start"),
    (LatencySpan::Write, "write"),
];
/// Longest latency that is told apart from longer ones: an hour.
const MAX_LATENCY_MS: u64 = 3_600_000;

/// Histograms of all spans, and the requests that are being measured.
pub(crate) struct Latencies {
    spans: Vec<Histogram<u32>>,
    open: HashMap<RequestId, (LatencySpan, u64)>,
    max_timed_requests: usize,
}

impl Latencies {
    pub fn new(max_timed_requests: usize) -> Self {
        let one = || {
            Histogram::new_with_max(MAX_LATENCY_MS, 1).expect("an hour and one digit are in range")
        };
        let spans = SPANS.iter().map(|_| one()).collect();
        Latencies { spans, open: HashMap::new(), max_timed_requests }
    }

    /// Adds a measurement, in milliseconds.
    pub fn note(&mut self, span: LatencySpan, ms: u64) {
        self.spans[span as usize].saturating_record(ms);
    }

    /// Begins to measure a request; beyond the limit it is not measured.
    pub fn begin(&mut self, id: RequestId, span: LatencySpan, now_ms: u64) {
        if self.open.len() < self.max_timed_requests {
            self.open.entry(id).or_insert((span, now_ms));
        }
    }

    /// How long the oldest request of a user has waited for its answer.
    pub fn oldest_ms(&self, now_ms: u64) -> u64 {
        let oldest = self.open.values().map(|(_, since)| *since).min();
        oldest.map_or(0, |since| now_ms.saturating_sub(since))
    }

    /// Ends the measurement of a request that is answered.
    pub fn end(&mut self, id: RequestId, now_ms: u64) {
        if let Some((span, since)) = self.open.remove(&id) {
            self.note(span, now_ms.saturating_sub(since));
        }
    }

    /// Quantiles, maximum and number of each span by metric name, in milliseconds.
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
