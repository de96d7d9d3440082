#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need; does nothing when all are installed.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy curl python3
  libpoco-dev libcereal-dev prometheus-cpp-dev libeasyloggingpp-dev libboost-program-options-dev
  libtomlplusplus-dev libxxhash-dev libcsv-dev rapidjson-dev catch2 libtrompeloeil-cpp-dev librapidcheck-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
