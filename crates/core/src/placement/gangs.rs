//! Gang scheduling: all tasks of a gang are placed at once, recorded at once, started under one
//! attempt number once resources are free for every task, and stopped together.
//!
//! Invariants: no two gangs are planned on the same resources. Among gangs of the same priority,
//! the older one gets held resources first, so that no two gangs each hold what the other one
//! lacks.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use quartzgate_wire::msg::{JobKind, Priority, TaskStatus};

use crate::controller::Controller;
use crate::fleet::machines::Resources;
use crate::ids::{JobIndex, MachineIndex, TaskKey};
use crate::jobs::{Job, JobState, Task, TaskState};
use crate::placement::quota::{JobRank, QuotaClaim};
use crate::storage::records::TASKS_PER_CHUNK;

/// The state of a gang, derived from the states of its tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GangState {
    /// Every task is provably on no machine.
    Unbound,
    /// Every task that is not done is on a machine or being started on one.
    Bound,
    /// Some tasks may be on machines that have not reported them.
    Unproven,
    /// Some tasks are on machines and some provably are not: the former have to be stopped.
    PartlyBound,
}

impl GangState {
    fn of(job: &Job) -> GangState {
        let (mut unbound, mut on_machine, mut unproven) = (job.chunks.is_empty(), false, false);
        for (_, task) in job.tasks() {
            match task.state {
                TaskState::Unplaced | TaskState::Waiting => unbound = true,
                TaskState::Unproven => unproven = true,
                TaskState::Done { .. } | TaskState::Dropped => {}
                _ => on_machine = true,
            }
        }
        match (unbound, on_machine, unproven) {
            (_, _, true) => GangState::Unproven,
            (true, true, _) => GangState::PartlyBound,
            (true, false, _) => GangState::Unbound,
            (false, _, _) => GangState::Bound,
        }
    }
}

/// The outcome of planning a gang.
enum GangPlan {
    /// Every task was given a machine.
    Complete,
    /// Only some tasks would fit, on these machines.
    Incomplete(Vec<MachineIndex>),
    /// The gang can't be planned now, whatever resources are free.
    Deferred,
}

/// The outcome of an attempt to start a gang.
enum GangStart {
    /// The gang was started, or its plan holds the resources on which it will start.
    Planned,
    /// The gang has a plan, and its team's limit keeps it waiting.
    OverQuota,
    /// The gang has to be placed anew.
    NoPlan,
}

/// A machine that a gang may use, and how many of the gang's tasks fit on it.
struct GangCandidate {
    machine: MachineIndex,
    zone: Option<u16>,
    fitting_tasks: u32,
}

/// The machine and the zone of one task of a gang.
#[derive(Clone, Copy)]
struct GangPlace {
    machine: MachineIndex,
    zone: Option<u16>,
}

/// Resources of a machine that are held for gangs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GangHold {
    /// Sum of the resources held for all gangs on the machine.
    pub resources: Resources,
    /// The highest priority of these gangs: no job of this priority or below gets the resources.
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

/// If too few resources are free for a gang, the free ones are held for it once it has waited for
/// the longest wait of its class divided by this.
const HOLD_AFTER_DIVISOR: u64 = 4;

impl Controller {
    /// Plans and starts gangs as far as possible, higher priority first, then older first. The
    /// resources on which a gang is planned are held for it until it starts. If too few resources
    /// are free for a gang that has waited long, those that are free are held as well, so that
    /// smaller jobs that arrive later don't starve the gang.
    pub(crate) fn tick_gangs(&mut self) {
        let mut holds = GangHolds::new();
        let mut unplanned = Vec::new();
        self.teams.iter_mut().for_each(|usage| usage.blocked_gang = None);
        for (priority, job_index) in self.gangs_by_priority() {
            let Some(job) = self.jobs.get(job_index) else { continue };
            match GangState::of(job) {
                GangState::Unbound => match self.start_gang(job_index) {
                    GangStart::Planned => self.hold_planned(job_index, priority, &mut holds),
                    GangStart::OverQuota => {}
                    GangStart::NoPlan => unplanned.push((priority, job_index)),
                },
                GangState::PartlyBound => self.stop_partly_bound_gang(job_index),
                GangState::Bound | GangState::Unproven => {}
            }
        }
        for (priority, job_index) in unplanned {
            match self.plan_gang(job_index, priority, &holds) {
                GangPlan::Complete => self.hold_planned(job_index, priority, &mut holds),
                GangPlan::Incomplete(machines) if self.may_hold_partially(job_index) => {
                    let Some(job) = self.jobs.get(job_index) else { continue };
                    let need = job.resources();
                    for machine in machines {
                        GangHold::add(&mut holds, machine, priority, &need);
                    }
                }
                GangPlan::Incomplete(_) | GangPlan::Deferred => {}
            }
        }
        self.gang_holds = holds;
    }

    /// Returns the live gangs without a write or read of the job's own record in flight, higher
    /// priority first, then older first.
    fn gangs_by_priority(&self) -> Vec<(Priority, JobIndex)> {
        let is_ready =
            |job: &Job| job.spec.kind == JobKind::Gang && job.state == JobState::Live && !job.busy;
        let ready = self.jobs.iter().filter(|(_, job)| is_ready(job));
        let mut gangs: Vec<(Reverse<Priority>, u64, JobIndex)> =
            ready.map(|(index, job)| (Reverse(job.priority), job.ready_ms, index)).collect();
        gangs.sort_unstable();
        gangs.into_iter().map(|(Reverse(priority), _, index)| (priority, index)).collect()
    }

    /// Holds the resources on which the waiting tasks of a gang are planned to start.
    fn hold_planned(&self, job_index: JobIndex, priority: Priority, holds: &mut GangHolds) {
        let Some(job) = self.jobs.get(job_index) else { return };
        let need = job.resources();
        for (_, task) in job.tasks().filter(|(_, task)| task.state == TaskState::Waiting) {
            for probe in &task.probes {
                GangHold::add(holds, probe.machine, priority, &need);
            }
        }
    }

    /// Returns whether resources are held now for a gang for which too few are free: once the gang
    /// has waited a fraction of its class's longest wait ([`HOLD_AFTER_DIVISOR`]), in the periods in
    /// which resources are held. The resources that are free must not stay idle for ever because
    /// others are missing.
    fn may_hold_partially(&self, job_index: JobIndex) -> bool {
        let Some(job) = self.jobs.get(job_index) else { return false };
        let gang_ms = (self.context.config.platform.params.workers.gang_wait_s * 1000.0) as u64;
        let max_wait_s = self.wait_objective_s(&job.spec.class);
        let max_wait_ms = max_wait_s.map_or(gang_ms, |wait_s| (wait_s * 1000.0) as u64);
        let waited_ms = self.context.now.wall_ms.saturating_sub(job.ready_ms);
        waited_ms >= max_wait_ms / HOLD_AFTER_DIVISOR && self.is_hold_period()
    }

    /// Places all tasks of a gang, or none of them.
    fn plan_gang(
        &mut self,
        job_index: JobIndex,
        priority: Priority,
        holds: &GangHolds,
    ) -> GangPlan {
        let Some(job) = self.jobs.get(job_index) else { return GangPlan::Deferred };
        if !self.may_plan_gang(job) {
            return GangPlan::Deferred;
        }
        // Only the first gang of a team that its limit keeps waiting is planned further.
        let is_within_quota = self.gang_within_quota(job_index, job);
        if !is_within_quota && self.teams[job.team].blocked_gang.is_some() {
            return GangPlan::Deferred;
        }
        let candidates = self.gang_candidates(job, priority, holds);
        let Some(candidates) = self.restrict_to_one_zone(job, candidates) else {
            return GangPlan::Incomplete(Vec::new());
        };
        let places = gang_places(job, candidates);
        if (places.len() as u32) < job.spec.tasks && is_within_quota {
            return GangPlan::Incomplete(places.into_iter().map(|place| place.machine).collect());
        }
        if (places.len() as u32) < job.spec.tasks {
            // Machines are not held for a gang that could not start on them.
            return GangPlan::Deferred;
        }
        if !is_within_quota {
            let mut resources = Resources::default();
            resources.add(&job.resources(), f64::from(job.spec.tasks));
            let claim = QuotaClaim { rank: JobRank::of(job_index, job), resources };
            let team = job.team;
            self.teams[team].blocked_gang = Some(claim);
            return GangPlan::Deferred;
        }
        self.place_gang(job_index, places);
        GangPlan::Complete
    }

    /// Returns whether free resources and the team's quota are all that the plan of a gang still
    /// needs: no placement record is dirty or in flight, and no task is backing off.
    fn may_plan_gang(&self, job: &Job) -> bool {
        let now_ms = self.context.now.steady_ms;
        !job.chunks.values().any(|chunk| chunk.busy || chunk.dirty)
            && !job.tasks().any(|(_, task)| task.not_before_ms > now_ms)
    }

    /// Returns whether the whole gang is within the team's quota: beside all that is placed, or
    /// beside the tasks that use the limit and those that claim it before the gang.
    fn gang_within_quota(&self, job_index: JobIndex, job: &Job) -> bool {
        let reserved =
            job.tasks().filter(|(_, task)| task.state.holds_reservation()).count() as u32;
        let mut additional = Resources::default();
        additional.add(&job.resources(), f64::from(job.spec.tasks - reserved));
        self.within_reservation(job.team, &additional) || {
            let mut claims = self.quota_claims(job.team);
            let rank = JobRank::of(job_index, job);
            claims.retain(|claim| claim.rank != rank);
            self.tasks_within_quota(job_index, job, &claims, job.spec.tasks) == job.spec.tasks
        }
    }

    /// Returns the machines for a gang, sorted by how many of its tasks fit, most first. Resources
    /// held for gangs of at least its priority don't count as free.
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
            if !machine.accepts_starts(now_ms)
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
                fitting_tasks: free.max_tasks(&need),
            });
        }
        candidates.sort_by_key(|candidate| Reverse(candidate.fitting_tasks));
        candidates
    }

    /// Keeps the candidates of the zone in which most tasks fit, if the gang has to run in one
    /// zone; keeps all of them otherwise. Returns `None` if no zone has room for the whole gang.
    fn restrict_to_one_zone(
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

    /// Gives each task of a gang one probe, on its planned machine.
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
            job.next_unplaced = tasks;
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

    /// Starts a gang if its placement is recorded and its planned resources are still free.
    fn start_gang(&mut self, job_index: JobIndex) -> GangStart {
        if !self.may_start_tasks() {
            return GangStart::Planned;
        }
        let Some(job) = self.jobs.get(job_index) else { return GangStart::Planned };
        if job.chunks.is_empty() || job.done >= job.spec.tasks {
            return if job.done > 0 { GangStart::Planned } else { GangStart::NoPlan };
        }
        if job.chunks.values().any(|chunk| chunk.busy || chunk.dirty) {
            return GangStart::Planned;
        }
        let Some(places) = self.startable_places(job_index, job) else { return GangStart::NoPlan };
        let machines = places.iter().map(|(_, machine)| *machine);
        if !self.gang_fits(job, machines) || places.len() as u32 != job.spec.tasks {
            return GangStart::NoPlan;
        }
        let mut gang_resources = Resources::default();
        gang_resources.add(&job.resources(), places.len() as f64);
        if job.must_reread_record {
            return GangStart::Planned;
        }
        if !self.may_start_within_quota(job_index, job, &gang_resources) {
            return GangStart::OverQuota;
        }
        let attempt = self.next_attempt();
        for (key, machine) in places {
            self.bind_with_attempt(key, machine, attempt);
        }
        GangStart::Planned
    }

    /// Returns the machine on which each task of a gang may start, or `None` if some task may not
    /// start on any machine.
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

    /// Returns whether all tasks of a gang fit on the machines on which they are planned.
    pub(super) fn plan_fits(&self, job: &Job) -> bool {
        let place = |(_, task): (u32, &Task)| task.probes.first().map(|probe| probe.machine);
        let machines: Option<Vec<MachineIndex>> = job.tasks().map(place).collect();
        machines.is_some_and(|machines| self.gang_fits(job, machines.into_iter()))
    }

    /// Returns whether all tasks of a gang fit on these machines, one on each.
    fn gang_fits(&self, job: &Job, machines: impl Iterator<Item = MachineIndex>) -> bool {
        let now_ms = self.context.now.steady_ms;
        let need = job.resources();
        let mut needed: BTreeMap<MachineIndex, Resources> = BTreeMap::new();
        for machine in machines {
            needed.entry(machine).or_default().add(&need, 1.0);
        }
        needed.iter().all(|(index, resources)| {
            let machine =
                self.machines.get(*index).filter(|machine| machine.accepts_starts(now_ms));
            machine.is_some_and(|machine| self.free_resources(machine).can_fit(resources))
        })
    }

    /// Stops the tasks of a gang that has lost a task, if they fetch the image or wait for the
    /// other members. Running tasks are not stopped, because they detect the loss by themselves.
    fn stop_partly_bound_gang(&mut self, job_index: JobIndex) {
        let is_not_running = |status| matches!(status, TaskStatus::Waiting | TaskStatus::Fetching);
        self.stop_members(job_index, false, is_not_running);
    }

    /// Stops all tasks of a gang at once, with time to save a checkpoint if the job saves
    /// checkpoints.
    pub(crate) fn stop_gang(&mut self, job_index: JobIndex) {
        let Some(job) = self.jobs.get(job_index) else { return };
        let grace = job.spec.checkpoint_interval_s > 0.0;
        self.stop_members(job_index, grace, |_| true);
    }

    /// Stops the tasks of a gang whose reported status satisfies `is_wanted`.
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

    /// Marks all tasks of a gang as done, because one of them is done.
    pub(crate) fn mark_gang_done(&mut self, job_index: JobIndex) {
        let Some(job) = self.jobs.get(job_index) else { return };
        let members: Vec<u32> = job.tasks().map(|(number, _)| number).collect();
        for task in members {
            self.mark_task_done(TaskKey { job: job_index, task });
        }
    }
}

/// Distributes the tasks of a gang over its candidates in order. A gang that is spread over zones
/// has at most half of its tasks (rounded up) in each zone.
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
