#pragma once

#include <chrono>

namespace egretstile {

/// Clock that counts from the boot of the VM and goes on during suspend (CLOCK_BOOTTIME). The core
/// never reads it; `egretstile::boot_now()` of the platform package does.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;
};

/// Time on the boot clock of one VM; not comparable between VMs.
using boot_time = boot_clock::time_point;
using std::chrono::milliseconds;

} // namespace egretstile
