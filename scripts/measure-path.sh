#!/bin/bash
# Measures the overhead of one relay: 10,000 mixed messages over one connection through the relay to 24 endpoints,
# compared with the same messages directly to the endpoints over 24 connections. The two are measured alternately,
# so that load on the machine affects both alike.
# Usage: scripts/measure-path.sh [PROGRAM] [ROUNDS]
set -euo pipefail
cd "$(dirname "$0")/.."
program=$PWD/${1:-build/cedarplank} rounds=${2:-3}
work=$(mktemp -d)
trap 'kill $relay $standin 2>/dev/null; rm -rf "$work"' EXIT
cp examples/measure/*.yaml "$work"
cd "$work"
"$program" standin --config standin.yaml 2>standin.log & standin=$!
until grep -q '"ready"' standin.log 2>/dev/null; do sleep 0.1; done
"$program" relay --config relay.yaml 2>relay.log & relay=$!
until grep -q '"ready"' relay.log 2>/dev/null; do sleep 0.1; done
addresses=$(grep -o 'address: [0-9.:]*' partners.yaml | cut -d' ' -f2)
names=$(seq -s, -f 'd-%g' 1 24)
mix=load-status:safe:0.6:6,pay-and-order:unsafe:0.3:16,notice:keyed:0.1:12
for load in "outstanding 200 rate 0" "outstanding 0 rate 1000"; do
  set -- $load
  common=(--destinations "$names" --mix "$mix" --count 10000 --outstanding "$2" --rate "$4" --quiet)
  for ((i = 0; i < rounds; i++)); do
    echo "relay  ($load): $("$program" send --to 127.0.0.1:18190 "${common[@]}" | tail -1)"
    echo "direct ($load): $("$program" send --direct --to $addresses "${common[@]}" | tail -1)"
  done
done
