//! Preemption: stops running tasks so that waiting tasks of higher priority can start, at the least
//! cost in lost work.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use quartzgate_wire::msg::{JobKind, Priority, TaskStatus};

use crate::controller::Controller;
use crate::fleet::machines::Resources;
use crate::ids::{JobIndex, MachineIndex, TaskKey};
use crate::jobs::{Job, JobState, Task, TaskState};

/// Once a pass has found this many preemptors, it searches no further jobs for them.
const MAX_PREEMPTORS: usize = 1_024;

/// Cost of preempting a running task, by its priority, in CPU seconds; added to the cost of the
/// lost work.
const PREEMPTION_BASE_COST: [f64; 4] = [0.0, 1000.0, 2000.0, 3000.0];

/// Weight of a CPU second spent on fetching an image, relative to a CPU second of lost work.
const FETCH_COST_WEIGHT: f64 = 2.0;

/// A task that may be preempted.
struct Victim {
    cost: f64,
    key: TaskKey,
    resources: Resources,
}

/// What a pass has assigned to more urgent tasks.
#[derive(Default)]
struct Assigned {
    by_machine: BTreeMap<MachineIndex, Resources>,
    by_team: BTreeMap<usize, Resources>,
}

/// Tasks to preempt on a machine so that a waiting task fits there.
struct PreemptionPlan {
    cost: f64,
    machine: MachineIndex,
    victims: Vec<TaskKey>,
}

impl Controller {
    /// Frees capacity for waiting tasks of higher priority by stopping tasks of lower priority, at
    /// the least cost.
    pub(crate) fn preempt(&mut self) {
        let mut assigned = Assigned::default();
        for (priority, key) in self.preemptors() {
            self.preempt_for(key, priority, &mut assigned);
        }
    }

    /// Returns the waiting tasks that may preempt others, with their preemption priorities: highest
    /// priority first, then in the order of arrival.
    fn preemptors(&self) -> Vec<(Priority, TaskKey)> {
        let bound = self.jobs.iter().filter(|(_, job)| job.bound_tasks > 0);
        let Some(lowest_bound) = bound.map(|(_, job)| job.priority).min() else {
            return Vec::new();
        };
        let mut jobs: Vec<(Priority, u64, JobIndex)> = Vec::new();
        for (job_index, job) in self.jobs.iter() {
            let is_gang = job.spec.kind == JobKind::Gang;
            let never_preempts = job.waiting == 0 || job.failing_everywhere();
            if job.state != JobState::Live
                || never_preempts
                || job.preemption_priority() <= lowest_bound
                || is_gang
            {
                continue;
            }
            let is_waiting = |task: &&Task| task.state == TaskState::Waiting;
            let first_waiting = job.tasks().map(|(_, task)| task).find(is_waiting);
            jobs.push((
                job.preemption_priority(),
                first_waiting.map_or(0, |task| task.arrived),
                job_index,
            ));
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
            // The remaining tasks may preempt in a later pass.
            if preemptors.len() >= MAX_PREEMPTORS {
                break;
            }
        }
        preemptors
    }

    fn preempt_for(&mut self, key: TaskKey, priority: Priority, assigned: &mut Assigned) {
        let Some(job) = self.jobs.get(key.job) else { return };
        let Some(task) = job.task(key.task) else { return };
        let (need, team) = (job.resources(), job.team);
        // More tasks can wait than the team's limit allows to start.
        let mut with_assigned = need;
        with_assigned.add(&assigned.by_team.get(&team).copied().unwrap_or_default(), 1.0);
        if !self.may_start_within_quota(key.job, job, &with_assigned) {
            return;
        }
        let mut best: Option<PreemptionPlan> = None;
        for probe in &task.probes {
            if !self.may_preempt_on(job, key, task, priority, probe.machine) {
                continue;
            }
            let assigned_here = assigned.by_machine.get(&probe.machine);
            let Some(plan) = self.plan_preemption(job, priority, probe.machine, assigned_here)
            else {
                continue;
            };
            if best.as_ref().is_none_or(|best| plan.cost < best.cost) {
                best = Some(plan);
            }
        }
        let Some(plan) = best else { return };
        assigned.by_machine.entry(plan.machine).or_default().add(&need, 1.0);
        assigned.by_team.entry(team).or_default().add(&need, 1.0);
        for victim in plan.victims {
            // Production tasks don't wait until their victims have saved a checkpoint.
            let may_checkpoint = priority < Priority::Production;
            self.stop_task_with(victim, "preempted by higher priority", may_checkpoint);
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
        let Some(machine) = self.machines.get(machine_index).filter(|machine| machine.usable())
        else {
            return false;
        };
        // Normal priority preempts only the lowest priority: this cheap test saves the costly one.
        let mut attainable = self.free_resources(machine);
        attainable.add(&machine.low_priority_usage(), 1.0);
        let cannot_fit = priority == Priority::Normal && !attainable.can_fit(&job.resources());
        !cannot_fit && self.startable(job, key, task, machine_index)
    }

    /// Plans which tasks to stop on a machine, cheapest first, until a task of the job fits.
    /// Returns `None` if the task would not fit even then.
    fn plan_preemption(
        &self,
        job: &Job,
        priority: Priority,
        machine_index: MachineIndex,
        assigned: Option<&Resources>,
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
        if let Some(assigned) = assigned {
            free.add(assigned, -1.0);
        }
        victims.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let (mut cost, mut chosen) = (0.0, Vec::new());
        for victim in victims {
            if free.can_fit(&need) {
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
        free.can_fit(&need).then_some(plan)
    }

    /// Returns the cost of stopping a task, in CPU seconds; 0 unless the task is running.
    fn preemption_cost(&self, job: &Job, task: &Task) -> f64 {
        let TaskState::On { status: TaskStatus::Running, since_ms, .. } = task.state else {
            return 0.0;
        };
        let running_s = (self.context.now.steady_ms - since_ms) as f64 / 1000.0;
        // The smaller of the progress since the last checkpoint and the time to save a new one; the
        // whole run if the job saves no checkpoints.
        let lost_s = match job.spec.checkpoint_interval_s {
            interval_s if interval_s > 0.0 => {
                (running_s % interval_s).min(job.spec.checkpoint_cost_s)
            }
            _ => running_s,
        };
        PREEMPTION_BASE_COST[job.priority as usize] + job.spec.cpus * lost_s
    }

    /// Stops a task, with time to save a checkpoint if saving costs less than the progress since
    /// the last one.
    pub(crate) fn stop_task(&mut self, key: TaskKey, why: &str) {
        self.stop_task_with(key, why, true)
    }

    /// Stops a task like [`Controller::stop_task`], but without time to save a checkpoint unless
    /// `may_checkpoint` is set. A task of a gang stops with its whole gang, whatever is set.
    fn stop_task_with(&mut self, key: TaskKey, why: &str, may_checkpoint: bool) {
        let Some(job) = self.jobs.get(key.job) else { return };
        if job.spec.kind == JobKind::Gang {
            tracing::debug!(job = %job.id, why, "stopping the gang");
            return self.stop_gang(key.job);
        }
        let Some(task) = job.task(key.task) else { return };
        let TaskState::On { machine, attempt, status, since_ms } = task.state else { return };
        let running_s = (self.context.now.steady_ms - since_ms) as f64 / 1000.0;
        let interval_s = job.spec.checkpoint_interval_s;
        let is_worth_saving = interval_s > 0.0
            && status == TaskStatus::Running
            && running_s % interval_s > job.spec.checkpoint_cost_s;
        let grace = may_checkpoint && is_worth_saving;
        tracing::debug!(job = %job.id, task = key.task, why, "stopping");
        self.set_task_state(key, TaskState::Stopping { machine, attempt, grace });
        self.machines_to_command.insert(machine);
    }
}
