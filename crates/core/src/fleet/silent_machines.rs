//! Machines whose heartbeats stay away: they are asked for their status, released to the cloud
//! if they alone are silent, and taken for empty when their leases have expired.
//!
//! Invariant: a machine's lease counts as expired only when it is proven that neither this
//! leader, nor an earlier one, nor a lease proxy can have renewed it.

use super::machine::{Machine, MachineState};
use crate::controller::Controller;
use crate::ids::{scoped_to_epoch, MachineIndex};

/// Silent machines are left alone if they are more than one in this many: then the network is
/// the likelier cause.
const SILENT_ONE_IN: usize = 12;

/// What a machine's silence looks like at the moment.
enum Contact {
    /// Not judged: expired or leaving already, or not ready yet.
    Untracked,
    /// Its heartbeats arrive.
    Heard,
    /// Its heartbeats arrive, but commands to it don't.
    OneWayUnreachable,
    /// Silent for too long, or unreachable for good.
    Lost(LostContact),
}

/// A machine that may be released before its lease expires.
struct LostContact {
    /// Whether a release would free tasks.
    may_hold_tasks: bool,
    /// The cloud doesn't list it any more.
    unlisted: bool,
}

impl Controller {
    /// Releases single machines that have fallen silent, or are unreachable, while the others
    /// are not: the cloud's confirmation that one is gone frees its tasks before its lease
    /// would. Where many are silent the network is the likelier cause, and only those are
    /// released that the cloud no longer lists.
    pub(crate) fn release_silent_machines(&mut self) {
        let mut lost = Vec::new();
        let (mut heard, mut one_way_unreachable) = (0, 0);
        for (index, machine) in self.machines.iter() {
            match self.contact_with(index, machine) {
                Contact::Untracked => {}
                Contact::Heard => heard += 1,
                Contact::OneWayUnreachable => one_way_unreachable += 1,
                Contact::Lost(contact) => lost.push((index, contact)),
            }
        }
        let listed_lost = lost.iter().filter(|(_, contact)| !contact.unlisted).count();
        let troubled = one_way_unreachable + listed_lost;
        let many =
            troubled * SILENT_ONE_IN > heard + SILENT_ONE_IN || self.membership.has_proxy_claims();
        for (index, contact) in lost {
            if contact.may_hold_tasks && (contact.unlisted || !many) {
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

    /// Judges one machine's silence.
    fn contact_with(&self, index: MachineIndex, machine: &Machine) -> Contact {
        let now_ms = self.context.now.steady_ms;
        let unlisted = self.unlisted(machine);
        let one_way_unreachable = machine.reachability.is_one_way_unreachable();
        // A one-way unreachable machine that the cloud doesn't list is gone: the heartbeats
        // that still arrive were delayed.
        let gone = one_way_unreachable && unlisted
            || machine.reachability.is_permanently_unreachable(now_ms, &self.reachability_timing());
        match machine.state {
            MachineState::LeaseExpired | MachineState::Releasing | MachineState::Terminated => {
                Contact::Untracked
            }
            _ if gone => Contact::Lost(LostContact { may_hold_tasks: true, unlisted }),
            _ if self.silent_too_long(machine, unlisted)
                && self.status_query_unanswered(index, machine, unlisted) =>
            {
                let may_hold_tasks = machine.may_hold_tasks();
                Contact::Lost(LostContact { may_hold_tasks, unlisted })
            }
            _ if one_way_unreachable => Contact::OneWayUnreachable,
            MachineState::Ready => Contact::Heard,
            _ => Contact::Untracked,
        }
    }

    /// Whether a machine has been silent for longer than its state allows.
    fn silent_too_long(&self, machine: &Machine, unlisted: bool) -> bool {
        let silent_since_ms = machine
            .last_heard_ms
            .max(machine.known_since_ms)
            .max(self.epoch_began_ms)
            // While this process stalled, nothing could be received.
            .max(self.stall.resumed_ms());
        let lease_ms = self.context.config.lease_ms();
        let max_silence_ms = match machine.state {
            // Workers need a while to find a new leader, which meanwhile asks all machines
            // whose addresses it knows for their status.
            MachineState::Registering | MachineState::Provisioning if !unlisted => lease_ms * 3 / 4,
            // An earlier leader knew it, and the cloud no longer lists it.
            MachineState::Provisioning => 0,
            _ => lease_ms / 3,
        };
        self.context.now.steady_ms > silent_since_ms + max_silence_ms
    }

    /// Whether a machine was asked for its status in vain, or can't be asked.
    fn status_query_unanswered(
        &self,
        index: MachineIndex,
        machine: &Machine,
        unlisted: bool,
    ) -> bool {
        let time_to_answer_ms = self.context.config.heartbeat_interval_ms() / 2;
        let unanswered = machine.inspected_ms > machine.last_heard_ms
            && self.context.now.steady_ms >= machine.inspected_ms + time_to_answer_ms;
        unanswered || machine.addr.is_none() || unlisted || self.mailbox_route(index).is_some()
    }

    /// Asks machines that have been silent for a while for their status: they may send their
    /// heartbeats to a controller that this one has no contact with.
    pub(crate) fn inspect_silent_machines(&mut self) {
        let now_ms = self.context.now.steady_ms;
        let pause_ms = self.context.config.heartbeat_interval_ms() * 3 / 2;
        let is_due = |machine: &Machine| {
            matches!(machine.state, MachineState::Ready | MachineState::Registering)
                && now_ms > machine.last_heard_ms + pause_ms
                && now_ms > machine.inspected_ms + pause_ms
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
            self.inspect(index);
        }
    }

    /// Takes silent machines for empty once their leases must have expired.
    pub(crate) fn expire_silent_leases(&mut self) {
        // Up to this time it is proven that no lease proxy renewed a lease.
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
                // Whatever becomes of its release, nothing runs on it.
                true => self.on_machine_lost(index),
                false => self.set_machine_state(index, MachineState::LeaseExpired),
            }
        }
    }

    /// Whether it is proven that a machine's lease has expired; false if that is known already.
    fn lease_has_expired(&self, machine: &Machine, unproxied_until_ms: u64) -> bool {
        let config = &self.context.config;
        let expiry_ms = config.lease_expiry_ms();
        let first_token = scoped_to_epoch(self.epoch(), 0);
        let last_answered_ms = machine.last_answered_ms.unwrap_or(0);
        match machine.state {
            MachineState::LeaseExpired | MachineState::Terminated => false,
            // It acknowledges our tokens only, so its lease depends on our answers, or on a
            // lease proxy that acts for us.
            _ if machine.acknowledged_token >= first_token => {
                let last_contact_ms = last_answered_ms.max(machine.last_heard_ms);
                unproxied_until_ms >= last_contact_ms + expiry_ms
            }
            // An earlier leader may have renewed it until its own lease bound.
            _ => {
                let inherited_expiry_ms = config.inherited_lease_expiry_ms();
                unproxied_until_ms >= self.epoch_began_ms + inherited_expiry_ms
                    && unproxied_until_ms >= last_answered_ms + expiry_ms
            }
        }
    }
}
