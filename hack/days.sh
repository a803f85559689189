#!/usr/bin/env bash
# Runs the fault scenarios in deploy/days on a site and prints the result line of each. BENCH is the path of the users'
# bench, SITE that of a site file.
set -u
cd "$(dirname "$0")/.."
: "${BENCH:?path of the users' bench}" "${SITE:?path of a site file}"
out=$(mktemp -d)
find deploy/days -name '*.toml' | sort | xargs -P "${JOBS:-3}" -I {} sh -c '"$0" run "$1" {} --why "own day $(basename {} .toml)" >"$2/$(basename {} .toml)" 2>&1' "$BENCH" "$SITE" "$out"
broken=0
for f in "$out"/*; do
  name=$(basename "$f")
  grep -m1 "^$name " "$f" || { echo "$name was not played"; broken=1; }
  grep -q "BROKEN" "$f" && broken=1
done
exit "$broken"
