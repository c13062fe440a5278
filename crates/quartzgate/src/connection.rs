//! One TCP connection: its buffers, its state and its deadlines.
//!
//! A connection knows HTTP messages and bytes, but neither the table that holds it nor the
//! core. Its state changes only in [`Connection::transition_to`].

use std::io::{self, ErrorKind, Read, Write};

use mio::net::TcpStream;
use quartzgate_core::{CallId, Peer, RequestId};
use quartzgate_wire::http::{self, HttpError, Request, Response};

/// Time for the rest of a request, for the core's response, or for taking that response.
const MAX_EXCHANGE_MS: u64 = 10_000;
/// Idle inbound connections are closed after this.
const MAX_INBOUND_IDLE_MS: u64 = 12 * MAX_EXCHANGE_MS;
/// Idle outbound connections are closed after this.
const MAX_OUTBOUND_IDLE_MS: u64 = 3 * MAX_EXCHANGE_MS;
/// Stands for the absence of a deadline.
const NO_DEADLINE: u64 = u64::MAX;
/// Largest capacity that an empty buffer keeps, so that idle connections hold no memory.
const MAX_EMPTY_CAPACITY: usize = 4 * 1024;

/// Bytes buffered of a request beyond its body: its head and a part of the next one.
const REQUEST_BUFFER_MARGIN: usize = 2 * http::MAX_HEAD;
/// Bytes buffered of a response beyond its body: its head.
const RESPONSE_BUFFER_MARGIN: usize = http::MAX_HEAD;

/// The address on which an inbound connection was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// Users, workers and health checks.
    Clients,
    /// The other controllers.
    Mesh,
}

/// Which end opened a connection, and who is at the other one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Accepted from a client.
    Inbound(Endpoint),
    /// Opened by this process to a peer.
    Outbound(Peer),
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Inbound: between two requests, or one is partly read.
    Reading,
    /// Inbound: its request is queued or with the core.
    Processing(RequestId),
    /// Outbound: the handshake is not over; the call's request is in the output buffer.
    Connecting(CallId),
    /// Outbound: a request is being sent, or its response is outstanding.
    Calling(CallId),
    /// Outbound: pooled for the next call.
    Idle,
}

/// What a socket is ready for.
#[derive(Clone, Copy, Debug)]
pub struct Readiness {
    pub readable: bool,
    pub writable: bool,
}

/// How far the handshake of an outbound connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handshake {
    /// The socket says nothing yet.
    Pending,
    /// The peer has accepted; the request can be sent.
    Complete,
    /// The peer refused, or it took too long; nothing was sent.
    Failed,
}

/// What an inbound connection has for its owner.
#[derive(Debug)]
pub enum RequestProgress {
    /// Nothing yet.
    Incomplete,
    /// A whole request.
    Complete(Request),
    /// The connection has no further use.
    Finished,
}

/// What an outbound connection has for its owner.
#[derive(Debug)]
pub enum ResponseProgress {
    /// Nothing yet.
    Incomplete,
    /// The whole response to a call. The connection is idle now, and can carry another
    /// call if it is `reusable`.
    Complete { call: CallId, response: Response, reusable: bool },
    /// The peer closed the connection before the response was complete.
    Interrupted,
    /// The response can't be read.
    Malformed,
    /// The peer closed an idle connection, or sent data without a request.
    Finished,
}

/// A TCP connection.
pub struct Connection {
    stream: TcpStream,
    direction: Direction,
    state: State,
    /// Largest body of a message that comes in, in bytes.
    max_body: usize,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Bytes of `output` that are written already.
    written: usize,
    /// When it was last ready or changed its state.
    active_ms: u64,
    /// When the present call or request must be over.
    deadline_ms: u64,
    /// Inbound: when a request on it was last answered with 200.
    succeeded_ms: u64,
    /// Inbound: a worker has sent a heartbeat on it.
    serves_worker: bool,
    /// The connection is to be closed after this exchange.
    closing: bool,
    /// Outbound: it has completed a call before.
    reused: bool,
    /// The other end has sent all that it will.
    ended: bool,
}

impl Connection {
    /// A connection that was accepted.
    pub fn inbound(stream: TcpStream, endpoint: Endpoint, now_ms: u64) -> Self {
        let max_body = match endpoint {
            Endpoint::Clients => http::MAX_BODY,
            Endpoint::Mesh => http::MAX_MESH_BODY,
        };
        Self::new(stream, Direction::Inbound(endpoint), State::Reading, max_body, now_ms)
    }

    /// A connection that is being opened for a call, whose response may have a body of so many
    /// bytes.
    pub fn outbound(
        stream: TcpStream,
        peer: Peer,
        call: OutboundRequest,
        max_body: usize,
        now_ms: u64,
    ) -> Self {
        let (direction, state) = (Direction::Outbound(peer), State::Connecting(call.id));
        let mut connection = Self::new(stream, direction, state, max_body, now_ms);
        connection.output = call.bytes;
        connection.deadline_ms = call.deadline_ms;
        connection
    }

    fn new(
        stream: TcpStream,
        direction: Direction,
        state: State,
        max_body: usize,
        now_ms: u64,
    ) -> Self {
        Connection {
            stream,
            direction,
            state,
            max_body,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            active_ms: now_ms,
            deadline_ms: NO_DEADLINE,
            succeeded_ms: 0,
            serves_worker: false,
            closing: false,
            reused: false,
            ended: false,
        }
    }

    /// The one function that changes the state.
    fn transition_to(&mut self, state: State, now_ms: u64, deadline_ms: u64) {
        self.state = state;
        self.active_ms = now_ms;
        self.deadline_ms = deadline_ms;
    }

    /// The socket, to register it with the poll.
    pub fn stream_mut(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// Which end opened it, and who is at the other one.
    pub fn direction(&self) -> &Direction {
        &self.direction
    }

    /// What it is doing.
    pub fn state(&self) -> State {
        self.state
    }

    /// When it was last ready or changed its state.
    pub fn active_ms(&self) -> u64 {
        self.active_ms
    }

    /// When its present call or request must be over.
    pub fn deadline_ms(&self) -> u64 {
        self.deadline_ms
    }

    /// Its socket has become ready.
    pub fn touch(&mut self, now_ms: u64) {
        self.active_ms = now_ms;
    }

    /// A client's connection on which nothing has come and nothing is to go.
    pub fn is_idle_client(&self) -> bool {
        self.direction == Direction::Inbound(Endpoint::Clients)
            && self.state == State::Reading
            && self.has_empty_buffers()
    }

    fn has_empty_buffers(&self) -> bool {
        self.input.is_empty() && self.output.is_empty()
    }

    /// Its exchange has exceeded its deadline, or it has been idle for too long.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        self.is_overdue(now_ms) || self.is_idle_too_long(now_ms)
    }

    fn is_overdue(&self, now_ms: u64) -> bool {
        match self.state {
            State::Reading if self.has_empty_buffers() => false,
            State::Idle => false,
            _ => now_ms >= self.deadline_ms,
        }
    }

    fn is_idle_too_long(&self, now_ms: u64) -> bool {
        let max_idle_ms = match self.direction {
            Direction::Inbound(_) => MAX_INBOUND_IDLE_MS,
            Direction::Outbound(_) => MAX_OUTBOUND_IDLE_MS,
        };
        matches!(self.state, State::Reading | State::Idle) && now_ms >= self.active_ms + max_idle_ms
    }

    /// Writes and reads what the socket is ready for; an error means that the connection
    /// is broken. `buffer` is scratch space for reading.
    pub fn transfer(&mut self, ready: Readiness, buffer: &mut [u8]) -> io::Result<()> {
        if ready.writable && !self.output.is_empty() {
            self.flush()?;
        }
        if ready.readable {
            self.fill(buffer)?;
        }
        Ok(())
    }

    /// Reads what has come, up to a bound: the peer can't make us buffer more.
    fn fill(&mut self, buffer: &mut [u8]) -> io::Result<()> {
        let max_input = match self.direction {
            Direction::Inbound(_) => self.max_body + REQUEST_BUFFER_MARGIN,
            Direction::Outbound(_) => self.max_body + RESPONSE_BUFFER_MARGIN,
        };
        while self.input.len() <= max_input {
            match self.stream.read(buffer) {
                Ok(0) => {
                    self.ended = true;
                    break;
                }
                Ok(length) => {
                    self.input.extend_from_slice(&buffer[..length]);
                    // A short read has emptied the socket; more brings a new event.
                    if length < buffer.len() {
                        break;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Writes as much of the output as the socket takes.
    fn flush(&mut self) -> io::Result<()> {
        while self.written < self.output.len() {
            match self.stream.write(&self.output[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(length) => self.written += length,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        self.output.clear();
        self.written = 0;
        shrink(&mut self.output);
        Ok(())
    }

    /// Drops a message that was taken off the front of the input.
    fn consume(&mut self, length: usize) {
        self.input.drain(..length);
        if self.input.is_empty() {
            shrink(&mut self.input);
        }
    }
}

/// Inbound connections: requests are read and answered one after the other.
impl Connection {
    /// Takes the next request off the input. While one is being processed, the next waits.
    pub fn next_request(&mut self, now_ms: u64) -> Result<RequestProgress, HttpError> {
        if matches!(self.state, State::Processing(_)) {
            // If the client has disconnected, nobody can receive the response.
            return Ok(self.finished_if(self.ended));
        }
        if self.closing {
            return Ok(self.finished_if(self.ended || self.output.is_empty()));
        }
        if self.input.is_empty() {
            if !self.ended {
                self.deadline_ms = NO_DEADLINE;
            }
            return Ok(self.finished_if(self.ended));
        }
        let Some((request, length)) = http::parse_request_within(&self.input, self.max_body)?
        else {
            if !self.ended && self.deadline_ms == NO_DEADLINE {
                self.deadline_ms = now_ms + MAX_EXCHANGE_MS;
            }
            return Ok(self.finished_if(self.ended));
        };
        self.consume(length);
        self.closing = request.close;
        Ok(RequestProgress::Complete(request))
    }

    fn finished_if(&self, finished: bool) -> RequestProgress {
        match finished {
            true => RequestProgress::Finished,
            false => RequestProgress::Incomplete,
        }
    }

    /// A request that was taken off it is queued under this id.
    pub fn begin_processing(&mut self, id: RequestId, now_ms: u64) {
        self.transition_to(State::Processing(id), now_ms, now_ms + MAX_EXCHANGE_MS);
    }

    /// Whether this request is being processed on it.
    pub fn is_processing(&self, id: RequestId) -> bool {
        self.state == State::Processing(id)
    }

    /// Answers the request that is being processed; an error means that the connection is
    /// broken.
    pub fn send_response(&mut self, mut response: Response, now_ms: u64) -> io::Result<()> {
        response.close = self.closing;
        if response.status == 200 {
            self.succeeded_ms = now_ms;
        }
        http::write_response(&mut self.output, &response);
        self.transition_to(State::Reading, now_ms, now_ms + MAX_EXCHANGE_MS);
        self.flush()
    }

    /// Answers a request that can't be read; since its end is unknown, the connection has
    /// no use afterwards. True if the response is written whole.
    pub fn send_rejection(&mut self, error: HttpError, now_ms: u64) -> io::Result<bool> {
        self.closing = true;
        self.input = Vec::new();
        let mut response = Response::new(error.status(), Vec::new());
        response.close = true;
        http::write_response(&mut self.output, &response);
        self.deadline_ms = now_ms + MAX_EXCHANGE_MS;
        self.flush()?;
        Ok(self.output.is_empty())
    }

    /// When a request on it was last answered with 200; 0 if none was.
    pub fn succeeded_ms(&self) -> u64 {
        self.succeeded_ms
    }

    /// A worker's heartbeat has come on it.
    pub fn mark_worker(&mut self) {
        self.serves_worker = true;
    }

    /// Whether a worker's heartbeat has come on it.
    pub fn serves_worker(&self) -> bool {
        self.serves_worker
    }
}

/// The request of a call, ready to be sent.
#[derive(Debug)]
pub struct OutboundRequest {
    pub id: CallId,
    pub bytes: Vec<u8>,
    pub deadline_ms: u64,
}

/// Outbound connections: they carry one call after the other.
impl Connection {
    /// Looks whether the handshake is over; if so, the request can be sent.
    pub fn advance_handshake(&mut self, ready: Readiness, now_ms: u64) -> Handshake {
        let State::Connecting(call) = self.state else { return Handshake::Complete };
        if !ready.readable && !ready.writable {
            return Handshake::Pending;
        }
        if now_ms >= self.deadline_ms {
            return Handshake::Failed;
        }
        match self.stream.peer_addr() {
            Ok(_) if self.stream.take_error().ok().flatten().is_none() => {
                self.transition_to(State::Calling(call), now_ms, self.deadline_ms);
                Handshake::Complete
            }
            Err(e) if e.kind() == ErrorKind::NotConnected && !ready.readable => Handshake::Pending,
            _ => Handshake::Failed,
        }
    }

    /// Sends the request of a call on an idle connection; an error means that the
    /// connection is broken.
    pub fn begin_call(&mut self, call: OutboundRequest, now_ms: u64) -> io::Result<()> {
        self.transition_to(State::Calling(call.id), now_ms, call.deadline_ms);
        self.output = call.bytes;
        self.written = 0;
        self.flush()
    }

    /// Takes the response to the present call off the input.
    pub fn next_response(&mut self, now_ms: u64) -> ResponseProgress {
        let State::Calling(call) = self.state else {
            return match self.ended || !self.input.is_empty() {
                true => ResponseProgress::Finished,
                false => ResponseProgress::Incomplete,
            };
        };
        let (response, length) = match http::parse_response_within(&self.input, self.max_body) {
            Ok(Some(parsed)) => parsed,
            Ok(None) if self.ended => return ResponseProgress::Interrupted,
            Ok(None) => return ResponseProgress::Incomplete,
            Err(_) => return ResponseProgress::Malformed,
        };
        self.consume(length);
        self.reused = true;
        self.transition_to(State::Idle, now_ms, NO_DEADLINE);
        let reusable = !response.close && !self.ended && self.input.is_empty();
        ResponseProgress::Complete { call, response, reusable }
    }

    /// It can carry another call.
    pub fn is_available(&self) -> bool {
        self.state == State::Idle && !self.ended
    }

    /// If it breaks now, the peer most likely closed it before it saw the request: an idle
    /// connection may be closed at any time.
    pub fn broke_before_response(&self) -> bool {
        self.reused && self.input.is_empty()
    }
}

/// Gives back a large allocation of an empty buffer.
fn shrink(buffer: &mut Vec<u8>) {
    if buffer.capacity() > MAX_EMPTY_CAPACITY {
        *buffer = Vec::new();
    }
}
