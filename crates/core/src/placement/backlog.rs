//! The backlog: tasks that wait in the queues of machines. It bounds how many tasks are placed
//! ahead of free capacity, and so the leader's memory and its writes.
//!
//! Invariant: waiting tasks hold back a job only on machines that the job could use. A task that no
//! machine can take is in no queue, and holds nothing back.

use std::collections::BTreeMap;

use quartzgate_wire::msg::{JobKind, JobSpec, Priority};

use super::machine_class::MachineClass;
use crate::controller::Controller;
use crate::ids::{JobIndex, MachineIndex};
use crate::jobs::{Job, JobState, Task, TaskState};

/// The backlog is full once waiting tasks ask for more than this fraction of the usable machines'
/// CPUs.
const FULL_BACKLOG_FRACTION: f64 = 0.5;
/// Number of priorities.
const PRIORITIES: usize = 4;

/// CPUs that waiting tasks ask for, by priority, and CPUs of all usable machines.
pub(crate) struct PlacementBacklog {
    waiting_cpus: [f64; PRIORITIES],
    usable_cpus: BTreeMap<MachineClass, f64>,
}

impl PlacementBacklog {
    /// Returns whether so many tasks of this priority and above wait in queues that no more need to
    /// be placed yet, unless [`ClassBacklog`] shows that they wait for other machines.
    pub fn is_full(&self, priority: Priority) -> bool {
        let waiting: f64 = self.waiting_cpus[priority as usize..].iter().sum();
        waiting > FULL_BACKLOG_FRACTION * self.usable_cpus.values().sum::<f64>()
    }

    /// Adds CPUs that newly placed tasks ask for.
    pub fn add(&mut self, priority: Priority, cpus: f64) {
        self.waiting_cpus[priority as usize] += cpus;
    }

    /// Returns whether some usable machine could take a task of the job if it were empty.
    pub fn has_machine_for(&self, controller: &Controller, spec: &JobSpec) -> bool {
        self.usable_cpus.keys().any(|class| controller.class_suits(*class, spec))
    }
}

/// CPUs that waiting tasks ask for on the machines of one class.
#[derive(Default)]
struct ClassLoad {
    waiting_cpus: [f64; PRIORITIES],
    usable_cpus: f64,
}

/// The backlog by class of the machines in whose queues the tasks wait.
#[derive(Default)]
pub(super) struct ClassBacklog {
    classes: BTreeMap<MachineClass, ClassLoad>,
}

impl ClassBacklog {
    /// Returns whether the tasks that wait for machines which the job could use fill the backlog of
    /// these machines.
    pub fn is_full(&self, controller: &Controller, job: &Job) -> bool {
        let (mut waiting, mut usable) = (0.0, 0.0);
        for (class, load) in &self.classes {
            if controller.class_suits(*class, &job.spec) {
                waiting += load.waiting_cpus[job.priority as usize..].iter().sum::<f64>();
                usable += load.usable_cpus;
            }
        }
        waiting > FULL_BACKLOG_FRACTION * usable
    }

    /// Adds CPUs that newly placed tasks of a job ask for, in proportion to the classes' sizes.
    pub fn add_placed(&mut self, controller: &Controller, job: &Job, cpus: f64) {
        let suits = |class: &MachineClass| controller.class_suits(*class, &job.spec);
        let suitable = self.classes.iter().filter(|(class, _)| suits(class));
        let usable: f64 = suitable.map(|(_, load)| load.usable_cpus).sum();
        for (_, load) in self.classes.iter_mut().filter(|(class, _)| suits(class)) {
            load.waiting_cpus[job.priority as usize] += cpus * load.usable_cpus / usable;
        }
    }

    fn add(&mut self, class: MachineClass, priority: Priority, cpus: f64) {
        self.classes.entry(class).or_default().waiting_cpus[priority as usize] += cpus;
    }
}

impl Controller {
    /// Computes the CPUs of the tasks that wait in queues, and those of all usable machines.
    pub(crate) fn backlog(&self) -> PlacementBacklog {
        let mut backlog =
            PlacementBacklog { waiting_cpus: [0.0; PRIORITIES], usable_cpus: BTreeMap::new() };
        for (_, job) in self.jobs.iter().filter(|(_, job)| job.waiting > 0) {
            backlog.add(job.priority, waiting_cpus(job));
        }
        for (_, machine) in self.machines.iter().filter(|(_, machine)| machine.usable()) {
            let Some(class) = self.machine_class(machine) else { continue };
            let cpus = self.class_capacity(class).cpus;
            *backlog.usable_cpus.entry(class).or_default() += cpus;
        }
        backlog
    }

    /// Computes the backlog by class of machine.
    pub(super) fn class_backlog(&self) -> ClassBacklog {
        let mut backlog = ClassBacklog::default();
        let usable = self.machines.iter().filter(|(_, machine)| machine.usable());
        let classes: BTreeMap<MachineIndex, MachineClass> = usable
            .filter_map(|(index, machine)| Some((index, self.machine_class(machine)?)))
            .collect();
        for class in classes.values() {
            let load = backlog.classes.entry(*class).or_default();
            load.usable_cpus += self.class_capacity(*class).cpus;
        }
        for (_, job) in self.jobs.iter().filter(|(_, job)| job.waiting > 0) {
            let waiting = job.tasks().filter(|(_, task)| task.state == TaskState::Waiting);
            for (_, task) in waiting.take(job.demanded_tasks(job.waiting) as usize) {
                add_to_queues(&mut backlog, &classes, job, task);
            }
        }
        backlog
    }

    /// Returns the jobs with unplaced tasks, other than gangs, in the order of placement: by priority, then by missed
    /// objectives, then by the time at which they became ready.
    pub(super) fn jobs_to_place(&self) -> Vec<JobIndex> {
        let now_ms = self.context.now.steady_ms;
        let is_open = |job: &Job| {
            job.state == JobState::Live
                && job.spec.kind != JobKind::Gang
                && job.next_unplaced < job.spec.tasks
                && !job.failing_everywhere()
                && now_ms >= job.placement_from_ms
        };
        let mut jobs: Vec<(JobIndex, &Job)> =
            self.jobs.iter().filter(|(_, job)| is_open(job)).collect();
        jobs.sort_by_key(|(index, job)| {
            (std::cmp::Reverse(job.priority), job.missed_objectives, job.ready_ms, *index)
        });
        jobs.into_iter().map(|(index, _)| index).collect()
    }
}

fn waiting_cpus(job: &Job) -> f64 {
    f64::from(job.demanded_tasks(job.waiting)) * job.spec.cpus
}

/// Adds a waiting task to the backlog of the classes of its usable probed machines, in equal parts.
fn add_to_queues(
    backlog: &mut ClassBacklog,
    classes: &BTreeMap<MachineIndex, MachineClass>,
    job: &Job,
    task: &Task,
) {
    let probed = || task.probes.iter().filter_map(|probe| classes.get(&probe.machine));
    let part = job.spec.cpus / probed().count().max(1) as f64;
    probed().for_each(|class| backlog.add(*class, job.priority, part));
}
