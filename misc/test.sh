#!/usr/bin/env bash
# Sets up, builds and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
./misc/build.sh release
# Each test has processes and ports of its own; more at once than this would make them wait for the processor.
ctest --test-dir build/release --output-on-failure --parallel 3 "$@"
