//! The simulated agents of a run's machines, all within this process.
//!
//! An agent sends heartbeats to one controller at a time, executes orders whose fencing token and
//! agent epoch are valid, and drops all its tasks when its lease has expired.

use std::net::SocketAddr;
use std::time::Duration;

use quartzgate_wire::http::{Request, Response};
use quartzgate_wire::msg::{HeartbeatAnswer, OrdersRequest, Redirect};
use quartzgate_wire::{from_cbor, to_cbor};
use rand::Rng;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::http::{self, Connection};
use crate::machine::{Machine, MachineIdentity};
use crate::schedule::FaultKind;
use crate::settings::{node_name, HEARTBEAT_MS, ZONES};
use crate::world::SharedWorld;

/// How long an agent waits for the answer to a heartbeat.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause before an agent sends a heartbeat to the next controller.
const NEXT_CONTROLLER_PAUSE_MS: u64 = 1_000;
/// Shortest time between a heartbeat and one that is sent early because of changes.
const MIN_HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Interval at which an agent checks its tasks, its lease and whether a heartbeat is due.
const AGENT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Range of delays of duplicated heartbeats and of delayed or duplicated orders.
const FAULT_DELAY_MS: std::ops::RangeInclusive<u64> = 500..=12_000;

/// Adds a machine that has booted after `boot_ms`, and starts its agent. Returns the machine's
/// name; `None` if no socket could be opened.
pub async fn boot(world: &SharedWorld, zone: &str, spot: bool, boot_ms: u64) -> Option<String> {
    let ip = world.borrow().ip;
    let listener = TcpListener::bind((ip, 0)).await.ok()?;
    let addr = listener.local_addr().ok()?;
    let name = {
        let mut world = world.borrow_mut();
        world.machines_created += 1;
        let name = format!("vm-{:06}", world.machines_created);
        let (now_ms, nodes) = (world.now_ms(), world.nodes());
        let controller = world.rng.random_range(0..nodes);
        let zone = zone.to_string();
        let identity = MachineIdentity { name: name.clone(), addr, zone, spot };
        let machine = Machine::new(identity, now_ms, now_ms + boot_ms, controller);
        world.machines.insert(name.clone(), machine);
        name
    };
    let (shared_world, machine) = (world.clone(), name.clone());
    let handler =
        move |request| handle_agent_request(shared_world.clone(), machine.clone(), request);
    tokio::task::spawn_local(http::serve(listener, handler));
    tokio::task::spawn_local(send_heartbeats(world.clone(), name.clone()));
    tokio::task::spawn_local(maintain_tasks_and_lease(world.clone(), name.clone()));
    Some(name)
}

/// Returns the zone of the n-th machine that a run begins with; the zones take turns.
pub fn round_robin_zone(n: usize) -> &'static str {
    ZONES[n % ZONES.len()]
}

/// Expires a machine's lease and completes its tasks until the machine is removed or the run ends.
async fn maintain_tasks_and_lease(world: SharedWorld, name: String) {
    loop {
        sleep(AGENT_POLL_INTERVAL).await;
        let mut world = world.borrow_mut();
        if world.ended || !world.machines.contains_key(&name) {
            return;
        }
        let is_up = world.machines[&name].up_ms <= world.now_ms();
        if is_up {
            world.expire_machine_lease(&name);
        }
        if is_up && !world.is_hung(&name) {
            world.complete_due_tasks(&name);
        }
    }
}

/// Handles a controller's request to a machine's agent. Returns `None` if the request stays
/// unanswered because of a fault or because the machine has been removed.
async fn handle_agent_request(
    world: SharedWorld,
    name: String,
    request: Request,
) -> Option<Response> {
    if world
        .borrow()
        .fault_affects_machine(&name, |kind| matches!(kind, FaultKind::DeafWorkers { .. }))
    {
        return None;
    }
    let received_ms = world.borrow().now_ms();
    if request.target == "/orders"
        && world
            .borrow_mut()
            .fault_affects_message(|kind| matches!(kind, FaultKind::LateOrders { .. }))
    {
        let delay_ms = world.borrow_mut().rng.random_range(FAULT_DELAY_MS);
        tokio::task::spawn_local(async move {
            sleep(Duration::from_millis(delay_ms)).await;
            execute_orders_request(&world, &name, &request.body, received_ms).await;
        });
        return None;
    }
    match request.target.as_str() {
        "/inspect" => {
            wait_while_hung(&world, &name).await;
            heartbeat_response(&world, &name, 200)
        }
        "/orders" => {
            let response = execute_orders_request(&world, &name, &request.body, received_ms).await;
            deliver_copy_late(&world, &name, request.body, received_ms);
            response
        }
        _ => Some(Response::new(404, Vec::new())),
    }
}

/// If a fault affects these orders, delivers them to the agent a second time after a delay.
fn deliver_copy_late(world: &SharedWorld, name: &str, body: Vec<u8>, received_ms: u64) {
    let delay_ms = {
        let mut world = world.borrow_mut();
        if !world.fault_affects_message(|kind| matches!(kind, FaultKind::CopiedOrders { .. })) {
            return;
        }
        world.rng.random_range(FAULT_DELAY_MS)
    };
    let (world, name) = (world.clone(), name.to_string());
    tokio::task::spawn_local(async move {
        sleep(Duration::from_millis(delay_ms)).await;
        execute_orders_request(&world, &name, &body, received_ms).await;
    });
}

async fn wait_while_hung(world: &SharedWorld, name: &str) {
    loop {
        {
            let world = world.borrow();
            if !world.is_hung(name) || !world.machines.contains_key(name) {
                return;
            }
        }
        sleep(AGENT_POLL_INTERVAL).await;
    }
}

/// Executes orders unless their fencing token is older than the highest one received or their
/// agent epoch is not the current one. The answer is a heartbeat, with status 409 if the orders are
/// rejected.
async fn execute_orders_request(
    world: &SharedWorld,
    name: &str,
    body: &[u8],
    received_ms: u64,
) -> Option<Response> {
    wait_while_hung(world, name).await;
    let Ok(request) = from_cbor::<OrdersRequest>(body) else {
        return Some(Response::new(400, Vec::new()));
    };
    let accepted = {
        let mut world = world.borrow_mut();
        world.expire_machine_lease(name);
        let machine = world.machines.get_mut(name)?;
        let accepted = request.fencing_token >= machine.fencing_token
            && request.agent_epoch == machine.agent_epoch;
        if accepted {
            machine.observe_token(request.fencing_token);
            world.execute(name, request.orders, received_ms);
        }
        accepted
    };
    heartbeat_response(world, name, if accepted { 200 } else { 409 })
}

fn heartbeat_response(world: &SharedWorld, name: &str, status: u16) -> Option<Response> {
    let mut world = world.borrow_mut();
    let heartbeat = world.machines.get_mut(name)?.next_heartbeat();
    Some(Response::new(status, to_cbor(&heartbeat)))
}

/// Sends a machine's heartbeats until the machine is removed or the run ends.
async fn send_heartbeats(world: SharedWorld, name: String) {
    let mut connection = Connection::default();
    let mut connected_to = usize::MAX;
    let mut due_ms = 0;
    let mut sent_ms = 0;
    loop {
        sleep(AGENT_POLL_INTERVAL).await;
        let Some(next) = next_heartbeat(&world, &name, due_ms, sent_ms) else {
            let is_over = {
                let world = world.borrow();
                world.ended || !world.machines.contains_key(&name)
            };
            if is_over {
                return;
            }
            continue;
        };
        sent_ms = next.sent_ms;
        if connected_to != next.controller {
            (connection, connected_to) = (Connection::default(), next.controller);
        }
        send_late_duplicate(&world, &next.body);
        let response = match next.is_lost {
            true => None,
            false => {
                let (addr, body) = (next.addr, &next.body);
                connection.call(addr, "POST", "/checkin", body, ANSWER_TIMEOUT).await
            }
        };
        due_ms = process_heartbeat_response(&world, &name, &next, response);
    }
}

/// A heartbeat that is about to be sent or has been sent.
struct SentHeartbeat {
    controller: usize,
    addr: SocketAddr,
    sent_ms: u64,
    agent_epoch: u64,
    body: Vec<u8>,
    /// Whether a fault keeps the heartbeat from reaching the controller.
    is_lost: bool,
}

fn next_heartbeat(
    world: &SharedWorld,
    name: &str,
    due_ms: u64,
    last_sent_ms: u64,
) -> Option<SentHeartbeat> {
    let mut world = world.borrow_mut();
    let now_ms = world.now_ms();
    let machine = world.machines.get(name).filter(|machine| machine.up_ms <= now_ms)?;
    let is_sent_early =
        machine.has_unreported_changes && now_ms >= last_sent_ms + MIN_HEARTBEAT_INTERVAL_MS;
    if now_ms < due_ms && !is_sent_early || world.is_hung(name) || world.ended {
        return None;
    }
    let controller = machine.controller;
    let is_cut = world.active().any(|fault| {
        matches!(fault.kind, FaultKind::CutWorkers { .. }) && fault.node == Some(controller)
    });
    let is_lost = is_cut
        || world.fault_affects_machine(name, |kind| matches!(kind, FaultKind::MuteWorkers { .. }));
    let addr = world.client_addresses[controller];
    let machine = world.machines.get_mut(name)?;
    machine.has_unreported_changes = false;
    let agent_epoch = machine.agent_epoch;
    let body = to_cbor(&machine.next_heartbeat());
    Some(SentHeartbeat { controller, addr, sent_ms: now_ms, agent_epoch, body, is_lost })
}

/// If a fault affects this heartbeat, sends a duplicate of it to a random controller after a delay.
fn send_late_duplicate(world: &SharedWorld, body: &[u8]) {
    if !world
        .borrow_mut()
        .fault_affects_message(|kind| matches!(kind, FaultKind::LateHeartbeats { .. }))
    {
        return;
    }
    let (delay_ms, addr) = {
        let mut world = world.borrow_mut();
        let nodes = world.nodes();
        let node = world.rng.random_range(0..nodes);
        (world.rng.random_range(FAULT_DELAY_MS), world.client_addresses[node])
    };
    let body = body.to_vec();
    tokio::task::spawn_local(async move {
        sleep(Duration::from_millis(delay_ms)).await;
        let mut connection = Connection::default();
        connection.call(addr, "POST", "/checkin", &body, ANSWER_TIMEOUT).await;
    });
}

/// Processes the response to a heartbeat, if any. Returns when the next heartbeat is due.
fn process_heartbeat_response(
    world: &SharedWorld,
    name: &str,
    sent: &SentHeartbeat,
    response: Option<Response>,
) -> u64 {
    let mut world = world.borrow_mut();
    let now_ms = world.now_ms();
    let nodes = world.nodes();
    let interval_ms = world.rng.random_range(HEARTBEAT_MS * 3 / 4..=HEARTBEAT_MS * 5 / 4);
    let is_answer_lost = world
        .fault_affects_machine(name, |kind| matches!(kind, FaultKind::DeafWorkers { .. }))
        || world.is_hung(name);
    let Some(machine) = world.machines.get_mut(name) else { return now_ms };
    let next_controller = (sent.controller + 1) % nodes;
    match response.filter(|_| !is_answer_lost) {
        Some(response) if response.status == 200 => {
            let answer = from_cbor::<HeartbeatAnswer>(&response.body).ok();
            let valid_answer = answer.filter(|answer| {
                answer.fencing_token >= machine.fencing_token
                    && machine.agent_epoch == sent.agent_epoch
            });
            if let Some(answer) = valid_answer {
                machine.observe_token(answer.fencing_token);
                machine.lease_start_ms = sent.sent_ms;
                world.execute(name, answer.orders, now_ms);
            }
            sent.sent_ms + interval_ms
        }
        Some(response) if response.status == 421 => {
            let redirect = from_cbor::<Redirect>(&response.body).ok();
            let controller_name = redirect.and_then(|redirect| redirect.controller);
            let controller =
                controller_name.and_then(|name| (0..nodes).find(|node| node_name(*node) == name));
            match controller.filter(|node| *node != sent.controller) {
                Some(node) => {
                    machine.controller = node;
                    now_ms
                }
                None => {
                    machine.controller = next_controller;
                    now_ms + NEXT_CONTROLLER_PAUSE_MS
                }
            }
        }
        _ => {
            machine.controller = next_controller;
            now_ms + NEXT_CONTROLLER_PAUSE_MS
        }
    }
}
