//! Unmet demand: waiting tasks that fit on no machine, neither on a usable nor on an expected one.

use std::cmp::Reverse;

use quartzgate_wire::msg::{JobKind, JobSpec, Priority};

use super::capacity_pool::{CapacityPool, MachineGroup};
use crate::controller::Controller;
use crate::fleet::resources::Resources;
use crate::jobs::{Job, JobState, TaskState};

/// Lower bound of a task's CPU need when the remainder of its team's limit is divided by it.
const MIN_TASK_CPUS: f64 = 1e-9;

/// Tasks of one job for which no machine has capacity.
pub(super) struct UnmetDemand {
    /// The job's specification, restricted to the zone in which the tasks should run, if any.
    pub spec: JobSpec,
    /// Number of the job's tasks without capacity.
    pub tasks: u32,
}

/// Capacity that should stay free for production tasks.
pub(super) struct WarmCapacity {
    /// Resources that the largest production task needs.
    pub need: Resources,
    /// Number of such tasks for which capacity should stay free.
    pub tasks: u32,
}

/// The zone in which all tasks of a gang run; `None` if each task may run in any zone.
type ZoneChoice = Option<u16>;

impl Controller {
    /// Returns the demand that exceeds the free and the expected capacity, jobs of the highest
    /// priority first.
    pub(super) fn unmet_demand(&self) -> Vec<UnmetDemand> {
        let mut pool = self.capacity_pool();
        let mut unmet = Vec::new();
        let mut claimed_cpus: Vec<f64> = vec![0.0; self.teams.len()];
        for job in self.live_jobs_by_priority() {
            if job.spec.kind == JobKind::Gang {
                if !job.failing_everywhere() {
                    unmet.extend(self.unmet_gang(job, &mut pool));
                }
                continue;
            }
            let wanted = self.wanted_tasks(job, &pool, &mut claimed_cpus[job.team]);
            if job.spec.together {
                unmet.extend(self.unmet_in_one_zone(job, wanted, &mut pool));
                continue;
            }
            if job.spec.spread {
                let bound = bound_tasks_by_zone(job, self.zone_count());
                unmet.extend(self.unmet_spread(job, wanted, bound, &mut pool));
                continue;
            }
            let eligible = |group: &MachineGroup| self.is_eligible(&job.spec, group);
            let tasks = pool.place(&job.resources(), wanted, eligible);
            if tasks > 0 {
                unmet.push(UnmetDemand { spec: job.spec.clone(), tasks });
            }
        }
        unmet.extend(self.unmet_warm_capacity(&pool));
        unmet
    }

    fn live_jobs_by_priority(&self) -> impl Iterator<Item = &Job> {
        let mut jobs: Vec<_> =
            self.jobs.iter().filter(|(_, job)| job.state == JobState::Live).collect();
        jobs.sort_by_key(|(index, job)| (Reverse(job.priority), *index));
        jobs.into_iter().map(|(_, job)| job)
    }

    /// Returns the free capacity of usable, expected and requested machines.
    fn capacity_pool(&self) -> CapacityPool {
        let mut pool = CapacityPool::default();
        for (_, machine) in self.machines.iter().filter(|(_, machine)| machine.usable()) {
            // Resources used by the lowest priority count as free, because every other priority may
            // preempt it.
            let mut free = self.free_resources(machine);
            free.add(&machine.low_priority_usage(), 1.0);
            pool.add(MachineGroup::new(&machine.kind, machine.zone, machine.spot, &free), 1);
        }
        let mut add_empty = |kind: &str, zone, spot, machines| {
            if let Some(capacity) = self.capacity_of(kind) {
                pool.add(MachineGroup::new(kind, zone, spot, &capacity), machines);
            }
        };
        for expected in self.provisioner.expected.values() {
            add_empty(&expected.kind, expected.zone, expected.spot, 1);
        }
        for (offer, machines) in &self.provisioner.requested {
            add_empty(&offer.kind, Some(offer.zone), offer.spot, *machines);
        }
        pool
    }

    /// Returns whether tasks of a job may run on machines of a group.
    fn is_eligible(&self, spec: &JobSpec, group: &MachineGroup) -> bool {
        let capacity = self.capacity_of(&group.kind);
        !capacity.is_some_and(|capacity| self.wastes_scarce_gpus(spec, &capacity))
            && self.allows(spec, &group.kind, group.zone, group.spot)
    }

    /// Returns whether a job would occupy scarce GPUs that it doesn't need. While GPUs are scarce,
    /// machines with GPUs are neither provisioned nor counted as capacity for such a job.
    pub(super) fn wastes_scarce_gpus(&self, spec: &JobSpec, capacity: &Resources) -> bool {
        capacity.gpus > 0.0 && spec.gpus <= 0.0 && self.ratios.are_gpus_scarce()
    }

    /// Returns for how many tasks of a job capacity is wanted, within what its team's limit leaves
    /// beside the tasks that may be on machines. The CPUs of these tasks are added to
    /// `claimed_cpus`, the claims of the team's jobs, unless they can't be obtained now.
    fn wanted_tasks(&self, job: &Job, pool: &CapacityPool, claimed_cpus: &mut f64) -> u32 {
        let waiting =
            job.tasks().filter(|(_, task)| task.state == TaskState::Waiting).count() as u32;
        let open = waiting + unplaced_tasks(job);
        let within_limit = open.min(self.tasks_within_limit(job, *claimed_cpus));
        if self.is_obtainable(job, pool) {
            *claimed_cpus += f64::from(within_limit) * job.spec.cpus;
        }
        let wanted = job.demanded_tasks(within_limit);
        // Best-effort jobs use spare capacity: capacity is wanted for at most one task of such a
        // job, and only while none of its tasks is bound to a machine.
        match self.is_best_effort(job) {
            true => wanted.min(u32::from(job.bound_tasks == 0)),
            false => wanted,
        }
    }

    /// Returns how many more tasks of a job its team's CPU limit allows.
    fn tasks_within_limit(&self, job: &Job, claimed_cpus: f64) -> u32 {
        let max_cpus = self.context.config.platform.params.teams[job.team].cpus_max;
        if max_cpus <= 0.0 {
            return u32::MAX;
        }
        let used_cpus = self.teams[job.team].possibly_running().cpus;
        let cpus_left = max_cpus - used_cpus - claimed_cpus;
        (cpus_left / job.spec.cpus.max(MIN_TASK_CPUS)).max(0.0) as u32
    }

    /// Returns whether a task of a job can get capacity now: a machine has some, or the last request
    /// of an offer that may run it was not refused.
    fn is_obtainable(&self, job: &Job, pool: &CapacityPool) -> bool {
        let eligible = |group: &MachineGroup| self.is_eligible(&job.spec, group);
        self.has_available_offer(&job.spec) || pool.count_fitting(&job.resources(), eligible) > 0
    }

    fn zone_count(&self) -> usize {
        self.context.config.platform.params.zones.len()
    }

    /// Returns the unmet demand of a job whose tasks all have to run in the same zone: the one that
    /// its tasks fix, else its present one if that has capacity, else the one with the most. If no
    /// zone has any, machines of any one zone will do.
    fn unmet_in_one_zone(
        &self,
        job: &Job,
        wanted: u32,
        pool: &mut CapacityPool,
    ) -> Option<UnmetDemand> {
        let need = job.resources();
        let wanted = match job.spec.spread {
            true => wanted.min(job.spec.tasks.div_ceil(2).saturating_sub(job.bound_tasks)),
            false => wanted,
        };
        let fixed = self.fixed_zone(job);
        let choice = fixed.or_else(|| {
            let allowed = self.allowed_zones(&job.spec);
            let fitting = |zone: &u16| {
                pool.count_fitting(&need, |group| self.is_eligible_in(&job.spec, group, *zone))
            };
            let best = allowed.into_iter().max_by_key(fitting).filter(|zone| fitting(zone) > 0);
            job.zone.filter(|zone| fitting(zone) > 0).or(best)
        });
        let Some(zone) = choice else {
            return (wanted > 0).then(|| UnmetDemand { spec: job.spec.clone(), tasks: wanted });
        };
        let tasks = pool.place(&need, wanted, |group| self.is_eligible_in(&job.spec, group, zone));
        let name = &self.context.config.platform.params.zones[zone as usize];
        (tasks > 0).then(|| UnmetDemand { spec: in_zone(&job.spec, name), tasks })
    }

    /// Returns the zones in which a job may run.
    fn allowed_zones(&self, spec: &JobSpec) -> Vec<u16> {
        let zones = self.context.config.platform.params.zones.iter().enumerate();
        zones.filter(|(_, name)| allows_zone(spec, name)).map(|(zone, _)| zone as u16).collect()
    }

    fn is_eligible_in(&self, spec: &JobSpec, group: &MachineGroup, zone: u16) -> bool {
        group.zone == Some(zone) && self.is_eligible(spec, group)
    }

    /// Returns the unmet demand of a job that is spread over zones, given the number of its tasks
    /// that are in each zone already. No zone gets more than half of the job's tasks, rounded up.
    fn unmet_spread(
        &self,
        job: &Job,
        wanted: u32,
        mut tasks_in_zone: Vec<u32>,
        pool: &mut CapacityPool,
    ) -> Vec<UnmetDemand> {
        let zones = &self.context.config.platform.params.zones;
        let need = job.resources();
        let max_per_zone = job.spec.tasks.div_ceil(2);
        let mut unmet_in_zone = vec![0u32; zones.len()];
        for _ in 0..wanted {
            if let Some(group) = self.least_used_zone_group(job, &tasks_in_zone, pool) {
                pool.occupy(&group, 1, &need, 1);
                tasks_in_zone[group.zone.unwrap_or(0) as usize] += 1;
                continue;
            }
            let open_zones = (0..zones.len()).filter(|zone| {
                tasks_in_zone[*zone] < max_per_zone && allows_zone(&job.spec, &zones[*zone])
            });
            if let Some(zone) = open_zones.min_by_key(|zone| tasks_in_zone[*zone]) {
                tasks_in_zone[zone] += 1;
                unmet_in_zone[zone] += 1;
            }
        }
        let unmet = unmet_in_zone.into_iter().enumerate().filter(|(_, tasks)| *tasks > 0);
        unmet
            .map(|(zone, tasks)| UnmetDemand { spec: in_zone(&job.spec, &zones[zone]), tasks })
            .collect()
    }

    /// Returns a group with capacity for a task of a spread job, in the zone with the fewest tasks
    /// of that job.
    fn least_used_zone_group(
        &self,
        job: &Job,
        tasks_in_zone: &[u32],
        pool: &CapacityPool,
    ) -> Option<MachineGroup> {
        let need = job.resources();
        let max_per_zone = job.spec.tasks.div_ceil(2);
        let has_capacity = |group: &&MachineGroup| {
            group.zone.is_some_and(|zone| tasks_in_zone[zone as usize] < max_per_zone)
                && self.is_eligible(&job.spec, group)
                && group.free().can_fit(&need)
        };
        let tasks_in_zone_of =
            |group: &&MachineGroup| group.zone.map_or(0, |zone| tasks_in_zone[zone as usize]);
        pool.groups().filter(has_capacity).min_by_key(tasks_in_zone_of).cloned()
    }

    /// Returns the unmet demand of a gang: the tasks without capacity if all tasks start together, in
    /// a single zone or spread over the zones if the job requires that. A gang with a bound task has
    /// no demand.
    fn unmet_gang(&self, job: &Job, pool: &mut CapacityPool) -> Vec<UnmetDemand> {
        if job.confirmed_tasks > 0
            || job.tasks().any(|(_, task)| task.state.machine_and_attempt().is_some())
        {
            return Vec::new();
        }
        if job.spec.spread {
            let none_placed = vec![0; self.zone_count()];
            return self.unmet_spread(job, job.spec.tasks, none_placed, pool);
        }
        self.unmet_plain_gang(job, pool).into_iter().collect()
    }

    fn unmet_plain_gang(&self, job: &Job, pool: &mut CapacityPool) -> Option<UnmetDemand> {
        let need = job.resources();
        let zones = &self.context.config.platform.params.zones;
        let choices: Vec<ZoneChoice> = match job.spec.together {
            true => (0..zones.len() as u16).map(Some).collect(),
            false => vec![None],
        };
        let is_allowed = |choice: &ZoneChoice| {
            choice.is_none_or(|zone| allows_zone(&job.spec, &zones[zone as usize]))
        };
        let eligible = |choice: ZoneChoice, group: &MachineGroup| {
            (choice.is_none() || group.zone == choice) && self.is_eligible(&job.spec, group)
        };
        let fitting =
            |choice: &ZoneChoice| pool.count_fitting(&need, |group| eligible(*choice, group));
        let choice = choices.into_iter().filter(is_allowed).max_by_key(fitting)?;
        let tasks = pool.place(&need, job.spec.tasks, |group| eligible(choice, group));
        let spec = match choice {
            Some(zone) => in_zone(&job.spec, &zones[zone as usize]),
            None => job.spec.clone(),
        };
        (tasks > 0).then_some(UnmetDemand { spec, tasks })
    }

    /// Returns the missing part of the capacity that should stay free for production tasks.
    fn unmet_warm_capacity(&self, pool: &CapacityPool) -> Option<UnmetDemand> {
        let warm = self.warm_capacity()?;
        let largest = self.largest_production_job()?;
        let fitting =
            pool.count_fitting(&warm.need, |group| self.is_eligible(&largest.spec, group));
        // Production tasks may preempt work of lower priorities.
        let preemptible = self.preemptible_by_production();
        let tasks = warm.tasks.saturating_sub(fitting.saturating_add(preemptible));
        (tasks > 0).then(|| UnmetDemand { spec: largest.spec.clone(), tasks })
    }

    /// Returns the number of tasks on on-demand machines that production tasks may preempt.
    fn preemptible_by_production(&self) -> u32 {
        let below_production = |key: &&crate::ids::TaskKey| {
            self.jobs.get(key.job).is_some_and(|job| job.priority < Priority::Production)
        };
        self.machines
            .iter()
            .filter(|(_, machine)| machine.usable() && !machine.spot)
            .flat_map(|(_, machine)| machine.tasks.keys())
            .filter(below_production)
            .count() as u32
    }

    /// Returns the capacity that should stay free for production: a configured fraction of the
    /// number of running production tasks, each with the need of the largest one. `None` if no
    /// production job is live.
    pub(super) fn warm_capacity(&self) -> Option<WarmCapacity> {
        let largest = self.largest_production_job()?;
        let running: f64 = self.production_jobs().map(|job| f64::from(job.confirmed_tasks)).sum();
        let tasks = (running * self.context.config.operator.warm_share).ceil() as u32;
        Some(WarmCapacity { need: largest.resources(), tasks })
    }

    fn largest_production_job(&self) -> Option<&Job> {
        self.production_jobs().max_by(|a, b| a.spec.cpus.total_cmp(&b.spec.cpus))
    }

    fn production_jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs
            .iter()
            .map(|(_, job)| job)
            .filter(|job| job.state == JobState::Live && job.spec.priority == Priority::Production)
    }
}

/// Returns the number of a job's tasks that have not been placed yet and are not complete.
fn unplaced_tasks(job: &Job) -> u32 {
    let placed = job.tasks().filter(|(_, task)| task.state != TaskState::Unplaced).count() as u32;
    let in_done_chunks: u32 = job
        .done_chunks
        .iter()
        .flat_map(|(first, last)| *first..=*last)
        .map(|chunk| job.chunk_len(chunk))
        .sum();
    job.spec.tasks.saturating_sub(placed + in_done_chunks)
}

fn bound_tasks_by_zone(job: &Job, zones: usize) -> Vec<u32> {
    let mut tasks_in_zone = vec![0u32; zones];
    for (_, task) in job.tasks().filter(|(_, task)| task.state.machine_and_attempt().is_some()) {
        if let Some(zone) = task.zone {
            tasks_in_zone[zone as usize] += 1;
        }
    }
    tasks_in_zone
}

fn allows_zone(spec: &JobSpec, zone: &String) -> bool {
    spec.zone.as_ref().is_none_or(|wanted| wanted == zone)
}

/// Returns a copy of the job's specification that is restricted to this zone.
fn in_zone(spec: &JobSpec, zone: &str) -> JobSpec {
    JobSpec { zone: Some(zone.to_string()), ..spec.clone() }
}
