//! Tests of scaling a site file, and of its generated scenarios.

use super::*;

fn scaled_by(by: f64) -> SiteScaling {
    let (arrivals, sockets, restart_delay) = (None, None, None);
    SiteScaling { by, arrivals, sockets, rates: 1.0, restart_delay, generated_scenarios: false }
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

/// A scaled site has more machines and jobs and higher quotas, on the same controllers. Faults of
/// machines are scaled, faults of controllers are not.
#[test]
fn fleet_is_scaled_and_controllers_are_not() {
    let scaled: DocumentMut = scale_site(SITE, &scaled_by(2.0)).unwrap().parse().unwrap();
    let number = |path: &[&str]| {
        let mut item: &Item = scaled.as_item();
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

/// A file that is not a site file is refused with an error: the missing key or the parse error.
#[test]
fn invalid_site_file_is_refused() {
    let error = scale_site("name = 'x'", &scaled_by(2.0)).unwrap_err().to_string();
    assert!(error.contains("capacity"), "{error}");
    assert!(scale_site("name = ", &scaled_by(2.0)).is_err());
}

/// An unknown kind of fault is refused, because no run would inject it. The error lists the known
/// kinds.
#[test]
fn unknown_fault_kind_is_refused() {
    let changed = SITE.replace("node_crash", "node_explodes");
    assert_ne!(changed, SITE);
    let error = scale_site(&changed, &scaled_by(2.0)).unwrap_err().to_string();
    assert!(error.contains("node_explodes") && error.contains("late_writes"), "{error}");
}

/// Generated scenarios flood every job class, restrict the site's own classes to its teams in the
/// presence of best-effort submitters, and pair each fault with each disturbance. The requested
/// restart delay is set, and the sockets stay as they are at a factor of 1.
#[test]
fn generated_scenarios_cover_each_class_and_fault() {
    let scaling = SiteScaling {
        sockets: Some(1.0),
        arrivals: Some(1.0),
        restart_delay: Some(0.2),
        generated_scenarios: true,
        ..scaled_by(1.5)
    };
    let site =
        format!("duration_s = 300.0\nworkers = {{ cancel_s = 40.0, lease_s = 20.0 }}\n{SITE}");
    let generated: DocumentMut = scale_site(&site, &scaling).unwrap().parse().unwrap();
    assert_eq!(generated["nodes"]["restart_delay_s"].as_float(), Some(0.2));
    assert_eq!(generated["nodes"]["max_connections"].as_integer(), Some(100));
    assert_eq!(generated["jobs"][0]["initial"].as_integer(), Some(5));
    let scenarios = generated["day"].as_array_of_tables().unwrap();
    let find_scenario =
        |name: &str| scenarios.iter().find(|scenario| scenario["name"].as_str() == Some(name));
    let flood = find_scenario("flood-j-x8").unwrap().to_string();
    assert!(flood.contains("job_burst") && flood.contains("node_crash"), "{flood}");
    let best_effort = find_scenario("guests-80").unwrap();
    let jobs = best_effort["jobs"].as_array().unwrap().to_string();
    assert!(jobs.contains("rate = 80.0") && jobs.contains("teams = [\"t\"]"), "{jobs}");
    assert!(find_scenario("d").is_none());
    let faults = find_scenario("meet-gap").unwrap()["faults"].as_array().unwrap();
    let outage = faults.get(1).and_then(Value::as_inline_table).unwrap();
    assert_eq!(outage["kind"].as_str(), Some("state_outage"));
    assert_eq!(outage["for_s"].as_float(), Some(52.0));
    // Each fault is paired with crashes, an outage, a zone that is cut off and limits that the
    // load reaches.
    let answers_lost = find_scenario("meet-answers-lost-outage").unwrap().to_string();
    assert!(
        answers_lost.contains("at_once = true") && answers_lost.contains("state_outage"),
        "{answers_lost}"
    );
    let limited = find_scenario("meet-cancel-now-limit").unwrap().to_string();
    assert!(limited.contains("cpus_max") && limited.contains("hang_s = 20.0"), "{limited}");
    scenarios.iter().for_each(|scenario| fault_schema::check_scenario(scenario).unwrap());
}

/// A fault with a key that its kind does not have, or with an invalid value, is refused. The
/// error names the scenario, the key and the allowed keys or values.
#[test]
fn fault_with_unknown_key_or_value_is_refused() {
    let invalid = [
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
    for (from, to, key, allowed) in invalid {
        let changed = SITE.replacen(from, to, 1);
        assert_ne!(changed, SITE, "{from}");
        let error = scale_site(&changed, &scaled_by(2.0)).unwrap_err().to_string();
        let complete =
            error.contains("scenario `d`") && error.contains(key) && error.contains(allowed);
        assert!(complete, "{error}");
    }
}
