#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <ctime>

namespace egretstile {

namespace {

std::chrono::nanoseconds read_clock(clockid_t clock) {
    timespec now{};
    ::clock_gettime(clock, &now);
    return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

} // namespace

boot_time boot_now() {
    return boot_time(read_clock(CLOCK_BOOTTIME));
}

std::int64_t wall_now_ms() {
    return std::chrono::duration_cast<milliseconds>(read_clock(CLOCK_REALTIME)).count();
}

} // namespace egretstile
