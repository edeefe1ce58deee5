#!/usr/bin/env bash
# Runs the randomized test of the request decisions with many cases.
#   tools/request-run.sh [RUNS [SEED]]
# A failure prints the seed, the steps of the run, and how to reproduce it.
set -euo pipefail
cd "$(dirname "$0")/.."
Runs=${1:-5000}
Seed=${2:-$RANDOM}
echo "runs $Runs, seed $Seed"
cmake --build build --target DecisionRequestRandomTest >/dev/null
RC_PARAMS="seed=$Seed max_success=$Runs" build/DecisionRequestRandomTest
