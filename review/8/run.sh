#!/usr/bin/env bash
# Runs this case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Build before: the command of deploy/system.toml,
# and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin ] || { echo "run review/build-2.sh first"; exit 2; }
target/review-2/standin label review/8/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
