#!/bin/bash
# Usage: hosts_test.sh PROGRAM EXAMPLES HOSTS
# Runs the example host programs against stand-in endpoints.
set -euo pipefail
work=$(mktemp -d)
trap 'kill $standin 2>/dev/null || true; rm -rf "$work"' EXIT
cp "$2"/measure/*.yaml "$work"
sed -i 's/127.0.0.1:18190/127.0.0.1:0/' "$work/relay.yaml"
"$1" standin --config "$work/standin.yaml" 2>"$work/standin.log" & standin=$!
for _ in $(seq 600); do grep -q '"event":"ready"' "$work/standin.log" && break; sleep 0.05; done
for host in "c d-1 load-status 500" "c d-2 notice 200" "batch d-3 pay-and-order 5000" "own_loop d-4 load-status 500"; do
  set -- "$1" "$2" "$3" $host
  "$3/cedarplank_host_$4" "$work/relay.yaml" "$5" "$6" "$7" || { echo "host $host failed"; exit 1; }
done
"$3/cedarplank_host_c" /nowhere.yaml d-1 load-status 1 2>"$work/error" && exit 1
grep -q '/nowhere.yaml: cannot be opened' "$work/error"
