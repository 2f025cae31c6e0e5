#!/usr/bin/env bash
# Finds loops over what a temporary holds: `for (x : *f())` and `for (x : f()->member)`. In C++20 the temporary ends before the loop
# begins; where it was the last owner, the loop reads freed memory. Neither GCC 12 nor clang-tidy 14 warns of it.
set -euo pipefail
cd "$(dirname "$0")/.."
pattern='for \([^;]* : (\*[A-Za-z_.>-]+\(.*\)|[A-Za-z_.>-]+\([^)]*\)->.*)\)'
if git grep -nE "$pattern" -- '*.cpp' '*.h'; then
    echo "These loops read what a temporary held: name it first." >&2
    exit 1
fi
