#!/usr/bin/env bash
# Benchmarks the first of three instances against fake engines without latency.
# Writes the result as JSON to standard output and to results/entry.json. Before
# that, measures the choice of an endpoint (results/placement.json).
set -u
cd "$(dirname "$0")/.." || exit 1
bin=.venv/bin
logs=$(mktemp -d)
mkdir -p results
pids=()

"$bin/acaciaramp" bench placement | tee results/placement.json

start() {
    local name=$1
    shift
    "$bin/acaciaramp" "$@" >"$logs/$name.log" 2>&1 &
    pids+=("$!")
}

start engine-1 fake engine --port 7201 --model conseil-lm
start engine-2 fake engine --port 7202 --model conseil-lm
start instances fake instances --port 7401
for number in 1 2 3; do
    start "entry-$number" serve --settings "examples/bench/entry-$number.jsonc"
done
instance=${pids[3]}
"$bin/python" scripts/wait_ready.py 7001 7002 7003

"$bin/acaciaramp" bench entry --direct http://127.0.0.1:7201 \
    --through http://127.0.0.1:7001 --key bench-key --pid "$instance" --requests "${REQUESTS:-1000}" \
    | tee results/entry.json
status=${PIPESTATUS[0]}

for pid in "${pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null
done
for pid in "${pids[@]}"; do
    wait "$pid" || status=1
done
[ "$status" -eq 0 ] || tail -n 20 "$logs"/*.log
rm -r "$logs"
exit "$status"
