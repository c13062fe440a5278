//! Whether a machine that speaks also hears.
//!
//! Reports that arrive prove that a machine speaks. That it hears shows in two other things:
//! orders sent to it are answered, and its sessions outlast its lease, which only answers to
//! its reports renew. A machine that does not hear draws work for ever if it is judged by its
//! reports: it seems alive and empty. `docs/reachability.md` has the ways that were weighed.

mod copies;
mod hearing;

pub use copies::{Age, Copies};
pub use hearing::{Hearing, Limits, Standing};
