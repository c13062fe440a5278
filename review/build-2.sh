#!/usr/bin/env bash
# Builds the stand-ins and checks that the cases 4 to 8 start. Needs no network after the build of
# the deploy file, which fetches every library that is used here.
set -euo pipefail
cd "$(dirname "$0")/cases-2"
CARGO_TARGET_DIR=../../target/review-2 cargo build --release --offline --locked
