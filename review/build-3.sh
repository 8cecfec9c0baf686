#!/usr/bin/env bash
# Builds what the scripts of the third review start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target --target azureshored azureshore-standin
mkdir -p target/review-3
for source in review/1[1-5]/case.cc; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review -o "target/review-3/$number" "$source"
done
