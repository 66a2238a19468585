#!/usr/bin/env bash
# Breaks each promise on purpose in a copy of the sources and tells whether the soak catches it:
# tools/soak_mutations.sh BUILD [SEEDS [JOBS]]. BUILD holds the soak; needs perl.
# Prints a line a break; exit 1 when one was not caught.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "$1") seeds=${2:-24} jobs=${3:-6}
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
mkdir "$copy/build"
[ ! -d build/prometheus ] || cp -r build/prometheus "$copy/build/"
missed=0

# Name of the promise, file, expression that breaks it, words of the report that catches it.
try() {
    local name=$1 file=$2 expression=$3 words=$4
    tar -cf - --exclude=./build --exclude=./target --exclude=./journal --exclude=./.git . |
        tar -C "$copy" -xf - --skip-old-files
    cp "$file" "$copy/$file"
    perl -0pi -e "$expression" "$copy/$file"
    if cmp -s "$file" "$copy/$file"; then
        echo "$name: the expression changes nothing in $file"
        missed=1
        return
    fi
    cmake -S "$copy" -B "$copy/build/gw" -G Ninja -DHAWTHORNSLIP_GATEWAY_ONLY=ON >/dev/null
    if ! cmake --build "$copy/build/gw" --target hawthornslip -j "$jobs" >/dev/null 2>&1; then
        echo "$name: the break does not compile"
        cp "$file" "$copy/$file"
        missed=1
        return
    fi
    mkdir -p "$copy/mutant"
    cp "$build/soak" "$copy/build/gw/hawthornslip" "$copy/mutant/"
    local found
    found=$(tools/soak.sh "$copy/mutant" 1 "$seeds" "$jobs" --length 8 2>/dev/null | grep -c "$words" || true)
    cp "$file" "$copy/$file"
    echo "$name: $found reports"
    [ "$found" -gt 0 ] || missed=1
}

try "an order runs once" servers/gateway/exchange.cpp \
    's/const bool mayRetry =.*?;/const bool mayRetry = true;/s' 'order .* ran'
try "a refusal did not run" servers/gateway/exchange.cpp \
    's/if \(impliesNotRun\(status\) && execution.*?;/if (execution != Execution::NotRun)\n status = 503;/s' \
    'was refused with 503 and ran'
try "a promise needs its proof" modules/retry/answer_evidence.cpp \
    's/return isNotRun\(\) \|\| !impliesNotRun\(m_status\);/return true;/' 'was refused with .* and ran'
try "an answer belongs to its request" drivers/asio/upstream_connection.cpp \
    's/return tag != nullptr && \*tag != m_request.tag;/return tag == nullptr \&\& m_headDelivered;/' 'got the answer'
try "a stream has no gap and no repetition" servers/gateway/answer_relay.cpp \
    's/if \(event.id && m_lastEventId && .event.id <= .m_lastEventId\)/if (false)/;' 'goes on after event'
try "an incomplete stream does not look whole" servers/gateway/exchange.cpp \
    's/end.result == UpstreamResult::Complete\)\n        onCompleteAnswer/end.result != UpstreamResult::ConnectFailed)\n        onCompleteAnswer/' \
    'ended as whole'
try "a drained upstream gets nothing" modules/upstreams/upstream_directory.cpp \
    's/entry.draining \|\| record.unusable/record.unusable/' 'after it drained'
try "an upstream that says it leaves gets nothing" servers/gateway/gateway.cpp \
    's/if \(answer.isLeaving\(\) && /if (false && /' 'had heard it leaves'
try "a cut watch is no outage" modules/upstreams/upstream_directory.cpp \
    's/if \(away >= [^\n]*\n/if (away >= Duration(0))\n/' 'after it drained'
try "a revoked key is not served" modules/freshness/config_cache.cpp \
    's/m_trust.revokeWithin - kWatchLag/m_trust.revokeWithin + 20 * kWatchLag/' 'key was revoked'
try "an empty list of workspaces opens nothing" modules/routing/route_table.h \
    's/return m_config.workspaces.has_value\(\);/return m_config.workspaces \&\& !m_config.workspaces->empty();/' \
    'key was revoked'
try "a change takes effect" modules/freshness/config_cache.cpp \
    's/if \(m_table && config.version <= [^\n]*\n/if (m_table)\n/' 'after the move'
try "a request that is read gets an answer" drivers/asio/server_connection.cpp \
    's/if \(m_stage == Stage::Closing && closesIdle\(\)\)/if (false)/' 'neither an answer nor a reset'
try "repeats stay in their budget" servers/gateway/exchange.cpp \
    's/if \(m_sentAttempts > 0 && !m_service->retryBudget.tryTake\(now\)\)/if (false)/' 'repeats in a window'
try "a stop cuts nothing off" main/gateway_process.cpp \
    's/if \(since < kDeregistrationDelay\)\n        return;/if (since > kDeregistrationDelay \/ 100)\n m_loop.stop();/' 'was cut off'
exit "$missed"
