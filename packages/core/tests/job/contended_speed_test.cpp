#include "contended_vms.hpp"

#include <catch2/catch.hpp>

#include <cstdint>
#include <string>

namespace egretstile {
namespace {

/// Filling tasks of two cores that start beside five reserved cores of ten: at 0.6 of their speed,
/// and at full speed.
constexpr std::uint32_t slow_starts = 4;
constexpr std::uint32_t full_speed_starts = 2;

/// Lets a job with one task more than may start use the VM, ends its runs, and returns how many
/// filling tasks run after a second job has come.
std::size_t runs_under_contention(bool by_contention) {
    contended_vms vm(1, by_contention);
    job_spec reserving = make_plain_job("reserving", 5);
    reserving.steps[0].long_running = true;
    reserving.steps[0].estimate_ms = 0;
    vm.scheduler.add_job(reserving);
    vm.exchange();
    vm.add_filling("first", "image", slow_starts + 1);
    vm.exchange();
    REQUIRE(vm.runs_of("first") == slow_starts);
    vm.add_filling("second", "image", slow_starts);
    for (std::uint32_t index = 0; index < slow_starts; ++index) {
        vm.end_run("vm-0", {{"first", 0, 0, index}, 1}, run_outcome::done);
    }
    vm.exchange();
    return vm.runs_of("first") + vm.runs_of("second");
}

// Load: more filling work than room for it. Guards against tasks of all jobs that run at the same
// time and slow each other down until every job is late.
TEST_CASE("while filling work waits, filling tasks start only at full speed") {
    CHECK(runs_under_contention(true) == full_speed_starts);
}

// Guards against a changed behaviour of deployments that have not asked for the part.
TEST_CASE("without placement by contention filling tasks start at a lower speed") {
    CHECK(runs_under_contention(false) == slow_starts);
}

// Load: a short burst of filling work. Guards against room that stays unused after the last waiting
// task has started.
TEST_CASE("filling tasks start at a lower speed again when no filling work waits") {
    contended_vms vm(1);
    job_spec reserving = make_plain_job("reserving", 5);
    reserving.steps[0].long_running = true;
    reserving.steps[0].estimate_ms = 0;
    vm.scheduler.add_job(reserving);
    vm.exchange();
    vm.add_filling("first", "image", slow_starts + 1);
    vm.exchange();
    for (std::uint32_t index = 0; index < slow_starts; ++index) {
        vm.end_run("vm-0", {{"first", 0, 0, index}, 1}, run_outcome::done);
    }
    vm.exchange();
    REQUIRE(vm.runs_of("first") == 1);
    vm.exchange();
    vm.add_filling("second", "image", slow_starts - 1);
    vm.exchange();
    CHECK(vm.runs_of("second") == slow_starts - 1);
}

} // namespace
} // namespace egretstile
