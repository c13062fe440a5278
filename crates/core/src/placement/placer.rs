//! Placer: selects the tasks that get probes, and the machines to probe.
//!
//! Jobs are placed by priority, then by missed objectives, then by the time at which they became
//! ready, within the quotas of their teams ([`super::quota`]) and the search budget of one pass.

use quartzgate_wire::msg::{JobKind, JobSpec};

use crate::controller::Controller;
use crate::fleet::machines::{Machine, Resources};
use crate::ids::{JobIndex, MachineIndex, TaskKey};
use crate::jobs::{Job, TaskState};
use crate::placement::candidates::Candidates;
use crate::placement::gangs::GangHold;
use crate::placement::placement_pass::{PlacementLimit, PlacementPass};
use crate::storage::records::TASKS_PER_CHUNK;

/// Maximum number of a job's chunks in memory that have unfinished tasks.
pub(crate) const MAX_OPEN_CHUNKS: usize = 16;
/// Maximum size of one probe in a placement record: the machine's name and its positions.
const PROBE_BYTES: f64 = 40.0;
/// Maximum number of tasks placed in one pass; the rest are placed at the next event.
pub(super) const MAX_PLACED_PER_PASS: u32 = 256;

impl Controller {
    /// Returns the resources of an empty machine of this type, or `None` if the type is unknown.
    pub(crate) fn capacity_of(&self, kind: &str) -> Option<Resources> {
        let machine_type =
            self.machine_types.iter().find(|machine_type| machine_type.name == kind)?;
        Some(Resources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        })
    }

    /// Returns the resources of a machine that no bound task uses.
    pub(crate) fn free_resources(&self, machine: &Machine) -> Resources {
        let capacity = self.capacity_of(&machine.kind);
        capacity.map_or(Resources::default(), |capacity| capacity.minus(&machine.used))
    }

    /// Returns the free resources of a machine that a job may use.
    pub(crate) fn resources_for(
        &self,
        machine_index: MachineIndex,
        machine: &Machine,
        job: &Job,
    ) -> Resources {
        let held = self.gang_holds.get(&machine_index);
        self.without_gang_holds(machine, self.free_resources(machine), held, job)
    }

    /// Returns the part of a machine's free resources that a job may use. Excludes the resources
    /// held for gangs of at least the job's priority. If nothing is excluded for gangs, excludes the
    /// resources reserved for GPU tasks, if the job has to respect them.
    pub(crate) fn without_gang_holds(
        &self,
        machine: &Machine,
        free: Resources,
        held: Option<&GangHold>,
        job: &Job,
    ) -> Resources {
        if let Some(hold) = held.filter(|hold| hold.priority >= job.priority) {
            free.minus(&hold.resources)
        } else if self.respects_gpu_reserve(job) {
            free.minus(&self.reserved_for_gpu_tasks(machine, &free))
        } else {
            free
        }
    }

    /// Returns whether a job may run on a machine of this type and zone, and, if `spot` is set, on
    /// a spot machine.
    pub(crate) fn allows(&self, spec: &JobSpec, kind: &str, zone: Option<u16>, spot: bool) -> bool {
        let zones = &self.context.config.platform.params.zones;
        let is_wanted_zone =
            |wanted: &String| zone.is_some_and(|zone| zones[zone as usize] == *wanted);
        (spec.spot || !spot)
            && spec.types.as_ref().is_none_or(|types| types.iter().any(|name| name == kind))
            && spec.zone.as_ref().is_none_or(is_wanted_zone)
    }

    /// Places tasks of live jobs in the order of [`Controller::jobs_to_place`]. The search budget
    /// bounds one pass; the next pass places the remaining tasks.
    pub(crate) fn place_all(&mut self) {
        let now_ms = self.context.now.steady_ms;
        let jobs = self.jobs_to_place();
        if jobs.is_empty() {
            return;
        }
        let mut pass = PlacementPass::new(self.backlog());
        for job_index in jobs {
            let Some(limit) = self.placement_limit(job_index, &mut pass) else { continue };
            if !self.search_budget.is_available(now_ms) {
                self.placement_due = true;
                return;
            }
            // Without a machine to choose, the search for one would be in vain.
            if !pass.has_machine_for(self, job_index) {
                self.postpone_placement(job_index);
                continue;
            }
            let placed = self.place_tasks(job_index, limit);
            pass.note_placed(self, job_index, placed);
        }
    }

    /// Returns the time that a machine of this type takes to fetch a job's image, in seconds; 0 if
    /// the type is unknown or has no fetch rate.
    pub(crate) fn fetch_s(&self, spec: &JobSpec, kind: &str) -> f64 {
        let machine_type = self.machine_types.iter().find(|machine_type| machine_type.name == kind);
        let gb_per_s = machine_type.map_or(0.0, |machine_type| machine_type.fetch_gb_per_s);
        if gb_per_s > 0.0 {
            spec.image_gb / gb_per_s
        } else {
            0.0
        }
    }

    /// Returns the longest wait that the operator's objectives allow for tasks of this class, in
    /// seconds, or `None` if the class has no wait objective.
    pub(crate) fn wait_objective_s(&self, class: &str) -> Option<f64> {
        let objectives = &self.context.config.platform.params.objectives;
        let waits = objectives.iter().filter(|objective| objective.kind == "wait");
        let mut of_class = waits.filter(|objective| objective.class.as_deref() == Some(class));
        of_class.find_map(|objective| objective.within_s)
    }

    /// Returns the number of probes that each task of this job gets.
    pub(super) fn probe_count(&self, spec: &JobSpec) -> usize {
        if spec.estimate_s > self.context.config.operator.long_task_s {
            return 1;
        }
        // A placement record with all probes of its tasks has to fit into one transaction.
        let limits = self.store_limits();
        let transaction_bytes = limits.value_kb * 1024.0 * (limits.txn_ops - 1) as f64;
        let max_probes = transaction_bytes / (f64::from(TASKS_PER_CHUNK) * PROBE_BYTES);
        self.context.config.operator.probes.min((max_probes as usize).max(1))
    }

    /// Places as many of a job's tasks as the reservation against the team's quota and the limits of
    /// one pass allow. Returns whether any task was placed.
    pub(crate) fn place_job(&mut self, job_index: JobIndex) -> bool {
        self.place_tasks(job_index, PlacementLimit::Reservation) > 0
    }

    /// Places as many of a job's tasks as `limit` allows. Returns how many were placed.
    fn place_tasks(&mut self, job_index: JobIndex, limit: PlacementLimit) -> u32 {
        let Some(job) = self.jobs.get(job_index) else { return 0 };
        if job.spec.kind == JobKind::Gang {
            return 0;
        }
        let (team, need, spec) = (job.team, job.resources(), job.spec.clone());
        let may_open_chunk = job.may_open_chunk();
        let is_within = |controller: &Controller, placed: u32| match limit {
            PlacementLimit::Reservation => {
                placed < MAX_PLACED_PER_PASS && controller.within_reservation(team, &need)
            }
            PlacementLimit::Tasks(max_tasks) => placed < max_tasks,
        };
        if !may_open_chunk || !is_within(self, 0) {
            return 0;
        }
        let mut candidates = self.candidates_for(job_index);
        if candidates.is_empty() {
            self.postpone_placement(job_index);
            return 0;
        }
        let probe_count = self.probe_count(&spec);
        if spec.together {
            self.choose_job_zone(job_index, &candidates);
        }
        let mut placed = 0;
        while is_within(self, placed) {
            let Some(task) = self.next_task_to_place(job_index) else { break };
            let key = TaskKey { job: job_index, task };
            let unplaced = self.jobs.task(key).map(|t| t.state) == Some(TaskState::Unplaced);
            if unplaced && !self.place_task(key, &mut candidates, probe_count) {
                break;
            }
            if let Some(job) = self.jobs.get_mut(job_index) {
                job.next_unplaced = task + 1;
            }
            placed += 1;
        }
        if placed == 0 {
            self.postpone_placement(job_index);
        }
        placed
    }

    /// Returns the next task of a job that is not in a done chunk, and opens its chunk if needed.
    /// Returns `None` if no task is left or if no further chunk may be opened.
    fn next_task_to_place(&mut self, job_index: JobIndex) -> Option<u32> {
        loop {
            let job = self.jobs.get_mut(job_index)?;
            if job.next_unplaced >= job.spec.tasks {
                return None;
            }
            let chunk = job.next_unplaced / TASKS_PER_CHUNK;
            if job.in_done_chunk(job.next_unplaced) {
                job.next_unplaced = ((chunk + 1) * TASKS_PER_CHUNK).min(job.spec.tasks);
                continue;
            }
            let task = job.next_unplaced;
            if !job.chunks.contains_key(&chunk) {
                if !job.may_open_chunk() {
                    return None;
                }
                self.open_chunk(job_index, chunk);
            }
            return Some(task);
        }
    }

    /// Adds a chunk of unplaced tasks to a job in memory.
    pub(crate) fn open_chunk(&mut self, job_index: JobIndex, chunk: u32) {
        let Some(job) = self.jobs.get(job_index) else { return };
        let len = job.chunk_len(chunk);
        let new_chunk = self.new_chunk(len);
        if let Some(job) = self.jobs.get_mut(job_index) {
            job.chunks.insert(chunk, new_chunk);
        }
    }

    /// Postpones placement of a job for which no machine was found, so that it is not tried again
    /// at every event.
    fn postpone_placement(&mut self, job_index: JobIndex) {
        let retry_at_ms = self.context.now.steady_ms + self.context.config.write_batch_ms();
        if let Some(job) = self.jobs.get_mut(job_index) {
            job.placement_from_ms = retry_at_ms;
        }
    }

    fn place_task(
        &mut self,
        key: TaskKey,
        candidates: &mut Candidates,
        probe_count: usize,
    ) -> bool {
        let Some(zone) = self.zone_for(key, candidates) else { return false };
        let machines = candidates.choose(self, zone, probe_count, &[]);
        if machines.is_empty() {
            return false;
        }
        self.set_probes(key, machines, zone);
        self.set_task_state(key, TaskState::Waiting);
        self.mark_dirty(key.job, key.task / TASKS_PER_CHUNK);
        true
    }

    /// Chooses the zone for a task. Returns `Some(None)` if its job has no zone rule, and `None` if
    /// no zone can take the task now.
    pub(super) fn zone_for(&self, key: TaskKey, candidates: &Candidates) -> Option<Option<u16>> {
        let job = self.jobs.get(key.job)?;
        let max_per_zone = job.spec.tasks.div_ceil(2);
        if job.spec.together {
            let is_open = |zone: &u16| {
                !job.spec.spread || self.zone_counts(key)[*zone as usize] < max_per_zone
            };
            return job.zone.filter(is_open).map(Some);
        }
        if !job.spec.spread {
            return Some(None);
        }
        candidates.spread_zone(&self.zone_counts(key), max_per_zone).map(Some)
    }

    /// Counts the reserved tasks of the job other than this one, by the zone in which they are
    /// placed.
    fn zone_counts(&self, key: TaskKey) -> Vec<u32> {
        let mut counts = vec![0; self.context.config.platform.params.zones.len()];
        let Some(job) = self.jobs.get(key.job) else { return counts };
        for (number, task) in job.tasks() {
            if number == key.task || !task.state.holds_reservation() {
                continue;
            }
            match task.zone {
                Some(zone) => counts[zone as usize] += 1,
                // A task without a chosen zone may run in any zone, so it counts in each of them.
                None => counts.iter_mut().for_each(|count| *count += 1),
            }
        }
        counts
    }
}
