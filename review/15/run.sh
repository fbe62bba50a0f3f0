#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
program=target/review-3/case-$(basename "$folder")
[ -x "$program" ] && [ -x target/endiveyard-front ] || exit 2
"$program" --binary target/endiveyard-front --trouble "${TROUBLE:-1}" \
  --record "$folder/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
