#!/usr/bin/env bash
# Checks that every relative link of the pages leads to a file of the
# repository. Prints the broken ones.
set -euo pipefail
cd "$(dirname "$0")/.."
Broken=0
while IFS= read -r Page; do
  while IFS= read -r Target; do
    [ -e "$(dirname "$Page")/$Target" ] && continue
    echo "$Page: no file at $Target" >&2
    Broken=1
  done < <(grep -oE '\]\([^)# ]+' "$Page" | cut -c3- | grep -vE '^[a-z]+:' || true)
done < <(git ls-files '*.md')
exit "$Broken"
