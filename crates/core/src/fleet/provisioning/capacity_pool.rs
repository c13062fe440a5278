//! Free capacity of the fleet, by groups of equivalent machines.
//!
//! Equivalent machines are counted rather than listed, so that the cost of comparing demand with
//! capacity does not grow with the fleet.

use std::collections::BTreeMap;

use crate::fleet::resources::Resources;

/// Machines of the same type and zone, all spot or all on-demand, with the same free resources.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MachineGroup {
    /// Name of the machine type.
    pub kind: String,
    /// Index of the zone in the platform's settings.
    pub zone: Option<u16>,
    /// Whether the machines are spot instances.
    pub spot: bool,
    /// Free resources of each machine, in thousandths of CPUs, GPUs and gigabytes of memory. The
    /// integers make groups comparable.
    free_thousandths: [i64; 3],
}

impl MachineGroup {
    pub fn new(kind: &str, zone: Option<u16>, spot: bool, free: &Resources) -> Self {
        MachineGroup { kind: kind.to_string(), zone, spot, free_thousandths: thousandths(free) }
    }

    /// Returns the free resources of each machine in the group.
    pub fn free(&self) -> Resources {
        let [cpus, gpus, memory_gb] = self.free_thousandths.map(|amount| amount as f64 / 1000.0);
        Resources { cpus, gpus, memory_gb }
    }

    /// Returns the group to which a machine of this group belongs after `tasks` more tasks have
    /// been placed on it.
    fn with_tasks(&self, need: &Resources, tasks: u32) -> MachineGroup {
        let mut free = self.free();
        free.add(need, -f64::from(tasks));
        MachineGroup { free_thousandths: thousandths(&free), ..self.clone() }
    }
}

fn thousandths(resources: &Resources) -> [i64; 3] {
    [resources.cpus, resources.gpus, resources.memory_gb]
        .map(|amount| (amount * 1000.0).round() as i64)
}

/// Groups of machines, with the number of machines in each.
#[derive(Default)]
pub(super) struct CapacityPool {
    groups: BTreeMap<MachineGroup, u32>,
}

impl CapacityPool {
    /// Adds `machines` machines to a group.
    pub fn add(&mut self, group: MachineGroup, machines: u32) {
        if machines > 0 {
            *self.groups.entry(group).or_default() += machines;
        }
    }

    fn remove(&mut self, group: &MachineGroup, machines: u32) {
        if let Some(count) = self.groups.get_mut(group) {
            *count -= machines;
            if *count == 0 {
                self.groups.remove(group);
            }
        }
    }

    /// Iterates over all groups in ascending order.
    pub fn groups(&self) -> impl Iterator<Item = &MachineGroup> {
        self.groups.keys()
    }

    /// Returns how many tasks fit on all eligible machines.
    pub fn count_fitting(&self, need: &Resources, eligible: impl Fn(&MachineGroup) -> bool) -> u32 {
        self.groups
            .iter()
            .filter(|(group, _)| eligible(group))
            .map(|(group, machines)| group.free().max_tasks(need).saturating_mul(*machines))
            .fold(0, u32::saturating_add)
    }

    /// Places as many of the tasks as fit on eligible machines, and returns how many don't fit.
    pub fn place(
        &mut self,
        need: &Resources,
        mut tasks: u32,
        eligible: impl Fn(&MachineGroup) -> bool,
    ) -> u32 {
        if tasks == 0 {
            return 0;
        }
        let fitting =
            self.groups.iter().filter(|(group, _)| eligible(group) && group.free().can_fit(need));
        let candidates: Vec<(MachineGroup, u32)> =
            fitting.map(|(group, machines)| (group.clone(), *machines)).collect();
        for (group, machines) in candidates {
            let tasks_each = group.free().max_tasks(need).max(1);
            let filled_machines = (tasks / tasks_each).min(machines);
            self.occupy(&group, filled_machines, need, tasks_each);
            tasks -= filled_machines * tasks_each;
            if filled_machines < machines && tasks > 0 {
                self.occupy(&group, 1, need, tasks);
                tasks = 0;
            }
            if tasks == 0 {
                break;
            }
        }
        tasks
    }

    /// Places `tasks_each` tasks on each of `machines` machines of a group.
    pub fn occupy(
        &mut self,
        group: &MachineGroup,
        machines: u32,
        need: &Resources,
        tasks_each: u32,
    ) {
        self.remove(group, machines);
        self.add(group.with_tasks(need, tasks_each), machines);
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/capacity_pool.rs"]
mod tests;
