#!/usr/bin/env bash
# Measures the real programs on loopback: idle processor time and memory of
# entry and control instances, memory of an idle caller connection.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build="${BUILD_DIR:-$root/build}"
dir="$build/capacity-fleet"
connections=2000
seconds=10

rm -f "$dir/endpoints.json"
"$root/scripts/demo.sh" --quiet --build "$build" --dir "$dir" >/dev/null 2>&1 &
demo=$!
trap 'kill -TERM $demo 2>/dev/null; wait $demo 2>/dev/null || true' EXIT
for _ in $(seq 1 600); do
    [ -f "$dir/endpoints.json" ] && break
    sleep 0.1
done

pid_of() { jq -r ".pids[\"$1\"]" "$dir/endpoints.json"; }
rss_kb() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }

entry=$(pid_of entry-suva-1)
echo "| what | value |"
echo "|---|---|"
for name in entry-suva-1 entry-nadi-1 control-suva control-nadi; do
    pid=$(pid_of "$name")
    before=$(ticks "$pid")
    sleep "$seconds"
    after=$(ticks "$pid")
    hz=$(getconf CLK_TCK)
    awk -v n="$name" -v t=$((after - before)) -v hz="$hz" -v s="$seconds" \
        -v r="$(rss_kb "$pid")" 'BEGIN {
        printf "| %s idle | %.2f %% of a core, %.1f MB resident |\n",
               n, 100 * t / hz / s, r / 1024 }'
done

port=$(jq -r '.entries[0].address' "$dir/endpoints.json" | cut -d: -f2)
before=$(rss_kb "$entry")
ulimit -n $((connections + 200)) || true
fds=()
for _ in $(seq 1 "$connections"); do
    exec {fd}<>"/dev/tcp/127.0.0.1/$port"
    fds+=("$fd")
done
sleep 2
after=$(rss_kb "$entry")
awk -v b="$before" -v a="$after" -v n="$connections" 'BEGIN {
    printf "| idle caller connection | %.0f bytes resident |\n",
           (a - b) * 1024 / n }'
