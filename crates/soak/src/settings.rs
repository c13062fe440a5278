//! Platform settings of the controllers of a run.

use std::net::SocketAddr;

use serde_json::{json, Value};

/// Interval between a worker's heartbeats.
pub const HEARTBEAT_MS: u64 = 1_000;
/// Duration of a worker's lease.
pub const LEASE_MS: u64 = 8_000;
/// Time after a confirmed cancellation by which no task of the job may run any more.
pub const CANCEL_MS: u64 = 24_000;
/// Upper limit of the CPUs that the team may use.
pub const TEAM_CPUS: f64 = 160.0;
/// Memory limit of a controller, in MB.
pub const MEMORY_MB: f64 = 64.0;
/// Zones of the controllers and machines.
pub const ZONES: [&str; 2] = ["a", "b"];
/// Team under which all jobs are submitted.
pub const TEAM: &str = "crew";

/// Addresses of one controller and of the services and siblings that it calls.
#[derive(Clone, Debug)]
pub struct ControllerAddresses {
    /// Address at which the controller serves users and workers.
    pub clients: SocketAddr,
    /// Address at which the controller serves its siblings, each of which calls through a proxy.
    pub mesh: SocketAddr,
    /// Address of the state service's listener for this controller.
    pub state: SocketAddr,
    /// Address of the cloud's listener for this controller.
    pub cloud: SocketAddr,
    /// Number of each sibling, and address of the proxy to it.
    pub siblings: Vec<(usize, SocketAddr)>,
}

/// Returns the node name of a controller.
pub fn node_name(node: usize) -> String {
    format!("host-{node}")
}

/// Returns the zone of a controller; controllers are spread over the zones in turn.
pub fn zone_of(node: usize) -> &'static str {
    ZONES[node % ZONES.len()]
}

/// Returns the platform settings of one of `controller_count` controllers.
pub fn platform_settings(
    node: usize,
    controller_count: usize,
    addresses: &ControllerAddresses,
) -> Value {
    let siblings: Vec<Value> = addresses
        .siblings
        .iter()
        .map(|(sibling, addr)| {
            json!({"node": node_name(*sibling), "domain": zone_of(*sibling), "addr": addr})
        })
        .collect();
    json!({
        "node": node_name(node),
        "domain": zone_of(node),
        "client_listen": addresses.clients,
        "mesh_addr": addresses.mesh,
        "siblings": siblings,
        "outside": {"cloud": addresses.cloud, "state": addresses.state},
        "facts": {
            "count": controller_count,
            "zones": ZONES,
            "teams": [{"name": TEAM, "cpus": TEAM_CPUS / 2.0, "cpus_max": TEAM_CPUS}],
            "objectives": [],
            "workers": {
                "report_s": HEARTBEAT_MS as f64 / 1e3,
                "lease_s": LEASE_MS as f64 / 1e3,
                "gang_wait_s": 20.0,
                "gang_peer_s": 3.0,
                "cancel_s": CANCEL_MS as f64 / 1e3
            },
            "state": {"rps": 300.0, "write_rps": 60.0, "value_kb": 8.0, "txn_ops": 12},
            "cloud": {"rps": 8.0, "list_lag_s": 2.0},
            "resources": {"cpu_share": 0.2, "mem_mb": MEMORY_MB, "max_sockets": 1024},
            "clock_off_ms": 100.0
        }
    })
}
