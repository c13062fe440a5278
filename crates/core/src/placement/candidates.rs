//! The machines that tasks of one job may be dealt to, best first.
//!
//! Looking at all machines is what dealing costs, and it grows with the fleet. So it is
//! done once for many tasks: machines lie in a heap for each zone, ordered by how well
//! they serve, and a pick puts those that it took back in their new places. How many
//! machines may be looked at in a while is bounded (`SearchBudget`), so that dealing never
//! takes the time that running work needs.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use ordered_float::OrderedFloat;
use quartzgate_wire::msg::{JobSpec, Priority};

use rand::Rng;

use crate::controller::Controller;
use crate::fleet::machines::{Machine, Resources};
use crate::ids::{JobIndex, MachineIndex};
use crate::jobs::Job;
use crate::storage::rate_limiter::RateLimiter;
use crate::LoadState;

/// Machines looked at in a second of a whole core, by rough measure.
const LOOKS_PER_CORE_S: f64 = 3e6;
/// Share of the processor that dealing may take for looking at machines.
const LOOKS_SHARE: f64 = 0.25;

/// What dealing may look at: machines a second, in proportion to the processor.
pub(crate) struct SearchBudget {
    looks: RateLimiter,
    /// Machines a second that a whole share of the processor would allow.
    whole: f64,
}

impl SearchBudget {
    pub fn new(cpu_share: f64) -> Self {
        let whole = cpu_share.max(0.01) * LOOKS_PER_CORE_S;
        SearchBudget { looks: RateLimiter::new(whole * LOOKS_SHARE), whole }
    }

    /// Under load dealing gets less: reports go first.
    pub fn fit(&mut self, state: LoadState) {
        let part = match state {
            LoadState::Normal => 1.0,
            LoadState::Pressed => 0.5,
            LoadState::Shedding => 0.2,
        };
        self.looks.set_rate(self.whole * LOOKS_SHARE * part);
    }

    /// Whether so many machines may be looked at now. One look at the whole fleet is
    /// allowed whenever the last is paid for, however large the fleet.
    pub fn left(&mut self, now_ms: u64) -> bool {
        self.looks.room(now_ms, 0.0) > 0.0
    }

    pub fn spend(&mut self, now_ms: u64, machines: usize) {
        self.looks.force(now_ms, machines as f64);
    }
}

/// A machine as the deal sees it.
struct Candidate {
    ix: MachineIndex,
    zone: Option<u16>,
    free: Resources,
    /// Room that the queue has not spoken for.
    spare: Resources,
    wait_s: f64,
    image: bool,
    /// Fetching the image would take longer than the job's class may wait.
    late: bool,
    spot: bool,
    /// It has GPUs, which are scarce, and the job needs none.
    scarce: bool,
    used_share: f64,
    queued: usize,
    /// Tasks that were picked for it since, by weight.
    taken: f64,
    jitter: f64,
}

type Scored = Reverse<(OrderedFloat<f64>, usize)>;

/// What one zone offers the job.
#[derive(Clone, Debug, Default)]
struct ZoneRoom {
    machines: u32,
    /// Tasks that its spare room holds, and machines among them that have the image.
    holds: u32,
    images: u32,
}

pub(crate) struct Candidates {
    job: JobIndex,
    need: Resources,
    spot: bool,
    list: Vec<Candidate>,
    /// Places in `list` by zone, those of unknown zone last.
    heaps: Vec<BinaryHeap<Scored>>,
    zones: Vec<ZoneRoom>,
}

/// What the machines of a type are to a job.
struct Kind<'a> {
    name: &'a str,
    all: Resources,
    late: bool,
}

impl Candidates {
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Machines that have room that nobody has spoken for, in this zone or in any.
    pub fn roomy(&self, zone: Option<u16>) -> bool {
        let within = |(z, _): &(usize, &ZoneRoom)| zone.is_none_or(|want| want as usize == *z);
        self.zones.iter().enumerate().filter(within).any(|(_, z)| z.holds > 0)
    }

    pub fn any_in(&self, zone: Option<u16>) -> bool {
        zone.map_or(!self.list.is_empty(), |z| self.zones[z as usize].machines > 0)
    }

    /// Zone with the most room that nobody has spoken for.
    pub fn roomiest_zone(&self) -> Option<u16> {
        let known = self.zones.len() as u16 - 1;
        let offers = (0..known).filter(|z| self.zones[*z as usize].machines > 0);
        offers.max_by_key(|z| self.zones[*z as usize].holds)
    }

    /// The zone for one more task of a job that is spread: the emptiest that has room
    /// and may take one, rather where the image lies.
    pub fn spread_zone(&self, counts: &[u32], most: u32) -> Option<u16> {
        let open = (0..counts.len()).filter(|z| counts[*z] < most && self.zones[*z].machines > 0);
        let best = open.max_by_key(|z| {
            let room = &self.zones[*z];
            (room.holds > 0, Reverse(counts[*z]), room.images > 0, room.holds)
        });
        best.map(|z| z as u16)
    }

    /// The best machines for one more task, at most `count` of them, the first being
    /// where it will most likely run.
    pub fn choose(
        &mut self,
        core: &Controller,
        zone: Option<u16>,
        count: usize,
        avoid: &[MachineIndex],
    ) -> Vec<MachineIndex> {
        let heaps: Vec<usize> = match zone {
            Some(z) => vec![z as usize],
            None => (0..self.heaps.len()).collect(),
        };
        let (mut picks, mut passed) = (Vec::with_capacity(count), Vec::new());
        while picks.len() < count {
            let tops = heaps.iter().filter_map(|h| self.heaps[*h].peek().map(|top| (top, *h)));
            let Some(h) = tops.max_by_key(|(top, _)| **top).map(|(_, h)| h) else { break };
            let Some(top) = self.heaps[h].pop() else { break };
            let Reverse((_, at)) = top;
            match avoid.contains(&self.list[at].ix) {
                true => passed.push((h, top)),
                false => picks.push((h, at)),
            }
        }
        passed.into_iter().for_each(|(h, top)| self.heaps[h].push(top));
        let others = 0.5 / picks.len().max(1) as f64;
        for (n, &(h, at)) in picks.iter().enumerate() {
            self.take(h, at, if n == 0 { 1.0 } else { others });
            let score = self.score(core, at);
            self.heaps[h].push(Reverse((score, at)));
        }
        picks.into_iter().map(|(_, at)| self.list[at].ix).collect()
    }

    fn take(&mut self, zone: usize, at: usize, weight: f64) {
        let (c, room) = (&mut self.list[at], &mut self.zones[zone]);
        let (held, image) = (c.spare.holds(&self.need), c.image);
        c.spare.add(&self.need, -weight);
        c.taken += weight;
        c.queued += 1;
        let holds = c.spare.holds(&self.need);
        room.holds -= held - holds;
        if image && held > 0 && holds == 0 {
            room.images -= 1;
        }
    }

    /// How well a machine would serve one more task: the lower the better.
    fn score(&self, core: &Controller, at: usize) -> OrderedFloat<f64> {
        let c = &self.list[at];
        let mut score = c.jitter;
        if c.spare.fits(&self.need) {
            // Room now: where the image lies, then cheap, then filling up machines.
            score += match (c.image, c.late) {
                (true, _) => 0.0,
                (_, false) => 1.0,
                (_, true) => 4.0,
            };
            // Ordinary room is dear: for what may do without, a short fetch is cheaper.
            score += if self.spot && !c.spot { 2.0 } else { 0.0 };
            score += if c.scarce { 2.5 } else { 0.0 };
            score += 0.4 * (1.0 - c.used_share);
        } else if self.preemptible_by_priority(core, c) {
            score += 3.0 + if c.image { 0.0 } else { 2.0 };
            score += 0.4 * c.queued as f64;
        } else {
            let room = if c.free.fits(&self.need) { 5.0 } else { 10.0 };
            score += room + c.wait_s + c.queued as f64;
        }
        OrderedFloat(score)
    }

    /// Whether there is room for one more once lower priorities make way.
    fn preemptible_by_priority(&self, core: &Controller, c: &Candidate) -> bool {
        let (Some(job), Some(m)) = (core.jobs.get(self.job), core.machines.get(c.ix)) else {
            return false;
        };
        let mut room = c.free;
        room.add(&self.need, -c.taken);
        room.add(&m.preemptible_for(job.force()), 1.0);
        room.fits(&self.need)
    }
}

impl Controller {
    /// Looks at all machines for a job's tasks.
    pub(crate) fn field(&mut self, ix: JobIndex) -> Candidates {
        let now = self.context.now.steady_ms;
        self.search_budget.spend(now, self.machines.len());
        let zones = self.context.config.platform.params.zones.len();
        let mut field = Candidates {
            job: ix,
            need: Resources::default(),
            spot: false,
            list: Vec::new(),
            heaps: vec![BinaryHeap::new(); zones + 1],
            zones: vec![ZoneRoom::default(); zones + 1],
        };
        let mut rng = self.context.rng.clone();
        let Some(job) = self.jobs.get(ix) else { return field };
        (field.need, field.spot) = (job.resources(), job.spec.spot);
        let kinds = self.kinds_for(&job.spec);
        let want = self.zone_wanted(&job.spec);
        let gpus_scarce = self.ratios.gpus_scarce() && job.spec.gpus <= 0.0;
        for (mix, m) in self.machines.iter().filter(|(_, m)| m.usable()) {
            let kind = kinds.iter().find(|k| k.name == m.kind);
            let allowed = (job.spec.spot || !m.spot) && want.is_none_or(|z| m.zone == z);
            let Some(kind) = kind.filter(|k| allowed && k.all.fits(&field.need)) else { continue };
            // What services hold for good leaves no room for it.
            if !kind.all.minus(&m.held_by_services(job.priority)).fits(&field.need) {
                continue;
            }
            let (free, spare) = self.spare_room(mix, m, &kind.all, &field.need, Some(job));
            let image = m.images.contains(&job.image);
            field.list.push(Candidate {
                ix: mix,
                late: !image && kind.late,
                zone: m.zone,
                free,
                spare,
                wait_s: m.wait_s,
                image,
                spot: m.spot,
                scarce: kind.all.gpus > 0.0 && gpus_scarce,
                used_share: m.used.cpus / kind.all.cpus.max(1e-9),
                queued: m.queue.len(),
                taken: 0.0,
                jitter: rng.random_range(0.0..0.01),
            });
        }
        let mut scored: Vec<Vec<Scored>> = vec![Vec::new(); zones + 1];
        for at in 0..field.list.len() {
            let c = &field.list[at];
            let z = c.zone.map_or(zones, usize::from);
            let room = &mut field.zones[z];
            let holds = c.spare.holds(&field.need);
            room.machines += 1;
            room.holds += holds;
            room.images += u32::from(c.image && holds > 0);
            scored[z].push(Reverse((field.score(self, at), at)));
        }
        field.heaps = scored.into_iter().map(BinaryHeap::from).collect();
        self.context.rng = rng;
        field
    }

    /// Room that a machine has now, and what of it its queue has not spoken for. What is
    /// full stays full, whatever its queue has spoken for.
    fn spare_room(
        &self,
        ix: MachineIndex,
        m: &Machine,
        all: &Resources,
        need: &Resources,
        job: Option<&Job>,
    ) -> (Resources, Resources) {
        if !m.takes_work(self.context.now.steady_ms) {
            return (Resources::default(), Resources::default());
        }
        let mut free = all.minus(&m.used);
        match (job, self.gang_holds.get(&ix)) {
            (Some(job), held) => free = self.without_gang_holds(free, held, job),
            (None, Some(held)) => free = free.minus(&held.room),
            (None, None) => {}
        }
        let mut spare = free;
        for key in &m.queue {
            if !spare.fits(need) {
                break;
            }
            let job = self.jobs.get(key.job).filter(|j| !j.failing_everywhere());
            let Some(j) = job else { continue };
            let probes = j.task(key.task).map_or(1, |t| t.probes.len()).max(1);
            spare.add(&j.resources(), -1.0 / probes as f64);
        }
        (free, spare)
    }

    /// The types of machines that a job allows.
    fn kinds_for<'a>(&'a self, spec: &JobSpec) -> Vec<Kind<'a>> {
        let within_s = self.may_wait_s(&spec.class);
        let named = |name: &String| spec.types.as_ref().is_none_or(|t| t.contains(name));
        let kinds = self.types.iter().filter(|t| named(&t.name));
        let kinds = kinds.map(|t| Kind {
            name: &t.name,
            all: Resources { cpus: t.cpus, gpus: t.gpus, memory_gb: t.memory_gb },
            late: within_s.is_some_and(|w| self.fetch_s(spec, &t.name) > w),
        });
        kinds.collect()
    }

    /// The only zone that a job allows: `None` for any, `Some(None)` for one that the
    /// settings don't know.
    fn zone_wanted(&self, spec: &JobSpec) -> Option<Option<u16>> {
        let zones = &self.context.config.platform.params.zones;
        let place = |want: &String| zones.iter().position(|z| z == want).map(|z| z as u16);
        spec.zone.as_ref().map(place)
    }

    /// Machines that have room now that nobody has spoken for, for a quick look at
    /// whether one could serve.
    pub(crate) fn roomy_machines(&mut self) -> FreeCapacity {
        let now = self.context.now.steady_ms;
        // Little is looked at of each.
        self.search_budget.spend(now, self.machines.len() / 4);
        let least = Resources { cpus: 1e-3, gpus: 0.0, memory_gb: 0.0 };
        let mut roomy = FreeCapacity::default();
        for (ix, m) in self.machines.iter().filter(|(_, m)| m.usable()) {
            let Some(all) = self.capacity_of(&m.kind) else { continue };
            let (_, spare) = self.spare_room(ix, m, &all, &least, None);
            if !spare.fits(&least) {
                continue;
            }
            let group = (m.kind.clone(), m.zone, m.spot);
            let (most, machines) = roomy.groups.entry(group).or_default();
            most.cpus = most.cpus.max(spare.cpus);
            most.gpus = most.gpus.max(spare.gpus);
            most.memory_gb = most.memory_gb.max(spare.memory_gb);
            let mut beside = spare;
            if spare.gpus > 0.0 {
                beside = spare.minus(&self.beside_gpus(&spare));
            }
            machines.push(SpareCapacity { ix, room: spare, beside });
        }
        roomy
    }

    /// The first so many machines with unspoken room that may serve a job.
    pub(crate) fn roomy_for(
        &mut self,
        roomy: &FreeCapacity,
        ix: JobIndex,
        count: usize,
    ) -> Vec<MachineIndex> {
        let Some(job) = self.jobs.get(ix) else { return Vec::new() };
        let (need, mut looked, mut out) = (job.resources(), roomy.groups.len(), Vec::new());
        // What scarce GPUs need beside them is not for what needs none.
        let plain = need.gpus <= 0.0 && job.priority < Priority::Production;
        for ((kind, zone, spot), (most, machines)) in &roomy.groups {
            if !most.fits(&need) || !self.allows(&job.spec, kind, *zone, *spot) {
                continue;
            }
            for spare in machines {
                looked += 1;
                let room = if plain { &spare.beside } else { &spare.room };
                if room.fits(&need) {
                    out.push(spare.ix);
                }
                if out.len() >= count {
                    break;
                }
            }
        }
        out.truncate(count);
        let now = self.context.now.steady_ms;
        self.search_budget.spend(now, looked / 8);
        out
    }
}

/// Machines with unspoken room by type, zone and kind, with the most that any of a group has.
#[derive(Default)]
pub(crate) struct FreeCapacity {
    groups: BTreeMap<Group, (Resources, Vec<SpareCapacity>)>,
}

/// Unspoken room of a machine.
struct SpareCapacity {
    ix: MachineIndex,
    room: Resources,
    /// What of it is left beside what scarce GPUs need.
    beside: Resources,
}

/// Type, zone and kind of a machine.
type Group = (String, Option<u16>, bool);
