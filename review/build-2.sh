#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and following. Run it after the build of deploy/system.toml; it needs nothing but the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/standin-2/rig.cpp -o target/review-2/rig
