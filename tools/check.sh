#!/usr/bin/env bash
# Checks the format and the lint of every source file.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t Files < <(git ls-files '*.h' '*.cpp')
clang-format --dry-run --Werror "${Files[@]}"
git ls-files '*.cpp' |
  xargs -r -P "$(nproc)" -n 2 clang-tidy -p build --quiet 2>tidy.log ||
  { tail -n 50 tidy.log; exit 1; }
echo "format and lint are clean"
