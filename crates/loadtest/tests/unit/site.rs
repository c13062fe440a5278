//! Tests of what `site.rs` keeps to itself.

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
[[machine_types]]
name = "k8"
cpus = 8.0
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
    let site =
        format!("duration_s = 300.0\nworkers = {{ cancel_s = 40.0, lease_s = 20.0 }}\n{SITE}");
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
    // Each new trouble meets an end, an outage, a zone that is cut and a limit that binds.
    let met = named("meet-answers-lost-outage").unwrap().to_string();
    assert!(met.contains("at_once = true") && met.contains("state_outage"), "{met}");
    let limited = named("meet-cancel-now-limit").unwrap().to_string();
    assert!(limited.contains("cpus_max") && limited.contains("hang_s = 20.0"), "{limited}");
    days.iter().for_each(|day| crate::scenarios::check(day).unwrap());
}

/// Guards against a day that asks for something else than its writer thought: a key that its kind
/// has not, or a value out of range, is refused by day, kind, key and what is allowed.
#[test]
fn a_trouble_that_says_what_it_cant_is_refused() {
    let wrong = [
        (
            "count = 2 },\n  { at_s = 9.0, kind = \"node",
            "counts = 2 },\n  { at_s = 9.0, kind = \"node",
            "`counts`",
            "for_s",
        ),
        ("at_s = 9.0, kind = \"node", "at_s = -1.0, kind = \"node", "`at_s`", "0 or more"),
        ("\"machine_die\", count = 2", "\"machine_die\", count = 2.5", "`count`", "whole"),
        ("\"machine_die\", count = 2", "\"machine_mute\", share = 1.5", "`share`", "0 to 1"),
        ("\"machine_die\", count = 2", "\"late_writes\", at_once = 1", "`at_once`", "true"),
    ];
    for (from, to, key, allowed) in wrong {
        let odd = SITE.replacen(from, to, 1);
        assert_ne!(odd, SITE, "{from}");
        let error = multiply(&odd, &by(2.0)).unwrap_err().to_string();
        let told = error.contains("day `d`") && error.contains(key) && error.contains(allowed);
        assert!(told, "{error}");
    }
}
