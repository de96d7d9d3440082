#pragma once

#include <chrono>

namespace egretstile {

/// Clock that counts from the boot of the VM and continues during suspend (CLOCK_BOOTTIME). The
/// core package never reads it: callers pass the time, which they read with
/// `egretstile::boot_now()` of the platform package.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;
};

/// Time on the boot clock of one VM. Times of different VMs are not comparable.
using boot_time = boot_clock::time_point;
using std::chrono::milliseconds;

} // namespace egretstile
