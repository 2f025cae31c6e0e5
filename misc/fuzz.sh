#!/usr/bin/env bash
# Fuzzes the parsers of external input with clang's libFuzzer, AddressSanitizer and UndefinedBehaviorSanitizer. Arguments: the number of
# inputs to try (default 100000; .ci/run uses 30000) and the seed (default 1).
set -euo pipefail
cd "$(dirname "$0")/.."
./misc/install_packages.sh
runs=${1:-100000}
seed=${2:-1}

# Builds one fuzz target and runs it on its corpus. Arguments: the target (tests/fuzz/NAME.cpp), the corpus folder in tests/fuzz, the
# number of inputs to try, then the source files and libraries to build with.
fuzz() {
    local name=$1 corpus=$2 inputs=$3
    shift 3
    mkdir -p "build/fuzz/$corpus"
    clang++ -std=c++20 -O1 -g -DASIO_STANDALONE -fcoroutines-ts -Wno-deprecated-experimental-coroutine \
        -D__cpp_impl_coroutine=201902L -Wno-builtin-macro-redefined -DASIO_HAS_CO_AWAIT=1 -DASIO_HAS_STD_COROUTINE=1 \
        -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=undefined -I. "tests/fuzz/$name.cpp" "$@" -o "build/fuzz/$name"
    # libFuzzer's output is long, so its tail is shown only if the run failed.
    if ! "./build/fuzz/$name" -runs="$inputs" -seed="$seed" -max_len=4096 -print_final_stats=0 -verbosity=0 "build/fuzz/$corpus" "tests/fuzz/$corpus" >build/fuzz/log 2>&1; then
        tail -n 50 build/fuzz/log
        exit 1
    fi
    echo "fuzzed: $name, $inputs inputs, seed $seed, no finding"
}

fuzz fuzz_wire_input corpus "$runs" core/net/http_parser.cpp modules/forward/event_stream.cpp -lhttp_parser
# This target decodes each input as a document, as messages and as compressed text, which is slower by a factor of ten, so it gets a
# tenth of the inputs.
fuzz fuzz_documents corpus_documents "$((runs / 10))" core/deflate.cpp core/digest.cpp core/json_slices.cpp core/outcome.cpp core/utf8.cpp core/net/address.cpp core/net/frame.cpp modules/admission/shared_admission.cpp \
    modules/balance/endpoint_speeds.cpp modules/balance/prefix_cache.cpp modules/control/endpoint_history.cpp modules/limits/endpoint_credits.cpp modules/limits/endpoint_limits.cpp modules/limits/advertised_limits.cpp modules/limits/team_bucket.cpp modules/limits/team_limits.cpp modules/peers/group_aggregate.cpp modules/suspects/suspect_tracker.cpp modules/suspects/suspect_update.cpp platform/decoders.cpp platform/store_pages.cpp -lcrypto -lxxhash -lz -lpthread
