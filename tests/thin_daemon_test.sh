#!/bin/sh
# Usage: thin_daemon_test.sh SOURCE: the daemon stays flags, signals and log lines around the library. What it may include,
# and how long it may get, is fixed here, so that logic can't grow in it unseen.
set -eu
cd "$1"
may='app/exit_codes.hpp app/json_log.hpp app/relay_main.hpp engine/engine_access.hpp'
for header in $(sed -n 's/^#include "\(.*\)"/\1/p' app/relay.cpp); do
  case " $may " in *" $header "*) ;; *) echo "app/relay.cpp includes $header, which is none of: $may"; exit 1 ;; esac
done
lines=$(grep -c '[^[:space:]]' app/relay.cpp)
test "$lines" -le 50 || { echo "app/relay.cpp has $lines lines; at most 50"; exit 1; }
# Nobody below the daemon knows it.
if grep -rl '"app/' src include standin rig; then echo 'these include the daemon'; exit 1; fi
