#!/usr/bin/env bash
# Sets up, builds and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
./misc/build.sh release
# Tests that are known to fail, by the first word of each line; .ci/run prints them.
known=$(awk 'NF { printf "%s^%s$", sep, $1; sep = "|" }' KNOWN-RED.txt)
# Each test has processes and ports of its own; more at once than this would make them wait for the processor.
ctest --test-dir build/release --output-on-failure --parallel 3 ${known:+--exclude-regex "$known"} "$@"
