#pragma once

#include <egretstile/core/base/boot_time.hpp>

#include <cstdint>

namespace egretstile {

/// Reads CLOCK_BOOTTIME. Thread-safe.
boot_time boot_now();

/// Wall-clock time in milliseconds since 1970. Thread-safe.
std::int64_t wall_now_ms();

} // namespace egretstile
