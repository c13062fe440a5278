//! Runs the program as a user would: a short soak with fixed seeds, which guards against violations
//! of the invariants under random faults, and calls with bad arguments, which must be refused.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Seeds of the short soak; they cover three and five controllers, small and large fleets.
const SEEDS: &str = "1..6";

fn soak(arguments: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_quartzgate-soak");
    Command::new(program).args(arguments).output().expect("starting the program failed")
}

/// Returns the path of the controller program of the same build, after building it. The build has
/// work to do only if this package is tested alone.
fn controller() -> PathBuf {
    let build = ["build", "--profile", "test", "--package", "quartzgate", "--locked"];
    let status = Command::new(env!("CARGO")).args(build).status();
    assert!(status.is_ok_and(|status| status.success()), "building the controller failed");
    Path::new(env!("CARGO_BIN_EXE_quartzgate-soak")).with_file_name("quartzgate")
}

#[test]
fn real_controllers_keep_the_invariants_under_random_faults() {
    let logs = Path::new(env!("CARGO_TARGET_TMPDIR")).join("soak");
    let (controller, logs) = (controller(), logs.to_string_lossy().into_owned());
    let output = soak(&[
        "--seeds",
        SEEDS,
        "--jobs",
        "6",
        "--fault-s",
        "25",
        "--calm-s",
        "25",
        "--controller",
        &controller.to_string_lossy(),
        "--logs",
        &logs,
    ]);
    let stdout = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{}\n{stdout}", String::from_utf8_lossy(&output.stderr));
    assert!(stdout.contains("6 runs, 0 with violations"), "{stdout}");
}

#[test]
fn bad_arguments_are_refused_with_a_message_that_names_them() {
    for (arguments, message) in [
        (&["--seeds", "9..3"][..], "the last seed 3 is below the first, 9"),
        (&["--seeds", "7"], "`7` is not of the form FIRST..LAST"),
        (&["--seeds", "1..2", "--jobs", "0"], "--jobs"),
        (&["--seeds", "1..2", "--fault-s", "1"], "--fault-s"),
        (&["--seeds", "1..2", "--calm-s", "x"], "--calm-s"),
        (&["--seeds", "1..2", "--controller", "/nowhere"], "--controller: no program /nowhere"),
        (&[], "--seeds"),
    ] {
        let output = soak(arguments);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {stderr}");
        assert!(stderr.contains(message), "{arguments:?}: {stderr}");
    }
}
