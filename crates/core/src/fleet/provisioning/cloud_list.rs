//! The cloud's list of machines, read page by page, and what it says about each of them.
//!
//! The list lags behind: a machine that was created lately may be missing, and one that was
//! released may still be on it.

use quartzgate_wire::from_cbor;
use quartzgate_wire::msg::{CloudStatus, ListedMachine, MachineList};

use super::{ListedNames, PendingProvision};
use crate::controller::Controller;
use crate::fleet::calls::FleetCall;
use crate::fleet::machine::{Machine, MachineState};
use crate::ids::MachineIndex;
use crate::{Outcome, Peer};

/// Timeout of a request for a page, in milliseconds.
const LIST_TIMEOUT_MS: u64 = 2000;
/// The list is read again after at least this many heartbeat intervals.
const LIST_EVERY_INTERVALS: u64 = 2;
/// A listed machine that has sent nothing is asked for its status this often, in heartbeat
/// intervals.
const INSPECT_EVERY_INTERVALS: u64 = 2;

impl Controller {
    /// Begins to read the list when it is due.
    pub(super) fn tick_machine_list(&mut self) {
        let now_ms = self.context.now.steady_ms;
        if now_ms < self.provisioner.next_list_ms || self.provisioner.list_in_flight {
            return;
        }
        let lag_ms = (self.context.config.platform.params.cloud.list_lag_s * 1000.0) as u64;
        let interval_ms = self.context.config.heartbeat_interval_ms();
        self.provisioner.next_list_ms = now_ms + lag_ms.max(LIST_EVERY_INTERVALS * interval_ms);
        self.list_machines(None);
    }

    /// Asks for the first page, or for the one that begins after the name `since`.
    pub(crate) fn list_machines(&mut self, since: Option<String>) {
        let mut target = "/machines?most=500".to_string();
        match &since {
            Some(name) => target.push_str(&format!("&since={name}")),
            None => {
                self.provisioner.partial_list.requested_ms = self.context.now.steady_ms;
            }
        }
        self.provisioner.list_in_flight = true;
        let purpose = FleetCall::ListMachines { since };
        self.call_for_fleet(Peer::Cloud, "GET", target, Vec::new(), LIST_TIMEOUT_MS, purpose);
    }

    /// A page of the list has come, or has not.
    pub(crate) fn on_list(&mut self, since: Option<String>, outcome: Outcome) {
        self.provisioner.list_in_flight = false;
        if since.is_none() {
            self.provisioner.partial_list.names.clear();
        }
        if !self.may_command_workers() {
            return;
        }
        let Some(page) = parse_page(outcome) else { return };
        self.provisioner.listed_once = true;
        let last_name = page.machines.last().map(|machine| machine.name.clone());
        let more = page.more;
        self.apply_page(page);
        if more {
            return self.list_machines(last_name);
        }
        let requested_ms = self.provisioner.partial_list.requested_ms;
        let names = std::mem::take(&mut self.provisioner.partial_list.names);
        self.provisioner.complete_list = Some(ListedNames { names, requested_ms });
    }

    fn apply_page(&mut self, page: MachineList) {
        let mut failed = Vec::new();
        for listed in page.machines {
            self.provisioner.partial_list.names.insert(listed.name.clone());
            // The list lags: a machine that has been released may still be on it.
            if self.is_released(&listed.name) {
                continue;
            }
            match listed.status {
                CloudStatus::Failed => failed.push(self.on_listed_failed(&listed)),
                CloudStatus::Booting => self.on_listed_booting(listed),
                CloudStatus::Running => self.on_listed_running(listed),
            }
        }
        for index in failed {
            self.release_failed(index);
        }
    }

    fn is_released(&self, name: &str) -> bool {
        let machine = self.machines.find(name).and_then(|index| self.machines.get(index));
        machine.is_some_and(|machine| {
            matches!(machine.state, MachineState::Terminated | MachineState::Releasing)
        })
    }

    fn on_listed_failed(&mut self, listed: &ListedMachine) -> MachineIndex {
        let index = self.machine(&listed.name);
        self.provisioner.expected.remove(&listed.name);
        tracing::info!(machine = %listed.name, "machine failed according to the cloud's list");
        index
    }

    /// A failed machine has stopped: nothing is on it. Its release takes it off the list.
    fn release_failed(&mut self, index: MachineIndex) {
        let Some(machine) = self.machines.get(index) else { return };
        if machine.state != MachineState::Terminated {
            self.set_machine_state(index, MachineState::LeaseExpired);
            self.begin_release(index);
        }
    }

    fn on_listed_booting(&mut self, listed: ListedMachine) {
        let deadline_ms = self.boot_deadline_ms(&listed.kind);
        let age_ms = (listed.age_s * 1000.0) as u64;
        let zone = self.zone_index(&listed.zone);
        let since_ms = self.context.now.steady_ms.saturating_sub(age_ms);
        self.provisioner.expected.entry(listed.name.clone()).or_insert(PendingProvision {
            kind: listed.kind,
            zone,
            spot: listed.spot,
            since_ms,
        });
        let known = self.machines.find(&listed.name);
        if known.is_some_and(|index| self.machine_has_been_heard(index)) {
            self.provisioner.expected.remove(&listed.name);
        } else if age_ms > deadline_ms {
            tracing::info!(machine = %listed.name, age_s = listed.age_s, "machine did not boot in time");
            self.provisioner.expected.remove(&listed.name);
            let index = self.machine(&listed.name);
            self.begin_release(index);
        }
    }

    fn on_listed_running(&mut self, listed: ListedMachine) {
        let zone = self.zone_index(&listed.zone);
        let index = self.machine(&listed.name);
        let Some(machine) = self.machines.get_mut(index) else { return };
        if machine.addr.is_none() {
            machine.addr = listed.addr.parse().ok();
        }
        if machine.kind.is_empty() {
            machine.kind = listed.kind;
            machine.zone = zone;
            machine.spot = listed.spot;
        }
        if machine.has_been_heard() {
            self.provisioner.expected.remove(&listed.name);
            return;
        }
        let pause_ms = INSPECT_EVERY_INTERVALS * self.context.config.heartbeat_interval_ms();
        if self.context.now.steady_ms >= machine.inspected_ms + pause_ms {
            self.inspect(index);
        }
    }

    /// Whether the cloud has the machine no more: the last complete list doesn't show it, and
    /// describes a moment at which it must have existed. As the list lags, that is so if it
    /// shows a machine with a later name (names are in order of creation), or if the machine has
    /// been known for longer than a list can lag. Any other machine may be up and full of work
    /// without being listed.
    pub(in crate::fleet) fn unlisted(&self, machine: &Machine) -> bool {
        let Some(list) = &self.provisioner.complete_list else { return false };
        let max_lag_ms = (2000.0 * self.context.config.platform.params.cloud.list_lag_s) as u64;
        let shows_later_name = list.names.last().is_some_and(|last| *last > machine.name);
        let known_for_longer = list.requested_ms >= machine.known_since_ms + max_lag_ms;
        (shows_later_name || known_for_longer) && !list.names.contains(&machine.name)
    }
}

fn parse_page(outcome: Outcome) -> Option<MachineList> {
    match outcome {
        Outcome::Answer(response) if response.status == 200 => from_cbor(&response.body).ok(),
        _ => None,
    }
}
