//! The subset of HTTP/1.1 over TCP that the stand-ins and users need.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use quartzgate_wire::http::{
    parse_request_with_limit, parse_response_with_limit, write_request, write_response, Request,
    Response,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Largest body that is accepted, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Largest number of bytes read at a time.
const READ_BYTES: usize = 16 * 1024;

/// A client connection that is kept open between calls.
#[derive(Default)]
pub struct Connection {
    stream: Option<TcpStream>,
}

impl Connection {
    /// Sends a request and returns its response; `None` if none arrives before the timeout.
    pub async fn call(
        &mut self,
        addr: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Option<Response> {
        let exchange = exchange(self.stream.take(), addr, method, target, body);
        let (response, stream) = tokio::time::timeout(timeout, exchange).await.ok()??;
        if !response.close {
            self.stream = Some(stream);
        }
        Some(response)
    }
}

async fn exchange(
    kept: Option<TcpStream>,
    addr: SocketAddr,
    method: &str,
    target: &str,
    body: &[u8],
) -> Option<(Response, TcpStream)> {
    if let Some(stream) = kept {
        if let Some(response_and_stream) = exchange_on(stream, addr, method, target, body).await {
            return Some(response_and_stream);
        }
    }
    let stream = TcpStream::connect(addr).await.ok()?;
    exchange_on(stream, addr, method, target, body).await
}

async fn exchange_on(
    mut stream: TcpStream,
    addr: SocketAddr,
    method: &str,
    target: &str,
    body: &[u8],
) -> Option<(Response, TcpStream)> {
    let mut bytes = Vec::new();
    write_request(&mut bytes, method, target, &addr.to_string(), body);
    stream.write_all(&bytes).await.ok()?;
    let mut buffer = Vec::new();
    loop {
        if let Some((response, _)) = parse_response_with_limit(&buffer, MAX_BODY_BYTES).ok()? {
            return Some((response, stream));
        }
        read_some(&mut stream, &mut buffer).await?;
    }
}

/// Appends the next bytes of a stream to the buffer. Returns `None` at the end of the stream or on
/// an error.
async fn read_some(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let start = buffer.len();
    buffer.resize(start + READ_BYTES, 0);
    let length = stream.read(&mut buffer[start..]).await.ok()?;
    buffer.truncate(start + length);
    (length > 0).then_some(())
}

/// Answers the requests that arrive at a listener. If the handler returns `None`, the caller gets
/// no response and waits until its own timeout.
pub async fn serve<Handler, Answer>(listener: TcpListener, handler: Handler)
where
    Handler: Fn(Request) -> Answer + Clone + 'static,
    Answer: Future<Output = Option<Response>> + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else { return };
        tokio::task::spawn_local(serve_connection(stream, handler.clone()));
    }
}

async fn serve_connection<Handler, Answer>(mut stream: TcpStream, handler: Handler)
where
    Handler: Fn(Request) -> Answer,
    Answer: Future<Output = Option<Response>>,
{
    let mut buffer = Vec::new();
    loop {
        let request = match parse_request_with_limit(&buffer, MAX_BODY_BYTES) {
            Ok(Some((request, length))) => {
                buffer.drain(..length);
                request
            }
            Ok(None) => match read_some(&mut stream, &mut buffer).await {
                Some(()) => continue,
                None => return,
            },
            Err(_) => return,
        };
        let Some(response) = handler(request).await else {
            // Keeps the connection open until the caller times out and closes it.
            while read_some(&mut stream, &mut buffer).await.is_some() {}
            return;
        };
        let mut bytes = Vec::new();
        write_response(&mut bytes, &response);
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
    }
}
