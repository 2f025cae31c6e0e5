#!/usr/bin/env bash
# Builds the stand-ins of all cases under build/review. Needs no more than the deploy file's packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/[0-9]*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I . "$source" -o "build/review/case-$number"
done
