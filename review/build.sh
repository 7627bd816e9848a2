#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into target/review, with the compiler that the deploy file declares.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.cpp; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review/$(basename "$source" .cpp)" "$source"
done
