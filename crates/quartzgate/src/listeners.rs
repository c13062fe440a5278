//! The listening sockets, and the admission of new connections.

use std::io;
use std::net::SocketAddr;

use mio::net::TcpListener;

use crate::clock::Clock;
use crate::connection::Endpoint;
use crate::connections::ConnectionTable;

/// The sockets on which connections are accepted.
pub struct Listeners {
    clients: TcpListener,
    mesh: TcpListener,
}

impl Listeners {
    /// Listens on both addresses, and registers the sockets with the poll of `connections`.
    pub fn bind(
        clients: SocketAddr,
        mesh: SocketAddr,
        connections: &ConnectionTable,
    ) -> Result<Self, ListenError> {
        let listen = |address: SocketAddr, endpoint: Endpoint| -> Result<_, ListenError> {
            let to_listen_error = |source| ListenError { address, source };
            let mut listener = TcpListener::bind(address).map_err(to_listen_error)?;
            connections.register_listener(&mut listener, endpoint).map_err(to_listen_error)?;
            Ok(listener)
        };
        Ok(Listeners {
            clients: listen(clients, Endpoint::Clients)?,
            mesh: listen(mesh, Endpoint::Mesh)?,
        })
    }

    /// Accepts all pending connections. At the limit for inbound connections, a client's
    /// connection is kept only if an idle one can be evicted for it; connections of the other
    /// controllers are always kept.
    pub fn accept(&self, endpoint: Endpoint, connections: &mut ConnectionTable, clock: Clock) {
        loop {
            let stream = match self.listener(endpoint).accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => {
                    // The process is probably out of sockets: an idle connection is evicted to
                    // make room. If none is idle, the next event of this listener retries.
                    if !connections.evict_idle_client() {
                        return;
                    }
                    continue;
                }
            };
            let full = connections.inbound() >= connections.max_inbound();
            if endpoint == Endpoint::Clients && full && !connections.evict_idle_client() {
                continue;
            }
            // Without `TCP_NODELAY` the latency is higher, but the connection works.
            let _ = stream.set_nodelay(true);
            // A connection that can't be registered with the poll is closed; its client retries.
            let _ = connections.insert_inbound(stream, endpoint, clock.steady_ms());
        }
    }

    fn listener(&self, endpoint: Endpoint) -> &TcpListener {
        match endpoint {
            Endpoint::Clients => &self.clients,
            Endpoint::Mesh => &self.mesh,
        }
    }

    /// Returns the address on which clients' connections are accepted.
    #[cfg(test)]
    pub fn client_address(&self) -> SocketAddr {
        self.clients.local_addr().expect("a bound listener has an address")
    }
}

/// A failure to listen on an address, with its cause.
#[derive(Debug, thiserror::Error)]
#[error("can't listen on {address}: {source}")]
pub struct ListenError {
    address: SocketAddr,
    source: io::Error,
}
