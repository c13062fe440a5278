//! In-memory stand-ins for the services that quartzgate calls, for load tests and fault tests.
//!
//! The stand-ins perform no I/O and read no clock: callers pass the time in, in milliseconds.
#![warn(missing_docs)]

mod state_service;

pub use state_service::{Reply, StateService};
