#!/usr/bin/env bash
# Builds the programs of the cases 4 to 6, with their stand-ins, under target/review-2. Needs the deploy file's packages and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for n in 4 5 6; do
    if [ -f "review/$n/case.cpp" ]; then
        g++ -std=c++20 -O1 -Wall -Wextra -pthread "review/$n/case.cpp" -o "target/review-2/case-$n"
    fi
done
