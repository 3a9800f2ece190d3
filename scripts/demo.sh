#!/usr/bin/env bash
# Runs a small fleet on loopback with three failure domains.  Each has one
# control instance, one entry instance and one member of the database; the
# members are stand-ins, small programs in place of backend servers.  Stops
# all processes in order on Ctrl-C or SIGTERM.
#
#   demo.sh [--build DIR] [--dir DIR] [--entries-per-domain N] [--quiet]
#           [--resources FILE.toml] [--init-sql FILE] [--databases "NAME..."]
#           [--team NAME] [--domains "NAME NAME NAME"] [--service-us N]
#           [--lag-ms N] [--member-connections N] [--baseline] [--trace]
#           [--routing "SETTING=VALUE..."]
#
# --service-us and --lag-ms set the service time and the replication lag of
# the stand-ins.  --baseline turns pool_owners and shared_rates off; --routing
# gives the entry instances settings of the table "routing" one by one.
# --trace records the first entry instance in DIR/entry.trace.
#
# DIR/endpoints.json holds the addresses, the path of the operator's token
# file, a team's key, the fault interfaces of the stand-ins and the ids of all
# processes.  The file appears once the fleet serves requests.
set -euo pipefail
# Job control gives each process a group of its own: Ctrl-C reaches only this
# script, which then stops the processes in order.
set -m

root=$(cd "$(dirname "$0")/.." && pwd)
build="$root/build"
dir=""
per_domain=1
quiet=0
resources="$root/examples/demo/fleet.toml"
init_sql="$root/examples/demo/init.sql"
service_us=500
lag_ms=0
databases="rounds1"
team="parish"
domains=(suva nadi lautoka)
baseline=0
settings=""
trace=0
member_connections=8
while [ $# -gt 0 ]; do
    case "$1" in
    --build) build=$2; shift 2 ;;
    --dir) dir=$2; shift 2 ;;
    --entries-per-domain) per_domain=$2; shift 2 ;;
    --resources) resources=$2; shift 2 ;;
    --init-sql) init_sql=$2; shift 2 ;;
    --service-us) service_us=$2; shift 2 ;;
    --lag-ms) lag_ms=$2; shift 2 ;;
    --databases) databases=$2; shift 2 ;;
    --team) team=$2; shift 2 ;;
    --domains) read -ra domains <<<"$2"; shift 2 ;;
    --baseline) baseline=1; shift ;;
    --routing) settings=$2; shift 2 ;;
    --trace) trace=1; shift ;;
    --member-connections) member_connections=$2; shift 2 ;;
    --quiet) quiet=1; shift ;;
    *) echo "demo.sh: unknown argument $1" >&2; exit 2 ;;
    esac
done
dir=${dir:-$build/demo}
routing=""
if [ $baseline -eq 1 ]; then
    routing="
[routing]
pool_owners = false
shared_rates = false"
elif [ -n "$settings" ]; then
    routing="
[routing]"
    for setting in $settings; do
        routing+="
${setting%%=*} = ${setting#*=}"
    done
fi

rm -rf "$dir"
mkdir -p "$dir"
chmod 700 "$dir"
cd "$dir"

# Sets port to a free port.  Probes a block below the ephemeral range, since
# another process could take a port chosen by the kernel before it is used.
next_port=$((20000 + (RANDOM % 100) * 100))
free_port() {
    while (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; do
        next_port=$((next_port + 1))
    done
    port=$next_port
    next_port=$((next_port + 1))
}

random_hex() { head -c "$1" /dev/urandom | od -An -tx1 | tr -d ' \n'; }
random_hex 32 >secret
random_hex 24 >operator.token
random_hex 24 >platform.key
chmod 600 secret operator.token platform.key

pids=()
names=()
launch() {
    local name=$1
    shift
    "$@" >"$name.out" 2>"$name.log" &
    pids+=($!)
    names+=("$name")
}

# Sets left to the processes of a round that run, as indexes of pids.
running_in() {
    jobs -rp >"$dir/running"
    mapfile -t running <"$dir/running"
    left=()
    for i in "${!pids[@]}"; do
        case "${names[$i]} ${running[*]} " in
        "$1"*" ${pids[$i]} "*) left+=("$i") ;;
        esac
    done
}

# Stops the processes of a round.  Asks the shell which of them still run
# instead of waiting for one after the other: a "wait PID" that misses the exit
# of its process sleeps until another child ends, and the other children of
# this script end only when they are told to.
stop_round() {
    local ticks=0 i left running
    running_in "$1"
    for i in "${left[@]}"; do
        kill -TERM "${pids[$i]}" 2>/dev/null || true
    done
    while running_in "$1" && [ ${#left[@]} -gt 0 ]; do
        ticks=$((ticks + 1))
        if [ $((ticks % 200)) -eq 0 ]; then
            for i in "${left[@]}"; do
                echo "demo: ${names[$i]} (${pids[$i]}) still runs" >&2
            done
        fi
        sleep 0.1
    done
}

stopping=0
stop_all() {
    [ $stopping -eq 1 ] && return
    stopping=1
    trap - INT TERM EXIT
    # Entry instances finish their requests before the control instances and
    # the databases stop.
    for round in entry control standin; do
        stop_round $round
    done
    [ $quiet -eq 1 ] || echo "demo: stopped"
    exit 0
}
trap stop_all INT TERM EXIT

control_table=""
control_peer=()
control_http=()
for i in 0 1 2; do
    free_port; control_peer[i]=$port
    free_port; control_http[i]=$port
    control_table+="
[[control]]
id = \"control-${domains[$i]}\"
failure_domain = \"${domains[$i]}\"
address = \"127.0.0.1:${control_peer[$i]}\"
"
done

for i in 0 1 2; do
    cat >"control-${domains[$i]}.toml" <<TOML
[instance]
id = "control-${domains[$i]}"
failure_domain = "${domains[$i]}"

[listen]
http = "127.0.0.1:${control_http[$i]}"
peer = "127.0.0.1:${control_peer[$i]}"

[cluster]
name = "demo"
secret_file = "$dir/secret"

[data]
folder = "$dir/data-control-${domains[$i]}"
$control_table
TOML
    launch "control-${domains[$i]}" "$build/sapphireweir-control" \
        --settings "$dir/control-${domains[$i]}.toml" --bootstrap
done

entry_http=()
entry_ids=()
entry_domains=()
for i in 0 1 2; do
    for n in $(seq 1 "$per_domain"); do
        id="entry-${domains[$i]}-$n"
        free_port; http=$port
        free_port; peer=$port
        entry_http+=("$http")
        entry_ids+=("$id")
        entry_domains+=("${domains[$i]}")
        cat >"$id.toml" <<TOML
[instance]
id = "$id"
failure_domain = "${domains[$i]}"

[listen]
http = "127.0.0.1:$http"
peer = "127.0.0.1:$peer"

[cluster]
name = "demo"
secret_file = "$dir/secret"

[operator]
token_file = "$dir/operator.token"

[platform]
key_file = "$dir/platform.key"
$routing
$control_table
TOML
        extra=()
        if [ $trace -eq 1 ] && [ "$i$n" = 01 ]; then
            extra=(--trace "$dir/entry.trace")
        fi
        launch "$id" "$build/sapphireweir-entry" --settings "$dir/$id.toml" \
            "${extra[@]}"
    done
done

entry_list=$(printf '127.0.0.1:%s,' "${entry_http[@]}")
standin_json=""
for database in $databases; do
    primary=""
    for i in 0 1 2; do
        free_port; sql=$port
        free_port; faults=$port
        member="m$((i + 1))"
        args=(--name "$member" --database "$database"
            --failure-domain "${domains[$i]}" --listen "127.0.0.1:$sql"
            --faults "127.0.0.1:$faults" --data "$dir/data-$database-$member"
            --entries "${entry_list%,}" --platform-key "$(cat platform.key)"
            --ordinal "$i" --service-us "$service_us" --lag-ms "$lag_ms"
            --connections "$member_connections")
        if [ "$i" -eq 0 ]; then
            args+=(--init-sql "$init_sql")
            primary="127.0.0.1:$sql"
        else
            args+=(--primary "$primary")
        fi
        launch "standin-$database-$member" "$build/sapphireweir-standin" \
            "${args[@]}"
        standin_json+="{\"database\":\"$database\",\"member\":\"$member\",\
\"sql\":\"127.0.0.1:$sql\",\"faults\":\"127.0.0.1:$faults\",\
\"pid\":${pids[-1]}},"
    done
done

ctl=("$build/sapphireweirctl" --token-file "$dir/operator.token")
for http in "${entry_http[@]}"; do
    ctl+=(--entry "http://127.0.0.1:$http")
done

wait_for() {
    for _ in $(seq 1 200); do
        if "$@" >/dev/null 2>&1; then
            return 0
        fi
        sleep 0.1
    done
    echo "demo: timed out waiting for command: $*" >&2
    exit 1
}

wait_for "${ctl[@]}" status
"${ctl[@]}" --wait apply "$resources" >apply.out
key=$("${ctl[@]}" --wait key issue "$team" | sed -n 's/^key //p')

pid_json=""
for i in "${!pids[@]}"; do
    pid_json+="\"${names[$i]}\":${pids[$i]},"
done
entry_json=""
for i in "${!entry_http[@]}"; do
    entry_json+="{\"id\":\"${entry_ids[$i]}\",\
\"failure_domain\":\"${entry_domains[$i]}\",\
\"address\":\"127.0.0.1:${entry_http[$i]}\"},"
done
control_json=""
for i in 0 1 2; do
    control_json+="{\"id\":\"control-${domains[$i]}\",\
\"address\":\"127.0.0.1:${control_http[$i]}\",\
\"peer\":\"127.0.0.1:${control_peer[$i]}\"},"
done

call_works() {
    curl -sf -m 2 -X POST "http://127.0.0.1:$1/v1/rounds/find" \
        -H "Authorization: Bearer $key" -d '{"args":{"green":"none"}}'
}
if [ "$team" = parish ]; then
    for http in "${entry_http[@]}"; do
        wait_for call_works "$http"
    done
fi

cat >endpoints.json.new <<JSON
{
  "entries": [${entry_json%,}],
  "controls": [${control_json%,}],
  "standins": [${standin_json%,}],
  "operator_token_file": "$dir/operator.token",
  "platform_key_file": "$dir/platform.key",
  "team": "$team",
  "key": "$key",
  "pids": {${pid_json%,}}
}
JSON
mv endpoints.json.new endpoints.json

if [ $quiet -eq 0 ]; then
    a=${entry_http[0]}
    b=${entry_http[1]}
    cat <<TEXT
The demo is running; $dir/endpoints.json lists addresses and keys. Try:

# book through one entry instance
curl -i -X POST http://127.0.0.1:$a/v1/rounds/book \\
  -H 'Authorization: Bearer $key' -H 'Idempotency-Key: call-1' \\
  -d '{"args":{"green":"Nasova","day":"2026-12-07","note":"gate left"}}'

# read it through another; add the Session-Token header of the response above
curl -i -X POST http://127.0.0.1:$b/v1/rounds/find-stale \\
  -H 'Authorization: Bearer $key' -d '{"args":{"green":"Nasova"}}'

# show the state of the fleet as an operator
${ctl[*]} status

Ctrl-C stops it.
TEXT
fi
while true; do
    sleep 1 &
    wait $! || true
done
