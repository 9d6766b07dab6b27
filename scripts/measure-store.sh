#!/bin/bash
# Compares the journal's log with LMDB, SQLite and RocksDB, and measures reading it at a start.
# Usage: scripts/measure-store.sh
set -euo pipefail
cd "$(dirname "$0")/.."
for package in liblmdb-dev libsqlite3-dev librocksdb-dev; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
    { apt-get update -qq && DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "$package" >/dev/null; }
done
cmake -B build-bench -G Ninja -DCMAKE_BUILD_TYPE=Release -DCEDARPLANK_SERVICE=ON -DCEDARPLANK_BENCH=ON >/dev/null
cmake --build build-bench --target cedarplank_store_bench -- --quiet
build-bench/bench/cedarplank_store_bench
