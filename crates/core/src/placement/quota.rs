//! Quotas of teams, and best-effort jobs.
//!
//! Invariant: a task starts only if the team's tasks that are on machines, or may be, leave room for
//! it within the team's limit ([`Controller::may_start_within_quota`]). The limit therefore holds
//! whatever else is placed, here or by an earlier leader.
//!
//! Placement keeps what waits for a team near what may start: tasks are placed while the reserved
//! resources (those of all tasks that are placed and not provably ended) stay within the limit.
//! Beyond that, a task is placed if a machine has spare resources for it and the tasks that use the
//! limit, or could start before it, leave room: tasks that wait for a machine don't use the limit.

use std::cmp::Reverse;

use quartzgate_wire::msg::{JobKind, Priority};

use crate::controller::{Controller, TeamUsage};
use crate::fleet::machines::Resources;
use crate::ids::{JobIndex, TaskKey};
use crate::jobs::{Job, JobState, Task, TaskState};

/// Tolerated rounding error in sums of resources.
const EPSILON: f64 = 1e-6;
/// A task that has waited for less than this is about to start, if a machine has room for it.
const FRESH_MS: u64 = 10_000;

/// The rank of a job among the jobs of its team, first served first: by priority, then by the time
/// at which it became ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct JobRank(Reverse<Priority>, u64, JobIndex);

impl JobRank {
    /// Returns the rank of a job.
    pub fn of(job_index: JobIndex, job: &Job) -> JobRank {
        JobRank(Reverse(job.priority), job.ready_ms, job_index)
    }
}

/// Resources of a team's limit that a job may use before jobs of a later rank.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaClaim {
    /// Rank of the job.
    pub rank: JobRank,
    /// Resources that its tasks need.
    pub resources: Resources,
}

impl TeamUsage {
    /// Returns the resources of the tasks that are on machines, or may be.
    pub fn possibly_running(&self) -> Resources {
        let mut used = self.bound;
        used.add(&self.unproven, 1.0);
        used
    }
}

impl Controller {
    /// Returns whether a job is best-effort: it has the lowest priority and its team has no
    /// guaranteed quota.
    pub(crate) fn is_best_effort(&self, job: &Job) -> bool {
        self.is_best_effort_class(job.team, job.priority)
    }

    /// Returns whether jobs of a team at this priority are best-effort.
    pub(crate) fn is_best_effort_class(&self, team: usize, priority: Priority) -> bool {
        let team = &self.context.config.platform.params.teams[team];
        priority == Priority::Low && team.cpus <= 0.0 && team.gpus <= 0.0
    }

    /// Returns whether a task that needs these resources may be placed for the team so that all its
    /// placed tasks together stay within its limit.
    pub(crate) fn within_reservation(&self, team: usize, need: &Resources) -> bool {
        self.within_limit(team, self.teams[team].reserved, need)
    }

    /// Returns whether the team stays within its limit if tasks of a job that need these resources
    /// start and every unproven task is running. Checked before every start, because more tasks can
    /// be placed than the limit allows. Resources held for a job of an earlier rank count as used.
    pub(crate) fn may_start_within_quota(
        &self,
        job_index: JobIndex,
        job: &Job,
        need: &Resources,
    ) -> bool {
        let usage = &self.teams[job.team];
        let mut used = usage.possibly_running();
        let hold = usage.hold.filter(|hold| hold.rank < JobRank::of(job_index, job));
        if let Some(hold) = hold {
            used.add(&hold.resources, 1.0);
        }
        self.within_limit(job.team, used, need)
    }

    /// Returns whether a team stays within its limit if it uses `more` in addition to `used`.
    pub(super) fn within_limit(&self, team: usize, used: Resources, more: &Resources) -> bool {
        let limit = &self.context.config.platform.params.teams[team];
        let within = |used: f64, max: f64| max <= 0.0 || used <= max + EPSILON;
        within(used.cpus + more.cpus, limit.cpus_max)
            && within(used.gpus + more.gpus, limit.gpus_max)
    }

    /// Returns for how many tasks of a job, at most `max_tasks`, its team's limit has room beside
    /// the tasks that use it and those that claim it before the job.
    pub(super) fn tasks_within_quota(
        &self,
        job_index: JobIndex,
        job: &Job,
        claims: &[QuotaClaim],
        max_tasks: u32,
    ) -> u32 {
        let need = job.resources();
        let mut used = self.teams[job.team].possibly_running();
        let rank = JobRank::of(job_index, job);
        claims
            .iter()
            .filter(|claim| claim.rank <= rank)
            .for_each(|claim| used.add(&claim.resources, 1.0));
        let fits = |tasks: u32| {
            let mut more = Resources::default();
            more.add(&need, f64::from(tasks));
            self.within_limit(job.team, used, &more)
        };
        (1..=max_tasks).take_while(|tasks| fits(*tasks)).last().unwrap_or(0)
    }

    /// Returns what the waiting tasks of a team claim: those for which a probed machine has free
    /// capacity, so that they could start now. While the limit is released to others, only tasks
    /// that have begun to wait recently claim it.
    pub(super) fn quota_claims(&self, team: usize) -> Vec<QuotaClaim> {
        let now_ms = self.context.now.steady_ms;
        let holds = self.is_hold_period();
        let may_claim = |task: &Task| holds || now_ms < task.since_ms + FRESH_MS;
        let mut claims = Vec::new();
        for (job_index, job) in self.jobs.iter() {
            if job.team != team || job.waiting == 0 || job.state != JobState::Live {
                continue;
            }
            let tasks = self.tasks_with_free_machine(job_index, job, may_claim);
            if tasks > 0 {
                let mut resources = Resources::default();
                resources.add(&job.resources(), f64::from(tasks));
                claims.push(QuotaClaim { rank: JobRank::of(job_index, job), resources });
            }
        }
        claims
    }

    /// Returns how many waiting tasks of a job could start now on a probed machine, if the team's
    /// limit allowed it. The tasks of a gang count all together or not at all.
    fn tasks_with_free_machine(
        &self,
        job_index: JobIndex,
        job: &Job,
        may_claim: impl Fn(&Task) -> bool,
    ) -> u32 {
        let has_free_machine = |(number, task): &(u32, &Task)| {
            let key = TaskKey { job: job_index, task: *number };
            may_claim(task) && self.has_free_machine(job, key, task)
        };
        let waiting = job.tasks().filter(|(_, task)| task.state == TaskState::Waiting);
        let tasks = waiting.filter(has_free_machine).count() as u32;
        if job.spec.kind == JobKind::Gang && (tasks < job.spec.tasks || !self.plan_fits(job)) {
            return 0;
        }
        job.demanded_tasks(tasks)
    }

    /// Returns whether a waiting task could start now on a machine that it probes.
    fn has_free_machine(&self, job: &Job, key: TaskKey, task: &Task) -> bool {
        let now_ms = self.context.now.steady_ms;
        let need = job.resources();
        self.may_start_on_some_machine(job, task)
            && task.probes.iter().any(|probe| {
                self.machines.get(probe.machine).is_some_and(|machine| {
                    machine.accepts_starts(now_ms)
                        && self.task_allows(job, key, task, machine)
                        && self.resources_for(probe.machine, machine, job).can_fit(&need)
                })
            })
    }

    /// Updates what is held of each team's limit: in the periods for it, the need of the first job
    /// that only the limit keeps waiting. Otherwise smaller tasks, or tasks on other machines, would
    /// take what others of the team give up, again and again.
    pub(crate) fn update_quota_holds(&mut self) {
        for team in 0..self.teams.len() {
            self.teams[team].hold = match self.is_hold_period() {
                true => self.first_blocked_by_quota(team),
                false => None,
            };
        }
    }

    /// Returns what the first job of a team needs that could start now, as a gang or with one task,
    /// if the team's limit allowed it.
    fn first_blocked_by_quota(&self, team: usize) -> Option<QuotaClaim> {
        let usage = &self.teams[team];
        let waiting = match self.within_limit(team, usage.reserved, &Resources::default()) {
            true => Vec::new(),
            false => self.quota_claims(team),
        };
        let to_start = |claim: QuotaClaim| {
            let job = self.jobs.get(claim.rank.2)?;
            let is_gang = job.spec.kind == JobKind::Gang;
            let resources = if is_gang { claim.resources } else { job.resources() };
            Some(QuotaClaim { resources, ..claim })
        };
        let has_unplaced_tasks = |claim: &QuotaClaim| {
            let job = self.jobs.get(claim.rank.2);
            job.is_some_and(|job| job.state == JobState::Live && job.next_unplaced < job.spec.tasks)
        };
        let blocked_job = usage.blocked_job.filter(has_unplaced_tasks);
        let claims = waiting.into_iter().filter_map(to_start);
        let claims = claims.chain(usage.blocked_gang).chain(blocked_job);
        let is_blocked = |claim: &QuotaClaim| {
            !self.within_limit(team, usage.possibly_running(), &claim.resources)
        };
        claims.filter(is_blocked).min_by_key(|claim| claim.rank)
    }
}
