#!/bin/bash
# Builds the fuzz targets with clang and runs each for a limited time. Usage: scripts/fuzz.sh [SECONDS EACH]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-60}
for package in clang libclang-rt-14-dev; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
    { apt-get update -qq && DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "$package" >/dev/null; }
done
CC=clang CXX=clang++ cmake -B build-fuzz -G Ninja -DCMAKE_BUILD_TYPE=Release -DCMAKE_CXX_FLAGS_RELEASE="-O1 -g1" \
  -DCMAKE_CXX_FLAGS="-fsanitize=fuzzer-no-link -fsanitize-ignorelist=$PWD/fuzz/ignore.txt" -DCEDARPLANK_SERVICE=ON -DCEDARPLANK_FUZZ=ON -DCEDARPLANK_SANITIZE=ON >/dev/null
cmake --build build-fuzz --target fuzz_hpack fuzz_http1 fuzz_http2 fuzz_settings fuzz_story fuzz_smpp fuzz_journal
for target in hpack http1 http2 settings story smpp journal; do
  corpus=build-fuzz/corpus-$target
  mkdir -p "$corpus"
  [ "$target" = settings ] && cp examples/quickstart/*.yaml examples/bad-day-relay.yaml "$corpus"
  [ "$target" = story ] && echo '{"message":"m-1","verdict":"late","wall":1700000000000000,"took":5,"aim":1,"deadline":9,"steps":[{"at":0,"what":"taken"},{"at":1,"what":"send","attempt":0,"endpoint":"e","why":"first attempt"},{"at":2,"what":"carried","attempt":0,"connection":3,"stream":5},{"at":4,"what":"ended","attempt":0,"span":3}]}' >"$corpus/story"
  build-fuzz/fuzz/fuzz_$target -max_total_time="$seconds" -timeout=10 -rss_limit_mb=2048 -print_final_stats=1 -artifact_prefix=build-fuzz/ "$corpus" 2>&1 |
    grep -E "SUMMARY|ERROR|stat::number_of_executed|cov:.*DONE|DONE" || true
  if ls build-fuzz/crash-* build-fuzz/oom-* build-fuzz/timeout-* >/dev/null 2>&1; then echo "findings"; exit 1; fi
done
