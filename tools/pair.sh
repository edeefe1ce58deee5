#!/usr/bin/env bash
# Runs days of a deployment with several seeds on the current state of the code,
# and prints the worth of each day and their mean, to compare two states of the
# code on the same days.
#   tools/pair.sh BENCH SITE "why" "DAY..." "SEED..." [JOBS]
# BENCH is the users' program. A broken rule is printed with its day.
set -euo pipefail
cd "$(dirname "$0")/.."
Bench=$1 Site=$2 Why=$3 Days=$4 Seeds=$5 Jobs=${6:-4}
"$Bench" build >/dev/null
Folder=$(mktemp -d)
trap 'rm -rf "$Folder"' EXIT
for Day in $Days; do
  for Seed in $Seeds; do
    while [ "$(jobs -rp | wc -l)" -ge "$Jobs" ]; do wait -n || true; done
    "$Bench" run "$Site" "$Day" --seed "$Seed" --why "$Why" \
      >"$Folder/$Day-$Seed" 2>&1 &
  done
done
wait || true
for Played in "$Folder"/*; do
  awk -v Name="$(basename "$Played")" '
    $2 ~ /^[0-9]+\/[0-9]+$/ { Worth = $4; Served = $5; Refused = $6 }
    /^rules broken/ { Broken = $0 }
    END { print Name, Worth, Served, Refused, Broken }' "$Played"
done | tee "$Folder.txt"
awk '{ Sum += $2; ++Days } END { printf "mean %.4f of %d\n", Sum / Days, Days }' \
  "$Folder.txt"
rm -f "$Folder.txt"
