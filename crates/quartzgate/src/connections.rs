//! The table of all open connections, and the limits on their number.
//!
//! Users and workers on one hand, calls of our own on the other, each have a part of the
//! socket limit, so that neither can starve the other. Within the inbound part, idle
//! connections are evicted for new ones; within the outbound part, pooled connections are
//! evicted for calls to other peers.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::time::Duration;

use mio::event::Source;
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};
use quartzgate_core::{Peer, RequestId};

use crate::connection::{Connection, Direction, Endpoint, OutboundRequest, Readiness, State};

/// Parts of the socket limit that inbound and outbound connections may hold; the rest is
/// left for listeners, the poll and connections that are being closed.
const MAX_INBOUND_RATIO: f64 = 0.6;
const MAX_OUTBOUND_RATIO: f64 = 0.35;
/// Part of the outbound connections that may go to one sibling: a request of a user that
/// is forwarded holds one until it is answered.
const MAX_SIBLING_RATIO: f64 = 0.125;
/// Connections to a sibling that are allowed in any case.
const MIN_SIBLING_CONNECTIONS: usize = 16;
/// Connections to one peer of the other kinds.
const MAX_STATE_CONNECTIONS: usize = 16;
const MAX_CLOUD_CONNECTIONS: usize = 4;
const MAX_WORKER_CONNECTIONS: usize = 2;

/// Idle inbound connections that are looked for at once when the table is full.
const MAX_EVICTION_CANDIDATES: usize = 64;
/// Most bytes taken off a socket in one read.
const READ_BUFFER_BYTES: usize = 16 * 1024;

const CLIENTS_TOKEN: Token = Token(0);
const MESH_TOKEN: Token = Token(1);
/// Tokens of connections come after those of the listeners.
const FIRST_CONNECTION_TOKEN: usize = 2;

/// Names a connection in the table. It may be given to another connection once the first
/// one is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionKey(usize);

/// What an event of the poll is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventSource {
    /// Connections wait to be accepted.
    Listener(Endpoint),
    /// A connection's socket is ready.
    Connection(ConnectionKey),
}

impl EventSource {
    /// The inverse of the token under which it was registered.
    pub fn from_token(token: Token) -> Self {
        match token {
            CLIENTS_TOKEN => EventSource::Listener(Endpoint::Clients),
            MESH_TOKEN => EventSource::Listener(Endpoint::Mesh),
            Token(n) => EventSource::Connection(ConnectionKey(n - FIRST_CONNECTION_TOKEN)),
        }
    }

    fn token(self) -> Token {
        match self {
            EventSource::Listener(Endpoint::Clients) => CLIENTS_TOKEN,
            EventSource::Listener(Endpoint::Mesh) => MESH_TOKEN,
            EventSource::Connection(ConnectionKey(n)) => Token(n + FIRST_CONNECTION_TOKEN),
        }
    }
}

/// How many connections may be open.
#[derive(Clone, Copy, Debug)]
struct Limits {
    max_inbound: usize,
    max_outbound: usize,
}

impl Limits {
    fn from_sockets(max_sockets: usize) -> Self {
        let part = |ratio: f64| (max_sockets as f64 * ratio) as usize;
        Limits { max_inbound: part(MAX_INBOUND_RATIO), max_outbound: part(MAX_OUTBOUND_RATIO) }
    }

    fn max_to(&self, peer: &Peer) -> usize {
        match peer {
            Peer::State => MAX_STATE_CONNECTIONS,
            Peer::Cloud => MAX_CLOUD_CONNECTIONS,
            Peer::Worker(_) => MAX_WORKER_CONNECTIONS,
            Peer::Sibling(_) => {
                let part = self.max_outbound as f64 * MAX_SIBLING_RATIO;
                (part as usize).max(MIN_SIBLING_CONNECTIONS)
            }
        }
    }
}

/// Whether another connection to a peer may be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutboundCapacity {
    /// It may.
    Available,
    /// The peer has as many connections as it may have.
    PeerLimit,
    /// All outbound connections together have reached their limit, and all are in use.
    SocketLimit,
}

/// A connection that was removed, by what it leaves behind.
#[derive(Debug)]
pub enum Removed {
    /// The request that was being processed on it, if any.
    Inbound(Option<RequestId>),
    /// The peer that it went to, which has room for another one.
    Outbound(Peer),
}

/// An idle inbound connection, and when it was last active as it was found.
struct EvictionCandidate {
    key: ConnectionKey,
    active_ms: u64,
}

/// All open connections.
pub struct ConnectionTable {
    poll: Poll,
    connections: slab::Slab<Connection>,
    limits: Limits,
    max_answer_bytes: usize,
    inbound: usize,
    outbound: usize,
    open_by_peer: HashMap<Peer, usize>,
    /// Idle outbound connections; the one used last is reused first.
    pooled: HashMap<Peer, Vec<ConnectionKey>>,
    /// Idle inbound connections to evict, in order; those that have been active
    /// since are passed over.
    eviction_candidates: VecDeque<EvictionCandidate>,
    read_buffer: Vec<u8>,
}

impl ConnectionTable {
    /// An empty table for a process that may hold so many sockets, and take responses with bodies
    /// of so many bytes.
    pub fn new(max_sockets: usize, max_answer_bytes: usize) -> io::Result<Self> {
        Ok(ConnectionTable {
            poll: Poll::new()?,
            connections: slab::Slab::new(),
            limits: Limits::from_sockets(max_sockets),
            max_answer_bytes,
            inbound: 0,
            outbound: 0,
            open_by_peer: HashMap::new(),
            pooled: HashMap::new(),
            eviction_candidates: VecDeque::new(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
        })
    }

    /// Waits until sockets are ready, at most for `timeout`.
    pub fn wait(&mut self, events: &mut Events, timeout: Duration) -> io::Result<()> {
        match self.poll.poll(events, Some(timeout)) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Ok(()),
            result => result,
        }
    }

    /// Has the poll report when a listener can accept.
    pub fn register_listener(
        &self,
        listener: &mut impl Source,
        endpoint: Endpoint,
    ) -> io::Result<()> {
        let token = EventSource::Listener(endpoint).token();
        self.poll.registry().register(listener, token, Interest::READABLE)
    }

    /// The connection under a key, if it is open.
    pub fn get(&self, key: ConnectionKey) -> Option<&Connection> {
        self.connections.get(key.0)
    }

    /// The connection under a key, if it is open.
    pub fn get_mut(&mut self, key: ConnectionKey) -> Option<&mut Connection> {
        self.connections.get_mut(key.0)
    }

    /// Number of open inbound connections.
    pub fn inbound(&self) -> usize {
        self.inbound
    }

    /// Number of open outbound connections.
    pub fn outbound(&self) -> usize {
        self.outbound
    }

    /// Most inbound connections that clients may hold.
    pub fn max_inbound(&self) -> usize {
        self.limits.max_inbound
    }

    /// Most outbound connections.
    #[cfg(test)]
    pub fn max_outbound(&self) -> usize {
        self.limits.max_outbound
    }

    /// Reads and writes what a connection's socket is ready for; an error means that the
    /// connection is broken.
    pub fn transfer(&mut self, key: ConnectionKey, ready: Readiness) -> io::Result<()> {
        match self.connections.get_mut(key.0) {
            Some(connection) => connection.transfer(ready, &mut self.read_buffer),
            None => Ok(()),
        }
    }

    /// Connections that have exceeded their time.
    pub fn expired(&self, now_ms: u64) -> Vec<ConnectionKey> {
        let expired = self.connections.iter().filter(|(_, c)| c.is_expired(now_ms));
        expired.map(|(n, _)| ConnectionKey(n)).collect()
    }

    /// Closes a connection and takes it out of the table.
    pub fn remove(&mut self, key: ConnectionKey) -> Option<Removed> {
        let mut connection = self.connections.try_remove(key.0)?;
        // A failure leaves nothing behind: closing the socket ends its events as well.
        let _ = self.poll.registry().deregister(connection.stream_mut());
        Some(match connection.direction() {
            Direction::Inbound(_) => {
                self.inbound -= 1;
                Removed::Inbound(match connection.state() {
                    State::Processing(id) => Some(id),
                    _ => None,
                })
            }
            Direction::Outbound(peer) => {
                self.forget_outbound(key, peer);
                Removed::Outbound(peer.clone())
            }
        })
    }

    fn forget_outbound(&mut self, key: ConnectionKey, peer: &Peer) {
        self.outbound -= 1;
        if let Some(open) = self.open_by_peer.get_mut(peer) {
            *open -= 1;
            if *open == 0 {
                self.open_by_peer.remove(peer);
            }
        }
        if let Some(pooled) = self.pooled.get_mut(peer) {
            pooled.retain(|other| *other != key);
            if pooled.is_empty() {
                self.pooled.remove(peer);
            }
        }
    }

    /// Registers a new connection's socket and enters what `build` makes of it.
    fn insert(
        &mut self,
        mut stream: TcpStream,
        build: impl FnOnce(TcpStream) -> Connection,
    ) -> io::Result<()> {
        let entry = self.connections.vacant_entry();
        let token = EventSource::Connection(ConnectionKey(entry.key())).token();
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, token, interest)?;
        entry.insert(build(stream));
        Ok(())
    }
}

/// Inbound connections.
impl ConnectionTable {
    /// Enters an accepted connection.
    pub fn insert_inbound(
        &mut self,
        stream: TcpStream,
        endpoint: Endpoint,
        now_ms: u64,
    ) -> io::Result<()> {
        self.insert(stream, |stream| Connection::inbound(stream, endpoint, now_ms))?;
        self.inbound += 1;
        Ok(())
    }

    /// Evicts the least useful inbound connection: a user's that has been idle longest, else an idle worker's, whose next heartbeat opens a new one. A table full
    /// of connections that nobody uses thus never keeps out a heartbeat. False if none is
    /// idle.
    pub fn evict_idle_client(&mut self) -> bool {
        if self.eviction_candidates.is_empty() {
            self.eviction_candidates = self.find_eviction_candidates();
        }
        while let Some(candidate) = self.eviction_candidates.pop_front() {
            let still_idle = self
                .get(candidate.key)
                .is_some_and(|c| c.is_idle_client() && c.active_ms() == candidate.active_ms);
            if still_idle {
                self.remove(candidate.key);
                return true;
            }
        }
        false
    }

    /// Idle clients: users first, and of each kind those that have been idle longest.
    fn find_eviction_candidates(&self) -> VecDeque<EvictionCandidate> {
        let idle = self.connections.iter().filter(|(_, c)| c.is_idle_client());
        let mut ranked: Vec<(bool, u64, usize)> =
            idle.map(|(n, c)| (c.serves_worker(), c.active_ms(), n)).collect();
        if ranked.len() > MAX_EVICTION_CANDIDATES {
            ranked.select_nth_unstable(MAX_EVICTION_CANDIDATES - 1);
            ranked.truncate(MAX_EVICTION_CANDIDATES);
        }
        ranked.sort_unstable();
        let candidate = |(_, active_ms, n)| EvictionCandidate { key: ConnectionKey(n), active_ms };
        ranked.into_iter().map(candidate).collect()
    }
}

/// Outbound connections.
impl ConnectionTable {
    /// Enters a connection that is being opened for a call.
    pub fn insert_outbound(
        &mut self,
        stream: TcpStream,
        peer: Peer,
        call: OutboundRequest,
        now_ms: u64,
    ) -> io::Result<()> {
        let to = peer.clone();
        let max_body = self.max_answer_bytes;
        self.insert(stream, |stream| Connection::outbound(stream, to, call, max_body, now_ms))?;
        *self.open_by_peer.entry(peer).or_default() += 1;
        self.outbound += 1;
        Ok(())
    }

    /// Keeps an idle connection for the next call to its peer.
    pub fn pool(&mut self, key: ConnectionKey, peer: Peer) {
        self.pooled.entry(peer).or_default().push(key);
    }

    /// Takes an idle connection to a peer out of the pool.
    pub fn take_pooled(&mut self, peer: &Peer) -> Option<ConnectionKey> {
        while let Some(key) = self.pooled.get_mut(peer).and_then(Vec::pop) {
            if self.get(key).is_some_and(Connection::is_available) {
                return Some(key);
            }
        }
        None
    }

    /// Whether another connection to a peer may be opened. If only the limit of all of them
    /// together is in the way, a pooled connection to another peer is closed.
    pub fn make_outbound_capacity(&mut self, peer: &Peer) -> OutboundCapacity {
        let open = self.open_by_peer.get(peer).copied().unwrap_or(0);
        if open >= self.limits.max_to(peer) {
            return OutboundCapacity::PeerLimit;
        }
        if self.outbound >= self.limits.max_outbound && !self.evict_pooled() {
            return OutboundCapacity::SocketLimit;
        }
        OutboundCapacity::Available
    }

    /// Closes the outbound connection that has been idle longest; false if all are in use.
    fn evict_pooled(&mut self) -> bool {
        let idle = self.connections.iter().filter(|(_, c)| c.state() == State::Idle);
        let oldest = idle.min_by_key(|(_, c)| c.active_ms()).map(|(n, _)| ConnectionKey(n));
        oldest.and_then(|key| self.remove(key)).is_some()
    }
}
