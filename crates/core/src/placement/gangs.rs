//! Gangs: all tasks placed at once, recorded at once, started under one attempt
//! number once every member holds room; stopped together.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use quartzgate_wire::msg::{JobKind, Priority, TaskStatus};

use crate::controller::Controller;
use crate::fleet::machines::Resources;
use crate::ids::{JobIndex, MachineIndex, TaskKey};
use crate::jobs::{Job, JobState, TaskState};
use crate::storage::records::TASKS_PER_CHUNK;

/// Where a gang stands, as its tasks show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GangState {
    /// Every task is provably on no machine.
    Idle,
    /// Every task is on a machine or about to be.
    Together,
    /// Some may still be on machines that have not said so.
    Unproven,
    /// Some are on machines and some provably are not: it can't go on like this.
    Broken,
}

/// What came of planning a gang.
enum Plan {
    Made,
    /// There are places for some of it only.
    Short(Vec<MachineIndex>),
    /// It can't be planned now, whatever room there is.
    Later,
}

/// Room of a machine that gangs are to start on, or that is gathered for one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GangHold {
    pub room: Resources,
    /// The most urgent of those that it is held for: it is theirs before others' of this
    /// priority and below.
    pub priority: Priority,
}

impl GangHold {
    fn add(
        held: &mut BTreeMap<MachineIndex, GangHold>,
        ix: MachineIndex,
        priority: Priority,
        need: &Resources,
    ) {
        let h = held.entry(ix).or_insert(GangHold { room: Resources::default(), priority });
        h.room.add(need, 1.0);
        h.priority = h.priority.max(priority);
    }
}

/// Part of the longest wait of its class after which room is gathered for a gang.
const GATHER_PART: u64 = 4;

impl GangState {
    fn of(job: &Job) -> GangState {
        let (mut idle, mut on, mut unproven) = (job.chunks.is_empty(), false, false);
        for (_, t) in job.tasks() {
            match t.state {
                TaskState::Unplaced | TaskState::Waiting => idle = true,
                TaskState::Unproven => unproven = true,
                TaskState::Done { .. } | TaskState::Dropped => {}
                _ => on = true,
            }
        }
        match (idle, on, unproven) {
            (_, _, true) => GangState::Unproven,
            (true, true, _) => GangState::Broken,
            (true, false, _) => GangState::Idle,
            (false, _, _) => GangState::Together,
        }
    }
}

impl Controller {
    /// Moves every gang on as far as it can go now: the more urgent first, then the older.
    /// What one is to start on is no other's, from the plan until it has started; and room
    /// that is too little for a gang that has waited for long is gathered for it, so that
    /// smaller ones that come later do not keep it out for ever. An older one always gathers
    /// before a younger one, so that no two hold what the other lacks.
    pub(crate) fn tick_gangs(&mut self) {
        let mut gangs: Vec<(Reverse<Priority>, u64, JobIndex)> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.spec.shape == JobKind::Gang && j.state == JobState::Live && !j.busy)
            .map(|(ix, j)| (Reverse(j.priority), j.ready_ms, ix))
            .collect();
        gangs.sort_unstable();
        let mut held: BTreeMap<MachineIndex, GangHold> = BTreeMap::new();
        let mut homeless = Vec::new();
        for (Reverse(priority), _, ix) in gangs {
            let Some(job) = self.jobs.get(ix) else { continue };
            match GangState::of(job) {
                GangState::Idle if self.start_gang(ix) => {
                    self.hold_planned(ix, priority, &mut held)
                }
                GangState::Idle => homeless.push((priority, ix)),
                GangState::Broken => self.break_gang(ix),
                GangState::Together | GangState::Unproven => {}
            }
        }
        for (priority, ix) in homeless {
            match self.plan_gang(ix, priority, &held) {
                Plan::Made => self.hold_planned(ix, priority, &mut held),
                Plan::Short(places) if self.gathers(ix) => {
                    let Some(need) = self.jobs.get(ix).map(|j| j.resources()) else { continue };
                    places.into_iter().for_each(|m| GangHold::add(&mut held, m, priority, &need));
                }
                Plan::Short(_) | Plan::Later => {}
            }
        }
        self.gang_holds = held;
    }

    /// Holds the places that a gang was planned to start on.
    fn hold_planned(
        &self,
        ix: JobIndex,
        priority: Priority,
        held: &mut BTreeMap<MachineIndex, GangHold>,
    ) {
        let Some(job) = self.jobs.get(ix) else { return };
        for (_, t) in job.tasks().filter(|(_, t)| t.state == TaskState::Waiting) {
            t.probes
                .iter()
                .for_each(|p| GangHold::add(held, p.machine, priority, &job.resources()));
        }
    }

    /// Whether room is gathered for a gang that has found too little: once it has waited for a
    /// part of what its class may wait, for as long as a gang waits for its members at most, and
    /// then not for as long, so that what it lacks does not keep the rest idle for ever.
    fn gathers(&self, ix: JobIndex) -> bool {
        let Some(job) = self.jobs.get(ix) else { return false };
        let gang_ms = (self.context.config.platform.params.workers.gang_wait_s * 1000.0) as u64;
        let may_ms = self.may_wait_s(&job.spec.class).map_or(gang_ms, |s| (s * 1000.0) as u64);
        let waited = self.context.now.wall_ms.saturating_sub(job.ready_ms);
        let from = may_ms / GATHER_PART;
        waited >= from && ((waited - from) / gang_ms.max(1)).is_multiple_of(2)
    }

    /// The whole gang fits a set of machines, or is not dealt at all.
    fn plan_gang(
        &mut self,
        ix: JobIndex,
        priority: Priority,
        held: &BTreeMap<MachineIndex, GangHold>,
    ) -> Plan {
        let now = self.context.now.steady_ms;
        let Some(job) = self.jobs.get(ix) else { return Plan::Later };
        if job.chunks.values().any(|c| c.busy || c.dirty)
            || job.tasks().any(|(_, t)| t.not_before_ms > now)
        {
            return Plan::Later;
        }
        let (need, tasks, together) = (job.resources(), job.spec.tasks, job.spec.together);
        let spread = job.spec.spread;
        let dealt = job.tasks().filter(|(_, t)| t.state.reserved()).count() as u32;
        let mut all = Resources::default();
        all.add(&need, f64::from(tasks - dealt));
        if !self.within_quota(job.team, &all) {
            return Plan::Later;
        }
        let zones = self.context.config.platform.params.zones.len() as u16;
        let mut rooms: Vec<(MachineIndex, Option<u16>, u32)> = Vec::new();
        for (mix, m) in self.machines.iter() {
            if !m.takes_work(now)
                || !self.allows(&job.spec, &m.kind, m.zone, m.spot)
                || job.errors_on.contains(&mix)
            {
                continue;
            }
            let kept = held.get(&mix).filter(|h| h.priority >= priority);
            let free = self.free_resources(m);
            let free = kept.map_or(free, |h| free.minus(&h.room));
            rooms.push((mix, m.zone, free.holds(&need)));
        }
        rooms.sort_by_key(|(_, _, holds)| std::cmp::Reverse(*holds));
        if together {
            let room = |z: u16| -> u32 {
                rooms.iter().filter(|(_, zone, _)| *zone == Some(z)).map(|(_, _, n)| n).sum()
            };
            let Some(best) = (0..zones).filter(|z| room(*z) >= tasks).max_by_key(|z| room(*z))
            else {
                return Plan::Short(Vec::new());
            };
            rooms.retain(|(_, z, _)| *z == Some(best));
        }
        let most = if spread { tasks.div_ceil(2) } else { tasks };
        let mut in_zone: BTreeMap<Option<u16>, u32> = BTreeMap::new();
        let mut places: Vec<(MachineIndex, Option<u16>)> = Vec::with_capacity(tasks as usize);
        for (mix, zone, holds) in rooms {
            let used = in_zone.entry(zone).or_default();
            let n = holds.min(tasks - places.len() as u32).min(most - *used);
            *used += n;
            places.extend((0..n).map(|_| (mix, zone)));
        }
        if (places.len() as u32) < tasks {
            return Plan::Short(places.into_iter().map(|(m, _)| m).collect());
        }
        for chunk in 0..tasks.div_ceil(TASKS_PER_CHUNK) {
            let Some(job) = self.jobs.get(ix) else { return Plan::Later };
            if !job.chunks.contains_key(&chunk) {
                let len = job.chunk_len(chunk);
                let fresh = self.new_chunk(len);
                if let Some(j) = self.jobs.get_mut(ix) {
                    j.chunks.insert(chunk, fresh);
                }
            }
        }
        if let Some(j) = self.jobs.get_mut(ix) {
            j.next = tasks;
            j.zone = if together { places[0].1 } else { None };
        }
        for (n, (mix, zone)) in places.into_iter().enumerate() {
            let key = TaskKey { job: ix, task: n as u32 };
            let fixed = if together || spread { zone } else { None };
            self.set_probes(key, vec![mix], fixed);
            self.set_task_state(key, TaskState::Waiting);
            self.mark_dirty(ix, n as u32 / TASKS_PER_CHUNK);
        }
        Plan::Made
    }

    /// Starts a gang whose places are on record and still free. False if it has to
    /// be placed anew.
    fn start_gang(&mut self, ix: JobIndex) -> bool {
        if !self.may_command_workers() {
            return true;
        }
        let now = self.context.now.steady_ms;
        let Some(job) = self.jobs.get(ix) else { return true };
        if job.chunks.is_empty() || job.done >= job.spec.tasks {
            return job.done > 0;
        }
        if job.chunks.values().any(|c| c.busy || c.dirty) {
            return true;
        }
        let need = job.resources();
        let mut wanted: BTreeMap<MachineIndex, Resources> = BTreeMap::new();
        let mut places = Vec::new();
        for (n, t) in job.tasks() {
            let key = TaskKey { job: ix, task: n };
            let Some(p) = t.probes.iter().find(|p| self.startable(job, key, t, p.machine)) else {
                return false;
            };
            wanted.entry(p.machine).or_default().add(&need, 1.0);
            places.push((key, p.machine));
        }
        let fits = wanted.iter().all(|(m, room)| {
            self.machines
                .get(*m)
                .is_some_and(|m| m.takes_work(now) && self.free_resources(m).fits(room))
        });
        if !fits || places.len() as u32 != job.spec.tasks {
            return false;
        }
        let mut all = Resources::default();
        all.add(&need, places.len() as f64);
        if job.unsure || !self.may_start(job.team, &all) {
            return true;
        }
        let attempt = self.next_attempt();
        for (key, machine) in places {
            self.bind_as(key, machine, attempt);
        }
        true
    }

    /// A gang that has lost a task: those that run notice by themselves, those that
    /// wait for the others are told.
    fn break_gang(&mut self, ix: JobIndex) {
        let waits = |s| matches!(s, TaskStatus::Waiting | TaskStatus::Fetching);
        self.stop_members(ix, false, waits);
    }

    /// Tells all of a gang to stop at once, so that its progress is saved.
    pub(crate) fn stop_gang(&mut self, ix: JobIndex) {
        let Some(job) = self.jobs.get(ix) else { return };
        let grace = job.spec.checkpoint_interval_s > 0.0;
        self.stop_members(ix, grace, |_| true);
    }

    /// Tells those of a gang's tasks to stop whose status is as wanted.
    fn stop_members(&mut self, ix: JobIndex, grace: bool, wanted: impl Fn(TaskStatus) -> bool) {
        let Some(job) = self.jobs.get(ix) else { return };
        let on: Vec<(TaskKey, MachineIndex, u64)> = job
            .tasks()
            .filter_map(|(n, t)| match t.state {
                TaskState::On { machine, attempt, status, .. } if wanted(status) => {
                    Some((TaskKey { job: ix, task: n }, machine, attempt))
                }
                _ => None,
            })
            .collect();
        for (key, machine, attempt) in on {
            self.set_task_state(key, TaskState::Stopping { machine, attempt, grace });
            self.machines_to_command.insert(machine);
        }
    }

    /// One task of a gang is done, and so all are.
    pub(crate) fn gang_done(&mut self, ix: JobIndex) {
        let Some(job) = self.jobs.get(ix) else { return };
        let rest: Vec<u32> = job.tasks().map(|(n, _)| n).collect();
        for task in rest {
            self.task_done(TaskKey { job: ix, task });
        }
    }
}
