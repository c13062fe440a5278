//! New probes for waiting tasks whose machines are gone or full.

use quartzgate_wire::msg::JobKind;

use crate::controller::Controller;
use crate::fleet::machines::Machine;
use crate::ids::{JobIndex, MachineIndex, TaskKey};
use crate::jobs::{Job, JobState, Task, TaskState};
use crate::placement::candidates::Candidates;
use crate::placement::placer::MAX_PLACED_PER_PASS;
use crate::storage::records::TASKS_PER_CHUNK;

/// Machines with free capacity that are looked for: more than a task has probes.
const MAX_FREE_MACHINES: usize = 20;
/// Waiting tasks whose probes are checked in one pass.
const MAX_CHECKED_PER_PASS: u32 = 8 * MAX_PLACED_PER_PASS;

impl Controller {
    /// Gives waiting tasks other machines where theirs are gone or full and others have free
    /// capacity. This costs a write, so it runs once a round or when the supply changes.
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

    /// Jobs with waiting tasks in the order in which queues serve them.
    fn jobs_to_reprobe(&self) -> Vec<JobIndex> {
        let now_ms = self.context.now.steady_ms;
        let is_concerned = |job: &Job| {
            let gang = job.spec.shape == JobKind::Gang;
            job.state == JobState::Live && job.waiting > 0 && !gang && job.may_start_now(now_ms)
        };
        let mut jobs: Vec<(JobIndex, &Job)> =
            self.jobs.iter().filter(|(_, job)| is_concerned(job)).collect();
        jobs.sort_by(|(a_index, a), (b_index, b)| {
            let by_urgency =
                (b.priority, a.missed_objectives).cmp(&(a.priority, b.missed_objectives));
            by_urgency.then(a.remaining_s().total_cmp(&b.remaining_s())).then(a_index.cmp(b_index))
        });
        jobs.into_iter().map(|(index, _)| index).collect()
    }

    /// Returns false if the limits of one pass did not suffice.
    fn reprobe_jobs(&mut self, jobs: Vec<JobIndex>) -> bool {
        let now_ms = self.context.now.steady_ms;
        if !self.search_budget.left(now_ms) {
            return false;
        }
        let free_capacity = self.free_capacity();
        let (mut checked, mut moved) = (0, 0);
        for job_index in jobs {
            let Some(keys) = self.tasks_to_reprobe(job_index) else { continue };
            if !self.search_budget.left(now_ms) {
                return false;
            }
            let free_machines =
                self.machines_with_spare(&free_capacity, job_index, MAX_FREE_MACHINES);
            let mut candidates: Option<Candidates> = None;
            for key in keys {
                if checked >= MAX_CHECKED_PER_PASS || moved >= MAX_PLACED_PER_PASS {
                    return false;
                }
                checked += 1;
                self.search_budget.spend(now_ms, 1);
                if self.is_well_placed(key, &free_machines) {
                    continue;
                }
                if candidates.is_none() && !self.search_budget.left(now_ms) {
                    return false;
                }
                let candidates = candidates.get_or_insert_with(|| self.candidates_for(job_index));
                moved += u32::from(self.reprobe_task(key, candidates));
            }
        }
        true
    }

    /// Waiting tasks of a job that may start now, as many as it asks machines for.
    fn tasks_to_reprobe(&self, job_index: JobIndex) -> Option<Vec<TaskKey>> {
        let now_ms = self.context.now.steady_ms;
        let job = self.jobs.get(job_index)?;
        let is_ready =
            |task: &Task| task.state == TaskState::Waiting && task.not_before_ms <= now_ms;
        let waiting = job.tasks().filter(|(_, task)| is_ready(task));
        let asking = waiting.take(job.asking(job.waiting) as usize);
        Some(asking.map(|(task, _)| TaskKey { job: job_index, task }).collect())
    }

    /// Whether a waiting task is placed as well as it can be: a machine of its probes has free
    /// capacity, or one may come to have it and no other machine has any.
    fn is_well_placed(&mut self, key: TaskKey, free_machines: &[MachineIndex]) -> bool {
        // A machine may have become usable since the task began to wait.
        self.enqueue(key);
        let Some(job) = self.jobs.get(key.job) else { return true };
        let Some(task) = job.task(key.task) else { return true };
        let need = job.resources();
        let (mut may_come_free, mut is_free) = (false, false);
        for probe in &task.probes {
            let machine = self.machines.get(probe.machine);
            let Some(machine) = machine.filter(|machine| machine.usable()) else { continue };
            may_come_free |= self.may_come_free(machine, job.priority, &need);
            is_free |= self.resources_for(probe.machine, machine, job).fits(&need)
                && !job.failed_on.contains(&probe.machine);
        }
        let is_elsewhere =
            |other: &MachineIndex| !task.probes.iter().any(|probe| probe.machine == *other);
        is_free || may_come_free && !free_machines.iter().any(is_elsewhere)
    }

    /// Gives a waiting task other probes, if that helps. Returns whether it did.
    fn reprobe_task(&mut self, key: TaskKey, candidates: &mut Candidates) -> bool {
        let Some(job) = self.jobs.get(key.job) else { return false };
        let Some(task) = job.task(key.task) else { return false };
        let (spec, job_zone, avoid) = (job.spec.clone(), job.zone, job.failed_on.clone());
        let has_prospects = self.has_prospects(job, task);
        if has_prospects && !candidates.has_spare(None) {
            return false;
        }
        if self.has_unrecorded_probe(job, key, task) {
            return false;
        }
        let Some(zone) = self.zone_for(key, candidates) else { return false };
        let zone = zone.or(job_zone);
        if !candidates.has_spare(zone) && (has_prospects || !candidates.any_in(zone)) {
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

    /// Whether a machine of the task's probes may come to have capacity for it.
    fn has_prospects(&self, job: &Job, task: &Task) -> bool {
        let need = job.resources();
        task.probes.iter().any(|probe| {
            let machine = self.machines.get(probe.machine).filter(|machine| machine.usable());
            machine.is_some_and(|machine| self.may_come_free(machine, job.priority, &need))
        })
    }

    /// Whether the stored record does not name a usable machine of the task's probes yet. Such a
    /// task gets no other probes: if the write is late, it would get new ones again and again, and
    /// never start.
    fn has_unrecorded_probe(&self, job: &Job, key: TaskKey, task: &Task) -> bool {
        let stored_version =
            job.chunks.get(&(key.task / TASKS_PER_CHUNK)).map_or(0, |chunk| chunk.stored_version);
        task.probes.iter().any(|probe| {
            let machine = self.machines.get(probe.machine);
            machine.is_some_and(Machine::usable) && probe.version > stored_version
        })
    }
}
