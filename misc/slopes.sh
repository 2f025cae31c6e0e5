#!/usr/bin/env bash
# Measures the slopes that docs/CAPACITY.md is worked out from. Arguments: nodes, streams, objects, entry-streams; none for all.
set -euo pipefail
cd "$(dirname "$0")/.."
./misc/build.sh release >&2
exec ./build/release/tests/onyxnotch-slopes "$@"
