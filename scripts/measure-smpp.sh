#!/bin/bash
# Compares the SMPP and HTTP/2 paths: the same messages submitted by each protocol and delivered by each protocol,
# measured alternately in one run, so that load on the machine affects all alike; with the relay's CPU time per
# message.
# Usage: scripts/measure-smpp.sh [PROGRAM] [ROUNDS] [MESSAGES]
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
"$program" relay --config smpp-relay.yaml 2>relay.log & relay=$!; pids+=($relay)
until grep -q '"ready"' relay.log 2>/dev/null; do sleep 0.1; done
of() { grep '"ready"' relay.log | grep -o "\"$1\":\"[^\"]*\"" | cut -d'"' -f4; }
http=$(of listen) smpp=$(of smpp)
mix=load-status:safe:0.6:6,pay-and-order:unsafe:0.3:16,notice:keyed:0.1:12
ticks() { awk '{print $14 + $15}' "/proc/$relay/stat"; }
run() {  # FRONT BACK LOAD_OPTION...: protocol of the clients, protocol of the endpoints
  local front=$1 back=$2 before; shift 2
  local to=(--to "$http"); [ "$front" = smpp ] && to=(--to "$smpp" --smpp load:load-pw)
  local name=h; [ "$back" = smpp ] && name=s
  before=$(ticks)
  "$program" send "${to[@]}" --destinations "$(seq -s, -f "$name-%g" 1 24)" --mix "$mix" --count "$count" --body 150 \
    --quiet "$@" >send.log || echo "send reports bad or doubled answers"
  echo "in $front, out $back: $(tail -1 send.log | sed 's/final answers //'); relay $((($(ticks) - before) * 1000000 / $(getconf CLK_TCK) / count)) us of CPU a message"
}
for front in http smpp; do for back in http smpp; do run $front $back --outstanding 200 >/dev/null; done; done
for load in "--outstanding 200 --rate 0" "--outstanding 0 --rate 1000"; do
  echo "== $load"
  for ((i = 0; i < rounds; i++)); do
    for front in http smpp; do for back in http smpp; do run $front $back $load; done; done
  done
done
