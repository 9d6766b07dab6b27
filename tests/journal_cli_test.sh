#!/bin/bash
# `cedarplank journal` on a journal left by real kills: intact, damaged, repaired, of a later version, in use.
# Usage: journal_cli_test.sh PROGRAM
set -euo pipefail
program=$1
work=$(mktemp -d)
relay=
trap '[ -z "$relay" ] || kill "$relay" 2>/dev/null || true; wait; rm -rf "$work"' EXIT
fail() { echo "FAILED: $*"; exit 1; }
expect() {  # code words command...
  local code=$1 words=$2 got=0; shift 2
  "$@" >"$work/out" 2>&1 || got=$?
  [ "$got" = "$code" ] || { cat "$work/out"; fail "exit code $got, not $code: $*"; }
  grep -q -- "$words" "$work/out" || { cat "$work/out"; fail "no '$words' from: $*"; }
}
"$program" kills --kills 5 --seed 4 --keep "$work" >/dev/null
journal=$work/journal
expect 0 '^whole$' "$program" journal verify "$journal"
expect 0 'answers kept' "$program" journal inspect "$journal"
expect 0 '"record":"answered"' "$program" journal export "$journal"
message=$(grep -m1 '"record":"answered"' "$work/out" | grep -o '"id":[0-9]*' | cut -d: -f2)
expect 0 "\"id\":$message" "$program" journal export --message "$message" "$journal"
[ "$(grep -vc "\"id\":$message[,}]" "$work/out")" = 0 ] || fail "--message prints records of other messages"
expect 0 'nothing to mend' "$program" journal repair "$journal"
expect 2 'journal:' "$program" journal verify "$work/none"
[ ! -e "$work/none" ] || fail "journal verify created a missing folder"

# A second process is rejected with the reason.
"$program" relay --config "$work/relay.yaml" 2>"$work/relay.log" & relay=$!
until grep -q '"ready"' "$work/relay.log"; do sleep 0.05; done
expect 2 'stop the relay first' "$program" journal verify "$journal"
expect 2 'another process has it' "$program" relay --config "$work/relay.yaml"
kill $relay; wait $relay || true; relay=

# A damaged byte in the middle of durable records.
first=$(ls "$journal"/log-* | head -1)
cp -r "$journal" "$work/kept"
printf '\x55' | dd of="$first" bs=1 seek=300 conv=notrunc status=none
expect 1 'corrupt' "$program" journal verify "$journal"
expect 2 'journal verify' "$program" relay --config "$work/relay.yaml"
expect 0 'nothing was changed' "$program" journal repair "$journal"
expect 0 'mended' "$program" journal repair --apply "$journal"
expect 0 '^whole$' "$program" journal verify "$journal"
expect 0 'damaged' ls "$work"
"$program" relay --config "$work/relay.yaml" 2>"$work/relay.log" & relay=$!
until grep -q '"ready"' "$work/relay.log"; do sleep 0.05; done
kill $relay; wait $relay || true; relay=

# A journal of a later version is not touched.
rm -r "$journal" && mv "$work/kept" "$journal"
printf '\x09' | dd of="$first" bs=1 seek=16 conv=notrunc status=none
expect 1 'of version 9' "$program" journal verify "$journal"
expect 2 'of version 9' "$program" relay --config "$work/relay.yaml"
echo passed
