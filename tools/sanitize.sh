#!/usr/bin/env bash
# Builds and runs tests with the compiler's sanitizers, in a build folder of its
# own. Not part of the checks of each change: it compiles all libraries anew.
#   tools/sanitize.sh [address|thread] [test folders...]
# address (the default) also looks for undefined behaviour. Folders are those of
# test/; by default Decision Caller Backend Peer Platform, and for thread Caller
# Peer Platform Control. Exits with 1 where a test or a sanitizer failed; the
# reports stand in build-KIND/sanitizer-report.PID.
# JOBS (3) bounds the compilers at once, LIMIT (600 s) the tests' time.
set -euo pipefail
cd "$(dirname "$0")/.."

Kind="${1:-address}"
shift || true
Folders=("$@")
case "$Kind" in
address)
  Flags="-fsanitize=address,undefined -fno-sanitize-recover=undefined"
  [ ${#Folders[@]} -gt 0 ] || Folders=(Decision Caller Backend Peer Platform)
  ;;
thread)
  Flags="-fsanitize=thread"
  [ ${#Folders[@]} -gt 0 ] || Folders=(Caller Peer Platform Control)
  ;;
*)
  echo "sanitize.sh: '$Kind' is neither address nor thread" >&2
  exit 2
  ;;
esac

Build="build-$Kind"
# No optimisation and few symbols: most of the time goes into compiling.
cmake -S . -B "$Build" -G Ninja -DCMAKE_BUILD_TYPE=Debug \
  -DCMAKE_CXX_FLAGS_DEBUG="-O0 -g1" \
  -DCMAKE_CXX_FLAGS="$Flags" >/dev/null

Targets=()
for Folder in "${Folders[@]}"; do
  for Topic in test/"$Folder"/*Test.cpp; do
    Targets+=("$Folder$(basename "$Topic" .cpp)")
  done
done
ninja -C "$Build" -j "${JOBS:-3}" "${Targets[@]}"

# Criterion runs each test in a process of its own, so a report ends only its
# own test; the log files keep what the test's output does not show. Each test
# process leaves what it never frees to its end, so leaks are not looked for.
Report="$PWD/$Build/sanitizer-report"
rm -f "$Report".*
export ASAN_OPTIONS="log_path=$Report:detect_leaks=0"
export UBSAN_OPTIONS="log_path=$Report:print_stacktrace=1"
export TSAN_OPTIONS="log_path=$Report:second_deadlock_stack=1"
Pattern="^($(IFS='|'; echo "${Folders[*]}"))\\."
Failed=0
timeout "${LIMIT:-600}" ctest --test-dir "$Build" -R "$Pattern" -j 2 \
  --output-on-failure || Failed=1
for File in "$Report".*; do
  [ -e "$File" ] || continue
  Failed=1
  echo "== $File"
  head -60 "$File"
done
exit "$Failed"
