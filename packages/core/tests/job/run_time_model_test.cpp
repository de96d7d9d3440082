#include <egretstile/core/job/run_time_model.hpp>

#include <catch2/catch.hpp>

#include <string>

namespace egretstile {
namespace {

constexpr std::uint32_t estimate_ms = 1000;

void observe_many(run_time_model& model, const std::string& queue, milliseconds actual) {
    for (int count = 0; count < 200; ++count) {
        model.observe(queue, actual, estimate_ms);
    }
}

// Load: tasks of one queue run at half speed. Guards against jobs of other queues that count as
// late because of it, and against a new leader that expects anything but the estimate.
TEST_CASE("the ratio of run times starts at one and is learned by queue") {
    run_time_model model;
    CHECK(model.ratio("wide") == 1.0);
    observe_many(model, "wide", milliseconds(2000));
    CHECK(model.ratio("wide") == Approx(2.0).epsilon(0.01));
    CHECK(model.ratio("short") == 1.0);
    observe_many(model, "wide", milliseconds(1200));
    CHECK(model.ratio("wide") == Approx(1.2).epsilon(0.01));
}

// Failure: a run that was frozen for a minute, a task that had nothing to do, and a step without an
// estimate. Guards against one run that makes all jobs of the queue too late.
TEST_CASE("the ratio of run times stays within its bounds and moves by a bounded step") {
    run_time_model model;
    model.observe("queue", milliseconds(60000), estimate_ms);
    CHECK(model.ratio("queue") < 1.2);
    observe_many(model, "queue", milliseconds(60000));
    CHECK(model.ratio("queue") <= run_time_model::max_ratio);
    observe_many(model, "queue", milliseconds(0));
    CHECK(model.ratio("queue") >= run_time_model::min_ratio);
    const double before = model.ratio("queue");
    model.observe("queue", milliseconds(60000), 0);
    CHECK(model.ratio("queue") == before);
}

} // namespace
} // namespace egretstile
