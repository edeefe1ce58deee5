#!/usr/bin/env bash
# Runs the randomised test of the request decisions at length.
#   tools/request-run.sh [RUNS [SEED]]
# A failure prints the seed and the steps of the run, and how to repeat it.
set -euo pipefail
cd "$(dirname "$0")/.."
Runs=${1:-5000}
Seed=${2:-$RANDOM}
echo "runs $Runs, seed $Seed"
cmake --build build --target DecisionRequestRandomTest >/dev/null
RC_PARAMS="seed=$Seed max_success=$Runs" build/DecisionRequestRandomTest
