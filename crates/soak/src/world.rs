//! State that all stand-ins of a run share: the clock, the random number generator, the simulated
//! services and machines, the active faults and the history.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Instant;

use quartzgate_stand_ins::StateService;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::checks::History;
use crate::machine::Machine;
use crate::schedule::{CutMode, FaultKind, Target};
use crate::settings::node_name;

/// Key of the record in the state service that names the leader.
const LEADER_KEY: &str = "view/leader";

/// A fault that has begun, with the controller that it affects.
#[derive(Clone, Copy, Debug)]
pub struct ActiveFault {
    /// The kind of the fault, with its parameters.
    pub kind: FaultKind,
    /// The affected controller; `None` if the fault does not target one.
    pub node: Option<usize>,
    /// When the fault is over.
    pub until_ms: u64,
    /// Hashed with a machine's name to decide whether the fault affects the machine.
    pub salt: u64,
}

/// Longest time for which commands still take other routes, or arrive late, after a fault.
const MAX_DETOUR_MS: u64 = 16_000;

/// Shared state of a run.
pub struct World {
    started_at: Instant,
    /// Random number generator of the stand-ins and users, seeded with the run's seed.
    pub rng: SmallRng,
    /// The state service, which all controllers share.
    pub store: StateService,
    /// Existing machines by name, including those that are still booting.
    pub machines: BTreeMap<String, Machine>,
    /// Names of the machines created for each provisioning request, by its id.
    pub machines_by_provision_id: BTreeMap<String, Vec<String>>,
    /// Number of machines created so far.
    pub machines_created: u32,
    /// Number of jobs that users have created.
    pub jobs_created: u32,
    /// IP address on which the stand-ins listen.
    pub ip: IpAddr,
    /// Address at which each controller serves users and workers.
    pub client_addresses: Vec<SocketAddr>,
    /// Faults that have begun; those that are over remain, and [`World::active`] leaves them out.
    pub faults: Vec<ActiveFault>,
    /// Observations of the run, and the violations found.
    pub history: History,
    /// Whether the run is over, after which workers stop.
    pub ended: bool,
}

/// Reference to the state, shared by the async tasks of a run.
pub type SharedWorld = Rc<RefCell<World>>;

impl World {
    /// Creates the state at the start of a run, without machines.
    pub fn new(seed: u64, ip: IpAddr, client_addresses: Vec<SocketAddr>) -> Self {
        World {
            started_at: Instant::now(),
            rng: SmallRng::seed_from_u64(seed),
            store: StateService::default(),
            machines: BTreeMap::new(),
            machines_by_provision_id: BTreeMap::new(),
            machines_created: 0,
            jobs_created: 0,
            ip,
            client_addresses,
            faults: Vec::new(),
            history: History::default(),
            ended: false,
        }
    }

    /// Returns the milliseconds since the run began.
    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Returns the number of controllers, including those that are down.
    pub fn nodes(&self) -> usize {
        self.client_addresses.len()
    }

    /// Returns the controller that the leader record in the state service names.
    pub fn leader(&self) -> Option<usize> {
        let record = self.store.value(LEADER_KEY)?.as_map()?;
        let is_named = |node: usize| {
            let name = node_name(node);
            record.iter().any(|(_, value)| value.as_text() == Some(name.as_str()))
        };
        (0..self.nodes()).find(|node| is_named(*node))
    }

    /// Returns the controller that a target denotes now; a random one if there is no leader.
    pub fn resolve_target(&mut self, target: Target) -> usize {
        match target {
            Target::Node(node) => node,
            Target::Leader => {
                let random_node = self.rng.random_range(0..self.nodes());
                self.leader().unwrap_or(random_node)
            }
        }
    }

    /// Returns the faults that have begun and are not over.
    pub fn active(&self) -> impl Iterator<Item = &ActiveFault> {
        let now_ms = self.now_ms();
        self.faults.iter().filter(move |fault| fault.until_ms > now_ms)
    }

    /// Returns whether a command that arrives now may have been held up on its way through other
    /// controllers: because of a recent fault, commands were relayed or mailed, or links between
    /// controllers held messages.
    pub fn may_be_held_on_its_way(&self, received_ms: u64) -> bool {
        let holds_commands = |kind| {
            matches!(
                kind,
                FaultKind::CutMesh { mode: CutMode::Hold, .. }
                    | FaultKind::CutWorkers { .. }
                    | FaultKind::DeafWorkers { .. }
            )
        };
        let is_recent = |fault: &&ActiveFault| fault.until_ms + MAX_DETOUR_MS > received_ms;
        self.faults.iter().filter(is_recent).any(|fault| holds_commands(fault.kind))
    }

    /// Returns how a controller is cut off from the state service; `None` if it is not.
    pub fn store_cut(&self, node: usize) -> Option<CutMode> {
        self.active().find_map(|fault| match fault.kind {
            FaultKind::StoreOut => Some(CutMode::Refuse),
            FaultKind::CutStore { mode, .. } if fault.node == Some(node) => Some(mode),
            _ => None,
        })
    }

    /// Returns how two controllers are cut off from each other; `None` if they are not.
    pub fn mesh_cut(&self, a: usize, b: usize) -> Option<CutMode> {
        self.active().find_map(|fault| match fault.kind {
            FaultKind::CutMesh { mode, .. } if fault.node == Some(a) || fault.node == Some(b) => {
                Some(mode)
            }
            _ => None,
        })
    }

    /// Returns whether an active fault that `is_kind` accepts affects this machine. A fault affects
    /// the same machines for as long as it is active.
    pub fn fault_affects_machine(&self, machine: &str, is_kind: fn(FaultKind) -> bool) -> bool {
        self.active()
            .any(|fault| is_kind(fault.kind) && unit_hash(machine, fault.salt) < fault.kind.share())
    }

    /// Decides at random whether a message is affected by the active faults that `is_kind` accepts.
    /// The probability is the largest share among these faults.
    pub fn fault_affects_message(&mut self, is_kind: fn(FaultKind) -> bool) -> bool {
        let matching = self.active().filter(|fault| is_kind(fault.kind));
        let share = matching.map(|fault| fault.kind.share()).fold(0.0, f64::max);
        share > 0.0 && self.rng.random_bool(share)
    }
}

/// Hashes a name and a salt to a number from 0 to 1.
fn unit_hash(name: &str, salt: u64) -> f64 {
    let mixed = name.bytes().fold(salt ^ 0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    let spread = (mixed ^ (mixed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    (spread >> 11) as f64 / (1u64 << 53) as f64
}
