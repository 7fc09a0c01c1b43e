#!/bin/bash
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Build first: the build command of deploy/balancer.toml, then review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
export CASE_FOLDER="$PWD/review/3"
CASE_TEMP="$(mktemp -d)" || exit 2
export CASE_TEMP
trap 'rm -rf "$CASE_TEMP"' EXIT
# The program ends its own processes, also when it takes too long.
review/standins/target/release/pipelined_values
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
