//! Proxies between controllers. Every connection from one controller to another passes through a
//! proxy, which can cut it.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::schedule::CutMode;
use crate::world::SharedWorld;

/// Interval at which a held connection checks whether the cut is over.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Largest number of bytes forwarded at a time.
const BUFFER_BYTES: usize = 16 * 1024;

/// The direction between two controllers that a proxy serves.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    /// The calling controller.
    pub from: usize,
    /// The called controller.
    pub to: usize,
    /// Address of the called controller.
    pub addr: SocketAddr,
}

/// Accepts connections and forwards them to the called controller. While a cut refuses calls, new
/// connections are closed at once.
pub async fn serve(world: SharedWorld, listener: TcpListener, link: Link) {
    loop {
        let Ok((caller, _)) = listener.accept().await else { return };
        if world.borrow().mesh_cut(link.from, link.to) == Some(CutMode::Refuse) {
            continue;
        }
        tokio::task::spawn_local(forward_connection(world.clone(), caller, link));
    }
}

async fn forward_connection(world: SharedWorld, caller: TcpStream, link: Link) {
    let Ok(callee) = TcpStream::connect(link.addr).await else { return };
    let _ = (caller.set_nodelay(true), callee.set_nodelay(true));
    let (caller_reads, caller_writes) = caller.into_split();
    let (callee_reads, callee_writes) = callee.into_split();
    let forward_copy =
        tokio::task::spawn_local(copy(world.clone(), caller_reads, callee_writes, link));
    copy(world, callee_reads, caller_writes, link).await;
    forward_copy.abort();
}

/// Copies one direction of a connection. Depending on the mode of a cut, data that arrives during
/// the cut is held until the cut is over, as packets are, or ends the connection.
async fn copy(world: SharedWorld, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, link: Link) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(length) = from.read(&mut buffer).await else { return };
        if length == 0 {
            return;
        }
        loop {
            let cut = world.borrow().mesh_cut(link.from, link.to);
            match cut {
                None => break,
                Some(CutMode::Refuse) => return,
                Some(CutMode::Hold) => sleep(HOLD_POLL_INTERVAL).await,
            }
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
