//! Golden tests of the program on real sockets: the heads and bodies of its responses, the heads
//! of its requests, and the names of its metrics.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use quartzgate_wire::from_cbor;

use crate::expected::{assert_golden, every_setting, file};

/// The running program, which is killed when the test ends. If the test fails, what the program
/// has printed is shown, and whether it has ended by itself.
struct Program {
    process: Child,
    log: PathBuf,
}

impl Drop for Program {
    fn drop(&mut self) {
        let ended_by_itself = self.process.try_wait();
        let _ = self.process.kill();
        let _ = self.process.wait();
        if std::thread::panicking() {
            let log = std::fs::read_to_string(&self.log).unwrap_or_default();
            eprintln!("the program's exit: {ended_by_itself:?}; its standard error:\n{log}");
        }
    }
}

/// Heads of the received requests, with the address of the host replaced.
type Heads = Arc<Mutex<BTreeSet<String>>>;

/// Starts a service that answers every request with 503 and records the request's head.
fn refusing_service(heads: Heads) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address is free");
    let addr = listener.local_addr().expect("it has one");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let heads = heads.clone();
            std::thread::spawn(move || refuse_all(stream, addr, &heads));
        }
    });
    addr
}

fn refuse_all(mut stream: TcpStream, addr: SocketAddr, heads: &Heads) {
    let mut buffer = [0; 4096];
    while let Ok(n) = stream.read(&mut buffer) {
        if n == 0 {
            return;
        }
        let text = String::from_utf8_lossy(&buffer[..n]).into_owned();
        let head = text.split("\r\n\r\n").next().unwrap_or("").replace(&addr.to_string(), "HOST");
        heads.lock().expect("no panic").insert(head);
        let _ = stream.write_all(b"HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n");
    }
}

/// Ports that the system gives to no socket by itself. A port that it has given to a listener which
/// is closed again may be taken, until the program listens, by another listener or by the local end
/// of a connection: the program then ends after it has accepted connections on its other address.
const PROGRAM_PORTS: std::ops::Range<u16> = 20_000..20_100;

/// Returns two addresses for the program, on a loopback address that no other process uses.
fn program_addresses() -> (SocketAddr, SocketAddr) {
    let id = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 200 + id[1] % 50, id[2], id[3].max(1));
    let is_free = |port: &u16| TcpListener::bind((ip, *port)).is_ok();
    let mut free = PROGRAM_PORTS.filter(is_free).map(|port| SocketAddr::from((ip, port)));
    let mut next = || free.next().expect("an address is free");
    (next(), next())
}

/// Bytes of a request that a failure shows.
const MAX_SHOWN_BYTES: usize = 60;

fn connect(to: SocketAddr) -> TcpStream {
    let until = Instant::now() + Duration::from_secs(20);
    loop {
        match TcpStream::connect(to) {
            Ok(stream) => {
                stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout");
                return stream;
            }
            Err(e) => assert!(Instant::now() < until, "can't connect to the program: {e}"),
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the `Content-Length` of a head.
fn body_length(head: &str) -> usize {
    let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: "));
    length.and_then(|l| l.parse().ok()).expect("a length")
}

/// Sends a request and returns the head and the body of the response.
fn exchange(stream: &mut TcpStream, request: &[u8]) -> (String, Vec<u8>) {
    stream.write_all(request).expect("the request is sent");
    let (mut received, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        let end = received.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4);
        if let Some(end) = end {
            let head = String::from_utf8(received[..end].to_vec()).expect("text");
            if received.len() >= end + body_length(&head) {
                return (head, received[end..].to_vec());
            }
        }
        let n = match stream.read(&mut buffer) {
            Ok(n) => n,
            // A signal has interrupted the call, such as the exit of another test's process.
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(error) => {
                let shown = escaped(&request[..request.len().min(MAX_SHOWN_BYTES)]);
                panic!("no answer in time to {shown}: {error}; received {received:?}")
            }
        };
        assert!(n > 0, "connection closed during a response: {received:?}");
        received.extend_from_slice(&buffer[..n]);
    }
}

/// Returns the response to a request on its own connection. A request that the program refused
/// under overload (503 without a body) is retried, since the machine may be busy.
fn request_until_handled(to: SocketAddr, request: &[u8]) -> (String, Vec<u8>) {
    let until = Instant::now() + Duration::from_secs(60);
    loop {
        let (head, body) = exchange(&mut connect(to), request);
        let refused_unhandled = head.starts_with("HTTP/1.1 503 ") && body.is_empty();
        if !refused_unhandled || Instant::now() > until {
            return (head, body);
        }
        std::thread::sleep(Duration::from_millis(500));
    }
}

/// Formats bytes as text, with all but printable ones escaped.
fn escaped(bytes: &[u8]) -> String {
    bytes.iter().flat_map(|b| std::ascii::escape_default(*b)).map(char::from).collect()
}

#[test]
fn responses_requests_and_metrics_match_the_golden_files() {
    let (to_store, to_cloud) = (Heads::default(), Heads::default());
    let (clients, mesh) = program_addresses();
    let mut settings = every_setting();
    settings["client_listen"] = clients.to_string().into();
    settings["mesh_addr"] = mesh.to_string().into();
    settings["siblings"] = serde_json::json!([]);
    settings["outside"]["state"] = refusing_service(to_store.clone()).to_string().into();
    settings["outside"]["cloud"] = refusing_service(to_cloud.clone()).to_string().into();
    let json = file("sockets", "settings.json", &settings.to_string());
    let mut command = Command::new(env!("CARGO_BIN_EXE_quartzgate"));
    let log = file("sockets", "stderr.log", "");
    let stderr = File::create(&log).expect("the log can be written");
    command.env("LOG_LEVEL", "info").arg("--config").arg(json).stderr(stderr);
    let process = command.spawn().expect("the program can be started");
    let _program = Program { process, log };

    let large = format!("A: {}", "a".repeat(9_000));
    let requests = [
        (clients, "GET /ready HTTP/1.1\r\n\r\n".to_string()),
        (clients, "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n".into()),
        (clients, "GET /ready HTTP/1.0\r\n\r\n".into()),
        (clients, "GET /elsewhere HTTP/1.1\r\n\r\n".into()),
        (clients, "PUT /ready HTTP/1.1\r\n\r\n".into()),
        (clients, "GET /metrics HTTP/1.1\r\n\r\n".into()),
        (clients, "POST /mesh HTTP/1.1\r\nContent-Length: 0\r\n\r\n".into()),
        (clients, "POST /checkin HTTP/1.1\r\nContent-Length: 1\r\n\r\n0".into()),
        (clients, "POST /api/jobs HTTP/1.1\r\nContent-Length: 1\r\n\r\n0".into()),
        (clients, "GET /api/jobs/wk-000001 HTTP/1.1\r\n\r\n".into()),
        (clients, "POST /api/jobs/wk-000001/abort HTTP/1.1\r\nContent-Length: 0\r\n\r\n".into()),
        (clients, "nonsense\r\n\r\n".into()),
        (clients, "POST /api/jobs HTTP/1.1\r\nContent-Length: 65537\r\n\r\n".into()),
        (clients, format!("GET / HTTP/1.1\r\n{large}\r\n\r\n")),
        (mesh, "GET /elsewhere HTTP/1.1\r\n\r\n".into()),
        (mesh, "GET /mesh HTTP/1.1\r\n\r\n".into()),
        (mesh, "POST /mesh HTTP/1.1\r\nContent-Length: 1\r\n\r\n0".into()),
    ];
    let mut text = String::new();
    for (to, request) in requests {
        let (head, body) = request_until_handled(to, request.as_bytes());
        let asked = escaped(request.replace(&large, "A: (9,000 bytes)").as_bytes());
        let (head, body) = (escaped(head.as_bytes()), escaped(&body));
        text.push_str(&format!("{asked}\n  {head}\n  {body}\n"));
    }
    // Two requests on one connection.
    let mut stream = connect(clients);
    for _ in 0..2 {
        let (head, _) = exchange(&mut stream, b"GET /ready HTTP/1.1\r\n\r\n");
        assert!(head.starts_with("HTTP/1.1 503 "), "{head}");
    }
    assert_golden("answers", &text);

    // The program updates its metrics once a second.
    std::thread::sleep(Duration::from_millis(1_500));
    let (head, body) = request_until_handled(mesh, b"GET /metrics HTTP/1.1\r\n\r\n");
    assert!(head.starts_with("HTTP/1.1 200 OK\r\n"), "{head}");
    let metrics: BTreeMap<String, f64> = from_cbor(&body).expect("metrics by name");
    // Requests are refused before they reach the core only on a very busy machine.
    let names = metrics.keys().filter(|name| !name.starts_with("intake_refused."));
    let names: Vec<String> = names.map(|name| format!("{name}\n")).collect();
    assert_golden("metrics", &names.concat());

    // Heads of the program's own requests, in alphabetical order.
    let shown = |heads: &Heads| {
        let heads = heads.lock().expect("no panic");
        heads.iter().map(|h| format!("{}\n", escaped(h.as_bytes()))).collect::<String>()
    };
    assert_golden("requests", &format!("{}{}", shown(&to_store), shown(&to_cloud)));
}
