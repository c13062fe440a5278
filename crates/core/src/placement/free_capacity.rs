//! Spare resources of the whole fleet, for a quick test whether another machine could serve a job.

use std::collections::BTreeMap;

use quartzgate_wire::msg::Priority;

use crate::controller::Controller;
use crate::fleet::machines::{Machine, Resources};
use crate::ids::{JobIndex, MachineIndex};

/// Machines with spare resources, grouped by what jobs ask of a machine.
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

/// Machines of one type and zone, all of them spot or none.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct MachineGroup {
    kind: String,
    zone: Option<u16>,
    spot: bool,
}

/// The machines of a group, and the most of each resource that one of them has spare.
#[derive(Default)]
struct GroupCapacity {
    max: Resources,
    machines: Vec<SpareCapacity>,
}

/// Spare resources of a machine.
struct SpareCapacity {
    machine: MachineIndex,
    spare: Resources,
    /// What is left of them beside what scarce GPUs need.
    beside_gpus: Resources,
}

impl Controller {
    /// Spare resources of all machines, for a quick test whether one could serve a job.
    pub(crate) fn free_capacity(&mut self) -> FreeCapacity {
        let now_ms = self.context.now.steady_ms;
        // Less is looked at than for candidates.
        self.search_budget.spend(now_ms, self.machines.len() / 4);
        let least = Resources { cpus: 1e-3, gpus: 0.0, memory_gb: 0.0 };
        let mut free_capacity = FreeCapacity::default();
        for (index, machine) in self.machines.iter().filter(|(_, machine)| machine.usable()) {
            let Some(capacity) = self.capacity_of(&machine.kind) else { continue };
            let (_, spare) = self.free_and_spare(index, machine, &capacity, &least, None);
            if !spare.fits(&least) {
                continue;
            }
            let mut beside_gpus = spare;
            if spare.gpus > 0.0 {
                beside_gpus = spare.minus(&self.beside_gpus(&spare));
            }
            free_capacity.add(machine, SpareCapacity { machine: index, spare, beside_gpus });
        }
        free_capacity
    }

    /// At most `count` machines with spare resources for a task of the job.
    pub(crate) fn machines_with_spare(
        &mut self,
        free_capacity: &FreeCapacity,
        job_index: JobIndex,
        count: usize,
    ) -> Vec<MachineIndex> {
        let Some(job) = self.jobs.get(job_index) else { return Vec::new() };
        let need = job.resources();
        let (mut looked, mut found) = (free_capacity.groups.len(), Vec::new());
        // What scarce GPUs need beside them is not for work without GPUs.
        let leaves_gpus = need.gpus <= 0.0 && job.priority < Priority::Production;
        for (group, members) in &free_capacity.groups {
            let is_allowed = self.allows(&job.spec, &group.kind, group.zone, group.spot);
            if !members.max.fits(&need) || !is_allowed {
                continue;
            }
            for member in &members.machines {
                looked += 1;
                let usable = if leaves_gpus { &member.beside_gpus } else { &member.spare };
                if usable.fits(&need) {
                    found.push(member.machine);
                }
                if found.len() >= count {
                    break;
                }
            }
        }
        found.truncate(count);
        self.search_budget.spend(self.context.now.steady_ms, looked / 8);
        found
    }
}
