#!/usr/bin/env bash
# Builds the stand-ins of the cases into the folder "target" of the repository,
# where the build of the deploy file has put the balancer.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++17 -O2 -Wall -Wextra -pthread -o target/review/world \
  review/standins/world.cc
