//! All machines that the leader knows, by index and by name.

use std::collections::{BTreeMap, HashMap};

use super::machine::Machine;
use crate::ids::MachineIndex;

/// The leader's machines. An index is never used twice within an epoch, and iteration goes by
/// index, so that decisions repeat from the same events.
#[derive(Default)]
pub struct Machines {
    table: BTreeMap<MachineIndex, Machine>,
    by_name: HashMap<String, MachineIndex>,
    next_index: u32,
}

impl Machines {
    /// The machine with this index, unless it has been removed.
    pub fn get(&self, index: MachineIndex) -> Option<&Machine> {
        self.table.get(&index)
    }

    /// The same, to be changed.
    pub fn get_mut(&mut self, index: MachineIndex) -> Option<&mut Machine> {
        self.table.get_mut(&index)
    }

    /// The index of the machine with this name.
    pub fn find(&self, name: &str) -> Option<MachineIndex> {
        self.by_name.get(name).copied()
    }

    /// All machines in the order of their indexes.
    pub fn iter(&self) -> impl Iterator<Item = (MachineIndex, &Machine)> {
        self.table.iter().map(|(index, machine)| (*index, machine))
    }

    /// How many machines are known.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// The indexes of all machines, in order.
    pub fn indexes(&self) -> Vec<MachineIndex> {
        self.table.keys().copied().collect()
    }

    /// Excludes a time in which no machine was given work from their idle times.
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

    /// Removes a machine; nothing may refer to its index any more.
    pub fn remove(&mut self, index: MachineIndex) {
        if let Some(machine) = self.table.remove(&index) {
            self.by_name.remove(&machine.name);
        }
    }
}
