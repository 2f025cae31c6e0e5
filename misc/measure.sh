#!/usr/bin/env bash
# Builds and runs the benchmark of the gateway's policies against baseline policies. Prints one JSON line per run; docs/MEASUREMENTS.md
# explains the fields. Arguments: the length of each trace in seconds, then the names of the workloads, phases and policies to run
# (all of a group if none of the group is given).
set -euo pipefail
cd "$(dirname "$0")/.."
./misc/build.sh release >&2
exec ./build/release/tests/onyxnotch-measure "$@"
