#!/usr/bin/env bash
# Builds, runs a deployment of 3 entries and 11 agents with stand-ins of the platform under load and
# faults, and prints a table. Exits non-zero when a bound of the table is not met.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
build/bin/egretstile-demo
