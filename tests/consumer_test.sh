#!/bin/sh
# Usage: consumer_test.sh BUILD SOURCE WORK [FLAGS]: installs the build, then builds and runs the consumer.
set -e
rm -rf "$3"
cmake --install "$1" --prefix "$3/prefix" >/dev/null
cmake -S "$2" -B "$3/build" -DCMAKE_PREFIX_PATH="$3/prefix" -DCMAKE_CXX_FLAGS="$4" \
  -DHOST_C="$(realpath "$2/../../examples/hosts/host.c")" >/dev/null
cmake --build "$3/build" >/dev/null
"$3/build/consumer"
test ! -x "$3/build/c_host" || { "$3/build/c_host" /nowhere d c 1 2>&1 || true; } | grep -q 'cannot be opened'
