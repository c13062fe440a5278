//! The HTTP interface for users: submissions, status queries, aborts and readiness.
//!
//! The leader decides requests from its memory and the key-value store. Any other controller
//! forwards requests to the leader or, if the leader does not answer, decides them from the
//! key-value store alone.
//!
//! A job state that can still change is reported only after a fresh read of the store. A terminal
//! state never changes and may be reported from memory.
//!
//! - [`routing`] parses requests and selects the controller that decides them; [`forwarding`]
//!   sends them to that controller.
//! - [`submit`] and [`abort`] record submissions and aborts; [`handoff`] imports those that were
//!   recorded without the leader into the leader's memory.
//! - [`abort_confirmations`] holds back the confirmation of an abort while a leader that doesn't know
//!   it may start tasks.
//! - [`status`] answers status queries from records. [`status_queries`] answers them from the
//!   leader's memory and validates many answers with one read; [`status_reads`] reads the records
//!   for all other queries, the longest unanswered job first.
//! - [`query_tracking`] follows each query until it is answered; [`refusal`] names the reasons for
//!   which a request gets no decision.
//! - [`admissibility`] decides from the [`machine_types`] whether a job can ever run;
//!   [`admission`] limits how many submissions are accepted.

mod abort;
pub(crate) mod abort_confirmations;
mod admissibility;
pub(crate) mod admission;
pub(crate) mod forwarding;
mod handoff;
mod machine_types;
pub(crate) mod query_tracking;
pub(crate) mod refusal;
mod routing;
mod status;
pub(crate) mod status_queries;
pub(crate) mod status_reads;
mod submit;

use quartzgate_wire::msg::Guard;

use crate::controller::Controller;
use crate::storage::records::EPOCH_KEY;

pub(crate) use abort::ABORTED_PATH;
pub(crate) use routing::UserRequest;
pub(crate) use submit::Rejection;

/// Number of writes in a decision without the leader: the job's record and its handoff entry.
const WRITES_WITHOUT_LEADER: f64 = 2.0;

impl Controller {
    /// Returns the guard of every write of the leader: the epoch record is still the leader's own.
    fn epoch_guard(&self) -> Guard {
        Guard { key: EPOCH_KEY.into(), revision: self.membership.epoch_revision() }
    }
}
