#!/bin/bash
# Builds with warnings as errors and runs all tests, plainly and under sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
for sanitize in OFF ON; do
  dir=build-test-$sanitize
  cmake -B "$dir" -G Ninja -DCMAKE_BUILD_TYPE=Release -DCEDARPLANK_TESTS=ON -DCEDARPLANK_SERVICE=ON \
    -DCEDARPLANK_WERROR=ON -DCEDARPLANK_SANITIZE=$sanitize \
    -DCMAKE_CXX_FLAGS_RELEASE="$([ $sanitize = ON ] && echo '-O1 -g1' || echo '-O2 -DNDEBUG')" >/dev/null
  cmake --build "$dir" -j "$(nproc)" -- --quiet
  ctest --test-dir "$dir" --output-on-failure -j "$(nproc)"
done
