//! Messages between controllers and the cloud.

use serde::{Deserialize, Serialize};

use super::decode::{amount, no};

/// A machine type that the cloud offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    pub name: String,
    /// Processors.
    #[serde(rename = "vcpus", deserialize_with = "amount")]
    pub cpus: f64,
    /// GPUs.
    #[serde(default, deserialize_with = "amount")]
    pub gpus: f64,
    /// Memory, in GB.
    #[serde(rename = "ram_gb", deserialize_with = "amount")]
    pub memory_gb: f64,
    /// Local space for images, in GB.
    #[serde(rename = "local_gb", default, deserialize_with = "amount")]
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB a second.
    #[serde(rename = "pull_gb_per_s", default, deserialize_with = "amount")]
    pub fetch_gb_per_s: f64,
    /// Price a second.
    #[serde(rename = "rate", deserialize_with = "amount")]
    pub price: f64,
    /// Price a second of a spot machine.
    #[serde(default, deserialize_with = "amount")]
    pub spot_price: f64,
    /// Usual time until a machine is up, in seconds.
    #[serde(rename = "startup_s", deserialize_with = "amount")]
    pub boot_s: f64,
    /// Zones in which it is offered.
    #[serde(rename = "halls")]
    pub zones: Vec<String>,
}

/// Answer of the cloud: the machine types that it offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// The types.
    #[serde(rename = "host_types")]
    pub types: Vec<MachineType>,
}

/// Request to the cloud to provision machines. Idempotent by its identifier.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisionRequest {
    /// Identifier of the request; a retry uses the same one.
    #[serde(rename = "hire")]
    pub provision_id: String,
    /// Machine type.
    #[serde(rename = "host_type")]
    pub kind: String,
    /// Zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many.
    #[serde(rename = "how_many")]
    pub count: u32,
}

/// Names of machines: the answer to a provision request, and the body of a release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// State of a machine by the list of the cloud.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CloudStatus {
    /// Not up yet.
    #[serde(rename = "starting")]
    Booting,
    /// Up.
    #[serde(rename = "running")]
    Running,
    /// Failed: it will not come up, or not again.
    #[serde(rename = "failed")]
    Failed,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    #[serde(rename = "ref")]
    pub name: String,
    /// Address of its worker; empty until it is up.
    #[serde(default)]
    pub addr: String,
    /// Machine type.
    #[serde(rename = "host_type")]
    pub kind: String,
    /// Zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// It is a spot machine.
    #[serde(rename = "loaners", default = "no")]
    pub spot: bool,
    /// Its state.
    pub status: CloudStatus,
    /// Seconds since it was provisioned.
    #[serde(rename = "held_s", default, deserialize_with = "amount")]
    pub age_s: f64,
}

/// One page of the list of all machines that the cloud provisioned for this service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// There are more after the last one.
    #[serde(default)]
    pub more: bool,
}
