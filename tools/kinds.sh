#!/usr/bin/env bash
# Runs one scenario for each kind of fault that a site's bench supports, with
# the fault injected three times into a quiet day, and prints a table of the
# outcomes and of the rules that were broken. The scenarios are generated from
# the site's quiet day, so that no part of the site file is stored in the
# repository.
#   tools/kinds.sh BENCH SITE "why" [KIND ...]    all kinds if none is given
# BENCH is the users' program; it adds its entries to journal/ as with each run.
set -euo pipefail
cd "$(dirname "$0")/.."
Bench=$1
Site=$2
Why=$3
shift 3

Folder=$(mktemp -d)
trap 'rm -rf "$Folder"' EXIT
Kinds=("$@")
if [ "${#Kinds[@]}" -eq 0 ]; then
  mapfile -t Kinds < <("$Bench" kinds "$Site" | sed -n 's/^\([a-z_]*\): .*/\1/p')
fi

# Prints the first day of the site file whose name starts with "quiet", without
# its planned work and its faults, which are multi-line lists.
calmDay() {
  awk '
    /^\[\[day\]\]/ { if (Wanted) exit; Text = ""; Reading = 1 }
    /^\[/ && !/^\[\[day\]\]/ { if (Wanted) exit; Reading = 0 }
    !Reading { next }
    /^name = "quiet/ { Wanted = 1 }
    /^(faults|plan) = \[/ { Skipping = 1 }
    !Skipping { Text = Text $0 "\n" }
    Skipping && /\]$/ { Skipping = 0 }
    END { if (Wanted) printf "%s", Text }' "$Site"
}

# Early, in the middle, and shortly after that, so that the third fault may
# overlap with the second.
Starts=(4 12 15)
calmDay >"$Folder/calm.toml"
[ -s "$Folder/calm.toml" ] || { echo "no calm day in $Site" >&2; exit 1; }
printf '%-20s %s\n' kind "worth served refused failed"
Broken=0
for Kind in "${Kinds[@]}"; do
  Day="$Folder/$Kind.toml"
  {
    cat "$Folder/calm.toml"
    echo "plan = []"
    echo "faults = ["
    for Start in "${Starts[@]}"; do
      echo "  { at = $Start, kind = \"$Kind\", for_s = 4 },"
    done
    echo "]"
  } >"$Day"
  "$Bench" run "$Site" "$Day" --why "$Why: $Kind" >"$Folder/$Kind.out" 2>&1 ||
    true
  Line=$(grep -m 1 -A 1 '^day .*worth' "$Folder/$Kind.out" | tail -n 1 || true)
  if [ -z "$Line" ]; then
    printf '%-20s %s\n' "$Kind" "not played: $(tail -n 1 "$Folder/$Kind.out")"
    continue
  fi
  Rules=$(grep -o 'BROKEN: [^(]*' <<<"$Line" || true)
  [ -z "$Rules" ] || Broken=1
  printf '%-20s %s %s\n' "$Kind" \
    "$(awk '{print $4, $5, $6, $7}' <<<"$Line")" "$Rules"
done
exit "$Broken"
