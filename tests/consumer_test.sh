#!/bin/sh
# Installs the build, then builds and runs a consumer project against it.
# Usage: consumer_test.sh BUILD SOURCE WORK [FLAGS]
set -e
rm -rf "$3"
cmake --install "$1" --prefix "$3/prefix" >/dev/null
cmake -S "$2" -B "$3/build" -DCMAKE_PREFIX_PATH="$3/prefix" -DCMAKE_CXX_FLAGS="$4" \
  -DHOST_C="$(realpath "$2/../../examples/hosts/host.c")" >/dev/null
cmake --build "$3/build" >/dev/null
"$3/build/consumer"
test ! -x "$3/build/c_host" || { "$3/build/c_host" /nowhere d c 1 2>&1 || true; } | grep -q 'cannot be opened'
# The same C host, compiled with the flags from pkg-config.
pc=$(find "$3/prefix" -name cedarplank-delivery.pc)
test -z "$pc" && exit 0
PKG_CONFIG_PATH=$(dirname "$pc"); export PKG_CONFIG_PATH
host=$(realpath "$2/../../examples/hosts/host.c")
# shellcheck disable=SC2046,SC2086
cc $4 -o "$3/pc_host" "$host" $(pkg-config --cflags --libs cedarplank-delivery)
{ "$3/pc_host" /nowhere d c 1 2>&1 || true; } | grep -q 'cannot be opened'
