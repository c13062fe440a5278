//! A new leader's memory: made from the records, then proven by the machines.

use std::collections::{BTreeMap, BTreeSet};

use quartzgate_feature_gates::Feature;
use quartzgate_wire::from_cbor;
use quartzgate_wire::msg::{Pair, PairList, Report};

use crate::blame::Trust;
use crate::controller::{Controller, Pending};
use crate::ids::{JobIx, MachineIx, TaskKey};
use crate::jobs::{JobState, Probe, TaskState};
use crate::machines::{sane, MachineState};
use crate::member::Role;
use crate::records::{
    decode, job_key, open_inline, page_number, parse_share_key, piece_keys, read_share, share_key,
    GatheredShare, JobRecord, PageRecord, RecordedStatus, SharePiece, CHUNK, FORMAT, INBOX, JOBS,
    PAGES, SHARES,
};
use crate::{Outcome, Peer};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Format,
    Pages,
    Jobs,
    Shares,
    Inbox,
}

#[derive(Default)]
pub(crate) struct Restore {
    phase: Phase,
    since: Option<String>,
    /// Revision from which on the inbox has to be watched.
    rev: Option<u64>,
    aborted: BTreeMap<String, (JobRecord, u64)>,
    retry_ms: Option<u64>,
    broken: BTreeSet<String>,
    /// Shares that stand in their jobs' own records or pages, until all jobs are read.
    inline: Vec<(String, SharePiece, u64, Option<u64>)>,
    /// Jobs in pages, as long as no record of their own has been read.
    paged: BTreeMap<String, (u64, JobRecord)>,
    /// Shares some of whose pieces have not been read yet.
    partial: BTreeMap<JobIx, BTreeMap<u32, GatheredShare>>,
}

/// Joins what was read of a share with what was read of it before.
fn gather(shares: &mut BTreeMap<u32, GatheredShare>, chunk: u32, share: GatheredShare) -> bool {
    use std::collections::btree_map::Entry;
    match shares.entry(chunk) {
        Entry::Vacant(e) => {
            e.insert(share);
            true
        }
        Entry::Occupied(mut e) => e.get_mut().join(share),
    }
}

/// Items asked for at a time.
const PAGE: u32 = 500;

impl Controller {
    pub(crate) fn start_restore(&mut self) {
        self.restore = Restore::default();
        self.restore_next();
        self.list_machines(None);
    }

    fn restore_next(&mut self) {
        let prefix = match self.restore.phase {
            Phase::Format => FORMAT,
            Phase::Pages => PAGES,
            Phase::Jobs => JOBS,
            Phase::Shares => SHARES,
            Phase::Inbox => INBOX,
        };
        let mut target = format!("/keys?starts={prefix}&most={PAGE}");
        if let Some(since) = &self.restore.since {
            target.push_str(&format!("&since={since}"));
        }
        let pending = Pending::Restore { epoch: self.epoch() };
        let timeout = 3 * self.cfg.state_timeout_ms();
        self.call(Peer::State, "GET", target, Vec::new(), timeout, pending);
    }

    pub(crate) fn tick_restore(&mut self) {
        let now = self.now.steady_ms;
        if self.member.role == Role::Restoring && self.restore.retry_ms.is_some_and(|r| now >= r) {
            self.restore.retry_ms = None;
            self.restore_next();
        }
    }

    pub(crate) fn on_restore(&mut self, outcome: Outcome) {
        if self.member.role != Role::Restoring {
            return;
        }
        let sent = self.now.steady_ms;
        let list = match outcome {
            Outcome::Answer(r) if r.status == 200 => from_cbor::<PairList>(&r.body).ok(),
            _ => None,
        };
        let Some(list) = list else {
            self.restore.retry_ms = Some(sent + self.cfg.renew_every_ms() / 2);
            return;
        };
        self.state_answered();
        // Under this view nobody else can change the format: what stands now stands.
        if self.restore.phase == Phase::Format {
            self.see_format(&list.pairs);
            if self.foreign_format() {
                return self.role_to(Role::Follower);
            }
        }
        let read_from = *self.restore.rev.get_or_insert(list.ledger_rev);
        let last = list.pairs.last().map(|p| p.path.clone());
        let phase = self.restore.phase;
        let mut shares = std::mem::take(&mut self.restore.partial);
        for pair in list.pairs {
            match phase {
                Phase::Format => {}
                Phase::Pages => self.restore_page(&pair),
                Phase::Jobs => {
                    let id = pair.path.trim_start_matches(JOBS).to_string();
                    match decode::<JobRecord>(&pair.value) {
                        Some(mut record) => {
                            let paged = self.restore.paged.remove(&id);
                            let mut share = record.share.take().map(|s| (s, None));
                            // A cancelled job's page goes on saying where its tasks may be.
                            if record.status == RecordedStatus::Aborted && record.spec.is_some() {
                                let told = paged.and_then(|(n, r)| Some((r.share?, Some(n))));
                                share = told.or(share);
                            }
                            let share = share.map(|(s, n)| (id.clone(), s, pair.stamp, n));
                            self.restore.inline.extend(share);
                            self.restore_job(id, record, pair.stamp)
                        }
                        None => {
                            tracing::error!(job = %id, "the job's record can't be read; it is left alone");
                            self.restore.broken.insert(id);
                        }
                    }
                }
                Phase::Shares => {
                    let Some((id, chunk)) = parse_share_key(&pair.path) else { continue };
                    if self.restore.broken.contains(id) {
                        continue;
                    }
                    let Some(ix) = self.share_job(id) else {
                        // Its job has ended: only the room it takes up matters.
                        self.store.remove(pair.path);
                        continue;
                    };
                    let read = read_share(&pair.path, &pair.value, pair.stamp);
                    if !read.is_some_and(|s| gather(shares.entry(ix).or_default(), chunk, s)) {
                        self.broken_share(ix, &pair.path);
                    }
                }
                // What was noted while we read comes by the watch, and goes then.
                Phase::Inbox if pair.stamp > read_from => {}
                Phase::Inbox => self.store.remove_note(pair.path, pair.stamp),
            }
        }
        for (ix, chunks) in shares {
            let (whole, partial): (BTreeMap<_, _>, BTreeMap<_, _>) =
                chunks.into_iter().partition(|(_, s)| s.whole());
            self.load_chunks(ix, whole);
            if !partial.is_empty() {
                self.restore.partial.insert(ix, partial);
            }
        }
        if list.more && last.is_some() {
            self.restore.since = last;
            return self.restore_next();
        }
        self.restore.since = None;
        self.restore.phase = match phase {
            // Before the jobs' own records, which go ahead of what pages say.
            Phase::Format if self.has(Feature::BatchRecords) => Phase::Pages,
            Phase::Format | Phase::Pages => Phase::Jobs,
            Phase::Jobs => {
                self.restore_paged();
                // All ends are known now: what waits for what can be told.
                for ix in self.jobs.indexes() {
                    self.link(ix);
                }
                for (id, piece, stamp, page) in std::mem::take(&mut self.restore.inline) {
                    let Some(ix) = self.share_job(&id) else { continue };
                    if let (Some(n), Some(j)) = (page, self.jobs.get_mut(ix)) {
                        j.page = Some(n);
                        self.pages.join(n, ix);
                    }
                    self.load_inline(ix, &piece, stamp);
                }
                self.tidy_pages();
                Phase::Shares
            }
            Phase::Shares => {
                for (ix, chunks) in std::mem::take(&mut self.restore.partial) {
                    for chunk in chunks.into_keys() {
                        let key = self.jobs.get(ix).map(|j| share_key(&j.id, chunk));
                        self.broken_share(ix, &key.unwrap_or_default());
                    }
                }
                Phase::Inbox
            }
            Phase::Inbox => return self.restored(),
        };
        if !self.in_doubt() {
            self.retry_held();
        }
        self.restore_next();
    }

    fn restore_page(&mut self, pair: &Pair) {
        let Some(number) = page_number(&pair.path) else { return };
        self.pages.restore(number, pair.stamp);
        let Some(page) = decode::<PageRecord>(&pair.value) else {
            tracing::error!(number, "a page can't be read; its jobs are left alone");
            return self.pages.seal(number, None);
        };
        for id in page.ids() {
            match page.get(id) {
                Some(record) => drop(self.restore.paged.insert(id.clone(), (number, record))),
                None => {
                    tracing::error!(job = %id, number, "the job can't be read in its page; it is left alone");
                    self.pages.seal(number, Some(id.clone()));
                }
            }
        }
    }

    /// Jobs that have no record of their own: their pages say all of them.
    fn restore_paged(&mut self) {
        for (id, (number, mut record)) in std::mem::take(&mut self.restore.paged) {
            let share = record.share.take();
            let Some(ix) = self.insert_recorded(record, 0) else {
                self.pages.seal(number, Some(id));
                continue;
            };
            self.pages.join(number, ix);
            if let Some(j) = self.jobs.get_mut(ix) {
                j.page = Some(number);
            }
            self.store.touch_job(ix);
            self.restore.inline.extend(share.map(|s| (id, s, 0, Some(number))));
        }
    }

    fn load_inline(&mut self, ix: JobIx, piece: &SharePiece, stamp: u64) {
        match open_inline(piece, stamp) {
            Some(share) => {
                self.load_chunk(ix, 0, share);
                // What stands in a page does not stand in a record of its own.
                if let Some(j) = self.jobs.get_mut(ix).filter(|j| j.page.is_some()) {
                    j.chunks.values_mut().for_each(|c| c.inline = false);
                }
            }
            None => {
                let key = self.jobs.get(ix).map(|j| job_key(&j.id));
                self.broken_share(ix, &key.unwrap_or_default())
            }
        }
    }

    /// A share that can't be read, or lacks a piece: its job stops, and no other.
    fn broken_share(&mut self, ix: JobIx, key: &str) {
        tracing::error!(key, "a share can't be read; its job is left alone");
        self.job_to(ix, JobState::Unreadable);
    }

    fn restore_job(&mut self, id: String, record: JobRecord, stamp: u64) {
        match record.status {
            RecordedStatus::Live => {
                if let Some(ix) = self.insert_recorded(record, stamp) {
                    self.store.touch_job(ix);
                }
            }
            status => {
                self.learn_final(&id, status);
                if status == RecordedStatus::Aborted && record.spec.is_some() {
                    self.restore.aborted.insert(id, (record, stamp));
                }
            }
        }
    }

    /// The job in memory that a share belongs to; aborted ones come back for as long
    /// as a share says that a task of theirs may be on a machine.
    fn share_job(&mut self, id: &str) -> Option<JobIx> {
        if let Some(ix) = self.jobs.find(id) {
            return Some(ix);
        }
        let (record, stamp) = self.restore.aborted.remove(id)?;
        let ix = self.insert_recorded(record, stamp)?;
        if let Some(j) = self.jobs.get_mut(ix) {
            j.state = JobState::Aborted;
        }
        self.store.touch_job(ix);
        Some(ix)
    }

    fn insert_recorded(&mut self, record: JobRecord, stamp: u64) -> Option<JobIx> {
        let spec = record.spec?;
        let Some(team) = self.cfg.team(&spec.team) else {
            tracing::error!(job = %spec.id, team = %spec.team, "its team is no longer in the settings; it waits");
            return None;
        };
        let mut job = self.new_job(spec, team, JobState::Live, stamp, record.at_ms);
        job.done =
            record.done_chunks.iter().flat_map(|(a, b)| *a..=*b).map(|c| job.chunk_len(c)).sum();
        job.done_chunks = record.done_chunks;
        let proven = job.done > 0;
        let ix = self.jobs.insert(job);
        if proven {
            self.trust_to(ix, Trust::Proven);
        }
        Some(ix)
    }

    /// Takes a share into memory. Every machine that it names may hold the task,
    /// unless this owner wrote it and so knows better.
    pub(crate) fn load_chunk(&mut self, ix: JobIx, chunk: u32, share: GatheredShare) {
        let GatheredShare { record, stamp, of, inline, .. } = share;
        let own = record.epoch == self.epoch();
        let Some(job) = self.jobs.get(ix) else { return };
        if chunk >= job.chunk_count() || job.chunks.contains_key(&chunk) {
            return;
        }
        // Folded into the job's record already: counted once, and cleared away.
        if job.in_done_chunk(chunk * CHUNK) {
            let paths: Vec<String> = piece_keys(&job.id, chunk, of).collect();
            return paths.into_iter().for_each(|p| self.store.remove(p));
        }
        let (len, zone_rule) = (job.chunk_len(chunk), job.spec.together);
        let mut fresh = self.new_chunk(len);
        (fresh.version, fresh.acked, fresh.inline) = (0, 0, inline);
        (fresh.stamp, fresh.pieces) = if inline { (0, 0) } else { (stamp, of) };
        let machines: Vec<MachineIx> = record.machines.iter().map(|n| self.machine(n)).collect();
        let zones = self.cfg.platform.params.zones.clone();
        let zone_of = |i: u32| {
            let name = record.zones.get(i as usize)?;
            zones.iter().position(|z| z == name).map(|z| z as u16)
        };
        let first = chunk * CHUNK;
        for (i, t) in fresh.tasks.iter_mut().enumerate() {
            t.zone = zone_of(i as u32);
        }
        let zone = fresh.tasks.iter().find_map(|t| t.zone);
        let Some(job) = self.jobs.get_mut(ix) else { return };
        job.chunks.insert(chunk, fresh);
        if zone_rule {
            job.zone = job.zone.or(zone);
        }
        for (a, b) in &record.done {
            for n in (*a).max(first)..=(*b).min(first + len - 1) {
                self.task_to(TaskKey { job: ix, task: n }, TaskState::Done { version: 0 });
            }
        }
        for set in &record.sets {
            for n in set.from.max(first)..=set.to.min(first + len - 1) {
                let key = TaskKey { job: ix, task: n };
                let probes: Vec<Probe> = set
                    .machines
                    .iter()
                    .filter_map(|at| machines.get(*at as usize))
                    .map(|&machine| Probe { machine, version: 0, unproven: !own })
                    .collect();
                for p in probes.iter().filter(|p| p.unproven) {
                    if let Some(m) = self.machines.get_mut(p.machine) {
                        m.unproven.push(key);
                    }
                }
                let state =
                    if own || probes.is_empty() { TaskState::Waiting } else { TaskState::Unproven };
                if let Some(t) = self.jobs.task_mut(key) {
                    t.probes = probes;
                }
                let aborted = self.jobs.get(ix).is_some_and(|j| j.state == JobState::Aborted);
                let state = match state {
                    TaskState::Waiting if aborted => TaskState::Dropped,
                    s => s,
                };
                self.task_to(key, state);
            }
        }
        if let Some(job) = self.jobs.get_mut(ix) {
            job.next = 0;
        }
    }

    fn restored(&mut self) {
        let rev = self.restore.rev.unwrap_or(0);
        self.inbox_from(rev);
        self.role_to(Role::Leading);
        // Jobs of which nothing was dealt yet, and ends that were not recorded.
        for ix in self.jobs.indexes() {
            self.store.touch_job(ix);
            self.heed_known_end(ix);
        }
        for ix in self.machines.indexes() {
            self.settle(ix);
            let Some(m) = self.machines.get(ix) else { continue };
            if m.state == MachineState::Unheard && m.addr.is_some() {
                self.inspect(ix);
            }
        }
        self.deal_due = true;
        self.watch_inbox();
    }

    /// Its end may have been learnt before its record came, which was read before that end.
    fn heed_known_end(&mut self, ix: JobIx) {
        let Some(job) = self.jobs.get(ix).filter(|j| j.state.lives()) else { return };
        let id = job.id.clone();
        match self.finals.get(&id) {
            Some(RecordedStatus::Aborted) => self.abort_stands(&id),
            Some(_) => self.restamp_job(ix),
            None => {}
        }
    }

    /// Asks a machine that we know the address of for its report.
    pub(crate) fn inspect(&mut self, ix: MachineIx) {
        let Some(m) = self.machines.get_mut(ix) else { return };
        let Some(addr) = m.addr else { return };
        m.probed_ms = self.now.steady_ms;
        let pending = Pending::Inspect { machine: ix, epoch: self.epoch() };
        let timeout = self.cfg.worker_timeout_ms();
        self.call(Peer::Worker(addr), "GET", "/inspect".into(), Vec::new(), timeout, pending);
    }

    pub(crate) fn on_inspect(&mut self, ix: MachineIx, outcome: Outcome) {
        let Outcome::Answer(r) = outcome else { return };
        let Some(m) = self.machines.get(ix) else { return };
        let Ok(report) = from_cbor::<Report>(&r.body) else { return };
        if r.status == 200 && sane(&report) && report.machine == m.name {
            self.answered_call(ix, report);
            self.needs_orders.insert(ix);
        }
    }

    /// A job that stands on record and is not in memory.
    pub(crate) fn adopt(&mut self, id: &str, record: JobRecord, stamp: u64) -> Option<JobIx> {
        if !self.leads() {
            return None;
        }
        if let Some(ix) = self.jobs.find(id) {
            return Some(ix);
        }
        // The record may have been read before the end that we have seen meanwhile.
        if record.status != RecordedStatus::Live || self.finals.get(id).is_some() {
            return None;
        }
        // All that stands in pages is in memory, or being recorded.
        if stamp == 0 {
            return None;
        }
        let mut record = record;
        let share = record.share.take();
        let ix = self.insert_recorded(record, stamp)?;
        tracing::info!(job = %id, "found on record");
        // Its shares, if there are any, were written by us and never acted on.
        if let Some(j) = self.jobs.get_mut(ix) {
            (j.state, j.busy) = (JobState::Recording, true);
        }
        self.link(ix);
        if let Some(piece) = share {
            self.load_inline(ix, &piece, stamp);
        }
        self.read_shares(ix);
        Some(ix)
    }

    fn read_shares(&mut self, ix: JobIx) {
        let Some(j) = self.jobs.get(ix) else { return };
        let target = format!("/keys?starts={SHARES}{}/&most={PAGE}", j.id);
        let pending = Pending::Adopt { job: ix, epoch: self.epoch() };
        self.state_call("GET", target, Vec::new(), pending);
    }

    pub(crate) fn on_adopt(&mut self, ix: JobIx, outcome: Outcome) {
        let list = match outcome {
            Outcome::Answer(r) if r.status == 200 => from_cbor::<PairList>(&r.body).ok(),
            _ => None,
        };
        let Some(list) = list else {
            // It is found again by its next poll or retry.
            return self.drop_job(ix);
        };
        self.state_answered();
        let mut shares = BTreeMap::new();
        for pair in list.pairs {
            let Some((_, chunk)) = parse_share_key(&pair.path) else { continue };
            let read = read_share(&pair.path, &pair.value, pair.stamp);
            if !read.is_some_and(|s| gather(&mut shares, chunk, s)) {
                return self.broken_share(ix, &pair.path);
            }
        }
        if let Some((chunk, _)) = shares.iter().find(|(_, s)| !s.whole()) {
            let key = self.jobs.get(ix).map(|j| share_key(&j.id, *chunk));
            return self.broken_share(ix, &key.unwrap_or_default());
        }
        self.load_chunks(ix, shares);
        if let Some(j) = self.jobs.get_mut(ix) {
            j.busy = false;
        }
        self.job_to(ix, JobState::Live);
        self.store.touch_job(ix);
        self.deal_due = true;
    }

    /// A job recorded past the leader, or one whose acceptance got no answer.
    pub(crate) fn on_inbox_read(&mut self, job: String, outcome: Outcome) {
        match self.read_outcome(outcome) {
            Ok(Some(pair)) => match decode::<JobRecord>(&pair.value) {
                Some(record) => {
                    self.adopt(&job, record, pair.stamp);
                }
                None => {
                    tracing::error!(job = %job, "the job's record can't be read; it is left alone")
                }
            },
            Ok(None) => {}
            Err(()) => self.inbox_again.push(job),
        }
    }

    /// The write that accepts a job got no answer. Should it stand, now or later, others may tell
    /// that the job is accepted, and it has to run: it is looked for, for as long as the horizon.
    pub(crate) fn doubt_acceptance(&mut self, job: String) {
        let until = self.now.steady_ms + self.cfg.horizon_ms();
        if self.doubted.len() < self.cfg.max_indeterminate_submissions() {
            self.doubted.insert(job, until);
        }
    }

    fn look_for_doubted(&mut self) {
        let now = self.now.steady_ms;
        let (jobs, finals) = (&self.jobs, &self.finals);
        self.doubted.retain(|job, until| {
            now < *until && jobs.find(job).is_none() && finals.get(job).is_none()
        });
        for job in self.doubted.keys().cloned().collect::<Vec<_>>() {
            if !self.may_read_to_tell() {
                return;
            }
            let target = format!("/keys/{}", job_key(&job));
            let pending = Pending::InboxRead { job, epoch: self.epoch() };
            self.state_call("GET", target, Vec::new(), pending);
        }
    }

    pub(crate) fn retry_inbox(&mut self) {
        self.look_for_doubted();
        for job in std::mem::take(&mut self.inbox_again) {
            let target = format!("/keys/{}", job_key(&job));
            let pending = Pending::InboxRead { job, epoch: self.epoch() };
            self.state_call("GET", target, Vec::new(), pending);
        }
    }
}
