#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. Run it after
# the build of deploy/system.toml. Uses the compiler and nothing that the
# project does not declare.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
common=(
  review/support-2/small_fleet.cc tools/soak/http_peer.cc
  tools/soak/registry_standin.cc
)
for it in review/support-2/case_*.cc; do
  name=$(basename "$it" .cc)
  g++ -std=c++17 -O2 -Wall -Itools -Ireview/support-2 "$it" "${common[@]}" \
    -pthread -o "$out/$name" &
done
wait
for it in review/support-2/case_*.cc; do
  test -x "$out/$(basename "$it" .cc)"
done
