//! Writes to the state service: gathered, budgeted, and all guarded, so that one
//! that is applied late can do no harm.

use std::collections::{BTreeMap, BTreeSet};

use quartzgate_feature_gates::Feature;
use quartzgate_overload::FairQueue;
use quartzgate_wire::msg::{
    Change, Guard, JobKind, KeyValue, Priority, Transaction, TransactionAnswer,
};
use quartzgate_wire::settings::StateLimits;
use quartzgate_wire::{from_cbor, to_cbor};

use crate::controller::{Controller, InFlight};
use crate::ids::{JobIndex, TaskKey};
use crate::jobs::{Chunk, Job, JobState, TaskState};
use crate::placement::placer::MAX_OPEN_CHUNKS;
use crate::storage::placement_records::RecordLocation;
use crate::storage::rate_limiter::RateLimiter;
use crate::storage::records::{
    decode, encode, job_key, piece_keys, placement_key, read_placement, AssembledPlacement,
    JobRecord, RecordedStatus, EPOCH_KEY, HANDOFF_PREFIX,
};
use crate::Outcome;

/// One record in a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FlushItem {
    Chunk {
        job: JobIndex,
        chunk: u32,
        /// Where the record stands from now on.
        placed: RecordLocation,
    },
    /// The job's end, together with the removal of its shares.
    End { job: JobIndex, chunks: Vec<u32> },
    /// Chunks all of whose tasks are done are folded into the job's record.
    Fold { job: JobIndex, chunks: Vec<u32> },
    /// A key that has no use any more; one with a stamp goes only as it was seen.
    Removal { path: String, revision: u64 },
}

/// What waits for a chunk's record, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// Tasks that may start once it stands.
    Pressing(std::cmp::Reverse<Priority>),
    /// The same, of a team without a guarantee that has no haste.
    Guest,
    /// Ends of tasks, unrecorded for long.
    Late,
    /// Ends of tasks: nothing waits for them, and the job's end will say it all.
    Patient,
}

impl Urgency {
    /// Share of a second's writes that is left to what is more pressing.
    fn reserve(self) -> f64 {
        match self {
            Urgency::Pressing(_) => 0.4,
            Urgency::Guest | Urgency::Late => 0.5,
            Urgency::Patient => 0.75,
        }
    }
}

/// What changes at the state service are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Purpose {
    Accept,
    Abort,
    /// Machines of tasks that may start once it stands.
    Deal,
    /// Ends of tasks.
    Ends,
    /// Chunks that are done, folded into their job's record.
    Fold,
    /// Ends of jobs.
    End,
    /// What has no use any more.
    Tidy,
}

impl Purpose {
    pub const ALL: [(Purpose, &'static str); 7] = [
        (Purpose::Accept, "accept"),
        (Purpose::Abort, "abort"),
        (Purpose::Deal, "deal"),
        (Purpose::Ends, "ends"),
        (Purpose::Fold, "fold"),
        (Purpose::End, "end"),
        (Purpose::Tidy, "tidy"),
    ];
}

pub(crate) struct RecordWriter {
    pub writes: RateLimiter,
    /// Changes made since the process began to lead, by what for.
    spent: BTreeMap<Purpose, u64>,
    dirty: BTreeSet<(JobIndex, u32)>,
    /// Jobs whose own record may have to be written.
    jobs: BTreeSet<JobIndex>,
    /// Keys that have no use any more, and the stamps of those that may be written anew.
    removals: BTreeMap<String, u64>,
    flushing: bool,
    /// When the oldest unwritten change was made.
    since_ms: Option<u64>,
    /// When it was last looked at what there is to write.
    looked_ms: u64,
    /// An end that other jobs wait for is to be written.
    urgent: bool,
    /// Ends were left for lack of changes at the last look.
    ends_left: bool,
    /// Whose turn an odd change is: the ends' or the deals'.
    odd: bool,
    ends: FairQueue,
    deals: FairQueue,
    /// A write was refused as malformed or too large: so many go out by themselves, until
    /// it is known which it was.
    singly: usize,
}

/// Share of the state service's changes that one controller may make: others make few
/// while one leads, and what goes beyond is refused and tried again.
const WRITE_SHARE: f64 = 0.95;
/// Share of a second's writes that what only tidies up leaves to all else.
const UNHURRIED: f64 = 0.6;
/// Chunks that are folded in one write, if there are so many.
const FOLD_LEAST: usize = 4;
/// The state service takes transactions up to this size.
const TXN_BYTES: usize = 60 * 1024;

/// How a write ended: its status, 503 if it was not sent, 0 if that can't be told.
pub(crate) fn write_outcome(outcome: &Outcome) -> (u16, Option<TransactionAnswer>) {
    match outcome {
        Outcome::Answer(r) => (r.status, from_cbor(&r.body).ok()),
        Outcome::NotSent => (503, None),
        Outcome::Lost => (0, None),
    }
}

/// The first of these chunks whose keys are no more than so many.
fn first_within<'a>(
    chunks: impl Iterator<Item = (&'a u32, &'a Chunk)>,
    mut left: usize,
) -> Vec<u32> {
    let fit = chunks.take_while(|(_, c)| {
        let fits = c.pieces as usize <= left;
        left = left.saturating_sub(c.pieces as usize);
        fits
    });
    fit.map(|(n, _)| *n).collect()
}

impl RecordWriter {
    pub fn new(limits: &StateLimits) -> Self {
        RecordWriter {
            writes: RateLimiter::new(Self::write_rate(limits)),
            spent: BTreeMap::new(),
            dirty: BTreeSet::new(),
            jobs: BTreeSet::new(),
            removals: BTreeMap::new(),
            flushing: false,
            since_ms: None,
            looked_ms: 0,
            urgent: false,
            ends_left: false,
            odd: false,
            ends: FairQueue::default(),
            deals: FairQueue::default(),
            singly: 0,
        }
    }

    /// Changes a second that this controller may make.
    pub fn write_rate(limits: &StateLimits) -> f64 {
        limits.write_rps * WRITE_SHARE
    }

    pub fn note(&mut self, purpose: Purpose, changes: usize) {
        *self.spent.entry(purpose).or_default() += changes as u64;
    }

    pub fn spent(&self, purpose: Purpose) -> u64 {
        self.spent.get(&purpose).copied().unwrap_or(0)
    }

    /// 1 every other time.
    fn odd(&mut self) -> usize {
        self.odd = !self.odd;
        usize::from(self.odd)
    }

    /// Records that memory is ahead of.
    pub fn unwritten_records(&self) -> usize {
        self.dirty.len()
    }

    /// A chunk's record is on its way.
    pub fn settled(&mut self, ix: JobIndex, chunk: u32) {
        self.dirty.remove(&(ix, chunk));
    }

    pub fn touch_job(&mut self, ix: JobIndex) {
        self.jobs.insert(ix);
    }

    /// An end that others wait for doesn't wait for more to come together.
    pub fn hurry(&mut self) {
        self.urgent = true;
    }

    /// A key that nobody writes again is to go.
    pub fn remove(&mut self, path: String) {
        self.removals.insert(path, 0);
    }

    /// A note is to go as it was seen: a newer one in its place stays.
    pub fn remove_note(&mut self, path: String, revision: u64) {
        let newest = self.removals.entry(path).or_default();
        *newest = revision.max(*newest);
    }
}

impl Controller {
    pub(crate) fn mark_dirty(&mut self, job: JobIndex, chunk: u32) {
        if let Some(c) = self.jobs.get_mut(job).and_then(|j| j.chunks.get_mut(&chunk)) {
            let now = self.context.now.steady_ms;
            if !std::mem::replace(&mut c.dirty, true) {
                c.dirty_ms = now;
            }
            self.record_writer.dirty.insert((job, chunk));
            self.record_writer.jobs.insert(job);
            self.record_writer.since_ms.get_or_insert(now);
        }
    }

    /// Writes what memory is ahead of the records, as far as the budget goes.
    pub(crate) fn flush(&mut self) {
        let now = self.context.now.steady_ms;
        let nothing = self.record_writer.dirty.is_empty()
            && self.record_writer.jobs.is_empty()
            && self.record_writer.removals.is_empty();
        if self.record_writer.flushing
            || nothing
            || now < self.record_writer.looked_ms + self.context.config.write_batch_ms() / 10
        {
            return;
        }
        self.record_writer.looked_ms = now;
        // A little is gathered first; deals that make room usable don't wait.
        let due = self
            .record_writer
            .since_ms
            .is_none_or(|s| now >= s + self.context.config.write_batch_ms());
        let urgent = std::mem::take(&mut self.record_writer.urgent);
        if !due && !urgent && !self.record_writer.dirty.iter().any(|k| self.blocks_starts(*k)) {
            return;
        }
        // Acceptances and aborts come first: some of the budget is kept for them.
        let most = self.limits().txn_ops;
        let room = (self.record_writer.writes.room(now, 0.4) as usize).min(most);
        if room == 0 {
            let left = self.record_writer.ends_left
                || self.record_writer.dirty.iter().any(|k| self.blocks_starts_with_quota(*k));
            return self.update_write_supply(left);
        }
        let mut txn = Transaction::default();
        txn.guards
            .push(Guard { path: EPOCH_KEY.into(), revision: self.membership.epoch_revision() });
        let mut items = Vec::new();
        let mut bytes = 0;
        // Ends and deals that wait for one another's changes get half of them each.
        let blocks_starts =
            self.record_writer.dirty.iter().any(|k| self.blocks_starts_with_quota(*k));
        let first =
            if blocks_starts { room / 2 + room % 2 * self.record_writer.odd() } else { room };
        let mut ends_left = self.gather_ends(false, &mut txn, &mut items, first, &mut bytes);
        let mut tags = self.record_writer.deals.tag_assigner();
        let mut dirty: Vec<(Urgency, u64, JobIndex, u32)> = self
            .record_writer
            .dirty
            .iter()
            .map(|(ix, c)| {
                (
                    self.urgency(*ix, *c),
                    self.jobs.get(*ix).map_or(0, |j| tags.next_tag(j.team, &j.spec.class)),
                    *ix,
                    *c,
                )
            })
            .collect();
        dirty.sort();
        let mut left_behind = false;
        for (urgency, _, ix, chunk) in dirty {
            let left = self.record_writer.writes.room(now, urgency.reserve()) as usize;
            let enough = self.record_writer.singly > 0 && !items.is_empty();
            if enough || txn.apply.len() >= room.min(left) || bytes > TXN_BYTES {
                // A full transaction is followed by the next at once.
                left_behind = room < most && self.blocks_starts_with_quota((ix, chunk));
                break;
            }
            let Some(job) = self.jobs.get(ix) else {
                self.record_writer.dirty.remove(&(ix, chunk));
                continue;
            };
            let ended = matches!(job.state, JobState::Done | JobState::Finishing);
            // What stands names every machine that may hold a task of it: nothing starts any
            // more, and the end says the rest.
            let cancelled = |c: &Chunk| job.state == JobState::Aborted && c.revision == 0;
            // A chunk that is wholly done is folded, which says it all.
            let folds = |c: &Chunk| c.revision > 0 && c.whole() && self.may_fold(job);
            let dirty = |c: &&Chunk| c.dirty && !ended && !folds(c) && !cancelled(c);
            let Some(c) = job.chunks.get(&chunk).filter(dirty) else {
                self.record_writer.dirty.remove(&(ix, chunk));
                continue;
            };
            // While the job's own record is under way its shares wait: a write that folds
            // a share away or ends the job must not be followed by one that sets it anew.
            if c.busy
                || job.busy
                || job.state == JobState::Recording
                || job.state == JobState::Unreadable
                || now < c.deferred_until_ms
            {
                continue;
            }
            // What shares a record is written with its neighbours, in a write of its own.
            if let Some(page) = job.page.filter(|_| !job.own) {
                // The end says it all.
                if c.whole() {
                    self.record_writer.dirty.remove(&(ix, chunk));
                    continue;
                }
                self.record_writer.deals.record_service(job.team, &job.spec.class);
                match job.chunk_count() {
                    1 => self.rewrite_batch(page),
                    // No page holds more than a first chunk: it gets a record of its own.
                    _ => self.move_out_of_batch(ix),
                }
                continue;
            }
            // Its own record goes ahead of all but the share that is written with it.
            if job.page.is_some() && chunk > 0 {
                continue;
            }
            let id = job.id.clone();
            self.record_writer.deals.record_service(job.team, &job.spec.class);
            let Some(share) = self.placement_write(ix, chunk) else { continue };
            if share.oversize || share.changes() > most {
                tracing::error!(job = %id, chunk, bytes = share.bytes, pieces = share.placed.pieces,
                    "a share is too large for the state service's limits; it is put off");
                self.defer_write(ix, Some(chunk));
                continue;
            }
            let fits = txn.apply.len() + share.changes() <= most;
            if !fits || bytes > 0 && bytes + share.bytes > TXN_BYTES {
                if let Some(c) = self.jobs.get_mut(ix).and_then(|j| j.chunks.get_mut(&chunk)) {
                    c.blocks_starts = true;
                }
                break;
            }
            bytes += share.bytes + 200;
            let placed = share.placed;
            let for_starts = matches!(urgency, Urgency::Pressing(_) | Urgency::Guest);
            let purpose = if for_starts { Purpose::Deal } else { Purpose::Ends };
            self.record_writer.note(purpose, share.changes());
            share.enter(&id, chunk, &mut txn.guards, &mut txn.apply);
            self.chunk_sent(ix, chunk, placed);
            self.record_writer.settled(ix, chunk);
            items.push(FlushItem::Chunk { job: ix, chunk, placed });
        }
        if first < room {
            ends_left = self.gather_ends(false, &mut txn, &mut items, room, &mut bytes);
        }
        self.record_writer.ends_left = ends_left && room < most;
        self.update_write_supply(left_behind || self.record_writer.ends_left);
        // Guests' ends use what is spare, as their deals do.
        let spare = self.record_writer.writes.room(now, Urgency::Guest.reserve()) as usize;
        self.gather_ends(true, &mut txn, &mut items, room.min(spare), &mut bytes);
        let removals: Vec<(String, u64)> =
            self.record_writer.removals.iter().map(|(p, s)| (p.clone(), *s)).collect();
        for (path, revision) in removals {
            let enough = self.record_writer.singly > 0 && !items.is_empty();
            let left = self.record_writer.writes.room(now, UNHURRIED) as usize;
            if enough || txn.apply.len() >= room.min(left) {
                break;
            }
            if revision > 0 {
                txn.guards.push(Guard { path: path.clone(), revision });
            }
            txn.apply.push(Change::Delete { delete: path.clone() });
            self.record_writer.note(Purpose::Tidy, 1);
            self.record_writer.removals.remove(&path);
            items.push(FlushItem::Removal { path, revision });
        }
        if items.is_empty() {
            // What is left is patient, or has to wait for something under way.
            self.record_writer.since_ms = (!self.record_writer.dirty.is_empty()).then_some(now);
            return;
        }
        self.record_writer.since_ms = (!self.record_writer.dirty.is_empty()
            || !self.record_writer.jobs.is_empty())
        .then_some(now);
        self.record_writer.writes.force(now, txn.apply.len() as f64);
        self.record_writer.flushing = true;
        self.record_writer.singly = self.record_writer.singly.saturating_sub(1);
        let pending = InFlight::Flush { items, sent_ms: now, epoch: self.epoch() };
        self.call_store("POST", "/multi".into(), to_cbor(&txn), pending);
    }

    /// A chunk's record is to be written soon: tasks may start once it stands.
    pub(crate) fn mark_blocking_starts(&mut self, job: JobIndex, chunk: u32) {
        if let Some(c) = self.jobs.get_mut(job).and_then(|j| j.chunks.get_mut(&chunk)) {
            c.blocks_starts = true;
        }
        self.mark_dirty(job, chunk);
    }

    /// A chunk with tasks that could start once it is written.
    fn blocks_starts(&self, (job, chunk): (JobIndex, u32)) -> bool {
        self.jobs.get(job).and_then(|j| j.chunks.get(&chunk)).is_some_and(|c| c.blocks_starts)
    }

    /// The same, of a job that is not to use what is spare only.
    fn blocks_starts_with_quota(&self, (job, chunk): (JobIndex, u32)) -> bool {
        self.blocks_starts((job, chunk))
            && self.jobs.get(job).is_some_and(|j| !self.is_best_effort(j))
    }

    /// How soon a chunk's record should be written.
    fn urgency(&self, job: JobIndex, chunk: u32) -> Urgency {
        let Some(j) = self.jobs.get(job) else { return Urgency::Patient };
        let Some(c) = j.chunks.get(&chunk) else { return Urgency::Patient };
        let late =
            self.context.now.steady_ms >= c.dirty_ms + self.context.config.max_write_delay_ms();
        match (c.blocks_starts, self.is_best_effort(j)) {
            (true, false) => Urgency::Pressing(std::cmp::Reverse(j.priority)),
            (true, true) => Urgency::Guest,
            (false, _) if late => Urgency::Late,
            (false, _) => Urgency::Patient,
        }
    }

    /// Ends of jobs whose tasks are all done, and of aborted ones that are gone: of guests or
    /// of all others. Says whether any is left for lack of room.
    fn gather_ends(
        &mut self,
        best_effort: bool,
        txn: &mut Transaction,
        items: &mut Vec<FlushItem>,
        room: usize,
        bytes: &mut usize,
    ) -> bool {
        let now = self.context.now.steady_ms;
        let of = |ix: &JobIndex| {
            self.jobs.get(*ix).is_some_and(|j| self.is_best_effort(j)) == best_effort
        };
        if txn.apply.len() >= room {
            let ended = |j: &Job| j.state == JobState::Live && j.done >= j.spec.tasks;
            let mut waiting = self.record_writer.jobs.iter().filter(|ix| of(ix));
            return waiting.any(|ix| self.jobs.get(*ix).is_some_and(ended));
        }
        let mut candidates: Vec<JobIndex> =
            self.record_writer.jobs.iter().copied().filter(of).collect();
        // What others wait for comes first, ends that follow from others' last; between them
        // the more urgent, and of those each class in turn.
        let mut tags = self.record_writer.ends.tag_assigner();
        candidates.sort_by_cached_key(|ix| {
            let job = self.jobs.get(*ix);
            let part = match job {
                Some(j) if j.state == JobState::Aborted => 2,
                Some(j) if self.dependency_graph.needed(&j.id) => 0,
                _ => 1,
            };
            (
                part,
                std::cmp::Reverse(job.map(|j| j.priority)),
                job.map(|j| tags.next_tag(j.team, &j.spec.class)),
            )
        });
        for ix in candidates {
            if self.record_writer.singly > 0 && !items.is_empty() {
                return false;
            }
            let Some(job) = self.jobs.get(ix) else {
                self.record_writer.jobs.remove(&ix);
                continue;
            };
            if job.busy || job.chunks.values().any(|c| c.busy) || now < job.deferred_until_ms {
                continue;
            }
            let gone = || job.tasks().all(|(_, t)| !t.state.reserved());
            let status = match job.state {
                JobState::Live if job.done >= job.spec.tasks => RecordedStatus::Done,
                JobState::Aborted if gone() => RecordedStatus::Aborted,
                JobState::Live => {
                    self.gather_fold(ix, txn, items, room);
                    continue;
                }
                JobState::Done | JobState::Finishing | JobState::Unreadable | JobState::Waiting => {
                    self.record_writer.jobs.remove(&ix);
                    continue;
                }
                _ => continue,
            };
            if status == RecordedStatus::Aborted && self.record_writer.writes.room(now, 0.5) < 1.0 {
                continue;
            }
            // Some shares may have to go in a write of their own, the end first.
            let space = room.saturating_sub(txn.apply.len());
            // Shares of a job that has ended only take up room: while writes are short they
            // go later, in writes of their own.
            let calm = self.record_writer.writes.room(now, UNHURRIED) >= 2.0;
            if space < 1 + usize::from(calm) && !txn.apply.is_empty() {
                return status == RecordedStatus::Done;
            }
            let stand = job.chunks.iter().filter(|(_, c)| c.revision > 0);
            let left = if calm { space.max(2) - 1 } else { 0 };
            let chunks = first_within(stand, left);
            let record = JobRecord {
                status,
                spec: None,
                at_ms: job.at_ms,
                done_chunks: Vec::new(),
                service: job.spec.shape == JobKind::Service && self.has(Feature::ServiceMark),
                share: None,
            };
            let key = job_key(&job.id);
            txn.guards.push(Guard { path: key.clone(), revision: job.revision });
            txn.apply.push(Change::Set { set: key, value: encode(&record), lease_id: None });
            let before = txn.apply.len();
            self.record_writer.ends.record_service(job.team, &job.spec.class);
            self.remove_placements(ix, &chunks, txn);
            self.record_writer.note(Purpose::End, 1);
            self.record_writer.note(Purpose::Tidy, txn.apply.len() - before);
            *bytes += 300 + 200 * chunks.len();
            self.record_writer.jobs.remove(&ix);
            if let Some(j) = self.jobs.get_mut(ix) {
                j.busy = true;
            }
            if status == RecordedStatus::Done {
                self.set_job_state(ix, JobState::Finishing);
            }
            items.push(FlushItem::End { job: ix, chunks });
        }
        false
    }

    /// What can't be written now is not tried again for a while, so that it stands in the
    /// way of nothing else. Memory goes on; it may be smaller by then.
    fn defer_write(&mut self, ix: JobIndex, chunk: Option<u32>) {
        let until = self.context.now.steady_ms + self.context.config.lease_ms();
        let Some(job) = self.jobs.get_mut(ix) else { return };
        match chunk.and_then(|c| job.chunks.get_mut(&c)) {
            Some(c) => c.deferred_until_ms = until,
            None => job.deferred_until_ms = until,
        }
    }

    /// The state service refused a write for what is in it: nothing of it was executed.
    fn refused(&mut self, items: Vec<FlushItem>) {
        let one = items.len() == 1;
        tracing::error!(
            items = items.len(),
            "the state service refused a write as too large or malformed"
        );
        if !one {
            // Which of them it was shows when each goes by itself.
            self.record_writer.singly = items.len();
        }
        for item in items {
            if one {
                match &item {
                    FlushItem::Chunk { job, chunk, .. } => self.defer_write(*job, Some(*chunk)),
                    FlushItem::End { job, .. } | FlushItem::Fold { job, .. } => {
                        self.defer_write(*job, None)
                    }
                    FlushItem::Removal { .. } => continue,
                }
            }
            self.unwritten(item);
        }
    }

    /// Large jobs: chunks that are wholly done move into the job's own record.
    fn gather_fold(
        &mut self,
        ix: JobIndex,
        txn: &mut Transaction,
        items: &mut Vec<FlushItem>,
        room: usize,
    ) {
        let Some(job) = self.jobs.get(ix) else { return };
        if !self.may_fold(job) || room.saturating_sub(txn.apply.len()) < 2 {
            self.record_writer.jobs.remove(&ix);
            return;
        }
        let foldable = |c: &Chunk| !c.busy && c.revision > 0 && c.whole();
        let whole = job.chunks.iter().filter(|(_, c)| foldable(c));
        let space = room.saturating_sub(txn.apply.len() + 1);
        let chunks = first_within(whole, space);
        // The job's record is written once for them all: a few are gathered first.
        let few = chunks.len() < FOLD_LEAST.min(space);
        if chunks.is_empty() || few && job.chunks.len() < MAX_OPEN_CHUNKS + FOLD_LEAST {
            self.record_writer.jobs.remove(&ix);
            return;
        }
        let record = self.folded_record(job, &chunks);
        let key = job_key(&job.id);
        txn.guards.push(Guard { path: key.clone(), revision: job.revision });
        txn.apply.push(Change::Set { set: key, value: encode(&record), lease_id: None });
        let before = txn.apply.len() - 1;
        self.remove_placements(ix, &chunks, txn);
        self.record_writer.note(Purpose::Fold, txn.apply.len() - before);
        if let Some(j) = self.jobs.get_mut(ix) {
            j.busy = true;
        }
        items.push(FlushItem::Fold { job: ix, chunks });
    }

    pub(crate) fn on_flush(&mut self, items: Vec<FlushItem>, outcome: Outcome) {
        self.record_writer.flushing = false;
        let (status, answer) = write_outcome(&outcome);
        match (status, answer) {
            (200, Some(done)) => {
                self.note_store_answer();
                for item in items {
                    self.written(item, done.store_revision);
                }
            }
            (409, Some(a)) => {
                self.note_store_answer();
                if a.failed.iter().any(|p| p == EPOCH_KEY) {
                    tracing::info!("superseded: a write met a later view");
                    return self.step_down();
                }
                self.met_a_change(items, &a.failed);
            }
            (400, _) => {
                self.note_store_answer();
                self.refused(items);
            }
            (503 | 429, _) => {
                if status == 429 {
                    tracing::debug!("a write went beyond the state service's rate");
                }
                self.on_store_throttled(status);
                items.into_iter().for_each(|i| self.unwritten(i));
            }
            // Perhaps applied, perhaps applied later: read before writing again.
            _ => items.into_iter().for_each(|i| self.reread_record(i)),
        }
    }

    /// Nothing of a write was executed, since these keys are not as they were. A note that has
    /// changed stays: it is gone already, or what took its place will be heard of.
    fn met_a_change(&mut self, items: Vec<FlushItem>, failed: &[String]) {
        let (notes, others): (Vec<_>, Vec<_>) =
            items.into_iter().partition(|i| matches!(i, FlushItem::Removal { .. }));
        for note in notes {
            if !matches!(&note, FlushItem::Removal { path, .. } if failed.contains(path)) {
                self.unwritten(note);
            }
        }
        let records = failed.iter().any(|path| !path.starts_with(HANDOFF_PREFIX));
        if records {
            tracing::info!(?failed, "a write met a changed record; reading it");
        }
        for item in others {
            match records {
                true => self.reread_record(item),
                false => self.unwritten(item),
            }
        }
    }

    fn written(&mut self, item: FlushItem, rev: u64) {
        match item {
            FlushItem::Chunk { job, chunk, placed } => {
                self.chunk_stands(job, chunk, placed, rev);
                let moved = self.jobs.get_mut(job).filter(|_| placed.own);
                if let Some(page) = moved.and_then(|j| j.page.take()) {
                    self.remove_from_batch(job, page);
                }
                self.touch_probed(job);
                self.preempt_due = true;
                self.placement_due = true;
                self.record_writer.touch_job(job);
            }
            FlushItem::End { job, chunks } => {
                let Some(j) = self.jobs.get_mut(job) else { return };
                (j.busy, j.revision) = (false, rev);
                for c in chunks {
                    if let Some(c) = j.chunks.get_mut(&c) {
                        (c.revision, c.pieces) = (0, 0);
                    }
                }
                let more = j.chunks.values().any(|c| c.revision > 0);
                if j.state == JobState::Finishing {
                    self.set_job_state(job, JobState::Done);
                }
                if more {
                    // The end stands; what is left of the shares only takes up room.
                    self.remove_leftover_placements(job);
                } else {
                    self.drop_job(job);
                }
            }
            FlushItem::Fold { job, chunks } => {
                let Some(j) = self.jobs.get_mut(job) else { return };
                (j.busy, j.revision) = (false, rev);
                j.chunks.retain(|c, _| !chunks.contains(c));
                j.done_chunks = j.done_chunks_with(&chunks);
                self.record_writer.touch_job(job);
                self.placement_due = true;
            }
            FlushItem::Removal { .. } => {}
        }
    }

    /// Shares of an ended job that did not fit the write of its end.
    fn remove_leftover_placements(&mut self, job: JobIndex) {
        let Some(j) = self.jobs.get(job) else { return };
        let paths: Vec<String> = j
            .chunks
            .iter()
            .filter(|(_, c)| c.revision > 0)
            .flat_map(|(n, c)| piece_keys(&j.id, *n, c.pieces))
            .collect();
        for p in paths {
            self.record_writer.remove(p);
        }
        self.drop_job(job);
    }

    /// Not executed: memory is still ahead.
    pub(crate) fn unwritten(&mut self, item: FlushItem) {
        match item {
            FlushItem::Chunk { job, chunk, placed } => {
                let Some(j) = self.jobs.get_mut(job) else { return };
                j.busy &= !placed.own;
                if let Some(c) = j.chunks.get_mut(&chunk) {
                    // It may have held what tasks wait for.
                    (c.busy, c.blocks_starts) = (false, true);
                }
                self.mark_dirty(job, chunk);
            }
            FlushItem::End { job, .. } | FlushItem::Fold { job, .. } => {
                if let Some(j) = self.jobs.get_mut(job) {
                    j.busy = false;
                    if j.state == JobState::Finishing {
                        self.set_job_state(job, JobState::Live);
                    }
                }
                self.record_writer.touch_job(job);
            }
            FlushItem::Removal { path, revision } => self.record_writer.remove_note(path, revision),
        }
    }

    /// Reads a record whose stamp is no longer sure.
    pub(crate) fn reread_record(&mut self, item: FlushItem) {
        if let FlushItem::Removal { path, revision } = item {
            return self.record_writer.remove_note(path, revision);
        }
        // Shares that an end or a fold removes are looked at as well.
        if let FlushItem::End { job, chunks } | FlushItem::Fold { job, chunks } = &item {
            for &chunk in chunks {
                let placed = RecordLocation::default();
                self.reread_record(FlushItem::Chunk { job: *job, chunk, placed });
            }
        }
        if let FlushItem::Chunk { job, chunk, placed } = &item {
            if let Some(c) = self.jobs.get_mut(*job).and_then(|j| j.chunks.get_mut(chunk)) {
                c.busy = true;
            }
            if placed.own {
                self.reread_job(*job);
            }
        }
        self.request_record(item);
    }

    /// Asks for the record that an item would write, if its job is still in memory.
    fn request_record(&mut self, item: FlushItem) {
        let path = match &item {
            FlushItem::Chunk { job, chunk, .. } => {
                self.jobs.get(*job).map(|j| placement_key(&j.id, *chunk))
            }
            FlushItem::End { job, .. } | FlushItem::Fold { job, .. } => {
                self.jobs.get(*job).map(|j| job_key(&j.id))
            }
            FlushItem::Removal { .. } => None,
        };
        let Some(path) = path else { return };
        let pending = InFlight::Restamp { item, epoch: self.epoch() };
        self.call_store("GET", format!("/keys/{path}"), Vec::new(), pending);
    }

    /// Reads a job's own record again because it may have changed.
    pub(crate) fn reread_job(&mut self, job: JobIndex) {
        if let Some(j) = self.jobs.get_mut(job) {
            j.busy = true;
            self.reread_record(FlushItem::End { job, chunks: Vec::new() });
        }
    }

    pub(crate) fn on_record_reread(&mut self, item: FlushItem, outcome: Outcome) {
        let pair: Option<KeyValue> = match self.read_outcome(outcome) {
            Ok(pair) => pair,
            Err(()) => return self.retry_record_read(item),
        };
        match item {
            FlushItem::Chunk { job, chunk, .. } => {
                // All pieces are written together, so that the first tells of the others.
                let read = pair.map(|p| read_placement(&p.path, &p.value, p.revision));
                let (revision, pieces) = match read {
                    Some(Some(share)) => (share.revision, share.of),
                    Some(None) => return self.unreadable(job),
                    None => (0, 0),
                };
                if let Some(c) = self.jobs.get_mut(job).and_then(|j| j.chunks.get_mut(&chunk)) {
                    (c.busy, c.revision, c.pieces) = (false, revision, pieces);
                    c.blocks_starts = true;
                }
                self.mark_dirty(job, chunk);
            }
            FlushItem::End { job, .. } | FlushItem::Fold { job, .. } => {
                let paged = self.jobs.get(job).is_some_and(|j| j.page.is_some());
                let Some(pair) = pair else {
                    if !paged {
                        return self.unreadable(job);
                    }
                    // Its page says all that stands of it.
                    if let Some(j) = self.jobs.get_mut(job) {
                        (j.busy, j.revision) = (false, 0);
                    }
                    return self.read_live(job);
                };
                let Some(record) = decode::<JobRecord>(&pair.value) else {
                    return self.unreadable(job);
                };
                if let Some(j) = self.jobs.get_mut(job) {
                    (j.busy, j.revision) = (false, pair.revision);
                    if let Some(c) = j.chunks.get_mut(&0) {
                        c.inline = record.share.is_some();
                    }
                    j.done_chunks = record.done_chunks;
                    // A fold that came to stand unseen has taken its share away.
                    for (a, b) in &j.done_chunks {
                        (*a..=*b).for_each(|c| drop(j.chunks.remove(&c)));
                    }
                }
                match record.status {
                    RecordedStatus::Done => {
                        self.set_job_state(job, JobState::Done);
                        self.remove_leftover_placements(job);
                    }
                    RecordedStatus::Aborted => {
                        self.set_job_state(job, JobState::Aborted);
                        self.record_writer.touch_job(job);
                    }
                    RecordedStatus::Live => self.read_live(job),
                }
            }
            FlushItem::Removal { .. } => {}
        }
    }

    /// What stands of a job says that it lives. If an abort of it may still come to stand, it is
    /// recorded once more: whichever comes first, the other fails.
    fn read_live(&mut self, job: JobIndex) {
        if self.jobs.get(job).is_some_and(|j| j.state == JobState::Doubtful) {
            if !self.record_abort(None, job) {
                if let Some(j) = self.jobs.get_mut(job) {
                    j.busy = true;
                }
                self.retry_record_read(FlushItem::End { job, chunks: Vec::new() });
            }
            return;
        }
        if let Some(j) = self.jobs.get_mut(job) {
            j.unsure = false;
        }
        self.set_job_state(job, JobState::Live);
        self.record_writer.touch_job(job);
        self.touch_probed(job);
    }

    /// Nothing of a job is to start before its record has been read.
    pub(crate) fn read_before_starts(&mut self, job: JobIndex) {
        let Some(j) = self.jobs.get_mut(job).filter(|j| j.state == JobState::Live) else { return };
        j.unsure = true;
        if !j.busy {
            self.reread_job(job);
        }
    }

    /// Those whose records were under way when they were to be read.
    pub(crate) fn read_unsure(&mut self) {
        let open = self.jobs.iter().filter(|(_, j)| j.unsure && !j.busy && j.state.lives());
        for ix in open.map(|(ix, _)| ix).collect::<Vec<_>>() {
            self.reread_job(ix);
        }
    }

    /// The read failed: it is tried again with the next round of the lease.
    fn retry_record_read(&mut self, item: FlushItem) {
        self.record_reads_to_retry.push(item);
    }

    pub(crate) fn retry_reads(&mut self) {
        for item in std::mem::take(&mut self.record_reads_to_retry) {
            self.request_record(item);
        }
    }

    /// The record can't be read: this job stops, loudly, and is never overwritten.
    fn unreadable(&mut self, job: JobIndex) {
        if let Some(j) = self.jobs.get(job) {
            tracing::error!(job = %j.id, "a record of this job can't be read; it is left alone");
        }
        self.set_job_state(job, JobState::Unreadable);
    }

    /// An abort that stands on record reaches the leader's memory.
    pub(crate) fn learn_abort(&mut self, job: &str, revision: u64) {
        if let Some(ix) = self.jobs.find(job) {
            if let Some(j) = self.jobs.get_mut(ix) {
                j.revision = revision;
            }
            if self.jobs.get(ix).is_some_and(|j| j.state != JobState::Aborted) {
                self.set_job_state(ix, JobState::Aborted);
                self.record_writer.touch_job(ix);
            }
        }
    }

    /// Reads the records of live jobs again in turn, each well within the horizon: a
    /// second way to learn of an abort that was recorded past us.
    pub(crate) fn read_again(&mut self) {
        let now = self.context.now.steady_ms;
        let every = self.context.config.lease_bound_ms() / 3;
        let mut due: Vec<(u64, JobIndex)> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.state.lives() && !j.busy && now > j.read_ms + every)
            .map(|(ix, j)| (j.read_ms, ix))
            .collect();
        // With more than can be read in time, each has its turn.
        due.sort_unstable();
        for (_, ix) in due {
            let Some(job) = self.jobs.get(ix).map(|j| j.id.clone()) else { continue };
            if !self.membership.store_reads().take(now, 1.0, 0.5) {
                return;
            }
            if let Some(j) = self.jobs.get_mut(ix) {
                j.read_ms = now;
            }
            let target = format!("/keys/{}", job_key(&job));
            let pending = InFlight::ReadAgain { job, epoch: self.epoch() };
            self.call_store("GET", target, Vec::new(), pending);
        }
    }

    pub(crate) fn on_read_again(&mut self, job: String, outcome: Outcome) {
        if let Ok(Some(pair)) = self.read_outcome(outcome) {
            let status = decode::<JobRecord>(&pair.value).map(|r| r.status);
            if status == Some(RecordedStatus::Aborted) {
                self.learn_abort(&job, pair.revision);
            }
        }
    }

    /// A task of an aborted job that is still on its machine after half its time: the
    /// machine can't be told, and goes back to the cloud with all that is on it.
    pub(crate) fn fence_aborted_tasks(&mut self) {
        let now = self.context.now.steady_ms;
        // A keeper stops what is cancelled among the machines that we don't hear.
        if self.membership.has_proxy_claims() {
            return;
        }
        let patience = self.context.config.lease_bound_ms() / 2;
        let mut stuck = BTreeSet::new();
        for (_, job) in self.jobs.iter() {
            if job.state == JobState::Aborted && now > job.aborted_ms + patience {
                for (_, t) in job.tasks() {
                    stuck.extend(t.state.machine().map(|(m, _)| m));
                    stuck.extend(t.probes.iter().filter(|p| p.unproven).map(|p| p.machine));
                }
            }
        }
        for ix in stuck {
            if let Some(m) = self.machines.get(ix) {
                tracing::info!(machine = %m.name, "holds a cancelled task and can't be told");
            }
            self.begin_release(ix);
        }
    }

    /// Memory forgets a job; its licences go with it.
    pub(crate) fn drop_job(&mut self, ix: JobIndex) {
        let Some(job) = self.jobs.get(ix) else { return };
        let keys: Vec<u32> =
            job.tasks().filter(|(_, t)| t.state.reserved()).map(|(t, _)| t).collect();
        for task in keys {
            self.set_task_state(TaskKey { job: ix, task }, TaskState::Dropped);
        }
        self.unlink(ix);
        let page = self.jobs.remove(ix).and_then(|j| j.page);
        if let Some(page) = page {
            self.remove_from_batch(ix, page);
        }
        self.record_writer.jobs.remove(&ix);
    }

    /// The in-memory index of records by chunk after a restore.
    pub(crate) fn load_chunks(&mut self, ix: JobIndex, shares: BTreeMap<u32, AssembledPlacement>) {
        for (chunk, share) in shares {
            self.load_chunk(ix, chunk, share);
        }
    }
}
