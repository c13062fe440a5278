//! HTTP/1.1 over byte buffers, limited to the parts that the protocols use.
//!
//! The parsers take one message off the front of a buffer, which may hold only a part of the
//! message or additional data after it. `httparse` parses the heads; bodies are framed by
//! `Content-Length` or by chunked encoding. A message with both, or with two different lengths,
//! is malformed, since the two ends could disagree about where the message ends. This module
//! performs no input or output.

#![warn(missing_docs)]

use std::io::Write;

use httparse::{Header, Status};

/// Largest head accepted, in bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Largest body of a request, in bytes; a larger one is refused with 413.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Largest body of a request between controllers, in bytes. Such a body carries a complete request
/// of a user or a worker, together with the sender's own fields.
pub const MAX_MESH_BODY_BYTES: usize = MAX_BODY_BYTES + MAX_HEAD_BYTES;
/// Smallest limit for the body of a response to a controller's call, in bytes. A list of 4,500
/// machines is smaller. The protocol sets no limit for the responses to watches.
pub const MIN_RESPONSE_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// Largest number of headers accepted in a head.
const MAX_HEADERS: usize = 48;
/// Longest chunk size line accepted, in bytes.
const MAX_CHUNK_SIZE_LINE: usize = 64;
/// Terminator of a line and of a chunk's data.
const CRLF: &[u8] = b"\r\n";
/// Media type of all bodies.
const CONTENT_TYPE: &str = "application/cbor";

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Method, spelled as received.
    pub method: String,
    /// Request target: the path with its query string.
    pub target: String,
    /// Body without its framing.
    pub body: Vec<u8>,
    /// Whether the client expects the connection to be closed after this exchange.
    pub close: bool,
}

/// A complete response, either received or to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body without its framing.
    pub body: Vec<u8>,
    /// Value of the `Retry-After` header in seconds; `None` if the header is absent or, in a
    /// received response, not a number of seconds.
    pub retry_after_s: Option<u32>,
    /// Whether the server closes the connection after this exchange.
    pub close: bool,
}

impl Response {
    /// Creates a response without `Retry-After`, after which the connection stays open.
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Response { status, body, retry_after_s: None, close: false }
    }
}

/// Why a message can't be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The bytes are not an HTTP/1.1 message with unambiguous framing.
    #[error("malformed message")]
    Malformed,
    /// The head exceeds [`MAX_HEAD_BYTES`] or has too many headers.
    #[error("head too large")]
    HeadTooLarge,
    /// The body exceeds its limit.
    #[error("body too large")]
    BodyTooLarge,
}

impl HttpError {
    /// Returns the status code of the response to a request that can't be parsed.
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed => 400,
            HttpError::HeadTooLarge => 431,
            HttpError::BodyTooLarge => 413,
        }
    }
}

/// Parses the request at the front of `buffer` and returns it with its length in bytes; returns
/// `None` while the request is incomplete.
pub fn parse_request(buffer: &[u8]) -> Result<Option<(Request, usize)>, HttpError> {
    parse_request_with_limit(buffer, MAX_BODY_BYTES)
}

/// Parses a request like [`parse_request`], with `max_body_bytes` as the limit for the body.
pub fn parse_request_with_limit(
    buffer: &[u8],
    max_body_bytes: usize,
) -> Result<Option<(Request, usize)>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let head_length = match head.parse(buffer) {
        Ok(Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(Status::Partial) if buffer.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
        Err(_) => return Err(HttpError::Malformed),
    };
    let framing = Framing::from_headers(head.headers, head.version == Some(1))?;
    let Some(body) = framing.read_body(buffer, head_length, max_body_bytes)? else {
        return Ok(None);
    };
    let request = Request {
        method: head.method.unwrap_or_default().to_string(),
        target: head.path.unwrap_or_default().to_string(),
        body: body.data,
        close: framing.close,
    };
    Ok(Some((request, body.end)))
}

/// Parses the response at the front of `buffer` and returns it with its length in bytes; returns
/// `None` while the response is incomplete.
pub fn parse_response(buffer: &[u8]) -> Result<Option<(Response, usize)>, HttpError> {
    parse_response_with_limit(buffer, MIN_RESPONSE_LIMIT_BYTES)
}

/// Parses a response like [`parse_response`], with `max_body_bytes` as the limit for the body.
pub fn parse_response_with_limit(
    buffer: &[u8],
    max_body_bytes: usize,
) -> Result<Option<(Response, usize)>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let head_length = match head.parse(buffer) {
        Ok(Status::Complete(length)) => length,
        Ok(Status::Partial) if buffer.len() <= MAX_HEAD_BYTES => return Ok(None),
        _ => return Err(HttpError::Malformed),
    };
    let framing = Framing::from_headers(head.headers, head.version == Some(1))?;
    let Some(body) = framing.read_body(buffer, head_length, max_body_bytes)? else {
        return Ok(None);
    };
    let response = Response {
        status: head.code.unwrap_or(0),
        body: body.data,
        retry_after_s: framing.retry_after_s,
        close: framing.close,
    };
    Ok(Some((response, body.end)))
}

/// Appends an encoded response to `out`.
pub fn write_response(out: &mut Vec<u8>, response: &Response) {
    append(out, format_args!("HTTP/1.1 {} {}\r\n", response.status, reason(response.status)));
    write_content_headers(out, &response.body);
    if let Some(seconds) = response.retry_after_s {
        append(out, format_args!("Retry-After: {seconds}\r\n"));
    }
    if response.close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(CRLF);
    out.extend_from_slice(&response.body);
}

/// Appends an encoded request to `out`. A `POST` request has content headers even if its body is
/// empty.
pub fn write_request(out: &mut Vec<u8>, method: &str, target: &str, host: &str, body: &[u8]) {
    append(out, format_args!("{method} {target} HTTP/1.1\r\nHost: {host}\r\n"));
    if !body.is_empty() || method == "POST" {
        write_content_headers(out, body);
    }
    out.extend_from_slice(CRLF);
    out.extend_from_slice(body);
}

fn write_content_headers(out: &mut Vec<u8>, body: &[u8]) {
    append(out, format_args!("Content-Type: {CONTENT_TYPE}\r\n"));
    append(out, format_args!("Content-Length: {}\r\n", body.len()));
}

fn append(out: &mut Vec<u8>, text: std::fmt::Arguments) {
    out.write_fmt(text).expect("writing to a Vec can't fail");
}

/// The headers that determine the end of the message, the reuse of the connection and the retry.
struct Framing {
    length: Option<usize>,
    chunked: bool,
    close: bool,
    retry_after_s: Option<u32>,
}

/// A body without its framing.
struct Body {
    data: Vec<u8>,
    /// Offset in the buffer at which the message ends.
    end: usize,
}

impl Framing {
    fn from_headers(headers: &[Header], keep_alive: bool) -> Result<Self, HttpError> {
        let mut framing =
            Framing { length: None, chunked: false, close: !keep_alive, retry_after_s: None };
        for header in headers {
            framing.apply_header(header)?;
        }
        if framing.chunked && framing.length.is_some() {
            return Err(HttpError::Malformed);
        }
        Ok(framing)
    }

    fn apply_header(&mut self, header: &Header) -> Result<(), HttpError> {
        let value = std::str::from_utf8(header.value).map_err(|_| HttpError::Malformed)?.trim();
        let name = header.name;
        if name.eq_ignore_ascii_case("content-length") {
            self.set_length(value)?;
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") {
                return Err(HttpError::Malformed);
            }
            self.chunked = true;
        } else if name.eq_ignore_ascii_case("connection") {
            self.set_connection_options(value);
        } else if name.eq_ignore_ascii_case("retry-after") {
            self.retry_after_s = value.parse().ok();
        }
        Ok(())
    }

    fn set_length(&mut self, value: &str) -> Result<(), HttpError> {
        // `parse` alone would accept a leading plus sign.
        if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
            return Err(HttpError::Malformed);
        }
        let length = value.parse().map_err(|_| HttpError::BodyTooLarge)?;
        if self.length.is_some_and(|previous| previous != length) {
            return Err(HttpError::Malformed);
        }
        self.length = Some(length);
        Ok(())
    }

    fn set_connection_options(&mut self, value: &str) {
        for option in value.split(',').map(str::trim) {
            if option.eq_ignore_ascii_case("close") {
                self.close = true;
            } else if option.eq_ignore_ascii_case("keep-alive") {
                self.close = false;
            }
        }
    }

    /// Reads the body of a message whose head ends at `start`; returns `None` while the body is
    /// incomplete.
    fn read_body(
        &self,
        buffer: &[u8],
        start: usize,
        max: usize,
    ) -> Result<Option<Body>, HttpError> {
        if self.chunked {
            return read_chunks(buffer, start, max);
        }
        let length = self.length.unwrap_or(0);
        if length > max {
            return Err(HttpError::BodyTooLarge);
        }
        let end = start + length;
        Ok(buffer.get(start..end).map(|data| Body { data: data.to_vec(), end }))
    }
}

fn read_chunks(buffer: &[u8], start: usize, max: usize) -> Result<Option<Body>, HttpError> {
    let mut body = Body { data: Vec::new(), end: start };
    while let Some(chunk) = read_chunk(&buffer[body.end..], max - body.data.len())? {
        body.end += chunk.encoded_length;
        body.data.extend_from_slice(chunk.data);
        if chunk.data.is_empty() {
            return Ok(Some(body));
        }
    }
    Ok(None)
}

/// One chunk of a body; the last chunk is empty.
struct Chunk<'a> {
    data: &'a [u8],
    /// Length in the buffer, including the size line and the terminator, in bytes.
    encoded_length: usize,
}

/// Reads the chunk at the front of `buffer`; returns `None` while the chunk is incomplete.
fn read_chunk(buffer: &[u8], max: usize) -> Result<Option<Chunk<'_>>, HttpError> {
    let (data_start, size) = match httparse::parse_chunk_size(buffer) {
        Ok(Status::Complete(line)) => line,
        Ok(Status::Partial) if buffer.len() <= MAX_CHUNK_SIZE_LINE => return Ok(None),
        Ok(Status::Partial) | Err(_) => return Err(HttpError::Malformed),
    };
    let size = usize::try_from(size).map_err(|_| HttpError::BodyTooLarge)?;
    if size > max {
        return Err(HttpError::BodyTooLarge);
    }
    let encoded_length = data_start + size + CRLF.len();
    let Some(data) = buffer.get(data_start..encoded_length) else { return Ok(None) };
    let (data, end) = data.split_at(size);
    if end != CRLF {
        return Err(HttpError::Malformed);
    }
    Ok(Some(Chunk { data, encoded_length }))
}

/// Returns the reason phrase of a status code, or `Status` for a code that is not in use.
fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
