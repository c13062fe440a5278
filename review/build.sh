#!/usr/bin/env bash
# Builds the stand-ins that the cases start. It needs no network: all crates are among those of the
# project's own lock file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand-ins/Cargo.toml --target-dir target/review
