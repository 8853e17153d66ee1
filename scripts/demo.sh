#!/usr/bin/env bash
# Starts three instances, three fake endpoints and a fake instance list on
# loopback, runs agent programs through them and shuts everything down
# gracefully. Exits 0 only if all checks of the programs passed and every
# process exited with status 0.
set -u
cd "$(dirname "$0")/.." || exit 1
bin=.venv/bin
logs=$(mktemp -d)
pids=()

start() {
    local name=$1
    shift
    "$bin/acaciaramp" "$@" >"$logs/$name.log" 2>&1 &
    pids+=("$!")
}

start engine-1 fake engine --port 7201 --model conseil-lm --step-ms 2
start engine-2 fake engine --port 7202 --model conseil-lm --step-ms 2
start atelier-1 fake service --port 7301
start instances fake instances --port 7401 \
    --instance engine-1 --instance engine-2 --instance atelier-1
for number in 1 2 3; do
    start "entry-$number" serve --settings "examples/demo/entry-$number.jsonc"
done

"$bin/python" scripts/demo_programs.py
status=$?

for pid in "${pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null
done
for pid in "${pids[@]}"; do
    wait "$pid" || { echo "a process exited with status $?"; status=1; }
done
if [ "$status" -ne 0 ]; then
    echo "Last lines of the logs:"
    tail -n 60 "$logs"/*.log
fi
rm -r "$logs"
exit "$status"
