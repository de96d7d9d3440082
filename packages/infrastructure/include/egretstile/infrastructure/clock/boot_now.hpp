#pragma once

#include <egretstile/core/base/boot_time.hpp>

#include <cstdint>

namespace egretstile {

/// Current time of CLOCK_BOOTTIME. Thread-safe.
boot_time boot_now();

/// Wall-clock time in milliseconds since the Unix epoch. Thread-safe.
std::int64_t wall_now_ms();

} // namespace egretstile
