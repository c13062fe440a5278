//! A site file of a larger fleet: machines, capacity, arrivals and teams are multiplied; the
//! controllers' processor and memory stay, and the state service, the cloud and the sockets
//! unless asked for.

use toml_edit::{DocumentMut, Item, Table, Value};

#[derive(Debug, thiserror::Error)]
pub enum SiteError {
    #[error("not TOML: {0}")]
    Toml(#[from] toml_edit::TomlError),
    #[error("the site file has no `{0}`")]
    Missing(&'static str),
    #[error("day `{day}` names a trouble of unknown kind `{kind}`; allowed are {allowed}")]
    Kind { day: String, kind: String, allowed: String },
    #[error("day `{day}`: a trouble of kind `{kind}` has no key `{key}`; allowed are {allowed}")]
    Key { day: String, kind: String, key: String, allowed: String },
    #[error("day `{day}`: `{key}` of `{kind}` is {value}; allowed is {allowed}")]
    Value { day: String, kind: String, key: String, value: String, allowed: &'static str },
}

/// Multiplies a number where it stands; whole numbers stay whole.
fn times(table: &mut Table, key: &str, by: f64) {
    let Some(value) = table.get_mut(key).and_then(Item::as_value_mut) else { return };
    let more = match value {
        Value::Integer(n) => Value::from((*n.value() as f64 * by).round() as i64),
        Value::Float(f) => Value::from(f.value() * by),
        _ => return,
    };
    *value = more;
}

/// What is multiplied in each table of a list.
const LISTS: [(&str, &[&str]); 4] = [
    ("capacity", &["count", "spot"]),
    ("machines", &["count"]),
    ("teams", &["cpus", "cpus_max", "gpus", "gpus_max"]),
    ("jobs", &["initial"]),
];

/// How a site is to be other than it is.
#[derive(clap::Args, Clone, Debug)]
pub struct Growth {
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
    /// Seconds after which a controller that has ended is started again.
    #[arg(long)]
    pub restart_delay: Option<f64>,
    /// Days of our own instead of those of the file: restarts, floods, guests.
    #[arg(long)]
    pub own_days: bool,
}

/// The same site, grown.
pub fn multiply(text: &str, growth: &Growth) -> Result<String, SiteError> {
    let (by, rates) = (growth.by, growth.rates);
    let arrivals = growth.arrivals.unwrap_or(by);
    let mut doc: DocumentMut = text.parse()?;
    for (list, keys) in LISTS {
        let tables = doc.get_mut(list).and_then(Item::as_array_of_tables_mut);
        let by = if list == "jobs" { arrivals } else { by };
        for table in tables.ok_or(SiteError::Missing(list))?.iter_mut() {
            keys.iter().for_each(|key| times(table, key, by));
            if let Some(a) = table.get_mut("arrivals").and_then(Item::as_inline_table_mut) {
                if let Some(rate) = a.get("rate").and_then(Value::as_float) {
                    a.insert("rate", Value::from(rate * by));
                }
            }
        }
    }
    let nodes = doc.get_mut("nodes").and_then(Item::as_table_mut);
    let nodes = nodes.ok_or(SiteError::Missing("nodes"))?;
    times(nodes, "max_connections", growth.sockets.unwrap_or(by));
    if let Some(s) = growth.restart_delay {
        nodes.insert("restart_delay_s", toml_edit::value(s));
    }
    for (table, keys) in [("state", &["rps", "write_rps"][..]), ("cloud", &["rps"][..])] {
        let found = doc.get_mut(table).and_then(Item::as_table_mut);
        let found = found.ok_or(SiteError::Missing(table))?;
        keys.iter().for_each(|key| times(found, key, rates));
    }
    if let Some(days) = doc.get_mut("day").and_then(Item::as_array_of_tables_mut) {
        days.iter().try_for_each(crate::scenarios::check)?;
        for faults in days.iter_mut().filter_map(|d| d.get_mut("faults")) {
            for fault in faults.as_array_mut().into_iter().flat_map(|a| a.iter_mut()) {
                multiply_fault(fault, by);
            }
        }
    }
    if growth.own_days {
        crate::scenarios::replace(&mut doc)?;
    }
    Ok(doc.to_string())
}

/// Troubles that count machines count so many times as many.
fn multiply_fault(fault: &mut Value, by: f64) {
    let Some(fault) = fault.as_inline_table_mut() else { return };
    let of_machines =
        fault.get("kind").and_then(Value::as_str).is_some_and(|k| k.starts_with("machine_"));
    if let Some(count) = fault.get("count").and_then(Value::as_integer).filter(|_| of_machines) {
        fault.insert("count", Value::from((count as f64 * by).round() as i64));
    }
}

#[cfg(test)]
#[path = "../tests/unit/site.rs"]
mod tests;
