//! Stand-in for the cloud: machine types, provisioning, release and the list of machines.

use quartzgate_wire::http::{Request, Response};
use quartzgate_wire::msg::{
    CloudStatus, ListedMachine, MachineList, MachineNames, MachineType, MachineTypes,
    ProvisionRequest,
};
use quartzgate_wire::{from_cbor, to_cbor};

use crate::machine::Machine;
use crate::settings::ZONES;
use crate::workers;
use crate::world::{SharedWorld, World};

/// Name of the only machine type.
pub const MACHINE_TYPE: &str = "m16";
/// Number of CPUs of each machine.
pub const MACHINE_CPUS: f64 = 16.0;
/// Number of existing machines, including those that a run begins with, up to which the cloud
/// provisions more.
const MAX_MACHINES: usize = 40;
/// Maximum number of machines in one page of the list.
const MAX_MACHINES_PER_PAGE: usize = 500;
/// Boot time of a machine as published in its type, in seconds.
const BOOT_S: f64 = 2.0;

/// Answers a request of a controller.
pub async fn handle(world: SharedWorld, request: Request) -> Option<Response> {
    let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
    let response = match (request.method.as_str(), path) {
        ("GET", "/machine_types") => Response::new(200, to_cbor(&machine_types())),
        ("GET", "/machines") => Response::new(200, to_cbor(&list(&world.borrow(), query))),
        ("POST", "/machines") => provision(&world, &request.body).await,
        ("POST", "/machines/return") => release(&world, &request.body),
        _ => Response::new(404, Vec::new()),
    };
    Some(response)
}

fn machine_types() -> MachineTypes {
    let only_type = MachineType {
        name: MACHINE_TYPE.into(),
        cpus: MACHINE_CPUS,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 100.0,
        fetch_gb_per_s: 10.0,
        price: 1.0,
        spot_price: 0.3,
        boot_s: BOOT_S,
        zones: ZONES.map(String::from).to_vec(),
    };
    MachineTypes { types: vec![only_type] }
}

fn list(world: &World, query: &str) -> MachineList {
    let after = query.split('&').find_map(|part| part.strip_prefix("since=")).unwrap_or("");
    let now_ms = world.now_ms();
    let following = world.machines.values().filter(|machine| machine.name.as_str() > after);
    let mut machines: Vec<ListedMachine> = following
        .take(MAX_MACHINES_PER_PAGE + 1)
        .map(|machine| list_entry(machine, now_ms))
        .collect();
    let more = machines.len() > MAX_MACHINES_PER_PAGE;
    machines.truncate(MAX_MACHINES_PER_PAGE);
    MachineList { machines, more }
}

fn list_entry(machine: &Machine, now_ms: u64) -> ListedMachine {
    let is_up = now_ms >= machine.up_ms;
    ListedMachine {
        name: machine.name.clone(),
        addr: if is_up { machine.addr.to_string() } else { String::new() },
        machine_type: MACHINE_TYPE.into(),
        zone: machine.zone.clone(),
        spot: machine.spot,
        status: if is_up { CloudStatus::Running } else { CloudStatus::Booting },
        age_s: now_ms.saturating_sub(machine.provisioned_ms) as f64 / 1e3,
    }
}

async fn provision(world: &SharedWorld, body: &[u8]) -> Response {
    let Ok(request) = from_cbor::<ProvisionRequest>(body) else {
        return Response::new(400, Vec::new());
    };
    let already_provisioned =
        world.borrow().machines_by_provision_id.get(&request.provision_id).cloned();
    if let Some(machines) = already_provisioned {
        return Response::new(200, to_cbor(&MachineNames { machines }));
    }
    let existing_machines = world.borrow().machines.len();
    let count = (request.count as usize).min(MAX_MACHINES.saturating_sub(existing_machines));
    if count == 0 {
        return Response::new(503, Vec::new());
    }
    let mut machines = Vec::new();
    for _ in 0..count {
        let boot_ms = (BOOT_S * 1e3) as u64;
        if let Some(name) = workers::boot(world, &request.zone, request.spot, boot_ms).await {
            machines.push(name);
        }
    }
    world.borrow_mut().machines_by_provision_id.insert(request.provision_id, machines.clone());
    Response::new(200, to_cbor(&MachineNames { machines }))
}

fn release(world: &SharedWorld, body: &[u8]) -> Response {
    let Ok(names) = from_cbor::<MachineNames>(body) else {
        return Response::new(400, Vec::new());
    };
    let mut world = world.borrow_mut();
    for name in names.machines {
        world.remove_machine(&name);
    }
    Response::new(200, Vec::new())
}
