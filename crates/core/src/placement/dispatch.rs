//! Late binding: the first probe in the queue of a machine with free capacity binds its task, and
//! the other probes of the task are dropped.
//!
//! Around it: the ratios of demand to supply by which queues are ordered, preemption for tasks of
//! higher priority, and the draining of machines. A task starts only where
//! [`Controller::startable`] proves that it runs nowhere else.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use quartzgate_wire::msg::{JobKind, JobSpec, Priority, TaskStatus};

use crate::controller::Controller;
use crate::fleet::machines::{Machine, Resources};
use crate::ids::{JobIndex, MachineIndex, TaskKey};
use crate::jobs::{Job, JobState, Task, TaskState};
use crate::placement::queue::{pick, QueueOrder, Standing};
use crate::placement::wait::expected_wait;
use crate::storage::records::TASKS_PER_CHUNK;

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
            let (ratio, lost) = (self.ratio_of(&job.spec), self.missed_objectives(job));
            let pressed = self.pressed(job);
            if let Some(job) = self.jobs.get_mut(job_index) {
                (job.ratio, job.lost, job.pressed) = (ratio, lost, pressed);
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
        let Some(deadline) = &job.due else { return 0 };
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
        capacity.is_some_and(|all| all.minus(&m.held_by_services(priority)).fits(need))
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

/// The outcome of one look at a machine's queue.
struct QueueChoice {
    /// The task that is bound, if one may be.
    chosen: Option<TaskKey>,
    /// Tasks that arrived before it and were passed over.
    passed: Vec<TaskKey>,
    /// Other machines to which tasks of the queue were left, since the image is there.
    elsewhere: Vec<MachineIndex>,
}

impl Controller {
    /// Binds tasks on the machines where something has changed, and on those that this affects; the
    /// number of looks is bounded, so that one event does not take too long.
    pub(crate) fn dispatch_touched(&mut self) {
        let rounds = 3 * self.machines_to_dispatch.len().max(8);
        for _ in 0..rounds {
            let Some(machine_index) = self.machines_to_dispatch.pop_first() else { break };
            self.dispatch(machine_index);
        }
        if std::mem::take(&mut self.supply_changed) {
            self.reprobe_due = true;
            self.placement_due = true;
        }
    }

    /// Binds tasks from a machine's queue while it has free capacity.
    fn dispatch(&mut self, machine_index: MachineIndex) {
        if !self.may_command_workers() {
            return;
        }
        while let Some(choice) = self.choose_from_queue(machine_index) {
            let elsewhere = choice.elsewhere.into_iter().filter(|other| *other != machine_index);
            self.machines_to_dispatch.extend(elsewhere);
            let Some(chosen) = choice.chosen else { return };
            for passed in choice.passed {
                if let Some(task) = self.jobs.task_mut(passed) {
                    task.slack += 1;
                }
            }
            self.bind(chosen, machine_index);
        }
    }

    /// Chooses the next task that a machine binds; `None` if nothing in its queue fits.
    fn choose_from_queue(&self, machine_index: MachineIndex) -> Option<QueueChoice> {
        let machine = self.machines.get(machine_index)?;
        if machine.queue.is_empty() || !machine.takes_work(self.context.now.steady_ms) {
            return None;
        }
        let free = self.free_resources(machine);
        if free.cpus < 1e-6 {
            return None;
        }
        let held = self.gang_holds.get(&machine_index);
        let fits = |key: &TaskKey| {
            let job = self.jobs.get(key.job);
            job.is_some_and(|job| self.without_gang_holds(free, held, job).fits(&job.resources()))
        };
        if !machine.queue.iter().any(fits) {
            return None;
        }
        let mut keys: Vec<TaskKey> = Vec::with_capacity(machine.queue.len());
        let mut standings: Vec<Standing> = Vec::with_capacity(machine.queue.len());
        let mut elsewhere: Vec<MachineIndex> = Vec::new();
        for key in &machine.queue {
            let Some(job) = self.jobs.get(key.job) else { continue };
            let Some(task) = job.task(key.task) else { continue };
            // The tasks of a gang start together or not at all.
            let gang = job.spec.shape == JobKind::Gang;
            if gang || !self.startable(job, *key, task, machine_index) {
                continue;
            }
            if let Some(better) = self.image_elsewhere(job, task, machine_index) {
                elsewhere.push(better);
                continue;
            }
            keys.push(*key);
            standings.push(self.standing(job, task));
        }
        let slack_cap = self.context.config.operator.slack_cap;
        let order = self.queue_order(machine);
        let picked = pick(&standings, order, slack_cap, |at| fits(&keys[at]));
        let chosen = picked.as_ref().map(|picked| keys[picked.chosen]);
        let passed = picked.map_or(Vec::new(), |picked| picked.passed);
        let passed = passed.into_iter().map(|at| keys[at]).collect();
        Some(QueueChoice { chosen, passed, elsewhere })
    }

    fn queue_order(&self, machine: &Machine) -> QueueOrder {
        let operator = &self.context.config.operator;
        QueueOrder::choose(
            self.ratios.max,
            operator.ratio_threshold,
            machine.wait_s,
            operator.wait_threshold_s,
        )
    }

    fn standing(&self, job: &Job, task: &Task) -> Standing {
        let team = &self.context.config.platform.params.teams[job.team];
        let placed = &self.teams[job.team].placed;
        Standing {
            priority: job.priority,
            guaranteed: team.cpus > 0.0 && placed.cpus + job.spec.cpus <= team.cpus + 1e-6,
            lost: job.lost,
            // The estimate of a task that failed is doubtful: it counts once more each time.
            remaining_s: match job.failing_everywhere() {
                true => f64::INFINITY,
                false => job.remaining_s() * f64::from(1 + task.failures.min(8)),
            },
            ratio: job.ratio,
            slack: task.slack,
            arrived: task.arrived,
        }
    }

    /// Whether a task may start on a machine. The invariant behind it, that a task never runs
    /// twice: the stored record names this machine for the task, and no other machine that the
    /// task was ever probed to can hold it.
    pub(crate) fn startable(&self, job: &Job, key: TaskKey, task: &Task, ix: MachineIndex) -> bool {
        let Some(chunk) = job.chunks.get(&(key.task / TASKS_PER_CHUNK)) else { return false };
        job.state == JobState::Live
            && !job.unsure
            && task.state == TaskState::Waiting
            && task.not_before_ms <= self.context.now.steady_ms
            && job.may_try(self.context.now.steady_ms)
            && self.may_start(job.team, &job.resources())
            && task.probes.iter().all(|probe| !probe.unproven)
            && task.probes.iter().any(|p| p.machine == ix && p.version <= chunk.acked)
            && self.machines.get(ix).is_some_and(|machine| {
                (task.zone.is_none() || task.zone == machine.zone)
                    && self.allows(&job.spec, &machine.kind, machine.zone, machine.spot)
            })
    }

    /// Another machine of the task's probes with free capacity and, unlike this one, the image.
    fn image_elsewhere(
        &self,
        job: &Job,
        task: &Task,
        machine_index: MachineIndex,
    ) -> Option<MachineIndex> {
        if self.machines.get(machine_index)?.images.contains(&job.image) {
            return None;
        }
        let need = job.resources();
        task.probes.iter().map(|probe| probe.machine).find(|other| {
            self.machines.get(*other).is_some_and(|machine| {
                machine.takes_work(self.context.now.steady_ms)
                    && machine.images.contains(&job.image)
                    && self.resources_for(*other, machine, job).fits(&need)
            })
        })
    }

    fn bind(&mut self, key: TaskKey, machine_index: MachineIndex) {
        let attempt = self.next_attempt();
        self.bind_as(key, machine_index, attempt);
    }

    /// Binds a task to a machine under an attempt number, and drops its probes elsewhere.
    pub(crate) fn bind_as(&mut self, key: TaskKey, ix: MachineIndex, attempt: u64) {
        if let Some(job) = self.jobs.get_mut(key.job).filter(|job| job.failing_everywhere()) {
            job.trials += 1;
        }
        let Some(task) = self.jobs.task_mut(key) else { return };
        task.slack = 0;
        for probe in &task.probes {
            if let Some(machine) = self.machines.get_mut(probe.machine) {
                machine.queue.retain(|queued| *queued != key);
            }
        }
        self.set_task_state(key, TaskState::Starting { machine: ix, attempt });
        if let Some(machine) = self.machines.get_mut(ix) {
            machine.pending_starts.push((key, attempt));
        }
        self.machines_to_command.insert(ix);
    }
}

/// Waiting tasks for which others are preempted in one pass.
const MAX_PREEMPTORS: usize = 1_024;

/// Cost of preempting work of each priority beyond the work that is lost, in CPU seconds.
const PREEMPTION_BASE_COST: [f64; 4] = [0.0, 1000.0, 2000.0, 3000.0];

/// Weight of the CPU seconds of fetching an image against CPU seconds of lost work.
const FETCH_COST_WEIGHT: f64 = 2.0;

/// A task that may be preempted.
struct Victim {
    cost: f64,
    key: TaskKey,
    resources: Resources,
}

/// Tasks to preempt so that another fits on a machine.
struct PreemptionPlan {
    cost: f64,
    machine: MachineIndex,
    victims: Vec<TaskKey>,
}

impl Controller {
    /// Makes capacity free for waiting tasks of higher priority by stopping others of lower
    /// priority, at the least cost.
    pub(crate) fn preempt(&mut self) {
        // Capacity that is being freed for tasks before, by machine.
        let mut promised: BTreeMap<MachineIndex, Resources> = BTreeMap::new();
        for (priority, key) in self.preemptors() {
            self.preempt_for(key, priority, &mut promised);
        }
    }

    /// Waiting tasks that may preempt others, most urgent first, with their priorities.
    fn preemptors(&self) -> Vec<(Priority, TaskKey)> {
        let bound = self.jobs.iter().filter(|(_, job)| job.bound > 0);
        let Some(lowest) = bound.map(|(_, job)| job.priority).min() else { return Vec::new() };
        let mut jobs: Vec<(Priority, u64, JobIndex)> = Vec::new();
        for (job_index, job) in self.jobs.iter() {
            let gang = job.spec.shape == JobKind::Gang;
            let idle = job.waiting == 0 || job.failing_everywhere();
            if job.state != JobState::Live || idle || job.force() <= lowest || gang {
                continue;
            }
            let is_waiting = |task: &&Task| task.state == TaskState::Waiting;
            let first_waiting = job.tasks().map(|(_, task)| task).find(is_waiting);
            jobs.push((job.force(), first_waiting.map_or(0, |task| task.arrived), job_index));
        }
        jobs.sort_by_key(|(priority, arrived, _)| (Reverse(*priority), *arrived));
        let mut preemptors: Vec<(Priority, TaskKey)> = Vec::new();
        for (priority, _, job_index) in jobs {
            let Some(job) = self.jobs.get(job_index) else { continue };
            for (number, task) in job.tasks() {
                let key = TaskKey { job: job_index, task: number };
                if task.probes.iter().any(|probe| self.startable(job, key, task, probe.machine)) {
                    preemptors.push((priority, key));
                }
            }
            // The rest follows in a later pass.
            if preemptors.len() >= MAX_PREEMPTORS {
                break;
            }
        }
        preemptors
    }

    fn preempt_for(
        &mut self,
        key: TaskKey,
        priority: Priority,
        promised: &mut BTreeMap<MachineIndex, Resources>,
    ) {
        let Some(job) = self.jobs.get(key.job) else { return };
        let Some(task) = job.task(key.task) else { return };
        let need = job.resources();
        let mut best: Option<PreemptionPlan> = None;
        for probe in &task.probes {
            if !self.may_preempt_on(job, key, task, priority, probe.machine) {
                continue;
            }
            let taken = promised.get(&probe.machine);
            let Some(plan) = self.plan_preemption(job, priority, probe.machine, taken) else {
                continue;
            };
            if best.as_ref().is_none_or(|best| plan.cost < best.cost) {
                best = Some(plan);
            }
        }
        let Some(plan) = best else { return };
        promised.entry(plan.machine).or_default().add(&need, 1.0);
        for victim in plan.victims {
            // Production work does not wait until others have saved a checkpoint.
            let may_save = priority < Priority::Production;
            self.stop_task_as(victim, "preempted by higher priority", may_save);
        }
    }

    fn may_preempt_on(
        &self,
        job: &Job,
        key: TaskKey,
        task: &Task,
        priority: Priority,
        machine_index: MachineIndex,
    ) -> bool {
        let Some(machine) = self.machines.get(machine_index).filter(|m| m.usable()) else {
            return false;
        };
        // Normal priority preempts the lowest alone: a cheap test before the costly one.
        let mut attainable = self.free_resources(machine);
        attainable.add(&machine.low(), 1.0);
        let hopeless = priority == Priority::Normal && !attainable.fits(&job.resources());
        !hopeless && self.startable(job, key, task, machine_index)
    }

    /// The cheapest victims on a machine that let a task of the job fit; `None` if it can't.
    fn plan_preemption(
        &self,
        job: &Job,
        priority: Priority,
        machine_index: MachineIndex,
        promised: Option<&Resources>,
    ) -> Option<PreemptionPlan> {
        let machine = self.machines.get(machine_index)?;
        let need = job.resources();
        let mut free = self.free_resources(machine);
        let mut victims: Vec<Victim> = Vec::new();
        for key in machine.tasks.keys() {
            let Some(other) = self.jobs.get(key.job) else { continue };
            let Some(task) = other.task(key.task) else { continue };
            let resources = other.resources();
            match task.state {
                TaskState::Stopping { .. } => free.add(&resources, 1.0),
                TaskState::On { .. } | TaskState::Starting { .. } if other.priority < priority => {
                    victims.push(Victim {
                        cost: self.preemption_cost(other, task),
                        key: *key,
                        resources,
                    })
                }
                _ => {}
            }
        }
        if let Some(promised) = promised {
            free.add(promised, -1.0);
        }
        victims.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let (mut cost, mut chosen) = (0.0, Vec::new());
        for victim in victims {
            if free.fits(&need) {
                break;
            }
            free.add(&victim.resources, 1.0);
            cost += victim.cost;
            chosen.push(victim.key);
        }
        if !machine.images.contains(&job.image) {
            cost += FETCH_COST_WEIGHT * job.spec.cpus * self.fetch_s(&job.spec, &machine.kind);
        }
        let plan = PreemptionPlan { cost, machine: machine_index, victims: chosen };
        free.fits(&need).then_some(plan)
    }

    /// What it costs to stop a task, in CPU seconds of work.
    fn preemption_cost(&self, job: &Job, task: &Task) -> f64 {
        let TaskState::On { status: TaskStatus::Running, since_ms, .. } = task.state else {
            return 0.0;
        };
        let running_s = (self.context.now.steady_ms - since_ms) as f64 / 1000.0;
        // Progress since the last checkpoint, or the time that saving one takes.
        let lost_s = match job.spec.checkpoint_interval_s {
            interval_s if interval_s > 0.0 => {
                (running_s % interval_s).min(job.spec.checkpoint_cost_s)
            }
            _ => running_s,
        };
        PREEMPTION_BASE_COST[job.priority as usize] + job.spec.cpus * lost_s
    }

    /// Stops a task, with time to save a checkpoint if that is worth it.
    pub(crate) fn stop_task(&mut self, key: TaskKey, why: &str) {
        self.stop_task_as(key, why, true)
    }

    /// Stops a task, with time to save a checkpoint if it may and if that is worth it.
    fn stop_task_as(&mut self, key: TaskKey, why: &str, may_save: bool) {
        let Some(job) = self.jobs.get(key.job) else { return };
        if job.spec.shape == JobKind::Gang {
            tracing::debug!(job = %job.id, why, "stopping the gang");
            return self.stop_gang(key.job);
        }
        let Some(task) = job.task(key.task) else { return };
        let TaskState::On { machine, attempt, status, since_ms } = task.state else { return };
        let running_s = (self.context.now.steady_ms - since_ms) as f64 / 1000.0;
        let interval_s = job.spec.checkpoint_interval_s;
        let worth_saving = interval_s > 0.0
            && status == TaskStatus::Running
            && running_s % interval_s > job.spec.checkpoint_cost_s;
        let grace = may_save && worth_saving;
        tracing::debug!(job = %job.id, task = key.task, why, "stopping");
        self.set_task_state(key, TaskState::Stopping { machine, attempt, grace });
        self.machines_to_command.insert(machine);
    }
}

/// Milliseconds allowed for saving a checkpoint, for each second that it should take.
const SAVE_MS_PER_COST_S: f64 = 1500.0;

impl Controller {
    /// Evicts tasks from machines that will be interrupted, or that are to be released as faulty.
    pub(crate) fn drain(&mut self) {
        let now_ms = self.context.now.steady_ms;
        let mut to_stop: Vec<TaskKey> = Vec::new();
        for (_, machine) in self.machines.iter() {
            if machine.interruption_at_ms.is_none() && !machine.condemned(now_ms) {
                continue;
            }
            let left_ms = machine.interruption_at_ms.map(|at_ms| at_ms.saturating_sub(now_ms));
            let due = machine.tasks.keys().filter(|key| self.is_eviction_due(**key, left_ms));
            to_stop.extend(due.copied());
        }
        for key in to_stop {
            self.stop_task(key, "draining its machine");
        }
    }

    /// Whether a task has to stop now on a machine that has so long left; `None` if the machine is
    /// faulty. A task with checkpoints runs until just before it must save one, and one without
    /// may finish.
    fn is_eviction_due(&self, key: TaskKey, left_ms: Option<u64>) -> bool {
        let Some(job) = self.jobs.get(key.job) else { return false };
        let Some(task) = job.task(key.task) else { return false };
        let TaskState::On { status, .. } = task.state else { return false };
        let Some(left_ms) = left_ms else { return true };
        let command_ms = 2 * self.context.config.heartbeat_interval_ms();
        let has_checkpoints = job.spec.checkpoint_interval_s > 0.0;
        let save_ms = (job.spec.checkpoint_cost_s * SAVE_MS_PER_COST_S) as u64 + command_ms;
        has_checkpoints && left_ms <= save_ms || status != TaskStatus::Running
    }
}
