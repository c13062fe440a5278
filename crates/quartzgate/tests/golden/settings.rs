//! Golden tests of every field of the platform's settings and every key of the operators'
//! settings: which of them are required, which values are allowed, and which errors result.

use std::path::Path;

use serde_json::{json, Value};

use crate::command::{run, shown};
use crate::expected::{assert_golden, every_setting, file};

fn check(test: &str, settings: &Value) -> String {
    let json = file(test, "settings.json", &settings.to_string());
    let output = run(&["--check", "--config", json.to_str().expect("a path of text")]);
    verdict(&shown(&output, &[&json]))
}

/// Reduces the output to whether the settings are accepted and which field an error names, so that
/// the wording of errors may be improved without a change of the golden files.
pub fn verdict(shown: &str) -> String {
    if shown.starts_with("exit 0") {
        return "accepted".into();
    }
    assert!(shown.lines().count() == 2, "expected a one-line error, got: {shown}");
    let (exit, message) = shown.split_once('\n').expect("two lines");
    let message = message.split(" at line ").next().unwrap_or(message).trim_end();
    if message.contains("unknown field") {
        // Such an error lists all known keys.
        return format!("{exit}: {message}");
    }
    if message.contains("invalid type") || message.contains("invalid value") {
        return format!("{exit}, wrong kind");
    }
    let named = message.split('`').nth(1).unwrap_or_else(|| panic!("no field is named: {message}"));
    format!("{exit}, names {named}")
}

/// Collects the JSON pointers of all fields.
fn pointers(value: &Value, at: &str, out: &mut Vec<String>) {
    let inner: Vec<(String, &Value)> = match value {
        Value::Object(map) => map.iter().map(|(k, v)| (k.clone(), v)).collect(),
        Value::Array(list) => list.iter().enumerate().map(|(n, v)| (n.to_string(), v)).collect(),
        _ => Vec::new(),
    };
    for (name, value) in inner {
        let pointer = format!("{at}/{name}");
        if name.parse::<usize>().is_err() {
            out.push(pointer.clone());
        }
        pointers(value, &pointer, out);
    }
}

#[test]
fn platform_fields_match_the_golden_file() {
    let all = every_setting();
    assert_eq!(check("fields", &all), "accepted");
    let mut every = Vec::new();
    pointers(&all, "", &mut every);
    let mut text = String::new();
    for pointer in every {
        let (parent, name) = pointer.rsplit_once('/').expect("a pointer");
        let mut without = all.clone();
        let fields = without.pointer_mut(parent).and_then(Value::as_object_mut);
        fields.expect("a map").remove(name);
        text.push_str(&format!("without {pointer}: {}\n", check("fields", &without)));
        let held = all.pointer(&pointer).expect("it is there");
        if !held.is_object() && !held.is_array() {
            let mut wrong = all.clone();
            *wrong.pointer_mut(&pointer).expect("it is there") = match held {
                Value::String(_) => json!(7),
                _ => json!("seven"),
            };
            text.push_str(&format!("wrong kind of {pointer}: {}\n", check("fields", &wrong)));
        }
    }
    let mut unknown = all.clone();
    unknown["unheard_of"] = json!({"ignored": true});
    unknown["facts"]["workers"]["unheard_of"] = json!(1);
    text.push_str(&format!("with unknown fields: {}\n", check("fields", &unknown)));
    assert_golden("platform-fields", &text);
}

#[test]
fn platform_values_match_the_golden_file() {
    let long = "x".repeat(101);
    let cases = [
        ("/node", json!("")),
        ("/node", json!(long)),
        ("/node", json!("a b")),
        ("/node", json!("a/b")),
        ("/client_listen", json!("somewhere:80")),
        ("/mesh_addr", json!("somewhere:80")),
        ("/outside/cloud", json!("somewhere:80")),
        ("/outside/state", json!("")),
        ("/siblings/0/addr", json!("somewhere:80")),
        ("/facts/workers/report_s", json!(0.0)),
        ("/facts/workers/lease_s", json!(-1.0)),
        ("/facts/workers/cancel_s", json!(0.0)),
        ("/facts/workers/cancel_s", json!(12.0)),
        ("/facts/workers/gang_wait_s", json!(-1.0)),
        ("/facts/workers/gang_peer_s", json!(-1.0)),
        ("/facts/state/rps", json!(0.0)),
        ("/facts/state/write_rps", json!(0.0)),
        ("/facts/state/value_kb", json!(0.0)),
        ("/facts/state/value_kb", json!(0.5)),
        ("/facts/state/txn_ops", json!(3)),
        ("/facts/state/next", json!(null)),
        ("/facts/state/next", json!({})),
        ("/facts/state/next/rps", json!(0.0)),
        ("/facts/state/next/write_rps", json!(0.0)),
        ("/facts/state/next/value_kb", json!(0.0)),
        ("/facts/state/next/value_kb", json!(0.5)),
        ("/facts/state/next/txn_ops", json!(3)),
        ("/facts/cloud/rps", json!(0.0)),
        ("/facts/cloud/list_lag_s", json!(-1.0)),
        ("/facts/resources/cpu_share", json!(0.0)),
        ("/facts/resources/mem_mb", json!(0.0)),
        ("/facts/resources/max_sockets", json!(31)),
        ("/facts/zones", json!([])),
        ("/facts/teams", json!([])),
        ("/facts/teams/0/cpus", json!(-1.0)),
        ("/facts/teams/0/cpus_max", json!(-1.0)),
        ("/facts/teams/0/gpus", json!(-1.0)),
        ("/facts/teams/0/gpus_max", json!(-1.0)),
        ("/facts/count", json!(-1)),
        ("/facts/clock_off_ms", json!(-1.0)),
    ];
    let mut text = String::new();
    for (pointer, value) in cases {
        let mut settings = every_setting();
        *settings.pointer_mut(pointer).expect("it is there") = value.clone();
        text.push_str(&format!("{pointer} = {value}: {}\n", check("values", &settings)));
    }
    assert_golden("platform-values", &text);
}

/// The operators' example file must hold every key with its default, and each key must be checked.
#[test]
fn operator_keys_match_the_golden_file() {
    let json = file("operators", "settings.json", &every_setting().to_string());
    let check = |yaml: &str| {
        let yaml = file("operators", "operator.yaml", yaml);
        let args = ["--check", "--config", json.to_str().expect("a path of text"), "--operator"];
        let args = [args[0], args[1], args[2], args[3], yaml.to_str().expect("a path of text")];
        verdict(&shown(&run(&args), &[&json, &yaml]))
    };
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/operator.yaml");
    let example = std::fs::read_to_string(example).expect("the example is there");
    let lines = example.lines().filter(|l| !l.starts_with('#') && !l.trim().is_empty());
    let mut text = format!("the example: {}\n", check(&example));
    for line in lines {
        text.push_str(&format!("{line}: {}\n", check(line)));
        let key = line.split(':').next().expect("a key");
        text.push_str(&format!("{key}: [[]]: {}\n", check(&format!("{key}: [[]]"))));
    }
    let cases = [
        "",
        "probs: 3",
        "probes: 0",
        "probes: 17",
        "long_task_s: 0.5",
        "ratio_threshold: -1",
        "wait_threshold_s: -1",
        "slack_cap: 1000001",
        "slack_cap: -1",
        "idle_ratio: -1",
        "warm_share: 11",
        "share_pages_below: 1.1",
        "share_pages_below: -0.1",
        "withhold: [format-99]",
        "withhold: [format-2, format-3, format-4]",
        "withhold: [pieces]",
        "new_format: false",
    ];
    for case in cases {
        text.push_str(&format!("`{case}`: {}\n", check(case)));
    }
    assert_golden("operator-keys", &text);
}
