//! Quotas of teams, and best-effort jobs.
//!
//! Invariant: a task is placed only if its team's reserved resources (those of tasks that are
//! placed and not provably ended) stay within the team's limit. The limit therefore holds whichever
//! of these tasks start later.

use quartzgate_wire::msg::Priority;

use crate::controller::Controller;
use crate::fleet::machines::Resources;
use crate::jobs::Job;

/// Tolerated rounding error in sums of resources.
const EPSILON: f64 = 1e-6;

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

    /// Returns whether a task that needs these resources may be placed for the team within its
    /// limit.
    pub(crate) fn within_quota(&self, team: usize, need: &Resources) -> bool {
        self.within_limit(team, self.teams[team].reserved, need)
    }

    /// Returns whether the team stays within its limit if a task that needs these resources starts
    /// and every unproven task is running. After a placement whose write was indeterminate, the
    /// records can hold more reservations than the limit allows, so this is checked again before
    /// every start.
    pub(crate) fn may_start_within_quota(&self, team: usize, need: &Resources) -> bool {
        let mut possibly_running = self.teams[team].bound;
        possibly_running.add(&self.teams[team].unproven, 1.0);
        self.within_limit(team, possibly_running, need)
    }

    fn within_limit(&self, team: usize, used: Resources, more: &Resources) -> bool {
        let limit = &self.context.config.platform.params.teams[team];
        let within = |used: f64, max: f64| max <= 0.0 || used <= max + EPSILON;
        within(used.cpus + more.cpus, limit.cpus_max)
            && within(used.gpus + more.gpus, limit.gpus_max)
    }
}
