//! Changes of a machine's state, and what follows from them.
//!
//! Invariant: a task returns to the queue only when it is proven that it runs nowhere. A
//! machine that is expired or terminated proves it for all that was placed on it.

use super::machine::{Machine, MachineState};
use crate::controller::Controller;
use crate::ids::{scoped_to_epoch, MachineIndex, TaskKey};
use crate::jobs::TaskState;

impl Controller {
    /// The index of the machine with this name, which is added if it is new.
    pub(crate) fn machine(&mut self, name: &str) -> MachineIndex {
        if let Some(index) = self.machines.find(name) {
            return index;
        }
        let first_token = scoped_to_epoch(self.epoch(), 0);
        self.machines.insert(Machine::new(name, first_token, self.context.now.steady_ms))
    }

    /// The one function that changes a machine's state.
    pub(super) fn set_machine_state(&mut self, index: MachineIndex, state: MachineState) {
        let Some(machine) = self.machines.get_mut(index) else { return };
        // A release is over only when the cloud has confirmed it.
        let releasing =
            machine.state == MachineState::Releasing && state != MachineState::Terminated;
        if machine.state == state || releasing || machine.state == MachineState::Terminated {
            return;
        }
        let old_state = std::mem::replace(&mut machine.state, state);
        match state {
            MachineState::Ready => {
                if matches!(old_state, MachineState::Provisioning | MachineState::Registering) {
                    tracing::debug!(machine = %machine.name, "machine ready");
                }
                self.machines_to_dispatch.insert(index);
                self.supply_changed = true;
            }
            MachineState::LeaseExpired | MachineState::Terminated => self.on_machine_lost(index),
            _ => {}
        }
    }

    /// Nothing that was on the machine can run there any more.
    pub(super) fn on_machine_lost(&mut self, index: MachineIndex) {
        let (epoch, now_ms) = (self.epoch(), self.context.now.steady_ms);
        let Some(machine) = self.machines.get_mut(index) else { return };
        let lost = machine.clear_tasks(epoch, now_ms);
        tracing::info!(
            machine = %machine.name, state = ?machine.state, tasks = lost.placed.len(),
            "machine lost: its tasks return to the queue"
        );
        for key in lost.placed {
            self.return_to_queue(key);
        }
        self.prove_not_running(index, lost.unproven);
        self.requeue_probes(index);
        self.supply_changed = true;
    }

    /// None of these tasks can be on the machine any more. Those that can be nowhere else
    /// either return to the queue.
    pub(super) fn prove_not_running(&mut self, index: MachineIndex, keys: Vec<TaskKey>) {
        for key in keys {
            let Some(task) = self.jobs.task_mut(key) else { continue };
            for probe in task.probes.iter_mut().filter(|probe| probe.machine == index) {
                probe.unproven = false;
            }
            let proven_everywhere = !task.probes.iter().any(|probe| probe.unproven);
            if task.state == TaskState::Unproven && proven_everywhere {
                self.return_to_queue(key);
            }
        }
    }

    /// The machine will start nothing more: the tasks in its queue need other probes.
    pub(super) fn requeue_probes(&mut self, index: MachineIndex) {
        let Some(machine) = self.machines.get_mut(index) else { return };
        let queue = std::mem::take(&mut machine.queue);
        if !queue.is_empty() {
            self.reprobe_due = true;
        }
    }
}
