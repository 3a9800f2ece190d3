#!/usr/bin/env bash
# Compares requests through an entry instance with direct libpq queries to the
# stand-in of a backend server, on one demo fleet.  The teams' rates are
# raised so that they do not limit the load.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build="${BUILD_DIR:-$root/build}"
dir="$build/bench-fleet"
rm -f "$dir/endpoints.json"
sed 's/rate = 200, burst = 400/rate = 100000, burst = 200000/;
     s/rate = 2000, burst = 4000/rate = 100000, burst = 200000/' \
    "$root/examples/demo/fleet.toml" >"$build/bench-fleet.toml"
"$root/scripts/demo.sh" --quiet --build "$build" --dir "$dir" \
    --service-us 0 --resources "$build/bench-fleet.toml" >/dev/null 2>&1 &
demo=$!
trap 'kill -TERM $demo 2>/dev/null; wait $demo 2>/dev/null || true' EXIT
for _ in $(seq 1 600); do
    [ -f "$dir/endpoints.json" ] && break
    sleep 0.1
done
"$build/test/path_bench" "$dir/endpoints.json"
