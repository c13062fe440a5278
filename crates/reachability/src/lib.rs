//! Detection of machines that send heartbeats but can't be reached.
//!
//! A heartbeat that arrives proves only that the network carries messages from the machine. Two
//! other observations prove that messages reach the machine: it answers commands, and its agent
//! epochs outlast the lease, which only answers to heartbeats renew. A machine that can send but
//! not receive looks alive and empty, so a scheduler that trusted its heartbeats would keep
//! assigning work to it. [`Reachability`] detects such a one-way failure, and
//! [`DuplicateDetector`] detects heartbeats that were delivered late or twice.
//! `docs/reachability.md` describes the rules and the alternatives that were considered.
//!
//! The crate performs no input or output and reads no clock: callers pass in times, in
//! milliseconds of a monotonic clock.
#![warn(missing_docs)]

mod duplicates;
mod reachability;

pub use duplicates::{DuplicateDetector, Freshness, MessageNumber};
pub use reachability::{CommandRoute, Reachability, ReachabilityState, Timing};
