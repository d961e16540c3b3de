#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 and up into target/review-3. Needs g++ alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-3/$name" "$source" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
