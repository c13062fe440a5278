//! Scale-in: the release of idle, faulty and lost machines to the cloud.

use std::collections::BTreeSet;

use quartzgate_wire::msg::MachineNames;
use quartzgate_wire::to_cbor;

use super::demand::WarmCapacity;
use super::{CLOUD_CHANGE_TIMEOUT_MS, MIN_CHARGE_S};
use crate::controller::Controller;
use crate::fleet::calls::FleetCall;
use crate::fleet::machine::{Machine, MachineState};
use crate::ids::MachineIndex;
use crate::{Outcome, Peer};

/// Maximum number of machines that the cloud releases in one request.
const MAX_MACHINES_PER_RELEASE: usize = 100;
/// Fraction of one second's requests to the cloud that releases leave to other requests.
const RATE_RESERVE: f64 = 0.2;
/// A machine in state `LeaseExpired` is released this many lease expiry times after the last
/// contact with it.
const RELEASE_LOST_AFTER_EXPIRIES: u64 = 2;
/// A terminated machine is removed from the leader's table this many lease expiry times after the
/// last message from it, or after it became known.
const FORGET_AFTER_EXPIRIES: u64 = 20;

/// The reasons for which a machine may be released; none applies if all are false.
#[derive(Clone, Copy)]
struct ReleaseReason {
    idle: bool,
    faulty: bool,
    lost: bool,
}

impl Controller {
    /// Begins the release of machines that are idle, faulty or lost, or that did not boot in time.
    /// A new leader waits for one lease, after which it knows which tasks run.
    pub(super) fn scale_in(&mut self) {
        let first_release_ms = self.epoch_began_ms + self.context.config.lease_ms();
        if self.context.now.steady_ms < first_release_ms {
            return;
        }
        self.remove_registered_from_expected();
        self.release_overdue();
        self.release_unneeded();
        self.forget_terminated();
    }

    fn remove_registered_from_expected(&mut self) {
        let is_registered = |name: &&String| {
            self.machines.find(name).is_some_and(|index| self.machine_has_been_heard_from(index))
        };
        let registered: Vec<String> =
            self.provisioner.expected.keys().filter(is_registered).cloned().collect();
        for name in registered {
            self.provisioner.expected.remove(&name);
        }
    }

    /// Releases expected machines that have not booted in time.
    fn release_overdue(&mut self) {
        let now_ms = self.context.now.steady_ms;
        let overdue: Vec<String> = self
            .provisioner
            .expected
            .iter()
            .filter(|(_, machine)| now_ms > machine.since_ms + self.boot_deadline_ms(&machine.kind))
            .map(|(name, _)| name.clone())
            .collect();
        for name in overdue {
            tracing::info!(machine = %name, "machine did not boot in time");
            self.provisioner.expected.remove(&name);
            let index = self.find_or_add_machine(&name);
            self.begin_release(index);
        }
    }

    fn release_unneeded(&mut self) {
        let mut warm = self.warm_capacity();
        for index in self.machines.indexes() {
            let Some(machine) = self.machines.get(index) else { continue };
            let reason = self.release_reason(machine);
            if machine.interruption_at_ms.is_some() && !reason.lost {
                continue;
            }
            if reason.idle && !reason.faulty && !machine.spot {
                if let Some(warm) = warm.as_mut().filter(|warm| warm.tasks > 0) {
                    self.keep_warm(machine, warm);
                    continue;
                }
            }
            let ReleaseReason { idle, faulty, lost } = reason;
            if idle || faulty || lost {
                tracing::info!(machine = %machine.name, idle, faulty, lost, "releasing machine");
                self.begin_release(index);
            }
        }
    }

    /// Deducts an idle machine from the capacity that should stay free for production tasks.
    fn keep_warm(&self, machine: &Machine, warm: &mut WarmCapacity) {
        let capacity = self.capacity_of(&machine.kind);
        let tasks = capacity.map_or(0, |capacity| capacity.max_tasks(&warm.need));
        warm.tasks = warm.tasks.saturating_sub(tasks);
    }

    fn release_reason(&self, machine: &Machine) -> ReleaseReason {
        let now_ms = self.context.now.steady_ms;
        let max_idle_ms = self.max_idle_ms(&machine.kind, machine.spot);
        let ready = machine.state == MachineState::Ready;
        let idle = ready
            && !machine.may_hold_tasks()
            && machine.probe_queue.is_empty()
            && !machine.command_in_flight
            && now_ms as f64 > machine.idle_since_ms as f64 + max_idle_ms;
        let faulty = ready && machine.is_due_for_eviction(now_ms) && machine.tasks.is_empty();
        let last_contact_ms = machine.last_heard_ms.max(machine.last_answered_ms.unwrap_or(0));
        let release_lost_after_ms =
            RELEASE_LOST_AFTER_EXPIRIES * self.context.config.lease_expiry_ms();
        let lost = machine.state == MachineState::LeaseExpired
            && now_ms > last_contact_ms + release_lost_after_ms;
        ReleaseReason { idle, faulty, lost }
    }

    /// Returns how long a machine may be idle before it is released, in milliseconds. A spot
    /// instance may be idle for longer by the ratio of its type's on-demand price to its spot
    /// price.
    fn max_idle_ms(&self, kind: &str, spot: bool) -> f64 {
        let min_stay_ms = (self.boot_ms(kind) as f64).max(MIN_CHARGE_S * 1000.0);
        let spot_type = self.machine_types.iter().find(|machine_type| {
            machine_type.name == kind && spot && machine_type.spot_price > 0.0
        });
        let price_ratio = spot_type
            .map_or(1.0, |machine_type| (machine_type.price / machine_type.spot_price).max(1.0));
        self.context.config.operator.idle_ratio * min_stay_ms * price_ratio
    }

    /// Removes machines that were terminated long ago and to which no probe refers.
    fn forget_terminated(&mut self) {
        let now_ms = self.context.now.steady_ms;
        let forget_after_ms = FORGET_AFTER_EXPIRIES * self.context.config.lease_expiry_ms();
        let is_forgettable = |machine: &Machine| {
            machine.state == MachineState::Terminated
                && machine.tasks.is_empty()
                && now_ms > machine.last_heard_ms.max(machine.known_since_ms) + forget_after_ms
        };
        let mut forgettable: BTreeSet<MachineIndex> = self
            .machines
            .iter()
            .filter(|(_, machine)| is_forgettable(machine))
            .map(|(index, _)| index)
            .collect();
        if forgettable.is_empty() {
            return;
        }
        for (_, task) in self.jobs.iter().flat_map(|(_, job)| job.tasks()) {
            for probe in &task.probes {
                forgettable.remove(&probe.machine);
            }
        }
        for index in forgettable {
            self.machines.remove(index);
        }
    }

    /// Begins the release of a machine. Its tasks count as stopped once the cloud has confirmed the
    /// release.
    pub(crate) fn begin_release(&mut self, index: MachineIndex) {
        let state = self.machines.get(index).map(|machine| machine.state);
        let released = matches!(state, Some(MachineState::Releasing | MachineState::Terminated));
        if !released && !self.provisioner.to_release.contains(&index) {
            self.set_machine_state(index, MachineState::Releasing);
            self.provisioner.to_release.push(index);
        }
    }

    /// Sends the cloud a request to release the next batch of machines in `to_release`.
    pub(super) fn send_releases(&mut self) {
        let now_ms = self.context.now.steady_ms;
        if self.provisioner.to_release.is_empty()
            || !self.provisioner.rate_limiter.take(now_ms, 1.0, RATE_RESERVE)
        {
            return;
        }
        let mut batch = std::mem::take(&mut self.provisioner.to_release);
        let batch_len = batch.len().min(MAX_MACHINES_PER_RELEASE);
        self.provisioner.to_release = batch.split_off(batch_len);
        let names: Vec<String> = batch
            .iter()
            .filter_map(|index| self.machines.get(*index))
            .map(|machine| machine.name.clone())
            .collect();
        tracing::info!(machines = ?names, "releasing machines");
        let body = to_cbor(&MachineNames { machines: names });
        let purpose = FleetCall::Release { machines: batch, epoch: self.epoch() };
        let target = "/machines/return".to_string();
        self.call_for_fleet(Peer::Cloud, "POST", target, body, CLOUD_CHANGE_TIMEOUT_MS, purpose);
    }

    /// Handles the outcome of a release request.
    pub(crate) fn on_released(&mut self, machines: Vec<MachineIndex>, outcome: Outcome) {
        let confirmed = matches!(&outcome, Outcome::Answer(response) if response.status == 200);
        for index in machines {
            if confirmed {
                let machine = self.machines.get(index);
                let name = machine.map(|machine| machine.name.clone()).unwrap_or_default();
                self.provisioner.expected.remove(&name);
                self.set_machine_state(index, MachineState::Terminated);
            } else if !self.provisioner.to_release.contains(&index) {
                // The cloud may have executed the release; it is requested again until the cloud
                // confirms it.
                self.provisioner.to_release.push(index);
            }
        }
    }
}
