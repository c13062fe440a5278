//! Overload control of a controller.
//!
//! - [`RequestQueue`] decides in which order requests are served when not all of them can be, and
//!   how long each may wait.
//! - [`LoadMonitor`] derives the load state from these waits. In [`LoadState::Shedding`], users'
//!   requests, except aborts, are rejected without being queued.
//! - [`RetryAdvisor`] tells rejected clients when to retry, so that they don't all return at once.
//! - [`FairQueue`] orders work by team and class, so that no team or class starves another.
//! - [`UnansweredJobs`] records the jobs whose status queries are not being answered, and for how
//!   long.
//!
//! The crate does no input or output and reads no clock: times are milliseconds of a monotonic
//! clock, passed in by the caller.
#![warn(missing_docs)]

mod fair_queue;
mod load;
mod request_queue;
mod retry_advisor;
mod unanswered_jobs;

pub use fair_queue::{FairQueue, TagAssigner};
pub use load::{LoadMonitor, LoadState, LoadTransition};
pub use request_queue::{Arrival, Dequeued, Metric, RequestClass, RequestQueue};
pub use retry_advisor::RetryAdvisor;
pub use unanswered_jobs::{LongestUnanswered, UnansweredJobs};
