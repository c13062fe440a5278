//! The machines of a run: what they hold, and what their agents carry out.
//!
//! Every start, exit and completion goes into the history.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use quartzgate_wire::msg::{ExitCause, Heartbeat, HeartbeatTask, JobKind, Order, TaskStatus};

use crate::checks::job_of;
use crate::cloud::{MACHINE_CPUS, MACHINE_TYPE};
use crate::schedule::FaultKind;
use crate::settings::LEASE_MS;
use crate::world::World;

/// A task as its machine holds it.
struct HeldTask {
    attempt: u64,
    status: TaskStatus,
    cause: Option<ExitCause>,
    cpus: f64,
    ends_ms: u64,
}

impl HeldTask {
    fn is_live(&self) -> bool {
        self.status != TaskStatus::Exited
    }
}

/// Who a machine is.
pub struct MachineIdentity {
    /// Its name.
    pub name: String,
    /// Where its agent takes orders.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// It is a spot machine.
    pub spot: bool,
}

/// A machine with its agent.
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Where its agent takes orders.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// It is a spot machine.
    pub spot: bool,
    /// When it was provisioned.
    pub provisioned_ms: u64,
    /// When it is up.
    pub up_ms: u64,
    /// Incarnation of its agent.
    pub agent_epoch: u64,
    seq: u64,
    /// Highest fencing token that it has seen.
    pub fencing_token: u64,
    /// The controller that its heartbeats go to.
    pub controller: usize,
    /// When the heartbeat that was answered last was sent.
    pub lease_start_ms: u64,
    tasks: BTreeMap<String, HeldTask>,
    /// Something changed since its last heartbeat.
    pub has_news: bool,
}

impl Machine {
    /// A machine without tasks that is up at `up_ms`; its agent turns to `controller` first.
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
            has_news: false,
        }
    }

    /// CPUs that no task takes.
    pub fn free_cpus(&self) -> f64 {
        let used: f64 =
            self.tasks.values().filter(|task| task.is_live()).map(|task| task.cpus).sum();
        MACHINE_CPUS - used
    }

    /// The next heartbeat, with all tasks.
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
            kind: MACHINE_TYPE.into(),
            zone: self.zone.clone(),
            spot: self.spot,
            agent_epoch: self.agent_epoch,
            seq: self.seq,
            fencing_token: self.fencing_token,
            interruption_notice_s: None,
            tasks: tasks.collect(),
        }
    }

    /// Keeps the highest fencing token.
    pub fn observe_token(&mut self, token: u64) {
        if token > self.fencing_token {
            self.fencing_token = token;
            self.has_news = true;
        }
    }
}

impl World {
    /// A machine and everything on it are gone.
    pub fn remove_machine(&mut self, name: &str) {
        let Some(machine) = self.machines.remove(name) else { return };
        machine.tasks.keys().for_each(|task| self.history.on_task_removed(name, task));
    }

    /// Whether a machine hangs now.
    pub fn is_hung(&self, machine: &str) -> bool {
        self.hits_machine(machine, |kind| matches!(kind, FaultKind::HungWorkers { .. }))
    }

    /// Gives up a machine's tasks once its lease has expired, be it hung or not: it never goes on
    /// with them.
    pub fn expire_machine_lease(&mut self, name: &str) {
        let now_ms = self.now_ms();
        let Some(machine) = self.machines.get_mut(name) else { return };
        if now_ms > machine.lease_start_ms + LEASE_MS {
            machine.agent_epoch += 1;
            machine.seq = 0;
            machine.lease_start_ms = now_ms;
            machine.has_news = true;
            let tasks = std::mem::take(&mut machine.tasks);
            tasks.keys().for_each(|task| self.history.on_task_removed(name, task));
        }
    }

    /// Lets a machine's tasks end.
    pub fn end_tasks(&mut self, name: &str) {
        let now_ms = self.now_ms();
        let Some(machine) = self.machines.get_mut(name) else { return };
        let ending =
            machine.tasks.iter_mut().filter(|(_, task)| task.is_live() && now_ms >= task.ends_ms);
        for (task, held) in ending {
            held.status = TaskStatus::Exited;
            held.cause = Some(ExitCause::Done);
            machine.has_news = true;
            self.history.on_task_completed(name, task);
        }
    }

    /// Carries out orders on a machine.
    pub fn execute(&mut self, name: &str, orders: Vec<Order>) {
        for order in orders {
            match order {
                Order::Start { task, attempt } => self.start_task(name, task, attempt),
                Order::Stop { task, attempt, .. } => self.stop_task(name, &task, attempt),
                Order::Forget { task, attempt } => self.forget_task(name, &task, attempt),
            }
        }
    }

    fn start_task(&mut self, name: &str, task: String, attempt: u64) {
        let now_ms = self.now_ms();
        let job = self.history.jobs.get(job_of(&task));
        let Some((spec, is_completed)) =
            job.map(|job| (job.spec.clone(), job.completed.contains(&task)))
        else {
            return self.history.record_violation(now_ms, format!("{task} of no job is started"));
        };
        let Some(machine) = self.machines.get_mut(name) else { return };
        let refused = match machine.tasks.get(&task) {
            Some(held) if held.attempt == attempt => return,
            Some(held) if held.is_live() => Some(ExitCause::Busy),
            _ if machine.free_cpus() < spec.cpus => Some(ExitCause::InsufficientResources),
            _ => None,
        };
        machine.has_news = true;
        if let Some(cause) = refused {
            // The attempt that is live stays as it is.
            if cause == ExitCause::InsufficientResources {
                machine.tasks.insert(task, exited(attempt, spec.cpus, cause));
            }
            return;
        }
        if is_completed {
            machine.tasks.insert(task, exited(attempt, spec.cpus, ExitCause::Done));
            return;
        }
        let ends_ms = match spec.shape {
            JobKind::Service => u64::MAX,
            _ => now_ms + (spec.estimate_s * 1e3) as u64,
        };
        let (status, cpus) = (TaskStatus::Running, spec.cpus);
        let held = HeldTask { attempt, status, cause: None, cpus, ends_ms };
        machine.tasks.insert(task.clone(), held);
        self.history.on_task_started(now_ms, name, &task);
    }

    fn stop_task(&mut self, name: &str, task: &str, attempt: u64) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let held = machine.tasks.get_mut(task);
        if let Some(held) = held.filter(|held| held.attempt == attempt && held.is_live()) {
            held.status = TaskStatus::Exited;
            held.cause = Some(ExitCause::Stopped);
            machine.has_news = true;
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

fn exited(attempt: u64, cpus: f64, cause: ExitCause) -> HeldTask {
    HeldTask { attempt, status: TaskStatus::Exited, cause: Some(cause), cpus, ends_ms: 0 }
}
