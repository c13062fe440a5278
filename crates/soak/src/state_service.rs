//! Stand-in for the state service. Each controller has a listener of its own, so that faults can
//! affect single controllers.

use std::time::Duration;

use quartzgate_stand_ins::Reply;
use quartzgate_wire::from_cbor;
use quartzgate_wire::http::{Request, Response};
use quartzgate_wire::msg::Transaction;
use rand::Rng;
use tokio::time::sleep;

use crate::schedule::{CutMode, FaultKind};
use crate::world::SharedWorld;

/// Interval at which open watches look for changes and leases are checked for expiry.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Range of delays of transactions that are applied late.
const LATE_WRITE_DELAY_MS: std::ops::RangeInclusive<u64> = 2_000..=12_000;

/// Handles a request of a controller. Returns `None` if a fault leaves the request unanswered.
pub async fn handle(world: SharedWorld, node: usize, request: Request) -> Option<Response> {
    if let Some(ms) = injected_delay_ms(&world) {
        sleep(Duration::from_millis(ms)).await;
    }
    let is_watch = request.target.starts_with("/changes");
    let cut = world.borrow().store_cut(node);
    match cut {
        Some(CutMode::Hold) => return None,
        Some(CutMode::Refuse) if !is_watch => return Some(Response::new(503, Vec::new())),
        _ => {}
    }
    if is_write(&request) {
        if world
            .borrow_mut()
            .fault_affects_message(|kind| matches!(kind, FaultKind::LateWrites { .. }))
        {
            apply_late(world, request).await;
            return None;
        }
        if world
            .borrow_mut()
            .fault_affects_message(|kind| matches!(kind, FaultKind::LostAnswers { .. }))
        {
            apply(&world, &request);
            return None;
        }
    }
    match apply(&world, &request) {
        Reply::Answer(response) => Some(response),
        Reply::Watch { prefix, since, block_ms } => {
            watch(world, node, &prefix, since, block_ms).await
        }
    }
}

fn injected_delay_ms(world: &SharedWorld) -> Option<u64> {
    let world = world.borrow();
    let injected_ms = world.active().find_map(|fault| match fault.kind {
        FaultKind::StoreSlow { ms } => Some(ms),
        _ => None,
    });
    injected_ms
}

fn is_write(request: &Request) -> bool {
    let transaction = from_cbor::<Transaction>(&request.body).ok();
    request.target == "/multi" && transaction.is_some_and(|txn| !txn.apply.is_empty())
}

fn apply(world: &SharedWorld, request: &Request) -> Reply {
    let mut world = world.borrow_mut();
    let now_ms = world.now_ms();
    world.store.handle(now_ms, &request.method, &request.target, &request.body)
}

async fn apply_late(world: SharedWorld, request: Request) {
    let delay_ms = world.borrow_mut().rng.random_range(LATE_WRITE_DELAY_MS);
    tokio::task::spawn_local(async move {
        sleep(Duration::from_millis(delay_ms)).await;
        apply(&world, &request);
    });
}

/// Waits until there are changes or the blocking time is over. While the controller is cut off from
/// the state service, an open watch stays unanswered.
async fn watch(
    world: SharedWorld,
    node: usize,
    prefix: &str,
    since: u64,
    block_ms: u64,
) -> Option<Response> {
    let until_ms = world.borrow().now_ms() + block_ms;
    loop {
        {
            let world = world.borrow();
            if world.store_cut(node).is_none() {
                let is_over = world.now_ms() >= until_ms;
                let changes = world.store.changes(prefix, since);
                if let Some(response) = changes.or(is_over.then(|| world.store.no_changes())) {
                    return Some(response);
                }
            }
        }
        sleep(WATCH_POLL_INTERVAL).await;
    }
}

/// Expires leases when their time is over. Leases don't expire during an outage, and the end of an
/// outage restarts the full time to live of every lease.
pub async fn expire_leases(world: SharedWorld) {
    let mut was_out = false;
    loop {
        {
            let mut world = world.borrow_mut();
            let now_ms = world.now_ms();
            let is_out = world.active().any(|fault| fault.kind == FaultKind::StoreOut);
            if was_out && !is_out {
                world.store.restart_leases(now_ms);
            }
            was_out = is_out;
            if !is_out {
                world.store.expire_leases(now_ms);
            }
        }
        sleep(WATCH_POLL_INTERVAL).await;
    }
}
