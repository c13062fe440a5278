//! Scale-out: requests for machines that meet the unmet demand at the lowest price.

use std::collections::BTreeMap;

use quartzgate_wire::msg::{JobSpec, MachineNames, MachineType, ProvisionRequest};
use quartzgate_wire::{from_cbor, to_cbor};

use super::demand::UnmetDemand;
use super::{Offer, PendingProvision, CLOUD_CHANGE_TIMEOUT_MS};
use crate::controller::Controller;
use crate::fleet::calls::FleetCall;
use crate::fleet::machine::{Machine, MachineState};
use crate::fleet::resources::Resources;
use crate::{Outcome, Peer};

/// Maximum number of machines that the cloud provisions in one request.
const MAX_MACHINES_PER_REQUEST: u32 = 50;
/// Maximum number of provisioning requests in flight.
const MAX_REQUESTS_IN_FLIGHT: usize = 4;
/// Fraction of one second's requests to the cloud that provisioning leaves to releases.
const RATE_RESERVE: f64 = 0.3;
/// Relative price increase of an offer for each machine already chosen from it, so that demand is
/// spread evenly over equal offers.
const PRICE_INCREASE_PER_MACHINE: f64 = 0.01;
/// After an election, running machines have this many heartbeat intervals to register before the
/// leader provisions others.
const REGISTRATION_INTERVALS: u64 = 2;

/// An offer that can meet a demand, with its price for that demand.
struct PricedOffer {
    offer: Offer,
    /// Price per task that one machine of the offer would run, with the increase for machines
    /// already chosen.
    price_per_task: f64,
    /// Number of tasks that one machine of the offer can run.
    tasks_each: u32,
}

/// A provisioning request in flight.
#[derive(Debug)]
pub(crate) struct ProvisionCall {
    /// The offer from which machines are requested.
    pub offer: Offer,
    /// Number of machines requested.
    pub count: u32,
    /// Idempotency key of the request, unique across epochs.
    pub provision_id: String,
}

impl Controller {
    /// Requests machines for unmet demand once the running machines are known, unless too many
    /// requests are in flight.
    pub(super) fn provision(&mut self) {
        if !self.may_provision() {
            return;
        }
        let now_ms = self.context.now.steady_ms;
        self.provisioner.refused_until_ms.retain(|_, until_ms| *until_ms > now_ms);
        let mut chosen: BTreeMap<Offer, f64> = BTreeMap::new();
        for demand in self.unmet_demand() {
            if let Some(cheapest) = self.cheapest_offer(&demand, &chosen) {
                let machines = f64::from(demand.tasks) / f64::from(cheapest.tasks_each);
                *chosen.entry(cheapest.offer).or_default() += machines;
            }
        }
        for (offer, machines) in chosen {
            let count = (machines.ceil() as u32).min(MAX_MACHINES_PER_REQUEST);
            if count > 0 && self.provisioner.rate_limiter.take(now_ms, 1.0, RATE_RESERVE) {
                self.request_machines(offer, count);
            }
        }
    }

    fn may_provision(&self) -> bool {
        if self.machine_types.is_empty()
            || !self.may_command_workers()
            || self.provisioner.requests_in_flight >= MAX_REQUESTS_IN_FLIGHT
            || !self.provisioner.listed_once
        {
            return false;
        }
        let is_unregistered = |machine: &Machine| {
            !machine.has_been_heard_from()
                && machine.state == MachineState::Provisioning
                && machine.addr.is_some()
        };
        let registration_ms = REGISTRATION_INTERVALS * self.context.config.heartbeat_interval_ms();
        let just_elected = self.context.now.steady_ms < self.epoch_began_ms + registration_ms;
        !just_elected || !self.machines.iter().any(|(_, machine)| is_unregistered(machine))
    }

    /// Returns the offer with the lowest price per demanded task; the first of equal ones.
    fn cheapest_offer(
        &self,
        demand: &UnmetDemand,
        chosen: &BTreeMap<Offer, f64>,
    ) -> Option<PricedOffer> {
        self.machine_types
            .iter()
            .flat_map(|machine_type| self.offers_of_type(machine_type, demand, chosen))
            .min_by(|a, b| a.price_per_task.total_cmp(&b.price_per_task))
    }

    /// Returns the offers of one machine type that may run the demanded tasks.
    fn offers_of_type(
        &self,
        machine_type: &MachineType,
        demand: &UnmetDemand,
        chosen: &BTreeMap<Offer, f64>,
    ) -> Vec<PricedOffer> {
        let spec = &demand.spec;
        let need = Resources { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb };
        let capacity = Resources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        };
        let tasks_each = capacity.max_tasks(&need);
        if tasks_each == 0 || self.wastes_scarce_gpus(spec, &capacity) {
            return Vec::new();
        }
        self.offers_in_zones(machine_type)
            .filter(|offer| self.is_available(offer, machine_type, spec))
            .map(|offer| {
                let price = if offer.spot { machine_type.spot_price } else { machine_type.price };
                // The tasks that run bear the price of capacity that would stay unused.
                let tasks_run = f64::from(tasks_each.min(demand.tasks).max(1));
                let machines_chosen = chosen.get(&offer).copied().unwrap_or(0.0);
                let increase = 1.0 + PRICE_INCREASE_PER_MACHINE * machines_chosen;
                PricedOffer { offer, price_per_task: price / tasks_run * increase, tasks_each }
            })
            .collect()
    }

    /// Returns whether tasks of a job may run on some offer whose last request was not refused.
    pub(super) fn has_available_offer(&self, spec: &JobSpec) -> bool {
        if self.provisioner.last_refused.is_empty() {
            return true;
        }
        let has_offer = |machine_type: &MachineType| {
            self.offers_in_zones(machine_type).any(|offer| {
                !self.provisioner.last_refused.contains(&offer)
                    && self.may_run_on(&offer, machine_type, spec)
            })
        };
        self.machine_types.iter().any(has_offer)
    }

    /// Iterates over the offers of a machine type, in each of its zones as spot and on-demand.
    fn offers_in_zones<'a>(
        &'a self,
        machine_type: &'a MachineType,
    ) -> impl Iterator<Item = Offer> + 'a {
        let zones = self.context.config.platform.params.zones.iter().enumerate();
        zones
            .filter(|(_, name)| machine_type.zones.contains(name))
            .flat_map(|(zone, _)| [(zone as u16, true), (zone as u16, false)])
            .map(|(zone, spot)| Offer { kind: machine_type.name.clone(), zone, spot })
    }

    /// Returns whether tasks of a job may run on an offer that has not been refused recently.
    fn is_available(&self, offer: &Offer, machine_type: &MachineType, spec: &JobSpec) -> bool {
        !self.provisioner.refused_until_ms.contains_key(offer)
            && self.may_run_on(offer, machine_type, spec)
    }

    /// Returns whether tasks of a job may run on an offer that is sold.
    fn may_run_on(&self, offer: &Offer, machine_type: &MachineType, spec: &JobSpec) -> bool {
        let sold_as_spot = machine_type.spot_price > 0.0;
        self.allows(spec, &offer.kind, Some(offer.zone), offer.spot)
            && (!offer.spot || sold_as_spot)
    }

    fn request_machines(&mut self, offer: Offer, count: u32) {
        self.provisioner.requests_made += 1;
        let provision_id = format!("h-{}-{}", self.epoch(), self.provisioner.requests_made);
        let zone = self.context.config.platform.params.zones[offer.zone as usize].clone();
        tracing::info!(
            provision = %provision_id, kind = %offer.kind, %zone, spot = offer.spot, count,
            "provisioning machines"
        );
        let body = to_cbor(&ProvisionRequest {
            provision_id: provision_id.clone(),
            machine_type: offer.kind.clone(),
            zone,
            spot: offer.spot,
            count,
        });
        self.provisioner.requests_in_flight += 1;
        *self.provisioner.requested.entry(offer.clone()).or_default() += count;
        let request = ProvisionCall { offer, count, provision_id };
        let purpose = FleetCall::Provision { request, epoch: self.epoch() };
        let target = "/machines".to_string();
        self.call_for_fleet(Peer::Cloud, "POST", target, body, CLOUD_CHANGE_TIMEOUT_MS, purpose);
    }

    /// Handles the outcome of a provisioning request.
    pub(crate) fn on_provisioned(&mut self, request: ProvisionCall, outcome: Outcome) {
        self.provisioner.requests_in_flight = self.provisioner.requests_in_flight.saturating_sub(1);
        if let Some(requested) = self.provisioner.requested.get_mut(&request.offer) {
            *requested = requested.saturating_sub(request.count);
        }
        let provisioned = match &outcome {
            Outcome::Answer(response) if response.status == 200 => {
                from_cbor::<MachineNames>(&response.body).ok()
            }
            _ => None,
        };
        let ProvisionCall { offer, count, provision_id } = request;
        let Some(provisioned) = provisioned else {
            // If a request without an answer was executed, its machines appear in the cloud's list.
            tracing::info!(
                provision = %provision_id, kind = %offer.kind, spot = offer.spot,
                "provisioning refused"
            );
            return self.pause_offer(offer);
        };
        tracing::info!(
            provision = %provision_id, machines = ?provisioned.machines,
            "machines provisioned"
        );
        match (provisioned.machines.len() as u32) < count {
            true => self.pause_offer(offer.clone()),
            false => {
                self.provisioner.last_refused.remove(&offer);
            }
        }
        self.expect_machines(provisioned.machines, &offer);
    }

    /// Excludes a refused offer from further requests for half a boot time of its machine type.
    fn pause_offer(&mut self, offer: Offer) {
        let until_ms = self.context.now.steady_ms + self.boot_ms(&offer.kind) / 2;
        self.provisioner.refused_until_ms.insert(offer.clone(), until_ms);
        self.provisioner.last_refused.insert(offer);
    }

    fn expect_machines(&mut self, names: Vec<String>, offer: &Offer) {
        let since_ms = self.context.now.steady_ms;
        for name in names {
            let known = self.machines.find(&name);
            if known.is_some_and(|index| self.machine_has_been_heard_from(index)) {
                continue;
            }
            let Offer { kind, zone, spot } = offer.clone();
            let expected = PendingProvision { kind, zone: Some(zone), spot, since_ms };
            self.provisioner.expected.insert(name, expected);
        }
    }
}
