#!/usr/bin/env bash
# Builds the programs of the scripts review/11 and review/12 into target/review-3. Run it in the repository root, after the build command of
# deploy/system.toml. They hold all stand-ins that the scripts start (review/standin-3/rig.h); nothing else is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/1[12]/case.cpp; do
    number=$(basename "$(dirname "$case")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-3/case-$number" "$case"
done
