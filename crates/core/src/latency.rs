//! How long things take, for operators: histograms in the figures of `/metrics`.

use std::collections::HashMap;

use hdrhistogram::Histogram;

use crate::controller::Controller;
use crate::ids::TaskKey;
use crate::RequestId;

/// What is timed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Span {
    /// From a user's request to its answer.
    Submit,
    Poll,
    Abort,
    /// From when a task's job could run until the task is on a machine, again or not.
    Start,
    /// The same for the first task of a job that waited for others.
    ChainStart,
    /// A write of records, from sending to its answer.
    Write,
}

const SPANS: [(Span, &str); 6] = [
    (Span::Submit, "submit"),
    (Span::Poll, "poll"),
    (Span::Abort, "abort"),
    (Span::Start, "start"),
    (Span::ChainStart, "chain_start"),
    (Span::Write, "write"),
];
/// Longest time that is told apart from longer ones: an hour.
const MOST_MS: u64 = 3_600_000;

pub(crate) struct Latencies {
    spans: Vec<Histogram<u32>>,
    open: HashMap<RequestId, (Span, u64)>,
    max_timed_requests: usize,
}

impl Latencies {
    pub fn new(max_timed_requests: usize) -> Self {
        let one =
            || Histogram::new_with_max(MOST_MS, 1).expect("an hour and one digit are in range");
        let spans = SPANS.iter().map(|_| one()).collect();
        Latencies { spans, open: HashMap::new(), max_timed_requests }
    }

    pub fn note(&mut self, span: Span, ms: u64) {
        self.spans[span as usize].saturating_record(ms);
    }

    pub fn begin(&mut self, id: RequestId, span: Span, now_ms: u64) {
        if self.open.len() < self.max_timed_requests {
            self.open.entry(id).or_insert((span, now_ms));
        }
    }

    /// How long the oldest request of a user has waited for its answer.
    pub fn oldest_ms(&self, now_ms: u64) -> u64 {
        let oldest = self.open.values().map(|(_, since)| *since).min();
        oldest.map_or(0, |since| now_ms.saturating_sub(since))
    }

    pub fn end(&mut self, id: RequestId, now_ms: u64) {
        if let Some((span, since)) = self.open.remove(&id) {
            self.note(span, now_ms.saturating_sub(since));
        }
    }
}

impl Controller {
    /// A task is seen on the machine that it was started on.
    pub(crate) fn note_start(&mut self, key: TaskKey) {
        let Some(job) = self.jobs.get(key.job) else { return };
        let waited_ms = self.now.wall_ms.saturating_sub(job.ready_ms);
        let first = job.on == 1 && job.done == 0;
        if first {
            let (class, tasks) = (&job.spec.class, job.spec.tasks);
            tracing::debug!(job = %job.id, %class, tasks, waited_ms, "begun");
        }
        let chained = first && !job.spec.dependencies.is_empty();
        if chained {
            self.latencies.note(Span::ChainStart, waited_ms);
        }
        self.latencies.note(Span::Start, waited_ms);
    }

    /// Median, 95% and 99%, longest and number of each, in milliseconds.
    pub(crate) fn latency_figures(&self) -> Vec<(String, f64)> {
        let mut out = Vec::new();
        for (span, name) in SPANS {
            let h = &self.latencies.spans[span as usize];
            if h.is_empty() {
                continue;
            }
            for (part, value) in [
                ("p50", h.value_at_quantile(0.5)),
                ("p95", h.value_at_quantile(0.95)),
                ("p99", h.value_at_quantile(0.99)),
                ("max", h.max()),
                ("count", h.len()),
            ] {
                out.push((format!("latency_ms.{name}.{part}"), value as f64));
            }
        }
        out
    }
}
