#!/bin/bash
# Measures the cost of the journal on the whole path of a message: one relay for each sync policy and one without
# a journal, measured alternately in one run, so that load on the machine affects all of them alike.
# Usage: scripts/measure-journal.sh [PROGRAM] [ROUNDS] [MESSAGES]
set -euo pipefail
cd "$(dirname "$0")/.."
program=$PWD/${1:-build/cedarplank} rounds=${2:-3} count=${3:-20000}
work=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait; rm -rf "$work"' EXIT
cp examples/measure/*.yaml "$work"
cd "$work"
"$program" standin --config smpp-standin.yaml 2>standin.log & pids+=($!)
until grep -q '"ready"' standin.log 2>/dev/null; do sleep 0.1; done
policies=(without none batched each)
declare -A at relay
for p in "${policies[@]}"; do
  sed '/^smpp:/,/^[a-z]*:/{/^smpp:/d;/^ /d}' smpp-relay.yaml >"relay-$p.yaml"
  sed -i 's/listen: "[^"]*"/listen: "127.0.0.1:0"/' "relay-$p.yaml"
  [ "$p" = without ] || echo "journal: {folder: journal-$p, sync: $p}" >>"relay-$p.yaml"
  "$program" relay --config "relay-$p.yaml" 2>"relay-$p.log" & relay[$p]=$!; pids+=($!)
  until grep -q '"ready"' "relay-$p.log" 2>/dev/null; do sleep 0.1; done
  at[$p]=$(grep '"ready"' "relay-$p.log" | grep -o '"listen":"[^"]*"' | cut -d'"' -f4)
done
mix=load-status:safe:0.6:6,pay-and-order:unsafe:0.3:16,notice:keyed:0.1:12
ticks() { awk '{print $14 + $15}' "/proc/${relay[$1]}/stat"; }
run() {  # POLICY LOAD_OPTION...
  local p=$1 before; shift
  before=$(ticks "$p")
  "$program" send --to "${at[$p]}" --destinations "$(seq -s, -f "h-%g" 1 24)" --mix "$mix" --count "$count" \
    --body 150 --quiet "$@" >send.log || echo "send reports bad or doubled answers"
  echo "$p: $(tail -1 send.log | sed 's/final answers //'); relay $((($(ticks "$p") - before) * 1000000 / $(getconf CLK_TCK) / count)) us of CPU a message"
}
for p in "${policies[@]}"; do run "$p" --outstanding 200 >/dev/null; done
for load in "--outstanding 200 --rate 0" "--outstanding 2000 --rate 0" "--outstanding 0 --rate 1000"; do
  echo "== $load"
  for ((i = 0; i < rounds; i++)); do
    for p in "${policies[@]}"; do run "$p" $load; done
  done
done
for p in "${policies[@]}"; do
  kill "${relay[$p]}"; wait "${relay[$p]}" || true
  [ "$p" = without ] && continue
  bytes=$(grep -o 'written: [0-9]* bytes in [0-9]* commits' "relay-$p.log")
  echo "$p: $bytes for $((count * (1 + 3 * rounds))) messages"
done
