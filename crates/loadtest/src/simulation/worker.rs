//! A worker of a simulation: its tasks, its images and when it sends heartbeats.

use std::collections::BTreeMap;

use quartzgate_wire::msg::{ExitCause, Heartbeat, HeartbeatTask, JobKind, JobSpec, TaskStatus};

/// The only type of machine.
pub const MACHINE_TYPE: &str = "m16";
/// The zones that machines are spread over in turn.
pub const ZONES: [&str; 2] = ["a", "b"];

/// Every so manieth machine is a spot machine.
const SPOT_INTERVAL: u32 = 4;
/// Time to start a task whose image is on the machine.
const CACHED_START_MS: u64 = 5;
/// Time to fetch a gigabyte of an image.
const FETCH_MS_PER_GB: f64 = 1000.0;
/// The least time between two heartbeats that are sent because something changed.
const MIN_HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Machines in each block of addresses.
const ADDRESSES_PER_SUBNET: u32 = 250;

/// A task on a machine.
struct LocalTask {
    attempt: u64,
    status: TaskStatus,
    cause: Option<ExitCause>,
    /// When the status changes next by itself.
    next_change_ms: u64,
}

/// What came of letting a worker's tasks go on.
pub struct TaskProgress {
    /// When tasks change next.
    pub wake_at_ms: Vec<u64>,
    /// Tasks that ran to completion.
    pub completed: u64,
}

/// A machine with its agent.
pub struct Worker {
    /// The last heartbeat without its tasks: who the worker is, and its counters.
    heartbeat: Heartbeat,
    tasks: BTreeMap<String, LocalTask>,
    images: Vec<String>,
    heartbeat_sent_ms: u64,
    heartbeat_due_ms: u64,
    awaiting_answer: bool,
}

impl Worker {
    /// The worker of this number, without tasks or images.
    pub fn new(index: u32) -> Self {
        let heartbeat = Heartbeat {
            machine: format!("vm-{index:06}"),
            addr: address(index),
            kind: MACHINE_TYPE.into(),
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

    /// Name of the machine.
    pub fn machine(&self) -> &str {
        &self.heartbeat.machine
    }

    /// Who the worker is: machine, address, type and zone.
    pub fn identity(&self) -> &Heartbeat {
        &self.heartbeat
    }

    /// The next heartbeat, with the status of all tasks.
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

    /// Plans a heartbeat, unless one is due before. Whether it was planned.
    pub fn plan_heartbeat(&mut self, now_ms: u64, at_ms: u64) -> bool {
        let earlier = self.heartbeat_due_ms <= now_ms || at_ms < self.heartbeat_due_ms;
        if earlier {
            self.heartbeat_due_ms = at_ms;
        }
        earlier
    }

    /// When a change of a task may be sent.
    pub fn next_change_heartbeat_ms(&self, now_ms: u64) -> u64 {
        now_ms.max(self.heartbeat_sent_ms + MIN_HEARTBEAT_INTERVAL_MS)
    }

    /// Whether a planned heartbeat is to be sent now. One that was brought forward leaves its
    /// later event behind, and no heartbeat is sent before the last one was answered.
    pub fn is_heartbeat_due(&self, now_ms: u64) -> bool {
        self.heartbeat_due_ms == now_ms && !self.awaiting_answer
    }

    /// A heartbeat is sent now.
    pub fn note_heartbeat_sent(&mut self, now_ms: u64) {
        self.heartbeat_sent_ms = now_ms;
        self.awaiting_answer = true;
    }

    /// The last heartbeat was answered, or nobody is left to answer it.
    pub fn note_heartbeat_settled(&mut self) {
        self.awaiting_answer = false;
    }

    /// Forgets the heartbeat that was planned.
    pub fn cancel_planned_heartbeat(&mut self) {
        self.heartbeat_due_ms = 0;
    }

    /// Starts a task by fetching its image; returns how long that takes.
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

    /// Stops a task; whether there was one.
    pub fn stop_task(&mut self, task: &str) -> bool {
        let Some(local) = self.tasks.get_mut(task) else { return false };
        local.status = TaskStatus::Exited;
        local.cause = Some(ExitCause::Stopped);
        true
    }

    /// Removes a task from the heartbeats.
    pub fn forget_task(&mut self, task: &str) {
        self.tasks.remove(task);
    }

    /// Lets the tasks go on: a fetched image starts its task, a task that has run for as long as
    /// its job says completes.
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

/// Name of the job that a task belongs to.
pub fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}

/// When a task that starts now completes; a service never does.
fn completion_ms(job: &JobSpec, now_ms: u64) -> u64 {
    match job.shape {
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
