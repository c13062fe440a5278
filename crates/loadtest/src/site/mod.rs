//! Scales a site file of the bench to a larger fleet.
//!
//! Machines, capacity, job arrivals, teams' quotas and the controllers' sockets are multiplied. The
//! controllers' processor and memory stay as they are. The rate limits of the state service and the
//! cloud change only on request. Everything else of the file, including its comments, is kept as
//! written.

mod error;
mod fault_schema;

use toml_edit::{ArrayOfTables, DocumentMut, Item, Table, Value};

pub use error::SiteError;

/// Description of a required list of the site file, for errors.
pub const LIST_OF_TABLES: &str = "a list of tables";
/// Description of a required table of the site file, for errors.
const TABLE: &str = "a table";

/// Key of the list of scenarios in a site file.
const SCENARIOS_KEY: &str = "day";

/// Key of the list whose entries are multiplied by the factor of the arrivals, not of the machines.
const JOBS_KEY: &str = "jobs";

/// The scaled lists, with the keys that are multiplied in each of their entries.
const SCALED_LISTS: [(&str, &[&str]); 4] = [
    ("capacity", &["count", "spot"]),
    ("machines", &["count"]),
    ("teams", &["cpus", "cpus_max", "gpus", "gpus_max"]),
    (JOBS_KEY, &["initial"]),
];

/// Keys of the rate limits of the services that controllers call.
const SERVICE_RATES: [(&str, &[&str]); 2] = [("state", &["rps", "write_rps"]), ("cloud", &["rps"])];

/// Prefix of the kinds of fault whose `count` is a number of machines, which is multiplied.
const MACHINE_FAULT_PREFIX: &str = "machine_";

/// The factors by which a site is scaled, and other changes.
#[derive(clap::Args, Clone, Debug)]
pub struct SiteScaling {
    /// Factor for the machines, the capacity and the teams' quotas.
    #[arg(long, default_value_t = 2.0)]
    pub by: f64,
    /// Factor for the job arrivals; the factor of the machines if omitted.
    #[arg(long)]
    pub arrivals: Option<f64>,
    /// Factor for the controllers' sockets; the factor of the machines if omitted.
    #[arg(long)]
    pub sockets: Option<f64>,
    /// Factor for the rate limits of the state service and the cloud.
    #[arg(long, default_value_t = 1.0)]
    pub rates: f64,
    /// Seconds after which a crashed controller is restarted.
    #[arg(long)]
    pub restart_delay: Option<f64>,
    /// Replace the scenarios of the file by generated ones: controller crashes, cut connections,
    /// combinations of faults, floods of jobs and best-effort submitters.
    #[arg(long)]
    pub generated_scenarios: bool,
}

/// Returns the text of the scaled site file.
pub fn scale_site(text: &str, scaling: &SiteScaling) -> Result<String, SiteError> {
    let mut document: DocumentMut = text.parse()?;
    scale_lists(&mut document, scaling)?;
    scale_controllers(&mut document, scaling)?;
    scale_service_rates(&mut document, scaling.rates)?;
    scale_scenarios(&mut document, scaling.by)?;
    if scaling.generated_scenarios {
        let scenarios = crate::scenarios::generate(&document)?;
        document.insert(SCENARIOS_KEY, Item::ArrayOfTables(scenarios));
    }
    Ok(document.to_string())
}

fn scale_lists(document: &mut DocumentMut, scaling: &SiteScaling) -> Result<(), SiteError> {
    let arrivals = scaling.arrivals.unwrap_or(scaling.by);
    for (list, keys) in SCALED_LISTS {
        let factor = if list == JOBS_KEY { arrivals } else { scaling.by };
        for table in required_list(document, list)?.iter_mut() {
            keys.iter().for_each(|key| multiply_number(table, key, factor));
            multiply_arrival_rate(table, factor);
        }
    }
    Ok(())
}

fn scale_controllers(document: &mut DocumentMut, scaling: &SiteScaling) -> Result<(), SiteError> {
    let nodes = required_table(document, "nodes")?;
    multiply_number(nodes, "max_connections", scaling.sockets.unwrap_or(scaling.by));
    if let Some(delay_s) = scaling.restart_delay {
        nodes.insert("restart_delay_s", toml_edit::value(delay_s));
    }
    Ok(())
}

fn scale_service_rates(document: &mut DocumentMut, factor: f64) -> Result<(), SiteError> {
    for (service, keys) in SERVICE_RATES {
        let table = required_table(document, service)?;
        keys.iter().for_each(|key| multiply_number(table, key, factor));
    }
    Ok(())
}

/// Checks all scenarios of the file, then scales their faults.
fn scale_scenarios(document: &mut DocumentMut, factor: f64) -> Result<(), SiteError> {
    let scenarios = document.get_mut(SCENARIOS_KEY).and_then(Item::as_array_of_tables_mut);
    let Some(scenarios) = scenarios else { return Ok(()) };
    scenarios.iter().try_for_each(fault_schema::check_scenario)?;
    for faults in scenarios.iter_mut().filter_map(|scenario| scenario.get_mut("faults")) {
        for fault in faults.as_array_mut().into_iter().flat_map(|faults| faults.iter_mut()) {
            scale_fault(fault, factor);
        }
    }
    Ok(())
}

/// Multiplies the number of machines that a fault of machines affects.
fn scale_fault(fault: &mut Value, factor: f64) {
    let Some(fault) = fault.as_inline_table_mut() else { return };
    let kind = fault.get("kind").and_then(Value::as_str).unwrap_or_default();
    if !kind.starts_with(MACHINE_FAULT_PREFIX) {
        return;
    }
    if let Some(count) = fault.get("count").and_then(Value::as_integer) {
        fault.insert("count", Value::from(multiply_integer(count, factor)));
    }
}

fn multiply_integer(number: i64, factor: f64) -> i64 {
    (number as f64 * factor).round() as i64
}

/// Multiplies a number of a table in place. Integers stay integers; other values are left alone.
fn multiply_number(table: &mut Table, key: &str, factor: f64) {
    let Some(value) = table.get_mut(key).and_then(Item::as_value_mut) else { return };
    let multiplied = match value {
        Value::Integer(number) => Value::from(multiply_integer(*number.value(), factor)),
        Value::Float(number) => Value::from(number.value() * factor),
        _ => return,
    };
    *value = multiplied;
}

fn multiply_arrival_rate(table: &mut Table, factor: f64) {
    let arrivals = table.get_mut("arrivals").and_then(Item::as_inline_table_mut);
    let Some(arrivals) = arrivals else { return };
    if let Some(rate) = arrivals.get("rate").and_then(Value::as_float) {
        arrivals.insert("rate", Value::from(rate * factor));
    }
}

fn required_list<'a>(
    document: &'a mut DocumentMut,
    key: &'static str,
) -> Result<&'a mut ArrayOfTables, SiteError> {
    let error = SiteError::required(key, document.get(key), LIST_OF_TABLES);
    document.get_mut(key).and_then(Item::as_array_of_tables_mut).ok_or(error)
}

fn required_table<'a>(
    document: &'a mut DocumentMut,
    key: &'static str,
) -> Result<&'a mut Table, SiteError> {
    let error = SiteError::required(key, document.get(key), TABLE);
    document.get_mut(key).and_then(Item::as_table_mut).ok_or(error)
}

#[cfg(test)]
#[path = "../../tests/unit/site.rs"]
mod tests;
