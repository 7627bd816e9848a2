#!/bin/sh
# Builds the stand-ins and scripts' programs of the second review into target/review-2, with the C++ compiler alone. Run it after the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp; do
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$(basename "$source" .cpp)" "$source"
done
