#!/usr/bin/env bash
# Checks formatting and line length of all C files and runs clang-tidy on the
# sources: lint.sh [BUILD]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}

mapfile -t sources < <(git ls-files -co --exclude-standard '*.c' '*.h' | grep -v 'pb-c')
clang-format --dry-run -Werror "${sources[@]}"
# PEP 7 allows 79 columns; clang-format does not break long strings.
awk 'length > 79 { print FILENAME ":" FNR ": longer than 79"; bad = 1 }
     END { exit bad }' "${sources[@]}"
# Decisions stay apart from what carries them out, so that a test can replay a
# load without a network.
if grep -nE '#include "(gateway|fleet|adapter|proto|port|control|entry)/|#include <event2/' \
    src/sapphireweir/policy/*.[ch]; then
    echo "policy/ includes a layer above it"
    exit 1
fi
cmake -S . -B "$build" >/dev/null
mapfile -t units < <(git ls-files -co --exclude-standard 'src/*.c' 'platform/*.c' | grep -v 'pb-c')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 4 \
    clang-tidy -p "$build" --quiet 2>/dev/null
echo "lint: clean"
