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
    Change, ChangeLog, Guard, JobSpec, Pair, PairList, Rank, Shape, Transaction, TransactionAnswer,
};
use quartzgate_wire::{from_cbor, to_cbor};

use crate::controller::{Controller, Pending};
use crate::ids::JobIx;
use crate::jobs::JobState;
use crate::records::{
    checked_size, decode, encode, inline_piece, job_key, page_key, JobRecord, PageRecord, CHUNK,
    PAGES, VIEW,
};
use crate::shares::Placed;
use crate::store::{write_outcome, Purpose};
use crate::{Outcome, RequestId};

use index::{Found, Index};

/// How a page stands to its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PageState {
    /// The record as memory knows it stands.
    Stands,
    /// It is being written; for the first time while it has no stamp.
    Writing,
    /// What stands is not known, and is being read.
    Reading,
}

#[derive(Debug)]
struct Page {
    state: PageState,
    stamp: u64,
    /// Jobs that have no record of their own yet.
    members: BTreeSet<JobIx>,
    /// Who waits for the acceptance of which.
    asked: Vec<(RequestId, JobIx)>,
    /// A write that makes it got no answer: it may still come.
    doubt: bool,
    /// Something in it can't be read: it is never written nor taken away.
    sealed: bool,
}

/// A question about a job's record that goes through the pages as well.
#[derive(Debug)]
pub(crate) struct LookUp {
    job: String,
    found: Option<Box<JobRecord>>,
    /// The last page that was there.
    last: u64,
    /// What follows is guarded by there being no record: none is read.
    guarded: bool,
    then: Box<Pending>,
}

/// One look through the pages, for all who ask.
struct Look {
    wanted: Vec<LookUp>,
    /// What is read so far, if all pages are read.
    whole: Option<Index>,
    since: Option<String>,
}

#[derive(Default)]
pub(crate) struct Pages {
    map: BTreeMap<u64, Page>,
    last: u64,
    /// Submissions that wait for the next page, and since when.
    intake: Vec<(RequestId, JobIx, u64)>,
    /// A page was opened then: the next acceptances join as well.
    opened_ms: Option<u64>,
    look: Option<Look>,
    /// Who asked after the present look began.
    queue: Vec<LookUp>,
    /// What is known of the pages of whoever leads.
    index: Index,
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

impl Page {
    fn new(state: PageState, stamp: u64) -> Page {
        let (members, asked) = (BTreeSet::new(), Vec::new());
        Page { state, stamp, members, asked, doubt: false, sealed: false }
    }
}

impl Pages {
    pub fn count(&self) -> usize {
        self.map.len()
    }

    pub fn members(&self) -> usize {
        self.map.values().map(|p| p.members.len()).sum()
    }

    /// A page that stands on record, as a new leader reads it.
    pub fn restore(&mut self, number: u64, stamp: u64) {
        self.map.insert(number, Page::new(PageState::Stands, stamp));
        self.last = self.last.max(number);
    }

    pub fn join(&mut self, number: u64, job: JobIx) {
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
        self.map.get(&self.last).is_some_and(|p| p.stamp == 0)
    }

    /// Every job that stands in a page is in memory.
    fn all_known(&self) -> bool {
        self.unreadable.is_empty()
            && self.map.values().all(|p| !p.sealed && (p.stamp > 0 || !p.doubt))
    }

    fn busy(&self, number: u64) -> bool {
        self.map.get(&number).is_none_or(|p| p.state != PageState::Stands)
    }

    /// The one function that changes a page's state.
    fn page_to(&mut self, number: u64, state: PageState) {
        if let Some(page) = self.map.get_mut(&number) {
            page.state = state;
        }
    }
}

impl Controller {
    /// Whether a submission is to share a record.
    pub(crate) fn shares_page(&mut self, spec: &JobSpec) -> bool {
        // What is urgent does not wait for more to come together.
        if !self.has(Feature::BatchRecords)
            || spec.rank >= Rank::High
            || spec.shape != Shape::Array
            || !spec.dependencies.is_empty()
        {
            return false;
        }
        let now = self.now.steady_ms;
        // A page holds the shares of first chunks only.
        let small = spec.tasks <= CHUNK && self.full_size(spec) * SMALL <= self.value_most();
        let rate = self.store.writes.rate();
        let below = self.cfg.operator.share_pages_below;
        let crowded = self.admission.short()
            || !self.pages.intake.is_empty()
            || self.pages.opened_ms.is_some_and(|o| now < o + 2 * self.cfg.batch_ms())
            || self.store.writes.room(now, 0.0) < below * rate
            || below >= 1.0;
        small && crowded
    }

    /// What a job may come to take of a page.
    fn full_size(&self, spec: &JobSpec) -> usize {
        checked_size(spec) + SHARE_BYTES + TASK_BYTES * spec.tasks as usize
    }

    /// Takes a submission for the next page; false if there are too many already.
    pub(crate) fn take_in(&mut self, id: RequestId, spec: JobSpec, team: usize) -> bool {
        // Guests leave as much again to all others.
        let part = if self.guests(team, spec.rank) { 1.0 } else { 2.0 };
        let most = self.store.writes.rate() * ENDS_S * part;
        if self.pages.members() + self.pages.intake.len() >= most as usize {
            return false;
        }
        let at_ms = self.now.wall_ms;
        let job = self.new_job(spec, team, JobState::Recording, 0, at_ms);
        let ix = self.jobs.insert(job);
        self.pages.intake.push((id, ix, self.now.steady_ms));
        true
    }

    /// Records what has been taken in, once a little has come together. One page is made at a
    /// time: whether its number is taken has to be known before the next has one.
    pub(crate) fn flush_intake(&mut self) {
        let Some((_, _, since_ms)) = self.pages.intake.first() else { return };
        let now = self.now.steady_ms;
        let many = self.pages.intake.len() >= self.page_guards();
        if !many && now < since_ms + self.cfg.batch_ms() / 2 {
            return;
        }
        if self.pages.making() || self.store.writes.room(now, 0.0) < 1.0 {
            // Whoever can't be recorded soon is told at once.
            let late = now.saturating_sub(2 * self.cfg.batch_ms());
            let n = self.pages.intake.iter().take_while(|(_, _, since)| *since < late).count();
            for (id, ix, _) in self.pages.intake.drain(..n).collect::<Vec<_>>() {
                self.drop_job(ix);
                self.turn_away(id);
            }
            return;
        }
        let most = self.page_guards();
        let number = self.pages.last + 1;
        let (mut size, mut asked) = (0, Vec::new());
        let intake = std::mem::take(&mut self.pages.intake);
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
        self.pages.intake = left.collect();
        self.pages.opened_ms = Some(now);
        if asked.is_empty() {
            return;
        }
        let members: BTreeSet<JobIx> = asked.iter().map(|(_, ix)| *ix).collect();
        let backlog = self.backlog();
        for ix in &members {
            let Some(job) = self.jobs.get_mut(*ix) else { continue };
            job.page = Some(number);
            if !backlog.full(job.rank) {
                self.deal_job(*ix);
            }
        }
        self.pages.last = number;
        let page = Page { members, asked, ..Page::new(PageState::Writing, 0) };
        self.pages.map.insert(number, page);
        self.write_page(number);
    }

    /// Jobs that a page may hold: each is a condition of the write that makes it.
    fn page_guards(&self) -> usize {
        (4 * self.limits().txn_ops).saturating_sub(4).max(1)
    }

    /// What a job's description saves in a page by its likeness to the first.
    fn spared(&self, spec: &JobSpec, first: Option<&(RequestId, JobIx)>) -> usize {
        let like = first.and_then(|(_, ix)| self.jobs.get(*ix));
        like.map_or(0, |j| checked_size(spec).saturating_sub(PageRecord::differs(&j.spec, spec)))
    }

    /// A page as memory has it now, and its jobs. If they don't fit any more, the largest is
    /// to get a record of its own, and the page waits until it has one: a job that stands
    /// nowhere else is never left out. Of a new page it is not accepted yet, and goes.
    fn page_record(&mut self, number: u64) -> Option<(PageRecord, Vec<JobIx>)> {
        let page = self.pages.map.get(&number)?;
        let new = page.stamp == 0;
        let mut members: Vec<JobIx> = page.members.iter().copied().collect();
        if members.iter().any(|ix| self.jobs.get(*ix).is_some_and(|j| j.own)) {
            return None;
        }
        let most = self.value_most();
        loop {
            let mut page = PageRecord::default();
            for ix in &members {
                let share = self.share_record(*ix, 0);
                let Some(job) = self.jobs.get(*ix) else { continue };
                page.add(&job.spec, job.at_ms, share.map(|s| inline_piece(&s)));
            }
            if checked_size(&page) <= most || members.is_empty() {
                return Some((page, members));
            }
            // The largest goes; it has a share, or it would not be here.
            let size = |ix: &JobIx| self.jobs.get(*ix).map_or(0, |j| j.spec.tasks);
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
            members.iter().for_each(|ix| self.press(*ix, 0));
            return None;
        }
    }

    /// A job is to have a record of its own, with its first chunk, before anything else of it
    /// is written.
    pub(crate) fn outgrow_page(&mut self, ix: JobIx) {
        if let Some(j) = self.jobs.get_mut(ix) {
            j.own = true;
        }
        self.press(ix, 0);
    }

    /// A job leaves a page that was not written yet.
    fn not_accepted(&mut self, number: u64, ix: JobIx) {
        self.drop_job(ix);
        let Some(page) = self.pages.map.get_mut(&number) else { return };
        let asked = std::mem::take(&mut page.asked);
        let (gone, still) = asked.into_iter().partition(|(_, a)| *a == ix);
        page.asked = still;
        let gone: Vec<(RequestId, JobIx)> = gone;
        gone.into_iter().for_each(|(id, _)| self.answer_busy(id));
    }

    /// Writes a page, guarded by our view and by what stood of it; if it is new, by there
    /// being no record of any of its jobs.
    fn write_page(&mut self, number: u64) {
        let Some((record, members)) = self.page_record(number) else { return };
        let empty = members.is_empty();
        if empty && self.pages.map.get(&number).is_some_and(|p| p.stamp == 0 && !p.doubt) {
            return self.undo_page(number);
        }
        let Some(page) = self.pages.map.get(&number) else { return };
        let new = page.stamp == 0;
        let path = page_key(number);
        let mut guards = vec![
            Guard { path: VIEW.into(), stamp: self.member.view_stamp },
            Guard { path: path.clone(), stamp: page.stamp },
        ];
        if new {
            let ids = members.iter().filter_map(|ix| self.jobs.get(*ix));
            guards.extend(ids.map(|j| Guard { path: job_key(&j.id), stamp: 0 }));
        }
        let apply = vec![Change::Set { set: path, value: encode(&record), permit: None }];
        for ix in &members {
            self.chunk_sent(*ix, 0, Placed::default());
            self.store.settled(*ix, 0);
        }
        self.store.writes.force(self.now.steady_ms, 1.0);
        self.store.note(if new { Purpose::Accept } else { Purpose::Deal }, 1);
        self.pages.page_to(number, PageState::Writing);
        let body = to_cbor(&Transaction { guards, apply });
        let pending = Pending::PageWrite { number, epoch: self.epoch() };
        self.state_call("POST", "/multi".into(), body, pending);
    }

    /// Writes the page of a job whose share is to be recorded, if that can be done now.
    pub(crate) fn rewrite_page(&mut self, number: u64) {
        let sealed = self.pages.map.get(&number).is_some_and(|p| p.sealed);
        if sealed {
            // What can't be read would be lost: its readable jobs get records of their own.
            for ix in self.pages.map[&number].members.clone() {
                if let Some(j) = self.jobs.get_mut(ix) {
                    j.own = true;
                }
            }
        } else if !self.pages.busy(number) {
            self.write_page(number);
        }
    }

    pub(crate) fn on_page_write(&mut self, number: u64, outcome: Outcome) {
        let Some(page) = self.pages.map.get(&number) else { return };
        let (new, doubt) = (page.stamp == 0, page.doubt);
        let (status, answer) = write_outcome(&outcome);
        match (status, answer) {
            (200, Some(done)) => {
                self.state_answered();
                self.page_stands(number, done.ledger_rev);
            }
            (409, Some(a)) => {
                self.state_answered();
                if a.failed.iter().any(|p| p == VIEW) {
                    return self.superseded();
                }
                if a.failed.contains(&page_key(number)) {
                    return self.read_page(number);
                }
                self.known_elsewhere(number, &a.failed);
            }
            (400 | 429 | 503, _) if new && doubt => {
                self.state_busy(status);
                self.pages.page_to(number, PageState::Reading);
                self.pages_retry.push(number);
            }
            (400, _) if new => {
                tracing::error!(number, "the state service refused a page as malformed");
                self.undo_page(number);
            }
            (429 | 503, _) if new => {
                self.state_busy(status);
                self.take_back(number);
            }
            (400 | 429 | 503, _) => {
                if status == 400 {
                    tracing::error!(number, "the state service refused a page as malformed");
                }
                self.state_busy(status);
                self.pages.page_to(number, PageState::Stands);
                self.page_unwritten(number, status == 400);
            }
            _ => self.read_page(number),
        }
    }

    /// The write of a page is known to stand.
    fn page_stands(&mut self, number: u64, stamp: u64) {
        let Some(page) = self.pages.map.get_mut(&number) else { return };
        page.stamp = stamp;
        let (members, asked) = (page.members.clone(), std::mem::take(&mut page.asked));
        self.pages.page_to(number, PageState::Stands);
        for ix in members {
            let Some(j) = self.jobs.get_mut(ix) else { continue };
            let recording = j.state == JobState::Recording;
            if let Some(c) = j.chunks.get_mut(&0).filter(|c| c.busy && !j.own) {
                (c.busy, c.acked) = (false, c.version);
            }
            if recording {
                self.link(ix);
                self.job_to(ix, JobState::Live);
            }
            self.touch_probed(ix);
            self.store.touch_job(ix);
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
        self.deal_due = true;
        self.preempt_due = true;
        self.tidy_page(number);
    }

    /// Some of a new page's jobs have records already: they are told as those say, and the
    /// others are recorded without them.
    fn known_elsewhere(&mut self, number: u64, failed: &[String]) {
        let Some(page) = self.pages.map.get_mut(&number) else { return };
        let asked = std::mem::take(&mut page.asked);
        let mut still = Vec::new();
        for ix in page.members.clone() {
            let known = self.jobs.get(ix).filter(|j| failed.contains(&job_key(&j.id)));
            let Some(id) = known.map(|j| j.id.clone()) else { continue };
            self.drop_job(ix);
            for (request, _) in asked.iter().filter(|(_, a)| *a == ix) {
                self.poll(*request, id.clone());
            }
        }
        still.extend(asked.into_iter().filter(|(_, ix)| self.jobs.get(*ix).is_some()));
        let Some(page) = self.pages.map.get_mut(&number) else { return };
        page.asked = still;
        // A write of it that may still come needs its place taken, be it by nothing.
        if page.members.is_empty() && !page.doubt {
            return self.undo_page(number);
        }
        self.write_page(number);
    }

    /// A new page was certainly not written: its number is free, and its jobs are not
    /// accepted.
    fn undo_page(&mut self, number: u64) {
        let Some(page) = self.pages.map.remove(&number) else { return };
        self.pages.last = number - 1;
        for ix in page.members {
            self.drop_job(ix);
        }
        page.asked.into_iter().for_each(|(id, _)| self.answer_busy(id));
    }

    /// A new page was certainly not written, for lack of changes: its jobs wait for the next.
    fn take_back(&mut self, number: u64) {
        let Some(page) = self.pages.map.remove(&number) else { return };
        self.pages.last = number - 1;
        let asked: BTreeSet<JobIx> = page.asked.iter().map(|(_, ix)| *ix).collect();
        for ix in page.members {
            if !asked.contains(&ix) {
                self.drop_job(ix);
                continue;
            }
            let Some(j) = self.jobs.get_mut(ix) else { continue };
            j.page = None;
            j.chunks.values_mut().for_each(|c| c.busy = false);
        }
        let now = self.now.steady_ms;
        let later = std::mem::take(&mut self.pages.intake);
        let again = page.asked.into_iter().map(|(id, ix)| (id, ix, now));
        self.pages.intake = again.chain(later).collect();
    }

    /// A page was certainly not written anew: memory is still ahead of it.
    fn page_unwritten(&mut self, number: u64, refused: bool) {
        let Some(page) = self.pages.map.get(&number) else { return };
        for ix in page.members.clone() {
            let Some(c) = self.jobs.get_mut(ix).and_then(|j| j.chunks.get_mut(&0)) else {
                continue;
            };
            if std::mem::take(&mut c.busy) {
                if refused {
                    c.put_off_ms = self.now.steady_ms + self.cfg.lease_ms();
                }
                self.press(ix, 0);
            }
        }
    }

    /// Whether a write of a page stands is not known: it is read before it is written again.
    fn read_page(&mut self, number: u64) {
        self.pages.page_to(number, PageState::Reading);
        if let Some(page) = self.pages.map.get_mut(&number) {
            page.doubt |= page.stamp == 0;
            let asked = std::mem::take(&mut page.asked);
            asked.into_iter().for_each(|(id, _)| self.answer_busy(id));
        }
        let pending = Pending::PageRead { number, epoch: self.epoch() };
        self.state_call("GET", format!("/keys/{}", page_key(number)), Vec::new(), pending);
    }

    pub(crate) fn on_page_read(&mut self, number: u64, outcome: Outcome) {
        let Ok(pair) = self.read_outcome(outcome) else {
            // Once a second it is tried again.
            return self.pages_retry.push(number);
        };
        let Some(page) = self.pages.map.get_mut(&number) else { return };
        let new = page.stamp == 0;
        match pair {
            Some(pair) => {
                page.stamp = pair.stamp;
                self.pages.page_to(number, PageState::Stands);
                if new {
                    self.compare_page(number, decode(&pair.value));
                }
                self.page_unwritten(number, false);
                self.tidy_page(number);
            }
            // It may still come: written again, it takes the place that the late one needs.
            None => self.write_page(number),
        }
    }

    /// A new page stands by a write of ours that got no answer: jobs that it holds are accepted.
    /// Which version of their shares stands is not known: they are written again.
    fn compare_page(&mut self, number: u64, stands: Option<PageRecord>) {
        let members = self.pages.map.get(&number).map(|p| p.members.clone());
        for ix in members.into_iter().flatten() {
            let Some(id) = self.jobs.get(ix).map(|j| j.id.clone()) else { continue };
            match &stands {
                Some(page) if page.holds(&id) => {
                    if self.jobs.get(ix).is_some_and(|j| j.state == JobState::Recording) {
                        self.link(ix);
                        self.job_to(ix, JobState::Live);
                    }
                    self.store.touch_job(ix);
                }
                Some(_) => self.drop_job(ix),
                None => {
                    self.pages.seal(number, Some(id));
                    self.drop_job(ix);
                }
            }
        }
        // An earlier write held more than we know of: it is left alone, and read by all.
        let all = stands.is_some_and(|p| p.ids().all(|id| self.jobs.find(id).is_some()));
        if !all {
            tracing::error!(number, "a page holds other jobs than it should; it is left alone");
            self.pages.seal(number, None);
        }
    }

    pub(crate) fn retry_pages(&mut self) {
        for number in std::mem::take(&mut self.pages_retry) {
            self.read_page(number);
        }
    }

    /// A job has a record of its own, or is gone.
    pub(crate) fn leave_page(&mut self, ix: JobIx, number: u64) {
        if let Some(page) = self.pages.map.get_mut(&number) {
            page.members.remove(&ix);
        }
        self.tidy_page(number);
    }

    /// A page none of whose jobs needs it any more is deleted, unless it is the last; with a new
    /// last one, the one before it may go that was empty and had to stay.
    pub(crate) fn tidy_page(&mut self, number: u64) {
        let before = self.pages.map.range(..number).next_back().map(|(n, _)| *n);
        for number in before.into_iter().chain([number]) {
            let Some(page) = self.pages.map.get(&number) else { continue };
            let free = page.members.is_empty() && page.state == PageState::Stands && !page.sealed;
            if free && number < self.pages.last {
                self.pages.map.remove(&number);
                self.store.remove(page_key(number));
            }
        }
    }

    pub(crate) fn tidy_pages(&mut self) {
        let all: Vec<u64> = self.pages.map.keys().copied().collect();
        all.into_iter().for_each(|n| self.tidy_page(n));
    }

    /// Everything that a leader kept of pages goes.
    pub(crate) fn forget_pages(&mut self) {
        let pages = std::mem::take(&mut self.pages);
        self.pages_retry.clear();
        let asked = pages.map.into_values().flat_map(|p| p.asked);
        let taken_in = pages.intake.into_iter().map(|(id, ix, _)| (id, ix));
        asked.chain(taken_in).for_each(|(id, _)| self.answer_busy(id));
        // Looks through the pages don't depend on who leads.
        (self.pages.look, self.pages.queue) = (pages.look, pages.queue);
        (self.pages.looked_ms, self.pages.index) = (pages.looked_ms, pages.index);
    }

    // Looking a job up, wherever it stands.

    /// Reads a job's record; if there is none, looks through the pages.
    pub(crate) fn look_up(&mut self, job: &str, then: Pending) {
        let target = format!("/keys/{}", job_key(job));
        if !self.has(Feature::BatchRecords) {
            return self.state_call("GET", target, Vec::new(), then);
        }
        let (job, then) = (job.to_string(), Box::new(then));
        let look = LookUp { job, found: None, last: 0, guarded: false, then };
        self.state_call("GET", target, Vec::new(), Pending::LookFirst(look));
    }

    /// Looks whether a page holds a job that is to be recorded past the leader: that there is
    /// no record of it is a condition of the write.
    pub(crate) fn look_in_pages(&mut self, job: &str, then: Pending) {
        let (job, then) = (job.to_string(), Box::new(then));
        self.ask_for(LookUp { job, found: None, last: 0, guarded: true, then });
    }

    fn ask_for(&mut self, look: LookUp) {
        if self.pages.queue.len() >= self.cfg.max_batch_lookups() {
            return self.on_outcome(*look.then, Outcome::NotSent);
        }
        self.pages.queue.push(look);
        self.look_through();
    }

    pub(crate) fn on_look_first(&mut self, look: LookUp, outcome: Outcome) {
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
            return self.found_in_page(&look.job, &record, *look.then);
        }
        if self.leads() && self.pages.all_known() {
            return self.ask_whether_absent(look);
        }
        self.ask_for(look);
    }

    /// No page of ours holds the job: that goes for all pages as long as we lead.
    fn ask_whether_absent(&mut self, mut look: LookUp) {
        look.last = self.pages.last;
        let guards = vec![
            Guard { path: VIEW.into(), stamp: self.member.view_stamp },
            Guard { path: job_key(&look.job), stamp: 0 },
        ];
        let body = to_cbor(&Transaction { guards, apply: Vec::new() });
        self.member.reads.force(self.now.steady_ms, 1.0);
        let pending = Pending::LookAbsent { look, epoch: self.epoch() };
        self.state_call("POST", "/multi".into(), body, pending);
    }

    pub(crate) fn on_look_absent(&mut self, look: LookUp, epoch: u64, outcome: Outcome) {
        let (status, answer) = write_outcome(&outcome);
        // It may have been submitted meanwhile.
        let known = epoch != self.epoch() || self.jobs.find(&look.job).is_some();
        match (status, answer) {
            (200, Some(_)) if !known => {
                self.pages.looked_last = look.last;
                let absent = Outcome::Answer(Response::new(404, Vec::new()));
                self.on_outcome(*look.then, absent)
            }
            (409, Some(TransactionAnswer { failed, .. })) if failed.iter().any(|p| p == VIEW) => {
                if epoch == self.epoch() {
                    self.superseded();
                }
                self.on_outcome(*look.then, Outcome::NotSent)
            }
            // It has a record by now.
            (409, Some(_)) => self.look_again(look),
            (429 | 503, _) => {
                self.state_busy(status);
                self.on_outcome(*look.then, Outcome::NotSent)
            }
            _ => self.on_outcome(*look.then, Outcome::NotSent),
        }
    }

    /// Looks through the pages for all who wait: reading them all once a batch's time at most,
    /// what has changed ten times as often.
    pub(crate) fn look_through(&mut self) {
        let now = self.now.steady_ms;
        if self.pages.look.is_some() {
            return;
        }
        if now > self.pages.index.at_ms + self.cfg.lease_ms() {
            self.pages.index = Index::default();
        }
        let known = self.pages.index.rev(now, self.cfg.report_ms());
        let pause = if known.is_some() { self.cfg.batch_ms() / 10 } else { self.cfg.batch_ms() };
        let soon = self.pages.looked_ms > 0 && now < self.pages.looked_ms + pause;
        if soon || self.pages.queue.is_empty() {
            return;
        }
        self.pages.looked_ms = now;
        let wanted = std::mem::take(&mut self.pages.queue);
        let whole = known.is_none().then(Index::default);
        self.pages.look = Some(Look { wanted, whole, since: None });
        match known {
            Some(rev) => {
                let target = format!("/changes?starts={PAGES}&since={rev}&block_ms=0");
                self.call_for_pages(target, Pending::PageChanges);
            }
            None => self.read_on(),
        }
    }

    fn call_for_pages(&mut self, target: String, pending: Pending) {
        self.member.reads.force(self.now.steady_ms, 1.0);
        let timeout = 3 * self.cfg.state_timeout_ms();
        self.call(crate::Peer::State, "GET", target, Vec::new(), timeout, pending);
    }

    /// Reads all pages, some at a time.
    fn read_on(&mut self) {
        let Some(look) = &self.pages.look else { return };
        let mut target = format!("/keys?starts={PAGES}&most={READ_AT_ONCE}");
        if let Some(since) = &look.since {
            target.push_str(&format!("&since={since}"));
        }
        self.call_for_pages(target, Pending::PageScan);
    }

    pub(crate) fn on_page_scan(&mut self, outcome: Outcome) {
        let Some(mut look) = self.pages.look.take() else { return };
        let list = match outcome {
            Outcome::Answer(r) if r.status == 200 => from_cbor::<PairList>(&r.body).ok(),
            _ => None,
        };
        let (Some(list), Some(mut whole)) = (list, look.whole.take()) else {
            return self.look_failed(look);
        };
        whole.read(&list);
        let end = list.pairs.last().map(|p| p.path.clone());
        if list.more && end.is_some() {
            (look.since, look.whole) = (end, Some(whole));
            self.pages.look = Some(look);
            return self.read_on();
        }
        self.pages.index = whole;
        self.looked(look.wanted);
    }

    pub(crate) fn on_page_changes(&mut self, outcome: Outcome) {
        let Some(mut look) = self.pages.look.take() else { return };
        match outcome {
            Outcome::Answer(r) if r.status == 200 => match from_cbor::<ChangeLog>(&r.body) {
                Ok(changes) => {
                    self.pages.index.follow(&changes);
                    self.looked(look.wanted);
                }
                Err(_) => self.look_failed(look),
            },
            // It doesn't keep changes for that long: all pages are read.
            Outcome::Answer(r) if r.status == 410 => {
                look.whole = Some(Index::default());
                self.pages.look = Some(look);
                self.read_on();
            }
            _ => self.look_failed(look),
        }
    }

    fn look_failed(&mut self, look: Look) {
        look.wanted.into_iter().for_each(|l| self.on_outcome(*l.then, Outcome::NotSent));
        self.look_through();
    }

    /// The pages are known as they stood after the questions came.
    fn looked(&mut self, wanted: Vec<LookUp>) {
        self.state_answered();
        self.pages.index.at_ms = self.pages.looked_ms;
        for mut look in wanted {
            match self.pages.index.find(&look.job) {
                Found::Damaged => {
                    self.on_outcome(*look.then, Outcome::NotSent);
                    continue;
                }
                Found::Record(record) => look.found = Some(record),
                Found::Absent if look.guarded => {
                    self.pages.looked_last = self.pages.index.last();
                    let absent = Outcome::Answer(Response::new(404, Vec::new()));
                    self.on_outcome(*look.then, absent);
                    continue;
                }
                Found::Absent => {}
            }
            look.last = self.pages.index.last();
            // It may have got a record of its own while we looked.
            self.look_again(look);
        }
        self.look_through();
    }

    fn look_again(&mut self, look: LookUp) {
        let target = format!("/keys/{}", job_key(&look.job));
        self.member.reads.force(self.now.steady_ms, 1.0);
        self.state_call("GET", target, Vec::new(), Pending::LookLast(look));
    }

    /// A job in a page reads like a record that has no stamp yet: whoever writes one writes
    /// it guarded by there being none.
    pub(crate) fn on_look_last(&mut self, look: LookUp, outcome: Outcome) {
        let absent = matches!(&outcome, Outcome::Answer(r) if r.status == 404);
        self.pages.looked_last = look.last;
        match look.found {
            Some(record) if absent => self.found_in_page(&look.job, &record, *look.then),
            _ => self.on_outcome(*look.then, outcome),
        }
    }

    fn found_in_page(&mut self, job: &str, record: &JobRecord, then: Pending) {
        let pair = Pair { path: job_key(job), value: encode(record), stamp: 0, permit: None };
        self.on_outcome(then, Outcome::Answer(Response::new(200, to_cbor(&pair))))
    }
}
