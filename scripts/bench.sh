#!/usr/bin/env bash
# Builds, measures whole deployments and the decisions of the core, prints a table and writes
# build/bench.csv. A missed bound is shown as MISSED; the exit code is zero when everything was measured.
# Usage: scripts/bench.sh [--deployment NAME] [--strategy PLACEMENT]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build -j "${EGRETSTILE_JOBS:-$(nproc)}" --target egretstile-bench egretstile_decision_bench >/dev/null
csv=build/bench.csv
result=0
build/bin/egretstile-bench "$@" >"$csv" || result=1
# The decision benchmark prints measure,strategy,value,unit,bound,met.
build/bin/egretstile_decision_bench >build/bench-decisions.csv || result=1
awk -F, -v OFS=, 'NR > 1 { print "decisions", $2, $1, $3, $4, ($5 == "" ? "" : "at most " $5), $6 }' \
  build/bench-decisions.csv >>"$csv"
awk -F, 'NR > 1 { printf "%-10s %-30s %-50s %14s %-8s %-16s %s\n", $1, $2, $3, $4, $5, $6,
  ($7 == "" ? "" : ($7 == "yes" ? "met" : "MISSED")) }' "$csv"
echo "load average: $(cut -d' ' -f1-3 /proc/loadavg)"
exit "$result"
