//! Reconciliation: what a machine's newest heartbeat proves about tasks.
//!
//! A task that the heartbeat lists as alive runs there. One that it doesn't list runs there no
//! more, provided that no command of ours is on its way and that the machine acknowledges our
//! fencing token. An exited task counts by its cause.

use quartzgate_wire::msg::{ExitCause, HeartbeatTask, JobKind, TaskStatus};

use super::fault_attribution::JobHealth;
use super::machine::MachineState;
use crate::controller::Controller;
use crate::ids::{parse_task, scoped_to_epoch, MachineIndex, TaskKey};
use crate::jobs::TaskState;

/// Heartbeat intervals after which a service's task that still runs counts as having run well.
const STEADY_AFTER_INTERVALS: u64 = 4;

impl Controller {
    /// Draws the conclusions from a machine's newest heartbeat.
    pub(crate) fn reconcile_machine(&mut self, index: MachineIndex) {
        let first_token = scoped_to_epoch(self.epoch(), 0);
        let Some(machine) = self.machines.get_mut(index) else { return };
        if !machine.has_been_heard() || machine.state == MachineState::Terminated {
            return;
        }
        let new_agent_epoch = std::mem::take(&mut machine.new_agent_epoch);
        let knows_epoch = machine.acknowledged_token >= first_token;
        let knows_token = machine.acknowledged_token >= machine.fencing_token;
        let no_start_under_way = knows_token && !machine.command_in_flight;
        let reported = machine.reported_tasks.clone();
        let alive = self.apply_reported_tasks(index, &reported);
        self.requeue_missing_tasks(index, &alive, no_start_under_way || new_agent_epoch);
        if knows_epoch {
            self.resolve_unproven_tasks(index, &alive);
            self.set_machine_state(index, MachineState::Ready);
        } else {
            self.set_machine_state(index, MachineState::Registering);
            self.machines_to_command.insert(index);
        }
        let one_way_unreachable = |index| {
            self.machines.get(index).is_some_and(|m| m.reachability.is_one_way_unreachable())
        };
        if !knows_token || one_way_unreachable(index) {
            self.machines_to_command.insert(index);
        }
        self.machines_to_dispatch.insert(index);
    }

    /// Applies the exited tasks first, then the others. Returns those alive here, sorted.
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

    /// Tasks placed on the machine that it doesn't list are not there. Those that were being
    /// started may still arrive, unless `starts_settled`.
    fn requeue_missing_tasks(
        &mut self,
        index: MachineIndex,
        alive: &[TaskKey],
        starts_settled: bool,
    ) {
        let Some(machine) = self.machines.get_mut(index) else { return };
        let unsent: Vec<TaskKey> = machine.pending_starts.iter().map(|(key, _)| *key).collect();
        let is_missing = |key: &TaskKey| alive.binary_search(key).is_err() && !unsent.contains(key);
        let missing: Vec<TaskKey> =
            machine.tasks.keys().filter(|key| is_missing(key)).copied().collect();
        for key in missing {
            let state = self.jobs.task(key).map(|task| task.state);
            let starting = matches!(state, Some(TaskState::Starting { .. }));
            if !starting || starts_settled {
                tracing::debug!(task = ?key, "task no longer reported by its machine");
                self.return_to_queue(key);
            }
        }
    }

    /// Resolves the tasks that an earlier leader may have started on this machine.
    fn resolve_unproven_tasks(&mut self, index: MachineIndex, alive: &[TaskKey]) {
        let Some(machine) = self.machines.get_mut(index) else { return };
        // A task that is listed is alive here, even if an older heartbeat has placed it on
        // another machine: in that case it stays unproven until it is no longer listed.
        let (listed, gone): (Vec<_>, Vec<_>) = std::mem::take(&mut machine.unproven)
            .into_iter()
            .partition(|key| alive.binary_search(key).is_ok());
        let (placed_here, placed_elsewhere): (Vec<_>, Vec<_>) =
            listed.into_iter().partition(|key| machine.tasks.contains_key(key));
        machine.unproven = placed_elsewhere;
        self.prove_not_running(index, gone);
        // Those placed here are no longer in doubt.
        for key in placed_here {
            let Some(task) = self.jobs.task_mut(key) else { continue };
            for probe in task.probes.iter_mut().filter(|probe| probe.machine == index) {
                probe.unproven = false;
            }
        }
    }

    /// Applies one task of a heartbeat. Returns its key if it is alive on the machine.
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

    /// A task has ended on the machine. Only the end of our own attempt changes its state,
    /// except that a completed task is complete whoever started it.
    fn apply_exited_task(
        &mut self,
        index: MachineIndex,
        key: TaskKey,
        state: TaskState,
        reported: &HeartbeatTask,
    ) {
        let own_attempt = state.machine() == Some((index, reported.attempt));
        match reported.cause {
            Some(ExitCause::Done) => {
                self.clear_machine_failures(index);
                match self.jobs.get(key.job).map(|job| job.spec.shape) {
                    Some(JobKind::Gang) => self.gang_done(key.job),
                    _ => self.task_done(key),
                }
            }
            _ if !own_attempt => {}
            Some(ExitCause::Error) => {
                self.task_failed(index, key);
                self.return_to_queue(key);
            }
            // Not by our command: whoever else stopped it knows that its job has ended.
            Some(ExitCause::Stopped) if !matches!(state, TaskState::Stopping { .. }) => {
                self.read_before_starts(key.job);
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

    /// The machine refused a start for lack of resources: no other is sent for one interval.
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

    /// A task is alive on the machine.
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
            TaskState::Starting { .. } if state.machine() == Some((index, attempt)) => {
                self.set_task_state(key, running_since(now_ms));
                self.note_start(key);
            }
            TaskState::On { status: old_status, since_ms, .. }
                if state.machine() == Some((index, attempt)) =>
            {
                let since_ms = if old_status == status { since_ms } else { now_ms };
                if status == TaskStatus::Running {
                    self.prove_steady_service(key, since_ms);
                }
                self.set_task_state(key, running_since(since_ms));
            }
            // A task that is seen alive runs there, and may be started nowhere else.
            TaskState::Unproven | TaskState::Waiting | TaskState::Unplaced => {
                self.set_task_state(key, running_since(now_ms));
            }
            _ => {}
        }
    }

    /// A service's task never completes; one that has run for a while runs well.
    fn prove_steady_service(&mut self, key: TaskKey, running_since_ms: u64) {
        let steady_ms = STEADY_AFTER_INTERVALS * self.context.config.heartbeat_interval_ms();
        let steady = self.context.now.steady_ms >= running_since_ms + steady_ms;
        let service = self.jobs.get(key.job).is_some_and(|job| job.spec.shape == JobKind::Service);
        if steady && service {
            self.set_job_health(key.job, JobHealth::Proven);
        }
    }
}
