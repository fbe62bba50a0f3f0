#!/usr/bin/env bash
# Builds the stand-ins and the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
objects=()
for name in support streams; do
  ${CXX:-g++} -std=c++17 -O1 -c -o "target/review/$name.o" \
    "review/support/$name.cc"
  objects+=("target/review/$name.o")
done
for source in review/[1-5]/case.cc; do
  number=$(basename "$(dirname "$source")")
  ${CXX:-g++} -std=c++17 -O1 -pthread -o "target/review/case-$number" \
    "$source" "${objects[@]}"
done
