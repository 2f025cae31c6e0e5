#!/usr/bin/env bash
# Runs clang-tidy over every source file of the release build. Arguments: files, instead of all.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset release >/dev/null
if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp')
fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p build/release --quiet
