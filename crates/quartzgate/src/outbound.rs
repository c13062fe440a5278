//! Calls of the core to its peers: calls that wait for a connection, and calls in flight.
//!
//! Every call ends in exactly one outcome. `NotSent` is reported only when no byte of the
//! request has left this process, so that the call can't have had any effect; a call that may
//! have reached its peer but got no valid response is `Lost`.

use std::collections::{HashMap, VecDeque};
use std::net::{AddrParseError, SocketAddr};

use mio::net::TcpStream;
use quartzgate_core::{Call, CallId, Event, Outcome, Peer};
use quartzgate_wire::http;
use quartzgate_wire::settings::Platform;

use crate::clock::Clock;
use crate::connection::{
    Direction, Handshake, OutboundRequest, Readiness, ResponseProgress, State,
};
use crate::connections::{ConnectionKey, ConnectionTable, OutboundCapacity, Removed};

/// Buffer capacity reserved for the head of a request in addition to its body, in bytes.
const HEAD_CAPACITY: usize = 160;

/// Addresses of the key-value store, of the cloud and of the other controllers, from the settings.
pub struct PeerAddresses {
    state: SocketAddr,
    cloud: SocketAddr,
    siblings: Vec<SocketAddr>,
}

impl PeerAddresses {
    /// Parses the addresses in the settings.
    pub fn from_settings(platform: &Platform) -> Result<Self, AddrParseError> {
        let siblings = platform.siblings.iter().map(|sibling| sibling.addr.parse());
        Ok(PeerAddresses {
            state: platform.services.state.parse()?,
            cloud: platform.services.cloud.parse()?,
            siblings: siblings.collect::<Result<_, _>>()?,
        })
    }

    fn of(&self, peer: &Peer) -> SocketAddr {
        match peer {
            Peer::State => self.state,
            Peer::Cloud => self.cloud,
            Peer::Worker(address) => *address,
            Peer::Sibling(index) => self.siblings[*index],
        }
    }
}

/// A call that waits for a connection.
struct WaitingCall {
    call: Call,
    /// Time until which the response may arrive.
    deadline_ms: u64,
    /// Time until which the request may be sent.
    send_by_ms: u64,
}

/// A call whose request has been handed to a connection.
struct InFlightCall {
    peer: Peer,
    /// Copy of the encoded request for one retry; `None` if the request is not a read or the
    /// retry is used up.
    retry: Option<Vec<u8>>,
}

impl WaitingCall {
    fn bytes(&self) -> usize {
        self.call.body.len()
    }
}

/// Limits on the calls that wait for a connection, over all peers.
#[derive(Clone, Copy, Debug)]
pub struct WaitingLimits {
    /// Largest number of waiting calls.
    pub max_calls: usize,
    /// Largest total size of the bodies of waiting calls, in bytes. A call that waits alone may
    /// exceed it.
    pub max_bytes: usize,
}

/// Queues of the calls that wait for a connection, by peer.
struct WaitingCalls {
    limits: WaitingLimits,
    queues: HashMap<Peer, VecDeque<WaitingCall>>,
    calls: usize,
    bytes: usize,
    /// Peers whose calls wait because all outbound connections together have reached their
    /// limit, in order of arrival. A peer occurs once for each such call.
    socket_limited_peers: VecDeque<Peer>,
}

impl WaitingCalls {
    fn new(limits: WaitingLimits) -> Self {
        WaitingCalls {
            limits,
            queues: HashMap::new(),
            calls: 0,
            bytes: 0,
            socket_limited_peers: VecDeque::new(),
        }
    }

    fn has_room_for(&self, waiting: &WaitingCall) -> bool {
        let fits = self.calls == 0 || self.bytes + waiting.bytes() <= self.limits.max_bytes;
        fits && self.calls < self.limits.max_calls
    }

    fn push(&mut self, waiting: WaitingCall) {
        self.calls += 1;
        self.bytes += waiting.bytes();
        self.queues.entry(waiting.call.peer.clone()).or_default().push_back(waiting);
    }

    fn push_socket_limited(&mut self, waiting: WaitingCall) {
        self.socket_limited_peers.push_back(waiting.call.peer.clone());
        self.push(waiting);
    }

    fn pop(&mut self, peer: &Peer) -> Option<WaitingCall> {
        let Some(waiting) = self.queues.get_mut(peer).and_then(VecDeque::pop_front) else {
            self.queues.remove(peer);
            return None;
        };
        self.calls -= 1;
        self.bytes -= waiting.bytes();
        Some(waiting)
    }

    fn pop_socket_limited_peer(&mut self) -> Option<Peer> {
        self.socket_limited_peers.pop_front()
    }

    /// Removes the calls that may not be sent any more, and returns their ids.
    fn take_expired(&mut self, now_ms: u64) -> Vec<CallId> {
        let mut expired = Vec::new();
        for queue in self.queues.values_mut() {
            queue.retain(|waiting| {
                let in_time = waiting.send_by_ms > now_ms;
                if !in_time {
                    expired.push(waiting.call.id);
                    self.bytes -= waiting.bytes();
                }
                in_time
            });
        }
        self.calls -= expired.len();
        expired
    }
}

/// Executes the calls of the core.
pub struct OutboundCalls {
    clock: Clock,
    addresses: PeerAddresses,
    waiting: WaitingCalls,
    in_flight: HashMap<CallId, InFlightCall>,
    /// Outcomes of ended calls that the core has not handled yet.
    outcomes: VecDeque<Event>,
}

impl OutboundCalls {
    /// Creates a table without calls; `limits` bounds the calls that wait for a connection.
    pub fn new(clock: Clock, addresses: PeerAddresses, limits: WaitingLimits) -> Self {
        OutboundCalls {
            clock,
            addresses,
            waiting: WaitingCalls::new(limits),
            in_flight: HashMap::new(),
            outcomes: VecDeque::new(),
        }
    }

    /// Returns the next outcome for the core, in the order in which the calls ended.
    pub fn next_outcome(&mut self) -> Option<Event> {
        self.outcomes.pop_front()
    }

    /// Starts a call. The call's limits of time count from the time of the decision: a call that
    /// can't be sent in time, because of a process stall in between or for lack of a connection, is
    /// not sent at all.
    pub fn start(&mut self, connections: &mut ConnectionTable, call: Call, decided_ms: u64) {
        let deadline_ms = decided_ms + call.timeout_ms;
        let send_by_ms = decided_ms + call.send_within_ms;
        self.send_or_queue(connections, WaitingCall { call, deadline_ms, send_by_ms });
    }

    /// Handles a ready socket: advances the handshake, transfers data and takes the response.
    pub fn on_ready(
        &mut self,
        connections: &mut ConnectionTable,
        key: ConnectionKey,
        ready: Readiness,
    ) {
        let now_ms = self.clock.steady_ms();
        let Some(connection) = connections.get_mut(key) else { return };
        connection.record_activity(now_ms);
        match connection.advance_handshake(ready, now_ms) {
            Handshake::Pending => return,
            Handshake::Failed => return self.fail(connections, key, Outcome::NotSent),
            Handshake::Complete => {}
        }
        match connections.transfer(key, ready) {
            Ok(()) => self.take_response(connections, key),
            Err(_) => self.on_broken(connections, key),
        }
    }

    /// Ends a connection past its deadline or idle limit. Its call is `NotSent` if the handshake
    /// was not complete, else `Lost`.
    pub fn on_expired(&mut self, connections: &mut ConnectionTable, key: ConnectionKey) {
        match connections.get(key).map(|connection| connection.state()) {
            Some(State::Connecting(_)) => self.fail(connections, key, Outcome::NotSent),
            _ => self.fail(connections, key, Outcome::Lost),
        }
    }

    /// Ends the waiting calls that may not be sent any more.
    pub fn expire_waiting(&mut self, now_ms: u64) {
        for call in self.waiting.take_expired(now_ms) {
            self.finish(call, Outcome::NotSent);
        }
    }

    /// Sends a call on a pooled or a new connection, or queues it until a connection is available.
    /// A call that may not be sent any more or exceeds the limits of the queue is not sent.
    fn send_or_queue(&mut self, connections: &mut ConnectionTable, waiting: WaitingCall) {
        if self.clock.steady_ms() >= waiting.send_by_ms {
            return self.finish(waiting.call.id, Outcome::NotSent);
        }
        let peer = &waiting.call.peer;
        if let Some(key) = connections.take_pooled(peer) {
            let request = self.put_in_flight(waiting);
            return self.send(connections, key, request);
        }
        match connections.make_outbound_capacity(peer) {
            OutboundCapacity::Available => {
                let peer = peer.clone();
                let request = self.put_in_flight(waiting);
                self.connect(connections, peer, request);
            }
            _ if !self.waiting.has_room_for(&waiting) => {
                self.finish(waiting.call.id, Outcome::NotSent);
            }
            OutboundCapacity::PeerLimit => self.waiting.push(waiting),
            OutboundCapacity::SocketLimit => self.waiting.push_socket_limited(waiting),
        }
    }

    /// Registers a call as in flight and encodes its request. A copy of a `GET` request is kept,
    /// since a read may be sent twice.
    fn put_in_flight(&mut self, waiting: WaitingCall) -> OutboundRequest {
        let WaitingCall { call, deadline_ms, send_by_ms } = waiting;
        let host = self.addresses.of(&call.peer).to_string();
        let mut bytes = Vec::with_capacity(call.body.len() + HEAD_CAPACITY);
        http::write_request(&mut bytes, call.method, &call.target, &host, &call.body);
        let retry = (call.method == "GET").then(|| bytes.clone());
        self.in_flight.insert(call.id, InFlightCall { peer: call.peer, retry });
        OutboundRequest { id: call.id, bytes, deadline_ms, send_by_ms }
    }

    /// Sends a request on an idle connection.
    fn send(
        &mut self,
        connections: &mut ConnectionTable,
        key: ConnectionKey,
        request: OutboundRequest,
    ) {
        let now_ms = self.clock.steady_ms();
        let Some(connection) = connections.get_mut(key) else { return };
        if connection.begin_call(request, now_ms).is_err() {
            self.on_broken(connections, key);
        }
    }

    /// Opens a connection for a request; the request is sent once the handshake is complete.
    fn connect(&mut self, connections: &mut ConnectionTable, peer: Peer, request: OutboundRequest) {
        let (now_ms, call) = (self.clock.steady_ms(), request.id);
        let connected = TcpStream::connect(self.addresses.of(&peer)).and_then(|stream| {
            // Without `TCP_NODELAY` the latency is higher, but the connection works.
            let _ = stream.set_nodelay(true);
            connections.insert_outbound(stream, peer, request, now_ms)
        });
        if connected.is_err() {
            self.finish(call, Outcome::NotSent);
        }
    }

    fn take_response(&mut self, connections: &mut ConnectionTable, key: ConnectionKey) {
        let now_ms = self.clock.steady_ms();
        let Some(connection) = connections.get_mut(key) else { return };
        match connection.next_response(now_ms) {
            ResponseProgress::Incomplete => {}
            ResponseProgress::Finished => self.close(connections, key),
            ResponseProgress::Interrupted => self.on_broken(connections, key),
            ResponseProgress::Malformed => self.fail(connections, key, Outcome::Lost),
            ResponseProgress::Complete { call, response, reusable } => {
                let Direction::Outbound(peer) = connection.direction().clone() else { return };
                self.finish(call, Outcome::Answer(response));
                match reusable {
                    true => connections.pool(key, peer.clone()),
                    false => self.close(connections, key),
                }
                self.start_next_waiting(connections, &peer);
            }
        }
    }

    /// Handles a broken connection. If the connection was reused and no byte of a response has
    /// arrived, a read is retried once on a new connection. Any other request that was being sent
    /// may have been executed, so its call is `Lost`.
    fn on_broken(&mut self, connections: &mut ConnectionTable, key: ConnectionKey) {
        let Some(connection) = connections.get(key) else { return };
        let call = match connection.state() {
            State::Connecting(_) => return self.fail(connections, key, Outcome::NotSent),
            State::Calling(call) => call,
            _ => return self.close(connections, key),
        };
        let deadline_ms = connection.deadline_ms();
        let retry = match connection.broke_before_response() {
            true => self.take_retry(call),
            false => None,
        };
        let Some((peer, bytes)) = retry else {
            return self.fail(connections, key, Outcome::Lost);
        };
        self.close(connections, key);
        let send_by_ms = deadline_ms;
        self.connect(
            connections,
            peer,
            OutboundRequest { id: call, bytes, deadline_ms, send_by_ms },
        );
    }

    /// Takes the copy of the request for a retry, with its peer; `None` if no retry is allowed.
    fn take_retry(&mut self, call: CallId) -> Option<(Peer, Vec<u8>)> {
        let in_flight = self.in_flight.get_mut(&call)?;
        let bytes = in_flight.retry.take()?;
        Some((in_flight.peer.clone(), bytes))
    }

    /// Ends the call on a connection, if there is one, with this outcome, and closes the
    /// connection.
    fn fail(&mut self, connections: &mut ConnectionTable, key: ConnectionKey, outcome: Outcome) {
        let Some(connection) = connections.get(key) else { return };
        if let State::Connecting(call) | State::Calling(call) = connection.state() {
            self.finish(call, outcome);
        }
        self.close(connections, key);
    }

    /// Ends a call and queues its outcome. No other function ends calls.
    fn finish(&mut self, call: CallId, outcome: Outcome) {
        self.in_flight.remove(&call);
        self.outcomes.push_back(Event::Outcome { call, outcome });
    }

    fn close(&mut self, connections: &mut ConnectionTable, key: ConnectionKey) {
        if let Some(Removed::Outbound(peer)) = connections.remove(key) {
            self.start_next_waiting(connections, &peer);
        }
    }

    /// Starts the next waiting call after a connection to `peer` has become idle or was closed:
    /// a call that waits for this peer, else one that waits for the limit of all connections.
    fn start_next_waiting(&mut self, connections: &mut ConnectionTable, peer: &Peer) {
        if self.start_next_waiting_for(connections, peer) {
            return;
        }
        if let Some(limited_peer) = self.waiting.pop_socket_limited_peer() {
            self.start_next_waiting_for(connections, &limited_peer);
        }
    }

    /// Starts the next call that waits for this peer, and ends those before it that may not be
    /// sent any more; returns false if no call was started.
    fn start_next_waiting_for(&mut self, connections: &mut ConnectionTable, peer: &Peer) -> bool {
        let now_ms = self.clock.steady_ms();
        while let Some(waiting) = self.waiting.pop(peer) {
            if waiting.send_by_ms > now_ms {
                self.send_or_queue(connections, waiting);
                return true;
            }
            self.finish(waiting.call.id, Outcome::NotSent);
        }
        false
    }
}

#[cfg(test)]
#[path = "../tests/unit/outbound.rs"]
mod tests;
