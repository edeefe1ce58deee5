#!/usr/bin/env bash
# Installs, configures and builds into build/: the targets that are named, or
# everything.
set -euo pipefail
cd "$(dirname "$0")/.."
bash tools/install.sh
# Lets clones in different folders share what the compiler cache holds.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake -S . -B build -G Ninja -DPARSLEYWING_STRICT=ON >build-configure.log ||
  { cat build-configure.log; exit 1; }
cmake --build build ${1:+--target "$@"}
