//! The scheduling core of quartzgate: decides everything, does no input or output.
//!
//! The daemon feeds [`Event`]s together with the present time and carries out the
//! [`Action`]s that come back. Nothing here reads a clock, a socket or a file, and
//! random numbers come from a generator that is passed in, so that a simulation repeats
//! by its seed.

#![warn(missing_docs)]

mod api;
pub mod capacity;
pub mod config;
mod context;
mod controller;
mod fleet;
mod ids;
mod in_flight;
mod jobs;
mod latency;
mod lease_proxy;
mod membership;
mod metrics;
mod placement;
mod recovery;
mod start_latency;
mod storage;
mod terminal_jobs;

pub use controller::Controller;
pub use placement::{queue, wait};
pub use storage::records;

pub use quartzgate_overload::LoadState;
use quartzgate_wire::http::{Request, Response};

/// Identifies a request that came in and waits for its answer.
pub type RequestId = u64;
/// Identifies a call to a peer that waits for its outcome.
pub type CallId = u64;

/// The present time by the clocks of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Monotonic clock: milliseconds since some fixed moment.
    pub steady_ms: u64,
    /// Wall clock: milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// What has happened.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A request on the address for users, workers and health checks.
    Client {
        /// Identifies the request in its answer.
        id: RequestId,
        /// The request.
        request: Request,
    },
    /// A request on the address for other controllers.
    Mesh {
        /// Identifies the request in its answer.
        id: RequestId,
        /// The request.
        request: Request,
    },
    /// How loaded this process is, and its metrics of requests that waited.
    Load {
        /// State of load from now on.
        state: LoadState,
        /// Metrics by name.
        figures: Vec<(String, f64)>,
    },
    /// How a call ended.
    Outcome {
        /// The call.
        call: CallId,
        /// How it ended.
        outcome: Outcome,
    },
}

/// How a call ended.
#[derive(Debug)]
pub enum Outcome {
    /// The peer answered, with whatever status.
    Answer(Response),
    /// Nothing of the request left this process: it cannot have any effect.
    NotSent,
    /// No answer; the request may have been executed, or may be executed later.
    Lost,
}

/// Whom a call goes to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Peer {
    /// The key-value store.
    State,
    /// The cloud.
    Cloud,
    /// A worker, by the address that its heartbeat names.
    Worker(std::net::SocketAddr),
    /// Another controller, by its index in the settings.
    Sibling(usize),
}

/// What the caller of [`Controller::handle`] is to do.
#[derive(Debug)]
pub enum Action {
    /// Answer a request that came in.
    Answer {
        /// The request.
        id: RequestId,
        /// Its answer.
        response: Response,
    },
    /// Call a peer.
    Call(Call),
}

/// A call to a peer. Its outcome comes back as [`Event::Outcome`].
#[derive(Debug)]
pub struct Call {
    /// Identifies the call in its outcome.
    pub id: CallId,
    /// Whom it goes to.
    pub peer: Peer,
    /// HTTP method.
    pub method: &'static str,
    /// HTTP path and query.
    pub target: String,
    /// CBOR body.
    pub body: Vec<u8>,
    /// Time after which the outcome is [`Outcome::Lost`], in milliseconds.
    pub timeout_ms: u64,
}
