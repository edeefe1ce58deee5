#!/usr/bin/env bash
# Checks that every relative link in the pages points to a file in the
# repository. Prints the broken links.
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
