//! Placement: which tasks get probes, and on which machines.
//!
//! Jobs are served by priority, then by the time at which they became ready, within the quota of
//! their teams ([`super::quota`]) and the search budget of one pass.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use quartzgate_wire::msg::{JobKind, JobSpec, Priority};

use crate::controller::Controller;
use crate::fleet::machines::{Machine, Resources};
use crate::ids::{JobIndex, MachineIndex, TaskKey};
use crate::jobs::{Job, JobState, TaskState};
use crate::placement::candidates::Candidates;
use crate::placement::gangs::GangHold;
use crate::storage::records::TASKS_PER_CHUNK;

/// Chunks of one job with tasks that are not done, at most.
pub(crate) const MAX_OPEN_CHUNKS: usize = 16;
/// Size of one probe in a record at most: a machine's name and its positions.
const PROBE_BYTES: f64 = 40.0;
/// Tasks placed in one pass; the rest follow at the next event.
pub(super) const MAX_PLACED_PER_PASS: u32 = 256;
/// Part of the usable machines' CPUs from which on waiting work is a full backlog.
const FULL_BACKLOG: f64 = 0.5;

/// CPUs of waiting tasks by priority, and of all usable machines.
pub(crate) struct PlacementBacklog {
    waiting: BTreeMap<Priority, f64>,
    all: f64,
}

impl PlacementBacklog {
    /// Whether so much of this priority and above waits that no more need be placed yet.
    pub fn full(&self, priority: Priority) -> bool {
        let waiting_cpus: f64 = self.waiting.range(priority..).map(|(_, cpus)| cpus).sum();
        waiting_cpus > FULL_BACKLOG * self.all
    }

    fn add(&mut self, priority: Priority, cpus: f64) {
        *self.waiting.entry(priority).or_default() += cpus;
    }
}

impl Controller {
    /// Resources of an empty machine of this type; `None` if the type is unknown.
    pub(crate) fn capacity_of(&self, kind: &str) -> Option<Resources> {
        let machine_type =
            self.machine_types.iter().find(|machine_type| machine_type.name == kind)?;
        Some(Resources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        })
    }

    /// Resources of a machine that no bound task uses.
    pub(crate) fn free_resources(&self, m: &Machine) -> Resources {
        let capacity = self.capacity_of(&m.kind);
        capacity.map_or(Resources::default(), |capacity| capacity.minus(&m.used))
    }

    /// Free resources of a machine that a job may use.
    pub(crate) fn resources_for(
        &self,
        machine_index: MachineIndex,
        m: &Machine,
        job: &Job,
    ) -> Resources {
        self.without_gang_holds(self.free_resources(m), self.gang_holds.get(&machine_index), job)
    }

    /// What a job may use of a machine's free resources: what is held for a gang of at least its
    /// priority is excluded, and so is what scarce GPUs need beside them.
    pub(crate) fn without_gang_holds(
        &self,
        free: Resources,
        held: Option<&GangHold>,
        job: &Job,
    ) -> Resources {
        if let Some(hold) = held.filter(|hold| hold.priority >= job.priority) {
            free.minus(&hold.resources)
        } else if job.spec.gpus <= 0.0 && job.priority < Priority::Production {
            free.minus(&self.beside_gpus(&free))
        } else {
            free
        }
    }

    /// Whether a job allows machines of this type and zone, spot or not.
    pub(crate) fn allows(&self, spec: &JobSpec, kind: &str, zone: Option<u16>, spot: bool) -> bool {
        let zones = &self.context.config.platform.params.zones;
        let is_wanted_zone =
            |wanted: &String| zone.is_some_and(|zone| zones[zone as usize] == *wanted);
        (spec.spot || !spot)
            && spec.types.as_ref().is_none_or(|types| types.iter().any(|name| name == kind))
            && spec.zone.as_ref().is_none_or(is_wanted_zone)
    }

    /// Places tasks of live jobs, higher priority first, then in the order in which they became
    /// ready. The search budget bounds one pass; the next one goes on.
    pub(crate) fn place_all(&mut self) {
        let now_ms = self.context.now.steady_ms;
        let jobs = self.jobs_to_place();
        if jobs.is_empty() {
            return;
        }
        let mut backlog = self.backlog();
        for (priority, job_index) in jobs {
            if backlog.full(priority) {
                continue;
            }
            if !self.search_budget.left(now_ms) {
                self.placement_due = true;
                return;
            }
            let before = self.waiting_cpus(job_index);
            if self.place_job(job_index) {
                backlog.add(priority, self.waiting_cpus(job_index) - before);
            }
        }
    }

    /// Jobs with unplaced tasks in the order of placement.
    fn jobs_to_place(&self) -> Vec<(Priority, JobIndex)> {
        let now_ms = self.context.now.steady_ms;
        let is_open = |job: &Job| {
            job.state == JobState::Live
                && job.next < job.spec.tasks
                && !job.failing_everywhere()
                && now_ms >= job.placement_from_ms
        };
        let mut jobs: Vec<(JobIndex, &Job)> =
            self.jobs.iter().filter(|(_, job)| is_open(job)).collect();
        jobs.sort_by_key(|(index, job)| {
            (Reverse(job.priority), job.missed_objectives, job.ready_ms, *index)
        });
        jobs.into_iter().map(|(index, job)| (job.priority, index)).collect()
    }

    /// CPUs that a job's waiting tasks ask for.
    fn waiting_cpus(&self, job_index: JobIndex) -> f64 {
        let asked = |job: &Job| f64::from(job.asking(job.waiting)) * job.spec.cpus;
        self.jobs.get(job_index).map_or(0.0, asked)
    }

    /// CPUs of the tasks that wait in queues, against those of all usable machines.
    pub(crate) fn backlog(&self) -> PlacementBacklog {
        let mut waiting: BTreeMap<Priority, f64> = BTreeMap::new();
        for (_, job) in self.jobs.iter().filter(|(_, job)| job.waiting > 0) {
            *waiting.entry(job.priority).or_default() +=
                f64::from(job.asking(job.waiting)) * job.spec.cpus;
        }
        let all = self
            .machines
            .iter()
            .filter(|(_, machine)| machine.usable())
            .filter_map(|(_, machine)| self.capacity_of(&machine.kind))
            .map(|capacity| capacity.cpus)
            .sum();
        PlacementBacklog { waiting, all }
    }

    /// Time to fetch a job's image on a machine type, in seconds.
    pub(crate) fn fetch_s(&self, spec: &JobSpec, kind: &str) -> f64 {
        let machine_type = self.machine_types.iter().find(|machine_type| machine_type.name == kind);
        let gb_per_s = machine_type.map_or(0.0, |machine_type| machine_type.fetch_gb_per_s);
        if gb_per_s > 0.0 {
            spec.image_gb / gb_per_s
        } else {
            0.0
        }
    }

    /// Longest wait of a task of this class by the operators' objectives, in seconds.
    pub(crate) fn may_wait_s(&self, class: &str) -> Option<f64> {
        let objectives = &self.context.config.platform.params.objectives;
        let waits = objectives.iter().filter(|objective| objective.kind == "wait");
        let mut of_class = waits.filter(|objective| objective.class.as_deref() == Some(class));
        of_class.find_map(|objective| objective.within_s)
    }

    /// Number of probes of each task of this job.
    pub(super) fn probe_count(&self, spec: &JobSpec) -> usize {
        if spec.estimate_s > self.context.config.operator.long_task_s {
            return 1;
        }
        // A placement record with all probes of its tasks has to fit one transaction.
        let limits = self.limits();
        let transaction_bytes = limits.value_kb * 1024.0 * (limits.txn_ops - 1) as f64;
        let max_probes = transaction_bytes / (f64::from(TASKS_PER_CHUNK) * PROBE_BYTES);
        self.context.config.operator.probes.min((max_probes as usize).max(1))
    }

    /// Places as many of a job's tasks as quota and limits of one pass allow. Returns whether any
    /// was placed.
    pub(crate) fn place_job(&mut self, job_index: JobIndex) -> bool {
        let Some(job) = self.jobs.get(job_index) else { return false };
        if job.spec.shape == JobKind::Gang {
            return false;
        }
        let (team, need, spec) = (job.team, job.resources(), job.spec.clone());
        if !self.within_quota(team, &need) || !job.may_open() {
            return false;
        }
        let mut candidates = self.candidates_for(job_index);
        if candidates.is_empty() {
            return self.postpone_placement(job_index);
        }
        let probe_count = self.probe_count(&spec);
        if spec.together {
            self.choose_job_zone(job_index, &candidates);
        }
        let mut placed = 0;
        while placed < MAX_PLACED_PER_PASS && self.within_quota(team, &need) {
            let Some(task) = self.next_task_to_place(job_index) else { break };
            let key = TaskKey { job: job_index, task };
            let unplaced = self.jobs.task(key).map(|t| t.state) == Some(TaskState::Unplaced);
            if unplaced && !self.place_task(key, &mut candidates, probe_count) {
                break;
            }
            if let Some(job) = self.jobs.get_mut(job_index) {
                job.next = task + 1;
            }
            placed += 1;
        }
        placed > 0 || self.postpone_placement(job_index)
    }

    /// Chooses the zone of a job whose tasks have to run together, unless it has one.
    fn choose_job_zone(&mut self, job_index: JobIndex, candidates: &Candidates) {
        let Some(job) = self.jobs.get_mut(job_index) else { return };
        if job.zone.is_none() {
            job.zone = candidates.zone_with_most_spare();
        }
    }

    /// The next task of a job, past the chunks that are done, in a chunk that is open; `None` if
    /// there is none or if no chunk may be opened for it.
    fn next_task_to_place(&mut self, job_index: JobIndex) -> Option<u32> {
        loop {
            let job = self.jobs.get_mut(job_index)?;
            if job.next >= job.spec.tasks {
                return None;
            }
            let chunk = job.next / TASKS_PER_CHUNK;
            if job.in_done_chunk(job.next) {
                job.next = ((chunk + 1) * TASKS_PER_CHUNK).min(job.spec.tasks);
                continue;
            }
            let task = job.next;
            if !job.chunks.contains_key(&chunk) {
                if !job.may_open() {
                    return None;
                }
                self.open_chunk(job_index, chunk);
            }
            return Some(task);
        }
    }

    /// Enters a chunk of unplaced tasks.
    pub(crate) fn open_chunk(&mut self, job_index: JobIndex, chunk: u32) {
        let Some(job) = self.jobs.get(job_index) else { return };
        let len = job.chunk_len(chunk);
        let new_chunk = self.new_chunk(len);
        if let Some(job) = self.jobs.get_mut(job_index) {
            job.chunks.insert(chunk, new_chunk);
        }
    }

    /// No machine can take a task of the job: it is not tried again at every event.
    fn postpone_placement(&mut self, job_index: JobIndex) -> bool {
        let later_ms = self.context.now.steady_ms + self.context.config.write_batch_ms();
        if let Some(job) = self.jobs.get_mut(job_index) {
            job.placement_from_ms = later_ms;
        }
        false
    }

    fn place_task(&mut self, key: TaskKey, candidates: &mut Candidates, count: usize) -> bool {
        let Some(zone) = self.zone_for(key, candidates) else { return false };
        let machines = candidates.choose(self, zone, count, &[]);
        if machines.is_empty() {
            return false;
        }
        self.set_probes(key, machines, zone);
        self.set_task_state(key, TaskState::Waiting);
        self.mark_dirty(key.job, key.task / TASKS_PER_CHUNK);
        true
    }

    /// The zone that placement chooses for a task: `Some(None)` if its job has no zone rule, `None`
    /// if no zone can take it now.
    pub(super) fn zone_for(&self, key: TaskKey, candidates: &Candidates) -> Option<Option<u16>> {
        let job = self.jobs.get(key.job)?;
        if job.spec.together {
            return job.zone.map(Some);
        }
        if !job.spec.spread {
            return Some(None);
        }
        let max_per_zone = job.spec.tasks.div_ceil(2);
        candidates.spread_zone(&self.zone_counts(key), max_per_zone).map(Some)
    }

    /// Tasks of the job other than this one, by the zone in which they are placed.
    fn zone_counts(&self, key: TaskKey) -> Vec<u32> {
        let mut counts = vec![0; self.context.config.platform.params.zones.len()];
        let Some(job) = self.jobs.get(key.job) else { return counts };
        for (number, task) in job.tasks() {
            if number == key.task || !task.state.reserved() {
                continue;
            }
            match task.zone {
                Some(zone) => counts[zone as usize] += 1,
                // It may be in any zone, and so counts in each.
                None => counts.iter_mut().for_each(|count| *count += 1),
            }
        }
        counts
    }
}
