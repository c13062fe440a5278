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
    /// Listens on both addresses, and has the poll report when connections come.
    pub fn bind(
        clients: SocketAddr,
        mesh: SocketAddr,
        connections: &ConnectionTable,
    ) -> Result<Self, ListenError> {
        let listen = |address: SocketAddr, endpoint: Endpoint| -> Result<_, ListenError> {
            let failed = |source| ListenError { address, source };
            let mut listener = TcpListener::bind(address).map_err(failed)?;
            connections.register_listener(&mut listener, endpoint).map_err(failed)?;
            Ok(listener)
        };
        Ok(Listeners {
            clients: listen(clients, Endpoint::Clients)?,
            mesh: listen(mesh, Endpoint::Mesh)?,
        })
    }

    /// Accepts all connections that wait. Above the limit for inbound connections, one of a
    /// client is accepted only if an idle one can be closed for it; the other controllers
    /// are always accepted.
    pub fn accept(&self, endpoint: Endpoint, connections: &mut ConnectionTable, clock: Clock) {
        loop {
            let stream = match self.listener(endpoint).accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => {
                    // Out of sockets: an idle connection is evicted, or we retry at the next
                    // event.
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
            // Latency is worse without it, but the connection works.
            let _ = stream.set_nodelay(true);
            // A connection that can't be registered is closed; its client tries again.
            let _ = connections.insert_inbound(stream, endpoint, clock.steady_ms());
        }
    }

    fn listener(&self, endpoint: Endpoint) -> &TcpListener {
        match endpoint {
            Endpoint::Clients => &self.clients,
            Endpoint::Mesh => &self.mesh,
        }
    }

    /// Address on which clients are accepted.
    #[cfg(test)]
    pub fn client_address(&self) -> SocketAddr {
        self.clients.local_addr().expect("a bound listener has an address")
    }
}

/// An address on which this process can't listen.
#[derive(Debug, thiserror::Error)]
#[error("can't listen on {address}: {source}")]
pub struct ListenError {
    address: SocketAddr,
    source: io::Error,
}
