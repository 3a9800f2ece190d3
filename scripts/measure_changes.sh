#!/usr/bin/env bash
# Measures on a demo fleet how long an accepted change takes until all entry
# instances apply it, and a withdrawn key until all of them refuse it: without
# a fault, with one control instance paused, and right after the leader was
# killed.  Prints Markdown rows with five times each, in milliseconds.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build="${BUILD_DIR:-$root/build}"
dir="$build/changes-fleet"
rm -f "$dir/endpoints.json"
"$root/scripts/demo.sh" --quiet --build "$build" --dir "$dir" \
    >/dev/null 2>&1 &
demo=$!
trap 'kill -TERM $demo 2>/dev/null; wait $demo 2>/dev/null || true' EXIT
for _ in $(seq 1 600); do
    [ -f "$dir/endpoints.json" ] && break
    sleep 0.1
done
mapfile -t entries < <(jq -r '.entries[].address' "$dir/endpoints.json")
ctl=("$build/sapphireweirctl" --token-file "$dir/operator.token")
for entry in "${entries[@]}"; do ctl+=(--entry "http://$entry"); done
pid_of() { jq -r ".pids[\"$1\"]" "$dir/endpoints.json"; }
leader() { "${ctl[@]}" --json status | jq -r .leader; }
now_ms() { date +%s%3N; }

change() {
    cat >"$dir/change.toml" <<TOML
[team.council]
template = "standard-team"
parameters = { weight = $1 }
TOML
    local began
    began=$(now_ms)
    "${ctl[@]}" --wait apply "$dir/change.toml" >/dev/null
    echo $(($(now_ms) - began))
}

withdrawal() {
    local key id began
    key=$("${ctl[@]}" --wait key issue council | sed -n 's/^key //p')
    id=$("${ctl[@]}" key list | awk '/council.*valid/ { print $1 }' | tail -1)
    "${ctl[@]}" key withdraw "$id" >/dev/null
    began=$(now_ms)
    for entry in "${entries[@]}"; do
        while [ "$(curl -s -o /dev/null -w '%{http_code}' -m 2 -X POST \
            "http://$entry/v1/rounds/find" -H "Authorization: Bearer $key" \
            -d '{"args":{"green":"x"}}')" = 200 ]; do
            sleep 0.005
        done
    done
    echo $(($(now_ms) - began))
}

series() {
    local what=$1 changes="" withdrawals=""
    for i in 1 2 3 4 5; do
        changes+=" $(change $(((i + SECONDS) % 9 + 1)))"
        withdrawals+=" $(withdrawal)"
    done
    echo "| $what |$changes |$withdrawals |"
}

echo "| when | change in force everywhere, ms | key refused everywhere, ms |"
echo "|---|---|---|"
series "in peace"
present=$(leader)
frozen=control-suva
[ "$present" = control-suva ] && frozen=control-nadi
kill -STOP "$(pid_of "$frozen")"
series "a control instance frozen"
kill -CONT "$(pid_of "$frozen")"
sleep 1
kill -KILL "$(pid_of "$(leader)")"
series "right after the leader was killed"
