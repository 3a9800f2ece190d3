#!/usr/bin/env bash
# Builds the fuzz targets with clang, ASan and UBSan and runs each with a
# fixed seed, by default 15 seconds with seed 1: fuzz.sh [SECONDS] [SEED].  The
# environment variable JOBS limits the build's jobs.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
seconds=${1:-15}
seed=${2:-1}
build="$root/build-fuzz"
cmake -S "$root" -B "$build" -DFUZZ=ON -DCMAKE_C_COMPILER=clang \
    -DCMAKE_CXX_COMPILER=clang++ >/dev/null
cmake --build "$build" -j "${JOBS:-$(nproc)}" --target \
    fuzz_token fuzz_entry fuzz_settings fuzz_control fuzz_platform \
    fuzz_peer fuzz_http fuzz_link >/dev/null
for target in token entry settings control platform peer http link; do
    corpus="$build/corpus-$target"
    mkdir -p "$corpus"
    cp "$root/test/fuzz/seeds/$target"/* "$corpus" 2>/dev/null || true
    echo "fuzz_$target"
    "$build/test/fuzz_$target" -seed="$seed" -max_total_time="$seconds" \
        -rss_limit_mb=2048 -print_final_stats=1 -verbosity=0 \
        -artifact_prefix="$build/" "$corpus" 2>&1 |
        grep -E "ERROR|SUMMARY|number_of_executed|Test unit" || true
    test "${PIPESTATUS[0]}" -eq 0
done
