//! Probes: the machines to which a task may be bound, and the queues of these machines.
//!
//! Invariant: a probe on a machine where an earlier leader may have started the task is kept until
//! the leader has proof that the task is not there.

use crate::controller::Controller;
use crate::ids::{JobIndex, MachineIndex, TaskKey};
use crate::jobs::{Probe, TaskState};
use crate::storage::records::TASKS_PER_CHUNK;

impl Controller {
    /// Replaces a task's probes by probes on these machines. Probes on machines where an earlier
    /// leader may have started the task are kept.
    pub(crate) fn set_probes(
        &mut self,
        key: TaskKey,
        machines: Vec<MachineIndex>,
        zone: Option<u16>,
    ) {
        let Some(job) = self.jobs.get_mut(key.job) else { return };
        let Some(chunk) = job.chunk_of(key.task) else { return };
        let version = chunk.version + 1;
        chunk.blocks_starts = true;
        let Some(task) = chunk.tasks.get_mut((key.task % TASKS_PER_CHUNK) as usize) else { return };
        let old = std::mem::take(&mut task.probes);
        task.zone = zone;
        let kept = old.iter().filter(|probe| probe.unproven && !machines.contains(&probe.machine));
        let mut probes: Vec<Probe> = Vec::with_capacity(machines.len());
        probes.extend(kept.copied());
        for machine in machines {
            let existing = old.iter().find(|probe| probe.machine == machine).copied();
            probes.push(existing.unwrap_or(Probe { machine, version, unproven: false }));
        }
        for dropped in old.iter().filter(|o| !probes.iter().any(|p| p.machine == o.machine)) {
            if let Some(machine) = self.machines.get_mut(dropped.machine) {
                machine.probe_queue.retain(|queued| *queued != key);
            }
        }
        task.probes = probes;
    }

    /// Adds a waiting task to the queues of its usable probed machines. If there is none, marks
    /// re-probing as due.
    pub(crate) fn enqueue(&mut self, key: TaskKey) {
        let Some(task) = self.jobs.task(key) else { return };
        let mut queued = false;
        for probe in &task.probes {
            let Some(machine) = self.machines.get_mut(probe.machine) else { continue };
            if !machine.usable() {
                continue;
            }
            queued = true;
            if !machine.probe_queue.contains(&key) {
                machine.probe_queue.push(key);
            }
            self.machines_to_dispatch.insert(probe.machine);
        }
        if !queued {
            self.reprobe_due = true;
        }
    }

    /// Schedules a dispatch on all probed machines of the job's waiting tasks.
    pub(crate) fn dispatch_probed_machines(&mut self, job_index: JobIndex) {
        let Some(job) = self.jobs.get(job_index) else { return };
        let waiting = job.tasks().filter(|(_, task)| task.state == TaskState::Waiting);
        let probes = waiting.flat_map(|(_, task)| &task.probes);
        self.machines_to_dispatch.extend(probes.map(|probe| probe.machine));
    }
}
