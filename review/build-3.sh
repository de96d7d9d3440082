#!/usr/bin/env bash
# Builds the stand-ins and cases of review/11 to review/15 into target/review-3/. Needs the packages of the deploy file
# only; the scripts start target/bin/egretstiled of the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
"${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-3/cases review/standins-3/cases.cc
