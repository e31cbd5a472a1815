#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review into target/review-2, with the packages
# of the deploy file alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-2/standins review/standins-2/standins.cc
