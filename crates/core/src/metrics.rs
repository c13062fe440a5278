//! Metrics for operators, served as `GET /metrics` on the address for other controllers. The leader
//! also writes them to the debug log once a second. The metric names are part of the service's
//! interface and never change.

use std::collections::BTreeMap;

use quartzgate_feature_gates::Feature;
use quartzgate_reachability::ReachabilityState;
use quartzgate_wire::to_cbor;

use crate::controller::Controller;
use crate::fleet::machines::MachineState;
use crate::jobs::JobState;
use crate::storage::record_writer::WritePurpose;

/// Metric values by metric name.
#[derive(Default)]
struct Metrics {
    values: BTreeMap<String, f64>,
}

impl Metrics {
    fn set(&mut self, name: impl Into<String>, value: impl Into<f64>) {
        self.values.insert(name.into(), value.into());
    }

    /// Sets a count, which may exceed 32 bits.
    fn set_count(&mut self, name: impl Into<String>, count: u64) {
        self.set(name, count as f64);
    }

    fn set_flag(&mut self, name: impl Into<String>, flag: bool) {
        self.set(name, u8::from(flag));
    }

    /// Sets a duration, given in milliseconds, in seconds.
    fn set_seconds(&mut self, name: impl Into<String>, ms: u64) {
        self.set(name, ms as f64 / 1000.0);
    }
}

impl Controller {
    /// Returns all metrics by name, encoded as CBOR.
    pub(crate) fn metrics(&mut self) -> Vec<u8> {
        to_cbor(&self.collect_metrics().values)
    }

    /// Writes the metrics with nonzero values to the debug log, except ratios, latencies and
    /// `leads`.
    pub(crate) fn log_metrics(&mut self) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let metrics = self.collect_metrics();
        let logged = metrics.values.iter().filter(|(name, value)| {
            **value != 0.0
                && !name.starts_with("ratio.")
                && !name.starts_with("latency")
                && *name != "leads"
        });
        let line: Vec<String> = logged.map(|(name, value)| format!("{name}={value:.1}")).collect();
        tracing::debug!("pulse {}", line.join(" "));
    }

    fn collect_metrics(&mut self) -> Metrics {
        let mut metrics = Metrics::default();
        self.membership_metrics(&mut metrics);
        self.feature_metrics(&mut metrics);
        self.job_metrics(&mut metrics);
        self.job_age_metrics(&mut metrics);
        self.machine_metrics(&mut metrics);
        self.queue_metrics(&mut metrics);
        self.storage_metrics(&mut metrics);
        self.request_metrics(&mut metrics);
        metrics
    }

    fn membership_metrics(&self, metrics: &mut Metrics) {
        metrics.set_count("epoch", self.epoch());
        metrics.set_flag("leads", self.leads());
        metrics.set("load", self.load as u8);
        metrics.set_flag("in_doubt", self.leadership_unverified());
        metrics.set_count("pauses_noticed", self.stall.count());
    }

    fn feature_metrics(&self, metrics: &mut Metrics) {
        let now_ms = self.context.now.steady_ms;
        let gates = &self.feature_state.gates;
        metrics.set("format", gates.format_version());
        metrics.set_flag("format_complete", gates.is_complete() && !gates.is_unsupported());
        metrics.set_flag("format_foreign", gates.is_unsupported());
        for (node, capabilities) in gates.capabilities() {
            metrics.set(format!("format_node.{node}"), capabilities.version);
        }
        for feature in Feature::all() {
            metrics.set_flag(format!("feature.{}", feature.name()), self.is_active(feature));
        }
        for blocked in gates.blocked_steps() {
            let blocked_ms = now_ms.saturating_sub(blocked.since_ms);
            for node in blocked.blocked_by.keys() {
                metrics.set_seconds(format!("step_held_s.{}.{node}", blocked.step), blocked_ms);
            }
        }
    }

    fn job_metrics(&self, metrics: &mut Metrics) {
        let waiting_jobs = self.jobs.iter().filter(|(_, job)| job.state == JobState::Waiting);
        metrics.set_count("jobs_waiting_for_jobs", waiting_jobs.count() as u64);
        metrics.set_count("chain_links", self.dependency_graph.edge_count() as u64);
        metrics.set_count("chain_unknown", self.dependency_graph.unknown_count() as u64);
        let (mut waiting, mut on_machines, mut failing_everywhere) = (0, 0, 0);
        for (_, job) in self.jobs.iter() {
            waiting += job.waiting;
            on_machines += job.confirmed_tasks;
            failing_everywhere += u32::from(job.failing_everywhere());
        }
        metrics.set_count("jobs", self.jobs.len() as u64);
        metrics.set("jobs_mistaken", failing_everywhere);
        metrics.set("tasks_waiting", waiting);
        metrics.set("tasks_on_machines", on_machines);
        metrics.set_count("pages", self.job_batches.count() as u64);
        metrics.set_count("pages_jobs", self.job_batches.member_count() as u64);
    }

    /// Sets, for each class, the age of the oldest runnable job of which no task has started.
    fn job_age_metrics(&self, metrics: &mut Metrics) {
        let mut oldest_ms: BTreeMap<&str, u64> = BTreeMap::new();
        let live = self.jobs.iter().filter(|(_, job)| job.state == JobState::Live);
        for (_, job) in live.filter(|(_, job)| job.confirmed_tasks == 0 && job.done == 0) {
            let age_ms = self.context.now.wall_ms.saturating_sub(job.ready_ms);
            let oldest = oldest_ms.entry(&job.spec.class).or_default();
            *oldest = (*oldest).max(age_ms);
        }
        for (class, age_ms) in oldest_ms {
            metrics.set_seconds(format!("not_begun_oldest_s.{class}"), age_ms);
        }
    }

    fn machine_metrics(&self, metrics: &mut Metrics) {
        let mut by_state = [0u32; 6];
        let (mut quarantined, mut unreachable, mut suspected) = (0, 0, 0);
        for (_, machine) in self.machines.iter() {
            by_state[machine.state as usize] += 1;
            quarantined += u32::from(machine.quarantined);
            unreachable += u32::from(machine.reachability.is_one_way_unreachable());
            suspected += u32::from(machine.reachability.state() == ReachabilityState::Suspected);
        }
        let in_state = |state: MachineState| by_state[state as usize];
        let not_ready = in_state(MachineState::Provisioning) + in_state(MachineState::Registering);
        metrics.set("machines", by_state.iter().sum::<u32>());
        metrics.set("machines_unheard", not_ready);
        metrics.set("machines_ready", in_state(MachineState::Ready));
        metrics.set("machines_presumed_empty", in_state(MachineState::LeaseExpired));
        metrics.set("machines_returning", in_state(MachineState::Releasing));
        metrics.set("machines_quarantined", quarantined);
        metrics.set("machines_deaf", unreachable);
        metrics.set("machines_doubted", suspected);
        metrics.set_count("machines_expected", self.provisioner.expected() as u64);
        metrics.set_count("copies_dropped", self.duplicates_dropped);
        metrics.set_count("workers_let_go", self.redirected_heartbeats);
    }

    fn queue_metrics(&self, metrics: &mut Metrics) {
        let (mut queued, mut longest, mut longest_wait_s) = (0, 0, 0.0f64);
        for (_, machine) in self.machines.iter() {
            queued += machine.probe_queue.len();
            longest = longest.max(machine.probe_queue.len());
            longest_wait_s = longest_wait_s.max(machine.wait_s);
        }
        metrics.set_count("probes_queued", queued as u64);
        metrics.set_count("queue_longest", longest as u64);
        metrics.set("wait_longest_s", longest_wait_s);
        metrics.set("ratio_highest", self.ratios.highest());
        for (constraint, ratio) in self.ratios.by_metric_name() {
            metrics.set(format!("ratio.{constraint}"), ratio);
        }
    }

    fn storage_metrics(&mut self, metrics: &mut Metrics) {
        let now_ms = self.context.now.steady_ms;
        metrics.set("writes_left", self.record_writer.write_limiter.available(now_ms, 0.0));
        metrics.set("reads_left", self.membership.store_reads().available(now_ms));
        metrics.values.extend(self.membership.store_reads().metrics());
        for (purpose, name) in WritePurpose::ALL {
            metrics.set_count(format!("writes.{name}"), self.record_writer.changes_made(purpose));
        }
        metrics.set_flag("writes_short", self.admission.is_write_capacity_short());
        metrics.set_count("records_behind", self.record_writer.unwritten_records() as u64);
    }

    fn request_metrics(&self, metrics: &mut Metrics) {
        let now_ms = self.context.now.steady_ms;
        metrics.set_count("turned_away", self.admission.rejections());
        metrics.set_count("unanswered_overdue", self.query_tracker.overdue_refusals());
        metrics.set_seconds("question_oldest_s", self.context.latencies.oldest_wait_ms(now_ms));
        metrics.values.extend(self.context.latencies.metrics());
        metrics.values.extend(self.context.refusals.metrics());
        metrics.values.extend(self.forward_failures.metrics());
        metrics.values.extend(self.abort_confirmations.metrics());
        metrics.values.extend(self.event_loop_metrics.iter().cloned());
    }
}
