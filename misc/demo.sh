#!/usr/bin/env bash
# Installs missing packages, builds, and runs the demo: a complete local cluster that serves requests while an instance is reclaimed.
# Exits 0 only if every answer was complete.
set -euo pipefail
cd "$(dirname "$0")/.."
./misc/build.sh release
exec ./build/release/tests/onyxnotch-demo
