//! The simulated cloud: it lists the machines of the fleet. It rents out no further machines, and
//! no machine disappears.

use quartzgate_core::Call;
use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{CloudStatus, ListedMachine, MachineList, MachineType, MachineTypes};
use quartzgate_wire::to_cbor;

use super::worker::{Worker, MACHINE_TYPE, ZONES};

/// Largest number of machines in one answer to a list request.
const MAX_LISTED_MACHINES: usize = 500;
/// Age that is listed for all machines.
const MACHINE_AGE_S: f64 = 600.0;

/// Answers a request of the controller; requests to rent machines get status 503.
pub fn answer(call: &Call, workers: &[Worker]) -> Response {
    let path = call.target.split('?').next().unwrap_or_default();
    match path {
        "/machine_types" => Response::new(200, to_cbor(&machine_types())),
        "/machines" if call.method == "GET" => {
            let after = call.target.split("since=").nth(1).unwrap_or("");
            Response::new(200, to_cbor(&list_machines(workers, after)))
        }
        "/machines" => Response::new(503, Vec::new()),
        _ => Response::new(200, Vec::new()),
    }
}

fn machine_types() -> MachineTypes {
    let only_type = MachineType {
        name: MACHINE_TYPE.into(),
        cpus: 16.0,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 100.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.3,
        boot_s: 30.0,
        zones: ZONES.map(String::from).to_vec(),
    };
    MachineTypes { types: vec![only_type] }
}

fn list_machines(workers: &[Worker], after: &str) -> MachineList {
    let following = workers.iter().filter(|worker| worker.machine() > after);
    let mut machines: Vec<ListedMachine> =
        following.take(MAX_LISTED_MACHINES + 1).map(listed_machine).collect();
    let more = machines.len() > MAX_LISTED_MACHINES;
    machines.truncate(MAX_LISTED_MACHINES);
    MachineList { machines, more }
}

fn listed_machine(worker: &Worker) -> ListedMachine {
    let identity = worker.identity();
    ListedMachine {
        name: identity.machine.clone(),
        addr: identity.addr.clone(),
        machine_type: identity.machine_type.clone(),
        zone: identity.zone.clone(),
        spot: identity.spot,
        status: CloudStatus::Running,
        age_s: MACHINE_AGE_S,
    }
}
