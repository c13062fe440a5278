//! Tests of the event loop over real sockets: limits on connections and waiting calls, and
//! evictions when the limits are reached.

use std::io::{Read, Write};
use std::net::TcpListener;

use quartzgate_core::config::Operator;
use quartzgate_core::{Call, Outcome, Peer};

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

/// Creates an event loop with this socket limit; the test polls instead of `run`.
fn event_loop(max_sockets: u32) -> EventLoop {
    EventLoop::new(config(max_sockets)).unwrap()
}

/// Starts a worker that answers every request, on one connection at a time.
fn spawn_worker() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let mut buffer = [0; 4096];
            while stream.read(&mut buffer).is_ok_and(|n| n > 0) {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
        }
    });
    addr
}

fn call_to(worker: SocketAddr, id: usize) -> Call {
    Call {
        id: id as u64,
        peer: Peer::Worker(worker),
        method: "POST",
        target: "/orders".into(),
        body: Vec::new(),
        timeout_ms: 3_600_000,
        send_within_ms: 3_600_000,
    }
}

/// Calls to more peers than the outbound limit allows connections would hang until their deadline
/// if pooled connections were not evicted for the waiting calls.
#[test]
fn calls_to_more_peers_than_sockets_are_all_answered() {
    let mut event_loop = event_loop(12);
    let max_outbound = event_loop.connections.max_outbound();
    let workers: Vec<SocketAddr> = (0..3 * max_outbound).map(|_| spawn_worker()).collect();
    for round in 0..3 {
        for (n, worker) in workers.iter().enumerate() {
            let call = call_to(*worker, round * workers.len() + n);
            let now_ms = event_loop.clock.steady_ms();
            event_loop.outbound.start(&mut event_loop.connections, call, now_ms);
        }
        let mut answered = 0;
        let mut events = Events::with_capacity(64);
        while answered < workers.len() {
            event_loop.connections.wait(&mut events, Duration::from_secs(20)).unwrap();
            assert!(!events.is_empty(), "calls hang: {answered} answered in round {round}");
            for event in &events {
                let EventSource::Connection(key) = EventSource::from_token(event.token()) else {
                    panic!("a listener is ready although no client connects: {event:?}")
                };
                let ready =
                    Readiness { readable: event.is_readable(), writable: event.is_writable() };
                event_loop.on_ready(key, ready);
            }
            while let Some(event) = event_loop.outbound.next_outcome() {
                let Event::Outcome { outcome: Outcome::Answer(response), .. } = event else {
                    panic!("a call was not answered: {event:?}")
                };
                assert_eq!(response.status, 200);
                answered += 1;
            }
            assert!(event_loop.connections.outbound() <= max_outbound);
        }
    }
}

/// Polls until the worker has its response, and returns the response; returns an empty text after
/// 200 polls without a response.
fn serve_until_answered(event_loop: &mut EventLoop, worker: &mut std::net::TcpStream) -> String {
    let mut events = Events::with_capacity(64);
    let mut response = [0; 512];
    for _ in 0..200 {
        event_loop.connections.wait(&mut events, Duration::from_millis(100)).unwrap();
        event_loop.inbound.set_arrival(event_loop.clock.steady_ms());
        for event in &events {
            event_loop.dispatch(event);
        }
        event_loop.serve_queued();
        match worker.read(&mut response) {
            Ok(length) => return String::from_utf8_lossy(&response[..length]).to_string(),
            Err(e) => assert_eq!(e.kind(), io::ErrorKind::WouldBlock),
        }
    }
    String::new()
}

/// A table full of idle connections would block workers' heartbeats: idle connections must be
/// evicted, and every heartbeat must be answered.
#[test]
fn heartbeats_are_answered_while_the_table_is_full_of_idle_connections() {
    let mut event_loop = event_loop(12);
    let address = event_loop.listeners.client_address();
    let max_inbound = event_loop.connections.max_inbound();
    let mut open = Vec::new();
    for n in 0..3 * max_inbound {
        let mut worker = std::net::TcpStream::connect(address).unwrap();
        let request = b"POST /checkin HTTP/1.1\r\nContent-Length: 1\r\n\r\n\xa0";
        worker.write_all(request).unwrap();
        worker.set_nonblocking(true).unwrap();
        let response = serve_until_answered(&mut event_loop, &mut worker);
        // An empty map is not a valid heartbeat: status 400 shows that the request was handled.
        assert!(response.starts_with("HTTP/1.1 400"), "worker {n} got {response:?}");
        assert!(event_loop.connections.inbound() <= max_inbound);
        open.push(worker);
    }
}

/// A new leader sends commands to each machine and requests its heartbeat with fewer sockets than
/// machines: all calls must wait for a connection, and none may be refused for their number.
#[test]
fn calls_to_every_machine_wait_for_their_turn() {
    let calls = 2 * quartzgate_core::capacity::MIN_FLEET;
    let mut event_loop = event_loop(12);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let worker = listener.local_addr().unwrap();
    for id in 0..calls {
        let call = Call { body: vec![0; 256], ..call_to(worker, id) };
        let now_ms = event_loop.clock.steady_ms();
        event_loop.outbound.start(&mut event_loop.connections, call, now_ms);
    }
    assert_eq!(not_sent(&mut event_loop), 0);
    event_loop.outbound.expire_waiting(u64::MAX);
    let refused = not_sent(&mut event_loop);
    let in_flight = event_loop.connections.outbound();
    assert!(in_flight > 0);
    assert_eq!(refused + in_flight, calls);
}

/// Unbounded waiting calls would exhaust memory: the total size of their bodies must be bounded.
#[test]
fn waiting_calls_are_bounded_in_bytes() {
    const BODY_BYTES: usize = 60 * 1024;
    let fits = config(12).max_held_bytes() / BODY_BYTES;
    let mut event_loop = event_loop(12);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let worker = listener.local_addr().unwrap();
    for id in 0..2 * fits {
        let call = Call { body: vec![0; BODY_BYTES], ..call_to(worker, id) };
        let now_ms = event_loop.clock.steady_ms();
        event_loop.outbound.start(&mut event_loop.connections, call, now_ms);
    }
    let in_flight = event_loop.connections.outbound();
    assert_eq!(not_sent(&mut event_loop), 2 * fits - fits - in_flight);
    event_loop.outbound.expire_waiting(u64::MAX);
    assert_eq!(not_sent(&mut event_loop), fits);
}

/// Removes all outcomes, and returns how many of them are of calls that were not sent.
fn not_sent(event_loop: &mut EventLoop) -> usize {
    let mut refused = 0;
    while let Some(event) = event_loop.outbound.next_outcome() {
        refused += usize::from(matches!(event, Event::Outcome { outcome: Outcome::NotSent, .. }));
    }
    refused
}
