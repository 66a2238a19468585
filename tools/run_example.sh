#!/usr/bin/env bash
# Starts the stand-ins and the three nodes of the Yayasan example, sends a mixed load of 10 s through
# two nodes, prints the figures by class and stops everything. Exits with 0 only if all is well.
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
logs=$(mktemp -d)
pids=()
result=0

# Stops what still runs; the nodes get time to end their streams.
stop_all() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
    for pid in "${pids[@]}"; do
        wait "$pid" || { echo "run: process $pid did not stop with 0" >&2; result=1; }
    done
    pids=()
}
trap 'stop_all; exit 1' INT TERM

# Waits until the HTTP path on a loopback port answers 200, at most 20 s.
wait_for() {
    local port=$1 path=$2 line
    for _ in $(seq 200); do
        if exec 3<>"/dev/tcp/127.0.0.1/$port" 2>/dev/null; then
            printf 'GET %s HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n' "$path" >&3
            read -r -t 2 line <&3
            exec 3>&- 3<&-
            [[ $line == *" 200"* ]] && return 0
        fi 2>/dev/null
        sleep 0.1
    done
    echo "run: no answer from port $port; logs in $logs" >&2
    return 1
}

"$build/standins" all --platform 18140 --engines 12 --engine-port 18150 --models posko-8b \
    --apps 3 --app-port 18170 --domains semarang wonosobo magelang \
    --vm 127.0.0.1:18120=semarang --vm 127.0.0.1:18121=wonosobo --vm 127.0.0.1:18122=magelang \
    >"$logs/standins.log" 2>&1 &
standins=$!
wait_for 18140 /counters || result=1
for i in 1 2 3; do
    "$build/hawthornslip" serve --settings "examples/yayasan/node$i.toml" >"$logs/node$i.log" 2>&1 &
    pids+=($!)
done
for port in 18100 18101 18102; do wait_for "$port" /readyz || result=1; done

if [ "$result" -eq 0 ]; then
    "$build/bench_runner" --example examples/yayasan --table | sed '$d'
    [ "${PIPESTATUS[0]}" -eq 0 ] || result=1
fi
# The nodes first, as their last streams need the stand-ins.
stop_all
pids=("$standins")
stop_all
if [ "$result" -eq 0 ]; then
    echo "all stopped gracefully"
    rm -rf "$logs"
else
    echo "run: not all is well; logs in $logs" >&2
fi
exit "$result"
