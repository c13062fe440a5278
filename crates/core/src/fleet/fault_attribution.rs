//! Fault attribution: whether a failed task counts against its machine or against its job.
//!
//! On a faulty machine, tasks fail that succeed elsewhere; a faulty job fails on every machine.
//! A job that has failed on several machines and succeeded on none is considered to fail
//! everywhere: its failures count against no machine, and it is tried one task at a time, with
//! exponential backoff, until it succeeds or is aborted. A machine on which several jobs fail is
//! quarantined.
//!
//! Only this module changes `Job::health` and `Machine::quarantined`.

use crate::controller::Controller;
use crate::ids::{JobIndex, MachineIndex, TaskKey};
use crate::jobs::Job;

/// Whether a job is known to run successfully or to fail on every machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobHealth {
    /// No task of the job has run successfully yet, and the job has failed on too few machines to
    /// be considered failing everywhere.
    Untried,
    /// A task of the job has run successfully on some machine.
    RunsWell,
    /// The job fails on every machine on which it is tried.
    FailingEverywhere,
}

/// A job is considered to fail everywhere once it has failed on this many machines and succeeded
/// on none.
const FAILING_EVERYWHERE_MIN_MACHINES: usize = 3;
/// A machine is quarantined once this many jobs have failed on it. Untried jobs count as well. As
/// they may turn out to be faulty themselves, the machine gets no more work from then on but is
/// drained only after [`EVICT_AFTER_INTERVALS`].
const QUARANTINE_MIN_FAILING_JOBS: usize = 2;
/// Heartbeat intervals from a machine's quarantine until it is drained.
const EVICT_AFTER_INTERVALS: u64 = 2;
/// Binary logarithm of the maximum pause between trials of a job that fails everywhere, in
/// heartbeat intervals.
const MAX_TRIAL_PAUSE_EXPONENT: u32 = 5;
/// Binary logarithm of the maximum backoff of a failed task, in quarters of a heartbeat interval.
const MAX_BACK_OFF_EXPONENT: u32 = 6;

impl Job {
    /// Returns whether the job is considered to fail on every machine.
    pub fn failing_everywhere(&self) -> bool {
        self.health == JobHealth::FailingEverywhere
    }

    /// Returns whether a task may be started now. A job that fails everywhere is tried one task at
    /// a time, after a pause.
    pub fn may_start_now(&self, now_ms: u64) -> bool {
        !self.failing_everywhere() || self.bound_tasks == 0 && now_ms >= self.next_trial_ms
    }

    /// Returns for how many of these tasks resources are demanded. A job that fails everywhere
    /// demands them for one task, and for none while that task is being tried.
    pub fn demanded_tasks(&self, tasks: u32) -> u32 {
        match self.failing_everywhere() {
            true => tasks.min(u32::from(self.bound_tasks == 0)),
            false => tasks,
        }
    }
}

impl Controller {
    /// Changes a job's health and attributes its failures accordingly. No other function changes
    /// the health.
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
            JobHealth::RunsWell if old_health == JobHealth::FailingEverywhere => {
                tracing::info!(job = %job.id, "job no longer fails on every machine");
            }
            _ => {}
        }
        self.attribute_failures_to_machines(index, health == JobHealth::RunsWell);
    }

    /// Counts a job's failures against the machines on which it failed if `count`, else removes
    /// them from these machines' counts.
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

    /// Handles the failure of a task on a machine, and attributes it to the job or the machine.
    pub(super) fn task_failed(&mut self, index: MachineIndex, key: TaskKey) {
        self.back_off(key);
        let now_ms = self.context.now.steady_ms;
        let interval_ms = self.context.config.heartbeat_interval_ms();
        let Some(job) = self.jobs.get_mut(key.job) else { return };
        if !job.failed_on.contains(&index) {
            job.failed_on.push(index);
        }
        let failed_on_many = job.failed_on.len() >= FAILING_EVERYWHERE_MIN_MACHINES;
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

    /// Clears a machine's failures after a task has completed on it, because earlier failures were
    /// not the machine's fault. Failures of a quarantined machine are kept.
    pub(super) fn clear_machine_failures(&mut self, index: MachineIndex) {
        if let Some(machine) = self.machines.get_mut(index).filter(|machine| !machine.quarantined) {
            machine.failures.clear();
        }
    }

    /// Removes the failures of a job that ends while it is untried from the counts of all machines.
    pub(crate) fn clear_unattributed_failures(&mut self, index: JobIndex) {
        if self.jobs.get(index).is_some_and(|job| job.health == JobHealth::Untried) {
            self.attribute_failures_to_machines(index, false);
        }
    }

    /// Quarantines a machine or ends its quarantine, by the number of jobs that failed on it. No
    /// other function does so.
    fn update_quarantine(&mut self, index: MachineIndex) {
        let interval_ms = self.context.config.heartbeat_interval_ms();
        let Some(machine) = self.machines.get_mut(index) else { return };
        let failing_jobs = machine.failures.len();
        let faulty = failing_jobs >= QUARANTINE_MIN_FAILING_JOBS;
        if machine.quarantined == faulty {
            return;
        }
        machine.quarantined = faulty;
        machine.evict_from_ms = self.context.now.steady_ms + EVICT_AFTER_INTERVALS * interval_ms;
        if faulty {
            tracing::info!(machine = %machine.name, failing_jobs, "machine quarantined");
            self.clear_probe_queue(index);
        } else {
            tracing::info!(machine = %machine.name, "machine no longer quarantined");
            self.machines_to_dispatch.insert(index);
            self.supply_changed = true;
        }
    }

    /// Delays the next start of a failed task, with exponential backoff.
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
