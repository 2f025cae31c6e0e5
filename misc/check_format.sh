#!/usr/bin/env bash
# Fails if a .h or .cpp file differs from clang-format's output. With --fix, reformats the files in place instead.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.h' '*.cpp')
if [ "${1:-}" = "--fix" ]; then
    clang-format -i "${files[@]}"
else
    clang-format --dry-run --Werror "${files[@]}"
fi
