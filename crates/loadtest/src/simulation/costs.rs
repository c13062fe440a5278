//! Results of a simulation: the cost of the load, and counters of the work that was done.

use comfy_table::Table;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::cpu_meter::{histogram_up_to, CpuMeter, EventTimes};
use super::options::LoadOptions;

const US_PER_SECOND: u64 = 1_000_000;

/// Upper bound of the histogram of start waits: one hour.
const MAX_START_WAIT_MS: u64 = 3_600_000;

/// Results of a simulation. The fields' serialized names are the keys of the JSON output.
#[derive(Debug, Serialize)]
pub struct LoadCosts {
    /// Number of machines in the fleet.
    pub machines: u32,
    /// Length of the run, in seconds of simulated time.
    pub seconds: u64,
    /// Mean processor use over the last half of the run, as a fraction of one core.
    #[serde(rename = "mean")]
    pub mean_core_fraction: f64,
    /// Processor use in the busiest second of that half, as a fraction of one core.
    #[serde(rename = "peak")]
    pub peak_core_fraction: f64,
    /// Processor time of the longest single event.
    pub longest_event_us: u64,
    /// Submissions, including retries.
    pub submitted: u64,
    /// Submissions that were accepted.
    pub accepted: u64,
    /// Submissions that were refused, and retried later.
    pub refused: u64,
    /// Tasks that ran to completion.
    pub tasks_done: u64,
    /// Tasks that workers were told to start.
    pub starts: u64,
    /// Median time from a job's first submission until a worker is told to start a task of it.
    pub start_p50_ms: u64,
    /// 99th percentile of the same time.
    pub start_p99_ms: u64,
    /// Number of records in the state service at the failover.
    pub records: usize,
    /// Time from the failover to the first start of a task; absent if there was none.
    pub first_start_ms: Option<u64>,
    /// Processor time of the core from the failover to that start, in milliseconds.
    #[serde(rename = "takeover_cpu_ms")]
    pub failover_cpu_ms: f64,
    /// Processor time by kind of event; only kinds that occurred.
    pub kinds: Vec<EventCost>,
}

/// Processor time of one kind of event.
#[derive(Debug, Serialize)]
pub struct EventCost {
    /// Name of the kind, as in [`EventKind::name`](super::cpu_meter::EventKind::name).
    pub kind: &'static str,
    /// Number of events of the kind.
    pub events: u64,
    /// Mean processor time of an event.
    pub mean_us: f64,
    /// 99th percentile of the processor time of an event.
    pub p99_us: u64,
    /// Processor time of the slowest event.
    pub max_us: u64,
    /// Processor use over the whole run, as a fraction of one core.
    #[serde(rename = "share")]
    pub core_fraction: f64,
}

impl EventCost {
    fn new(times: &EventTimes, run_us: u64) -> Self {
        let histogram = &times.histogram;
        EventCost {
            kind: times.kind.name(),
            events: histogram.len(),
            mean_us: times.total_us as f64 / histogram.len() as f64,
            p99_us: histogram.value_at_quantile(0.99),
            max_us: histogram.max(),
            core_fraction: times.total_us as f64 / run_us as f64,
        }
    }
}

/// Counters of submissions and tasks during a simulation.
pub struct LoadCounters {
    /// Submissions, including retries.
    pub submitted: u64,
    /// Submissions that were accepted.
    pub accepted: u64,
    /// Submissions that were refused.
    pub refused: u64,
    /// Tasks that ran to completion.
    pub tasks_done: u64,
    /// Tasks that workers were told to start.
    pub starts: u64,
    /// Time from a job's first submission to each start of a task, in milliseconds.
    pub start_waits: Histogram<u64>,
}

impl LoadCounters {
    /// Creates counters that are all zero.
    pub fn new() -> Self {
        LoadCounters {
            submitted: 0,
            accepted: 0,
            refused: 0,
            tasks_done: 0,
            starts: 0,
            start_waits: histogram_up_to(MAX_START_WAIT_MS),
        }
    }
}

/// Progress of a failover, from the crash of the leader to the first start by the next one.
#[derive(Default)]
pub struct Failover {
    /// Simulated time at which the leader crashed; absent if it has not.
    pub at_ms: Option<u64>,
    /// Number of stored records that the next leader has to read.
    pub records: usize,
    /// Processor time of all events before the failover.
    pub cpu_before_us: u64,
    /// Time from the failover to the first start of a task; absent if there was none.
    pub first_start_ms: Option<u64>,
    /// Processor time from the failover to that start.
    pub cpu_until_start_us: u64,
}

impl Failover {
    /// Records that a task is started; only the first start after a failover counts.
    pub fn note_start(&mut self, now_ms: u64, meter: &CpuMeter) {
        let Some(at_ms) = self.at_ms.filter(|_| self.first_start_ms.is_none()) else { return };
        self.first_start_ms = Some(now_ms - at_ms);
        self.cpu_until_start_us = meter.total_us() - self.cpu_before_us;
    }
}

impl LoadCosts {
    /// Computes the results of a finished run.
    pub fn new(
        options: &LoadOptions,
        meter: &CpuMeter,
        counters: &LoadCounters,
        failover: &Failover,
    ) -> Self {
        let run_us = options.seconds * US_PER_SECOND;
        let us_by_second = meter.last_half_us_by_second();
        let core_fraction = |us: u64| us as f64 / US_PER_SECOND as f64;
        let last_half_us = us_by_second.iter().sum::<u64>();
        let busiest_second_us = us_by_second.iter().copied().max().unwrap_or(0);
        LoadCosts {
            machines: options.machines,
            seconds: options.seconds,
            mean_core_fraction: core_fraction(last_half_us) / us_by_second.len().max(1) as f64,
            peak_core_fraction: core_fraction(busiest_second_us),
            longest_event_us: meter.longest_event_us(),
            submitted: counters.submitted,
            accepted: counters.accepted,
            refused: counters.refused,
            tasks_done: counters.tasks_done,
            starts: counters.starts,
            start_p50_ms: counters.start_waits.value_at_quantile(0.5),
            start_p99_ms: counters.start_waits.value_at_quantile(0.99),
            records: failover.records,
            first_start_ms: failover.first_start_ms,
            failover_cpu_ms: failover.cpu_until_start_us as f64 / 1e3,
            kinds: meter.observed_kinds().map(|times| EventCost::new(times, run_us)).collect(),
        }
    }

    /// Prints the results as text: a summary and a table by kind of event.
    pub fn print(&self) {
        self.print_summary();
        if let Some(first_start_ms) = self.first_start_ms {
            println!(
                "failover with {} records; first task started after {first_start_ms} ms and \
                 {:.0} ms of processor time",
                self.records, self.failover_cpu_ms
            );
        }
        println!("{}", self.event_table());
    }

    fn print_summary(&self) {
        println!(
            "{} machines, {} s: {:.3} of a core (busiest second {:.3}), longest event {:.1} ms; \
             {} accepted, {} refused, {} starts, {} tasks done; start p50 {} ms, p99 {} ms",
            self.machines,
            self.seconds,
            self.mean_core_fraction,
            self.peak_core_fraction,
            self.longest_event_us as f64 / 1e3,
            self.accepted,
            self.refused,
            self.starts,
            self.tasks_done,
            self.start_p50_ms,
            self.start_p99_ms,
        );
    }

    fn event_table(&self) -> Table {
        let mut table = Table::new();
        table.set_header(["event", "count", "mean µs", "p99 µs", "max µs", "part of a core"]);
        for cost in &self.kinds {
            table.add_row([
                cost.kind.to_string(),
                cost.events.to_string(),
                format!("{:.1}", cost.mean_us),
                cost.p99_us.to_string(),
                cost.max_us.to_string(),
                format!("{:.4}", cost.core_fraction),
            ]);
        }
        table
    }
}
