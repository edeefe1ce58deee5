#!/usr/bin/env bash
# Scores deployments one after another and prints a table for regression checks:
# the gate, and the mean worth of the days with trouble next to its floor, which
# is 0.03 below the worth that was reached before. Exits with 1 if a deployment
# fails.
#   tools/regression.sh BENCH FOLDER "why" [DEPLOYMENT...]
# BENCH is the users' program, FOLDER contains the folders of their site files.
set -euo pipefail
cd "$(dirname "$0")/.."
Bench=$1 Folder=$2 Why=$3
shift 3
declare -A Floors=(
  [kakao-batch-large]=0.63 [ancll-desk]=0.64 [ancll-desk-grown]=0.59
  [kakao-batch-grown]=0.62 [meridian-crew-grown]=0.56
  [kakao-batch]=0.70 [meridian-crew]=0.67 [kakao-batch-now-grown]=0.65)
# The last three deployments are run once per merge.
[ $# -gt 0 ] || set -- kakao-batch-large ancll-desk ancll-desk-grown \
  kakao-batch-grown meridian-crew-grown
Log=$(mktemp)
trap 'rm -f "$Log"' EXIT
Result=0
printf '%-22s %-7s %-6s %-6s %s\n' deployment gate worth floor verdict
for Name in "$@"; do
  if [ -z "${Floors[$Name]:-}" ]; then
    echo "no floor is known for $Name" >&2
    exit 2
  fi
  "$Bench" score "$Folder"/*/"$Name".toml --jobs 4 --why "$Why" >"$Log" 2>&1 ||
    true
  Gate=$(awk '/^GATE/ { print $2 }' "$Log")
  Worth=$(awk '$2 ~ /^[0-9]+\// && /^(trouble|scale)-/ { Sum += $4; ++Days }
    END { if (Days) printf "%.3f", Sum / Days; else print "none" }' "$Log")
  Verdict=holds
  if [ "$Gate" != passed ] ||
    ! awk -v Worth="$Worth" -v Floor="${Floors[$Name]}" \
      'BEGIN { exit !(Worth != "none" && Worth >= Floor) }'; then
    Verdict=FAILS
    Result=1
  fi
  printf '%-22s %-7s %-6s %-6s %s\n' "$Name" "${Gate:--}" "$Worth" \
    "${Floors[$Name]}" "$Verdict"
done
exit "$Result"
