#!/usr/bin/env bash
# Plays the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/tealhalld ] && [ -x target/review-parts ] || { echo "build first: see deploy/system.toml and review/build-2.sh"; exit 2; }
RECORD=review/8/record.txt exec target/review-parts drain
