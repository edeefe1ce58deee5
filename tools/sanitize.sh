#!/usr/bin/env bash
# Builds and runs tests with the compiler's sanitizers, in a separate build
# folder. Not part of the checks of each change, since it compiles all libraries
# from scratch.
#   tools/sanitize.sh [address|thread] [test folders...]
# address (the default) also detects undefined behaviour. The folders are those
# of test/; the default is Decision Caller Backend Peer Platform, and for thread
# Caller Peer Platform Control. Exits with 1 if a test or a sanitizer fails; the
# reports are in build-KIND/sanitizer-report.PID. JOBS (3) limits the number of
# concurrent compilers, LIMIT (600 s) the time of the tests.
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
# No optimization and few debug symbols: most of the time is spent compiling.
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

# Criterion runs each test in its own process, so a report ends only that test;
# the log files keep reports that are missing from the test's output. Test
# processes do not free everything before they exit, so leak detection is off.
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
