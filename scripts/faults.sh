#!/usr/bin/env bash
# Kills, pauses and restarts instance processes while a program runs. A client
# checks that no turn is lost and no call runs twice. Takes about 40 s.
set -u
cd "$(dirname "$0")/.." || exit 1
bin=.venv/bin
work=$(mktemp -d)
declare -A pids
status=0

start() {
    local name=$1
    shift
    "$bin/acaciaramp" "$@" >>"$work/$name.log" 2>&1 &
    pids[$name]=$!
}

start_entry() {
    start "entry-$1" serve --settings "$work/entry-$1.jsonc"
}

client() {
    "$bin/python" scripts/faults_client.py "$work/program" "$@" || status=1
}

cp examples/demo/environment.jsonc "$work"
for number in 1 2 3; do
    sed "s|\"instance_list\".*|\"data_folder\": \"data-$number\",|" \
        "examples/demo/entry-$number.jsonc" >"$work/entry-$number.jsonc"
done
start engine-1 fake engine --port 7201 --model conseil-lm --step-ms 20
start engine-2 fake engine --port 7202 --model conseil-lm --step-ms 20
start atelier-1 fake service --port 7301
for number in 1 2 3; do start_entry "$number"; done
"$bin/python" scripts/wait_ready.py 7001 7002 7003
sleep 5

echo "Creating a program and sending steps through its home instance."
client create 7001
client turn 7001 1
client reserve 7001 2
echo "Killing the home instance; continuing through another instance."
kill -KILL "${pids[entry-1]}"
client turn 7002 3
client reserve 7003 2
echo "Restarting the home instance with its data; pausing the new leader."
start_entry 1
"$bin/python" scripts/wait_ready.py 7001
sleep 5
for number in 2 3; do
    if tail -n 200 "$work/entry-$number.log" |
        grep -q "Became the leader of the cell; recovering its programs. cell=entry-1"; then
        paused=$number
    fi
done
kill -STOP "${pids[entry-$paused]}"
client turn 7001 4
kill -CONT "${pids[entry-$paused]}"
client turn "700$paused" 5
echo "Killing all instances and restarting them with their data."
for number in 1 2 3; do kill -KILL "${pids[entry-$number]}"; done
for number in 1 2 3; do start_entry "$number"; done
"$bin/python" scripts/wait_ready.py 7001 7002 7003
client turn 7003 6
client check 7002

for name in "${!pids[@]}"; do kill -TERM "${pids[$name]}" 2>/dev/null; done
for name in engine-1 engine-2 atelier-1 entry-1 entry-2 entry-3; do
    wait "${pids[$name]}" || { echo "$name exited with status $?"; status=1; }
done
[ "$status" -eq 0 ] || tail -n 30 "$work"/*.log
rm -r "$work"
[ "$status" -eq 0 ] && echo "All steps completed in spite of the faults."
exit "$status"
