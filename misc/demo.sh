#!/usr/bin/env bash
# Sets up, builds, and shows the whole path on this machine. Exits 0 only if every answer was whole.
set -euo pipefail
cd "$(dirname "$0")/.."
./misc/build.sh release
exec ./build/release/tests/onyxnotch-demo
