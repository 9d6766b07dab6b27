#!/bin/bash
# Usage: drill_test.sh PROGRAM SCENARIO [FAULTY RULE]: a clean day, or one in which a planted fault breaks RULE.
set -u
out=$(mktemp)
trap 'rm -f "$out"' EXIT
if (($# == 2)); then
  "$1" drill "$2" --quiet >"$out"
  code=$?
  cat "$out"
  exit $code
fi
CEDARPLANK_FAULT=$4 "$1" drill "$2" --quiet --relay-program "$3" >"$out"
code=$?
cat "$out"
((code == 4)) || { echo "exit code $code, not 4"; exit 1; }
broken=$(awk -v rule="$4" '$1 == rule {print $NF}' "$out")
((broken > 0)) || { echo "the fault did not show in rule $4"; exit 1; }
