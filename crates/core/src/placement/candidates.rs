//! Candidate selection: the machines on which tasks of one job may be placed, best first.
//!
//! Scanning all machines dominates the cost of placement, and this cost grows with the fleet. One
//! scan therefore serves many tasks of a job: the machines are kept in one heap per zone, ordered
//! by score, and a chosen machine is pushed back with its new score. The rate of machine scans is
//! bounded ([`super::search_budget`]), so that placement leaves processor time for heartbeats.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use ordered_float::OrderedFloat;
use quartzgate_wire::msg::{JobKind, JobSpec};
use rand::Rng;

use crate::controller::Controller;
use crate::fleet::machines::{Machine, Resources};
use crate::ids::{JobIndex, MachineIndex};
use crate::jobs::{Job, Task};

/// How long the free resources of a machine are left to a queued task that does not fit there.
const MAX_EARMARK_MS: u64 = 10_000;

/// A machine on which tasks of the job may be placed.
struct Candidate {
    index: MachineIndex,
    zone: Option<u16>,
    /// Resources that the job may use now.
    free: Resources,
    /// The part of `free` that the tasks in the machine's queue leave.
    spare: Resources,
    /// Expected wait in the machine's queue, in seconds.
    wait_s: f64,
    has_image: bool,
    /// Fetching the image would take longer than the wait objective of the job's class allows.
    slow_fetch: bool,
    spot: bool,
    /// The machine has GPUs, GPUs are scarce, and the job needs none.
    wastes_gpus: bool,
    /// Fraction of the machine's CPUs that is in use.
    used_fraction: f64,
    /// Number of tasks in the machine's queue.
    queued: usize,
    /// Tasks of the job for which this machine was chosen since the scan, each weighted by how
    /// likely it is to run here.
    expected_tasks: f64,
    /// Small random number that breaks ties between equal scores.
    jitter: f64,
}

/// Score (lower is better) and position in the candidate list, reversed so that a max-heap yields
/// the lowest score first.
type Scored = Reverse<(OrderedFloat<f64>, usize)>;

/// Capacity of one zone for the job.
#[derive(Clone, Debug, Default)]
struct ZoneCapacity {
    machines: u32,
    /// Number of tasks that fit the spare resources of the zone's machines.
    fitting_tasks: u32,
    /// Machines that have the image and spare resources for at least one task.
    with_image: u32,
}

/// The candidates for the tasks of one job.
pub(crate) struct Candidates {
    job: JobIndex,
    need: Resources,
    allows_spot: bool,
    list: Vec<Candidate>,
    /// One heap of positions in `list` per zone; the last heap is for machines of unknown zone.
    heaps: Vec<BinaryHeap<Scored>>,
    zones: Vec<ZoneCapacity>,
}

impl Candidates {
    /// Returns whether no machine may take a task of the job.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns whether one more task fits the spare resources of a machine in this zone, or in any
    /// zone if `zone` is `None`.
    pub fn has_spare(&self, zone: Option<u16>) -> bool {
        match zone {
            Some(zone) => self.zones[zone as usize].fitting_tasks > 0,
            None => self.zones.iter().any(|zone| zone.fitting_tasks > 0),
        }
    }

    /// Returns whether there is a candidate in this zone, or in any zone if `zone` is `None`.
    pub fn any_in(&self, zone: Option<u16>) -> bool {
        zone.map_or(!self.list.is_empty(), |zone| self.zones[zone as usize].machines > 0)
    }

    /// Returns the zone with candidates whose spare resources fit the most tasks.
    pub fn zone_with_most_spare(&self) -> Option<u16> {
        let known = self.zones.len() as u16 - 1;
        let with_machines = (0..known).filter(|zone| self.zones[*zone as usize].machines > 0);
        with_machines.max_by_key(|zone| self.zones[*zone as usize].fitting_tasks)
    }

    /// Returns the zone for one more task of a job that is spread over zones. Only zones with
    /// candidates and with fewer than `max_per_zone` of the job's tasks qualify. Among these,
    /// prefers a zone with spare resources, then the fewest of the job's tasks, then a machine that
    /// has the image, then the most spare resources.
    pub fn spread_zone(&self, counts: &[u32], max_per_zone: u32) -> Option<u16> {
        let is_open = |zone: &usize| counts[*zone] < max_per_zone && self.zones[*zone].machines > 0;
        let best = (0..counts.len()).filter(is_open).max_by_key(|zone| {
            let capacity = &self.zones[*zone];
            let fitting = capacity.fitting_tasks;
            (fitting > 0, Reverse(counts[*zone]), capacity.with_image > 0, fitting)
        });
        best.map(|zone| zone as u16)
    }

    /// Chooses the best machines for one more task, at most `count` and none from `avoid`. The task
    /// will most likely run on the first of them.
    pub fn choose(
        &mut self,
        controller: &Controller,
        zone: Option<u16>,
        count: usize,
        avoid: &[MachineIndex],
    ) -> Vec<MachineIndex> {
        let chosen = self.pop_best(zone, count, avoid);
        let weight_of_others = 0.5 / chosen.len().max(1) as f64;
        for (rank, &(heap, position)) in chosen.iter().enumerate() {
            let weight = if rank == 0 { 1.0 } else { weight_of_others };
            self.add_expected_task(heap, position, weight);
            let score = self.score(controller, position);
            self.heaps[heap].push(Reverse((score, position)));
        }
        chosen.into_iter().map(|(_, position)| self.list[position].index).collect()
    }

    /// Pops the best candidates from the heaps. Returns the heap and the list position of each.
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

    /// Charges one more expected task to a candidate, weighted by how likely it is to run there.
    fn add_expected_task(&mut self, zone: usize, position: usize, weight: f64) {
        let (candidate, capacity) = (&mut self.list[position], &mut self.zones[zone]);
        let fitting_before = candidate.spare.max_tasks(&self.need);
        candidate.spare.add(&self.need, -weight);
        candidate.expected_tasks += weight;
        candidate.queued += 1;
        let fitting = candidate.spare.max_tasks(&self.need);
        capacity.fitting_tasks -= fitting_before - fitting;
        if candidate.has_image && fitting_before > 0 && fitting == 0 {
            capacity.with_image -= 1;
        }
    }

    /// Rates a machine for one more task of the job; lower is better.
    fn score(&self, controller: &Controller, position: usize) -> OrderedFloat<f64> {
        let candidate = &self.list[position];
        let mut score = candidate.jitter;
        if candidate.spare.can_fit(&self.need) {
            // The task fits now: prefer machines that have the image, then cheap ones, then full
            // ones (bin packing).
            score += match (candidate.has_image, candidate.slow_fetch) {
                (true, _) => 0.0,
                (_, false) => 1.0,
                (_, true) => 4.0,
            };
            // On-demand machines are expensive: for a job that may run on spot machines, a spot
            // machine that has to fetch the image scores better than an on-demand machine that has
            // it, unless the fetch is slow.
            score += if self.allows_spot && !candidate.spot { 2.0 } else { 0.0 };
            score += if candidate.wastes_gpus { 2.5 } else { 0.0 };
            score += 0.4 * (1.0 - candidate.used_fraction);
        } else if self.fits_after_preemption(controller, candidate) {
            score += 3.0 + if candidate.has_image { 0.0 } else { 2.0 };
            score += 0.4 * candidate.queued as f64;
        } else {
            let base = if candidate.free.can_fit(&self.need) { 5.0 } else { 10.0 };
            score += base + candidate.wait_s + candidate.queued as f64;
        }
        OrderedFloat(score)
    }

    /// Returns whether one more task fits after preemption of tasks of lower priority.
    fn fits_after_preemption(&self, controller: &Controller, candidate: &Candidate) -> bool {
        let (Some(job), Some(machine)) =
            (controller.jobs.get(self.job), controller.machines.get(candidate.index))
        else {
            return false;
        };
        let mut attainable = candidate.free;
        attainable.add(&self.need, -candidate.expected_tasks);
        attainable.add(&machine.preemptible_for(job.preemption_priority()), 1.0);
        attainable.can_fit(&self.need)
    }

    /// Scores all candidates, and computes the capacity of each zone.
    fn build_heaps(&mut self, controller: &Controller) {
        let unknown_zone = self.zones.len() - 1;
        let mut scored: Vec<Vec<Scored>> = vec![Vec::new(); self.zones.len()];
        for position in 0..self.list.len() {
            let candidate = &self.list[position];
            let zone = candidate.zone.map_or(unknown_zone, usize::from);
            let capacity = &mut self.zones[zone];
            let fitting = candidate.spare.max_tasks(&self.need);
            capacity.machines += 1;
            capacity.fitting_tasks += fitting;
            capacity.with_image += u32::from(candidate.has_image && fitting > 0);
            scored[zone].push(Reverse((self.score(controller, position), position)));
        }
        self.heaps = scored.into_iter().map(BinaryHeap::from).collect();
    }
}

/// A machine type that a job allows.
struct AllowedType<'a> {
    name: &'a str,
    capacity: Resources,
    /// Fetching the image would take longer than the wait objective of the job's class allows.
    slow_fetch: bool,
}

impl Controller {
    /// Scans all machines and returns those that may take tasks of a job.
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
            let fits = |t: &&AllowedType| is_allowed && t.capacity.can_fit(&candidates.need);
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

    /// Builds the candidate for a machine and a job, with `jitter` 0.
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
        let should_avoid_gpus = self.ratios.are_gpus_scarce() && job.spec.gpus <= 0.0;
        Candidate {
            index,
            zone: machine.zone,
            free,
            spare,
            wait_s: machine.wait_s,
            has_image,
            slow_fetch: !has_image && allowed_type.slow_fetch,
            spot: machine.spot,
            wastes_gpus: capacity.gpus > 0.0 && should_avoid_gpus,
            used_fraction: machine.used.cpus / capacity.cpus.max(1e-9),
            queued: machine.probe_queue.len(),
            expected_tasks: 0.0,
            jitter: 0.0,
        }
    }

    /// Returns the resources that are free on a machine now, without those that `job` may not use,
    /// and the part of them that the tasks in its queue leave, apart from those that can't use it ([`Controller::leaves_capacity`]). The
    /// queue is read only as far as `need` still fits: once it does not fit, the remaining queued
    /// tasks can't change that.
    pub(super) fn free_and_spare(
        &self,
        index: MachineIndex,
        machine: &Machine,
        capacity: &Resources,
        need: &Resources,
        job: Option<&Job>,
    ) -> (Resources, Resources) {
        if !machine.accepts_starts(self.context.now.steady_ms) {
            return (Resources::default(), Resources::default());
        }
        let mut free = capacity.minus(&machine.used);
        if let Some(job) = job {
            let held = self.gang_holds.get(&index);
            free = self.without_gang_holds(machine, free, held, job);
        }
        let mut spare = free;
        for key in &machine.probe_queue {
            if !spare.can_fit(need) {
                break;
            }
            // What gangs may start on is held for them.
            let takes_part =
                |job: &&Job| !job.failing_everywhere() && job.spec.kind != JobKind::Gang;
            let Some(queued) = self.jobs.get(key.job).filter(takes_part) else { continue };
            let Some(task) = queued.task(key.task) else { continue };
            if self.leaves_capacity(key.job, queued, task, index, machine) {
                continue;
            }
            spare.add(&queued.resources(), -1.0 / task.probes.len().max(1) as f64);
        }
        (free, spare)
    }

    /// Returns whether a queued task leaves a machine's free resources to others, because it has
    /// waited for long and still can't use them.
    fn leaves_capacity(
        &self,
        job_index: JobIndex,
        job: &Job,
        task: &Task,
        machine_index: MachineIndex,
        machine: &Machine,
    ) -> bool {
        let waited_ms = self.context.now.steady_ms.saturating_sub(task.since_ms);
        let need = job.resources();
        let fits = || self.resources_for(machine_index, machine, job).can_fit(&need);
        waited_ms >= MAX_EARMARK_MS
            && !(fits() && self.may_start_within_quota(job_index, job, &need))
    }

    /// Returns the machine types that a job allows.
    fn allowed_types<'a>(&'a self, spec: &JobSpec) -> Vec<AllowedType<'a>> {
        let max_wait_s = self.wait_objective_s(&spec.class);
        let is_allowed = |name: &String| spec.types.as_ref().is_none_or(|t| t.contains(name));
        let types = self.machine_types.iter().filter(|t| is_allowed(&t.name));
        let allowed = types.map(|t| AllowedType {
            name: &t.name,
            capacity: Resources { cpus: t.cpus, gpus: t.gpus, memory_gb: t.memory_gb },
            slow_fetch: max_wait_s.is_some_and(|max_s| self.fetch_s(spec, &t.name) > max_s),
        });
        allowed.collect()
    }

    /// Returns the only zone that a job allows: `None` if the job allows any zone, `Some(None)` if
    /// the settings don't name the job's zone.
    fn wanted_zone(&self, spec: &JobSpec) -> Option<Option<u16>> {
        let zones = &self.context.config.platform.params.zones;
        let position = |wanted: &String| zones.iter().position(|zone| zone == wanted);
        spec.zone.as_ref().map(|wanted| position(wanted).map(|zone| zone as u16))
    }
}

/// Returns whether a task of the job fits beside the machine's services, which never end.
fn fits_beside_services(machine: &Machine, capacity: &Resources, job: &Job) -> bool {
    capacity.minus(&machine.used_by_services(job.priority)).can_fit(&job.resources())
}
