#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/endiveyard ] && [ -x target/review/case-4 ] || exit 2
exec target/review/case-4 review/4
