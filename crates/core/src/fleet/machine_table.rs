//! The table of all machines that the leader knows, by index and by name.

use std::collections::{BTreeMap, HashMap};

use super::machine::Machine;
use crate::ids::MachineIndex;

/// All machines that the leader knows. An index is never reused within an epoch, and iteration is
/// in the order of the indexes, so that the same events lead to the same decisions.
#[derive(Default)]
pub struct Machines {
    table: BTreeMap<MachineIndex, Machine>,
    by_name: HashMap<String, MachineIndex>,
    next_index: u32,
}

impl Machines {
    /// Returns the machine with this index; `None` if it has been removed.
    pub fn get(&self, index: MachineIndex) -> Option<&Machine> {
        self.table.get(&index)
    }

    /// Returns the machine with this index for modification; `None` if it has been removed.
    pub fn get_mut(&mut self, index: MachineIndex) -> Option<&mut Machine> {
        self.table.get_mut(&index)
    }

    /// Returns the index of the machine with this name; `None` if the name is not known.
    pub fn find(&self, name: &str) -> Option<MachineIndex> {
        self.by_name.get(name).copied()
    }

    /// Iterates over all machines in the order of their indexes.
    pub fn iter(&self) -> impl Iterator<Item = (MachineIndex, &Machine)> {
        self.table.iter().map(|(index, machine)| (*index, machine))
    }

    /// Returns the number of known machines, including expired and terminated ones.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns the indexes of all machines in ascending order.
    pub fn indexes(&self) -> Vec<MachineIndex> {
        self.table.keys().copied().collect()
    }

    /// Excludes a period in which no machine was given work from the idle times of all
    /// machines, by moving the start of each idle time forward, to `now_ms` at most.
    pub fn extend_idle_start(&mut self, by_ms: u64, now_ms: u64) {
        for machine in self.table.values_mut() {
            machine.idle_since_ms = (machine.idle_since_ms + by_ms).min(now_ms);
        }
    }

    /// Adds a machine whose name is not known yet.
    pub(super) fn insert(&mut self, machine: Machine) -> MachineIndex {
        let index = MachineIndex(self.next_index);
        self.next_index += 1;
        self.by_name.insert(machine.name.clone(), index);
        self.table.insert(index, machine);
        index
    }

    /// Removes a machine. The caller makes sure that nothing refers to its index any more.
    pub fn remove(&mut self, index: MachineIndex) {
        if let Some(machine) = self.table.remove(&index) {
            self.by_name.remove(&machine.name);
        }
    }
}
