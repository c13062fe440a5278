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
        days.iter().try_for_each(crate::days::check)?;
        for faults in days.iter_mut().filter_map(|d| d.get_mut("faults")) {
            for fault in faults.as_array_mut().into_iter().flat_map(|a| a.iter_mut()) {
                multiply_fault(fault, by);
            }
        }
    }
    if growth.own_days {
        crate::days::replace(&mut doc)?;
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

    fn by(by: f64) -> Growth {
        let (arrivals, sockets, restart_delay) = (None, None, None);
        Growth { by, arrivals, sockets, rates: 1.0, restart_delay, own_days: false }
    }

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
        let more: DocumentMut = multiply(SITE, &by(2.0)).unwrap().parse().unwrap();
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
        let error = multiply("name = 'x'", &by(2.0)).unwrap_err().to_string();
        assert!(error.contains("capacity"), "{error}");
        assert!(multiply("name = ", &by(2.0)).is_err());
    }

    /// Guards against a trouble that nobody knows being passed on as if it would come.
    #[test]
    fn an_unknown_kind_of_trouble_is_refused_by_name() {
        let odd = SITE.replace("node_crash", "node_explodes");
        assert_ne!(odd, SITE);
        let error = multiply(&odd, &by(2.0)).unwrap_err().to_string();
        assert!(error.contains("node_explodes") && error.contains("late_writes"), "{error}");
    }

    /// Guards what a day of our own is: every class of the site in a flood, guests that keep
    /// to their own class, restarts that are as quick as asked for, and sockets left alone.
    #[test]
    fn days_of_our_own_flood_each_class_and_team() {
        let growth = Growth {
            sockets: Some(1.0),
            arrivals: Some(1.0),
            restart_delay: Some(0.2),
            own_days: true,
            ..by(1.5)
        };
        let site = format!("duration_s = 300.0\nworkers = {{ cancel_s = 40.0 }}\n{SITE}");
        let own: DocumentMut = multiply(&site, &growth).unwrap().parse().unwrap();
        assert_eq!(own["nodes"]["restart_delay_s"].as_float(), Some(0.2));
        assert_eq!(own["nodes"]["max_connections"].as_integer(), Some(100));
        assert_eq!(own["jobs"][0]["initial"].as_integer(), Some(5));
        let days = own["day"].as_array_of_tables().unwrap();
        let named = |name: &str| days.iter().find(|d| d["name"].as_str() == Some(name));
        let flood = named("flood-j-x8").unwrap().to_string();
        assert!(flood.contains("job_burst") && flood.contains("node_crash"), "{flood}");
        let guests = named("guests-80").unwrap();
        let jobs = guests["jobs"].as_array().unwrap().to_string();
        assert!(jobs.contains("rate = 80.0") && jobs.contains("teams = [\"t\"]"), "{jobs}");
        assert!(named("d").is_none());
        let gap = named("meet-gap").unwrap()["faults"].as_array().unwrap();
        let outage = gap.get(1).and_then(Value::as_inline_table).unwrap();
        assert_eq!(outage["kind"].as_str(), Some("state_outage"));
        assert_eq!(outage["for_s"].as_float(), Some(52.0));
    }
}
