#!/usr/bin/env bash
# Measures what agents and running tasks cost an entry: one entry, the key-value stand-in, and model
# agents that speak the real protocol. Prints a CSV line for each size; each takes about 16 s.
# Usage: scripts/capacity.sh "AGENTS:TASKS ..." (default: the sizes of docs/CAPACITY.md)
set -euo pipefail
cd "$(dirname "$0")/.."
sizes=${1:-50:0 100:0 200:0 400:0 200:1000 200:2000 200:4000 400:4000}
seconds=16
bin=$PWD/build/bin
work=$(mktemp -d)
started=()

# Stops in reverse order of starting: an entry needs the key-value service to release its shards.
stop_all() {
  for ((i = ${#started[@]} - 1; i >= 0; --i)); do
    kill "${started[i]}" 2>/dev/null || true
    wait "${started[i]}" 2>/dev/null || true
  done
  started=()
}
trap 'stop_all; rm -rf "$work"' EXIT

port_of() { # FILE NAME
  for _ in $(seq 100); do
    [ -s "$1" ] && { grep -o "\"$2\":[0-9]*" "$1" | cut -d: -f2; return; }
    sleep 0.05
  done
  echo "no ports in $1" >&2
  exit 1
}

metric() { curl -s "http://127.0.0.1:$operators/metrics" | awk -v name="$1" '$1 == name { print $2 }'; }

run_size() { # AGENTS TASKS
  rm -f "$work"/*
  echo capacity-key >"$work/key"
  echo capacity-token >"$work/token"
  "$bin/egretstile-standin-kv" --ports-file "$work/kv.json" >"$work/kv.log" 2>&1 &
  started+=($!)
  cat >"$work/entry.toml" <<TOML
name = "entry"
deployment_key_file = "$work/key"
operator_token_file = "$work/token"
key_value = "127.0.0.1:$(port_of "$work/kv.json" kv)"
ports_file = "$work/entry.json"
log_level = "warning"
shard_count = 8
TOML
  "$bin/egretstiled" entry --settings "$work/entry.toml" >"$work/entry.log" 2>&1 &
  started+=($!)
  operators=$(port_of "$work/entry.json" operators)
  callers=$(port_of "$work/entry.json" callers)
  "$bin/egretstile-agent-fleet" --entry "127.0.0.1:$(port_of "$work/entry.json" peers)" --key-file "$work/key" \
    --agents "$1" --seconds "$seconds" >"$work/fleet.json" &
  local fleet=$!
  sleep 2
  if [ "$2" -gt 0 ]; then
    "$bin/egretstile-load" --port "$callers" --task-rate "$(($2 / 4))" --task-threads 32 --seconds 6 --max-count "$2" \
      --task-cpu-millicores 10 --task-memory-mb 10 >"$work/load.json"
  fi
  sleep $((seconds / 2 - 1 > 0 && $2 == 0 ? seconds / 2 - 2 : 1))
  local cpu0 cpu1
  cpu0=$(metric process_cpu_seconds)
  sleep 5
  cpu1=$(metric process_cpu_seconds)
  local resident
  resident=$(metric process_resident_bytes)
  wait "$fleet"
  awk -v agents="$1" -v tasks="$2" -v a="$cpu0" -v b="$cpu1" -v m="$resident" -v fleet="$(cat "$work/fleet.json")" 'BEGIN {
    match(fleet, /"bytes_per_s_per_agent":[0-9.e+]*/); bytes = substr(fleet, RSTART + 24, RLENGTH - 24)
    match(fleet, /"runs":[0-9]*/); runs = substr(fleet, RSTART + 7, RLENGTH - 7)
    printf "%d,%d,%d,%.2f,%.1f,%.0f\n", agents, tasks, runs, (b - a) / 5 * 100, m / 1e6, bytes }'
  stop_all
}

echo "agents,tasks,runs,entry_cpu_percent,entry_resident_mb,bytes_per_s_per_agent"
for size in $sizes; do run_size "${size%:*}" "${size#*:}"; done
