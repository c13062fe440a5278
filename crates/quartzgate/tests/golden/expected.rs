//! Comparison with the golden files, and the settings that the golden tests modify.

use std::path::{Path, PathBuf};

use serde_json::{json, Value};

pub fn golden_file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/expected").join(format!("{name}.txt"))
}

/// Compares a text with the golden file, line by line. `GOLDEN_UPDATE=1` overwrites the file first;
/// this is meant only for intended changes of the visible behaviour, never for a refactoring.
pub fn assert_golden(name: &str, text: &str) {
    let file = golden_file(name);
    if std::env::var_os("GOLDEN_UPDATE").is_some() {
        std::fs::write(&file, text).expect("the golden file can be written");
    }
    let expected = std::fs::read_to_string(&file)
        .unwrap_or_else(|e| panic!("golden file {}: {e}", file.display()));
    for (number, (want, got)) in (1..).zip(expected.lines().zip(text.lines())) {
        assert_eq!(want, got, "expected/{name}.txt, line {number}");
    }
    let (want, got) = (expected.lines().count(), text.lines().count());
    assert_eq!(want, got, "expected/{name}.txt: number of lines");
    assert!(expected == text, "expected/{name}.txt: line ends");
}

/// Creates a file with this content in the test's directory and returns its path.
pub fn file(test: &str, name: &str, content: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join("golden").join(test);
    std::fs::create_dir_all(&directory).expect("the directory can be made");
    let path = directory.join(name);
    std::fs::write(&path, content).expect("the file can be written");
    path
}

/// Returns platform settings in which every known field is set.
pub fn every_setting() -> Value {
    json!({
        "node": "n0",
        "domain": "a",
        "client_listen": "127.0.0.1:18080",
        "mesh_addr": "127.0.0.1:18081",
        "siblings": [{"node": "n1", "domain": "b", "addr": "127.0.0.1:18082"}],
        "outside": {"cloud": "127.0.0.1:18083", "state": "127.0.0.1:18084"},
        "facts": {
            "count": 2,
            "zones": ["a", "b"],
            "teams": [
                {"name": "t", "cpus": 64.0, "cpus_max": 256.0, "gpus": 8.0, "gpus_max": 16.0}
            ],
            "objectives": [
                {"kind": "start", "class": "train", "within_s": 30.0, "times": 1.5, "share": 0.9}
            ],
            "workers": {
                "report_s": 2.0, "lease_s": 12.0, "gang_wait_s": 40.0, "gang_peer_s": 5.0,
                "cancel_s": 40.0
            },
            "state": {
                "rps": 150.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 16,
                "next": {"rps": 100.0, "write_rps": 10.0, "value_kb": 4.0, "txn_ops": 8}
            },
            "cloud": {"rps": 5.0, "list_lag_s": 5.0},
            "resources": {"cpu_share": 0.2, "mem_mb": 64.0, "max_sockets": 1024},
            "clock_off_ms": 250.0
        }
    })
}
