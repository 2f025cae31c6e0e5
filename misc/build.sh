#!/usr/bin/env bash
# Installs what is missing and builds everything. Arguments: the preset (release or sanitize).
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
./misc/install_packages.sh
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset"
