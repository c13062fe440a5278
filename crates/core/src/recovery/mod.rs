//! A new leader's memory: made from the records, then proven by the machines.

use std::collections::{BTreeMap, BTreeSet};

use quartzgate_feature_gates::Feature;
use quartzgate_wire::from_cbor;
use quartzgate_wire::msg::{Heartbeat, KeyValue, KeyValueList};

use crate::controller::{Controller, InFlight};
use crate::fleet::fault_attribution::JobHealth;
use crate::fleet::machines::{is_plausible, MachineState};
use crate::ids::{JobIndex, MachineIndex, TaskKey};
use crate::jobs::{JobState, Probe, TaskState};
use crate::membership::Role;
use crate::storage::records::{
    batch_number, decode, job_key, open_inline, parse_placement_key, piece_keys, placement_key,
    read_placement, AssembledPlacement, BatchRecord, JobRecord, PlacementPiece, RecordedStatus,
    BATCH_PREFIX, FORMAT_KEY, HANDOFF_PREFIX, JOB_PREFIX, PLACEMENT_PREFIX, TASKS_PER_CHUNK,
};
use crate::{Outcome, Peer};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Format,
    JobBatches,
    Jobs,
    Shares,
    Inbox,
}

#[derive(Default)]
pub(crate) struct Recovery {
    phase: Phase,
    since: Option<String>,
    /// Revision from which on the inbox has to be watched.
    rev: Option<u64>,
    aborted: BTreeMap<String, (JobRecord, u64)>,
    retry_ms: Option<u64>,
    broken: BTreeSet<String>,
    /// Shares that stand in their jobs' own records or pages, until all jobs are read.
    inline: Vec<(String, PlacementPiece, u64, Option<u64>)>,
    /// Jobs in pages, as long as no record of their own has been read.
    paged: BTreeMap<String, (u64, JobRecord)>,
    /// Shares some of whose pieces have not been read yet.
    partial: BTreeMap<JobIndex, BTreeMap<u32, AssembledPlacement>>,
}

/// Joins what was read of a share with what was read of it before.
fn gather(
    shares: &mut BTreeMap<u32, AssembledPlacement>,
    chunk: u32,
    share: AssembledPlacement,
) -> bool {
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
    pub(crate) fn start_recovery(&mut self) {
        self.recovery = Recovery::default();
        self.read_next_recovery_page();
        self.list_machines(None);
    }

    fn read_next_recovery_page(&mut self) {
        let prefix = match self.recovery.phase {
            Phase::Format => FORMAT_KEY,
            Phase::JobBatches => BATCH_PREFIX,
            Phase::Jobs => JOB_PREFIX,
            Phase::Shares => PLACEMENT_PREFIX,
            Phase::Inbox => HANDOFF_PREFIX,
        };
        let mut target = format!("/keys?starts={prefix}&most={PAGE}");
        if let Some(since) = &self.recovery.since {
            target.push_str(&format!("&since={since}"));
        }
        let pending = InFlight::Recovery { epoch: self.epoch() };
        let timeout = 3 * self.context.config.store_timeout_ms();
        self.call(Peer::State, "GET", target, Vec::new(), timeout, pending);
    }

    pub(crate) fn tick_recovery(&mut self) {
        let now = self.context.now.steady_ms;
        if self.membership.role() == Role::Recovering
            && self.recovery.retry_ms.is_some_and(|r| now >= r)
        {
            self.recovery.retry_ms = None;
            self.read_next_recovery_page();
        }
    }

    pub(crate) fn on_recovery_list(&mut self, outcome: Outcome) {
        if self.membership.role() != Role::Recovering {
            return;
        }
        let sent = self.context.now.steady_ms;
        let list = match outcome {
            Outcome::Answer(r) if r.status == 200 => from_cbor::<KeyValueList>(&r.body).ok(),
            _ => None,
        };
        let Some(list) = list else {
            self.recovery.retry_ms = Some(sent + self.context.config.lease_renewal_ms() / 2);
            return;
        };
        self.note_store_answer();
        // Under this view nobody else can change the format: what stands now stands.
        if self.recovery.phase == Phase::Format {
            self.see_format(&list.pairs);
            if self.foreign_format() {
                return self.set_role(Role::Follower);
            }
        }
        let read_from = *self.recovery.rev.get_or_insert(list.store_revision);
        let last = list.pairs.last().map(|p| p.path.clone());
        let phase = self.recovery.phase;
        let mut shares = std::mem::take(&mut self.recovery.partial);
        for pair in list.pairs {
            match phase {
                Phase::Format => {}
                Phase::JobBatches => self.restore_page(&pair),
                Phase::Jobs => {
                    let id = pair.path.trim_start_matches(JOB_PREFIX).to_string();
                    match decode::<JobRecord>(&pair.value) {
                        Some(mut record) => {
                            let paged = self.recovery.paged.remove(&id);
                            let mut share = record.share.take().map(|s| (s, None));
                            // A cancelled job's page goes on saying where its tasks may be.
                            if record.status == RecordedStatus::Aborted && record.spec.is_some() {
                                let told = paged.and_then(|(n, r)| Some((r.share?, Some(n))));
                                share = told.or(share);
                            }
                            let share = share.map(|(s, n)| (id.clone(), s, pair.revision, n));
                            self.recovery.inline.extend(share);
                            self.restore_job(id, record, pair.revision)
                        }
                        None => {
                            tracing::error!(job = %id, "the job's record can't be read; it is left alone");
                            self.recovery.broken.insert(id);
                        }
                    }
                }
                Phase::Shares => {
                    let Some((id, chunk)) = parse_placement_key(&pair.path) else { continue };
                    if self.recovery.broken.contains(id) {
                        continue;
                    }
                    let Some(ix) = self.job_of_placement(id) else {
                        // Its job has ended: only the room it takes up matters.
                        self.record_writer.remove(pair.path);
                        continue;
                    };
                    let read = read_placement(&pair.path, &pair.value, pair.revision);
                    if !read.is_some_and(|s| gather(shares.entry(ix).or_default(), chunk, s)) {
                        self.on_unreadable_placement(ix, &pair.path);
                    }
                }
                // What was noted while we read comes by the watch, and goes then.
                Phase::Inbox if pair.revision > read_from => {}
                Phase::Inbox => self.record_writer.remove_note(pair.path, pair.revision),
            }
        }
        for (ix, chunks) in shares {
            let (whole, partial): (BTreeMap<_, _>, BTreeMap<_, _>) =
                chunks.into_iter().partition(|(_, s)| s.whole());
            self.load_chunks(ix, whole);
            if !partial.is_empty() {
                self.recovery.partial.insert(ix, partial);
            }
        }
        if list.more && last.is_some() {
            self.recovery.since = last;
            return self.read_next_recovery_page();
        }
        self.recovery.since = None;
        self.recovery.phase = match phase {
            // Before the jobs' own records, which go ahead of what pages say.
            Phase::Format if self.has(Feature::BatchRecords) => Phase::JobBatches,
            Phase::Format | Phase::JobBatches => Phase::Jobs,
            Phase::Jobs => {
                self.restore_paged();
                // All ends are known now: what waits for what can be told.
                for ix in self.jobs.indexes() {
                    self.link(ix);
                }
                for (id, piece, revision, page) in std::mem::take(&mut self.recovery.inline) {
                    let Some(ix) = self.job_of_placement(&id) else { continue };
                    if let (Some(n), Some(j)) = (page, self.jobs.get_mut(ix)) {
                        j.page = Some(n);
                        self.job_batches.join(n, ix);
                    }
                    self.load_inline(ix, &piece, revision);
                }
                self.delete_empty_batches();
                Phase::Shares
            }
            Phase::Shares => {
                for (ix, chunks) in std::mem::take(&mut self.recovery.partial) {
                    for chunk in chunks.into_keys() {
                        let key = self.jobs.get(ix).map(|j| placement_key(&j.id, chunk));
                        self.on_unreadable_placement(ix, &key.unwrap_or_default());
                    }
                }
                Phase::Inbox
            }
            Phase::Inbox => return self.finish_recovery(),
        };
        if !self.leadership_unverified() {
            self.retry_held_heartbeats();
        }
        self.read_next_recovery_page();
    }

    fn restore_page(&mut self, pair: &KeyValue) {
        let Some(number) = batch_number(&pair.path) else { return };
        self.job_batches.restore(number, pair.revision);
        let Some(page) = decode::<BatchRecord>(&pair.value) else {
            tracing::error!(number, "a page can't be read; its jobs are left alone");
            return self.job_batches.seal(number, None);
        };
        for id in page.ids() {
            match page.get(id) {
                Some(record) => drop(self.recovery.paged.insert(id.clone(), (number, record))),
                None => {
                    tracing::error!(job = %id, number, "the job can't be read in its page; it is left alone");
                    self.job_batches.seal(number, Some(id.clone()));
                }
            }
        }
    }

    /// Jobs that have no record of their own: their pages say all of them.
    fn restore_paged(&mut self) {
        for (id, (number, mut record)) in std::mem::take(&mut self.recovery.paged) {
            let share = record.share.take();
            let Some(ix) = self.insert_recorded(record, 0) else {
                self.job_batches.seal(number, Some(id));
                continue;
            };
            self.job_batches.join(number, ix);
            if let Some(j) = self.jobs.get_mut(ix) {
                j.page = Some(number);
            }
            self.record_writer.touch_job(ix);
            self.recovery.inline.extend(share.map(|s| (id, s, 0, Some(number))));
        }
    }

    fn load_inline(&mut self, ix: JobIndex, piece: &PlacementPiece, revision: u64) {
        match open_inline(piece, revision) {
            Some(share) => {
                self.load_chunk(ix, 0, share);
                // What stands in a page does not stand in a record of its own.
                if let Some(j) = self.jobs.get_mut(ix).filter(|j| j.page.is_some()) {
                    j.chunks.values_mut().for_each(|c| c.inline = false);
                }
            }
            None => {
                let key = self.jobs.get(ix).map(|j| job_key(&j.id));
                self.on_unreadable_placement(ix, &key.unwrap_or_default())
            }
        }
    }

    /// A share that can't be read, or lacks a piece: its job stops, and no other.
    fn on_unreadable_placement(&mut self, ix: JobIndex, key: &str) {
        tracing::error!(key, "a share can't be read; its job is left alone");
        self.set_job_state(ix, JobState::Unreadable);
    }

    fn restore_job(&mut self, id: String, record: JobRecord, revision: u64) {
        match record.status {
            RecordedStatus::Live => {
                if let Some(ix) = self.insert_recorded(record, revision) {
                    self.record_writer.touch_job(ix);
                }
            }
            status => {
                self.learn_terminal_state(&id, status);
                if status == RecordedStatus::Aborted && record.spec.is_some() {
                    self.recovery.aborted.insert(id, (record, revision));
                }
            }
        }
    }

    /// The job in memory that a share belongs to; aborted ones come back for as long
    /// as a share says that a task of theirs may be on a machine.
    fn job_of_placement(&mut self, id: &str) -> Option<JobIndex> {
        if let Some(ix) = self.jobs.find(id) {
            return Some(ix);
        }
        let (record, revision) = self.recovery.aborted.remove(id)?;
        let ix = self.insert_recorded(record, revision)?;
        if let Some(j) = self.jobs.get_mut(ix) {
            j.state = JobState::Aborted;
        }
        self.record_writer.touch_job(ix);
        Some(ix)
    }

    fn insert_recorded(&mut self, record: JobRecord, revision: u64) -> Option<JobIndex> {
        let spec = record.spec?;
        let Some(team) = self.context.config.team(&spec.team) else {
            tracing::error!(job = %spec.id, team = %spec.team, "its team is no longer in the settings; it waits");
            return None;
        };
        let mut job = self.new_job(spec, team, JobState::Live, revision, record.at_ms);
        job.done =
            record.done_chunks.iter().flat_map(|(a, b)| *a..=*b).map(|c| job.chunk_len(c)).sum();
        job.done_chunks = record.done_chunks;
        let proven = job.done > 0;
        let ix = self.jobs.insert(job);
        if proven {
            self.set_job_health(ix, JobHealth::Proven);
        }
        Some(ix)
    }

    /// Takes a share into memory. Every machine that it names may hold the task,
    /// unless this owner wrote it and so knows better.
    pub(crate) fn load_chunk(&mut self, ix: JobIndex, chunk: u32, share: AssembledPlacement) {
        let AssembledPlacement { record, revision, of, inline, .. } = share;
        let own = record.epoch == self.epoch();
        let Some(job) = self.jobs.get(ix) else { return };
        if chunk >= job.chunk_count() || job.chunks.contains_key(&chunk) {
            return;
        }
        // Folded into the job's record already: counted once, and cleared away.
        if job.in_done_chunk(chunk * TASKS_PER_CHUNK) {
            let paths: Vec<String> = piece_keys(&job.id, chunk, of).collect();
            return paths.into_iter().for_each(|p| self.record_writer.remove(p));
        }
        let (len, zone_rule) = (job.chunk_len(chunk), job.spec.together);
        let mut fresh = self.new_chunk(len);
        (fresh.version, fresh.acked, fresh.inline) = (0, 0, inline);
        (fresh.revision, fresh.pieces) = if inline { (0, 0) } else { (revision, of) };
        let machines: Vec<MachineIndex> = record.machines.iter().map(|n| self.machine(n)).collect();
        let zones = self.context.config.platform.params.zones.clone();
        let zone_of = |i: u32| {
            let name = record.zones.get(i as usize)?;
            zones.iter().position(|z| z == name).map(|z| z as u16)
        };
        let first = chunk * TASKS_PER_CHUNK;
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
                self.set_task_state(TaskKey { job: ix, task: n }, TaskState::Done { version: 0 });
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
                self.set_task_state(key, state);
            }
        }
        if let Some(job) = self.jobs.get_mut(ix) {
            job.next = 0;
        }
    }

    fn finish_recovery(&mut self) {
        let rev = self.recovery.rev.unwrap_or(0);
        self.watch_handoff_from(rev);
        self.set_role(Role::Leader);
        // Jobs of which nothing was dealt yet, and ends that were not recorded.
        for ix in self.jobs.indexes() {
            self.record_writer.touch_job(ix);
            self.apply_known_terminal_state(ix);
        }
        for ix in self.machines.indexes() {
            self.settle(ix);
            let Some(m) = self.machines.get(ix) else { continue };
            if m.state == MachineState::Provisioning && m.addr.is_some() {
                self.inspect(ix);
            }
        }
        self.placement_due = true;
        self.watch_handoff_queue();
    }

    /// Its end may have been learnt before its record came, which was read before that end.
    fn apply_known_terminal_state(&mut self, ix: JobIndex) {
        let Some(job) = self.jobs.get(ix).filter(|j| j.state.lives()) else { return };
        let id = job.id.clone();
        match self.terminal_jobs.get(&id) {
            Some(RecordedStatus::Aborted) => self.on_abort_recorded(&id),
            Some(_) => self.reread_job(ix),
            None => {}
        }
    }

    /// Asks a machine that we know the address of for its report.
    pub(crate) fn inspect(&mut self, ix: MachineIndex) {
        let Some(m) = self.machines.get_mut(ix) else { return };
        let Some(addr) = m.addr else { return };
        m.probed_ms = self.context.now.steady_ms;
        let pending = InFlight::Inspect { machine: ix, epoch: self.epoch() };
        let timeout = self.context.config.worker_timeout_ms();
        self.call(Peer::Worker(addr), "GET", "/inspect".into(), Vec::new(), timeout, pending);
    }

    pub(crate) fn on_inspect(&mut self, ix: MachineIndex, outcome: Outcome) {
        let Outcome::Answer(r) = outcome else { return };
        let Some(m) = self.machines.get(ix) else { return };
        let Ok(report) = from_cbor::<Heartbeat>(&r.body) else { return };
        if r.status == 200 && is_plausible(&report) && report.machine == m.name {
            self.observe_reply(ix, report);
            self.machines_to_command.insert(ix);
        }
    }

    /// A job that stands on record and is not in memory.
    pub(crate) fn adopt(&mut self, id: &str, record: JobRecord, revision: u64) -> Option<JobIndex> {
        if !self.leads() {
            return None;
        }
        if let Some(ix) = self.jobs.find(id) {
            return Some(ix);
        }
        // The record may have been read before the end that we have seen meanwhile.
        if record.status != RecordedStatus::Live || self.terminal_jobs.get(id).is_some() {
            return None;
        }
        // All that stands in pages is in memory, or being recorded.
        if revision == 0 {
            return None;
        }
        let mut record = record;
        let share = record.share.take();
        let ix = self.insert_recorded(record, revision)?;
        tracing::info!(job = %id, "found on record");
        // Its shares, if there are any, were written by us and never acted on.
        if let Some(j) = self.jobs.get_mut(ix) {
            (j.state, j.busy) = (JobState::Recording, true);
        }
        self.link(ix);
        if let Some(piece) = share {
            self.load_inline(ix, &piece, revision);
        }
        self.read_placements(ix);
        Some(ix)
    }

    fn read_placements(&mut self, ix: JobIndex) {
        let Some(j) = self.jobs.get(ix) else { return };
        let target = format!("/keys?starts={PLACEMENT_PREFIX}{}/&most={PAGE}", j.id);
        let pending = InFlight::Adopt { job: ix, epoch: self.epoch() };
        self.call_store("GET", target, Vec::new(), pending);
    }

    pub(crate) fn on_adopt(&mut self, ix: JobIndex, outcome: Outcome) {
        let list = match outcome {
            Outcome::Answer(r) if r.status == 200 => from_cbor::<KeyValueList>(&r.body).ok(),
            _ => None,
        };
        let Some(list) = list else {
            // It is found again by its next poll or retry.
            return self.drop_job(ix);
        };
        self.note_store_answer();
        let mut shares = BTreeMap::new();
        for pair in list.pairs {
            let Some((_, chunk)) = parse_placement_key(&pair.path) else { continue };
            let read = read_placement(&pair.path, &pair.value, pair.revision);
            if !read.is_some_and(|s| gather(&mut shares, chunk, s)) {
                return self.on_unreadable_placement(ix, &pair.path);
            }
        }
        if let Some((chunk, _)) = shares.iter().find(|(_, s)| !s.whole()) {
            let key = self.jobs.get(ix).map(|j| placement_key(&j.id, *chunk));
            return self.on_unreadable_placement(ix, &key.unwrap_or_default());
        }
        self.load_chunks(ix, shares);
        if let Some(j) = self.jobs.get_mut(ix) {
            j.busy = false;
        }
        self.set_job_state(ix, JobState::Live);
        self.record_writer.touch_job(ix);
        self.placement_due = true;
    }

    /// A job recorded past the leader, or one whose acceptance got no answer.
    pub(crate) fn on_handoff_job_read(&mut self, job: String, outcome: Outcome) {
        match self.read_outcome(outcome) {
            Ok(Some(pair)) => match decode::<JobRecord>(&pair.value) {
                Some(record) => {
                    self.adopt(&job, record, pair.revision);
                }
                None => {
                    tracing::error!(job = %job, "the job's record can't be read; it is left alone")
                }
            },
            Ok(None) => {}
            Err(()) => self.handoff_reads_to_retry.push(job),
        }
    }

    /// The write that accepts a job got no answer. Should it stand, now or later, others may tell
    /// that the job is accepted, and it has to run: it is looked for, for as long as the horizon.
    pub(crate) fn track_indeterminate_submission(&mut self, job: String) {
        let until = self.context.now.steady_ms + self.context.config.lease_bound_ms();
        if self.indeterminate_submissions.len()
            < self.context.config.max_indeterminate_submissions()
        {
            self.indeterminate_submissions.insert(job, until);
        }
    }

    fn read_indeterminate_submissions(&mut self) {
        let now = self.context.now.steady_ms;
        let (jobs, terminal_jobs) = (&self.jobs, &self.terminal_jobs);
        self.indeterminate_submissions.retain(|job, until| {
            now < *until && jobs.find(job).is_none() && terminal_jobs.get(job).is_none()
        });
        for job in self.indeterminate_submissions.keys().cloned().collect::<Vec<_>>() {
            if !self.may_read_for_status() {
                return;
            }
            let target = format!("/keys/{}", job_key(&job));
            let pending = InFlight::InboxRead { job, epoch: self.epoch() };
            self.call_store("GET", target, Vec::new(), pending);
        }
    }

    pub(crate) fn retry_handoff_reads(&mut self) {
        self.read_indeterminate_submissions();
        for job in std::mem::take(&mut self.handoff_reads_to_retry) {
            let target = format!("/keys/{}", job_key(&job));
            let pending = InFlight::InboxRead { job, epoch: self.epoch() };
            self.call_store("GET", target, Vec::new(), pending);
        }
    }
}
