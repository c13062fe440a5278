//! The JSON settings file that the platform provides to each controller.
//!
//! Some fields have a name in the file that differs from the term used in this code; those names
//! appear only in the serde attributes. Unknown fields are ignored, so that the platform can add
//! fields without a new build of the controller. [`Platform::check`] rejects values with which a
//! controller could not work, and names the field as the file spells it.

#![warn(missing_docs)]

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Longest text accepted for a node name or an address, in bytes.
const MAX_TEXT_BYTES: usize = 100;
/// Exclusive upper bound of the amounts that are checked.
const MAX_AMOUNT: f64 = 1e9;
/// Smallest allowed limit on the operations in a transaction.
const MIN_TXN_OPS: usize = 4;
/// Smallest allowed limit on the size of a value, in KiB. The smallest job together with its
/// placement fits a value of this size.
const MIN_VALUE_KB: f64 = 1.0;
/// Smallest number of sockets with which a controller can serve workers and users and make its own
/// calls.
const MIN_SOCKETS: usize = 32;

/// The settings that the platform provides to one controller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Platform {
    /// Name of this controller, without spaces and slashes.
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
    /// Name of that controller.
    pub node: String,
    /// Zone in which that controller runs; empty if the file does not name one.
    #[serde(rename = "domain", default)]
    pub zone: String,
    /// Address on which that controller serves the other controllers.
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
    /// Bound on the error of the wall clocks, in milliseconds.
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
    /// Kind of event that the objective measures.
    pub kind: String,
    /// Class of jobs to which the objective applies; all classes if absent.
    #[serde(default)]
    pub class: Option<String>,
    /// Time allowed, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// For objectives on deadlines: multiple of the deadline that is allowed.
    #[serde(default)]
    pub times: Option<f64>,
    /// Fraction of the events that must meet the objective.
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
    /// Time for which the first tasks of a gang wait for the others.
    #[serde(default)]
    pub gang_wait_s: f64,
    /// Time for which a running gang survives without one of its tasks.
    #[serde(default)]
    pub gang_peer_s: f64,
    /// Time within which every task of an aborted job must have ended; must exceed the lease.
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
    /// Limits that will take effect at an unannounced time after an upgrade; absent if no change is
    /// planned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<NextLimits>,
}

/// Announced limits of the state service; a limit that is absent does not change.
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
    /// Returns the lower of the current and the announced limits. A controller that respects these
    /// stays within the limits at any time.
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
    /// Largest staleness of the list of machines, in seconds.
    pub list_lag_s: f64,
}

/// Resources that one controller may use.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Limits {
    /// CPU time, in cores.
    pub cpu_share: f64,
    /// Memory, in MB.
    #[serde(rename = "mem_mb")]
    pub memory_mb: f64,
    /// Number of open sockets.
    pub max_sockets: usize,
}

/// A setting with a value that is not allowed.
#[derive(Debug, thiserror::Error)]
#[error("setting `{field}` {requirement}")]
pub struct SettingsError {
    /// Dotted path of the field as the file spells it. The path does not identify the entry of a
    /// list.
    pub field: String,
    /// The values that are allowed, as the end of a sentence about the field.
    pub requirement: String,
}

impl SettingsError {
    fn new(field: impl Into<String>, requirement: impl Into<String>) -> Self {
        SettingsError { field: field.into(), requirement: requirement.into() }
    }
}

impl Platform {
    /// Checks the values; returns an error for the first one with which a controller could not
    /// work.
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
