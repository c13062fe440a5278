//! Messages between controllers and the cloud.

use serde::{Deserialize, Serialize};

use super::decode::{amount, no};

/// A machine type that the cloud offers, with its resources and prices.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the machine type.
    pub name: String,
    /// Number of CPUs.
    #[serde(rename = "vcpus", deserialize_with = "amount")]
    pub cpus: f64,
    /// Number of GPUs.
    #[serde(default, deserialize_with = "amount")]
    pub gpus: f64,
    /// Memory, in GB.
    #[serde(rename = "ram_gb", deserialize_with = "amount")]
    pub memory_gb: f64,
    /// Local disk space for images, in GB.
    #[serde(rename = "local_gb", default, deserialize_with = "amount")]
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, in GB per second.
    #[serde(rename = "pull_gb_per_s", default, deserialize_with = "amount")]
    pub fetch_gb_per_s: f64,
    /// Price per second of a machine that is not a spot machine.
    #[serde(rename = "rate", deserialize_with = "amount")]
    pub price: f64,
    /// Price per second of a spot machine.
    #[serde(default, deserialize_with = "amount")]
    pub spot_price: f64,
    /// Usual boot time: the time until a provisioned machine is up, in seconds.
    #[serde(rename = "startup_s", deserialize_with = "amount")]
    pub boot_s: f64,
    /// Zones in which the cloud offers this type.
    #[serde(rename = "halls")]
    pub zones: Vec<String>,
}

/// The cloud's answer to a query of the machine types.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// All machine types that the cloud offers.
    #[serde(rename = "host_types")]
    pub types: Vec<MachineType>,
}

/// Request to the cloud to provision machines. The identifier makes the request idempotent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisionRequest {
    /// Identifier of the request; a retry uses the same one.
    #[serde(rename = "hire")]
    pub provision_id: String,
    /// Machine type to provision.
    #[serde(rename = "host_type")]
    pub machine_type: String,
    /// Zone in which to provision the machines.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Whether to provision spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines to provision.
    #[serde(rename = "how_many")]
    pub count: u32,
}

/// Names of machines: the answer to a [`ProvisionRequest`], and the body of a request to terminate
/// machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines that were provisioned or are to be terminated.
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// State of a machine in the cloud's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CloudStatus {
    /// The machine is provisioned but not up yet.
    #[serde(rename = "starting")]
    Booting,
    /// The machine is up.
    #[serde(rename = "running")]
    Running,
    /// The machine has failed and will not come up, or not come up again.
    #[serde(rename = "failed")]
    Failed,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine.
    #[serde(rename = "ref")]
    pub name: String,
    /// Address of the machine's worker; empty until the machine is up.
    #[serde(default)]
    pub addr: String,
    /// Type of the machine.
    #[serde(rename = "host_type")]
    pub machine_type: String,
    /// Zone in which the machine runs.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Whether this is a spot machine.
    #[serde(rename = "loaners", default = "no")]
    pub spot: bool,
    /// State of the machine.
    pub status: CloudStatus,
    /// Time since the machine was provisioned, in seconds.
    #[serde(rename = "held_s", default, deserialize_with = "amount")]
    pub age_s: f64,
}

/// One page of the list of all machines that the cloud provisioned for this service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines on this page.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether further machines follow on the next page.
    #[serde(default)]
    pub more: bool,
}
