#!/usr/bin/env bash
# Plays the case in this folder; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held
# and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/platform ] && [ -x review/bin/world ] || exit 2
exec review/bin/world removed review/1
