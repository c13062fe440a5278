//! Golden tests of the command line: its output and its exit codes.

use std::net::TcpListener;
use std::path::Path;
use std::process::{Command, Output};

use crate::expected::{assert_golden, every_setting, file};

pub fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quartzgate"));
    command.env_remove("LOG_LEVEL").args(args).output().expect("the program can be started")
}

/// Formats the exit code, standard output and standard error, with the paths of `files` reduced to
/// file names.
pub fn shown(output: &Output, files: &[&Path]) -> String {
    let text = |bytes: &[u8]| {
        let mut text = String::from_utf8(bytes.to_vec()).expect("text");
        for file in files {
            let name = file.file_name().expect("a name").to_string_lossy();
            text = text.replace(&*file.display().to_string(), &name);
        }
        text
    };
    let code = output.status.code().expect("it ended by itself");
    format!("exit {code}\n{}{}", text(&output.stdout), text(&output.stderr))
}

#[test]
fn help_matches_the_golden_file() {
    assert_golden("help", &shown(&run(&["--help"]), &[]));
    let short = run(&["-h"]);
    assert!(short.status.success());
}

/// Returns the output without the descriptions of the steps.
fn without_descriptions(shown: &str) -> String {
    let shorten = |line: &str| match line.match_indices(": ").nth(1) {
        Some((end, _)) => format!("{}\n", &line[..end]),
        None => format!("{line}\n"),
    };
    shown.lines().map(shorten).collect()
}

/// The names of formats and features, and the exit code for valid settings, must stay the same.
#[test]
fn check_output_matches_the_golden_file() {
    let json = file("check", "settings.json", &every_setting().to_string());
    let settings = json.to_str().expect("a path of text");
    let mut text = without_descriptions(&shown(&run(&["--check", "--config", settings]), &[&json]));
    let steps = ["new_format: false", "withhold: [format-3, format-4]", ""];
    for (index, operator) in steps.into_iter().enumerate() {
        let yaml = file("check", &format!("operator-{index}.yaml"), operator);
        let operator_file = yaml.to_str().expect("a path of text");
        let output = run(&["--config", settings, "--operator", operator_file, "--check"]);
        let shown = shown(&output, &[&json, &yaml]);
        text.push_str(&format!("\n{operator}\n{}", without_descriptions(&shown)));
    }
    assert_golden("check", &text);
}

#[test]
fn exit_code_tells_success_usage_error_and_failure() {
    let json = file("exit", "settings.json", &every_setting().to_string());
    let settings = json.to_str().expect("a path of text");
    assert_eq!(run(&["--config", settings, "--check"]).status.code(), Some(0));
    // An invalid command line.
    assert_eq!(run(&[]).status.code(), Some(2));
    assert_eq!(run(&["--config", settings, "--unheard-of"]).status.code(), Some(2));
    let refused = |output: Output, expected: &str| {
        let message = shown(&output, &[]);
        assert!(message.starts_with("exit 2\n") && message.contains(expected), "{message}");
        assert_eq!(message.lines().count(), 2, "expected a one-line error, got: {message}");
    };
    refused(run(&["--config", "missing.json"]), "missing.json");
    refused(run(&["--config", settings, "--operator", "missing.yaml"]), "missing.yaml");
    for level in ["error", "info", "debug", "DEBUG", ""] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_quartzgate"));
        let output = command.env("LOG_LEVEL", level).args(["--check", "--config", settings]);
        assert!(output.output().expect("it starts").status.success(), "{level}");
    }
    let mut command = Command::new(env!("CARGO_BIN_EXE_quartzgate"));
    command.env("LOG_LEVEL", "loud").args(["--check", "--config", settings]);
    refused(command.output().expect("it starts"), "LOG_LEVEL");
    // An address that is already in use.
    let taken = TcpListener::bind("127.0.0.1:0").expect("an address is free");
    let mut settings = every_setting();
    let addr = taken.local_addr().expect("it has one").to_string();
    settings["client_listen"] = addr.clone().into();
    let json = file("exit", "taken.json", &settings.to_string());
    let output = run(&["--config", json.to_str().expect("a path of text")]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains(&addr));
}
