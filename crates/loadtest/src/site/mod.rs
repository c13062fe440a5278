//! Scales a site file of the bench to a larger fleet.
//!
//! Machines, capacity, arrivals and teams are multiplied. The controllers' processor and memory
//! stay as they are, and so do the state service, the cloud and the sockets unless asked for.
//! Everything else of the file, including its comments, is kept as written.

mod error;
mod fault_schema;

use toml_edit::{ArrayOfTables, DocumentMut, Item, Table, Value};

pub use error::SiteError;

/// What a required list of the site file must be.
pub const LIST_OF_TABLES: &str = "a list of tables";
/// What a required table of the site file must be.
const TABLE: &str = "a table";

/// The list of scenarios in a site file.
const SCENARIOS: &str = "day";

/// Name of the list whose entries follow the arrivals and not the machines.
const JOB_PREFIX: &str = "jobs";

/// The keys that are multiplied in each entry of a list.
const SCALED_LISTS: [(&str, &[&str]); 4] = [
    ("capacity", &["count", "spot"]),
    ("machines", &["count"]),
    ("teams", &["cpus", "cpus_max", "gpus", "gpus_max"]),
    (JOB_PREFIX, &["initial"]),
];

/// The rate limits of the services that controllers call.
const SERVICE_RATES: [(&str, &[&str]); 2] = [("state", &["rps", "write_rps"]), ("cloud", &["rps"])];

/// Prefix of the kinds of fault whose `count` is a number of machines.
const MACHINE_FAULT_PREFIX: &str = "machine_";

/// What changes in a scaled site.
#[derive(clap::Args, Clone, Debug)]
pub struct SiteScaling {
    /// How many times as many machines, with their capacity and teams.
    #[arg(long, default_value_t = 2.0)]
    pub by: f64,
    /// How many times as many jobs; as the machines if left out.
    #[arg(long)]
    pub arrivals: Option<f64>,
    /// How many times as many sockets; as the machines if left out.
    #[arg(long)]
    pub sockets: Option<f64>,
    /// How many times as many calls a second the state service and the cloud take.
    #[arg(long, default_value_t = 1.0)]
    pub rates: f64,
    /// Seconds after which a controller that has crashed is started again.
    #[arg(long)]
    pub restart_delay: Option<f64>,
    /// Replaces the scenarios of the file by generated ones: controller crashes, cuts, fault
    /// combinations, floods of jobs, best-effort submitters.
    #[arg(long)]
    pub generated_scenarios: bool,
}

/// Returns the text of the scaled site.
pub fn scale_site(text: &str, scaling: &SiteScaling) -> Result<String, SiteError> {
    let mut document: DocumentMut = text.parse()?;
    scale_lists(&mut document, scaling)?;
    scale_controllers(&mut document, scaling)?;
    scale_service_rates(&mut document, scaling.rates)?;
    scale_scenarios(&mut document, scaling.by)?;
    if scaling.generated_scenarios {
        let scenarios = crate::scenarios::generate(&document)?;
        document.insert(SCENARIOS, Item::ArrayOfTables(scenarios));
    }
    Ok(document.to_string())
}

fn scale_lists(document: &mut DocumentMut, scaling: &SiteScaling) -> Result<(), SiteError> {
    let arrivals = scaling.arrivals.unwrap_or(scaling.by);
    for (list, keys) in SCALED_LISTS {
        let factor = if list == JOB_PREFIX { arrivals } else { scaling.by };
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

/// Checks the scenarios of the file, then scales their faults.
fn scale_scenarios(document: &mut DocumentMut, factor: f64) -> Result<(), SiteError> {
    let scenarios = document.get_mut(SCENARIOS).and_then(Item::as_array_of_tables_mut);
    let Some(scenarios) = scenarios else { return Ok(()) };
    scenarios.iter().try_for_each(fault_schema::check_scenario)?;
    for faults in scenarios.iter_mut().filter_map(|scenario| scenario.get_mut("faults")) {
        for fault in faults.as_array_mut().into_iter().flat_map(|faults| faults.iter_mut()) {
            scale_fault(fault, factor);
        }
    }
    Ok(())
}

/// Faults that hit a number of machines hit so many times as many.
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

/// Multiplies a number in its place; integers stay integers, anything else stays as it is.
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
