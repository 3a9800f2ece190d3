#!/usr/bin/env bash
# Runs the experiments of an example user, one after another, at the sizes of
# examples/USER/fleet.toml.  NAME@baseline runs an experiment with the routing
# settings pool_owners and shared_rates off: each entry instance then has its
# own connection pool and an equal part of each rate.
#   measure.sh vanua|etnaforte [EXPERIMENT...]
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
user=$1
shift
case $user in
vanua) domains="suva nadi lautoka"; databases="rounds1 rounds2 rounds3"
    team=temples
    member_connections=8 ;;
etnaforte) domains="catania palermo siracusa"
    databases="register1 register2 register3"
    team=tunnels
    member_connections=15 ;;
*) echo "usage: measure.sh vanua|etnaforte [EXPERIMENT...]" >&2; exit 2 ;;
esac
if [ $# -eq 0 ]; then
    set -- 60 120 offender pinned primary-killed primary-cut replica-lag \
        entry-killed entry-stopped control-frozen silent leaving two-at-once \
        60@baseline 120@baseline offender@baseline pinned@baseline \
        primary-killed@baseline
fi
for name in "$@"; do
    extra=()
    if [[ $name == *@baseline ]]; then
        extra=(--baseline)
    fi
    RUN_NAME="$user-$name" "$root/scripts/experiment.sh" \
        "$root/experiments/$user-${name%@baseline}.toml" \
        --resources "$root/examples/$user/fleet.toml" \
        --init-sql "$root/examples/demo/init.sql" --domains "$domains" \
        --databases "$databases" --team "$team" --entries-per-domain 3 \
        --service-us 20000 --member-connections "$member_connections" \
        "${extra[@]}" || true
done
