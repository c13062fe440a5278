//! The machines of a run, with their tasks and the orders that their agents execute.
//!
//! Every start, removal and completion of a task is recorded in the history.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use quartzgate_wire::msg::{ExitCause, Heartbeat, HeartbeatTask, JobKind, Order, TaskStatus};

use crate::checks::{job_of, AttemptStart};
use crate::cloud::{MACHINE_CPUS, MACHINE_TYPE};
use crate::schedule::FaultKind;
use crate::settings::LEASE_MS;
use crate::world::World;

/// A task attempt on a machine, kept after its exit until the controller orders to forget it.
struct HeldTask {
    attempt: u64,
    status: TaskStatus,
    cause: Option<ExitCause>,
    cpus: f64,
    end_ms: u64,
}

impl HeldTask {
    fn is_live(&self) -> bool {
        self.status != TaskStatus::Exited
    }
}

/// Properties of a machine that never change.
pub struct MachineIdentity {
    pub name: String,
    /// Address at which the agent takes requests of controllers.
    pub addr: SocketAddr,
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// A machine and the state of its agent.
pub struct Machine {
    pub name: String,
    /// Address at which the agent takes requests of controllers.
    pub addr: SocketAddr,
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// When the machine was provisioned.
    pub provisioned_ms: u64,
    /// When the machine has booted.
    pub up_ms: u64,
    /// Incarnation of the agent; raised when the machine's lease expires.
    pub agent_epoch: u64,
    seq: u64,
    /// Highest fencing token that the agent has received.
    pub fencing_token: u64,
    /// The controller to which the agent sends its heartbeats.
    pub controller: usize,
    /// When the machine's lease began: when the heartbeat that was answered last was sent. Before
    /// the first answer it is when the machine has booted, and after an expiry when the lease
    /// expired.
    pub lease_start_ms: u64,
    tasks: BTreeMap<String, HeldTask>,
    /// Whether something changed since the last heartbeat.
    pub has_unreported_changes: bool,
}

impl Machine {
    /// Creates a machine without tasks that has booted at `up_ms`, and whose agent sends its first
    /// heartbeat to `controller`.
    pub fn new(identity: MachineIdentity, now_ms: u64, up_ms: u64, controller: usize) -> Self {
        let MachineIdentity { name, addr, zone, spot } = identity;
        Machine {
            name,
            addr,
            zone,
            spot,
            provisioned_ms: now_ms,
            up_ms,
            agent_epoch: 1,
            seq: 0,
            fencing_token: 0,
            controller,
            lease_start_ms: up_ms,
            tasks: BTreeMap::new(),
            has_unreported_changes: false,
        }
    }

    /// Returns the number of CPUs that no live task uses.
    pub fn free_cpus(&self) -> f64 {
        let used: f64 =
            self.tasks.values().filter(|task| task.is_live()).map(|task| task.cpus).sum();
        MACHINE_CPUS - used
    }

    /// Returns the next heartbeat, which lists all tasks, and advances the sequence number.
    pub fn next_heartbeat(&mut self) -> Heartbeat {
        self.seq += 1;
        let tasks = self.tasks.iter().map(|(task, held)| HeartbeatTask {
            task: task.clone(),
            attempt: held.attempt,
            status: held.status,
            cause: held.cause,
            checkpointed: None,
        });
        Heartbeat {
            machine: self.name.clone(),
            addr: self.addr.to_string(),
            machine_type: MACHINE_TYPE.into(),
            zone: self.zone.clone(),
            spot: self.spot,
            agent_epoch: self.agent_epoch,
            seq: self.seq,
            fencing_token: self.fencing_token,
            interruption_notice_s: None,
            tasks: tasks.collect(),
        }
    }

    /// Stores a received fencing token if it is the highest so far.
    pub fn observe_token(&mut self, token: u64) {
        if token > self.fencing_token {
            self.fencing_token = token;
            self.has_unreported_changes = true;
        }
    }
}

impl World {
    /// Removes a machine with all its tasks.
    pub fn remove_machine(&mut self, name: &str) {
        let Some(machine) = self.machines.remove(name) else { return };
        machine.tasks.keys().for_each(|task| self.history.on_task_removed(name, task));
    }

    /// Returns whether a fault makes the machine hang now.
    pub fn is_hung(&self, machine: &str) -> bool {
        self.fault_affects_machine(machine, |kind| matches!(kind, FaultKind::HungWorkers { .. }))
    }

    /// Drops a machine's tasks and starts a new agent epoch if its lease has expired. A hung
    /// machine drops them too, so that it never resumes tasks after its lease.
    pub fn expire_machine_lease(&mut self, name: &str) {
        let now_ms = self.now_ms();
        let Some(machine) = self.machines.get_mut(name) else { return };
        if now_ms > machine.lease_start_ms + LEASE_MS {
            machine.agent_epoch += 1;
            machine.seq = 0;
            machine.lease_start_ms = now_ms;
            machine.has_unreported_changes = true;
            let tasks = std::mem::take(&mut machine.tasks);
            tasks.keys().for_each(|task| self.history.on_task_removed(name, task));
        }
    }

    /// Completes the machine's tasks whose run time has elapsed.
    pub fn complete_due_tasks(&mut self, name: &str) {
        let now_ms = self.now_ms();
        let Some(machine) = self.machines.get_mut(name) else { return };
        let ending =
            machine.tasks.iter_mut().filter(|(_, task)| task.is_live() && now_ms >= task.end_ms);
        for (task, held) in ending {
            held.status = TaskStatus::Exited;
            held.cause = Some(ExitCause::Done);
            machine.has_unreported_changes = true;
            self.history.on_task_completed(name, task);
        }
    }

    /// Executes orders on a machine that its agent received at `received_ms`.
    pub fn execute(&mut self, name: &str, orders: Vec<Order>, received_ms: u64) {
        for order in orders {
            match order {
                Order::Start { task, attempt } => self.start_task(name, task, attempt, received_ms),
                Order::Stop { task, attempt, .. } => self.stop_task(name, &task, attempt),
                Order::Forget { task, attempt } => self.forget_task(name, &task, attempt),
            }
        }
    }

    fn start_task(&mut self, name: &str, task: String, attempt: u64, received_ms: u64) {
        let now_ms = self.now_ms();
        let job = self.history.jobs.get(job_of(&task));
        let Some((spec, is_completed)) =
            job.map(|job| (job.spec.clone(), job.completed.contains(&task)))
        else {
            return self.history.record_violation(
                now_ms,
                format!("{task} is started but belongs to no submitted job"),
            );
        };
        let Some(machine) = self.machines.get_mut(name) else { return };
        let refused = match machine.tasks.get(&task) {
            Some(held) if held.attempt == attempt => return,
            Some(held) if held.is_live() => Some(ExitCause::Busy),
            _ if machine.free_cpus() < spec.cpus => Some(ExitCause::InsufficientResources),
            _ => None,
        };
        machine.has_unreported_changes = true;
        if let Some(cause) = refused {
            // An attempt refused as busy is not stored: the live attempt keeps its entry.
            if cause == ExitCause::InsufficientResources {
                machine.tasks.insert(task, exited_task(attempt, spec.cpus, cause));
            }
            return;
        }
        let agent_epoch = machine.agent_epoch;
        let start =
            AttemptStart { machine: name.to_string(), agent_epoch, task: task.clone(), attempt };
        self.history.on_attempt_started(now_ms, start);
        if !self.may_be_held_on_its_way(received_ms) {
            self.history.on_start_received(received_ms, &task);
        }
        let Some(machine) = self.machines.get_mut(name) else { return };
        if is_completed {
            machine.tasks.insert(task, exited_task(attempt, spec.cpus, ExitCause::Done));
            return;
        }
        let end_ms = match spec.kind {
            JobKind::Service => u64::MAX,
            _ => now_ms + (spec.estimate_s * 1e3) as u64,
        };
        let (status, cpus) = (TaskStatus::Running, spec.cpus);
        let held = HeldTask { attempt, status, cause: None, cpus, end_ms };
        machine.tasks.insert(task.clone(), held);
        self.history.on_task_started(now_ms, name, &task);
    }

    fn stop_task(&mut self, name: &str, task: &str, attempt: u64) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let held = machine.tasks.get_mut(task);
        if let Some(held) = held.filter(|held| held.attempt == attempt && held.is_live()) {
            held.status = TaskStatus::Exited;
            held.cause = Some(ExitCause::Stopped);
            machine.has_unreported_changes = true;
            self.history.on_task_removed(name, task);
        }
    }

    fn forget_task(&mut self, name: &str, task: &str, attempt: u64) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let held = machine.tasks.get(task);
        if held.is_some_and(|held| held.attempt == attempt && !held.is_live()) {
            machine.tasks.remove(task);
        }
    }
}

fn exited_task(attempt: u64, cpus: f64, cause: ExitCause) -> HeldTask {
    HeldTask { attempt, status: TaskStatus::Exited, cause: Some(cause), cpus, end_ms: 0 }
}
