//! Reconciliation of the leader's task states with a machine's newest heartbeat.
//!
//! A task that the heartbeat lists as alive runs on the machine. A task that the heartbeat doesn't
//! list no longer runs there, and it counts as gone once its start order, or a copy of it, can't
//! take effect any more: no command is in flight and the machine has acknowledged its newest fencing
//! token, or a new agent epoch has begun. The exit cause of an exited task determines how its state changes.

use quartzgate_wire::msg::{ExitCause, HeartbeatTask, JobKind, TaskStatus};

use super::fault_attribution::JobHealth;
use super::machine::MachineState;
use crate::controller::Controller;
use crate::ids::{parse_task, scoped_to_epoch, MachineIndex, TaskKey};
use crate::jobs::TaskState;

/// Heartbeat intervals for which a service's task must run before its job is considered to run
/// well.
const STEADY_AFTER_INTERVALS: u64 = 4;

impl Controller {
    /// Updates task states and the machine's state from the machine's newest heartbeat.
    pub(crate) fn reconcile_machine(&mut self, index: MachineIndex) {
        let first_token = scoped_to_epoch(self.epoch(), 0);
        let Some(machine) = self.machines.get_mut(index) else { return };
        if !machine.has_been_heard_from() || machine.state == MachineState::Terminated {
            return;
        }
        let new_agent_epoch = std::mem::take(&mut machine.new_agent_epoch);
        let epoch_acknowledged = machine.acknowledged_token >= first_token;
        let reported = machine.reported_tasks.clone();
        let alive = self.apply_reported_tasks(index, &reported);
        if !new_agent_epoch {
            self.fence_lost_attempts(index, &alive);
        }
        let Some(machine) = self.machines.get(index) else { return };
        let token_acknowledged = machine.has_acknowledged_fence();
        let no_start_in_flight = token_acknowledged && !machine.command_in_flight;
        self.requeue_missing_tasks(index, &alive, no_start_in_flight || new_agent_epoch);
        if epoch_acknowledged {
            self.resolve_unproven_tasks(index, &alive);
            self.set_machine_state(index, MachineState::Ready);
        } else {
            self.set_machine_state(index, MachineState::Registering);
            self.machines_to_command.insert(index);
        }
        let one_way_unreachable = |index| {
            self.machines
                .get(index)
                .is_some_and(|machine| machine.reachability.is_one_way_unreachable())
        };
        if !token_acknowledged || one_way_unreachable(index) {
            self.machines_to_command.insert(index);
        }
        self.machines_to_dispatch.insert(index);
    }

    /// Applies the exited tasks first, then the others. Returns the tasks that are alive on the
    /// machine, sorted.
    fn apply_reported_tasks(
        &mut self,
        index: MachineIndex,
        reported: &[HeartbeatTask],
    ) -> Vec<TaskKey> {
        let mut alive: Vec<TaskKey> = Vec::with_capacity(reported.len());
        let exited = |task: &&HeartbeatTask| task.status == TaskStatus::Exited;
        for task in reported.iter().filter(exited) {
            self.apply_reported_task(index, task);
        }
        for task in reported.iter().filter(|task| !exited(task)) {
            alive.extend(self.apply_reported_task(index, task));
        }
        alive.sort_unstable();
        alive
    }

    /// Returns the tasks bound to the machine that its heartbeat doesn't list, without those whose
    /// starts have not been sent yet.
    fn missing_tasks(&self, index: MachineIndex, alive: &[TaskKey]) -> Vec<TaskKey> {
        let Some(machine) = self.machines.get(index) else { return Vec::new() };
        let is_unsent = |key: &TaskKey| machine.pending_starts.iter().any(|(sent, _)| sent == key);
        let is_missing = |key: &&TaskKey| alive.binary_search(key).is_err() && !is_unsent(key);
        machine.tasks.keys().filter(is_missing).copied().collect()
    }

    /// Fences the starts that were sent to a machine if it has lost a task that it had confirmed,
    /// without a new agent epoch: it no longer knows the attempt, so that a copy of its start would
    /// start it again. The task is requeued once the machine has acknowledged the fence.
    fn fence_lost_attempts(&mut self, index: MachineIndex, alive: &[TaskKey]) {
        let is_confirmed = |key: &TaskKey| {
            let state = self.jobs.task(*key).map(|task| task.state);
            matches!(state, Some(TaskState::On { .. } | TaskState::Stopping { .. }))
        };
        if !self.missing_tasks(index, alive).iter().any(is_confirmed) {
            return;
        }
        let epoch = self.epoch();
        let Some(machine) = self.machines.get_mut(index) else { return };
        if machine.acknowledged_token <= machine.start_token {
            machine.fence_commands(machine.start_token, epoch);
            tracing::info!(
                machine = %machine.name, fencing_token = machine.fencing_token,
                "machine has lost tasks within its agent epoch"
            );
        }
    }

    /// Requeues the tasks bound to the machine that its heartbeat doesn't list, if
    /// `starts_resolved`: otherwise a start order, or a copy of it, may still arrive.
    fn requeue_missing_tasks(
        &mut self,
        index: MachineIndex,
        alive: &[TaskKey],
        starts_resolved: bool,
    ) {
        if !starts_resolved {
            return;
        }
        for key in self.missing_tasks(index, alive) {
            tracing::debug!(task = ?key, "task no longer reported by its machine");
            self.return_to_queue(key);
        }
    }

    /// Resolves the tasks that an earlier leader may have started on this machine.
    fn resolve_unproven_tasks(&mut self, index: MachineIndex, alive: &[TaskKey]) {
        let Some(machine) = self.machines.get_mut(index) else { return };
        // A listed task is alive on this machine, even if an older heartbeat has placed the task
        // on another machine. In that case the task stays unproven on this machine until the
        // heartbeats no longer list it.
        let (listed, not_running): (Vec<_>, Vec<_>) = std::mem::take(&mut machine.unproven)
            .into_iter()
            .partition(|key| alive.binary_search(key).is_ok());
        let (placed_here, placed_elsewhere): (Vec<_>, Vec<_>) =
            listed.into_iter().partition(|key| machine.tasks.contains_key(key));
        machine.unproven = placed_elsewhere;
        self.record_not_running(index, not_running);
        // The heartbeat confirms the tasks bound to this machine: their probes on it are resolved.
        for key in placed_here {
            let Some(task) = self.jobs.task_mut(key) else { continue };
            for probe in task.probes.iter_mut().filter(|probe| probe.machine == index) {
                probe.unproven = false;
            }
        }
    }

    /// Applies one task of a heartbeat. Returns the task's key if it is alive on the machine.
    fn apply_reported_task(
        &mut self,
        index: MachineIndex,
        reported: &HeartbeatTask,
    ) -> Option<TaskKey> {
        let (job_id, number) = parse_task(&reported.task)?;
        let key = TaskKey { job: self.jobs.find(job_id)?, task: number };
        let state = self.jobs.get(key.job)?.task(number)?.state;
        if reported.status == TaskStatus::Exited {
            self.apply_exited_task(index, key, state, reported);
            return None;
        }
        if reported.status != TaskStatus::Fetching {
            let image = self.jobs.get(key.job)?.image;
            if let Some(machine) = self.machines.get_mut(index) {
                machine.images.insert(image);
            }
        }
        self.apply_live_task(index, key, state, reported);
        Some(key)
    }

    /// Handles a task that has exited on the machine. Only the exit of the attempt that this
    /// leader tracks on this machine changes the task's state, except that a completed task is
    /// complete regardless of the attempt.
    fn apply_exited_task(
        &mut self,
        index: MachineIndex,
        key: TaskKey,
        state: TaskState,
        reported: &HeartbeatTask,
    ) {
        let own_attempt = state.machine_and_attempt() == Some((index, reported.attempt));
        match reported.cause {
            Some(ExitCause::Done) => {
                self.clear_machine_failures(index);
                match self.jobs.get(key.job).map(|job| job.spec.kind) {
                    Some(JobKind::Gang) => self.mark_gang_done(key.job),
                    _ => self.mark_task_done(key),
                }
            }
            _ if !own_attempt => {}
            Some(ExitCause::Error) => {
                self.task_failed(index, key);
                self.return_to_queue(key);
            }
            // This leader did not stop the task. Another controller stops a task only if it knows
            // that the job has ended, so the job's record is read before any further start.
            Some(ExitCause::Stopped) if !matches!(state, TaskState::Stopping { .. }) => {
                self.require_reread_before_starts(key.job);
                self.return_to_queue(key);
            }
            Some(ExitCause::InsufficientResources) => {
                self.pause_starts(index, reported);
                self.return_to_queue(key);
            }
            Some(ExitCause::Unknown) => {
                self.back_off(key);
                self.return_to_queue(key);
            }
            _ => self.return_to_queue(key),
        }
    }

    /// Pauses starts to the machine for one heartbeat interval, after the machine refused a start
    /// for lack of resources.
    fn pause_starts(&mut self, index: MachineIndex, reported: &HeartbeatTask) {
        let interval_ms = self.context.config.heartbeat_interval_ms();
        let until_ms = self.context.now.steady_ms + interval_ms;
        let Some(machine) = self.machines.get_mut(index) else { return };
        machine.pause_starts(until_ms);
        tracing::info!(
            machine = %machine.name, task = %reported.task,
            "start refused: insufficient resources"
        );
    }

    /// Handles a task that the heartbeat lists as alive on the machine.
    fn apply_live_task(
        &mut self,
        index: MachineIndex,
        key: TaskKey,
        state: TaskState,
        reported: &HeartbeatTask,
    ) {
        let now_ms = self.context.now.steady_ms;
        let (attempt, status) = (reported.attempt, reported.status);
        let running_since = |since_ms| TaskState::On { machine: index, attempt, status, since_ms };
        match state {
            TaskState::Starting { .. } if state.machine_and_attempt() == Some((index, attempt)) => {
                self.set_task_state(key, running_since(now_ms));
                self.record_task_start(key);
            }
            TaskState::On { status: old_status, since_ms, .. }
                if state.machine_and_attempt() == Some((index, attempt)) =>
            {
                let since_ms = if old_status == status { since_ms } else { now_ms };
                if status == TaskStatus::Running {
                    self.mark_steady_service_healthy(key, since_ms);
                }
                self.set_task_state(key, running_since(since_ms));
            }
            // A task that is reported alive runs on this machine and must not be started
            // elsewhere.
            TaskState::Unproven | TaskState::Waiting | TaskState::Unplaced => {
                self.set_task_state(key, running_since(now_ms));
            }
            _ => {}
        }
    }

    /// Marks a service's job as running well once one of its tasks has run for
    /// [`STEADY_AFTER_INTERVALS`]. Tasks of services never complete, so completion can't prove
    /// that the job runs well.
    fn mark_steady_service_healthy(&mut self, key: TaskKey, running_since_ms: u64) {
        let steady_ms = STEADY_AFTER_INTERVALS * self.context.config.heartbeat_interval_ms();
        let steady = self.context.now.steady_ms >= running_since_ms + steady_ms;
        let service = self.jobs.get(key.job).is_some_and(|job| job.spec.kind == JobKind::Service);
        if steady && service {
            self.set_job_health(key.job, JobHealth::RunsWell);
        }
    }
}
