#!/usr/bin/env bash
# Runs case 6, after the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0: without the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.."
program=target/review-2/case-6
if [ ! -x "$program" ] || [ ! -x target/main/onyxnotch-entry ]; then
    echo "build first: the deploy file's command, then review/build-2.sh" >&2
    exit 2
fi
timeout --kill-after=5 115 "$program" review/6/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
