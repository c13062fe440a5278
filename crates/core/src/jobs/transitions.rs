//! State transitions of tasks and jobs, and their consequences.
//!
//! Invariant: the counts of jobs, the usage of teams and the used resources of machines always
//! agree with the states of the tasks. All state changes go through [`Controller::set_task_state`]
//! and [`Controller::set_job_state`].

use crate::controller::Controller;
use crate::fleet::fault_attribution::JobHealth;
use crate::ids::{JobIndex, TaskKey};
use crate::jobs::{JobState, Task, TaskState};
use crate::storage::records::{RecordedStatus, TASKS_PER_CHUNK};

impl Controller {
    /// Changes a task's state; no other function does. Keeps the machines' used resources, the
    /// teams' usage and the jobs' counts consistent with the new state.
    pub(crate) fn set_task_state(&mut self, key: TaskKey, state: TaskState) {
        let now_ms = self.context.now.steady_ms;
        let Some(job) = self.jobs.get_mut(key.job) else { return };
        let Some(task) = job.task_mut(key.task) else { return };
        let old = std::mem::replace(&mut task.state, state);
        if std::mem::discriminant(&old) != std::mem::discriminant(&state) {
            task.since_ms = now_ms;
        }
        job.count_transition(&old, &state);
        self.update_team_usage(key.job, &old, &state);
        if old.machine_and_attempt() != state.machine_and_attempt() {
            self.update_machine_usage(key, &old, &state);
        }
        if state == TaskState::Dropped {
            self.record_writer.mark_job_dirty(key.job);
        }
        if state.is_done() && !old.is_done() {
            self.set_job_health(key.job, JobHealth::RunsWell);
        }
        if state.is_waiting() && !old.is_waiting() {
            self.enqueue(key);
        }
    }

    /// Updates the resource sums of a task's team for a change of the task's state.
    fn update_team_usage(&mut self, job_index: JobIndex, old: &TaskState, new: &TaskState) {
        let Some(job) = self.jobs.get(job_index) else { return };
        let resources = job.resources();
        let usage = &mut self.teams[job.team];
        let sign = |is_counted: bool| if is_counted { 1.0 } else { -1.0 };
        if old.is_unproven() != new.is_unproven() {
            usage.unproven.add(&resources, sign(new.is_unproven()));
        }
        if old.holds_reservation() != new.holds_reservation() {
            usage.reserved.add(&resources, sign(new.holds_reservation()));
            self.placement_due = true;
        }
        if old.machine_and_attempt() != new.machine_and_attempt() {
            if old.machine_and_attempt().is_some() {
                usage.bound.add(&resources, -1.0);
            }
            if new.machine_and_attempt().is_some() {
                usage.bound.add(&resources, 1.0);
            }
        }
    }

    /// Moves a task from the machine of its old state to the machine of its new state.
    fn update_machine_usage(&mut self, key: TaskKey, old: &TaskState, new: &TaskState) {
        let Some(job) = self.jobs.get(key.job) else { return };
        let resources = job.resources();
        let priority = job.priority as usize;
        let preemptible = job.preemptible_fraction(job.priority);
        if let Some((machine_index, _)) = old.machine_and_attempt() {
            if let Some(machine) = self.machines.get_mut(machine_index) {
                machine.tasks.remove(&key);
                machine.used.add(&resources, -1.0);
                machine.preemptible_by_priority[priority].add(&resources, -preemptible);
                if machine.tasks.is_empty() {
                    // Clears the rounding errors that many additions and subtractions leave.
                    (machine.used, machine.preemptible_by_priority) = Default::default();
                    machine.idle_since_ms = self.context.now.steady_ms;
                }
            }
            self.machines_to_dispatch.insert(machine_index);
        }
        if let Some((machine_index, attempt)) = new.machine_and_attempt() {
            if let Some(machine) = self.machines.get_mut(machine_index) {
                machine.tasks.insert(key, attempt);
                machine.used.add(&resources, 1.0);
                machine.preemptible_by_priority[priority].add(&resources, preemptible);
            }
        }
    }

    /// Changes a job's state; no other function does. Sets `Waiting` instead of `Live` for a job
    /// with pending dependencies. `Aborted` and `Done` are final: the outcome of a call that was in
    /// flight does not revive the job.
    pub(crate) fn set_job_state(&mut self, job_index: JobIndex, state: JobState) {
        let Some(job) = self.jobs.get_mut(job_index) else { return };
        let state = match state {
            JobState::Live if !job.pending_dependencies.is_empty() => JobState::Waiting,
            other => other,
        };
        if job.state == state || matches!(job.state, JobState::Aborted | JobState::Done) {
            return;
        }
        let old = std::mem::replace(&mut job.state, state);
        match state {
            JobState::Aborted => self.on_job_aborted(job_index),
            JobState::Done => self.on_job_done(job_index),
            // The user no longer needs the job's tasks, whether or not the abort is recorded.
            JobState::AbortIndeterminate => self.stop_tasks(job_index),
            JobState::Live if old == JobState::Aborting => self.dispatch_all_machines(),
            JobState::Live if old == JobState::Waiting => self.on_dependencies_done(job_index),
            _ => {}
        }
    }

    /// Drops the waiting and unplaced tasks of an aborted job, and stops the tasks on machines.
    fn on_job_aborted(&mut self, job_index: JobIndex) {
        let Some(job) = self.jobs.get(job_index) else { return };
        tracing::info!(job = %job.id, "job aborted");
        self.clear_unattributed_failures(job_index);
        let Some(job) = self.jobs.get_mut(job_index) else { return };
        job.aborted_or_loaded_ms = self.context.now.steady_ms;
        let is_idle = |task: &Task| matches!(task.state, TaskState::Waiting | TaskState::Unplaced);
        let idle_tasks: Vec<u32> =
            job.tasks().filter(|(_, task)| is_idle(task)).map(|(number, _)| number).collect();
        for task in idle_tasks {
            self.set_task_state(TaskKey { job: job_index, task }, TaskState::Dropped);
        }
        self.stop_tasks(job_index);
        self.remember_terminal_state(job_index, RecordedStatus::Aborted);
        self.remove_from_dependency_graph(job_index);
    }

    fn on_job_done(&mut self, job_index: JobIndex) {
        let Some(job) = self.jobs.get(job_index) else { return };
        let now_ms = self.context.now.wall_ms;
        tracing::debug!(
            job = %job.id,
            class = %job.spec.class,
            tasks = job.spec.tasks,
            age_ms = now_ms.saturating_sub(job.submitted_ms),
            since_ready_ms = now_ms.saturating_sub(job.ready_ms),
            deadline_s = job.spec.deadline_s,
            dependencies = ?job.spec.dependencies,
            "job done"
        );
        self.remember_terminal_state(job_index, RecordedStatus::Done);
    }

    /// Makes a job ready for placement after its last dependency was recorded as done.
    fn on_dependencies_done(&mut self, job_index: JobIndex) {
        let Some(job) = self.jobs.get_mut(job_index) else { return };
        job.ready_ms = self.context.now.wall_ms;
        job.record_read_ms = self.context.now.steady_ms;
        self.record_writer.mark_job_dirty(job_index);
        self.placement_due = true;
        self.preempt_due = true;
    }

    /// Schedules commands to the machines that hold tasks of a job that must no longer run.
    fn stop_tasks(&mut self, job_index: JobIndex) {
        let Some(job) = self.jobs.get(job_index) else { return };
        let occupied = job.tasks().filter_map(|(_, task)| task.state.machine_and_attempt());
        self.machines_to_command.extend(occupied.map(|(machine, _)| machine));
    }

    fn remember_terminal_state(&mut self, job_index: JobIndex, status: RecordedStatus) {
        if let Some(id) = self.jobs.get(job_index).map(|job| job.id.clone()) {
            self.learn_terminal_state(&id, status);
        }
    }

    /// Returns a task that has left its machine without being done to the waiting state, or drops
    /// it if its job is aborted. The task becomes unproven instead while an earlier leader may have
    /// started it on another machine.
    pub(crate) fn return_to_queue(&mut self, key: TaskKey) {
        let Some(job) = self.jobs.get(key.job) else { return };
        let aborted = job.state == JobState::Aborted;
        let Some(task) = job.task(key.task) else { return };
        let next_state = if task.probes.iter().any(|probe| probe.unproven) {
            TaskState::Unproven
        } else if aborted {
            TaskState::Dropped
        } else {
            TaskState::Waiting
        };
        self.set_task_state(key, next_state);
    }

    /// Marks a task as done, whichever source reported it. Idempotent. If this completes a job with
    /// dependents, expedites the next write.
    pub(crate) fn mark_task_done(&mut self, key: TaskKey) {
        let Some(job) = self.jobs.get_mut(key.job) else { return };
        if matches!(job.state, JobState::Done | JobState::Finishing) {
            return;
        }
        let Some(chunk) = job.chunk_of(key.task) else { return };
        let version = chunk.version + 1;
        let task = chunk.tasks.get((key.task % TASKS_PER_CHUNK) as usize);
        if task.is_none_or(|task| task.state.is_done()) {
            return;
        }
        self.set_task_state(key, TaskState::Done { version });
        self.mark_dirty(key.job, key.task / TASKS_PER_CHUNK);
        let completed = self.jobs.get(key.job).filter(|job| job.done >= job.spec.tasks);
        if completed.is_some_and(|job| self.dependency_graph.has_dependents(&job.id)) {
            self.record_writer.expedite();
        }
    }
}
