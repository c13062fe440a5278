//! Loads placement records into memory.

use std::collections::btree_map::{BTreeMap, Entry};

use crate::controller::Controller;
use crate::ids::{JobIndex, MachineIndex, TaskKey};
use crate::jobs::{Chunk, JobState, Probe, TaskState};
use crate::storage::records::{
    decode_inline, job_key, piece_keys, AssembledPlacement, PlacementPiece, PlacementRecord,
    ProbeSet, TASKS_PER_CHUNK,
};

/// Placements of one job by chunk, some of which may lack pieces.
#[derive(Default)]
pub(super) struct PartialPlacements {
    by_chunk: BTreeMap<u32, AssembledPlacement>,
}

impl PartialPlacements {
    /// Adds a piece to the chunk's placement. Returns false if the piece does not belong to the
    /// pieces read before.
    pub(super) fn add(&mut self, chunk: u32, piece: AssembledPlacement) -> bool {
        match self.by_chunk.entry(chunk) {
            Entry::Vacant(entry) => {
                entry.insert(piece);
                true
            }
            Entry::Occupied(mut entry) => entry.get_mut().add_piece(piece),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_chunk.is_empty()
    }

    /// Splits into the placements with all pieces and the placements that still lack pieces.
    pub(super) fn split_complete(self) -> (BTreeMap<u32, AssembledPlacement>, PartialPlacements) {
        let (complete, by_chunk) =
            self.by_chunk.into_iter().partition(|(_, placement)| placement.is_complete());
        (complete, PartialPlacements { by_chunk })
    }

    /// Returns the chunk numbers.
    pub(super) fn into_chunks(self) -> impl Iterator<Item = u32> {
        self.by_chunk.into_keys()
    }
}

impl Controller {
    /// Loads the placements of several chunks of a job.
    pub(super) fn load_chunks(
        &mut self,
        ix: JobIndex,
        placements: BTreeMap<u32, AssembledPlacement>,
    ) {
        for (chunk, placement) in placements {
            self.load_chunk(ix, chunk, placement);
        }
    }

    /// Loads a placement stored inside its job's own record or inside a batch record.
    pub(super) fn load_inline(&mut self, ix: JobIndex, piece: &PlacementPiece, revision: u64) {
        let Some(placement) = decode_inline(piece, revision) else {
            let key = self.jobs.get(ix).map(|job| job_key(&job.id));
            return self.on_unreadable_placement(ix, &key.unwrap_or_default());
        };
        self.load_chunk(ix, 0, placement);
        // The placement of a batched job is in the batch record, not in the job's own record.
        if let Some(job) = self.jobs.get_mut(ix).filter(|job| job.batch_number.is_some()) {
            job.chunks.values_mut().for_each(|chunk| chunk.inline = false);
        }
    }

    /// Stops a job, and no other, because a placement of it cannot be decoded or lacks a piece.
    pub(super) fn on_unreadable_placement(&mut self, ix: JobIndex, key: &str) {
        tracing::error!(key, "a placement record can't be decoded; its job stops");
        self.set_job_state(ix, JobState::Unreadable);
    }

    /// Loads a chunk. A task may be on any of the machines that the placement names for it, unless
    /// this leader wrote the placement in its own epoch and so knows what it has started.
    fn load_chunk(&mut self, ix: JobIndex, number: u32, placement: AssembledPlacement) {
        let Some(job) = self.jobs.get(ix) else { return };
        if number >= job.chunk_count() || job.chunks.contains_key(&number) {
            return;
        }
        // The chunk has already been folded into the job's record, which counts its tasks.
        if job.in_done_chunk(number * TASKS_PER_CHUNK) {
            let keys: Vec<String> = piece_keys(&job.id, number, placement.piece_count).collect();
            return keys.into_iter().for_each(|key| self.record_writer.schedule_deletion(key));
        }
        let tasks = TaskRange::of_chunk(number, job.chunk_len(number));
        let chunk = self.recorded_chunk(tasks, &placement);
        let record = placement.record;
        let machines: Vec<MachineIndex> =
            record.machines.iter().map(|name| self.find_or_add_machine(name)).collect();
        self.insert_recorded_chunk(ix, number, chunk, &record);
        for (first, last) in &record.done {
            for task in tasks.intersection(*first, *last) {
                let key = TaskKey { job: ix, task };
                self.set_task_state(key, TaskState::Done { version: 0 });
            }
        }
        let written_this_epoch = record.epoch == self.epoch();
        for set in &record.sets {
            for task in tasks.intersection(set.from, set.to) {
                let probes = recorded_probes(set, &machines, written_this_epoch);
                self.load_probes(TaskKey { job: ix, task }, probes, written_this_epoch);
            }
        }
        if let Some(job) = self.jobs.get_mut(ix) {
            job.next_unplaced = 0;
        }
    }

    /// Creates a chunk with the recorded revision and layout, but without its tasks' states.
    fn recorded_chunk(&mut self, tasks: TaskRange, placement: &AssembledPlacement) -> Chunk {
        let mut chunk = self.new_chunk(tasks.len);
        (chunk.version, chunk.stored_version, chunk.inline) = (0, 0, placement.inline);
        (chunk.revision, chunk.pieces) = match placement.inline {
            true => (0, 0),
            false => (placement.revision, placement.piece_count),
        };
        chunk
    }

    /// Adds a chunk to its job, with the zones that the placement has assigned.
    fn insert_recorded_chunk(
        &mut self,
        ix: JobIndex,
        number: u32,
        mut chunk: Chunk,
        record: &PlacementRecord,
    ) {
        let zones = &self.context.config.platform.params.zones;
        let zone_index = |name: &String| zones.iter().position(|zone| zone == name);
        for (index, task) in chunk.tasks.iter_mut().enumerate() {
            let zone = record.zones.get(index).and_then(zone_index);
            task.zone = zone.map(|zone| zone as u16);
        }
        let first_zone = chunk.tasks.iter().find_map(|task| task.zone);
        let Some(job) = self.jobs.get_mut(ix) else { return };
        job.chunks.insert(number, chunk);
        if job.spec.together {
            job.zone = job.zone.or(first_zone);
        }
    }

    /// Loads a task that has not completed. The task is unproven if an earlier leader may have
    /// started it on one of the probed machines.
    fn load_probes(&mut self, key: TaskKey, probes: Vec<Probe>, written_this_epoch: bool) {
        for probe in probes.iter().filter(|probe| probe.unproven) {
            if let Some(machine) = self.machines.get_mut(probe.machine) {
                machine.unproven.push(key);
            }
        }
        let is_waiting = written_this_epoch || probes.is_empty();
        if let Some(task) = self.jobs.task_mut(key) {
            task.probes = probes;
        }
        let aborted = self.jobs.get(key.job).is_some_and(|job| job.state == JobState::Aborted);
        let state = match is_waiting {
            true if aborted => TaskState::Dropped,
            true => TaskState::Waiting,
            false => TaskState::Unproven,
        };
        self.set_task_state(key, state);
    }
}

/// Contiguous range of a chunk's task numbers.
#[derive(Clone, Copy)]
struct TaskRange {
    first: u32,
    len: u32,
}

impl TaskRange {
    fn of_chunk(number: u32, len: u32) -> Self {
        TaskRange { first: number * TASKS_PER_CHUNK, len }
    }

    /// Returns the tasks in `first..=last` that belong to the chunk.
    fn intersection(self, first: u32, last: u32) -> std::ops::RangeInclusive<u32> {
        first.max(self.first)..=last.min(self.first + self.len - 1)
    }
}

/// Returns the probes that a probe set records for each of its tasks. Machine indexes that the
/// record does not define are ignored.
fn recorded_probes(
    set: &ProbeSet,
    machines: &[MachineIndex],
    written_this_epoch: bool,
) -> Vec<Probe> {
    let named = set.machines.iter().filter_map(|index| machines.get(*index as usize));
    named.map(|&machine| Probe { machine, version: 0, unproven: !written_this_epoch }).collect()
}
