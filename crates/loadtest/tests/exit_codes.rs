//! Tests of the exit codes and messages of the process `quartzgate-loadtest` for inputs that are
//! missing, truncated or of another format.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const EXIT_FAILURE: i32 = 1;
const EXIT_INVALID_REPORT: i32 = 2;

const REPORT: &str = r#"{"scenario": "calm", "rules_broken": {"total": 0}, "node_stats": [],
    "classes": {"batch": {"jobs": 10, "started": 9}}}"#;

/// Creates an empty directory for one test, and removes the files of an earlier run.
fn work_directory(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn run(arguments: &[&str], directory: &Path) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quartzgate-loadtest"));
    command.args(arguments).current_dir(directory).output().unwrap()
}

/// Runs the program and checks that it fails with `exit_code` and a message that contains all of
/// `parts`.
fn assert_fails(arguments: &[&str], directory: &Path, exit_code: i32, parts: &[&str]) {
    let output = run(arguments, directory);
    let message = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(exit_code), "{message}");
    assert!(message.starts_with("quartzgate-loadtest: "), "{message}");
    parts.iter().for_each(|part| assert!(message.contains(part), "no `{part}` in {message}"));
}

#[test]
fn invalid_reports_and_logs_exit_with_2() {
    let directory = work_directory("service-report");
    std::fs::write(directory.join("whole.json"), REPORT).unwrap();
    std::fs::write(directory.join("truncated.json"), &REPORT[..REPORT.len() / 2]).unwrap();
    std::fs::write(directory.join("empty.log"), "").unwrap();
    let assert_report_fails = |arguments: &[&str], parts: &[&str]| {
        let arguments = [&["service-report"], arguments].concat();
        assert_fails(&arguments, &directory, EXIT_INVALID_REPORT, parts);
    };
    assert_report_fails(&["whole.json", "truncated.json"], &["truncated.json", "not a report"]);
    assert_report_fails(&["missing.json"], &["missing.json"]);
    assert_report_fails(&["whole.json", "--logs", "empty.log"], &["empty.log", "LOG_LEVEL=debug"]);
    assert_report_fails(&["whole.json", "--logs", "a.log,b.log"], &["2 logs for 1 reports"]);
    assert_report_fails(&["whole.json", "--faults-over", "100"], &["--faults-over", "--logs"]);
    let jobs = "1 n0 DEBUG job entered job=wk-1 class=c tasks=2\n";
    std::fs::write(directory.join("jobs.log"), jobs).unwrap();
    let no_queries = ["whole.json", "--logs", "jobs.log", "--faults-over", "100"];
    assert_report_fails(&no_queries, &["jobs.log", "no status query", "--log debug"]);
}

#[test]
fn missed_objectives_exit_with_1() {
    let directory = work_directory("objectives");
    std::fs::write(directory.join("whole.json"), REPORT).unwrap();
    let served = ["service-report", "whole.json", "--min-served"];
    let missed = [&served[..], &["0.95"]].concat();
    assert_fails(&missed, &directory, EXIT_FAILURE, &["calm", "batch served 0.90"]);
    let reached = run(&[&served[..], &["0.9"]].concat(), &directory);
    assert_eq!(reached.status.code(), Some(0));
    assert!(String::from_utf8(reached.stdout).unwrap().contains("0.900"));
}

#[test]
fn invalid_site_files_exit_with_1_and_write_nothing() {
    let directory = work_directory("site");
    let files = [
        ("truncated.toml", "[[capacity]]\ncount = ", "not TOML"),
        ("incomplete.toml", "name = 's'\n", "no `capacity`; allowed is a list of tables"),
        ("wrong.toml", "capacity = 3\n", "`capacity` is 3; allowed is a list of tables"),
    ];
    for (file, text, message) in files {
        std::fs::write(directory.join(file), text).unwrap();
        let arguments = ["scale-site", file, "--out", "scaled.toml"];
        assert_fails(&arguments, &directory, EXIT_FAILURE, &[file, message]);
    }
    let missing = ["scale-site", "missing.toml", "--out", "scaled.toml"];
    assert_fails(&missing, &directory, EXIT_FAILURE, &["missing.toml"]);
    assert!(!directory.join("scaled.toml").exists());
}

#[test]
fn invalid_tables_exit_with_1_and_draw_nothing() {
    let directory = work_directory("plot");
    let table = "machines,objective,version,attained\n1230,up,1,0.9\n2460,up";
    std::fs::write(directory.join("truncated.csv"), table).unwrap();
    let arguments = ["plot", "truncated.csv", "--out", "picture.svg"];
    assert_fails(&arguments, &directory, EXIT_FAILURE, &["truncated.csv", "line 3"]);
    let missing = ["plot", "missing.csv", "--out", "picture.svg"];
    assert_fails(&missing, &directory, EXIT_FAILURE, &["missing.csv"]);
    assert!(!directory.join("picture.svg").exists());
}
