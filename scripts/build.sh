#!/usr/bin/env bash
# Installs the packages and builds everything into build/ (binaries in build/bin/).
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
cmake -S . -B build -G Ninja >build-configure.log 2>&1 || { cat build-configure.log; exit 1; }
rm -f build-configure.log
cmake --build build -j "${EGRETSTILE_JOBS:-$(nproc)}"
