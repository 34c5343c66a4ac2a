#!/usr/bin/env bash
# Builds the programs that the cases' scripts start, into target/review. The gateway itself is
# built by the deploy file.
set -euo pipefail

cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.cpp; do
    name=$(basename "$source" .cpp)
    [ "$name" = world ] && continue
    g++ -std=c++17 -O2 -Wall -Wextra -pthread -o "target/review/$name" "$source" \
        review/standin/world.cpp
done
