#!/bin/bash
# Runs the burst tests of tests/burst_test.cpp with more seeds than CI has time for. Needs the build that
# .ci/run makes. Usage: scripts/burst.sh [SEEDS] [BUILD FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
CEDARPLANK_BURST_SEEDS=${1:-20} "${2:-build-test-OFF}"/tests/cedarplank_burst_test --gtest_filter='*DropsAndResets'
