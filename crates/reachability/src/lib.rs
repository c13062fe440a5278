//! Whether a machine that sends heartbeats can also be reached.
//!
//! A heartbeat that arrives proves only that the network carries messages from the machine.
//! That messages reach the machine shows in two other ways: it answers commands, and its
//! agent epochs outlast the lease, which only answers to heartbeats renew. A machine behind
//! such a one-way failure looks alive and empty, so a scheduler that trusted its heartbeats
//! would keep sending it work. [`Reachability`] detects this, and [`DuplicateDetector`]
//! recognises heartbeats that were delivered late or twice. `docs/reachability.md` describes
//! the rules and the alternatives that were considered.
//!
//! The crate does no input or output and reads no clock: times are milliseconds of a
//! monotonic clock and are passed in.
#![warn(missing_docs)]

mod duplicates;
mod reachability;

pub use duplicates::{DuplicateDetector, Freshness, MessageNumber};
pub use reachability::{CommandRoute, Reachability, ReachabilityState, Timing};
