//! Spare resources of the whole fleet, for a cheap test whether another machine could serve a job.

use std::collections::BTreeMap;

use quartzgate_wire::msg::Priority;

use crate::controller::Controller;
use crate::fleet::machines::{Machine, Resources};
use crate::ids::{JobIndex, MachineIndex};

/// Machines with spare resources, grouped by the properties that a job can constrain.
#[derive(Default)]
pub(crate) struct FreeCapacity {
    groups: BTreeMap<MachineGroup, GroupCapacity>,
}

impl FreeCapacity {
    fn add(&mut self, machine: &Machine, capacity: SpareCapacity) {
        let group =
            MachineGroup { kind: machine.kind.clone(), zone: machine.zone, spot: machine.spot };
        let members = self.groups.entry(group).or_default();
        let max = &mut members.max;
        max.cpus = max.cpus.max(capacity.spare.cpus);
        max.gpus = max.gpus.max(capacity.spare.gpus);
        max.memory_gb = max.memory_gb.max(capacity.spare.memory_gb);
        members.machines.push(capacity);
    }
}

/// Key of a group: machines of one type and zone that are all spot or all on-demand.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct MachineGroup {
    kind: String,
    zone: Option<u16>,
    spot: bool,
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
    /// The part of `spare` that is not reserved for GPU tasks.
    not_reserved_for_gpu_tasks: Resources,
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
            let Some(capacity) = self.capacity_of(&machine.kind) else { continue };
            let (_, spare) = self.free_and_spare(index, machine, &capacity, &minimum, None);
            if !spare.can_fit(&minimum) {
                continue;
            }
            let mut not_reserved_for_gpu_tasks = spare;
            if spare.gpus > 0.0 {
                not_reserved_for_gpu_tasks = spare.minus(&self.reserved_for_gpu_tasks(&spare));
            }
            free_capacity
                .add(machine, SpareCapacity { machine: index, spare, not_reserved_for_gpu_tasks });
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
        let (mut examined, mut found) = (free_capacity.groups.len(), Vec::new());
        // Resources reserved for GPU tasks are not available to jobs that need no GPUs and are
        // below production priority.
        let respects_gpu_reserve = need.gpus <= 0.0 && job.priority < Priority::Production;
        for (group, members) in &free_capacity.groups {
            let is_allowed = self.allows(&job.spec, &group.kind, group.zone, group.spot);
            if !members.max.can_fit(&need) || !is_allowed {
                continue;
            }
            for member in &members.machines {
                examined += 1;
                let usable = if respects_gpu_reserve {
                    &member.not_reserved_for_gpu_tasks
                } else {
                    &member.spare
                };
                if usable.can_fit(&need) {
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
