//! Results of a simulation: what the load cost, and what was done for it.

use comfy_table::Table;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::cpu_meter::{histogram_up_to, CpuMeter, EventTimes};
use super::options::LoadOptions;

const US_PER_SECOND: u64 = 1_000_000;

/// The longest wait for a start that the histogram tells apart: an hour.
const MAX_START_WAIT_MS: u64 = 3_600_000;

/// What a simulation cost. The names of its fields are the keys of the JSON output.
#[derive(Debug, Serialize)]
pub struct LoadCosts {
    /// Size of the fleet.
    pub machines: u32,
    /// Length of the run, in simulated time.
    pub seconds: u64,
    /// Processor use, as a part of one core: the mean over the last half of the run.
    pub mean: f64,
    /// Processor use in the busiest second of that half.
    pub peak: f64,
    /// The longest single event.
    pub longest_event_us: u64,
    /// Submissions, with repeated ones.
    pub submitted: u64,
    /// Submissions that were accepted.
    pub accepted: u64,
    /// Submissions that were refused, and repeated later.
    pub refused: u64,
    /// Tasks that ran to completion.
    pub tasks_done: u64,
    /// Tasks that workers were told to start.
    pub starts: u64,
    /// Median time from a job's first submission until a task of it is on a machine.
    pub start_p50_ms: u64,
    /// The same, of the slowest hundredth.
    pub start_p99_ms: u64,
    /// Records in the state service at the failover.
    pub records: usize,
    /// Time from the failover to the first start of a task.
    pub first_start_ms: Option<u64>,
    /// Processor time from the failover to that start, in milliseconds of a whole core.
    #[serde(rename = "takeover_cpu_ms")]
    pub failover_cpu_ms: f64,
    /// Processor time by kind of event.
    pub kinds: Vec<EventCost>,
}

/// Processor time of one kind of event.
#[derive(Debug, Serialize)]
pub struct EventCost {
    /// Name of the kind.
    pub kind: &'static str,
    /// Number of events.
    pub events: u64,
    /// Mean time of an event.
    pub mean_us: f64,
    /// Time of the slowest hundredth.
    pub p99_us: u64,
    /// Time of the slowest event.
    pub max_us: u64,
    /// Part of one core over the whole run.
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

/// Counters of what the simulation did.
pub struct LoadCounters {
    /// Submissions, with repeated ones.
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
    /// Counters at zero.
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
    /// When the leader crashed.
    pub at_ms: Option<u64>,
    /// Records that the next leader has to read.
    pub records: usize,
    /// Processor time of all events before it.
    pub cpu_before_us: u64,
    /// Time from the failover to the first start of a task.
    pub first_start_ms: Option<u64>,
    /// Processor time from the failover to that start.
    pub cpu_until_start_us: u64,
}

impl Failover {
    /// Notes that a task is started; only the first start after a failover counts.
    pub fn note_start(&mut self, now_ms: u64, meter: &CpuMeter) {
        let Some(at_ms) = self.at_ms.filter(|_| self.first_start_ms.is_none()) else { return };
        self.first_start_ms = Some(now_ms - at_ms);
        self.cpu_until_start_us = meter.total_us() - self.cpu_before_us;
    }
}

impl LoadCosts {
    /// Sums up a finished run.
    pub fn new(
        options: &LoadOptions,
        meter: &CpuMeter,
        counters: &LoadCounters,
        failover: &Failover,
    ) -> Self {
        let run_us = options.seconds * US_PER_SECOND;
        let last_half_us = meter.last_half_us();
        let core_fraction = |us: u64| us as f64 / US_PER_SECOND as f64;
        let total_us = last_half_us.iter().sum::<u64>();
        let busiest_us = last_half_us.iter().copied().max().unwrap_or(0);
        LoadCosts {
            machines: options.machines,
            seconds: options.seconds,
            mean: core_fraction(total_us) / last_half_us.len().max(1) as f64,
            peak: core_fraction(busiest_us),
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

    /// Prints the results for people.
    pub fn print(&self) {
        self.print_summary();
        if let Some(first_start_ms) = self.first_start_ms {
            println!(
                "failover with {} records; first task started after {first_start_ms} ms and \
                 {:.0} ms of processor",
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
            self.mean,
            self.peak,
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
