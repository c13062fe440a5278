//! Tests of the limits on calls that wait for a connection.

use super::*;

const LIMITS: WaitingLimits = WaitingLimits { max_calls: 3, max_bytes: 100 };

fn worker(port: u16) -> Peer {
    Peer::Worker(SocketAddr::from(([127, 0, 0, 1], port)))
}

fn waiting(id: CallId, peer: Peer, bytes: usize, deadline_ms: u64) -> WaitingCall {
    let (method, target) = ("POST", "/orders".to_string());
    let (body, timeout_ms) = (vec![0; bytes], 1_000);
    let call = Call { id, peer, method, target, body, timeout_ms, send_within_ms: timeout_ms };
    WaitingCall { call, deadline_ms, send_by_ms: deadline_ms }
}

/// Unbounded waiting calls would exhaust memory: their number and the total size of their bodies
/// must be bounded over all peers, and a removed call must free its capacity.
#[test]
fn waiting_calls_are_bounded_by_number_and_bytes() {
    let mut calls = WaitingCalls::new(LIMITS);
    calls.push(waiting(1, worker(1), 60, 10));
    assert!(!calls.has_room_for(&waiting(9, worker(2), 41, 10)), "too many bytes");
    assert!(calls.has_room_for(&waiting(9, worker(2), 40, 10)));
    calls.push(waiting(2, worker(2), 40, 10));
    assert!(!calls.has_room_for(&waiting(9, worker(3), 1, 10)), "too many bytes");
    assert_eq!(calls.pop(&worker(1)).map(|w| w.call.id), Some(1));
    assert!(calls.has_room_for(&waiting(9, worker(3), 60, 10)));
    calls.push(waiting(3, worker(3), 0, 10));
    calls.push(waiting(4, worker(3), 0, 10));
    assert!(!calls.has_room_for(&waiting(9, worker(3), 0, 10)), "too many calls");
}

/// A call larger than the limit could otherwise never be queued: it must be accepted if no other
/// call waits.
#[test]
fn single_call_may_exceed_the_byte_limit() {
    let mut calls = WaitingCalls::new(LIMITS);
    assert!(calls.has_room_for(&waiting(1, worker(1), 1_000, 10)));
    calls.push(waiting(1, worker(1), 1_000, 10));
    assert!(!calls.has_room_for(&waiting(2, worker(1), 0, 10)));
}

/// Expiry must remove exactly the calls past their deadline and free their capacity.
#[test]
fn expired_calls_free_their_capacity() {
    let mut calls = WaitingCalls::new(LIMITS);
    calls.push(waiting(1, worker(1), 50, 10));
    calls.push(waiting(2, worker(1), 10, 20));
    calls.push(waiting(3, worker(2), 40, 10));
    let mut expired = calls.take_expired(10);
    expired.sort_unstable();
    assert_eq!(expired, [1, 3]);
    assert!(calls.has_room_for(&waiting(9, worker(3), 90, 30)));
    assert!(!calls.has_room_for(&waiting(9, worker(3), 91, 30)));
    assert_eq!(calls.pop(&worker(2)).map(|w| w.call.id), None);
    assert_eq!(calls.pop(&worker(1)).map(|w| w.call.id), Some(2));
    assert_eq!((calls.calls, calls.bytes), (0, 0));
}

/// A call that starts tasks must not leave once its leader may no longer start any: it must end
/// unsent at its limit for sending, long before the deadline for its response.
#[test]
fn waiting_call_ends_at_its_send_limit() {
    let mut calls = WaitingCalls::new(LIMITS);
    let call = waiting(1, worker(1), 10, 1_000);
    calls.push(WaitingCall { send_by_ms: 20, ..call });
    calls.push(waiting(2, worker(1), 10, 1_000));
    assert_eq!(calls.take_expired(19), Vec::<CallId>::new());
    assert_eq!(calls.take_expired(20), vec![1]);
    assert_eq!(calls.pop(&worker(1)).map(|w| w.call.id), Some(2));
}
