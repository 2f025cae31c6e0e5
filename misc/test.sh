#!/usr/bin/env bash
# Sets up, builds and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
./misc/build.sh release
ctest --test-dir build/release --output-on-failure "$@"
