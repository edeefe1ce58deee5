#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. Needs what the build of
# the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
cd review/standin
Common="Http.cpp Store.cpp Fleet.cpp"
build() {
  local Name=$1
  shift
  # shellcheck disable=SC2086
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I. $Common "$@" \
    -lPocoJSON -lPocoFoundation -o "../../target/review/$Name"
}
build descriptor-case EngineFarm.cpp CallerFarm.cpp DescriptorCase.cpp
build stale-list-case PlainRunner.cpp PlainCallers.cpp StaleListCase.cpp
build crashing-part-case EngineFarm.cpp CrashingPartCase.cpp
build forgotten-removal-case PlainRunner.cpp PlainCallers.cpp ForgottenRemovalCase.cpp
