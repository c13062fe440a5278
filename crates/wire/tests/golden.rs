//! Golden tests of HTTP: the bytes of encoded heads, and the messages that the parsers accept.

use quartzgate_wire::http::{self, Request, Response};

fn encoded(response: &Response) -> String {
    let mut out = Vec::new();
    http::write_response(&mut out, response);
    String::from_utf8(out).expect("the body is text")
}

#[test]
fn responses_are_encoded_in_the_wire_format() {
    let reasons = [
        (200, "OK"),
        (201, "Created"),
        (400, "Bad Request"),
        (404, "Not Found"),
        (405, "Method Not Allowed"),
        (408, "Request Timeout"),
        (409, "Conflict"),
        (413, "Content Too Large"),
        (421, "Misdirected Request"),
        (422, "Unprocessable Content"),
        (429, "Too Many Requests"),
        (431, "Request Header Fields Too Large"),
        (503, "Service Unavailable"),
        (504, "Gateway Timeout"),
        (418, "Status"),
    ];
    for (status, reason) in reasons {
        let head = "Content-Type: application/cbor\r\nContent-Length: 4\r\n\r\n";
        let expected = format!("HTTP/1.1 {status} {reason}\r\n{head}body");
        assert_eq!(encoded(&Response::new(status, b"body".to_vec())), expected);
    }
    let mut later = Response::new(503, Vec::new());
    later.retry_after_s = Some(7);
    later.close = true;
    assert_eq!(
        encoded(&later),
        "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/cbor\r\n\
         Content-Length: 0\r\nRetry-After: 7\r\nConnection: close\r\n\r\n"
    );
}

#[test]
fn requests_are_encoded_in_the_wire_format() {
    let encoded = |method: &str, target: &str, body: &[u8]| {
        let mut out = Vec::new();
        http::write_request(&mut out, method, target, "10.0.0.1:80", body);
        String::from_utf8(out).expect("the body is text")
    };
    assert_eq!(
        encoded("GET", "/keys?starts=view", b""),
        "GET /keys?starts=view HTTP/1.1\r\nHost: 10.0.0.1:80\r\n\r\n"
    );
    assert_eq!(
        encoded("POST", "/leases/1/renew", b""),
        "POST /leases/1/renew HTTP/1.1\r\nHost: 10.0.0.1:80\r\n\
         Content-Type: application/cbor\r\nContent-Length: 0\r\n\r\n"
    );
    assert_eq!(
        encoded("POST", "/multi", b"body"),
        "POST /multi HTTP/1.1\r\nHost: 10.0.0.1:80\r\n\
         Content-Type: application/cbor\r\nContent-Length: 4\r\n\r\nbody"
    );
}

#[test]
fn messages_are_parsed_or_refused_by_their_framing() {
    let request = |method: &str, target: &str, body: &[u8], close| Request {
        method: method.into(),
        target: target.into(),
        body: body.to_vec(),
        close,
    };
    let accepted = [
        ("GET /ready HTTP/1.1\r\n\r\n", request("GET", "/ready", b"", false)),
        ("GET /ready HTTP/1.0\r\n\r\n", request("GET", "/ready", b"", true)),
        ("GET / HTTP/1.1\r\nconnection: Close\r\n\r\n", request("GET", "/", b"", true)),
        ("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", request("GET", "/", b"", false)),
        (
            "POST /a?b HTTP/1.1\r\ncontent-LENGTH: 3\r\n\r\nabc",
            request("POST", "/a?b", b"abc", false),
        ),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
            request("POST", "/", b"abc", false),
        ),
    ];
    for (text, expected) in accepted {
        let length = text.len();
        assert_eq!(http::parse_request(text.as_bytes()), Ok(Some((expected, length))), "{text}");
        assert_eq!(http::parse_request(&text.as_bytes()[..length - 1]), Ok(None), "{text}");
    }
    let refused = [
        (400, "nonsense\r\n\r\n".to_string()),
        (400, "GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n".into()),
        (400, "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n".into()),
        (400, "GET / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n".into()),
        (413, "POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n".into()),
        (431, format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "a".repeat(9_000))),
    ];
    for (status, text) in refused {
        let refusal = http::parse_request(text.as_bytes()).expect_err("the request is refused");
        assert_eq!(refusal.status(), status, "{text}");
    }
    let text = b"HTTP/1.1 503 Later\r\nRetry-After: 4\r\nConnection: close\r\n\
                 Content-Length: 2\r\n\r\nok";
    let mut expected = Response::new(503, b"ok".to_vec());
    expected.retry_after_s = Some(4);
    expected.close = true;
    assert_eq!(http::parse_response(text), Ok(Some((expected, text.len()))));
}
