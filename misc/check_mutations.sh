#!/usr/bin/env bash
# Mutation testing: checks that each test fails when the mechanism it covers is removed. Applies each patch of tests/mutations, which
# removes one mechanism, to a scratch copy of HEAD, builds the copy, and runs the test given in the patch's `test:` line. Prints one line
# per patch; exits 1 if a test still passed, or if a patch didn't apply or didn't build.
# Arguments: patch names without .patch, instead of all. CI doesn't run this script, because it takes several minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git archive HEAD | tar -x -C "$scratch"
# Removing a mechanism can leave a parameter unused, which would fail the build as a warning under -Werror.
sed -i 's/ -Werror//' "$scratch/CMakeLists.txt"
names=("$@")
if [ "${#names[@]}" -eq 0 ]; then
    mapfile -t names < <(cd tests/mutations && ls ./*.patch | sed 's|^\./||; s|\.patch$||')
fi
(cd "$scratch" && git init -q && cmake --preset release >/dev/null && cmake --build --preset release >/dev/null)
has_failures=0
for name in "${names[@]}"; do
    patch="$PWD/tests/mutations/$name.patch"
    test=$(sed -n 's/^test: //p' "$patch")
    binary=onyxnotch-promise-tests
    case "$test" in
        unit:*) binary=onyxnotch-unit-tests ;;
        entry:*) binary=onyxnotch-entry-tests ;;
    esac
    if ! (cd "$scratch" && git apply "$patch"); then
        echo "$name: the patch does not apply"
        has_failures=1
        continue
    fi
    if ! (cd "$scratch" && cmake --build --preset release >"$scratch/build.log" 2>&1); then
        echo "$name: does not build"
        grep -m 3 "error:" "$scratch/build.log" || true
        has_failures=1
    elif (cd "$scratch" && timeout 200 "build/release/tests/$binary" "--run_test=${test#*:}" >"$scratch/test.log" 2>&1); then
        echo "$name: SURVIVED: $test passed without the mechanism"
        has_failures=1
    else
        echo "$name: $test fails: $(grep -m 1 -a -o 'check .* has failed.*\|Assertion failed.*\|Falsifiable.*' "$scratch/test.log" | tr -d '\033' | sed 's/\[[0-9;]*m//g' | head -c 160)"
    fi
    (cd "$scratch" && git apply -R "$patch")
done
exit "$has_failures"
