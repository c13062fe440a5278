//! Staged activation of record formats and features while controllers of several versions run
//! side by side.
//!
//! Anything that every controller must support before any controller may use it is activated by an
//! [`ActivationStep`]: a new format of the stored records, or a feature that needs no new format.
//! The table [`GATES`] lists them all. Each controller publishes its capabilities under a key that
//! outlives the process. The leader activates one step at a time, by a guarded write, once every
//! controller supports the step. An activation is never undone.
//!
//! The crate does no input or output: the caller passes in what it has read
//! ([`FeatureGates::set_capabilities`], [`FeatureGates::next_activation`]) and writes what is
//! returned. The absence of a key, lease or answer never permits a step; it can only block one.
//!
//! Times are milliseconds of a monotonic clock; revisions are those of the key-value store.
#![warn(missing_docs)]

mod activation;
mod gates;
mod records;
mod table;
mod validation;

pub use activation::{
    ActivationGuard, ActivationStatus, BlockReason, BlockedStep, PlannedActivation,
    UnsupportedActivation,
};
pub use gates::FeatureGates;
pub use records::{ActivationRecord, CapabilityRecord, StoredCapabilities};
pub use table::{Activation, ActivationStep, Feature, FeatureEntry, FormatEntry, GateTable, GATES};
pub use validation::{TableError, UnknownStep};
