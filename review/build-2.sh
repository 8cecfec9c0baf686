#!/usr/bin/env bash
# Builds what the scripts of the second review start, after the build of the deploy file: the
# project's stand-ins, and the cases with their own.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target --target azureshore-standin
mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o target/review-2/azureshore-review-2 review/harness-2/cases.cc
