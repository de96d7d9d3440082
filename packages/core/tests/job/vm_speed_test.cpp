#include <egretstile/core/job/vm_speed.hpp>

#include <catch2/catch.hpp>

namespace egretstile {
namespace {

/// Four tasks on a VM of this speed report every 500 ms for `length`.
vm_speed watched(double speed, milliseconds length, boot_time begin) {
    vm_speed watch;
    constexpr milliseconds interval(500);
    for (milliseconds past = interval; past <= length; past += interval) {
        for (int task = 0; task < 4; ++task) {
            watch.observe(std::chrono::duration_cast<milliseconds>(interval * speed), interval,
                          begin + past);
        }
    }
    return watch;
}

const boot_time begin(std::chrono::hours(1));

// Guards against a VM whose work crawls and that is taken for a sound one.
TEST_CASE("a VM that became slow is known to be slow within a second") {
    const vm_speed slow = watched(0.15, milliseconds(1000), begin);
    CHECK(slow.value(begin + milliseconds(1000)) < 0.4);
    const vm_speed hanging = watched(0.0, milliseconds(500), begin);
    CHECK(hanging.value(begin + milliseconds(500)) < 0.4);
}

// Guards against sound VMs that are avoided because of one task with a wrong estimate.
TEST_CASE("a single task that is slower than estimated does not make its VM slow") {
    vm_speed watch = watched(1.0, milliseconds(2000), begin);
    watch.observe(milliseconds(150), milliseconds(500), begin + milliseconds(2500));
    CHECK(watch.value(begin + milliseconds(2500)) > 0.8);
}

// Guards against a VM that is avoided for good because nothing runs there that could show better.
TEST_CASE("a VM that is not used any more is trusted again") {
    const vm_speed slow = watched(0.15, milliseconds(3000), begin);
    CHECK(slow.value(begin + milliseconds(3000)) < 0.3);
    CHECK(slow.value(begin + milliseconds(13000)) > 0.9);
}

} // namespace
} // namespace egretstile
