//! Dealing: which tasks get probes, and where.
//!
//! A task is dealt only while its team's dealt and not provably ended work stays
//! within the team's limit, so the limit holds whatever is started later.

use std::collections::BTreeMap;

use quartzgate_wire::msg::{JobKind, JobSpec, Priority};

use crate::controller::Controller;
use crate::fleet::machines::{Machine, Resources};
use crate::ids::{JobIndex, MachineIndex, TaskKey};
use crate::jobs::{Job, JobState, Probe, Task, TaskState};
use crate::placement::candidates::Candidates;
use crate::placement::gangs::GangHold;
use crate::storage::records::TASKS_PER_CHUNK;

/// Chunks of one job that may be under way at a time.
pub(crate) const MAX_OPEN_CHUNKS: usize = 16;
/// What a probe takes of a record at most: a machine's name and its places.
const PROBE_BYTES: f64 = 40.0;
/// Tasks dealt in one go; the rest follow at the next event.
const DEAL_AT_ONCE: u32 = 256;
/// Roomy machines that are looked for: more than a task has probes.
const ELSEWHERE: usize = 20;
/// Waiting tasks whose machines are looked at in one go.
const LOOK_AT_ONCE: u32 = 8 * DEAL_AT_ONCE;

/// CPUs of waiting tasks by rank, and of all usable machines.
pub(crate) struct PlacementBacklog {
    waiting: BTreeMap<Priority, f64>,
    all: f64,
}

impl PlacementBacklog {
    /// Whether so much of this rank and above waits that more need not be dealt yet.
    pub fn full(&self, priority: Priority) -> bool {
        self.waiting.range(priority..).map(|(_, cpus)| cpus).sum::<f64>() > 0.5 * self.all
    }

    fn add(&mut self, priority: Priority, cpus: f64) {
        *self.waiting.entry(priority).or_default() += cpus;
    }
}

impl Controller {
    /// Work without haste of a team without a guarantee: it uses what is spare.
    pub(crate) fn is_best_effort(&self, job: &Job) -> bool {
        self.best_effort(job.team, job.priority)
    }

    /// The same, of a team's work of this priority.
    pub(crate) fn best_effort(&self, team: usize, priority: Priority) -> bool {
        let team = &self.context.config.platform.params.teams[team];
        priority == Priority::Low && team.cpus <= 0.0 && team.gpus <= 0.0
    }

    pub(crate) fn capacity_of(&self, kind: &str) -> Option<Resources> {
        let t = self.types.iter().find(|t| t.name == kind)?;
        Some(Resources { cpus: t.cpus, gpus: t.gpus, memory_gb: t.memory_gb })
    }

    pub(crate) fn free_resources(&self, m: &Machine) -> Resources {
        self.capacity_of(&m.kind).map_or(Resources::default(), |c| c.minus(&m.used))
    }

    /// Room of a machine for a job: what is held for gangs that are no less urgent is not for
    /// others.
    pub(crate) fn resources_for(&self, ix: MachineIndex, m: &Machine, job: &Job) -> Resources {
        self.without_gang_holds(self.free_resources(m), self.gang_holds.get(&ix), job)
    }

    /// What of a machine's free room is a job's to use.
    pub(crate) fn without_gang_holds(
        &self,
        free: Resources,
        held: Option<&GangHold>,
        job: &Job,
    ) -> Resources {
        let mut room = free;
        if let Some(h) = held.filter(|h| h.priority >= job.priority) {
            room = room.minus(&h.room);
        } else if job.spec.gpus <= 0.0 && job.priority < Priority::Production {
            room = room.minus(&self.beside_gpus(&free));
        }
        room
    }

    /// Type, zone and kind of machine that a job allows.
    pub(crate) fn allows(&self, spec: &JobSpec, kind: &str, zone: Option<u16>, spot: bool) -> bool {
        let zones = &self.context.config.platform.params.zones;
        (spec.spot || !spot)
            && spec.types.as_ref().is_none_or(|t| t.iter().any(|n| n == kind))
            && spec
                .zone
                .as_ref()
                .is_none_or(|want| zone.is_some_and(|z| zones[z as usize] == *want))
    }

    /// Whether one more task may be dealt to the team.
    pub(crate) fn within_quota(&self, team: usize, room: &Resources) -> bool {
        self.within_limit(team, self.teams[team].reserved, room)
    }

    /// Whether the team may have one more task on machines, taking for granted that all
    /// that may be there is. The records can hold more licences than the limit, after a
    /// deal that came to stand unseen, so that this is asked again before every start.
    pub(crate) fn may_start(&self, team: usize, room: &Resources) -> bool {
        let mut there = self.teams[team].placed;
        there.add(&self.teams[team].unproven, 1.0);
        self.within_limit(team, there, room)
    }

    fn within_limit(&self, team: usize, used: Resources, more: &Resources) -> bool {
        let limit = &self.context.config.platform.params.teams[team];
        let within = |used: f64, max: f64| max <= 0.0 || used <= max + 1e-6;
        within(used.cpus + more.cpus, limit.cpus_max)
            && within(used.gpus + more.gpus, limit.gpus_max)
    }

    /// Deals what may be dealt, higher priority first, then in order of acceptance; what
    /// looking at machines may cost by now bounds it, and the next call goes on.
    pub(crate) fn place_all(&mut self) {
        let now = self.context.now.steady_ms;
        let mut open: Vec<(Priority, u8, u64, JobIndex)> = self
            .jobs
            .iter()
            .filter(|(_, j)| {
                j.state == JobState::Live && j.next < j.spec.tasks && !j.failing_everywhere()
            })
            .filter(|(_, j)| now >= j.placement_from_ms)
            .map(|(ix, j)| (j.priority, j.lost, j.ready_ms, ix))
            .collect();
        if open.is_empty() {
            return;
        }
        open.sort_by_key(|(priority, lost, at, ix)| {
            (std::cmp::Reverse(*priority), *lost, *at, *ix)
        });
        let mut backlog = self.backlog();
        for (priority, _, _, ix) in open {
            if backlog.full(priority) {
                continue;
            }
            if !self.search_budget.left(now) {
                self.placement_due = true;
                return;
            }
            let asks = |j: &Job| f64::from(j.asking(j.waiting)) * j.spec.cpus;
            let before = self.jobs.get(ix).map_or(0.0, asks);
            if self.place_job(ix) {
                backlog.add(priority, self.jobs.get(ix).map_or(0.0, asks) - before);
            }
        }
    }

    /// CPUs of tasks that wait in queues, against those of all usable machines.
    pub(crate) fn backlog(&self) -> PlacementBacklog {
        let mut waiting: BTreeMap<Priority, f64> = BTreeMap::new();
        for (_, j) in self.jobs.iter().filter(|(_, j)| j.waiting > 0) {
            *waiting.entry(j.priority).or_default() += f64::from(j.asking(j.waiting)) * j.spec.cpus;
        }
        let all = self
            .machines
            .iter()
            .filter(|(_, m)| m.usable())
            .filter_map(|(_, m)| self.capacity_of(&m.kind))
            .map(|c| c.cpus)
            .sum();
        PlacementBacklog { waiting, all }
    }

    /// Time that a job's image takes to be fetched on a type of machine.
    pub(crate) fn fetch_s(&self, spec: &JobSpec, kind: &str) -> f64 {
        let rate = self.types.iter().find(|t| t.name == kind).map_or(0.0, |t| t.fetch_gb_per_s);
        if rate > 0.0 {
            spec.image_gb / rate
        } else {
            0.0
        }
    }

    /// Longest time that the operators would have tasks of a class wait.
    pub(crate) fn may_wait_s(&self, class: &str) -> Option<f64> {
        let objectives = &self.context.config.platform.params.objectives;
        let waits = objectives.iter().filter(|o| o.kind == "wait");
        waits.filter(|o| o.class.as_deref() == Some(class)).find_map(|o| o.within_s)
    }

    /// How many machines a task of this job is probed to.
    fn probe_count(&self, spec: &JobSpec) -> usize {
        if spec.estimate_s > self.context.config.operator.long_task_s {
            1
        } else {
            // A share with all of its tasks' machines must fit one write.
            let limits = self.limits();
            let bytes = limits.value_kb * 1024.0 * (limits.txn_ops - 1) as f64;
            let fit = bytes / (f64::from(TASKS_PER_CHUNK) * PROBE_BYTES);
            self.context.config.operator.probes.min((fit as usize).max(1))
        }
    }

    /// Deals as many of a job's tasks as licence and backlog allow. Says whether
    /// anything was dealt.
    pub(crate) fn place_job(&mut self, ix: JobIndex) -> bool {
        let Some(job) = self.jobs.get(ix) else { return false };
        if job.spec.shape == JobKind::Gang {
            return false;
        }
        let (team, need, spec) = (job.team, job.resources(), job.spec.clone());
        if !self.within_quota(team, &need) || !job.may_open() {
            return false;
        }
        let mut field = self.field(ix);
        if field.is_empty() {
            return self.postpone_placement(ix);
        }
        let count = self.probe_count(&spec);
        if spec.together && self.jobs.get(ix).is_some_and(|j| j.zone.is_none()) {
            let zone = field.roomiest_zone();
            if let Some(j) = self.jobs.get_mut(ix) {
                j.zone = zone;
            }
        }
        let mut dealt = 0;
        while dealt < DEAL_AT_ONCE && self.within_quota(team, &need) {
            let Some(job) = self.jobs.get(ix) else { break };
            if job.next >= job.spec.tasks {
                break;
            }
            let (n, chunk) = (job.next, job.next / TASKS_PER_CHUNK);
            if job.in_done_chunk(n) {
                let last = (chunk + 1) * TASKS_PER_CHUNK;
                let tasks = job.spec.tasks;
                if let Some(j) = self.jobs.get_mut(ix) {
                    j.next = last.min(tasks);
                }
                continue;
            }
            if !job.chunks.contains_key(&chunk) {
                if !job.may_open() {
                    break;
                }
                let len = job.chunk_len(chunk);
                let fresh = self.new_chunk(len);
                if let Some(j) = self.jobs.get_mut(ix) {
                    j.chunks.insert(chunk, fresh);
                }
            }
            let key = TaskKey { job: ix, task: n };
            let untouched = self.jobs.task(key).map(|t| t.state) == Some(TaskState::Unplaced);
            if untouched && !self.place_task(key, &mut field, count) {
                break;
            }
            if let Some(j) = self.jobs.get_mut(ix) {
                j.next = n + 1;
            }
            dealt += 1;
        }
        dealt > 0 || self.postpone_placement(ix)
    }

    /// No machine can take a task of the job: it is not looked at again at every event.
    fn postpone_placement(&mut self, ix: JobIndex) -> bool {
        let later = self.context.now.steady_ms + self.context.config.write_batch_ms();
        if let Some(j) = self.jobs.get_mut(ix) {
            j.placement_from_ms = later;
        }
        false
    }

    fn place_task(&mut self, key: TaskKey, field: &mut Candidates, count: usize) -> bool {
        let Some(zone) = self.zone_for(key, field) else { return false };
        let picks = field.choose(self, zone, count, &[]);
        if picks.is_empty() {
            return false;
        }
        self.set_probes(key, picks, zone);
        self.set_task_state(key, TaskState::Waiting);
        self.mark_dirty(key.job, key.task / TASKS_PER_CHUNK);
        true
    }

    /// Zone that the deal fixes for a task: `Some(None)` if its job has no zone
    /// rule, `None` if no zone can take it now.
    fn zone_for(&self, key: TaskKey, field: &Candidates) -> Option<Option<u16>> {
        let job = self.jobs.get(key.job)?;
        if job.spec.together {
            return job.zone.map(Some);
        }
        if !job.spec.spread {
            return Some(None);
        }
        let best = field.spread_zone(&self.zone_counts(key), job.spec.tasks.div_ceil(2))?;
        Some(Some(best))
    }

    /// Tasks of the job other than this one, by the zone that they are dealt to.
    fn zone_counts(&self, key: TaskKey) -> Vec<u32> {
        let mut counts = vec![0; self.context.config.platform.params.zones.len()];
        let Some(job) = self.jobs.get(key.job) else { return counts };
        for (n, t) in job.tasks() {
            if n == key.task || !t.state.reserved() {
                continue;
            }
            match t.zone {
                Some(z) => counts[z as usize] += 1,
                // Nothing is known of where it is: it counts everywhere.
                None => counts.iter_mut().for_each(|c| *c += 1),
            }
        }
        counts
    }

    /// Gives a task the machines that it may start on, beside those where an
    /// earlier owner may have started it.
    pub(crate) fn set_probes(
        &mut self,
        key: TaskKey,
        machines: Vec<MachineIndex>,
        zone: Option<u16>,
    ) {
        let Some(job) = self.jobs.get_mut(key.job) else { return };
        let Some(c) = job.chunk_of(key.task) else { return };
        let version = c.version + 1;
        c.blocks_starts = true;
        let Some(task) = c.tasks.get_mut((key.task % TASKS_PER_CHUNK) as usize) else { return };
        let old = std::mem::take(&mut task.probes);
        task.zone = zone;
        let mut probes: Vec<Probe> = Vec::with_capacity(machines.len());
        for p in &old {
            if p.unproven && !machines.contains(&p.machine) {
                probes.push(*p);
            }
        }
        for machine in machines {
            let kept = old.iter().find(|p| p.machine == machine).copied();
            probes.push(kept.unwrap_or(Probe { machine, version, unproven: false }));
        }
        let serve_by_proxy: Vec<MachineIndex> = probes.iter().map(|p| p.machine).collect();
        task.probes = probes;
        for p in old.iter().filter(|p| !serve_by_proxy.contains(&p.machine)) {
            if let Some(m) = self.machines.get_mut(p.machine) {
                m.queue.retain(|k| *k != key);
            }
        }
    }

    /// Puts a waiting task into the queues of its machines.
    pub(crate) fn enqueue(&mut self, key: TaskKey) {
        let Some(task) = self.jobs.task(key) else { return };
        let machines: Vec<MachineIndex> = task.probes.iter().map(|p| p.machine).collect();
        let mut queued = false;
        for ix in machines {
            let Some(m) = self.machines.get_mut(ix) else { continue };
            if !m.usable() {
                continue;
            }
            queued = true;
            if !m.queue.contains(&key) {
                m.queue.push(key);
            }
            self.machines_to_dispatch.insert(ix);
        }
        if !queued {
            self.reprobe_due = true;
        }
    }

    /// Gives waiting tasks other machines where theirs are gone or full and others
    /// have room. Costs a write, so it happens once a round or when supply changes.
    pub(crate) fn reprobe(&mut self) {
        let now = self.context.now.steady_ms;
        self.reprobe_due = false;
        let mut jobs: Vec<(Priority, u8, f64, JobIndex)> = Vec::new();
        for (ix, job) in self.jobs.iter() {
            let gang = job.spec.shape == JobKind::Gang;
            if job.state == JobState::Live && job.waiting > 0 && !gang && job.may_try(now) {
                jobs.push((job.priority, job.lost, job.remaining_s(), ix));
            }
        }
        if jobs.is_empty() {
            return;
        }
        if !self.search_budget.left(now) {
            self.reprobe_due = true;
            return;
        }
        // As the queues have it.
        jobs.sort_by(|a, b| {
            let standing = (b.0, a.1).cmp(&(a.0, b.1));
            standing.then(a.2.total_cmp(&b.2)).then(a.3.cmp(&b.3))
        });
        let roomy = self.roomy_machines();
        let (mut looked, mut moved) = (0, 0);
        for (_, _, _, ix) in jobs {
            let Some(job) = self.jobs.get(ix) else { continue };
            let most = job.asking(job.waiting) as usize;
            let ready = |t: &Task| t.state == TaskState::Waiting && t.not_before_ms <= now;
            let waiting = job.tasks().filter(|(_, t)| ready(t)).take(most);
            let keys: Vec<TaskKey> = waiting.map(|(task, _)| TaskKey { job: ix, task }).collect();
            if !self.search_budget.left(now) {
                self.reprobe_due = true;
                return;
            }
            // One more than a task can have among its own tells of one elsewhere.
            let room = self.roomy_for(&roomy, ix, ELSEWHERE);
            let mut field: Option<Candidates> = None;
            for key in keys {
                if looked >= LOOK_AT_ONCE || moved >= DEAL_AT_ONCE {
                    self.reprobe_due = true;
                    return;
                }
                looked += 1;
                self.search_budget.spend(now, 1);
                if !self.served(key, &room) {
                    if field.is_none() && !self.search_budget.left(now) {
                        self.reprobe_due = true;
                        return;
                    }
                    let field = field.get_or_insert_with(|| self.field(ix));
                    moved += u32::from(self.reprobe_task(key, field));
                }
            }
        }
    }

    /// Whether a waiting task is as well placed as it can be: a machine of its own has
    /// room, or one lives and no other has any.
    fn served(&mut self, key: TaskKey, room: &[MachineIndex]) -> bool {
        // A machine may have become usable since the task began to wait.
        self.enqueue(key);
        let Some(job) = self.jobs.get(key.job) else { return true };
        let Some(task) = job.task(key.task) else { return true };
        let need = job.resources();
        let (mut live, mut has_room) = (false, false);
        for p in &task.probes {
            let Some(m) = self.machines.get(p.machine).filter(|m| m.usable()) else { continue };
            live |= self.may_come_free(m, job.priority, &need);
            has_room |= self.resources_for(p.machine, m, job).fits(&need)
                && !job.errors_on.contains(&p.machine);
        }
        let elsewhere = |ix: &MachineIndex| !task.probes.iter().any(|p| p.machine == *ix);
        has_room || live && !room.iter().any(elsewhere)
    }

    /// Gives a waiting task other machines, if that helps.
    fn reprobe_task(&mut self, key: TaskKey, field: &mut Candidates) -> bool {
        let Some(job) = self.jobs.get(key.job) else { return false };
        let Some(task) = job.task(key.task) else { return false };
        let (spec, fixed, avoid) = (job.spec.clone(), job.zone, job.errors_on.clone());
        let (priority, need) = (job.priority, job.resources());
        let usable = |p: &&Probe| self.machines.get(p.machine).is_some_and(|m| m.usable());
        let may_serve = |p: &Probe| {
            let m = self.machines.get(p.machine).filter(|m| m.usable());
            m.is_some_and(|m| self.may_come_free(m, priority, &need))
        };
        let live = task.probes.iter().any(may_serve);
        if live && !field.roomy(None) {
            return false;
        }
        // What was chosen last has to stand before it is chosen anew: otherwise a task whose
        // record waits for its turn would be given others for ever, and never start.
        let acked = job.chunks.get(&(key.task / TASKS_PER_CHUNK)).map_or(0, |c| c.acked);
        if task.probes.iter().filter(usable).any(|p| p.version > acked) {
            return false;
        }
        let Some(zone) = self.zone_for(key, field).map(|z| z.or(fixed)) else { return false };
        if !field.roomy(zone) && (live || !field.any_in(zone)) {
            return false;
        }
        let count = self.probe_count(&spec);
        let mut picks = field.choose(self, zone, count, &avoid);
        if picks.is_empty() {
            picks = field.choose(self, zone, count, &[]);
        }
        if picks.is_empty() {
            return false;
        }
        self.set_probes(key, picks, zone);
        self.enqueue(key);
        self.mark_dirty(key.job, key.task / TASKS_PER_CHUNK);
        true
    }

    /// Machines that waiting tasks of this job are probed to may bind now.
    pub(crate) fn touch_probed(&mut self, ix: JobIndex) {
        let Some(job) = self.jobs.get(ix) else { return };
        let machines: Vec<MachineIndex> = job
            .tasks()
            .filter(|(_, t)| t.state == TaskState::Waiting)
            .flat_map(|(_, t)| t.probes.iter().map(|p| p.machine))
            .collect();
        self.machines_to_dispatch.extend(machines);
    }
}
