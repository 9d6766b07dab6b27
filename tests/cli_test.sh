#!/bin/bash
# Tests the program from the command line, with curl as the client. Usage: cli_test.sh PROGRAM EXAMPLES
set -euo pipefail
program=$1 examples=$2
work=$(mktemp -d)
relay= standin=
trap 'kill -9 $relay $standin 2>/dev/null || true; rm -rf "$work"' EXIT
fail() { echo "FAILED: $*"; cat "$work"/*.log; exit 1; }
wait_for() { for _ in $(seq 600); do grep -q "$1" "$2" 2>/dev/null && return; sleep 0.05; done; fail "no '$1' in $2"; }

for command in "" relay standin send check drill lab "lab run" trace; do "$program" $command --help >/dev/null || fail "--help of '$command'"; done
"$program" --version | grep -q '^cedarplank [0-9]' || fail "--version"
"$program" check --config "$examples/quickstart/relay.yaml" | grep -q 'fine' || fail "the quickstart's settings"
"$program" check --schema | grep -q '"classes"' || fail "--schema"
code=0; "$program" nonsense 2>/dev/null || code=$?
((code == 2)) || fail "exit code $code for a wrong command"
sed 's/aim: 1s/aimm: 1s/' "$examples/quickstart/relay.yaml" >"$work/wrong.yaml"
code=0; "$program" relay --config "$work/wrong.yaml" 2>"$work/wrong.log" || code=$?
((code == 2)) || fail "exit code $code for wrong settings"
grep -q "wrong.yaml:[0-9]*: classes\[0\].aimm: unknown key; did you mean 'aim'?" "$work/wrong.log" || fail "no error message that names file, line and key"

# An experiment: a sweep stored as a record, shown again with charts, compared with itself; and a drawn day minimized.
"$program" lab run "$examples/lab/overload.yaml" --sweep load.rate=20/s,40/s --seeds 1,2 --policies ours,one_try --out "$work/e.json" \
  --charts "$work/charts" --quiet >"$work/lab.log" || fail "lab run"
grep -q 'load.rate=40/s *one_try' "$work/lab.log" || fail "no line for the sweep's second value in the table of lab run"
for chart in served held sweep_served sweep_p99_ms; do
  grep -q '</svg>' "$work/charts/$chart.svg" || fail "chart $chart"
done
"$program" lab show "$work/e.json" | tail -n +2 | cut -c1-80 >"$work/shown.log"
head -5 "$work/lab.log" | cut -c1-80 | diff - <(head -5 "$work/shown.log") || fail "lab show differs from lab run"
"$program" lab compare "$work/e.json" "$work/e.json" | grep -q 'beyond noise' && fail "lab compare sees a difference"
"$program" lab draw "$examples/lab/harvest.yaml" --seed 3 >"$work/drawn.yaml" || fail "lab draw"
cp "$examples/lab/relay.yaml" "$work/relay.yaml"
"$program" lab run "$work/drawn.yaml" --seeds 3 --quiet >/dev/null || fail "lab run of a drawn day"
code=0; "$program" lab shrink "$work/drawn.yaml" --seed 3 >/dev/null 2>&1 || code=$?
((code == 1)) || fail "exit code $code of lab shrink for a day that breaks no rule"
code=0; "$program" lab run "$examples/lab/overload.yaml" --seeds 5-1 2>"$work/seeds.log" || code=$?
((code == 2)) && grep -q "neither a seed nor a range" "$work/seeds.log" || fail "exit code $code or message of lab run for a wrong range of seeds"
rm "$work/relay.yaml"

cp "$examples"/measure/*.yaml "$work"
sed -i 's/127.0.0.1:18190/127.0.0.1:0/' "$work/relay.yaml"
echo 'trace: {file: stories.jsonl, sample: 1, rate: 10000/s}' >>"$work/relay.yaml"
"$program" standin --config "$work/standin.yaml" 2>"$work/standin.log" & standin=$!
wait_for '"event":"ready"' "$work/standin.log"
start() {
  : >"$work/relay.log"
  "$program" relay --config "$work/relay.yaml" 2>"$work/relay.log" & relay=$!
  wait_for '"event":"ready"' "$work/relay.log"
  address=$(grep -o '"listen":"[^"]*"' "$work/relay.log" | cut -d'"' -f4)
}
start
head -1 "$work/relay.log" | grep -q '"event":"ready"' || fail "the first log line is not the ready event"
push() { curl -s -o "$work/body.log" -w '%{http_code} %{http_version}' --http2-prior-knowledge -X POST "$@"; }
[ "$(push -H 'TTL: 5' -d hello "http://$address/push/d-1/load-status")" = "201 2" ] || fail "curl did not get 201"
[ "$(push -d hello "http://$address/push/d-1/load-status")" = "400 2" ] || fail "a push without TTL did not get 400"
grep -q '"detail":"the TTL field is missing' "$work/body.log" || fail "no problem details in the body of the 400"
"$program" send --to "$address" --destinations d-1,d-2 --count 500 --quiet >"$work/send.log" || fail "send"
grep -q 'final answers 500, doubled 0' "$work/send.log" || fail "send did not report 500 final answers without doubles"

kill -TERM $relay; code=0; wait $relay || code=$?
((code == 0)) || fail "exit code $code after a drain"
grep -q '"event":"stopped","how":"drained"' "$work/relay.log" || fail "no stopped event after a drain"
# Message traces: a single one by the message's name at the relay, and a summary of all.
"$program" trace relay-0-1 --file "$work/stories.jsonl" >"$work/story.log" || fail "trace"
grep -q 'attempt 1 to ' "$work/story.log" && grep -q 'left on connection [0-9]* stream [0-9]' "$work/story.log" || fail "the trace does not show the attempt and its connection"
"$program" trace --account --file "$work/stories.jsonl" | awk '$2 == "served" {n += $3} END {exit n != 501}' || fail "trace --account does not count 501 served messages"
code=0; "$program" trace nothing --file "$work/stories.jsonl" 2>/dev/null || code=$?
((code == 1)) || fail "exit code $code of trace where no message matches"
# A second signal stops the relay immediately, although it holds a message that no endpoint answers.
cat >"$work/standin2.yaml" <<'Y'
partners: partners.yaml
destinations: [{name: d-1, kind: plain, endpoints: [{id: mute}]}]
faults: [{at: 0s, fault: silent, on: [d-1]}]
Y
kill $standin; wait $standin || true
"$program" standin --config "$work/standin2.yaml" 2>"$work/standin.log" & standin=$!
wait_for 'fault_begins' "$work/standin.log"
start
push -H 'TTL: 16' -d x "http://$address/push/d-1/pay-and-order" >/dev/null & curl=$!
for _ in $(seq 600); do kill -0 $curl && break; sleep 0.05; done
sleep 0.3
kill -TERM $relay
wait_for '"event":"draining","held":"1"' "$work/relay.log"
kill -TERM $relay; code=0; wait $relay || code=$?
((code == 3)) || fail "exit code $code after two signals"
wait $curl || true
