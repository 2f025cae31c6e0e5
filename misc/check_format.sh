#!/usr/bin/env bash
# Fails where a source file is not as clang-format writes it. With --fix, writes it.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.h' '*.cpp')
if [ "${1:-}" = "--fix" ]; then
    clang-format -i "${files[@]}"
else
    clang-format --dry-run --Werror "${files[@]}"
fi
