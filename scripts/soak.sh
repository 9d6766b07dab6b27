#!/bin/bash
# Runs a scenario repeatedly with new seeds for a limited time; stops at the first run that fails or breaks a rule.
# Usage: scripts/soak.sh [MINUTES] [SCENARIO] [FIRST SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
minutes=${1:-30} scenario=${2:-examples/bad-day.yaml} seed=${3:-100}
end=$((SECONDS + minutes * 60))
while ((SECONDS < end)); do
  echo "seed $seed"
  build/cedarplank drill "$scenario" --seed "$seed" --quiet --keep "build/soak-$seed" || { echo "kept in build/soak-$seed"; exit 1; }
  rm -rf "build/soak-$seed"
  seed=$((seed + 1))
done
