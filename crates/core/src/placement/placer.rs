//! Placement: which tasks get probes, and on which machines.
//!
//! Invariant: a task is placed only while its team's reserved resources (placed and not provably
//! ended) stay within the team's limit, so the limit holds whichever of them start later.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use quartzgate_wire::msg::{JobKind, JobSpec, Priority};

use crate::controller::Controller;
use crate::fleet::machines::{Machine, Resources};
use crate::ids::{JobIndex, MachineIndex, TaskKey};
use crate::jobs::{Job, JobState, Probe, Task, TaskState};
use crate::placement::candidates::Candidates;
use crate::placement::gangs::GangHold;
use crate::storage::records::TASKS_PER_CHUNK;

/// Chunks of one job with tasks that are not done, at most.
pub(crate) const MAX_OPEN_CHUNKS: usize = 16;
/// Size of one probe in a record at most: a machine's name and its positions.
const PROBE_BYTES: f64 = 40.0;
/// Tasks placed in one pass; the rest follow at the next event.
const MAX_PLACED_PER_PASS: u32 = 256;
/// Machines with free capacity that are looked for: more than a task has probes.
const MAX_FREE_MACHINES: usize = 20;
/// Waiting tasks whose probes are checked in one pass.
const MAX_CHECKED_PER_PASS: u32 = 8 * MAX_PLACED_PER_PASS;
/// Part of the usable machines' CPUs from which on waiting work is a full backlog.
const FULL_BACKLOG: f64 = 0.5;
/// Allowed rounding error of sums of resources.
const EPSILON: f64 = 1e-6;

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
    /// Whether a job is best-effort: of the lowest priority, and of a team without a quota.
    pub(crate) fn is_best_effort(&self, job: &Job) -> bool {
        self.best_effort(job.team, job.priority)
    }

    /// The same for any work of a team at this priority.
    pub(crate) fn best_effort(&self, team: usize, priority: Priority) -> bool {
        let team = &self.context.config.platform.params.teams[team];
        priority == Priority::Low && team.cpus <= 0.0 && team.gpus <= 0.0
    }

    /// Resources of an empty machine of this type; `None` if the type is unknown.
    pub(crate) fn capacity_of(&self, kind: &str) -> Option<Resources> {
        let machine_type = self.types.iter().find(|machine_type| machine_type.name == kind)?;
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
    pub(crate) fn resources_for(&self, ix: MachineIndex, m: &Machine, job: &Job) -> Resources {
        self.without_gang_holds(self.free_resources(m), self.gang_holds.get(&ix), job)
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
            free.minus(&hold.room)
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

    /// Whether a task that needs these resources may be placed for the team.
    pub(crate) fn within_quota(&self, team: usize, room: &Resources) -> bool {
        self.within_limit(team, self.teams[team].reserved, room)
    }

    /// Whether the team may have one more task on machines, if every unproven task runs. After a
    /// placement whose write was indeterminate the records can hold more reservations than the
    /// limit allows, so this is checked again before every start.
    pub(crate) fn may_start(&self, team: usize, room: &Resources) -> bool {
        let mut possibly_running = self.teams[team].placed;
        possibly_running.add(&self.teams[team].unproven, 1.0);
        self.within_limit(team, possibly_running, room)
    }

    fn within_limit(&self, team: usize, used: Resources, more: &Resources) -> bool {
        let limit = &self.context.config.platform.params.teams[team];
        let within = |used: f64, max: f64| max <= 0.0 || used <= max + EPSILON;
        within(used.cpus + more.cpus, limit.cpus_max)
            && within(used.gpus + more.gpus, limit.gpus_max)
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
        jobs.sort_by_key(|(index, job)| (Reverse(job.priority), job.lost, job.ready_ms, *index));
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
        let machine_type = self.types.iter().find(|machine_type| machine_type.name == kind);
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
    fn probe_count(&self, spec: &JobSpec) -> usize {
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
    pub(crate) fn place_job(&mut self, ix: JobIndex) -> bool {
        let Some(job) = self.jobs.get(ix) else { return false };
        if job.spec.shape == JobKind::Gang {
            return false;
        }
        let (team, need, spec) = (job.team, job.resources(), job.spec.clone());
        if !self.within_quota(team, &need) || !job.may_open() {
            return false;
        }
        let mut candidates = self.candidates_for(ix);
        if candidates.is_empty() {
            return self.postpone_placement(ix);
        }
        let probe_count = self.probe_count(&spec);
        if spec.together {
            self.choose_job_zone(ix, &candidates);
        }
        let mut placed = 0;
        while placed < MAX_PLACED_PER_PASS && self.within_quota(team, &need) {
            let Some(task) = self.next_task_to_place(ix) else { break };
            let key = TaskKey { job: ix, task };
            let unplaced = self.jobs.task(key).map(|t| t.state) == Some(TaskState::Unplaced);
            if unplaced && !self.place_task(key, &mut candidates, probe_count) {
                break;
            }
            if let Some(job) = self.jobs.get_mut(ix) {
                job.next = task + 1;
            }
            placed += 1;
        }
        placed > 0 || self.postpone_placement(ix)
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
    fn zone_for(&self, key: TaskKey, candidates: &Candidates) -> Option<Option<u16>> {
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

    /// Gives a task probes on these machines. Probes where an earlier leader may have started it
    /// remain.
    pub(crate) fn set_probes(
        &mut self,
        key: TaskKey,
        machines: Vec<MachineIndex>,
        zone: Option<u16>,
    ) {
        let Some(job) = self.jobs.get_mut(key.job) else { return };
        let Some(chunk) = job.chunk_of(key.task) else { return };
        let version = chunk.version + 1;
        chunk.blocks_starts = true;
        let Some(task) = chunk.tasks.get_mut((key.task % TASKS_PER_CHUNK) as usize) else { return };
        let old = std::mem::take(&mut task.probes);
        task.zone = zone;
        let remaining = old.iter().filter(|p| p.unproven && !machines.contains(&p.machine));
        let mut probes: Vec<Probe> = Vec::with_capacity(machines.len());
        probes.extend(remaining.copied());
        for machine in machines {
            let known = old.iter().find(|probe| probe.machine == machine).copied();
            probes.push(known.unwrap_or(Probe { machine, version, unproven: false }));
        }
        for dropped in old.iter().filter(|o| !probes.iter().any(|p| p.machine == o.machine)) {
            if let Some(machine) = self.machines.get_mut(dropped.machine) {
                machine.queue.retain(|queued| *queued != key);
            }
        }
        task.probes = probes;
    }

    /// Puts a waiting task into the queues of its probes' machines.
    pub(crate) fn enqueue(&mut self, key: TaskKey) {
        let Some(task) = self.jobs.task(key) else { return };
        let mut queued = false;
        for probe in &task.probes {
            let Some(machine) = self.machines.get_mut(probe.machine) else { continue };
            if !machine.usable() {
                continue;
            }
            queued = true;
            if !machine.queue.contains(&key) {
                machine.queue.push(key);
            }
            self.machines_to_dispatch.insert(probe.machine);
        }
        if !queued {
            self.reprobe_due = true;
        }
    }

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
            job.state == JobState::Live && job.waiting > 0 && !gang && job.may_try(now_ms)
        };
        let mut jobs: Vec<(JobIndex, &Job)> =
            self.jobs.iter().filter(|(_, job)| is_concerned(job)).collect();
        jobs.sort_by(|(a_index, a), (b_index, b)| {
            let by_urgency = (b.priority, a.lost).cmp(&(a.priority, b.lost));
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
                && !job.errors_on.contains(&probe.machine);
        }
        let is_elsewhere =
            |other: &MachineIndex| !task.probes.iter().any(|probe| probe.machine == *other);
        is_free || may_come_free && !free_machines.iter().any(is_elsewhere)
    }

    /// Gives a waiting task other probes, if that helps. Returns whether it did.
    fn reprobe_task(&mut self, key: TaskKey, candidates: &mut Candidates) -> bool {
        let Some(job) = self.jobs.get(key.job) else { return false };
        let Some(task) = job.task(key.task) else { return false };
        let (spec, job_zone, avoid) = (job.spec.clone(), job.zone, job.errors_on.clone());
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
        let acked = job.chunks.get(&(key.task / TASKS_PER_CHUNK)).map_or(0, |chunk| chunk.acked);
        task.probes.iter().any(|probe| {
            let machine = self.machines.get(probe.machine);
            machine.is_some_and(Machine::usable) && probe.version > acked
        })
    }

    /// Lets the machines of all probes of the job's waiting tasks bind them.
    pub(crate) fn touch_probed(&mut self, ix: JobIndex) {
        let Some(job) = self.jobs.get(ix) else { return };
        let waiting = job.tasks().filter(|(_, task)| task.state == TaskState::Waiting);
        let probes = waiting.flat_map(|(_, task)| &task.probes);
        self.machines_to_dispatch.extend(probes.map(|probe| probe.machine));
    }
}
