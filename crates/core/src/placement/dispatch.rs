//! Late binding: the probe that first reaches the front of a queue on a machine
//! with room binds its task; the task's other probes are dropped.

use std::collections::BTreeMap;

use quartzgate_wire::msg::{JobKind, JobSpec, Priority, TaskStatus};

use crate::controller::Controller;
use crate::fleet::machines::{Machine, Resources};
use crate::ids::{JobIndex, MachineIndex, TaskKey};
use crate::jobs::{Job, JobState, Task, TaskState};
use crate::placement::queue::{pick, QueueOrder, Standing};
use crate::placement::wait::expected_wait;

/// Demand and supply of every constraint, weighed anew each report round.
#[derive(Default)]
pub(crate) struct DemandRatios {
    by_constraint: BTreeMap<Constraint, f64>,
    max: f64,
    /// What a task of those that need GPUs takes at most of a machine, while GPUs are scarce.
    gpu_task: Option<Resources>,
}

impl DemandRatios {
    pub fn highest(&self) -> f64 {
        self.max
    }

    pub fn gpus_scarce(&self) -> bool {
        self.gpu_task.is_some()
    }

    pub fn named(&self) -> Vec<(String, f64)> {
        self.by_constraint.iter().map(|(c, ratio)| (c.to_string(), *ratio)).collect()
    }
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

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Constraint {
    Cpu,
    Gpu,
    Memory,
    Kind(String),
    Zone(String),
    /// No spot machines.
    Ordinary,
}

/// Demand of GPUs beside their supply from which on they are scarce.
const SCARCE: f64 = 0.5;
/// Waiting tasks that others may be stopped for in one go.
const ASK_AT_ONCE: usize = 1_024;

impl Controller {
    /// Constraints of a job, with the amount a task asks of each.
    fn constraints(s: &JobSpec) -> Vec<(Constraint, f64)> {
        let mut out = vec![(Constraint::Cpu, s.cpus), (Constraint::Memory, s.memory_gb)];
        if s.gpus > 0.0 {
            out.push((Constraint::Gpu, s.gpus));
        }
        for kind in s.types.iter().flatten() {
            out.push((Constraint::Kind(kind.clone()), s.cpus));
        }
        if let Some(z) = &s.zone {
            out.push((Constraint::Zone(z.clone()), s.cpus));
        }
        if !s.spot {
            out.push((Constraint::Ordinary, s.cpus));
        }
        out
    }

    /// Weighs tasks asking against machines offering, per constraint, and estimates
    /// every queue's wait.
    pub(crate) fn update_demand_ratios(&mut self) {
        let mut demand: BTreeMap<Constraint, f64> = BTreeMap::new();
        for (_, job) in self.jobs.iter().filter(|(_, j)| j.state == JobState::Live) {
            let asking = job.asking(job.spec.tasks - job.done);
            for (c, amount) in Self::constraints(&job.spec) {
                *demand.entry(c).or_default() += amount * f64::from(asking);
            }
        }
        let mut supply: BTreeMap<Constraint, f64> = BTreeMap::new();
        let zones = self.context.config.platform.params.zones.clone();
        for (_, m) in self.machines.iter().filter(|(_, m)| m.usable()) {
            let Some(all) = self.capacity_of(&m.kind) else { continue };
            let mut add = |c, amount| *supply.entry(c).or_insert(0.0) += amount;
            add(Constraint::Cpu, all.cpus);
            add(Constraint::Memory, all.memory_gb);
            add(Constraint::Gpu, all.gpus);
            add(Constraint::Kind(m.kind.clone()), all.cpus);
            if let Some(z) = m.zone {
                add(Constraint::Zone(zones[z as usize].clone()), all.cpus);
            }
            if !m.spot {
                add(Constraint::Ordinary, all.cpus);
            }
        }
        let by_constraint: BTreeMap<Constraint, f64> = demand
            .into_iter()
            .map(|(c, asked)| {
                let offered = supply.get(&c).copied().unwrap_or(0.0);
                let ratio = if asked <= 0.0 { 0.0 } else { asked / offered.max(1e-9) };
                (c, ratio)
            })
            .collect();
        let max = by_constraint.values().copied().fold(0.0, f64::max);
        let scarce = by_constraint.get(&Constraint::Gpu).is_some_and(|r| *r >= SCARCE);
        let gpu_task = self.largest_gpu_task().filter(|_| scarce);
        self.ratios = DemandRatios { by_constraint, max, gpu_task };
        for ix in self.jobs.indexes() {
            let Some(job) = self.jobs.get(ix) else { continue };
            let (ratio, lost) = (self.ratio_of(&job.spec), self.lost_deadlines(job));
            let pressed = self.pressed(job);
            if let Some(j) = self.jobs.get_mut(ix) {
                (j.ratio, j.lost, j.pressed) = (ratio, lost, pressed);
            }
        }
        for ix in self.machines.indexes() {
            let (wait_s, services_by_priority) = (self.wait_of(ix), self.lasting_on(ix));
            if let Some(m) = self.machines.get_mut(ix) {
                (m.wait_s, m.services_by_priority) = (wait_s, services_by_priority);
            }
        }
    }

    fn largest_gpu_task(&self) -> Option<Resources> {
        let live = self.jobs.iter().filter(|(_, j)| j.state == JobState::Live);
        let rooms = live.filter(|(_, j)| j.spec.gpus > 0.0).map(|(_, j)| j.resources());
        rooms.reduce(|a, b| Resources {
            cpus: a.cpus.max(b.cpus),
            gpus: a.gpus.max(b.gpus),
            memory_gb: a.memory_gb.max(b.memory_gb),
        })
    }

    /// Room that a machine's free GPUs need beside them, while they are scarce: it is not for
    /// work that needs none and would fit elsewhere.
    pub(crate) fn beside_gpus(&self, free: &Resources) -> Resources {
        let mut room = Resources::default();
        if let Some(task) = self.ratios.gpu_task {
            room.add(&task, ((free.gpus + 1e-6) / task.gpus).max(0.0).floor());
        }
        room
    }

    /// How many of the deadlines that its class has aims for the job can't meet any
    /// more, if what it waits for runs as long as its owner estimates.
    fn lost_deadlines(&self, job: &Job) -> u8 {
        let Some(due) = &job.due else { return 0 };
        let age_s = self.context.now.wall_ms.saturating_sub(due.at_ms) as f64 / 1000.0;
        let aims = self.context.config.platform.params.objectives.iter();
        let aims = aims
            .filter(|o| o.kind == "deadline" && o.class.as_deref() == Some(&due.class))
            .map(|o| o.times.unwrap_or(1.0) * due.due_s - due.tail_s);
        aims.filter(|due_s| age_s + job.spec.estimate_s > *due_s).count() as u8
    }

    pub(crate) fn ratio_of(&self, spec: &JobSpec) -> f64 {
        Self::constraints(spec)
            .iter()
            .filter_map(|(c, _)| self.ratios.by_constraint.get(c))
            .copied()
            .fold(0.0, f64::max)
    }

    /// Time that a task still needs, by its owner's estimate.
    pub(crate) fn remaining_s(&self, job: &Job, task: &Task) -> f64 {
        let estimate = job.spec.estimate_s;
        match task.state {
            TaskState::On { status: TaskStatus::Running, since_ms, .. } => {
                let ran = (self.context.now.steady_ms - since_ms) as f64 / 1000.0;
                (estimate - ran).max(estimate * 0.1)
            }
            // What failed before is not short: its time counts once more each time.
            _ => estimate * f64::from(1 + task.failures.min(8)),
        }
    }

    /// What services on a machine use, by priority.
    fn lasting_on(&self, ix: MachineIndex) -> [Resources; 4] {
        let mut services_by_priority: [Resources; 4] = Default::default();
        let Some(m) = self.machines.get(ix) else { return services_by_priority };
        let jobs = m.tasks.keys().filter_map(|k| self.jobs.get(k.job));
        for job in jobs.filter(|j| j.spec.shape == JobKind::Service && j.state == JobState::Live) {
            services_by_priority[job.priority as usize].add(&job.resources(), 1.0);
        }
        services_by_priority
    }

    /// Whether a machine may come to have room for a task: services leave it some.
    pub(crate) fn may_come_free(&self, m: &Machine, priority: Priority, need: &Resources) -> bool {
        let all = self.capacity_of(&m.kind);
        all.is_some_and(|all| all.minus(&m.held_by_services(priority)).fits(need))
    }

    /// E\[W\] of a machine's queue.
    fn wait_of(&self, ix: MachineIndex) -> f64 {
        let Some(m) = self.machines.get(ix) else { return 0.0 };
        let Some(all) = self.capacity_of(&m.kind) else { return 0.0 };
        let share = |used: f64, all: f64| if all > 0.0 { used / all } else { 0.0 };
        let load = share(m.used.cpus, all.cpus)
            .max(share(m.used.gpus, all.gpus))
            .max(share(m.used.memory_gb, all.memory_gb));
        let keys = m.tasks.keys().chain(&m.queue);
        let times = keys.filter_map(|k| {
            let job = self.jobs.get(k.job).filter(|j| !j.failing_everywhere())?;
            Some(self.remaining_s(job, job.task(k.task)?))
        });
        expected_wait(load, times.filter(|t| *t > 0.0))
    }

    pub(crate) fn dispatch_touched(&mut self) {
        let rounds = 3 * self.machines_to_dispatch.len().max(8);
        for _ in 0..rounds {
            let Some(ix) = self.machines_to_dispatch.pop_first() else { break };
            self.dispatch(ix);
        }
        if std::mem::take(&mut self.supply_changed) {
            self.reprobe_due = true;
            self.placement_due = true;
        }
    }

    /// Binds tasks from a machine's queue while it has room.
    fn dispatch(&mut self, ix: MachineIndex) {
        if !self.may_command_workers() {
            return;
        }
        let now = self.context.now.steady_ms;
        loop {
            let Some(m) = self.machines.get(ix) else { return };
            if m.queue.is_empty() || !m.takes_work(now) {
                return;
            }
            let free = self.free_resources(m);
            if free.cpus < 1e-6 {
                return;
            }
            let held = self.gang_holds.get(&ix);
            let fits = |k: &TaskKey| {
                let job = self.jobs.get(k.job);
                job.is_some_and(|j| self.without_gang_holds(free, held, j).fits(&j.resources()))
            };
            if !m.queue.iter().any(fits) {
                return;
            }
            // Tasks that may be bound here at all.
            let mut keys: Vec<TaskKey> = Vec::with_capacity(m.queue.len());
            let mut standings: Vec<Standing> = Vec::with_capacity(m.queue.len());
            let mut elsewhere: Vec<MachineIndex> = Vec::new();
            for key in &m.queue {
                let Some(job) = self.jobs.get(key.job) else { continue };
                let Some(task) = job.task(key.task) else { continue };
                // A gang's tasks are started together or not at all.
                let gang = job.spec.shape == JobKind::Gang;
                if gang || !self.startable(job, *key, task, ix) {
                    continue;
                }
                if let Some(better) = self.image_elsewhere(job, task, ix) {
                    elsewhere.push(better);
                    continue;
                }
                keys.push(*key);
                standings.push(self.standing(job, task));
            }
            let operator = &self.context.config.operator;
            let order = QueueOrder::choose(
                self.ratios.max,
                operator.ratio_threshold,
                m.wait_s,
                operator.wait_threshold_s,
            );
            let picked = pick(&standings, order, operator.slack_cap, |at| fits(&keys[at]));
            self.machines_to_dispatch.extend(elsewhere.into_iter().filter(|e| *e != ix));
            let Some(picked) = picked else { return };
            for passed in picked.passed {
                if let Some(t) = self.jobs.task_mut(keys[passed]) {
                    t.slack += 1;
                }
            }
            self.bind(keys[picked.chosen], ix);
        }
    }

    fn standing(&self, job: &Job, task: &Task) -> Standing {
        let team = &self.context.config.platform.params.teams[job.team];
        let placed = &self.teams[job.team].placed;
        Standing {
            priority: job.priority,
            guaranteed: team.cpus > 0.0 && placed.cpus + job.spec.cpus <= team.cpus + 1e-6,
            lost: job.lost,
            // What failed before is not short: it counts once more each time.
            remaining_s: match job.failing_everywhere() {
                true => f64::INFINITY,
                false => job.remaining_s() * f64::from(1 + task.failures.min(8)),
            },
            ratio: job.ratio,
            slack: task.slack,
            arrived: task.arrived,
        }
    }

    /// The proof rule: the record names this machine for the task, and no other
    /// machine that the task was ever probed to can hold it.
    pub(crate) fn startable(&self, job: &Job, key: TaskKey, task: &Task, ix: MachineIndex) -> bool {
        let Some(chunk) = job.chunks.get(&(key.task / crate::storage::records::TASKS_PER_CHUNK))
        else {
            return false;
        };
        job.state == JobState::Live
            && !job.unsure
            && task.state == TaskState::Waiting
            && task.not_before_ms <= self.context.now.steady_ms
            && job.may_try(self.context.now.steady_ms)
            && self.may_start(job.team, &job.resources())
            && task.probes.iter().all(|p| !p.unproven)
            && task.probes.iter().any(|p| p.machine == ix && p.version <= chunk.acked)
            && self.machines.get(ix).is_some_and(|m| {
                (task.zone.is_none() || task.zone == m.zone)
                    && self.allows(&job.spec, &m.kind, m.zone, m.spot)
            })
    }

    /// Another machine of the task's that has room and, unlike this one, the image.
    fn image_elsewhere(&self, job: &Job, task: &Task, ix: MachineIndex) -> Option<MachineIndex> {
        if self.machines.get(ix)?.images.contains(&job.image) {
            return None;
        }
        let need = job.resources();
        task.probes.iter().map(|p| p.machine).find(|other| {
            self.machines.get(*other).is_some_and(|m| {
                m.takes_work(self.context.now.steady_ms)
                    && m.images.contains(&job.image)
                    && self.resources_for(*other, m, job).fits(&need)
            })
        })
    }

    fn bind(&mut self, key: TaskKey, ix: MachineIndex) {
        let attempt = self.next_attempt();
        self.bind_as(key, ix, attempt);
    }

    pub(crate) fn bind_as(&mut self, key: TaskKey, ix: MachineIndex, attempt: u64) {
        if let Some(job) = self.jobs.get_mut(key.job).filter(|j| j.failing_everywhere()) {
            job.trials += 1;
        }
        let Some(task) = self.jobs.task_mut(key) else { return };
        task.slack = 0;
        let probes: Vec<MachineIndex> = task.probes.iter().map(|p| p.machine).collect();
        for p in probes {
            if let Some(m) = self.machines.get_mut(p) {
                m.queue.retain(|k| *k != key);
            }
        }
        self.set_task_state(key, TaskState::Starting { machine: ix, attempt });
        if let Some(m) = self.machines.get_mut(ix) {
            m.pending_starts.push((key, attempt));
        }
        self.machines_to_command.insert(ix);
    }

    /// Makes room for waiting tasks of higher priority by stopping lower ones,
    /// cheapest loss first.
    pub(crate) fn preempt(&mut self) {
        let on = self.jobs.iter().filter(|(_, j)| j.bound > 0);
        let Some(lowest) = on.map(|(_, j)| j.priority).min() else { return };
        let mut jobs: Vec<(Priority, u64, JobIndex)> = Vec::new();
        for (ix, job) in self.jobs.iter() {
            let gang = job.spec.shape == JobKind::Gang;
            let idle = job.waiting == 0 || job.failing_everywhere();
            if job.state != JobState::Live || idle || job.force() <= lowest || gang {
                continue;
            }
            let waits = |t: &&Task| t.state == TaskState::Waiting;
            let first = job.tasks().map(|(_, t)| t).find(waits).map_or(0, |t| t.arrived);
            jobs.push((job.force(), first, ix));
        }
        jobs.sort_by_key(|(priority, at, _)| (std::cmp::Reverse(*priority), *at));
        let mut asking: Vec<(Priority, TaskKey)> = Vec::new();
        for (priority, _, ix) in jobs {
            let Some(job) = self.jobs.get(ix) else { continue };
            for (n, t) in job.tasks() {
                let key = TaskKey { job: ix, task: n };
                if t.probes.iter().any(|p| self.startable(job, key, t, p.machine)) {
                    asking.push((priority, key));
                }
            }
            // The rest has its turn once these are served.
            if asking.len() >= ASK_AT_ONCE {
                break;
            }
        }
        // Room that is being made already, by machine.
        let mut promised: BTreeMap<MachineIndex, Resources> = BTreeMap::new();
        for (priority, key) in asking {
            self.preempt_for(key, priority, &mut promised);
        }
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
        let mut best: Option<(f64, MachineIndex, Vec<TaskKey>)> = None;
        for p in &task.probes {
            let Some(m) = self.machines.get(p.machine).filter(|m| m.usable()) else { continue };
            let mut room = self.free_resources(m);
            // Below high priority only the lowest makes way.
            let mut most = room;
            most.add(&m.low(), 1.0);
            let hopeless = priority == Priority::Normal && !most.fits(&need);
            if hopeless || !self.startable(job, key, task, p.machine) {
                continue;
            }
            let mut victims: Vec<(f64, TaskKey, Resources)> = Vec::new();
            for k in m.tasks.keys() {
                let Some(j) = self.jobs.get(k.job) else { continue };
                let Some(t) = j.task(k.task) else { continue };
                match t.state {
                    TaskState::Stopping { .. } => room.add(&j.resources(), 1.0),
                    TaskState::On { .. } | TaskState::Starting { .. } if j.priority < priority => {
                        victims.push((self.loss_of(j, t), *k, j.resources()))
                    }
                    _ => {}
                }
            }
            if let Some(taken) = promised.get(&p.machine) {
                room.add(taken, -1.0);
            }
            victims.sort_by(|a, b| a.0.total_cmp(&b.0));
            let (mut cost, mut chosen) = (0.0, Vec::new());
            for (loss, k, r) in victims {
                if room.fits(&need) {
                    break;
                }
                room.add(&r, 1.0);
                cost += loss;
                chosen.push(k);
            }
            // Seconds of a fetch weigh as much as seconds of work lost.
            if !m.images.contains(&job.image) {
                cost += 2.0 * job.spec.cpus * self.fetch_s(&job.spec, &m.kind);
            }
            if room.fits(&need) && best.as_ref().is_none_or(|(c, _, _)| cost < *c) {
                best = Some((cost, p.machine, chosen));
            }
        }
        let Some((_, machine, victims)) = best else { return };
        promised.entry(machine).or_default().add(&need, 1.0);
        for k in victims {
            // Production does not wait for others to save.
            let why = "making room for higher priority";
            self.stop_task_as(k, why, priority < Priority::Production);
        }
    }

    /// What stopping a task costs, in seconds of work.
    fn loss_of(&self, job: &Job, task: &Task) -> f64 {
        let TaskState::On { status: TaskStatus::Running, since_ms, .. } = task.state else {
            return 0.0;
        };
        let ran = (self.context.now.steady_ms - since_ms) as f64 / 1000.0;
        let priority = match job.priority {
            Priority::Low => 0.0,
            Priority::Normal => 1000.0,
            Priority::High => 2000.0,
            Priority::Production => 3000.0,
        };
        // Progress since the last checkpoint, or the time that a save takes.
        let lost = match job.spec.checkpoint_interval_s {
            every if every > 0.0 => (ran % every).min(job.spec.checkpoint_cost_s),
            _ => ran,
        };
        priority + job.spec.cpus * lost
    }

    /// Tells a task to stop; it saves if it can.
    pub(crate) fn stop_task(&mut self, key: TaskKey, why: &str) {
        self.stop_task_as(key, why, true)
    }

    /// Tells a task to stop; it saves if it can, if it may, and if that is worth it.
    fn stop_task_as(&mut self, key: TaskKey, why: &str, may_save: bool) {
        let Some(job) = self.jobs.get(key.job) else { return };
        if job.spec.shape == JobKind::Gang {
            tracing::debug!(job = %job.id, why, "stopping the gang");
            return self.stop_gang(key.job);
        }
        let Some(task) = job.task(key.task) else { return };
        let TaskState::On { machine, attempt, status, since_ms } = task.state else { return };
        let ran = (self.context.now.steady_ms - since_ms) as f64 / 1000.0;
        let every = job.spec.checkpoint_interval_s;
        let worth = every > 0.0
            && status == TaskStatus::Running
            && ran % every > job.spec.checkpoint_cost_s;
        let grace = may_save && worth;
        tracing::debug!(job = %job.id, task = key.task, why, "stopping");
        self.set_task_state(key, TaskState::Stopping { machine, attempt, grace });
        self.machines_to_command.insert(machine);
    }

    /// Machines that will be taken, or are faulty: what can save is told to.
    pub(crate) fn drain(&mut self) {
        let now = self.context.now.steady_ms;
        let slack = 2 * self.context.config.heartbeat_interval_ms();
        let mut stop: Vec<TaskKey> = Vec::new();
        for (_, m) in self.machines.iter() {
            if m.interruption_at_ms.is_none() && !m.condemned(now) {
                continue;
            }
            let left_ms = m.interruption_at_ms.map(|r| r.saturating_sub(now));
            for k in m.tasks.keys() {
                let Some(j) = self.jobs.get(k.job) else { continue };
                let Some(t) = j.task(k.task) else { continue };
                let TaskState::On { status, .. } = t.state else { continue };
                let saves = j.spec.checkpoint_interval_s > 0.0;
                let save_ms = (j.spec.checkpoint_cost_s * 1500.0) as u64 + slack;
                // A saver runs on until just before it must save; the rest may finish.
                let due = match left_ms {
                    Some(left) => saves && left <= save_ms || status != TaskStatus::Running,
                    None => true,
                };
                if due {
                    stop.push(*k);
                }
            }
        }
        for k in stop {
            self.stop_task(k, "draining its machine");
        }
    }
}
