#!/bin/bash
# Installs the required packages and builds the program as build/cedarplank.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
cmake -B build -G Ninja -DCMAKE_BUILD_TYPE=Release -DCEDARPLANK_SERVICE=ON >/dev/null
cmake --build build -j "$(nproc)"
