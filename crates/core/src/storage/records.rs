//! What stands in the state service, and its encoding.
//!
//! | key | value |
//! | --- | --- |
//! | `members/<node>` | a controller that lives, on its lease |
//! | `view` | the present epoch and its members |
//! | `view/leader` | who leads, on its lease |
//! | `view/keeper/<node>` | a controller that keeps workers for the leader, on its lease |
//! | `view/post/<to>/<from>` | what one controller has to tell another past a cut, on its lease |
//! | `jobs/<ref>` | the spec, perhaps the share, then how it ended |
//! | `pages/<number>` | live jobs that were accepted together; a job's own record goes ahead |
//! | `shares/<ref>/<part>/<chunk>` | tasks dealt to a part, probes, ends |
//! | `inbox/<ref>` | a job or abort recorded past the leader, for it to look at |
//! | `format` | the format that all controllers write from now on, and the features that are on; absent before format 2 |
//! | `format/node/<node>` | the newest format that a controller can read and write, and the features that it knows |
//!
//! Format 1 is that of the first version. Format 2 adds a job's dependencies, packs shares
//! more closely, and spreads a share over several keys, `<chunk>`, `<chunk>.1` and so on,
//! where one value would be too large. Format 3 puts the share of a job of one chunk into
//! the job's own record, where it fits. Format 4 adds pages.

use std::collections::BTreeMap;

use ciborium::value::Value;
use quartzgate_wire::msg::{JobKind, JobSpec};
use serde::{de::DeserializeOwned, Deserialize, Serialize};

pub const EPOCH_KEY: &str = "view";
pub const LEADER_KEY: &str = "view/leader";
/// Claims of controllers that keep workers alive for the leader; under the prefix of
/// the view, so that whoever watches the view sees them.
pub const LEASE_PROXY_PREFIX: &str = "view/keeper/";
/// What a leader and a keeper tell one another past a cut; see `post.rs`.
pub const MAILBOX_PREFIX: &str = "view/post/";
pub const JOB_PREFIX: &str = "jobs/";
pub const PLACEMENT_PREFIX: &str = "shares/";
pub const HANDOFF_PREFIX: &str = "inbox/";
/// Jobs that share a record; see `pages.rs`.
pub const BATCH_PREFIX: &str = "pages/";
pub const MEMBER_PREFIX: &str = "members/";
/// The format that stands, and what each controller can do; see `format.rs`.
pub const FORMAT_KEY: &str = "format";
pub const FORMAT_NODE_PREFIX: &str = "format/node/";
/// The format of a packed share, as it says itself.
const PACKED: u32 = 2;
/// The only part while the view holds the leader's part alone.
pub const SOLE_PARTITION: &str = "0";

/// Tasks of a job that share one record.
pub const TASKS_PER_CHUNK: u32 = 64;

pub fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

pub fn handoff_key(id: &str) -> String {
    format!("{HANDOFF_PREFIX}{id}")
}

pub fn mailbox_key(to: &str, from: &str) -> String {
    format!("{MAILBOX_PREFIX}{to}/{from}")
}

pub fn member_key(node: &str) -> String {
    format!("{MEMBER_PREFIX}{node}")
}

pub fn placement_key(id: &str, chunk: u32) -> String {
    piece_key(id, chunk, 0)
}

/// Key of one piece of a share.
pub fn piece_key(id: &str, chunk: u32, piece: u32) -> String {
    match piece {
        0 => format!("{PLACEMENT_PREFIX}{id}/{SOLE_PARTITION}/{chunk}"),
        n => format!("{PLACEMENT_PREFIX}{id}/{SOLE_PARTITION}/{chunk}.{n}"),
    }
}

/// Keys of all pieces of a share.
pub fn piece_keys(id: &str, chunk: u32, pieces: u32) -> impl Iterator<Item = String> + '_ {
    (0..pieces).map(move |n| piece_key(id, chunk, n))
}

/// Job id and chunk of a share's key.
pub fn parse_placement_key(key: &str) -> Option<(&str, u32)> {
    let mut parts = key.strip_prefix(PLACEMENT_PREFIX)?.split('/');
    let (id, _part, chunk) = (parts.next()?, parts.next()?, parts.next()?);
    let chunk = chunk.split('.').next()?;
    Some((id, chunk.parse().ok()?))
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EpochRecord {
    pub epoch: u64,
    pub leader: String,
    pub members: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub epoch: u64,
    pub node: String,
    /// Times in a row that the node took the lead from an earlier life of its own.
    #[serde(default, skip_serializing_if = "no_retakes")]
    pub retakes: u32,
}

fn no_retakes(n: &u32) -> bool {
    *n == 0
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RecordedStatus {
    Live,
    Done,
    Aborted,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    pub status: RecordedStatus,
    /// Kept until no task can be on a machine any more.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// Time of day of the acceptance.
    pub at_ms: u64,
    /// Chunks all of whose tasks are done and whose shares are gone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done_chunks: Vec<(u32, u32)>,
    /// The job was a service: no other job may name it. Told by the spec while that is kept.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub service: bool,
    /// Since format 3: the share of a job of one chunk, unless it stands under keys of its
    /// own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<PlacementPiece>,
}

impl JobRecord {
    pub fn is_service(&self) -> bool {
        self.service || self.spec.as_ref().is_some_and(|s| s.shape == JobKind::Service)
    }

    /// The record of a job that ends, as small as the limit asks: while tasks of it may
    /// be on machines its spec is kept, without what only new starts would need.
    pub fn end_within(&mut self, most: usize) {
        if checked_size(self) > most {
            if let Some(spec) = &mut self.spec {
                spec.types = None;
                spec.dependencies.clear();
            }
        }
    }
}

/// Number of a page as keys name it: in the order of the numbers.
pub fn batch_key(number: u64) -> String {
    format!("{BATCH_PREFIX}{number:012}")
}

pub fn batch_number(key: &str) -> Option<u64> {
    key.strip_prefix(BATCH_PREFIX)?.parse().ok()
}

/// Live jobs that share a record. What their descriptions have in common stands once.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BatchRecord {
    /// The first job's description.
    like: Vec<(String, Value)>,
    jobs: BTreeMap<String, Value>,
}

/// One job of a page.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct BatchEntry {
    at_ms: u64,
    /// Fields that are other than `like` has them, and null for those that it lacks.
    spec: Vec<(String, Value)>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    share: Option<PlacementPiece>,
}

fn fields(spec: &JobSpec) -> Vec<(String, Value)> {
    let map = encode(spec).into_map().unwrap_or_default();
    map.into_iter().filter_map(|(k, v)| Some((k.into_text().ok()?, v))).collect()
}

/// What of `spec` is other than `like` has it.
fn other_than(like: &[(String, Value)], spec: Vec<(String, Value)>) -> Vec<(String, Value)> {
    let missing = like.iter().filter(|(k, _)| !spec.iter().any(|(s, _)| s == k));
    let missing: Vec<_> = missing.map(|(k, _)| (k.clone(), Value::Null)).collect();
    spec.into_iter().filter(|f| !like.contains(f)).chain(missing).collect()
}

impl BatchRecord {
    /// Bytes that a description takes beside one that it is like.
    pub fn differs(like: &JobSpec, spec: &JobSpec) -> usize {
        checked_size(&other_than(&fields(like), fields(spec)))
    }

    pub fn add(&mut self, spec: &JobSpec, at_ms: u64, share: Option<PlacementPiece>) {
        let all = fields(spec);
        if self.like.is_empty() {
            self.like = all.clone();
        }
        let entry = BatchEntry { at_ms, spec: other_than(&self.like, all), share };
        self.jobs.insert(spec.id.clone(), encode(&entry));
    }

    /// A job of it, as its own record would say it; `None` also if it can't be read.
    pub fn get(&self, id: &str) -> Option<JobRecord> {
        let entry: BatchEntry = decode(self.jobs.get(id)?)?;
        let mut spec: BTreeMap<String, Value> = self.like.iter().cloned().collect();
        for (k, v) in entry.spec {
            match v {
                Value::Null => drop(spec.remove(&k)),
                v => drop(spec.insert(k, v)),
            }
        }
        let spec: JobSpec = decode(&encode(&spec))?;
        if spec.id != id {
            return None;
        }
        Some(JobRecord {
            status: RecordedStatus::Live,
            spec: Some(spec),
            at_ms: entry.at_ms,
            done_chunks: Vec::new(),
            service: false,
            share: entry.share,
        })
    }

    pub fn holds(&self, id: &str) -> bool {
        self.jobs.contains_key(id)
    }

    pub fn ids(&self) -> impl Iterator<Item = &String> {
        self.jobs.keys()
    }
}

/// Tasks `from..=to` may be on the machines named, and on no others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeSet {
    pub from: u32,
    pub to: u32,
    /// Places in [`PlacementRecord::machines`].
    pub machines: Vec<u32>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRecord {
    /// Epoch of the owner that wrote it.
    pub epoch: u64,
    pub machines: Vec<String>,
    pub sets: Vec<ProbeSet>,
    pub done: Vec<(u32, u32)>,
    /// Zone fixed for each task from the chunk's first on, for jobs with a zone rule.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<String>,
}

/// One key's worth of a share since format 2. Tasks are counted from the chunk's first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementPiece {
    pub format: u32,
    pub epoch: u64,
    /// Keys over which the share is spread; they are always written together.
    pub of: u32,
    pub machines: Vec<String>,
    /// First task, last task, then places in `machines`.
    pub sets: Vec<Vec<u32>>,
    pub done: Vec<(u32, u32)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<(u32, u32, String)>,
}

/// A share as it was read, perhaps still lacking pieces.
#[derive(Clone, Debug)]
pub struct AssembledPlacement {
    pub record: PlacementRecord,
    pub revision: u64,
    pub of: u32,
    pub have: u32,
    /// It stands in its job's own record.
    pub inline: bool,
}

impl AssembledPlacement {
    pub fn whole(&self) -> bool {
        self.have == self.of
    }

    /// Takes in another piece; false if they don't belong together.
    pub fn join(&mut self, other: AssembledPlacement) -> bool {
        if (self.revision, self.of) != (other.revision, other.of) || self.whole() {
            return false;
        }
        let base = self.record.machines.len() as u32;
        self.record.machines.extend(other.record.machines);
        self.record.sets.extend(other.record.sets.into_iter().map(|mut set| {
            set.machines.iter_mut().for_each(|m| *m += base);
            set
        }));
        self.record.done.extend(other.record.done);
        let zones = &mut self.record.zones;
        for (at, zone) in other.record.zones.into_iter().enumerate() {
            match zones.get_mut(at) {
                Some(z) if z.is_empty() => *z = zone,
                Some(_) => {}
                None => zones.push(zone),
            }
        }
        self.have += 1;
        true
    }
}

/// A share, or a piece of one, in whatever format it stands.
pub fn read_placement(key: &str, value: &Value, revision: u64) -> Option<AssembledPlacement> {
    let (_, chunk) = parse_placement_key(key)?;
    let named = |k: &Value| k.as_text() == Some("format");
    if !value.as_map()?.iter().any(|(k, _)| named(k)) {
        let inline = false;
        return decode(value).map(|record| AssembledPlacement {
            record,
            revision,
            of: 1,
            have: 1,
            inline,
        });
    }
    open_piece(&decode(value)?, chunk, revision)
}

/// The share that a job's own record holds.
pub fn open_inline(piece: &PlacementPiece, revision: u64) -> Option<AssembledPlacement> {
    let share = open_piece(piece, 0, revision).filter(AssembledPlacement::whole)?;
    Some(AssembledPlacement { inline: true, ..share })
}

/// The whole share in one piece, as a job's own record holds it.
pub fn inline_piece(record: &PlacementRecord) -> PlacementPiece {
    cut_placement(record, 0, 0, TASKS_PER_CHUNK - 1)
}

fn open_piece(piece: &PlacementPiece, chunk: u32, revision: u64) -> Option<AssembledPlacement> {
    if piece.format != PACKED || piece.of == 0 || piece.of > TASKS_PER_CHUNK {
        return None;
    }
    let first = chunk.checked_mul(TASKS_PER_CHUNK)?;
    let within = |a: u32, b: u32| a <= b && b < TASKS_PER_CHUNK;
    let mut sets = Vec::with_capacity(piece.sets.len());
    for set in &piece.sets {
        let (from, to) = (*set.first()?, *set.get(1)?);
        if !within(from, to) {
            return None;
        }
        sets.push(ProbeSet { from: first + from, to: first + to, machines: set[2..].to_vec() });
    }
    let mut zones = Vec::new();
    for (from, to, zone) in &piece.zones {
        if !within(*from, *to) {
            return None;
        }
        zones.resize(zones.len().max(*to as usize + 1), String::new());
        zones[*from as usize..=*to as usize].fill(zone.clone());
    }
    if !piece.done.iter().all(|(a, b)| within(*a, *b)) {
        return None;
    }
    let done = piece.done.iter().map(|(a, b)| (first + a, first + b)).collect();
    let machines = piece.machines.clone();
    let record = PlacementRecord { epoch: piece.epoch, machines, sets, done, zones };
    Some(AssembledPlacement { record, revision, of: piece.of, have: 1, inline: false })
}

/// Packs a share into as many pieces as values of at most `most` bytes take.
pub fn pack_placement(record: &PlacementRecord, chunk: u32, most: usize) -> Vec<PlacementPiece> {
    let mut pieces = Vec::new();
    let mut open = vec![(0, TASKS_PER_CHUNK - 1)];
    while let Some((from, to)) = open.pop() {
        let piece = cut_placement(record, chunk * TASKS_PER_CHUNK, from, to);
        if from == to || checked_size(&piece) <= most {
            pieces.push(piece);
        } else {
            let middle = from + (to - from) / 2;
            open.push((middle + 1, to));
            open.push((from, middle));
        }
    }
    let of = pieces.len() as u32;
    pieces.iter_mut().for_each(|p| p.of = of);
    pieces
}

/// What a share says of some of its tasks.
fn cut_placement(record: &PlacementRecord, first: u32, from: u32, to: u32) -> PlacementPiece {
    let clip = |a: u32, b: u32| {
        let (a, b) = (a.saturating_sub(first).max(from), b.saturating_sub(first).min(to));
        (a <= b).then_some((a, b))
    };
    let mut machines: Vec<String> = Vec::new();
    let mut places: BTreeMap<u32, u32> = BTreeMap::new();
    let mut sets = Vec::new();
    for set in &record.sets {
        let Some((a, b)) = clip(set.from, set.to) else { continue };
        let mut out = vec![a, b];
        for m in &set.machines {
            out.push(*places.entry(*m).or_insert_with(|| {
                machines.push(record.machines.get(*m as usize).cloned().unwrap_or_default());
                machines.len() as u32 - 1
            }));
        }
        sets.push(out);
    }
    let mut zones: Vec<(u32, u32, String)> = Vec::new();
    for (at, zone) in record.zones.iter().enumerate() {
        let at = at as u32;
        if zone.is_empty() || at < from || at > to {
            continue;
        }
        match zones.last_mut() {
            Some((_, last, z)) if *last + 1 == at && z == zone => *last = at,
            _ => zones.push((at, at, zone.clone())),
        }
    }
    let done = record.done.iter().filter_map(|(a, b)| clip(*a, *b)).collect();
    let (format, epoch) = (PACKED, record.epoch);
    PlacementPiece { format, epoch, of: 1, machines, sets, done, zones }
}

pub fn encode<T: Serialize>(record: &T) -> Value {
    Value::serialized(record).expect("records are plain data")
}

pub fn decode<T: DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}

/// Size as the limits count it: in JSON.
pub fn json_size<T: Serialize>(record: &T) -> usize {
    serde_json::to_vec(record).map_or(usize::MAX, |v| v.len())
}

/// The same, as large as a writer that puts a space after every comma and colon would
/// make it: what is held against a limit.
pub fn checked_size<T: Serialize>(record: &T) -> usize {
    serde_json::to_vec(record)
        .map_or(usize::MAX, |v| v.len() + v.iter().filter(|b| matches!(b, b',' | b':')).count())
}

/// Numbers as inclusive ranges.
pub fn ranges(numbers: impl IntoIterator<Item = u32>) -> Vec<(u32, u32)> {
    let mut out: Vec<(u32, u32)> = Vec::new();
    for n in numbers {
        match out.last_mut() {
            Some((_, to)) if *to + 1 == n => *to = n,
            _ => out.push((n, n)),
        }
    }
    out
}
