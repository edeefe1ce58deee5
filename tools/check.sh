#!/usr/bin/env bash
# Checks the links of the pages, and the format and lint of all source files
# that are tracked by git. Prints all findings; exits with 1 if there is any.
#   tools/check.sh                 everything
#   tools/check.sh --since REV     lints only what changed since REV's merge base
#
# A file that was clean is not linted again while it, the repository's files
# that it includes, the configuration and the linter are unchanged; build/tidy
# contains an empty file for each such state, and is empty on a new machine.
set -euo pipefail
cd "$(dirname "$0")/.."

Result=0
bash tools/links.sh || Result=1

mapfile -t All < <(git ls-files '*.h' '*.cpp')
clang-format --dry-run --Werror "${All[@]}" || Result=1

if [ "${1:-}" = "--since" ]; then
  mapfile -t Wanted < <(git diff --name-only --diff-filter=d \
    "$(git merge-base "$2" HEAD)" -- '*.cpp')
else
  mapfile -t Wanted < <(git ls-files '*.cpp')
fi

States=build/tidy
mkdir -p "$States"
Linter=$(clang-tidy --version; cat .clang-tidy)
# Each source file with the repository's files that it includes, as recorded by
# the build: "source include include ...".
declare -A Includes
while read -r Source Rest; do Includes[$Source]=$Rest; done < <(
  ninja -C build -t deps | sed 's/^ *//' | awk -v Here="$PWD/" '
    /#deps/ { if (Line) print Line; Line = ""; next }
    { sub("^" Here, ""); sub("^[.][.]/", "") }
    /^(src|standin|test|bench|demo)\// { Line = Line $0 " " }
    END { if (Line) print Line }')
# Prints a hash of everything that the lint result of a file depends on.
stateOf() {
  # shellcheck disable=SC2086
  { echo "$Linter"; cat CMakeLists.txt "$1" ${Includes[$1]:-} || true; } \
    2>/dev/null | sha256sum | cut -d' ' -f1
}

Known=0
Due=()
for File in "${Wanted[@]}"; do
  State=$(stateOf "$File")
  # A file whose includes are unknown is always linted.
  if [ -n "${Includes[$File]:-}" ] && [ -e "$States/$State" ]; then
    Known=$((Known + 1))
  else
    Due+=("$States/$State" "$File")
  fi
done
echo "lint: ${#Wanted[@]} files, $Known unchanged since they were clean"

Log=$(mktemp)
trap 'rm -f "$Log"' EXIT
if [ "${#Due[@]}" -gt 0 ]; then
  # shellcheck disable=SC2016
  printf '%s\n' "${Due[@]}" | xargs -P "${LINT_JOBS:-$(nproc)}" -n 2 bash -c '
    Output=$(clang-tidy -p build --quiet "$1" 2>&1) && touch "$0" && exit 0
    echo "$Output"
    exit 1' >"$Log" || Result=1
fi
# A finding in a header is reported once for each file that includes it.
grep -E '(warning|error):' "$Log" | sort -u || true
if [ "$Result" -ne 0 ]; then
  grep -qE '(warning|error):' "$Log" || tail -n 50 "$Log"
  echo "links, format or lint have findings" >&2
  exit 1
fi
echo "links, format and lint are clean"
