//! Candidate selection: the machines on which tasks of one job may be placed, best first.
//!
//! Looking at all machines is what placement costs, and the cost grows with the fleet. So it is done
//! once for many tasks of a job: the machines are kept in one heap a zone, ordered by a score, and
//! those that were chosen return to it with their new scores. How many machines may be looked at in
//! a time is bounded ([`super::search_budget`]), so that placement never takes the processor time that
//! running work needs.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use ordered_float::OrderedFloat;
use quartzgate_wire::msg::JobSpec;
use rand::Rng;

use crate::controller::Controller;
use crate::fleet::machines::{Machine, Resources};
use crate::ids::{JobIndex, MachineIndex};
use crate::jobs::Job;

/// A machine on which tasks of the job may be placed.
struct Candidate {
    index: MachineIndex,
    zone: Option<u16>,
    /// Resources that the job may use now.
    free: Resources,
    /// What of them is left beside the tasks in the machine's queue.
    spare: Resources,
    /// Expected wait in its queue.
    wait_s: f64,
    has_image: bool,
    /// Fetching the image would take longer than tasks of the job's class should wait.
    slow_fetch: bool,
    spot: bool,
    /// It has GPUs, which are scarce, and the job needs none.
    scarce: bool,
    /// Used part of its CPUs.
    used_fraction: f64,
    /// Tasks in its queue.
    queued: usize,
    /// Tasks of the job for which it was chosen since, weighted by how likely they run here.
    chosen: f64,
    /// Small random number that spreads the choice among equals.
    jitter: f64,
}

/// Score (the lower the better) and position in the list, in the order of a max-heap.
type Scored = Reverse<(OrderedFloat<f64>, usize)>;

/// What one zone offers the job.
#[derive(Clone, Debug, Default)]
struct ZoneCapacity {
    machines: u32,
    /// Tasks that fit the spare resources of its machines.
    fitting_tasks: u32,
    /// Machines among those that have the image.
    with_image: u32,
}

/// The candidates for the tasks of one job.
pub(crate) struct Candidates {
    job: JobIndex,
    need: Resources,
    allows_spot: bool,
    list: Vec<Candidate>,
    /// Positions in `list` by zone, those of unknown zone last.
    heaps: Vec<BinaryHeap<Scored>>,
    zones: Vec<ZoneCapacity>,
}

impl Candidates {
    /// Whether there is no candidate at all.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Whether one more task fits the spare resources of a machine in this zone, or in any.
    pub fn has_spare(&self, zone: Option<u16>) -> bool {
        match zone {
            Some(zone) => self.zones[zone as usize].fitting_tasks > 0,
            None => self.zones.iter().any(|zone| zone.fitting_tasks > 0),
        }
    }

    /// Whether there is a candidate in this zone, or in any.
    pub fn any_in(&self, zone: Option<u16>) -> bool {
        zone.map_or(!self.list.is_empty(), |zone| self.zones[zone as usize].machines > 0)
    }

    /// The zone whose spare resources hold most tasks.
    pub fn zone_with_most_spare(&self) -> Option<u16> {
        let known = self.zones.len() as u16 - 1;
        let with_machines = (0..known).filter(|zone| self.zones[*zone as usize].machines > 0);
        with_machines.max_by_key(|zone| self.zones[*zone as usize].fitting_tasks)
    }

    /// The zone for one more task of a job that is spread: the one with the fewest of its tasks
    /// that has spare resources and may take one more, preferably where the image is.
    pub fn spread_zone(&self, counts: &[u32], max_per_zone: u32) -> Option<u16> {
        let is_open = |zone: &usize| counts[*zone] < max_per_zone && self.zones[*zone].machines > 0;
        let best = (0..counts.len()).filter(is_open).max_by_key(|zone| {
            let capacity = &self.zones[*zone];
            let fitting = capacity.fitting_tasks;
            (fitting > 0, Reverse(counts[*zone]), capacity.with_image > 0, fitting)
        });
        best.map(|zone| zone as u16)
    }

    /// The best machines for one more task, at most `count` of them, the first being the one where
    /// it will most likely run.
    pub fn choose(
        &mut self,
        core: &Controller,
        zone: Option<u16>,
        count: usize,
        avoid: &[MachineIndex],
    ) -> Vec<MachineIndex> {
        let chosen = self.pop_best(zone, count, avoid);
        let weight_of_others = 0.5 / chosen.len().max(1) as f64;
        for (rank, &(heap, position)) in chosen.iter().enumerate() {
            let weight = if rank == 0 { 1.0 } else { weight_of_others };
            self.take(heap, position, weight);
            let score = self.score(core, position);
            self.heaps[heap].push(Reverse((score, position)));
        }
        chosen.into_iter().map(|(_, position)| self.list[position].index).collect()
    }

    /// Takes the best candidates out of the heaps; returns the heap and the position of each.
    fn pop_best(
        &mut self,
        zone: Option<u16>,
        count: usize,
        avoid: &[MachineIndex],
    ) -> Vec<(usize, usize)> {
        let heaps: Vec<usize> = match zone {
            Some(zone) => vec![zone as usize],
            None => (0..self.heaps.len()).collect(),
        };
        let (mut chosen, mut avoided) = (Vec::with_capacity(count), Vec::new());
        while chosen.len() < count {
            let tops = heaps.iter().filter_map(|h| self.heaps[*h].peek().map(|top| (top, *h)));
            let best = tops.max_by_key(|(top, _)| **top);
            let Some(heap) = best.map(|(_, heap)| heap) else { break };
            let Some(top) = self.heaps[heap].pop() else { break };
            let Reverse((_, position)) = top;
            match avoid.contains(&self.list[position].index) {
                true => avoided.push((heap, top)),
                false => chosen.push((heap, position)),
            }
        }
        avoided.into_iter().for_each(|(heap, top)| self.heaps[heap].push(top));
        chosen
    }

    /// Counts one more task for a candidate, by its weight.
    fn take(&mut self, zone: usize, position: usize, weight: f64) {
        let (candidate, capacity) = (&mut self.list[position], &mut self.zones[zone]);
        let fitting_before = candidate.spare.holds(&self.need);
        candidate.spare.add(&self.need, -weight);
        candidate.chosen += weight;
        candidate.queued += 1;
        let fitting = candidate.spare.holds(&self.need);
        capacity.fitting_tasks -= fitting_before - fitting;
        if candidate.has_image && fitting_before > 0 && fitting == 0 {
            capacity.with_image -= 1;
        }
    }

    /// How well a machine would serve one more task: the lower the better.
    fn score(&self, core: &Controller, position: usize) -> OrderedFloat<f64> {
        let candidate = &self.list[position];
        let mut score = candidate.jitter;
        if candidate.spare.fits(&self.need) {
            // Spare now: first where the image is, then the cheap ones, then bin packing.
            score += match (candidate.has_image, candidate.slow_fetch) {
                (true, _) => 0.0,
                (_, false) => 1.0,
                (_, true) => 4.0,
            };
            // On-demand machines are expensive: work that may run on spot rather fetches the image.
            score += if self.allows_spot && !candidate.spot { 2.0 } else { 0.0 };
            score += if candidate.scarce { 2.5 } else { 0.0 };
            score += 0.4 * (1.0 - candidate.used_fraction);
        } else if self.fits_after_preemption(core, candidate) {
            score += 3.0 + if candidate.has_image { 0.0 } else { 2.0 };
            score += 0.4 * candidate.queued as f64;
        } else {
            let base = if candidate.free.fits(&self.need) { 5.0 } else { 10.0 };
            score += base + candidate.wait_s + candidate.queued as f64;
        }
        OrderedFloat(score)
    }

    /// Whether one more task fits once lower priorities are preempted.
    fn fits_after_preemption(&self, core: &Controller, candidate: &Candidate) -> bool {
        let (Some(job), Some(machine)) =
            (core.jobs.get(self.job), core.machines.get(candidate.index))
        else {
            return false;
        };
        let mut attainable = candidate.free;
        attainable.add(&self.need, -candidate.chosen);
        attainable.add(&machine.preemptible_for(job.preemption_priority()), 1.0);
        attainable.fits(&self.need)
    }

    /// Scores all candidates, and counts what each zone offers.
    fn build_heaps(&mut self, core: &Controller) {
        let unknown_zone = self.zones.len() - 1;
        let mut scored: Vec<Vec<Scored>> = vec![Vec::new(); self.zones.len()];
        for position in 0..self.list.len() {
            let candidate = &self.list[position];
            let zone = candidate.zone.map_or(unknown_zone, usize::from);
            let capacity = &mut self.zones[zone];
            let fitting = candidate.spare.holds(&self.need);
            capacity.machines += 1;
            capacity.fitting_tasks += fitting;
            capacity.with_image += u32::from(candidate.has_image && fitting > 0);
            scored[zone].push(Reverse((self.score(core, position), position)));
        }
        self.heaps = scored.into_iter().map(BinaryHeap::from).collect();
    }
}

/// A machine type that a job allows.
struct AllowedType<'a> {
    name: &'a str,
    capacity: Resources,
    /// Fetching the image would take longer than tasks of the job's class should wait.
    slow_fetch: bool,
}

impl Controller {
    /// Looks at all machines for a job's tasks.
    pub(crate) fn candidates_for(&mut self, job_index: JobIndex) -> Candidates {
        let now_ms = self.context.now.steady_ms;
        self.search_budget.spend(now_ms, self.machines.len());
        let zones = self.context.config.platform.params.zones.len();
        let mut candidates = Candidates {
            job: job_index,
            need: Resources::default(),
            allows_spot: false,
            list: Vec::new(),
            heaps: vec![BinaryHeap::new(); zones + 1],
            zones: vec![ZoneCapacity::default(); zones + 1],
        };
        let mut rng = self.context.rng.clone();
        let Some(job) = self.jobs.get(job_index) else { return candidates };
        candidates.need = job.resources();
        candidates.allows_spot = job.spec.spot;
        let allowed_types = self.allowed_types(&job.spec);
        let wanted_zone = self.wanted_zone(&job.spec);
        for (machine_index, machine) in self.machines.iter().filter(|(_, m)| m.usable()) {
            let is_allowed = (job.spec.spot || !machine.spot)
                && wanted_zone.is_none_or(|zone| machine.zone == zone);
            let allowed_type = allowed_types.iter().find(|t| t.name == machine.kind);
            let fits = |t: &&AllowedType| is_allowed && t.capacity.fits(&candidates.need);
            let Some(allowed_type) = allowed_type.filter(fits) else { continue };
            if !fits_beside_services(machine, &allowed_type.capacity, job) {
                continue;
            }
            let mut candidate = self.candidate(machine_index, machine, allowed_type, job);
            candidate.jitter = rng.random_range(0.0..0.01);
            candidates.list.push(candidate);
        }
        candidates.build_heaps(self);
        self.context.rng = rng;
        candidates
    }

    /// A machine as a candidate for a job, without jitter.
    fn candidate(
        &self,
        index: MachineIndex,
        machine: &Machine,
        allowed_type: &AllowedType,
        job: &Job,
    ) -> Candidate {
        let capacity = &allowed_type.capacity;
        let (free, spare) =
            self.free_and_spare(index, machine, capacity, &job.resources(), Some(job));
        let has_image = machine.images.contains(&job.image);
        let gpus_scarce = self.ratios.gpus_scarce() && job.spec.gpus <= 0.0;
        Candidate {
            index,
            zone: machine.zone,
            free,
            spare,
            wait_s: machine.wait_s,
            has_image,
            slow_fetch: !has_image && allowed_type.slow_fetch,
            spot: machine.spot,
            scarce: capacity.gpus > 0.0 && gpus_scarce,
            used_fraction: machine.used.cpus / capacity.cpus.max(1e-9),
            queued: machine.queue.len(),
            chosen: 0.0,
            jitter: 0.0,
        }
    }

    /// Resources that are free on a machine now, and what of them is left beside the tasks in its
    /// queue. What does not fit any more stays so, whatever the rest of the queue asks for.
    pub(super) fn free_and_spare(
        &self,
        index: MachineIndex,
        machine: &Machine,
        capacity: &Resources,
        need: &Resources,
        job: Option<&Job>,
    ) -> (Resources, Resources) {
        if !machine.takes_work(self.context.now.steady_ms) {
            return (Resources::default(), Resources::default());
        }
        let mut free = capacity.minus(&machine.used);
        match (job, self.gang_holds.get(&index)) {
            (Some(job), held) => free = self.without_gang_holds(free, held, job),
            (None, Some(held)) => free = free.minus(&held.resources),
            (None, None) => {}
        }
        let mut spare = free;
        for key in &machine.queue {
            if !spare.fits(need) {
                break;
            }
            let queued = self.jobs.get(key.job).filter(|job| !job.failing_everywhere());
            let Some(queued) = queued else { continue };
            let probes = queued.task(key.task).map_or(1, |task| task.probes.len()).max(1);
            spare.add(&queued.resources(), -1.0 / probes as f64);
        }
        (free, spare)
    }

    /// The machine types that a job allows.
    fn allowed_types<'a>(&'a self, spec: &JobSpec) -> Vec<AllowedType<'a>> {
        let max_wait_s = self.may_wait_s(&spec.class);
        let is_allowed = |name: &String| spec.types.as_ref().is_none_or(|t| t.contains(name));
        let types = self.machine_types.iter().filter(|t| is_allowed(&t.name));
        let allowed = types.map(|t| AllowedType {
            name: &t.name,
            capacity: Resources { cpus: t.cpus, gpus: t.gpus, memory_gb: t.memory_gb },
            slow_fetch: max_wait_s.is_some_and(|max_s| self.fetch_s(spec, &t.name) > max_s),
        });
        allowed.collect()
    }

    /// The only zone that a job allows: `None` for any, `Some(None)` for one that the settings
    /// don't name.
    fn wanted_zone(&self, spec: &JobSpec) -> Option<Option<u16>> {
        let zones = &self.context.config.platform.params.zones;
        let position = |wanted: &String| zones.iter().position(|zone| zone == wanted);
        spec.zone.as_ref().map(|wanted| position(wanted).map(|zone| zone as u16))
    }
}

/// Whether a task of the job fits a machine beside its services, which never end.
fn fits_beside_services(machine: &Machine, capacity: &Resources, job: &Job) -> bool {
    capacity.minus(&machine.used_by_services(job.priority)).fits(&job.resources())
}
