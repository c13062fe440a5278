//! HTTP over blocking sockets: a server with a thread a connection, and a client connection.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use quartzgate_wire::http::{
    parse_request_with_limit, parse_response_with_limit, write_request, write_response, Request,
    Response,
};

/// Largest request body, as the protocol page says: 64 KiB.
const MAX_REQUEST: usize = 64 * 1024;
const MAX_RESPONSE: usize = 4 * 1024 * 1024;

/// Answers the requests on a listener. A handler that returns `None` gives no answer: the caller
/// waits until it gives up.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(Request) -> Option<Response> + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

fn serve_connection(mut stream: TcpStream, handler: &dyn Fn(Request) -> Option<Response>) {
    let _ = stream.set_nodelay(true);
    let (mut buffer, mut chunk) = (Vec::new(), vec![0; 16 * 1024]);
    loop {
        match parse_request_with_limit(&buffer, MAX_REQUEST) {
            Ok(Some((request, length))) => {
                buffer.drain(..length);
                let close = request.close;
                let Some(mut response) = handler(request) else {
                    while matches!(stream.read(&mut chunk), Ok(n) if n > 0) {}
                    return;
                };
                response.close = close;
                let mut bytes = Vec::new();
                write_response(&mut bytes, &response);
                if stream.write_all(&bytes).is_err() || close {
                    return;
                }
            }
            Ok(None) => match stream.read(&mut chunk) {
                Ok(n) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
                _ => return,
            },
            Err(error) => {
                let mut bytes = Vec::new();
                write_response(&mut bytes, &Response::new(error.status(), Vec::new()));
                let _ = stream.write_all(&bytes);
                return;
            }
        }
    }
}

/// A connection that stays open between requests.
#[derive(Default)]
pub struct Client {
    open: Option<(SocketAddr, TcpStream)>,
}

impl Client {
    /// Sends a request; `None` if no answer comes in time or the connection fails, after which the
    /// connection is closed.
    pub fn call(
        &mut self,
        addr: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Option<Response> {
        let until = Instant::now() + timeout;
        let kept = self.open.take().filter(|(to, _)| *to == addr).map(|(_, stream)| stream);
        let mut stream = match kept {
            Some(stream) => stream,
            None => {
                TcpStream::connect_timeout(&addr, timeout.min(Duration::from_millis(500))).ok()?
            }
        };
        let _ = stream.set_nodelay(true);
        let mut bytes = Vec::new();
        write_request(&mut bytes, method, target, &addr.to_string(), body);
        stream.write_all(&bytes).ok()?;
        let (mut buffer, mut chunk) = (Vec::new(), vec![0; 16 * 1024]);
        loop {
            if let Some((response, _)) = parse_response_with_limit(&buffer, MAX_RESPONSE).ok()? {
                if !response.close {
                    self.open = Some((addr, stream));
                }
                return Some(response);
            }
            let left = until.checked_duration_since(Instant::now()).filter(|d| !d.is_zero())?;
            stream.set_read_timeout(Some(left)).ok()?;
            match stream.read(&mut chunk) {
                Ok(n) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
                _ => return None,
            }
        }
    }

    pub fn close(&mut self) {
        self.open = None;
    }
}

/// Whether a controller is cut off.
pub type Cut = Arc<AtomicBool>;

/// Starts a proxy to `target` and returns its address. While one of the cuts is on, it holds what
/// arrives on either side, new connections too, and delivers it when the cut is over.
pub fn proxy(target: SocketAddr, cuts: Vec<Cut>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let addr = listener.local_addr().expect("a bound address");
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let cuts = cuts.clone();
            std::thread::spawn(move || {
                wait_for(&cuts);
                let Ok(far) = TcpStream::connect(target) else { return };
                let (Ok(near_writer), Ok(far_writer)) = (near.try_clone(), far.try_clone()) else {
                    return;
                };
                let back = cuts.clone();
                std::thread::spawn(move || forward(far, near_writer, &back));
                forward(near, far_writer, &cuts);
            });
        }
    });
    addr
}

fn wait_for(cuts: &[Cut]) {
    while cuts.iter().any(|cut| cut.load(Ordering::SeqCst)) {
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, cuts: &[Cut]) {
    let _ = to.set_nodelay(true);
    let mut chunk = vec![0; 16 * 1024];
    loop {
        let read = from.read(&mut chunk);
        wait_for(cuts);
        match read {
            Ok(n) if n > 0 && to.write_all(&chunk[..n]).is_ok() => {}
            _ => {
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

/// Returns a free loopback port. The socket is closed again, for the process that will listen there.
/// The port is below those that the system gives to outgoing connections, so that none of them takes
/// it in between.
pub fn free_addr() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 12_000 + (std::process::id() % 1_500) as u16 * 12;
    loop {
        let port = first + NEXT.fetch_add(1, Ordering::Relaxed) % 800;
        if let Ok(addr) =
            TcpListener::bind(("127.0.0.1", port)).and_then(|listener| listener.local_addr())
        {
            return addr;
        }
    }
}
