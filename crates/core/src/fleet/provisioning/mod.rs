//! Provisioning: scale-out of machines by unmet demand and price, and scale-in of machines that
//! are idle, faulty or lost.
//!
//! `cloud_list` compares the fleet with the cloud's list of machines, `demand` compares waiting
//! tasks with the free capacity that `capacity_pool` counts, `scale_out` requests machines and
//! `scale_in` releases them. Invariant: the tasks of a machine count as stopped only when the
//! cloud has confirmed the machine's release or failure, or when the machine's lease has expired.

mod capacity_pool;
mod cloud_list;
mod demand;
mod scale_in;
mod scale_out;

use std::collections::{BTreeMap, BTreeSet};

pub(crate) use scale_out::ProvisionCall;

use crate::config::Config;
use crate::controller::Controller;
use crate::ids::MachineIndex;
use crate::storage::rate_limiter::RateLimiter;

/// Fraction of the cloud's rate limit that the leader uses.
const CLOUD_RATE_SHARE: f64 = 0.8;
/// Timeout of requests to provision or release machines, in milliseconds.
const CLOUD_CHANGE_TIMEOUT_MS: u64 = 3000;
/// The protocol's minimum charge: the cloud charges a machine for at least this time, in seconds.
const MIN_CHARGE_S: f64 = 60.0;
/// A machine is released if it has not sent a heartbeat after this many boot times of its type and
/// a lease.
const MAX_BOOT_TIMES: f64 = 3.5;
/// Boot time of a machine type that the cloud doesn't list, in seconds.
const DEFAULT_BOOT_S: f64 = 60.0;

/// A machine type that the cloud offers in one zone, as on-demand or spot instance. The order of
/// the fields determines the order in which requests are made.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Offer {
    /// Name of the machine type.
    pub kind: String,
    /// Index of the zone in the platform's settings.
    pub zone: u16,
    /// Whether the offer is for spot instances.
    pub spot: bool,
}

/// A machine that was provisioned and has not sent a heartbeat yet.
#[derive(Clone, Debug)]
struct PendingProvision {
    kind: String,
    zone: Option<u16>,
    spot: bool,
    since_ms: u64,
}

/// The names of machines on the cloud's list.
#[derive(Debug, Default)]
struct ListedNames {
    names: BTreeSet<String>,
    /// When the first page of the list was requested.
    requested_ms: u64,
}

/// The leader's state of its requests to the cloud.
pub(crate) struct Provisioner {
    rate_limiter: RateLimiter,
    next_list_ms: u64,
    /// Whether a page of the list has been read in this epoch.
    listed_once: bool,
    list_in_flight: bool,
    /// Machines that are expected to register, by name.
    expected: BTreeMap<String, PendingProvision>,
    /// Offers that the cloud refused, and the time before which they are not requested again.
    refused_until_ms: BTreeMap<Offer, u64>,
    /// Offers whose last request the cloud refused, whole or in part.
    last_refused: BTreeSet<Offer>,
    /// Number of provisioning requests made in this epoch, which makes their identifiers unique.
    requests_made: u64,
    requests_in_flight: usize,
    /// Number of machines that the requests in flight ask for, by offer.
    requested: BTreeMap<Offer, u32>,
    /// Machines to release for which a request to the cloud has yet to be sent, or sent again.
    to_release: Vec<MachineIndex>,
    /// The part of the list that has been read so far, page by page.
    partial_list: ListedNames,
    /// The last list that was read completely.
    complete_list: Option<ListedNames>,
}

impl Provisioner {
    /// Creates the state of a new leader, which has not read the cloud's list yet.
    pub fn new(config: &Config) -> Self {
        Provisioner {
            rate_limiter: RateLimiter::new(config.platform.params.cloud.rps * CLOUD_RATE_SHARE),
            next_list_ms: 0,
            listed_once: false,
            list_in_flight: false,
            expected: BTreeMap::new(),
            refused_until_ms: BTreeMap::new(),
            last_refused: BTreeSet::new(),
            requests_made: 0,
            requests_in_flight: 0,
            requested: BTreeMap::new(),
            to_release: Vec::new(),
            partial_list: ListedNames::default(),
            complete_list: None,
        }
    }

    /// Returns the number of provisioned machines that have not sent a heartbeat yet.
    pub fn expected(&self) -> usize {
        self.expected.len()
    }
}

impl Controller {
    /// Reads the cloud's list if that is due, and scales the fleet in and out.
    pub(crate) fn tick_provisioning(&mut self) {
        self.tick_machine_list();
        self.scale_in();
        self.provision();
        self.send_releases();
    }

    /// Returns the age beyond which a machine that has not sent a heartbeat is released.
    fn boot_deadline_ms(&self, kind: &str) -> u64 {
        (self.boot_ms(kind) as f64 * MAX_BOOT_TIMES) as u64 + self.context.config.lease_ms()
    }

    fn boot_ms(&self, kind: &str) -> u64 {
        let machine_type = self.machine_types.iter().find(|machine_type| machine_type.name == kind);
        let boot_s = machine_type.map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
        (boot_s * 1000.0) as u64
    }

    fn machine_has_been_heard_from(&self, index: MachineIndex) -> bool {
        self.machines.get(index).is_some_and(|machine| machine.has_been_heard_from())
    }
}
