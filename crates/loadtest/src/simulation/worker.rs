//! A simulated worker: its tasks, its cached images and the times of its heartbeats.

use std::collections::BTreeMap;

use quartzgate_wire::msg::{ExitCause, Heartbeat, HeartbeatTask, JobKind, JobSpec, TaskStatus};

/// Name of the only machine type.
pub const MACHINE_TYPE: &str = "m16";
/// Zones over which machines are distributed in turn.
pub const ZONES: [&str; 2] = ["a", "b"];

/// One in this many machines is a spot machine.
const SPOT_INTERVAL: u32 = 4;
/// Time to start a task whose image is already on the machine.
const CACHED_START_MS: u64 = 5;
/// Time to fetch a gigabyte of an image.
const FETCH_MS_PER_GB: f64 = 1000.0;
/// Shortest time from a heartbeat to one that is sent because a task changed.
const MIN_HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Number of machines in each subnet of addresses, and of subnets in each network.
const ADDRESSES_PER_SUBNET: u32 = 250;

/// A task on a machine.
struct LocalTask {
    attempt: u64,
    status: TaskStatus,
    cause: Option<ExitCause>,
    /// Time at which the status next changes without a command.
    next_change_ms: u64,
}

/// Result of advancing a worker's tasks to the present.
pub struct TaskProgress {
    /// Times at which tasks change next.
    pub wake_at_ms: Vec<u64>,
    /// Number of tasks that ran to completion.
    pub completed: u64,
}

/// A machine and the agent that runs on it.
pub struct Worker {
    /// The last heartbeat without its tasks: the worker's identity and its counters.
    heartbeat: Heartbeat,
    tasks: BTreeMap<String, LocalTask>,
    images: Vec<String>,
    heartbeat_sent_ms: u64,
    heartbeat_due_ms: u64,
    awaiting_answer: bool,
}

impl Worker {
    /// Creates the worker with this index, without tasks or images.
    pub fn new(index: u32) -> Self {
        let heartbeat = Heartbeat {
            machine: format!("vm-{index:06}"),
            addr: address(index),
            machine_type: MACHINE_TYPE.into(),
            zone: ZONES[index as usize % ZONES.len()].into(),
            spot: index % SPOT_INTERVAL == SPOT_INTERVAL - 1,
            agent_epoch: 1,
            seq: 0,
            fencing_token: 0,
            interruption_notice_s: None,
            tasks: Vec::new(),
        };
        Worker {
            heartbeat,
            tasks: BTreeMap::new(),
            images: Vec::new(),
            heartbeat_sent_ms: 0,
            heartbeat_due_ms: 0,
            awaiting_answer: false,
        }
    }

    /// Name of the machine, unique in the fleet.
    pub fn machine(&self) -> &str {
        &self.heartbeat.machine
    }

    /// The worker's last heartbeat without tasks, for its machine, address, type and zone.
    pub fn identity(&self) -> &Heartbeat {
        &self.heartbeat
    }

    /// Creates the next heartbeat, with the status of all tasks.
    pub fn next_heartbeat(&mut self) -> Heartbeat {
        self.heartbeat.seq += 1;
        let tasks = self.tasks.iter().map(|(task, local)| HeartbeatTask {
            task: task.clone(),
            attempt: local.attempt,
            status: local.status,
            cause: local.cause,
            checkpointed: None,
        });
        Heartbeat { tasks: tasks.collect(), ..self.heartbeat.clone() }
    }

    /// Keeps the highest fencing token that the worker has seen.
    pub fn observe_fencing_token(&mut self, fencing_token: u64) {
        self.heartbeat.fencing_token = self.heartbeat.fencing_token.max(fencing_token);
    }

    /// Plans a heartbeat and returns true, unless an earlier one is already planned.
    pub fn plan_heartbeat(&mut self, now_ms: u64, at_ms: u64) -> bool {
        let earlier = self.heartbeat_due_ms <= now_ms || at_ms < self.heartbeat_due_ms;
        if earlier {
            self.heartbeat_due_ms = at_ms;
        }
        earlier
    }

    /// Returns the earliest time at which a heartbeat may report a changed task.
    pub fn earliest_heartbeat_ms(&self, now_ms: u64) -> u64 {
        now_ms.max(self.heartbeat_sent_ms + MIN_HEARTBEAT_INTERVAL_MS)
    }

    /// Returns whether a heartbeat is to be sent now. Bringing a heartbeat forward leaves the event
    /// of the later time in the queue, which must not send one; and no heartbeat is sent until the
    /// last one was answered.
    pub fn is_heartbeat_due(&self, now_ms: u64) -> bool {
        self.heartbeat_due_ms == now_ms && !self.awaiting_answer
    }

    /// Records that a heartbeat is sent now and awaits an answer.
    pub fn note_heartbeat_sent(&mut self, now_ms: u64) {
        self.heartbeat_sent_ms = now_ms;
        self.awaiting_answer = true;
    }

    /// Records that no answer is outstanding: the last heartbeat was answered, or the leader that
    /// was to answer it has crashed.
    pub fn clear_awaiting_answer(&mut self) {
        self.awaiting_answer = false;
    }

    /// Cancels the planned heartbeat.
    pub fn cancel_planned_heartbeat(&mut self) {
        self.heartbeat_due_ms = 0;
    }

    /// Starts a task by fetching its image; returns the milliseconds until the task runs.
    pub fn start_task(&mut self, task: String, attempt: u64, job: &JobSpec, now_ms: u64) -> u64 {
        let fetch_ms = self.fetch_image(job);
        let local = LocalTask {
            attempt,
            status: TaskStatus::Fetching,
            cause: None,
            next_change_ms: now_ms + fetch_ms,
        };
        self.tasks.insert(task, local);
        fetch_ms
    }

    fn fetch_image(&mut self, job: &JobSpec) -> u64 {
        if self.images.contains(&job.image) {
            return CACHED_START_MS;
        }
        self.images.push(job.image.clone());
        (job.image_gb * FETCH_MS_PER_GB) as u64
    }

    /// Stops a task; returns false if the worker does not have it.
    pub fn stop_task(&mut self, task: &str) -> bool {
        let Some(local) = self.tasks.get_mut(task) else { return false };
        local.status = TaskStatus::Exited;
        local.cause = Some(ExitCause::Stopped);
        true
    }

    /// Removes a task, which later heartbeats no longer report.
    pub fn forget_task(&mut self, task: &str) {
        self.tasks.remove(task);
    }

    /// Advances the tasks to the present: a task whose image has been fetched starts to run, and a
    /// task that has run for its job's estimated run time completes.
    pub fn advance_tasks<'a>(
        &mut self,
        now_ms: u64,
        find_job: impl Fn(&str) -> Option<&'a JobSpec>,
    ) -> TaskProgress {
        let mut progress = TaskProgress { wake_at_ms: Vec::new(), completed: 0 };
        let due = self.tasks.iter_mut().filter(|(_, local)| local.next_change_ms <= now_ms);
        for (task, local) in due {
            match (local.status, find_job(job_of(task))) {
                (TaskStatus::Fetching, Some(job)) => {
                    local.status = TaskStatus::Running;
                    local.next_change_ms = completion_ms(job, now_ms);
                    if local.next_change_ms < u64::MAX {
                        progress.wake_at_ms.push(local.next_change_ms);
                    }
                }
                (TaskStatus::Running, _) => {
                    local.status = TaskStatus::Exited;
                    local.cause = Some(ExitCause::Done);
                    progress.completed += 1;
                }
                _ => {}
            }
        }
        progress
    }
}

/// Returns the id of the job that a task belongs to.
pub fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}

/// Returns the time at which a task that starts now completes; a service never completes.
fn completion_ms(job: &JobSpec, now_ms: u64) -> u64 {
    match job.kind {
        JobKind::Service => u64::MAX,
        _ => now_ms + (job.estimate_s * 1000.0) as u64,
    }
}

fn address(index: u32) -> String {
    let host = index % ADDRESSES_PER_SUBNET + 1;
    let subnet = index / ADDRESSES_PER_SUBNET;
    let (network, subnet) = (2 + subnet / ADDRESSES_PER_SUBNET, subnet % ADDRESSES_PER_SUBNET);
    format!("10.{network}.{subnet}.{host}:9000")
}
