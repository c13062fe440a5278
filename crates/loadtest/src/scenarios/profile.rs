//! Properties of a site that the generated scenarios depend on.

use std::collections::BTreeMap;

use toml_edit::{DocumentMut, Item, Table, TableLike};

use crate::site::{SiteError, LIST_OF_TABLES};

/// Number of controllers of a site whose file does not state it.
const DEFAULT_CONTROLLERS: i64 = 3;

/// Fraction of all rentable CPUs that the teams together may use if their limits are to bind.
const BINDING_LIMITS_FRACTION: f64 = 0.55;

const FLOAT: &str = "a number with a decimal point";
const TABLE: &str = "a table";

/// The properties of a site file from which scenarios are generated.
pub struct SiteProfile {
    /// Length of a scenario in seconds.
    pub duration_s: f64,
    /// Number of controllers; the default if the file does not state it.
    pub controllers: i64,
    /// The zone that scenarios cut off; absent if the controllers have no zones.
    pub first_zone: Option<String>,
    /// Names of the teams, in the file's order.
    pub teams: Vec<String>,
    /// Names of the job classes, in the file's order.
    pub job_classes: Vec<String>,
    /// Names of the job classes whose tasks run to completion independently of one another.
    pub array_classes: Vec<String>,
    /// Seconds within which the tasks of a cancelled job must be gone.
    pub cancel_timeout_s: f64,
    /// Seconds after which a worker without an answer stops its tasks.
    pub worker_lease_s: f64,
    /// Limits of the teams that are low enough for the load to reach them.
    pub binding_limits: Vec<TeamLimit>,
}

/// The largest number of CPUs that a team may use.
pub struct TeamLimit {
    /// Name of the team.
    pub team: String,
    /// Largest number of CPUs.
    pub max_cpus: f64,
}

impl SiteProfile {
    /// Reads the profile from a site file; fails if a required key is missing or of another type.
    pub fn read(document: &DocumentMut) -> Result<Self, SiteError> {
        let workers = required_table(document, "workers")?;
        let nodes = required_table(document, "nodes")?;
        Ok(SiteProfile {
            duration_s: required_float(document.as_table(), "duration_s", "duration_s")?,
            controllers: nodes
                .get("count")
                .and_then(Item::as_integer)
                .unwrap_or(DEFAULT_CONTROLLERS),
            first_zone: first_zone(nodes),
            teams: required_names(document, "teams")?,
            job_classes: required_names(document, "jobs")?,
            array_classes: array_classes(document),
            cancel_timeout_s: required_float(workers, "cancel_s", "workers.cancel_s")?,
            worker_lease_s: required_float(workers, "lease_s", "workers.lease_s")?,
            binding_limits: binding_limits(document),
        })
    }
}

fn required_table<'a>(
    document: &'a DocumentMut,
    key: &'static str,
) -> Result<&'a dyn TableLike, SiteError> {
    let item = document.get(key);
    item.and_then(Item::as_table_like).ok_or_else(|| SiteError::required(key, item, TABLE))
}

/// Returns a float of a table; `path` names its key in errors.
fn required_float(table: &dyn TableLike, key: &str, path: &'static str) -> Result<f64, SiteError> {
    let item = table.get(key);
    item.and_then(Item::as_float).ok_or_else(|| SiteError::required(path, item, FLOAT))
}

fn required_names(document: &DocumentMut, list: &'static str) -> Result<Vec<String>, SiteError> {
    let item = document.get(list);
    let tables = item.and_then(Item::as_array_of_tables);
    let tables = tables.ok_or_else(|| SiteError::required(list, item, LIST_OF_TABLES))?;
    let names = tables.iter().filter_map(|table| table.get("name").and_then(Item::as_str));
    Ok(names.map(str::to_string).collect())
}

fn first_zone(nodes: &dyn TableLike) -> Option<String> {
    let zones = nodes.get("zones").and_then(Item::as_array)?;
    Some(zones.get(0)?.as_str()?.to_string())
}

fn array_classes(document: &DocumentMut) -> Vec<String> {
    optional_tables(document, "jobs")
        .filter(|job| text_of(job, "kind") == "array")
        .filter_map(|job| job.get("name").and_then(Item::as_str))
        .map(str::to_string)
        .collect()
}

/// Divides the CPUs that the teams together may use among them, by their weights.
fn binding_limits(document: &DocumentMut) -> Vec<TeamLimit> {
    let total_cpus: f64 = rentable_cpus(document);
    let weight_of = |team: &Table| number_of(team, "weight").unwrap_or(1.0);
    let total_weight: f64 = optional_tables(document, "teams").map(weight_of).sum();
    optional_tables(document, "teams")
        .map(|team| TeamLimit {
            team: text_of(team, "name").to_string(),
            max_cpus: (total_cpus * BINDING_LIMITS_FRACTION * weight_of(team) / total_weight)
                .round(),
        })
        .filter(|limit| limit.max_cpus > 0.0)
        .collect()
}

/// Returns the CPUs of all machines that the cloud can rent to the site, spot and on-demand.
fn rentable_cpus(document: &DocumentMut) -> f64 {
    let cpus_by_type: BTreeMap<&str, f64> = optional_tables(document, "machine_types")
        .map(|kind| (text_of(kind, "name"), number_of(kind, "cpus").unwrap_or(0.0)))
        .collect();
    let cpus_of = |capacity: &Table| {
        let each = cpus_by_type.get(text_of(capacity, "type")).copied().unwrap_or(0.0);
        let on_demand = number_of(capacity, "count").unwrap_or(0.0);
        each * (on_demand + number_of(capacity, "spot").unwrap_or(0.0))
    };
    optional_tables(document, "capacity").map(cpus_of).sum()
}

fn optional_tables<'a>(
    document: &'a DocumentMut,
    list: &str,
) -> impl Iterator<Item = &'a Table> + 'a {
    document.get(list).and_then(Item::as_array_of_tables).into_iter().flatten()
}

fn text_of<'a>(table: &'a Table, key: &str) -> &'a str {
    table.get(key).and_then(Item::as_str).unwrap_or("")
}

/// Returns a number, whether it is written with a decimal point or not.
fn number_of(table: &Table, key: &str) -> Option<f64> {
    let item = table.get(key)?;
    item.as_float().or(item.as_integer().map(|integer| integer as f64))
}
