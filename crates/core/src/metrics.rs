//! Figures for operators: `GET /metrics` on the mesh address, and a line a second in
//! the debug log.

use std::collections::BTreeMap;

use quartzgate_feature_gates::Feature;
use quartzgate_reachability::ReachabilityState;
use quartzgate_wire::to_cbor;

use crate::controller::Controller;
use crate::fleet::machines::MachineState;
use crate::jobs::JobState;
use crate::storage::record_writer::Purpose;

impl Controller {
    /// All figures by name, as CBOR.
    pub(crate) fn metrics(&mut self) -> Vec<u8> {
        to_cbor(&self.figures())
    }

    fn figures(&mut self) -> BTreeMap<String, f64> {
        let now = self.context.now.steady_ms;
        let mut all: BTreeMap<String, f64> = BTreeMap::new();
        let mut put = |name: &str, value: f64| {
            all.insert(name.to_string(), value);
        };
        put("epoch", self.epoch() as f64);
        put("leads", f64::from(u8::from(self.leads())));
        put("load", f64::from(self.load as u8));
        put("in_doubt", f64::from(u8::from(self.leadership_unverified())));
        let gates = &self.feature_state.gates;
        put("format", f64::from(gates.format_version()));
        put("format_complete", f64::from(u8::from(gates.is_complete() && !gates.is_unsupported())));
        put("format_foreign", f64::from(u8::from(gates.is_unsupported())));
        for (node, said) in gates.capabilities() {
            put(&format!("format_node.{node}"), f64::from(said.version));
        }
        for feature in Feature::all() {
            put(&format!("feature.{}", feature.name()), f64::from(u8::from(self.has(feature))));
        }
        for held in gates.blocked_steps() {
            for node in held.blocked_by.keys() {
                let for_s = now.saturating_sub(held.since_ms) as f64 / 1000.0;
                put(&format!("step_held_s.{}.{node}", held.step), for_s);
            }
        }
        let waits = self.jobs.iter().filter(|(_, j)| j.state == JobState::Waiting);
        put("jobs_waiting_for_jobs", waits.count() as f64);
        put("chain_links", self.dependency_graph.edges() as f64);
        put("chain_unknown", self.dependency_graph.unknown() as f64);
        put("pauses_noticed", self.stall.noticed as f64);
        let (mut waiting, mut on, mut failing_everywhere) = (0, 0, 0);
        for (_, j) in self.jobs.iter() {
            waiting += j.waiting;
            on += j.on;
            failing_everywhere += u32::from(j.failing_everywhere());
        }
        put("jobs", self.jobs.len() as f64);
        put("jobs_mistaken", f64::from(failing_everywhere));
        put("tasks_waiting", f64::from(waiting));
        put("tasks_on_machines", f64::from(on));
        let (mut queued, mut longest, mut wait_s, mut quarantined) = (0, 0, 0.0f64, 0);
        let (mut deaf, mut indeterminate_submissions) = (0, 0);
        let mut states = [0u32; 6];
        for (_, m) in self.machines.iter() {
            states[m.state as usize] += 1;
            quarantined += u32::from(m.quarantined);
            deaf += u32::from(m.reachability.is_one_way_unreachable());
            indeterminate_submissions +=
                u32::from(m.reachability.state() == ReachabilityState::Suspected);
            queued += m.queue.len();
            longest = longest.max(m.queue.len());
            wait_s = wait_s.max(m.wait_s);
        }
        let state = |s: MachineState| f64::from(states[s as usize]);
        put("machines", states.iter().sum::<u32>().into());
        put(
            "machines_unheard",
            state(MachineState::Provisioning) + state(MachineState::Registering),
        );
        put("machines_ready", state(MachineState::Ready));
        put("machines_presumed_empty", state(MachineState::LeaseExpired));
        put("machines_returning", state(MachineState::Returning));
        put("machines_quarantined", f64::from(quarantined));
        put("machines_deaf", f64::from(deaf));
        put("machines_doubted", f64::from(indeterminate_submissions));
        put("copies_dropped", self.duplicates_dropped as f64);
        put("workers_let_go", self.let_go as f64);
        put("question_oldest_s", self.context.latencies.oldest_ms(now) as f64 / 1000.0);
        let mut not_begun: BTreeMap<&str, u64> = BTreeMap::new();
        let live = self.jobs.iter().filter(|(_, j)| j.state == JobState::Live);
        for (_, j) in live.filter(|(_, j)| j.on == 0 && j.done == 0) {
            let oldest = not_begun.entry(&j.spec.class).or_default();
            *oldest = (*oldest).max(self.context.now.wall_ms.saturating_sub(j.ready_ms));
        }
        for (class, ms) in not_begun {
            put(&format!("not_begun_oldest_s.{class}"), ms as f64 / 1000.0);
        }
        put("machines_expected", self.provisioner.expected() as f64);
        put("probes_queued", queued as f64);
        put("queue_longest", longest as f64);
        put("wait_longest_s", wait_s);
        put("ratio_highest", self.ratios.highest());
        put("writes_left", self.record_writer.writes.room(now, 0.0));
        put("reads_left", self.membership.reads.room(now, 0.0));
        for (purpose, name) in Purpose::ALL {
            put(&format!("writes.{name}"), self.record_writer.spent(purpose) as f64);
        }
        put("writes_short", f64::from(u8::from(self.admission.short())));
        put("turned_away", self.admission.rejections() as f64);
        put("pages", self.job_batches.count() as f64);
        put("pages_jobs", self.job_batches.members() as f64);
        put("records_behind", self.record_writer.unwritten_records() as f64);
        for (constraint, ratio) in self.ratios.named() {
            put(&format!("ratio.{constraint}"), ratio);
        }
        all.extend(self.latency_figures());
        all.extend(self.intake.iter().cloned());
        all
    }

    /// How things stand, for someone who reads the log.
    pub(crate) fn log_pulse(&mut self) {
        if tracing::enabled!(tracing::Level::DEBUG) {
            let figures = self.figures();
            let shown = figures.iter().filter(|(name, value)| {
                **value != 0.0
                    && !name.starts_with("ratio.")
                    && !name.starts_with("latency")
                    && *name != "leads"
            });
            let line: Vec<String> = shown.map(|(n, v)| format!("{n}={v:.1}")).collect();
            tracing::debug!("pulse {}", line.join(" "));
        }
    }
}
