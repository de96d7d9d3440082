#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripts in review/6 to review/10 into target/review-2/. Precondition: the build
# of the deploy file has been run, whose libraries in target/ they link.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -DPOCO_ENABLE_CPP11 -Iplatform/source -Iplatform/include)
for package in core infrastructure runtime; do flags+=("-Ipackages/$package/include"); done
for source in review/standins-2/*.cc; do
  object=$out/$(basename "$source" .cc).o
  "${CXX:-c++}" "${flags[@]}" -c "$source" -o "$object" &
done
for job in $(jobs -p); do wait "$job"; done
"${CXX:-c++}" -o "$out/cases" "$out"/*.o target/platform/libegretstile_platform.a \
  target/packages/runtime/libegretstile_runtime.a target/packages/runtime/libegretstile_easylogging.a \
  target/packages/infrastructure/libegretstile_infrastructure.a target/packages/core/libegretstile_core.a \
  -lxxhash -lPocoNet -lPocoFoundation -lpthread
