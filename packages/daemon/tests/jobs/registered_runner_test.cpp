#include "jobs/registered_runner.hpp"

#include <catch2/catch.hpp>

#include <limits>

namespace egretstile::daemon {
namespace {

infrastructure::runner_heartbeat heartbeat(const std::string& id, std::int64_t start_ms,
                                           std::uint64_t sequence) {
    infrastructure::runner_heartbeat sent;
    sent.runner_id = id;
    sent.instance_start_ms = start_ms;
    sent.sequence = sequence;
    return sent;
}

} // namespace

// Guards against a runner that was emptied being used again, because a delayed heartbeat from
// before is taken after a later one.
TEST_CASE("a delayed heartbeat of the same or of an earlier instance is stale") {
    registered_runner runner;
    CHECK(runner.apply(heartbeat("i-1", 100, 4)) == heartbeat_verdict::replaced);
    CHECK(runner.apply(heartbeat("i-1", 100, 5)) == heartbeat_verdict::refreshed);
    CHECK(runner.apply(heartbeat("i-1", 100, 4)) == heartbeat_verdict::stale);
    CHECK(runner.apply(heartbeat("i-1", 200, 1)) == heartbeat_verdict::replaced);
    CHECK(runner.apply(heartbeat("i-1", 100, 6)) == heartbeat_verdict::stale);
    CHECK(runner.started_at(200));
}

// Guards against an agent that ignores its runner for good, after another writer has sent a
// heartbeat with a start time in the far future.
TEST_CASE("the instance that answers calls is taken although a later start time is registered") {
    registered_runner runner;
    runner.apply(heartbeat("i-1", 100, 4));
    runner.apply(heartbeat("i-odd", std::numeric_limits<std::int64_t>::max(), 1));
    CHECK(runner.apply(heartbeat("i-1", 100, 5)) == heartbeat_verdict::stale);
    runner.observe_answer(100);
    CHECK(runner.apply(heartbeat("i-1", 100, 6)) == heartbeat_verdict::replaced);
    CHECK(runner.id() == "i-1");
}

// Guards against a crashed instance being taken back, because its delayed heartbeat arrives before
// the new instance has answered a call.
TEST_CASE("an instance that answered calls before it was replaced is stale") {
    registered_runner runner;
    runner.apply(heartbeat("i-1", 100, 4));
    runner.observe_answer(100);
    CHECK(runner.apply(heartbeat("i-1", 200, 1)) == heartbeat_verdict::replaced);
    CHECK(runner.apply(heartbeat("i-1", 100, 5)) == heartbeat_verdict::stale);
}

// Guards against an agent that ignores a restarted runner for good, because the wall clock of the
// VM was set back before the restart.
TEST_CASE("a restarted runner with an earlier start time is taken once it answers calls") {
    registered_runner runner;
    runner.apply(heartbeat("i-1", 5000, 40));
    CHECK(runner.apply(heartbeat("i-1", 2000, 1)) == heartbeat_verdict::stale);
    runner.observe_answer(2000);
    CHECK(runner.apply(heartbeat("i-1", 2000, 2)) == heartbeat_verdict::replaced);
    CHECK(runner.started_at(2000));
}

// Guards against an agent that ignores its runner for good, after a heartbeat with a number that is
// far too large.
TEST_CASE("a sequence number that is far too large does not outlast the next heartbeat") {
    registered_runner runner;
    runner.apply(heartbeat("i-1", 100, 4));
    runner.apply(heartbeat("i-1", 100, std::numeric_limits<std::uint64_t>::max()));
    CHECK(runner.apply(heartbeat("i-1", 100, 5)) == heartbeat_verdict::refreshed);
    CHECK(runner.apply(heartbeat("i-1", 100, 4)) == heartbeat_verdict::stale);
}

} // namespace egretstile::daemon
