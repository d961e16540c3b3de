#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/, with the compiler that the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O2 -Wall -Wextra -o "target/review/$name" "$source" -pthread &
done
for job in $(jobs -p); do wait "$job"; done
