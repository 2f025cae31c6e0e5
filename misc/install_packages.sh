#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need. If all of them are installed already, exits without
# accessing the network.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache git clang-format clang-tidy clang libclang-rt-14-dev
    libasio-dev libhttp-parser-dev libcereal-dev prometheus-cpp-dev libcpp-httplib-dev libdocopt-dev
    libboost-dev libboost-log-dev libboost-test-dev libboost-thread-dev libboost-filesystem-dev
    nlohmann-json3-dev libvalijson-dev libxxhash-dev librapidcheck-dev libssl-dev zlib1g-dev libbrotli-dev
)

missing=()
for package in "${packages[@]}"; do
    state=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
    [ "$state" = "install ok installed" ] || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi

run_as_root=()
if [ "$(id -u)" -ne 0 ]; then
    run_as_root=(sudo)
fi
"${run_as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${run_as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}"
