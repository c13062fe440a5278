//! Dependencies between jobs: a directed acyclic graph.
//!
//! The leader's memory holds the part of the graph that is still open: for each job that has not
//! ended, which jobs in memory wait for it. An edge is removed when the end of the named job is
//! known to be recorded. A job is `Waiting` while it has an edge left, and aborted as soon as one of
//! its dependencies is.
//!
//! No task of a waiting job was ever placed, so whether it is aborted through a dependency follows
//! from the records alone. Any controller can find it out by reading the records along the graph (a
//! *walk*), before anyone has written that end.
//!
//! Priorities and deadlines propagate backwards: a job has the highest priority of those that depend
//! on it, and is due before them by the expected duration of what lies between.

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
    /// The priority with which it preempts others: the inherited one only once the deadline that
    /// came with it is at risk. Until then it is merely first to get what becomes free, and no
    /// work is lost for it.
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

    /// Its own priority and deadline, without those of the jobs that depend on it.
    fn own_urgency(&self) -> Urgency {
        Urgency { priority: self.spec.priority, deadline: self.own_due() }
    }
}

/// A deadline that a job has: its own, or that of one that depends on it.
#[derive(Clone, Debug, PartialEq)]
pub struct Deadline {
    /// Class of the job that was submitted with it; the objectives are set by class.
    pub class: String,
    /// Time of day at which that job was submitted.
    pub at_ms: u64,
    /// How long after its submission that job is due.
    pub due_s: f64,
    /// Expected time between the end of the job that has the deadline and the end of that job.
    pub tail_s: f64,
}

impl Deadline {
    /// When the job that has it should be done, in milliseconds of the time of day.
    pub fn latest_ms(&self) -> f64 {
        self.at_ms as f64 + (self.due_s - self.tail_s) * 1000.0
    }
}

/// What propagates from a job to its dependencies.
#[derive(Clone)]
struct Urgency {
    priority: Priority,
    deadline: Option<Deadline>,
}

impl Urgency {
    /// What a job has of which nothing is known: raised by anything.
    const LOWEST: Urgency = Urgency { priority: Priority::Low, deadline: None };

    /// Takes over the higher priority and the earlier deadline.
    fn raise(&mut self, other: Urgency) {
        self.priority = self.priority.max(other.priority);
        self.deadline = earlier_deadline(self.deadline.take(), other.deadline);
    }

    /// The same for a dependency that has to end this long before.
    fn before(&self, duration_s: f64) -> Urgency {
        let earlier =
            |deadline: Deadline| Deadline { tail_s: deadline.tail_s + duration_s, ..deadline };
        Urgency { priority: self.priority, deadline: self.deadline.clone().map(earlier) }
    }
}

/// The earlier of two deadlines; the first if they are equal.
fn earlier_deadline(first: Option<Deadline>, second: Option<Deadline>) -> Option<Deadline> {
    match (first, second) {
        (Some(first), Some(second)) if second.latest_ms() < first.latest_ms() => Some(second),
        (Some(first), _) => Some(first),
        (None, second) => second,
    }
}

/// The open part of the graph, and the walks that are under way.
#[derive(Default)]
pub(crate) struct DependencyGraph {
    /// Jobs in memory that wait for a job, by its identifier.
    dependents: HashMap<String, BTreeSet<JobIndex>>,
    /// Dependencies that are neither in memory nor known to have ended, and the steady clock at
    /// which the record of each was last asked for; 0 if it never was.
    unknown: BTreeMap<String, u64>,
    /// Recorded ends that have not been applied to the dependents yet.
    ended: VecDeque<(String, RecordedStatus)>,
    /// Jobs whose priority or deadline may be inherited.
    inheriting: BTreeSet<JobIndex>,
    /// The graph has changed since priorities and deadlines were last propagated.
    changed: bool,
    /// Steady clock of the last propagation.
    propagated_ms: u64,
    /// Requests that are answered by reading records along the graph.
    walks: BTreeMap<RequestId, DependencyWalk>,
}

impl DependencyGraph {
    /// Drops what belongs to the leader's memory. Walks go on, since requests still wait for them.
    pub fn forget_graph(&mut self) {
        let walks = std::mem::take(&mut self.walks);
        *self = DependencyGraph { walks, ..DependencyGraph::default() };
    }

    /// Whether any job in memory waits for this one.
    pub fn needed(&self, id: &str) -> bool {
        self.dependents.contains_key(id)
    }

    /// Number of edges.
    pub fn edges(&self) -> usize {
        self.dependents.values().map(BTreeSet::len).sum()
    }

    /// Number of dependencies of which neither job nor end is known.
    pub fn unknown(&self) -> usize {
        self.unknown.len()
    }

    fn add_edge(&mut self, dependency: &str, dependent: JobIndex) {
        self.dependents.entry(dependency.to_string()).or_default().insert(dependent);
    }

    fn remove_edge(&mut self, dependency: &str, dependent: JobIndex) {
        self.changed = true;
        let Some(dependents) = self.dependents.get_mut(dependency) else { return };
        dependents.remove(&dependent);
        if dependents.is_empty() {
            self.dependents.remove(dependency);
            self.unknown.remove(dependency);
        }
    }

    /// Removes the edges of a dependency that has ended, and returns the jobs that waited for it.
    fn take_dependents(&mut self, dependency: &str) -> Option<BTreeSet<JobIndex>> {
        self.unknown.remove(dependency);
        let dependents = self.dependents.remove(dependency)?;
        self.changed = true;
        Some(dependents)
    }

    /// Unknown dependencies whose records were not asked for within `retry_ms`, a bounded number.
    fn unknown_to_read(&self, now_ms: u64, retry_ms: u64) -> Vec<String> {
        let is_due = |asked_ms: u64| asked_ms == 0 || now_ms >= asked_ms + retry_ms;
        let due = self.unknown.iter().filter(|(_, asked_ms)| is_due(**asked_ms));
        due.map(|(id, _)| id.clone()).take(MAX_UNKNOWN_READS).collect()
    }

    fn expired_walks(&self, now_ms: u64) -> Vec<RequestId> {
        let expired = self.walks.iter().filter(|(_, walk)| now_ms >= walk.expires_ms);
        expired.map(|(request, _)| *request).collect()
    }
}

/// What a walk is for.
#[derive(Debug)]
enum WalkPurpose {
    /// To answer a status query for a job whose record says that it has not ended.
    Status(JobAnswer),
    /// To verify that all dependencies of a submission were accepted.
    Admission(Box<JobSpec>),
}

/// Reads of records along the graph for one request.
#[derive(Debug)]
struct DependencyWalk {
    purpose: WalkPurpose,
    /// Jobs whose records are still to be read.
    unread: Vec<String>,
    /// Jobs that were ever in `unread`.
    seen: HashSet<String>,
    reads_in_flight: usize,
    /// A job that was read has not ended.
    found_live: bool,
    /// A job that was read is aborted.
    found_aborted: bool,
    /// Steady clock at which the request is answered as undecidable.
    expires_ms: u64,
}

impl DependencyWalk {
    /// Whether it is for a submission that names this job as a direct dependency.
    fn admits_dependent_of(&self, id: &String) -> bool {
        matches!(&self.purpose, WalkPurpose::Admission(spec) if spec.dependencies.contains(id))
    }
}

/// Reads of one walk in flight at a time.
const MAX_WALK_READS: usize = 6;
/// Rough size of a name in the memory of a walk.
const BYTES_PER_WALK_NAME: usize = 64;
/// Unknown dependencies that are read at a time.
const MAX_UNKNOWN_READS: usize = 20;
/// Seconds of the read rate that reads of unknown dependencies leave to others.
const UNKNOWN_READ_RESERVE: f64 = 0.25;

impl Controller {
    /// Enters a job's dependencies into the graph. Those that ended are known by their recorded
    /// ends; the records of those that memory does not know are read later.
    pub(crate) fn link(&mut self, ix: JobIndex) {
        let Some(job) = self.jobs.get(ix) else { return };
        let dependencies = job.spec.dependencies.clone();
        if dependencies.is_empty() {
            return;
        }
        let mut aborted = false;
        for id in dependencies {
            match self.terminal_jobs.get(&id) {
                Some(RecordedStatus::Done) => {}
                Some(_) => aborted = true,
                None => self.add_dependency(ix, id),
            }
        }
        self.dependency_graph.changed = true;
        if aborted {
            self.abort_through_dependency(ix);
        } else if self.jobs.get(ix).is_some_and(|job| job.state == JobState::Live) {
            // It becomes `Waiting` if an edge was added.
            self.set_job_state(ix, JobState::Live);
        }
    }

    fn add_dependency(&mut self, job_index: JobIndex, dependency: String) {
        if self.jobs.find(&dependency).is_none() {
            self.dependency_graph.unknown.entry(dependency.clone()).or_insert(0);
        }
        self.dependency_graph.add_edge(&dependency, job_index);
        if let Some(job) = self.jobs.get_mut(job_index) {
            job.waits_on.insert(dependency);
        }
    }

    /// Takes a job that has ended, or leaves memory, out of the graph.
    pub(crate) fn unlink(&mut self, ix: JobIndex) {
        self.dependency_graph.inheriting.remove(&ix);
        let Some(job) = self.jobs.get_mut(ix) else { return };
        let id = job.id.clone();
        for dependency in std::mem::take(&mut job.waits_on) {
            self.dependency_graph.remove_edge(&dependency, ix);
        }
        // A job with dependents leaves memory although its end is not known.
        if self.dependency_graph.needed(&id) && self.terminal_jobs.get(&id).is_none() {
            self.dependency_graph.unknown.insert(id, 0);
        }
    }

    /// Remembers the recorded end of a job, whichever controller wrote it.
    pub(crate) fn learn_terminal_state(&mut self, id: &str, status: RecordedStatus) {
        self.terminal_jobs.insert(id.to_string(), status);
        if self.dependency_graph.needed(id) {
            self.dependency_graph.ended.push_back((id.to_string(), status));
        }
    }

    /// Applies recorded ends to the dependents, and propagates priorities and deadlines if the graph
    /// has changed.
    pub(crate) fn settle_dependencies(&mut self) {
        while let Some((id, status)) = self.dependency_graph.ended.pop_front() {
            let Some(dependents) = self.dependency_graph.take_dependents(&id) else { continue };
            for dependent in dependents {
                self.settle_dependent(dependent, &id, status);
            }
        }
        let next_ms = self.dependency_graph.propagated_ms + self.context.config.write_batch_ms();
        if self.dependency_graph.changed && self.context.now.steady_ms >= next_ms {
            self.propagate_urgency();
        }
    }

    fn settle_dependent(&mut self, dependent: JobIndex, dependency: &str, status: RecordedStatus) {
        let Some(job) = self.jobs.get_mut(dependent) else { return };
        job.waits_on.remove(dependency);
        let ready = job.waits_on.is_empty() && job.state == JobState::Waiting;
        match status {
            RecordedStatus::Done if ready => self.set_job_state(dependent, JobState::Live),
            RecordedStatus::Aborted => self.abort_through_dependency(dependent),
            _ => {}
        }
    }

    /// Aborts a job because one of its dependencies is recorded as aborted.
    fn abort_through_dependency(&mut self, job_index: JobIndex) {
        let Some(job) = self.jobs.get(job_index) else { return };
        if matches!(job.state, JobState::Aborted | JobState::Done | JobState::Unreadable) {
            return;
        }
        tracing::info!(job = %job.id, "job aborted because a dependency was aborted");
        self.set_job_state(job_index, JobState::Aborted);
        self.record_writer.touch_job(job_index);
    }

    /// The jobs in memory that this one waits for, directly or through others; `None` if one of
    /// them is not in memory.
    pub(crate) fn before(&self, ix: JobIndex) -> Option<Vec<JobIndex>> {
        let mut found = Vec::new();
        let mut seen = HashSet::from([ix]);
        let mut open = vec![ix];
        while let Some(index) = open.pop() {
            for id in &self.jobs.get(index)?.waits_on {
                let dependency = self.jobs.find(id)?;
                if seen.insert(dependency) {
                    found.push(dependency);
                    open.push(dependency);
                }
            }
        }
        Some(found)
    }

    /// Answers the requests whose walks took too long, and reads the records of dependencies that
    /// memory does not know.
    pub(crate) fn tick_dependencies(&mut self) {
        for request in self.dependency_graph.expired_walks(self.context.now.steady_ms) {
            self.dependency_graph.walks.remove(&request);
            self.answer_busy(request);
        }
        if self.leads() {
            self.read_unknown_dependencies();
        }
    }

    fn read_unknown_dependencies(&mut self) {
        let now_ms = self.context.now.steady_ms;
        let retry_ms = 2 * self.context.config.store_timeout_ms();
        for id in self.dependency_graph.unknown_to_read(now_ms, retry_ms) {
            if !self.membership.reads.take(now_ms, 1.0, UNKNOWN_READ_RESERVE) {
                return;
            }
            self.dependency_graph.unknown.insert(id.clone(), now_ms.max(1));
            let pending = InFlight::ChainRead { job: id.clone(), epoch: self.epoch() };
            self.look_up(&id, pending);
        }
    }

    /// Outcome of reading the record of an unknown dependency.
    pub(crate) fn on_dependency_read(&mut self, id: String, outcome: Outcome) {
        let Ok(pair) = self.read_outcome(outcome) else { return };
        let record = pair.as_ref().and_then(|pair| decode::<JobRecord>(&pair.value));
        let (Some(pair), Some(record)) = (pair, record) else {
            return self.on_dependency_unreadable(&id);
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

    /// An operator has to repair the record: it is read again, but seldom.
    fn on_dependency_unreadable(&mut self, id: &str) {
        let later_ms = self.context.now.steady_ms + self.context.config.lease_ms();
        if let Some(asked_ms) = self.dependency_graph.unknown.get_mut(id) {
            *asked_ms = later_ms;
            tracing::error!(job = %id, "a dependency's record is missing or can't be decoded; the jobs that depend on it wait");
        }
    }

    /// Expected time from when a job could start until its end is recorded, in seconds: all tasks
    /// at once, the fetch of an image, a heartbeat that reports the end and a write.
    pub(crate) fn stage_s(&self, job: &Job) -> f64 {
        let fetches = self.types.iter().map(|machine| self.fetch_s(&job.spec, &machine.name));
        let fetch_s = fetches.fold(0.0, f64::max);
        let report_ms =
            self.context.config.heartbeat_interval_ms() + 2 * self.context.config.write_batch_ms();
        job.spec.estimate_s + fetch_s + report_ms as f64 / 1000.0
    }

    /// Propagates priorities and deadlines from the jobs without dependents backwards, each job
    /// after all of its dependents.
    fn propagate_urgency(&mut self) {
        self.dependency_graph.changed = false;
        self.dependency_graph.propagated_ms = self.context.now.steady_ms;
        let (jobs, mut dependents_left) = self.jobs_with_edges();
        let mut inherited: BTreeMap<JobIndex, Urgency> = BTreeMap::new();
        let mut ready: Vec<JobIndex> =
            jobs.iter().copied().filter(|index| !dependents_left.contains_key(index)).collect();
        while let Some(index) = ready.pop() {
            let Some(job) = self.jobs.get(index) else { continue };
            let mut urgency = job.own_urgency();
            if let Some(other) = inherited.remove(&index) {
                urgency.raise(other);
            }
            let for_dependencies = urgency.before(self.stage_s(job));
            for dependency in job.waits_on.iter().filter_map(|id| self.jobs.find(id)) {
                let entry = inherited.entry(dependency).or_insert(Urgency::LOWEST);
                entry.raise(for_dependencies.clone());
                if let Some(left) = dependents_left.get_mut(&dependency) {
                    *left -= 1;
                    if *left == 0 {
                        ready.push(dependency);
                    }
                }
            }
            self.set_urgency(index, urgency);
        }
        self.reset_urgency_without_edges(jobs);
        self.placement_due = true;
        self.preempt_due = true;
    }

    /// All jobs in memory with an edge, and the number of dependents of those that have any.
    fn jobs_with_edges(&self) -> (BTreeSet<JobIndex>, BTreeMap<JobIndex, usize>) {
        let mut jobs = BTreeSet::new();
        let mut dependent_counts = BTreeMap::new();
        for (id, dependents) in &self.dependency_graph.dependents {
            jobs.extend(dependents);
            if let Some(index) = self.jobs.find(id) {
                jobs.insert(index);
                dependent_counts.insert(index, dependents.len());
            }
        }
        (jobs, dependent_counts)
    }

    /// Gives back their own priority and deadline to jobs that no longer have an edge.
    fn reset_urgency_without_edges(&mut self, jobs_with_edges: BTreeSet<JobIndex>) {
        let old = std::mem::replace(&mut self.dependency_graph.inheriting, jobs_with_edges);
        for index in old {
            if self.dependency_graph.inheriting.contains(&index) {
                continue;
            }
            if let Some(urgency) = self.jobs.get(index).map(Job::own_urgency) {
                self.set_urgency(index, urgency);
            }
        }
    }

    /// The one function that changes a job's effective priority. It keeps what preemption could
    /// free on each machine consistent with it.
    fn set_urgency(&mut self, job_index: JobIndex, urgency: Urgency) {
        let Some(job) = self.jobs.get_mut(job_index) else { return };
        job.due = urgency.deadline;
        let new = urgency.priority;
        let old = std::mem::replace(&mut job.priority, new);
        if old == new {
            return;
        }
        let resources = job.resources();
        let (old_fraction, new_fraction) = (job.gives_way(old), job.gives_way(new));
        for (machine_index, _) in job.tasks().filter_map(|(_, task)| task.state.machine()) {
            if let Some(machine) = self.machines.get_mut(machine_index) {
                machine.preemptible_by_priority[old as usize].add(&resources, -old_fraction);
                machine.preemptible_by_priority[new as usize].add(&resources, new_fraction);
            }
        }
    }

    /// Whether a job with an inherited priority must start now for the deadline to be met.
    pub(crate) fn pressed(&self, job: &Job) -> bool {
        let in_time = |deadline: &Deadline| {
            self.context.now.wall_ms as f64 + self.stage_s(job) * 1000.0 < deadline.latest_ms()
        };
        job.priority > job.spec.priority && !job.due.as_ref().is_none_or(in_time)
    }

    /// Answers a status query for a job that its record calls live: it is aborted if one of its
    /// dependencies is, and queued while one has not ended.
    pub(crate) fn walk(&mut self, request: RequestId, answer: JobAnswer, named: Vec<String>) {
        self.begin_walk(request, WalkPurpose::Status(answer), named)
    }

    /// Submits a job once all of its dependencies are known to have been accepted.
    pub(crate) fn admit(&mut self, request: RequestId, spec: JobSpec) {
        let unread =
            spec.dependencies.iter().filter(|id| !self.is_valid_dependency(id)).cloned().collect();
        self.begin_walk(request, WalkPurpose::Admission(Box::new(spec)), unread)
    }

    /// Whether memory knows that a job was accepted and is not a service.
    fn is_valid_dependency(&self, id: &str) -> bool {
        match self.terminal_jobs.get(id) {
            // A service never ends as done.
            Some(RecordedStatus::Done) => true,
            Some(_) => false,
            None => {
                let job = self.jobs.find(id).and_then(|index| self.jobs.get(index));
                job.is_some_and(|job| job.revision > 0 && job.spec.shape != JobKind::Service)
            }
        }
    }

    fn begin_walk(&mut self, request: RequestId, purpose: WalkPurpose, unread: Vec<String>) {
        let walks = &self.dependency_graph.walks;
        let names = walks.values().map(|walk| walk.seen.len()).sum::<usize>() + unread.len();
        let too_many = walks.len() >= self.context.config.max_dependency_walks();
        let too_large = names * BYTES_PER_WALK_NAME > self.context.config.max_held_bytes();
        if too_many || too_large && !walks.is_empty() {
            return self.answer_busy(request);
        }
        let walk = DependencyWalk {
            purpose,
            seen: unread.iter().cloned().collect(),
            unread,
            reads_in_flight: 0,
            found_live: false,
            found_aborted: false,
            expires_ms: self.context.now.steady_ms + 3 * self.context.config.store_timeout_ms(),
        };
        self.dependency_graph.walks.insert(request, walk);
        self.continue_walk(request);
    }

    /// Reads the next records, and answers the request once all were read.
    fn continue_walk(&mut self, request: RequestId) {
        loop {
            let Some(walk) = self.dependency_graph.walks.get_mut(&request) else { return };
            if walk.reads_in_flight >= MAX_WALK_READS {
                return;
            }
            let Some(id) = walk.unread.pop() else { break };
            match self.terminal_jobs.get(&id) {
                Some(RecordedStatus::Done) => continue,
                // The end of a direct dependency does not say whether it was a service: its
                // record is read.
                Some(_) if !walk.admits_dependent_of(&id) => {
                    walk.found_aborted = true;
                    if let WalkPurpose::Status(_) = walk.purpose {
                        return self.end_walk_as_aborted(request);
                    }
                    continue;
                }
                _ => {}
            }
            walk.reads_in_flight += 1;
            if !self.may_read_for_request() {
                return self.give_up_walk(request);
            }
            let pending = InFlight::WalkRead { request, job: id.clone() };
            self.look_up(&id, pending);
        }
        self.end_walk_if_complete(request);
    }

    fn end_walk_if_complete(&mut self, request: RequestId) {
        let walk = self.dependency_graph.walks.get(&request);
        if walk.is_none_or(|walk| walk.reads_in_flight > 0) {
            return;
        }
        let Some(walk) = self.dependency_graph.walks.remove(&request) else { return };
        match walk.purpose {
            WalkPurpose::Status(mut answer) => {
                if walk.found_live {
                    answer.status = JobStatus::Queued;
                }
                self.answer(request, Response::new(200, to_cbor(&answer)))
            }
            WalkPurpose::Admission(spec) => {
                self.submit_admitted(request, *spec, walk.found_aborted)
            }
        }
    }

    /// The job that a status query asks for has an aborted dependency.
    fn end_walk_as_aborted(&mut self, request: RequestId) {
        let Some(walk) = self.dependency_graph.walks.remove(&request) else { return };
        let WalkPurpose::Status(answer) = walk.purpose else { return };
        self.learn_terminal_state(&answer.id, RecordedStatus::Aborted);
        if let Some(index) = self.jobs.find(&answer.id).filter(|_| self.leads()) {
            self.abort_through_dependency(index);
        }
        self.answer_terminal(request, &answer.id, RecordedStatus::Aborted);
    }

    /// The request can't be decided now.
    fn give_up_walk(&mut self, request: RequestId) {
        self.dependency_graph.walks.remove(&request);
        self.answer_busy(request);
    }

    /// Outcome of reading a record for a walk.
    pub(crate) fn on_walk_read(&mut self, request: RequestId, id: String, outcome: Outcome) {
        let read = self.read_outcome(outcome);
        let Some(walk) = self.dependency_graph.walks.get_mut(&request) else { return };
        walk.reads_in_flight -= 1;
        let admits_dependent = walk.admits_dependent_of(&id);
        let Ok(found) = read else { return self.give_up_walk(request) };
        let Some(pair) = found else { return self.on_walk_record_missing(request, &id) };
        let Some(record) = decode::<JobRecord>(&pair.value) else {
            tracing::error!(job = %id, "the job's record can't be read; it is left as it is");
            return self.give_up_walk(request);
        };
        if admits_dependent && record.is_service() {
            return self.refuse_admission(request, "a job in prereqs is a service");
        }
        match record.status {
            RecordedStatus::Live => self.on_walk_found_live(request, &id, record, pair.revision),
            RecordedStatus::Done => self.learn_terminal_state(&id, RecordedStatus::Done),
            RecordedStatus::Aborted => {
                self.learn_terminal_state(&id, RecordedStatus::Aborted);
                if self.leads() {
                    self.learn_abort(&id, pair.revision);
                }
                if let Some(walk) = self.dependency_graph.walks.get_mut(&request) {
                    walk.found_aborted = true;
                    if let WalkPurpose::Status(_) = walk.purpose {
                        return self.end_walk_as_aborted(request);
                    }
                }
            }
        }
        self.continue_walk(request);
    }

    fn on_walk_record_missing(&mut self, request: RequestId, id: &String) {
        let walk = self.dependency_graph.walks.get(&request);
        if walk.is_some_and(|walk| walk.admits_dependent_of(id)) {
            return self.refuse_admission(request, "a job in prereqs was never accepted");
        }
        tracing::error!(job = %id, "a dependency's record is missing");
        self.give_up_walk(request);
    }

    /// Ends a walk for a submission that names a job which it must not depend on.
    fn refuse_admission(&mut self, request: RequestId, reason: &str) {
        let walk = self.dependency_graph.walks.remove(&request);
        if let Some(WalkPurpose::Admission(spec)) = walk.map(|walk| walk.purpose) {
            self.refuse(request, spec.id, 422, reason);
        }
    }

    /// The dependencies of a job that has not ended are read as well.
    fn on_walk_found_live(
        &mut self,
        request: RequestId,
        id: &String,
        record: JobRecord,
        revision: u64,
    ) {
        let Some(walk) = self.dependency_graph.walks.get_mut(&request) else { return };
        walk.found_live = true;
        let dependencies = record.spec.as_ref().map(|spec| spec.dependencies.clone());
        for dependency in dependencies.unwrap_or_default() {
            if walk.seen.insert(dependency.clone()) {
                walk.unread.push(dependency);
            }
        }
        if walk.admits_dependent_of(id) && self.leads() {
            self.adopt(id, record, revision);
        }
    }
}
