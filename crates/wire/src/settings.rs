//! The settings file that the platform hands over (JSON).

use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Platform {
    pub node: String,
    #[serde(rename = "domain")]
    pub zone: String,
    #[serde(rename = "client_listen")]
    pub listen: String,
    #[serde(rename = "mesh_addr")]
    pub mesh_listen: String,
    #[serde(default)]
    pub siblings: Vec<Sibling>,
    #[serde(rename = "outside")]
    pub services: Services,
    #[serde(rename = "facts")]
    pub params: Params,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Sibling {
    pub node: String,
    #[serde(rename = "domain", default)]
    pub zone: String,
    pub addr: String,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Services {
    pub cloud: String,
    pub state: String,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Params {
    pub count: u32,
    pub zones: Vec<String>,
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    #[serde(rename = "resources")]
    pub limits: Limits,
    #[serde(default)]
    pub clock_off_ms: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Team {
    pub name: String,
    /// CPUs guaranteed; 0 means none.
    #[serde(default)]
    pub cpus: f64,
    /// CPUs at most; 0 means no limit.
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
    /// For deadlines: how many times the deadline the aim allows.
    #[serde(default)]
    pub times: Option<f64>,
    #[serde(default)]
    pub share: Option<f64>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    #[serde(default)]
    pub gang_wait_s: f64,
    #[serde(default)]
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// What the limits will be from some moment after an upgrade, without notice.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<NextLimits>,
}

/// Limits to come; what is left out stays as it is.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct NextLimits {
    #[serde(default)]
    pub rps: Option<f64>,
    #[serde(default)]
    pub write_rps: Option<f64>,
    #[serde(default)]
    pub value_kb: Option<f64>,
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// The lower of the present limits and those to come: what fits these fits at any
    /// moment.
    pub fn lowest(&self) -> StateLimits {
        let next = self.next.unwrap_or_default();
        StateLimits {
            rps: self.rps.min(next.rps.unwrap_or(self.rps)),
            write_rps: self.write_rps.min(next.write_rps.unwrap_or(self.write_rps)),
            value_kb: self.value_kb.min(next.value_kb.unwrap_or(self.value_kb)),
            txn_ops: self.txn_ops.min(next.txn_ops.unwrap_or(self.txn_ops)),
            next: None,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Limits {
    pub cpu_share: f64,
    #[serde(rename = "mem_mb")]
    pub memory_mb: f64,
    pub max_sockets: usize,
}

#[derive(Debug, thiserror::Error)]
#[error("setting `{field}` {problem}")]
pub struct SettingsError {
    pub field: String,
    pub problem: String,
}

impl Platform {
    /// Refuses figures that make no sense, naming the field.
    pub fn check(&self) -> Result<(), SettingsError> {
        let bad = |field: &str, problem: &str| {
            Err(SettingsError { field: field.into(), problem: problem.into() })
        };
        let p = &self.params;
        for (field, text) in [
            ("node", &self.node),
            ("client_listen", &self.listen),
            ("mesh_addr", &self.mesh_listen),
            ("outside.cloud", &self.services.cloud),
            ("outside.state", &self.services.state),
        ] {
            if text.is_empty() || text.len() > 100 {
                return bad(field, "must be a text of 1 to 100 bytes");
            }
            if field != "node" && text.parse::<std::net::SocketAddr>().is_err() {
                return bad(field, "must be an IP address and a port");
            }
        }
        if self.node.contains([' ', '/']) {
            return bad("node", "must hold no space and no slash");
        }
        for s in &self.siblings {
            if s.addr.parse::<std::net::SocketAddr>().is_err() {
                return bad("siblings.addr", "must be an IP address and a port");
            }
        }
        let above = [
            ("facts.workers.report_s", p.workers.report_s),
            ("facts.workers.lease_s", p.workers.lease_s),
            ("facts.workers.cancel_s", p.workers.cancel_s),
            ("facts.state.rps", p.state.rps),
            ("facts.state.write_rps", p.state.write_rps),
            ("facts.state.value_kb", p.state.value_kb),
            ("facts.cloud.rps", p.cloud.rps),
            ("facts.resources.cpu_share", p.limits.cpu_share),
            ("facts.resources.mem_mb", p.limits.memory_mb),
        ];
        for (field, value) in above {
            if !(value > 0.0 && value < 1e9) {
                return bad(field, "must be above 0");
            }
        }
        if p.workers.cancel_s <= p.workers.lease_s {
            return bad("facts.workers.cancel_s", "must be above lease_s");
        }
        if p.state.txn_ops < 4 {
            return bad("facts.state.txn_ops", "must be at least 4");
        }
        let next = p.state.next.unwrap_or_default();
        for (field, value) in [
            ("facts.state.next.rps", next.rps),
            ("facts.state.next.write_rps", next.write_rps),
            ("facts.state.next.value_kb", next.value_kb),
        ] {
            if !value.is_none_or(|v| v > 0.0 && v < 1e9) {
                return bad(field, "must be above 0");
            }
        }
        if next.txn_ops.is_some_and(|ops| ops < 4) {
            return bad("facts.state.next.txn_ops", "must be at least 4");
        }
        // The smallest job and its share must find room in a value.
        if p.state.lowest().value_kb < 1.0 {
            return bad("facts.state.next.value_kb", "must be at least 1");
        }
        if p.limits.max_sockets < 32 {
            return bad("facts.resources.max_sockets", "must be at least 32");
        }
        if p.zones.is_empty() {
            return bad("facts.zones", "must name a zone");
        }
        if p.teams.is_empty() {
            return bad("facts.teams", "must name a team");
        }
        for t in &p.teams {
            let all = [t.cpus, t.cpus_max, t.gpus, t.gpus_max];
            if !all.iter().all(|v| (0.0..1e9).contains(v)) {
                return bad("facts.teams", "must hold no negative amounts");
            }
        }
        Ok(())
    }
}
