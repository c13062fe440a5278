//! Changes of a machine's state, and their effects on its tasks.
//!
//! Invariant: a task returns to the queue only when it is proven that it runs nowhere. The expiry
//! of a machine's lease, or its termination, proves this for all tasks bound to the machine.

use super::machine::{Machine, MachineState};
use crate::controller::Controller;
use crate::ids::{scoped_to_epoch, MachineIndex, TaskKey};
use crate::jobs::TaskState;

impl Controller {
    /// Returns the index of the machine with this name. A machine that is not known yet is added.
    pub(crate) fn find_or_add_machine(&mut self, name: &str) -> MachineIndex {
        if let Some(index) = self.machines.find(name) {
            return index;
        }
        let first_token = scoped_to_epoch(self.epoch(), 0);
        self.machines.insert(Machine::new(name, first_token, self.context.now.steady_ms))
    }

    /// Changes a machine's state. No other function does so.
    pub(super) fn set_machine_state(&mut self, index: MachineIndex, state: MachineState) {
        let Some(machine) = self.machines.get_mut(index) else { return };
        // A release ends only when the cloud has confirmed it.
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

    /// Requeues the tasks of a machine on which nothing can run any more.
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
        self.record_not_running(index, lost.unproven);
        self.clear_probe_queue(index);
        self.supply_changed = true;
    }

    /// Records that these tasks can't run on the machine any more. An unproven task returns to the
    /// queue once it is proven that it runs on no other machine.
    pub(super) fn record_not_running(&mut self, index: MachineIndex, keys: Vec<TaskKey>) {
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

    /// Clears the queue of a machine that takes no more work. The tasks in it need new probes.
    pub(super) fn clear_probe_queue(&mut self, index: MachineIndex) {
        let Some(machine) = self.machines.get_mut(index) else { return };
        let queue = std::mem::take(&mut machine.probe_queue);
        if !queue.is_empty() {
            self.reprobe_due = true;
        }
    }
}
