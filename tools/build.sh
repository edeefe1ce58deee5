#!/usr/bin/env bash
# Installs the dependencies, configures, and builds the named targets, or
# everything, into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
bash tools/install.sh
# Lets clones in different folders share the compiler cache.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake -S . -B build -G Ninja -DPARSLEYWING_STRICT=ON >build-configure.log ||
  { cat build-configure.log; exit 1; }
cmake --build build ${1:+--target "$@"}
