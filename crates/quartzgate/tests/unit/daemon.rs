//! Tests of what `daemon.rs` keeps to itself.

use std::io::{Read, Write};
use std::net::TcpListener;

use quartzgate_core::config::Operator;

use super::*;

fn config(max_sockets: u32) -> Config {
    let platform = serde_json::json!({
        "node": "n0", "domain": "a", "client_listen": "127.0.0.1:0",
        "mesh_addr": "127.0.0.1:0", "siblings": [],
        "outside": {"cloud": "127.0.0.1:1", "state": "127.0.0.1:1"},
        "facts": {
            "count": 1, "zones": ["a"], "teams": [], "objectives": [],
            "workers": {"report_s": 1.0, "lease_s": 8.0, "gang_wait_s": 20.0,
                        "gang_peer_s": 3.0, "cancel_s": 24.0},
            "state": {"rps": 100.0, "write_rps": 10.0, "value_kb": 8.0, "txn_ops": 12},
            "cloud": {"rps": 4.0, "list_lag_s": 2.0},
            "resources": {"cpu_share": 0.1, "mem_mb": 64.0, "max_sockets": max_sockets},
            "clock_off_ms": 100.0
        }
    });
    let platform = serde_json::from_value(platform).unwrap();
    Config::new(platform, Operator::default())
}

/// A worker that answers every request on one connection after another.
fn worker() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let mut buf = [0; 4096];
            while stream.read(&mut buf).is_ok_and(|n| n > 0) {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
        }
    });
    addr
}

/// Guards calls to more peers than the socket share has room for: spare connections
/// make way and waiting calls are placed, instead of hanging until they are given up.
#[test]
fn calls_to_more_peers_than_sockets_are_all_answered() {
    let mut daemon = Daemon::new(config(12)).unwrap();
    let most = daemon.outbound_most;
    let workers: Vec<SocketAddr> = (0..3 * most).map(|_| worker()).collect();
    for round in 0..3 {
        for (n, addr) in workers.iter().enumerate() {
            let call = Call {
                id: (round * workers.len() + n) as u64,
                peer: Peer::Worker(*addr),
                method: "POST",
                target: "/orders".into(),
                body: Vec::new(),
                timeout_ms: 3_600_000,
            };
            let now = daemon.now_ms();
            daemon.start_call(call, now);
        }
        let mut answered = 0;
        let mut events = Events::with_capacity(64);
        while answered < workers.len() {
            daemon.poll.poll(&mut events, Some(Duration::from_secs(20))).unwrap();
            assert!(!events.is_empty(), "calls hang: {answered} answered in round {round}");
            for event in &events {
                let n = event.token().0 - FIRST;
                daemon.on_ready(n, event.is_writable(), event.is_readable());
            }
            for event in daemon.events.drain(..) {
                let Event::Outcome { outcome: Outcome::Answer(r), .. } = event else {
                    panic!("a call was not answered: {event:?}")
                };
                assert_eq!(r.status, 200);
                answered += 1;
            }
            assert!(daemon.outbound <= most);
        }
    }
}

/// Guards workers' reports when the table of connections is full of others that are
/// idle: whoever is idle makes way, and every report is answered.
#[test]
fn a_full_table_shuts_out_no_report() {
    let mut daemon = Daemon::new(config(12)).unwrap();
    let (addr, most) = (daemon.clients.local_addr().unwrap(), daemon.inbound_most);
    let mut events = Events::with_capacity(64);
    let mut open = Vec::new();
    for n in 0..3 * most {
        let mut worker = std::net::TcpStream::connect(addr).unwrap();
        let request = b"POST /checkin HTTP/1.1\r\nContent-Length: 1\r\n\r\n\xa0";
        worker.write_all(request).unwrap();
        worker.set_nonblocking(true).unwrap();
        let mut answer = [0; 512];
        let mut got = 0;
        for _ in 0..200 {
            daemon.poll.poll(&mut events, Some(Duration::from_millis(100))).unwrap();
            daemon.came_ms = daemon.now_ms();
            for event in &events {
                match event.token() {
                    CLIENTS => daemon.accept(false),
                    MESH => daemon.accept(true),
                    Token(n) => {
                        daemon.on_ready(n - FIRST, event.is_writable(), event.is_readable())
                    }
                }
                daemon.settle();
            }
            daemon.serve_waiting();
            match worker.read(&mut answer) {
                Ok(len) => {
                    got = len;
                    break;
                }
                Err(e) => assert_eq!(e.kind(), io::ErrorKind::WouldBlock),
            }
        }
        // An empty map is no report: refused, but looked at.
        let answer = String::from_utf8_lossy(&answer[..got]).to_string();
        assert!(answer.starts_with("HTTP/1.1 400"), "worker {n} got {answer:?}");
        assert!(daemon.inbound <= most);
        open.push(worker);
    }
}

/// A call to a machine that is not there: it waits for a connection until its time is up.
fn waiting_call(id: u64, addr: SocketAddr, body: usize) -> Call {
    let (method, target, body) = ("POST", "/orders".into(), vec![0; body]);
    Call { id, peer: Peer::Worker(addr), method, target, body, timeout_ms: 3_600_000 }
}

/// Calls that were refused before they were sent.
fn not_sent(daemon: &mut Daemon) -> usize {
    let refused = |e: &Event| matches!(e, Event::Outcome { outcome: Outcome::NotSent, .. });
    daemon.events.drain(..).filter(refused).count()
}

/// A new leader commands each machine and asks it for its report, with fewer sockets than
/// there are machines: all calls wait for their turn, none is refused for a count.
#[test]
fn calls_to_every_machine_wait_for_their_turn() {
    let calls = 2 * quartzgate_core::capacity::MIN_FLEET as u64;
    let mut daemon = Daemon::new(config(12)).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    for id in 0..calls {
        let now = daemon.now_ms();
        daemon.start_call(waiting_call(id, addr, 256), now);
    }
    assert_eq!(not_sent(&mut daemon), 0);
    assert_eq!(daemon.queued_total + daemon.outbound, calls as usize);
    let bodies = daemon.queued_bytes;
    assert_eq!(bodies, daemon.queued_total * 256);
    daemon.expire(u64::MAX);
    assert_eq!((daemon.queued_total, daemon.queued_bytes), (0, 0));
}

/// Waiting calls are bounded by what their bodies take.
#[test]
fn waiting_calls_are_bounded_in_bytes() {
    let mut daemon = Daemon::new(config(12)).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let body = 60 * 1024;
    let fits = daemon.max_queued_bytes / body;
    for id in 0..2 * fits as u64 {
        let now = daemon.now_ms();
        daemon.start_call(waiting_call(id, addr, body), now);
    }
    assert_eq!(daemon.queued_total, fits);
    assert_eq!(not_sent(&mut daemon), 2 * fits - fits - daemon.outbound);
}
