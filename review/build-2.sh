#!/bin/bash
# Builds the stand-ins and drivers of the second review's cases into review/build-2. To be run after the build of the
# deploy file, whose program the cases start.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build-2
compile=("${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread)
"${compile[@]}" -c world-2/world.cpp -o build-2/world.o
for source in */case-2.cpp; do
  "${compile[@]}" -Iworld-2 "$source" build-2/world.o -o "build-2/case-$(dirname "$source")"
done
