#!/usr/bin/env bash
# Runs scenarios over seeds with all policies one after the other, so that the figures of one
# scenario and seed come from the same minutes. Prints one JSON object a run; progress on stderr.
# SCENARIOS, SEEDS and POLICIES (space-separated) narrow the matrix.
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
scenarios=${SCENARIOS:-$(cd bench/scenarios && ls -- *.toml | sed 's/\.toml$//')}
result=0
for scenario in $scenarios; do
    for seed in ${SEEDS:-1 2 3}; do
        for policy in ${POLICIES:-hawthornslip round_robin least_in_flight}; do
            echo "matrix: $scenario seed $seed policy $policy" >&2
            "$build/bench_runner" --scenario "$scenario" --seed "$seed" --policy "$policy" \
                2>"$build/matrix.log" || { result=1; tail -n 3 "$build/matrix.log" >&2; }
        done
    done
done
exit "$result"
