#include <egretstile/core/routing/upstream_health.hpp>

#include <catch2/catch.hpp>

namespace egretstile {
namespace {

constexpr boot_time start{std::chrono::seconds(100)};

void fail(upstream_health& health, int times) {
    for (int i = 0; i < times; ++i) {
        health.add_failure();
    }
}

// Guards against the ejection of an upstream because of single failures, such as a lost connection.
TEST_CASE("single failures among answers do not lead to an ejection") {
    upstream_health health;
    for (int i = 0; i < 50; ++i) {
        health.add_success(1000, start);
        health.add_success(1000, start);
        health.add_failure();
        CHECK_FALSE(health.is_failing());
    }
}

// Guards against an upstream that is not ejected because it never fails five times in a row,
// although it fails most of its requests.
TEST_CASE("a high share of failures leads to an ejection") {
    upstream_health health;
    bool failing = false;
    for (int i = 0; i < 50 && !failing; ++i) {
        health.add_success(1000, start);
        fail(health, 3);
        failing = health.is_failing();
    }
    CHECK(failing);
}

// Guards against an upstream that is down permanently and still gets requests every second, and
// against one that is ejected for ever.
TEST_CASE("ejections become longer up to a limit and are short again after enough answers") {
    upstream_health health;
    boot_time now = start;
    milliseconds last{0};
    for (int i = 0; i < 12; ++i) {
        fail(health, 5);
        REQUIRE(health.is_failing());
        health.eject(now);
        const auto length = std::chrono::duration_cast<milliseconds>(health.ejected_until() - now);
        CHECK(length >= last);
        CHECK(length <= upstream_health::max_ejection_time);
        last = length;
        now = health.ejected_until();
        CHECK_FALSE(health.is_ejected(now));
        CHECK(health.is_on_probation());
    }
    CHECK(last == upstream_health::max_ejection_time);
    for (int i = 0; i < 60; ++i) {
        health.add_success(1000, now);
    }
    CHECK_FALSE(health.is_on_probation());
    fail(health, 5);
    health.eject(now);
    CHECK(health.ejected_until() - now == upstream_health::initial_ejection_time);
}

// Guards against many requests to an upstream that fails again after its ejection.
TEST_CASE("on probation one failure is enough for an ejection") {
    upstream_health health;
    fail(health, 5);
    health.eject(start);
    CHECK_FALSE(health.is_failing());
    health.add_failure();
    CHECK(health.is_failing());
}

// Guards against ejections that scheduling jitter causes in services that answer within
// microseconds.
TEST_CASE("only a multiple of the median latency counts as slow") {
    upstream_health slow;
    upstream_health fast;
    for (int i = 0; i < 20; ++i) {
        slow.add_success(50000, start);
        fast.add_success(100, start);
    }
    CHECK(slow.is_slow(10000));
    CHECK_FALSE(slow.is_slow(20000));
    CHECK_FALSE(fast.is_slow(10));
}

// Guards against an upstream that was slow once and never gets a request again.
TEST_CASE("an old average loses weight to the reported latency") {
    upstream_health health;
    health.add_success(50000, start);
    CHECK(health.expected_us(1000, start) == Approx(50000));
    CHECK(health.expected_us(1000, start + std::chrono::seconds(60)) < 2000);
    CHECK(health.expected_us(0, start + std::chrono::seconds(60)) == Approx(50000));
}

// Guards against an old late answer that outweighs the measurement that was made because it is old.
TEST_CASE("an answer after the measurement lifetime replaces the average") {
    upstream_health health;
    health.add_success(300000, start);
    health.add_success(1000, start + std::chrono::seconds(1));
    CHECK(health.average_latency_us() > 100000);
    const boot_time later = start + std::chrono::seconds(4);
    REQUIRE(health.is_latency_outdated(later));
    health.add_success(1000, later);
    CHECK(health.average_latency_us() == Approx(1000));
}

} // namespace
} // namespace egretstile
