//! The fleet: machines and their states, heartbeats, commands and fencing, fault attribution,
//! and provisioning.
//!
//! Only the leader keeps a [`Machine`] for each worker. Heartbeats, outcomes of commands and the
//! cloud's list of machines update a `Machine`; tasks that a machine loses return to the queue.
//! This module maintains two invariants: a command whose outcome is unknown can't take effect
//! later (`commands`), and a task is requeued only when it is proven that it runs nowhere
//! (`reconciliation`, `silent_machines`).

mod calls;
mod commands;
pub(crate) mod fault_attribution;
mod heartbeat_relay;
mod heartbeats;
mod machine;
mod machine_states;
mod machine_table;
mod out_of_zone_workers;
pub(crate) mod provisioning;
mod reconciliation;
mod reconciling_orders;
mod relayed_orders;
mod resources;
mod silent_machines;

pub(crate) use calls::FleetCall;
pub(crate) use out_of_zone_workers::OutOfZoneWorkers;
pub(crate) use relayed_orders::{has_starts, without_starts};

/// Types that describe machines, re-exported for the modules that place work on machines.
pub(crate) mod machines {
    pub(crate) use super::heartbeats::is_plausible;
    pub(crate) use super::machine::{Machine, MachineState};
    pub(crate) use super::machine_table::Machines;
    pub(crate) use super::resources::Resources;
}
