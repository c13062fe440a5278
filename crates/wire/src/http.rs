//! HTTP/1.1 over byte buffers: httparse for the heads, bodies by length or chunks.

/// Heads larger than this are refused.
pub const MAX_HEAD: usize = 8 * 1024;
/// Request bodies larger than this are refused with 413.
pub const MAX_BODY: usize = 64 * 1024;
/// Requests between controllers carry a whole request of a user or a worker, and what the
/// sender says of itself.
pub const MAX_MESH_BODY: usize = MAX_BODY + MAX_HEAD;
/// Least limit for bodies of answers to our own calls: a listing of 4,500 machines takes
/// less. Listings come in parts of 512 KiB; watches have no limit of their own.
pub const MIN_ANSWER_LIMIT: usize = 4 * 1024 * 1024;
const MAX_HEADERS: usize = 48;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    /// Path with its query.
    pub target: String,
    pub body: Vec<u8>,
    pub close: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after_s: Option<u32>,
    pub close: bool,
}

impl Response {
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Response { status, body, retry_after_s: None, close: false }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    #[error("malformed message")]
    Malformed,
    #[error("head too large")]
    HeadTooLarge,
    #[error("body too large")]
    BodyTooLarge,
}

impl HttpError {
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed => 400,
            HttpError::HeadTooLarge => 431,
            HttpError::BodyTooLarge => 413,
        }
    }
}

struct Framing {
    length: Option<usize>,
    chunked: bool,
    close: bool,
    retry_after_s: Option<u32>,
}

fn framing(headers: &[httparse::Header], keep_alive: bool) -> Result<Framing, HttpError> {
    let mut f = Framing { length: None, chunked: false, close: !keep_alive, retry_after_s: None };
    for h in headers {
        let text = std::str::from_utf8(h.value).map_err(|_| HttpError::Malformed)?.trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
                return Err(HttpError::Malformed);
            }
            let n: usize = text.parse().map_err(|_| HttpError::BodyTooLarge)?;
            if f.length.is_some_and(|old| old != n) {
                return Err(HttpError::Malformed);
            }
            f.length = Some(n);
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            if !text.eq_ignore_ascii_case("chunked") {
                return Err(HttpError::Malformed);
            }
            f.chunked = true;
        } else if h.name.eq_ignore_ascii_case("connection") {
            for word in text.split(',').map(str::trim) {
                if word.eq_ignore_ascii_case("close") {
                    f.close = true;
                } else if word.eq_ignore_ascii_case("keep-alive") {
                    f.close = false;
                }
            }
        } else if h.name.eq_ignore_ascii_case("retry-after") {
            f.retry_after_s = text.parse().ok();
        }
    }
    if f.chunked && f.length.is_some() {
        return Err(HttpError::Malformed);
    }
    Ok(f)
}

/// Body of a message whose head ends at `start`; with it, where the message ends.
fn body(
    buf: &[u8],
    start: usize,
    f: &Framing,
    max: usize,
) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    if !f.chunked {
        let n = f.length.unwrap_or(0);
        if n > max {
            return Err(HttpError::BodyTooLarge);
        }
        return Ok(buf.get(start..start + n).map(|b| (b.to_vec(), start + n)));
    }
    let mut at = start;
    let mut out = Vec::new();
    loop {
        match httparse::parse_chunk_size(&buf[at..]) {
            Ok(httparse::Status::Partial) if buf.len() - at > 64 => {
                return Err(HttpError::Malformed)
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(HttpError::Malformed),
            Ok(httparse::Status::Complete((head, size))) => {
                let size = usize::try_from(size).map_err(|_| HttpError::BodyTooLarge)?;
                if size > max || out.len() + size > max {
                    return Err(HttpError::BodyTooLarge);
                }
                let from = at + head;
                let Some(data) = buf.get(from..from + size + 2) else { return Ok(None) };
                if &data[size..] != b"\r\n" {
                    return Err(HttpError::Malformed);
                }
                out.extend_from_slice(&data[..size]);
                at = from + size + 2;
                if size == 0 {
                    return Ok(Some((out, at)));
                }
            }
        }
    }
}

/// Takes one request off the front of `buf`; `None` while it is incomplete.
/// The number is how many bytes it took.
pub fn parse_request(buf: &[u8]) -> Result<Option<(Request, usize)>, HttpError> {
    parse_request_within(buf, MAX_BODY)
}

/// The same with another limit for the body.
pub fn parse_request_within(
    buf: &[u8],
    max_body: usize,
) -> Result<Option<(Request, usize)>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut req = httparse::Request::new(&mut headers);
    let head = match req.parse(buf) {
        Ok(httparse::Status::Complete(n)) if n <= MAX_HEAD => n,
        Ok(httparse::Status::Partial) if buf.len() <= MAX_HEAD => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
        Err(_) => return Err(HttpError::Malformed),
    };
    let f = framing(req.headers, req.version == Some(1))?;
    let Some((data, end)) = body(buf, head, &f, max_body)? else { return Ok(None) };
    let request = Request {
        method: req.method.unwrap_or("").to_string(),
        target: req.path.unwrap_or("").to_string(),
        body: data,
        close: f.close,
    };
    Ok(Some((request, end)))
}

/// Takes one response off the front of `buf`; `None` while it is incomplete.
pub fn parse_response(buf: &[u8]) -> Result<Option<(Response, usize)>, HttpError> {
    parse_response_within(buf, MIN_ANSWER_LIMIT)
}

/// The same with another limit for the body.
pub fn parse_response_within(
    buf: &[u8],
    max_body: usize,
) -> Result<Option<(Response, usize)>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut res = httparse::Response::new(&mut headers);
    let head = match res.parse(buf) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buf.len() <= MAX_HEAD => return Ok(None),
        _ => return Err(HttpError::Malformed),
    };
    let f = framing(res.headers, res.version == Some(1))?;
    let Some((data, end)) = body(buf, head, &f, max_body)? else { return Ok(None) };
    let response = Response {
        status: res.code.unwrap_or(0),
        body: data,
        retry_after_s: f.retry_after_s,
        close: f.close,
    };
    Ok(Some((response, end)))
}

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

pub fn write_response(out: &mut Vec<u8>, r: &Response) {
    use std::io::Write;
    let _ = write!(out, "HTTP/1.1 {} {}\r\n", r.status, reason(r.status));
    let _ = write!(out, "Content-Type: application/cbor\r\nContent-Length: {}\r\n", r.body.len());
    if let Some(s) = r.retry_after_s {
        let _ = write!(out, "Retry-After: {s}\r\n");
    }
    if r.close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&r.body);
}

pub fn write_request(out: &mut Vec<u8>, method: &str, target: &str, host: &str, body: &[u8]) {
    use std::io::Write;
    let _ = write!(out, "{method} {target} HTTP/1.1\r\nHost: {host}\r\n");
    if !body.is_empty() || method == "POST" {
        let _ = write!(out, "Content-Type: application/cbor\r\nContent-Length: {}\r\n", body.len());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}
