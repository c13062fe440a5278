//! Dependencies between jobs, which form a directed acyclic graph.
//!
//! The leader's memory holds the open part of the graph: for each job that is not known to have
//! ended, the jobs in memory that wait for it. An edge is removed when the terminal state of the
//! dependency is known to be recorded. A job is `Waiting` while it has pending dependencies, and is
//! aborted as soon as one of its dependencies is aborted.
//!
//! No task of a waiting job was ever placed, so the records alone determine whether the job is
//! aborted through a dependency. Any controller can find that out by reading the records along the
//! graph (a *walk*), even before the abort is written to the job's own record.
//!
//! Priorities and deadlines propagate from a job to its dependencies: a job has at least the
//! highest priority of the jobs that depend on it, and is due earlier than they are by the expected
//! duration of the jobs between.

mod propagation;
mod walks;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

use self::walks::DependencyWalk;
use crate::controller::Controller;
use crate::ids::JobIndex;
use crate::in_flight::InFlight;
use crate::jobs::JobState;
use crate::storage::read_budget::ReadPurpose;
use crate::storage::records::{decode, JobRecord, RecordedStatus};
use crate::{Outcome, RequestId};

pub use self::propagation::Deadline;

/// Maximum number of unknown dependencies whose records are read per tick.
const MAX_UNKNOWN_READS: usize = 20;

/// The open part of the dependency graph, and the walks in progress.
#[derive(Default)]
pub(crate) struct DependencyGraph {
    /// Jobs in memory that wait for a dependency, by the dependency's identifier.
    dependents: HashMap<String, BTreeSet<JobIndex>>,
    /// Dependencies that are neither in memory nor known to have ended, with the monotonic time at
    /// which the record of each was last requested; 0 if it has not been requested.
    unknown: BTreeMap<String, u64>,
    /// Recorded terminal states that have not been applied to the dependents yet.
    unapplied_terminal_states: VecDeque<(String, RecordedStatus)>,
    /// Jobs that had an edge at the last propagation, so that their priority or deadline may be
    /// inherited.
    inheriting: BTreeSet<JobIndex>,
    /// Whether the graph has changed since priorities and deadlines were last propagated.
    changed: bool,
    /// Monotonic time of the last propagation.
    propagated_ms: u64,
    /// Walks in progress, by the request that each will answer.
    walks: BTreeMap<RequestId, DependencyWalk>,
}

impl DependencyGraph {
    /// Clears the graph, which only a leader holds. Walks continue, because requests wait for them.
    pub fn clear_graph(&mut self) {
        let walks = std::mem::take(&mut self.walks);
        *self = DependencyGraph { walks, ..DependencyGraph::default() };
    }

    /// Returns whether any job in memory waits for this one.
    pub fn has_dependents(&self, id: &str) -> bool {
        self.dependents.contains_key(id)
    }

    /// Returns the number of edges: the pending dependencies of all jobs in memory.
    pub fn edge_count(&self) -> usize {
        self.dependents.values().map(BTreeSet::len).sum()
    }

    /// Returns the number of dependencies that are neither in memory nor known to have ended.
    pub fn unknown_count(&self) -> usize {
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

    /// Removes the edges to a dependency that has ended, and returns the jobs that waited for it,
    /// or `None` if there were none.
    fn take_dependents(&mut self, dependency: &str) -> Option<BTreeSet<JobIndex>> {
        self.unknown.remove(dependency);
        let dependents = self.dependents.remove(dependency)?;
        self.changed = true;
        Some(dependents)
    }

    /// Returns the unknown dependencies whose records were not requested within the last `retry_ms`
    /// milliseconds, at most [`MAX_UNKNOWN_READS`] of them.
    fn unknown_to_read(&self, now_ms: u64, retry_ms: u64) -> Vec<String> {
        let is_due = |requested_ms: u64| requested_ms == 0 || now_ms >= requested_ms + retry_ms;
        let due = self.unknown.iter().filter(|(_, requested_ms)| is_due(**requested_ms));
        due.map(|(id, _)| id.clone()).take(MAX_UNKNOWN_READS).collect()
    }
}

impl Controller {
    /// Adds a job's dependencies to the graph, except those whose terminal state is known: a job
    /// with an aborted dependency is aborted. The records of dependencies that are neither in
    /// memory nor known to have ended are read later.
    pub(crate) fn add_to_dependency_graph(&mut self, job_index: JobIndex) {
        let Some(job) = self.jobs.get(job_index) else { return };
        let dependencies = job.spec.dependencies.clone();
        if dependencies.is_empty() {
            return;
        }
        let mut aborted = false;
        for id in dependencies {
            match self.terminal_jobs.get(&id) {
                Some(RecordedStatus::Done) => {}
                Some(_) => aborted = true,
                None => self.add_dependency(job_index, id),
            }
        }
        self.dependency_graph.changed = true;
        if aborted {
            self.abort_through_dependency(job_index);
        } else if self.jobs.get(job_index).is_some_and(|job| job.state == JobState::Live) {
            // Changes the job to `Waiting` if an edge was added.
            self.set_job_state(job_index, JobState::Live);
        }
    }

    fn add_dependency(&mut self, job_index: JobIndex, dependency: String) {
        if self.jobs.find(&dependency).is_none() {
            self.dependency_graph.unknown.entry(dependency.clone()).or_insert(0);
        }
        self.dependency_graph.add_edge(&dependency, job_index);
        if let Some(job) = self.jobs.get_mut(job_index) {
            job.pending_dependencies.insert(dependency);
        }
    }

    /// Removes a job that was aborted or leaves memory from the graph.
    pub(crate) fn remove_from_dependency_graph(&mut self, job_index: JobIndex) {
        self.dependency_graph.inheriting.remove(&job_index);
        let Some(job) = self.jobs.get_mut(job_index) else { return };
        let id = job.id.clone();
        for dependency in std::mem::take(&mut job.pending_dependencies) {
            self.dependency_graph.remove_edge(&dependency, job_index);
        }
        // The job has dependents and leaves memory although its terminal state is not known, so its
        // record has to be read.
        if self.dependency_graph.has_dependents(&id) && self.terminal_jobs.get(&id).is_none() {
            self.dependency_graph.unknown.insert(id, 0);
        }
    }

    /// Remembers the recorded terminal state of a job, whichever controller wrote it.
    pub(crate) fn learn_terminal_state(&mut self, id: &str, status: RecordedStatus) {
        self.terminal_jobs.insert(id.to_string(), status);
        if self.dependency_graph.has_dependents(id) {
            self.dependency_graph.unapplied_terminal_states.push_back((id.to_string(), status));
        }
    }

    /// Records that a job is aborted and that a user may be told so.
    pub(crate) fn learn_confirmed_abort(&mut self, id: &str) {
        self.learn_terminal_state(id, RecordedStatus::Aborted);
        self.terminal_jobs.mark_confirmed(id);
    }

    /// Applies recorded terminal states to the dependents, and propagates priorities and deadlines
    /// if the graph has changed, at most once per write batch interval.
    pub(crate) fn apply_terminal_states(&mut self) {
        while let Some((id, status)) = self.dependency_graph.unapplied_terminal_states.pop_front() {
            let Some(dependents) = self.dependency_graph.take_dependents(&id) else { continue };
            for dependent in dependents {
                self.apply_terminal_state(dependent, &id, status);
            }
        }
        let next_ms = self.dependency_graph.propagated_ms + self.context.config.write_batch_ms();
        if self.dependency_graph.changed && self.context.now.steady_ms >= next_ms {
            self.propagate_urgency();
        }
    }

    fn apply_terminal_state(
        &mut self,
        dependent: JobIndex,
        dependency: &str,
        status: RecordedStatus,
    ) {
        let Some(job) = self.jobs.get_mut(dependent) else { return };
        job.pending_dependencies.remove(dependency);
        let is_ready = job.pending_dependencies.is_empty() && job.state == JobState::Waiting;
        match status {
            RecordedStatus::Done if is_ready => self.set_job_state(dependent, JobState::Live),
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
        self.record_writer.mark_job_dirty(job_index);
    }

    /// Returns the jobs on which this job's start depends, directly or transitively, or `None` if
    /// one of them is not in memory.
    pub(crate) fn transitive_dependencies(&self, job_index: JobIndex) -> Option<Vec<JobIndex>> {
        let mut found = Vec::new();
        let mut seen = HashSet::from([job_index]);
        let mut unvisited = vec![job_index];
        while let Some(index) = unvisited.pop() {
            for id in &self.jobs.get(index)?.pending_dependencies {
                let dependency = self.jobs.find(id)?;
                if seen.insert(dependency) {
                    found.push(dependency);
                    unvisited.push(dependency);
                }
            }
        }
        Some(found)
    }

    /// Answers the requests whose walks took too long. On the leader, also reads the records of
    /// unknown dependencies.
    pub(crate) fn tick_dependencies(&mut self) {
        self.expire_walks();
        if self.leads() {
            self.read_unknown_dependencies();
        }
    }

    fn read_unknown_dependencies(&mut self) {
        let now_ms = self.context.now.steady_ms;
        let retry_ms = 2 * self.context.config.store_timeout_ms();
        for id in self.dependency_graph.unknown_to_read(now_ms, retry_ms) {
            if !self.may_read(ReadPurpose::Dependency) {
                return;
            }
            self.dependency_graph.unknown.insert(id.clone(), now_ms.max(1));
            let pending = InFlight::DependencyRead { job: id.clone(), epoch: self.epoch() };
            self.look_up(&id, pending);
        }
    }

    /// Handles the outcome of reading the record of an unknown dependency.
    pub(crate) fn on_dependency_read(&mut self, id: String, outcome: Outcome) {
        let Ok(pair) = self.read_outcome(outcome) else { return };
        let record = pair.as_ref().and_then(|pair| decode::<JobRecord>(&pair.value));
        let (Some(pair), Some(record)) = (pair, record) else {
            return self.on_dependency_unreadable(&id);
        };
        match record.status {
            RecordedStatus::Live => {
                if self.add_recorded_job(&id, record, pair.revision).is_some() {
                    self.dependency_graph.unknown.remove(&id);
                }
            }
            terminal => self.learn_terminal_state(&id, terminal),
        }
    }

    /// Logs that a dependency's record is missing or can't be decoded. An operator has to repair
    /// it, so the next read of the record is delayed by an additional lease period.
    fn on_dependency_unreadable(&mut self, id: &str) {
        let delayed_ms = self.context.now.steady_ms + self.context.config.lease_ms();
        if let Some(requested_ms) = self.dependency_graph.unknown.get_mut(id) {
            *requested_ms = delayed_ms;
            tracing::error!(job = %id, "a dependency's record is missing or can't be decoded; the jobs that depend on it wait");
        }
    }
}
