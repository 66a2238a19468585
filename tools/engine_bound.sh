#!/usr/bin/env bash
# Bounds what the engines of a service can serve: tools/engine_bound.sh < FILE
# FILE: `engines COUNT SLOTS STEP_MS CONTEXT_MS_PER_K TOKENS_PER_MS PAIR_MS_PER_M SLOWNESS`, then a line
# a kind of request: `kind NAME PER_SECOND SHARED_TOKENS OWN_TOKENS OWN_SQUARED_OVER_MEAN_SQUARED ANSWER_TOKENS`.
# Prints the engine time of a request with its shared prompt kept and without, with all slots in use,
# and the share of the requests that the engines' time allows in both cases.
set -euo pipefail
awk '
function prompt_ms(shared, own, squares, read_shared,    pairs) {
    # Attention grows with the pairs of tokens: own ones with shared ones and among each other.
    pairs = own * shared + own * own * squares / 2
    if (read_shared)
        pairs += shared * shared / 2
    return (own + (read_shared ? shared : 0)) / rate + pairs * pair / 1e6
}
$1 == "engines" { engines = $2; slots = $3; step = $4; context = $5; rate = $6; pair = $7; slow = $8 }
$1 == "kind" {
    # A step makes one token for each running request, so each pays its part of the step.
    answer = $7 * (step / slots + context * ($4 + $5) / 1000)
    kept = slow * (answer + prompt_ms($4, $5, $6, 0))
    unkept = slow * (answer + prompt_ms($4, $5, $6, 1))
    printf "%-18s %7.1f/s  %6.1f ms kept  %6.1f ms read again\n", $2, $3, kept, unkept
    needed_kept += $3 * kept / 1000
    needed_unkept += $3 * unkept / 1000
}
END {
    printf "engines needed: %.1f with shared prompts kept, %.1f without, of %.1f\n",
        needed_kept, needed_unkept, engines
    printf "share of the work that fits: %.2f kept, %.2f read again\n",
        engines < needed_kept ? engines / needed_kept : 1, engines < needed_unkept ? engines / needed_unkept : 1
}'
