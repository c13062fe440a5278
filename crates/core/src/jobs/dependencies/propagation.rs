//! Propagation of priorities and deadlines from jobs to their dependencies.
//!
//! A job's effective priority is the highest among its own and those of the jobs that depend on it.
//! Its effective deadline is the earliest among its own and theirs, after subtracting the expected
//! duration of the jobs between.

use std::collections::{BTreeMap, BTreeSet};

use quartzgate_wire::msg::Priority;

use crate::controller::Controller;
use crate::ids::JobIndex;
use crate::jobs::Job;

impl Job {
    /// Returns the priority with which the job preempts others. An inherited priority counts only
    /// once the effective deadline is at risk. Until then it only gives the job precedence for
    /// resources that become free, so that no work of other jobs is lost.
    pub fn preemption_priority(&self) -> Priority {
        match self.deadline_at_risk {
            true => self.priority,
            false => self.spec.priority,
        }
    }

    /// Returns the deadline with which the job itself was submitted, if any.
    pub fn own_deadline(&self) -> Option<Deadline> {
        let (class, submitted_ms) = (self.spec.class.clone(), self.submitted_ms);
        self.spec.deadline_s.map(|due_s| Deadline { class, submitted_ms, due_s, tail_s: 0.0 })
    }

    /// Returns the job's own priority and deadline, without those inherited from its dependents.
    fn own_urgency(&self) -> Urgency {
        Urgency { priority: self.spec.priority, deadline: self.own_deadline() }
    }
}

/// Effective deadline of a job: its own, or that of a job that depends on it. The latter job is
/// called the deadline's owner below.
#[derive(Clone, Debug, PartialEq)]
pub struct Deadline {
    /// Class of the deadline's owner; the operator sets objectives by class.
    pub class: String,
    /// Wall-clock time at which the owner was submitted.
    pub submitted_ms: u64,
    /// Seconds from the submission of the owner until the owner is due.
    pub due_s: f64,
    /// Expected seconds between the end of the job with this effective deadline and the end of the
    /// owner; 0 for the owner itself.
    pub tail_s: f64,
}

impl Deadline {
    /// Returns the wall-clock time in milliseconds by which the job with this effective deadline
    /// should be done.
    pub fn latest_ms(&self) -> f64 {
        self.submitted_ms as f64 + (self.due_s - self.tail_s) * 1000.0
    }
}

/// The values that propagate from a job to its dependencies.
#[derive(Clone)]
struct Urgency {
    priority: Priority,
    deadline: Option<Deadline>,
}

impl Urgency {
    /// The initial value: [`Urgency::raise`] with any other value yields that value.
    const LOWEST: Urgency = Urgency { priority: Priority::Low, deadline: None };

    /// Replaces the priority and the deadline by those of `other` where these are more urgent.
    fn raise(&mut self, other: Urgency) {
        self.priority = self.priority.max(other.priority);
        self.deadline = earlier_deadline(self.deadline.take(), other.deadline);
    }

    /// Returns the urgency for a dependency that has to end this much earlier.
    fn earlier_by(&self, duration_s: f64) -> Urgency {
        let extend_tail =
            |deadline: Deadline| Deadline { tail_s: deadline.tail_s + duration_s, ..deadline };
        Urgency { priority: self.priority, deadline: self.deadline.clone().map(extend_tail) }
    }
}

/// Returns the earlier of two deadlines, or the first if they are equal.
fn earlier_deadline(first: Option<Deadline>, second: Option<Deadline>) -> Option<Deadline> {
    match (first, second) {
        (Some(first), Some(second)) if second.latest_ms() < first.latest_ms() => Some(second),
        (Some(first), _) => Some(first),
        (None, second) => second,
    }
}

impl Controller {
    /// Returns the expected time in seconds from when a job could start until its end is recorded:
    /// the estimate of one task (all tasks run at once), the slowest fetch of the image over all
    /// machine types, the heartbeat that reports the end, and the write.
    pub(crate) fn expected_duration_s(&self, job: &Job) -> f64 {
        let fetches =
            self.machine_types.iter().map(|machine| self.fetch_s(&job.spec, &machine.name));
        let fetch_s = fetches.fold(0.0, f64::max);
        let report_ms =
            self.context.config.heartbeat_interval_ms() + 2 * self.context.config.write_batch_ms();
        job.spec.estimate_s + fetch_s + report_ms as f64 / 1000.0
    }

    /// Propagates priorities and deadlines in topological order: starts with the jobs without
    /// dependents, and visits each job after all of its dependents.
    pub(super) fn propagate_urgency(&mut self) {
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
            let for_dependencies = urgency.earlier_by(self.expected_duration_s(job));
            for dependency in job.pending_dependencies.iter().filter_map(|id| self.jobs.find(id)) {
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

    /// Returns all jobs in memory with an edge, and the number of dependents of each job that has
    /// any.
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

    /// Resets jobs that no longer have an edge to their own priority and deadline.
    fn reset_urgency_without_edges(&mut self, jobs_with_edges: BTreeSet<JobIndex>) {
        let old_jobs = std::mem::replace(&mut self.dependency_graph.inheriting, jobs_with_edges);
        for index in old_jobs {
            if self.dependency_graph.inheriting.contains(&index) {
                continue;
            }
            if let Some(urgency) = self.jobs.get(index).map(Job::own_urgency) {
                self.set_urgency(index, urgency);
            }
        }
    }

    /// Changes a job's effective priority and deadline; no other function changes the priority.
    /// Keeps the preemptible resources of each machine consistent with the priority.
    fn set_urgency(&mut self, job_index: JobIndex, urgency: Urgency) {
        let Some(job) = self.jobs.get_mut(job_index) else { return };
        job.deadline = urgency.deadline;
        let new_priority = urgency.priority;
        let old_priority = std::mem::replace(&mut job.priority, new_priority);
        if old_priority == new_priority {
            return;
        }
        let resources = job.resources();
        let (old_fraction, new_fraction) =
            (job.preemptible_fraction(old_priority), job.preemptible_fraction(new_priority));
        for (machine_index, _) in
            job.tasks().filter_map(|(_, task)| task.state.machine_and_attempt())
        {
            if let Some(machine) = self.machines.get_mut(machine_index) {
                machine.preemptible_by_priority[old_priority as usize]
                    .add(&resources, -old_fraction);
                machine.preemptible_by_priority[new_priority as usize]
                    .add(&resources, new_fraction);
            }
        }
    }

    /// Returns whether a job with an inherited priority must start now for its effective deadline
    /// to be met.
    pub(crate) fn deadline_at_risk(&self, job: &Job) -> bool {
        let is_in_time = |deadline: &Deadline| {
            self.context.now.wall_ms as f64 + self.expected_duration_s(job) * 1000.0
                < deadline.latest_ms()
        };
        job.priority > job.spec.priority && !job.deadline.as_ref().is_none_or(is_in_time)
    }
}
