#include <egretstile/core/job/rack_forecast.hpp>
#include <egretstile/core/job/run_time_history.hpp>

#include <catch2/catch.hpp>

namespace egretstile {
namespace {

const boot_time now = boot_time(milliseconds(10000));

vm_state make_vm(std::int64_t millicores) {
    vm_state vm;
    vm.runner.capacity = {millicores, 100000, 0};
    return vm;
}

void add_run(vm_state& vm, std::uint32_t index, std::int64_t millicores, boot_time end) {
    vm_run run;
    run.reserved.cpu_millicores = millicores;
    run.expected_end = end;
    run.likely_error = milliseconds(30);
    vm.add_run({{"job", 0, 0, index}, 1}, run);
}

place_need need_of(std::int64_t millicores) {
    place_need need;
    need.reserved.cpu_millicores = millicores;
    return need;
}

// Guards against predictions that count only a single run's room: two small runs must end before a
// larger task fits.
TEST_CASE("a place is free when enough runs of one VM have ended") {
    vm_state vm = make_vm(2000);
    add_run(vm, 0, 1000, now + milliseconds(100));
    add_run(vm, 1, 1000, now + milliseconds(300));
    CHECK(rack_forecast({&vm}, need_of(1000), now).next() == now + milliseconds(100));
    CHECK(rack_forecast({&vm}, need_of(2000), now).next() == now + milliseconds(300));
    CHECK_FALSE(rack_forecast({&vm}, need_of(3000), now).next().has_value());
}

// Guards against waits for tasks that run until they are cancelled.
TEST_CASE("a rack of runs without an end never becomes free") {
    vm_state vm = make_vm(2000);
    add_run(vm, 0, 2000, boot_time::max());
    CHECK_FALSE(rack_forecast({&vm}, need_of(1000), now).next().has_value());
}

// Guards against all tasks of a hot rack waiting for the same place.
TEST_CASE("tasks ahead of a task take the earliest places") {
    vm_state one = make_vm(1000);
    vm_state other = make_vm(1000);
    add_run(one, 0, 1000, now + milliseconds(100));
    add_run(other, 1, 1000, now + milliseconds(250));
    rack_forecast forecast({&one, &other}, need_of(1000), now);
    forecast.take(milliseconds(500));
    CHECK(forecast.next() == now + milliseconds(250));
    forecast.take(milliseconds(500));
    CHECK(forecast.next() == now + milliseconds(600));
}

// Guards against a prediction of "now" for a run that takes longer than estimated.
TEST_CASE("a run beyond its expected end takes longer in proportion to its delay") {
    vm_state vm = make_vm(1000);
    add_run(vm, 0, 1000, now - milliseconds(10));
    CHECK(rack_forecast({&vm}, need_of(1000), now).next() == now + milliseconds(30));
    vm = make_vm(1000);
    add_run(vm, 0, 1000, now - milliseconds(1000));
    CHECK(rack_forecast({&vm}, need_of(1000), now).next() == now + milliseconds(500));
}

// Guards against gangs that wait for a rack as soon as one member fits.
TEST_CASE("a rack is free for a gang when all its members fit at the same time") {
    vm_state vm = make_vm(3000);
    add_run(vm, 0, 1000, now + milliseconds(100));
    add_run(vm, 1, 1000, now + milliseconds(200));
    const rack_forecast forecast({&vm}, need_of(1000), now);
    CHECK(forecast.free_places() == 1);
    CHECK(forecast.when_free(3) == now + milliseconds(200));
    CHECK_FALSE(forecast.when_free(4).has_value());
    place_need limited = need_of(1000);
    limited.max_per_vm = 2;
    CHECK_FALSE(rack_forecast({&vm}, limited, now).when_free(3).has_value());
}

// Guards against a leader that keeps to estimates and a remote factor which the runs contradict,
// and against a new leader without learned data that does not use the configured factor.
TEST_CASE("run times and the remote factor are learned from runs that are done") {
    run_time_history history;
    CHECK(history.near_ratio("image").mean == Approx(1.0));
    CHECK(history.remote_factor("image", 2.0) == Approx(2.0));
    for (int run = 0; run < 200; ++run) {
        history.record("image", false, milliseconds(1000), milliseconds(500));
        history.record("image", true, milliseconds(1000), milliseconds(1500));
    }
    CHECK(history.near_ratio("image").mean == Approx(0.5).epsilon(0.01));
    CHECK(history.near_ratio("image").spread < 0.02);
    CHECK(history.remote_factor("image", 2.0) == Approx(3.0).epsilon(0.05));
    CHECK(history.remote_factor("other", 2.0) == Approx(2.0));
}

} // namespace
} // namespace egretstile
