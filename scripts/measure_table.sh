#!/usr/bin/env bash
# Prints reports of experiments as rows of a Markdown table:
#   measure_table.sh build/experiments/NAME.json...
set -euo pipefail
echo "| experiment | replica reads | write gap, ms | worst team served | worst team p99, ms | refused within rate | promises broken |"
echo "|---|---|---|---|---|---|---|"
for report in "$@"; do
    name=$(basename "$report" .json)
    jq -r --arg name "$name" '
        def pct: . * 1000 | round / 10 | tostring + " %";
        ([.promises | to_entries[] | select(.key != "writes_checked")
          | .value] | add) as $broken
        | "| \($name) | \(.replica_read_share | pct)"
        + " | \(.longest_write_gap_ms | round)"
        + " | \(.worst_team_served | pct) | \(.worst_team_p99_ms | round)"
        + " | \(.refused_within_rate) | \($broken) |"' "$report"
done
