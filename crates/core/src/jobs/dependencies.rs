//! Jobs that wait for other jobs.
//!
//! The leader's memory holds the graph of what still waits: which jobs in memory wait for
//! a job. An edge goes when the named job's end is known to be on record. A job is
//! `Waiting` while it has an edge left; it is cancelled as soon as a job before it is.
//!
//! Since nothing of a waiting job was ever dealt, that it is cancelled through another
//! follows from the records alone. Any controller can find it out by reading along the
//! chain (a *walk*), before anybody has written the end down.
//!
//! Deadline and priority flow backwards: a job counts as having the highest priority of
//! those that need it, and as due so long before them as what lies between takes.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{JobAnswer, JobKind, JobSpec, JobStatus, Priority};
use quartzgate_wire::to_cbor;

use crate::controller::{Controller, InFlight};
use crate::ids::JobIndex;
use crate::jobs::{Job, JobState};
use crate::storage::records::{decode, JobRecord, RecordedStatus};
use crate::{Outcome, RequestId};

impl Job {
    /// The priority with which it makes others stop: that of a job that needs it only
    /// once that one's deadline is in danger. Until then it goes first where room comes
    /// free, and nothing is lost for it.
    pub fn force(&self) -> Priority {
        match self.pressed {
            true => self.priority,
            false => self.spec.priority,
        }
    }

    /// The deadline that its own user set.
    pub fn own_due(&self) -> Option<Deadline> {
        let (class, at_ms) = (self.spec.class.clone(), self.at_ms);
        self.spec.deadline_s.map(|due_s| Deadline { class, at_ms, due_s, tail_s: 0.0 })
    }
}

/// A deadline that a job works towards: its own, or that of one that needs it.
#[derive(Clone, Debug, PartialEq)]
pub struct Deadline {
    /// Class of the job whose deadline it is, for which the operators have aims.
    pub class: String,
    /// When that job was submitted, and how long after that it is due.
    pub at_ms: u64,
    pub due_s: f64,
    /// What lies between this job's end and that job's, by all that is known.
    pub tail_s: f64,
}

impl Deadline {
    /// When the job that has it should be done, in milliseconds of the time of day.
    pub fn latest_ms(&self) -> f64 {
        self.at_ms as f64 + (self.due_s - self.tail_s) * 1000.0
    }
}

#[derive(Default)]
pub(crate) struct DependencyGraph {
    /// Jobs in memory that wait for a job, by its id.
    waiting: HashMap<String, BTreeSet<JobIndex>>,
    /// Named jobs of which memory knows nothing, and when each was last asked for.
    unknown: BTreeMap<String, u64>,
    /// Ends on record that the jobs behind them have not been told of.
    settled: VecDeque<(String, RecordedStatus)>,
    /// Jobs whose priority or deadline is another's.
    raised: BTreeSet<JobIndex>,
    /// The graph has changed since priorities and deadlines were worked out.
    changed: bool,
    worked_ms: u64,
    /// Requests that are answered by reading along a chain.
    walks: BTreeMap<RequestId, DependencyWalk>,
}

impl DependencyGraph {
    /// What the leader's memory held goes; requests still get their answers.
    pub fn forget_graph(&mut self) {
        let walks = std::mem::take(&mut self.walks);
        *self = DependencyGraph { walks, ..DependencyGraph::default() };
    }

    /// Whether any job in memory waits for this one.
    pub fn needed(&self, id: &str) -> bool {
        self.waiting.contains_key(id)
    }

    pub fn edges(&self) -> usize {
        self.waiting.values().map(BTreeSet::len).sum()
    }

    pub fn unknown(&self) -> usize {
        self.unknown.len()
    }
}

/// What a walk is for.
#[derive(Debug)]
enum Purpose {
    /// To tell how a job stands whose record is live.
    Tell(JobAnswer),
    /// To see that all jobs that a submission names were accepted.
    Admit(Box<JobSpec>),
}

#[derive(Debug)]
struct DependencyWalk {
    purpose: Purpose,
    /// Jobs that are still to be read, and those that were looked at.
    open: Vec<String>,
    seen: HashSet<String>,
    reading: usize,
    /// A job before it is not done; one is cancelled.
    waits: bool,
    cancelled: bool,
    until_ms: u64,
}

impl DependencyWalk {
    /// It is for a submission, which names this job itself.
    fn names(&self, id: &String) -> bool {
        matches!(&self.purpose, Purpose::Admit(spec) if spec.dependencies.contains(id))
    }
}

/// Reads of one walk that are under way at a time.
const WALK_READS: usize = 6;
/// What a name takes that a walk has seen.
const WALK_NAME_BYTES: usize = 64;
/// Unknown jobs that are asked for at a time.
const UNKNOWN_READS: usize = 20;

impl Controller {
    /// Enters a job's dependencies into the graph. What ended is known by its end on
    /// record; of what memory does not know, the record is read.
    pub(crate) fn link(&mut self, ix: JobIndex) {
        let Some(job) = self.jobs.get(ix) else { return };
        let named = job.spec.dependencies.clone();
        if named.is_empty() {
            return;
        }
        let mut cancelled = false;
        for id in named {
            match self.terminal_jobs.get(&id) {
                Some(RecordedStatus::Done) => {}
                Some(_) => cancelled = true,
                None => {
                    if self.jobs.find(&id).is_none() {
                        self.dependency_graph.unknown.entry(id.clone()).or_insert(0);
                    }
                    self.dependency_graph.waiting.entry(id.clone()).or_default().insert(ix);
                    if let Some(j) = self.jobs.get_mut(ix) {
                        j.waits_on.insert(id);
                    }
                }
            }
        }
        self.dependency_graph.changed = true;
        if cancelled {
            self.cancel_through(ix);
        } else if self.jobs.get(ix).is_some_and(|j| j.state == JobState::Live) {
            self.set_job_state(ix, JobState::Live);
        }
    }

    /// Takes a job that is over, or forgotten, out of the graph.
    pub(crate) fn unlink(&mut self, ix: JobIndex) {
        self.dependency_graph.raised.remove(&ix);
        let Some(job) = self.jobs.get_mut(ix) else { return };
        let id = job.id.clone();
        for dep in std::mem::take(&mut job.waits_on) {
            self.dependency_graph.changed = true;
            if let Some(set) = self.dependency_graph.waiting.get_mut(&dep) {
                set.remove(&ix);
                if set.is_empty() {
                    self.dependency_graph.waiting.remove(&dep);
                    self.dependency_graph.unknown.remove(&dep);
                }
            }
        }
        // Memory forgets a job that others wait for without knowing its end.
        if self.dependency_graph.needed(&id) && self.terminal_jobs.get(&id).is_none() {
            self.dependency_graph.unknown.insert(id, 0);
        }
    }

    /// An end that stands on record, whoever wrote it.
    pub(crate) fn learn_terminal_state(&mut self, id: &str, status: RecordedStatus) {
        self.terminal_jobs.insert(id.to_string(), status);
        if self.dependency_graph.needed(id) {
            self.dependency_graph.settled.push_back((id.to_string(), status));
        }
    }

    /// Tells the jobs behind those that have ended.
    pub(crate) fn settle_dependencies(&mut self) {
        while let Some((id, status)) = self.dependency_graph.settled.pop_front() {
            self.dependency_graph.unknown.remove(&id);
            let Some(unwritten_records) = self.dependency_graph.waiting.remove(&id) else {
                continue;
            };
            self.dependency_graph.changed = true;
            for ix in unwritten_records {
                let Some(job) = self.jobs.get_mut(ix) else { continue };
                job.waits_on.remove(&id);
                let ready = job.waits_on.is_empty() && job.state == JobState::Waiting;
                match status {
                    RecordedStatus::Done if ready => self.set_job_state(ix, JobState::Live),
                    RecordedStatus::Aborted => self.cancel_through(ix),
                    _ => {}
                }
            }
        }
        if self.dependency_graph.changed
            && self.context.now.steady_ms
                >= self.dependency_graph.worked_ms + self.context.config.write_batch_ms()
        {
            self.work_out_chains();
        }
    }

    /// A job before this one is cancelled on record, and so this one is.
    fn cancel_through(&mut self, ix: JobIndex) {
        let Some(job) = self.jobs.get(ix) else { return };
        if matches!(job.state, JobState::Aborted | JobState::Done | JobState::Unreadable) {
            return;
        }
        tracing::info!(job = %job.id, "cancelled through a job that it needs");
        self.set_job_state(ix, JobState::Aborted);
        self.record_writer.touch_job(ix);
    }

    /// Reads the records of named jobs that memory does not know.
    pub(crate) fn tick_dependencies(&mut self) {
        let now = self.context.now.steady_ms;
        let late: Vec<RequestId> = self
            .dependency_graph
            .walks
            .iter()
            .filter(|(_, w)| now >= w.until_ms)
            .map(|(r, _)| *r)
            .collect();
        for request in late {
            self.dependency_graph.walks.remove(&request);
            self.answer_busy(request);
        }
        if !self.leads() {
            return;
        }
        let again = 2 * self.context.config.store_timeout_ms();
        let due: Vec<String> = self
            .dependency_graph
            .unknown
            .iter()
            .filter(|(_, asked)| **asked == 0 || now >= **asked + again)
            .map(|(id, _)| id.clone())
            .take(UNKNOWN_READS)
            .collect();
        for id in due {
            if !self.membership.store_reads().take(now, 1.0, 0.25) {
                return;
            }
            self.dependency_graph.unknown.insert(id.clone(), now.max(1));
            let pending = InFlight::ChainRead { job: id.clone(), epoch: self.epoch() };
            self.look_up(&id, pending);
        }
    }

    pub(crate) fn on_dependency_read(&mut self, id: String, outcome: Outcome) {
        let Ok(pair) = self.read_outcome(outcome) else { return };
        let record = pair.as_ref().and_then(|p| decode::<JobRecord>(&p.value));
        let (Some(pair), Some(record)) = (pair, record) else {
            // Seldom asked again: somebody has to look at it.
            let later = self.context.now.steady_ms + self.context.config.lease_ms();
            if let Some(asked) = self.dependency_graph.unknown.get_mut(&id) {
                *asked = later;
                tracing::error!(job = %id, "its record is missing or can't be read; the jobs that need it wait");
            }
            return;
        };
        match record.status {
            RecordedStatus::Live => {
                if self.adopt(&id, record, pair.revision).is_some() {
                    self.dependency_graph.unknown.remove(&id);
                }
            }
            ended => self.learn_terminal_state(&id, ended),
        }
    }

    /// Jobs in memory that this one waits for, directly or through others; `None` if one
    /// of them is not in memory. Ends that are on record are no longer waited for.
    pub(crate) fn before(&self, ix: JobIndex) -> Option<Vec<JobIndex>> {
        let mut out = Vec::new();
        let mut seen = HashSet::from([ix]);
        let mut open = vec![ix];
        while let Some(at) = open.pop() {
            for id in &self.jobs.get(at)?.waits_on {
                let dep = self.jobs.find(id)?;
                if seen.insert(dep) {
                    out.push(dep);
                    open.push(dep);
                }
            }
        }
        Some(out)
    }

    /// How long a job takes from when it is ready, as far as can be known: its tasks at
    /// once, an image to fetch, a report to hear of its end and a write to record it.
    pub(crate) fn stage_s(&self, job: &Job) -> f64 {
        let kinds = self.types.iter().map(|t| self.fetch_s(&job.spec, &t.name));
        let fetch_s = kinds.fold(0.0, f64::max);
        let heard_s = (self.context.config.heartbeat_interval_ms()
            + 2 * self.context.config.write_batch_ms()) as f64
            / 1000.0;
        job.spec.estimate_s + fetch_s + heard_s
    }

    /// Priorities and deadlines, from the ends of the chains backwards.
    fn work_out_chains(&mut self) {
        self.dependency_graph.changed = false;
        self.dependency_graph.worked_ms = self.context.now.steady_ms;
        // How many of the jobs behind each have not been looked at.
        let mut unwritten_records: BTreeMap<JobIndex, usize> = BTreeMap::new();
        let mut all: BTreeSet<JobIndex> = BTreeSet::new();
        for (id, set) in &self.dependency_graph.waiting {
            all.extend(set);
            if let Some(ix) = self.jobs.find(id) {
                all.insert(ix);
                unwritten_records.insert(ix, set.len());
            }
        }
        let mut found: BTreeMap<JobIndex, (Priority, Option<Deadline>)> = BTreeMap::new();
        let mut open: Vec<JobIndex> =
            all.iter().copied().filter(|ix| !unwritten_records.contains_key(ix)).collect();
        while let Some(ix) = open.pop() {
            let Some(job) = self.jobs.get(ix) else { continue };
            let (mut priority, mut due) = (job.spec.priority, job.own_due());
            if let Some((other, theirs)) = found.remove(&ix) {
                priority = priority.max(other);
                due = sooner(due, theirs);
            }
            let tail_s = self.stage_s(job);
            let before: Vec<JobIndex> =
                job.waits_on.iter().filter_map(|id| self.jobs.find(id)).collect();
            for dep in before {
                let theirs = due.clone().map(|d| Deadline { tail_s: d.tail_s + tail_s, ..d });
                let entry = found.entry(dep).or_insert((Priority::Low, None));
                entry.0 = entry.0.max(priority);
                entry.1 = sooner(entry.1.take(), theirs);
                if let Some(n) = unwritten_records.get_mut(&dep) {
                    *n -= 1;
                    if *n == 0 {
                        open.push(dep);
                    }
                }
            }
            self.raise_to(ix, priority, due);
        }
        let old = std::mem::replace(&mut self.dependency_graph.raised, all);
        for ix in old {
            if self.dependency_graph.raised.contains(&ix) {
                continue;
            }
            if let Some((priority, due)) = self.jobs.get(ix).map(|j| (j.spec.priority, j.own_due()))
            {
                // No job needs it any more.
                self.raise_to(ix, priority, due);
            }
        }
        self.placement_due = true;
        self.preempt_due = true;
    }

    /// The one function that changes the priority that a job counts as having.
    fn raise_to(&mut self, ix: JobIndex, priority: Priority, due: Option<Deadline>) {
        let Some(job) = self.jobs.get_mut(ix) else { return };
        job.due = due;
        let old = std::mem::replace(&mut job.priority, priority);
        if old == priority {
            return;
        }
        // Machines know how much of them each priority would give up.
        let (room, before, after) = (job.resources(), job.gives_way(old), job.gives_way(priority));
        let on: Vec<_> = job.tasks().filter_map(|(_, t)| t.state.machine()).collect();
        for (machine, _) in on {
            if let Some(m) = self.machines.get_mut(machine) {
                m.preemptible_by_priority[old as usize].add(&room, -before);
                m.preemptible_by_priority[priority as usize].add(&room, after);
            }
        }
    }

    /// Whether a job must start now for what it works towards to be in time.
    pub(crate) fn pressed(&self, job: &Job) -> bool {
        let in_time = |d: &Deadline| {
            self.context.now.wall_ms as f64 + self.stage_s(job) * 1000.0 < d.latest_ms()
        };
        job.priority > job.spec.priority && !job.due.as_ref().is_none_or(in_time)
    }

    // Walks.

    /// Tells how a job with a live record stands: cancelled if a job before it is.
    pub(crate) fn walk(&mut self, request: RequestId, answer: JobAnswer, named: Vec<String>) {
        self.begin_walk(request, Purpose::Tell(answer), named)
    }

    /// Looks whether all jobs that a submission names were accepted, and takes it then.
    pub(crate) fn admit(&mut self, request: RequestId, spec: JobSpec) {
        let accepted = |id: &String| match self.terminal_jobs.get(id) {
            // No service is ever done.
            Some(RecordedStatus::Done) => true,
            Some(_) => false,
            None => {
                let job = self.jobs.find(id).and_then(|ix| self.jobs.get(ix));
                job.is_some_and(|j| j.revision > 0 && j.spec.shape != JobKind::Service)
            }
        };
        let open = spec.dependencies.iter().filter(|id| !accepted(id)).cloned().collect();
        self.begin_walk(request, Purpose::Admit(Box::new(spec)), open)
    }

    fn begin_walk(&mut self, request: RequestId, purpose: Purpose, open: Vec<String>) {
        let walks = &self.dependency_graph.walks;
        let names = walks.values().map(|w| w.seen.len()).sum::<usize>() + open.len();
        let too_many = walks.len() >= self.context.config.max_dependency_walks();
        let too_large = names * WALK_NAME_BYTES > self.context.config.max_held_bytes();
        if too_many || too_large && !walks.is_empty() {
            return self.answer_busy(request);
        }
        let until_ms = self.context.now.steady_ms + 3 * self.context.config.store_timeout_ms();
        let seen = open.iter().cloned().collect();
        let (reading, waits, cancelled) = (0, false, false);
        let walk = DependencyWalk { purpose, open, seen, reading, waits, cancelled, until_ms };
        self.dependency_graph.walks.insert(request, walk);
        self.walk_on(request);
    }

    fn walk_on(&mut self, request: RequestId) {
        loop {
            let Some(walk) = self.dependency_graph.walks.get_mut(&request) else { return };
            if walk.reading >= WALK_READS {
                return;
            }
            let Some(id) = walk.open.pop() else { break };
            match self.terminal_jobs.get(&id) {
                Some(RecordedStatus::Done) => continue,
                // Whether what a submission names was a service is told by its record.
                Some(_) if !walk.names(&id) => {
                    walk.cancelled = true;
                    if let Purpose::Tell(_) = walk.purpose {
                        return self.walk_ended_cancelled(request);
                    }
                    continue;
                }
                _ => {}
            }
            walk.reading += 1;
            if !self.may_read_for_request() {
                self.dependency_graph.walks.remove(&request);
                return self.answer_busy(request);
            }
            let pending = InFlight::WalkRead { request, job: id.clone() };
            self.look_up(&id, pending);
        }
        if self.dependency_graph.walks.get(&request).is_none_or(|w| w.reading > 0) {
            return;
        }
        let Some(walk) = self.dependency_graph.walks.remove(&request) else { return };
        match walk.purpose {
            Purpose::Tell(mut answer) => {
                if walk.waits {
                    answer.status = JobStatus::Queued;
                }
                self.answer(request, Response::new(200, to_cbor(&answer)))
            }
            Purpose::Admit(spec) => self.submit_admitted(request, *spec, walk.cancelled),
        }
    }

    /// A job before the one asked about is cancelled.
    fn walk_ended_cancelled(&mut self, request: RequestId) {
        let Some(walk) = self.dependency_graph.walks.remove(&request) else { return };
        let Purpose::Tell(answer) = walk.purpose else { return };
        self.learn_terminal_state(&answer.id, RecordedStatus::Aborted);
        if let Some(ix) = self.jobs.find(&answer.id).filter(|_| self.leads()) {
            self.cancel_through(ix);
        }
        self.answer_terminal(request, &answer.id, RecordedStatus::Aborted);
    }

    pub(crate) fn on_walk_read(&mut self, request: RequestId, id: String, outcome: Outcome) {
        let read = self.read_outcome(outcome);
        let Some(walk) = self.dependency_graph.walks.get_mut(&request) else { return };
        walk.reading -= 1;
        let admits = walk.names(&id);
        let Ok(found) = read else {
            self.dependency_graph.walks.remove(&request);
            return self.answer_busy(request);
        };
        let Some(pair) = found else {
            let walk = self.dependency_graph.walks.remove(&request);
            return match walk.map(|w| w.purpose) {
                Some(Purpose::Admit(spec)) if admits => {
                    self.refuse(request, spec.id, 422, "a job in prereqs was never accepted")
                }
                _ => {
                    tracing::error!(job = %id, "the record of a job that others need is missing");
                    self.answer_busy(request)
                }
            };
        };
        let Some(record) = decode::<JobRecord>(&pair.value) else {
            tracing::error!(job = %id, "the job's record can't be read; it is left as it is");
            self.dependency_graph.walks.remove(&request);
            return self.answer_busy(request);
        };
        if admits && record.is_service() {
            let walk = self.dependency_graph.walks.remove(&request);
            if let Some(Purpose::Admit(spec)) = walk.map(|w| w.purpose) {
                self.refuse(request, spec.id, 422, "a job in prereqs is a service");
            }
            return;
        }
        match record.status {
            RecordedStatus::Live => {
                let named = record.spec.as_ref().map(|s| s.dependencies.clone());
                walk.waits = true;
                for dep in named.unwrap_or_default() {
                    if walk.seen.insert(dep.clone()) {
                        walk.open.push(dep);
                    }
                }
                if admits && self.leads() {
                    self.adopt(&id, record, pair.revision);
                }
            }
            RecordedStatus::Done => self.learn_terminal_state(&id, RecordedStatus::Done),
            RecordedStatus::Aborted => {
                self.learn_terminal_state(&id, RecordedStatus::Aborted);
                if self.leads() {
                    self.learn_abort(&id, pair.revision);
                }
                if let Some(walk) = self.dependency_graph.walks.get_mut(&request) {
                    walk.cancelled = true;
                    if let Purpose::Tell(_) = walk.purpose {
                        return self.walk_ended_cancelled(request);
                    }
                }
            }
        }
        self.walk_on(request);
    }
}

/// The deadline that comes first.
fn sooner(a: Option<Deadline>, b: Option<Deadline>) -> Option<Deadline> {
    match (a, b) {
        (Some(a), Some(b)) if b.latest_ms() < a.latest_ms() => Some(b),
        (Some(a), _) => Some(a),
        (None, b) => b,
    }
}
