#!/usr/bin/env bash
# Fails if a range-based for loop iterates over an object owned by a temporary: `for (x : *f())` or `for (x : f()->member)`. In C++20 the
# temporary is destroyed before the first iteration; if it was the last owner, the loop reads freed memory. Neither GCC 12 nor clang-tidy
# 14 warns about this.
set -euo pipefail
cd "$(dirname "$0")/.."
pattern='for \([^;]* : (\*[A-Za-z_.>-]+\(.*\)|[A-Za-z_.>-]+\([^)]*\)->.*)\)'
if git grep -nE "$pattern" -- '*.cpp' '*.h'; then
    echo "These loops read what a temporary held: name it first." >&2
    exit 1
fi
