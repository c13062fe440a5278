#!/usr/bin/env bash
# Runs one case: case.sh NAME FOLDER, where FOLDER is the case's own and gets record.txt. The
# controllers are started by the command of the deploy file. Exits with 1 if the rule was broken,
# 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
name=$1
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
run=$(sed -nE 's/^run *= *"(.*)"$/\1/p' deploy/service.toml)
program=target/review/release/review-case
if [ -z "$run" ] || [ ! -x "${run%% *}" ] || [ ! -x "$program" ]; then
    echo "the build of the deploy file and review/build.sh come first"
    exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
TROUBLE=${TROUBLE:-1} timeout --kill-after=2 118 "$program" "$name" "$run" "$temporary" "$folder/record.txt"
status=$?
# The program ends its controllers itself, unless it had to be ended.
if [ $status -ge 124 ] && [ -f "$temporary/pids" ]; then
    xargs -r kill -9 <"$temporary/pids" 2>/dev/null
fi
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac
