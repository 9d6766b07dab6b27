#!/bin/bash
# Measures relays under a steady load. For each rate: the latency of messages, the part of it that the relays added
# (from the message traces that they write), and the CPU time of the relays in per cent of one core.
# Usage: scripts/measure-load.sh [PROGRAM] [RELAYS] [SECONDS] [RATE...]
# Environment: CONNECTIONS=N client connections to each relay (default 2); NO_STORIES=1 writes no message traces;
# KEEP=FOLDER works in that folder and keeps its files.
# There are 24 endpoints, each with 64 concurrent calls of 1 ms. Load generator, relays and stand-ins all run on
# this machine.
set -euo pipefail
cd "$(dirname "$0")/.."
program=$PWD/${1:-build/cedarplank} relays=${2:-1} seconds=${3:-60}
shift $(($# < 3 ? $# : 3))
rates=("$@"); ((${#rates[@]} > 0)) || rates=(520)
work=${KEEP:-$(mktemp -d)}; mkdir -p "$work"
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait; [ -n "${KEEP:-}" ] || rm -rf "$work"' EXIT
cp examples/measure/*.yaml "$work"
cd "$work"
"$program" standin --config standin.yaml 2>standin.log & pids+=($!)
until grep -q '"ready"' standin.log 2>/dev/null; do sleep 0.1; done
addresses=() relay_pids=()
for ((r = 0; r < relays; r++)); do
  sed "s/name: relay-0, listen: \"127.0.0.1:18190\"/name: relay-$r, listen: \"127.0.0.1:0\"/; s/seed: 1}/seed: 1, connections_max: 20000}/; s/tick: 1ms/tick: 1ms, relays: $relays, rank: $r/" \
    relay.yaml >"relay-$r.yaml"
  if [ -z "${NO_STORIES:-}" ]; then echo "trace: {file: stories-$r.jsonl, sample: 10, rate: 2000/s, memory: 64MiB}" >>"relay-$r.yaml"; fi
  "$program" relay --config "relay-$r.yaml" 2>"relay-$r.log" & pids+=($!); relay_pids+=($!)
  until grep -q '"ready"' "relay-$r.log" 2>/dev/null; do sleep 0.1; done
  addresses+=("$(grep -o '"listen":"[^"]*"' "relay-$r.log" | cut -d'"' -f4)")
done
names=$(seq -s, -f 'd-%g' 1 24)
mix=load-status:safe:0.6:6,pay-and-order:unsafe:0.3:16,notice:keyed:0.1:12
ticks() { awk '{t += $14 + $15} END {print t}' $(printf '/proc/%s/stat ' "${relay_pids[@]}"); }
"$program" send --to "${addresses[@]}" --destinations "$names" --mix "$mix" --count 2000 --rate 500 --quiet >/dev/null
for rate in "${rates[@]}"; do
  sleep 2; for f in stories-*.jsonl; do [ -e "$f" ] && wc -l <"$f" >"$f.seen"; done
  before=$(ticks) begun=$(date +%s%N)
  "$program" send --to "${addresses[@]}" --destinations "$names" --mix "$mix" --count $((rate * seconds)) --rate "$rate" \
    --outstanding 0 --connections "${CONNECTIONS:-2}" --quiet >send.log || echo "send reports bad or doubled answers"
  after=$(ticks) took=$((($(date +%s%N) - begun) / 10000000))
  echo "== $relays relays, $rate messages a second for $seconds s: CPU $(((after - before) * 10000 / $(getconf CLK_TCK) / took))% of a core, all relays together"
  cat send.log
  [ -n "${NO_STORIES:-}" ] && continue
  sleep 2
  for f in stories-*.jsonl; do tail -n +$(($(cat "$f.seen") + 1)) "$f"; done >window.jsonl
  "$program" trace --account --file window.jsonl
done
