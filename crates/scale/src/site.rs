//! A site file of a larger fleet: machines, capacity, arrivals, teams and sockets are
//! multiplied; the controllers' processor and memory, the state service and the cloud stay.

use toml_edit::{DocumentMut, Item, Table, Value};

#[derive(Debug, thiserror::Error)]
pub enum SiteError {
    #[error("not TOML: {0}")]
    Toml(#[from] toml_edit::TomlError),
    #[error("the site file has no `{0}`")]
    Missing(&'static str),
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

/// The same site with a fleet so many times as large, and its rates at the state service
/// and the cloud so many times as high.
pub fn multiply(text: &str, by: f64, rates: f64) -> Result<String, SiteError> {
    let mut doc: DocumentMut = text.parse()?;
    for (list, keys) in LISTS {
        let tables = doc.get_mut(list).and_then(Item::as_array_of_tables_mut);
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
    times(nodes.ok_or(SiteError::Missing("nodes"))?, "max_connections", by);
    for (table, keys) in [("state", &["rps", "write_rps"][..]), ("cloud", &["rps"][..])] {
        let found = doc.get_mut(table).and_then(Item::as_table_mut);
        let found = found.ok_or(SiteError::Missing(table))?;
        keys.iter().for_each(|key| times(found, key, rates));
    }
    if let Some(days) = doc.get_mut("day").and_then(Item::as_array_of_tables_mut) {
        for faults in days.iter_mut().filter_map(|d| d.get_mut("faults")) {
            for fault in faults.as_array_mut().into_iter().flat_map(|a| a.iter_mut()) {
                multiply_fault(fault, by);
            }
        }
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
mod tests {
    use super::*;

    const SITE: &str = r#"
name = "s"
[nodes]
cpu_share = 0.3
max_connections = 100
[state]
rps = 50.0
write_rps = 10.0
[cloud]
rps = 4.0
[[capacity]]
type = "k8"
count = 7
spot = 4
[[machines]]
type = "k8"
count = 3
[[teams]]
name = "t"
cpus = 20.0
[[jobs]]
name = "j"
arrivals = { rate = 0.25 }
initial = 5
tasks = { median = 40.0, max = 200.0 }
[[day]]
name = "d"
faults = [
  { at_s = 9.0, kind = "machine_die", count = 2 },
  { at_s = 9.0, kind = "node_crash", count = 2 },
]
"#;

    /// Guards what a larger fleet is: more machines, work and room for it, on the same
    /// controllers; troubles of machines grow with it, those of controllers don't.
    #[test]
    fn a_fleet_is_multiplied_and_its_controllers_are_not() {
        let more: DocumentMut = multiply(SITE, 2.0, 1.0).unwrap().parse().unwrap();
        let number = |path: &[&str]| {
            let mut item: &Item = more.as_item();
            for key in path {
                item = match key.parse::<usize>() {
                    Ok(n) => &item[n],
                    Err(_) => &item[*key],
                };
            }
            item.as_float().or(item.as_integer().map(|n| n as f64)).unwrap()
        };
        assert_eq!(number(&["capacity", "0", "count"]), 14.0);
        assert_eq!(number(&["capacity", "0", "spot"]), 8.0);
        assert_eq!(number(&["machines", "0", "count"]), 6.0);
        assert_eq!(number(&["teams", "0", "cpus"]), 40.0);
        assert_eq!(number(&["jobs", "0", "arrivals", "rate"]), 0.5);
        assert_eq!(number(&["jobs", "0", "initial"]), 10.0);
        assert_eq!(number(&["jobs", "0", "tasks", "median"]), 40.0);
        assert_eq!(number(&["nodes", "max_connections"]), 200.0);
        assert_eq!(number(&["nodes", "cpu_share"]), 0.3);
        assert_eq!(number(&["state", "write_rps"]), 10.0);
        assert_eq!(number(&["day", "0", "faults", "0", "count"]), 4.0);
        assert_eq!(number(&["day", "0", "faults", "1", "count"]), 2.0);
    }

    /// Guards against a file that is no site being passed on as one.
    #[test]
    fn what_is_no_site_is_refused_by_name() {
        let error = multiply("name = 'x'", 2.0, 1.0).unwrap_err().to_string();
        assert!(error.contains("capacity"), "{error}");
        assert!(multiply("name = ", 2.0, 1.0).is_err());
    }
}
