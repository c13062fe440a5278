//! HTTP/1.1 over blocking sockets: a small server and a small client.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use quartzgate_wire::http::{
    parse_request_with_limit, parse_response_with_limit, write_request, write_response, Request,
    Response,
};

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Limit for request bodies that the pages set, which the workers enforce.
pub const PAGE_BODY_LIMIT: usize = 64 * 1024;

/// Handles one request; `None` leaves it unanswered.
pub type Handler = Arc<dyn Fn(Request) -> Option<Response> + Send + Sync>;

/// Listens on a free loopback port and answers requests, one thread a connection.
pub fn serve(handler: Handler, max_body: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let addr = listener.local_addr().expect("a bound listener has an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, handler, max_body));
        }
    });
    addr
}

fn serve_connection(mut stream: TcpStream, handler: Handler, max_body: usize) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    let mut chunk = vec![0; 64 * 1024];
    loop {
        let request = match parse_request_with_limit(&buffer, max_body) {
            Ok(Some((request, length))) => {
                buffer.drain(..length);
                request
            }
            Ok(None) => match stream.read(&mut chunk) {
                Ok(length) if length > 0 => {
                    buffer.extend_from_slice(&chunk[..length]);
                    continue;
                }
                _ => return,
            },
            Err(error) => {
                let mut bytes = Vec::new();
                let mut response = Response::new(error.status(), Vec::new());
                response.close = true;
                write_response(&mut bytes, &response);
                let _ = stream.write_all(&bytes);
                return;
            }
        };
        let Some(response) = handler(request) else {
            while matches!(stream.read(&mut chunk), Ok(length) if length > 0) {}
            return;
        };
        let mut bytes = Vec::new();
        write_response(&mut bytes, &response);
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
}

/// A client that keeps its connection between calls to the same address.
#[derive(Default)]
pub struct Client {
    kept: Option<(SocketAddr, TcpStream)>,
}

impl Client {
    /// Sends a request; `None` if there is no complete response in time.
    pub fn call(
        &mut self,
        addr: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Option<Response> {
        let end = Instant::now() + timeout;
        if let Some((kept_addr, stream)) = self.kept.take() {
            if kept_addr == addr {
                if let Ok(response) = self.exchange(stream, addr, method, target, body, end) {
                    return response;
                }
            }
        }
        let stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
        let _ = stream.set_nodelay(true);
        self.exchange(stream, addr, method, target, body, end).ok().flatten()
    }

    /// `Err` if the connection turned out to be closed, `Ok(None)` if the time ran out.
    fn exchange(
        &mut self,
        mut stream: TcpStream,
        addr: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        end: Instant,
    ) -> Result<Option<Response>, ()> {
        let mut bytes = Vec::new();
        write_request(&mut bytes, method, target, &addr.to_string(), body);
        let _ = stream.set_write_timeout(Some(Duration::from_secs(4)));
        // A refusal may arrive before the whole request is sent, so that a failed write is no
        // reason not to read.
        let written = stream.write_all(&bytes);
        let mut buffer = Vec::new();
        let mut chunk = vec![0; 64 * 1024];
        loop {
            if let Ok(Some((response, _))) = parse_response_with_limit(&buffer, MAX_BODY_BYTES) {
                if !response.close && written.is_ok() {
                    self.kept = Some((addr, stream));
                }
                return Ok(Some(response));
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(None);
            }
            let _ = stream.set_read_timeout(Some(left));
            match stream.read(&mut chunk) {
                Ok(length) if length > 0 => buffer.extend_from_slice(&chunk[..length]),
                Ok(_) => return Err(()),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return Ok(None),
                Err(e) if e.kind() == std::io::ErrorKind::TimedOut => return Ok(None),
                Err(_) => return Err(()),
            }
        }
    }
}
