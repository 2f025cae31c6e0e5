#!/usr/bin/env bash
# Reruns the benchmark days listed in misc/bench_regressions.txt, one after the other, and fails if a rule of the benchmark is broken.
# Arguments: the folder of the users' benchmark kit (with bin/, sites/, grown/, further/, large/), and optionally a benchmark program to use
# instead of the kit's bin/fleetbench, which later sites require. CI doesn't run this script, because it needs the kit.
set -euo pipefail
kit=$1
bench=${2:-$kit/bin/fleetbench}
cd "$(dirname "$0")/.."
failed=0
while read -r site day rule cause; do
    case "$site" in "" | "#"*) continue ;; esac
    row=$("$bench" run "$kit/$site" "$day" --why "regression: $rule" </dev/null | grep "^$(basename "$day" .toml) ")
    echo "$row"
    case "$row" in *BROKEN*) failed=1 && echo "broken again: $rule ($cause)" ;; esac
done <misc/bench_regressions.txt
exit "$failed"
