//! Provisioning: machines are scaled out by unmet demand and price, and scaled in when they are
//! idle, faulty or gone.
//!
//! `cloud_list` compares the fleet with the cloud's list, `demand` weighs waiting tasks against
//! the free capacity that `capacity_pool` counts, `scale_out` asks for machines and `scale_in`
//! releases them. Invariant: what a machine held counts as gone only when the cloud has
//! confirmed its release or failure, or its lease has expired.

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

/// Share of the cloud's rate limit that is used.
const CLOUD_RATE_SHARE: f64 = 0.8;
/// Timeout of requests that provision or release machines, in milliseconds.
const CLOUD_CHANGE_TIMEOUT_MS: u64 = 3000;
/// A machine is charged for at least this long (PROTOCOL).
const MIN_CHARGE_S: f64 = 60.0;
/// Machines that take longer than this many boot times are given up.
const MAX_BOOT_TIMES: f64 = 3.5;
/// Boot time of a machine type that the cloud doesn't list.
const DEFAULT_BOOT_S: f64 = 60.0;

/// A kind of machine that the cloud offers: type, zone and whether it is spot. The order of the
/// fields is the order in which requests are made.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Offer {
    /// Machine type.
    pub kind: String,
    /// Index of the zone in the platform's settings.
    pub zone: u16,
    /// Whether it is a spot instance.
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

/// The names on the cloud's list.
#[derive(Debug, Default)]
struct ListedNames {
    names: BTreeSet<String>,
    /// When the first page of the list was asked for.
    requested_ms: u64,
}

/// What the leader knows of its requests to the cloud.
pub(crate) struct Provisioner {
    rate_limiter: RateLimiter,
    next_list_ms: u64,
    /// Whether a page of the list has been read in this epoch.
    listed_once: bool,
    list_in_flight: bool,
    /// Machines that are expected to register, by name.
    expected: BTreeMap<String, PendingProvision>,
    /// Offers that were refused, and until when they are not asked for again.
    refused_until_ms: BTreeMap<Offer, u64>,
    /// Requests made in this epoch, for their names.
    requests_made: u64,
    requests_in_flight: usize,
    /// Machines that requests in flight ask for.
    requested: BTreeMap<Offer, u32>,
    /// Machines to release that the cloud has not confirmed.
    to_release: Vec<MachineIndex>,
    /// The list that is being read page by page.
    partial_list: ListedNames,
    /// The last list that was read whole.
    complete_list: Option<ListedNames>,
}

impl Provisioner {
    /// The state of a new leader, who has not read the cloud's list yet.
    pub fn new(config: &Config) -> Self {
        Provisioner {
            rate_limiter: RateLimiter::new(config.platform.params.cloud.rps * CLOUD_RATE_SHARE),
            next_list_ms: 0,
            listed_once: false,
            list_in_flight: false,
            expected: BTreeMap::new(),
            refused_until_ms: BTreeMap::new(),
            requests_made: 0,
            requests_in_flight: 0,
            requested: BTreeMap::new(),
            to_release: Vec::new(),
            partial_list: ListedNames::default(),
            complete_list: None,
        }
    }

    /// Machines that were provisioned and have not sent a heartbeat yet.
    pub fn expected(&self) -> usize {
        self.expected.len()
    }
}

impl Controller {
    /// Reads the cloud's list when it is due, and scales the fleet.
    pub(crate) fn tick_provisioning(&mut self) {
        self.tick_machine_list();
        self.release_idle();
        self.provision();
        self.send_releases();
    }

    /// Age past which a machine that has not sent a heartbeat is given up.
    fn boot_deadline_ms(&self, kind: &str) -> u64 {
        (self.boot_ms(kind) as f64 * MAX_BOOT_TIMES) as u64 + self.context.config.lease_ms()
    }

    fn boot_ms(&self, kind: &str) -> u64 {
        let machine_type = self.machine_types.iter().find(|machine_type| machine_type.name == kind);
        let boot_s = machine_type.map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
        (boot_s * 1000.0) as u64
    }

    fn machine_has_been_heard(&self, index: MachineIndex) -> bool {
        self.machines.get(index).is_some_and(|machine| machine.has_been_heard())
    }
}
