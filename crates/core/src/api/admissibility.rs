//! Decides whether a well-formed job can ever run: within its team's limits, on the existing
//! machine types and in the existing zones.

use std::collections::BTreeSet;

use quartzgate_wire::msg::{JobKind, JobSpec, MachineType};
use quartzgate_wire::settings::Team;

use crate::controller::Controller;

/// Tolerance of comparisons of resource amounts, which are binary floating-point numbers.
const TOLERANCE: f64 = 1e-6;

/// Whether a well-formed job can ever run.
pub(super) enum Admissibility {
    Admissible,
    /// The job can never run, for this reason. The text is part of the interface.
    Inadmissible(&'static str),
    /// The machine types are not known yet, so nothing can be decided.
    Unknown,
}

/// Returns whether a job exceeds its team's limits. The tasks of an array count one by one, as they
/// need not run at the same time; those of any other job count together.
fn exceeds_team_limit(spec: &JobSpec, team: &Team) -> bool {
    let tasks_at_once = if spec.kind == JobKind::Array { 1.0 } else { spec.tasks as f64 };
    let exceeds = |each: f64, limit: f64| limit > 0.0 && each * tasks_at_once > limit + TOLERANCE;
    exceeds(spec.cpus, team.cpus_max) || exceeds(spec.gpus, team.gpus_max)
}

/// Returns whether the job allows a machine type and a task fits an empty machine of that type.
fn fits_type(spec: &JobSpec, machine_type: &MachineType) -> bool {
    spec.types.as_ref().is_none_or(|names| names.contains(&machine_type.name))
        && machine_type.cpus + TOLERANCE >= spec.cpus
        && machine_type.gpus + TOLERANCE >= spec.gpus
        && machine_type.memory_gb + TOLERANCE >= spec.memory_gb
}

/// Returns whether a job whose tasks must not all be in one zone has no second zone for them. An
/// array is never affected: it continues with the tasks that may run.
fn lacks_second_zone(spec: &JobSpec, zones: usize) -> bool {
    let runs_at_once = spec.kind != JobKind::Array && spec.tasks > 1;
    runs_at_once && spec.spread && (spec.together || zones < 2)
}

impl Controller {
    /// Decides whether a job can ever run.
    pub(super) fn admissibility(&self, spec: &JobSpec) -> Admissibility {
        let teams = &self.context.config.platform.params.teams;
        let Some(team) = teams.iter().find(|team| team.name == spec.team) else {
            return Admissibility::Inadmissible("unknown team");
        };
        if exceeds_team_limit(spec, team) {
            return Admissibility::Inadmissible("the job needs more than the team's limit");
        }
        if self.machine_types_at_ms.is_none() {
            return Admissibility::Unknown;
        }
        let zones = self.usable_zones(spec).len();
        if zones == 0 {
            return Admissibility::Inadmissible("a task fits no allowed machine type");
        }
        if lacks_second_zone(spec, zones) {
            return Admissibility::Inadmissible(
                "its tasks may not all be in the only zone that they may be in",
            );
        }
        Admissibility::Admissible
    }

    /// Returns the zones that the job allows and that have a machine type which its tasks fit.
    fn usable_zones(&self, spec: &JobSpec) -> BTreeSet<&String> {
        let is_allowed = |zone: &&String| spec.zone.as_ref().is_none_or(|allowed| allowed == *zone);
        let fitting =
            self.machine_types.iter().filter(|machine_type| fits_type(spec, machine_type));
        fitting.flat_map(|machine_type| &machine_type.zones).filter(is_allowed).collect()
    }
}
