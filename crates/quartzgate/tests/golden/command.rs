//! The command line: what it prints and how it ends.

use std::net::TcpListener;
use std::path::Path;
use std::process::{Command, Output};

use crate::expected::{assert_golden, every_setting, file};

pub fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quartzgate"));
    command.env_remove("LOG_LEVEL").args(args).output().expect("the program can be started")
}

/// Status, output and errors, without the places of files.
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
fn help() {
    assert_golden("help", &shown(&run(&["--help"]), &[]));
    let short = run(&["-h"]);
    assert!(short.status.success());
}

/// What is said of each step, without the words that explain it.
fn names(shown: &str) -> String {
    let line = |l: &str| match l.match_indices(": ").nth(1) {
        Some((end, _)) => format!("{}\n", &l[..end]),
        None => format!("{l}\n"),
    };
    shown.lines().map(line).collect()
}

/// Names of steps, formats and features, and the exit code of settings that are in order.
#[test]
fn check() {
    let json = file("check", "settings.json", &every_setting().to_string());
    let settings = json.to_str().expect("a path of text");
    let mut text = names(&shown(&run(&["--check", "--config", settings]), &[&json]));
    let steps = ["new_format: false", "withhold: [format-3, format-4]", ""];
    for (n, operator) in steps.into_iter().enumerate() {
        let yaml = file("check", &format!("operator-{n}.yaml"), operator);
        let operator_file = yaml.to_str().expect("a path of text");
        let output = run(&["--config", settings, "--operator", operator_file, "--check"]);
        let shown = shown(&output, &[&json, &yaml]);
        text.push_str(&format!("\n{operator}\n{}", names(&shown)));
    }
    assert_golden("check", &text);
}

#[test]
fn exit_codes() {
    let json = file("exit", "settings.json", &every_setting().to_string());
    let settings = json.to_str().expect("a path of text");
    assert_eq!(run(&["--config", settings, "--check"]).status.code(), Some(0));
    // A command line that can't be read.
    assert_eq!(run(&[]).status.code(), Some(2));
    assert_eq!(run(&["--config", settings, "--unheard-of"]).status.code(), Some(2));
    let refused = |output: Output, naming: &str| {
        let said = shown(&output, &[]);
        assert!(said.starts_with("exit 2\n") && said.contains(naming), "{said}");
        assert_eq!(said.lines().count(), 2, "one clear line, not: {said}");
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
    // An address that is taken.
    let taken = TcpListener::bind("127.0.0.1:0").expect("an address is free");
    let mut settings = every_setting();
    let addr = taken.local_addr().expect("it has one").to_string();
    settings["client_listen"] = addr.clone().into();
    let json = file("exit", "taken.json", &settings.to_string());
    let output = run(&["--config", json.to_str().expect("a path of text")]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains(&addr));
}
