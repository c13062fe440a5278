//! One pass of placement: which jobs are placed although the backlog is full, or although placed
//! tasks reserve their team's whole limit.
//!
//! Invariant: a job for which a machine has spare resources, and its team's limit has room beside
//! the tasks that use it or may use it first, is placed, whatever else waits. What is placed beyond
//! the backlog and the reservation is bounded by these resources.

use std::collections::BTreeMap;

use super::backlog::{ClassBacklog, PlacementBacklog};
use super::free_capacity::FreeCapacity;
use super::placer::MAX_PLACED_PER_PASS;
use super::quota::{JobRank, QuotaClaim};
use crate::controller::Controller;
use crate::fleet::machines::Resources;
use crate::ids::JobIndex;
use crate::jobs::Job;

/// Shortest time between two snapshots of the free capacity, since they examine all queues.
const SNAPSHOT_INTERVAL_MS: u64 = 500;

/// How long a job waits beside a full backlog before it gets spare resources.
const MIN_WAIT_BESIDE_BACKLOG_MS: u64 = 10_000;

/// The state of one pass.
pub(super) struct PlacementPass {
    backlog: PlacementBacklog,
    snapshot: Snapshot,
}

/// A snapshot of the free capacity, taken when a pass first needs it.
enum Snapshot {
    NotTaken,
    /// The last snapshot is too recent for another one.
    TooEarly,
    Taken(CapacitySnapshot),
}

/// What the queues of machines leave, less what the pass has placed on it.
struct CapacitySnapshot {
    backlog: ClassBacklog,
    free: FreeCapacity,
    /// What waiting tasks claim of their team's limit, by team, for the teams that were asked for.
    claims: BTreeMap<usize, Vec<QuotaClaim>>,
}

/// How many tasks of a job may be placed in a pass.
#[derive(Clone, Copy, Debug)]
pub(super) enum PlacementLimit {
    /// As many as can be reserved within the team's limit and as one pass allows.
    Reservation,
    /// This many: machines have spare resources for them, and the team's limit has room.
    Tasks(u32),
}

impl PlacementPass {
    /// Begins a pass.
    pub fn new(backlog: PlacementBacklog) -> Self {
        PlacementPass { backlog, snapshot: Snapshot::NotTaken }
    }

    /// Returns whether some usable machine could take a task of the job if it were empty.
    pub fn has_machine_for(&self, controller: &Controller, job_index: JobIndex) -> bool {
        let job = controller.jobs.get(job_index);
        job.is_some_and(|job| self.backlog.has_machine_for(controller, &job.spec))
    }

    /// Notes that tasks of a job have been placed. Within the pass, they count in the backlog and,
    /// if a snapshot was taken, against the resources that they will use.
    pub fn note_placed(&mut self, controller: &Controller, job_index: JobIndex, tasks: u32) {
        let Some(job) = controller.jobs.get(job_index).filter(|_| tasks > 0) else { return };
        let cpus = f64::from(tasks) * job.spec.cpus;
        self.backlog.add(job.priority, cpus);
        if let Snapshot::Taken(snapshot) = &mut self.snapshot {
            snapshot.note_placed(controller, job_index, job, tasks);
        }
    }
}

impl CapacitySnapshot {
    fn note_placed(&mut self, controller: &Controller, job_index: JobIndex, job: &Job, tasks: u32) {
        let mut resources = Resources::default();
        resources.add(&job.resources(), f64::from(tasks));
        self.backlog.add_placed(controller, job, resources.cpus);
        self.free.take(controller, job, tasks, |zone| controller.is_open_zone(job, zone));
        if let Some(claims) = self.claims.get_mut(&job.team) {
            claims.push(QuotaClaim { rank: JobRank::of(job_index, job), resources });
        }
    }
}

impl Controller {
    /// Returns how many tasks of a job may be placed now, or `None` if it has to wait.
    pub(super) fn placement_limit(
        &mut self,
        job_index: JobIndex,
        pass: &mut PlacementPass,
    ) -> Option<PlacementLimit> {
        let job = self.jobs.get(job_index)?;
        let may_reserve = self.within_reservation(job.team, &job.resources());
        if may_reserve && !pass.backlog.is_full(job.priority) {
            return Some(PlacementLimit::Reservation);
        }
        let snapshot = self.capacity_snapshot(pass)?;
        let job = self.jobs.get(job_index)?;
        if may_reserve && !snapshot.backlog.is_full(self, job) {
            return Some(PlacementLimit::Reservation);
        }
        // What waits in queues soon uses the spare resources, unless it can't.
        let waited_ms = self.context.now.wall_ms.saturating_sub(job.ready_ms);
        if may_reserve && waited_ms < MIN_WAIT_BESIDE_BACKLOG_MS {
            return None;
        }
        let claims = snapshot.claims.entry(job.team).or_insert_with(|| self.quota_claims(job.team));
        let within_quota = self.tasks_within_quota(job_index, job, claims, MAX_PLACED_PER_PASS);
        if within_quota == 0 {
            self.note_blocked_by_quota(job_index, &snapshot.free);
            return None;
        }
        let tasks = self.spare_tasks(job, within_quota, &snapshot.free);
        (tasks > 0).then_some(PlacementLimit::Tasks(tasks))
    }

    /// Returns the snapshot of this pass, and takes it unless the last one is too recent.
    fn capacity_snapshot<'a>(
        &mut self,
        pass: &'a mut PlacementPass,
    ) -> Option<&'a mut CapacitySnapshot> {
        if matches!(pass.snapshot, Snapshot::NotTaken) {
            pass.snapshot = self.take_snapshot();
        }
        match &mut pass.snapshot {
            Snapshot::Taken(snapshot) => Some(snapshot),
            Snapshot::NotTaken | Snapshot::TooEarly => None,
        }
    }

    fn take_snapshot(&mut self) -> Snapshot {
        let now_ms = self.context.now.steady_ms;
        if now_ms < self.last_capacity_snapshot_ms + SNAPSHOT_INTERVAL_MS {
            return Snapshot::TooEarly;
        }
        self.last_capacity_snapshot_ms = now_ms;
        self.teams.iter_mut().for_each(|usage| usage.blocked_job = None);
        let free = self.free_capacity();
        let backlog = self.class_backlog();
        Snapshot::Taken(CapacitySnapshot { backlog, free, claims: BTreeMap::new() })
    }

    /// Notes a job that a machine has spare resources for and only its team's limit keeps waiting,
    /// unless one of an earlier rank is noted.
    fn note_blocked_by_quota(&mut self, job_index: JobIndex, free: &FreeCapacity) {
        let Some(job) = self.jobs.get(job_index) else { return };
        let claim = QuotaClaim { rank: JobRank::of(job_index, job), resources: job.resources() };
        let team = job.team;
        let is_first = self.teams[team].blocked_job.is_none_or(|noted| claim.rank < noted.rank);
        if is_first && self.spare_tasks(job, 1, free) > 0 {
            self.teams[team].blocked_job = Some(claim);
        }
    }

    /// Returns for how many unplaced tasks of a job, at most `max_tasks`, machines have spare
    /// resources.
    fn spare_tasks(&self, job: &Job, max_tasks: u32, free: &FreeCapacity) -> u32 {
        let unplaced = job.spec.tasks.saturating_sub(job.next_unplaced);
        free.spare_tasks(self, job, max_tasks.min(unplaced), |zone| self.is_open_zone(job, zone))
    }

    /// Returns whether a job's tasks may be placed in a zone, as far as its other tasks decide that.
    fn is_open_zone(&self, job: &Job, zone: Option<u16>) -> bool {
        let fixed_zone = job.spec.together.then(|| self.fixed_zone(job)).flatten();
        fixed_zone.is_none_or(|fixed| zone == Some(fixed))
    }
}
