#!/usr/bin/env bash
# Runs this case; see claim.txt, and ../case.sh for the exit codes.
exec "$(dirname "$0")/../case.sh" lost-zone "$(dirname "$0")"
