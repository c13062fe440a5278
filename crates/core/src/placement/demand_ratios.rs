//! Ratios of demand to supply, and values updated with them once per heartbeat interval: expected
//! waits, missed objectives, and whether GPUs are scarce.

use std::collections::{BTreeMap, BTreeSet};

use quartzgate_wire::msg::{JobKind, JobSpec, Priority, TaskStatus};

use crate::controller::Controller;
use crate::fleet::machines::{Machine, Resources};
use crate::ids::MachineIndex;
use crate::jobs::{Job, JobState, Task, TaskState};
use crate::placement::machine_class::MachineClass;
use crate::placement::wait::expected_wait;

/// Ratio of demand to supply for every constraint, computed once per heartbeat interval.
#[derive(Default)]
pub(crate) struct DemandRatios {
    by_constraint: BTreeMap<Constraint, f64>,
    max: f64,
    /// Whether GPUs are scarce.
    are_gpus_scarce: bool,
    /// While GPUs are scarce, the maximum of each resource over single tasks of the live jobs with
    /// GPUs that may run on machines of a class, by class.
    largest_gpu_tasks: BTreeMap<MachineClass, Resources>,
}

impl DemandRatios {
    /// Returns the highest ratio over all constraints.
    pub fn highest(&self) -> f64 {
        self.max
    }

    /// Returns whether GPUs are scarce, so that they are reserved for tasks that need them.
    pub fn are_gpus_scarce(&self) -> bool {
        self.are_gpus_scarce
    }

    /// Returns the ratio of each constraint that some live job has, by the constraint's name in the
    /// metrics.
    pub fn by_metric_name(&self) -> Vec<(String, f64)> {
        self.by_constraint.iter().map(|(name, ratio)| (name.to_string(), *ratio)).collect()
    }
}

/// A requirement of a job on its machines that may be in short supply.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Constraint {
    Cpu,
    Gpu,
    Memory,
    MachineType(String),
    Zone(String),
    /// A machine that is not a spot machine.
    OnDemand,
}

impl std::fmt::Display for Constraint {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Constraint::Cpu => f.write_str("cpu"),
            Constraint::Gpu => f.write_str("gpu"),
            Constraint::Memory => f.write_str("memory"),
            Constraint::MachineType(name) => write!(f, "type.{name}"),
            Constraint::Zone(name) => write!(f, "zone.{name}"),
            Constraint::OnDemand => f.write_str("no_spot"),
        }
    }
}

/// GPUs are scarce if their ratio of demand to supply is at least this.
const SCARCE_GPU_RATIO: f64 = 0.5;

impl Controller {
    /// Returns the constraints of a job with the amount that each task asks for; for machine types,
    /// zones and on-demand machines, the amount is the task's CPUs.
    fn constraints(spec: &JobSpec) -> Vec<(Constraint, f64)> {
        let mut constraints =
            vec![(Constraint::Cpu, spec.cpus), (Constraint::Memory, spec.memory_gb)];
        if spec.gpus > 0.0 {
            constraints.push((Constraint::Gpu, spec.gpus));
        }
        for machine_type in spec.types.iter().flatten() {
            constraints.push((Constraint::MachineType(machine_type.clone()), spec.cpus));
        }
        if let Some(zone) = &spec.zone {
            constraints.push((Constraint::Zone(zone.clone()), spec.cpus));
        }
        if !spec.spot {
            constraints.push((Constraint::OnDemand, spec.cpus));
        }
        constraints
    }

    /// Computes the ratio of demand to supply for each constraint, then updates the values of jobs
    /// (ratio, missed objectives, deadline at risk) and of machines (expected wait, resources used
    /// by services).
    pub(crate) fn update_demand_ratios(&mut self) {
        let demand = self.demand();
        let supply = self.supply();
        let by_constraint: BTreeMap<Constraint, f64> = demand
            .into_iter()
            .map(|(constraint, requested)| {
                let available = supply.get(&constraint).copied().unwrap_or(0.0);
                let ratio = if requested <= 0.0 { 0.0 } else { requested / available.max(1e-9) };
                (constraint, ratio)
            })
            .collect();
        let max = by_constraint.values().copied().fold(0.0, f64::max);
        let gpu_ratio = by_constraint.get(&Constraint::Gpu);
        let are_gpus_scarce = gpu_ratio.is_some_and(|ratio| *ratio >= SCARCE_GPU_RATIO);
        let largest_gpu_tasks = match are_gpus_scarce {
            true => self.largest_gpu_tasks(),
            false => BTreeMap::new(),
        };
        self.ratios = DemandRatios { by_constraint, max, are_gpus_scarce, largest_gpu_tasks };
        self.update_job_urgency();
        self.update_machine_waits();
    }

    /// Sums what the unfinished tasks of live jobs ask for, by constraint.
    fn demand(&self) -> BTreeMap<Constraint, f64> {
        let mut demand: BTreeMap<Constraint, f64> = BTreeMap::new();
        for (_, job) in self.jobs.iter().filter(|(_, job)| job.state == JobState::Live) {
            let demanded = job.demanded_tasks(job.spec.tasks - job.done);
            for (constraint, amount) in Self::constraints(&job.spec) {
                *demand.entry(constraint).or_default() += amount * f64::from(demanded);
            }
        }
        demand
    }

    /// Sums the capacity of all usable machines, by constraint.
    fn supply(&self) -> BTreeMap<Constraint, f64> {
        let mut supply: BTreeMap<Constraint, f64> = BTreeMap::new();
        let zones = &self.context.config.platform.params.zones;
        for (_, machine) in self.machines.iter().filter(|(_, machine)| machine.usable()) {
            let Some(capacity) = self.capacity_of(&machine.kind) else { continue };
            let mut add = |constraint, amount| *supply.entry(constraint).or_insert(0.0) += amount;
            add(Constraint::Cpu, capacity.cpus);
            add(Constraint::Memory, capacity.memory_gb);
            add(Constraint::Gpu, capacity.gpus);
            add(Constraint::MachineType(machine.kind.clone()), capacity.cpus);
            if let Some(zone) = machine.zone {
                add(Constraint::Zone(zones[zone as usize].clone()), capacity.cpus);
            }
            if !machine.spot {
                add(Constraint::OnDemand, capacity.cpus);
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

    /// Returns the maximum of each resource over single tasks of the live jobs with GPUs that may run
    /// on machines of a class, for the classes of usable machines that have such jobs.
    fn largest_gpu_tasks(&self) -> BTreeMap<MachineClass, Resources> {
        let live = self.jobs.iter().filter(|(_, job)| job.state == JobState::Live);
        let gpu_jobs: Vec<&Job> =
            live.map(|(_, job)| job).filter(|job| job.spec.gpus > 0.0).collect();
        let usable = self.machines.iter().filter(|(_, machine)| machine.usable());
        let classes: BTreeSet<MachineClass> =
            usable.filter_map(|(_, machine)| self.machine_class(machine)).collect();
        let largest = |class: MachineClass| {
            let suitable = gpu_jobs.iter().filter(|job| self.class_suits(class, &job.spec));
            let max = suitable.map(|job| job.resources()).reduce(|max, need| Resources {
                cpus: max.cpus.max(need.cpus),
                gpus: max.gpus.max(need.gpus),
                memory_gb: max.memory_gb.max(need.memory_gb),
            });
            max.map(|max| (class, max))
        };
        classes.into_iter().filter_map(largest).collect()
    }

    /// Returns the resources reserved on a machine, while GPUs are scarce, for the GPU tasks that
    /// may run there and that its free GPUs can serve.
    pub(crate) fn reserved_for_gpu_tasks(&self, machine: &Machine, free: &Resources) -> Resources {
        let mut reserved = Resources::default();
        if self.ratios.largest_gpu_tasks.is_empty() {
            return reserved;
        }
        let class = self.machine_class(machine);
        if let Some(task) = class.and_then(|class| self.ratios.largest_gpu_tasks.get(&class)) {
            reserved.add(task, ((free.gpus + 1e-6) / task.gpus).max(0.0).floor());
        }
        reserved
    }

    /// Returns whether a job does not get resources that are reserved for GPU tasks: it needs no
    /// GPUs, is below production priority, and has not waited long.
    pub(crate) fn respects_gpu_reserve(&self, job: &Job) -> bool {
        job.spec.gpus <= 0.0 && job.priority < Priority::Production && !self.may_use_reserved(job)
    }

    /// Counts the deadline objectives of the class of the job's effective deadline that the job can
    /// no longer meet, if its own tasks and the jobs between it and that deadline take as long as
    /// estimated.
    fn missed_objectives(&self, job: &Job) -> u8 {
        let Some(deadline) = &job.deadline else { return 0 };
        let age_s = self.context.now.wall_ms.saturating_sub(deadline.submitted_ms) as f64 / 1000.0;
        let objectives = self.context.config.platform.params.objectives.iter();
        let of_class = objectives.filter(|objective| {
            objective.kind == "deadline" && objective.class.as_deref() == Some(&deadline.class)
        });
        let latest_end_s = of_class
            .map(|objective| objective.times.unwrap_or(1.0) * deadline.due_s - deadline.tail_s);
        latest_end_s.filter(|end_s| age_s + job.spec.estimate_s > *end_s).count() as u8
    }

    /// Returns the highest ratio of demand to supply among a job's constraints.
    pub(crate) fn ratio_of(&self, spec: &JobSpec) -> f64 {
        Self::constraints(spec)
            .iter()
            .filter_map(|(constraint, _)| self.ratios.by_constraint.get(constraint))
            .copied()
            .fold(0.0, f64::max)
    }

    /// Returns the time that a task still needs according to the submitted estimate, in seconds;
    /// for a running task at least a tenth of the estimate.
    pub(crate) fn remaining_s(&self, job: &Job, task: &Task) -> f64 {
        let estimate_s = job.spec.estimate_s;
        match task.state {
            TaskState::On { status: TaskStatus::Running, since_ms, .. } => {
                let running_s = (self.context.now.steady_ms - since_ms) as f64 / 1000.0;
                (estimate_s - running_s).max(estimate_s * 0.1)
            }
            // The estimate of a failed task is doubtful: each failure, up to 8, adds it once more.
            _ => estimate_s * f64::from(1 + task.failures.min(8)),
        }
    }

    /// Returns the resources that live services on a machine use, by priority.
    fn services_by_priority(&self, machine_index: MachineIndex) -> [Resources; 4] {
        let mut services_by_priority: [Resources; 4] = Default::default();
        let Some(machine) = self.machines.get(machine_index) else { return services_by_priority };
        let jobs = machine.tasks.keys().filter_map(|key| self.jobs.get(key.job));
        let is_service = |job: &&Job| job.spec.kind == JobKind::Service;
        for job in jobs.filter(is_service).filter(|job| job.state == JobState::Live) {
            services_by_priority[job.priority as usize].add(&job.resources(), 1.0);
        }
        services_by_priority
    }

    /// Returns whether a machine can ever have enough free resources for a task of this priority.
    /// Services never end, so what services of at least this priority use does not become free.
    pub(crate) fn may_become_free(
        &self,
        machine: &Machine,
        priority: Priority,
        need: &Resources,
    ) -> bool {
        let capacity = self.capacity_of(&machine.kind);
        capacity.is_some_and(|all| all.minus(&machine.used_by_services(priority)).can_fit(need))
    }

    /// Returns the expected wait E\[W\] in a machine's queue, in seconds.
    fn expected_wait_s(&self, machine_index: MachineIndex) -> f64 {
        let Some(machine) = self.machines.get(machine_index) else { return 0.0 };
        let Some(capacity) = self.capacity_of(&machine.kind) else { return 0.0 };
        let fraction = |used: f64, all: f64| if all > 0.0 { used / all } else { 0.0 };
        let load = fraction(machine.used.cpus, capacity.cpus)
            .max(fraction(machine.used.gpus, capacity.gpus))
            .max(fraction(machine.used.memory_gb, capacity.memory_gb));
        let keys = machine.tasks.keys().chain(&machine.probe_queue);
        let times_s = keys.filter_map(|key| {
            let job = self.jobs.get(key.job).filter(|job| !job.failing_everywhere())?;
            Some(self.remaining_s(job, job.task(key.task)?))
        });
        expected_wait(load, times_s.filter(|time_s| *time_s > 0.0))
    }
}
