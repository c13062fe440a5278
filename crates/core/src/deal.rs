//! Dealing: which tasks get probes, and where.
//!
//! A task is dealt only while its team's dealt and not provably ended work stays
//! within the team's limit, so the limit holds whatever is started later.

use std::collections::BTreeMap;

use rand::Rng;

use quartzgate_wire::msg::{JobSpec, Rank, Shape};

use crate::controller::Controller;
use crate::ids::{JobIx, MachineIx, TaskKey};
use crate::jobs::{Job, JobState, Probe, Task, TaskState};
use crate::machines::{Machine, Room};
use crate::records::CHUNK;

/// Chunks of one job that may be under way at a time.
pub(crate) const OPEN_CHUNKS: usize = 16;
/// What a probe takes of a record at most: a machine's name and its places.
const PROBE_BYTES: f64 = 40.0;
/// Tasks dealt in one go; the rest follow at the next event.
const DEAL_AT_ONCE: u32 = 256;

/// CPUs of waiting tasks by rank, and of all usable machines.
pub(crate) struct Backlog {
    waiting: BTreeMap<Rank, f64>,
    all: f64,
}

impl Backlog {
    /// Whether so much of this rank and above waits that more need not be dealt yet.
    pub fn full(&self, rank: Rank) -> bool {
        self.waiting.range(rank..).map(|(_, cpus)| cpus).sum::<f64>() > 2.0 * self.all
    }
}

/// A machine as the deal sees it.
struct Candidate {
    ix: MachineIx,
    zone: Option<u16>,
    free: Room,
    /// Room that the queue has not spoken for.
    spare: Room,
    wait_s: f64,
    image: bool,
    /// Fetching the image would take longer than the job's class may wait.
    late: bool,
    /// Room that lower priorities would make.
    yields: Room,
    spot: bool,
    used_share: f64,
    queued: usize,
}

impl Controller {
    /// Work without haste of a team without a guarantee: it uses what is spare.
    pub(crate) fn guest(&self, job: &Job) -> bool {
        let team = &self.cfg.platform.params.teams[job.team];
        job.rank == Rank::Low && team.cpus <= 0.0 && team.gpus <= 0.0
    }

    pub(crate) fn capacity_of(&self, kind: &str) -> Option<Room> {
        let t = self.types.iter().find(|t| t.name == kind)?;
        Some(Room { cpus: t.cpus, gpus: t.gpus, memory_gb: t.memory_gb })
    }

    pub(crate) fn free_room(&self, m: &Machine) -> Room {
        self.capacity_of(&m.kind).map_or(Room::default(), |c| c.minus(&m.used))
    }

    /// Type, zone and kind of machine that a job allows.
    pub(crate) fn allows(&self, spec: &JobSpec, kind: &str, zone: Option<u16>, spot: bool) -> bool {
        let zones = &self.cfg.platform.params.zones;
        (spec.spot || !spot)
            && spec.types.as_ref().is_none_or(|t| t.iter().any(|n| n == kind))
            && spec
                .zone
                .as_ref()
                .is_none_or(|want| zone.is_some_and(|z| zones[z as usize] == *want))
    }

    /// Whether one more task may be dealt to the team.
    pub(crate) fn licence(&self, team: usize, room: &Room) -> bool {
        self.within_limit(team, self.teams[team].licensed, room)
    }

    /// Whether the team may have one more task on machines, taking for granted that all
    /// that may be there is. The records can hold more licences than the limit, after a
    /// deal that came to stand unseen, so that this is asked again before every start.
    pub(crate) fn may_start(&self, team: usize, room: &Room) -> bool {
        let mut there = self.teams[team].placed;
        there.add(&self.teams[team].unproven, 1.0);
        self.within_limit(team, there, room)
    }

    fn within_limit(&self, team: usize, used: Room, more: &Room) -> bool {
        let limit = &self.cfg.platform.params.teams[team];
        let within = |used: f64, max: f64| max <= 0.0 || used <= max + 1e-6;
        within(used.cpus + more.cpus, limit.cpus_max)
            && within(used.gpus + more.gpus, limit.gpus_max)
    }

    /// Deals what may be dealt, higher priority first, then in order of acceptance.
    pub(crate) fn deal_all(&mut self) {
        let mut open: Vec<(Rank, u8, u64, JobIx)> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.state == JobState::Live && j.next < j.spec.tasks && !j.mistaken())
            .map(|(ix, j)| (j.rank, j.lost, j.ready_ms, ix))
            .collect();
        if open.is_empty() {
            return;
        }
        open.sort_by_key(|(rank, lost, at, ix)| (std::cmp::Reverse(*rank), *lost, *at, *ix));
        let mut backlog = self.backlog();
        for (rank, _, _, ix) in open {
            if !backlog.full(rank) && self.deal_job(ix) {
                backlog = self.backlog();
            }
        }
    }

    /// CPUs of tasks that wait in queues, against those of all usable machines.
    pub(crate) fn backlog(&self) -> Backlog {
        let mut waiting: BTreeMap<Rank, f64> = BTreeMap::new();
        for (_, j) in self.jobs.iter().filter(|(_, j)| j.waiting > 0) {
            *waiting.entry(j.rank).or_default() += f64::from(j.asking(j.waiting)) * j.spec.cpus;
        }
        let all = self
            .machines
            .iter()
            .filter(|(_, m)| m.usable())
            .filter_map(|(_, m)| self.capacity_of(&m.kind))
            .map(|c| c.cpus)
            .sum();
        Backlog { waiting, all }
    }

    fn candidates(&self, ix: JobIx) -> Vec<Candidate> {
        let Some(job) = self.jobs.get(ix) else { return Vec::new() };
        let need = job.room();
        let now = self.now.steady_ms;
        let within_s = self.may_wait_s(&job.spec.class);
        self.machines
            .iter()
            .filter(|(_, m)| m.usable() && self.allows(&job.spec, &m.kind, m.zone, m.spot))
            .filter_map(|(mix, m)| {
                let all = self.capacity_of(&m.kind)?;
                if !all.fits(&need) {
                    return None;
                }
                let free =
                    if now < m.no_room_until_ms { Room::default() } else { all.minus(&m.used) };
                let mut spare = free;
                // What is full stays full, whatever its queue has spoken for.
                for key in &m.queue {
                    if !spare.fits(&need) {
                        break;
                    }
                    let job = self.jobs.get(key.job).filter(|j| !j.mistaken());
                    let Some(j) = job else { continue };
                    let probes = j.task(key.task).map_or(1, |t| t.probes.len()).max(1);
                    spare.add(&j.room(), -1.0 / probes as f64);
                }
                let image = m.images.contains_key(&job.spec.image);
                let fetch_s = self.fetch_s(&job.spec, &m.kind);
                let mut yields = free;
                if job.force() == Rank::Normal {
                    yields.add(&m.low, 1.0);
                }
                for k in m.tasks.keys().filter(|_| job.force() >= Rank::High) {
                    let Some(j) = self.jobs.get(k.job) else { continue };
                    if j.rank < job.force() && j.spec.shape != Shape::Gang {
                        yields.add(&j.room(), 1.0);
                    }
                }
                Some(Candidate {
                    ix: mix,
                    late: !image && within_s.is_some_and(|w| fetch_s > w),
                    yields,
                    zone: m.zone,
                    free,
                    spare,
                    wait_s: m.wait_s,
                    image,
                    spot: m.spot,
                    used_share: m.used.cpus / all.cpus.max(1e-9),
                    queued: m.queue.len(),
                })
            })
            .collect()
    }

    /// The best machines for one more task, at most `count` of them.
    fn choose(
        &mut self,
        list: &mut [Candidate],
        need: &Room,
        count: usize,
        spec_spot: bool,
    ) -> Vec<MachineIx> {
        let mut scored: Vec<(f64, usize)> = Vec::with_capacity(list.len());
        for (at, c) in list.iter().enumerate() {
            let mut score = self.rng.random_range(0.0..0.01);
            if c.spare.fits(need) {
                // Room now: where the image lies, then cheap, then filling up machines.
                score += match (c.image, c.late) {
                    (true, _) => 0.0,
                    (_, false) => 1.0,
                    (_, true) => 4.0,
                };
                // Ordinary room is dear: for what may do without, a short fetch is cheaper.
                score += if spec_spot && !c.spot { 2.0 } else { 0.0 };
                score += 0.4 * (1.0 - c.used_share);
            } else if c.yields.fits(need) {
                score += 3.0 + if c.image { 0.0 } else { 2.0 };
                score += 0.4 * c.queued as f64;
            } else {
                let room = if c.free.fits(need) { 5.0 } else { 10.0 };
                score += room + c.wait_s + c.queued as f64;
            }
            scored.push((score, at));
        }
        if count > 0 && count < scored.len() {
            scored.select_nth_unstable_by(count - 1, |a, b| a.0.total_cmp(&b.0));
            scored.truncate(count);
        }
        scored.sort_by(|a, b| a.0.total_cmp(&b.0));
        let picks: Vec<usize> = scored.into_iter().map(|(_, at)| at).collect();
        let part = 1.0 / picks.len().max(1) as f64;
        // The first is where it will most likely run.
        for (n, &at) in picks.iter().enumerate() {
            let weight = if n == 0 { 1.0 } else { part / 2.0 };
            list[at].spare.add(need, -weight);
            list[at].yields.add(need, -weight);
            list[at].queued += 1;
        }
        picks.into_iter().map(|at| list[at].ix).collect()
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
    fn may_wait_s(&self, class: &str) -> Option<f64> {
        let objectives = &self.cfg.platform.params.objectives;
        let waits = objectives.iter().filter(|o| o.kind == "wait");
        waits.filter(|o| o.class.as_deref() == Some(class)).find_map(|o| o.within_s)
    }

    /// How many machines a task of this job is probed to.
    fn probe_count(&self, spec: &JobSpec) -> usize {
        if spec.estimate_s > self.cfg.operator.long_task_s {
            1
        } else {
            // A share with all of its tasks' machines must fit one write.
            let limits = self.limits();
            let bytes = limits.value_kb * 1024.0 * (limits.txn_ops - 1) as f64;
            let fit = bytes / (f64::from(CHUNK) * PROBE_BYTES);
            self.cfg.operator.probes.min((fit as usize).max(1))
        }
    }

    /// Deals as many of a job's tasks as licence and backlog allow. Says whether
    /// anything was dealt.
    pub(crate) fn deal_job(&mut self, ix: JobIx) -> bool {
        let Some(job) = self.jobs.get(ix) else { return false };
        if job.spec.shape == Shape::Gang {
            return false;
        }
        let (team, need, spec) = (job.team, job.room(), job.spec.clone());
        if !self.licence(team, &need) || !job.may_open() {
            return false;
        }
        let mut list = self.candidates(ix);
        if list.is_empty() {
            return false;
        }
        let count = self.probe_count(&spec);
        if spec.together && self.jobs.get(ix).is_some_and(|j| j.zone.is_none()) {
            let zone = roomiest_zone(&list, &need);
            if let Some(j) = self.jobs.get_mut(ix) {
                j.zone = zone;
            }
        }
        let mut dealt = 0;
        while dealt < DEAL_AT_ONCE && self.licence(team, &need) {
            let Some(job) = self.jobs.get(ix) else { break };
            if job.next >= job.spec.tasks {
                break;
            }
            let (n, chunk) = (job.next, job.next / CHUNK);
            if job.in_done_chunk(n) {
                let last = (chunk + 1) * CHUNK;
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
            let untouched = self.jobs.task(key).map(|t| t.state) == Some(TaskState::Undealt);
            if untouched && !self.deal_task(key, &mut list, &need, count) {
                break;
            }
            if let Some(j) = self.jobs.get_mut(ix) {
                j.next = n + 1;
            }
            dealt += 1;
        }
        dealt > 0
    }

    fn deal_task(
        &mut self,
        key: TaskKey,
        list: &mut [Candidate],
        need: &Room,
        count: usize,
    ) -> bool {
        let Some(zone) = self.zone_for(key, list, need) else { return false };
        let Some(job) = self.jobs.get(key.job) else { return false };
        let spot = job.spec.spot;
        let picks = match zone {
            None => self.choose(list, need, count, spot),
            Some(z) => {
                let mut within: Vec<Candidate> = Vec::new();
                for c in list.iter().filter(|c| c.zone == Some(z)) {
                    within.push(Candidate { ..*c });
                }
                let picks = self.choose(&mut within, need, count, spot);
                for c in list.iter_mut() {
                    if let Some(w) = within.iter().find(|w| w.ix == c.ix) {
                        (c.spare, c.queued) = (w.spare, w.queued);
                    }
                }
                picks
            }
        };
        if picks.is_empty() {
            return false;
        }
        self.set_probes(key, picks, zone);
        self.task_to(key, TaskState::Waiting);
        self.mark_dirty(key.job, key.task / CHUNK);
        true
    }

    /// Zone that the deal fixes for a task: `Some(None)` if its job has no zone
    /// rule, `None` if no zone can take it now.
    fn zone_for(&mut self, key: TaskKey, list: &[Candidate], need: &Room) -> Option<Option<u16>> {
        let job = self.jobs.get(key.job)?;
        if job.spec.together {
            return job.zone.map(Some);
        }
        if !job.spec.spread {
            return Some(None);
        }
        let zones = self.cfg.platform.params.zones.len() as u16;
        let most = job.spec.tasks.div_ceil(2);
        let counts = self.zone_counts(key);
        let best = (0..zones)
            .filter(|z| counts[*z as usize] < most)
            .filter(|z| list.iter().any(|c| c.zone == Some(*z)))
            .max_by_key(|z| {
                let here = list.iter().filter(|c| c.zone == Some(*z));
                let room: u32 = here.clone().map(|c| c.spare.holds(need)).sum();
                let image = here.filter(|c| c.image && c.spare.fits(need)).count();
                (room > 0, std::cmp::Reverse(counts[*z as usize]), image > 0, room)
            })?;
        Some(Some(best))
    }

    /// Tasks of the job other than this one, by the zone that they are dealt to.
    fn zone_counts(&self, key: TaskKey) -> Vec<u32> {
        let mut counts = vec![0; self.cfg.platform.params.zones.len()];
        let Some(job) = self.jobs.get(key.job) else { return counts };
        for (n, t) in job.tasks() {
            if n == key.task || !t.state.licensed() {
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
    pub(crate) fn set_probes(&mut self, key: TaskKey, machines: Vec<MachineIx>, zone: Option<u16>) {
        let Some(job) = self.jobs.get_mut(key.job) else { return };
        let Some(c) = job.chunk_of(key.task) else { return };
        let version = c.version + 1;
        c.pressing = true;
        let Some(task) = c.tasks.get_mut((key.task % CHUNK) as usize) else { return };
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
        let keep: Vec<MachineIx> = probes.iter().map(|p| p.machine).collect();
        task.probes = probes;
        for p in old.iter().filter(|p| !keep.contains(&p.machine)) {
            if let Some(m) = self.machines.get_mut(p.machine) {
                m.queue.retain(|k| *k != key);
            }
        }
    }

    /// Puts a waiting task into the queues of its machines.
    pub(crate) fn enqueue(&mut self, key: TaskKey) {
        let Some(task) = self.jobs.task(key) else { return };
        let machines: Vec<MachineIx> = task.probes.iter().map(|p| p.machine).collect();
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
            self.touched.insert(ix);
        }
        if !queued {
            self.reprobe_due = true;
        }
    }

    /// Gives waiting tasks other machines where theirs are gone or full and others
    /// have room. Costs a write, so it happens once a round or when supply changes.
    pub(crate) fn reprobe(&mut self) {
        let now = self.now.steady_ms;
        let mut waiting: Vec<(Rank, u8, f64, u64, TaskKey)> = Vec::new();
        for (ix, job) in self.jobs.iter() {
            let gang = job.spec.shape == Shape::Gang;
            if job.state != JobState::Live || job.waiting == 0 || gang || !job.may_try(now) {
                continue;
            }
            let most = job.asking(job.waiting) as usize;
            let ready = |t: &Task| t.state == TaskState::Waiting && t.not_before_ms <= now;
            for (n, t) in job.tasks().filter(|(_, t)| ready(t)).take(most) {
                let key = TaskKey { job: ix, task: n };
                let remaining_s = job.remaining_s();
                waiting.push((job.rank, job.lost, remaining_s, t.arrived, key));
            }
        }
        // As the queues have it.
        waiting.sort_by(|a, b| {
            let standing = (b.0, a.1).cmp(&(a.0, b.1));
            standing.then(a.2.total_cmp(&b.2)).then(a.3.cmp(&b.3))
        });
        let mut last: Option<(JobIx, Vec<Candidate>)> = None;
        for (_, _, _, _, key) in waiting.into_iter().take(DEAL_AT_ONCE as usize) {
            // A machine may have become usable since the task began to wait.
            self.enqueue(key);
            let Some(job) = self.jobs.get(key.job) else { continue };
            let Some(task) = job.task(key.task) else { continue };
            let need = job.room();
            let failed_here = |ix: &MachineIx| job.errors_on.contains(ix);
            let has_room = |p: &Probe| {
                self.machines.get(p.machine).is_some_and(|m| {
                    m.usable() && self.free_room(m).fits(&need) && !failed_here(&p.machine)
                })
            };
            let live = task
                .probes
                .iter()
                .any(|p| self.machines.get(p.machine).is_some_and(|m| m.usable()));
            if task.probes.iter().any(has_room) {
                continue;
            }
            let (spec, fixed) = (job.spec.clone(), job.zone);
            let old: Vec<MachineIx> = task.probes.iter().map(|p| p.machine).collect();
            let avoid = job.errors_on.clone();
            let mut list = match last.take() {
                Some((ix, list)) if ix == key.job => list,
                _ => self.candidates(key.job),
            };
            let roomy = list.iter().any(|c| c.spare.fits(&need) && !old.contains(&c.ix));
            let at = if roomy || !live { self.zone_for(key, &list, &need) } else { None };
            if let Some(zone) = at.map(|z| z.or(fixed)) {
                let others = list.iter().any(|c| !avoid.contains(&c.ix));
                let mut within: Vec<Candidate> = list
                    .iter()
                    .filter(|c| zone.is_none() || c.zone == zone)
                    .filter(|c| !others || !avoid.contains(&c.ix))
                    .map(|c| Candidate { ..*c })
                    .collect();
                let useful = within.iter().any(|c| c.spare.fits(&need));
                if useful || !live && !within.is_empty() {
                    let count = self.probe_count(&spec);
                    let picks = self.choose(&mut within, &need, count, spec.spot);
                    for c in list.iter_mut() {
                        if let Some(w) = within.iter().find(|w| w.ix == c.ix) {
                            (c.spare, c.queued) = (w.spare, w.queued);
                        }
                    }
                    self.set_probes(key, picks, zone);
                    self.enqueue(key);
                    self.mark_dirty(key.job, key.task / CHUNK);
                }
            }
            last = Some((key.job, list));
        }
        self.reprobe_due = false;
    }

    /// Machines that waiting tasks of this job are probed to may bind now.
    pub(crate) fn touch_probed(&mut self, ix: JobIx) {
        let Some(job) = self.jobs.get(ix) else { return };
        let machines: Vec<MachineIx> = job
            .tasks()
            .filter(|(_, t)| t.state == TaskState::Waiting)
            .flat_map(|(_, t)| t.probes.iter().map(|p| p.machine))
            .collect();
        self.touched.extend(machines);
    }
}

/// Zone with the most room that nobody has spoken for.
fn roomiest_zone(list: &[Candidate], need: &Room) -> Option<u16> {
    let mut zones: Vec<u16> = list.iter().filter_map(|c| c.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    zones.into_iter().max_by_key(|z| {
        list.iter().filter(|c| c.zone == Some(*z)).map(|c| c.spare.holds(need)).sum::<u32>()
    })
}
