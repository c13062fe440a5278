//! Settings of the deployments, as the users' pages describe them.

use quartzgate_wire::msg::{JobKind, JobSpec, MachineType, Priority};
use serde_json::{json, Value};

/// A deployment's settings and machine types.
pub struct Site {
    /// Zone of each controller.
    pub nodes: Vec<&'static str>,
    pub zones: Vec<&'static str>,
    pub teams: Value,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub state_rps: f64,
    pub state_write_rps: f64,
    /// How long the state service takes, with the way there and back.
    pub state_latency_ms: u64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub cpu_share: f64,
    pub mem_mb: f64,
    pub max_sockets: u64,
    /// How long a controller is away after an end.
    pub restart_s: f64,
    pub types: Vec<MachineType>,
}

fn machine_type(
    name: &str,
    (cpus, memory_gb): (f64, f64),
    (price, spot_price): (f64, f64),
    boot_s: f64,
    fetch_gb_per_s: f64,
    zones: &[&str],
) -> MachineType {
    MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory_gb,
        cache_gb: 50.0,
        fetch_gb_per_s,
        price,
        spot_price,
        boot_s,
        zones: zones.iter().map(|zone| zone.to_string()).collect(),
    }
}

impl Site {
    /// The roaster cluster, `beanpost-hosting`.
    pub fn beanpost() -> Site {
        let zones = ["lowland-zone", "highland-zone"];
        Site {
            nodes: vec!["lowland-zone", "highland-zone", "lowland-zone"],
            zones: zones.to_vec(),
            teams: json!([
                {"name": "billing-crew", "cpus": 128.0, "cpus_max": 424.0},
                {"name": "fulfilment-crew", "cpus": 208.0, "cpus_max": 592.0},
                {"name": "data-crew", "cpus": 128.0, "cpus_max": 256.0},
            ]),
            report_s: 2.0,
            lease_s: 14.0,
            cancel_s: 39.0,
            gang_wait_s: 45.0,
            gang_peer_s: 4.0,
            state_rps: 200.0,
            state_write_rps: 15.0,
            state_latency_ms: 6,
            value_kb: 8.0,
            txn_ops: 12,
            cloud_rps: 8.0,
            list_lag_s: 6.0,
            cpu_share: 0.12,
            mem_mb: 72.0,
            max_sockets: 1500,
            restart_s: 3.0,
            types: vec![
                machine_type("wee-box", (8.0, 32.0), (0.4, 0.11), 25.0, 0.8, &zones),
                machine_type("big-drum", (32.0, 128.0), (1.66, 0.45), 25.0, 0.5, &zones),
            ],
        }
    }

    /// The print queue, `matbaa-taawun`.
    pub fn matbaa() -> Site {
        let zones = ["casa-zone", "fes-zone"];
        Site {
            nodes: vec!["casa-zone", "fes-zone", "casa-zone"],
            zones: zones.to_vec(),
            teams: json!([{"name": "atelier-team"}]),
            report_s: 1.0,
            lease_s: 10.0,
            cancel_s: 40.0,
            gang_wait_s: 35.0,
            gang_peer_s: 6.0,
            state_rps: 120.0,
            state_write_rps: 30.0,
            state_latency_ms: 6,
            value_kb: 16.0,
            txn_ops: 24,
            cloud_rps: 4.0,
            list_lag_s: 3.0,
            cpu_share: 0.096,
            mem_mb: 40.0,
            max_sockets: 700,
            restart_s: 3.0,
            types: vec![
                machine_type("petit-poste", (8.0, 32.0), (0.44, 0.19), 50.0, 0.4, &zones),
                machine_type("grand-poste", (16.0, 64.0), (0.94, 0.37), 25.0, 0.6, &zones),
            ],
        }
    }

    /// The chocolate firm, `dundee-cacao`, with three of its seven controllers.
    pub fn dundee() -> Site {
        let zones = ["tay-zone", "fife-zone"];
        Site {
            nodes: vec!["tay-zone", "fife-zone", "tay-zone"],
            zones: zones.to_vec(),
            teams: json!([{"name": "cacao-crew"}]),
            report_s: 4.0,
            lease_s: 18.0,
            cancel_s: 43.0,
            gang_wait_s: 45.0,
            gang_peer_s: 8.0,
            state_rps: 200.0,
            state_write_rps: 80.0,
            state_latency_ms: 5,
            value_kb: 32.0,
            txn_ops: 48,
            cloud_rps: 5.0,
            list_lag_s: 3.0,
            cpu_share: 0.32,
            mem_mb: 136.0,
            max_sockets: 1500,
            restart_s: 6.0,
            types: vec![
                machine_type("copper-pot", (32.0, 128.0), (2.45, 0.63), 50.0, 1.0, &zones),
                machine_type("conche-rack", (64.0, 128.0), (4.07, 1.08), 25.0, 1.0, &zones),
            ],
        }
    }

    /// The chocolate firm with all its controllers.
    pub fn dundee_whole() -> Site {
        let (tay, fife) = ("tay-zone", "fife-zone");
        Site { nodes: vec![tay, fife, tay, fife, tay, fife, tay], ..Site::dundee() }
    }

    /// The part `facts` of the settings.
    pub fn facts(&self) -> Value {
        json!({
            "count": self.nodes.len(),
            "zones": self.zones,
            "teams": self.teams,
            "objectives": [],
            "workers": {
                "report_s": self.report_s, "lease_s": self.lease_s,
                "gang_wait_s": self.gang_wait_s, "gang_peer_s": self.gang_peer_s,
                "cancel_s": self.cancel_s
            },
            "state": {
                "rps": self.state_rps, "write_rps": self.state_write_rps,
                "value_kb": self.value_kb, "txn_ops": self.txn_ops
            },
            "cloud": {"rps": self.cloud_rps, "list_lag_s": self.list_lag_s},
            "resources": {
                "cpu_share": self.cpu_share, "mem_mb": self.mem_mb,
                "max_sockets": self.max_sockets
            },
            "clock_off_ms": 250.0
        })
    }

    pub fn boot_s(&self, kind: &str) -> f64 {
        self.types.iter().find(|t| t.name == kind).map_or(0.0, |t| t.boot_s)
    }

    pub fn fetch_gb_per_s(&self, kind: &str) -> f64 {
        self.types.iter().find(|t| t.name == kind).map_or(1.0, |t| t.fetch_gb_per_s)
    }
}

/// An array that may run anywhere, without checkpoints; the cases change what they need.
pub fn array(id: &str, class: &str, team: &str, tasks: u32, cpus: f64, memory_gb: f64) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: class.into(),
        team: team.into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks,
        cpus,
        gpus: 0.0,
        memory_gb,
        image: "img-01".into(),
        image_gb: 0.5,
        types: None,
        zone: None,
        together: false,
        spread: false,
        spot: true,
        estimate_s: 20.0,
        checkpoint_interval_s: 0.0,
        checkpoint_cost_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}
