#include <egretstile/core/routing/answer_times.hpp>

#include <catch2/catch.hpp>

namespace egretstile {
namespace {

// Guards against hedges that start from a handful of answers.
TEST_CASE("the percentile is unknown until enough answers have arrived") {
    answer_times times;
    for (int i = 0; i < 31; ++i) {
        times.add(1000);
    }
    CHECK_FALSE(times.known());
    times.add(1000);
    CHECK(times.known());
    CHECK(times.p95_us() == Approx(1000));
}

// Guards against a delay that stays at the level of an overload that has passed, or of the time
// before it.
TEST_CASE("the percentile and the mean follow the recent answers") {
    answer_times times;
    for (int i = 0; i < 256; ++i) {
        times.add(i % 10 == 0 ? 9000 : 1000);
    }
    CHECK(times.p95_us() == Approx(9000));
    CHECK(times.mean_us() == Approx(1812.5).epsilon(0.01));
    for (int i = 0; i < 256; ++i) {
        times.add(2000);
    }
    CHECK(times.p95_us() == Approx(2000));
    CHECK(times.mean_us() == Approx(2000));
}

} // namespace
} // namespace egretstile
