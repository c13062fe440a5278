//! Facilities shared by all modules of the core: settings, the present time, random numbers, and
//! the output of answers and calls.
//!
//! A module that owns its state takes a `&mut Context` in addition to its arguments instead of the
//! whole controller. It records the calls that it makes in its own [`CallTable`], and the
//! controller routes each outcome to the module whose table contains the call.

use std::collections::HashMap;

use quartzgate_wire::http::Response;
use quartzgate_wire::msg::ErrorAnswer;
use quartzgate_wire::to_cbor;
use rand::rngs::SmallRng;

use crate::api::refusal::{RefusalReason, Refusals};
use crate::config::Config;
use crate::latency::Latencies;
use crate::{Action, Call, CallId, Now, Peer, RequestId};

/// Settings, clocks and pending actions, shared by all modules of one controller.
pub(crate) struct Context {
    pub config: Config,
    /// Time of the event that is being handled.
    pub now: Now,
    pub rng: SmallRng,
    pub latencies: Latencies,
    pub refusals: Refusals,
    actions: Vec<Action>,
    next_call: CallId,
}

impl Context {
    pub fn new(config: Config, rng: SmallRng) -> Self {
        let latencies = Latencies::new(config.max_timed_requests());
        Context {
            config,
            now: Now::default(),
            rng,
            latencies,
            refusals: Refusals::default(),
            actions: Vec::new(),
            next_call: 1,
        }
    }

    /// Removes and returns the actions that the event caused, in the order in which they were
    /// requested.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Requests a call and returns the identifier under which its outcome is reported.
    pub fn call(
        &mut self,
        peer: Peer,
        method: &'static str,
        target: String,
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> CallId {
        self.call_within(peer, method, target, body, timeout_ms, timeout_ms)
    }

    /// Requests a call that must not be sent later than `send_within_ms` from now.
    pub fn call_within(
        &mut self,
        peer: Peer,
        method: &'static str,
        target: String,
        body: Vec<u8>,
        timeout_ms: u64,
        send_within_ms: u64,
    ) -> CallId {
        let id = self.next_call;
        self.next_call += 1;
        let send_within_ms = send_within_ms.min(timeout_ms);
        let call = Call { id, peer, method, target, body, timeout_ms, send_within_ms };
        self.actions.push(Action::Call(call));
        id
    }

    /// Requests a call to the key-value store with the timeout for ordinary answers.
    pub fn call_store(&mut self, method: &'static str, target: String, body: Vec<u8>) -> CallId {
        let timeout_ms = self.config.store_timeout_ms();
        self.call(Peer::State, method, target, body, timeout_ms)
    }

    /// Answers a request and ends the measurement of its latency.
    pub fn answer(&mut self, id: RequestId, response: Response) {
        self.latencies.end(id, self.now.steady_ms);
        self.actions.push(Action::Answer { id, response });
    }

    /// Answers a request with an error status and an error text.
    pub fn answer_error(&mut self, id: RequestId, status: u16, error: &str) {
        let body = to_cbor(&ErrorAnswer { error: error.to_string() });
        self.answer(id, Response::new(status, body));
    }

    /// Answers at once that the request cannot be decided now, and when to retry it.
    pub fn answer_unavailable(&mut self, id: RequestId, reason: RefusalReason) {
        self.refusals.count(id, reason, self.now.steady_ms);
        let body = to_cbor(&ErrorAnswer { error: "can't decide at present".into() });
        let mut response = Response::new(503, body);
        response.retry_after_s = Some(1);
        self.answer(id, response);
    }
}

/// Calls of one module whose outcomes are not known yet, and the purpose of each.
pub(crate) struct CallTable<Purpose> {
    in_flight: HashMap<CallId, Purpose>,
}

impl<Purpose> Default for CallTable<Purpose> {
    fn default() -> Self {
        CallTable { in_flight: HashMap::new() }
    }
}

impl<Purpose> CallTable<Purpose> {
    /// Records the purpose of a call.
    pub fn insert(&mut self, call: CallId, purpose: Purpose) {
        self.in_flight.insert(call, purpose);
    }

    /// Removes and returns the purpose of a call, or `None` if this module did not make the call.
    pub fn take(&mut self, call: CallId) -> Option<Purpose> {
        self.in_flight.remove(&call)
    }
}
