#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into target/review-2/. Run it after the build of the deploy file; it needs the
# compiler of deploy/system.toml and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/standins-2/kit.cc -o "$out/kit.o"
for source in review/standins-2/*.cc; do
  name=$(basename "$source" .cc)
  if [ "$name" = kit ]; then continue; fi
  g++ "${flags[@]}" "$source" "$out/kit.o" -o "$out/$name"
done
