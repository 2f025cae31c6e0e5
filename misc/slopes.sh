#!/usr/bin/env bash
# Builds and runs the measurement of how a node's costs grow with load; docs/CAPACITY.md is computed from the fitted slopes.
# Arguments: the series to measure, any of nodes, streams, objects, entry-streams (default: all).
set -euo pipefail
cd "$(dirname "$0")/.."
./misc/build.sh release >&2
exec ./build/release/tests/onyxnotch-slopes "$@"
