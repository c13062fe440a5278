//! Late binding: a machine with free capacity binds a task from its queue of probes, and the task
//! is removed from the queues of all other probed machines.
//!
//! Invariant: a task starts on a machine only if [`Controller::startable`] proves that it runs on
//! no other machine.

use quartzgate_wire::msg::JobKind;

use crate::controller::Controller;
use crate::fleet::machines::Machine;
use crate::ids::{MachineIndex, TaskKey};
use crate::jobs::{Job, JobState, Task, TaskState};
use crate::placement::queue::{pick, QueueOrder, QueuedProbe, SlackCap};
use crate::storage::records::TASKS_PER_CHUNK;

/// The outcome of one scan of a machine's queue.
struct QueueChoice {
    /// The task to bind, if any may be bound.
    chosen: Option<TaskKey>,
    /// Tasks of the same queue class (priority and quota guarantee) that arrived earlier than the
    /// chosen one and were passed over.
    passed: Vec<TaskKey>,
    /// Other machines that should bind tasks of this queue instead, because they have the image.
    better_machines: Vec<MachineIndex>,
}

impl Controller {
    /// Binds tasks on the machines that are due for dispatch, and on the machines that become due
    /// meanwhile. The number of machines is bounded, so that one event does not take too long.
    pub(crate) fn dispatch_due_machines(&mut self) {
        let max_dispatches = 3 * self.machines_to_dispatch.len().max(8);
        for _ in 0..max_dispatches {
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
        if !self.may_start_tasks() {
            return;
        }
        while let Some(choice) = self.choose_from_queue(machine_index) {
            let better_machines =
                choice.better_machines.into_iter().filter(|other| *other != machine_index);
            self.machines_to_dispatch.extend(better_machines);
            let Some(chosen) = choice.chosen else { return };
            for passed in choice.passed {
                if let Some(task) = self.jobs.task_mut(passed) {
                    task.times_passed_over += 1;
                }
            }
            self.bind(chosen, machine_index);
        }
    }

    /// Chooses the next task for a machine to bind. Returns `None` if the machine takes no work now
    /// or no task in its queue fits.
    fn choose_from_queue(&self, machine_index: MachineIndex) -> Option<QueueChoice> {
        let machine = self.machines.get(machine_index)?;
        if machine.probe_queue.is_empty() || !machine.accepts_starts(self.context.now.steady_ms) {
            return None;
        }
        let free = self.free_resources(machine);
        if free.cpus < 1e-6 {
            return None;
        }
        let held = self.gang_holds.get(&machine_index);
        let fits = |key: &TaskKey| {
            let job = self.jobs.get(key.job);
            job.is_some_and(|job| {
                self.without_gang_holds(machine, free, held, job).can_fit(&job.resources())
            })
        };
        if !machine.probe_queue.iter().any(fits) {
            return None;
        }
        let mut keys: Vec<TaskKey> = Vec::with_capacity(machine.probe_queue.len());
        let mut probes: Vec<QueuedProbe> = Vec::with_capacity(machine.probe_queue.len());
        let mut better_machines: Vec<MachineIndex> = Vec::new();
        for key in &machine.probe_queue {
            let Some(job) = self.jobs.get(key.job) else { continue };
            let Some(task) = job.task(key.task) else { continue };
            // The tasks of a gang start together or not at all: `tick_gangs` starts them.
            let is_gang = job.spec.kind == JobKind::Gang;
            if is_gang || !self.startable(job, *key, task, machine_index) {
                continue;
            }
            if let Some(better) = self.better_machine_with_image(job, task, machine_index) {
                better_machines.push(better);
                continue;
            }
            keys.push(*key);
            probes.push(self.queued_probe(job, task));
        }
        let slack_cap = SlackCap {
            times: self.context.config.operator.slack_cap,
            holds_capacity: self.is_hold_period(),
        };
        let order = self.queue_order(machine);
        let picked = pick(&probes, order, slack_cap, |at| fits(&keys[at]));
        let chosen = picked.as_ref().map(|picked| keys[picked.chosen]);
        let passed = picked.map_or(Vec::new(), |picked| picked.passed);
        let passed = passed.into_iter().map(|at| keys[at]).collect();
        Some(QueueChoice { chosen, passed, better_machines })
    }

    fn queue_order(&self, machine: &Machine) -> QueueOrder {
        let operator = &self.context.config.operator;
        QueueOrder::choose(
            self.ratios.highest(),
            operator.ratio_threshold,
            machine.wait_s,
            operator.wait_threshold_s,
        )
    }

    fn queued_probe(&self, job: &Job, task: &Task) -> QueuedProbe {
        let team = &self.context.config.platform.params.teams[job.team];
        let bound = &self.teams[job.team].bound;
        QueuedProbe {
            priority: job.priority,
            guaranteed: team.cpus > 0.0 && bound.cpus + job.spec.cpus <= team.cpus + 1e-6,
            missed_objectives: job.missed_objectives,
            // The estimate of a failed task is doubtful: each failure, up to 8, adds it once more.
            remaining_s: match job.failing_everywhere() {
                true => f64::INFINITY,
                false => job.remaining_s() * f64::from(1 + task.failures.min(8)),
            },
            ratio: job.ratio,
            times_passed_over: task.times_passed_over,
            arrived: task.arrived,
        }
    }

    /// Returns whether a task may start on a machine. This upholds the invariant that a task never
    /// runs twice at the same time: the stored record names this machine for the task, and no other
    /// machine that ever had a probe of the task can be running it.
    pub(crate) fn startable(
        &self,
        job: &Job,
        key: TaskKey,
        task: &Task,
        machine_index: MachineIndex,
    ) -> bool {
        let Some(chunk) = job.chunks.get(&(key.task / TASKS_PER_CHUNK)) else { return false };
        self.may_start_on_some_machine(job, task)
            && self.may_start_within_quota(key.job, job, &job.resources())
            && task.probes.iter().any(|probe| {
                probe.machine == machine_index && probe.version <= chunk.stored_version
            })
            && self
                .machines
                .get(machine_index)
                .is_some_and(|machine| self.task_allows(job, key, task, machine))
    }

    /// Returns whether a task may start now on a machine that its record names, as far as that does
    /// not depend on the machine or on the team's limit.
    pub(super) fn may_start_on_some_machine(&self, job: &Job, task: &Task) -> bool {
        let now_ms = self.context.now.steady_ms;
        job.state == JobState::Live
            && !job.must_reread_record
            && task.state == TaskState::Waiting
            && task.not_before_ms <= now_ms
            && job.may_start_now(now_ms)
            && task.probes.iter().all(|probe| !probe.unproven)
    }

    /// Returns whether the constraints of a task and its job allow a machine.
    pub(super) fn task_allows(
        &self,
        job: &Job,
        key: TaskKey,
        task: &Task,
        machine: &Machine,
    ) -> bool {
        (task.zone.is_none() || task.zone == machine.zone)
            && self.may_start_in_zone(job, key, machine.zone)
            && self.allows(&job.spec, &machine.kind, machine.zone, machine.spot)
    }

    /// Returns another probed machine of the task that has free capacity and, unlike this one, the
    /// image.
    fn better_machine_with_image(
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
                machine.accepts_starts(self.context.now.steady_ms)
                    && machine.images.contains(&job.image)
                    && self.resources_for(*other, machine, job).can_fit(&need)
            })
        })
    }

    fn bind(&mut self, key: TaskKey, machine_index: MachineIndex) {
        let attempt = self.next_attempt();
        self.bind_with_attempt(key, machine_index, attempt);
    }

    /// Binds a task to a machine under an attempt number, and removes the task from the queues of
    /// all its probed machines.
    pub(crate) fn bind_with_attempt(
        &mut self,
        key: TaskKey,
        machine_index: MachineIndex,
        attempt: u64,
    ) {
        if let Some(job) = self.jobs.get_mut(key.job).filter(|job| job.failing_everywhere()) {
            job.trials += 1;
        }
        let Some(task) = self.jobs.task_mut(key) else { return };
        task.times_passed_over = 0;
        for probe in &task.probes {
            if let Some(machine) = self.machines.get_mut(probe.machine) {
                machine.probe_queue.retain(|queued| *queued != key);
            }
        }
        self.set_task_state(key, TaskState::Starting { machine: machine_index, attempt });
        if let Some(machine) = self.machines.get_mut(machine_index) {
            machine.pending_starts.push((key, attempt));
        }
        self.machines_to_command.insert(machine_index);
    }
}
