#!/usr/bin/env bash
# Applies each patch of test/mutants, a deliberate fault, to a copy of the
# committed sources and prints which unit tests notice it:
# mutants.sh [PATCH_NAME...]
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
work="$root/build-mutants"
suites=("consensus" "disk" "disk full" "director faults" "consensus members" "document transfer"
    "fleet simulation" "gateway policy" "fleet policy" "session" "session setup" "model" "platform" "slow start" "cold servers" "regions"
    "evacuation" "evacuation at an instance" "admission"
    "connection warm-up" "placement replay" "server pool" "rates"
    "team rates" "share pool" "evacuation core" "crossing" "crossing replay")

rm -rf "$work/source"
mkdir -p "$work/source"
# Files get the present time; with that of the commit, objects of an earlier run
# would count as up to date.
git -C "$root" archive HEAD | tar xm -C "$work/source"
cmake -S "$work/source" -B "$work/build" >/dev/null

names=("$@")
if [ ${#names[@]} -eq 0 ]; then
    for patch in "$root"/test/mutants/*.patch; do
        names+=("$(basename "$patch" .patch)")
    done
fi

# Prints the names of the tests that fail, except those of KNOWN-RED.txt.
failing_tests() {
    local suite
    for suite in "${suites[@]}"; do
        "$work/build/test/unit_tests" "$suite" 2>/dev/null || true
    done | sed -n 's/^  Test: \(.*\) \.\.\..*FAILED.*/\1/p;
        /^  Test: .* \.\.\.$/{s/^  Test: \(.*\) \.\.\.$/\1/;h};
        /^FAILED/{x;p}' | sort -u |
        { grep -vxF -f <(sed -n 's|^unit: .* / ||p' "$root/KNOWN-RED.txt") ||
            true; } | paste -sd ';' -
}

echo "| fault | noticed by |"
echo "|---|---|"
for name in "${names[@]}"; do
    patch="$root/test/mutants/$name.patch"
    patch -s -p1 -d "$work/source" <"$patch"
    if cmake --build "$work/build" --target unit_tests -j "${JOBS:-2}" \
        >"$work/build.log" 2>&1; then
        found=$(failing_tests)
        echo "| $name | ${found:-nothing} |"
    else
        echo "| $name | does not build, see build-mutants/build.log |"
    fi
    patch -s -R -p1 -d "$work/source" <"$patch"
done
