#!/usr/bin/env bash
# Builds the stand-in of the cases 6 and up into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++17 -O1 -Wall -Wextra -pthread review/standins-2/world.cc \
  -o target/review-2/world
