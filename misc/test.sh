#!/usr/bin/env bash
# Installs missing packages, builds the release preset, and runs all tests except those listed in KNOWN-RED.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
./misc/build.sh release
# A regular expression of the tests known to fail: the first word of each line of KNOWN-RED.txt. .ci/run prints that file.
known_failing=$(awk 'NF { printf "%s^%s$", sep, $1; sep = "|" }' KNOWN-RED.txt)
# Tests use separate processes and ports, so they can run in parallel, but more than three at once would compete for the processor.
ctest --test-dir build/release --output-on-failure --parallel 3 ${known_failing:+--exclude-regex "$known_failing"} "$@"
