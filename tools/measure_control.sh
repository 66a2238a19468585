#!/usr/bin/env bash
# Measures what control costs a node: peer bytes and messages, store calls, processor time, memory.
# Usage: tools/measure_control.sh BUILD_DIR SECONDS REQUESTS_PER_SECOND_PER_NODE NODES...
# Prints one tab-separated line for each number of nodes, per node and second.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1 span=$2 rate=$3
shift 3
work=$(mktemp -d)
pids=()
trap 'for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done; wait; rm -rf "$work"' EXIT
domains=(semarang wonosobo magelang)
readonly platform_port=28140 engine_port=28200 app_port=28230
operator_hash=$(grep -o '[0-9a-f]\{64\}' examples/yayasan/node1.toml | head -1)

settings() { # number of the node
    local base=$((28300 + $1 * 3))
    sed -e "s/127.0.0.1:18100/127.0.0.1:$base/" -e "s/127.0.0.1:18110/127.0.0.1:$((base + 1))/" \
        -e "s/127.0.0.1:18120/127.0.0.1:$((base + 2))/" -e "s/:18140/:$platform_port/g" \
        -e "s/^domain = .*/domain = \"${domains[$(($1 % 3))]}\"/" \
        -e "s#^initial_config_file = .*#initial_config_file = \"$work/shared.json\"#" \
        -e "s/^seeds = .*/seeds = [\"127.0.0.1:28302\", \"127.0.0.1:28305\"]/" \
        examples/yayasan/node1.toml
}
metric() { # port, name, label text
    curl -s "http://127.0.0.1:$1/metrics" | awk -v n="$2" -v l="$3" \
        'index($1, n "{") == 1 && index($1, l) { s += $2 } END { printf "%.0f", s }'
}
cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
totals() { # name of the total
    local it sum=0
    for ((it = 0; it < nodes; ++it)); do
        case $1 in
        cpu) sum=$((sum + $(cpu_ticks "${pids[it + 1]}"))) ;;
        rss) sum=$((sum + $(awk '/VmRSS/ { print $2 }' "/proc/${pids[it + 1]}/status"))) ;;
        bytes) sum=$((sum + $(metric $((28300 + it * 3)) hawthornslip_peer_bytes_total 'direction="out"'))) ;;
        messages) sum=$((sum + $(metric $((28300 + it * 3)) hawthornslip_peer_messages_total 'direction="out"'))) ;;
        store) sum=$((sum + $(metric $((28300 + it * 3)) hawthornslip_store_calls_total ''))) ;;
        requests) sum=$((sum + $(metric $((28300 + it * 3)) hawthornslip_requests_total ''))) ;;
        esac
    done
    echo "$sum"
}

sed -e "s/:1815\([0-9]\)/:2820\1/; s/:1816\([0-9]\)/:2821\1/; s/:1817\([0-9]\)/:2823\1/" \
    examples/yayasan/shared.json >"$work/shared.json"
printf 'nodes\trequests/s\tpeer bytes/s\tpeer messages/s\tstore calls/s\tcores\tMB\n'
for nodes in "$@"; do
    pids=()
    vms=()
    for ((it = 0; it < nodes; ++it)); do
        vms+=(--vm "127.0.0.1:$((28302 + it * 3))=${domains[$((it % 3))]}")
    done
    "$build/standins" all --platform $platform_port --engines 12 --engine-port $engine_port \
        --models posko-8b --apps 3 --app-port $app_port --domains "${domains[@]}" "${vms[@]}" \
        >"$work/standins.log" 2>&1 &
    pids+=($!)
    sleep 0.5
    for ((it = 0; it < nodes; ++it)); do
        settings "$it" >"$work/node$it.toml"
        "$build/hawthornslip" serve --settings "$work/node$it.toml" >"$work/node$it.log" 2>&1 &
        pids+=($!)
    done
    for ((it = 0; it < nodes; ++it)); do
        until curl -sf "http://127.0.0.1:$((28300 + it * 3))/readyz" >/dev/null; do sleep 0.1; done
    done
    sleep 5
    load=""
    if [ "$rate" != 0 ]; then
        {
            printf '{"nodes":['
            for ((it = 0; it < nodes; ++it)); do
                [ "$it" = 0 ] || printf ','
                printf '"http://127.0.0.1:%d"' $((28300 + it * 3))
            done
            printf '],"duration_ms":%d,"seed":1,' $(((span + 6) * 1000))
            printf '"workspaces":[{"id":"gudang-semarang","key":"yayasan-test-gudang-semarang","share":1}],'
            printf '"classes":[{"profile":"intake-assistant","tier":1,"model":"posko-8b",'
            printf '"requests_per_second":%s,"mean_tokens":40,"sigma_tokens":0.5}]}' \
                "$(awk -v a="$rate" -v b="$nodes" 'BEGIN { print a * b }')"
        } >"$work/load.json"
        "$build/hawthornslip" load "$work/load.json" >"$work/load.txt" 2>&1 &
        load=$!
        sleep 3
    fi
    declare -A before
    for it in cpu bytes messages store requests; do before[$it]=$(totals $it); done
    started=$(date +%s%N)
    sleep "$span"
    declare -A after
    for it in cpu bytes messages store requests rss; do after[$it]=$(totals $it); done
    ended=$(date +%s%N)
    awk -v n="$nodes" -v t="$((ended - started))" -v hz="$(getconf CLK_TCK)" \
        -v c="$((after[cpu] - before[cpu]))" -v b="$((after[bytes] - before[bytes]))" \
        -v m="$((after[messages] - before[messages]))" -v s="$((after[store] - before[store]))" \
        -v r="$((after[requests] - before[requests]))" -v rss="${after[rss]}" 'BEGIN {
            d = n * t / 1e9
            printf "%d\t%.2f\t%.0f\t%.1f\t%.3f\t%.4f\t%.1f\n", n, r / d, b / d, m / d, s / d, c / hz / d, rss / n / 1024 }'
    [ -z "$load" ] || { wait "$load" || true; tail -3 "$work/load.txt" >&2; }
    for pid in "${pids[@]}"; do kill -TERM "$pid"; done
    wait "${pids[@]}" || true
    pids=()
done
