#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-2/case_stale_view
if [ ! -x "$program" ] || [ ! -x target/endiveyard-front ]; then
  echo "build deploy/system.toml and run review/build-2.sh first" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 110 "$program" --binary target/endiveyard-front \
  --folder "$folder" --record "$here/record.txt" --trouble "${TROUBLE:-1}" \
  --mode config &
pid=$!
trap 'kill "$pid" 2>/dev/null' INT TERM
wait "$pid"
status=$?
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
