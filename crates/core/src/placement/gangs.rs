//! Gang scheduling: all tasks of a gang are placed at once, recorded at once, started under one
//! attempt number once each of them has its resources, and stopped together.
//!
//! Invariants: no two gangs are planned on the same resources, and an older gang of the same priority
//! gets held resources before a younger one, so that no two gangs hold what the other lacks.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use quartzgate_wire::msg::{JobKind, Priority, TaskStatus};

use crate::controller::Controller;
use crate::fleet::machines::Resources;
use crate::ids::{JobIndex, MachineIndex, TaskKey};
use crate::jobs::{Job, JobState, Task, TaskState};
use crate::storage::records::TASKS_PER_CHUNK;

/// The state of a gang, derived from the states of its tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GangState {
    /// Every task is provably on no machine.
    Idle,
    /// Every task is on a machine or about to be.
    Together,
    /// Some tasks may be on machines that have not reported them.
    Unproven,
    /// Some tasks are on machines and some provably are not: those have to be stopped.
    Broken,
}

impl GangState {
    fn of(job: &Job) -> GangState {
        let (mut idle, mut on_machine, mut unproven) = (job.chunks.is_empty(), false, false);
        for (_, task) in job.tasks() {
            match task.state {
                TaskState::Unplaced | TaskState::Waiting => idle = true,
                TaskState::Unproven => unproven = true,
                TaskState::Done { .. } | TaskState::Dropped => {}
                _ => on_machine = true,
            }
        }
        match (idle, on_machine, unproven) {
            (_, _, true) => GangState::Unproven,
            (true, true, _) => GangState::Broken,
            (true, false, _) => GangState::Idle,
            (false, _, _) => GangState::Together,
        }
    }
}

/// The outcome of planning a gang.
enum Plan {
    /// All tasks have a machine.
    Made,
    /// Only some tasks would fit, on these machines.
    Short(Vec<MachineIndex>),
    /// The gang can't be planned now, whatever is free.
    Later,
}

/// A machine that a gang may use, and how many of its tasks fit there.
struct GangCandidate {
    machine: MachineIndex,
    zone: Option<u16>,
    fitting_tasks: u32,
}

/// Where one task of a gang is placed.
#[derive(Clone, Copy)]
struct GangPlace {
    machine: MachineIndex,
    zone: Option<u16>,
}

/// Resources of a machine that are held for gangs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GangHold {
    /// What is held.
    pub resources: Resources,
    /// The highest priority of the gangs: nothing of this priority or below gets the resources.
    pub priority: Priority,
}

/// All held resources, by machine.
type GangHolds = BTreeMap<MachineIndex, GangHold>;

impl GangHold {
    fn add(
        holds: &mut GangHolds,
        machine: MachineIndex,
        priority: Priority,
        resources: &Resources,
    ) {
        let empty = GangHold { resources: Resources::default(), priority };
        let hold = holds.entry(machine).or_insert(empty);
        hold.resources.add(resources, 1.0);
        hold.priority = hold.priority.max(priority);
    }
}

/// A gang holds resources after this part (one in so many) of the longest wait of its class.
const HOLD_AFTER_PART: u64 = 4;

impl Controller {
    /// Plans and starts gangs as far as possible: higher priority first, then the older. What a gang
    /// is to start on is held for it from the plan until its start. Resources that are too few for
    /// a gang that has waited for long are held as well, so that smaller jobs that come later do
    /// not starve it.
    pub(crate) fn tick_gangs(&mut self) {
        let mut holds = GangHolds::new();
        let mut unplanned = Vec::new();
        for (priority, job_index) in self.gangs_by_urgency() {
            let Some(job) = self.jobs.get(job_index) else { continue };
            match GangState::of(job) {
                GangState::Idle if self.start_gang(job_index) => {
                    self.hold_planned(job_index, priority, &mut holds)
                }
                GangState::Idle => unplanned.push((priority, job_index)),
                GangState::Broken => self.break_gang(job_index),
                GangState::Together | GangState::Unproven => {}
            }
        }
        for (priority, job_index) in unplanned {
            match self.plan_gang(job_index, priority, &holds) {
                Plan::Made => self.hold_planned(job_index, priority, &mut holds),
                Plan::Short(machines) if self.may_hold_partially(job_index) => {
                    let Some(job) = self.jobs.get(job_index) else { continue };
                    let need = job.resources();
                    for machine in machines {
                        GangHold::add(&mut holds, machine, priority, &need);
                    }
                }
                Plan::Short(_) | Plan::Later => {}
            }
        }
        self.gang_holds = holds;
    }

    /// Live gangs whose records are not in flight.
    fn gangs_by_urgency(&self) -> Vec<(Priority, JobIndex)> {
        let is_ready =
            |job: &Job| job.spec.shape == JobKind::Gang && job.state == JobState::Live && !job.busy;
        let ready = self.jobs.iter().filter(|(_, job)| is_ready(job));
        let mut gangs: Vec<(Reverse<Priority>, u64, JobIndex)> =
            ready.map(|(index, job)| (Reverse(job.priority), job.ready_ms, index)).collect();
        gangs.sort_unstable();
        gangs.into_iter().map(|(Reverse(priority), _, index)| (priority, index)).collect()
    }

    /// Holds what a gang was planned to start on.
    fn hold_planned(&self, job_index: JobIndex, priority: Priority, holds: &mut GangHolds) {
        let Some(job) = self.jobs.get(job_index) else { return };
        let need = job.resources();
        for (_, task) in job.tasks().filter(|(_, task)| task.state == TaskState::Waiting) {
            for probe in &task.probes {
                GangHold::add(holds, probe.machine, priority, &need);
            }
        }
    }

    /// Whether resources are held for a gang that found too few. After a part of the longest wait of
    /// its class they are held, and released, in turn, each time for as long as a gang waits for
    /// its members: what the gang lacks must not keep the rest idle for ever.
    fn may_hold_partially(&self, job_index: JobIndex) -> bool {
        let Some(job) = self.jobs.get(job_index) else { return false };
        let gang_ms = (self.context.config.platform.params.workers.gang_wait_s * 1000.0) as u64;
        let max_wait_s = self.may_wait_s(&job.spec.class);
        let max_wait_ms = max_wait_s.map_or(gang_ms, |wait_s| (wait_s * 1000.0) as u64);
        let waited_ms = self.context.now.wall_ms.saturating_sub(job.ready_ms);
        let hold_after_ms = max_wait_ms / HOLD_AFTER_PART;
        waited_ms >= hold_after_ms
            && ((waited_ms - hold_after_ms) / gang_ms.max(1)).is_multiple_of(2)
    }

    /// Places all tasks of a gang, or none.
    fn plan_gang(&mut self, job_index: JobIndex, priority: Priority, holds: &GangHolds) -> Plan {
        let Some(job) = self.jobs.get(job_index) else { return Plan::Later };
        if !self.may_plan_gang(job) {
            return Plan::Later;
        }
        let candidates = self.gang_candidates(job, priority, holds);
        let Some(candidates) = self.in_one_zone_if_together(job, candidates) else {
            return Plan::Short(Vec::new());
        };
        let places = gang_places(job, candidates);
        if (places.len() as u32) < job.spec.tasks {
            return Plan::Short(places.into_iter().map(|place| place.machine).collect());
        }
        self.place_gang(job_index, places);
        Plan::Made
    }

    /// Whether nothing but free resources is missing: no record is in flight, no task backs off,
    /// and the whole gang is within the team's quota.
    fn may_plan_gang(&self, job: &Job) -> bool {
        let now_ms = self.context.now.steady_ms;
        if job.chunks.values().any(|chunk| chunk.busy || chunk.dirty)
            || job.tasks().any(|(_, task)| task.not_before_ms > now_ms)
        {
            return false;
        }
        let reserved = job.tasks().filter(|(_, task)| task.state.reserved()).count() as u32;
        let mut additional = Resources::default();
        additional.add(&job.resources(), f64::from(job.spec.tasks - reserved));
        self.within_quota(job.team, &additional)
    }

    /// Machines for a gang, those where most of its tasks fit first. What is held for gangs of at
    /// least its priority is not free for it.
    fn gang_candidates(
        &self,
        job: &Job,
        priority: Priority,
        holds: &GangHolds,
    ) -> Vec<GangCandidate> {
        let now_ms = self.context.now.steady_ms;
        let need = job.resources();
        let mut candidates: Vec<GangCandidate> = Vec::new();
        for (index, machine) in self.machines.iter() {
            if !machine.takes_work(now_ms)
                || !self.allows(&job.spec, &machine.kind, machine.zone, machine.spot)
                || job.failed_on.contains(&index)
            {
                continue;
            }
            let held = holds.get(&index).filter(|hold| hold.priority >= priority);
            let free = self.free_resources(machine);
            let free = held.map_or(free, |hold| free.minus(&hold.resources));
            candidates.push(GangCandidate {
                machine: index,
                zone: machine.zone,
                fitting_tasks: free.holds(&need),
            });
        }
        candidates.sort_by_key(|candidate| Reverse(candidate.fitting_tasks));
        candidates
    }

    /// The candidates of the best zone for a gang that has to run in one; `None` if none suffices.
    fn in_one_zone_if_together(
        &self,
        job: &Job,
        mut candidates: Vec<GangCandidate>,
    ) -> Option<Vec<GangCandidate>> {
        if !job.spec.together {
            return Some(candidates);
        }
        let zones = self.context.config.platform.params.zones.len() as u16;
        let fitting_tasks = |zone: u16| -> u32 {
            let in_zone = candidates.iter().filter(|candidate| candidate.zone == Some(zone));
            in_zone.map(|candidate| candidate.fitting_tasks).sum()
        };
        let best = (0..zones)
            .filter(|zone| fitting_tasks(*zone) >= job.spec.tasks)
            .max_by_key(|zone| fitting_tasks(*zone))?;
        candidates.retain(|candidate| candidate.zone == Some(best));
        Some(candidates)
    }

    /// Gives all tasks of a gang their probes.
    fn place_gang(&mut self, job_index: JobIndex, places: Vec<GangPlace>) {
        let Some(job) = self.jobs.get(job_index) else { return };
        let (together, spread) = (job.spec.together, job.spec.spread);
        let tasks = job.spec.tasks;
        for chunk in 0..tasks.div_ceil(TASKS_PER_CHUNK) {
            let is_open =
                self.jobs.get(job_index).is_some_and(|job| job.chunks.contains_key(&chunk));
            if !is_open {
                self.open_chunk(job_index, chunk);
            }
        }
        if let Some(job) = self.jobs.get_mut(job_index) {
            job.next = tasks;
            job.zone = if together { places[0].zone } else { None };
        }
        for (task, place) in (0..).zip(places) {
            let key = TaskKey { job: job_index, task };
            let task_zone = if together || spread { place.zone } else { None };
            self.set_probes(key, vec![place.machine], task_zone);
            self.set_task_state(key, TaskState::Waiting);
            self.mark_dirty(job_index, task / TASKS_PER_CHUNK);
        }
    }

    /// Starts a gang whose placement is recorded and still free. Returns false if it has to be
    /// placed anew.
    fn start_gang(&mut self, job_index: JobIndex) -> bool {
        if !self.may_command_workers() {
            return true;
        }
        let Some(job) = self.jobs.get(job_index) else { return true };
        if job.chunks.is_empty() || job.done >= job.spec.tasks {
            return job.done > 0;
        }
        if job.chunks.values().any(|chunk| chunk.busy || chunk.dirty) {
            return true;
        }
        let Some(places) = self.startable_places(job_index, job) else { return false };
        if !self.gang_fits(job, &places) || places.len() as u32 != job.spec.tasks {
            return false;
        }
        let mut all = Resources::default();
        all.add(&job.resources(), places.len() as f64);
        if job.must_reread_record || !self.may_start(job.team, &all) {
            return true;
        }
        let attempt = self.next_attempt();
        for (key, machine) in places {
            self.bind_as(key, machine, attempt);
        }
        true
    }

    /// For each task of a gang the machine on which it may start; `None` if one may start nowhere.
    fn startable_places(
        &self,
        job_index: JobIndex,
        job: &Job,
    ) -> Option<Vec<(TaskKey, MachineIndex)>> {
        let place = |(number, task): (u32, &Task)| {
            let key = TaskKey { job: job_index, task: number };
            let mut machines = task.probes.iter().map(|probe| probe.machine);
            let startable = machines.find(|machine| self.startable(job, key, task, *machine));
            startable.map(|machine| (key, machine))
        };
        job.tasks().map(place).collect()
    }

    /// Whether all tasks of a gang fit the machines on which they are placed.
    fn gang_fits(&self, job: &Job, places: &[(TaskKey, MachineIndex)]) -> bool {
        let now_ms = self.context.now.steady_ms;
        let need = job.resources();
        let mut needed: BTreeMap<MachineIndex, Resources> = BTreeMap::new();
        for (_, machine) in places {
            needed.entry(*machine).or_default().add(&need, 1.0);
        }
        needed.iter().all(|(index, resources)| {
            let machine = self.machines.get(*index).filter(|machine| machine.takes_work(now_ms));
            machine.is_some_and(|machine| self.free_resources(machine).fits(resources))
        })
    }

    /// A gang has lost a task: tasks that run notice it by themselves, those that wait for the
    /// others are stopped.
    fn break_gang(&mut self, job_index: JobIndex) {
        let is_not_running = |status| matches!(status, TaskStatus::Waiting | TaskStatus::Fetching);
        self.stop_members(job_index, false, is_not_running);
    }

    /// Stops all tasks of a gang at once, with time to save a checkpoint if it has any.
    pub(crate) fn stop_gang(&mut self, job_index: JobIndex) {
        let Some(job) = self.jobs.get(job_index) else { return };
        let grace = job.spec.checkpoint_interval_s > 0.0;
        self.stop_members(job_index, grace, |_| true);
    }

    /// Stops the tasks of a gang that were reported with a status as wanted.
    fn stop_members(
        &mut self,
        job_index: JobIndex,
        grace: bool,
        is_wanted: impl Fn(TaskStatus) -> bool,
    ) {
        let Some(job) = self.jobs.get(job_index) else { return };
        let members: Vec<(TaskKey, MachineIndex, u64)> = job
            .tasks()
            .filter_map(|(number, task)| match task.state {
                TaskState::On { machine, attempt, status, .. } if is_wanted(status) => {
                    Some((TaskKey { job: job_index, task: number }, machine, attempt))
                }
                _ => None,
            })
            .collect();
        for (key, machine, attempt) in members {
            self.set_task_state(key, TaskState::Stopping { machine, attempt, grace });
            self.machines_to_command.insert(machine);
        }
    }

    /// A task of a gang is done, and so all of them are.
    pub(crate) fn gang_done(&mut self, job_index: JobIndex) {
        let Some(job) = self.jobs.get(job_index) else { return };
        let members: Vec<u32> = job.tasks().map(|(number, _)| number).collect();
        for task in members {
            self.task_done(TaskKey { job: job_index, task });
        }
    }
}

/// Distributes the tasks of a gang over its candidates in order; a gang that is spread has at most
/// half of its tasks in a zone.
fn gang_places(job: &Job, candidates: Vec<GangCandidate>) -> Vec<GangPlace> {
    let tasks = job.spec.tasks;
    let max_per_zone = if job.spec.spread { tasks.div_ceil(2) } else { tasks };
    let mut used_by_zone: BTreeMap<Option<u16>, u32> = BTreeMap::new();
    let mut places: Vec<GangPlace> = Vec::with_capacity(tasks as usize);
    for candidate in candidates {
        let used = used_by_zone.entry(candidate.zone).or_default();
        let missing = tasks - places.len() as u32;
        let count = candidate.fitting_tasks.min(missing).min(max_per_zone - *used);
        *used += count;
        let place = GangPlace { machine: candidate.machine, zone: candidate.zone };
        places.extend((0..count).map(|_| place));
    }
    places
}
