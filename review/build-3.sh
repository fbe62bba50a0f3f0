#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for n in 11 12 13 14 15; do
  if [ -f "review/$n/case.cc" ]; then
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review-3/case-$n" \
      "review/$n/case.cc"
  fi
done
