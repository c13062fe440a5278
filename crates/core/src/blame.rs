//! Whom a failure blames: the machine, or the job.
//!
//! A faulty machine fails what runs elsewhere; a job that was submitted with a mistake
//! fails wherever it is tried. A job that has failed on several machines and succeeded
//! on none is taken for mistaken: its failures blame no machine, and it is tried one
//! task at a time, after ever longer pauses, until it succeeds or its user cancels it.

use crate::controller::Controller;
use crate::ids::{JobIx, MachineIx, TaskKey};
use crate::jobs::Job;

/// What is known of whether a job can run at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// Nothing of it has run well yet.
    Untried,
    /// It has run well somewhere.
    Proven,
    /// It fails wherever it is tried.
    Mistaken,
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
    pub fn mistaken(&self) -> bool {
        self.trust == Trust::Mistaken
    }

    /// Its turn to be tried, if it is taken for mistaken.
    pub fn may_try(&self, now_ms: u64) -> bool {
        !self.mistaken() || self.bound == 0 && now_ms >= self.trial_ms
    }

    /// How many of these tasks ask for room: of a mistaken job's one, when nothing of
    /// it is being tried.
    pub fn asking(&self, tasks: u32) -> u32 {
        match self.mistaken() {
            true => tasks.min(u32::from(self.bound == 0)),
            false => tasks,
        }
    }
}

impl Controller {
    /// The one function that changes what is thought of a job.
    pub(crate) fn trust_to(&mut self, ix: JobIx, trust: Trust) {
        let now = self.now.steady_ms;
        let first = now + self.cfg.report_ms();
        let Some(job) = self.jobs.get_mut(ix) else { return };
        if job.trust == trust {
            return;
        }
        let old = std::mem::replace(&mut job.trust, trust);
        match trust {
            Trust::Mistaken => {
                (job.trials, job.trial_ms) = (0, first);
                tracing::info!(job = %job.id, machines = job.errors_on.len(),
                    "taken for mistaken: it fails wherever it is tried");
            }
            Trust::Proven if old == Trust::Mistaken => {
                tracing::info!(job = %job.id, "no longer taken for mistaken: it has run well");
            }
            _ => {}
        }
        self.blame_machines(ix, trust == Trust::Proven);
    }

    /// Counts a job's failures against the machines where it failed, or no longer does.
    fn blame_machines(&mut self, ix: JobIx, guilty: bool) {
        let Some(job) = self.jobs.get(ix) else { return };
        for machine in job.errors_on.clone() {
            if let Some(m) = self.machines.get_mut(machine) {
                match guilty {
                    true => m.failures.insert(ix),
                    false => m.failures.remove(&ix),
                };
            }
            self.judge(machine);
        }
    }

    /// A task has failed on a machine.
    pub(crate) fn task_failed(&mut self, ix: MachineIx, key: TaskKey) {
        self.back_off(key);
        let (now, round) = (self.now.steady_ms, self.cfg.report_ms());
        let Some(job) = self.jobs.get_mut(key.job) else { return };
        if !job.errors_on.contains(&ix) {
            job.errors_on.push(ix);
        }
        let trust = job.trust;
        let spread = job.errors_on.len() >= MISTAKEN_ON;
        tracing::debug!(machine = ?ix, job = %job.id, task = key.task, "task failed");
        match trust {
            Trust::Mistaken => job.trial_ms = now + (round << job.trials.min(PAUSE_MOST)),
            Trust::Untried if spread => self.trust_to(key.job, Trust::Mistaken),
            _ => {
                if let Some(m) = self.machines.get_mut(ix) {
                    m.failures.insert(key.job);
                }
                self.judge(ix);
            }
        }
    }

    /// A task has completed on a machine: what failed here before was not its fault.
    pub(crate) fn task_ran_well(&mut self, ix: MachineIx) {
        if let Some(m) = self.machines.get_mut(ix).filter(|m| !m.quarantined) {
            m.failures.clear();
        }
    }

    /// A job is over: what failed of it without a verdict blames nobody.
    pub(crate) fn absolve(&mut self, ix: JobIx) {
        if self.jobs.get(ix).is_some_and(|j| j.trust == Trust::Untried) {
            self.blame_machines(ix, false);
        }
    }

    /// The one function that quarantines a machine, or takes it back.
    fn judge(&mut self, ix: MachineIx) {
        let Some(m) = self.machines.get_mut(ix) else { return };
        let faulty = m.failures.len() >= FAULTY;
        if m.quarantined == faulty {
            return;
        }
        m.quarantined = faulty;
        m.empty_from_ms = self.now.steady_ms + 2 * self.cfg.report_ms();
        let jobs = m.failures.len();
        if faulty {
            tracing::info!(machine = %m.name, jobs, "quarantined: different jobs fail here");
            self.requeue_probes(ix);
        } else {
            tracing::info!(machine = %m.name, "no longer quarantined: the jobs were at fault");
            self.touched.insert(ix);
            self.supply_changed = true;
        }
    }

    /// A failed start or task waits longer every time.
    pub(crate) fn back_off(&mut self, key: TaskKey) {
        let (now, step) = (self.now.steady_ms, self.cfg.report_ms());
        if let Some(t) = self.jobs.task_mut(key) {
            t.failures += 1;
            t.not_before_ms = now + (step << t.failures.min(6)) / 4;
        }
    }
}
