//! Handling of machines whose heartbeats have stopped. The leader queries the status of such a
//! machine, releases it to the cloud if only few machines are silent, and considers it empty when
//! its lease has expired.
//!
//! Invariant: a machine's lease counts as expired only when it is proven that neither this
//! leader, nor an earlier leader, nor a lease proxy can have renewed it.

use super::machine::{Machine, MachineState};
use crate::controller::Controller;
use crate::ids::{scoped_to_epoch, MachineIndex};

/// Silent machines that the cloud still lists are not released if more than about one machine in
/// this many is silent or unreachable, because a network fault is then the likelier cause.
const SILENT_FRACTION_DIVISOR: usize = 12;

/// The leader's present contact with a machine.
enum Contact {
    /// The machine is not judged: its lease has expired, it is being released or terminated, or it
    /// is not ready yet.
    Untracked,
    /// The machine's heartbeats arrive.
    Responsive,
    /// The machine's heartbeats arrive, but commands don't reach it.
    OneWayUnreachable,
    /// The machine has been silent for too long, is permanently unreachable, or is one-way
    /// unreachable and no longer listed by the cloud.
    Lost(LostContact),
}

/// A machine that may be released before its lease expires.
struct LostContact {
    /// Whether the release of the machine may free tasks.
    may_hold_tasks: bool,
    /// Whether the cloud no longer lists the machine.
    unlisted: bool,
}

impl Controller {
    /// Releases machines that are silent or unreachable while most others are not: the cloud's
    /// confirmation of the release frees a machine's tasks before its lease expires. If many
    /// machines are silent or unreachable, or if a controller holds a lease proxy claim, a network
    /// fault is the likelier cause, and only machines that the cloud no longer lists are released.
    pub(crate) fn release_silent_machines(&mut self) {
        let mut lost = Vec::new();
        let (mut responsive, mut one_way_unreachable) = (0, 0);
        for (index, machine) in self.machines.iter() {
            match self.contact_with(index, machine) {
                Contact::Untracked => {}
                Contact::Responsive => responsive += 1,
                Contact::OneWayUnreachable => one_way_unreachable += 1,
                Contact::Lost(contact) => lost.push((index, contact)),
            }
        }
        let listed_lost = lost.iter().filter(|(_, contact)| !contact.unlisted).count();
        let affected = one_way_unreachable + listed_lost;
        let network_suspected = affected * SILENT_FRACTION_DIVISOR
            > responsive + SILENT_FRACTION_DIVISOR
            || self.membership.has_proxy_claims();
        for (index, contact) in lost {
            if contact.may_hold_tasks && (contact.unlisted || !network_suspected) {
                self.release_lost(index, contact.unlisted);
            }
        }
    }

    fn release_lost(&mut self, index: MachineIndex, unlisted: bool) {
        let Some(machine) = self.machines.get(index) else { return };
        let one_way_unreachable = machine.reachability.is_one_way_unreachable();
        tracing::info!(
            machine = %machine.name, unlisted, one_way_unreachable,
            "releasing a silent machine"
        );
        self.begin_release(index);
    }

    /// Classifies the leader's contact with one machine.
    fn contact_with(&self, index: MachineIndex, machine: &Machine) -> Contact {
        let now_ms = self.context.now.steady_ms;
        let unlisted = self.unlisted(machine);
        let one_way_unreachable = machine.reachability.is_one_way_unreachable();
        // A one-way unreachable machine that the cloud doesn't list no longer exists: the
        // heartbeats that still arrive were delayed.
        let lost = one_way_unreachable && unlisted
            || machine.reachability.is_permanently_unreachable(now_ms, &self.reachability_timing());
        match machine.state {
            MachineState::LeaseExpired | MachineState::Releasing | MachineState::Terminated => {
                Contact::Untracked
            }
            _ if lost => Contact::Lost(LostContact { may_hold_tasks: true, unlisted }),
            _ if self.silent_too_long(machine, unlisted)
                && self.status_query_unanswered(index, machine, unlisted) =>
            {
                let may_hold_tasks = machine.may_hold_tasks();
                Contact::Lost(LostContact { may_hold_tasks, unlisted })
            }
            _ if one_way_unreachable => Contact::OneWayUnreachable,
            MachineState::Ready => Contact::Responsive,
            _ => Contact::Untracked,
        }
    }

    /// Returns whether a machine has been silent for longer than its state allows.
    fn silent_too_long(&self, machine: &Machine, unlisted: bool) -> bool {
        let silent_since_ms = machine
            .last_heard_ms
            .max(machine.known_since_ms)
            .max(self.epoch_began_ms)
            // This process could not receive anything while it was stalled.
            .max(self.stall.resumed_ms());
        let lease_ms = self.context.config.lease_ms();
        let max_silence_ms = match machine.state {
            // Workers need time to find a new leader. Meanwhile the leader queries the status of
            // all machines whose addresses it knows.
            MachineState::Registering | MachineState::Provisioning if !unlisted => lease_ms * 3 / 4,
            // An earlier leader knew the machine, and the cloud no longer lists it.
            MachineState::Provisioning => 0,
            _ => lease_ms / 3,
        };
        self.context.now.steady_ms > silent_since_ms + max_silence_ms
    }

    /// Returns whether a machine did not answer a status query in time, or can't be queried.
    fn status_query_unanswered(
        &self,
        index: MachineIndex,
        machine: &Machine,
        unlisted: bool,
    ) -> bool {
        let time_to_answer_ms = self.context.config.heartbeat_interval_ms() / 2;
        let unanswered = machine.worker_status_queried_ms > machine.last_heard_ms
            && self.context.now.steady_ms >= machine.worker_status_queried_ms + time_to_answer_ms;
        unanswered || machine.addr.is_none() || unlisted || self.mailbox_route(index).is_some()
    }

    /// Queries the status of machines that have been silent for a while: such a machine may send
    /// its heartbeats to a controller that this one has no contact with.
    pub(crate) fn query_silent_machines(&mut self) {
        let now_ms = self.context.now.steady_ms;
        let pause_ms = self.context.config.heartbeat_interval_ms() * 3 / 2;
        let is_due = |machine: &Machine| {
            matches!(machine.state, MachineState::Ready | MachineState::Registering)
                && now_ms > machine.last_heard_ms + pause_ms
                && now_ms > machine.worker_status_queried_ms + pause_ms
                && !machine.command_in_flight
        };
        let due: Vec<MachineIndex> = self
            .machines
            .iter()
            .filter(|(_, machine)| is_due(machine))
            .map(|(index, _)| index)
            .filter(|index| self.mailbox_route(*index).is_none())
            .collect();
        for index in due {
            self.query_worker_status(index);
        }
    }

    /// Considers silent machines empty once it is proven that their leases have expired.
    pub(crate) fn expire_silent_leases(&mut self) {
        // It is proven that no lease proxy renewed a lease up to this time.
        let unproxied_until_ms = self.unproxied_until_ms();
        for index in self.machines.indexes() {
            let Some(machine) = self.machines.get(index) else { continue };
            let releasing = machine.state == MachineState::Releasing;
            let provisioning = machine.state == MachineState::Provisioning;
            let nothing_to_free = !machine.may_hold_tasks() && (releasing || provisioning);
            if !self.lease_has_expired(machine, unproxied_until_ms) || nothing_to_free {
                continue;
            }
            tracing::info!(machine = %machine.name, releasing, "machine lease expired");
            match releasing {
                // The lease has expired, so nothing runs on the machine, whatever the outcome of
                // its release.
                true => self.on_machine_lost(index),
                false => self.set_machine_state(index, MachineState::LeaseExpired),
            }
        }
    }

    /// Returns whether it is proven that a machine's lease has expired. Returns false for a
    /// machine that is already in state `LeaseExpired` or `Terminated`.
    fn lease_has_expired(&self, machine: &Machine, unproxied_until_ms: u64) -> bool {
        let config = &self.context.config;
        let expiry_ms = config.lease_expiry_ms();
        let first_token = scoped_to_epoch(self.epoch(), 0);
        let last_answered_ms = machine.last_answered_ms.unwrap_or(0);
        match machine.state {
            MachineState::LeaseExpired | MachineState::Terminated => false,
            // The machine accepts only tokens of this epoch, so only answers of this leader, or of
            // a lease proxy that acts for it, can have renewed the lease.
            _ if machine.acknowledged_token >= first_token => {
                let last_contact_ms = last_answered_ms.max(machine.last_heard_ms);
                unproxied_until_ms >= last_contact_ms + expiry_ms
            }
            // An earlier leader may have renewed the machine's lease until its own lease bound had
            // elapsed.
            _ => {
                let inherited_expiry_ms = config.inherited_lease_expiry_ms();
                unproxied_until_ms >= self.epoch_began_ms + inherited_expiry_ms
                    && unproxied_until_ms >= last_answered_ms + expiry_ms
            }
        }
    }
}
