#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, into
# build-review-2/. The router is built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
g++ -std=c++20 -O1 -Wall -Wextra -o build-review-2/World \
  review/standins-2/World.cpp -lPocoJSON -lPocoFoundation -pthread
echo "built build-review-2/World"
