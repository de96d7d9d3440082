#!/usr/bin/env bash
# Runs clang-tidy on one source file unless the same input passed before. Called by scripts/lint.sh.
set -euo pipefail
file=$1
command=$(python3 - "$build/compile_commands.json" "$file" <<'PY'
import json, os, shlex, sys
wanted = os.path.abspath(sys.argv[2])
for entry in json.load(open(sys.argv[1])):
    if entry["file"] == wanted:
        words = shlex.split(entry["command"])
        words = [w for w in words if not w.endswith("ccache")]
        out = words.index("-o")
        words = words[:out] + words[out + 2:]
        words.remove("-c")
        print(shlex.join(words + ["-E", "-P"]))
        break
PY
)
if [ -z "$command" ]; then
  echo "lint: $file is in no target" >&2
  exit 1
fi
key=$({ cat .clang-tidy; eval "$command"; cat "$file"; } | sha256sum | cut -d' ' -f1)
[ -e "$cache/$key" ] && exit 0
if clang-tidy --quiet -p "$build" "$file" 2>/dev/null; then
  touch "$cache/$key"
else
  echo "lint: $file fails" >&2
  exit 1
fi
