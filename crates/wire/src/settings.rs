//! The settings file that the platform hands to each controller (JSON).
//!
//! The operators' names for some fields differ from the terms used in this code; they
//! appear only in the serde renames. Unknown fields are ignored, so that the platform
//! can add to the file without a new build. [`Platform::check`] refuses values with which
//! a controller could not work and names the field as the file spells it.

#![warn(missing_docs)]

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Longest text accepted for a node name or an address, in bytes.
const MAX_TEXT_BYTES: usize = 100;
/// Bound below which every amount in the file must stay.
const MAX_AMOUNT: f64 = 1e9;
/// Fewest operations that a transaction must allow.
const MIN_TXN_OPS: usize = 4;
/// Smallest value limit, in KiB, that holds the smallest job together with its placement.
const MIN_VALUE_KB: f64 = 1.0;
/// Fewest sockets with which a controller can serve workers, users and its own calls.
const MIN_SOCKETS: usize = 32;

/// All settings of one controller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Platform {
    /// Name of this controller.
    pub node: String,
    /// Zone in which this controller runs.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Address on which users, workers and health checks are served.
    #[serde(rename = "client_listen")]
    pub listen: String,
    /// Address on which the other controllers are served.
    #[serde(rename = "mesh_addr")]
    pub mesh_listen: String,
    /// The other controllers.
    #[serde(default)]
    pub siblings: Vec<Sibling>,
    /// Services of the platform that a controller calls.
    #[serde(rename = "outside")]
    pub services: Services,
    /// Parameters of the cluster, the same for all controllers.
    #[serde(rename = "facts")]
    pub params: Params,
}

/// Another controller of the same cluster.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Sibling {
    /// Its name.
    pub node: String,
    /// Zone in which it runs.
    #[serde(rename = "domain", default)]
    pub zone: String,
    /// Its mesh address.
    pub addr: String,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Services {
    /// Address of the cloud, which provisions and terminates machines.
    pub cloud: String,
    /// Address of the state service, a consensus-backed key-value store.
    pub state: String,
}

/// Parameters of the cluster, the same for all controllers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Params {
    /// Number of controllers.
    pub count: u32,
    /// Zones in which machines can be provisioned.
    pub zones: Vec<String>,
    /// Teams that may submit jobs, with their quotas.
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of the workers' protocol.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Resources that one controller may use.
    #[serde(rename = "resources")]
    pub limits: Limits,
    /// Bound on the error of the time of day, in milliseconds.
    #[serde(default)]
    pub clock_off_ms: f64,
}

/// A team and its quota.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Team {
    /// Name by which jobs refer to it.
    pub name: String,
    /// CPUs guaranteed; 0 means none.
    #[serde(default)]
    pub cpus: f64,
    /// Limit of CPUs; 0 means no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// GPUs guaranteed; 0 means none.
    #[serde(default)]
    pub gpus: f64,
    /// Limit of GPUs; 0 means no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective for one kind of event.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Objective {
    /// What is measured.
    pub kind: String,
    /// Class of jobs to which it applies; all classes if absent.
    #[serde(default)]
    pub class: Option<String>,
    /// Time allowed, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// For deadlines: how many times the deadline the objective allows.
    #[serde(default)]
    pub times: Option<f64>,
    /// Fraction of the events that must meet it.
    #[serde(default)]
    pub share: Option<f64>,
}

/// Timing of the workers' protocol, in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Workers {
    /// Interval between two heartbeats of a worker.
    pub report_s: f64,
    /// Length of a worker's lease.
    pub lease_s: f64,
    /// How long the first tasks of a gang wait for the others.
    #[serde(default)]
    pub gang_wait_s: f64,
    /// How long a running gang survives without one of its tasks.
    #[serde(default)]
    pub gang_peer_s: f64,
    /// Time within which every task of an aborted job must be gone.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StateLimits {
    /// Requests per second.
    pub rps: f64,
    /// Puts and deletes per second.
    pub write_rps: f64,
    /// Size of one value, in KiB.
    pub value_kb: f64,
    /// Puts and deletes in one transaction.
    pub txn_ops: usize,
    /// Limits that will hold from some moment after an upgrade, without notice.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<NextLimits>,
}

/// Announced limits of the state service; an absent one stays as it is.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct NextLimits {
    /// Requests per second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Puts and deletes per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Size of one value, in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Puts and deletes in one transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// The lower of the present and the announced limits: what keeps to these is within
    /// the limits at any moment.
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

/// Limits of the cloud.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// How far the list of machines may lag, in seconds.
    pub list_lag_s: f64,
}

/// Resources that one controller may use.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Limits {
    /// Processor time, in cores.
    pub cpu_share: f64,
    /// Memory, in MB.
    #[serde(rename = "mem_mb")]
    pub memory_mb: f64,
    /// Open sockets.
    pub max_sockets: usize,
}

/// A setting with a value that is not allowed.
#[derive(Debug, thiserror::Error)]
#[error("setting `{field}` {problem}")]
pub struct SettingsError {
    /// Path of the field as the file spells it, with dots; it does not tell the entries of
    /// a list apart.
    pub field: String,
    /// What is allowed.
    pub problem: String,
}

impl SettingsError {
    fn new(field: impl Into<String>, problem: impl Into<String>) -> Self {
        SettingsError { field: field.into(), problem: problem.into() }
    }
}

impl Platform {
    /// Refuses values with which a controller could not work, naming the first one.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_node()?;
        self.check_addresses()?;
        self.params.check()
    }

    fn check_node(&self) -> Result<(), SettingsError> {
        check_text("node", &self.node)?;
        if self.node.contains([' ', '/']) {
            return Err(SettingsError::new("node", "must hold no space and no slash"));
        }
        Ok(())
    }

    fn check_addresses(&self) -> Result<(), SettingsError> {
        for (field, text) in [
            ("client_listen", &self.listen),
            ("mesh_addr", &self.mesh_listen),
            ("outside.cloud", &self.services.cloud),
            ("outside.state", &self.services.state),
        ] {
            check_text(field, text)?;
            check_address(field, text)?;
        }
        for sibling in &self.siblings {
            check_address("siblings.addr", &sibling.addr)?;
        }
        Ok(())
    }
}

impl Params {
    fn check(&self) -> Result<(), SettingsError> {
        self.check_amounts()?;
        if self.workers.cancel_s <= self.workers.lease_s {
            return Err(SettingsError::new("facts.workers.cancel_s", "must be above lease_s"));
        }
        self.state.check()?;
        if self.limits.max_sockets < MIN_SOCKETS {
            let allowed = format!("must be at least {MIN_SOCKETS}");
            return Err(SettingsError::new("facts.resources.max_sockets", allowed));
        }
        if self.zones.is_empty() {
            return Err(SettingsError::new("facts.zones", "must name a zone"));
        }
        self.check_teams()
    }

    fn check_amounts(&self) -> Result<(), SettingsError> {
        for (field, amount) in [
            ("facts.workers.report_s", self.workers.report_s),
            ("facts.workers.lease_s", self.workers.lease_s),
            ("facts.workers.cancel_s", self.workers.cancel_s),
            ("facts.state.rps", self.state.rps),
            ("facts.state.write_rps", self.state.write_rps),
            ("facts.state.value_kb", self.state.value_kb),
            ("facts.cloud.rps", self.cloud.rps),
            ("facts.resources.cpu_share", self.limits.cpu_share),
            ("facts.resources.mem_mb", self.limits.memory_mb),
        ] {
            check_positive(field, amount)?;
        }
        Ok(())
    }

    fn check_teams(&self) -> Result<(), SettingsError> {
        if self.teams.is_empty() {
            return Err(SettingsError::new("facts.teams", "must name a team"));
        }
        for team in &self.teams {
            let quota = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
            if !quota.iter().all(|amount| (0.0..MAX_AMOUNT).contains(amount)) {
                let allowed = format!("must hold amounts from 0 to below {MAX_AMOUNT:e}");
                return Err(SettingsError::new("facts.teams", allowed));
            }
        }
        Ok(())
    }
}

impl StateLimits {
    fn check(&self) -> Result<(), SettingsError> {
        check_txn_ops("facts.state.txn_ops", self.txn_ops)?;
        if let Some(next) = self.next {
            next.check()?;
        }
        if self.lowest().value_kb < MIN_VALUE_KB {
            let allowed = format!("must be at least {MIN_VALUE_KB}, like `facts.state.value_kb`");
            return Err(SettingsError::new("facts.state.next.value_kb", allowed));
        }
        Ok(())
    }
}

impl NextLimits {
    fn check(&self) -> Result<(), SettingsError> {
        for (field, amount) in [
            ("facts.state.next.rps", self.rps),
            ("facts.state.next.write_rps", self.write_rps),
            ("facts.state.next.value_kb", self.value_kb),
        ] {
            amount.map_or(Ok(()), |amount| check_positive(field, amount))?;
        }
        self.txn_ops.map_or(Ok(()), |ops| check_txn_ops("facts.state.next.txn_ops", ops))
    }
}

fn check_text(field: &str, text: &str) -> Result<(), SettingsError> {
    if text.is_empty() || text.len() > MAX_TEXT_BYTES {
        let allowed = format!("must be a text of 1 to {MAX_TEXT_BYTES} bytes");
        return Err(SettingsError::new(field, allowed));
    }
    Ok(())
}

fn check_address(field: &str, text: &str) -> Result<(), SettingsError> {
    match text.parse::<SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_) => Err(SettingsError::new(field, "must be an IP address and a port")),
    }
}

fn check_positive(field: &str, amount: f64) -> Result<(), SettingsError> {
    if amount > 0.0 && amount < MAX_AMOUNT {
        return Ok(());
    }
    Err(SettingsError::new(field, format!("must be above 0 and below {MAX_AMOUNT:e}")))
}

fn check_txn_ops(field: &str, ops: usize) -> Result<(), SettingsError> {
    if ops < MIN_TXN_OPS {
        return Err(SettingsError::new(field, format!("must be at least {MIN_TXN_OPS}")));
    }
    Ok(())
}
