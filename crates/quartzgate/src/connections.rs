//! The table of all open connections, and the limits on their number.
//!
//! Inbound connections and outbound calls each have their own share of the socket limit, so that
//! neither can starve the other. Within the inbound share, idle connections are evicted for new
//! ones; within the outbound share, pooled connections are evicted for calls to other peers.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::time::Duration;

use mio::event::Source;
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};
use quartzgate_core::{Peer, RequestId};

use crate::connection::{Connection, Direction, Endpoint, OutboundRequest, Readiness, State};

/// Share of the socket limit for inbound connections. What inbound and outbound connections leave
/// is reserved for the listeners, the poll and connections that are being closed.
const MAX_INBOUND_RATIO: f64 = 0.6;
/// Share of the socket limit for outbound connections.
const MAX_OUTBOUND_RATIO: f64 = 0.35;
/// Share of the outbound connections for one sibling. The share is limited because each user
/// request that is forwarded to a sibling holds a connection until it is answered.
const MAX_SIBLING_RATIO: f64 = 0.125;
/// Smallest limit for the connections to one sibling.
const MIN_SIBLING_CONNECTIONS: usize = 16;
/// Largest number of connections to the key-value store.
const MAX_STATE_CONNECTIONS: usize = 16;
/// Largest number of connections to the cloud.
const MAX_CLOUD_CONNECTIONS: usize = 4;
/// Largest number of connections to one worker.
const MAX_WORKER_CONNECTIONS: usize = 2;

/// Largest number of idle inbound connections that one search for eviction candidates returns.
const MAX_EVICTION_CANDIDATES: usize = 64;
/// Size of the buffer for one read from a socket, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

const CLIENTS_TOKEN: Token = Token(0);
const MESH_TOKEN: Token = Token(1);
/// First token of a connection; lower tokens belong to the listeners.
const FIRST_CONNECTION_TOKEN: usize = 2;

/// Key of a connection in the table. The key of a removed connection may be reused for another
/// connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionKey(usize);

/// Source of an event that the poll reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventSource {
    /// A listener has connections to accept.
    Listener(Endpoint),
    /// The socket of a connection is ready.
    Connection(ConnectionKey),
}

impl EventSource {
    /// Returns the source that was registered under this token.
    pub fn from_token(token: Token) -> Self {
        match token {
            CLIENTS_TOKEN => EventSource::Listener(Endpoint::Clients),
            MESH_TOKEN => EventSource::Listener(Endpoint::Mesh),
            Token(index) => EventSource::Connection(ConnectionKey(index - FIRST_CONNECTION_TOKEN)),
        }
    }

    fn token(self) -> Token {
        match self {
            EventSource::Listener(Endpoint::Clients) => CLIENTS_TOKEN,
            EventSource::Listener(Endpoint::Mesh) => MESH_TOKEN,
            EventSource::Connection(ConnectionKey(index)) => Token(index + FIRST_CONNECTION_TOKEN),
        }
    }
}

/// Limits on the number of open connections.
#[derive(Clone, Copy, Debug)]
struct Limits {
    max_inbound: usize,
    max_outbound: usize,
}

impl Limits {
    fn from_sockets(max_sockets: usize) -> Self {
        let share = |ratio: f64| (max_sockets as f64 * ratio) as usize;
        Limits { max_inbound: share(MAX_INBOUND_RATIO), max_outbound: share(MAX_OUTBOUND_RATIO) }
    }

    fn max_connections_to(&self, peer: &Peer) -> usize {
        match peer {
            Peer::State => MAX_STATE_CONNECTIONS,
            Peer::Cloud => MAX_CLOUD_CONNECTIONS,
            Peer::Worker(_) => MAX_WORKER_CONNECTIONS,
            Peer::Sibling(_) => {
                let share = self.max_outbound as f64 * MAX_SIBLING_RATIO;
                (share as usize).max(MIN_SIBLING_CONNECTIONS)
            }
        }
    }
}

/// Result of a request to open another connection to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutboundCapacity {
    /// Another connection may be opened.
    Available,
    /// The connections to this peer have reached their limit.
    PeerLimit,
    /// All outbound connections together have reached their limit, and all are in use.
    SocketLimit,
}

/// What the removal of a connection leaves to be cleaned up.
#[derive(Debug)]
pub enum Removed {
    /// The request that was being processed on it, if any.
    Inbound(Option<RequestId>),
    /// The peer of the connection, to which another connection may be opened now.
    Outbound(Peer),
}

/// An idle inbound connection, with its last activity at the time of the search. Later activity
/// disqualifies the connection.
struct EvictionCandidate {
    key: ConnectionKey,
    last_active_ms: u64,
}

/// All open connections, the poll that watches their sockets, and their limits.
pub struct ConnectionTable {
    poll: Poll,
    connections: slab::Slab<Connection>,
    limits: Limits,
    max_response_bytes: usize,
    inbound: usize,
    outbound: usize,
    open_by_peer: HashMap<Peer, usize>,
    /// Idle outbound connections by peer; the most recently used one is reused first.
    pooled: HashMap<Peer, Vec<ConnectionKey>>,
    /// Idle inbound connections to evict, in order; connections that have been active since the
    /// search are skipped.
    eviction_candidates: VecDeque<EvictionCandidate>,
    read_buffer: Vec<u8>,
}

impl ConnectionTable {
    /// Creates an empty table for a process that may open `max_sockets` sockets and accepts
    /// response bodies of at most `max_response_bytes` bytes.
    pub fn new(max_sockets: usize, max_response_bytes: usize) -> io::Result<Self> {
        Ok(ConnectionTable {
            poll: Poll::new()?,
            connections: slab::Slab::new(),
            limits: Limits::from_sockets(max_sockets),
            max_response_bytes,
            inbound: 0,
            outbound: 0,
            open_by_peer: HashMap::new(),
            pooled: HashMap::new(),
            eviction_candidates: VecDeque::new(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
        })
    }

    /// Waits until sockets are ready, for at most `timeout`; a signal may end the wait earlier.
    pub fn wait(&mut self, events: &mut Events, timeout: Duration) -> io::Result<()> {
        match self.poll.poll(events, Some(timeout)) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Ok(()),
            result => result,
        }
    }

    /// Registers a listener with the poll, which then reports when connections can be accepted.
    pub fn register_listener(
        &self,
        listener: &mut impl Source,
        endpoint: Endpoint,
    ) -> io::Result<()> {
        let token = EventSource::Listener(endpoint).token();
        self.poll.registry().register(listener, token, Interest::READABLE)
    }

    /// Returns the connection with this key, if it is open.
    pub fn get(&self, key: ConnectionKey) -> Option<&Connection> {
        self.connections.get(key.0)
    }

    /// Returns the connection with this key for modification, if it is open.
    pub fn get_mut(&mut self, key: ConnectionKey) -> Option<&mut Connection> {
        self.connections.get_mut(key.0)
    }

    /// Returns the number of open inbound connections.
    pub fn inbound(&self) -> usize {
        self.inbound
    }

    /// Returns the number of open outbound connections.
    pub fn outbound(&self) -> usize {
        self.outbound
    }

    /// Returns the number of inbound connections above which clients' connections are accepted only
    /// after an eviction.
    pub fn max_inbound(&self) -> usize {
        self.limits.max_inbound
    }

    /// Returns the largest number of outbound connections.
    #[cfg(test)]
    pub fn max_outbound(&self) -> usize {
        self.limits.max_outbound
    }

    /// Writes and reads as far as the socket of a connection is ready; an error means that the
    /// connection is broken.
    pub fn transfer(&mut self, key: ConnectionKey, ready: Readiness) -> io::Result<()> {
        match self.connections.get_mut(key.0) {
            Some(connection) => connection.transfer(ready, &mut self.read_buffer),
            None => Ok(()),
        }
    }

    /// Returns the connections that are past their deadline or have been idle too long.
    pub fn expired(&self, now_ms: u64) -> Vec<ConnectionKey> {
        let expired = self.connections.iter().filter(|(_, c)| c.is_expired(now_ms));
        expired.map(|(index, _)| ConnectionKey(index)).collect()
    }

    /// Closes a connection and removes it from the table.
    pub fn remove(&mut self, key: ConnectionKey) -> Option<Removed> {
        let mut connection = self.connections.try_remove(key.0)?;
        // A failure can be ignored: closing the socket also removes it from the poll.
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
                self.release_outbound(key, peer);
                Removed::Outbound(peer.clone())
            }
        })
    }

    fn release_outbound(&mut self, key: ConnectionKey, peer: &Peer) {
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

    /// Registers the socket of a new connection and inserts the connection that `build` creates.
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
    /// Inserts an accepted connection.
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

    /// Evicts one idle client's connection: the user connection that has been idle longest, else
    /// an idle worker's connection, since a worker's next heartbeat opens a new one. A table full
    /// of idle connections therefore never blocks a heartbeat. Returns false if no connection is
    /// idle.
    pub fn evict_idle_client(&mut self) -> bool {
        if self.eviction_candidates.is_empty() {
            self.eviction_candidates = self.find_eviction_candidates();
        }
        while let Some(candidate) = self.eviction_candidates.pop_front() {
            let still_idle = self.get(candidate.key).is_some_and(|c| {
                c.is_idle_client() && c.last_active_ms() == candidate.last_active_ms
            });
            if still_idle {
                self.remove(candidate.key);
                return true;
            }
        }
        false
    }

    /// Returns idle clients' connections in eviction order: users before workers, and within each
    /// group the longest idle first.
    fn find_eviction_candidates(&self) -> VecDeque<EvictionCandidate> {
        let idle = self.connections.iter().filter(|(_, c)| c.is_idle_client());
        let mut ranked: Vec<(bool, u64, usize)> =
            idle.map(|(index, c)| (c.serves_worker(), c.last_active_ms(), index)).collect();
        if ranked.len() > MAX_EVICTION_CANDIDATES {
            ranked.select_nth_unstable(MAX_EVICTION_CANDIDATES - 1);
            ranked.truncate(MAX_EVICTION_CANDIDATES);
        }
        ranked.sort_unstable();
        let candidate = |(_, last_active_ms, index)| EvictionCandidate {
            key: ConnectionKey(index),
            last_active_ms,
        };
        ranked.into_iter().map(candidate).collect()
    }
}

/// Outbound connections.
impl ConnectionTable {
    /// Inserts a connection that is being opened for a call.
    pub fn insert_outbound(
        &mut self,
        stream: TcpStream,
        peer: Peer,
        call: OutboundRequest,
        now_ms: u64,
    ) -> io::Result<()> {
        let connection_peer = peer.clone();
        let max_body_bytes = self.max_response_bytes;
        self.insert(stream, |stream| {
            Connection::outbound(stream, connection_peer, call, max_body_bytes, now_ms)
        })?;
        *self.open_by_peer.entry(peer).or_default() += 1;
        self.outbound += 1;
        Ok(())
    }

    /// Adds an idle connection to the pool, for the next call to its peer.
    pub fn pool(&mut self, key: ConnectionKey, peer: Peer) {
        self.pooled.entry(peer).or_default().push(key);
    }

    /// Takes an idle connection to a peer out of the pool; skips connections that the peer has
    /// closed.
    pub fn take_pooled(&mut self, peer: &Peer) -> Option<ConnectionKey> {
        while let Some(key) = self.pooled.get_mut(peer).and_then(Vec::pop) {
            if self.get(key).is_some_and(Connection::is_available) {
                return Some(key);
            }
        }
        None
    }

    /// Determines whether another connection to a peer may be opened. If the limit on all outbound
    /// connections together is reached, closes the longest idle connection to make room.
    pub fn make_outbound_capacity(&mut self, peer: &Peer) -> OutboundCapacity {
        let open = self.open_by_peer.get(peer).copied().unwrap_or(0);
        if open >= self.limits.max_connections_to(peer) {
            return OutboundCapacity::PeerLimit;
        }
        if self.outbound >= self.limits.max_outbound && !self.evict_pooled() {
            return OutboundCapacity::SocketLimit;
        }
        OutboundCapacity::Available
    }

    /// Closes the outbound connection that has been idle longest; returns false if all are in use.
    fn evict_pooled(&mut self) -> bool {
        let idle = self.connections.iter().filter(|(_, c)| c.state() == State::Idle);
        let oldest =
            idle.min_by_key(|(_, c)| c.last_active_ms()).map(|(index, _)| ConnectionKey(index));
        oldest.and_then(|key| self.remove(key)).is_some()
    }
}
