//! Jobs that share a record: while changes are scarce, what is accepted within a moment is
//! recorded together, with its deals, in one value, a page.
//!
//! - A page is written by the leader alone, under its view, and holds live jobs only. **A
//!   job's own record goes ahead of its page**: a job leaves its page by getting one (its
//!   end, its cancellation, by whomever, or when it outgrows the page), and what the page
//!   still says of it then counts for nothing. So no write of one job stands in the way of
//!   its neighbours', and a follower needs no page to cancel a job.
//! - Pages are numbered one after another, none is skipped, none added to, and the last is
//!   never deleted. An acceptance past the leader is guarded by there being no page after
//!   the last that was looked through: no job is accepted twice.
//! - The leader knows all pages: that it still leads and that there is no record of a job is
//!   one comparison. Whoever else finds no record looks through the pages (`index.rs`), then
//!   for the record once more. All who ask meanwhile share the next look.

mod index;

use std::collections::{BTreeMap, BTreeSet};

use quartzgate_feature_gates::Feature;
use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{
    Change, ChangeLog, Guard, JobKind, JobSpec, KeyValue, KeyValueList, Priority, Transaction,
    TransactionAnswer,
};
use quartzgate_wire::{from_cbor, to_cbor};

use crate::controller::{Controller, InFlight};
use crate::ids::JobIndex;
use crate::jobs::JobState;
use crate::storage::placement_records::RecordLocation;
use crate::storage::record_writer::{write_outcome, Purpose};
use crate::storage::records::{
    batch_key, checked_size, decode, encode, inline_piece, job_key, BatchRecord, JobRecord,
    BATCH_PREFIX, EPOCH_KEY, TASKS_PER_CHUNK,
};
use crate::{Outcome, RequestId};

use index::{BatchIndex, IndexedJob};

/// How a page stands to its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BatchState {
    /// The record as memory knows it stands.
    Stands,
    /// It is being written; for the first time while it has no stamp.
    Writing,
    /// What stands is not known, and is being read.
    Reading,
}

#[derive(Debug)]
struct JobBatch {
    state: BatchState,
    revision: u64,
    /// Jobs that have no record of their own yet.
    members: BTreeSet<JobIndex>,
    /// Who waits for the acceptance of which.
    asked: Vec<(RequestId, JobIndex)>,
    /// A write that makes it got no answer: it may still come.
    doubt: bool,
    /// Something in it can't be read: it is never written nor taken away.
    sealed: bool,
}

/// A question about a job's record that goes through the pages as well.
#[derive(Debug)]
pub(crate) struct BatchLookup {
    job: String,
    found: Option<Box<JobRecord>>,
    /// The last page that was there.
    last: u64,
    /// What follows is guarded by there being no record: none is read.
    guarded: bool,
    then: Box<InFlight>,
}

/// One look through the pages, for all who ask.
struct Look {
    wanted: Vec<BatchLookup>,
    /// What is read so far, if all pages are read.
    whole: Option<BatchIndex>,
    since: Option<String>,
}

#[derive(Default)]
pub(crate) struct JobBatches {
    map: BTreeMap<u64, JobBatch>,
    last: u64,
    /// Submissions that wait for the next page, and since when.
    intake: Vec<(RequestId, JobIndex, u64)>,
    /// A page was opened then: the next acceptances join as well.
    opened_ms: Option<u64>,
    look: Option<Look>,
    /// Who asked after the present look began.
    queue: Vec<BatchLookup>,
    /// What is known of the pages of whoever leads.
    index: BatchIndex,
    /// When the last look began: all who ask meanwhile share the next.
    looked_ms: u64,
    /// The last page of the look that answered last.
    pub looked_last: u64,
    /// Jobs that can't be read in their pages.
    unreadable: BTreeSet<String>,
}

/// Pages read at a time.
const READ_AT_ONCE: u32 = 60;
/// Guests' jobs in pages at a time: their ends take a change each, for so many seconds.
const ENDS_S: f64 = 120.0;
/// Jobs of which so many fit a page share one: each new deal of a larger job would be a new
/// write of all its neighbours.
const SMALL: usize = 8;
/// What a task of a page may come to take once it is dealt: two names and their places.
const TASK_BYTES: usize = 44;
const SHARE_BYTES: usize = 190;

impl JobBatch {
    fn new(state: BatchState, revision: u64) -> JobBatch {
        let (members, asked) = (BTreeSet::new(), Vec::new());
        JobBatch { state, revision, members, asked, doubt: false, sealed: false }
    }
}

impl JobBatches {
    pub fn count(&self) -> usize {
        self.map.len()
    }

    pub fn members(&self) -> usize {
        self.map.values().map(|p| p.members.len()).sum()
    }

    /// A page that stands on record, as a new leader reads it.
    pub fn restore(&mut self, number: u64, revision: u64) {
        self.map.insert(number, JobBatch::new(BatchState::Stands, revision));
        self.last = self.last.max(number);
    }

    pub fn join(&mut self, number: u64, job: JobIndex) {
        if let Some(page) = self.map.get_mut(&number) {
            page.members.insert(job);
        }
    }

    /// Something in a page can't be read: a job, or all of it.
    pub fn seal(&mut self, number: u64, job: Option<String>) {
        if let Some(page) = self.map.get_mut(&number) {
            page.sealed = true;
        }
        self.unreadable.extend(job);
    }

    pub fn unreadable(&self, id: &str) -> bool {
        self.unreadable.contains(id)
    }

    /// The newest page is not known to stand yet.
    fn making(&self) -> bool {
        self.map.get(&self.last).is_some_and(|p| p.revision == 0)
    }

    /// Every job that stands in a page is in memory.
    fn all_known(&self) -> bool {
        self.unreadable.is_empty()
            && self.map.values().all(|p| !p.sealed && (p.revision > 0 || !p.doubt))
    }

    fn busy(&self, number: u64) -> bool {
        self.map.get(&number).is_none_or(|p| p.state != BatchState::Stands)
    }

    /// The one function that changes a page's state.
    fn set_batch_state(&mut self, number: u64, state: BatchState) {
        if let Some(page) = self.map.get_mut(&number) {
            page.state = state;
        }
    }
}

impl Controller {
    /// Whether a submission is to share a record.
    pub(crate) fn belongs_in_batch(&mut self, spec: &JobSpec) -> bool {
        // What is urgent does not wait for more to come together.
        if !self.has(Feature::BatchRecords)
            || spec.priority >= Priority::High
            || spec.shape != JobKind::Array
            || !spec.dependencies.is_empty()
        {
            return false;
        }
        let now = self.context.now.steady_ms;
        // A page holds the shares of first chunks only.
        let small =
            spec.tasks <= TASKS_PER_CHUNK && self.full_size(spec) * SMALL <= self.value_most();
        let rate = self.record_writer.writes.rate();
        let below = self.context.config.operator.share_pages_below;
        let crowded = self.admission.short()
            || !self.job_batches.intake.is_empty()
            || self
                .job_batches
                .opened_ms
                .is_some_and(|o| now < o + 2 * self.context.config.write_batch_ms())
            || self.record_writer.writes.room(now, 0.0) < below * rate
            || below >= 1.0;
        small && crowded
    }

    /// What a job may come to take of a page.
    fn full_size(&self, spec: &JobSpec) -> usize {
        checked_size(spec) + SHARE_BYTES + TASK_BYTES * spec.tasks as usize
    }

    /// Takes a submission for the next page; false if there are too many already.
    pub(crate) fn add_to_intake(&mut self, id: RequestId, spec: JobSpec, team: usize) -> bool {
        // Guests leave as much again to all others.
        let part = if self.best_effort(team, spec.priority) { 1.0 } else { 2.0 };
        let most = self.record_writer.writes.rate() * ENDS_S * part;
        if self.job_batches.members() + self.job_batches.intake.len() >= most as usize {
            return false;
        }
        let at_ms = self.context.now.wall_ms;
        let job = self.new_job(spec, team, JobState::Recording, 0, at_ms);
        let ix = self.jobs.insert(job);
        self.job_batches.intake.push((id, ix, self.context.now.steady_ms));
        true
    }

    /// Records what has been taken in, once a little has come together. One page is made at a
    /// time: whether its number is taken has to be known before the next has one.
    pub(crate) fn flush_batch_intake(&mut self) {
        let Some((_, _, since_ms)) = self.job_batches.intake.first() else { return };
        let now = self.context.now.steady_ms;
        let many = self.job_batches.intake.len() >= self.batch_guards();
        if !many && now < since_ms + self.context.config.write_batch_ms() / 2 {
            return;
        }
        if self.job_batches.making() || self.record_writer.writes.room(now, 0.0) < 1.0 {
            // Whoever can't be recorded soon is told at once.
            let late = now.saturating_sub(2 * self.context.config.write_batch_ms());
            let n =
                self.job_batches.intake.iter().take_while(|(_, _, since)| *since < late).count();
            for (id, ix, _) in self.job_batches.intake.drain(..n).collect::<Vec<_>>() {
                self.drop_job(ix);
                self.reject_overloaded(id);
            }
            return;
        }
        let most = self.batch_guards();
        let number = self.job_batches.last + 1;
        let (mut size, mut asked) = (0, Vec::new());
        let intake = std::mem::take(&mut self.job_batches.intake);
        let mut left = intake.into_iter().peekable();
        while let Some((_, ix, _)) = left.peek() {
            let Some(job) = self.jobs.get(*ix) else {
                left.next();
                continue;
            };
            let bytes = self.full_size(&job.spec) - self.spared(&job.spec, asked.first());
            if asked.len() >= most || size + bytes > self.value_most() && !asked.is_empty() {
                break;
            }
            size += bytes;
            asked.extend(left.next().map(|(id, ix, _)| (id, ix)));
        }
        self.job_batches.intake = left.collect();
        self.job_batches.opened_ms = Some(now);
        if asked.is_empty() {
            return;
        }
        let members: BTreeSet<JobIndex> = asked.iter().map(|(_, ix)| *ix).collect();
        let backlog = self.backlog();
        for ix in &members {
            let Some(job) = self.jobs.get_mut(*ix) else { continue };
            job.page = Some(number);
            if !backlog.full(job.priority) {
                self.place_job(*ix);
            }
        }
        self.job_batches.last = number;
        let page = JobBatch { members, asked, ..JobBatch::new(BatchState::Writing, 0) };
        self.job_batches.map.insert(number, page);
        self.write_batch(number);
    }

    /// Jobs that a page may hold: each is a condition of the write that makes it.
    fn batch_guards(&self) -> usize {
        (4 * self.limits().txn_ops).saturating_sub(4).max(1)
    }

    /// What a job's description saves in a page by its likeness to the first.
    fn spared(&self, spec: &JobSpec, first: Option<&(RequestId, JobIndex)>) -> usize {
        let like = first.and_then(|(_, ix)| self.jobs.get(*ix));
        like.map_or(0, |j| checked_size(spec).saturating_sub(BatchRecord::differs(&j.spec, spec)))
    }

    /// A page as memory has it now, and its jobs. If they don't fit any more, the largest is
    /// to get a record of its own, and the page waits until it has one: a job that stands
    /// nowhere else is never left out. Of a new page it is not accepted yet, and goes.
    fn batch_record(&mut self, number: u64) -> Option<(BatchRecord, Vec<JobIndex>)> {
        let page = self.job_batches.map.get(&number)?;
        let new = page.revision == 0;
        let mut members: Vec<JobIndex> = page.members.iter().copied().collect();
        if members.iter().any(|ix| self.jobs.get(*ix).is_some_and(|j| j.own)) {
            return None;
        }
        let most = self.value_most();
        loop {
            let mut page = BatchRecord::default();
            for ix in &members {
                let share = self.placement_record(*ix, 0);
                let Some(job) = self.jobs.get(*ix) else { continue };
                page.add(&job.spec, job.at_ms, share.map(|s| inline_piece(&s)));
            }
            if checked_size(&page) <= most || members.is_empty() {
                return Some((page, members));
            }
            // The largest goes; it has a share, or it would not be here.
            let size = |ix: &JobIndex| self.jobs.get(*ix).map_or(0, |j| j.spec.tasks);
            let at = (0..members.len()).max_by_key(|at| size(&members[*at]))?;
            let out = members.remove(at);
            if new {
                self.not_accepted(number, out);
                continue;
            }
            if let Some(j) = self.jobs.get_mut(out) {
                j.own = true;
            }
            members.push(out);
            members.iter().for_each(|ix| self.mark_blocking_starts(*ix, 0));
            return None;
        }
    }

    /// A job is to have a record of its own, with its first chunk, before anything else of it
    /// is written.
    pub(crate) fn move_out_of_batch(&mut self, ix: JobIndex) {
        if let Some(j) = self.jobs.get_mut(ix) {
            j.own = true;
        }
        self.mark_blocking_starts(ix, 0);
    }

    /// A job leaves a page that was not written yet.
    fn not_accepted(&mut self, number: u64, ix: JobIndex) {
        self.drop_job(ix);
        let Some(page) = self.job_batches.map.get_mut(&number) else { return };
        let asked = std::mem::take(&mut page.asked);
        let (gone, still) = asked.into_iter().partition(|(_, a)| *a == ix);
        page.asked = still;
        let gone: Vec<(RequestId, JobIndex)> = gone;
        gone.into_iter().for_each(|(id, _)| self.answer_busy(id));
    }

    /// Writes a page, guarded by our view and by what stood of it; if it is new, by there
    /// being no record of any of its jobs.
    fn write_batch(&mut self, number: u64) {
        let Some((record, members)) = self.batch_record(number) else { return };
        let empty = members.is_empty();
        if empty && self.job_batches.map.get(&number).is_some_and(|p| p.revision == 0 && !p.doubt) {
            return self.undo_batch(number);
        }
        let Some(page) = self.job_batches.map.get(&number) else { return };
        let new = page.revision == 0;
        let path = batch_key(number);
        let mut guards = vec![
            Guard { path: EPOCH_KEY.into(), revision: self.membership.epoch_revision },
            Guard { path: path.clone(), revision: page.revision },
        ];
        if new {
            let ids = members.iter().filter_map(|ix| self.jobs.get(*ix));
            guards.extend(ids.map(|j| Guard { path: job_key(&j.id), revision: 0 }));
        }
        let apply = vec![Change::Set { set: path, value: encode(&record), lease_id: None }];
        for ix in &members {
            self.chunk_sent(*ix, 0, RecordLocation::default());
            self.record_writer.settled(*ix, 0);
        }
        self.record_writer.writes.force(self.context.now.steady_ms, 1.0);
        self.record_writer.note(if new { Purpose::Accept } else { Purpose::Deal }, 1);
        self.job_batches.set_batch_state(number, BatchState::Writing);
        let body = to_cbor(&Transaction { guards, apply });
        let pending = InFlight::PageWrite { number, epoch: self.epoch() };
        self.call_store("POST", "/multi".into(), body, pending);
    }

    /// Writes the page of a job whose share is to be recorded, if that can be done now.
    pub(crate) fn rewrite_batch(&mut self, number: u64) {
        let sealed = self.job_batches.map.get(&number).is_some_and(|p| p.sealed);
        if sealed {
            // What can't be read would be lost: its readable jobs get records of their own.
            for ix in self.job_batches.map[&number].members.clone() {
                if let Some(j) = self.jobs.get_mut(ix) {
                    j.own = true;
                }
            }
        } else if !self.job_batches.busy(number) {
            self.write_batch(number);
        }
    }

    pub(crate) fn on_batch_written(&mut self, number: u64, outcome: Outcome) {
        let Some(page) = self.job_batches.map.get(&number) else { return };
        let (new, doubt) = (page.revision == 0, page.doubt);
        let (status, answer) = write_outcome(&outcome);
        match (status, answer) {
            (200, Some(done)) => {
                self.note_store_answer();
                self.on_batch_recorded(number, done.store_revision);
            }
            (409, Some(a)) => {
                self.note_store_answer();
                if a.failed.iter().any(|p| p == EPOCH_KEY) {
                    return self.step_down();
                }
                if a.failed.contains(&batch_key(number)) {
                    return self.read_batch(number);
                }
                self.known_elsewhere(number, &a.failed);
            }
            (400 | 429 | 503, _) if new && doubt => {
                self.on_store_throttled(status);
                self.job_batches.set_batch_state(number, BatchState::Reading);
                self.batch_reads_to_retry.push(number);
            }
            (400, _) if new => {
                tracing::error!(number, "the state service refused a page as malformed");
                self.undo_batch(number);
            }
            (429 | 503, _) if new => {
                self.on_store_throttled(status);
                self.take_back(number);
            }
            (400 | 429 | 503, _) => {
                if status == 400 {
                    tracing::error!(number, "the state service refused a page as malformed");
                }
                self.on_store_throttled(status);
                self.job_batches.set_batch_state(number, BatchState::Stands);
                self.on_batch_not_written(number, status == 400);
            }
            _ => self.read_batch(number),
        }
    }

    /// The write of a page is known to stand.
    fn on_batch_recorded(&mut self, number: u64, revision: u64) {
        let Some(page) = self.job_batches.map.get_mut(&number) else { return };
        page.revision = revision;
        let (members, asked) = (page.members.clone(), std::mem::take(&mut page.asked));
        self.job_batches.set_batch_state(number, BatchState::Stands);
        for ix in members {
            let Some(j) = self.jobs.get_mut(ix) else { continue };
            let recording = j.state == JobState::Recording;
            if let Some(c) = j.chunks.get_mut(&0).filter(|c| c.busy && !j.own) {
                (c.busy, c.acked) = (false, c.version);
            }
            if recording {
                self.link(ix);
                self.set_job_state(ix, JobState::Live);
            }
            self.touch_probed(ix);
            self.record_writer.touch_job(ix);
        }
        for (id, ix) in asked {
            match self.jobs.get(ix) {
                Some(j) => {
                    let mut answer = j.answer();
                    (answer.done, answer.running) = (None, None);
                    self.answer(id, Response::new(201, to_cbor(&answer)))
                }
                None => self.answer_busy(id),
            }
        }
        self.placement_due = true;
        self.preempt_due = true;
        self.delete_empty_batch(number);
    }

    /// Some of a new page's jobs have records already: they are told as those say, and the
    /// others are recorded without them.
    fn known_elsewhere(&mut self, number: u64, failed: &[String]) {
        let Some(page) = self.job_batches.map.get_mut(&number) else { return };
        let asked = std::mem::take(&mut page.asked);
        let mut still = Vec::new();
        for ix in page.members.clone() {
            let known = self.jobs.get(ix).filter(|j| failed.contains(&job_key(&j.id)));
            let Some(id) = known.map(|j| j.id.clone()) else { continue };
            self.drop_job(ix);
            for (request, _) in asked.iter().filter(|(_, a)| *a == ix) {
                self.query_status(*request, id.clone());
            }
        }
        still.extend(asked.into_iter().filter(|(_, ix)| self.jobs.get(*ix).is_some()));
        let Some(page) = self.job_batches.map.get_mut(&number) else { return };
        page.asked = still;
        // A write of it that may still come needs its place taken, be it by nothing.
        if page.members.is_empty() && !page.doubt {
            return self.undo_batch(number);
        }
        self.write_batch(number);
    }

    /// A new page was certainly not written: its number is free, and its jobs are not
    /// accepted.
    fn undo_batch(&mut self, number: u64) {
        let Some(page) = self.job_batches.map.remove(&number) else { return };
        self.job_batches.last = number - 1;
        for ix in page.members {
            self.drop_job(ix);
        }
        page.asked.into_iter().for_each(|(id, _)| self.answer_busy(id));
    }

    /// A new page was certainly not written, for lack of changes: its jobs wait for the next.
    fn take_back(&mut self, number: u64) {
        let Some(page) = self.job_batches.map.remove(&number) else { return };
        self.job_batches.last = number - 1;
        let asked: BTreeSet<JobIndex> = page.asked.iter().map(|(_, ix)| *ix).collect();
        for ix in page.members {
            if !asked.contains(&ix) {
                self.drop_job(ix);
                continue;
            }
            let Some(j) = self.jobs.get_mut(ix) else { continue };
            j.page = None;
            j.chunks.values_mut().for_each(|c| c.busy = false);
        }
        let now = self.context.now.steady_ms;
        let later = std::mem::take(&mut self.job_batches.intake);
        let again = page.asked.into_iter().map(|(id, ix)| (id, ix, now));
        self.job_batches.intake = again.chain(later).collect();
    }

    /// A page was certainly not written anew: memory is still ahead of it.
    fn on_batch_not_written(&mut self, number: u64, refused: bool) {
        let Some(page) = self.job_batches.map.get(&number) else { return };
        for ix in page.members.clone() {
            let Some(c) = self.jobs.get_mut(ix).and_then(|j| j.chunks.get_mut(&0)) else {
                continue;
            };
            if std::mem::take(&mut c.busy) {
                if refused {
                    c.deferred_until_ms =
                        self.context.now.steady_ms + self.context.config.lease_ms();
                }
                self.mark_blocking_starts(ix, 0);
            }
        }
    }

    /// Whether a write of a page stands is not known: it is read before it is written again.
    fn read_batch(&mut self, number: u64) {
        self.job_batches.set_batch_state(number, BatchState::Reading);
        if let Some(page) = self.job_batches.map.get_mut(&number) {
            page.doubt |= page.revision == 0;
            let asked = std::mem::take(&mut page.asked);
            asked.into_iter().for_each(|(id, _)| self.answer_busy(id));
        }
        let pending = InFlight::PageRead { number, epoch: self.epoch() };
        self.call_store("GET", format!("/keys/{}", batch_key(number)), Vec::new(), pending);
    }

    pub(crate) fn on_batch_read(&mut self, number: u64, outcome: Outcome) {
        let Ok(pair) = self.read_outcome(outcome) else {
            // Once a second it is tried again.
            return self.batch_reads_to_retry.push(number);
        };
        let Some(page) = self.job_batches.map.get_mut(&number) else { return };
        let new = page.revision == 0;
        match pair {
            Some(pair) => {
                page.revision = pair.revision;
                self.job_batches.set_batch_state(number, BatchState::Stands);
                if new {
                    self.compare_batch(number, decode(&pair.value));
                }
                self.on_batch_not_written(number, false);
                self.delete_empty_batch(number);
            }
            // It may still come: written again, it takes the place that the late one needs.
            None => self.write_batch(number),
        }
    }

    /// A new page stands by a write of ours that got no answer: jobs that it holds are accepted.
    /// Which version of their shares stands is not known: they are written again.
    fn compare_batch(&mut self, number: u64, stands: Option<BatchRecord>) {
        let members = self.job_batches.map.get(&number).map(|p| p.members.clone());
        for ix in members.into_iter().flatten() {
            let Some(id) = self.jobs.get(ix).map(|j| j.id.clone()) else { continue };
            match &stands {
                Some(page) if page.holds(&id) => {
                    if self.jobs.get(ix).is_some_and(|j| j.state == JobState::Recording) {
                        self.link(ix);
                        self.set_job_state(ix, JobState::Live);
                    }
                    self.record_writer.touch_job(ix);
                }
                Some(_) => self.drop_job(ix),
                None => {
                    self.job_batches.seal(number, Some(id));
                    self.drop_job(ix);
                }
            }
        }
        // An earlier write held more than we know of: it is left alone, and read by all.
        let all = stands.is_some_and(|p| p.ids().all(|id| self.jobs.find(id).is_some()));
        if !all {
            tracing::error!(number, "a page holds other jobs than it should; it is left alone");
            self.job_batches.seal(number, None);
        }
    }

    pub(crate) fn retry_batch_reads(&mut self) {
        for number in std::mem::take(&mut self.batch_reads_to_retry) {
            self.read_batch(number);
        }
    }

    /// A job has a record of its own, or is gone.
    pub(crate) fn remove_from_batch(&mut self, ix: JobIndex, number: u64) {
        if let Some(page) = self.job_batches.map.get_mut(&number) {
            page.members.remove(&ix);
        }
        self.delete_empty_batch(number);
    }

    /// A page none of whose jobs needs it any more is deleted, unless it is the last; with a new
    /// last one, the one before it may go that was empty and had to stay.
    pub(crate) fn delete_empty_batch(&mut self, number: u64) {
        let before = self.job_batches.map.range(..number).next_back().map(|(n, _)| *n);
        for number in before.into_iter().chain([number]) {
            let Some(page) = self.job_batches.map.get(&number) else { continue };
            let free = page.members.is_empty() && page.state == BatchState::Stands && !page.sealed;
            if free && number < self.job_batches.last {
                self.job_batches.map.remove(&number);
                self.record_writer.remove(batch_key(number));
            }
        }
    }

    pub(crate) fn delete_empty_batches(&mut self) {
        let all: Vec<u64> = self.job_batches.map.keys().copied().collect();
        all.into_iter().for_each(|n| self.delete_empty_batch(n));
    }

    /// Everything that a leader kept of pages goes.
    pub(crate) fn forget_batches(&mut self) {
        let pages = std::mem::take(&mut self.job_batches);
        self.batch_reads_to_retry.clear();
        let asked = pages.map.into_values().flat_map(|p| p.asked);
        let taken_in = pages.intake.into_iter().map(|(id, ix, _)| (id, ix));
        asked.chain(taken_in).for_each(|(id, _)| self.answer_busy(id));
        // Looks through the pages don't depend on who leads.
        (self.job_batches.look, self.job_batches.queue) = (pages.look, pages.queue);
        (self.job_batches.looked_ms, self.job_batches.index) = (pages.looked_ms, pages.index);
    }

    // Looking a job up, wherever it stands.

    /// Reads a job's record; if there is none, looks through the pages.
    pub(crate) fn look_up(&mut self, job: &str, then: InFlight) {
        let target = format!("/keys/{}", job_key(job));
        if !self.has(Feature::BatchRecords) {
            return self.call_store("GET", target, Vec::new(), then);
        }
        let (job, then) = (job.to_string(), Box::new(then));
        let look = BatchLookup { job, found: None, last: 0, guarded: false, then };
        self.call_store("GET", target, Vec::new(), InFlight::LookFirst(look));
    }

    /// Looks whether a page holds a job that is to be recorded past the leader: that there is
    /// no record of it is a condition of the write.
    pub(crate) fn look_up_in_batches(&mut self, job: &str, then: InFlight) {
        let (job, then) = (job.to_string(), Box::new(then));
        self.ask_for(BatchLookup { job, found: None, last: 0, guarded: true, then });
    }

    fn ask_for(&mut self, look: BatchLookup) {
        if self.job_batches.queue.len() >= self.context.config.max_batch_lookups() {
            return self.on_outcome(*look.then, Outcome::NotSent);
        }
        self.job_batches.queue.push(look);
        self.scan_batches();
    }

    pub(crate) fn on_look_first(&mut self, look: BatchLookup, outcome: Outcome) {
        let absent = matches!(&outcome, Outcome::Answer(r) if r.status == 404);
        if !absent {
            return self.on_outcome(*look.then, outcome);
        }
        // Memory knows what stands in pages: without a record of its own the job lives.
        let known = self.jobs.find(&look.job).and_then(|ix| self.jobs.get(ix));
        let known = known.filter(|j| j.page.is_some() && j.state != JobState::Recording);
        if let Some(job) = known {
            let mut record = self.job_record(job.spec.clone());
            record.at_ms = job.at_ms;
            return self.found_in_batch(&look.job, &record, *look.then);
        }
        if self.leads() && self.job_batches.all_known() {
            return self.ask_whether_absent(look);
        }
        self.ask_for(look);
    }

    /// No page of ours holds the job: that goes for all pages as long as we lead.
    fn ask_whether_absent(&mut self, mut look: BatchLookup) {
        look.last = self.job_batches.last;
        let guards = vec![
            Guard { path: EPOCH_KEY.into(), revision: self.membership.epoch_revision },
            Guard { path: job_key(&look.job), revision: 0 },
        ];
        let body = to_cbor(&Transaction { guards, apply: Vec::new() });
        self.membership.reads.force(self.context.now.steady_ms, 1.0);
        let pending = InFlight::LookAbsent { look, epoch: self.epoch() };
        self.call_store("POST", "/multi".into(), body, pending);
    }

    pub(crate) fn on_look_absent(&mut self, look: BatchLookup, epoch: u64, outcome: Outcome) {
        let (status, answer) = write_outcome(&outcome);
        // It may have been submitted meanwhile.
        let known = epoch != self.epoch() || self.jobs.find(&look.job).is_some();
        match (status, answer) {
            (200, Some(_)) if !known => {
                self.job_batches.looked_last = look.last;
                let absent = Outcome::Answer(Response::new(404, Vec::new()));
                self.on_outcome(*look.then, absent)
            }
            (409, Some(TransactionAnswer { failed, .. }))
                if failed.iter().any(|p| p == EPOCH_KEY) =>
            {
                if epoch == self.epoch() {
                    self.step_down();
                }
                self.on_outcome(*look.then, Outcome::NotSent)
            }
            // It has a record by now.
            (409, Some(_)) => self.look_again(look),
            (429 | 503, _) => {
                self.on_store_throttled(status);
                self.on_outcome(*look.then, Outcome::NotSent)
            }
            _ => self.on_outcome(*look.then, Outcome::NotSent),
        }
    }

    /// Looks through the pages for all who wait: reading them all once a batch's time at most,
    /// what has changed ten times as often.
    pub(crate) fn scan_batches(&mut self) {
        let now = self.context.now.steady_ms;
        if self.job_batches.look.is_some() {
            return;
        }
        if self.job_batches.index.older_than(now, self.context.config.lease_ms()) {
            self.job_batches.index = BatchIndex::default();
        }
        let max_age_ms = self.context.config.heartbeat_interval_ms();
        let known = self.job_batches.index.revision_to_update_from(now, max_age_ms);
        let pause = if known.is_some() {
            self.context.config.write_batch_ms() / 10
        } else {
            self.context.config.write_batch_ms()
        };
        let soon = self.job_batches.looked_ms > 0 && now < self.job_batches.looked_ms + pause;
        if soon || self.job_batches.queue.is_empty() {
            return;
        }
        self.job_batches.looked_ms = now;
        let wanted = std::mem::take(&mut self.job_batches.queue);
        let whole = known.is_none().then(BatchIndex::default);
        self.job_batches.look = Some(Look { wanted, whole, since: None });
        match known {
            Some(rev) => {
                let target = format!("/changes?starts={BATCH_PREFIX}&since={rev}&block_ms=0");
                self.call_for_batches(target, InFlight::PageChanges);
            }
            None => self.read_on(),
        }
    }

    fn call_for_batches(&mut self, target: String, pending: InFlight) {
        self.membership.reads.force(self.context.now.steady_ms, 1.0);
        let timeout = 3 * self.context.config.store_timeout_ms();
        self.call(crate::Peer::State, "GET", target, Vec::new(), timeout, pending);
    }

    /// Reads all pages, some at a time.
    fn read_on(&mut self) {
        let Some(look) = &self.job_batches.look else { return };
        let mut target = format!("/keys?starts={BATCH_PREFIX}&most={READ_AT_ONCE}");
        if let Some(since) = &look.since {
            target.push_str(&format!("&since={since}"));
        }
        self.call_for_batches(target, InFlight::PageScan);
    }

    pub(crate) fn on_batch_scan(&mut self, outcome: Outcome) {
        let Some(mut look) = self.job_batches.look.take() else { return };
        let list = match outcome {
            Outcome::Answer(r) if r.status == 200 => from_cbor::<KeyValueList>(&r.body).ok(),
            _ => None,
        };
        let (Some(list), Some(mut whole)) = (list, look.whole.take()) else {
            return self.look_failed(look);
        };
        whole.add_listed(&list);
        let end = list.pairs.last().map(|p| p.path.clone());
        if list.more && end.is_some() {
            (look.since, look.whole) = (end, Some(whole));
            self.job_batches.look = Some(look);
            return self.read_on();
        }
        self.job_batches.index = whole;
        self.looked(look.wanted);
    }

    pub(crate) fn on_batch_changes(&mut self, outcome: Outcome) {
        let Some(mut look) = self.job_batches.look.take() else { return };
        match outcome {
            Outcome::Answer(r) if r.status == 200 => match from_cbor::<ChangeLog>(&r.body) {
                Ok(changes) => {
                    self.job_batches.index.apply_changes(&changes);
                    self.looked(look.wanted);
                }
                Err(_) => self.look_failed(look),
            },
            // It doesn't keep changes for that long: all pages are read.
            Outcome::Answer(r) if r.status == 410 => {
                look.whole = Some(BatchIndex::default());
                self.job_batches.look = Some(look);
                self.read_on();
            }
            _ => self.look_failed(look),
        }
    }

    fn look_failed(&mut self, look: Look) {
        look.wanted.into_iter().for_each(|l| self.on_outcome(*l.then, Outcome::NotSent));
        self.scan_batches();
    }

    /// The pages are known as they stood after the questions came.
    fn looked(&mut self, wanted: Vec<BatchLookup>) {
        self.note_store_answer();
        self.job_batches.index.set_verified_at(self.job_batches.looked_ms);
        for mut look in wanted {
            match self.job_batches.index.find_job(&look.job) {
                IndexedJob::Unreadable => {
                    self.on_outcome(*look.then, Outcome::NotSent);
                    continue;
                }
                IndexedJob::Found(record) => look.found = Some(record),
                IndexedJob::Absent if look.guarded => {
                    self.job_batches.looked_last = self.job_batches.index.last_number();
                    let absent = Outcome::Answer(Response::new(404, Vec::new()));
                    self.on_outcome(*look.then, absent);
                    continue;
                }
                IndexedJob::Absent => {}
            }
            look.last = self.job_batches.index.last_number();
            // It may have got a record of its own while we looked.
            self.look_again(look);
        }
        self.scan_batches();
    }

    fn look_again(&mut self, look: BatchLookup) {
        let target = format!("/keys/{}", job_key(&look.job));
        self.membership.reads.force(self.context.now.steady_ms, 1.0);
        self.call_store("GET", target, Vec::new(), InFlight::LookLast(look));
    }

    /// A job in a page reads like a record that has no stamp yet: whoever writes one writes
    /// it guarded by there being none.
    pub(crate) fn on_look_last(&mut self, look: BatchLookup, outcome: Outcome) {
        let absent = matches!(&outcome, Outcome::Answer(r) if r.status == 404);
        self.job_batches.looked_last = look.last;
        match look.found {
            Some(record) if absent => self.found_in_batch(&look.job, &record, *look.then),
            _ => self.on_outcome(*look.then, outcome),
        }
    }

    fn found_in_batch(&mut self, job: &str, record: &JobRecord, then: InFlight) {
        let pair =
            KeyValue { path: job_key(job), value: encode(record), revision: 0, lease_id: None };
        self.on_outcome(then, Outcome::Answer(Response::new(200, to_cbor(&pair))))
    }
}
