//! Spare resources of the whole fleet, for a cheap test whether another machine could serve a job.

use std::collections::BTreeMap;

use quartzgate_wire::msg::JobSpec;

use super::machine_class::MachineClass;
use crate::controller::Controller;
use crate::fleet::machines::Resources;
use crate::ids::{JobIndex, MachineIndex};
use crate::jobs::Job;
use crate::placement::gangs::GangHold;

/// Machines with spare resources, grouped by the properties that a job can constrain.
#[derive(Default)]
pub(crate) struct FreeCapacity {
    groups: BTreeMap<MachineClass, GroupCapacity>,
}

impl FreeCapacity {
    /// Adds a group for a class with usable machines, even if none has spare resources.
    fn add_class(&mut self, class: MachineClass) {
        self.groups.entry(class).or_default();
    }

    fn add(&mut self, class: MachineClass, capacity: SpareCapacity) {
        let members = self.groups.entry(class).or_default();
        let max = &mut members.max;
        max.cpus = max.cpus.max(capacity.spare.cpus);
        max.gpus = max.gpus.max(capacity.spare.gpus);
        max.memory_gb = max.memory_gb.max(capacity.spare.memory_gb);
        members.machines.push(capacity);
    }

    /// Returns whether some usable machine could take a task of the job if it were empty.
    pub fn has_machine_for(&self, controller: &Controller, spec: &JobSpec) -> bool {
        self.groups.keys().any(|class| controller.class_suits(*class, spec))
    }

    /// Returns for how many tasks of a job, at most `max_tasks`, there are spare resources in the
    /// zones for which `is_open` holds.
    pub fn spare_tasks(
        &self,
        controller: &Controller,
        job: &Job,
        max_tasks: u32,
        is_open: impl Fn(Option<u16>) -> bool,
    ) -> u32 {
        let need = job.resources();
        let respects_reserve = controller.respects_gpu_reserve(job);
        let suitable = self.groups.iter().filter(|(class, group)| {
            is_open(class.zone)
                && group.max.can_fit(&need)
                && controller.class_suits(**class, &job.spec)
        });
        let members = suitable.flat_map(|(_, group)| &group.machines);
        let mut found = 0;
        for member in members {
            found += member.usable_by(job, respects_reserve).max_tasks(&need);
            if found >= max_tasks {
                return max_tasks;
            }
        }
        found
    }

    /// Takes spare resources for `tasks` tasks of a job, as far as [`Self::spare_tasks`] finds them.
    pub fn take(
        &mut self,
        controller: &Controller,
        job: &Job,
        mut tasks: u32,
        is_open: impl Fn(Option<u16>) -> bool,
    ) {
        let need = job.resources();
        let respects_reserve = controller.respects_gpu_reserve(job);
        for (class, group) in &mut self.groups {
            if !is_open(class.zone) || !controller.class_suits(*class, &job.spec) {
                continue;
            }
            for member in &mut group.machines {
                let usable = member.usable_by(job, respects_reserve);
                let fitting = usable.max_tasks(&need).min(tasks);
                member.take(&need, fitting);
                tasks -= fitting;
            }
        }
    }
}

/// The machines of a group, and the maximum of each spare resource over single machines.
#[derive(Default)]
struct GroupCapacity {
    max: Resources,
    machines: Vec<SpareCapacity>,
}

/// Spare resources of a machine.
struct SpareCapacity {
    machine: MachineIndex,
    spare: Resources,
    /// The part of `spare` that is held for gangs.
    held: Option<GangHold>,
    /// The part of `spare` that is reserved for GPU tasks.
    reserved_for_gpu_tasks: Resources,
}

impl SpareCapacity {
    /// Returns the part that a job may use, by the rules of [`Controller::without_gang_holds`].
    fn usable_by(&self, job: &Job, respects_gpu_reserve: bool) -> Resources {
        match self.held.filter(|hold| hold.priority >= job.priority) {
            Some(hold) => self.spare.minus(&hold.resources),
            None if respects_gpu_reserve => self.spare.minus(&self.reserved_for_gpu_tasks),
            None => self.spare,
        }
    }

    fn take(&mut self, need: &Resources, tasks: u32) {
        self.spare.add(need, -f64::from(tasks));
    }
}

impl Controller {
    /// Computes the spare resources of all usable machines.
    pub(crate) fn free_capacity(&mut self) -> FreeCapacity {
        let now_ms = self.context.now.steady_ms;
        // This scan examines less of each machine than the scan for candidates does, so it costs
        // less.
        self.search_budget.spend(now_ms, self.machines.len() / 4);
        let minimum = Resources { cpus: 1e-3, gpus: 0.0, memory_gb: 0.0 };
        let mut free_capacity = FreeCapacity::default();
        for (index, machine) in self.machines.iter().filter(|(_, machine)| machine.usable()) {
            let Some(class) = self.machine_class(machine) else { continue };
            free_capacity.add_class(class);
            let capacity = self.class_capacity(class);
            let (_, spare) = self.free_and_spare(index, machine, &capacity, &minimum, None);
            if !spare.can_fit(&minimum) {
                continue;
            }
            let held = self.gang_holds.get(&index).copied();
            let mut reserved_for_gpu_tasks = Resources::default();
            if spare.gpus > 0.0 {
                reserved_for_gpu_tasks = self.reserved_for_gpu_tasks(machine, &spare);
            }
            free_capacity
                .add(class, SpareCapacity { machine: index, spare, held, reserved_for_gpu_tasks });
        }
        free_capacity
    }

    /// Returns at most `count` machines with spare resources for a task of the job.
    pub(crate) fn machines_with_spare(
        &mut self,
        free_capacity: &FreeCapacity,
        job_index: JobIndex,
        count: usize,
    ) -> Vec<MachineIndex> {
        let Some(job) = self.jobs.get(job_index) else { return Vec::new() };
        let need = job.resources();
        let respects_reserve = self.respects_gpu_reserve(job);
        let (mut examined, mut found) = (free_capacity.groups.len(), Vec::new());
        for (class, members) in &free_capacity.groups {
            if !members.max.can_fit(&need) || !self.class_suits(*class, &job.spec) {
                continue;
            }
            for member in &members.machines {
                examined += 1;
                if member.usable_by(job, respects_reserve).can_fit(&need) {
                    found.push(member.machine);
                }
                if found.len() >= count {
                    break;
                }
            }
        }
        found.truncate(count);
        self.search_budget.spend(self.context.now.steady_ms, examined / 8);
        found
    }
}
