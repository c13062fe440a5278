//! The scheduling core of quartzgate: decides everything, does no input or output.
//!
//! The daemon feeds [`Event`]s together with the present time and carries out the
//! [`Action`]s that come back. Nothing here reads a clock, a socket or a file, and
//! random numbers come from a generator that is passed in, so that every story can
//! be told again in a test.

mod admission;
mod api;
mod blame;
mod budget;
pub mod capacity;
mod chains;
mod cloud;
pub mod config;
mod controller;
mod deal;
mod dispatch;
mod field;
mod format;
mod gang;
mod ids;
mod jobs;
mod keeper;
mod latency;
mod machines;
mod member;
mod metrics;
mod pages;
mod pause;
mod polls;
mod post;
pub mod queue;
pub mod records;
mod restore;
mod shares;
mod store;
pub mod wait;

pub use controller::Controller;

pub use quartzgate_overload::LoadState;
use quartzgate_wire::http::{Request, Response};

/// Names a request that came in and waits for its answer.
pub type RequestId = u64;
/// Names a call of ours that waits for its outcome.
pub type CallId = u64;

/// The present, as the daemon's clocks show it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Steady clock, milliseconds since some fixed moment.
    pub steady_ms: u64,
    /// Time of day, milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A request on the address for users, workers and health checks.
    Client { id: RequestId, request: Request },
    /// A request of another controller.
    Mesh { id: RequestId, request: Request },
    /// How loaded this process is, and its figures of what waited, for operators.
    Load { state: LoadState, figures: Vec<(String, f64)> },
    /// How one of our calls ended.
    Outcome { call: CallId, outcome: Outcome },
}

#[derive(Debug)]
pub enum Outcome {
    Answer(Response),
    /// Nothing of the request left this process: it can't have any effect.
    NotSent,
    /// No answer; the request may have been executed, or may be executed later.
    Lost,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Peer {
    State,
    Cloud,
    Worker(std::net::SocketAddr),
    /// Another controller, by its place in the settings.
    Sibling(usize),
}

#[derive(Debug)]
pub enum Action {
    Answer { id: RequestId, response: Response },
    Call(Call),
}

#[derive(Debug)]
pub struct Call {
    pub id: CallId,
    pub peer: Peer,
    pub method: &'static str,
    pub target: String,
    pub body: Vec<u8>,
    pub timeout_ms: u64,
}
