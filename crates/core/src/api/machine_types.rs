//! Periodic reads of the cloud's list of machine types.

use quartzgate_wire::from_cbor;
use quartzgate_wire::msg::{MachineType, MachineTypes};

use crate::controller::Controller;
use crate::in_flight::InFlight;
use crate::{Outcome, Peer};

/// Interval between reads of the list until the first list has been received.
const FIRST_READ_INTERVAL_MS: u64 = 500;
/// Interval between the leader's reads of the list, in multiples of the cloud's listing delay, but
/// at least [`MIN_LEADER_INTERVAL_MS`].
const LEADER_INTERVAL_LAGS: u64 = 5;
const MIN_LEADER_INTERVAL_MS: u64 = 10_000;
/// Interval between a follower's reads of the list, in multiples of the cloud's listing delay, but
/// at least [`MIN_FOLLOWER_INTERVAL_MS`].
const FOLLOWER_INTERVAL_LAGS: u64 = 20;
const MIN_FOLLOWER_INTERVAL_MS: u64 = 60_000;
const READ_TIMEOUT_MS: u64 = 2000;
/// Upper bound, exclusive, of plausible numbers in the list; negative numbers are not plausible.
const PLAUSIBLE_BELOW: f64 = 1e9;

fn is_plausible(machine_type: &MachineType) -> bool {
    let numbers = [
        machine_type.cpus,
        machine_type.gpus,
        machine_type.memory_gb,
        machine_type.price,
        machine_type.spot_price,
        machine_type.boot_s,
        machine_type.fetch_gb_per_s,
    ];
    numbers.iter().all(|number| (0.0..PLAUSIBLE_BELOW).contains(number))
}

impl Controller {
    /// Requests the list from the cloud if a read is due.
    pub(crate) fn tick_machine_types(&mut self) {
        let now_ms = self.context.now.steady_ms;
        if self.machine_types_requested_ms > 0
            && now_ms < self.machine_types_requested_ms + self.types_interval_ms()
        {
            return;
        }
        self.machine_types_requested_ms = now_ms.max(1);
        let target = "/machine_types".to_string();
        self.call(
            Peer::Cloud,
            "GET",
            target,
            Vec::new(),
            READ_TIMEOUT_MS,
            InFlight::MachineTypesRead,
        );
    }

    fn types_interval_ms(&self) -> u64 {
        let lag_ms = (self.context.config.platform.params.cloud.list_lag_s * 1000.0) as u64;
        match self.machine_types_at_ms {
            None => FIRST_READ_INTERVAL_MS,
            Some(_) if self.leads() => (lag_ms * LEADER_INTERVAL_LAGS).max(MIN_LEADER_INTERVAL_MS),
            Some(_) => (lag_ms * FOLLOWER_INTERVAL_LAGS).max(MIN_FOLLOWER_INTERVAL_MS),
        }
    }

    /// Replaces the machine types by a list that was received, unless it is empty or implausible.
    pub(crate) fn on_machine_types(&mut self, outcome: Outcome) {
        let Outcome::Answer(response) = outcome else { return };
        if response.status != 200 {
            return;
        }
        let Ok(list) = from_cbor::<MachineTypes>(&response.body) else { return };
        if list.types.is_empty() || !list.types.iter().all(is_plausible) {
            return;
        }
        self.machine_types = list.types;
        self.machine_types_at_ms = Some(self.context.now.steady_ms);
        self.supply_changed = true;
    }
}
