//! Propagation of priorities and deadlines from jobs to their dependencies.
//!
//! A job has the highest priority of those that depend on it, and the earliest deadline after
//! subtracting the expected duration of what lies between.

use std::collections::{BTreeMap, BTreeSet};

use quartzgate_wire::msg::Priority;

use crate::controller::Controller;
use crate::ids::JobIndex;
use crate::jobs::Job;

impl Job {
    /// The priority with which it preempts others: the inherited one only once the deadline that
    /// came with it is at risk. Until then it is merely first to get what becomes free, and no
    /// work is lost for it.
    pub fn preemption_priority(&self) -> Priority {
        match self.deadline_at_risk {
            true => self.priority,
            false => self.spec.priority,
        }
    }

    /// The deadline that its own user set.
    pub fn own_deadline(&self) -> Option<Deadline> {
        let (class, at_ms) = (self.spec.class.clone(), self.at_ms);
        self.spec.deadline_s.map(|due_s| Deadline { class, at_ms, due_s, tail_s: 0.0 })
    }

    /// Its own priority and deadline, without those of the jobs that depend on it.
    fn own_urgency(&self) -> Urgency {
        Urgency { priority: self.spec.priority, deadline: self.own_deadline() }
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

impl Controller {
    /// Expected time from when a job could start until its end is recorded, in seconds: all tasks
    /// at once, the fetch of an image, a heartbeat that reports the end and a write.
    pub(crate) fn expected_duration_s(&self, job: &Job) -> f64 {
        let fetches =
            self.machine_types.iter().map(|machine| self.fetch_s(&job.spec, &machine.name));
        let fetch_s = fetches.fold(0.0, f64::max);
        let report_ms =
            self.context.config.heartbeat_interval_ms() + 2 * self.context.config.write_batch_ms();
        job.spec.estimate_s + fetch_s + report_ms as f64 / 1000.0
    }

    /// Propagates priorities and deadlines from the jobs without dependents backwards, each job
    /// after all of its dependents.
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
            let for_dependencies = urgency.before(self.expected_duration_s(job));
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
        job.deadline = urgency.deadline;
        let new = urgency.priority;
        let old = std::mem::replace(&mut job.priority, new);
        if old == new {
            return;
        }
        let resources = job.resources();
        let (old_fraction, new_fraction) =
            (job.preemptible_fraction(old), job.preemptible_fraction(new));
        for (machine_index, _) in job.tasks().filter_map(|(_, task)| task.state.machine()) {
            if let Some(machine) = self.machines.get_mut(machine_index) {
                machine.preemptible_by_priority[old as usize].add(&resources, -old_fraction);
                machine.preemptible_by_priority[new as usize].add(&resources, new_fraction);
            }
        }
    }

    /// Whether a job with an inherited priority must start now for the deadline to be met.
    pub(crate) fn deadline_at_risk(&self, job: &Job) -> bool {
        let in_time = |deadline: &Deadline| {
            self.context.now.wall_ms as f64 + self.expected_duration_s(job) * 1000.0
                < deadline.latest_ms()
        };
        job.priority > job.spec.priority && !job.deadline.as_ref().is_none_or(in_time)
    }
}
