#!/usr/bin/env bash
# Runs the fault soak, six seconds a seed, from SEED on for some minutes.
# Prints the seeds with violations and fails when there are any.
# Usage: fault_soak.sh BUILD SEED MINUTES
set -euo pipefail
build=$1
seed=$2
end=$(($(date +%s) + $3 * 60))
failed=()
while [ "$(date +%s)" -lt "$end" ]; do
    "$build/test/fault_soak" "$seed" 6 || failed+=("$seed")
    seed=$((seed + 1))
done
if [ ${#failed[@]} -gt 0 ]; then
    echo "seeds that failed: ${failed[*]}"
    exit 1
fi
