//! One TCP connection: its buffers and where it stands.

use std::io::{ErrorKind, Read, Write};

use mio::net::TcpStream;
use quartzgate_core::{CallId, Peer, RequestId};

/// Where a connection stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// Inbound, between requests or in the middle of one.
    Reading,
    /// Inbound, its request is with the core.
    Deciding(RequestId),
    /// Outbound, not connected yet; the call's request is in the out-buffer.
    Connecting(CallId),
    /// Outbound, a call is under way.
    Calling(CallId),
    /// Outbound, kept for the next call.
    Idle,
}

pub enum Side {
    Inbound { mesh: bool },
    Outbound { peer: Peer },
}

pub struct Conn {
    pub stream: TcpStream,
    pub side: Side,
    pub state: State,
    pub inbuf: Vec<u8>,
    pub outbuf: Vec<u8>,
    pub written: usize,
    /// When it last moved.
    pub active_ms: u64,
    /// When the present call or request must be over.
    pub deadline_ms: u64,
    /// Inbound: when a request on it was last answered with 200.
    pub answered_ms: u64,
    /// A worker reports here: such connections are not closed for being idle first.
    pub worker: bool,
    /// The peer wants the connection closed after this exchange.
    pub close: bool,
    /// An outbound connection that has served a call before.
    pub used: bool,
    /// The other end has sent all that it will.
    pub ended: bool,
}

/// Largest amount taken off a socket in one go.
const READ_STEP: usize = 16 * 1024;

impl Conn {
    pub fn new(stream: TcpStream, side: Side, state: State, now_ms: u64) -> Self {
        Conn {
            stream,
            side,
            state,
            inbuf: Vec::new(),
            outbuf: Vec::new(),
            written: 0,
            active_ms: now_ms,
            deadline_ms: u64::MAX,
            answered_ms: 0,
            worker: false,
            close: false,
            used: false,
            ended: false,
        }
    }

    /// The one function that changes where a connection stands.
    pub fn to(&mut self, state: State, now_ms: u64, deadline_ms: u64) {
        self.state = state;
        self.active_ms = now_ms;
        self.deadline_ms = deadline_ms;
    }

    /// Inbound, and nothing has come or is to go.
    pub fn idle_inbound(&self) -> bool {
        matches!(self.side, Side::Inbound { mesh: false })
            && self.state == State::Reading
            && self.inbuf.is_empty()
            && self.outbuf.is_empty()
    }

    /// Reads what there is; false if the connection is broken.
    pub fn read(&mut self, scratch: &mut [u8], limit: usize) -> bool {
        loop {
            if self.inbuf.len() > limit {
                return true;
            }
            match self.stream.read(scratch) {
                Ok(0) => {
                    self.ended = true;
                    return true;
                }
                Ok(n) => {
                    self.inbuf.extend_from_slice(&scratch[..n]);
                    // A short read has emptied the socket; more brings a new event.
                    if n < scratch.len() {
                        return true;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
    }

    /// Writes what it can; false if the connection is broken.
    pub fn write(&mut self) -> bool {
        while self.written < self.outbuf.len() {
            match self.stream.write(&self.outbuf[self.written..]) {
                Ok(0) => return false,
                Ok(n) => self.written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        self.outbuf.clear();
        self.written = 0;
        shrink(&mut self.outbuf);
        true
    }

    /// Drops what has been taken off the front of the in-buffer.
    pub fn consume(&mut self, n: usize) {
        self.inbuf.drain(..n);
        if self.inbuf.is_empty() {
            shrink(&mut self.inbuf);
        }
    }

    pub fn scratch() -> Vec<u8> {
        vec![0; READ_STEP]
    }
}

/// Idle connections hold no large buffers.
fn shrink(buf: &mut Vec<u8>) {
    if buf.capacity() > 4096 {
        *buf = Vec::new();
    }
}
