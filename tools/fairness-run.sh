#!/usr/bin/env bash
# Runs the randomized fairness test with a number of seeds and prints the seeds
# that fail.
#   tools/fairness-run.sh [COUNT [FIRST_SEED]]
set -euo pipefail
cd "$(dirname "$0")/.."
export FAIRNESS_SEEDS="${1:-50}" FAIRNESS_FIRST_SEED="${2:-1}"
build/DecisionFairnessRandomTest --timeout 3600 --filter \
  'FairnessRandom/gapAndUtilisationHoldAfterFaults'
