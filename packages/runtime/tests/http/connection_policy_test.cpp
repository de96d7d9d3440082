#include "http/connection_policy.hpp"

#include <catch2/catch.hpp>

namespace egretstile {
namespace {

constexpr std::size_t kb = 1024;
const boot_time start{};
const connection_time_limits limits;

connection_facts in_phase(connection_phase phase, std::size_t bytes = 0) {
    return {phase, start, bytes, 256 * kb, true};
}

bool is_overdue(const connection_facts& facts, milliseconds age, bool is_short = false) {
    return overdue(facts, limits, is_short, start + age).has_value();
}

} // namespace

// Guards against closing the connection of a client whose link is cut for 13 s in a header.
TEST_CASE("a header may be interrupted by a link outage unless something runs short") {
    const connection_facts head = in_phase(connection_phase::reading_head);
    CHECK_FALSE(is_overdue(head, milliseconds(13500)));
    CHECK(is_overdue(head, milliseconds(18500)));
    CHECK_FALSE(is_overdue(head, milliseconds(2900), true));
    CHECK(is_overdue(head, milliseconds(3100), true));
}

// Guards against closing the connection of a client that sends the largest body at 2 Mbit/s over a
// link that is cut for 13 s meanwhile.
TEST_CASE("the largest body at a low rate with an outage is within the limit") {
    const connection_facts body = in_phase(connection_phase::reading_body, 200 * kb);
    CHECK_FALSE(is_overdue(body, milliseconds(1000 + 13000)));
    CHECK_FALSE(is_overdue(in_phase(connection_phase::reading_body), milliseconds(13500)));
}

// Guards against clients that hold memory by sending or reading a few bytes from time to time.
TEST_CASE("bodies and responses below the minimum rate are ended") {
    CHECK(is_overdue(in_phase(connection_phase::reading_body, 100), milliseconds(21000)));
    CHECK(is_overdue(in_phase(connection_phase::reading_body, 256 * kb), milliseconds(40000)));
    CHECK(is_overdue(in_phase(connection_phase::sending, 100), milliseconds(21000)));
    CHECK(is_overdue(in_phase(connection_phase::draining), milliseconds(6000)));
}

// Guards against cutting off an accepted request.
TEST_CASE("a request that the handler has is never ended") {
    const connection_facts handling = in_phase(connection_phase::handling);
    CHECK_FALSE(is_overdue(handling, milliseconds(600000), true));
    CHECK_FALSE(connection_rank(handling, limits, start + milliseconds(600000)).has_value());
    CHECK_FALSE(memory_rank(handling, start + milliseconds(600000)).has_value());
}

// Guards against closing connections that legal clients keep for reuse.
TEST_CASE("an idle connection is kept for 90 s, and for the operators' floor in a shortage") {
    const connection_facts idle = in_phase(connection_phase::idle);
    CHECK_FALSE(is_overdue(idle, milliseconds(89000), true));
    CHECK(is_overdue(idle, milliseconds(91000)));
    CHECK_FALSE(connection_rank(idle, limits, start + milliseconds(14000)).has_value());
    CHECK(connection_rank(idle, limits, start + milliseconds(16000)).has_value());
}

// Guards against closing a working client's connection while unused ones hold their place.
TEST_CASE("refused, then idle, then incomplete, then fresh connections make way") {
    const boot_time now = start + milliseconds(20000);
    connection_facts fresh = in_phase(connection_phase::idle);
    fresh.has_answered = false;
    fresh.since = now - milliseconds(1000);
    const std::optional<double> rank_of_fresh = connection_rank(fresh, limits, now);
    const std::optional<double> rank_of_head =
        connection_rank(in_phase(connection_phase::reading_head), limits, now);
    const std::optional<double> rank_of_idle =
        connection_rank(in_phase(connection_phase::idle), limits, now);
    const std::optional<double> rank_of_refused =
        connection_rank(in_phase(connection_phase::draining), limits, now);
    REQUIRE(rank_of_fresh);
    CHECK(rank_of_head > rank_of_fresh);
    CHECK(rank_of_idle > rank_of_head);
    CHECK(rank_of_refused > rank_of_idle);
    fresh.since = now - milliseconds(100);
    CHECK_FALSE(connection_rank(fresh, limits, now).has_value());
}

// Guards against refusing a request that has just begun in favour of one that has stopped.
TEST_CASE("a large request that has stopped gives up its memory before a new one") {
    const boot_time now = start + milliseconds(5000);
    const connection_facts stopped = in_phase(connection_phase::reading_body, 256 * kb);
    connection_facts recent = stopped;
    recent.since = now - milliseconds(100);
    connection_facts small = stopped;
    small.held_bytes = 4 * kb;
    CHECK(memory_rank(stopped, now) > memory_rank(recent, now));
    CHECK(memory_rank(stopped, now) > memory_rank(small, now));
}

} // namespace egretstile
