#!/usr/bin/env bash
# Runs the case once: see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run; TROUBLE=0 leaves the disruption out. Writes record.txt beside this script.
cd "$(dirname "$0")" || exit 2
program=../../target/review-2/release/cases-2
[ -x "$program" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
set -m
"$program" limit ../.. . &
pid=$!
# The program ends what it has started; if this script is ended early, its process group is.
trap 'kill -KILL -- "-$pid" 2>/dev/null; exit 2' TERM INT HUP
wait "$pid"
