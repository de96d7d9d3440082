#!/usr/bin/env bash
# Builds, runs a deployment of 3 entries and 11 agents with stand-ins of the platform under load and
# faults, and prints a table. Exits non-zero when a promise was broken.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
build/bin/egretstile-demo
