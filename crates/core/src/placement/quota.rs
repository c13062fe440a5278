//! Quotas of teams, and best-effort work.
//!
//! Invariant: a task is placed only while its team's reserved resources (placed and not provably
//! ended) stay within the team's limit, so the limit holds whichever of them start later.

use quartzgate_wire::msg::Priority;

use crate::controller::Controller;
use crate::fleet::machines::Resources;
use crate::jobs::Job;

/// Allowed rounding error of sums of resources.
const EPSILON: f64 = 1e-6;

impl Controller {
    /// Whether a job is best-effort: of the lowest priority, and of a team without a quota.
    pub(crate) fn is_best_effort(&self, job: &Job) -> bool {
        self.best_effort(job.team, job.priority)
    }

    /// The same for any work of a team at this priority.
    pub(crate) fn best_effort(&self, team: usize, priority: Priority) -> bool {
        let team = &self.context.config.platform.params.teams[team];
        priority == Priority::Low && team.cpus <= 0.0 && team.gpus <= 0.0
    }

    /// Whether a task that needs these resources may be placed for the team.
    pub(crate) fn within_quota(&self, team: usize, room: &Resources) -> bool {
        self.within_limit(team, self.teams[team].reserved, room)
    }

    /// Whether the team may have one more task on machines, if every unproven task runs. After a
    /// placement whose write was indeterminate the records can hold more reservations than the
    /// limit allows, so this is checked again before every start.
    pub(crate) fn may_start(&self, team: usize, room: &Resources) -> bool {
        let mut possibly_running = self.teams[team].placed;
        possibly_running.add(&self.teams[team].unproven, 1.0);
        self.within_limit(team, possibly_running, room)
    }

    fn within_limit(&self, team: usize, used: Resources, more: &Resources) -> bool {
        let limit = &self.context.config.platform.params.teams[team];
        let within = |used: f64, max: f64| max <= 0.0 || used <= max + EPSILON;
        within(used.cpus + more.cpus, limit.cpus_max)
            && within(used.gpus + more.gpus, limit.gpus_max)
    }
}
