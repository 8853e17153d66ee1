#!/usr/bin/env bash
# Runs the tests in parallel parts, then those that measure the memory of processes,
# which run apart from other load; the last line of the output has the totals.
set -u
cd "$(dirname "$0")/.."
PYTHON=${PYTHON:-.venv/bin/python}
PARTS="unit 0/4 1/4 2/4 3/4"
LAST_PART=memory
OUT=$(mktemp -d)
trap 'rm -rf "$OUT"' EXIT

files=()
pids=()
for part in $PARTS; do
    name=$OUT/part-${part//\//-of-}
    files+=("$name.json")
    "$PYTHON" scripts/run_tests.py "$part" "$name.json" >"$name.log" 2>&1 &
    pids+=($!)
done
wait "${pids[@]}"
files+=("$OUT/part-$LAST_PART.json")
"$PYTHON" scripts/run_tests.py "$LAST_PART" "$OUT/part-$LAST_PART.json" \
    >"$OUT/part-$LAST_PART.log" 2>&1
cat "$OUT"/*.log
"$PYTHON" scripts/run_tests.py report "${files[@]}"
