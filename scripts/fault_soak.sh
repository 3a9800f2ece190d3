#!/usr/bin/env bash
# Runs the fault soak with one seed after the other, from SEED on, for some
# minutes; prints the seeds that broke a promise and fails when there are any.
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
