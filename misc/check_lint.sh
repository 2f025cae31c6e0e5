#!/usr/bin/env bash
# Runs clang-tidy on every .cpp file, with the compile commands of the release build. Arguments: the files to check instead of all.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset release >/dev/null
if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp')
fi
# The compile commands are GCC's, but clang 14 enables coroutines with -fcoroutines-ts and doesn't define the feature macros that Asio
# checks for with GCC, so both are set here.
clang_arguments=(
    --extra-arg=-Wno-unknown-warning-option --extra-arg=-fcoroutines-ts --extra-arg=-Wno-deprecated-experimental-coroutine
    --extra-arg=-D__cpp_impl_coroutine=201902L --extra-arg=-Wno-builtin-macro-redefined
    --extra-arg=-DASIO_HAS_CO_AWAIT=1 --extra-arg=-DASIO_HAS_STD_COROUTINE=1
)
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p build/release --quiet "${clang_arguments[@]}"
