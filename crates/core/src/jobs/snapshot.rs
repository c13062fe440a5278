//! Builds the placement record of a chunk as a snapshot of the tasks in memory.

use std::collections::BTreeMap;

use crate::controller::Controller;
use crate::fleet::machines::{MachineState, Machines};
use crate::ids::{JobIndex, MachineIndex};
use crate::jobs::Chunk;
use crate::storage::records::{ranges, PlacementRecord, ProbeSet, TASKS_PER_CHUNK};

impl Controller {
    /// Builds the placement record of a chunk from memory, and advances the chunk to its next
    /// version.
    pub(crate) fn placement_record(
        &mut self,
        job_index: JobIndex,
        chunk: u32,
    ) -> Option<PlacementRecord> {
        let epoch = self.epoch();
        let job = self.jobs.get_mut(job_index)?;
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

/// Returns the numbers of a chunk's done tasks as ranges.
fn done_tasks(chunk: &Chunk, first_task: u32) -> Vec<(u32, u32)> {
    let numbered = chunk.tasks.iter().enumerate();
    let done = numbered.filter(|(_, task)| task.state.is_done());
    ranges(done.map(|(offset, _)| first_task + offset as u32))
}

/// Adds the probed machines of each reserved task to a record. Consecutive tasks with the same
/// machines share one set.
fn add_probe_sets(
    record: &mut PlacementRecord,
    chunk: &Chunk,
    first_task: u32,
    machines: &Machines,
) {
    let mut positions: BTreeMap<MachineIndex, u32> = BTreeMap::new();
    for (offset, task) in chunk.tasks.iter().enumerate() {
        if !task.state.holds_reservation() {
            continue;
        }
        let number = first_task + offset as u32;
        let mut set = Vec::with_capacity(task.probes.len());
        for probe in &task.probes {
            let known = machines.get(probe.machine);
            // A terminated machine holds no task, so the next leader does not have to query it.
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

/// Returns the zone names of a chunk's tasks; the name is empty for a task without a chosen zone.
fn zone_names(chunk: &Chunk, zones: &[String]) -> Vec<String> {
    let name = |zone: u16| zones[zone as usize].clone();
    chunk.tasks.iter().map(|task| task.zone.map_or(String::new(), name)).collect()
}
