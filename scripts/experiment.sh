#!/usr/bin/env bash
# Starts a demo fleet, runs one experiment against it and stops the fleet.
#   experiment.sh EXPERIMENT.toml [demo.sh argument...]
# The report goes to build/experiments/NAME.{txt,json,svg}.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build="${BUILD_DIR:-$root/build}"
experiment=$1
shift
name="${RUN_NAME:-$(basename "$experiment" .toml)}"
out="$build/experiments"
dir="$out/$name-fleet"
mkdir -p "$out"
rm -f "$dir/endpoints.json"
"$root/scripts/demo.sh" --quiet --build "$build" --dir "$dir" "$@" \
    >"$out/$name.demo" 2>&1 &
demo=$!
trap 'kill -TERM $demo 2>/dev/null; wait $demo 2>/dev/null || true' EXIT
for _ in $(seq 1 600); do
    [ -f "$dir/endpoints.json" ] && break
    kill -0 $demo
    sleep 0.1
done
"$build/sapphireweir-load" --experiment "$experiment" \
    --endpoints "$dir/endpoints.json" --json "$out/$name.json" \
    --plot "$out/$name.svg" | tee "$out/$name.txt"
