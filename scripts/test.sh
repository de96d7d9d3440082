#!/usr/bin/env bash
# Builds with warnings as errors, checks format and lint, and runs all tests through CTest.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
scripts/lint.sh
ctest --test-dir build --output-on-failure -j "${EGRETSTILE_TEST_JOBS:-4}"
