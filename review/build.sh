#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target --target azureshore-standin
mkdir -p target/review
for source in review/[1-9]/case.cc; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/harness "$source" -o "target/review/case-$number"
done
