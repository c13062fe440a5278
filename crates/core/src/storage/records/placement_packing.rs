//! Packs placement records into values of limited size, and assembles records from such values.

use std::collections::BTreeMap;

use ciborium::value::Value;

use super::encoding::{checked_size, decode};
use super::keys::parse_placement_key;
use super::placement::{PlacementPiece, PlacementRecord, ProbeSet, ZoneRange, TASKS_PER_CHUNK};

/// Value of [`PlacementPiece::format`].
const PACKED_FORMAT: u32 = 2;

/// A placement that was read from the store, possibly with some of its pieces still missing.
#[derive(Clone, Debug)]
pub struct AssembledPlacement {
    /// Contents of the pieces read so far.
    pub record: PlacementRecord,
    /// Revision of the placement's keys, which are always written together.
    pub revision: u64,
    /// Number of pieces over which the placement is split.
    pub piece_count: u32,
    /// Number of pieces read so far.
    pub pieces_read: u32,
    /// The placement is part of its job's own record or of a batch record.
    pub inline: bool,
}

impl AssembledPlacement {
    /// Returns whether all pieces have been read.
    pub fn is_complete(&self) -> bool {
        self.pieces_read == self.piece_count
    }

    /// Adds another piece. Returns false if the piece does not belong to this placement.
    pub fn add_piece(&mut self, other: AssembledPlacement) -> bool {
        let same_write = (self.revision, self.piece_count) == (other.revision, other.piece_count);
        if !same_write || self.is_complete() {
            return false;
        }
        let offset = self.record.machines.len() as u32;
        self.record.machines.extend(other.record.machines);
        self.record.sets.extend(other.record.sets.into_iter().map(|mut set| {
            set.machines.iter_mut().for_each(|machine| *machine += offset);
            set
        }));
        self.record.done.extend(other.record.done);
        merge_zones(&mut self.record.zones, other.record.zones);
        self.pieces_read += 1;
        true
    }
}

/// Sets the zones of tasks that have no zone yet.
fn merge_zones(zones: &mut Vec<String>, others: Vec<String>) {
    for (index, zone) in others.into_iter().enumerate() {
        match zones.get_mut(index) {
            Some(present) if present.is_empty() => *present = zone,
            Some(_) => {}
            None => zones.push(zone),
        }
    }
}

/// Decodes the value of a placement's key in any format: either a whole placement or one of its
/// pieces. Returns `None` if the key or the value is malformed.
pub fn read_placement(key: &str, value: &Value, revision: u64) -> Option<AssembledPlacement> {
    let (_, chunk) = parse_placement_key(key)?;
    let is_piece = value.as_map()?.iter().any(|(name, _)| name.as_text() == Some("format"));
    if is_piece {
        return decode_piece(&decode(value)?, chunk, revision);
    }
    let record = decode(value)?;
    Some(AssembledPlacement { record, revision, piece_count: 1, pieces_read: 1, inline: false })
}

/// Decodes the placement that a job's own record or a batch record contains. Returns `None` if the
/// placement is malformed.
pub fn decode_inline(piece: &PlacementPiece, revision: u64) -> Option<AssembledPlacement> {
    let placement = decode_piece(piece, 0, revision).filter(AssembledPlacement::is_complete)?;
    Some(AssembledPlacement { inline: true, ..placement })
}

/// Returns the whole placement of a job's first chunk as one piece, for the job's own record or a
/// batch record.
pub fn inline_piece(record: &PlacementRecord) -> PlacementPiece {
    extract_piece(record, 0, 0, TASKS_PER_CHUNK - 1)
}

fn decode_piece(piece: &PlacementPiece, chunk: u32, revision: u64) -> Option<AssembledPlacement> {
    if piece.format != PACKED_FORMAT
        || piece.piece_count == 0
        || piece.piece_count > TASKS_PER_CHUNK
    {
        return None;
    }
    let first_task = chunk.checked_mul(TASKS_PER_CHUNK)?;
    let record = PlacementRecord {
        epoch: piece.epoch,
        machines: piece.machines.clone(),
        sets: decode_sets(piece, first_task)?,
        zones: decode_zones(piece)?,
        done: decode_done(piece, first_task)?,
    };
    let piece_count = piece.piece_count;
    Some(AssembledPlacement { record, revision, piece_count, pieces_read: 1, inline: false })
}

fn is_within_chunk(first: u32, last: u32) -> bool {
    first <= last && last < TASKS_PER_CHUNK
}

fn decode_sets(piece: &PlacementPiece, first_task: u32) -> Option<Vec<ProbeSet>> {
    let mut sets = Vec::with_capacity(piece.sets.len());
    for set in &piece.sets {
        let (from, to) = (*set.first()?, *set.get(1)?);
        if !is_within_chunk(from, to) {
            return None;
        }
        let machines = set[2..].to_vec();
        sets.push(ProbeSet { from: first_task + from, to: first_task + to, machines });
    }
    Some(sets)
}

fn decode_zones(piece: &PlacementPiece) -> Option<Vec<String>> {
    let mut zones = Vec::new();
    for ZoneRange { first, last, zone } in &piece.zones {
        if !is_within_chunk(*first, *last) {
            return None;
        }
        zones.resize(zones.len().max(*last as usize + 1), String::new());
        zones[*first as usize..=*last as usize].fill(zone.clone());
    }
    Some(zones)
}

fn decode_done(piece: &PlacementPiece, first_task: u32) -> Option<Vec<(u32, u32)>> {
    if !piece.done.iter().all(|(first, last)| is_within_chunk(*first, *last)) {
        return None;
    }
    Some(piece.done.iter().map(|(first, last)| (first_task + first, first_task + last)).collect())
}

/// Packs a chunk's placement into values of at most `max_bytes` each. The range of tasks of a piece
/// is halved for as long as the piece is too large. A piece of a single task may still exceed the
/// limit, so that callers must check for that.
pub fn pack_placement(
    record: &PlacementRecord,
    chunk: u32,
    max_bytes: usize,
) -> Vec<PlacementPiece> {
    let mut pieces = Vec::new();
    let mut task_ranges = vec![(0, TASKS_PER_CHUNK - 1)];
    while let Some((first, last)) = task_ranges.pop() {
        let piece = extract_piece(record, chunk * TASKS_PER_CHUNK, first, last);
        if first == last || checked_size(&piece) <= max_bytes {
            pieces.push(piece);
        } else {
            let middle = first + (last - first) / 2;
            task_ranges.push((middle + 1, last));
            task_ranges.push((first, middle));
        }
    }
    let piece_count = pieces.len() as u32;
    pieces.iter_mut().for_each(|piece| piece.piece_count = piece_count);
    pieces
}

/// Returns the part of a placement that concerns tasks `first..=last` of the chunk whose first task
/// is `first_task`.
fn extract_piece(
    record: &PlacementRecord,
    first_task: u32,
    first: u32,
    last: u32,
) -> PlacementPiece {
    let clip = |from: u32, to: u32| {
        let from = from.saturating_sub(first_task).max(first);
        let to = to.saturating_sub(first_task).min(last);
        (from <= to).then_some((from, to))
    };
    let mut machines = MachineTable::default();
    let mut sets = Vec::new();
    for set in &record.sets {
        let Some((from, to)) = clip(set.from, set.to) else { continue };
        let mut packed = vec![from, to];
        packed.extend(set.machines.iter().map(|index| machines.index_of(record, *index)));
        sets.push(packed);
    }
    PlacementPiece {
        format: PACKED_FORMAT,
        epoch: record.epoch,
        piece_count: 1,
        machines: machines.names,
        sets,
        done: record.done.iter().filter_map(|(from, to)| clip(*from, *to)).collect(),
        zones: extract_zones(record, first, last),
    }
}

/// Machines that a piece names, in the order in which its sets first refer to them.
#[derive(Default)]
struct MachineTable {
    names: Vec<String>,
    /// Indexes into `names`, by index into the machines of the whole record.
    indexes: BTreeMap<u32, u32>,
}

impl MachineTable {
    /// Returns the index in the piece of the machine that has this index in the whole record.
    fn index_of(&mut self, record: &PlacementRecord, index: u32) -> u32 {
        *self.indexes.entry(index).or_insert_with(|| {
            self.names.push(record.machines.get(index as usize).cloned().unwrap_or_default());
            self.names.len() as u32 - 1
        })
    }
}

fn extract_zones(record: &PlacementRecord, first: u32, last: u32) -> Vec<ZoneRange> {
    let mut ranges: Vec<ZoneRange> = Vec::new();
    for (task, zone) in (0..).zip(&record.zones) {
        if zone.is_empty() || task < first || task > last {
            continue;
        }
        match ranges.last_mut() {
            Some(range) if range.last + 1 == task && range.zone == *zone => range.last = task,
            _ => ranges.push(ZoneRange { first: task, last: task, zone: zone.clone() }),
        }
    }
    ranges
}
