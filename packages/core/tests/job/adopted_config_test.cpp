#include <egretstile/core/job/adopted_config.hpp>

#include <catch2/catch.hpp>

namespace egretstile {
namespace {

constexpr milliseconds age_limit{2000};
const boot_time start{std::chrono::seconds(100)};

operator_config version(std::uint64_t number) {
    operator_config config;
    config.version = number;
    return config;
}

} // namespace

// Guards against a configuration that comes back after a later one has been in force, when answers
// arrive out of order.
TEST_CASE("an earlier configuration does not replace a later one") {
    adopted_config adopted(age_limit);
    CHECK(adopted.adopt(version(7)));
    CHECK_FALSE(adopted.adopt(version(6)));
    CHECK(adopted.version() == 7);
    CHECK(adopted.adopt(version(12)));
    CHECK(adopted.version() == 12);
}

// Guards against a process that relies on its configuration for as long as it cannot learn of a
// change: cut off, frozen, or with a connection that has fallen silent.
TEST_CASE("a configuration counts as current only for the age limit after its confirmation") {
    adopted_config adopted(age_limit);
    CHECK_FALSE(adopted.is_current(start));
    adopted.adopt(version(7));
    CHECK_FALSE(adopted.is_current(start));
    adopted.confirm(7, start);
    CHECK(adopted.is_current(start + age_limit));
    CHECK_FALSE(adopted.is_current(start + age_limit + milliseconds(1)));
    adopted.adopt(version(8));
    CHECK_FALSE(adopted.is_current(start + age_limit + milliseconds(1)));
    adopted.confirm(8, start + milliseconds(1500));
    CHECK(adopted.is_current(start + milliseconds(3500)));
}

// Guards against a confirmation of a version that this process does not have yet, and against a
// late confirmation that makes the configuration look older than it is.
TEST_CASE("a confirmation of a later version or of an earlier time has no effect") {
    adopted_config adopted(age_limit);
    adopted.adopt(version(7));
    adopted.confirm(8, start);
    CHECK_FALSE(adopted.confirmed_at().has_value());
    adopted.confirm(7, start);
    adopted.confirm(6, start + milliseconds(500));
    adopted.confirm(7, start + milliseconds(300));
    CHECK(adopted.confirmed_at() == start + milliseconds(500));
}

} // namespace egretstile
