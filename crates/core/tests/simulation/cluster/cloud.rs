//! The cloud API: machine types, the machine list, which lags behind, provisioning and returns.

use super::clock::SimulationEvent;
use super::workers::addr_of;
use super::{machine_name, Cluster, MEMORY_GB};
use quartzgate_core::Call;
use quartzgate_wire::http::Response;
use quartzgate_wire::msg::{
    CloudStatus, ListedMachine, MachineList, MachineNames, MachineType, MachineTypes,
    ProvisionRequest,
};
use quartzgate_wire::{from_cbor, to_cbor};
use rand::Rng;

/// Maximum number of machines that one provisioning request is given.
const MAX_MACHINES_PER_REQUEST: u32 = 4;

/// Type of the machines that a cluster starts with.
pub const MACHINE_TYPE: &str = "k8";
/// Type of the same size that the cloud publishes if `offers_second_machine_type` is set.
pub const SECOND_MACHINE_TYPE: &str = "m8";

impl Cluster {
    pub(super) fn on_cloud_call(&mut self, call: &Call) -> Response {
        let path = call.target.split('?').next().unwrap();
        match (call.method, path) {
            ("GET", "/machine_types") => self.machine_types(),
            ("GET", _) => self.machine_list(),
            ("POST", "/machines/return") => self.return_machines(call),
            _ => self.provision_machines(call),
        }
    }

    fn machine_types(&self) -> Response {
        let machine_type = |name: &str| MachineType {
            name: name.into(),
            cpus: 8.0,
            gpus: self.machine_gpus,
            memory_gb: MEMORY_GB,
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            price: 0.4,
            spot_price: 0.1,
            boot_s: 3.0,
            zones: vec!["a".into(), "b".into()],
        };
        let types = match self.offers_second_machine_type {
            true => vec![machine_type(MACHINE_TYPE), machine_type(SECOND_MACHINE_TYPE)],
            false => vec![machine_type(MACHINE_TYPE)],
        };
        Response::new(200, to_cbor(&MachineTypes { types }))
    }

    fn machine_list(&self) -> Response {
        let machines = self
            .workers
            .iter()
            .filter(|(name, _)| !self.unlisted_machines.contains(*name))
            .filter(|(_, worker)| self.now >= worker.booted_at_ms + self.list_lag_ms)
            .map(|(name, worker)| ListedMachine {
                name: name.clone(),
                addr: addr_of(name),
                machine_type: worker.kind.clone(),
                zone: worker.zone.clone(),
                spot: worker.spot,
                status: CloudStatus::Running,
                age_s: match self.list_lag_ms {
                    0 => 50.0,
                    _ => (self.now - worker.booted_at_ms) as f64 / 1e3 + 0.1,
                },
            })
            .collect();
        Response::new(200, to_cbor(&MachineList { machines, more: false }))
    }

    fn return_machines(&mut self, call: &Call) -> Response {
        if self.scale_in_disabled {
            return Response::new(503, Vec::new());
        }
        let names: MachineNames = from_cbor(&call.body).unwrap();
        for name in names.machines {
            self.workers.remove(&name);
        }
        Response::new(200, Vec::new())
    }

    /// Provisions machines; a repeated idempotency key returns the machines of the first request.
    fn provision_machines(&mut self, call: &Call) -> Response {
        let request: ProvisionRequest = from_cbor(&call.body).unwrap();
        if self.scale_out_disabled || self.zones_without_machines.contains(&request.zone) {
            return Response::new(503, Vec::new());
        }
        if let Some(known) = self.provision_answers.get(&request.provision_id) {
            return Response::new(200, to_cbor(&MachineNames { machines: known.clone() }));
        }
        let mut machines = Vec::new();
        for _ in 0..request.count.min(MAX_MACHINES_PER_REQUEST) {
            let name = machine_name(self.next_machine as usize);
            self.next_machine += 1;
            let zone = request.zone.clone();
            let ms = self.rng.random_range(self.boot_ms.clone());
            self.schedule_after(ms, SimulationEvent::MachineUp { machine: name.clone(), zone });
            machines.push(name);
        }
        self.provision_answers.insert(request.provision_id, machines.clone());
        Response::new(200, to_cbor(&MachineNames { machines }))
    }
}
