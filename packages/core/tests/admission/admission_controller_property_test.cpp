#include "admission_world.hpp"
#include "test_seed.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

namespace egretstile {
namespace {

using testing::admission_world;
using testing::world_counts;

constexpr int cases = 12000;
constexpr int longest_case = 300;

rc::Gen<std::vector<std::uint32_t>> step_numbers() {
    return rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint32_t>(0, 1U << 14U)));
}

void check_steps(world_counts& counts) {
    const std::vector<std::uint32_t> steps = *step_numbers();
    admission_world world(counts);
    for (const std::uint32_t step : steps) {
        world.step(step);
        if (!world.violation().empty()) {
            RC_FAIL(world.violation());
        }
    }
    world.settle();
    if (!world.violation().empty()) {
        RC_FAIL("after recovery: " + world.violation());
    }
}

/// Guards against: capacity exceeded, a run that executes after its last grant or after its owner
/// ended it, a start with an old plan, a refused or ended run that starts (again), a run that is
/// not reported, and an agent that does not recover.
TEST_CASE("admission keeps its guarantees in random histories of faults") {
    // Otherwise rapidcheck prints a seed of its own that this test does not use.
    static_cast<void>(
        setenv("RC_PARAMS", ("seed=" + std::to_string(testing::test_seed())).c_str(), 0));
    world_counts counts;
    rc::detail::TestParams params;
    params.seed = testing::test_seed();
    params.maxSuccess = cases;
    params.maxSize = longest_case;
    INFO("seed " << params.seed);
    const rc::detail::TestResult result = rc::detail::checkTestable(
        [&counts] { check_steps(counts); }, rc::detail::TestMetadata(), params);
    if (!result.is<rc::detail::SuccessResult>()) {
        rc::detail::printResultMessage(result, std::cerr);
    }
    CHECK(result.is<rc::detail::SuccessResult>());
    // Without these the histories would not reach the states that the invariants are about.
    CHECK(counts.starts > 1000);
    CHECK(counts.refusals > 1000);
    CHECK(counts.unknown_starts > 100);
    CHECK(counts.suspends > 100);
    CHECK(counts.resumes > 100);
    CHECK(counts.taken_over > 100);
    CHECK(counts.expired > 100);
    CHECK(counts.stale_epochs > 100);
}

} // namespace
} // namespace egretstile
