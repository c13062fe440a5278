#!/usr/bin/env bash
# Checks formatting, lints, documentation and tests. All must pass before a change is merged, except
# the tests that KNOWN-RED.txt lists (see known-red.sh).
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all -- --check
cargo clippy --workspace --all-targets --locked -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked --quiet
output=$(mktemp)
trap 'rm -f "$output"' EXIT
status=0
cargo test --workspace --locked --no-fail-fast 2>&1 | tee "$output" || status=$?
./known-red.sh KNOWN-RED.txt "$output" "$status"
