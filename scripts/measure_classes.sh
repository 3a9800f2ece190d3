#!/usr/bin/env bash
# Runs the experiments with load classes, one after another, each before and
# after what a setting of "routing" decides.  Writes the plots to docs/plots
# (or PLOT_DIR) and prints a table of the shares for docs/MEASUREMENTS.md.
#   measure_classes.sh [EXPERIMENT=SETTING...]
# For example hot-team=shared_rates runs experiments/classes-hot-team.toml
# with routing.shared_rates false, then with the defaults.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build="${BUILD_DIR:-$root/build}"
plots="${PLOT_DIR:-$root/docs/plots}"
if [ $# -eq 0 ]; then
    set -- hot-team=shared_rates opposite-waves=pool_owners \
        give-ups=pool_owners idle-transactions=pool_owners
fi
mkdir -p "$plots"

# Runs one experiment; a violated guarantee is in its report.
run() {
    local name=$1
    shift
    RUN_NAME="classes-$name" "$root/scripts/experiment.sh" \
        "$root/experiments/classes-${name%-before}.toml" \
        --resources "$root/experiments/fleets/classes.toml" \
        --entries-per-domain 2 --service-us 20000 --member-connections 12 \
        --team council "$@" || true
}

reports=()
for each in "$@"; do
    name=${each%%=*}
    before="$build/experiments/classes-$name-before.json"
    after="$build/experiments/classes-$name.json"
    rm -f "$before" "$after"
    run "$name-before" --routing "${each#*=}=false"
    run "$name"
    "$build/sapphireweir-load" --report "$after" --compare "$before" \
        --plot "$plots/classes-$name.svg"
    reports+=("$before" "$after")
done

echo "| experiment | kind | offered | in objective | late | refused | failed | abandoned | promises broken |"
echo "|---|---|---|---|---|---|---|---|---|"
for report in "${reports[@]}"; do
    jq -r --arg name "$(basename "$report" .json)" '
        ([.promises | to_entries[] | select(.key != "writes_checked")
          | .value] | add) as $broken
        | .kinds[]
        | .offered as $all
        | def pct: . / $all * 1000 | round / 10 | tostring + " %";
          "| \($name) | \(.kind) | \($all) | \(.in_objective | pct)"
          + " | \(.late | pct) | \(.refused | pct)"
          + " | \(.failed + .not_sent | pct) | \(.abandoned | pct)"
          + " | \($broken) |"' "$report"
done
