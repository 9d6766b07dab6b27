#!/bin/sh
# Usage: thin_daemon_test.sh SOURCE
# Checks that the daemon only adds flags, signals and log lines to the library: its includes and its length are
# limited, so that no logic grows in it unnoticed.
set -eu
cd "$1"
allowed='app/exit_codes.hpp app/json_log.hpp app/relay_main.hpp engine/engine_access.hpp'
for header in $(sed -n 's/^#include "\(.*\)"/\1/p' app/relay.cpp); do
  case " $allowed " in *" $header "*) ;; *) echo "app/relay.cpp includes $header, which is none of: $allowed"; exit 1 ;; esac
done
lines=$(grep -c '[^[:space:]]' app/relay.cpp)
test "$lines" -le 50 || { echo "app/relay.cpp has $lines lines; at most 50"; exit 1; }
# The layers below the daemon do not depend on it.
if grep -rl '"app/' src include standin rig; then echo 'these include the daemon'; exit 1; fi
