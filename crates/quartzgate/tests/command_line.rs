//! Tests of the command line and the settings files, run through the program.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Returns the path of the platform's example settings that the README shows.
fn example_settings() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/example.json")
}

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_quartzgate")).args(args).output().unwrap()
}

/// Returns whether `--check` accepts these settings, and its standard error.
fn check(name: &str, platform: &str, operator: Option<&str>) -> (bool, String) {
    let dir = std::env::temp_dir().join(format!("quartzgate-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let (json, yaml) = (dir.join("settings.json"), dir.join("operator.yaml"));
    std::fs::write(&json, platform).unwrap();
    let mut args = vec!["--check", "--config", json.to_str().unwrap()];
    if let Some(text) = operator {
        std::fs::write(&yaml, text).unwrap();
        args.extend(["--operator", yaml.to_str().unwrap()]);
    }
    let out = run(&args);
    std::fs::remove_dir_all(&dir).unwrap();
    let text = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(text.lines().count() <= 1, "expected a one-line error, got: {text}");
    (out.status.success(), text)
}

/// The example files that the README refers to must be valid.
#[test]
fn example_settings_are_valid() {
    let platform = std::fs::read_to_string(example_settings()).unwrap();
    let yaml = example_settings().with_file_name("operator.yaml");
    let operator = std::fs::read_to_string(yaml).unwrap();
    let (ok, text) = check("examples", &platform, Some(&operator));
    assert!(ok, "{text}");
    assert!(String::from_utf8_lossy(&run(&["--version"]).stdout).contains("quartzgate"));
    assert!(run(&["--help"]).status.success());
}

/// A missing or invalid field must end the program with one line that names the field; an unknown
/// field in the platform's file must be ignored.
#[test]
fn invalid_settings_are_refused_by_field() {
    let good = std::fs::read_to_string(example_settings()).unwrap();
    let edited = |from: &str, to: &str| {
        assert!(good.contains(from));
        good.replacen(from, to, 1)
    };
    let cases = [
        ("missing", edited("\"lease_s\": 12.0,", ""), "lease_s"),
        ("zero", edited("\"report_s\": 2.0", "\"report_s\": 0.0"), "report_s"),
        ("order", edited("\"cancel_s\": 40.0", "\"cancel_s\": 5.0"), "cancel_s"),
        ("address", edited("127.0.0.1:8080", "somewhere:8080"), "client_listen"),
        ("json", "{".to_string(), "EOF"),
    ];
    for (name, text, word) in cases {
        let (ok, message) = check(name, &text, None);
        assert!(!ok && message.contains(word), "{name}: {message}");
    }
    let extra = edited("\"node\":", "\"unknown\": 1, \"node\":");
    assert!(check("extra", &extra, None).0);
    for (name, yaml, word) in [
        ("typo", "probs: 3", "probs"),
        ("range", "probes: 0", "probes"),
        ("kind", "slack_cap: many", "slack_cap"),
        ("step", "withhold: [format-99]", "format-99"),
    ] {
        let (ok, message) = check(name, &good, Some(yaml));
        assert!(!ok && message.contains(word), "{name}: {message}");
    }
}

/// The error for an invalid value must name the file, the field, the value and what is allowed.
#[test]
fn refusal_names_file_field_value_and_what_is_allowed() {
    let good = std::fs::read_to_string(example_settings()).unwrap();
    let bad = good.replacen("\"max_sockets\": 1024", "\"max_sockets\": 8", 1);
    let (ok, message) = check("socket-limit", &bad, None);
    assert!(!ok);
    let expected =
        "settings.json: setting `facts.resources.max_sockets` is `8`, but must be at least 32";
    assert!(message.trim_end().ends_with(expected), "{message}");
    let bad = good.replacen("\"cpus_max\": 256.0", "\"cpus_max\": -1.0", 1);
    let (ok, message) = check("team", &bad, None);
    assert!(
        !ok && message.contains("`facts.teams` is `[{") && message.contains("-1.0"),
        "{message}"
    );
    let siblings = r#""siblings": [{"node": "b", "addr": "b:80"}, {"node": "c", "addr": "c:80"}]"#;
    let bad = good.replacen("\"siblings\": []", siblings, 1);
    let (ok, message) = check("sibling", &bad, None);
    let expected = r#"`siblings.addr` is `["b:80","c:80"]`, but must be an IP address and a port"#;
    assert!(!ok && message.contains(expected), "{message}");
    let (ok, message) = check("probe-count", &good, Some("probes: 99"));
    assert!(!ok);
    let expected = "operator.yaml: setting `probes` is `99`, but must be from 1 to 16";
    assert!(message.trim_end().ends_with(expected), "{message}");
}

/// `--check` serves as the dry run of a rollout: it must list the formats and features that this
/// build knows, and which of them are withheld.
#[test]
fn check_lists_formats_and_features() {
    let dir = std::env::temp_dir().join(format!("quartzgate-steps-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let yaml = dir.join("operator.yaml");
    std::fs::write(&yaml, "withhold: [format-2]").unwrap();
    let (json, yaml) = (example_settings(), yaml.display().to_string());
    let json = json.to_str().unwrap();
    let out = run(&["--check", "--config", json, "--operator", &yaml]);
    std::fs::remove_dir_all(&dir).unwrap();
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(text.contains("format-2: format of the records (withheld here)"), "{text}");
    assert!(text.contains("chains: feature, with format 2"), "{text}");
}
