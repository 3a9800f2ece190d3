#!/usr/bin/env bash
# Measures the programs of a demo fleet on loopback: processor time and memory
# of idle entry and control instances, with one database and with twelve, and
# the memory that an idle caller connection takes.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build="${BUILD_DIR:-$root/build}"
dir="$build/capacity-fleet"
connections=2000
seconds=10

resources() {
    cat "$root/examples/demo/fleet.toml"
    for database in "$@"; do
        [ "$database" = rounds1 ] || cat <<TOML

[database.$database]
members = [
    { id = "m1", failure_domain = "suva" },
    { id = "m2", failure_domain = "nadi" },
    { id = "m3", failure_domain = "lautoka" },
]
primary = "m1"
slots = 3
connections = 25
TOML
    done
}

start() {
    rm -f "$dir/endpoints.json"
    resources $1 >"$build/capacity-fleet.toml"
    "$root/scripts/demo.sh" --quiet --build "$build" --dir "$dir" \
        --databases "$1" --resources "$build/capacity-fleet.toml" \
        >/dev/null 2>&1 &
    demo=$!
    for _ in $(seq 1 600); do
        [ -f "$dir/endpoints.json" ] && break
        sleep 0.1
    done
    sleep 3
}

stop() {
    kill -TERM $demo
    wait $demo || true
}

pid_of() { jq -r ".pids[\"$1\"]" "$dir/endpoints.json"; }
rss_kb() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }

idle() {
    for name in entry-suva-1 control-suva control-nadi control-lautoka; do
        pid=$(pid_of "$name")
        before=$(ticks "$pid")
        sleep "$seconds"
        after=$(ticks "$pid")
        awk -v n="$name" -v d="$1" -v t=$((after - before)) \
            -v hz="$(getconf CLK_TCK)" -v s="$seconds" \
            -v r="$(rss_kb "$pid")" 'BEGIN {
            printf "| %s, idle, %d databases | %.2f %% of a core, %.1f MB |\n",
                   n, d, 100 * t / hz / s, r / 1024 }'
    done
}

echo "| what | value |"
echo "|---|---|"
start rounds1
idle 1
entry=$(pid_of entry-suva-1)
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
    printf "| idle caller connection | %.0f bytes |\n", (a - b) * 1024 / n }'
for fd in "${fds[@]}"; do
    exec {fd}>&-
done
stop
start "rounds1 r2 r3 r4 r5 r6 r7 r8 r9 r10 r11 r12"
idle 12
stop
