#!/usr/bin/env bash
# Installs the core library from a build folder, then builds and runs this example against it.
# Usage: examples/embed/test.sh BUILD_FOLDER
set -euo pipefail
source_folder=$(cd "$(dirname "$0")" && pwd)
build=$(cd "$1" && pwd)
cmake --install "$build" --prefix "$build/embed/install" >/dev/null
cmake -S "$source_folder" -B "$build/embed/build" -G Ninja -DCMAKE_PREFIX_PATH="$build/embed/install" >/dev/null
cmake --build "$build/embed/build" >/dev/null
"$build/embed/build/embed"
