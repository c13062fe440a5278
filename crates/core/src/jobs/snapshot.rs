//! The placement record of a chunk, as a snapshot of memory.

use std::collections::BTreeMap;

use crate::controller::Controller;
use crate::fleet::machines::{MachineState, Machines};
use crate::ids::{JobIndex, MachineIndex};
use crate::jobs::Chunk;
use crate::storage::records::{ranges, PlacementRecord, ProbeSet, TASKS_PER_CHUNK};

impl Controller {
    /// The placement record of a chunk according to memory, under the chunk's next version.
    pub(crate) fn placement_record(&mut self, ix: JobIndex, chunk: u32) -> Option<PlacementRecord> {
        let epoch = self.epoch();
        let job = self.jobs.get_mut(ix)?;
        let has_zone_rule = job.spec.spread || job.spec.together;
        let first_task = chunk * TASKS_PER_CHUNK;
        let chunk = job.chunks.get_mut(&chunk)?;
        chunk.version += 1;
        chunk.blocks_starts = false;
        let done = done_tasks(chunk, first_task);
        let mut record = PlacementRecord { epoch, done, ..Default::default() };
        add_probe_sets(&mut record, chunk, first_task, &self.machines);
        if has_zone_rule {
            record.zones = zone_names(chunk, &self.context.config.platform.params.zones);
        }
        Some(record)
    }
}

/// Ranges of the numbers of a chunk's done tasks.
fn done_tasks(chunk: &Chunk, first_task: u32) -> Vec<(u32, u32)> {
    let numbered = chunk.tasks.iter().enumerate();
    let done = numbered.filter(|(_, task)| task.state.is_done());
    ranges(done.map(|(at, _)| first_task + at as u32))
}

/// Adds the machines of each reserved task to a record; neighbours with the same ones share a set.
fn add_probe_sets(
    record: &mut PlacementRecord,
    chunk: &Chunk,
    first_task: u32,
    machines: &Machines,
) {
    let mut positions: BTreeMap<MachineIndex, u32> = BTreeMap::new();
    for (at, task) in chunk.tasks.iter().enumerate() {
        if !task.state.reserved() {
            continue;
        }
        let number = first_task + at as u32;
        let mut set = Vec::with_capacity(task.probes.len());
        for probe in &task.probes {
            let known = machines.get(probe.machine);
            // A terminated machine holds no task: the next leader need not ask it.
            let Some(machine) = known.filter(|m| m.state != MachineState::Terminated) else {
                continue;
            };
            let position = *positions.entry(probe.machine).or_insert_with(|| {
                record.machines.push(machine.name.clone());
                record.machines.len() as u32 - 1
            });
            set.push(position);
        }
        set.sort_unstable();
        match record.sets.last_mut() {
            Some(last) if last.to + 1 == number && last.machines == set => last.to = number,
            _ => record.sets.push(ProbeSet { from: number, to: number, machines: set }),
        }
    }
}

/// Names of the zones of a chunk's tasks; empty where none was chosen.
fn zone_names(chunk: &Chunk, zones: &[String]) -> Vec<String> {
    let name = |zone: u16| zones[zone as usize].clone();
    chunk.tasks.iter().map(|task| task.zone.map_or(String::new(), name)).collect()
}
