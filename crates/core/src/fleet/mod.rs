//! Machines: their heartbeats, fencing, fault attribution and provisioning.

pub(crate) mod fault_attribution;
pub(crate) mod machines;
pub(crate) mod provisioning;
