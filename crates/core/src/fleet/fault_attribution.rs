//! Fault attribution: whether a failed task counts against its machine or against its job.
//!
//! A faulty machine fails tasks that run well elsewhere; a faulty job fails wherever it is tried.
//! A job that has failed on several machines and succeeded on none counts as failing everywhere:
//! its failures count against no machine, and it is tried one task at a time, after ever longer
//! pauses, until it succeeds or is aborted. A machine on which different jobs fail is
//! quarantined.
//!
//! This module alone changes `Job::health` and `Machine::quarantined`.

use crate::controller::Controller;
use crate::ids::{JobIndex, MachineIndex, TaskKey};
use crate::jobs::Job;

/// What is known of whether a job can run at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobHealth {
    /// No task of it has run well yet.
    Untried,
    /// It has run well somewhere.
    Proven,
    /// It fails wherever it is tried.
    FailingEverywhere,
}

/// Machines on which a job must fail, without success on any, to count as failing everywhere.
const MACHINES_TO_BLAME_JOB: usize = 3;
/// Jobs that must fail on a machine for its quarantine. Jobs of unknown health count as well.
/// They may turn out to be faulty themselves, so the machine gets no more work at once, but is
/// drained only after [`EVICT_AFTER_INTERVALS`].
const JOBS_TO_BLAME_MACHINE: usize = 2;
/// Heartbeat intervals from a machine's quarantine until it is drained.
const EVICT_AFTER_INTERVALS: u64 = 2;
/// The pause between trials of a job is at most two to this power, in heartbeat intervals.
const MAX_TRIAL_PAUSE_EXPONENT: u32 = 5;
/// The back-off of a failed task is at most two to this power, in quarter heartbeat intervals.
const MAX_BACK_OFF_EXPONENT: u32 = 6;

impl Job {
    /// Whether the job fails wherever it is tried.
    pub fn failing_everywhere(&self) -> bool {
        self.health == JobHealth::FailingEverywhere
    }

    /// Whether a task may be started now: a job that fails everywhere is tried one task at a
    /// time, after a pause.
    pub fn may_start_now(&self, now_ms: u64) -> bool {
        !self.failing_everywhere() || self.bound == 0 && now_ms >= self.next_trial_ms
    }

    /// For how many of these tasks resources are wanted: for one if the job fails everywhere,
    /// and for none while that one is being tried.
    pub fn asking(&self, tasks: u32) -> u32 {
        match self.failing_everywhere() {
            true => tasks.min(u32::from(self.bound == 0)),
            false => tasks,
        }
    }
}

impl Controller {
    /// The one function that changes a job's health.
    pub(crate) fn set_job_health(&mut self, index: JobIndex, health: JobHealth) {
        let interval_ms = self.context.config.heartbeat_interval_ms();
        let first_trial_ms = self.context.now.steady_ms + interval_ms;
        let Some(job) = self.jobs.get_mut(index) else { return };
        if job.health == health {
            return;
        }
        let old_health = std::mem::replace(&mut job.health, health);
        match health {
            JobHealth::FailingEverywhere => {
                (job.trials, job.next_trial_ms) = (0, first_trial_ms);
                tracing::info!(
                    job = %job.id, machines = job.failed_on.len(),
                    "job fails on every machine"
                );
            }
            JobHealth::Proven if old_health == JobHealth::FailingEverywhere => {
                tracing::info!(job = %job.id, "job no longer fails on every machine");
            }
            _ => {}
        }
        self.attribute_failures_to_machines(index, health == JobHealth::Proven);
    }

    /// Counts a job's failures against the machines where it failed, or takes them back.
    fn attribute_failures_to_machines(&mut self, job_index: JobIndex, count: bool) {
        let Some(job) = self.jobs.get(job_index) else { return };
        for machine_index in job.failed_on.clone() {
            if let Some(machine) = self.machines.get_mut(machine_index) {
                match count {
                    true => machine.failures.insert(job_index),
                    false => machine.failures.remove(&job_index),
                };
            }
            self.update_quarantine(machine_index);
        }
    }

    /// A task has failed on a machine.
    pub(super) fn task_failed(&mut self, index: MachineIndex, key: TaskKey) {
        self.back_off(key);
        let now_ms = self.context.now.steady_ms;
        let interval_ms = self.context.config.heartbeat_interval_ms();
        let Some(job) = self.jobs.get_mut(key.job) else { return };
        if !job.failed_on.contains(&index) {
            job.failed_on.push(index);
        }
        let failed_on_many = job.failed_on.len() >= MACHINES_TO_BLAME_JOB;
        tracing::debug!(machine = ?index, job = %job.id, task = key.task, "task failed");
        match job.health {
            JobHealth::FailingEverywhere => {
                let pause_ms = interval_ms << job.trials.min(MAX_TRIAL_PAUSE_EXPONENT);
                job.next_trial_ms = now_ms + pause_ms;
            }
            JobHealth::Untried if failed_on_many => {
                self.set_job_health(key.job, JobHealth::FailingEverywhere)
            }
            _ => {
                if let Some(machine) = self.machines.get_mut(index) {
                    machine.failures.insert(key.job);
                }
                self.update_quarantine(index);
            }
        }
    }

    /// A task has completed on a machine: earlier failures there were not the machine's fault.
    pub(super) fn clear_machine_failures(&mut self, index: MachineIndex) {
        if let Some(machine) = self.machines.get_mut(index).filter(|machine| !machine.quarantined) {
            machine.failures.clear();
        }
    }

    /// A job is over while its health is unknown: its failures count against no machine.
    pub(crate) fn clear_unattributed_failures(&mut self, index: JobIndex) {
        if self.jobs.get(index).is_some_and(|job| job.health == JobHealth::Untried) {
            self.attribute_failures_to_machines(index, false);
        }
    }

    /// The one function that quarantines a machine or ends its quarantine.
    fn update_quarantine(&mut self, index: MachineIndex) {
        let interval_ms = self.context.config.heartbeat_interval_ms();
        let Some(machine) = self.machines.get_mut(index) else { return };
        let failing_jobs = machine.failures.len();
        let faulty = failing_jobs >= JOBS_TO_BLAME_MACHINE;
        if machine.quarantined == faulty {
            return;
        }
        machine.quarantined = faulty;
        machine.evict_from_ms = self.context.now.steady_ms + EVICT_AFTER_INTERVALS * interval_ms;
        if faulty {
            tracing::info!(machine = %machine.name, failing_jobs, "machine quarantined");
            self.requeue_probes(index);
        } else {
            tracing::info!(machine = %machine.name, "machine no longer quarantined");
            self.machines_to_dispatch.insert(index);
            self.supply_changed = true;
        }
    }

    /// A task that has failed waits longer each time before it is started again.
    pub(super) fn back_off(&mut self, key: TaskKey) {
        let now_ms = self.context.now.steady_ms;
        let interval_ms = self.context.config.heartbeat_interval_ms();
        if let Some(task) = self.jobs.task_mut(key) {
            task.failures += 1;
            let exponent = task.failures.min(MAX_BACK_OFF_EXPONENT);
            task.not_before_ms = now_ms + (interval_ms << exponent) / 4;
        }
    }
}
