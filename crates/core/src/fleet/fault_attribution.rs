//! Whom a failure blames: the machine, or the job.
//!
//! A faulty machine fails what runs elsewhere; a job that was submitted with a mistake
//! fails wherever it is tried. A job that has failed on several machines and succeeded
//! on none is taken for mistaken: its failures blame no machine, and it is tried one
//! task at a time, after ever longer pauses, until it succeeds or its user cancels it.

use crate::controller::Controller;
use crate::ids::{JobIndex, MachineIndex, TaskKey};
use crate::jobs::Job;

/// What is known of whether a job can run at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobHealth {
    /// Nothing of it has run well yet.
    Untried,
    /// It has run well somewhere.
    Proven,
    /// It fails wherever it is tried.
    FailingEverywhere,
}

/// Machines on which a job must fail, without success on any, to be taken for mistaken.
const MISTAKEN_ON: usize = 3;
/// Jobs that must fail on a machine for it to be taken for faulty. Those of which nothing
/// is known yet count as well. They may turn out to be mistaken, and so the machine takes
/// no more work at once, but is emptied only after two report rounds.
const FAULTY: usize = 2;
/// A pause between trials is at most this power of two of report rounds.
const PAUSE_MOST: u32 = 5;

impl Job {
    pub fn failing_everywhere(&self) -> bool {
        self.health == JobHealth::FailingEverywhere
    }

    /// Its turn to be tried, if it is taken for mistaken.
    pub fn may_try(&self, now_ms: u64) -> bool {
        !self.failing_everywhere() || self.bound == 0 && now_ms >= self.trial_ms
    }

    /// How many of these tasks ask for room: of a mistaken job's one, when nothing of
    /// it is being tried.
    pub fn asking(&self, tasks: u32) -> u32 {
        match self.failing_everywhere() {
            true => tasks.min(u32::from(self.bound == 0)),
            false => tasks,
        }
    }
}

impl Controller {
    /// The one function that changes what is thought of a job.
    pub(crate) fn set_job_health(&mut self, ix: JobIndex, health: JobHealth) {
        let now = self.context.now.steady_ms;
        let first = now + self.context.config.heartbeat_interval_ms();
        let Some(job) = self.jobs.get_mut(ix) else { return };
        if job.health == health {
            return;
        }
        let old = std::mem::replace(&mut job.health, health);
        match health {
            JobHealth::FailingEverywhere => {
                (job.trials, job.trial_ms) = (0, first);
                tracing::info!(job = %job.id, machines = job.errors_on.len(),
                    "taken for mistaken: it fails wherever it is tried");
            }
            JobHealth::Proven if old == JobHealth::FailingEverywhere => {
                tracing::info!(job = %job.id, "no longer taken for mistaken: it has run well");
            }
            _ => {}
        }
        self.attribute_failures_to_machines(ix, health == JobHealth::Proven);
    }

    /// Counts a job's failures against the machines where it failed, or no longer does.
    fn attribute_failures_to_machines(&mut self, ix: JobIndex, guilty: bool) {
        let Some(job) = self.jobs.get(ix) else { return };
        for machine in job.errors_on.clone() {
            if let Some(m) = self.machines.get_mut(machine) {
                match guilty {
                    true => m.failures.insert(ix),
                    false => m.failures.remove(&ix),
                };
            }
            self.update_quarantine(machine);
        }
    }

    /// A task has failed on a machine.
    pub(crate) fn task_failed(&mut self, ix: MachineIndex, key: TaskKey) {
        self.back_off(key);
        let (now, round) =
            (self.context.now.steady_ms, self.context.config.heartbeat_interval_ms());
        let Some(job) = self.jobs.get_mut(key.job) else { return };
        if !job.errors_on.contains(&ix) {
            job.errors_on.push(ix);
        }
        let health = job.health;
        let spread = job.errors_on.len() >= MISTAKEN_ON;
        tracing::debug!(machine = ?ix, job = %job.id, task = key.task, "task failed");
        match health {
            JobHealth::FailingEverywhere => {
                job.trial_ms = now + (round << job.trials.min(PAUSE_MOST))
            }
            JobHealth::Untried if spread => {
                self.set_job_health(key.job, JobHealth::FailingEverywhere)
            }
            _ => {
                if let Some(m) = self.machines.get_mut(ix) {
                    m.failures.insert(key.job);
                }
                self.update_quarantine(ix);
            }
        }
    }

    /// A task has completed on a machine: what failed here before was not its fault.
    pub(crate) fn clear_machine_failures(&mut self, ix: MachineIndex) {
        if let Some(m) = self.machines.get_mut(ix).filter(|m| !m.quarantined) {
            m.failures.clear();
        }
    }

    /// A job is over: what failed of it without a verdict blames nobody.
    pub(crate) fn clear_unattributed_failures(&mut self, ix: JobIndex) {
        if self.jobs.get(ix).is_some_and(|j| j.health == JobHealth::Untried) {
            self.attribute_failures_to_machines(ix, false);
        }
    }

    /// The one function that quarantines a machine, or takes it back.
    fn update_quarantine(&mut self, ix: MachineIndex) {
        let Some(m) = self.machines.get_mut(ix) else { return };
        let faulty = m.failures.len() >= FAULTY;
        if m.quarantined == faulty {
            return;
        }
        m.quarantined = faulty;
        m.empty_from_ms =
            self.context.now.steady_ms + 2 * self.context.config.heartbeat_interval_ms();
        let jobs = m.failures.len();
        if faulty {
            tracing::info!(machine = %m.name, jobs, "quarantined: different jobs fail here");
            self.requeue_probes(ix);
        } else {
            tracing::info!(machine = %m.name, "no longer quarantined: the jobs were at fault");
            self.machines_to_dispatch.insert(ix);
            self.supply_changed = true;
        }
    }

    /// A failed start or task waits longer every time.
    pub(crate) fn back_off(&mut self, key: TaskKey) {
        let (now, step) = (self.context.now.steady_ms, self.context.config.heartbeat_interval_ms());
        if let Some(t) = self.jobs.task_mut(key) {
            t.failures += 1;
            t.not_before_ms = now + (step << t.failures.min(6)) / 4;
        }
    }
}
