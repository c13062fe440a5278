//! One TCP connection: its buffers, its state and its deadlines.
//!
//! A connection handles bytes and HTTP messages; it depends neither on the table that holds it
//! nor on the core. Its state changes only in [`Connection::transition_to`].

use std::io::{self, ErrorKind, Read, Write};

use mio::net::TcpStream;
use quartzgate_core::{CallId, Peer, RequestId};
use quartzgate_wire::http::{self, HttpError, Request, Response};

/// Time limit for each phase of an inbound exchange: receiving the rest of a request, the core's
/// response, and sending that response.
const MAX_EXCHANGE_MS: u64 = 10_000;
/// Idle time after which an inbound connection is closed.
const MAX_INBOUND_IDLE_MS: u64 = 12 * MAX_EXCHANGE_MS;
/// Idle time after which an outbound connection is closed.
const MAX_OUTBOUND_IDLE_MS: u64 = 3 * MAX_EXCHANGE_MS;
/// Deadline value that stands for no deadline.
const NO_DEADLINE: u64 = u64::MAX;
/// Largest capacity that an empty buffer keeps, so that idle connections hold little memory.
const MAX_EMPTY_CAPACITY: usize = 4 * 1024;

/// Bytes buffered in addition to the body of a request: its head and a part of the next request.
const REQUEST_BUFFER_MARGIN: usize = 2 * http::MAX_HEAD_BYTES;
/// Bytes buffered in addition to the body of a response: its head.
const RESPONSE_BUFFER_MARGIN: usize = http::MAX_HEAD_BYTES;

/// The listening address on which an inbound connection was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// Users, workers and health checks.
    Clients,
    /// The other controllers.
    Mesh,
}

/// Which end opened a connection, with the kind of the remote end.
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
    /// Inbound: no request is being processed; a part of the next one may have been read, and the
    /// last response may not be fully sent.
    Reading,
    /// Inbound: a request is queued or is being handled by the core.
    Processing(RequestId),
    /// Outbound: the TCP handshake is not complete; the call's request is in the output buffer.
    Connecting(CallId),
    /// Outbound: a request is being sent, or its response is outstanding.
    Calling(CallId),
    /// Outbound: no call is in flight; the connection can be pooled for the next one.
    Idle,
}

/// Readiness of a socket as the poll reports it.
#[derive(Clone, Copy, Debug)]
pub struct Readiness {
    pub readable: bool,
    pub writable: bool,
}

/// Progress of the TCP handshake of an outbound connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handshake {
    /// The handshake is still in progress.
    Pending,
    /// The connection is established; the request can be sent.
    Complete,
    /// The peer refused the connection, or the call may not be sent any more; nothing was sent.
    Failed,
}

/// Progress of reading the next request from an inbound connection.
#[derive(Debug)]
pub enum RequestProgress {
    /// No complete request can be taken yet.
    Incomplete,
    /// A complete request.
    Complete(Request),
    /// The connection has no further use and is to be closed.
    Finished,
}

/// Progress of reading the response from an outbound connection.
#[derive(Debug)]
pub enum ResponseProgress {
    /// The response is not complete yet, or no call is in flight.
    Incomplete,
    /// The complete response to a call. The connection is idle now, and can carry another call if
    /// it is `reusable`.
    Complete { call: CallId, response: Response, reusable: bool },
    /// The peer closed the connection before the response was complete.
    Interrupted,
    /// The response is not valid HTTP, or exceeds a size limit.
    Malformed,
    /// The peer closed an idle connection, or sent data without a request.
    Finished,
}

/// A TCP connection with its buffers, state and deadlines.
pub struct Connection {
    stream: TcpStream,
    direction: Direction,
    state: State,
    /// Largest body of a received message, in bytes.
    max_body_bytes: usize,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Number of bytes of `output` that have been written to the socket.
    written: usize,
    /// Time at which the socket last became ready or the state last changed.
    last_active_ms: u64,
    /// Deadline of the current call or of the current phase of the exchange.
    deadline_ms: u64,
    /// Outbound: deadline of the call for which the connection is being opened.
    call_deadline_ms: u64,
    /// Inbound: time at which a request was last answered with status 200; 0 if none was.
    last_success_ms: u64,
    /// Inbound: whether a worker has sent a heartbeat on this connection.
    serves_worker: bool,
    /// Whether the connection is to be closed after the current exchange.
    close_after_exchange: bool,
    /// Outbound: whether an earlier call completed on this connection.
    reused: bool,
    /// Whether the remote end has closed its sending direction.
    eof_received: bool,
}

impl Connection {
    /// Creates the state of an accepted connection.
    pub fn inbound(stream: TcpStream, endpoint: Endpoint, now_ms: u64) -> Self {
        let max_body_bytes = match endpoint {
            Endpoint::Clients => http::MAX_BODY_BYTES,
            Endpoint::Mesh => http::MAX_MESH_BODY_BYTES,
        };
        Self::new(stream, Direction::Inbound(endpoint), State::Reading, max_body_bytes, now_ms)
    }

    /// Creates the state of a connection that is being opened for a call. The body of a response
    /// may have at most `max_body_bytes` bytes.
    pub fn outbound(
        stream: TcpStream,
        peer: Peer,
        call: OutboundRequest,
        max_body_bytes: usize,
        now_ms: u64,
    ) -> Self {
        let (direction, state) = (Direction::Outbound(peer), State::Connecting(call.id));
        let mut connection = Self::new(stream, direction, state, max_body_bytes, now_ms);
        connection.output = call.bytes;
        connection.deadline_ms = call.send_by_ms;
        connection.call_deadline_ms = call.deadline_ms;
        connection
    }

    fn new(
        stream: TcpStream,
        direction: Direction,
        state: State,
        max_body_bytes: usize,
        now_ms: u64,
    ) -> Self {
        Connection {
            stream,
            direction,
            state,
            max_body_bytes,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            last_active_ms: now_ms,
            deadline_ms: NO_DEADLINE,
            call_deadline_ms: NO_DEADLINE,
            last_success_ms: 0,
            serves_worker: false,
            close_after_exchange: false,
            reused: false,
            eof_received: false,
        }
    }

    /// Changes the state. No other function does.
    fn transition_to(&mut self, state: State, now_ms: u64, deadline_ms: u64) {
        self.state = state;
        self.last_active_ms = now_ms;
        self.deadline_ms = deadline_ms;
    }

    /// Returns the socket, for registration with the poll.
    pub fn stream_mut(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// Returns which end opened the connection, with the kind of the remote end.
    pub fn direction(&self) -> &Direction {
        &self.direction
    }

    /// Returns the state of the connection.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the time at which the socket last became ready or the state last changed.
    pub fn last_active_ms(&self) -> u64 {
        self.last_active_ms
    }

    /// Returns the deadline of the current call or of the current phase of the exchange.
    pub fn deadline_ms(&self) -> u64 {
        self.deadline_ms
    }

    /// Records that the socket has become ready.
    pub fn record_activity(&mut self, now_ms: u64) {
        self.last_active_ms = now_ms;
    }

    /// Returns whether this is a client's connection between two requests with empty buffers.
    pub fn is_idle_client(&self) -> bool {
        self.direction == Direction::Inbound(Endpoint::Clients)
            && self.state == State::Reading
            && self.has_empty_buffers()
    }

    fn has_empty_buffers(&self) -> bool {
        self.input.is_empty() && self.output.is_empty()
    }

    /// Returns whether the exchange is past its deadline or the connection has been idle too long.
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
        matches!(self.state, State::Reading | State::Idle)
            && now_ms >= self.last_active_ms + max_idle_ms
    }

    /// Writes and reads as far as the socket is ready; an error means that the connection is
    /// broken. `buffer` is scratch space for reading.
    pub fn transfer(&mut self, ready: Readiness, buffer: &mut [u8]) -> io::Result<()> {
        if ready.writable && !self.output.is_empty() {
            self.flush()?;
        }
        if ready.readable {
            self.fill(buffer)?;
        }
        Ok(())
    }

    /// Reads the available data until the input exceeds a bound, so that the remote end can't make
    /// this process buffer an unlimited amount.
    fn fill(&mut self, buffer: &mut [u8]) -> io::Result<()> {
        let max_input = match self.direction {
            Direction::Inbound(_) => self.max_body_bytes + REQUEST_BUFFER_MARGIN,
            Direction::Outbound(_) => self.max_body_bytes + RESPONSE_BUFFER_MARGIN,
        };
        while self.input.len() <= max_input {
            match self.stream.read(buffer) {
                Ok(0) => {
                    self.eof_received = true;
                    break;
                }
                Ok(length) => {
                    self.input.extend_from_slice(&buffer[..length]);
                    // A short read has emptied the socket; further data causes a new event.
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

    /// Writes as much of the output as the socket accepts.
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

    /// Removes a parsed message of `length` bytes from the front of the input.
    fn consume(&mut self, length: usize) {
        self.input.drain(..length);
        if self.input.is_empty() {
            shrink(&mut self.input);
        }
    }
}

/// Inbound connections: requests are read and answered one at a time.
impl Connection {
    /// Takes the next request off the input. While a request is being processed, the next one
    /// stays in the input.
    pub fn next_request(&mut self, now_ms: u64) -> Result<RequestProgress, HttpError> {
        if matches!(self.state, State::Processing(_)) {
            // Without a client to receive the response, the connection has no further use.
            return Ok(self.finished_if(self.eof_received));
        }
        if self.close_after_exchange {
            return Ok(self.finished_if(self.eof_received || self.output.is_empty()));
        }
        if self.input.is_empty() {
            if !self.eof_received {
                self.deadline_ms = NO_DEADLINE;
            }
            return Ok(self.finished_if(self.eof_received));
        }
        let Some((request, length)) =
            http::parse_request_with_limit(&self.input, self.max_body_bytes)?
        else {
            if !self.eof_received && self.deadline_ms == NO_DEADLINE {
                self.deadline_ms = now_ms + MAX_EXCHANGE_MS;
            }
            return Ok(self.finished_if(self.eof_received));
        };
        self.consume(length);
        self.close_after_exchange = request.close;
        Ok(RequestProgress::Complete(request))
    }

    fn finished_if(&self, finished: bool) -> RequestProgress {
        match finished {
            true => RequestProgress::Finished,
            false => RequestProgress::Incomplete,
        }
    }

    /// Records that a request taken off this connection is queued under this id.
    pub fn begin_processing(&mut self, id: RequestId, now_ms: u64) {
        self.transition_to(State::Processing(id), now_ms, now_ms + MAX_EXCHANGE_MS);
    }

    /// Returns whether the request with this id is being processed on this connection.
    pub fn is_processing(&self, id: RequestId) -> bool {
        self.state == State::Processing(id)
    }

    /// Sends the response to the request that is being processed; an error means that the
    /// connection is broken.
    pub fn send_response(&mut self, mut response: Response, now_ms: u64) -> io::Result<()> {
        response.close = self.close_after_exchange;
        if response.status == 200 {
            self.last_success_ms = now_ms;
        }
        http::write_response(&mut self.output, &response);
        self.transition_to(State::Reading, now_ms, now_ms + MAX_EXCHANGE_MS);
        self.flush()
    }

    /// Answers a request that can't be parsed. Since the end of that request is unknown, the
    /// connection can't be used afterwards. Returns whether the response is completely written.
    pub fn send_rejection(&mut self, error: HttpError, now_ms: u64) -> io::Result<bool> {
        self.close_after_exchange = true;
        self.input = Vec::new();
        let mut response = Response::new(error.status(), Vec::new());
        response.close = true;
        http::write_response(&mut self.output, &response);
        self.deadline_ms = now_ms + MAX_EXCHANGE_MS;
        self.flush()?;
        Ok(self.output.is_empty())
    }

    /// Returns the time at which a request was last answered with status 200; 0 if none was.
    pub fn last_success_ms(&self) -> u64 {
        self.last_success_ms
    }

    /// Records that a worker has sent a heartbeat on this connection.
    pub fn mark_worker(&mut self) {
        self.serves_worker = true;
    }

    /// Returns whether a worker has sent a heartbeat on this connection.
    pub fn serves_worker(&self) -> bool {
        self.serves_worker
    }
}

/// The encoded request of a call.
#[derive(Debug)]
pub struct OutboundRequest {
    pub id: CallId,
    pub bytes: Vec<u8>,
    /// Time until which the response may arrive.
    pub deadline_ms: u64,
    /// Time until which the request may be sent.
    pub send_by_ms: u64,
}

/// Outbound connections: calls are carried one at a time.
impl Connection {
    /// Checks whether the TCP handshake is complete. The handshake fails if the socket becomes
    /// ready only when the call may not be sent any more.
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
                self.transition_to(State::Calling(call), now_ms, self.call_deadline_ms);
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

    /// Takes the response to the current call off the input.
    pub fn next_response(&mut self, now_ms: u64) -> ResponseProgress {
        let State::Calling(call) = self.state else {
            return match self.eof_received || !self.input.is_empty() {
                true => ResponseProgress::Finished,
                false => ResponseProgress::Incomplete,
            };
        };
        let (response, length) =
            match http::parse_response_with_limit(&self.input, self.max_body_bytes) {
                Ok(Some(parsed)) => parsed,
                Ok(None) if self.eof_received => return ResponseProgress::Interrupted,
                Ok(None) => return ResponseProgress::Incomplete,
                Err(_) => return ResponseProgress::Malformed,
            };
        self.consume(length);
        self.reused = true;
        self.transition_to(State::Idle, now_ms, NO_DEADLINE);
        let reusable = !response.close && !self.eof_received && self.input.is_empty();
        ResponseProgress::Complete { call, response, reusable }
    }

    /// Returns whether the connection is idle and the peer has not closed it.
    pub fn is_available(&self) -> bool {
        self.state == State::Idle && !self.eof_received
    }

    /// Returns whether the connection was reused and no byte of a response has arrived. If such a
    /// connection breaks, the peer most likely closed it before it received the request, since an
    /// idle connection may be closed at any time.
    pub fn broke_before_response(&self) -> bool {
        self.reused && self.input.is_empty()
    }
}

/// Releases the allocation of an empty buffer if it exceeds [`MAX_EMPTY_CAPACITY`].
fn shrink(buffer: &mut Vec<u8>) {
    if buffer.capacity() > MAX_EMPTY_CAPACITY {
        *buffer = Vec::new();
    }
}
