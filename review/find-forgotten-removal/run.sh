#!/usr/bin/env bash
# Plays the case once. Exits with 1 if the rule was broken, 0 if it held, and 2
# if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
Here=$(cd "$(dirname "$0")" && pwd)
cd "$Here/../.." || exit 2
for Program in target/parsleywing target/review/forgotten-removal-case; do
  [ -x "$Program" ] || { echo "$Program is missing" >&2; exit 2; }
done
Folder=$(mktemp -d) || exit 2
trap 'rm -rf "$Folder"' EXIT
timeout -k 2 110 target/review/forgotten-removal-case "$Folder" "$Here/record.txt"
Result=$?
[ "$Result" -le 1 ] && exit "$Result"
exit 2
