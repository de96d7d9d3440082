#include "jobs/registered_runner.hpp"

#include <catch2/catch.hpp>

#include <limits>

namespace egretstile::daemon {
namespace {

using infrastructure::runner_refusal;

infrastructure::runner_heartbeat heartbeat(const std::string& id, std::int64_t start_ms,
                                           std::uint64_t sequence) {
    infrastructure::runner_heartbeat sent;
    sent.runner_id = id;
    sent.instance_start_ms = start_ms;
    sent.sequence = sequence;
    return sent;
}

/// The instance of `i-1` that started at 100 has registered and answers calls.
registered_runner make_registered() {
    registered_runner runner;
    CHECK(runner.apply(heartbeat("i-1", 100, 4)) == heartbeat_verdict::unconfirmed);
    CHECK(runner.observe_answer(100) == answer_verdict::replaced);
    return runner;
}

} // namespace

// Guards against a runner that was emptied being used again, because a delayed heartbeat from
// before is taken after a later one.
TEST_CASE("a delayed heartbeat of the same or of an earlier instance is not taken") {
    registered_runner runner = make_registered();
    CHECK(runner.apply(heartbeat("i-1", 100, 5)) == heartbeat_verdict::refreshed);
    CHECK(runner.apply(heartbeat("i-1", 100, 4)) == heartbeat_verdict::stale);
    CHECK(runner.apply(heartbeat("i-1", 200, 1)) == heartbeat_verdict::unconfirmed);
    CHECK(runner.observe_answer(200) == answer_verdict::replaced);
    CHECK(runner.apply(heartbeat("i-1", 100, 6)) == heartbeat_verdict::unconfirmed);
    CHECK(runner.observe_answer(200) == answer_verdict::registered);
    CHECK(runner.heartbeat().instance_start_ms == 200);
}

// Guards against tasks that run twice because an instance that does not exist is registered while
// the runner goes on.
TEST_CASE("a heartbeat of another instance changes nothing while the registered one answers") {
    registered_runner runner = make_registered();
    for (const infrastructure::runner_heartbeat& claim :
         {heartbeat("i-1", 200, 1), heartbeat("i-1", 50, 9), heartbeat("i-odd", 100, 9),
          heartbeat("i-odd", std::numeric_limits<std::int64_t>::max(), 1)}) {
        CHECK(runner.apply(claim) == heartbeat_verdict::unconfirmed);
        CHECK(runner.has_open_claim());
        CHECK(runner.observe_answer(100) == answer_verdict::registered);
        CHECK_FALSE(runner.has_open_claim());
        CHECK(runner.id() == "i-1");
        CHECK(runner.heartbeat().instance_start_ms == 100);
    }
    CHECK(runner.apply(heartbeat("i-1", 100, 5)) == heartbeat_verdict::refreshed);
}

// Guards against an agent that ignores its runner for good, after another writer has sent a
// heartbeat with a start time in the far future.
TEST_CASE("the instance that answers calls is taken although a later start time was claimed") {
    registered_runner runner;
    CHECK(runner.apply(heartbeat("i-odd", std::numeric_limits<std::int64_t>::max(), 1)) ==
          heartbeat_verdict::unconfirmed);
    CHECK(runner.observe_answer(100) == answer_verdict::unknown);
    CHECK(runner.apply(heartbeat("i-1", 100, 6)) == heartbeat_verdict::replaced);
    CHECK(runner.id() == "i-1");
}

// Guards against a crashed instance being taken back, because its delayed heartbeat arrives before
// or after the new instance has answered a call.
TEST_CASE("an instance that answered calls before it was replaced is not taken again") {
    registered_runner runner = make_registered();
    CHECK(runner.apply(heartbeat("i-1", 200, 1)) == heartbeat_verdict::unconfirmed);
    CHECK(runner.apply(heartbeat("i-1", 100, 5)) == heartbeat_verdict::refreshed);
    CHECK(runner.observe_answer(200) == answer_verdict::replaced);
    CHECK(runner.apply(heartbeat("i-1", 100, 6)) == heartbeat_verdict::unconfirmed);
    CHECK(runner.heartbeat().instance_start_ms == 200);
}

// Guards against an agent that ignores a restarted runner for good, because the wall clock of the
// VM was set back before the restart.
TEST_CASE("a restarted runner with an earlier start time is taken once it answers calls") {
    registered_runner runner = make_registered();
    CHECK(runner.apply(heartbeat("i-1", 20, 1)) == heartbeat_verdict::unconfirmed);
    CHECK(runner.observe_answer(20) == answer_verdict::replaced);
    CHECK(runner.heartbeat().instance_start_ms == 20);
}

// Guards against tasks that go on to be counted on a runner whose process was replaced, because
// the heartbeat of the new process was lost.
TEST_CASE("an answer of an instance without a heartbeat shows that the registered one has ended") {
    registered_runner runner = make_registered();
    CHECK(runner.observe_answer(300) == answer_verdict::unknown);
    CHECK(runner.apply(heartbeat("i-1", 300, 1)) == heartbeat_verdict::replaced);
}

// Guards against an agent that ignores its runner for good, after a heartbeat with a number that is
// far too large.
TEST_CASE("a sequence number that is far too large does not outlast the next heartbeat") {
    registered_runner runner = make_registered();
    runner.apply(heartbeat("i-1", 100, std::numeric_limits<std::uint64_t>::max()));
    CHECK(runner.apply(heartbeat("i-1", 100, 5)) == heartbeat_verdict::refreshed);
    CHECK(runner.apply(heartbeat("i-1", 100, 4)) == heartbeat_verdict::stale);
}

// Guards against tasks that run twice because a deregistration is believed while the runner goes
// on.
TEST_CASE("a deregistration shows nothing until a connection is refused") {
    registered_runner runner = make_registered();
    CHECK(runner.apply_departure({"i-1", 0}));
    CHECK(runner.has_open_claim());
    CHECK(runner.observe_answer(100) == answer_verdict::registered);
    CHECK(runner.observe_failure(runner_refusal::no_answer, false) == runner_end_evidence::none);
    CHECK(runner.observe_failure(runner_refusal::not_running, false) ==
          runner_end_evidence::connection_refused);
}

// Guards against the same: the runner's next heartbeat shows that the deregistration was not its
// own.
TEST_CASE("a heartbeat after a deregistration ends the claim") {
    registered_runner runner = make_registered();
    CHECK(runner.apply_departure({"i-1", 100}));
    CHECK(runner.apply(heartbeat("i-1", 100, 5)) == heartbeat_verdict::refreshed);
    CHECK_FALSE(runner.has_open_claim());
    CHECK(runner.observe_failure(runner_refusal::not_running, false) == runner_end_evidence::none);
}

// Guards against tasks that run twice because a deregistration of an earlier instance arrives late.
TEST_CASE("a deregistration of another runner or of another instance is ignored") {
    registered_runner runner = make_registered();
    CHECK_FALSE(runner.apply_departure({"i-2", 0}));
    CHECK_FALSE(runner.apply_departure({"i-1", 50}));
    CHECK_FALSE(runner.has_open_claim());
}

// Guards against tasks that run twice because calls that fail for another reason are taken for the
// end of the runner's process.
TEST_CASE("failed calls show the end of a runner only when its lease has ended") {
    registered_runner runner = make_registered();
    for (int call = 0; call < 20; ++call) {
        CHECK(runner.observe_failure(runner_refusal::not_sent, false) == runner_end_evidence::none);
        CHECK(runner.observe_failure(runner_refusal::no_answer, false) ==
              runner_end_evidence::none);
        CHECK(runner.observe_failure(runner_refusal::unhealthy, true) == runner_end_evidence::none);
    }
    CHECK(runner.observe_failure(runner_refusal::no_answer, true) ==
          runner_end_evidence::lease_ended);
}

// Guards against tasks that run twice because one refused connection is believed although the
// runner answers the next call.
TEST_CASE("two refused connections in a row show that nothing listens") {
    registered_runner runner = make_registered();
    CHECK(runner.observe_failure(runner_refusal::not_running, false) == runner_end_evidence::none);
    CHECK(runner.observe_answer(100) == answer_verdict::registered);
    CHECK(runner.observe_failure(runner_refusal::not_running, false) == runner_end_evidence::none);
    CHECK(runner.observe_failure(runner_refusal::not_sent, false) == runner_end_evidence::none);
    CHECK(runner.observe_failure(runner_refusal::not_running, false) == runner_end_evidence::none);
    CHECK(runner.observe_failure(runner_refusal::not_running, false) ==
          runner_end_evidence::connection_refused);
}

} // namespace egretstile::daemon
