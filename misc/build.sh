#!/usr/bin/env bash
# Installs missing packages, configures CMake and builds all targets. Argument: the CMake preset, release (default) or sanitize.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
./misc/install_packages.sh
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset"
