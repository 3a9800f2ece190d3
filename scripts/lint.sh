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
cmake -S . -B "$build" >/dev/null
mapfile -t units < <(git ls-files -co --exclude-standard 'src/*.c' 'platform/*.c' | grep -v 'pb-c')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 4 \
    clang-tidy -p "$build" --quiet 2>/dev/null
echo "lint: clean"
