#!/usr/bin/env bash
# Builds the stand-ins of the cases 8 to 10 under target/, each with its case's clients, workers and store in one program.
set -euo pipefail
cd "$(dirname "$0")/../.."
mkdir -p target/review
for name in slowreader latestream refusedafterrun; do
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "review/standins-3/$name.cpp" -o "target/review/$name"
done
