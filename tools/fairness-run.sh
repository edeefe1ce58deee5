#!/usr/bin/env bash
# Runs the randomised fairness test with as many seeds as wanted and prints
# those that fail. Usage: tools/fairness-run.sh [count] [first seed]
set -euo pipefail
cd "$(dirname "$0")/.."
export FAIRNESS_SEEDS="${1:-50}" FAIRNESS_FIRST_SEED="${2:-1}"
build/DecisionFairnessRandomTest --timeout 3600 --filter \
  'FairnessRandom/gapAndUtilisationHoldAfterFaults'
