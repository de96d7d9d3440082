#!/usr/bin/env bash
# Checks format and runs clang-tidy. Without arguments: all C++ files; with arguments: these files.
# Usage: scripts/lint.sh [--fix-format] [FILE...]     (needs a configured build/ for clang-tidy)
# A file whose preprocessed inputs passed clang-tidy before is skipped; results are kept in
# ${EGRETSTILE_TIDY_CACHE:-$HOME/.cache/egretstile-tidy}.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --fix-format ]; then
  shift
  if [ $# -eq 0 ]; then mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp' '*.hpp'); set -- "${files[@]}"; fi
  clang-format -i "$@"
  exit 0
fi
if [ $# -eq 0 ]; then
  mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp' '*.hpp')
else
  files=("$@")
fi
[ "${#files[@]}" -eq 0 ] && exit 0
clang-format --dry-run --Werror "${files[@]}"
export build=${EGRETSTILE_BUILD_DIR:-build}
export cache=${EGRETSTILE_TIDY_CACHE:-$HOME/.cache/egretstile-tidy}
mkdir -p "$cache"
# The embedding example is built against an installed copy and is in no target of this build.
printf '%s\n' "${files[@]}" | grep '\.cpp$' | { grep -v '^examples/' || true; } | xargs -r -P "${EGRETSTILE_JOBS:-$(nproc)}" -n 1 scripts/lint-file.sh
echo "lint: ${#files[@]} files clean"
