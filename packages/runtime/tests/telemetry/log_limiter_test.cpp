#include <egretstile/runtime/telemetry/log_limiter.hpp>

#include <catch2/catch.hpp>

namespace egretstile {

// Guards against a log that grows with the number of requests that clients have refused.
TEST_CASE("the lines of an interval are bounded, and the others are counted") {
    log_limiter limiter;
    const boot_time start = boot_time() + milliseconds(60000);
    std::uint32_t admitted = 0;
    for (int event = 0; event < 1000; ++event) {
        admitted += limiter.admit(start + milliseconds(event)) ? 1 : 0;
    }
    CHECK(admitted == log_limiter::max_lines);
    const boot_time next = start + log_limiter::interval;
    CHECK(limiter.admit(next) == std::optional<std::uint64_t>(1000 - log_limiter::max_lines));
    CHECK(limiter.admit(next) == std::optional<std::uint64_t>(0));
}

} // namespace egretstile
