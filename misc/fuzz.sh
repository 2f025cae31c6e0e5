#!/usr/bin/env bash
# Fuzzes what reads input from outside, with clang's libFuzzer and sanitizers. Arguments: inputs to try (CI's few by default), seed.
set -euo pipefail
cd "$(dirname "$0")/.."
./misc/install_packages.sh
runs=${1:-100000}
seed=${2:-1}

# Builds a target of its sources and runs it on its corpus: NAME, CORPUS, inputs to try, then sources and libraries.
fuzz() {
    local name=$1 corpus=$2 inputs=$3
    shift 3
    mkdir -p "build/fuzz/$corpus"
    clang++ -std=c++20 -O1 -g -DASIO_STANDALONE -fcoroutines-ts -Wno-deprecated-experimental-coroutine \
        -D__cpp_impl_coroutine=201902L -Wno-builtin-macro-redefined -DASIO_HAS_CO_AWAIT=1 -DASIO_HAS_STD_COROUTINE=1 \
        -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=undefined -I. "tests/fuzz/$name.cpp" "$@" -o "build/fuzz/$name"
    # libFuzzer tells a lot; it matters only where something was found.
    if ! "./build/fuzz/$name" -runs="$inputs" -seed="$seed" -max_len=4096 -print_final_stats=0 -verbosity=0 "build/fuzz/$corpus" "tests/fuzz/$corpus" >build/fuzz/log 2>&1; then
        tail -n 50 build/fuzz/log
        exit 1
    fi
    echo "fuzzed: $name, $inputs inputs, seed $seed, no finding"
}

fuzz fuzz_wire_input corpus "$runs" core/net/http_parser.cpp modules/forward/event_stream.cpp -lhttp_parser
# Each input is read as a document, as messages and as compressed text: slower by a factor of ten.
fuzz fuzz_documents corpus_documents "$((runs / 10))" core/deflate.cpp core/digest.cpp core/outcome.cpp core/utf8.cpp core/net/address.cpp core/net/frame.cpp \
    modules/balance/prefix_cache.cpp modules/control/endpoint_history.cpp modules/limits/endpoint_credits.cpp modules/limits/endpoint_limits.cpp modules/limits/limit_words.cpp modules/peers/group_sum.cpp modules/suspects/suspect_book.cpp modules/suspects/suspect_news.cpp platform/decoders.cpp platform/store_pages.cpp -lcrypto -lxxhash -lz -lpthread
