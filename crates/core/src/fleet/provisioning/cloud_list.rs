//! Reading of the cloud's list of machines, page by page, and the updates of machines from it.
//!
//! The list lags behind the cloud's actual state: a machine that was created recently may be
//! missing, and a machine that was released may still be listed.

use quartzgate_wire::from_cbor;
use quartzgate_wire::msg::{CloudStatus, ListedMachine, MachineList};

use super::{ListedNames, PendingProvision};
use crate::controller::Controller;
use crate::fleet::calls::FleetCall;
use crate::fleet::machine::{Machine, MachineState};
use crate::ids::MachineIndex;
use crate::{Outcome, Peer};

/// Timeout of a request for a page of the list, in milliseconds.
const LIST_TIMEOUT_MS: u64 = 2000;
/// Minimum interval between two reads of the list, in heartbeat intervals.
const LIST_EVERY_INTERVALS: u64 = 2;
/// Minimum interval between status queries to a listed machine that has not sent any message, in
/// heartbeat intervals.
const STATUS_QUERY_EVERY_INTERVALS: u64 = 2;

impl Controller {
    /// Begins to read the list if that is due.
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

    /// Requests the first page of the list, or the page that begins after the name `since`.
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

    /// Handles the outcome of a request for a page of the list. Without a valid page, reading stops
    /// until the list is due again.
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
            // The list lags, so a machine that has been released may still be listed.
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
        let index = self.find_or_add_machine(&listed.name);
        self.provisioner.expected.remove(&listed.name);
        tracing::info!(machine = %listed.name, "machine failed according to the cloud's list");
        index
    }

    /// Releases a machine that the cloud lists as failed. No task runs on it any more; its release
    /// removes it from the list.
    fn release_failed(&mut self, index: MachineIndex) {
        let Some(machine) = self.machines.get(index) else { return };
        if machine.state != MachineState::Terminated {
            self.set_machine_state(index, MachineState::LeaseExpired);
            self.begin_release(index);
        }
    }

    fn on_listed_booting(&mut self, listed: ListedMachine) {
        let deadline_ms = self.boot_deadline_ms(&listed.machine_type);
        let age_ms = (listed.age_s * 1000.0) as u64;
        let zone = self.zone_index(&listed.zone);
        let since_ms = self.context.now.steady_ms.saturating_sub(age_ms);
        self.provisioner.expected.entry(listed.name.clone()).or_insert(PendingProvision {
            kind: listed.machine_type,
            zone,
            spot: listed.spot,
            since_ms,
        });
        let known = self.machines.find(&listed.name);
        if known.is_some_and(|index| self.machine_has_been_heard_from(index)) {
            self.provisioner.expected.remove(&listed.name);
        } else if age_ms > deadline_ms {
            tracing::info!(machine = %listed.name, age_s = listed.age_s, "machine did not boot in time");
            self.provisioner.expected.remove(&listed.name);
            let index = self.find_or_add_machine(&listed.name);
            self.begin_release(index);
        }
    }

    fn on_listed_running(&mut self, listed: ListedMachine) {
        let zone = self.zone_index(&listed.zone);
        let index = self.find_or_add_machine(&listed.name);
        let Some(machine) = self.machines.get_mut(index) else { return };
        if machine.addr.is_none() {
            machine.addr = listed.addr.parse().ok();
        }
        if machine.kind.is_empty() {
            machine.kind = listed.machine_type;
            machine.zone = zone;
            machine.spot = listed.spot;
        }
        if machine.has_been_heard_from() {
            self.provisioner.expected.remove(&listed.name);
            return;
        }
        let pause_ms = STATUS_QUERY_EVERY_INTERVALS * self.context.config.heartbeat_interval_ms();
        if self.context.now.steady_ms >= machine.worker_status_queried_ms + pause_ms {
            self.query_worker_status(index);
        }
    }

    /// Returns whether the machine no longer exists in the cloud: the last complete list doesn't
    /// contain the machine, although it reflects a time at which the machine had been created. As
    /// the list lags, this holds if the list contains a later name (names are in order of
    /// creation), or if the machine had been known for at least twice the maximum lag when the list
    /// was requested. Any other machine may be running tasks without being listed.
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
