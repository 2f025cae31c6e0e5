#!/usr/bin/env bash
# Measures the decisions against the baselines and prints a JSON line for each run: docs/MEASUREMENTS.md explains them.
# Arguments: seconds of each trace, then words that choose workloads, phases and policies.
set -euo pipefail
cd "$(dirname "$0")/.."
./misc/build.sh release >&2
exec ./build/release/tests/onyxnotch-measure "$@"
