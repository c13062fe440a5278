//! Ratios of demand to supply, and what is derived from them each heartbeat round: expected waits,
//! missed objectives, and whether GPUs are scarce.

use std::collections::BTreeMap;

use quartzgate_wire::msg::{JobKind, JobSpec, Priority, TaskStatus};

use crate::controller::Controller;
use crate::fleet::machines::{Machine, Resources};
use crate::ids::MachineIndex;
use crate::jobs::{Job, JobState, Task, TaskState};
use crate::placement::wait::expected_wait;

/// Ratios of demand to supply for every constraint, computed each heartbeat round.
#[derive(Default)]
pub(crate) struct DemandRatios {
    by_constraint: BTreeMap<Constraint, f64>,
    max: f64,
    /// The most of each resource that one task with GPUs needs, while GPUs are scarce.
    gpu_task: Option<Resources>,
}

impl DemandRatios {
    /// The highest ratio of all constraints.
    pub fn highest(&self) -> f64 {
        self.max
    }

    /// Whether GPUs are kept for tasks that need them.
    pub fn gpus_scarce(&self) -> bool {
        self.gpu_task.is_some()
    }

    /// The ratio of each constraint that some job has, by its name in the metrics.
    pub fn named(&self) -> Vec<(String, f64)> {
        self.by_constraint.iter().map(|(name, ratio)| (name.to_string(), *ratio)).collect()
    }
}

/// Something that a job asks of a machine and that may be in short supply.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Constraint {
    Cpu,
    Gpu,
    Memory,
    /// A machine type.
    Kind(String),
    Zone(String),
    /// No spot machines.
    Ordinary,
}

impl std::fmt::Display for Constraint {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Constraint::Cpu => f.write_str("cpu"),
            Constraint::Gpu => f.write_str("gpu"),
            Constraint::Memory => f.write_str("memory"),
            Constraint::Kind(name) => write!(f, "type.{name}"),
            Constraint::Zone(name) => write!(f, "zone.{name}"),
            Constraint::Ordinary => f.write_str("no_spot"),
        }
    }
}

/// Ratio of demand to supply from which on GPUs are scarce.
const SCARCE_GPU_RATIO: f64 = 0.5;

impl Controller {
    /// Constraints of a job, with the amount that a task asks of each.
    fn constraints(spec: &JobSpec) -> Vec<(Constraint, f64)> {
        let mut constraints =
            vec![(Constraint::Cpu, spec.cpus), (Constraint::Memory, spec.memory_gb)];
        if spec.gpus > 0.0 {
            constraints.push((Constraint::Gpu, spec.gpus));
        }
        for machine_type in spec.types.iter().flatten() {
            constraints.push((Constraint::Kind(machine_type.clone()), spec.cpus));
        }
        if let Some(zone) = &spec.zone {
            constraints.push((Constraint::Zone(zone.clone()), spec.cpus));
        }
        if !spec.spot {
            constraints.push((Constraint::Ordinary, spec.cpus));
        }
        constraints
    }

    /// Computes the ratio of demand to supply for each constraint, then what jobs and machines
    /// derive from them: ratios, missed objectives and expected waits.
    pub(crate) fn update_demand_ratios(&mut self) {
        let demand = self.demand();
        let supply = self.supply();
        let by_constraint: BTreeMap<Constraint, f64> = demand
            .into_iter()
            .map(|(constraint, asked)| {
                let offered = supply.get(&constraint).copied().unwrap_or(0.0);
                let ratio = if asked <= 0.0 { 0.0 } else { asked / offered.max(1e-9) };
                (constraint, ratio)
            })
            .collect();
        let max = by_constraint.values().copied().fold(0.0, f64::max);
        let gpu_ratio = by_constraint.get(&Constraint::Gpu);
        let scarce = gpu_ratio.is_some_and(|ratio| *ratio >= SCARCE_GPU_RATIO);
        let gpu_task = self.largest_gpu_task().filter(|_| scarce);
        self.ratios = DemandRatios { by_constraint, max, gpu_task };
        self.update_job_urgency();
        self.update_machine_waits();
    }

    /// What the tasks of live jobs that are not done ask for.
    fn demand(&self) -> BTreeMap<Constraint, f64> {
        let mut demand: BTreeMap<Constraint, f64> = BTreeMap::new();
        for (_, job) in self.jobs.iter().filter(|(_, job)| job.state == JobState::Live) {
            let asking = job.asking(job.spec.tasks - job.done);
            for (constraint, amount) in Self::constraints(&job.spec) {
                *demand.entry(constraint).or_default() += amount * f64::from(asking);
            }
        }
        demand
    }

    /// What usable machines offer.
    fn supply(&self) -> BTreeMap<Constraint, f64> {
        let mut supply: BTreeMap<Constraint, f64> = BTreeMap::new();
        let zones = &self.context.config.platform.params.zones;
        for (_, machine) in self.machines.iter().filter(|(_, machine)| machine.usable()) {
            let Some(capacity) = self.capacity_of(&machine.kind) else { continue };
            let mut add = |constraint, amount| *supply.entry(constraint).or_insert(0.0) += amount;
            add(Constraint::Cpu, capacity.cpus);
            add(Constraint::Memory, capacity.memory_gb);
            add(Constraint::Gpu, capacity.gpus);
            add(Constraint::Kind(machine.kind.clone()), capacity.cpus);
            if let Some(zone) = machine.zone {
                add(Constraint::Zone(zones[zone as usize].clone()), capacity.cpus);
            }
            if !machine.spot {
                add(Constraint::Ordinary, capacity.cpus);
            }
        }
        supply
    }

    fn update_job_urgency(&mut self) {
        for job_index in self.jobs.indexes() {
            let Some(job) = self.jobs.get(job_index) else { continue };
            let (ratio, missed_objectives) =
                (self.ratio_of(&job.spec), self.missed_objectives(job));
            let deadline_at_risk = self.deadline_at_risk(job);
            if let Some(job) = self.jobs.get_mut(job_index) {
                (job.ratio, job.missed_objectives, job.deadline_at_risk) =
                    (ratio, missed_objectives, deadline_at_risk);
            }
        }
    }

    fn update_machine_waits(&mut self) {
        for machine_index in self.machines.indexes() {
            let wait_s = self.expected_wait_s(machine_index);
            let services_by_priority = self.services_by_priority(machine_index);
            if let Some(machine) = self.machines.get_mut(machine_index) {
                (machine.wait_s, machine.services_by_priority) = (wait_s, services_by_priority);
            }
        }
    }

    /// The most of each resource that one task of the live jobs with GPUs needs.
    fn largest_gpu_task(&self) -> Option<Resources> {
        let live = self.jobs.iter().filter(|(_, job)| job.state == JobState::Live);
        let with_gpus = live.filter(|(_, job)| job.spec.gpus > 0.0);
        with_gpus.map(|(_, job)| job.resources()).reduce(|a, b| Resources {
            cpus: a.cpus.max(b.cpus),
            gpus: a.gpus.max(b.gpus),
            memory_gb: a.memory_gb.max(b.memory_gb),
        })
    }

    /// Resources that tasks with GPUs need beside a machine's free GPUs while these are scarce.
    /// Work without GPUs that fits elsewhere does not get them.
    pub(crate) fn beside_gpus(&self, free: &Resources) -> Resources {
        let mut reserved = Resources::default();
        if let Some(task) = self.ratios.gpu_task {
            reserved.add(&task, ((free.gpus + 1e-6) / task.gpus).max(0.0).floor());
        }
        reserved
    }

    /// How many of its class's deadline objectives the job can't meet any more, if what it waits
    /// for takes as long as estimated.
    fn missed_objectives(&self, job: &Job) -> u8 {
        let Some(deadline) = &job.deadline else { return 0 };
        let age_s = self.context.now.wall_ms.saturating_sub(deadline.at_ms) as f64 / 1000.0;
        let objectives = self.context.config.platform.params.objectives.iter();
        let of_class = objectives
            .filter(|o| o.kind == "deadline" && o.class.as_deref() == Some(&deadline.class));
        let due_s = of_class.map(|o| o.times.unwrap_or(1.0) * deadline.due_s - deadline.tail_s);
        due_s.filter(|due_s| age_s + job.spec.estimate_s > *due_s).count() as u8
    }

    /// The highest ratio of demand to supply among a job's constraints.
    pub(crate) fn ratio_of(&self, spec: &JobSpec) -> f64 {
        Self::constraints(spec)
            .iter()
            .filter_map(|(constraint, _)| self.ratios.by_constraint.get(constraint))
            .copied()
            .fold(0.0, f64::max)
    }

    /// Time that a task still needs by the submitted estimate, in seconds.
    pub(crate) fn remaining_s(&self, job: &Job, task: &Task) -> f64 {
        let estimate_s = job.spec.estimate_s;
        match task.state {
            TaskState::On { status: TaskStatus::Running, since_ms, .. } => {
                let running_s = (self.context.now.steady_ms - since_ms) as f64 / 1000.0;
                (estimate_s - running_s).max(estimate_s * 0.1)
            }
            // The estimate of a task that failed is doubtful: it counts once more each time.
            _ => estimate_s * f64::from(1 + task.failures.min(8)),
        }
    }

    /// What services on a machine use, by priority.
    fn services_by_priority(&self, machine_index: MachineIndex) -> [Resources; 4] {
        let mut services_by_priority: [Resources; 4] = Default::default();
        let Some(machine) = self.machines.get(machine_index) else { return services_by_priority };
        let jobs = machine.tasks.keys().filter_map(|key| self.jobs.get(key.job));
        let is_service = |job: &&Job| job.spec.shape == JobKind::Service;
        for job in jobs.filter(is_service).filter(|job| job.state == JobState::Live) {
            services_by_priority[job.priority as usize].add(&job.resources(), 1.0);
        }
        services_by_priority
    }

    /// Whether a machine can ever have enough free for a task, as services never end.
    pub(crate) fn may_come_free(&self, m: &Machine, priority: Priority, need: &Resources) -> bool {
        let capacity = self.capacity_of(&m.kind);
        capacity.is_some_and(|all| all.minus(&m.used_by_services(priority)).fits(need))
    }

    /// E\[W\] of a machine's queue.
    fn expected_wait_s(&self, machine_index: MachineIndex) -> f64 {
        let Some(machine) = self.machines.get(machine_index) else { return 0.0 };
        let Some(capacity) = self.capacity_of(&machine.kind) else { return 0.0 };
        let fraction = |used: f64, all: f64| if all > 0.0 { used / all } else { 0.0 };
        let load = fraction(machine.used.cpus, capacity.cpus)
            .max(fraction(machine.used.gpus, capacity.gpus))
            .max(fraction(machine.used.memory_gb, capacity.memory_gb));
        let keys = machine.tasks.keys().chain(&machine.queue);
        let times_s = keys.filter_map(|key| {
            let job = self.jobs.get(key.job).filter(|job| !job.failing_everywhere())?;
            Some(self.remaining_s(job, job.task(key.task)?))
        });
        expected_wait(load, times_s.filter(|time_s| *time_s > 0.0))
    }
}
