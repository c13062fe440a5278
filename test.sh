#!/usr/bin/env bash
# Formatting, lints and tests: all that must be green before a change lands.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all -- --check
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo test --workspace --locked
