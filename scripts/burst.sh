#!/bin/bash
# The bursts of tests/burst_test.cpp on more seeds than CI has time for.
# After bash .ci/run. Usage: scripts/burst.sh [SEEDS] [BUILD FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
CEDARPLANK_BURST_SEEDS=${1:-20} "${2:-build-test-OFF}"/tests/cedarplank_burst_test --gtest_filter='*DropsAndResets'
