//! Re-probing: gives new probes to waiting tasks whose probed machines are gone or full.

use quartzgate_wire::msg::JobKind;

use crate::controller::Controller;
use crate::fleet::machines::Machine;
use crate::ids::{JobIndex, MachineIndex, TaskKey};
use crate::jobs::{Job, JobState, Task, TaskState};
use crate::placement::candidates::Candidates;
use crate::placement::free_capacity::FreeCapacity;
use crate::placement::placer::MAX_PLACED_PER_PASS;
use crate::storage::records::TASKS_PER_CHUNK;

/// Maximum number of machines with spare capacity to search for per job. It is larger than the
/// number of probes of a task, so that the result can contain a machine that the task does not
/// probe.
const MAX_FREE_MACHINES: usize = 20;
/// Maximum number of waiting tasks whose probes are checked in one pass.
const MAX_CHECKED_PER_PASS: u32 = 8 * MAX_PLACED_PER_PASS;

impl Controller {
    /// Gives new probes to waiting tasks whose probed machines are gone or full, if other machines
    /// have free capacity. Re-probing costs a write, so this runs only once per heartbeat interval,
    /// when the supply of machines changes, when a machine's queue has been cleared, when a waiting
    /// task has no usable probed machine, or when the limits of the last pass did not suffice.
    pub(crate) fn reprobe(&mut self) {
        self.reprobe_due = false;
        let jobs = self.jobs_to_reprobe();
        if jobs.is_empty() {
            return;
        }
        if !self.reprobe_jobs(jobs) {
            self.reprobe_due = true;
        }
    }

    /// Returns the jobs with waiting tasks, roughly in the order in which queues serve them: by
    /// priority, then by missed objectives, then by remaining work.
    fn jobs_to_reprobe(&self) -> Vec<JobIndex> {
        let now_ms = self.context.now.steady_ms;
        let needs_check = |job: &Job| {
            let is_gang = job.spec.kind == JobKind::Gang;
            job.state == JobState::Live && job.waiting > 0 && !is_gang && job.may_start_now(now_ms)
        };
        let mut jobs: Vec<(JobIndex, &Job)> =
            self.jobs.iter().filter(|(_, job)| needs_check(job)).collect();
        jobs.sort_by(|(a_index, a), (b_index, b)| {
            let by_urgency =
                (b.priority, a.missed_objectives).cmp(&(a.priority, b.missed_objectives));
            by_urgency.then(a.remaining_s().total_cmp(&b.remaining_s())).then(a_index.cmp(b_index))
        });
        jobs.into_iter().map(|(index, _)| index).collect()
    }

    /// Checks and re-probes the waiting tasks of these jobs. Returns false if the limits of one
    /// pass did not suffice for all of them.
    fn reprobe_jobs(&mut self, jobs: Vec<JobIndex>) -> bool {
        let now_ms = self.context.now.steady_ms;
        if !self.search_budget.is_available(now_ms) {
            return false;
        }
        let free_capacity = self.free_capacity();
        let (mut checked, mut reprobed) = (0, 0);
        for job_index in jobs {
            if !self.has_machine_for(&free_capacity, job_index) {
                continue;
            }
            let Some(keys) = self.tasks_to_reprobe(job_index) else { continue };
            if !self.search_budget.is_available(now_ms) {
                return false;
            }
            let free_machines =
                self.machines_with_spare(&free_capacity, job_index, MAX_FREE_MACHINES);
            let mut candidates: Option<Candidates> = None;
            for key in keys {
                if checked >= MAX_CHECKED_PER_PASS || reprobed >= MAX_PLACED_PER_PASS {
                    return false;
                }
                checked += 1;
                self.search_budget.spend(now_ms, 1);
                if self.is_well_placed(key, &free_machines) {
                    continue;
                }
                if candidates.is_none() && !self.search_budget.is_available(now_ms) {
                    return false;
                }
                if candidates.is_none() {
                    let found = self.candidates_for(job_index);
                    self.choose_zone_if_bound_to_one(job_index, &found);
                    candidates = Some(found);
                }
                let Some(candidates) = &mut candidates else { continue };
                reprobed += u32::from(self.reprobe_task(key, candidates));
            }
        }
        true
    }

    fn has_machine_for(&self, free_capacity: &FreeCapacity, job_index: JobIndex) -> bool {
        let job = self.jobs.get(job_index);
        job.is_some_and(|job| free_capacity.has_machine_for(self, &job.spec))
    }

    fn choose_zone_if_bound_to_one(&mut self, job_index: JobIndex, candidates: &Candidates) {
        if self.jobs.get(job_index).is_some_and(|job| job.spec.together) {
            self.choose_job_zone(job_index, candidates);
        }
    }

    /// Returns the waiting tasks of a job that are not backing off, limited to the number for which
    /// the job asks for machines ([`Job::demanded_tasks`]).
    fn tasks_to_reprobe(&self, job_index: JobIndex) -> Option<Vec<TaskKey>> {
        let now_ms = self.context.now.steady_ms;
        let job = self.jobs.get(job_index)?;
        let is_ready =
            |task: &Task| task.state == TaskState::Waiting && task.not_before_ms <= now_ms;
        let waiting = job.tasks().filter(|(_, task)| is_ready(task));
        let demanded = waiting.take(job.demanded_tasks(job.waiting) as usize);
        Some(demanded.map(|(task, _)| TaskKey { job: job_index, task }).collect())
    }

    /// Returns whether a waiting task needs no new probes: a probed machine on which the job has
    /// not failed has free capacity; or a probed machine may have free capacity later and no other
    /// machine of `free_machines` has any, or the team's limit keeps the task waiting anyway. Also adds the task to the queues of its probed machines.
    fn is_well_placed(&mut self, key: TaskKey, free_machines: &[MachineIndex]) -> bool {
        // A probed machine may have become usable since the task began to wait.
        self.enqueue(key);
        let Some(job) = self.jobs.get(key.job) else { return true };
        let Some(task) = job.task(key.task) else { return true };
        if is_outside_job_zone(job, task) {
            return false;
        }
        let need = job.resources();
        let (mut may_become_free, mut is_free) = (false, false);
        for probe in &task.probes {
            let machine = self.machines.get(probe.machine);
            let Some(machine) = machine.filter(|machine| machine.usable()) else { continue };
            may_become_free |= self.may_become_free(machine, job.priority, &need);
            is_free |= self.resources_for(probe.machine, machine, job).can_fit(&need)
                && !job.failed_on.contains(&probe.machine);
        }
        let is_not_probed =
            |other: &MachineIndex| !task.probes.iter().any(|probe| probe.machine == *other);
        let could_start = || self.may_start_within_quota(key.job, job, &need);
        let has_better = || free_machines.iter().any(is_not_probed) && could_start();
        is_free || may_become_free && !has_better()
    }

    /// Gives a waiting task new probes if candidates have spare resources, or if none of its
    /// present probes is viable. Returns whether the task got new probes.
    fn reprobe_task(&mut self, key: TaskKey, candidates: &mut Candidates) -> bool {
        let Some(job) = self.jobs.get(key.job) else { return false };
        let Some(task) = job.task(key.task) else { return false };
        let (spec, job_zone, avoid) = (job.spec.clone(), job.zone, job.failed_on.clone());
        let has_viable_probe = !is_outside_job_zone(job, task) && self.has_viable_probe(job, task);
        if has_viable_probe && !candidates.has_spare(None) {
            return false;
        }
        if self.has_unrecorded_probe(job, key, task) {
            return false;
        }
        let Some(zone) = self.zone_for(key, candidates) else { return false };
        let zone = zone.or(job_zone);
        if !candidates.has_spare(zone) && (has_viable_probe || !candidates.any_in(zone)) {
            return false;
        }
        let count = self.probe_count(&spec);
        let mut machines = candidates.choose(self, zone, count, &avoid);
        if machines.is_empty() {
            machines = candidates.choose(self, zone, count, &[]);
        }
        if machines.is_empty() {
            return false;
        }
        self.set_probes(key, machines, zone);
        self.enqueue(key);
        self.mark_dirty(key.job, key.task / TASKS_PER_CHUNK);
        true
    }

    /// Returns whether a probed machine of the task is usable and may have capacity for it now or
    /// later.
    fn has_viable_probe(&self, job: &Job, task: &Task) -> bool {
        let need = job.resources();
        task.probes.iter().any(|probe| {
            let machine = self.machines.get(probe.machine).filter(|machine| machine.usable());
            machine.is_some_and(|machine| self.may_become_free(machine, job.priority, &need))
        })
    }

    /// Returns whether the task has a probe on a usable machine that the stored record does not
    /// name yet. Such a task gets no new probes: while the write is late, it would otherwise get
    /// new ones again and again, and never start.
    fn has_unrecorded_probe(&self, job: &Job, key: TaskKey, task: &Task) -> bool {
        let stored_version =
            job.chunks.get(&(key.task / TASKS_PER_CHUNK)).map_or(0, |chunk| chunk.stored_version);
        task.probes.iter().any(|probe| {
            let machine = self.machines.get(probe.machine);
            machine.is_some_and(Machine::usable) && probe.version > stored_version
        })
    }
}

/// Returns whether a task is placed in another zone than the one in which all tasks of its job have
/// to run now.
fn is_outside_job_zone(job: &Job, task: &Task) -> bool {
    job.spec.together && job.zone.is_some() && task.zone != job.zone
}
