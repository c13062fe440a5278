//! The scheduling core of quartzgate. It makes all scheduling decisions and performs no input or
//! output.
//!
//! The daemon passes in [`Event`]s together with the present time and carries out the [`Action`]s
//! that are returned. The core reads no clock, socket or file, and random numbers come from a
//! generator that is passed in, so a simulation is reproducible from its seed.

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

/// Identifies a received request until it is answered.
pub type RequestId = u64;
/// Identifies a call to a peer until its outcome is known.
pub type CallId = u64;

/// The present time according to the clocks of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Monotonic clock: milliseconds since an arbitrary fixed time.
    pub steady_ms: u64,
    /// Wall clock: milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// An input to the core.
#[derive(Debug)]
pub enum Event {
    /// Periodic timer event: only the time has advanced.
    Tick,
    /// A request received on the address for users, workers and health checks.
    Client {
        /// Identifies the request in its answer.
        id: RequestId,
        /// The request as received.
        request: Request,
    },
    /// A request received on the address for other controllers.
    Mesh {
        /// Identifies the request in its answer.
        id: RequestId,
        /// The request as received.
        request: Request,
    },
    /// Load state of this process, and its metrics of sockets and of received requests.
    Load {
        /// Load state that applies from now on.
        state: LoadState,
        /// Values of the metrics, by metric name.
        metrics: Vec<(String, f64)>,
    },
    /// The outcome of a call.
    Outcome {
        /// The identifier of the call, from [`Call::id`].
        call: CallId,
        /// The outcome.
        outcome: Outcome,
    },
}

/// The outcome of a call to a peer.
#[derive(Debug)]
pub enum Outcome {
    /// The peer answered with any status.
    Answer(Response),
    /// No part of the request left this process, so it cannot have any effect.
    NotSent,
    /// No answer was received. The request may have been executed, or may be executed later.
    Lost,
}

/// The receiver of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Peer {
    /// The key-value store.
    State,
    /// The cloud provider's API.
    Cloud,
    /// A worker, identified by the address in its heartbeat.
    Worker(std::net::SocketAddr),
    /// Another controller, identified by its index in the settings.
    Sibling(usize),
}

/// An instruction to the caller of [`Controller::handle`].
#[derive(Debug)]
pub enum Action {
    /// Answer a received request.
    Answer {
        /// Identifies the request.
        id: RequestId,
        /// The answer to send.
        response: Response,
    },
    /// Call a peer.
    Call(Call),
}

/// A call to a peer. Its outcome is reported as [`Event::Outcome`].
#[derive(Debug)]
pub struct Call {
    /// Identifies the call in its outcome.
    pub id: CallId,
    /// The receiver of the call.
    pub peer: Peer,
    /// HTTP method.
    pub method: &'static str,
    /// HTTP path and query.
    pub target: String,
    /// CBOR body.
    pub body: Vec<u8>,
    /// Timeout in milliseconds, after which the outcome is [`Outcome::Lost`].
    pub timeout_ms: u64,
    /// Time in milliseconds after the decision until which the call may be sent, at most
    /// `timeout_ms`. A call that can't be sent by then has the outcome [`Outcome::NotSent`].
    pub send_within_ms: u64,
}
