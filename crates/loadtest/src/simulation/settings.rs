//! Platform settings of the simulated controller.

use quartzgate_core::config::{Config, Operator};
use quartzgate_wire::settings::Platform;

use super::options::LoadOptions;

/// Duration of a worker's lease, in heartbeat intervals.
const HEARTBEATS_PER_LEASE: f64 = 5.0;
/// Time allowed for cancelling a job, in heartbeat intervals.
const HEARTBEATS_PER_CANCELLATION: f64 = 12.0;

/// Returns the configuration of a controller under this load, with the operator's defaults.
pub fn config(options: &LoadOptions) -> Config {
    Config::new(platform(options), Operator::default())
}

fn platform(options: &LoadOptions) -> Platform {
    let lease_s = options.heartbeat_s * HEARTBEATS_PER_LEASE;
    let cancel_s = options.heartbeat_s * HEARTBEATS_PER_CANCELLATION;
    let settings = serde_json::json!({
        "node": "n0", "domain": "a", "client_listen": "127.0.0.1:1", "mesh_addr": "127.0.0.1:2",
        "siblings": [], "outside": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
        "facts": {
            "count": 1, "zones": ["a", "b"],
            "teams": [{"name": "night", "cpus": 0.0, "cpus_max": 0.0},
                      {"name": "web", "cpus": 0.0, "cpus_max": 0.0}],
            "objectives": [{"kind": "wait", "class": "web", "within_s": 1.0, "share": 0.9},
                           {"kind": "deadline", "class": "batch", "share": 0.95, "times": 1.0}],
            "workers": {"report_s": options.heartbeat_s, "lease_s": lease_s,
                        "gang_wait_s": 45.0, "gang_peer_s": 4.0, "cancel_s": cancel_s},
            "state": {"rps": 600.0, "write_rps": options.writes, "value_kb": 8.0, "txn_ops": 12},
            "cloud": {"rps": 15.0, "list_lag_s": 6.0},
            "resources": {"cpu_share": 0.3, "mem_mb": 188.0, "max_sockets": 4000},
            "clock_off_ms": 100.0
        }
    });
    serde_json::from_value(settings).expect("all required settings are given above")
}
