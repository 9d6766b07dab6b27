#!/bin/bash
# Runs the driver of one case: run-case.sh FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves out the disruption.
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
cd "$root" || exit 2
driver="$root/review/build-2/case-$(basename "$folder")"
# The command `run` of the deploy file.
CASE_RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
if [ ! -x "$driver" ] || [ ! -x build/cedarplank ] || [ -z "$CASE_RUN" ]; then
  echo "build by the deploy file and by review/build-2.sh first" >&2
  exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
trap 'rm -rf "$CASE_TMP"' EXIT
export CASE_RUN CASE_TMP CASE_RECORD="$folder/record.txt"
timeout -k 1 118 "$driver"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
