#!/bin/bash
# Usage: drill_test.sh PROGRAM SCENARIO [FAULTY RULE]: runs the scenario with the relay of PROGRAM, where all rules
# must hold, or with the relay FAULTY, whose injected fault must break RULE.
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
