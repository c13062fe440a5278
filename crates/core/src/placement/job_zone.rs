//! The zone of a job whose tasks all have to run in the same zone.
//!
//! The zone is chosen when the job is first placed. It is fixed while a task of the job is, or may
//! be, on a machine; until then it can be given up for a zone with capacity, for instance after the
//! zone has lost its machines.

use crate::controller::Controller;
use crate::ids::{JobIndex, TaskKey};
use crate::jobs::{Job, TaskState};
use crate::placement::candidates::Candidates;

impl Controller {
    /// Returns the zones in which tasks of a job other than `except` are on machines, or may be.
    fn occupied_zones<'a>(
        &'a self,
        job: &'a Job,
        except: Option<u32>,
    ) -> impl Iterator<Item = u16> + 'a {
        let others = job.tasks().filter(move |(number, _)| Some(*number) != except);
        others.filter_map(|(_, task)| match task.state.machine_and_attempt() {
            Some((machine, _)) => {
                let machine_zone = self.machines.get(machine).and_then(|machine| machine.zone);
                machine_zone.or(task.zone)
            }
            None if task.state == TaskState::Unproven => task.zone,
            None => None,
        })
    }

    /// Returns the zone in which all tasks of the job have to run, if a task fixes it.
    pub(crate) fn fixed_zone(&self, job: &Job) -> Option<u16> {
        self.occupied_zones(job, None).next()
    }

    /// Returns whether a task may start in a zone: its job has no zone rule that binds all tasks to
    /// one zone, or no other task is, or may be, on a machine in another one.
    pub(crate) fn may_start_in_zone(&self, job: &Job, key: TaskKey, zone: Option<u16>) -> bool {
        !job.spec.together
            || self.occupied_zones(job, Some(key.task)).all(|occupied| Some(occupied) == zone)
    }

    /// Chooses the zone of a job whose tasks have to run in the same zone. A zone that no task fixes
    /// is given up if it has no spare capacity and another one has, or if it has no machine.
    pub(super) fn choose_job_zone(&mut self, job_index: JobIndex, candidates: &Candidates) {
        let Some(job) = self.jobs.get(job_index) else { return };
        let (fixed, old) = (self.fixed_zone(job), job.zone);
        let zone = fixed.or_else(|| {
            let best = candidates.zone_with_most_spare();
            let keeps_old = old.is_some_and(|zone| {
                candidates.has_spare(Some(zone))
                    || candidates.any_in(Some(zone)) && !candidates.has_spare(best)
            });
            if keeps_old {
                old
            } else {
                best.or(old)
            }
        });
        if old.is_some() && zone != old {
            tracing::info!(job = %job.id, ?old, ?zone, "zone of the job changed");
        }
        if let Some(job) = self.jobs.get_mut(job_index) {
            job.zone = zone;
        }
    }
}
